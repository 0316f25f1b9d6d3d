//! What many gatherers' records add up to: service by class, tenant and worker over time, in bounded memory.

use super::figures::{self, Attempts, End, Second};
use super::line::{Body, Line};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Steps of time that are held at most; where there would be more, steps are joined in pairs.
const MOST_STEPS: usize = 1500;
/// Histograms that are held at most, for the same: each is some 25 kB.
const MOST_HISTOGRAMS: usize = 1600;

/// How the queries of one kind ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Taken, or refused because they came too late to be.
    pub asked: u64,
    /// Answered whole in their wanted time.
    pub whole_in_time: u64,
    /// Answered whole, later.
    pub whole_late: u64,
    /// Answered in part.
    pub partial: u64,
    /// Refused, for whatever reason.
    pub refused: u64,
    /// Failed, for whatever reason.
    pub failed: u64,
    /// Their client left first.
    pub left: u64,
    /// Taken by a gatherer that has no record of their end.
    pub unknown: u64,
}

impl Counts {
    fn add(&mut self, end: End, count: u64) {
        *match end {
            End::WholeInTime => &mut self.whole_in_time,
            End::WholeLate => &mut self.whole_late,
            End::Partial => &mut self.partial,
            End::RefusedDeclined | End::RefusedFull | End::RefusedStopping => &mut self.refused,
            End::FailedGivenUp | End::FailedOverdue => &mut self.failed,
            End::Left => &mut self.left,
        } += count;
        // These are in no count of what was taken.
        if end == End::RefusedStopping {
            self.asked += count;
        }
    }
    /// All that have an end.
    pub fn ended(&self) -> u64 {
        self.whole_in_time + self.whole_late + self.partial + self.refused + self.failed + self.left
    }
    /// Takes in those of another kind or step.
    pub fn join(&mut self, other: &Counts) {
        self.asked += other.asked;
        self.whole_in_time += other.whole_in_time;
        self.whole_late += other.whole_late;
        self.partial += other.partial;
        self.refused += other.refused;
        self.failed += other.failed;
        self.left += other.left;
        self.unknown += other.unknown;
    }
}

/// What is held of one step of time.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// By class and tenant; a tenant that is not told is empty.
    pub queries: BTreeMap<(String, String), Counts>,
    /// By worker.
    pub attempts: BTreeMap<String, Attempts>,
    /// By class.
    pub latency: BTreeMap<String, Histogram<u64>>,
}

impl Step {
    fn join(&mut self, other: Step) {
        for (key, counts) in other.queries {
            self.queries.entry(key).or_default().join(&counts);
        }
        for (worker, attempts) in other.attempts {
            self.attempts.entry(worker).or_default().join(attempts);
        }
        for (class, latency) in other.latency {
            let own = self.latency.entry(class).or_insert_with(figures::histogram);
            // Both have the same bounds, or the other was clipped to them when it was read.
            let _ = own.add(latency);
        }
    }
}

/// One start of one gatherer, as its records tell of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StartSeen {
    /// Its first and last moment on record, in Unix milliseconds of its own clock.
    pub first_ms: u64,
    /// The last.
    pub last_ms: u64,
    /// It ended by itself, and had answered all it had taken.
    pub stopped: bool,
    /// Lines that it says it lost.
    pub told_lost: u64,
    /// Lines that are on no record, told or not.
    pub missing: u64,
    /// Queries taken and ended, by class.
    pub open: BTreeMap<String, i64>,
    #[serde(skip)]
    classes: Vec<String>,
    #[serde(skip)]
    tenants: Vec<String>,
    #[serde(skip)]
    next: u64,
    /// Step in which each class's last query was taken.
    #[serde(skip)]
    last_taken: BTreeMap<String, u64>,
}

/// Something that was told at a moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Told {
    /// When, in Unix milliseconds of the gatherer's clock.
    pub at_ms: u64,
    /// By whom.
    pub gatherer: String,
    /// In which start.
    pub start: String,
    /// What.
    pub what: String,
}

/// Moments that are held at most, the first ones.
const MOST_TOLD: usize = 5000;

/// Adds lines up.
#[derive(Debug)]
pub struct Summary {
    step_ms: u64,
    from_ms: u64,
    to_ms: u64,
    /// Steps by their begin, in Unix milliseconds.
    pub steps: BTreeMap<u64, Step>,
    /// Starts by gatherer and name.
    pub starts: BTreeMap<(String, String), StartSeen>,
    /// Events in the order of reading.
    pub told: Vec<Told>,
    /// Events beyond [`MOST_TOLD`].
    pub untold: u64,
    /// Steps when it was last looked whether there are too many.
    looked_at: usize,
}

impl Summary {
    /// Nothing yet. Lines before `from_ms` or from `to_ms` on are not counted.
    pub fn new(step_ms: u64, from_ms: u64, to_ms: u64) -> Summary {
        Summary {
            step_ms: step_ms.max(1000),
            from_ms,
            to_ms,
            steps: BTreeMap::new(),
            starts: BTreeMap::new(),
            told: Vec::new(),
            untold: 0,
            looked_at: 0,
        }
    }

    /// Length of a step now.
    pub fn step_ms(&self) -> u64 {
        self.step_ms
    }

