//! One hit of a shard's result, kept as the text that the server sent.

use super::json_object::encode_members;
use super::sort_value::SortValue;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Name of the member with the sort values.
const SORT: &str = "sort";

/// A hit and its sort values.
#[derive(Debug)]
pub(super) struct Hit<'a> {
    text: &'a str,
    pub(super) sort_values: Vec<SortValue<'a>>,
}

/// The member of a hit that is read.
#[derive(Deserialize)]
struct SortMember<'a> {
    #[serde(borrow)]
    sort: Vec<&'a RawValue>,
}

impl<'a> Hit<'a> {
    /// Reads a hit; `None` if it is no object with a list of valid sort values.
    pub(super) fn parse(hit: &'a RawValue) -> Option<Hit<'a>> {
        let SortMember { sort } = serde_json::from_str(hit.get()).ok()?;
        let sort_values = sort.into_iter().map(|value| SortValue::parse(value.get()));
        Some(Hit { text: hit.get(), sort_values: sort_values.collect::<Option<_>>()? })
    }

    /// Length of the hit as the server sent it, in bytes.
    pub(super) fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// Encodes the hit with its first `requested` sort values. All other members keep the server's text.
    pub(super) fn encode(&self, requested: usize) -> Cow<'a, str> {
        if requested > 0 && requested >= self.sort_values.len() {
            return Cow::Borrowed(self.text);
        }
        let members: BTreeMap<String, &RawValue> = serde_json::from_str(self.text).unwrap_or_default();
        let sort = members.get(SORT).map(|values| first_items(values, requested)).unwrap_or_default();
        let encoded = members.iter().filter(|(name, _)| requested > 0 || *name != SORT);
        let encoded = encoded.map(|(name, value)| {
            let text = if name == SORT { sort.as_str() } else { value.get() };
            (name.as_str(), text)
        });
        Cow::Owned(encode_members(encoded))
    }
}

/// Encodes the first `count` items of a JSON array.
fn first_items(array: &RawValue, count: usize) -> String {
    let items: Vec<&RawValue> = serde_json::from_str(array.get()).unwrap_or_default();
    let texts: Vec<&str> = items.iter().take(count).map(|item| item.get()).collect();
    format!("[{}]", texts.join(","))
}
