//! A query as a front offers it, and the one final answer that it gets. Plain values, which hold no state of the broker.

use crate::policy::*;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A query as a front offers it.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Names the query to the workers.
    pub label: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Who asks.
    pub tenant: Option<TenantId>,
    /// How long its client will wait.
    pub time_left: Duration,
    /// A client's repeat, where it says so.
    pub retry: bool,
    /// What each part carries.
    pub payload: Bytes,
    /// Its parts, one a shard.
    pub parts: Vec<QueryPart>,
}

/// A part of an [`SearchRequest`].
#[derive(Clone, Debug)]
pub struct QueryPart {
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Rough expected work.
    pub cost_hint: Option<Duration>,
    /// What it is about.
    pub key: Option<Arc<str>>,
}

/// Why a query is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The module does not expect it to be served in time.
    Declined,
    /// The broker holds as many queries and parts as it may.
    AtCapacity,
    /// The broker is stopping.
    ShuttingDown,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// Served.
    Answered {
        /// It is marked whole.
        complete: bool,
        /// The value of each part that is in.
        values: Vec<(ShardId, Bytes)>,
    },
    /// Refused: a retry is harmless.
    Rejected {
        /// Why.
        reason: Rejection,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Failed, with no promise.
    Failed,
}
