//! A simulation of a large fleet: a hundred aggregators and sixty workers in three zones, and separately an
//! overloaded discovery service.

use super::{AggregatorHarness, Sent, class, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptOutcome, CellId, Class, Endpoint, EndpointStatus, EndpointUpdate, Event, Idempotency,
    Settings, Time, TimerId, ZoneId,
};
use std::collections::VecDeque;

/// Number of aggregators in the fleet.
pub const AGGREGATORS: u32 = 100;
const WORKERS: u32 = 60;
/// Number of zones, over which workers and aggregators are spread evenly.
pub const ZONES: u32 = 3;
/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// The way in which a worker answers attempts.
#[derive(Clone, Copy)]
pub enum WorkerBehavior {
    /// Every attempt succeeds after 20 to 40 ms.
    Answers,
    /// Connecting fails after 250 ms.
    Unreachable,
    /// Eight of ten attempts fail within a step; the others succeed.
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

/// The simulated aggregators and workers.
pub struct SimulatedFleet {
    aggregators: Vec<SimulatedAggregator>,
    workers: Vec<WorkerBehavior>,
    random: fastrand::Rng,
}

impl SimulatedFleet {
    /// Creates a fleet in which all workers answer, with one class of this idempotency.
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

    /// Sets the behaviour of the selected workers.
    pub fn set_behavior(&mut self, is_selected: impl Fn(u32) -> bool, behavior: WorkerBehavior) {
        (0..WORKERS).filter(|id| is_selected(*id)).for_each(|id| self.workers[id as usize] = behavior);
    }

    /// Advances the clock by a number of milliseconds. Each aggregator gets four queries of eight parts a
    /// second on average. Returns the number of attempts sent to the selected workers, and the number of all.
    pub fn advance(&mut self, duration_ms: u64, is_selected: impl Fn(u32) -> bool) -> (usize, usize) {
        let (mut to_selected, mut total) = (0, 0);
        for _ in 0..duration_ms / STEP_MS {
            for id in 0..self.aggregators.len() {
                for sent in self.step(id) {
                    to_selected += usize::from(is_selected(sent.worker.0));
                    total += 1;
                }
            }
        }
        (to_selected, total)
    }

    /// Runs one step of an aggregator. Returns the attempts that it sent.
    fn step(&mut self, id: usize) -> Vec<Sent> {
        let SimulatedAggregator { harness, in_flight } = &mut self.aggregators[id];
        harness.now = harness.now.after(ms(STEP_MS));
        let mut events = finished_attempts(harness, in_flight);
        events.push(Event::TimerFired { timer: TimerId(0) });
        if self.random.u64(..1000) < 4 * STEP_MS {
            let shards: [u32; 8] = std::array::from_fn(|_| self.random.u32(..WORKERS));
            events.extend(harness.new_query(Some(&format!("k{}", shards[0])), &shards).2);
        }
        let sent_before = harness.sent.len();
        harness.step(events);
        let newly_sent = harness.sent[sent_before..].to_vec();
        for sent in &newly_sent {
            let (outcome, elapsed_ms) = match self.workers[sent.worker.0 as usize] {
                WorkerBehavior::Unreachable => (AttemptOutcome::ConnectFailed, 250),
                WorkerBehavior::Failing if self.random.u32(..10) < 8 => (AttemptOutcome::Failed, STEP_MS),
                _ => (AttemptOutcome::Succeeded, 20 + self.random.u64(..20)),
            };
            let ends_at = harness.now.after(ms(elapsed_ms));
            in_flight.push(InFlight { ends_at, sent: *sent, outcome });
        }
        cancel_attempts(harness, in_flight);
        newly_sent
    }
}

/// Removes the attempts that have ended by now, and returns the events of their results.
fn finished_attempts(harness: &AggregatorHarness, in_flight: &mut Vec<InFlight>) -> Vec<Event> {
    let finished = in_flight.extract_if(.., |attempt| attempt.ends_at <= harness.now);
    let event = |attempt: InFlight| {
        let utilization = (attempt.outcome == AttemptOutcome::Succeeded).then_some(0.5);
        harness.attempt_finished(attempt.sent, attempt.outcome, utilization)
    };
    finished.map(event).collect()
}

/// Lets the attempts that the last step cancelled end now.
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

/// Service time of a poll of discovery.
const POLL_MS: u64 = 150;
/// Length of discovery's queue; further polls are rejected.
const MAX_QUEUED_POLLS: usize = 14;
/// Time-out of a caller, after which it ignores the response to its poll.
const POLL_TIMEOUT_MS: u64 = 2000;

/// Simulates callers that poll an overloaded discovery service for 90 s, as on the deployment herd+vast:
/// discovery serves one poll at a time, queues some and rejects the rest. A caller polls at its start time,
/// in milliseconds, and again after a backoff if its poll was rejected or answered too late. `backoff_ms`
/// returns the backoff of the caller with this index. Returns the number of callers that got their list, and
/// the largest number of polls in one second.
pub fn simulate_discovery_polls(
    starts: Vec<u64>,
    mut backoff_ms: impl FnMut(usize) -> u64,
) -> (usize, usize) {
    let mut next_polls: Vec<Option<u64>> = starts.into_iter().map(Some).collect();
    let (mut queue, mut served, mut polls) = (VecDeque::new(), 0, vec![0; 90]);
    for now in 0..90_000 {
        for (id, next_poll) in next_polls.iter_mut().enumerate() {
            if next_poll.is_some_and(|at| at <= now) {
                polls[now as usize / 1000] += 1;
                let is_full = queue.len() >= MAX_QUEUED_POLLS;
                *next_poll = is_full.then(|| now + 1 + backoff_ms(id));
                queue.extend((!is_full).then_some((id, now)));
            }
        }
        if now % POLL_MS == 0
            && let Some((id, polled_at)) = queue.pop_front()
        {
            let is_late = now - polled_at >= POLL_TIMEOUT_MS;
            next_polls[id] = is_late.then(|| now + 1 + backoff_ms(id));
            served += usize::from(!is_late);
        }
    }
    (served, polls.into_iter().max().unwrap_or(0))
}
