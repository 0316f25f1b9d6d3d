//! The order of the hits of a search, and the merge of the shards' hits in it.
//!
//! The order of each shard's own hits is its server's, which alone knows the type of a field: the merge never changes
//! it. Values are compared only to choose between shards, so that pages neither repeat nor leave out documents
//! whatever the type is.

use super::field_types::FieldTypes;
use super::hit::Hit;
use super::search::{MissingValues, Search, SortKey};
use super::sort_value::{Kind, SortValue};
use super::text_order::TextOrder;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Why the hits of several shards cannot be merged into one order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MergeError {
    /// The types of these fields are not known yet.
    #[error("the types of the sorted fields [{}] are not known", .0.join(", "))]
    UnknownFieldTypes(Vec<String>),
    /// The values of a field are of several types, or in a format that does not show their order.
    #[error("cannot sort by [{0}]: the order of its values cannot be merged from several shards")]
    NotComparable(String),
    /// A server sorts a field in another order than that of its type.
    #[error("cannot sort by [{0}]: its servers sort its values in an order that is not known here")]
    UnknownOrder(String),
}

/// How the values of one sort key are compared.
struct KeyOrder<'s> {
    key: &'s SortKey,
    kind: Kind,
    text_order: TextOrder,
    /// The value as which documents without a value are sorted, where the search gives one.
    substitute: Option<SortValue<'s>>,
}

impl<'s> KeyOrder<'s> {
    /// Compares two values. Missing ones come first or last, whatever the direction, or where their substitute does.
    fn compare(&self, a: &SortValue<'_>, b: &SortValue<'_>) -> Ordering {
        let substitute = |value| match value {
            &SortValue::Missing => self.substitute.as_ref(),
            _ => None,
        };
        let (a, b) = (substitute(a).unwrap_or(a), substitute(b).unwrap_or(b));
        let missing_first = self.key.missing == MissingValues::First;
        let missing_order = if missing_first { Ordering::Less } else { Ordering::Greater };
        match (a, b) {
            (SortValue::Missing, SortValue::Missing) => Ordering::Equal,
            (SortValue::Missing, _) => missing_order,
            (_, SortValue::Missing) => missing_order.reverse(),
            (a, b) if self.key.descending => self.compare_present(a, b).reverse(),
            (a, b) => self.compare_present(a, b),
        }
    }

    fn compare_present(&self, a: &SortValue<'_>, b: &SortValue<'_>) -> Ordering {
        match (a, b) {
            (SortValue::Text(a), SortValue::Text(b)) if self.kind == Kind::Text => {
                self.text_order.compare(a, b)
            }
            _ => a.compare_present(b, self.kind),
        }
    }
}

/// The order of the hits of one search.
pub(super) struct HitOrder<'s>(Vec<KeyOrder<'s>>);

impl<'s> HitOrder<'s> {
    /// Determines the order of these hits, given by shard.
    ///
    /// # Errors
    ///
    /// If hits of several shards are in no order that can be merged.
    pub(super) fn determine(
        search: &'s Search,
        shards: &[ShardHits<'_>],
        field_types: &FieldTypes,
    ) -> Result<HitOrder<'s>, MergeError> {
        let with_hits = shards.iter().filter(|shard| !shard.hits.is_empty()).count();
        let needs_order = with_hits > 1;
        let unknown = if needs_order { unknown_fields(search, shards, field_types) } else { Vec::new() };
        if !unknown.is_empty() {
            return Err(MergeError::UnknownFieldTypes(unknown));
        }
        let keys = search.sort_keys.iter().enumerate();
        let order = keys.map(|(position, key)| key_order(position, key, shards, needs_order, field_types));
        let order = HitOrder(order.collect::<Result<_, _>>()?);
        if needs_order {
            shards.iter().try_for_each(|shard| order.check(shard))?;
        }
        Ok(order)
    }

    fn compare(&self, a: &Hit<'_>, b: &Hit<'_>) -> Ordering {
        self.first_difference(a, b).map_or(Ordering::Equal, |difference| difference.1)
    }

    /// Returns the first key in which two hits differ, and their order by that key.
    fn first_difference(&self, a: &Hit<'_>, b: &Hit<'_>) -> Option<(&KeyOrder<'s>, Ordering)> {
        let values = self.0.iter().zip(a.sort_values.iter().zip(&b.sort_values));
        let mut orders = values.map(|(key, (a, b))| (key, key.compare(a, b)));
        orders.find(|(_, order)| order.is_ne())
    }

