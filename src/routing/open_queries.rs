//! Open queries: those that wait for their outcome, with their parts and the values received so far. Attempts in flight
//! are in [`super::in_flight`].

use crate::policy::{AttemptNo, AttemptOutcome, RequestId, ShardId, Time, WorkerId};
use crate::records::metrics::QueryLabels;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A query that waits for its outcome.
pub(super) struct OpenQuery {
    /// Label that identifies the query to workers.
    pub label: Arc<str>,
    /// Body of the request to each worker.
    pub payload: Bytes,
    /// Whether the class is non-idempotent or keyed. See [`super::attempt::Dispatch::at_most_once`].
    pub at_most_once: bool,
    /// Deadline of the query's client.
    pub valid_until: Time,
    /// Ids of the query's parts.
    pub parts: Vec<RequestId>,
    /// Class and tenant under which the query is counted.
    pub labels: QueryLabels,
    /// Time at which the query was accepted.
    pub accepted_at: Time,
}

/// An attempt that has run or may still run.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    /// Worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Time at which the attempt was handed to the transport.
    pub sent_at: Time,
    /// Time at which the transport began to write the attempt; `None` while it waits to be written.
    pub write_began_at: Option<Time>,
}

/// One part of an open query.
pub(super) struct OpenPart {
    /// Id of the part's query.
    pub query: RequestId,
    /// Shard that answers the part.
    pub shard: ShardId,
    /// Fraction of the complete answer that the part contributes.
    pub weight: f64,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Attempts that have run or may still run.
    pub possible_runs: BTreeMap<AttemptNo, PossibleRun>,
    /// Outcome of the attempt that finished last.
    pub last_outcome: Option<AttemptOutcome>,
    /// Value of the first attempt that succeeded.
    pub value: Option<Bytes>,
}

impl OpenPart {
    /// Creates a part without attempts.
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

    /// Returns whether an attempt has run or may still run. One whose write has not begun is never written once the
    /// query has ended.
    pub fn may_have_run(&self) -> bool {
        self.value.is_some() || self.possible_runs.values().any(|run| run.write_began_at.is_some())
    }

    /// Returns when the first of the attempts that may run was handed to the transport.
    pub fn first_sent_at(&self) -> Option<Time> {
        self.possible_runs.values().map(|run| run.sent_at).min()
    }

    /// Returns when the first write began of an attempt that may run, other than this one.
    pub fn first_other_write_at(&self, attempt: AttemptNo) -> Option<Time> {
        let others = self.possible_runs.iter().filter(|(number, _)| **number != attempt);
        others.filter_map(|(_, run)| run.write_began_at).min()
    }
}

/// All open queries and their parts.
#[derive(Default)]
pub(super) struct OpenQueries {
    queries: HashMap<RequestId, OpenQuery>,
    parts: HashMap<RequestId, OpenPart>,
}

impl OpenQueries {
    /// Returns the number of queries.
    pub fn len(&self) -> usize {
        self.queries.len()
    }

    /// Returns the number of queries and parts, added up, to which the limit `max_open_requests` applies.
    pub fn request_count(&self) -> usize {
        self.queries.len() + self.parts.len()
    }

    /// Returns whether a query with this label is open.
    pub fn has_label(&self, label: &str) -> bool {
        self.queries.values().any(|query| &*query.label == label)
    }

    pub fn insert(&mut self, id: RequestId, query: OpenQuery) {
        self.queries.insert(id, query);
    }

    pub fn insert_part(&mut self, id: RequestId, part: OpenPart) {
        self.parts.insert(id, part);
    }

    /// Returns a part of an open query.
    pub fn part(&mut self, id: RequestId) -> Option<&mut OpenPart> {
        self.parts.get_mut(&id)
    }

    /// Returns a part with its query, or `None` if the query is not open.
    pub fn part_with_query(&mut self, id: RequestId) -> Option<(&mut OpenPart, &OpenQuery)> {
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get(&part.query)?;
        Some((part, query))
    }

    /// Removes a query with its parts. Returns `None` if the query is not open.
    pub fn remove(&mut self, id: RequestId) -> Option<(OpenQuery, Vec<OpenPart>)> {
        let query = self.queries.remove(&id)?;
        let parts = query.parts.iter().filter_map(|part| self.parts.remove(part)).collect();
        Some((query, parts))
    }

    /// Returns the time at which the next query becomes [overdue](OpenQueries::overdue).
    pub fn next_overdue(&self, grace: Duration) -> Option<Time> {
        self.queries.values().map(|query| query.valid_until.after(grace)).min()
    }

    /// Returns the queries that are still open `grace` after their client's deadline.
    pub fn overdue(&self, now: Time, grace: Duration) -> Vec<RequestId> {
        let overdue = self.queries.iter().filter(|(_, query)| query.valid_until.after(grace) <= now);
        overdue.map(|(id, _)| *id).collect()
    }
}
