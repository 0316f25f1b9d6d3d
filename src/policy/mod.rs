//! Every decision of the gatherer. The types of its settings, events and actions are in `types.rs`, the
//! fields of what it remembers in `state.rs`.
//!
//! Order: constants, state, the turn, then membership, reports and multipliers, replica choice, admission and
//! refusal, attempts, health, ending a query. `README.md` tells how the module sits in the program.

mod action;
mod admission;
mod attempts;
mod client_retries;
mod completion;
mod endpoints;
mod estimates;
mod event;
mod health_checks;
mod ids;
mod load_reports;
mod outlier_detection;
mod queries;
mod replica_selection;
mod retry_budget;
mod settings;
mod slow_start;
mod snapshot;
mod tenant_quota;
mod time;
mod worker_state;

use client_retries::ClientRetries;
use estimates::{LatencyModel, initial_cost};
use outlier_detection::MIN_EJECTION_TIME;
use queries::{Part, Query};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tenant_quota::TenantShares;
use time::seconds;
use worker_state::WorkerState;

pub use action::Action;
pub use event::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, EndpointUpdate, Event, LoadReport, NewPart,
    NewQuery,
};
pub use ids::{AttemptNo, CellId, ClassId, JobId, RequestId, ShardId, TenantId, TimerId, WorkerId, ZoneId};
pub use settings::{Class, Idempotency, ReportField, ReportSource, RetryBudget, Settings, Tenant};
pub use snapshot::PolicySnapshot;
pub use time::Time;

/// Time between turns while nothing arrives: fine enough for aims of a second, coarse enough to be free.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Turns' worth of absence past which this root itself stood still: ages then tell of it, not of the leaves.
const STALL_STEPS: f64 = 10.0;

/// The decisions of one root. See the crate's page for how to embed it.
#[derive(Default)]
pub struct Aggregator {
    settings: Settings,
    random: fastrand::Rng,
    now: Time,
    workers: BTreeMap<WorkerId, WorkerState>,
    /// Multipliers m of the active replicas of each shard.
    replica_sets: BTreeMap<ShardId, Vec<(WorkerId, f64)>>,
    queries: BTreeMap<RequestId, Query>,
    jobs: BTreeMap<JobId, RequestId>,
    parts: BTreeMap<RequestId, Part>,
    /// Requests taken and further attempts made inside the budget's window.
    request_times: VecDeque<Time>,
    client_retries: ClientRetries,
    extra_attempts: VecDeque<(Time, bool)>,
    tenant_quota: TenantShares,
    latency_model: LatencyModel,
    /// Share of late attempts that were turned away or timed out.
    recent_failure_rate: f64,
    /// Mean utilization that answers report.
    mean_reported_utilization: f64,
    /// Mean seconds between queries, and the last one's arrival.
    query_interval: f64,
    last_query_at: Time,
    /// When any leaf last answered.
    last_success_at: Time,
    /// Work of a part without waiting, by class.
    base_latency: Vec<f64>,
    subscribe_at: Option<Time>,
    subscribe_backoff: Duration,
    timer_set: bool,
    /// First turn, and this instance's place by chance in a stretched window of the cold allowance.
    started_at: Time,
    stalled: bool,
    /// Suspects tried in this turn.
    half_open_attempts: usize,
    slow_start_phase: f64,
}

impl Aggregator {
    /// A fresh instance.
    pub fn new(settings: Settings) -> Self {
        let mut random = fastrand::Rng::with_seed(settings.seed);
        Aggregator {
            slow_start_phase: random.f64(),
            random,
            started_at: Time(u64::MAX),
            query_interval: 1.0,
            base_latency: vec![initial_cost(&settings); settings.classes.len()],
            subscribe_at: settings.poll_discovery.then_some(Time(0)),
            subscribe_backoff: MIN_EJECTION_TIME,
            client_retries: ClientRetries::new(&settings),
            settings,
            ..Aggregator::default()
        }
    }

    /// Applies all events of a turn, then decides once.
    pub fn step(&mut self, now: Time, events: impl IntoIterator<Item = Event>, actions: &mut Vec<Action>) {
        self.half_open_attempts = 0;
        self.stalled =
            self.started_at < now && seconds(now.since(self.now)) > STALL_STEPS * seconds(STEP_INTERVAL);
        self.now = self.now.max(now);
        self.started_at = self.started_at.min(self.now);
        self.workers.values_mut().for_each(|worker| worker.parts_left_in_call = 0);
        events.into_iter().for_each(|event| self.apply(event, actions));
        // The subscription is asked for at the start, and again after each failure, with back-off.
        if self.subscribe_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::SubscribeToEndpoints);
        }
        self.eject_unresponsive(actions);
        self.complete_queries(actions);
        self.admit(actions);
        self.retry_or_hedge(actions);
        self.send_health_checks(actions);
        if !self.timer_set {
            self.timer_set = true;
            actions.push(Action::SetTimer { after: STEP_INTERVAL, timer: TimerId(0) });
        }
    }

    fn class(&self, id: ClassId) -> Option<&Class> {
        self.settings.classes.get(id.0)
    }

    fn apply(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate(news) => self.apply_endpoint_update(news),
            Event::QueryReceived(query) => self.receive_query(query),
            Event::PartReceived(part) => self.receive_part(part),
            Event::StreamingStarted { .. } => {}
            Event::AttemptFinished(end) => self.finish_attempt(end),
            Event::ClientDisconnected { id } => self.cancel(id, actions),
            Event::TimerFired { timer: _ } => self.timer_set = false,
            Event::HealthCheckFinished { worker, outcome, elapsed: _, load_report: report } => {
                self.finish_health_check(worker, outcome, report)
            }
        }
    }
}