    /// Checks that a shard's hits are not in the opposite order by the texts of a field: its server then sorts the field
    /// in another way. Values that are not texts need no check, since servers sort them as they are.
    fn check(&self, shard: &ShardHits<'_>) -> Result<(), MergeError> {
        for pair in shard.hits.windows(2) {
            if let Some((key, Ordering::Greater)) = self.first_difference(&pair[0], &pair[1])
                && key.kind == Kind::Text
                && key.key.needs_field_type()
            {
                return Err(MergeError::UnknownOrder(key.key.field.clone()));
            }
        }
        Ok(())
    }
}

/// Returns the fields whose texts are to be compared, and whose types are not known.
fn unknown_fields(search: &Search, shards: &[ShardHits<'_>], field_types: &FieldTypes) -> Vec<String> {
    let keys = search.sort_keys.iter().enumerate();
    let unknown = keys.filter(|(position, key)| {
        key.needs_field_type()
            && field_types.text_order(&key.field).is_none()
            && Kind::of(values(shards, *position)) == Some(Kind::Text)
    });
    unknown.map(|(_, key)| key.field.clone()).collect()
}

/// Determines how the values of one key are compared.
fn key_order<'s>(
    position: usize,
    key: &'s SortKey,
    shards: &[ShardHits<'_>],
    needs_order: bool,
    field_types: &FieldTypes,
) -> Result<KeyOrder<'s>, MergeError> {
    let not_comparable = || MergeError::NotComparable(key.field.clone());
    let kind = match Kind::of(values(shards, position)) {
        Some(kind) => kind,
        None if needs_order => return Err(not_comparable()),
        None => Kind::AllMissing,
    };
    let text_order = match field_types.text_order(&key.field) {
        Some(order) if key.needs_field_type() => order,
        _ => TextOrder::Bytes,
    };
    let texts = values(shards, position).filter_map(|value| match value {
        SortValue::Text(text) => Some(&**text),
        _ => None,
    });
    if needs_order && kind == Kind::Text && !text_order.can_compare(texts) {
        return Err(not_comparable());
    }
    let substitute = match &key.missing {
        MissingValues::As(json) => SortValue::parse(json),
        MissingValues::First | MissingValues::Last => None,
    };
    // Servers take a number as text as well.
    let substitute = match (substitute, &key.missing) {
        (Some(SortValue::Text(_)), MissingValues::As(json)) if kind == Kind::Number => {
            SortValue::parse(json.trim_matches('"'))
        }
        (substitute, _) => substitute,
    };
    Ok(KeyOrder { key, kind, text_order, substitute })
}

/// The values of one sort key in all hits.
fn values<'a, 'h>(
    shards: &'a [ShardHits<'h>],
    position: usize,
) -> impl Iterator<Item = &'a SortValue<'h>> + Clone {
    let hits = shards.iter().flat_map(|shard| &shard.hits);
    hits.filter_map(move |hit| hit.sort_values.get(position))
}

/// The hits of one shard, in the order of its server.
pub(super) struct ShardHits<'a> {
    /// Number of the shard.
    pub(super) shard: u32,
    pub(super) hits: Vec<Hit<'a>>,
}

/// The next hit of a shard. The greatest one of a heap is the first in the order of the search.
struct NextHit<'m, 'a> {
    order: &'m HitOrder<'m>,
    shard: &'m ShardHits<'a>,
    position: usize,
}

impl NextHit<'_, '_> {
    fn hit(&self) -> &Hit<'_> {
        &self.shard.hits[self.position]
    }
}

impl Ord for NextHit<'_, '_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_order = self.order.compare(self.hit(), other.hit());
        by_order.then(self.shard.shard.cmp(&other.shard.shard)).reverse()
    }
}

impl PartialOrd for NextHit<'_, '_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for NextHit<'_, '_> {}

impl PartialEq for NextHit<'_, '_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl HitOrder<'_> {
    /// Merges the hits of shards. Returns the first `count` hits.
    pub(super) fn merge<'m, 'a>(&'m self, shards: &'m [ShardHits<'a>], count: usize) -> Vec<&'m Hit<'a>> {
        let with_hits = shards.iter().filter(|shard| !shard.hits.is_empty());
        let mut heap: BinaryHeap<NextHit<'m, 'a>> =
            with_hits.map(|shard| NextHit { order: self, shard, position: 0 }).collect();
        let mut merged = Vec::with_capacity(count);
        while merged.len() < count
            && let Some(next) = heap.pop()
        {
            merged.push(&next.shard.hits[next.position]);
            if next.position + 1 < next.shard.hits.len() {
                heap.push(NextHit { position: next.position + 1, ..next });
            }
        }
        merged
    }
}
