//! Runs the [`Core`] in real time: fronts submit queries, a transport sends their attempts, and one task calls the
//! core's step function when it is due.
//!
//! The broker owns the process's clock and the channels on which fronts await outcomes. It makes no decisions and does
//! no I/O of its own: the core's commands go to a [`WorkerTransport`] or to the log.

use super::attempt::{AttemptCompletion, AttemptId, Dispatch};
use super::clock::Clock;
use super::command::Command;
use super::core::{Core, WriteRefused};
use super::invariants::Invariant;
use super::query::{QueryOutcome, SearchRequest};
use super::worker_registry::{ListOrigin, WorkerListUpdate};
use crate::policy::{RequestId, Time, WorkerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Longest time between two steps of the core, even if nothing is due.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3600);

/// Sends attempts to workers and reports their completions through [`Broker::on_attempt_finished`].
pub trait WorkerTransport {
    /// Adds a worker at this address or updates it. `accepts_work` is whether it may receive new attempts.
    fn upsert_worker(&self, worker: WorkerId, name: &str, address: &str, accepts_work: bool);
    /// Removes a worker that is no longer listed.
    fn remove_worker(&self, worker: WorkerId);
    /// Sends these attempts to the worker as one call.
    fn call(&self, worker: WorkerId, parts: Vec<Dispatch>);
    /// Cancels an attempt whose result is no longer needed. The core has already recorded its completion.
    fn cancel(&self, worker: WorkerId, attempt_id: AttemptId);
    /// Drops an attempt if none of its bytes are written yet, and reports it as not sent. An attempt that is partly or
    /// wholly written is left alone.
    fn cancel_if_unsent(&self, worker: WorkerId, attempt_id: AttemptId);
}

struct Inner {
    core: RefCell<Core>,
    /// Sender of the outcome for each open query.
    outcome_senders: RefCell<HashMap<RequestId, oneshot::Sender<QueryOutcome>>>,
    /// Wakes the task that runs [`Broker::drive`] when the core has new events.
    wake_up: Notify,
    clock: Clock,
}

/// Handle to the broker, of which a process has one.
#[derive(Clone)]
pub struct Broker(Rc<Inner>);

/// Reports a client's disconnect to the core when the future of [`Broker::submit`] is dropped before the outcome.
struct DisconnectGuard<'a> {
    broker: &'a Broker,
    query: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let inner = &self.broker.0;
        if inner.outcome_senders.borrow_mut().remove(&self.query).is_some() {
            inner.core.borrow_mut().disconnect_client(inner.clock.now(), self.query);
            inner.wake_up.notify_one();
        }
    }
}

impl Broker {
    /// Creates a broker that takes the time from `clock`.
    #[must_use]
    pub fn new(core: Core, clock: Clock) -> Broker {
        Broker(Rc::new(Inner {
            core: RefCell::new(core),
            outcome_senders: RefCell::default(),
            wake_up: Notify::new(),
            clock,
        }))
    }

    /// Returns the time of the clock on which all deadlines of this broker are set.
    #[must_use]
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// Counts and logs the violation of an invariant that is checked outside the core.
    pub fn report_violation(&self, invariant: Invariant, subject: &str) {
        self.0.core.borrow_mut().count_violation(invariant);
        log::error!("{}", invariant.violation_message(subject));
    }

    /// Calls `access` with the core. `access` must not call the broker, because the core is mutably borrowed meanwhile.
    pub fn with_core<T>(&self, access: impl FnOnce(&mut Core) -> T) -> T {
        access(&mut self.0.core.borrow_mut())
    }

    /// Submits a query and waits for its outcome. If the returned future is dropped earlier, the core is notified that
    /// the client has disconnected.
    pub async fn submit(&self, request: SearchRequest) -> QueryOutcome {
        let submitted = self.0.core.borrow_mut().submit(self.0.clock.now(), request);
        let query = match submitted {
            Ok(query) => query,
            Err(rejected) => return rejected,
        };
        let (sender, outcome) = oneshot::channel();
        self.0.outcome_senders.borrow_mut().insert(query, sender);
        let _disconnect_guard = DisconnectGuard { broker: self, query };
        self.0.wake_up.notify_one();
        outcome.await.unwrap_or(QueryOutcome::Failed)
    }

