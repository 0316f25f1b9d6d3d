//! Settings, events, actions and ids of the decision module, as plain types. Nothing here decides.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A moment on the aggregator's clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Time from `earlier` to `self`; nought if `earlier` is the later one.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
    /// The moment `span` later.
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $($(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);)*
    };
}
ids! {
    /// A query, or one part of it.
    RequestId(u64);
    /// The number that joins a query and its parts at one root.
    JobId(u64);
    /// A server that answers parts.
    WorkerId(u32);
    /// A slice of the data; `shard s` is held by `span` cells in a row from cell `s`.
    ShardId(u32);
    /// A position of a leaf in the layout.
    CellId(u32);
    /// A class of query, as an index into [`Settings::classes`].
    ClassId(usize);
    /// A tenant, as an index into [`Settings::tenants`].
    TenantId(usize);
    /// A zone.
    ZoneId(u32);
    /// A number that comes back with a timer.
    TimerId(u64);
    /// The number of an attempt of a part, from 0.
    AttemptNo(u32);
}

/// What a repeat of a part's effect would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless.
    #[default]
    Idempotent,
    /// Dropped by the leaves while the window since the first attempt is open.
    Keyed,
    /// Done again: never to be allowed.
    NonIdempotent,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer inside this time earns full worth.
    pub latency_objective: Duration,
    /// The aim grows by this multiple of the request's own work; 0 where not set.
    pub objective_stretch: f64,
    /// The longest a client waits, over all its tries.
    pub deadline: Duration,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// For [`Idempotency::ByKey`]: how long repeats are dropped.
    pub repeat_window: Duration,
    /// Worth of a whole answer.
    pub priority_weight: f64,
    /// Share of the worth that a late answer earns.
    pub late_weight: f64,
    /// Least share of the parts' weight for any answer.
    pub min_coverage: f64,
    /// Share of the parts' weight that makes an answer whole.
    pub complete_coverage: f64,
    /// A partial answer earns this times its share.
    pub partial_weight: f64,
    /// Parts of the second step; 0 for one step.
    pub second_step_parts: u32,
}

/// The share of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second over all roots; `None` where unlimited.
    pub quota_per_s: Option<f64>,
}

/// A value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Share of the processors in use.
    Busy,
    /// Parts being handled.
    InFlight,
    /// Parts waiting.
    Queued,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Parts served a second.
    Rate,
    /// Anything else.
    Unknown,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With answers and probe results.
    Responses,
    /// With probe results only.
    HealthChecks,
    /// Never.
    #[default]
    None,
}

/// The limit on further attempts; see [`Settings::budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are free in each window.
    pub free_attempts: f64,
    /// Attempts for each request taken in the window.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
}

/// What an instance is told at its start. An absent setting has the value that forbids or costs nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Seed of the instance's generator.
    pub seed: u64,
    /// Roots in the fleet, this one included; at least 1.
    pub fleet_size: u32,
    /// Zone of this root.
    pub zone: ZoneId,
    /// Classes by index.
    pub classes: Vec<Class>,
    /// Tenants by index; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Share of its class's worth that a query beyond its tenant's share earns; `None` where shares do not
    /// count.
    pub over_quota_weight: Option<f64>,
    /// Least time between turns.
    pub min_step_interval: Duration,
    /// The membership list must be asked for.
    pub poll_discovery: bool,
    /// With `ask_discovery`: an instance without subscription must ask within this time.
    pub poll_within: Duration,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Leaves may be probed.
    pub may_health_check: bool,
    /// A part may have two attempts out at once.
    pub hedging_allowed: bool,
    /// Attempts a part may have; `None` where unlimited.
    pub max_attempts: Option<u32>,
    /// Longest pause that clients heed; `None` where they take no advice.
    pub max_retry_after: Option<Duration>,
    /// Limit on further attempts; `None` where there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Cells in the layout; 0 where not told.
    pub cells: u32,
    /// Cells in a row that hold a shard.
    pub cells_per_shard: u32,
    /// Shards.
    pub shards: u32,
    /// Parts that a call carries.
    pub parts_per_call: u32,
    /// Work of a call beside its parts.
    pub call_cost: Duration,
    /// Leaves serve recurring keys for less.
    pub keys_are_cached: bool,
    /// Points (as a share of service) for each part that crosses zones.
    pub cross_zone_price: f64,
    /// Points for work wasted, as much as was asked for.
    pub waste_price: f64,
    /// Points for one probe a part.
    pub health_check_price: f64,
    /// How reports arrive.
    pub report_source: ReportSource,
    /// Values of a report, in order.
    pub report_fields: Vec<ReportField>,
    /// Leaf sizes in the list may be set against each other.
    pub sizes_comparable: bool,
    /// A fresh leaf carries at least this share of its capacity.
    pub cold_capacity_fraction: f64,
    /// A leaf is warm within this time of its start.
    pub warm_up: Duration,
    /// A cold leaf sent this multiple of its capacity ...
    pub slow_start_budget_factor: f64,
    /// ... for this long falls over.
    pub slow_start_budget_window: Duration,
    /// Grace for an answer after the client's time.
    pub response_grace: Duration,
}

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

/// What the module asks of its root.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The part.
        id: RequestId,
        /// The leaf.
        worker: WorkerId,
        /// The attempt's time-out.
        timeout: Duration,
    },
    /// Quit waiting for an attempt.
    Cancel {
        /// The part.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Answer a query from the parts that are in.
    Respond {
        /// The query.
        id: RequestId,
        /// The answer is whole.
        complete: bool,
    },
    /// Refuse a query: a retry is harmless.
    Reject {
        /// The query.
        id: RequestId,
        /// When to come back; `None` for no advice.
        retry_after: Option<Duration>,
    },
    /// Fail a query, with no promise.
    Fail {
        /// The query.
        id: RequestId,
    },
    /// Send [`Event::Due`] after a time.
    SetTimer {
        /// How long from now.
        after: Duration,
        /// Comes back with the event.
        timer: TimerId,
    },
    /// Probe a leaf.
    SendHealthCheck {
        /// The leaf.
        worker: WorkerId,
    },
    /// Subscribe to the membership list.
    SubscribeToEndpoints,
    /// Write a line for the people on call.
    Log {
        /// The line.
        text: String,
    },
}
