//! What a root remembers of leaves, queries and their parts, as plain fields: no decision, table or tuned
//! value stands here. Everything that reads or changes them is in `src/policy/`.

use crate::policy::time::seconds;
use crate::policy::{AttemptNo, ClassId, Endpoint, RequestId, Settings, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A leaf as this root knows it.
#[derive(Default)]
pub struct WorkerState {
    pub endpoint: Endpoint,
    /// Start of its warm-up.
    pub warming_since: Option<Time>,
    /// Work sent within a warm-up, for the cold allowance.
    pub recent_sends: VecDeque<(Time, f64)>,
    /// Work of attempts out, in seconds, and the attempts by time sent.
    pub outstanding_cost: f64,
    pub in_flight: BTreeSet<(Time, RequestId, AttemptNo)>,
    /// Parts that still fit the call opened this turn.
    pub parts_left_in_call: u32,
    /// Utilization last reported, and when.
    pub utilization: Option<f64>,
    pub last_report_at: Option<Time>,
    /// Latency seen and latency expected, on average: their ratio is the leaf's drag.
    pub mean_latency: f64,
    pub mean_expected_latency: f64,
    pub last_success_at: Time,
    /// When it last gave any answer at all, and whether it is suspect for giving none.
    pub last_response_at: Time,
    pub unresponsive: bool,
    /// It is suspect because its zone seems lost, and for nothing of its own.
    pub ejected_with_zone: bool,
    /// When an attempt was sent that could not connect, with no answer since.
    pub connect_failed_at: Option<Time>,
    pub consecutive_failures: u32,
    /// Share of attempts that stayed without answer and when that was last judged: of each class, and of all
    /// (`None`).
    pub failure_rates: BTreeMap<Option<ClassId>, (f64, Time)>,
    /// Not to be used before, and the pause that led there; `None` while trusted.
    pub ejection: Option<(Time, Duration)>,
    pub health_check_in_flight: bool,
    /// Its last probe came back, or none was needed.
    pub passes_health_checks: bool,
    pub next_health_check_at: Time,
    /// Work answered a second, decayed over `SPAN`.
    pub served_cost_rate: f64,
}

impl WorkerState {
    /// Books a part, and its place in the turn's call.
    pub(super) fn add_part(&mut self, work: f64, per_call: u32) {
        self.outstanding_cost += work;
        self.parts_left_in_call =
            self.parts_left_in_call.checked_sub(1).unwrap_or(per_call.saturating_sub(1));
    }
    /// Work of the call that a further part would open.
    pub(super) fn new_call_cost(&self, settings: &Settings) -> f64 {
        if self.parts_left_in_call == 0 { seconds(settings.call_cost) } else { 0.0 }
    }
}
