//! A query as a front offers it, and the one final answer that it gets. Plain values, which hold no state of the broker.

use crate::policy::*;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A query as a front offers it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Names the query to the workers.
    pub label: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Who asks.
    pub tenant: Option<TenantId>,
    /// How long its client will wait.
    pub left: Duration,
    /// A client's repeat, where it says so.
    pub retry: bool,
    /// What each part carries.
    pub text: Bytes,
    /// Its parts, one a shard.
    pub parts: Vec<AskPart>,
}

/// A part of an [`Ask`].
#[derive(Clone, Debug)]
pub struct AskPart {
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Rough expected work.
    pub hint: Option<Duration>,
    /// What it is about.
    pub key: Option<Arc<str>>,
}

/// Why a query is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The module does not expect it to be served in time.
    Declined,
    /// The broker holds as many queries and parts as it may.
    Full,
    /// The broker is stopping.
    Stopping,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Served.
    Answered {
        /// It is marked whole.
        whole: bool,
        /// The value of each part that is in.
        values: Vec<(ShardId, Bytes)>,
    },
    /// Refused: a retry is harmless.
    Refused {
        /// Why.
        why: Refusal,
        /// When to come back.
        pause: Option<Duration>,
    },
    /// Failed, with no promise.
    Failed,
}
