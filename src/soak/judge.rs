//! What was seen at both ends of a soak, and which invariants it breaks.
//!
//! All times are microseconds of the machine's monotonic clock, which its processes share.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// An answer may come so long after its client's time.
const ANSWER_SLACK: u64 = 500_000;
/// The time told to a worker may exceed what is left to the client by this.
const DEADLINE_SLACK: u64 = 150_000;
/// An attempt may begin so long after its client has closed its connection.
const LEFT_SLACK: u64 = 100_000;
/// What lay there while a worker stood still is read so long after it goes on.
const WAKING: u64 = 50_000;
/// A client that stops in the middle of a request has its error or close within this.
const BAD_CLIENT: u64 = 3_000_000;
/// A process that starts is ready within this.
const READY: u64 = 10_000_000;
/// A process that is told to end has ended so long after the longest deadline.
const END_SLACK: u64 = 1_500_000;

/// A rule as it is seen from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Broken {
    /// A request that was taken had no final answer in time.
    Lost,
    /// What must not run twice did.
    Duplicate,
    /// An attempt came to a worker too long after its drain or removal was told.
    Drain,
    /// A worker was told more time than its client had left.
    Deadline,
    /// An attempt came too long after its client had closed its connection.
    AfterLeaving,
    /// An answer is marked whole that is not, or holds what no worker made for it.
    Dishonest,
    /// A process ended that was not told to, or by a panic.
    Crash,
    /// A start failed, or took too long to be ready.
    Start,
    /// A process did not end in its time when it was told to.
    End,
    /// A client that stopped in the middle of a request was held too long.
    BadClient,
    /// The gatherer counted a broken invariant itself.
    Counted,
}

/// A broken rule, and what it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule.
    pub broken: Broken,
    /// Ids, times and numbers.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?}: {}", self.broken, self.what)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An answer of this status; `honest` is whether it holds what it says.
    Answered {
        /// The status.
        status: u16,
        /// What it holds is what workers made for it, and all of it where it says so.
        honest: bool,
    },
    /// The connection ended without one.
    Closed,
    /// The client closed it first.
    Left,
    /// Nothing came until the client stopped waiting.
    Silent,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// It must not run twice.
    pub once: bool,
    /// The start of a gatherer that its connection led to, as far as is known.
    pub start: usize,
    /// It was the first of its connection.
    pub fresh: bool,
    /// When its last byte was written.
    pub sent: u64,
    /// How long its client waits.
    pub budget: u64,
    /// When it ended.
    pub ended: u64,
    /// How.
    pub end: RequestEnd,
}

/// A part as it came to a worker.
#[derive(Clone, Debug)]
pub struct Part {
    /// The id of its request.
    pub request: String,
    /// Its shard.
    pub shard: u32,
    /// The worker.
    pub worker: String,
    /// When the last byte of its frame came.
    pub came: u64,
    /// The time that the worker was told, in microseconds.
    pub told: u64,
    /// It was begun; else it was turned away.
    pub ran: bool,
}

/// A process of a gatherer, from its start to its end.
#[derive(Clone, Debug, Default)]
pub struct Process {
    /// The gatherer, which keeps its number over restarts.
    pub gatherer: usize,
    /// When it was started.
    pub started: u64,
    /// When it first said that it was ready.
    pub ready: Option<u64>,
    /// When it was told to end.
    pub told_to_end: Option<u64>,
    /// When it was killed on purpose.
    pub killed: Option<u64>,
    /// When it ended, and whether with success.
    pub ended: Option<(u64, bool)>,
    /// The longest that it was made to stand still.
    pub stalled: u64,
    /// Broken invariants that it counted, by name.
    pub violations: BTreeMap<String, u64>,
    /// The first line of a panic.
    pub panic: Option<String>,
}

/// A worker drains or is gone, as one gatherer was told.
#[derive(Clone, Debug)]
pub struct Change {
    /// The gatherer.
    pub gatherer: usize,
    /// The worker.
    pub worker: String,
    /// When it counts as told.
    pub told: u64,
    /// When it no longer holds: the worker is listed anew.
    pub until: u64,
}

