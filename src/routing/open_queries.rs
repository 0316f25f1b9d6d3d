//! The queries that wait for their outcome, with their parts and the values that have arrived for them. It owns no
//! attempt: those are in [`super::in_flight`].

use crate::policy::*;
use crate::records::metrics::QueryLabels;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A query that waits for its outcome.
pub(super) struct OpenQuery {
    /// Names it to the workers.
    pub label: Arc<str>,
    /// The body of the request to each worker.
    pub payload: Bytes,
    /// It may not run a second time.
    pub at_most_once: bool,
    /// Its client waits until then.
    pub valid_until: Time,
    /// Its parts.
    pub parts: Vec<RequestId>,
    /// The class and tenant under which it is counted.
    pub labels: QueryLabels,
    /// When it was accepted.
    pub accepted_at: Time,
}

/// One part of an open query.
pub(super) struct OpenPart {
    /// The query.
    pub query: RequestId,
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its fraction of the complete answer.
    pub weight: f64,
    /// Attempts so far.
    pub attempts: u32,
    /// When those of its attempts were sent that have run or may still run.
    pub possible_runs: BTreeMap<AttemptNo, Time>,
    /// The outcome of the attempt that finished last.
    pub last_outcome: Option<AttemptOutcome>,
    /// The value of the first attempt that succeeded.
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

/// All open queries and their parts.
#[derive(Default)]
pub(super) struct OpenQueries {
    queries: HashMap<RequestId, OpenQuery>,
    parts: HashMap<RequestId, OpenPart>,
}

impl OpenQueries {
    /// The number of queries.
    pub fn len(&self) -> usize {
        self.queries.len()
    }

    /// The number of queries and parts together, which the broker's limits bound.
    pub fn size(&self) -> usize {
        self.queries.len() + self.parts.len()
    }

    /// Whether a query of this label is open.
    pub fn has_label(&self, label: &str) -> bool {
        self.queries.values().any(|query| &*query.label == label)
    }

    pub fn insert(&mut self, id: RequestId, query: OpenQuery) {
        self.queries.insert(id, query);
    }

    pub fn insert_part(&mut self, id: RequestId, part: OpenPart) {
        self.parts.insert(id, part);
    }

    /// A part of an open query.
    pub fn part(&mut self, id: RequestId) -> Option<&mut OpenPart> {
        self.parts.get_mut(&id)
    }

    /// A part and its query, where both are open.
    pub fn part_with_query(&mut self, id: RequestId) -> Option<(&mut OpenPart, &OpenQuery)> {
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get(&part.query)?;
        Some((part, query))
    }

    /// Removes a query and its parts; `None` if it has ended before.
    pub fn remove(&mut self, id: RequestId) -> Option<(OpenQuery, Vec<OpenPart>)> {
        let query = self.queries.remove(&id)?;
        let parts = query.parts.iter().filter_map(|part| self.parts.remove(part)).collect();
        Some((query, parts))
    }

    /// When the next query is [overdue](OpenQueries::overdue).
    pub fn next_overdue(&self, grace: Duration) -> Option<Time> {
        self.queries.values().map(|query| query.valid_until.after(grace)).min()
    }

    /// The queries that are still open `grace` after their client's deadline.
    pub fn overdue(&self, now: Time, grace: Duration) -> Vec<RequestId> {
        let overdue = self.queries.iter().filter(|(_, query)| query.valid_until.after(grace) <= now);
        overdue.map(|(id, _)| *id).collect()
    }
}
