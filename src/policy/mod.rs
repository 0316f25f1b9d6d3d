//! Every decision of the gatherer. The types of its settings, events and actions are in `types.rs`, the
//! fields of what it remembers in `state.rs`.
//!
//! Order: constants, state, the turn, then membership, reports and multipliers, replica choice, admission and
//! refusal, attempts, health, ending a query. `README.md` tells how the module sits in the program.

use client_retries::ClientRetries;
use estimates::{
    FIRST_WORK, GAIN, MODEL_GAIN, Model, faded, first_work, normalise, shortest_aim, utilization,
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
const HIT: f64 = 0.5;
/// Multiplier step a second (DESIGN's beta; left open there). One second of a full gap in utilization moves a
/// multiplier by this: seconds, not minutes, since a query's aim is seconds.
const BETA: f64 = 0.4;
/// Least multiplier before normalising, as a share of an even one (DESIGN).
const FLOOR: f64 = 0.1;
/// Seconds that one report may stand for: a leaf long unheard must not swing on one noisy report.
const LONGEST_STEP: f64 = 1.0;
/// Time between turns while nothing arrives: fine enough for aims of a second, coarse enough to be free.
const TICK: Duration = Duration::from_millis(10);
/// Turns' worth of absence past which this root itself stood still: ages then tell of it, not of the leaves.
const STALL: f64 = 10.0;
/// Deviations past the expected answer at which an attempt is overdue (as in TCP's time-out).
const DEVIATIONS: f64 = 4.0;
/// Share of the shortest aim past which an attempt is overdue: twice that, silence, is inside the aim.
const OVERDUE: f64 = 0.4;
/// Share of latencies that lie below the running base of a class: a part's work without waiting.
const BASE_QUANTILE: f64 = 0.2;
/// Failures in a row that make a leaf suspect: one may be chance.
const STRIKES: u32 = 2;
/// First pause before a suspect is tried or discovery asked again, and the longest; each failure doubles it.
const FIRST_HOLD: Duration = Duration::from_millis(1000);
const LONGEST_HOLD: Duration = Duration::from_secs(8);
/// Share of the rule's push that this root lets itself use on a cold leaf: work varies, calls come on top.
const COLD_CARE: f64 = 0.6;
/// Work a second that any machine carries (one core), where nothing better was observed.
const LEAST_CAPACITY: f64 = 1.0;
/// Seconds over which a leaf's own answers are averaged: load changes faster than its machine.
const SPAN: f64 = 5.0;
/// Seconds between a leaf's answers from which one tells as much of its drag as all before.
const RARE: f64 = 1.2;
/// Share of the time to the aim inside which a query must be expected where leaves are busy: guesses err, and
/// one lost late wastes all its work.
const ADMIT: f64 = 0.7;
/// The same share where leaves have room: a guess that errs costs little there, for a better replica is soon
/// found. And the mean utilizations between which it falls to the other.
const CALM_EDGE: f64 = 1.2;
const BUSY: (f64, f64) = (0.8, 1.0);
/// Seconds of a tenant's share that it may use at once: traffic comes in bursts, and unevenly over the roots.
const SHARE_BURST: f64 = 3.0;
/// Part of the usual edge of admission inside which a query beyond its tenant's share must be expected.
const OVER_SHARE_EDGE: f64 = 0.5;
/// Suspects tried in a turn: each may cost a query a copy.
const TRIALS: usize = 2;
/// Weight of one attempt in the share that a leaf loses.
const LOSS_GAIN: f64 = 0.3;
/// Later attempts answered by the same leaf from which an overdue one is in no queue: one proves nothing.
const OVERTAKEN: u32 = 2;
/// Parts of own work by which a replica may lag behind the soonest before that counts in its cost.
const LAG: f64 = 0.3;
/// Own service times left to the aim at which a copy of a late part has its last chance.
const LAST_CHANCE: f64 = 2.5;
/// Gaps between this root's queries, of a second at least, in which latencies learned fade without answers.
const FORGET: f64 = 2.0;
/// Late worth from which a query is worth carrying on past its aim.
const LATE_WORTH: f64 = 0.25;
/// Copies free in a window, and those for each request taken in it while all leaves are idle: the copies of
/// all roots are load to each.
const COPIES: f64 = 2.0;
const COPY_SHARE: f64 = 0.05;
/// Share of service that probes may cost where reports come no other way: it sets the time between them.
const PROBE_POINTS: f64 = 0.003;
/// Shortest and longest time between probes of one leaf.
const PROBE_PERIOD: (f64, f64) = (0.5, 30.0);
/// Share lost from which a leaf gets none of what runs once while others do, and from which none at all.
const LOSES: (f64, f64) = (0.15, 0.5);
/// Trials a second that one suspect may get from all roots together.
const TRIAL_RATE: f64 = 20.0;
/// Leaves of one zone without answer, and none with, from which all of it is suspect.
const OUTAGE: usize = 3;
/// Slack in sums of weights, which come rounded: the rule on honest answers lets them fall so short.
const EPSILON: f64 = 1e-4;

impl WorkerState {
    /// Books a part, and its place in the turn's call.
    fn load(&mut self, work: f64, per_call: u32) {
        self.owed += work;
        self.call_room = self.call_room.checked_sub(1).unwrap_or(per_call.saturating_sub(1));
    }
    /// Work of the call that a further part would open.
    fn opens(&self, settings: &Settings) -> f64 {
        if self.call_room == 0 { seconds(settings.call_cost) } else { 0.0 }
    }
    /// Share of a class's attempts that it loses, or of all if that is more.
    fn loss(&self, now: Time, class: ClassId) -> f64 {
        let share = |key| self.lost.get(&key).map_or(0.0, |row| faded(*row, now));
        share(None).max(share(Some(class)))
    }
    /// Guards against leaves that lose a share of the attempts, or one class alone. Answers fade it only.
    fn judge(&mut self, now: Time, class: ClassId, lost: bool) {
        for key in [None, Some(class)] {
            let row = self.lost.entry(key).or_default();
            let before = faded(*row, now);
            *row = (before + LOSS_GAIN * (f64::from(u8::from(lost)) - before), now);
        }
    }
    /// Suspects it, with a first trial after a hold by lot. What says nothing is worse than what turns away.
    fn distrust(&mut self, now: Time, silent: bool, hold: Duration) {
        self.silent |= silent;
        if self.suspect.is_none() {
            self.suspect = Some((now.after(hold), hold));
        }
    }
    fn trust(&mut self) {
        (self.suspect, self.silent, self.inferred, self.strikes) = (None, false, false, 0);
    }
}

/// First hold of a suspect: as long as keeps the trials of so many roots together under a rate for one leaf.
fn hold(roots: u32, random: &mut fastrand::Rng) -> Duration {
    let fleet = f64::from(roots) / TRIAL_RATE;
    FIRST_HOLD.max(span(fleet * (0.5 + random.f64())))
}

enum Ending {
    Answer { whole: bool },
    Abandon { pause: Duration },
}

/// The decisions of one root. See the crate's page for how to embed it.
#[derive(Default)]
pub struct Aggregator {
    settings: Settings,
    random: fastrand::Rng,
    now: Time,
    leaves: BTreeMap<WorkerId, WorkerState>,
    /// Multipliers m of the active replicas of each shard.
    shards: BTreeMap<ShardId, Vec<(WorkerId, f64)>>,
    queries: BTreeMap<RequestId, Query>,
    jobs: BTreeMap<JobId, RequestId>,
    parts: BTreeMap<RequestId, Part>,
    /// Requests taken and further attempts made inside the budget's window.
    taken: VecDeque<Time>,
    retries: ClientRetries,
    further: VecDeque<(Time, bool)>,
    shares: TenantShares,
    model: Model,
    /// Share of late attempts that were turned away or timed out.
    lost: f64,
    /// Mean utilization that answers report.
    reported: f64,
    /// Mean seconds between queries, and the last one's arrival.
    gap: f64,
    asked: Time,
    /// When any leaf last answered.
    answered: Time,
    /// Work of a part without waiting, by class.
    base: Vec<f64>,
    watch_at: Option<Time>,
    watch_backoff: Duration,
    wake_set: bool,
    /// First turn, and this instance's place by chance in a stretched window of the cold allowance.
    born: Time,
    stalled: bool,
    /// Suspects tried in this turn.
    trials: usize,
    phase: f64,
}

impl Aggregator {
    /// A fresh instance.
    pub fn new(settings: Settings) -> Self {
        let mut random = fastrand::Rng::with_seed(settings.seed);
        Aggregator {
            phase: random.f64(),
            random,
            born: Time(u64::MAX),
            gap: 1.0,
            base: vec![first_work(&settings); settings.classes.len()],
            watch_at: settings.poll_discovery.then_some(Time(0)),
            watch_backoff: FIRST_HOLD,
            retries: ClientRetries::new(&settings),
            settings,
            ..Aggregator::default()
        }
    }

    /// Applies all events of a turn, then decides once.
    pub fn step(&mut self, now: Time, events: impl IntoIterator<Item = Event>, actions: &mut Vec<Action>) {
        self.trials = 0;
        self.stalled = self.born < now && seconds(now.since(self.now)) > STALL * seconds(TICK);
        self.now = self.now.max(now);
        self.born = self.born.min(self.now);
        self.leaves.values_mut().for_each(|leaf| leaf.call_room = 0);
        events.into_iter().for_each(|event| self.apply(event, actions));
        // The subscription is asked for at the start, and again after each failure, with back-off.
        if self.watch_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::SubscribeToEndpoints);
        }
        self.judge_silence(actions);
        self.settle(actions);
        self.admit(actions);
        self.pursue(actions);
        self.probe(actions);
        if !self.wake_set {
            self.wake_set = true;
            actions.push(Action::SetTimer { after: TICK, timer: TimerId(0) });
        }
    }

    fn class(&self, id: ClassId) -> Option<&Class> {
        self.settings.classes.get(id.0)
    }

    fn apply(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate(news) => self.learn_membership(news),
            Event::QueryReceived(query) => self.take(query),
            Event::PartReceived(part) => self.take_part(part),
            Event::StreamingStarted { .. } => {}
            Event::AttemptFinished(end) => self.attempt_ended(end),
            Event::ClientDisconnected { id } => self.forget(id, actions),
            Event::TimerFired { timer: _ } => self.wake_set = false,
            Event::HealthCheckFinished { worker: leaf, outcome, elapsed: _, load_report: report } => {
                self.probed(leaf, outcome, report)
            }
        }
    }

    // ---- Membership: list, discovery, drains, cold leaves ----

    fn learn_membership(&mut self, news: EndpointUpdate) {
        let (entries, complete) = match news {
            EndpointUpdate::Failed => {
                let wait = self.watch_backoff.mul_f64(1.0 + 0.5 * self.random.f64());
                self.watch_at = self.settings.poll_discovery.then_some(self.now.after(wait));
                self.watch_backoff = (self.watch_backoff * 2).min(LONGEST_HOLD);
                return;
            }
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (entries, true),
        };
        self.watch_backoff = FIRST_HOLD;
        if complete {
            let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            for (_, leaf) in self.leaves.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                leaf.entry.status = EndpointStatus::Gone;
            }
        }
        for entry in entries.iter() {
            let fresh = entry.started_at.filter(|since| self.now.since(*since) < self.settings.warm_up);
            let leaf = self.leaves.entry(entry.worker).or_insert_with(|| WorkerState {
                seen: FIRST_WORK,
                planned: FIRST_WORK,
                answers_probes: true,
                last_done: self.now,
                probe_at: self.now,
                ..WorkerState::default()
            });
            if leaf.entry.started_at != entry.started_at && fresh.is_some() {
                // A new process: what was held against the old one is void.
                leaf.cold_from = leaf.cold_from.max(fresh);
                leaf.trust();
                leaf.seen = leaf.planned;
            }
            leaf.entry = entry.clone();
        }
        self.place_shards();
    }

    /// The active replicas of each shard; those that stay keep their multiplier.
    fn place_shards(&mut self) {
        let before = std::mem::take(&mut self.shards);
        for (shard, held) in holders(&self.leaves, &self.settings) {
            let mut row: Vec<(WorkerId, f64)> = held.into_iter().map(|id| (id, 1.0)).collect();
            let even = 1.0 / row.len().max(1) as f64;
            for (id, m) in &mut row {
                let known = before.get(&shard).and_then(|row| row.iter().find(|known| known.0 == *id));
                *m = known.map_or(even, |known| known.1);
            }
            normalise(&mut row);
            self.shards.insert(shard, row);
        }
    }

    /// Whether a cold leaf may get this much more work now. Guards against pushing a starting leaf over: this
    /// root's share of the push that the rule allows, in every window of the rule's length.
    fn cold_allows(&self, leaf: &WorkerState, work: f64) -> bool {
        let Some(from) = leaf.cold_from else { return true };
        let rules = &self.settings;
        let age = seconds(self.now.since(from));
        let ramp = (age / seconds(rules.warm_up).max(1e-3)).min(1.0);
        if ramp >= 1.0 {
            return true;
        }
        // A warm leaf is judged by the most that one answered lately, less what so few answers may err by.
        let roots = f64::from(rules.fleet_size.max(1));
        let sure = |served: f64| roots * (served - (served * work / SPAN).sqrt());
        let seen = self.leaves.values().map(|leaf| sure(leaf.served)).fold(0.0, f64::max);
        let warm = seen.clamp(LEAST_CAPACITY, 4.0 * LEAST_CAPACITY);
        let carries = |ramp: f64| rules.cold_capacity_fraction + (1.0 - rules.cold_capacity_fraction) * ramp;
        let share = |ramp: f64| COLD_CARE * rules.slow_start_budget_factor * carries(ramp) * warm / roots;
        let push = share(ramp) * seconds(rules.slow_start_budget_window);
        let recent = leaf.sent.iter().filter(|(at, _)| self.now.since(*at) <= rules.slow_start_budget_window);
        if work <= push {
            return recent.map(|(_, work)| work).sum::<f64>() + work <= push;
        }
        // Where its share of the window holds no whole part, a root sends one when its share since the last,
        // or by lot since the start, has grown to it: as many roots come at once as their shares add up to.
        let last = leaf.sent.back().filter(|(at, _)| *at >= from);
        let (since, owes) = last.copied().unwrap_or((from.max(self.born), self.phase * work));
        let gap = seconds(self.now.since(since));
        gap * share(ramp - gap / seconds(rules.warm_up) / 2.0) >= owes
    }

    // ---- Reports and multipliers ----

    /// DESIGN's step: m += beta (mean - u) dt for each shard of the leaf, floored, then normalised.
    fn report(&mut self, id: WorkerId, utilization: f64) {
        let Some(leaf) = self.leaves.get_mut(&id) else { return };
        let since = leaf.heard.map_or(0.0, |heard| seconds(self.now.since(heard)));
        (leaf.utilization, leaf.heard) = (Some(utilization), Some(self.now));
        let step = BETA * since.min(LONGEST_STEP);
        if step <= 0.0 {
            return;
        }
        for row in self.shards.values_mut().filter(|row| row.iter().any(|replica| replica.0 == id)) {
            let known: Vec<f64> =
                row.iter().filter_map(|replica| self.leaves.get(&replica.0)?.utilization).collect();
            let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
            let least = FLOOR / row.len() as f64;
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
    fn expect(&self, leaf: &WorkerState, work: f64) -> f64 {
        // Guards against refusing for good on stale guesses: without answers, what was learned fades.
        let fade = |since: Time| (-seconds(self.now.since(since)) / (FORGET * self.gap.max(1.0))).exp();
        let (own, ahead) = self.model.line();
        let own = 1.0 + (own - 1.0) * fade(self.answered);
        let drag = (leaf.seen / leaf.planned.max(1e-6)).clamp(0.5, 20.0);
        let drag = 1.0 + (drag - 1.0) * fade(leaf.last_done);
        (own * work + ahead * leaf.owed) * drag + self.overdue(leaf)
    }

    /// The replica with the least vote over m among those that the guards let through.
    fn choose(&self, part: &Part) -> Option<(WorkerId, f64)> {
        let row = self.shards.get(&part.asked.shard)?;
        let mut open: Vec<(WorkerId, f64, &WorkerState)> =
            row.iter().filter_map(|(id, m)| Some((*id, *m, self.leaves.get(id)?))).collect();
        // Health filters only while a trusted replica is left; what runs once goes to none on trial.
        let once = self.class(part.class).is_none_or(|class| class.idempotency != Idempotency::Idempotent);
        let aim_at = self.queries.get(&part.query).map_or(self.now, |query| query.aim_at);
        let trial =
            |leaf: &WorkerState| !once && leaf.out.is_empty() && leaf.answers_probes && self.trials < TRIALS;
        // Guards what runs once against leaves that lose its class: refused it is harmless, lost it is not.
        let loses = |leaf: &WorkerState, share: f64| once && leaf.loss(self.now, part.class) > share;
        let sound = |leaf: &WorkerState| leaf.suspect.is_none_or(|(next, _)| next <= self.now && trial(leaf));
        let trusted = |leaf: &WorkerState| sound(leaf) && !loses(leaf, LOSES.0);
        let speaks = |leaf: &WorkerState| !leaf.silent && !loses(leaf, LOSES.0);
        // What has failed at all that are trusted goes to a suspect that speaks, not to the same again.
        let fresh = |id: WorkerId| part.attempts.iter().all(|attempt| attempt.leaf != id);
        let ended = !part.attempts.iter().any(|attempt| attempt.out());
        let left =
            |may: &dyn Fn(&WorkerState) -> bool| open.iter().any(|(id, _, leaf)| fresh(*id) && may(leaf));
        let elsewhere = ended && !left(&trusted) && left(&speaks);
        if !elsewhere && open.iter().any(|(_, _, leaf)| trusted(leaf)) {
            open.retain(|(_, _, leaf)| trusted(leaf));
        } else if open.iter().any(|(_, _, leaf)| speaks(leaf)) {
            open.retain(|(_, _, leaf)| speaks(leaf));
        }
        open.retain(|(_, _, leaf)| self.guard(part, leaf) && !loses(leaf, LOSES.1));
        if open.iter().any(|(id, _, _)| fresh(*id)) {
            open.retain(|(id, _, _)| fresh(*id));
        }
        let expect = |leaf: &WorkerState| self.expect(leaf, part.work);
        let soonest = open.iter().map(|(_, _, leaf)| expect(leaf)).fold(f64::INFINITY, f64::min);
        let fingerprint = part.key.unwrap_or(xxh3_64(&part.asked.id.0.to_le_bytes()));
        let home = row.iter().map(|(id, _)| *id).max_by_key(|id| affinity(fingerprint, *id));
        // A keyless part goes by its fingerprint's place among the replicas, laid end to end by m.
        let total: f64 = open.iter().map(|(_, m, _)| m).sum();
        let mut place = total * (fingerprint >> 11) as f64 / (1u64 << 53) as f64;
        let split = open.iter().find(|(_, m, _)| {
            place -= m;
            place < 0.0
        });
        let waste = self.settings.waste_price;
        let priced = if waste > 0.0 { self.settings.cross_zone_price / waste } else { 0.0 };
        let cost = |(id, m, leaf): &(WorkerId, f64, &WorkerState)| {
            let saved = if part.key.is_some() && home == Some(*id) { HIT } else { 0.0 };
            let vote = part.work * (1.0 - saved) / (m * row.len() as f64);
            // Departure "lag": acts when a replica would answer later than the soonest by LAG of own work.
            let lag = (expect(leaf) - soonest - LAG * part.work).max(0.0);
            // Departure "loss": acts once more than one answer stayed out; the time until that is seen.
            // What may not be sent again waits in vain until its aim, and one loss counts.
            let loss = match once {
                true => leaf.loss(self.now, part.class) * seconds(aim_at.since(self.now)),
                false => {
                    (leaf.loss(self.now, part.class) - LOSS_GAIN).max(0.0) * (expect(leaf) + self.spread())
                }
            };
            let vote = if part.key.is_none() && split.is_some_and(|to| to.0 == *id) { 0.0 } else { vote };
            // Departure "crossing": acts where crossing zones has a price; in work that costs the same.
            let crosses = leaf.entry.zone != self.settings.zone;
            let crossing = if crosses { part.work * priced } else { 0.0 };
            // Departure "call": acts where a call costs work and none to the replica is open in this turn.
            (vote + crossing + leaf.opens(&self.settings) + lag + loss, affinity(fingerprint, *id))
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
    fn over_share(&mut self, asked: &NewQuery) -> bool {
        let quota = |tenant: TenantId| self.settings.tenants.get(tenant.0)?.quota_per_s;
        let Some((tenant, quota)) = asked.tenant.and_then(|tenant| Some((tenant, quota(tenant)?))) else {
            return false;
        };
        let rate = quota / f64::from(self.settings.fleet_size.max(1));
        let exceeded = self.shares.exceeded(self.now, tenant, rate, SHARE_BURST, asked.is_retry);
        exceeded && self.settings.over_quota_weight.is_some_and(|worth| worth < 1.0)
    }

    fn take(&mut self, asked: NewQuery) {
        let over_share = self.over_share(&asked);
        self.taken.push_back(self.now);
        let gap = seconds(self.now.since(self.asked.max(self.born)));
        (self.gap, self.asked) = (self.gap + 0.2 * (gap - self.gap), self.now);
        self.jobs.insert(asked.job, asked.id);
        // When its aim is missed is reckoned once its parts are in: they tell whose repeat it is.
        let (aim_at, parts) = (asked.valid_until, Vec::new());
        let query = Query { aim_at, parts, admitted: false, over_share, first_step: None, asked };
        self.queries.insert(query.asked.id, query);
    }

    fn take_part(&mut self, asked: NewPart) {
        self.taken.push_back(self.now);
        let query = self.jobs.get(&asked.job).and_then(|owner| self.queries.get_mut(owner));
        let Some(query) = query else { return };
        query.parts.push(asked.id);
        let class = query.asked.class;
        let usual = self.base.get(class.0).copied().unwrap_or(FIRST_WORK);
        let part = Part {
            query: query.asked.id,
            class,
            key: asked.key.as_ref().map(|key| xxh3_64(key.as_bytes())),
            work: asked.cost_hint.map(seconds).filter(|work| *work > 0.0).unwrap_or(usual),
            attempts: Vec::new(),
            done: false,
            over: false,
            released: false,
            asked,
        };
        self.parts.insert(part.asked.id, part);
    }

    /// Reckons when a query's aim is missed: a client's repeat belongs to its first try.
    fn reckon_aim(&mut self, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(class) = self.settings.classes.get(query.asked.class.0) else { return };
        let parts: Vec<&NewPart> =
            query.parts.iter().filter_map(|part| Some(&self.parts.get(part)?.asked)).collect();
        let waited = self.retries.waited(self.now, &query.asked, &parts, class);
        let aim = class.latency_objective.saturating_sub(span(waited));
        query.aim_at = self.now.after(aim).min(query.asked.valid_until);
    }

    /// Takes the queries that can be answered within their aim, those worth most for their work first, and
    /// refuses the others at once.
    fn admit(&mut self, actions: &mut Vec<Action>) {
        let new = self.queries.iter().filter(|(_, query)| !query.admitted && query.first_step.is_none());
        new.map(|(id, _)| *id).collect::<Vec<_>>().into_iter().for_each(|id| self.reckon_aim(id));
        let mut fresh: Vec<(f64, RequestId)> = Vec::new();
        let waits = |query: &Query| query.first_step.is_some() && query.parts.is_empty();
        for (id, query) in self.queries.iter().filter(|(_, query)| !query.admitted && !waits(query)) {
            let work: f64 =
                query.parts.iter().filter_map(|part| self.parts.get(part)).map(|part| part.work).sum();
            let worth = self.class(query.asked.class).map_or(0.0, |class| class.priority_weight);
            let share = if query.over_share { self.settings.over_quota_weight.unwrap_or(1.0) } else { 1.0 };
            let worth = worth * share;
            fresh.push((worth / work.max(1e-6), *id));
        }
        fresh.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in fresh {
            self.admit_one(id, actions);
        }
    }

    /// Share of the time to the aim inside which a query must be expected: the less, the busier leaves report
    /// to be. Guards against refusing on a quiet fleet what any replica would have served.
    fn edge(&self) -> f64 {
        let known: Vec<f64> = self.leaves.values().filter_map(|leaf| leaf.utilization).collect();
        if known.is_empty() {
            return ADMIT;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let busy = ((mean - BUSY.0) / (BUSY.1 - BUSY.0)).clamp(0.0, 1.0);
        CALM_EDGE + (ADMIT - CALM_EDGE) * busy
    }

    fn admit_one(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let usual_edge = self.edge();
        let all_but_one_cell = 1.0 - 1.0 / f64::from(self.settings.cells.max(1));
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.admitted = true;
        let over_share = query.over_share;
        let Some(class) = self.settings.classes.get(query.asked.class.0) else {
            return self.end(id, Ending::Abandon { pause: Duration::ZERO }, actions);
        };
        // Guards against queues for answers that come in part only, and against refusing all for one cell.
        let need = match query.first_step {
            Some(_) => class.min_coverage,
            None => class
                .min_coverage
                .max(class.complete_coverage * all_but_one_cell)
                .min(class.complete_coverage),
        };
        let edge = (usual_edge - self.lost.min(0.5)) * if over_share { OVER_SHARE_EDGE } else { 1.0 };
        let left = seconds(query.aim_at.since(self.now));
        let mut plan: Vec<(RequestId, f64, f64, WorkerId, f64)> = Vec::new();
        for id in query.parts.clone() {
            let Some(part) = self.parts.get(&id).filter(|part| part.attempts.is_empty()) else { continue };
            let (work, weight) = (part.work, part.asked.weight);
            let Some((to, expected)) = self.choose(part) else { continue };
            if let Some(leaf) = self.leaves.get_mut(&to) {
                leaf.load(work, self.settings.parts_per_call);
                self.trials += usize::from(leaf.suspect.is_some());
            }
            plan.push((id, work, weight, to, expected));
        }
        let mut finish: Vec<(f64, f64)> = plan.iter().map(|row| (row.4, row.2)).collect();
        finish.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut weight = 0.0;
        let ready = finish.iter().find(|(_, share)| {
            weight += share;
            weight >= need - EPSILON
        });
        let ready = ready.map_or(f64::INFINITY, |(expected, _)| *expected);
        for (_, work, _, to, _) in &plan {
            if let Some(leaf) = self.leaves.get_mut(to) {
                (leaf.owed, leaf.call_room) = ((leaf.owed - work).max(0.0), 0);
            }
        }
        if ready > edge * left {
            let pause = if ready.is_finite() { span(ready - left) } else { FIRST_HOLD };
            return self.end(id, Ending::Abandon { pause }, actions);
        }
        for (id, _, _, to, expected) in plan {
            if expected <= left {
                self.issue(id, to, expected, actions);
            }
        }
    }

    // ---- Attempts: time-outs, retries, hedges, budget ----

    /// Whether its class and the limit on attempts let a part be sent (again) at all.
    fn may_follow(&self, part: &Part) -> bool {
        let Some(class) = self.class(part.class) else { return false };
        let first_risk =
            part.attempts.iter().find(|attempt| attempt.may_have_run()).map(|attempt| attempt.sent);
        let effect = match (class.idempotency, first_risk) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed, Some(at)) => self.now.since(at) < class.repeat_window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        effect && self.settings.max_attempts.is_none_or(|most| (part.attempts.len() as u32) < most)
    }

    /// Every guard on sending a part to a leaf.
    fn guard(&self, part: &Part, leaf: &WorkerState) -> bool {
        let further = !part.attempts.is_empty();
        let out = part.attempts.iter().any(|attempt| attempt.out());
        let drained = leaf.entry.status != EndpointStatus::Active;
        !part.done
            && !part.over
            && !drained
            && self.may_follow(part)
            && (!out || self.settings.hedging_allowed)
            && (!further || self.budget_allows(self.doubles(part)))
            && self.cold_allows(leaf, part.work + leaf.opens(&self.settings))
    }

    /// Whether a further attempt would run beside one at a leaf that is not suspect.
    fn doubles(&self, part: &Part) -> bool {
        let sound = |id| self.leaves.get(&id).is_some_and(|leaf| leaf.suspect.is_none());
        part.attempts.iter().any(|attempt| attempt.out() && sound(attempt.leaf))
    }

    /// The budget, where one is stated, and a limit on copies. Guards against copies as load: what the rule
    /// leaves free to each of many roots adds up, and copies at busy leaves keep others' parts waiting.
    fn budget_allows(&self, copy: bool) -> bool {
        let taken = self.taken.len() as f64;
        let copies = self.further.iter().filter(|(_, copy)| *copy).count() as f64;
        let budget = self.settings.retry_budget.as_ref();
        budget
            .is_none_or(|limit| self.further.len() as f64 + 1.0 <= limit.free_attempts + limit.ratio * taken)
            && (!copy || copies + 1.0 <= COPIES + COPY_SHARE * taken * (1.0 - self.reported))
    }

    /// The one place that sends.
    fn issue(&mut self, id: RequestId, to: WorkerId, expected: f64, actions: &mut Vec<Action>) {
        let (Some(part), Some(leaf)) = (self.parts.get(&id), self.leaves.get(&to)) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let late_worth = self.class(query.asked.class).map_or(0.0, |class| class.late_weight);
        let until = if late_worth >= LATE_WORTH { query.asked.valid_until } else { query.aim_at };
        let timeout = until.since(self.now);
        if timeout.is_zero() || !self.guard(part, leaf) {
            return;
        }
        let doubles = self.doubles(part);
        let (Some(part), Some(leaf)) = (self.parts.get_mut(&id), self.leaves.get_mut(&to)) else { return };
        if !part.attempts.is_empty() {
            self.further.push_back((self.now, doubles));
        }
        let number = AttemptNo(part.attempts.len() as u32);
        let (sent, work, ahead) = (self.now, part.work, leaf.owed);
        part.attempts.push(Attempt {
            leaf: to,
            sent,
            expected,
            work,
            ahead,
            overtaken: 0,
            missed: false,
            outcome: None,
        });
        leaf.out.insert((sent, id, number));
        leaf.sent.retain(|(at, _)| self.now.since(*at) <= self.settings.warm_up);
        leaf.sent.push_back((sent, work + leaf.opens(&self.settings)));
        leaf.load(work, self.settings.parts_per_call);
        if let Some((_, hold)) = leaf.suspect {
            leaf.suspect = Some((self.now.after(hold), (hold * 2).min(LONGEST_HOLD)));
        }
        actions.push(Action::Send { id, worker: to, timeout });
    }

    fn attempt_ended(&mut self, end: AttemptResult) {
        let Some(part) = self.parts.get_mut(&end.id) else { return };
        let outcome = end.outcome;
        part.over |= end.part_finished && outcome != AttemptOutcome::Succeeded;
        let class = part.class;
        let Some(attempt) = part.attempts.get_mut(end.attempt.0 as usize).filter(|a| a.out()) else { return };
        attempt.outcome = Some(outcome);
        let Attempt { sent, expected, work, ahead, missed, .. } = *attempt;
        part.done |= outcome == AttemptOutcome::Succeeded;
        // Guards against jams: the more attempts are lost, the less wait a query is admitted to.
        let lost =
            f64::from(u8::from(matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::TimedOut)));
        self.lost += if self.stalled { 0.0 } else { MODEL_GAIN * (lost - self.lost) };
        if outcome == AttemptOutcome::NotSent && end.attempt.0 > 0 {
            // Never sent, so it does not count against the budget.
            self.further.iter().position(|(at, _)| *at == sent).map(|at| self.further.remove(at));
        }
        if let Some(leaf) = self.leaves.get_mut(&end.worker) {
            leaf.out.remove(&(sent, end.id, end.attempt));
            leaf.owed = if leaf.out.is_empty() { 0.0 } else { (leaf.owed - work).max(0.0) };
            if outcome == AttemptOutcome::Succeeded && !self.stalled {
                let latency = seconds(end.elapsed);
                let (own, slope) = self.model.line();
                let rare = seconds(self.now.since(leaf.last_done)) / RARE;
                let gain = (rare.powi(4) / (1.0 + rare.powi(4))).clamp(2.0 * GAIN, 0.7);
                leaf.seen += gain * (latency - leaf.seen);
                leaf.planned += gain * (own * work + slope * ahead - leaf.planned);
                self.answered = self.now;
                self.model.learn(work, ahead, latency, expected);
                if let Some(base) = self.base.get_mut(class.0) {
                    *base *= 1.0 + GAIN * (BASE_QUANTILE - f64::from(u8::from(latency < *base)));
                }
            }
        }
        let overdue = seconds(self.now.since(sent)) > expected + self.spread();
        match (self.leaves.get_mut(&end.worker), outcome) {
            _ if self.stalled => {}
            (_, AttemptOutcome::Succeeded) => self.overtake(end.worker, class, sent),
            (Some(leaf), AttemptOutcome::Failed) => leaf.judge(self.now, class, true),
            (Some(leaf), AttemptOutcome::ConnectFailed) => leaf.unreached = Some(sent),
            // Counted where nothing was answered since, else where it was overtaken: it may be a queue.
            (Some(leaf), AttemptOutcome::TimedOut | AttemptOutcome::Cancelled)
                if overdue && !missed && leaf.last_done < sent =>
            {
                leaf.judge(self.now, class, true);
            }
            _ => {}
        }
        self.judge_outcome(end.worker, outcome, work);
        if let Some(report) = end.load_report {
            let utilization = utilization(&self.settings.report_fields, &report);
            self.reported += GAIN * (utilization - self.reported);
            self.report(end.worker, utilization);
        }
        self.drop_if_over(end.id);
    }

    /// The span over which requests taken and further attempts are counted.
    fn window(&self) -> Duration {
        self.settings.retry_budget.map_or(LONGEST_HOLD, |budget| budget.window)
    }

    /// Sends parts that have no attempt out, and copies of parts that are overdue.
    fn pursue(&mut self, actions: &mut Vec<Action>) {
        let window = self.window();
        self.taken.retain(|at| self.now.since(*at) < window);
        self.further.retain(|(at, _)| self.now.since(*at) <= window);
        let open: Vec<RequestId> =
            self.parts.iter().filter(|(_, part)| !part.done && !part.over).map(|(id, _)| *id).collect();
        for id in open {
            let Some(part) = self.parts.get(&id) else { continue };
            let Some(query) = self.queries.get(&part.query) else { continue };
            let left = seconds(query.aim_at.since(self.now));
            let waiting: Vec<&Attempt> = part.attempts.iter().filter(|attempt| attempt.out()).collect();
            let overdue = |attempt: &&Attempt| {
                let age = seconds(self.now.since(attempt.sent));
                self.leaves.get(&attempt.leaf).is_some_and(|leaf| leaf.suspect.is_some())
                    || age > attempt.expected + self.spread()
                    || age > attempt.expected && left < LAST_CHANCE * self.model.line().0 * part.work
            };
            if waiting.len() > 1 || !waiting.iter().all(overdue) {
                continue;
            }
            if let Some((leaf, expected)) = self.choose(part)
                && expected < left * if waiting.is_empty() { 1.0 } else { ADMIT }
                && waiting.iter().all(|attempt| attempt.leaf != leaf)
            {
                self.issue(id, leaf, expected, actions);
            }
        }
    }

    // ---- Health ----

    /// Seconds past the expected answer at which an attempt is overdue. Guards against a hidden tail:
    /// where a few leaves are slow, guesses err by more than the aim leaves time for a copy, or for judging.
    fn spread(&self) -> f64 {
        (DEVIATIONS * self.model.deviation).min(OVERDUE * shortest_aim(&self.settings))
    }

    /// Seconds by which the oldest attempt out at a leaf is later than expected, past the usual spread.
    fn overdue(&self, leaf: &WorkerState) -> f64 {
        let Some((sent, id, number)) = leaf.out.first() else { return 0.0 };
        let attempt = self.parts.get(id).and_then(|part| part.attempts.get(number.0 as usize));
        let expected = attempt.map_or(FIRST_WORK, |attempt| attempt.expected);
        let age = seconds(self.now.since(*sent));
        (age - expected - self.spread()).max(0.0)
    }

    /// Guards against leaves that take work and fall silent: an overdue answer is read as a report of full
    /// utilization, and an attempt that is twice overdue with nothing answered since makes the leaf suspect.
    fn judge_silence(&mut self, actions: &mut Vec<Action>) {
        let late = self.leaves.iter().map(|(id, leaf)| (*id, self.overdue(leaf)));
        let late: BTreeMap<WorkerId, f64> = late.filter(|row| row.1 > 0.0).collect();
        let spread = self.spread();
        for (id, overdue) in &late {
            self.report(*id, 1.0);
            let Some(leaf) = self.leaves.get_mut(id).filter(|leaf| leaf.suspect.is_none()) else { continue };
            if *overdue > spread && leaf.out.first().is_some_and(|(sent, _, _)| *sent > leaf.last_done) {
                leaf.distrust(self.now, true, hold(self.settings.fleet_size, &mut self.random));
                let text = format!("leaf {} suspect: silent, {overdue:.2} s late", id.0);
                actions.push(Action::Log { text });
            }
        }
        // One that stood still itself hears of everything late.
        if !self.stalled {
            self.judge_zones(&late, actions);
        }
    }

    /// Guards against learning of a lost zone one leaf after the other: where several of a zone's leaves are
    /// late or cannot be reached, and none has answered since, all of them are suspect at once.
    fn judge_zones(&mut self, late: &BTreeMap<WorkerId, f64>, actions: &mut Vec<Action>) {
        let mut zones: BTreeMap<ZoneId, (Time, Vec<Time>)> = BTreeMap::new();
        for (id, leaf) in self.leaves.iter().filter(|(_, leaf)| leaf.entry.status == EndpointStatus::Active) {
            let zone = zones.entry(leaf.entry.zone).or_default();
            zone.0 = zone.0.max(leaf.spoke);
            let since = leaf.out.first().map(|(sent, _, _)| *sent).filter(|_| late.contains_key(id));
            // What its last process missed says nothing of a new one.
            zone.1.extend(since.or(leaf.unreached).filter(|at| leaf.cold_from.is_none_or(|from| *at > from)));
        }
        zones.retain(|_, (spoke, late)| late.iter().filter(|at| **at > *spoke).count() >= OUTAGE);
        for zone in zones.into_keys() {
            let mut count = 0;
            let of = |leaf: &&mut WorkerState| leaf.entry.zone == zone && leaf.suspect.is_none();
            for leaf in self.leaves.values_mut().filter(of) {
                leaf.distrust(self.now, true, hold(self.settings.fleet_size, &mut self.random));
                (leaf.inferred, count) = (true, count + 1);
            }
            if count > 0 {
                let text = format!("zone {}: no answer from any leaf; {count} more are suspect", zone.0);
                actions.push(Action::Log { text });
            }
        }
    }

    /// Books an answer, and as lost what is overdue while later ones are answered: it is in no queue.
    fn overtake(&mut self, id: WorkerId, class: ClassId, sent: Time) {
        let (now, spread) = (self.now, self.spread());
        let Some(leaf) = self.leaves.get_mut(&id) else { return };
        leaf.judge(now, class, false);
        let earlier = leaf.out.range(..(sent, RequestId(0), AttemptNo(0))).copied().collect::<Vec<_>>();
        for (since, part, number) in earlier {
            let Some(part) = self.parts.get_mut(&part) else { continue };
            let Some(attempt) = part.attempts.get_mut(number.0 as usize) else { continue };
            attempt.overtaken += 1;
            let overdue = seconds(now.since(since)) > attempt.expected + spread;
            if overdue && attempt.overtaken >= OVERTAKEN && !std::mem::replace(&mut attempt.missed, true) {
                leaf.judge(now, part.class, true);
            }
        }
    }

    fn judge_outcome(&mut self, id: WorkerId, outcome: AttemptOutcome, work: f64) {
        let now = self.now;
        let Some(leaf) = self.leaves.get_mut(&id) else { return };
        if matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Rejected) {
            (leaf.spoke, leaf.silent, leaf.unreached) = (now, false, None);
            // Its zone is not lost: what is suspect for that alone is not.
            let zone = leaf.entry.zone;
            let of = |leaf: &&mut WorkerState| leaf.inferred && leaf.entry.zone == zone;
            self.leaves.values_mut().filter(of).for_each(WorkerState::trust);
        }
        let Some(leaf) = self.leaves.get_mut(&id) else { return };
        match outcome {
            AttemptOutcome::Succeeded => {
                let gap = seconds(now.since(leaf.last_done)) / SPAN;
                leaf.served = leaf.served * (-gap).exp() + work / SPAN;
                leaf.last_done = now;
                leaf.trust();
            }
            // It comes at once and counts as a loss: another try costs less than a replica that is full.
            AttemptOutcome::Failed => {}
            AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut => {
                leaf.strikes += 1;
                // One connection that broke may be that alone; a process that died refuses the next.
                let silent = outcome == AttemptOutcome::ConnectFailed;
                if silent || leaf.strikes >= STRIKES {
                    let hold =
                        if silent { hold(self.settings.fleet_size, &mut self.random) } else { FIRST_HOLD };
                    leaf.distrust(now, silent, hold);
                }
                self.report(id, 1.0);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    fn probed(&mut self, id: WorkerId, outcome: AttemptOutcome, report: Option<LoadReport>) {
        let Some(leaf) = self.leaves.get_mut(&id) else { return };
        leaf.probing = false;
        leaf.answers_probes = outcome == AttemptOutcome::Succeeded;
        if !leaf.answers_probes {
            self.judge_outcome(id, outcome, 0.0);
        }
        if let Some(report) = report {
            self.report(id, utilization(&self.settings.report_fields, &report));
        }
    }

    /// Where reports come by probe alone each active leaf is probed as often as the price allows; elsewhere
    /// only suspects are, before a part is risked on them.
    fn probe(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_health_check {
            return;
        }
        let active =
            self.leaves.values().filter(|leaf| leaf.entry.status == EndpointStatus::Active).count() as f64;
        let parts_per_s = self.taken.len() as f64 / seconds(self.window());
        let period = (active * self.settings.health_check_price / (PROBE_POINTS * parts_per_s.max(1.0)))
            .clamp(PROBE_PERIOD.0, PROBE_PERIOD.1);
        let all = self.settings.report_source == ReportSource::HealthChecks;
        for (id, leaf) in &mut self.leaves {
            let wanted = all || leaf.suspect.is_some();
            if wanted
                && leaf.entry.status == EndpointStatus::Active
                && !leaf.probing
                && leaf.probe_at <= self.now
            {
                leaf.probing = true;
                let period = leaf.suspect.map_or(period, |(_, hold)| period.min(seconds(hold)));
                leaf.probe_at = self.now.after(span(period * (0.8 + 0.4 * self.random.f64())));
                actions.push(Action::SendHealthCheck { worker: *id });
            }
        }
    }

    // ---- Ending a query ----

    /// Ends queries that are whole, lost, or best answered in part now.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        for id in self.queries.keys().copied().collect::<Vec<_>>() {
            if let Some(ending) = self.ending(id) {
                self.end(id, ending, actions);
            }
        }
    }

    fn ending(&self, id: RequestId) -> Option<Ending> {
        let query = self.queries.get(&id)?;
        let abandon = Ending::Abandon { pause: self.settings.max_retry_after.unwrap_or_default() };
        let Some(class) = self.class(query.asked.class) else { return Some(abandon) };
        if !query.admitted && self.now < query.asked.valid_until {
            return None;
        }
        let parts: Vec<&Part> = query.parts.iter().filter_map(|part| self.parts.get(part)).collect();
        let share: f64 = parts.iter().filter(|part| part.done).map(|part| part.asked.weight).sum();
        let all = !parts.is_empty() && parts.iter().all(|part| part.done);
        let whole = match query.first_step {
            Some(first) => all && first,
            None => share >= class.complete_coverage - EPSILON && !parts.is_empty(),
        };
        if whole || (all && query.first_step.is_some()) {
            return Some(Ending::Answer { whole });
        }
        let margin = TICK + self.settings.min_step_interval * 2;
        let enough = !parts.is_empty() && share >= class.min_coverage - EPSILON;
        let out = parts.iter().any(|part| part.attempts.iter().any(|attempt| attempt.out()));
        let late = self.now.after(margin) >= query.aim_at;
        let over = self.now.after(margin) >= query.asked.valid_until;
        let earns = class.partial_weight * share / class.complete_coverage.max(EPSILON);
        if enough && (over || late && earns > class.late_weight) {
            return Some(Ending::Answer { whole: false });
        }
        let hopeless = self.now >= query.aim_at && (class.late_weight < LATE_WORTH || !out);
        // Guards against requests that bring down whoever begins them: no part may break a third connection.
        let broke = |attempt: &&Attempt| attempt.outcome == Some(AttemptOutcome::ConnectionReset);
        let breaks = |part: &&Part| part.attempts.iter().filter(broke).count() > 1;
        // Guards against holding a lost query back: a part with none out and none to follow is lost.
        let is_out = |part: &Part| part.attempts.iter().any(|attempt| attempt.out());
        let dead = |part: &&&Part| !part.done && !is_out(part) && !self.may_follow(part);
        let dead: f64 = parts.iter().filter(dead).map(|part| part.asked.weight).sum();
        let lost = dead > EPSILON && 1.0 - dead < class.min_coverage - EPSILON;
        (over || hopeless || lost || parts.iter().any(breaks)).then_some(abandon)
    }

    /// The one place that ends queries.
    fn end(&mut self, id: RequestId, ending: Ending, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let class = self.settings.classes.get(query.asked.class.0);
        match ending {
            Ending::Answer { whole } => {
                actions.push(Action::Respond { id, complete: whole });
                if class.is_some_and(|class| class.second_step_parts > 0) && query.first_step.is_none() {
                    query.first_step = Some(whole);
                    query.admitted = false;
                    let first = std::mem::take(&mut query.parts);
                    return self.release(first, actions);
                }
            }
            Ending::Abandon { pause } => {
                let ran = |part: &Part| part.attempts.iter().any(|attempt| attempt.may_have_run());
                let mut parts = query.parts.iter().filter_map(|part| self.parts.get(part));
                let may_have_run = query.first_step.is_some() || parts.any(ran);
                let risky =
                    class.is_none_or(|class| class.idempotency != Idempotency::Idempotent) && may_have_run;
                let pause = self.settings.max_retry_after.map(|longest| pause.min(longest));
                actions.push(if risky {
                    Action::Fail { id }
                } else {
                    Action::Reject { id, retry_after: pause }
                });
            }
        }
        self.forget(id, actions);
    }

    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.jobs.remove(&query.asked.job);
        self.release(query.parts, actions);
    }

    /// Lets go of parts; attempts still out are called off and kept until their outcome is in.
    fn release(&mut self, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in parts {
            let Some(part) = self.parts.get_mut(&id) else { continue };
            (part.over, part.released) = (true, true);
            if self.settings.may_cancel {
                for (number, _) in part.attempts.iter().enumerate().filter(|(_, attempt)| attempt.out()) {
                    actions.push(Action::Cancel { id, attempt: AttemptNo(number as u32) });
                }
            }
            self.drop_if_over(id);
        }
    }

    fn drop_if_over(&mut self, id: RequestId) {
        let out = |part: &Part| part.attempts.iter().any(|attempt| attempt.out());
        self.parts.extract_if(id..=id, |_, part| part.released && !out(part)).for_each(drop);
    }
}

/// The stable hash by which all roots agree on a key's home.
fn affinity(key: u64, leaf: WorkerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&leaf.0.to_le_bytes());
    xxh3_64(&bytes)
}
