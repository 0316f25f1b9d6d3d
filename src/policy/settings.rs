//! The configuration of an aggregator: classes, tenants, limits, prices and the layout of the data.

use crate::policy::ZoneId;
use std::time::Duration;

/// The effect of running a part a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run does no harm.
    #[default]
    Idempotent,
    /// Workers drop a repeat by its idempotency key within [`Class::repeat_window`] of the first attempt.
    Keyed,
    /// A second run repeats the effect and must not happen.
    NonIdempotent,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full weight.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of the request's own cost; 0 if not set.
    pub objective_stretch: f64,
    /// The time for which a client waits at most, over all its attempts.
    pub deadline: Duration,
    /// The effect of a second run.
    pub idempotency: Idempotency,
    /// With [`Idempotency::Keyed`]: the time from the first attempt within which workers drop repeats.
    pub repeat_window: Duration,
    /// Weight of a complete answer.
    pub priority_weight: f64,
    /// Share of the weight that a late answer earns.
    pub late_weight: f64,
    /// Share of the parts' weight that any answer must cover.
    pub min_coverage: f64,
    /// Share of the parts' weight from which an answer is complete.
    pub complete_coverage: f64,
    /// A partial answer earns this share of the weight, in proportion to its coverage.
    pub partial_weight: f64,
    /// Number of parts in the second step; 0 if the class has one step.
    pub second_step_parts: u32,
}

/// The quota of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Queries per second over all aggregators; `None` if unlimited.
    pub quota_per_s: Option<f64>,
}

/// The meaning of a value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Share of the processors in use.
    Busy,
    /// Number of parts being served.
    InFlight,
    /// Number of parts waiting in the worker's queue.
    Queued,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Parts served per second.
    Rate,
    /// A value that the decision module does not use.
    Unknown,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With responses and health checks.
    Responses,
    /// With health checks only.
    HealthChecks,
    /// Workers send no load reports.
    #[default]
    None,
}

/// The limit on retries and hedged requests; see [`Settings::retry_budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Extra attempts that are allowed in each window regardless of the number of requests.
    pub free_attempts: f64,
    /// Further extra attempts per request received in the window.
    pub ratio: f64,
    /// The time over which requests and extra attempts are counted.
    pub window: Duration,
}

/// The configuration of an aggregator. By default, permissions are not given, optional limits are not set
/// and prices are zero.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Seed of the aggregator's random number generator.
    pub seed: u64,
    /// Aggregators in the fleet, this one included; at least 1.
    pub fleet_size: u32,
    /// The zone of this aggregator.
    pub zone: ZoneId,
    /// The classes of queries, indexed by [`ClassId`](crate::policy::ClassId).
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`TenantId`](crate::policy::TenantId); empty if there are none.
    pub tenants: Vec<Tenant>,
    /// Share of its class's weight that a query beyond its tenant's quota earns; `None` if quotas are not
    /// applied.
    pub over_quota_weight: Option<f64>,
    /// Shortest time between steps.
    pub min_step_interval: Duration,
    /// Whether the aggregator must subscribe to the endpoint list.
    pub poll_discovery: bool,
    /// With `poll_discovery`: the time within which an aggregator without a subscription must subscribe.
    pub poll_within: Duration,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks may be sent to workers.
    pub may_health_check: bool,
    /// Whether a part may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Upper bound of a part's attempts; `None` if unlimited.
    pub max_attempts: Option<u32>,
    /// Longest `Retry-After` that clients follow; `None` if they follow none.
    pub max_retry_after: Option<Duration>,
    /// Limit on retries and hedged requests; `None` if there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Number of cells in the layout; 0 if the layout has no cells.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub cells_per_shard: u32,
    /// Number of shards.
    pub shards: u32,
    /// Number of parts that a call to a worker can carry.
    pub parts_per_call: u32,
    /// Cost of a call in addition to the cost of its parts.
    pub call_cost: Duration,
    /// Whether workers cache by key and serve recurring keys at a lower cost.
    pub keys_are_cached: bool,
    /// Points deducted, as a share of service, for each part that crosses zones.
    pub cross_zone_price: f64,
    /// Points deducted if as much work is wasted as was requested.
    pub waste_price: f64,
    /// Points deducted if one health check is sent per part.
    pub health_check_price: f64,
    /// How load reports arrive.
    pub report_source: ReportSource,
    /// The meaning of each value of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Whether the sizes of workers in the endpoint list may be compared with each other.
    pub sizes_comparable: bool,
    /// Lower bound of a worker's capacity at its start, as a share of its capacity when warm.
    pub cold_capacity_fraction: f64,
    /// The time from a worker's start after which it is warm.
    pub warm_up: Duration,
    /// A warming-up worker fails if it is sent this multiple of its current capacity throughout
    /// `slow_start_budget_window`.
    pub slow_start_budget_factor: f64,
    /// The time over which the load of a warming-up worker is compared with its capacity.
    pub slow_start_budget_window: Duration,
    /// Time after the client's deadline within which a response is still accepted.
    pub response_grace: Duration,
}
