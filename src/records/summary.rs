//! Sums of many gatherers' records: queries by class and tenant, attempts by worker, and events, over time.
//!
//! Owns the sums, in bounded memory: time steps are merged where there would be too many. The report's JSON names stay,
//! so a field that is named otherwise carries `#[serde(rename)]`. It reads no file and judges nothing.

use super::metrics::{self, AttemptMetrics, MetricsSnapshot, QueryEnd};
use super::record::{IncarnationId, Record, RecordBody};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Most time steps held; where there would be more, steps are merged in pairs.
const MAX_STEPS: usize = 1500;
/// Most histograms held, for the same reason: one takes about 25 kB.
const MAX_HISTOGRAMS: usize = 1600;
/// Most events held in the timeline: the first ones.
const MAX_TIMELINE_EVENTS: usize = 5000;
/// The shortest time step, in milliseconds: metrics are recorded once per second.
const MIN_STEP_MS: u64 = 1000;

/// Queries by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QueryCounts {
    /// Queries accepted, and those rejected because the process was shutting down.
    #[serde(rename = "asked")]
    pub received: u64,
    /// Complete responses within the latency objective.
    #[serde(rename = "whole_in_time")]
    pub complete_in_time: u64,
    /// Complete responses after the latency objective.
    #[serde(rename = "whole_late")]
    pub complete_late: u64,
    /// Partial responses.
    pub partial: u64,
    /// Queries rejected, for whatever reason.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Queries that failed, for whatever reason.
    pub failed: u64,
    /// Queries whose client closed the connection before the response.
    #[serde(rename = "left")]
    pub client_disconnected: u64,
    /// Queries accepted by a gatherer that has no record of their end.
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
        // These were never accepted, so no count of accepted queries contains them.
        if end == QueryEnd::RejectedShuttingDown {
            self.received += count;
        }
    }

    /// Queries whose end is on record.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.complete_in_time
            + self.complete_late
            + self.partial
            + self.rejected
            + self.failed
            + self.client_disconnected
    }

    /// Adds the counts of other queries.
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

/// What queries are summed by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryGroup {
    /// Their class.
    pub class: String,
    /// Their tenant; empty where none is given.
    pub tenant: String,
}

/// The sums of one time step.
#[derive(Clone, Debug, Default)]
pub struct TimeStep {
    /// Queries by class and tenant.
    pub queries: BTreeMap<QueryGroup, QueryCounts>,
    /// Attempts by worker.
    pub attempts: BTreeMap<String, AttemptMetrics>,
    /// Latencies in microseconds by class.
    pub latency: BTreeMap<String, Histogram<u64>>,
}

impl TimeStep {
    fn merge(&mut self, other: TimeStep) {
        for (group, counts) in other.queries {
            self.queries.entry(group).or_default().merge(&counts);
        }
        for (worker, attempts) in other.attempts {
            self.attempts.entry(worker).or_default().merge(attempts);
        }
        for (class, latency) in other.latency {
            self.add_latency(class, latency);
        }
    }

    fn add_latency(&mut self, class: String, latency: Histogram<u64>) {
        let histogram = self.latency.entry(class).or_insert_with(metrics::new_histogram);
        // It fails only for values over the bounds of both, and those were clipped when they were recorded.
        let _ = histogram.add(latency);
    }
}

/// One incarnation of one gatherer, as its records show it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct IncarnationSummary {
    /// Its first moment on record, in Unix milliseconds of its own clock.
    pub first_ms: u64,
    /// Its last moment on record, by the same clock.
    pub last_ms: u64,
    /// Whether it shut down gracefully, after the responses to all accepted queries.
    pub stopped: bool,
    /// Lost records that it reports.
    #[serde(rename = "told_lost")]
    pub reported_lost: u64,
    /// Records that are missing from the sequence, reported or not.
    pub missing: u64,
    /// Queries accepted whose end is not on record, by class.
    pub open: BTreeMap<String, i64>,
    #[serde(skip)]
    classes: Vec<String>,
    #[serde(skip)]
    tenants: Vec<String>,
    #[serde(skip)]
    next_seq: u64,
    /// Begin of the time step in which each class's last query was accepted.
    #[serde(skip)]
    last_accepted: BTreeMap<String, u64>,
}

