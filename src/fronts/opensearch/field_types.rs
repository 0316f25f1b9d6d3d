//! The types of sorted fields, as index servers report them, cached by index and field.
//!
//! Searches need them only where texts of several shards are compared. The cache asks a [`FieldTypeSource`] then.

use crate::policy::Time;
use crate::protocol::opensearch::{FieldTypes, TextOrder};
use crate::routing::Clock;
use crate::transport::index_servers::FieldTypeSource;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Largest number of cached fields. Clients name them, so that there may be any number.
const MAX_FIELDS: usize = 1024;
/// Time after which a reported type is asked for again, as an index may have been created anew.
const REPORTED_LIFETIME: Duration = Duration::from_secs(600);
/// Time after which a type that no server reported is asked for again.
const UNREPORTED_LIFETIME: Duration = Duration::from_secs(30);
/// Longest time that a search waits for the types of its fields.
const MAX_WAIT: Duration = Duration::from_secs(1);

struct Entry {
    order: TextOrder,
    expires_at: Time,
}

/// The orders of the fields' texts, by index and field.
pub(super) struct FieldTypeCache {
    clock: Clock,
    source: Rc<dyn FieldTypeSource>,
    entries: RefCell<HashMap<(String, String), Entry>>,
}

impl FieldTypeCache {
    /// Creates an empty cache.
    pub(super) fn new(clock: Clock, source: Rc<dyn FieldTypeSource>) -> FieldTypeCache {
        FieldTypeCache { clock, source, entries: RefCell::default() }
    }

    /// Returns the cached types of these fields that have not expired.
    pub(super) fn cached<'a>(&self, index: &str, fields: impl Iterator<Item = &'a str>) -> FieldTypes {
        let (now, entries) = (self.clock.now(), self.entries.borrow());
        let mut types = FieldTypes::default();
        for field in fields {
            let entry = entries.get(&(index.to_owned(), field.to_owned()));
            if let Some(entry) = entry.filter(|entry| entry.expires_at > now) {
                types.insert(field.to_owned(), entry.order);
            }
        }
        types
    }

    /// Asks for the types of these fields and caches them. A type that is not reported is the last one that was, or else
    /// that of a keyword.
    pub(super) async fn ask(&self, index: &str, fields: &[String], time_left: Duration) {
        let reported = self.source.field_types(index, fields, time_left.min(MAX_WAIT)).await;
        let lifetime = if reported.is_some() { REPORTED_LIFETIME } else { UNREPORTED_LIFETIME };
        let expires_at = self.clock.now().after(lifetime);
        let mut entries = self.entries.borrow_mut();
        for field in fields {
            let key = (index.to_owned(), field.clone());
            let last = entries.get(&key).map_or(TextOrder::Bytes, |entry| entry.order);
            let order = reported.as_ref().and_then(|types| types.text_order(field)).unwrap_or(last);
            if entries.len() >= MAX_FIELDS && !entries.contains_key(&key) {
                remove_oldest(&mut entries);
            }
            entries.insert(key, Entry { order, expires_at });
        }
    }
}

fn remove_oldest(entries: &mut HashMap<(String, String), Entry>) {
    let oldest = entries.iter().min_by_key(|(_, entry)| entry.expires_at).map(|(key, _)| key.clone());
    oldest.and_then(|oldest| entries.remove(&oldest));
}
