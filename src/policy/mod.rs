//! Every decision of the gatherer. The types of its settings, events and actions are in `types.rs`, the
//! fields of what it remembers in `state.rs`.
//!
//! Order: constants, state, the turn, then membership, reports and multipliers, replica choice, admission and
//! refusal, attempts, health, ending a query. `README.md` tells how the module sits in the program.

use client_retries::ClientRetries;
use estimates::{
    INITIAL_COST_S, LatencyModel, MODEL_SAMPLE_WEIGHT, SAMPLE_WEIGHT, decayed, initial_cost, normalise,
    shortest_objective, utilization,
};
use state::{Attempt, Part, Query, WorkerState, holders, seconds, span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tenant_quota::TenantShares;
use xxhash_rust::xxh3::xxh3_64;

mod client_retries;
mod estimates;
mod snapshot;
mod state;
mod tenant_quota;
mod types;

pub use snapshot::PolicySnapshot;
pub use types::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, CellId, Class, ClassId, Endpoint, EndpointStatus,
    EndpointUpdate, Event, Idempotency, JobId, LoadReport, NewPart, NewQuery, ReportField, ReportSource,
    RequestId, RetryBudget, Settings, ShardId, Tenant, TenantId, Time, TimerId, WorkerId, ZoneId,
};

/// Share of a key's work that its home is expected to save (DESIGN's P; its default).
const EXPECTED_HIT_RATE: f64 = 0.5;
/// Multiplier step a second (DESIGN's beta; left open there). One second of a full gap in utilization moves a
/// multiplier by this: seconds, not minutes, since a query's aim is seconds.
const WEIGHT_GAIN_PER_S: f64 = 0.4;
/// Least multiplier before normalising, as a share of an even one (DESIGN).
const MIN_WEIGHT_OF_EVEN: f64 = 0.1;
/// Seconds that one report may stand for: a leaf long unheard must not swing on one noisy report.
const MAX_REPORT_INTERVAL_S: f64 = 1.0;
/// Time between turns while nothing arrives: fine enough for aims of a second, coarse enough to be free.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Turns' worth of absence past which this root itself stood still: ages then tell of it, not of the leaves.
const STALL_STEPS: f64 = 10.0;
/// Deviations past the expected answer at which an attempt is overdue (as in TCP's time-out).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Share of the shortest aim past which an attempt is overdue: twice that, silence, is inside the aim.
const MAX_OVERDUE_MARGIN_OF_OBJECTIVE: f64 = 0.4;
/// Share of latencies that lie below the running base of a class: a part's work without waiting.
const BASE_QUANTILE: f64 = 0.2;
/// Failures in a row that make a leaf suspect: one may be chance.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// First pause before a suspect is tried or discovery asked again, and the longest; each failure doubles it.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(1000);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Share of the rule's push that this root lets itself use on a cold leaf: work varies, calls come on top.
const SLOW_START_BUDGET_FRACTION: f64 = 0.6;
/// Work a second that any machine carries (one core), where nothing better was observed.
const MIN_CAPACITY: f64 = 1.0;
/// Seconds over which a leaf's own answers are averaged: load changes faster than its machine.
const SERVED_RATE_DECAY_S: f64 = 5.0;
/// Seconds between a leaf's answers from which one tells as much of its drag as all before.
const SPARSE_SAMPLE_INTERVAL_S: f64 = 1.2;
/// Share of the time to the aim inside which a query must be expected where leaves are busy: guesses err, and
/// one lost late wastes all its work.
const BUSY_ADMISSION_THRESHOLD: f64 = 0.7;
/// The same share where leaves have room: a guess that errs costs little there, for a better replica is soon
/// found. And the mean utilizations between which it falls to the other.
const IDLE_ADMISSION_THRESHOLD: f64 = 1.2;
const BUSY_UTILIZATION: (f64, f64) = (0.8, 1.0);
/// Seconds of a tenant's share that it may use at once: traffic comes in bursts, and unevenly over the roots.
const QUOTA_BURST_S: f64 = 3.0;
/// Part of the usual edge of admission inside which a query beyond its tenant's share must be expected.
const OVER_QUOTA_THRESHOLD_FACTOR: f64 = 0.5;
/// Suspects tried in a turn: each may cost a query a copy.
const MAX_HALF_OPEN_ATTEMPTS_PER_STEP: usize = 2;
/// Weight of one attempt in the share that a leaf loses.
const FAILURE_RATE_SAMPLE_WEIGHT: f64 = 0.3;
/// Later attempts answered by the same leaf from which an overdue one is in no queue: one proves nothing.
const OVERTAKEN_TO_COUNT_AS_LOST: u32 = 2;
/// Parts of own work by which a replica may lag behind the soonest before that counts in its cost.
const FREE_EXCESS_LATENCY_OF_COST: f64 = 0.3;
/// Own service times left to the aim at which a copy of a late part has its last chance.
const LAST_HEDGE_SERVICE_TIMES: f64 = 2.5;
/// Gaps between this root's queries, of a second at least, in which latencies learned fade without answers.
const STALE_ESTIMATE_QUERY_INTERVALS: f64 = 2.0;
/// Late worth from which a query is worth carrying on past its aim.
const MIN_LATE_WEIGHT: f64 = 0.25;
/// Copies free in a window, and those for each request taken in it while all leaves are idle: the copies of
/// all roots are load to each.
const FREE_HEDGES: f64 = 2.0;
const HEDGES_PER_REQUEST: f64 = 0.05;
/// Share of service that probes may cost where reports come no other way: it sets the time between them.
const HEALTH_CHECK_BUDGET: f64 = 0.003;
/// Shortest and longest time between probes of one leaf.
const HEALTH_CHECK_INTERVAL_S: (f64, f64) = (0.5, 30.0);
/// Share lost from which a leaf gets none of what runs once while others do, and from which none at all.
const MAX_FAILURE_RATE: (f64, f64) = (0.15, 0.5);
/// Trials a second that one suspect may get from all roots together.
const HALF_OPEN_ATTEMPTS_PER_S: f64 = 20.0;
/// Leaves of one zone without answer, and none with, from which all of it is suspect.
const MIN_UNRESPONSIVE_IN_ZONE: usize = 3;
/// Slack in sums of weights, which come rounded: the rule on honest answers lets them fall so short.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-4;

