//! The order in which the tasks of clients' connections get the processor's time.
//!
//! All connections share one thread. A task that is ready runs at once while the present *slice* lasts; once the slice
//! is used up, ready tasks wait until the caller has served sockets and timers and begins the next slice. Waiting tasks
//! run in the order of what they were charged lately, the least first (least attained service with exponential decay).
//! The charge of a turn is its processor time, and more where the turn is dear or its request is invalid: clients that
//! send much of either wait for the others, whatever the number of either. A task whose response is
//! ready, or that ends, does not wait.
//!
//! [`ProcessorShares`] owns the charges and the queue of ready tasks. Its caller measures the time and runs the tasks.

use super::client_connections::Source;
use crate::policy::Time;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Processor time for clients' tasks after which sockets and timers are served again. The last task of a slice may
/// exceed it.
const SLICE: Duration = Duration::from_millis(1);
/// Processor time of a turn that is charged double. Dearer turns are charged in proportion to their square, so that
/// many clients with a dear request each do not delay one with many cheap ones.
const DEAR_TURN: Duration = Duration::from_micros(200);
/// Factor on the charge of a turn whose request was invalid.
const INVALID_REQUEST_FACTOR: f64 = 16.0;
/// Factor on the charge of a turn whose request was sent before the response to the one before: a client that does not
/// wait waits for those that do.
const PIPELINED_REQUEST_FACTOR: f64 = 4.0;
/// Tasks that were charged less than this run in the order in which they became ready. Without this, a new client would
/// come first until it was charged as much as the others.
const MIN_RANKED_CHARGE: Duration = Duration::from_millis(10);
/// Time in which a charge loses half of its weight.
const CHARGE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Maximum number of sources whose new connections have an account of their own; all others share one.
const MAX_SOURCES: usize = 1024;
/// Charge below which the account of a source is dropped when the limit of sources is reached.
const NEGLIGIBLE_CHARGE: Duration = Duration::from_micros(100);
/// Steps into which one doubling of the charge is divided in the order of tasks.
const RANK_STEPS_PER_DOUBLING: f64 = (1 << 20) as f64;
/// By how much the rank of a waiting task may be out of date when it is chosen: an eighth of a doubling of its charge.
const MAX_RANK_ERROR: u64 = 1 << 17;

/// Identifies a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(u64);

/// What a ready task would do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// End a request or the connection: its response is ready, its client has gone, or it is evicted. Such a task runs at
    /// once: it frees what others wait for, and each request ends once.
    EndsRequest,
    /// Read input.
    ReadsInput,
}

/// What a turn showed of its request, if it ended one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnOutcome {
    /// The request was malformed, or is not served by this process.
    pub is_invalid: bool,
    /// The request was sent before the response to the one before.
    pub is_pipelined: bool,
}

/// What a task was charged. It loses its weight with time.
#[derive(Clone, Copy, Debug, Default)]
struct Charge {
    nanoseconds: f64,
    updated_at: Time,
}

impl Charge {
    fn decayed(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / CHARGE_HALF_LIFE.as_secs_f64();
        self.nanoseconds * (-half_lives).exp2()
    }

    fn add(&mut self, now: Time, nanoseconds: f64) {
        self.nanoseconds = self.decayed(now) + nanoseconds;
        self.updated_at = now;
    }
}

/// Position of a ready task. The charge is ranked by its logarithm plus the time in half-lives: all charges decay alike,
/// so that the order of two tasks stays right while they wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyRank {
    charge_rank: u64,
    sequence_number: u64,
    task: TaskId,
}

/// A task of a client's connection.
#[derive(Debug)]
struct Task {
    source: Source,
    charge: Charge,
    /// Whether the task has ended a request. Until then, its source's account ranks it, so that a source gains nothing
    /// by a new connection for each request.
    is_established: bool,
    ready: Option<ReadyRank>,
}

/// The charges of tasks and the queue of those that are ready.
#[derive(Debug, Default)]
pub struct ProcessorShares {
    tasks: HashMap<TaskId, Task>,
    ready: BTreeSet<ReadyRank>,
    /// Charges of the new connections of each source.
    new_connections: HashMap<Source, Charge>,
    used_in_slice: Duration,
    last_task: u64,
    last_sequence_number: u64,
}

impl ProcessorShares {
    /// Adds a task of a new connection from this source.
    pub fn add(&mut self, source: Source) -> TaskId {
        self.last_task += 1;
        let id = TaskId(self.last_task);
        let charge = Charge::default();
        self.tasks.insert(id, Task { source, charge, is_established: false, ready: None });
        id
    }

    /// Removes a task.
    pub fn remove(&mut self, id: TaskId) {
        if let Some(rank) = self.tasks.remove(&id).and_then(|task| task.ready) {
            self.ready.remove(&rank);
        }
    }

    /// Returns whether a task that is ready may run at once. Otherwise it waits until [`ProcessorShares::next`] returns
    /// it.
    #[must_use]
    pub fn try_run(&mut self, now: Time, id: TaskId, urgency: Urgency) -> bool {
        let Some(task) = self.tasks.get_mut(&id) else { return true };
        if urgency == Urgency::EndsRequest {
            if let Some(rank) = task.ready.take() {
                self.ready.remove(&rank);
            }
            return true;
        }
        if task.ready.is_some() {
            return false;
        }
        if self.ready.is_empty() && self.used_in_slice < SLICE {
            return true;
        }
        self.enqueue(now, id);
        false
    }

