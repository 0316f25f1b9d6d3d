//! What many gatherers' records add up to: service by class, tenant and worker over time, in bounded memory.

use super::metrics::{self, AttemptMetrics, MetricsSnapshot, QueryEnd};
use super::record::{Record, RecordBody};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Steps of time that are held at most; where there would be more, steps are joined in pairs.
const MOST_STEPS: usize = 1500;
/// Histograms that are held at most, for the same: each is some 25 kB.
const MOST_HISTOGRAMS: usize = 1600;

/// How the queries of one kind ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QueryCounts {
    /// Taken, or refused because they came too late to be.
    #[serde(rename = "asked")]
    pub received: u64,
    /// Answered whole in their wanted time.
    #[serde(rename = "whole_in_time")]
    pub complete_in_time: u64,
    /// Answered whole, later.
    #[serde(rename = "whole_late")]
    pub complete_late: u64,
    /// Answered in part.
    pub partial: u64,
    /// Refused, for whatever reason.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed, for whatever reason.
    pub failed: u64,
    /// Their client left first.
    #[serde(rename = "left")]
    pub client_disconnected: u64,
    /// Taken by a gatherer that has no record of their end.
    pub unknown: u64,
}

impl QueryCounts {
    fn add(&mut self, end: QueryEnd, count: u64) {
        *match end {
            QueryEnd::CompleteInTime => &mut self.complete_in_time,
            QueryEnd::CompleteLate => &mut self.complete_late,
            QueryEnd::Partial => &mut self.partial,
            QueryEnd::RejectedByPolicy | QueryEnd::RejectedAtCapacity | QueryEnd::RejectedShuttingDown => {
                &mut self.rejected
            }
            QueryEnd::FailedAbandoned | QueryEnd::FailedDeadlineExceeded => &mut self.failed,
            QueryEnd::ClientDisconnected => &mut self.client_disconnected,
        } += count;
        // These are in no count of what was taken.
        if end == QueryEnd::RejectedShuttingDown {
            self.received += count;
        }
    }
    /// All that have an end.
    pub fn ended(&self) -> u64 {
        self.complete_in_time
            + self.complete_late
            + self.partial
            + self.rejected
            + self.failed
            + self.client_disconnected
    }
    /// Takes in those of another kind or step.
    pub fn merge(&mut self, other: &QueryCounts) {
        self.received += other.received;
        self.complete_in_time += other.complete_in_time;
        self.complete_late += other.complete_late;
        self.partial += other.partial;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.client_disconnected += other.client_disconnected;
        self.unknown += other.unknown;
    }
}

/// What is held of one step of time.
#[derive(Clone, Debug, Default)]
pub struct TimeStep {
    /// By class and tenant; a tenant that is not told is empty.
    pub queries: BTreeMap<(String, String), QueryCounts>,
    /// By worker.
    pub attempts: BTreeMap<String, AttemptMetrics>,
    /// By class.
    pub latency: BTreeMap<String, Histogram<u64>>,
}

impl TimeStep {
    fn join(&mut self, other: TimeStep) {
        for (key, counts) in other.queries {
            self.queries.entry(key).or_default().merge(&counts);
        }
        for (worker, attempts) in other.attempts {
            self.attempts.entry(worker).or_default().merge(attempts);
        }
        for (class, latency) in other.latency {
            let own = self.latency.entry(class).or_insert_with(metrics::new_histogram);
            // Both have the same bounds, or the other was clipped to them when it was read.
            let _ = own.add(latency);
        }
    }
}

