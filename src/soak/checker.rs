//! What was observed at both ends of a soak test, and which invariants it violates.
//!
//! It owns the tolerances of each invariant. It never observes anything itself: the `soak-test` program fills
//! [`Observations`]. All times (`..._at`) are microseconds of the machine's monotonic clock, which its processes share.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// A response may come so long after its client's deadline.
const RESPONSE_SLACK_US: u64 = 500_000;
/// The time that a worker is given may exceed what is left to the client by this.
const DEADLINE_SLACK_US: u64 = 150_000;
/// An attempt may begin so long after its client has closed its connection.
const DISCONNECT_SLACK_US: u64 = 100_000;
/// Bytes that arrived while a worker was paused are read so long after it resumes.
const WORKER_RESUME_US: u64 = 50_000;
/// A client that stalls in the middle of a request gets its error or close within this.
const STALLED_CLIENT_LIMIT_US: u64 = 3_000_000;
/// The tolerance of that limit.
const STALLED_CLIENT_SLACK_US: u64 = 200_000;
/// A process that starts is ready within this.
const READY_LIMIT_US: u64 = 10_000_000;
/// A process that got SIGTERM has ended so long after the longest deadline.
const EXIT_SLACK_US: u64 = 1_500_000;
/// The gatherer's own invariant counter that a pause of its process violates through no fault of its own.
const ENDED_IN_TIME: &str = "ended_in_time";

/// Which invariant is violated, as it is seen from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A request that was accepted had no final response in time.
    LostRequest,
    /// A part of a non-idempotent request was executed twice.
    DuplicateExecution,
    /// An attempt came to a worker too long after its drain or removal was announced.
    SentToDrainedWorker,
    /// A worker was given more time than its client had left.
    DeadlineExtended,
    /// An attempt came too long after its client had closed its connection.
    SentAfterDisconnect,
    /// A response is marked complete and is not, or holds a value that no worker made for it.
    IncorrectResponse,
    /// A process ended without a signal to do so, or by a panic.
    Crash,
    /// A start failed, or took too long to be ready.
    FailedStart,
    /// A process did not end in time after SIGTERM.
    LateExit,
    /// A client that stalled in the middle of a request was held too long.
    StalledClientHeld,
    /// The gatherer counted a violated invariant itself.
    CountedByGatherer,
}

/// A violated invariant, and what it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub kind: ViolationKind,
    /// Ids, times and numbers.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?}: {}", self.kind, self.details)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A response came.
    Response {
        /// Its status.
        status: u16,
        /// Its values are those that workers made for it, and all of them where it is marked complete.
        correct: bool,
    },
    /// The connection ended without a response.
    ConnectionClosed,
    /// The client closed the connection first.
    ClientDisconnected,
    /// Nothing came until the client stopped waiting.
    NoResponse,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Its parts must not be executed twice.
    pub non_idempotent: bool,
    /// The number of the process that its connection led to, as far as is known.
    pub process: usize,
    /// It was the first of its connection.
    pub first_on_connection: bool,
    /// When its last byte was written.
    pub sent_at: u64,
    /// How long its client waits, in microseconds.
    pub budget_us: u64,
    /// When it ended.
    pub ended_at: u64,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// A part of a request as it came to a worker.
#[derive(Clone, Debug)]
pub struct Part {
    /// The id of its request.
    pub request: String,
    /// Its shard.
    pub shard: u32,
    /// The worker's name.
    pub worker: String,
    /// When the last byte of its frame was received.
    pub received_at: u64,
    /// The time that the worker was given, in microseconds.
    pub time_left_us: u64,
    /// The worker executed it; otherwise it rejected it.
    pub executed: bool,
}

/// The end of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// When it ended.
    pub at: u64,
    /// Its status was success.
    pub success: bool,
}

/// A process of a gatherer, from its start to its end.
#[derive(Clone, Debug, Default)]
pub struct Process {
    /// The gatherer, which keeps its number over restarts.
    pub gatherer: usize,
    /// When it was started.
    pub started_at: u64,
    /// When it first reported that it was ready.
    pub ready_at: Option<u64>,
    /// When it got SIGTERM.
    pub terminated_at: Option<u64>,
    /// When it was killed on purpose.
    pub killed_at: Option<u64>,
    /// Its end.
    pub exit: Option<ProcessExit>,
    /// The longest that it was paused, in microseconds.
    pub longest_pause_us: u64,
    /// Violated invariants that it counted itself, by the counter's name.
    pub invariant_counters: BTreeMap<String, u64>,
    /// The first line of a panic.
    pub panic: Option<String>,
}

/// A worker's drain or removal from the endpoint list, as announced to one gatherer.
#[derive(Clone, Debug)]
pub struct EndpointRemoval {
    /// The gatherer.
    pub gatherer: usize,
    /// The worker's name.
    pub worker: String,
    /// When the gatherer has to know of it.
    pub effective_at: u64,
    /// When the worker is listed anew.
    pub relisted_at: u64,
}