/// A worker was made to stand still: what came then was read later.
#[derive(Clone, Debug)]
pub struct WorkerPause {
    /// The worker.
    pub worker: String,
    /// When it stopped.
    pub from: u64,
    /// When it went on.
    pub to: u64,
}

/// A client that stopped in the middle of a request.
#[derive(Clone, Debug)]
pub struct Stopped {
    /// When its last byte was written.
    pub since: u64,
    /// When its error or close came.
    pub ended: Option<u64>,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests.
    pub requests: Vec<Request>,
    /// Parts.
    pub parts: Vec<Part>,
    /// Processes, by their number.
    pub processes: Vec<Process>,
    /// Drains and removals.
    pub changes: Vec<Change>,
    /// Workers that stood still.
    pub pauses: Vec<WorkerPause>,
    /// Bad clients.
    pub stopped: Vec<Stopped>,
    /// The grace of a drain.
    pub drain_grace: u64,
    /// The longest deadline of any class.
    pub longest: u64,
    /// How long the observers themselves stood still at most: nothing shorter can be told.
    pub lag: u64,
}

impl WorkerPause {
    fn hides(&self, part: &Part) -> bool {
        self.worker == part.worker && (self.from..self.to + WAKING).contains(&part.came)
    }
}

/// The invariants that fell.
pub fn judge(seen: &Observations) -> Vec<Finding> {
    let mut findings = Vec::new();
    let by_id: HashMap<&str, &Request> =
        seen.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    judge_requests(seen, &mut findings);
    judge_parts(seen, &by_id, &mut findings);
    judge_duplicates(seen, &by_id, &mut findings);
    judge_processes(seen, &mut findings);
    judge_stopped(seen, &mut findings);
    findings
}

fn ms(span: u64) -> u64 {
    span / 1000
}

fn find(findings: &mut Vec<Finding>, broken: Broken, what: String) {
    findings.push(Finding { broken, what });
}

fn judge_requests(seen: &Observations, findings: &mut Vec<Finding>) {
    let forwarded: std::collections::HashSet<&str> =
        seen.parts.iter().map(|part| part.request.as_str()).collect();
    for request in &seen.requests {
        let process = seen.processes.get(request.start);
        let was_killed = process.is_some_and(|process| process.killed.is_some());
        let stalled = process.map_or(0, |process| process.stalled);
        let about = about_request(request, process);
        match request.end {
            RequestEnd::Answered { status, honest } => {
                let late = (request.ended - request.sent).saturating_sub(request.budget);
                if late > ANSWER_SLACK + seen.lag + stalled {
                    find(findings, Broken::Lost, format!("{about}: {status} came {} ms late", ms(late)));
                }
                if !honest {
                    find(findings, Broken::Dishonest, format!("{about}: {status}"));
                }
            }
            RequestEnd::Silent if !was_killed => {
                find(findings, Broken::Lost, format!("{about}: no answer and no end of the connection"));
            }
            // A close may cross a request on a kept connection, if it was not read.
            RequestEnd::Closed if !was_killed && (request.fresh || forwarded.contains(&*request.id)) => {
                let kind = if request.fresh { "new" } else { "kept" };
                let after = ms(request.ended - request.sent);
                let what = format!("{about}: its {kind} connection ended without an answer after {after} ms");
                find(findings, Broken::Lost, what);
            }
            RequestEnd::Silent | RequestEnd::Closed | RequestEnd::Left => {}
        }
    }
}

/// The request, where it went, and when, measured against the end of that process.
fn about_request(request: &Request, process: Option<&Process>) -> String {
    let told = process.and_then(|process| process.told_to_end);
    let when = told.map_or(String::new(), |told| {
        let span = request.sent as i64 - told as i64;
        format!(", sent at {span} us from SIGTERM")
    });
    format!("request {} to process {} at {}{when}", request.id, request.start, request.sent)
}

