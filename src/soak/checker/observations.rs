//! The observations of a soak test: requests as clients saw them, parts as workers received them, and the
//! lives of the gatherers' processes. Plain data; checks and tolerances are those of the other submodules.

use std::collections::BTreeMap;

/// The end of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a response.
    Response {
        /// HTTP status of the response.
        status: u16,
        /// False if the status is 200 and the response is incomplete, or holds a value that no worker computed
        /// for this request.
        correct: bool,
    },
    /// The connection ended without a response.
    ConnectionClosed,
    /// The client closed the connection before a response.
    ClientDisconnected,
    /// The client stopped waiting: neither a response nor the end of the connection had come.
    NoResponse,
}

/// Whether a part of a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Any number of times.
    Allowed,
    /// Workers discard a repeat for this long after the first attempt; a later one must not come.
    AllowedFor {
        /// Length of the window, in microseconds.
        window_us: u64,
    },
    /// Never.
    Forbidden,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request, which its parts carry.
    pub id: String,
    /// Whether parts of the request may be executed more than once.
    pub repeats: Repeats,
    /// Number of the process that served the gatherer's address when the connection was opened; during a
    /// hot restart the other process may have accepted it.
    pub process: usize,
    /// The request was the first one on its connection.
    pub first_on_connection: bool,
    /// Time at which the last byte of the request was written.
    pub sent_at: u64,
    /// Time budget that the client sent with the request, in microseconds.
    pub budget_us: u64,
    /// Time at which the request ended.
    pub ended_at: u64,
    /// The request's end.
    pub outcome: RequestOutcome,
}

/// One delivery of a part of a request to a worker.
#[derive(Clone, Debug)]
pub struct Part {
    /// Id of the request.
    pub request: String,
    /// Number of the shard that the part asks.
    pub shard: u32,
    /// Name of the worker.
    pub worker: String,
    /// Time at which the worker had read the whole frame.
    pub received_at: u64,
    /// Time that the worker was given, in microseconds.
    pub time_left_us: u64,
    /// The worker executed the part; otherwise it rejected it.
    pub executed: bool,
}

/// The end of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// Time at which the end was noticed.
    pub at: u64,
    /// The exit status was success.
    pub success: bool,
}

/// A process of a gatherer, from its start to its end.
#[derive(Clone, Debug, Default)]
pub struct Process {
    /// Number of the gatherer, which stays the same over restarts.
    pub gatherer: usize,
    /// Time at which the process was started.
    pub started_at: u64,
    /// Time at which the process first reported that it was ready.
    pub ready_at: Option<u64>,
    /// Time at which SIGTERM was sent.
    pub terminated_at: Option<u64>,
    /// Time at which the soak test killed the process.
    pub killed_at: Option<u64>,
    /// The process's end, if it has ended.
    pub exit: Option<ProcessExit>,
    /// Longest pause (SIGSTOP) of the process, in microseconds.
    pub longest_pause_us: u64,
    /// Violated invariants that the process counted itself, by the counter's name.
    pub invariant_counters: BTreeMap<String, u64>,
    /// First line of the log that reports a panic.
    pub panic: Option<String>,
}

/// A worker's drain or removal from the endpoint list, as announced to one gatherer.
#[derive(Clone, Debug)]
pub struct EndpointRemoval {
    /// Number of the gatherer.
    pub gatherer: usize,
    /// Name of the worker.
    pub worker: String,
    /// Time from which on the gatherer has to know of the removal; the drain's grace period comes on top.
    pub effective_at: u64,
    /// Time at which the worker is listed as serving again.
    pub relisted_at: u64,
}

/// A pause of a worker, which reads frames that arrive in the meantime only after it resumes.
#[derive(Clone, Debug)]
pub struct WorkerPause {
    /// Name of the worker.
    pub worker: String,
    /// Time before SIGSTOP was sent.
    pub paused_at: u64,
    /// Time after SIGCONT was sent.
    pub resumed_at: u64,
}

/// A client that stalled in the middle of a request.
#[derive(Clone, Debug)]
pub struct StalledClient {
    /// Time at which the client's last byte was written.
    pub stalled_at: u64,
    /// Time at which the client got an error or was disconnected; `None` if neither happened while it waited.
    pub closed_at: Option<u64>,
}

/// All observations of one soak test.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests of all clients.
    pub requests: Vec<Request>,
    /// Parts that workers received.
    pub parts: Vec<Part>,
    /// Processes of gatherers; a process's number is its index.
    pub processes: Vec<Process>,
    /// Drains and removals of workers.
    pub removals: Vec<EndpointRemoval>,
    /// Pauses of workers.
    pub worker_pauses: Vec<WorkerPause>,
    /// Clients that stalled.
    pub stalled_clients: Vec<StalledClient>,
    /// Grace period after a drain is announced, in microseconds.
    pub drain_grace_us: u64,
    /// Longest deadline of any class, in microseconds.
    pub longest_deadline_us: u64,
    /// Longest scheduling delay of the soak test's own process, in microseconds: times measured by it may be
    /// late by so much, so it is part of every tolerance.
    pub observer_lag_us: u64,
}

impl Observations {
    /// Returns the tolerance for times between a request's gatherer and its workers: pauses of the gatherer's process
    /// and of the observer.
    pub(super) fn time_slack_us(&self, request: &Request) -> u64 {
        let process = self.processes.get(request.process);
        self.observer_lag_us + process.map_or(0, |process| process.longest_pause_us)
    }
}