/// Something that happened at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEvent {
    /// When, in Unix milliseconds of the gatherer's clock.
    pub at_ms: u64,
    /// The gatherer that recorded it.
    pub gatherer: String,
    /// Its incarnation.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// What happened, in words.
    #[serde(rename = "what")]
    pub description: String,
}

/// Adds records up.
#[derive(Debug)]
pub struct Summary {
    step_ms: u64,
    from_ms: u64,
    to_ms: u64,
    /// Time steps by their begin, in Unix milliseconds.
    pub steps: BTreeMap<u64, TimeStep>,
    /// Incarnations of all gatherers.
    pub incarnations: BTreeMap<IncarnationId, IncarnationSummary>,
    /// Events, in the order in which they were read.
    pub timeline: Vec<TimelineEvent>,
    /// Events dropped, because the timeline was full.
    pub timeline_dropped: u64,
    /// Number of time steps when the bounds were last checked.
    steps_at_last_check: usize,
}

impl Summary {
    /// Creates an empty summary of the time from `from_ms` up to but not including `to_ms`, in Unix milliseconds.
    #[must_use]
    pub fn new(step_ms: u64, from_ms: u64, to_ms: u64) -> Summary {
        Summary {
            step_ms: step_ms.max(MIN_STEP_MS),
            from_ms,
            to_ms,
            steps: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            timeline: Vec::new(),
            timeline_dropped: 0,
            steps_at_last_check: 0,
        }
    }

    /// Length of a time step in milliseconds. It grows when steps are merged.
    #[must_use]
    pub fn step_ms(&self) -> u64 {
        self.step_ms
    }

    /// Adds a record. Outside the summary's time, only its effect on its incarnation counts.
    pub fn add_record(&mut self, record: Record) {
        let Record { gatherer, incarnation, seq, at_ms, body, .. } = record;
        let id = IncarnationId { gatherer, incarnation };
        let summary = self.incarnations.entry(id.clone()).or_insert_with(|| IncarnationSummary {
            first_ms: at_ms,
            last_ms: at_ms,
            ..IncarnationSummary::default()
        });
        summary.missing += seq.saturating_sub(summary.next_seq);
        summary.next_seq = seq + 1;
        summary.first_ms = summary.first_ms.min(at_ms);
        summary.last_ms = summary.last_ms.max(at_ms);
        if let RecordBody::Start { classes, tenants, .. } = &body {
            (summary.classes, summary.tenants) = (classes.clone(), tenants.clone());
        }
        if !(self.from_ms..self.to_ms).contains(&at_ms) {
            return;
        }
        match &body {
            RecordBody::Stop => summary.stopped = true,
            RecordBody::Gap { lost, .. } => summary.reported_lost += lost,
            _ => {}
        }
        if let Some(description) = describe_event(&body) {
            self.add_event(at_ms, id, description);
        } else if let RecordBody::Metrics(metrics) = body {
            self.add_metrics(&id, at_ms, metrics);
        }
    }

    fn add_event(&mut self, at_ms: u64, id: IncarnationId, description: String) {
        let IncarnationId { gatherer, incarnation } = id;
        if self.timeline.len() < MAX_TIMELINE_EVENTS {
            self.timeline.push(TimelineEvent { at_ms, gatherer, incarnation, description });
        } else {
            self.timeline_dropped += 1;
        }
    }

    fn add_metrics(&mut self, id: &IncarnationId, at_ms: u64, metrics: MetricsSnapshot) {
        let step_start_ms = at_ms / self.step_ms * self.step_ms;
        let step = self.steps.entry(step_start_ms).or_default();
        let Some(incarnation) = self.incarnations.get_mut(id) else { return };
        // A number without a name shows as such: the record of the start is missing.
        let name_of = |names: &[String], number: usize| {
            names.get(number).cloned().unwrap_or_else(|| format!("#{number}"))
        };
        for queries in metrics.queries {
            let class = name_of(&incarnation.classes, queries.class);
            let tenant =
                queries.tenant.map_or_else(String::new, |number| name_of(&incarnation.tenants, number));
            let counts = step.queries.entry(QueryGroup { class: class.clone(), tenant }).or_default();
            counts.received += queries.accepted;
            let open = incarnation.open.entry(class.clone()).or_default();
            *open += i64::try_from(queries.accepted).unwrap_or(i64::MAX);
            for (end, count) in queries.ends {
                counts.add(end, count);
                if end != QueryEnd::RejectedShuttingDown {
                    *open -= i64::try_from(count).unwrap_or(i64::MAX);
                }
            }
            if queries.accepted > 0 {
                incarnation.last_accepted.insert(class.clone(), step_start_ms);
            }
            if let Some(latency) = metrics::decode_histogram(&queries.latency) {
                step.add_latency(class, latency);
            }
        }
        for (worker, attempts) in metrics.attempts {
            step.attempts.entry(worker).or_default().merge(attempts);
        }
        self.enforce_limits();
    }

