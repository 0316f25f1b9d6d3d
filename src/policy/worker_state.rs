//! The state that an aggregator keeps for each worker. This file declares the fields and the accounting of
//! parts; outlier detection, slow start, health checks and the other files each read and change their own
//! fields.

use crate::policy::estimates::{DecayingRate, INITIAL_COST_S};
use crate::policy::time::seconds;
use crate::policy::{AttemptNo, ClassId, Endpoint, EndpointStatus, RequestId, Settings, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The cost of an attempt that was sent to a worker.
#[derive(Clone, Copy)]
pub struct SentCost {
    pub at: Time,
    /// Cost in seconds, including that of a new call.
    pub cost: f64,
}

/// The ejection of a worker. As long as a part has a healthy replica that it has not tried, it is not sent
/// to the worker before `retry_at`, and from then on only as a half-open attempt.
#[derive(Clone, Copy)]
pub struct Ejection {
    pub retry_at: Time,
    /// The time from the next half-open attempt to the one after it. Each half-open attempt doubles it.
    pub duration: Duration,
}

/// The state of one worker at this aggregator.
#[derive(Default)]
pub struct WorkerState {
    /// The worker's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// When the worker's warm-up started; `None` if no start within the warm-up time was listed.
    pub warming_since: Option<Time>,
    /// The attempts sent within the last warm-up time, for the slow-start budget.
    pub recent_sends: VecDeque<SentCost>,
    /// Cost of the attempts in flight, in seconds.
    pub outstanding_cost: f64,
    /// The attempts in flight, in the order in which they were sent.
    pub in_flight: BTreeSet<(Time, RequestId, AttemptNo)>,
    /// Number of parts that the call opened in this step can still carry.
    pub parts_left_in_call: u32,
    /// The utilization that was last reported, or assumed because the worker was overdue or failed.
    pub utilization: Option<f64>,
    /// When `utilization` was last set.
    pub last_report_at: Option<Time>,
    /// Running mean of the worker's latency, in seconds. Its ratio to `mean_expected_latency` is the
    /// worker's slowdown.
    pub mean_latency: f64,
    /// Running mean of the latency that the model expected of the same attempts, in seconds.
    pub mean_expected_latency: f64,
    pub last_success_at: Time,
    /// When the worker last responded with an answer, an error or a rejection.
    pub last_response_at: Time,
    /// Whether the worker was ejected because it does not respond, and has not responded since.
    pub unresponsive: bool,
    /// Whether the worker is ejected only because its whole zone does not respond.
    pub ejected_with_zone: bool,
    /// When the last attempt was sent that could not connect; `None` once the worker responds.
    pub connect_failed_at: Option<Time>,
    pub consecutive_failures: u32,
    /// Failure rates of the worker's attempts, by class, and over all classes under `None`.
    pub failure_rates: BTreeMap<Option<ClassId>, DecayingRate>,
    /// The worker's ejection; `None` while it is in normal use.
    pub ejection: Option<Ejection>,
    pub health_check_in_flight: bool,
    /// Whether the last health check succeeded; `true` before the first one.
    pub passes_health_checks: bool,
    pub next_health_check_at: Time,
    /// Decaying rate of the cost of the parts that the worker served, in seconds of cost per second.
    pub served_cost_rate: f64,
}

impl WorkerState {
    /// Creates the state of a worker that was listed for the first time.
    pub(super) fn new(now: Time) -> Self {
        WorkerState {
            mean_latency: INITIAL_COST_S,
            mean_expected_latency: INITIAL_COST_S,
            passes_health_checks: true,
            last_success_at: now,
            next_health_check_at: now,
            ..WorkerState::default()
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.endpoint.status == EndpointStatus::Active
    }

    /// Adds the cost of a part, and its place in the call of this step. A part that fits no open call opens
    /// a new one.
    pub(super) fn add_part(&mut self, cost: f64, parts_per_call: u32) {
        self.outstanding_cost += cost;
        self.parts_left_in_call =
            self.parts_left_in_call.checked_sub(1).unwrap_or(parts_per_call.saturating_sub(1));
    }

    /// The cost in seconds of the call that a further part would open; zero if the part fits an open call.
    pub(super) fn new_call_cost(&self, settings: &Settings) -> f64 {
        if self.parts_left_in_call == 0 { seconds(settings.call_cost) } else { 0.0 }
    }
}
