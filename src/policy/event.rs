//! What comes in: endpoint updates, queries, parts, results.

use crate::policy::{
    AttemptNo, CellId, ClassId, JobId, RequestId, ShardId, TenantId, Time, TimerId, WorkerId, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Whether a listed leaf takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// It does.
    #[default]
    Active,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// One line of the membership list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The leaf.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// Its listed size.
    pub units: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Time>,
}

/// News of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Changed entries.
    Delta(Arc<[Endpoint]>),
    /// The complete list.
    Full(Arc<[Endpoint]>),
    /// The list as last held, possibly stale.
    Cached(Arc<[Endpoint]>),
    /// A call failed or the subscription broke.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Succeeded,
    /// Error; it may have run.
    Failed,
    /// Turned away unseen.
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
    /// Whether it proves that the attempt never ran.
    pub fn proves_unrun(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The values of a load report in the order of [`Settings::fields`].
pub type LoadReport = Vec<Option<f64>>;

/// A query that arrives; its parts follow in the same turn.
#[derive(Clone, Debug, PartialEq)]
pub struct NewQuery {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// When the client gives this try up.
    pub valid_until: Time,
    /// Joins it to its parts.
    pub job: JobId,
    /// A client's repeat, where clients mark them.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct NewPart {
    /// Its id.
    pub id: RequestId,
    /// What it is about.
    pub key: Option<Arc<str>>,
    /// Rough expected work.
    pub cost_hint: Option<Duration>,
    /// Joins it to its query.
    pub job: JobId,
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the step's weight.
    pub weight: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The part.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The leaf it went to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The part is over.
    pub part_finished: bool,
    /// The leaf's load report, if one came along.
    pub load_report: Option<LoadReport>,
}

/// What a root tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the membership.
    EndpointUpdate(EndpointUpdate),
    /// A query arrives.
    QueryReceived(NewQuery),
    /// A part of a query arrives.
    PartReceived(NewPart),
    /// A streamed attempt has begun to answer; the client owns it now.
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
    /// A timer is due.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
    /// A probe has ended.
    HealthCheckFinished {
        /// The leaf.
        worker: WorkerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        elapsed: Duration,
        /// The leaf's load report, if one came along.
        load_report: Option<LoadReport>,
    },
}
