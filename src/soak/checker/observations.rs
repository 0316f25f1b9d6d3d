//! What is observed at both ends of a soak test. It owns no tolerance and judges nothing.

use std::collections::BTreeMap;

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