impl WorkerState {
    /// Books a part, and its place in the turn's call.
    fn add_part(&mut self, work: f64, per_call: u32) {
        self.outstanding_cost += work;
        self.parts_left_in_call =
            self.parts_left_in_call.checked_sub(1).unwrap_or(per_call.saturating_sub(1));
    }
    /// Work of the call that a further part would open.
    fn new_call_cost(&self, settings: &Settings) -> f64 {
        if self.parts_left_in_call == 0 { seconds(settings.call_cost) } else { 0.0 }
    }
    /// Share of a class's attempts that it loses, or of all if that is more.
    fn failure_rate(&self, now: Time, class: ClassId) -> f64 {
        let share = |key| self.failure_rates.get(&key).map_or(0.0, |row| decayed(*row, now));
        share(None).max(share(Some(class)))
    }
    /// Guards against leaves that lose a share of the attempts, or one class alone. Answers fade it only.
    fn record_outcome(&mut self, now: Time, class: ClassId, lost: bool) {
        for key in [None, Some(class)] {
            let row = self.failure_rates.entry(key).or_default();
            let before = decayed(*row, now);
            *row = (before + FAILURE_RATE_SAMPLE_WEIGHT * (f64::from(u8::from(lost)) - before), now);
        }
    }
    /// Suspects it, with a first trial after a hold by lot. What says nothing is worse than what turns away.
    fn eject(&mut self, now: Time, silent: bool, hold: Duration) {
        self.unresponsive |= silent;
        if self.ejection.is_none() {
            self.ejection = Some((now.after(hold), hold));
        }
    }
    fn reinstate(&mut self) {
        (self.ejection, self.unresponsive, self.ejected_with_zone, self.consecutive_failures) =
            (None, false, false, 0);
    }
}

/// First hold of a suspect: as long as keeps the trials of so many roots together under a rate for one leaf.
fn initial_ejection_time(roots: u32, random: &mut fastrand::Rng) -> Duration {
    let fleet = f64::from(roots) / HALF_OPEN_ATTEMPTS_PER_S;
    MIN_EJECTION_TIME.max(span(fleet * (0.5 + random.f64())))
}

