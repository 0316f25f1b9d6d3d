//! Random but legal orders of events, from fixed seeds. The invariants of the decision module are checked
//! on each of its actions.

mod common;

use common::{AggregatorHarness, Sent, class, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptOutcome, Class, EndpointStatus, EndpointUpdate, Event, Idempotency, RequestId,
    RetryBudget, Settings, Time, TimerId, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Steps of a run.
const STEPS: u32 = 3000;
/// Steps in which queries are submitted; the rest lets the open queries end.
const STEPS_WITH_QUERIES: u32 = 2500;

/// A query that has no final action yet.
struct OpenQuery {
    deadline: Time,
    parts: Vec<RequestId>,
}

/// A run of random events, with the expected state of its queries and attempts.
struct RandomRun {
    seed: u64,
    idempotency: Idempotency,
    random: fastrand::Rng,
    harness: AggregatorHarness,
    open_queries: BTreeMap<RequestId, OpenQuery>,
    in_flight: Vec<Sent>,
    succeeded_parts: Vec<RequestId>,
    /// The earliest time at which a part may have run, for parts of which an attempt has ended.
    may_have_run_at: BTreeMap<RequestId, Time>,
    draining: BTreeSet<WorkerId>,
    /// The arrival times of all requests, that is of queries and parts.
    received_at: Vec<Time>,
    /// The times at which retries and hedges were sent within the window of the retry budget.
    extra_attempts_at: Vec<Time>,
}

impl RandomRun {
    fn new(seed: u64, idempotency: Idempotency) -> RandomRun {
        let budget = RetryBudget { free_attempts: 3.0, ratio: 0.1, window: ms(2000) };
        let partial = Class { min_coverage: 0.6, ..class(idempotency) };
        let settings = Settings {
            seed,
            fleet_size: 2,
            classes: vec![partial],
            retry_budget: Some(budget),
            ..settings()
        };
        RandomRun {
            seed,
            idempotency,
            random: fastrand::Rng::with_seed(seed),
            harness: AggregatorHarness::new(settings, &[1, 2, 3, 4]),
            open_queries: BTreeMap::new(),
            in_flight: Vec::new(),
            succeeded_parts: Vec::new(),
            may_have_run_at: BTreeMap::new(),
            draining: BTreeSet::new(),
            received_at: Vec::new(),
            extra_attempts_at: Vec::new(),
        }
    }

    /// Passes random events to the module and checks its actions.
    fn step(&mut self, number: u32) {
        self.harness.now = self.harness.now.after(ms(self.random.u64(1..20)));
        let mut events = vec![Event::TimerFired { timer: TimerId(0) }];
        if number < STEPS_WITH_QUERIES && self.random.u8(0..4) == 0 {
            events.extend(self.submit_query());
        }
        events.extend(self.finish_attempts());
        if self.random.u16(0..400) == 0 {
            events.push(self.change_worker_status());
        }
        let before = self.harness.sent.len();
        self.harness.step(events);
        let newly_sent = self.harness.sent[before..].to_vec();
        for sent in newly_sent {
            self.check_sent(sent);
        }
        for action in self.harness.actions.clone() {
            self.check_final_action(&action);
        }
        let now = self.harness.now;
        assert!(
            self.open_queries.values().all(|query| now <= query.deadline.after(ms(20))),
            "seed {}: a query has not ended 20 ms after its deadline",
            self.seed
        );
    }

    /// Submits a query with three parts.
    fn submit_query(&mut self) -> Vec<Event> {
        let key = format!("k{}", self.random.u8(0..9));
        let (id, parts, events) = self.harness.new_query(Some(&key), &[0, 1, 2]);
        self.received_at.extend([self.harness.now; 4]);
        let deadline = self.harness.now.after(ms(5000));
        self.open_queries.insert(id, OpenQuery { deadline, parts });
        events
    }

    /// Finishes random attempts, and all attempts that are past their time-outs.
    fn finish_attempts(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let mut unfinished = Vec::new();
        for sent in std::mem::take(&mut self.in_flight) {
            let timed_out = self.harness.now.since(sent.at) >= sent.timeout;
            if !timed_out && self.random.u8(0..10) > 0 {
                unfinished.push(sent);
                continue;
            }
            let outcome = match self.random.u8(0..10) {
                _ if timed_out => AttemptOutcome::TimedOut,
                0 => AttemptOutcome::Failed,
                1 => AttemptOutcome::Rejected,
                2 => AttemptOutcome::ConnectFailed,
                3 => AttemptOutcome::ConnectionReset,
                _ => AttemptOutcome::Succeeded,
            };
            if !matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed) {
                self.may_have_run_at.entry(sent.id).or_insert(sent.at);
            }
            if outcome == AttemptOutcome::Succeeded {
                self.succeeded_parts.push(sent.id);
            }
            let utilization = f64::from(self.random.u8(0..200)) / 100.0;
            events.push(self.harness.attempt_finished(sent, outcome, Some(utilization)));
        }
        self.in_flight = unfinished;
        events
    }

    /// Marks a random worker as draining, or as active again if it is draining.
    fn change_worker_status(&mut self) -> Event {
        let worker = self.random.u32(1..5);
        let status = if self.draining.remove(&WorkerId(worker)) {
            EndpointStatus::Active
        } else {
            self.draining.insert(WorkerId(worker));
            EndpointStatus::Draining
        };
        Event::EndpointUpdate(EndpointUpdate::Delta(vec![entry(worker, status, None)].into()))
    }

    /// Checks that an attempt may be sent, and records it.
    fn check_sent(&mut self, sent: Sent) {
        let (seed, now) = (self.seed, self.harness.now);
        assert!(!self.draining.contains(&sent.worker), "seed {seed}: sent to a draining worker");
        assert!(
            !self.succeeded_parts.contains(&sent.id),
            "seed {seed}: sent a part that has already succeeded"
        );
        assert!(
            self.open_queries.values().any(|query| query.parts.contains(&sent.id)),
            "seed {seed}: sent a part of a query that has ended"
        );
        let earlier = self.in_flight.iter().filter(|other| other.id == sent.id).map(|other| other.at).min();
        let first_possible_run = self.may_have_run_at.get(&sent.id).copied().into_iter().chain(earlier).min();
        match self.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::Keyed => assert!(
                first_possible_run.is_none_or(|at| now.since(at) <= ms(1000)),
                "seed {seed}: a keyed part was sent again after its repeat window of 1 s"
            ),
            Idempotency::NonIdempotent => {
                assert!(first_possible_run.is_none(), "seed {seed}: a non-idempotent part may run twice");
            }
        }
        if sent.attempt.0 > 0 {
            self.check_retry_budget();
        }
        self.in_flight.push(sent);
    }

    /// Counts a retry or hedge that was sent now, and checks the retry budget.
    fn check_retry_budget(&mut self) {
        let now = self.harness.now;
        self.extra_attempts_at.push(now);
        self.extra_attempts_at.retain(|at| now.since(*at) <= ms(2000));
        let received = self.received_at.iter().filter(|at| now.since(**at) < ms(2000)).count();
        assert!(
            self.extra_attempts_at.len() as f64 <= 3.0 + 0.1 * received as f64,
            "seed {}: {} extra attempts within 2 s exceed the budget",
            self.seed,
            self.extra_attempts_at.len()
        );
    }

    /// Checks an action that ends a query; other actions are ignored.
    fn check_final_action(&mut self, action: &Action) {
        let (id, complete) = match action {
            Action::Respond { id, complete } => (id, Some(*complete)),
            Action::Reject { id, .. } | Action::Fail { id } => (id, None),
            _ => return,
        };
        let seed = self.seed;
        let OpenQuery { parts, .. } =
            self.open_queries.remove(id).expect("an open query: each query ends once");
        let answered = parts.iter().filter(|part| self.succeeded_parts.contains(part)).count();
        let coverage = answered as f64 / parts.len() as f64;
        if let Some(complete) = complete {
            let min_coverage = if complete { 1.0 } else { 0.6 };
            assert!(
                coverage >= min_coverage,
                "seed {seed}: answered with complete={complete} at a coverage of {coverage}"
            );
        }
        let may_have_run = parts.iter().any(|part| {
            self.may_have_run_at.contains_key(part) || self.in_flight.iter().any(|other| other.id == *part)
        });
        if matches!(action, Action::Reject { .. }) && self.idempotency == Idempotency::NonIdempotent {
            assert!(
                !may_have_run,
                "seed {seed}: a non-idempotent query was rejected though a part may have run"
            );
        }
    }
}

fn run_random_events(seed: u64, idempotency: Idempotency) {
    let mut run = RandomRun::new(seed, idempotency);
    (0..STEPS).for_each(|number| run.step(number));
    assert!(run.open_queries.is_empty() || !run.harness.sent.is_empty());
    assert!(run.harness.sent.len() > 100, "seed {seed}: only {} attempts were sent", run.harness.sent.len());
}

#[test]
fn the_invariants_hold_for_random_event_orders() {
    for seed in 0..12 {
        run_random_events(seed, Idempotency::Idempotent);
        run_random_events(seed, Idempotency::Keyed);
        run_random_events(seed, Idempotency::NonIdempotent);
    }
}
