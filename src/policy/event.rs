//! What comes in: endpoint updates, queries, parts, results.

use crate::policy::{
    AttemptNo, CellId, ClassId, JobId, RequestId, ShardId, TenantId, Time, TimerId, WorkerId, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Whether a listed worker takes parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// It does.
    #[default]
    Active,
    /// It finishes what is in flight.
    Draining,
    /// It is gone.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes parts.
    pub status: EndpointStatus,
    /// Its listed size.
    pub units: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Time>,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Changed entries.
    Delta(Arc<[Endpoint]>),
    /// The complete list.
    Full(Arc<[Endpoint]>),
    /// The complete list as cached, possibly stale.
    Cached(Arc<[Endpoint]>),
    /// A call failed or the subscription broke.
    Failed,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Succeeded,
    /// Error; it may have run.
    Failed,
    /// Rejected before it ran.
    Rejected,
    /// No reply in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    ConnectionReset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this proves that the attempt never ran.
    #[must_use]
    pub fn proves_unrun(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The values of a load report in the order of
/// [`Settings::report_fields`](crate::policy::Settings::report_fields).
pub type LoadReport = Vec<Option<f64>>;

/// A query that arrives; its parts follow in the same step.
#[derive(Clone, Debug, PartialEq)]
pub struct NewQuery {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// When the client gives this attempt up.
    pub valid_until: Time,
    /// Joins it to its parts.
    pub job: JobId,
    /// A client's retry, where clients mark them.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct NewPart {
    /// Its id.
    pub id: RequestId,
    /// What it is about.
    pub key: Option<Arc<str>>,
    /// Rough expected cost.
    pub cost_hint: Option<Duration>,
    /// Joins it to its query.
    pub job: JobId,
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the weight of the query's step.
    pub weight: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The part.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The worker that it went to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// No further attempt may be sent for the part.
    pub part_finished: bool,
    /// The worker's load report, if one came along.
    pub load_report: Option<LoadReport>,
}

/// What the aggregator that embeds the module reports to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointUpdate(EndpointUpdate),
    /// A query arrives.
    QueryReceived(NewQuery),
    /// A part of a query arrives.
    PartReceived(NewPart),
    /// A streamed attempt has begun to respond; the client owns it now.
    StreamingStarted {
        /// The part.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptResult),
    /// The client of a query has left.
    ClientDisconnected {
        /// The query.
        id: RequestId,
    },
    /// A timer has fired.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
    /// A health check has ended.
    HealthCheckFinished {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        elapsed: Duration,
        /// The worker's load report, if one came along.
        load_report: Option<LoadReport>,
    },
}