/// One start of one gatherer, as its records tell of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct IncarnationSummary {
    /// Its first and last moment on record, in Unix milliseconds of its own clock.
    pub first_ms: u64,
    /// The last.
    pub last_ms: u64,
    /// It ended by itself, and had answered all it had taken.
    pub stopped: bool,
    /// Lines that it says it lost.
    #[serde(rename = "told_lost")]
    pub reported_lost: u64,
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
pub struct TimelineEvent {
    /// When, in Unix milliseconds of the gatherer's clock.
    pub at_ms: u64,
    /// By whom.
    pub gatherer: String,
    /// In which start.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// What.
    #[serde(rename = "what")]
    pub description: String,
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
    pub steps: BTreeMap<u64, TimeStep>,
    /// Starts by gatherer and name.
    pub incarnations: BTreeMap<(String, String), IncarnationSummary>,
    /// Events in the order of reading.
    pub timeline: Vec<TimelineEvent>,
    /// Events beyond [`MOST_TOLD`].
    pub timeline_dropped: u64,
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
            incarnations: BTreeMap::new(),
            timeline: Vec::new(),
            timeline_dropped: 0,
            looked_at: 0,
        }
    }

    /// Length of a step now.
    pub fn step_ms(&self) -> u64 {
        self.step_ms
    }

    /// Takes a line in.
    pub fn add_record(&mut self, line: Record) {
        let Record { gatherer, incarnation: start, seq, at_ms, body, .. } = line;
        let key = (gatherer, start);
        let seen = self.incarnations.entry(key.clone()).or_insert_with(|| IncarnationSummary {
            first_ms: at_ms,
            last_ms: at_ms,
            ..IncarnationSummary::default()
        });
        seen.missing += seq.saturating_sub(seen.next);
        seen.next = seq + 1;
        (seen.first_ms, seen.last_ms) = (seen.first_ms.min(at_ms), seen.last_ms.max(at_ms));
        if let RecordBody::Start { classes, tenants, .. } = &body {
            (seen.classes, seen.tenants) = (classes.clone(), tenants.clone());
        }
        if !(self.from_ms..self.to_ms).contains(&at_ms) {
            return;
        }
        match body {
            RecordBody::Metrics(second) => self.add(&key, at_ms, second),
            RecordBody::Stop => {
                seen.stopped = true;
                self.tell(at_ms, key, "stop".to_owned());
            }
            RecordBody::Gap { lost, reason: why } => {
                seen.reported_lost += lost;
                self.tell(at_ms, key, format!("{lost} records lost: {why}"));
            }
            RecordBody::Start { configuration, .. } => {
                self.tell(at_ms, key, format!("start, configuration {configuration}"));
            }
            RecordBody::Reload { applied: taken, detail: what } => {
                let not = if taken { "" } else { "not " };
                self.tell(at_ms, key, format!("configuration {not}read again: {what}"));
            }
            RecordBody::EndpointList { revision, workers, .. } => {
                self.tell(at_ms, key, format!("list {revision}, {workers} workers"));
            }
            RecordBody::Worker { worker, state } => {
                self.tell(at_ms, key, format!("worker {worker} {}", state.timeline_word()).to_lowercase());
            }
            RecordBody::Member { member, state, .. } => {
                self.tell(at_ms, key, format!("gatherer {member} {state:?}").to_lowercase());
            }
            RecordBody::Overload { begins } => {
                let what = if begins { "overload begins" } else { "overload ends" };
                self.tell(at_ms, key, what.to_owned());
            }
        }
    }

    fn tell(&mut self, at_ms: u64, (gatherer, start): (String, String), what: String) {
        if self.timeline.len() < MOST_TOLD {
            self.timeline.push(TimelineEvent { at_ms, gatherer, incarnation: start, description: what });
        } else {
            self.timeline_dropped += 1;
        }
    }

    fn add(&mut self, key: &(String, String), at_ms: u64, second: MetricsSnapshot) {
        let begin = at_ms / self.step_ms * self.step_ms;
        let step = self.steps.entry(begin).or_default();
        let Some(seen) = self.incarnations.get_mut(key) else { return };
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_else(|| format!("#{at}"));
        for queries in second.queries {
            let class = name(&seen.classes, queries.class);
            let tenant = queries.tenant.map_or_else(String::new, |at| name(&seen.tenants, at));
            let counts = step.queries.entry((class.clone(), tenant)).or_default();
            counts.received += queries.accepted;
            let open = seen.open.entry(class.clone()).or_default();
            *open += i64::try_from(queries.accepted).unwrap_or(i64::MAX);
            for (end, count) in queries.ends {
                counts.add(end, count);
                if end != QueryEnd::RejectedShuttingDown {
                    *open -= i64::try_from(count).unwrap_or(i64::MAX);
                }
            }
            if queries.accepted > 0 {
                seen.last_taken.insert(class.clone(), begin);
            }
            if let Some(latency) = metrics::decode_histogram(&queries.latency) {
                let own = step.latency.entry(class).or_insert_with(metrics::new_histogram);
                // What is over its bounds was clipped when it was written.
                let _ = own.add(latency);
            }
        }
        for (worker, attempts) in second.attempts {
            step.attempts.entry(worker).or_default().merge(attempts);
        }
        let histograms =
            |steps: &BTreeMap<u64, TimeStep>| steps.values().map(|step| step.latency.len()).sum();
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
        for seen in self.incarnations.values_mut() {
            seen.last_taken.values_mut().for_each(|begin| *begin = *begin / self.step_ms * self.step_ms);
        }
    }

    /// Once all is read: what was taken and has no end on record shows as unknown, in the step in which its start last
    /// took a query of that class. It is never dropped, and never guessed to have ended in some way.
    pub fn finish(&mut self) {
        for seen in self.incarnations.values() {
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
    pub fn totals_by_class(&self) -> BTreeMap<String, QueryCounts> {
        let mut all: BTreeMap<String, QueryCounts> = BTreeMap::new();
        for ((class, _), counts) in self.steps.values().flat_map(|step| &step.queries) {
            all.entry(class.clone()).or_default().merge(counts);
        }
        all
    }
}
