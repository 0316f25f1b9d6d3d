//! A simulated fleet at full size: a hundred aggregators, sixty workers in three zones, and an overloaded
//! discovery.

use super::{AggregatorHarness, Sent, class, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptOutcome, CellId, Class, Endpoint, EndpointStatus, EndpointUpdate, Event, Idempotency,
    Settings, Time, TimerId, ZoneId,
};
use std::collections::VecDeque;

/// Aggregators of the fleet.
pub const AGGREGATORS: u32 = 100;
const WORKERS: u32 = 60;
/// Zones, over which workers and aggregators are spread.
pub const ZONES: u32 = 3;
/// Milliseconds between two steps of the simulation.
const STEP_MS: u64 = 10;

/// What a worker does with the attempts that reach it.
#[derive(Clone, Copy)]
pub enum WorkerBehavior {
    /// Answers every attempt.
    Answers,
    /// Cannot be connected to: a connect fails after 250 ms.
    Unreachable,
    /// Answers eight of ten attempts with an error, at once.
    Failing,
}

/// An attempt in flight.
struct InFlight {
    ends_at: Time,
    sent: Sent,
    outcome: AttemptOutcome,
}

/// An aggregator and its attempts in flight.
struct SimulatedAggregator {
    harness: AggregatorHarness,
    in_flight: Vec<InFlight>,
}

/// The aggregators and the workers.
pub struct SimulatedFleet {
    aggregators: Vec<SimulatedAggregator>,
    workers: Vec<WorkerBehavior>,
    random: fastrand::Rng,
}

impl SimulatedFleet {
    /// A fleet in which all workers answer.
    pub fn new(seed: u64, idempotency: Idempotency) -> SimulatedFleet {
        let endpoint = |id| Endpoint {
            zone: ZoneId(id % ZONES),
            cell: CellId(id),
            ..entry(id, EndpointStatus::Active, None)
        };
        let list: Vec<Endpoint> = (0..WORKERS).map(endpoint).collect();
        let shared = Settings {
            fleet_size: AGGREGATORS,
            classes: vec![Class { latency_objective: ms(650), ..class(idempotency) }],
            cells: WORKERS,
            cells_per_shard: 4,
            shards: WORKERS,
            max_attempts: Some(4),
            ..settings()
        };
        let aggregator = |id: u32| {
            let seed = seed << 32 | u64::from(id);
            let own = Settings { seed, zone: ZoneId(id % ZONES), may_health_check: false, ..shared.clone() };
            let mut harness = AggregatorHarness::new(own, &[]);
            harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(list.clone().into()))]);
            SimulatedAggregator { harness, in_flight: Vec::new() }
        };
        SimulatedFleet {
            aggregators: (0..AGGREGATORS).map(aggregator).collect(),
            workers: vec![WorkerBehavior::Answers; WORKERS as usize],
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Changes what the chosen workers do from now on.
    pub fn set_behavior(&mut self, which: impl Fn(u32) -> bool, behavior: WorkerBehavior) {
        (0..WORKERS).filter(|id| which(*id)).for_each(|id| self.workers[id as usize] = behavior);
    }

    /// Advances time by a span in milliseconds; each aggregator gets four queries of eight parts a second.
    /// Returns the number of dispatches to the chosen workers, and of all.
    pub fn advance(&mut self, span: u64, which: impl Fn(u32) -> bool) -> (usize, usize) {
        let (mut to_chosen, mut total) = (0, 0);
        for _ in 0..span / STEP_MS {
            for id in 0..self.aggregators.len() {
                for sent in self.step(id) {
                    to_chosen += usize::from(which(sent.worker.0));
                    total += 1;
                }
            }
        }
        (to_chosen, total)
    }

    /// One step of an aggregator. Returns what it dispatched.
    fn step(&mut self, id: usize) -> Vec<Sent> {
        let SimulatedAggregator { harness, in_flight } = &mut self.aggregators[id];
        harness.now = harness.now.after(ms(STEP_MS));
        let mut events = finished_attempts(harness, in_flight);
        events.push(Event::TimerFired { timer: TimerId(0) });
        if self.random.u64(..1000) < 4 * STEP_MS {
            let shards: [u32; 8] = std::array::from_fn(|_| self.random.u32(..WORKERS));
            events.extend(harness.new_query(Some(&format!("k{}", shards[0])), &shards).2);
        }
        let before = harness.sent.len();
        harness.step(events);
        let dispatched = harness.sent[before..].to_vec();
        for sent in &dispatched {
            let (outcome, elapsed_ms) = match self.workers[sent.worker.0 as usize] {
                WorkerBehavior::Unreachable => (AttemptOutcome::ConnectFailed, 250),
                WorkerBehavior::Failing if self.random.u32(..10) < 8 => (AttemptOutcome::Failed, STEP_MS),
                _ => (AttemptOutcome::Succeeded, 20 + self.random.u64(..20)),
            };
            let ends_at = harness.now.after(ms(elapsed_ms));
            in_flight.push(InFlight { ends_at, sent: *sent, outcome });
        }
        cancel_attempts(harness, in_flight);
        dispatched
    }
}