    /// Reports to the core that an attempt has finished.
    pub fn on_attempt_finished(&self, attempt_id: AttemptId, completion: AttemptCompletion) {
        self.0.core.borrow_mut().on_attempt_finished(self.0.clock.now(), attempt_id, completion);
        self.0.wake_up.notify_one();
    }

    /// Asks the core whether an attempt may be written now; see [`Core::begin_write`]. Returns the instant by which its
    /// last byte has to be written, if there is one.
    ///
    /// # Errors
    /// The attempt may not be written. The transport drops it, if no byte of it is written, and reports it as not sent.
    pub fn begin_write(&self, attempt_id: AttemptId) -> Result<Option<Instant>, WriteRefused> {
        let begun = self.0.core.borrow_mut().begin_write(self.0.clock.now(), attempt_id)?;
        if begun.sets_deadline {
            self.0.wake_up.notify_one();
        }
        Ok(begun.permit.deadline().map(|at| self.0.clock.instant_of(at)))
    }

    /// Reports to the core that the last bytes of these attempts were written at `written_at`.
    pub fn on_attempts_written(&self, written_at: Time, attempts: &[AttemptId]) {
        self.0.core.borrow_mut().on_attempts_written(written_at, attempts);
    }

    /// Applies an endpoint list or a change of it.
    pub fn apply_endpoint_update(&self, update: &WorkerListUpdate, origin: ListOrigin) {
        self.0.core.borrow_mut().apply_endpoint_update(self.0.clock.now(), update, origin);
        self.0.wake_up.notify_one();
    }

    /// Disables or enables a worker on an operator's request. Returns false, and changes nothing, if the worker is not
    /// known from any endpoint list.
    #[must_use]
    pub fn set_worker_disabled(&self, worker: &str, disabled: bool) -> bool {
        let now = self.0.clock.now();
        let is_known = self.with_core(|core| {
            if disabled { core.disable_worker(now, worker) } else { core.enable_worker(now, worker) }
        });
        self.0.wake_up.notify_one();
        is_known
    }

    /// Applies an operator's request that the gatherer's other process received. Registers the worker first, because
    /// this process may not know it.
    pub fn set_worker_disabled_by_peer(&self, worker: &str, disabled: bool) {
        self.with_core(|core| core.register_worker(worker));
        // The result is always true, because the worker was registered above.
        let _ = self.set_worker_disabled(worker, disabled);
    }

    /// Runs the core's steps for as long as the process lives. Where a step is due at once, other ready tasks run
    /// first, so that their reports go into the same step.
    pub async fn drive(&self, transport: &dyn WorkerTransport) {
        loop {
            let now = self.0.clock.now();
            let next_step_at = self.0.core.borrow().next_step_at(now);
            let wait = next_step_at.map_or(MAX_IDLE_TIME, |at| at.since(now));
            tokio::select! {
                () = self.0.wake_up.notified() => {}
                () = tokio::time::sleep_until(self.0.clock.instant_of(now.after(wait))), if !wait.is_zero() => {}
                () = tokio::task::yield_now(), if wait.is_zero() => {}
            }
            let commands = self.0.core.borrow_mut().step(self.0.clock.now());
            for command in commands {
                self.execute(command, transport);
            }
        }
    }

    fn execute(&self, command: Command, transport: &dyn WorkerTransport) {
        match command {
            Command::UpsertWorker { worker, name, address, accepts_work } => {
                transport.upsert_worker(worker, &name, &address, accepts_work);
            }
            Command::RemoveWorker { worker } => transport.remove_worker(worker),
            Command::Call { worker, parts } if parts.is_empty() => {
                log::debug!("call without attempts not sent: worker_id={}", worker.0);
            }
            Command::Call { worker, parts } => transport.call(worker, parts),
            Command::Cancel { worker, attempt_id } => transport.cancel(worker, attempt_id),
            Command::CancelIfUnsent { worker, attempt_id } => {
                transport.cancel_if_unsent(worker, attempt_id);
            }
            Command::Respond { query, outcome } => {
                let sender = self.0.outcome_senders.borrow_mut().remove(&query);
                if let Some(sender) = sender {
                    // Sending fails if the client has just disconnected; then nobody awaits the outcome.
                    let _ = sender.send(outcome);
                }
            }
            Command::Log(text) => log::info!("core: {text}"),
            Command::LogViolation(text) => log::error!("{text}"),
        }
    }
}
