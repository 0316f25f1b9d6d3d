//! What an instance is configured with.

use crate::policy::ZoneId;
use std::time::Duration;

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
