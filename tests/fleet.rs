//! A hundred roots in one process, each with its own share of the traffic: what they do together.

mod common;

use clayshore::Aggregator;
use clayshore::api::*;
use clayshore::limits::Backoff;
use common::{class, ms};
use std::collections::BTreeMap;
use std::time::Duration;

const ROOTS: u32 = 100;
const CELLS: u32 = 60;
const ZONES: u32 = 3;
const STEP: u64 = 10;
/// How long a connection is tried for.
const CONNECT: u64 = 250;

/// What a worker does with whatever reaches it.
#[derive(Clone, Copy, PartialEq)]
enum Worker {
    Answers,
    /// Says nothing; what is sent to it cannot connect.
    Lost,
    /// Answers this many of ten attempts with an error, at once.
    Errs(u32),
}

struct Fleet {
    roots: Vec<Aggregator>,
    workers: Vec<Worker>,
    now: Time,
    random: fastrand::Rng,
    next: u64,
    due: BTreeMap<(Time, u64), (usize, AttemptEnd)>,
    out: BTreeMap<(usize, RequestId, AttemptNo), (Time, u64)>,
    attempts: BTreeMap<(usize, RequestId), u32>,
    /// Each send: when, by which root, to which leaf.
    sent: Vec<(Time, usize, usize)>,
    answered: u32,
    refused: u32,
}

impl Fleet {
    fn new(seed: u64, effect: Effect) -> Fleet {
        let entries: Vec<Entry> = (0..CELLS)
            .map(|id| Entry {
                leaf: LeafId(id),
                zone: ZoneId(id % ZONES),
                cell: CellId(id),
                status: Status::Active,
                units: 1.0,
                since: None,
            })
            .collect();
        let now = Time(1_000_000_000_000);
        let mut random = fastrand::Rng::with_seed(seed);
        let roots = (0..ROOTS).map(|root| {
            let mut module = Aggregator::new(Settings {
                seed: random.u64(..),
                roots: ROOTS,
                zone: ZoneId(root % ZONES),
                classes: vec![Class { aim: ms(650), deadline: ms(1200), ..class(effect) }],
                cells: CELLS,
                span: 4,
                shards: CELLS,
                per_call: 1,
                most_attempts: Some(4),
                may_probe: false,
                ..common::settings()
            });
            module.turn(now, [Event::Membership(Membership::Full(entries.clone().into()))], &mut Vec::new());
            module
        });
        Fleet {
            roots: roots.collect(),
            workers: vec![Worker::Answers; CELLS as usize],
            now,
            random: fastrand::Rng::with_seed(seed + 1),
            next: 1,
            due: BTreeMap::new(),
            out: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent: Vec::new(),
            answered: 0,
            refused: 0,
        }
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn query(&mut self) -> Vec<Event> {
        let (id, job) = (RequestId(self.id()), JobId(self.next));
        let valid_until = self.now.after(ms(1200));
        let query = NewQuery { id, class: ClassId(0), tenant: None, valid_until, job, retry: false };
        let mut events = vec![Event::Query(query)];
        for _ in 0..8 {
            let shard = ShardId(self.random.u32(..CELLS));
            let key = Some(format!("k{}", self.random.u32(..)).into());
            let id = RequestId(self.id());
            events.push(Event::Part(NewPart { id, key, hint: Some(ms(20)), job, shard, weight: 0.125 }));
        }
        events
    }

    /// Lets time pass; each root gets four queries a second.
    fn pass(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(ms(STEP));
            let mut events: Vec<Vec<Event>> =
                (0..ROOTS).map(|_| vec![Event::Due { handle: Handle(0) }]).collect();
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (root, end) = entry.remove();
                self.out.remove(&(root, end.id, end.attempt));
                events[root].push(Event::Ended(end));
            }
            for (root, events) in events.into_iter().enumerate() {
                let mut events = events;
                if self.random.u64(..1000) < 4 * STEP {
                    events.extend(self.query());
                }
                let mut actions = Vec::new();
                self.roots[root].turn(self.now, events, &mut actions);
                actions.into_iter().for_each(|action| self.carry_out(root, action));
            }
        }
    }

    fn carry_out(&mut self, root: usize, action: Action) {
        match action {
            Action::Send { id, leaf, timeout } => {
                let count = self.attempts.entry((root, id)).or_default();
                let attempt = AttemptNo(*count);
                *count += 1;
                let to = leaf.0 as usize;
                self.sent.push((self.now, root, to));
                let lost = Duration::from_millis(CONNECT);
                let (outcome, elapsed) = match self.workers[to] {
                    Worker::Answers => (Outcome::Done, ms(20 + self.random.u64(..20))),
                    Worker::Errs(of) if self.random.u32(..10) < of => (Outcome::Error, ms(STEP)),
                    Worker::Errs(_) => (Outcome::Done, ms(20)),
                    Worker::Lost if timeout < lost => (Outcome::TimedOut, timeout),
                    Worker::Lost => (Outcome::Refused, lost),
                };
                let report = (outcome == Outcome::Done).then(|| vec![Some(0.5)]);
                let over = outcome == Outcome::Done;
                let end = AttemptEnd { id, attempt, leaf, outcome, elapsed, over, report };
                let at = (self.now.after(elapsed), self.id());
                self.out.insert((root, id, attempt), at);
                self.due.insert(at, (root, end));
            }
            Action::Cancel { id, attempt } => {
                let Some(at) = self.out.remove(&(root, id, attempt)) else { return };
                if let Some((_, mut end)) = self.due.remove(&at) {
                    (end.outcome, end.report, end.over) = (Outcome::Cancelled, None, false);
                    self.due.insert((self.now, at.1), (root, end));
                }
            }
            Action::Answer { .. } => self.answered += 1,
            Action::Refuse { .. } | Action::Fail { .. } => self.refused += 1,
            _ => {}
        }
    }

    /// Sends since then to workers of this kind.
    fn sends_to(&self, since: Time, is: impl Fn(Worker) -> bool) -> usize {
        self.sent.iter().filter(|(at, _, to)| *at > since && is(self.workers[*to])).count()
    }
}