    /// Takes a line in.
    pub fn take(&mut self, line: Line) {
        let Line { gatherer, start, seq, at_ms, body, .. } = line;
        let key = (gatherer, start);
        let seen = self.starts.entry(key.clone()).or_insert_with(|| StartSeen {
            first_ms: at_ms,
            last_ms: at_ms,
            ..StartSeen::default()
        });
        seen.missing += seq.saturating_sub(seen.next);
        seen.next = seq + 1;
        (seen.first_ms, seen.last_ms) = (seen.first_ms.min(at_ms), seen.last_ms.max(at_ms));
        if let Body::Start { classes, tenants, .. } = &body {
            (seen.classes, seen.tenants) = (classes.clone(), tenants.clone());
        }
        if !(self.from_ms..self.to_ms).contains(&at_ms) {
            return;
        }
        match body {
            Body::Figures(second) => self.add(&key, at_ms, second),
            Body::Stop => {
                seen.stopped = true;
                self.tell(at_ms, key, "stop".to_owned());
            }
            Body::Gap { lost, why } => {
                seen.told_lost += lost;
                self.tell(at_ms, key, format!("{lost} records lost: {why}"));
            }
            Body::Start { configuration, .. } => {
                self.tell(at_ms, key, format!("start, configuration {configuration}"));
            }
            Body::Reload { taken, what } => {
                let not = if taken { "" } else { "not " };
                self.tell(at_ms, key, format!("configuration {not}read again: {what}"));
            }
            Body::List { revision, workers, .. } => {
                self.tell(at_ms, key, format!("list {revision}, {workers} workers"));
            }
            Body::Worker { worker, state } => {
                self.tell(at_ms, key, format!("worker {worker} {state:?}").to_lowercase());
            }
            Body::Member { member, state, .. } => {
                self.tell(at_ms, key, format!("gatherer {member} {state:?}").to_lowercase());
            }
            Body::Overload { begins } => {
                let what = if begins { "overload begins" } else { "overload ends" };
                self.tell(at_ms, key, what.to_owned());
            }
        }
    }

    fn tell(&mut self, at_ms: u64, (gatherer, start): (String, String), what: String) {
        if self.told.len() < MOST_TOLD {
            self.told.push(Told { at_ms, gatherer, start, what });
        } else {
            self.untold += 1;
        }
    }

    fn add(&mut self, key: &(String, String), at_ms: u64, second: Second) {
        let begin = at_ms / self.step_ms * self.step_ms;
        let step = self.steps.entry(begin).or_default();
        let Some(seen) = self.starts.get_mut(key) else { return };
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_else(|| format!("#{at}"));
        for queries in second.queries {
            let class = name(&seen.classes, queries.class);
            let tenant = queries.tenant.map_or_else(String::new, |at| name(&seen.tenants, at));
            let counts = step.queries.entry((class.clone(), tenant)).or_default();
            counts.asked += queries.taken;
            let open = seen.open.entry(class.clone()).or_default();
            *open += i64::try_from(queries.taken).unwrap_or(i64::MAX);
            for (end, count) in queries.ends {
                counts.add(end, count);
                if end != End::RefusedStopping {
                    *open -= i64::try_from(count).unwrap_or(i64::MAX);
                }
            }
            if queries.taken > 0 {
                seen.last_taken.insert(class.clone(), begin);
            }
            if let Some(latency) = figures::read(&queries.latency) {
                let own = step.latency.entry(class).or_insert_with(figures::histogram);
                // What is over its bounds was clipped when it was written.
                let _ = own.add(latency);
            }
        }
        for (worker, attempts) in second.attempts {
            step.attempts.entry(worker).or_default().join(attempts);
        }
        let histograms = |steps: &BTreeMap<u64, Step>| steps.values().map(|step| step.latency.len()).sum();
        if self.steps.len() != self.looked_at {
            self.looked_at = self.steps.len();
            let held: usize = histograms(&self.steps);
            if self.steps.len() > MOST_STEPS || held > MOST_HISTOGRAMS && self.steps.len() > 2 {
                self.coarsen();
            }
        }
    }

    /// Joins steps in pairs: guards the memory against records of a long time.
    fn coarsen(&mut self) {
        self.step_ms *= 2;
        for (begin, step) in std::mem::take(&mut self.steps) {
            self.steps.entry(begin / self.step_ms * self.step_ms).or_default().join(step);
        }
        for seen in self.starts.values_mut() {
            seen.last_taken.values_mut().for_each(|begin| *begin = *begin / self.step_ms * self.step_ms);
        }
    }

    /// Once all is read: what was taken and has no end on record shows as unknown, in the step in which its start last
    /// took a query of that class. It is never dropped, and never guessed to have ended in some way.
    pub fn finish(&mut self) {
        for seen in self.starts.values() {
            for (class, open) in &seen.open {
                let (Ok(open), Some(begin)) = (u64::try_from(*open), seen.last_taken.get(class)) else {
                    continue;
                };
                if open > 0 {
                    let step = self.steps.entry(*begin).or_default();
                    step.queries.entry((class.clone(), String::new())).or_default().unknown += open;
                }
            }
        }
    }

    /// Counts by class, over all steps.
    pub fn classes(&self) -> BTreeMap<String, Counts> {
        let mut all: BTreeMap<String, Counts> = BTreeMap::new();
        for ((class, _), counts) in self.steps.values().flat_map(|step| &step.queries) {
            all.entry(class.clone()).or_default().join(counts);
        }
        all
    }
}
