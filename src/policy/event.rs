//! The events that the embedding program passes to the decision module: endpoint updates, queries, parts
//! and results.

use crate::policy::{
    AttemptNo, CellId, ClassId, JobId, RequestId, ShardId, TenantId, Time, TimerId, WorkerId, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Whether a listed worker takes parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// Takes new parts.
    #[default]
    Active,
    /// Takes no new parts and finishes those in flight.
    Draining,
    /// No longer listed; gets no parts.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's zone.
    pub zone: ZoneId,
    /// The worker's cell.
    pub cell: CellId,
    /// Whether the worker takes parts.
    pub status: EndpointStatus,
    /// The worker's size as listed; see
    /// [`Settings::sizes_comparable`](crate::policy::Settings::sizes_comparable).
    pub units: f64,
    /// When the worker's process last started; `None` if that is long ago.
    pub started_at: Option<Time>,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The changed entries.
    Delta(Arc<[Endpoint]>),
    /// The complete list.
    Full(Arc<[Endpoint]>),
    /// The complete list from a cache; it may be stale.
    Cached(Arc<[Endpoint]>),
    /// The call for the list failed or the subscription broke.
    Failed,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker answered.
    Succeeded,
    /// The worker responded with an error; the part may have run.
    Failed,
    /// The worker rejected the part before running it.
    Rejected,
    /// No response arrived within the time-out; the part may have run.
    TimedOut,
    /// No connection to the worker could be made.
    ConnectFailed,
    /// The connection broke; the part may have run.
    ConnectionReset,
    /// The attempt was cancelled; the part may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the part did not run at the worker.
    #[must_use]
    pub fn proves_unrun(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The values of a load report in the order of
/// [`Settings::report_fields`](crate::policy::Settings::report_fields).
pub type LoadReport = Vec<Option<f64>>;

/// A query that has arrived. The parts of its first step are reported in the same step of the aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct NewQuery {
    /// The query's id.
    pub id: RequestId,
    /// The query's class.
    pub class: ClassId,
    /// The tenant that sent the query, if known.
    pub tenant: Option<TenantId>,
    /// When the client stops waiting for this attempt.
    pub valid_until: Time,
    /// The number that the query shares with its parts.
    pub job: JobId,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct NewPart {
    /// The part's id.
    pub id: RequestId,
    /// The key that the part reads; workers may cache by it.
    pub key: Option<Arc<str>>,
    /// A rough estimate of the part's cost.
    pub cost_hint: Option<Duration>,
    /// The number that the part shares with its query.
    pub job: JobId,
    /// The shard that answers the part.
    pub shard: ShardId,
    /// The part's share of the total weight of its query's step, from 0 to 1.
    pub weight: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The part.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time since the attempt was sent.
    pub elapsed: Duration,
    /// Whether the part is finished, so that no further attempt may be sent for it.
    pub part_finished: bool,
    /// The worker's load report, if the response carried one.
    pub load_report: Option<LoadReport>,
}

/// One event that the embedding program reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointUpdate(EndpointUpdate),
    /// A query has arrived.
    QueryReceived(NewQuery),
    /// A part of a query has arrived.
    PartReceived(NewPart),
    /// A streamed attempt has begun to respond; its response goes to the client from now on.
    StreamingStarted {
        /// The part.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptResult),
    /// The client of a query has disconnected.
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
        /// How the health check ended.
        outcome: AttemptOutcome,
        /// The time since the health check was sent.
        elapsed: Duration,
        /// The worker's load report, if the response carried one.
        load_report: Option<LoadReport>,
    },
}