#[test]
fn a_lost_zone_is_learned_from_few_of_its_workers() {
    for seed in [1, 2] {
        let mut fleet = Fleet::new(seed, Effect::Repeatable);
        fleet.pass(ms(3000));
        (0..CELLS).filter(|id| id % ZONES == 0).for_each(|id| fleet.workers[id as usize] = Worker::Lost);
        let lost_at = fleet.now;
        fleet.pass(ms(1000));
        let learned_at = fleet.now;
        fleet.pass(ms(3000));
        let all = fleet.sends_to(lost_at, |_| true);
        let first = fleet.sends_to(lost_at, |worker| worker == Worker::Lost);
        let later = fleet.sends_to(learned_at, |worker| worker == Worker::Lost);
        // Twenty workers that each root found out alone took ten sends from each root in the first second.
        assert!(first < 10 * ROOTS as usize, "seed {seed}: {first} of {all} sends to a lost zone");
        assert!(later < 4 * ROOTS as usize, "seed {seed}: {later} of {all} after a second");
    }
}

#[test]
fn what_runs_once_is_kept_from_workers_that_err() {
    for seed in [1, 2] {
        let mut fleet = Fleet::new(seed, Effect::Once);
        fleet.pass(ms(2000));
        (0..CELLS).filter(|id| id % 10 == 0).for_each(|id| fleet.workers[id as usize] = Worker::Errs(8));
        fleet.pass(ms(4000));
        let learned = fleet.now;
        fleet.pass(ms(4000));
        let (errs, all) =
            (fleet.sends_to(learned, |w| w == Worker::Errs(8)), fleet.sends_to(learned, |_| true));
        // A tenth of the workers: by chance a tenth of the sends.
        assert!(errs * 75 < all, "seed {seed}: {errs} of {all} sends to workers that err");
    }
}

#[test]
fn an_overbooked_discovery_is_reached_by_all() {
    // As herd+vast has it: a call takes 150 ms, 13 wait in turn, others are turned away, and a wait of 2 s fails. A
    // constant pause, or one that starts short, keeps it so that nobody is served after the first two seconds.
    const CALL: u64 = 150;
    const TURN: usize = 13;
    for seed in [1, 2] {
        let mut callers: Vec<Backoff> =
            (0..u64::from(ROOTS)).map(|id| Backoff::new(seed * 1000 + id, ROOTS, ms(10_000))).collect();
        let mut due: Vec<Option<u64>> =
            callers.iter_mut().map(|caller| Some(caller.start().as_millis() as u64)).collect();
        let (mut turn, mut free_at, mut served) = (std::collections::VecDeque::new(), 0, 0);
        let mut calls = Vec::new();
        for now in 0..90_000 {
            for (id, caller) in callers.iter_mut().enumerate() {
                if due[id].is_none_or(|at| at > now) {
                    continue;
                }
                calls.push(now);
                due[id] = None;
                if turn.len() >= TURN {
                    due[id] = Some(now + 1 + caller.pause(true).as_millis() as u64);
                } else {
                    turn.push_back((id, now));
                }
            }
            if free_at <= now
                && let Some((id, since)) = turn.pop_front()
            {
                free_at = now + CALL;
                if now - since < 2000 {
                    callers[id].answered();
                    served += 1;
                } else {
                    due[id] = Some(now + 1 + callers[id].pause(true).as_millis() as u64);
                }
            }
        }
        let busiest = (0..90).map(|s| calls.iter().filter(|at| **at / 1000 == s).count()).max();
        assert!(busiest < Some(20), "seed {seed}: {busiest:?} calls in a second");
        assert_eq!(served, ROOTS, "seed {seed}: served of all callers, after {} calls", calls.len());
    }
}