/// A pause of a worker: frames that came meanwhile were read later.
#[derive(Clone, Debug)]
pub struct WorkerPause {
    /// The worker's name.
    pub worker: String,
    /// When it stopped.
    pub paused_at: u64,
    /// When it went on.
    pub resumed_at: u64,
}

/// A client that stalled in the middle of a request.
#[derive(Clone, Debug)]
pub struct StalledClient {
    /// When its last byte was written.
    pub stalled_at: u64,
    /// When its error or close came.
    pub closed_at: Option<u64>,
}

/// Everything that was observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests of all clients.
    pub requests: Vec<Request>,
    /// Parts that came to workers.
    pub parts: Vec<Part>,
    /// Processes of gatherers, by their number.
    pub processes: Vec<Process>,
    /// Drains and removals of workers.
    pub removals: Vec<EndpointRemoval>,
    /// Pauses of workers.
    pub worker_pauses: Vec<WorkerPause>,
    /// Clients that stalled.
    pub stalled_clients: Vec<StalledClient>,
    /// The grace period of a drain, in microseconds.
    pub drain_grace_us: u64,
    /// The longest deadline of any class, in microseconds.
    pub longest_deadline_us: u64,
    /// The longest pause of the observers themselves, in microseconds: nothing shorter can be measured.
    pub observer_lag_us: u64,
}

impl WorkerPause {
    fn covers(&self, part: &Part) -> bool {
        let unreliable = self.paused_at..self.resumed_at + WORKER_RESUME_US;
        self.worker == part.worker && unreliable.contains(&part.received_at)
    }
}

/// The invariants that these observations violate.
#[must_use]
pub fn check(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let requests: HashMap<&str, &Request> =
        observations.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    check_requests(observations, &mut violations);
    check_parts(observations, &requests, &mut violations);
    check_duplicates(observations, &requests, &mut violations);
    check_processes(observations, &mut violations);
    check_stalled_clients(observations, &mut violations);
    violations
}

fn ms(span_us: u64) -> u64 {
    span_us / 1000
}

fn report(violations: &mut Vec<Violation>, kind: ViolationKind, details: String) {
    violations.push(Violation { kind, details });
}

fn check_requests(observations: &Observations, violations: &mut Vec<Violation>) {
    let forwarded: HashSet<&str> = observations.parts.iter().map(|part| part.request.as_str()).collect();
    for request in &observations.requests {
        let process = observations.processes.get(request.process);
        let was_killed = process.is_some_and(|process| process.killed_at.is_some());
        let paused_us = process.map_or(0, |process| process.longest_pause_us);
        let about = describe_request(request, process);
        let elapsed_us = request.ended_at - request.sent_at;
        match request.outcome {
            RequestOutcome::Response { status, correct } => {
                let late_us = elapsed_us.saturating_sub(request.budget_us);
                if late_us > RESPONSE_SLACK_US + observations.observer_lag_us + paused_us {
                    let details = format!("{about}: {status} came {} ms late", ms(late_us));
                    report(violations, ViolationKind::LostRequest, details);
                }
                if !correct {
                    report(violations, ViolationKind::IncorrectResponse, format!("{about}: {status}"));
                }
            }
            RequestOutcome::NoResponse if !was_killed => {
                let details = format!("{about}: no response and no end of the connection");
                report(violations, ViolationKind::LostRequest, details);
            }
            // The gatherer may close an idle connection while a request is on its way, if it has not read the request.
            RequestOutcome::ConnectionClosed
                if !was_killed && (request.first_on_connection || forwarded.contains(&*request.id)) =>
            {
                let kind = if request.first_on_connection { "new" } else { "reused" };
                let details = format!(
                    "{about}: its {kind} connection ended without a response after {} ms",
                    ms(elapsed_us)
                );
                report(violations, ViolationKind::LostRequest, details);
            }
            RequestOutcome::NoResponse
            | RequestOutcome::ConnectionClosed
            | RequestOutcome::ClientDisconnected => {}
        }
    }
}

/// The request, the process that it went to, and when it was sent, measured against SIGTERM to that process.
fn describe_request(request: &Request, process: Option<&Process>) -> String {
    let terminated_at = process.and_then(|process| process.terminated_at);
    let when = terminated_at.map_or(String::new(), |terminated_at| {
        let span_us = request.sent_at as i64 - terminated_at as i64;
        format!(", sent at {span_us} us from SIGTERM")
    });
    format!("request {} to process {} at {}{when}", request.id, request.process, request.sent_at)
}

