//! What an instance is configured with.

use crate::policy::ZoneId;
use std::time::Duration;

/// What a second run of a part would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless.
    #[default]
    Idempotent,
    /// Dropped by the workers while the window since the first attempt is open.
    Keyed,
    /// Done again: never to be allowed.
    NonIdempotent,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer inside this time earns the full weight.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of the request's own cost; 0 where not set.
    pub objective_stretch: f64,
    /// The longest that a client waits, over all its attempts.
    pub deadline: Duration,
    /// What a second run does.
    pub idempotency: Idempotency,
    /// For [`Idempotency::Keyed`]: how long repeats are dropped.
    pub repeat_window: Duration,
    /// Weight of a complete answer.
    pub priority_weight: f64,
    /// Share of the weight that a late answer earns.
    pub late_weight: f64,
    /// Least share of the parts' weight for any answer.
    pub min_coverage: f64,
    /// Share of the parts' weight that makes an answer complete.
    pub complete_coverage: f64,
    /// A partial answer earns this times its coverage.
    pub partial_weight: f64,
    /// Parts of the second step; 0 for one step.
    pub second_step_parts: u32,
}

/// The quota of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second over all aggregators; `None` where unlimited.
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
    /// With responses and health checks.
    Responses,
    /// With health checks only.
    HealthChecks,
    /// Never.
    #[default]
    None,
}

/// The limit on retries and hedged requests; see [`Settings::retry_budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are free in each window.
    pub free_attempts: f64,
    /// Attempts for each request received in the window.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
}

/// The configuration of an instance. An absent setting has the value that forbids or costs nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Seed of the instance's generator.
    pub seed: u64,
    /// Aggregators in the fleet, this one included; at least 1.
    pub fleet_size: u32,
    /// Zone of this aggregator.
    pub zone: ZoneId,
    /// Classes by index.
    pub classes: Vec<Class>,
    /// Tenants by index; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Share of its class's weight that a query beyond its tenant's quota earns; `None` where quotas do not
    /// count.
    pub over_quota_weight: Option<f64>,
    /// Least time between steps.
    pub min_step_interval: Duration,
    /// The endpoint list must be subscribed to.
    pub poll_discovery: bool,
    /// With `poll_discovery`: an instance without subscription must poll within this time.
    pub poll_within: Duration,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Health checks may be sent to workers.
    pub may_health_check: bool,
    /// A part may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Attempts a part may have; `None` where unlimited.
    pub max_attempts: Option<u32>,
    /// Longest `Retry-After` that clients keep to; `None` where they take no advice.
    pub max_retry_after: Option<Duration>,
    /// Limit on retries and hedged requests; `None` where there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Cells in the layout; 0 where there are none.
    pub cells: u32,
    /// Cells in a row that hold a shard.
    pub cells_per_shard: u32,
    /// Shards.
    pub shards: u32,
    /// Parts that a call carries.
    pub parts_per_call: u32,
    /// Cost of a call beside its parts.
    pub call_cost: Duration,
    /// Workers serve recurring keys for less.
    pub keys_are_cached: bool,
    /// Points (as a share of service) for each part that crosses zones.
    pub cross_zone_price: f64,
    /// Points for wasted work, as much as was requested.
    pub waste_price: f64,
    /// Points for one health check a part.
    pub health_check_price: f64,
    /// How reports arrive.
    pub report_source: ReportSource,
    /// Values of a report, in order.
    pub report_fields: Vec<ReportField>,
    /// Worker sizes in the list may be compared.
    pub sizes_comparable: bool,
    /// A worker that has just started carries at least this share of its capacity.
    pub cold_capacity_fraction: f64,
    /// A worker is warm within this time of its start.
    pub warm_up: Duration,
    /// A warming-up worker that is sent this multiple of its capacity ...
    pub slow_start_budget_factor: f64,
    /// ... for this long fails.
    pub slow_start_budget_window: Duration,
    /// Grace for a response after the client's time.
    pub response_grace: Duration,
}