enum Completion {
    Respond { complete: bool },
    Reject { retry_after: Duration },
}

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

    // ---- Membership: list, discovery, drains, cold leaves ----

    fn apply_endpoint_update(&mut self, news: EndpointUpdate) {
        let (entries, complete) = match news {
            EndpointUpdate::Failed => {
                let wait = self.subscribe_backoff.mul_f64(1.0 + 0.5 * self.random.f64());
                self.subscribe_at = self.settings.poll_discovery.then_some(self.now.after(wait));
                self.subscribe_backoff = (self.subscribe_backoff * 2).min(MAX_EJECTION_TIME);
                return;
            }
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (entries, true),
        };
        self.subscribe_backoff = MIN_EJECTION_TIME;
        if complete {
            let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            for (_, worker) in self.workers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                worker.endpoint.status = EndpointStatus::Gone;
            }
        }
        for entry in entries.iter() {
            let fresh = entry.started_at.filter(|since| self.now.since(*since) < self.settings.warm_up);
            let worker = self.workers.entry(entry.worker).or_insert_with(|| WorkerState {
                mean_latency: INITIAL_COST_S,
                mean_expected_latency: INITIAL_COST_S,
                passes_health_checks: true,
                last_success_at: self.now,
                next_health_check_at: self.now,
                ..WorkerState::default()
            });
            if worker.endpoint.started_at != entry.started_at && fresh.is_some() {
                // A new process: what was held against the old one is void.
                worker.warming_since = worker.warming_since.max(fresh);
                worker.reinstate();
                worker.mean_latency = worker.mean_expected_latency;
            }
            worker.endpoint = entry.clone();
        }
        self.rebuild_replica_sets();
    }

    /// The active replicas of each shard; those that stay keep their multiplier.
    fn rebuild_replica_sets(&mut self) {
        let before = std::mem::take(&mut self.replica_sets);
        for (shard, held) in holders(&self.workers, &self.settings) {
            let mut row: Vec<(WorkerId, f64)> = held.into_iter().map(|id| (id, 1.0)).collect();
            let even = 1.0 / row.len().max(1) as f64;
            for (id, m) in &mut row {
                let known = before.get(&shard).and_then(|row| row.iter().find(|known| known.0 == *id));
                *m = known.map_or(even, |known| known.1);
            }
            normalise(&mut row);
            self.replica_sets.insert(shard, row);
        }
    }

    /// Whether a cold leaf may get this much more work now. Guards against pushing a starting leaf over: this
    /// root's share of the push that the rule allows, in every window of the rule's length.
    fn slow_start_permits(&self, worker: &WorkerState, work: f64) -> bool {
        let Some(from) = worker.warming_since else { return true };
        let rules = &self.settings;
        let age = seconds(self.now.since(from));
        let ramp = (age / seconds(rules.warm_up).max(1e-3)).min(1.0);
        if ramp >= 1.0 {
            return true;
        }
        // A warm leaf is judged by the most that one answered lately, less what so few answers may err by.
        let roots = f64::from(rules.fleet_size.max(1));
        let sure = |served: f64| roots * (served - (served * work / SERVED_RATE_DECAY_S).sqrt());
        let seen = self.workers.values().map(|worker| sure(worker.served_cost_rate)).fold(0.0, f64::max);
        let warm = seen.clamp(MIN_CAPACITY, 4.0 * MIN_CAPACITY);
        let carries = |ramp: f64| rules.cold_capacity_fraction + (1.0 - rules.cold_capacity_fraction) * ramp;
        let share = |ramp: f64| {
            SLOW_START_BUDGET_FRACTION * rules.slow_start_budget_factor * carries(ramp) * warm / roots
        };
        let push = share(ramp) * seconds(rules.slow_start_budget_window);
        let recent = worker
            .recent_sends
            .iter()
            .filter(|(at, _)| self.now.since(*at) <= rules.slow_start_budget_window);
        if work <= push {
            return recent.map(|(_, work)| work).sum::<f64>() + work <= push;
        }
        // Where its share of the window holds no whole part, a root sends one when its share since the last,
        // or by lot since the start, has grown to it: as many roots come at once as their shares add up to.
        let last = worker.recent_sends.back().filter(|(at, _)| *at >= from);
        let (since, owes) =
            last.copied().unwrap_or((from.max(self.started_at), self.slow_start_phase * work));
        let gap = seconds(self.now.since(since));
        gap * share(ramp - gap / seconds(rules.warm_up) / 2.0) >= owes
    }

    // ---- Reports and multipliers ----

    /// DESIGN's step: m += beta (mean - u) dt for each shard of the leaf, floored, then normalised.
    fn apply_load_report(&mut self, id: WorkerId, utilization: f64) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let since = worker.last_report_at.map_or(0.0, |heard| seconds(self.now.since(heard)));
        (worker.utilization, worker.last_report_at) = (Some(utilization), Some(self.now));
        let step = WEIGHT_GAIN_PER_S * since.min(MAX_REPORT_INTERVAL_S);
        if step <= 0.0 {
            return;
        }
        for row in self.replica_sets.values_mut().filter(|row| row.iter().any(|replica| replica.0 == id)) {
            let known: Vec<f64> =
                row.iter().filter_map(|replica| self.workers.get(&replica.0)?.utilization).collect();
            let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
            let least = MIN_WEIGHT_OF_EVEN / row.len() as f64;
            for replica in row.iter_mut() {
                if replica.0 == id {
                    replica.1 += step * (mean - utilization);
                }
                replica.1 = replica.1.max(least);
            }
            normalise(row);
        }
    }

    // ---- Replica choice ----

    /// Expected seconds until a leaf would answer a part of this much work.
    fn expected_latency(&self, worker: &WorkerState, work: f64) -> f64 {
        // Guards against refusing for good on stale guesses: without answers, what was learned fades.
        let fade = |since: Time| {
            (-seconds(self.now.since(since))
                / (STALE_ESTIMATE_QUERY_INTERVALS * self.query_interval.max(1.0)))
            .exp()
        };
        let (own, ahead) = self.latency_model.coefficients();
        let own = 1.0 + (own - 1.0) * fade(self.last_success_at);
        let drag = (worker.mean_latency / worker.mean_expected_latency.max(1e-6)).clamp(0.5, 20.0);
        let drag = 1.0 + (drag - 1.0) * fade(worker.last_success_at);
        (own * work + ahead * worker.outstanding_cost) * drag + self.seconds_overdue(worker)
    }

    /// The replica with the least vote over m among those that the guards let through.
    fn select_replica(&self, part: &Part) -> Option<(WorkerId, f64)> {
        let row = self.replica_sets.get(&part.request.shard)?;
        let mut open: Vec<(WorkerId, f64, &WorkerState)> =
            row.iter().filter_map(|(id, m)| Some((*id, *m, self.workers.get(id)?))).collect();
        // Health filters only while a trusted replica is left; what runs once goes to none on trial.
        let once = self.class(part.class).is_none_or(|class| class.idempotency != Idempotency::Idempotent);
        let objective_at = self.queries.get(&part.query).map_or(self.now, |query| query.objective_at);
        let trial = |worker: &WorkerState| {
            !once
                && worker.in_flight.is_empty()
                && worker.passes_health_checks
                && self.half_open_attempts < MAX_HALF_OPEN_ATTEMPTS_PER_STEP
        };
        // Guards what runs once against leaves that lose its class: refused it is harmless, lost it is not.
        let loses =
            |worker: &WorkerState, share: f64| once && worker.failure_rate(self.now, part.class) > share;
        let sound =
            |worker: &WorkerState| worker.ejection.is_none_or(|(next, _)| next <= self.now && trial(worker));
        let trusted = |worker: &WorkerState| sound(worker) && !loses(worker, MAX_FAILURE_RATE.0);
        let speaks = |worker: &WorkerState| !worker.unresponsive && !loses(worker, MAX_FAILURE_RATE.0);
        // What has failed at all that are trusted goes to a suspect that speaks, not to the same again.
        let fresh = |id: WorkerId| part.attempts.iter().all(|attempt| attempt.worker != id);
        let ended = !part.attempts.iter().any(|attempt| attempt.is_in_flight());
        let left =
            |may: &dyn Fn(&WorkerState) -> bool| open.iter().any(|(id, _, worker)| fresh(*id) && may(worker));
        let elsewhere = ended && !left(&trusted) && left(&speaks);
        if !elsewhere && open.iter().any(|(_, _, worker)| trusted(worker)) {
            open.retain(|(_, _, worker)| trusted(worker));
        } else if open.iter().any(|(_, _, worker)| speaks(worker)) {
            open.retain(|(_, _, worker)| speaks(worker));
        }
        open.retain(|(_, _, worker)| self.is_eligible(part, worker) && !loses(worker, MAX_FAILURE_RATE.1));
        if open.iter().any(|(id, _, _)| fresh(*id)) {
            open.retain(|(id, _, _)| fresh(*id));
        }
        let expect = |worker: &WorkerState| self.expected_latency(worker, part.cost);
        let soonest = open.iter().map(|(_, _, worker)| expect(worker)).fold(f64::INFINITY, f64::min);
        let fingerprint = part.key_hash.unwrap_or(xxh3_64(&part.request.id.0.to_le_bytes()));
        let home = row.iter().map(|(id, _)| *id).max_by_key(|id| rendezvous_hash(fingerprint, *id));
        // A keyless part goes by its fingerprint's place among the replicas, laid end to end by m.
        let total: f64 = open.iter().map(|(_, m, _)| m).sum();
        let mut place = total * (fingerprint >> 11) as f64 / (1u64 << 53) as f64;
        let split = open.iter().find(|(_, m, _)| {
            place -= m;
            place < 0.0
        });
        let waste = self.settings.waste_price;
        let priced = if waste > 0.0 { self.settings.cross_zone_price / waste } else { 0.0 };
        let cost = |(id, m, worker): &(WorkerId, f64, &WorkerState)| {
            let saved = if part.key_hash.is_some() && home == Some(*id) { EXPECTED_HIT_RATE } else { 0.0 };
            let vote = part.cost * (1.0 - saved) / (m * row.len() as f64);
            // Departure "lag": acts when a replica would answer later than the soonest by LAG of own work.
            let lag = (expect(worker) - soonest - FREE_EXCESS_LATENCY_OF_COST * part.cost).max(0.0);
            // Departure "loss": acts once more than one answer stayed out; the time until that is seen.
            // What may not be sent again waits in vain until its aim, and one loss counts.
            let loss = match once {
                true => worker.failure_rate(self.now, part.class) * seconds(objective_at.since(self.now)),
                false => {
                    (worker.failure_rate(self.now, part.class) - FAILURE_RATE_SAMPLE_WEIGHT).max(0.0)
                        * (expect(worker) + self.overdue_margin())
                }
            };
            let vote =
                if part.key_hash.is_none() && split.is_some_and(|to| to.0 == *id) { 0.0 } else { vote };
            // Departure "crossing": acts where crossing zones has a price; in work that costs the same.
            let crosses = worker.endpoint.zone != self.settings.zone;
            let crossing = if crosses { part.cost * priced } else { 0.0 };
            // Departure "call": acts where a call costs work and none to the replica is open in this turn.
            (
                vote + crossing + worker.new_call_cost(&self.settings) + lag + loss,
                rendezvous_hash(fingerprint, *id),
            )
        };
        let best = open.iter().min_by(|a, b| {
            let (a, b) = (cost(a), cost(b));
            a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
        })?;
        Some((best.0, expect(best.2)))
    }

    // ---- Admission and refusal ----

    /// Books a query with its tenant, and tells whether it goes beyond the tenant's share at this root. A
    /// client's repeat belongs to its first try, and uses up nothing.
    fn exceeds_quota(&mut self, asked: &NewQuery) -> bool {
        let quota = |tenant: TenantId| self.settings.tenants.get(tenant.0)?.quota_per_s;
        let Some((tenant, quota)) = asked.tenant.and_then(|tenant| Some((tenant, quota(tenant)?))) else {
            return false;
        };
        let rate = quota / f64::from(self.settings.fleet_size.max(1));
        let exceeded = self.tenant_quota.exceeded(self.now, tenant, rate, QUOTA_BURST_S, asked.is_retry);
        exceeded && self.settings.over_quota_weight.is_some_and(|worth| worth < 1.0)
    }

    fn receive_query(&mut self, asked: NewQuery) {
        let over_quota = self.exceeds_quota(&asked);
        self.request_times.push_back(self.now);
        let gap = seconds(self.now.since(self.last_query_at.max(self.started_at)));
        (self.query_interval, self.last_query_at) =
            (self.query_interval + 0.2 * (gap - self.query_interval), self.now);
        self.jobs.insert(asked.job, asked.id);
        // When its aim is missed is reckoned once its parts are in: they tell whose repeat it is.
        let (objective_at, parts) = (asked.valid_until, Vec::new());
        let query = Query {
            objective_at,
            parts,
            admitted: false,
            over_quota,
            first_step_complete: None,
            request: asked,
        };
        self.queries.insert(query.request.id, query);
    }

    fn receive_part(&mut self, asked: NewPart) {
        self.request_times.push_back(self.now);
        let query = self.jobs.get(&asked.job).and_then(|owner| self.queries.get_mut(owner));
        let Some(query) = query else { return };
        query.parts.push(asked.id);
        let class = query.request.class;
        let usual = self.base_latency.get(class.0).copied().unwrap_or(INITIAL_COST_S);
        let part = Part {
            query: query.request.id,
            class,
            key_hash: asked.key.as_ref().map(|key| xxh3_64(key.as_bytes())),
            cost: asked.cost_hint.map(seconds).filter(|work| *work > 0.0).unwrap_or(usual),
            attempts: Vec::new(),
            succeeded: false,
            finished: false,
            released: false,
            request: asked,
        };
        self.parts.insert(part.request.id, part);
    }

    /// Reckons when a query's aim is missed: a client's repeat belongs to its first try.
    fn compute_objective_at(&mut self, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(class) = self.settings.classes.get(query.request.class.0) else { return };
        let parts: Vec<&NewPart> =
            query.parts.iter().filter_map(|part| Some(&self.parts.get(part)?.request)).collect();
        let waited = self.client_retries.waited(self.now, &query.request, &parts, class);
        let aim = class.latency_objective.saturating_sub(span(waited));
        query.objective_at = self.now.after(aim).min(query.request.valid_until);
    }

    /// Takes the queries that can be answered within their aim, those worth most for their work first, and
    /// refuses the others at once.
    fn admit(&mut self, actions: &mut Vec<Action>) {
        let new =
            self.queries.iter().filter(|(_, query)| !query.admitted && query.first_step_complete.is_none());
        new.map(|(id, _)| *id).collect::<Vec<_>>().into_iter().for_each(|id| self.compute_objective_at(id));
        let mut fresh: Vec<(f64, RequestId)> = Vec::new();
        let waits = |query: &Query| query.first_step_complete.is_some() && query.parts.is_empty();
        for (id, query) in self.queries.iter().filter(|(_, query)| !query.admitted && !waits(query)) {
            let work: f64 =
                query.parts.iter().filter_map(|part| self.parts.get(part)).map(|part| part.cost).sum();
            let worth = self.class(query.request.class).map_or(0.0, |class| class.priority_weight);
            let share = if query.over_quota { self.settings.over_quota_weight.unwrap_or(1.0) } else { 1.0 };
            let worth = worth * share;
            fresh.push((worth / work.max(1e-6), *id));
        }
        fresh.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in fresh {
            self.try_admit(id, actions);
        }
    }

    /// Share of the time to the aim inside which a query must be expected: the less, the busier leaves report
    /// to be. Guards against refusing on a quiet fleet what any replica would have served.
    fn admission_threshold(&self) -> f64 {
        let known: Vec<f64> = self.workers.values().filter_map(|worker| worker.utilization).collect();
        if known.is_empty() {
            return BUSY_ADMISSION_THRESHOLD;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let busy = ((mean - BUSY_UTILIZATION.0) / (BUSY_UTILIZATION.1 - BUSY_UTILIZATION.0)).clamp(0.0, 1.0);
        IDLE_ADMISSION_THRESHOLD + (BUSY_ADMISSION_THRESHOLD - IDLE_ADMISSION_THRESHOLD) * busy
    }

    fn try_admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let usual_edge = self.admission_threshold();
        let all_but_one_cell = 1.0 - 1.0 / f64::from(self.settings.cells.max(1));
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.admitted = true;
        let over_quota = query.over_quota;
        let Some(class) = self.settings.classes.get(query.request.class.0) else {
            return self.complete(id, Completion::Reject { retry_after: Duration::ZERO }, actions);
        };
        // Guards against queues for answers that come in part only, and against refusing all for one cell.
        let need = match query.first_step_complete {
            Some(_) => class.min_coverage,
            None => class
                .min_coverage
                .max(class.complete_coverage * all_but_one_cell)
                .min(class.complete_coverage),
        };
        let edge = (usual_edge - self.recent_failure_rate.min(0.5))
            * if over_quota { OVER_QUOTA_THRESHOLD_FACTOR } else { 1.0 };
        let left = seconds(query.objective_at.since(self.now));
        let mut plan: Vec<(RequestId, f64, f64, WorkerId, f64)> = Vec::new();
        for id in query.parts.clone() {
            let Some(part) = self.parts.get(&id).filter(|part| part.attempts.is_empty()) else { continue };
            let (work, weight) = (part.cost, part.request.weight);
            let Some((to, expected)) = self.select_replica(part) else { continue };
            if let Some(worker) = self.workers.get_mut(&to) {
                worker.add_part(work, self.settings.parts_per_call);
                self.half_open_attempts += usize::from(worker.ejection.is_some());
            }
            plan.push((id, work, weight, to, expected));
        }
        let mut finish: Vec<(f64, f64)> = plan.iter().map(|row| (row.4, row.2)).collect();
        finish.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut weight = 0.0;
        let ready = finish.iter().find(|(_, share)| {
            weight += share;
            weight >= need - WEIGHT_SUM_TOLERANCE
        });
        let ready = ready.map_or(f64::INFINITY, |(expected, _)| *expected);
        for (_, work, _, to, _) in &plan {
            if let Some(worker) = self.workers.get_mut(to) {
                (worker.outstanding_cost, worker.parts_left_in_call) =
                    ((worker.outstanding_cost - work).max(0.0), 0);
            }
        }
        if ready > edge * left {
            let retry_after = if ready.is_finite() { span(ready - left) } else { MIN_EJECTION_TIME };
            return self.complete(id, Completion::Reject { retry_after }, actions);
        }
        for (id, _, _, to, expected) in plan {
            if expected <= left {
                self.dispatch(id, to, expected, actions);
            }
        }
    }

    // ---- Attempts: time-outs, retries, hedges, budget ----

    /// Whether its class and the limit on attempts let a part be sent (again) at all.
    fn may_retry(&self, part: &Part) -> bool {
        let Some(class) = self.class(part.class) else { return false };
        let first_risk =
            part.attempts.iter().find(|attempt| attempt.may_have_run()).map(|attempt| attempt.sent_at);
        let effect = match (class.idempotency, first_risk) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed, Some(at)) => self.now.since(at) < class.repeat_window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        effect && self.settings.max_attempts.is_none_or(|most| (part.attempts.len() as u32) < most)
    }

    /// Every guard on sending a part to a leaf.
    fn is_eligible(&self, part: &Part, worker: &WorkerState) -> bool {
        let further = !part.attempts.is_empty();
        let out = part.attempts.iter().any(|attempt| attempt.is_in_flight());
        let drained = worker.endpoint.status != EndpointStatus::Active;
        !part.succeeded
            && !part.finished
            && !drained
            && self.may_retry(part)
            && (!out || self.settings.hedging_allowed)
            && (!further || self.retry_budget_permits(self.is_hedge(part)))
            && self.slow_start_permits(worker, part.cost + worker.new_call_cost(&self.settings))
    }

    /// Whether a further attempt would run beside one at a leaf that is not suspect.
    fn is_hedge(&self, part: &Part) -> bool {
        let sound = |id| self.workers.get(&id).is_some_and(|worker| worker.ejection.is_none());
        part.attempts.iter().any(|attempt| attempt.is_in_flight() && sound(attempt.worker))
    }

    /// The budget, where one is stated, and a limit on copies. Guards against copies as load: what the rule
    /// leaves free to each of many roots adds up, and copies at busy leaves keep others' parts waiting.
    fn retry_budget_permits(&self, copy: bool) -> bool {
        let taken = self.request_times.len() as f64;
        let copies = self.extra_attempts.iter().filter(|(_, copy)| *copy).count() as f64;
        let budget = self.settings.retry_budget.as_ref();
        budget.is_none_or(|limit| {
            self.extra_attempts.len() as f64 + 1.0 <= limit.free_attempts + limit.ratio * taken
        }) && (!copy
            || copies + 1.0
                <= FREE_HEDGES + HEDGES_PER_REQUEST * taken * (1.0 - self.mean_reported_utilization))
    }

    /// The one place that sends.
    fn dispatch(&mut self, id: RequestId, to: WorkerId, expected_latency: f64, actions: &mut Vec<Action>) {
        let (Some(part), Some(worker)) = (self.parts.get(&id), self.workers.get(&to)) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let late_worth = self.class(query.request.class).map_or(0.0, |class| class.late_weight);
        let until =
            if late_worth >= MIN_LATE_WEIGHT { query.request.valid_until } else { query.objective_at };
        let timeout = until.since(self.now);
        if timeout.is_zero() || !self.is_eligible(part, worker) {
            return;
        }
        let doubles = self.is_hedge(part);
        let (Some(part), Some(worker)) = (self.parts.get_mut(&id), self.workers.get_mut(&to)) else { return };
        if !part.attempts.is_empty() {
            self.extra_attempts.push_back((self.now, doubles));
        }
        let number = AttemptNo(part.attempts.len() as u32);
        let (sent_at, cost, cost_ahead) = (self.now, part.cost, worker.outstanding_cost);
        part.attempts.push(Attempt {
            worker: to,
            sent_at,
            expected_latency,
            cost,
            cost_ahead,
            overtaken_by: 0,
            counted_as_lost: false,
            outcome: None,
        });
        worker.in_flight.insert((sent_at, id, number));
        worker.recent_sends.retain(|(at, _)| self.now.since(*at) <= self.settings.warm_up);
        worker.recent_sends.push_back((sent_at, cost + worker.new_call_cost(&self.settings)));
        worker.add_part(cost, self.settings.parts_per_call);
        if let Some((_, hold)) = worker.ejection {
            worker.ejection = Some((self.now.after(hold), (hold * 2).min(MAX_EJECTION_TIME)));
        }
        actions.push(Action::Send { id, worker: to, timeout });
    }

    fn finish_attempt(&mut self, end: AttemptResult) {
        let Some(part) = self.parts.get_mut(&end.id) else { return };
        let outcome = end.outcome;
        part.finished |= end.part_finished && outcome != AttemptOutcome::Succeeded;
        let class = part.class;
        let Some(attempt) = part.attempts.get_mut(end.attempt.0 as usize).filter(|a| a.is_in_flight()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let Attempt {
            sent_at: sent,
            expected_latency: expected,
            cost: work,
            cost_ahead: ahead,
            counted_as_lost: missed,
            ..
        } = *attempt;
        part.succeeded |= outcome == AttemptOutcome::Succeeded;
        // Guards against jams: the more attempts are lost, the less wait a query is admitted to.
        let lost =
            f64::from(u8::from(matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::TimedOut)));
        self.recent_failure_rate +=
            if self.stalled { 0.0 } else { MODEL_SAMPLE_WEIGHT * (lost - self.recent_failure_rate) };
        if outcome == AttemptOutcome::NotSent && end.attempt.0 > 0 {
            // Never sent, so it does not count against the budget.
            self.extra_attempts
                .iter()
                .position(|(at, _)| *at == sent)
                .map(|at| self.extra_attempts.remove(at));
        }
        if let Some(worker) = self.workers.get_mut(&end.worker) {
            worker.in_flight.remove(&(sent, end.id, end.attempt));
            worker.outstanding_cost =
                if worker.in_flight.is_empty() { 0.0 } else { (worker.outstanding_cost - work).max(0.0) };
            if outcome == AttemptOutcome::Succeeded && !self.stalled {
                let latency = seconds(end.elapsed);
                let (own, slope) = self.latency_model.coefficients();
                let rare = seconds(self.now.since(worker.last_success_at)) / SPARSE_SAMPLE_INTERVAL_S;
                let gain = (rare.powi(4) / (1.0 + rare.powi(4))).clamp(2.0 * SAMPLE_WEIGHT, 0.7);
                worker.mean_latency += gain * (latency - worker.mean_latency);
                worker.mean_expected_latency +=
                    gain * (own * work + slope * ahead - worker.mean_expected_latency);
                self.last_success_at = self.now;
                self.latency_model.record_sample(work, ahead, latency, expected);
                if let Some(base) = self.base_latency.get_mut(class.0) {
                    *base *= 1.0 + SAMPLE_WEIGHT * (BASE_QUANTILE - f64::from(u8::from(latency < *base)));
                }
            }
        }
        let overdue = seconds(self.now.since(sent)) > expected + self.overdue_margin();
        match (self.workers.get_mut(&end.worker), outcome) {
            _ if self.stalled => {}
            (_, AttemptOutcome::Succeeded) => self.record_success(end.worker, class, sent),
            (Some(worker), AttemptOutcome::Failed) => worker.record_outcome(self.now, class, true),
            (Some(worker), AttemptOutcome::ConnectFailed) => worker.connect_failed_at = Some(sent),
            // Counted where nothing was answered since, else where it was overtaken: it may be a queue.
            (Some(worker), AttemptOutcome::TimedOut | AttemptOutcome::Cancelled)
                if overdue && !missed && worker.last_success_at < sent =>
            {
                worker.record_outcome(self.now, class, true);
            }
            _ => {}
        }
        self.apply_outcome(end.worker, outcome, work);
        if let Some(report) = end.load_report {
            let utilization = utilization(&self.settings.report_fields, &report);
            self.mean_reported_utilization += SAMPLE_WEIGHT * (utilization - self.mean_reported_utilization);
            self.apply_load_report(end.worker, utilization);
        }
        self.drop_if_finished(end.id);
    }

    /// The span over which requests taken and further attempts are counted.
    fn retry_budget_window(&self) -> Duration {
        self.settings.retry_budget.map_or(MAX_EJECTION_TIME, |budget| budget.window)
    }

    /// Sends parts that have no attempt out, and copies of parts that are overdue.
    fn retry_or_hedge(&mut self, actions: &mut Vec<Action>) {
        let window = self.retry_budget_window();
        self.request_times.retain(|at| self.now.since(*at) < window);
        self.extra_attempts.retain(|(at, _)| self.now.since(*at) <= window);
        let open: Vec<RequestId> = self
            .parts
            .iter()
            .filter(|(_, part)| !part.succeeded && !part.finished)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let Some(part) = self.parts.get(&id) else { continue };
            let Some(query) = self.queries.get(&part.query) else { continue };
            let left = seconds(query.objective_at.since(self.now));
            let waiting: Vec<&Attempt> =
                part.attempts.iter().filter(|attempt| attempt.is_in_flight()).collect();
            let overdue = |attempt: &&Attempt| {
                let age = seconds(self.now.since(attempt.sent_at));
                self.workers.get(&attempt.worker).is_some_and(|worker| worker.ejection.is_some())
                    || age > attempt.expected_latency + self.overdue_margin()
                    || age > attempt.expected_latency
                        && left < LAST_HEDGE_SERVICE_TIMES * self.latency_model.coefficients().0 * part.cost
            };
            if waiting.len() > 1 || !waiting.iter().all(overdue) {
                continue;
            }
            if let Some((worker, expected)) = self.select_replica(part)
                && expected < left * if waiting.is_empty() { 1.0 } else { BUSY_ADMISSION_THRESHOLD }
                && waiting.iter().all(|attempt| attempt.worker != worker)
            {
                self.dispatch(id, worker, expected, actions);
            }
        }
    }

    // ---- Health ----

    /// Seconds past the expected answer at which an attempt is overdue. Guards against a hidden tail:
    /// where a few leaves are slow, guesses err by more than the aim leaves time for a copy, or for judging.
    fn overdue_margin(&self) -> f64 {
        (OVERDUE_DEVIATIONS * self.latency_model.deviation)
            .min(MAX_OVERDUE_MARGIN_OF_OBJECTIVE * shortest_objective(&self.settings))
    }

    /// Seconds by which the oldest attempt out at a leaf is later than expected, past the usual spread.
    fn seconds_overdue(&self, worker: &WorkerState) -> f64 {
        let Some((sent, id, number)) = worker.in_flight.first() else { return 0.0 };
        let attempt = self.parts.get(id).and_then(|part| part.attempts.get(number.0 as usize));
        let expected = attempt.map_or(INITIAL_COST_S, |attempt| attempt.expected_latency);
        let age = seconds(self.now.since(*sent));
        (age - expected - self.overdue_margin()).max(0.0)
    }

    /// Guards against leaves that take work and fall silent: an overdue answer is read as a report of full
    /// utilization, and an attempt that is twice overdue with nothing answered since makes the leaf suspect.
    fn eject_unresponsive(&mut self, actions: &mut Vec<Action>) {
        let late = self.workers.iter().map(|(id, worker)| (*id, self.seconds_overdue(worker)));
        let late: BTreeMap<WorkerId, f64> = late.filter(|row| row.1 > 0.0).collect();
        let spread = self.overdue_margin();
        for (id, overdue) in &late {
            self.apply_load_report(*id, 1.0);
            let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.ejection.is_none()) else {
                continue;
            };
            if *overdue > spread
                && worker.in_flight.first().is_some_and(|(sent, _, _)| *sent > worker.last_success_at)
            {
                worker.eject(
                    self.now,
                    true,
                    initial_ejection_time(self.settings.fleet_size, &mut self.random),
                );
                let text = format!("leaf {} suspect: silent, {overdue:.2} s late", id.0);
                actions.push(Action::Log { text });
            }
        }
        // One that stood still itself hears of everything late.
        if !self.stalled {
            self.eject_unresponsive_zones(&late, actions);
        }
    }

    /// Guards against learning of a lost zone one leaf after the other: where several of a zone's leaves are
    /// late or cannot be reached, and none has answered since, all of them are suspect at once.
    fn eject_unresponsive_zones(&mut self, late: &BTreeMap<WorkerId, f64>, actions: &mut Vec<Action>) {
        let mut zones: BTreeMap<ZoneId, (Time, Vec<Time>)> = BTreeMap::new();
        for (id, worker) in
            self.workers.iter().filter(|(_, worker)| worker.endpoint.status == EndpointStatus::Active)
        {
            let zone = zones.entry(worker.endpoint.zone).or_default();
            zone.0 = zone.0.max(worker.last_response_at);
            let since = worker.in_flight.first().map(|(sent, _, _)| *sent).filter(|_| late.contains_key(id));
            // What its last process missed says nothing of a new one.
            zone.1.extend(
                since
                    .or(worker.connect_failed_at)
                    .filter(|at| worker.warming_since.is_none_or(|from| *at > from)),
            );
        }
        zones.retain(|_, (spoke, late)| {
            late.iter().filter(|at| **at > *spoke).count() >= MIN_UNRESPONSIVE_IN_ZONE
        });
        for zone in zones.into_keys() {
            let mut count = 0;
            let of = |worker: &&mut WorkerState| worker.endpoint.zone == zone && worker.ejection.is_none();
            for worker in self.workers.values_mut().filter(of) {
                worker.eject(
                    self.now,
                    true,
                    initial_ejection_time(self.settings.fleet_size, &mut self.random),
                );
                (worker.ejected_with_zone, count) = (true, count + 1);
            }
            if count > 0 {
                let text = format!("zone {}: no answer from any leaf; {count} more are suspect", zone.0);
                actions.push(Action::Log { text });
            }
        }
    }

    /// Books an answer, and as lost what is overdue while later ones are answered: it is in no queue.
    fn record_success(&mut self, id: WorkerId, class: ClassId, sent: Time) {
        let (now, spread) = (self.now, self.overdue_margin());
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.record_outcome(now, class, false);
        let earlier =
            worker.in_flight.range(..(sent, RequestId(0), AttemptNo(0))).copied().collect::<Vec<_>>();
        for (since, part, number) in earlier {
            let Some(part) = self.parts.get_mut(&part) else { continue };
            let Some(attempt) = part.attempts.get_mut(number.0 as usize) else { continue };
            attempt.overtaken_by += 1;
            let overdue = seconds(now.since(since)) > attempt.expected_latency + spread;
            if overdue
                && attempt.overtaken_by >= OVERTAKEN_TO_COUNT_AS_LOST
                && !std::mem::replace(&mut attempt.counted_as_lost, true)
            {
                worker.record_outcome(now, part.class, true);
            }
        }
    }

    fn apply_outcome(&mut self, id: WorkerId, outcome: AttemptOutcome, work: f64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Rejected) {
            (worker.last_response_at, worker.unresponsive, worker.connect_failed_at) = (now, false, None);
            // Its zone is not lost: what is suspect for that alone is not.
            let zone = worker.endpoint.zone;
            let of = |worker: &&mut WorkerState| worker.ejected_with_zone && worker.endpoint.zone == zone;
            self.workers.values_mut().filter(of).for_each(WorkerState::reinstate);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        match outcome {
            AttemptOutcome::Succeeded => {
                let gap = seconds(now.since(worker.last_success_at)) / SERVED_RATE_DECAY_S;
                worker.served_cost_rate = worker.served_cost_rate * (-gap).exp() + work / SERVED_RATE_DECAY_S;
                worker.last_success_at = now;
                worker.reinstate();
            }
            // It comes at once and counts as a loss: another try costs less than a replica that is full.
            AttemptOutcome::Failed => {}
            AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut => {
                worker.consecutive_failures += 1;
                // One connection that broke may be that alone; a process that died refuses the next.
                let silent = outcome == AttemptOutcome::ConnectFailed;
                if silent || worker.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT {
                    let hold = if silent {
                        initial_ejection_time(self.settings.fleet_size, &mut self.random)
                    } else {
                        MIN_EJECTION_TIME
                    };
                    worker.eject(now, silent, hold);
                }
                self.apply_load_report(id, 1.0);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    fn finish_health_check(&mut self, id: WorkerId, outcome: AttemptOutcome, report: Option<LoadReport>) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.health_check_in_flight = false;
        worker.passes_health_checks = outcome == AttemptOutcome::Succeeded;
        if !worker.passes_health_checks {
            self.apply_outcome(id, outcome, 0.0);
        }
        if let Some(report) = report {
            self.apply_load_report(id, utilization(&self.settings.report_fields, &report));
        }
    }

    /// Where reports come by probe alone each active leaf is probed as often as the price allows; elsewhere
    /// only suspects are, before a part is risked on them.
    fn send_health_checks(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_health_check {
            return;
        }
        let active =
            self.workers.values().filter(|worker| worker.endpoint.status == EndpointStatus::Active).count()
                as f64;
        let parts_per_s = self.request_times.len() as f64 / seconds(self.retry_budget_window());
        let period = (active * self.settings.health_check_price
            / (HEALTH_CHECK_BUDGET * parts_per_s.max(1.0)))
        .clamp(HEALTH_CHECK_INTERVAL_S.0, HEALTH_CHECK_INTERVAL_S.1);
        let all = self.settings.report_source == ReportSource::HealthChecks;
        for (id, worker) in &mut self.workers {
            let wanted = all || worker.ejection.is_some();
            if wanted
                && worker.endpoint.status == EndpointStatus::Active
                && !worker.health_check_in_flight
                && worker.next_health_check_at <= self.now
            {
                worker.health_check_in_flight = true;
                let period = worker.ejection.map_or(period, |(_, hold)| period.min(seconds(hold)));
                worker.next_health_check_at = self.now.after(span(period * (0.8 + 0.4 * self.random.f64())));
                actions.push(Action::SendHealthCheck { worker: *id });
            }
        }
    }

    // ---- Ending a query ----

    /// Ends queries that are whole, lost, or best answered in part now.
    fn complete_queries(&mut self, actions: &mut Vec<Action>) {
        for id in self.queries.keys().copied().collect::<Vec<_>>() {
            if let Some(ending) = self.completion(id) {
                self.complete(id, ending, actions);
            }
        }
    }

    fn completion(&self, id: RequestId) -> Option<Completion> {
        let query = self.queries.get(&id)?;
        let reject = Completion::Reject { retry_after: self.settings.max_retry_after.unwrap_or_default() };
        let Some(class) = self.class(query.request.class) else { return Some(reject) };
        if !query.admitted && self.now < query.request.valid_until {
            return None;
        }
        let parts: Vec<&Part> = query.parts.iter().filter_map(|part| self.parts.get(part)).collect();
        let share: f64 = parts.iter().filter(|part| part.succeeded).map(|part| part.request.weight).sum();
        let all = !parts.is_empty() && parts.iter().all(|part| part.succeeded);
        let complete = match query.first_step_complete {
            Some(first) => all && first,
            None => share >= class.complete_coverage - WEIGHT_SUM_TOLERANCE && !parts.is_empty(),
        };
        if complete || (all && query.first_step_complete.is_some()) {
            return Some(Completion::Respond { complete });
        }
        let margin = STEP_INTERVAL + self.settings.min_step_interval * 2;
        let enough = !parts.is_empty() && share >= class.min_coverage - WEIGHT_SUM_TOLERANCE;
        let out = parts.iter().any(|part| part.attempts.iter().any(|attempt| attempt.is_in_flight()));
        let late = self.now.after(margin) >= query.objective_at;
        let over = self.now.after(margin) >= query.request.valid_until;
        let earns = class.partial_weight * share / class.complete_coverage.max(WEIGHT_SUM_TOLERANCE);
        if enough && (over || late && earns > class.late_weight) {
            return Some(Completion::Respond { complete: false });
        }
        let hopeless = self.now >= query.objective_at && (class.late_weight < MIN_LATE_WEIGHT || !out);
        // Guards against requests that bring down whoever begins them: no part may break a third connection.
        let broke = |attempt: &&Attempt| attempt.outcome == Some(AttemptOutcome::ConnectionReset);
        let breaks = |part: &&Part| part.attempts.iter().filter(broke).count() > 1;
        // Guards against holding a lost query back: a part with none out and none to follow is lost.
        let is_out = |part: &Part| part.attempts.iter().any(|attempt| attempt.is_in_flight());
        let dead = |part: &&&Part| !part.succeeded && !is_out(part) && !self.may_retry(part);
        let dead: f64 = parts.iter().filter(dead).map(|part| part.request.weight).sum();
        let lost = dead > WEIGHT_SUM_TOLERANCE && 1.0 - dead < class.min_coverage - WEIGHT_SUM_TOLERANCE;
        (over || hopeless || lost || parts.iter().any(breaks)).then_some(reject)
    }

    /// The one place that ends queries.
    fn complete(&mut self, id: RequestId, ending: Completion, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let class = self.settings.classes.get(query.request.class.0);
        match ending {
            Completion::Respond { complete } => {
                actions.push(Action::Respond { id, complete });
                if class.is_some_and(|class| class.second_step_parts > 0)
                    && query.first_step_complete.is_none()
                {
                    query.first_step_complete = Some(complete);
                    query.admitted = false;
                    let first = std::mem::take(&mut query.parts);
                    return self.release(first, actions);
                }
            }
            Completion::Reject { retry_after } => {
                let ran = |part: &Part| part.attempts.iter().any(|attempt| attempt.may_have_run());
                let mut parts = query.parts.iter().filter_map(|part| self.parts.get(part));
                let may_have_run = query.first_step_complete.is_some() || parts.any(ran);
                let risky =
                    class.is_none_or(|class| class.idempotency != Idempotency::Idempotent) && may_have_run;
                let retry_after = self.settings.max_retry_after.map(|longest| retry_after.min(longest));
                actions.push(if risky { Action::Fail { id } } else { Action::Reject { id, retry_after } });
            }
        }
        self.cancel(id, actions);
    }

    fn cancel(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.jobs.remove(&query.request.job);
        self.release(query.parts, actions);
    }

    /// Lets go of parts; attempts still out are called off and kept until their outcome is in.
    fn release(&mut self, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in parts {
            let Some(part) = self.parts.get_mut(&id) else { continue };
            (part.finished, part.released) = (true, true);
            if self.settings.may_cancel {
                for (number, _) in
                    part.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight())
                {
                    actions.push(Action::Cancel { id, attempt: AttemptNo(number as u32) });
                }
            }
            self.drop_if_finished(id);
        }
    }

    fn drop_if_finished(&mut self, id: RequestId) {
        let out = |part: &Part| part.attempts.iter().any(|attempt| attempt.is_in_flight());
        self.parts.extract_if(id..=id, |_, part| part.released && !out(part)).for_each(drop);
    }
}

/// The stable hash by which all roots agree on a key's home.
fn rendezvous_hash(key: u64, worker: WorkerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&worker.0.to_le_bytes());
    xxh3_64(&bytes)
}