/// The results of the attempts that have ended by now.
fn finished_attempts(harness: &AggregatorHarness, in_flight: &mut Vec<InFlight>) -> Vec<Event> {
    let finished = in_flight.extract_if(.., |attempt| attempt.ends_at <= harness.now);
    let event = |attempt: InFlight| {
        let utilization = (attempt.outcome == AttemptOutcome::Succeeded).then_some(0.5);
        harness.attempt_finished(attempt.sent, attempt.outcome, utilization)
    };
    finished.map(event).collect()
}

/// Ends at once the attempts that were cancelled in the last step.
fn cancel_attempts(harness: &AggregatorHarness, in_flight: &mut [InFlight]) {
    for action in &harness.actions {
        let Action::Cancel { id, attempt } = action else { continue };
        let is_cancelled = |other: &&mut InFlight| (other.sent.id, other.sent.attempt) == (*id, *attempt);
        if let Some(cancelled) = in_flight.iter_mut().find(is_cancelled) {
            cancelled.ends_at = harness.now;
            cancelled.outcome = AttemptOutcome::Cancelled;
        }
    }
}

/// How long a poll takes, how many polls wait in turn, and after how long a response is useless.
const POLL_MS: u64 = 150;
const MAX_QUEUED_POLLS: usize = 14;
const USELESS_AFTER_MS: u64 = 2000;

/// Simulates callers that poll an overloaded discovery for 90 s, as on the deployment herd+vast: a poll takes
/// 150 ms, 14 wait in turn, others are rejected, and the response to one that has waited for 2 s is useless.
/// Returns how many callers got their list, and the most polls in a second.
pub fn simulate_discovery_polls(
    starts: Vec<u64>,
    mut backoff_ms: impl FnMut(usize) -> u64,
) -> (usize, usize) {
    let mut due: Vec<Option<u64>> = starts.into_iter().map(Some).collect();
    let (mut queue, mut served, mut polls) = (VecDeque::new(), 0, vec![0; 90]);
    for now in 0..90_000 {
        for (id, due) in due.iter_mut().enumerate() {
            if due.is_some_and(|at| at <= now) {
                polls[now as usize / 1000] += 1;
                let is_full = queue.len() >= MAX_QUEUED_POLLS;
                *due = is_full.then(|| now + 1 + backoff_ms(id));
                queue.extend((!is_full).then_some((id, now)));
            }
        }
        if now % POLL_MS == 0
            && let Some((id, since)) = queue.pop_front()
        {
            let is_late = now - since >= USELESS_AFTER_MS;
            due[id] = is_late.then(|| now + 1 + backoff_ms(id));
            served += usize::from(!is_late);
        }
    }
    (served, polls.into_iter().max().unwrap_or(0))
}
