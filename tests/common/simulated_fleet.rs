//! A stand-in for the fleet at size: a hundred roots, sixty workers in three zones, and an overbooked discovery.

use super::{AggregatorHarness, Sent, class, entry, ms, settings};
use gatherer::policy::*;
use std::collections::VecDeque;

pub const AGGREGATORS: u32 = 100;
const CELLS: u32 = 60;
pub const ZONES: u32 = 3;
const STEP: u64 = 10;

/// What a worker does with whatever reaches it.
#[derive(Clone, Copy)]
pub enum WorkerBehavior {
    Answers,
    /// Cannot be connected to: that takes 250 ms.
    Lost,
    /// Answers eight of ten attempts with an error, at once.
    Failing,
}

/// When an attempt ends, and how.
type Due = (Time, Sent, AttemptOutcome);

/// The roots, each with what will come back to it, and the workers.
pub struct Fleet {
    roots: Vec<(AggregatorHarness, Vec<Due>)>,
    workers: Vec<WorkerBehavior>,
    random: fastrand::Rng,
}

impl Fleet {
    pub fn new(seed: u64, effect: Idempotency) -> Fleet {
        let at = |id| Endpoint {
            zone: ZoneId(id % ZONES),
            cell: CellId(id),
            ..entry(id, EndpointStatus::Active, None)
        };
        let list: Vec<Endpoint> = (0..CELLS).map(at).collect();
        let classes = vec![Class { latency_objective: ms(650), ..class(effect) }];
        let (cells, shards, most_attempts) = (CELLS, CELLS, Some(4));
        let all = Settings {
            fleet_size: AGGREGATORS,
            classes,
            cells,
            cells_per_shard: 4,
            shards,
            max_attempts: most_attempts,
            ..settings()
        };
        let root = |id: u32| {
            let seed = seed << 32 | u64::from(id);
            let own = Settings { seed, zone: ZoneId(id % ZONES), may_health_check: false, ..all.clone() };
            let mut root = AggregatorHarness::new(own, &[]);
            root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(list.clone().into()))]);
            (root, Vec::new())
        };
        let (roots, workers) =
            ((0..AGGREGATORS).map(root).collect(), vec![WorkerBehavior::Answers; CELLS as usize]);
        Fleet { roots, workers, random: fastrand::Rng::with_seed(seed) }
    }

    pub fn set_behavior(&mut self, which: impl Fn(u32) -> bool, worker: WorkerBehavior) {
        (0..CELLS).filter(|id| which(*id)).for_each(|id| self.workers[id as usize] = worker);
    }

    /// Lets time pass; each root gets four queries of eight parts a second. Returns the sends to these workers, and all.
    pub fn advance(&mut self, span: u64, which: impl Fn(u32) -> bool) -> (usize, usize) {
        let (mut to_these, mut all) = (0, 0);
        for _ in 0..span / STEP {
            for (root, due) in &mut self.roots {
                root.now = root.now.after(ms(STEP));
                let ready = due.extract_if(.., |(at, ..)| *at <= root.now);
                let busy = |outcome| (outcome == AttemptOutcome::Succeeded).then_some(0.5);
                let ended =
                    ready.map(|(_, sent, outcome)| root.attempt_finished(sent, outcome, busy(outcome)));
                let mut events: Vec<Event> = ended.collect();
                events.push(Event::TimerFired { timer: TimerId(0) });
                if self.random.u64(..1000) < 4 * STEP {
                    let shards: [u32; 8] = std::array::from_fn(|_| self.random.u32(..CELLS));
                    events.extend(root.new_query(Some(&format!("k{}", shards[0])), &shards).2);
                }
                let before = root.sent.len();
                root.step(events);
                for sent in &root.sent[before..] {
                    let worker = self.workers[sent.worker.0 as usize];
                    (to_these, all) = (to_these + usize::from(which(sent.worker.0)), all + 1);
                    let (outcome, took) = match worker {
                        WorkerBehavior::Lost => (AttemptOutcome::ConnectFailed, 250),
                        WorkerBehavior::Failing if self.random.u32(..10) < 8 => {
                            (AttemptOutcome::Failed, STEP)
                        }
                        _ => (AttemptOutcome::Succeeded, 20 + self.random.u64(..20)),
                    };
                    due.push((root.now.after(ms(took)), *sent, outcome));
                }
                for action in &root.actions {
                    let Action::Cancel { id, attempt } = action else { continue };
                    let off = due.iter_mut().find(|(_, sent, _)| (sent.id, sent.attempt) == (*id, *attempt));
                    off.into_iter().for_each(|off| (off.0, off.2) = (root.now, AttemptOutcome::Cancelled));
                }
            }
        }
        (to_these, all)
    }
}

/// Callers that got their list from a discovery as herd+vast has it: a call takes 150 ms, 14 wait in turn, others are
/// turned away, and who has waited for 2 s is served in vain. Also the most calls in a second.
pub fn simulate_discovery_polls(starts: Vec<u64>, mut pause: impl FnMut(usize) -> u64) -> (usize, usize) {
    let mut due: Vec<Option<u64>> = starts.into_iter().map(Some).collect();
    let (mut turn, mut done, mut calls) = (VecDeque::new(), 0, vec![0; 90]);
    for now in 0..90_000 {
        for (id, due) in due.iter_mut().enumerate() {
            if due.is_some_and(|at| at <= now) {
                calls[now as usize / 1000] += 1;
                let full = turn.len() >= 14;
                *due = full.then(|| now + 1 + pause(id));
                turn.extend((!full).then_some((id, now)));
            }
        }
        if now % 150 == 0
            && let Some((id, since)) = turn.pop_front()
        {
            let late = now - since >= 2000;
            due[id] = late.then(|| now + 1 + pause(id));
            done += usize::from(!late);
        }
    }
    (done, calls.into_iter().max().unwrap_or(0))
}
