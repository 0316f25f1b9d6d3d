//! Hosts the [`Core`] on a clock: fronts submit queries, a transport carries their attempts, and one task drives the
//! core's steps.
//!
//! It owns the process's clock and the channels on which the fronts await their outcomes. It decides nothing and does no
//! I/O of its own: commands of the core go to a [`WorkerTransport`] or to the log.

use super::attempt::{AttemptCompletion, AttemptId, Dispatch};
use super::clock::Clock;
use super::command::Command;
use super::core::Core;
use super::invariants::Invariant;
use super::query::{QueryOutcome, SearchRequest};
use super::worker_registry::WorkerListUpdate;
use crate::policy::{RequestId, Time, WorkerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// The driving task steps the core at least this often, also where nothing is due.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3600);

/// Carries attempts to workers. It reports their completions through [`Broker::on_attempt_finished`].
pub trait WorkerTransport {
    /// A worker is listed at this address. `accepts_work` is whether it may be sent anything new.
    fn upsert_worker(&self, worker: WorkerId, name: &str, address: &str, accepts_work: bool);
    /// A worker is no longer listed.
    fn remove_worker(&self, worker: WorkerId);
    /// Carries these attempts as one call.
    fn call(&self, worker: WorkerId, parts: Vec<Dispatch>);
    /// Nobody waits for this attempt any longer; its completion is already accounted for.
    fn cancel(&self, worker: WorkerId, attempt_id: AttemptId);
    /// Nobody waits for this attempt any longer, but an attempt that is sent may not be cancelled: only one of which no
    /// byte is written yet is dropped. A transport whose attempts may always be cancelled never receives this.
    fn cancel_if_unsent(&self, _worker: WorkerId, _attempt_id: AttemptId) {}
}

struct Inner {
    core: RefCell<Core>,
    /// Where each open query's outcome is awaited.
    outcome_senders: RefCell<HashMap<RequestId, oneshot::Sender<QueryOutcome>>>,
    /// Wakes the driving task when the core has something to do.
    wake_up: Notify,
    clock: Clock,
}

/// A handle on the one broker of a process.
#[derive(Clone)]
pub struct Broker(Rc<Inner>);

/// Reports the client's disconnect to the core when a submission is dropped before its outcome.
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
    /// A broker on this clock.
    #[must_use]
    pub fn new(core: Core, clock: Clock) -> Broker {
        Broker(Rc::new(Inner {
            core: RefCell::new(core),
            outcome_senders: RefCell::default(),
            wake_up: Notify::new(),
            clock,
        }))
    }

    /// The time on the clock by which all deadlines of this broker are set.
    #[must_use]
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// Counts and logs an invariant that was broken outside the core.
    pub fn report_violation(&self, invariant: Invariant, subject: &str) {
        self.0.core.borrow_mut().count_violation(invariant);
        log::error!("{}", invariant.violation_message(subject));
    }

    /// Reads or counts in the core. `access` must not call the broker again: the core is borrowed meanwhile.
    pub fn with_core<T>(&self, access: impl FnOnce(&mut Core) -> T) -> T {
        access(&mut self.0.core.borrow_mut())
    }

    /// Submits a query and waits for its outcome. Where the returned future is dropped before that, the core is notified
    /// that the client has disconnected.
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

    /// An attempt has finished.
    pub fn on_attempt_finished(&self, attempt_id: AttemptId, completion: AttemptCompletion) {
        self.0.core.borrow_mut().on_attempt_finished(self.0.clock.now(), attempt_id, completion);
        self.0.wake_up.notify_one();
    }

    /// Discovery has sent the list or changes of it; `cached` where it is the list of an earlier process.
    pub fn apply_endpoint_update(&self, update: &WorkerListUpdate, cached: bool) {
        self.0.core.borrow_mut().apply_endpoint_update(self.0.clock.now(), update, cached);
        self.0.wake_up.notify_one();
    }

    /// An operator disables a worker or enables it again. Returns whether any list ever named it; where none did, nothing
    /// changes.
    #[must_use]
    pub fn set_worker_disabled(&self, worker: &str, disabled: bool) -> bool {
        let now = self.0.clock.now();
        let is_known = self.with_core(|core| {
            if disabled { core.disable_worker(now, worker) } else { core.enable_worker(now, worker) }
        });
        self.0.wake_up.notify_one();
        is_known
    }

    /// Applies the same change where an operator made it at the gatherer's other process, which knew the worker.
    pub fn set_worker_disabled_by_peer(&self, worker: &str, disabled: bool) {
        self.with_core(|core| core.register_worker(worker));
        // Whether any list named it does not matter here: the other process knew it.
        let _ = self.set_worker_disabled(worker, disabled);
    }

    /// Steps the core for as long as the process lives. Whatever tasks report while a step is due goes into that step.
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
                log::debug!("call is empty: worker_id={}", worker.0);
            }
            Command::Call { worker, parts } => transport.call(worker, parts),
            Command::Cancel { worker, attempt_id } => transport.cancel(worker, attempt_id),
            Command::CancelIfUnsent { worker, attempt_id } => {
                transport.cancel_if_unsent(worker, attempt_id);
            }
            Command::Respond { query, outcome } => {
                let sender = self.0.outcome_senders.borrow_mut().remove(&query);
                if let Some(sender) = sender {
                    // The client may have disconnected in this very moment; then nobody awaits the outcome.
                    let _ = sender.send(outcome);
                }
            }
            Command::Log(text) => log::info!("module: {text}"),
            Command::LogViolation(text) => log::error!("{text}"),
        }
    }
}
