//! The figures of one measurement, and the limits that they are held against.

use std::fmt;
use std::time::Duration;

/// Time budget of a sound client's request.
pub const BUDGET: Duration = Duration::from_millis(200);
/// Tolerance of every time limit on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Time after its budget from which an answer counts as lost.
const LOST_AFTER_BUDGET: Duration = Duration::from_millis(500);
/// Counters of the gatherer that are printed, by the start of their lines.
const PRINTED_COUNTERS: [&str; 3] = ["violations", "counters", "connections"];

/// How a sound client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Status 200.
    Served,
    /// Status 429 or 503.
    Rejected,
    /// Any other status.
    Failed,
    /// No response, or the connection ended without one.
    NoResponse,
}

/// What a sound client requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoundRequest {
    /// A query on an open connection.
    Query,
    /// The state of the process, on a new connection to the clients' listener.
    Health,
    /// The readiness of the process, on a new connection to the operators' address.
    Readiness,
}

/// A sound client's request.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredRequest {
    /// What was requested.
    pub kind: SoundRequest,
    /// How it ended.
    pub end: RequestEnd,
    /// Time from the request's last byte to the response's last byte.
    pub elapsed: Duration,
}

/// The figures of one measurement.
#[derive(Default)]
pub struct Measurement {
    /// All requests of sound clients.
    pub requests: Vec<MeasuredRequest>,
    /// Responses that the flooding clients received.
    pub flood_responses: u64,
    /// Processor time of the gatherer during the flood.
    pub processor_time: Duration,
    /// Largest resident memory of the gatherer, in KiB.
    pub peak_memory: u64,
    /// Longest delay with which this process was scheduled.
    pub observer_lag: Duration,
    /// Longest delay with which the thread of the workers and index servers was scheduled. No limit allows for it.
    pub peer_lag: Duration,
    /// The gatherer's counters at the end.
    pub counters: String,
}

impl Measurement {
    fn of(&self, kind: SoundRequest) -> Vec<MeasuredRequest> {
        self.requests.iter().filter(|request| request.kind == kind).copied().collect()
    }

    fn is_late(&self, request: &MeasuredRequest) -> bool {
        request.end == RequestEnd::NoResponse || request.elapsed > BUDGET + SOCKET_SLACK + self.observer_lag
    }

    /// The limits that were exceeded: every sound request is served in time, and the memory stays within its limit.
    pub fn failures(&self, memory_mb: u64) -> Vec<String> {
        let mut failures = Vec::new();
        let late = self.requests.iter().filter(|request| self.is_late(request)).count();
        if late > 0 {
            let lost_after = BUDGET + LOST_AFTER_BUDGET + self.observer_lag;
            let is_lost = |request: &&MeasuredRequest| {
                request.end == RequestEnd::NoResponse || request.elapsed > lost_after
            };
            let lost = self.requests.iter().filter(is_lost).count();
            failures.push(format!("{late} sound requests were answered late or never, {lost} of them lost"));
        }
        let unserved =
            |request: &&MeasuredRequest| matches!(request.end, RequestEnd::Rejected | RequestEnd::Failed);
        let unserved = self.requests.iter().filter(unserved).count();
        if unserved > 0 {
            failures.push(format!("{unserved} sound requests were rejected or failed"));
        }
        if self.requests.is_empty() {
            failures.push("no sound request was sent".to_owned());
        }
        if self.peak_memory > memory_mb << 10 {
            failures.push(format!("the peak memory of {} KiB is over the limit", self.peak_memory));
        }
        failures
    }
}

/// Writes the number of requests of one kind, of each end, and the median and longest times.
fn write_requests(out: &mut fmt::Formatter<'_>, name: &str, requests: &[MeasuredRequest]) -> fmt::Result {
    let count = |end: RequestEnd| requests.iter().filter(|request| request.end == end).count();
    let mut times: Vec<Duration> = requests.iter().map(|request| request.elapsed).collect();
    times.sort();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    let longest = times.last().copied().unwrap_or_default();
    write!(
        out,
        "{name} {}: served {} rejected {} failed {} unanswered {}, p50 {} max {} ms; ",
        requests.len(),
        count(RequestEnd::Served),
        count(RequestEnd::Rejected),
        count(RequestEnd::Failed),
        count(RequestEnd::NoResponse),
        median.as_millis(),
        longest.as_millis()
    )
}

impl fmt::Display for Measurement {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, kind) in [
            ("queries", SoundRequest::Query),
            ("health", SoundRequest::Health),
            ("readiness", SoundRequest::Readiness),
        ] {
            let requests = self.of(kind);
            if !requests.is_empty() {
                write_requests(out, name, &requests)?;
            }
        }
        let late = self.requests.iter().filter(|request| self.is_late(request)).count();
        write!(
            out,
            "late {late}; {} responses to the flood, {} ms of processor time, peak {} MiB, lag {} ms, of the peers {} ms",
            self.flood_responses,
            self.processor_time.as_millis(),
            self.peak_memory >> 10,
            self.observer_lag.as_millis(),
            self.peer_lag.as_millis()
        )?;
        let is_printed =
            |line: &&str| PRINTED_COUNTERS.iter().any(|start| line.trim_start().starts_with(start));
        self.counters.lines().filter(is_printed).try_for_each(|line| write!(out, "\n  {}", line.trim()))
    }
}