    /// Merges time steps where there are too many of them, or too many histograms.
    fn enforce_limits(&mut self) {
        if self.steps.len() == self.steps_at_last_check {
            return;
        }
        self.steps_at_last_check = self.steps.len();
        let histograms: usize = self.steps.values().map(|step| step.latency.len()).sum();
        if self.steps.len() > MAX_STEPS || histograms > MAX_HISTOGRAMS && self.steps.len() > 2 {
            self.merge_steps();
        }
    }

    /// Merges steps in pairs, so that memory stays bounded however long a time the records cover.
    fn merge_steps(&mut self) {
        self.step_ms *= 2;
        for (step_start_ms, step) in std::mem::take(&mut self.steps) {
            self.steps.entry(step_start_ms / self.step_ms * self.step_ms).or_default().merge(step);
        }
        for incarnation in self.incarnations.values_mut() {
            let step_starts_ms = incarnation.last_accepted.values_mut();
            step_starts_ms
                .for_each(|step_start_ms| *step_start_ms = *step_start_ms / self.step_ms * self.step_ms);
        }
    }

    /// Ends the summary once all records are added. Queries that were accepted and have no end on record count as
    /// unknown, in the time step in which their incarnation last accepted a query of their class. They are never left out,
    /// and never guessed to have ended in some way.
    pub fn finish(&mut self) {
        for incarnation in self.incarnations.values() {
            for (class, open) in &incarnation.open {
                let (Ok(open), Some(step_start_ms)) =
                    (u64::try_from(*open), incarnation.last_accepted.get(class))
                else {
                    continue;
                };
                if open > 0 {
                    let step = self.steps.entry(*step_start_ms).or_default();
                    let group = QueryGroup { class: class.clone(), tenant: String::new() };
                    step.queries.entry(group).or_default().unknown += open;
                }
            }
        }
    }

    /// Counts by class, over all time steps and tenants.
    #[must_use]
    pub fn totals_by_class(&self) -> BTreeMap<String, QueryCounts> {
        let mut totals: BTreeMap<String, QueryCounts> = BTreeMap::new();
        for (group, counts) in self.steps.values().flat_map(|step| &step.queries) {
            totals.entry(group.class.clone()).or_default().merge(counts);
        }
        totals
    }
}

/// Describes a record as an event of the timeline; `None` for metrics, which are no event. The words stay as they are:
/// they are in the report's JSON.
fn describe_event(body: &RecordBody) -> Option<String> {
    Some(match body {
        RecordBody::Metrics(_) => return None,
        RecordBody::Start { configuration, .. } => format!("start, configuration {configuration}"),
        RecordBody::Stop => "stop".to_owned(),
        RecordBody::Reload { applied, detail } => {
            let negation = if *applied { "" } else { "not " };
            format!("configuration {negation}read again: {detail}")
        }
        RecordBody::EndpointList { revision, workers, .. } => format!("list {revision}, {workers} workers"),
        RecordBody::Worker { worker, state } => {
            format!("worker {worker} {}", state.timeline_word()).to_lowercase()
        }
        RecordBody::Member { member, state, .. } => format!("gatherer {member} {state}").to_lowercase(),
        RecordBody::Overload { begins: true } => "overload begins".to_owned(),
        RecordBody::Overload { begins: false } => "overload ends".to_owned(),
        RecordBody::Gap { lost, reason } => format!("{lost} records lost: {reason}"),
    })
}
