//! The decision module: which replica a part goes to, when to retry or hedge, which queries to reject and
//! when to answer. [`Aggregator`] owns the state and runs the decisions of a step in a fixed order; each
//! kind of decision has its own file. The module does no I/O and reads no clock: events and the current
//! time are passed in, and actions are returned.

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
use endpoints::Subscription;
use estimates::Estimates;
use load_reports::Replica;
use queries::{Part, Query};
use retry_budget::AttemptWindow;
use std::collections::BTreeMap;
use std::time::Duration;
use tenant_quota::TenantQuotas;
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

/// Time between steps while no event arrives: short against latency objectives of a second, and long enough
/// that the steps cost next to nothing.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// A gap between two steps of more than this many step intervals shows that this aggregator itself was
/// paused: the ages of attempts then say nothing about the workers.
const STALL_THRESHOLD_STEPS: f64 = 10.0;

/// The state and the decisions of one aggregator. The crate's documentation shows how to embed it.
#[derive(Default)]
pub struct Aggregator {
    settings: Settings,
    random: fastrand::Rng,
    /// The time of the current step.
    now: Time,
    /// The time of the first step; [`u64::MAX`] before it.
    started_at: Time,
    /// Whether the aggregator was paused between the previous step and this one.
    stalled: bool,
    /// Whether a timer is set that has not fired yet.
    timer_set: bool,

    subscription: Subscription,
    workers: BTreeMap<WorkerId, WorkerState>,
    replica_sets: BTreeMap<ShardId, Vec<Replica>>,

    queries: BTreeMap<RequestId, Query>,
    /// The query of each job.
    jobs: BTreeMap<JobId, RequestId>,
    parts: BTreeMap<RequestId, Part>,

    client_retries: ClientRetries,
    tenant_quotas: TenantQuotas,
    attempt_window: AttemptWindow,
    /// Half-open attempts planned in this step.
    half_open_attempts: usize,
    /// Share of a part's cost, random from 0 to 1, that must have accrued before this aggregator sends its
    /// first part to a warming-up worker whose budget holds less than a part. It differs between
    /// aggregators, so that they don't all send at once.
    slow_start_jitter: f64,

    estimates: Estimates,
}

impl Aggregator {
    /// Creates an aggregator without workers; the first endpoint update lists them.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let mut random = fastrand::Rng::with_seed(settings.seed);
        Aggregator {
            slow_start_jitter: random.f64(),
            random,
            started_at: Time(u64::MAX),
            estimates: Estimates::new(&settings),
            subscription: Subscription::new(&settings),
            client_retries: ClientRetries::new(&settings),
            settings,
            ..Aggregator::default()
        }
    }

    /// Applies all events that arrived at `now`, decides once, and appends the resulting actions to
    /// `actions`.
    pub fn step(&mut self, now: Time, events: impl IntoIterator<Item = Event>, actions: &mut Vec<Action>) {
        self.begin_step(now);
        events.into_iter().for_each(|event| self.apply(event, actions));
        if self.subscription.take_due(self.now) {
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

    /// Advances the clock, detects a pause of this aggregator and resets the counters of a single step.
    fn begin_step(&mut self, now: Time) {
        let paused = seconds(now.since(self.now)) > STALL_THRESHOLD_STEPS * seconds(STEP_INTERVAL);
        self.stalled = self.started_at < now && paused;
        self.now = self.now.max(now);
        self.started_at = self.started_at.min(self.now);
        self.half_open_attempts = 0;
        self.workers.values_mut().for_each(|worker| worker.parts_left_in_call = 0);
    }

    fn apply(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate(update) => self.apply_endpoint_update(update),
            Event::QueryReceived(query) => self.receive_query(query),
            Event::PartReceived(part) => self.receive_part(part),
            Event::StreamingStarted { .. } => {}
            Event::AttemptFinished(result) => self.finish_attempt(result),
            Event::ClientDisconnected { id } => self.cancel_query(id, actions),
            Event::TimerFired { timer: _ } => self.timer_set = false,
            Event::HealthCheckFinished { worker, outcome, elapsed: _, load_report } => {
                self.finish_health_check(worker, outcome, load_report)
            }
        }
    }

    fn class(&self, id: ClassId) -> Option<&Class> {
        self.settings.classes.get(id.0)
    }
}
