//! What the module remembers of one worker. This file owns the fields and what a part adds to them; each
//! concern reads and changes its own fields in its own file.

use crate::policy::estimates::{DecayingRate, INITIAL_COST_S};
use crate::policy::time::seconds;
use crate::policy::{AttemptNo, ClassId, Endpoint, EndpointStatus, RequestId, Settings, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Cost that was sent to a worker, in seconds, and when.
#[derive(Clone, Copy)]
pub struct SentCost {
    pub at: Time,
    pub cost: f64,
}

/// The ejection of a worker: no attempt goes to it before `retry_at`, and from then on half-open attempts
/// only.
#[derive(Clone, Copy)]
pub struct Ejection {
    pub retry_at: Time,
    /// The time that a half-open attempt puts before the next one; each doubles it.
    pub duration: Duration,
}

/// A worker as this aggregator knows it.
#[derive(Default)]
pub struct WorkerState {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// The start of its warm-up.
    pub warming_since: Option<Time>,
    /// What was sent to it within a warm-up, for the slow-start budget.
    pub recent_sends: VecDeque<SentCost>,
    /// Cost of its attempts in flight, in seconds.
    pub outstanding_cost: f64,
    /// Its attempts in flight by the time of sending.
    pub in_flight: BTreeSet<(Time, RequestId, AttemptNo)>,
    /// Parts that still fit the call that was opened in this step.
    pub parts_left_in_call: u32,
    /// The utilization that it reported last, and when.
    pub utilization: Option<f64>,
    pub last_report_at: Option<Time>,
    /// Running means of its latency and of the latency that the model expected, in seconds: their ratio is
    /// the worker's slowdown.
    pub mean_latency: f64,
    pub mean_expected_latency: f64,
    pub last_success_at: Time,
    /// When it last responded in any way, and whether it is ejected because it did not.
    pub last_response_at: Time,
    pub unresponsive: bool,
    /// It is ejected because its zone seems lost, and for nothing of its own.
    pub ejected_with_zone: bool,
    /// When an attempt was sent that could not connect, with no response since.
    pub connect_failed_at: Option<Time>,
    pub consecutive_failures: u32,
    /// Failure rates of its attempts: of each class, and of all (`None`).
    pub failure_rates: BTreeMap<Option<ClassId>, DecayingRate>,
    /// `None` while it takes attempts like any other.
    pub ejection: Option<Ejection>,
    pub health_check_in_flight: bool,
    /// Its last health check succeeded, or none was needed.
    pub passes_health_checks: bool,
    pub next_health_check_at: Time,
    /// Cost of the parts that it served, in seconds a second, decaying.
    pub served_cost_rate: f64,
}

impl WorkerState {
    /// A worker of which nothing is known yet.
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

    /// Counts a part of this cost, and its place in the step's call.
    pub(super) fn add_part(&mut self, cost: f64, parts_per_call: u32) {
        self.outstanding_cost += cost;
        self.parts_left_in_call =
            self.parts_left_in_call.checked_sub(1).unwrap_or(parts_per_call.saturating_sub(1));
    }

    /// Seconds of cost of the call that a further part would open.
    pub(super) fn new_call_cost(&self, settings: &Settings) -> f64 {
        if self.parts_left_in_call == 0 { seconds(settings.call_cost) } else { 0.0 }
    }
}