fn judge_parts(seen: &Observations, by_id: &HashMap<&str, &Request>, findings: &mut Vec<Finding>) {
    for part in &seen.parts {
        let Some(request) = by_id.get(part.request.as_str()) else { continue };
        // When its frame came cannot be told: the worker stood still.
        if seen.pauses.iter().any(|pause| pause.hides(part)) {
            continue;
        }
        let process = seen.processes.get(request.start);
        let stalled = process.map_or(0, |process| process.stalled);
        let slack = seen.lag + stalled;
        let about = format!("part {}.{} at {}", part.request, part.shard, part.worker);
        let left = (request.sent + request.budget).saturating_sub(part.came);
        if part.told > left + DEADLINE_SLACK + slack {
            let (told, left) = (ms(part.told), ms(left));
            find(findings, Broken::Deadline, format!("{about}: told {told} ms, left {left} ms"));
        }
        if request.end == RequestEnd::Left && part.came > request.ended + LEFT_SLACK + slack {
            let after = ms(part.came - request.ended);
            find(findings, Broken::AfterLeaving, format!("{about}: {after} ms after its client left"));
        }
        let gatherer = process.map(|process| process.gatherer);
        let drained = seen.changes.iter().find(|change| {
            Some(change.gatherer) == gatherer
                && change.worker == part.worker
                && part.came > change.told + seen.drain_grace + slack
                && part.came < change.until
        });
        if let Some(change) = drained {
            let after = ms(part.came - change.told);
            find(findings, Broken::Drain, format!("{about}: {after} ms after its drain was told"));
        }
    }
}

fn judge_duplicates(seen: &Observations, by_id: &HashMap<&str, &Request>, findings: &mut Vec<Finding>) {
    let mut runs: BTreeMap<(&str, u32), u32> = BTreeMap::new();
    for part in seen.parts.iter().filter(|part| part.ran) {
        *runs.entry((&part.request, part.shard)).or_default() += 1;
    }
    for ((id, shard), count) in runs {
        if count > 1 && by_id.get(id).is_some_and(|request| request.once) {
            find(findings, Broken::Duplicate, format!("part {id}.{shard} ran {count} times"));
        }
    }
}

fn judge_processes(seen: &Observations, findings: &mut Vec<Finding>) {
    for (number, process) in seen.processes.iter().enumerate() {
        let about = format!("process {number} of gatherer {}", process.gatherer);
        if let Some(panic) = &process.panic {
            find(findings, Broken::Crash, format!("{about}: {panic}"));
        }
        let told = process.told_to_end.or(process.killed);
        match process.ended {
            Some((at, success)) if told.is_none_or(|told| at < told) => {
                let broken = if process.ready.is_some() { Broken::Crash } else { Broken::Start };
                let how = if success { "with success" } else { "without success" };
                find(findings, broken, format!("{about}: it ended unasked, {how}"));
            }
            Some((_, false)) if process.killed.is_none() => {
                find(findings, Broken::Crash, format!("{about}: it ended without success"));
            }
            _ => {}
        }
        let latest = process.started + READY + seen.lag + process.stalled;
        let ended = process.ended.map(|(at, _)| at);
        let cut_short = [told, ended].into_iter().flatten().any(|at| at < latest);
        if process.ready.map_or(!cut_short, |ready| ready > latest) {
            find(
                findings,
                Broken::Start,
                format!("{about}: it was not ready within {} s", READY / 1_000_000),
            );
        }
        if let (Some(told), None) = (process.told_to_end, process.killed) {
            let most = seen.longest + END_SLACK + seen.lag + process.stalled;
            if process.ended.is_none_or(|(at, _)| at > told + most) {
                find(findings, Broken::End, format!("{about}: it did not end within {} ms", ms(most)));
            }
        }
        for (name, count) in process.violations.iter().filter(|(_, count)| **count > 0) {
            // One that is made to stand still answers late through no fault of its own.
            if name != "ended_in_time" || process.stalled == 0 {
                find(findings, Broken::Counted, format!("{about}: {name}={count}"));
            }
        }
    }
}

fn judge_stopped(seen: &Observations, findings: &mut Vec<Finding>) {
    let most = BAD_CLIENT + seen.lag + 200_000;
    for stopped in &seen.stopped {
        if stopped.ended.is_none_or(|ended| ended > stopped.since + most) {
            find(findings, Broken::BadClient, format!("held for more than {} ms", ms(most)));
        }
    }
}
