//! A query as a front submits it, and its one final outcome. Plain values, which hold no state of the broker.

use crate::policy::*;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A query as a front submits it.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Names the query to the workers.
    pub label: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// The tenant whose quota it counts against, where it names one.
    pub tenant: Option<TenantId>,
    /// How long its client waits from now on.
    pub time_left: Duration,
    /// The client says that it sent the same query before.
    pub retry: bool,
    /// The body of the request to each worker.
    pub payload: Bytes,
    /// Its parts, one for each shard.
    pub parts: Vec<QueryPart>,
}

/// One part of a [`SearchRequest`].
#[derive(Clone, Debug)]
pub struct QueryPart {
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its fraction of the complete answer.
    pub weight: f64,
    /// The expected time of work, roughly, where the client gives one.
    pub cost_hint: Option<Duration>,
    /// The key by which a preferred replica is chosen.
    pub key: Option<Arc<str>>,
}

/// Why a query is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The decision module does not expect that it can be served in time.
    Declined,
    /// The broker holds as many queries and parts as it may.
    AtCapacity,
    /// The process is stopping.
    ShuttingDown,
}

/// The one final outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// It is answered, completely or in part.
    Answered {
        /// The answer is marked complete.
        complete: bool,
        /// The value of each part that has one.
        values: Vec<(ShardId, Bytes)>,
    },
    /// It is rejected, and a retry by the client is harmless.
    Rejected {
        /// The reason.
        reason: Rejection,
        /// How long the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// It failed; parts of it may have run.
    Failed,
}
