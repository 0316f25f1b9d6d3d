//! A query as a front submits it, and its outcome. These are plain values that hold no state of the broker.

use crate::policy::{ClassId, ShardId, TenantId};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A query as a front submits it.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Label that identifies the query to workers.
    pub label: Arc<str>,
    /// Class of the query.
    pub class: ClassId,
    /// Tenant whose quota the query counts against, if the client names one.
    pub tenant: Option<TenantId>,
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// Whether the client marked the query as a retry.
    pub retry: bool,
    /// Body of the request to each worker.
    pub payload: Bytes,
    /// Parts of the query, one for each shard.
    pub parts: Vec<QueryPart>,
}

/// One part of a [`SearchRequest`].
#[derive(Clone, Debug)]
pub struct QueryPart {
    /// Shard that answers the part.
    pub shard: ShardId,
    /// Fraction of the complete answer that the part contributes.
    pub weight: f64,
    /// Rough estimate of the worker's processing time, if the client gives one.
    pub cost_hint: Option<Duration>,
    /// Key that selects the preferred replica; parts with the same key prefer the same one.
    pub key: Option<Arc<str>>,
}

/// Reason for rejecting a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The decision module rejected the query, because it does not expect an answer in time.
    Declined,
    /// The broker's limit of open queries and parts is reached.
    AtCapacity,
    /// The process is shutting down.
    ShuttingDown,
}

/// Outcome of a query, which it gets exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The query has a complete or partial answer.
    Answered {
        /// Whether the answer is marked complete.
        complete: bool,
        /// Values of the parts that succeeded, by shard.
        values: Vec<(ShardId, Bytes)>,
    },
    /// The query was rejected. A retry by the client is harmless.
    Rejected {
        /// Reason for the rejection.
        reason: Rejection,
        /// Time that the client should wait before a retry.
        retry_after: Option<Duration>,
    },
    /// The query failed. Some of its parts may have run.
    Failed,
}
