//! The queries that wait for their answer, with their parts and what has come in for them. It owns no attempt: those are
//! in [`super::in_flight`].

use crate::policy::*;
use crate::records::metrics::QueryLabels;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A query that waits for its answer.
pub(super) struct OpenQuery {
    /// Names it to the workers.
    pub label: Arc<str>,
    /// What each of its parts carries.
    pub text: Bytes,
    /// It may not run a second time.
    pub at_most_once: bool,
    /// How long its client will wait.
    pub valid_until: Time,
    /// Its parts.
    pub parts: Vec<RequestId>,
    /// Its class and tenant, as they are counted.
    pub seen: QueryLabels,
    /// When it was taken in.
    pub taken: Time,
}

/// A part of such a query.
pub(super) struct OpenPart {
    /// The query.
    pub query: RequestId,
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Attempts so far.
    pub attempts: u32,
    /// When those of its attempts were sent that may have run, or may yet.
    pub possible_runs: BTreeMap<AttemptNo, Time>,
    /// How the latest attempt that has ended did.
    pub last_outcome: Option<AttemptOutcome>,
    /// The value, once one is in.
    pub value: Option<Bytes>,
}

impl OpenPart {
    /// A part that was never sent.
    pub fn new(query: RequestId, shard: ShardId, weight: f64) -> OpenPart {
        OpenPart {
            query,
            shard,
            weight,
            attempts: 0,
            possible_runs: BTreeMap::new(),
            last_outcome: None,
            value: None,
        }
    }
}

/// All queries that wait, and their parts.
#[derive(Default)]
pub(super) struct OpenQueries {
    queries: HashMap<RequestId, OpenQuery>,
    parts: HashMap<RequestId, OpenPart>,
}

impl OpenQueries {
    /// Queries.
    pub fn len(&self) -> usize {
        self.queries.len()
    }

    /// Queries and parts together, which the limits bound.
    pub fn size(&self) -> usize {
        self.queries.len() + self.parts.len()
    }

    /// Whether a query of this label is open.
    pub fn has_label(&self, label: &str) -> bool {
        self.queries.values().any(|query| &*query.label == label)
    }

    /// Takes a query in.
    pub fn insert(&mut self, id: RequestId, query: OpenQuery) {
        self.queries.insert(id, query);
    }

    /// Takes a part in.
    pub fn insert_part(&mut self, id: RequestId, part: OpenPart) {
        self.parts.insert(id, part);
    }

    /// A part of a query that is open.
    pub fn part(&mut self, id: RequestId) -> Option<&mut OpenPart> {
        self.parts.get_mut(&id)
    }

    /// A part and its query, where both are open.
    pub fn part_with_query(&mut self, id: RequestId) -> Option<(&mut OpenPart, &OpenQuery)> {
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get(&part.query)?;
        Some((part, query))
    }

    /// Lets go of a query and its parts; `None` if it has ended before.
    pub fn remove(&mut self, id: RequestId) -> Option<(OpenQuery, Vec<OpenPart>)> {
        let query = self.queries.remove(&id)?;
        let parts = query.parts.iter().filter_map(|part| self.parts.remove(part)).collect();
        Some((query, parts))
    }

    /// When the next query is [overdue](OpenQueries::overdue).
    pub fn next_overdue(&self, grace: Duration) -> Option<Time> {
        self.queries.values().map(|query| query.valid_until.after(grace)).min()
    }

    /// The queries whose client has waited for its answer to the end, and then for `grace`.
    pub fn overdue(&self, now: Time, grace: Duration) -> Vec<RequestId> {
        let late = self.queries.iter().filter(|(_, query)| query.valid_until.after(grace) <= now);
        late.map(|(id, _)| *id).collect()
    }
}