    fn enqueue(&mut self, now: Time, id: TaskId) {
        let charge_rank = self.charge_rank(now, id);
        self.last_sequence_number += 1;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        // A task that is moved back keeps its place among tasks of the same charge.
        let sequence_number = task.ready.map_or(self.last_sequence_number, |rank| rank.sequence_number);
        let rank = ReadyRank { charge_rank, sequence_number, task: id };
        if let Some(previous) = task.ready.replace(rank) {
            self.ready.remove(&previous);
        }
        self.ready.insert(rank);
    }

    fn charge_rank(&self, now: Time, id: TaskId) -> u64 {
        let nanoseconds = self.ranked_charge(now, id).max(MIN_RANKED_CHARGE.as_nanos() as f64);
        let half_lives = now.since(Time(0)).as_secs_f64() / CHARGE_HALF_LIFE.as_secs_f64();
        ((nanoseconds.log2() + half_lives) * RANK_STEPS_PER_DOUBLING) as u64
    }

    /// The charge that ranks a task, in nanoseconds.
    fn ranked_charge(&self, now: Time, id: TaskId) -> f64 {
        let Some(task) = self.tasks.get(&id) else { return 0.0 };
        let own = task.charge.decayed(now);
        if task.is_established { own } else { own.max(self.account_charge(now, task.source)) }
    }

    fn account_charge(&self, now: Time, source: Source) -> f64 {
        let account = self.new_connections.get(&self.account(source));
        account.map_or(0.0, |account| account.decayed(now))
    }

    /// The account for new connections of a source: its own, or the common one if there are too many sources.
    fn account(&self, source: Source) -> Source {
        let has_own = self.new_connections.contains_key(&source) || self.new_connections.len() < MAX_SOURCES;
        if has_own { source } else { Source::default() }
    }

    /// Begins a slice. To be called after sockets and timers were served.
    pub fn begin_slice(&mut self) {
        self.used_in_slice = Duration::ZERO;
    }

    /// Removes the first ready task from the queue and returns it; `None` if no task is ready or the slice is used up.
    pub fn next(&mut self, now: Time) -> Option<TaskId> {
        if self.used_in_slice >= SLICE {
            return None;
        }
        loop {
            let rank = *self.ready.first()?;
            // The account of a new connection's source may have been charged since the task was queued. A task is moved
            // a few times for each doubling of the charge.
            let is_outdated = self.tasks.get(&rank.task).is_some_and(|task| !task.is_established)
                && self.waiting_rank(now, rank) > rank.charge_rank + MAX_RANK_ERROR;
            if is_outdated {
                self.enqueue(now, rank.task);
                continue;
            }
            self.ready.remove(&rank);
            if let Some(task) = self.tasks.get_mut(&rank.task) {
                task.ready = None;
            }
            return Some(rank.task);
        }
    }

    /// The rank that a waiting task would get now, at the charge that all have at least.
    fn waiting_rank(&self, now: Time, rank: ReadyRank) -> u64 {
        let is_ranked = self.ranked_charge(now, rank.task) >= MIN_RANKED_CHARGE.as_nanos() as f64;
        if is_ranked { self.charge_rank(now, rank.task) } else { rank.charge_rank }
    }

    /// Returns the number of tasks that wait for the processor.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }

    /// Records that a task has run for this long, and what that showed of its request.
    pub fn record_run(&mut self, now: Time, id: TaskId, used: Duration, outcome: TurnOutcome) {
        self.used_in_slice += used;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let charged = charged_nanoseconds(used, outcome);
        task.charge.add(now, charged);
        if !task.is_established {
            let source = task.source;
            self.drop_negligible_accounts(now);
            let account = self.account(source);
            self.new_connections.entry(account).or_default().add(now, charged);
        }
    }

    fn drop_negligible_accounts(&mut self, now: Time) {
        if self.new_connections.len() >= MAX_SOURCES {
            let negligible = NEGLIGIBLE_CHARGE.as_nanos() as f64;
            self.new_connections.retain(|_, charge| charge.decayed(now) >= negligible);
        }
    }

    /// Records that a task has ended a request: from now on its own charge ranks it, which begins with that of its
    /// source's new connections.
    pub fn establish(&mut self, now: Time, id: TaskId) {
        let ranked_charge = self.ranked_charge(now, id);
        if let Some(task) = self.tasks.get_mut(&id).filter(|task| !task.is_established) {
            task.is_established = true;
            task.charge = Charge { nanoseconds: ranked_charge, updated_at: now };
        }
    }

    /// Returns the task that was charged most lately, with its decayed charge.
    #[must_use]
    pub fn heaviest(&self, now: Time) -> Option<(TaskId, Duration)> {
        let by_charge = self.tasks.iter().map(|(id, task)| (*id, task.charge.decayed(now)));
        let heaviest = by_charge.max_by(|first, second| first.1.total_cmp(&second.1));
        heaviest.map(|(id, nanoseconds)| (id, Duration::from_nanos(nanoseconds as u64)))
    }
}

/// What a turn is charged, in nanoseconds.
fn charged_nanoseconds(used: Duration, outcome: TurnOutcome) -> f64 {
    let mut factor = 1.0 + used.as_secs_f64() / DEAR_TURN.as_secs_f64();
    if outcome.is_invalid {
        factor *= INVALID_REQUEST_FACTOR;
    }
    if outcome.is_pipelined {
        factor *= PIPELINED_REQUEST_FACTOR;
    }
    used.as_nanos() as f64 * factor
}

#[cfg(test)]
mod tests;