fn check_parts(
    observations: &Observations,
    requests: &HashMap<&str, &Request>,
    violations: &mut Vec<Violation>,
) {
    for part in &observations.parts {
        let Some(request) = requests.get(part.request.as_str()) else { continue };
        // The arrival of its frame cannot be measured: the worker was paused.
        if observations.worker_pauses.iter().any(|pause| pause.covers(part)) {
            continue;
        }
        let process = observations.processes.get(request.process);
        let paused_us = process.map_or(0, |process| process.longest_pause_us);
        let slack_us = observations.observer_lag_us + paused_us;
        let about = format!("part {}.{} at {}", part.request, part.shard, part.worker);
        let left_us = (request.sent_at + request.budget_us).saturating_sub(part.received_at);
        if part.time_left_us > left_us + DEADLINE_SLACK_US + slack_us {
            let details = format!("{about}: given {} ms, left {} ms", ms(part.time_left_us), ms(left_us));
            report(violations, ViolationKind::DeadlineExtended, details);
        }
        if request.outcome == RequestOutcome::ClientDisconnected
            && part.received_at > request.ended_at + DISCONNECT_SLACK_US + slack_us
        {
            let after = ms(part.received_at - request.ended_at);
            let details = format!("{about}: {after} ms after its client disconnected");
            report(violations, ViolationKind::SentAfterDisconnect, details);
        }
        let gatherer = process.map(|process| process.gatherer);
        let removal = observations.removals.iter().find(|removal| {
            Some(removal.gatherer) == gatherer
                && removal.worker == part.worker
                && part.received_at > removal.effective_at + observations.drain_grace_us + slack_us
                && part.received_at < removal.relisted_at
        });
        if let Some(removal) = removal {
            let after = ms(part.received_at - removal.effective_at);
            let details = format!("{about}: {after} ms after its drain was announced");
            report(violations, ViolationKind::SentToDrainedWorker, details);
        }
    }
}

fn check_duplicates(
    observations: &Observations,
    requests: &HashMap<&str, &Request>,
    violations: &mut Vec<Violation>,
) {
    let mut executions: BTreeMap<(&str, u32), u32> = BTreeMap::new();
    for part in observations.parts.iter().filter(|part| part.executed) {
        *executions.entry((&part.request, part.shard)).or_default() += 1;
    }
    for ((id, shard), count) in executions {
        if count > 1 && requests.get(id).is_some_and(|request| request.non_idempotent) {
            let details = format!("part {id}.{shard} was executed {count} times");
            report(violations, ViolationKind::DuplicateExecution, details);
        }
    }
}

fn check_processes(observations: &Observations, violations: &mut Vec<Violation>) {
    for (number, process) in observations.processes.iter().enumerate() {
        let about = format!("process {number} of gatherer {}", process.gatherer);
        check_exit(process, &about, violations);
        let lag_us = observations.observer_lag_us + process.longest_pause_us;
        check_readiness(process, lag_us, &about, violations);
        if let (Some(terminated_at), None) = (process.terminated_at, process.killed_at) {
            let limit_us = observations.longest_deadline_us + EXIT_SLACK_US + lag_us;
            if process.exit.is_none_or(|exit| exit.at > terminated_at + limit_us) {
                let details = format!("{about}: it did not end within {} ms", ms(limit_us));
                report(violations, ViolationKind::LateExit, details);
            }
        }
        for (name, count) in process.invariant_counters.iter().filter(|(_, count)| **count > 0) {
            // A paused process responds late through no fault of its own.
            if name != ENDED_IN_TIME || process.longest_pause_us == 0 {
                report(violations, ViolationKind::CountedByGatherer, format!("{about}: {name}={count}"));
            }
        }
    }
}

/// Whether a process panicked, or ended without a signal or without success.
fn check_exit(process: &Process, about: &str, violations: &mut Vec<Violation>) {
    if let Some(panic) = &process.panic {
        report(violations, ViolationKind::Crash, format!("{about}: {panic}"));
    }
    let signalled_at = process.terminated_at.or(process.killed_at);
    match process.exit {
        Some(exit) if signalled_at.is_none_or(|signalled_at| exit.at < signalled_at) => {
            let kind =
                if process.ready_at.is_some() { ViolationKind::Crash } else { ViolationKind::FailedStart };
            let how = if exit.success { "with success" } else { "without success" };
            report(violations, kind, format!("{about}: it ended without a signal, {how}"));
        }
        Some(exit) if !exit.success && process.killed_at.is_none() => {
            report(violations, ViolationKind::Crash, format!("{about}: it ended without success"));
        }
        _ => {}
    }
}

/// Whether a process was ready in time, if it was let run so long.
fn check_readiness(process: &Process, lag_us: u64, about: &str, violations: &mut Vec<Violation>) {
    let latest = process.started_at + READY_LIMIT_US + lag_us;
    let signalled_at = process.terminated_at.or(process.killed_at);
    let exited_at = process.exit.map(|exit| exit.at);
    let cut_short = [signalled_at, exited_at].into_iter().flatten().any(|at| at < latest);
    if process.ready_at.map_or(!cut_short, |ready_at| ready_at > latest) {
        let details = format!("{about}: it was not ready within {} s", READY_LIMIT_US / 1_000_000);
        report(violations, ViolationKind::FailedStart, details);
    }
}

fn check_stalled_clients(observations: &Observations, violations: &mut Vec<Violation>) {
    let limit_us = STALLED_CLIENT_LIMIT_US + observations.observer_lag_us + STALLED_CLIENT_SLACK_US;
    for client in &observations.stalled_clients {
        if client.closed_at.is_none_or(|closed_at| closed_at > client.stalled_at + limit_us) {
            let details = format!("held for more than {} ms", ms(limit_us));
            report(violations, ViolationKind::StalledClientHeld, details);
        }
    }
}
