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
    LeafId(u32);
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
    Handle(u64);
    /// The number of an attempt of a part, from 0.
    AttemptNo(u32);
}

/// What a repeat of a part's effect would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Harmless.
    #[default]
    Repeatable,
    /// Dropped by the leaves while the window since the first attempt is open.
    ByKey,
    /// Done again: never to be allowed.
    Once,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer inside this time earns full worth.
    pub aim: Duration,
    /// The aim grows by this multiple of the request's own work; 0 where not set.
    pub aim_stretch: f64,
    /// The longest a client waits, over all its tries.
    pub deadline: Duration,
    /// What a repeat does.
    pub effect: Effect,
    /// For [`Effect::ByKey`]: how long repeats are dropped.
    pub window: Duration,
    /// Worth of a whole answer.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// Least share of the parts' weight for any answer.
    pub min_share: f64,
    /// Share of the parts' weight that makes an answer whole.
    pub whole_at: f64,
    /// A partial answer earns this times its share.
    pub short_worth: f64,
    /// Parts of the second step; 0 for one step.
    pub follow_up: u32,
}

/// The share of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second over all roots; `None` where unlimited.
    pub quota_per_s: Option<f64>,
}

/// A value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
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
pub enum Reports {
    /// With answers and probe results.
    Answers,
    /// With probe results only.
    Probes,
    /// Never.
    #[default]
    Silent,
}

/// The limit on further attempts; see [`Settings::budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Attempts that are free in each window.
    pub free: f64,
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
    pub roots: u32,
    /// Zone of this root.
    pub zone: ZoneId,
    /// Classes by index.
    pub classes: Vec<Class>,
    /// Tenants by index; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Share of its class's worth that a query beyond its tenant's share earns; `None` where shares do not
    /// count.
    pub over_share_worth: Option<f64>,
    /// Least time between turns.
    pub quantum: Duration,
    /// The membership list must be asked for.
    pub ask_discovery: bool,
    /// With `ask_discovery`: an instance without subscription must ask within this time.
    pub must_ask_in: Duration,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Leaves may be probed.
    pub may_probe: bool,
    /// A part may have two attempts out at once.
    pub second_copies: bool,
    /// Attempts a part may have; `None` where unlimited.
    pub most_attempts: Option<u32>,
    /// Longest pause that clients heed; `None` where they take no advice.
    pub longest_pause: Option<Duration>,
    /// Limit on further attempts; `None` where there is none.
    pub budget: Option<Budget>,
    /// Cells in the layout; 0 where not told.
    pub cells: u32,
    /// Cells in a row that hold a shard.
    pub span: u32,
    /// Shards.
    pub shards: u32,
    /// Parts that a call carries.
    pub per_call: u32,
    /// Work of a call beside its parts.
    pub call_work: Duration,
    /// Leaves serve recurring keys for less.
    pub warm_keys: bool,
    /// Points (as a share of service) for each part that crosses zones.
    pub cross_zone_price: f64,
    /// Points for work wasted, as much as was asked for.
    pub waste_price: f64,
    /// Points for one probe a part.
    pub probe_price: f64,
    /// How reports arrive.
    pub reports: Reports,
    /// Values of a report, in order.
    pub fields: Vec<Field>,
    /// Leaf sizes in the list may be set against each other.
    pub sized: bool,
    /// A fresh leaf carries at least this share of its capacity.
    pub cold_share: f64,
    /// A leaf is warm within this time of its start.
    pub warm_up: Duration,
    /// A cold leaf sent this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall: Duration,
    /// Grace for an answer after the client's time.
    pub answer_grace: Duration,
}

/// Whether a listed leaf takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
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
pub struct Entry {
    /// The leaf.
    pub leaf: LeafId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub status: Status,
    /// Its listed size.
    pub units: f64,
    /// When it last started; `None` for long ago.
    pub since: Option<Time>,
}

/// News of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// Changed entries.
    Delta(Arc<[Entry]>),
    /// The complete list.
    Full(Arc<[Entry]>),
    /// The list as last held, possibly stale.
    Cached(Arc<[Entry]>),
    /// A call failed or the subscription broke.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Done,
    /// Error; it may have run.
    Error,
    /// Turned away unseen.
    Busy,
    /// No reply in time.
    TimedOut,
    /// No connection.
    Refused,
    /// The connection broke.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Skipped,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Outcome::Busy | Outcome::Refused | Outcome::Skipped)
    }
}

/// The values of a load report in the order of [`Settings::fields`].
pub type Report = Vec<Option<f64>>;

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
    pub retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct NewPart {
    /// Its id.
    pub id: RequestId,
    /// What it is about.
    pub key: Option<Arc<str>>,
    /// Rough expected work.
    pub hint: Option<Duration>,
    /// Joins it to its query.
    pub job: JobId,
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the step's weight.
    pub weight: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The part.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The leaf it went to.
    pub leaf: LeafId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The part is over.
    pub over: bool,
    /// The leaf's load report, if one came along.
    pub report: Option<Report>,
}

/// What a root tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the membership.
    Membership(Membership),
    /// A query arrives.
    Query(NewQuery),
    /// A part of a query arrives.
    Part(NewPart),
    /// A streamed attempt has begun to answer; the client owns it now.
    Streaming {
        /// The part.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Ended(AttemptEnd),
    /// The client of a query has left.
    ClientLeft {
        /// The query.
        id: RequestId,
    },
    /// A timer is due.
    Due {
        /// The timer.
        handle: Handle,
    },
    /// A probe has ended.
    Probed {
        /// The leaf.
        leaf: LeafId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Duration,
        /// The leaf's load report, if one came along.
        report: Option<Report>,
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
        leaf: LeafId,
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
    Answer {
        /// The query.
        id: RequestId,
        /// The answer is whole.
        whole: bool,
    },
    /// Refuse a query: a retry is harmless.
    Refuse {
        /// The query.
        id: RequestId,
        /// When to come back; `None` for no advice.
        pause: Option<Duration>,
    },
    /// Fail a query, with no promise.
    Fail {
        /// The query.
        id: RequestId,
    },
    /// Send [`Event::Due`] after a time.
    Wake {
        /// How long from now.
        after: Duration,
        /// Comes back with the event.
        handle: Handle,
    },
    /// Probe a leaf.
    Probe {
        /// The leaf.
        leaf: LeafId,
    },
    /// Subscribe to the membership list.
    Watch,
    /// Write a line for the people on call.
    Trace {
        /// The line.
        text: String,
    },
}
