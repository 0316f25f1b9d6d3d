//! Hosts the [`Core`] on a clock: fronts ask it, a transport carries its calls, one task drives its turns.

use super::attempt::{AttemptCompletion, AttemptId, Dispatch};
use super::command::Command;
use super::core::Core;
use super::invariants::Invariant;
use super::query::{QueryOutcome, SearchRequest};
use super::worker_registry::WorkerListUpdate;
use crate::policy::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Unix time that never steps back: read once at the start, and carried on from there.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    /// A clock that shows the system's time now.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::starting_at(Time(0).after(unix))
    }
    /// A clock that shows this time now.
    pub fn starting_at(unix: Time) -> Clock {
        Clock { start: Instant::now(), unix }
    }
    /// The time.
    pub fn now(&self) -> Time {
        self.unix.after(self.start.elapsed())
    }
    /// The moment at which it will show this time.
    pub fn instant_of(&self, at: Time) -> Instant {
        self.start + at.since(self.unix)
    }
}

/// Carries attempts to workers. Their ends come back through [`Broker::ended`].
pub trait WorkerTransport {
    /// A worker is listed: its address, and whether it may be sent anything new.
    fn upsert_worker(&self, worker: WorkerId, name: &str, address: &str, open: bool);
    /// A worker is no longer listed.
    fn remove_worker(&self, worker: WorkerId);
    /// Carry these attempts as one call.
    fn call(&self, worker: WorkerId, parts: Vec<Dispatch>);
    /// Nobody waits for this attempt any longer.
    fn cancel(&self, worker: WorkerId, ticket: AttemptId);
    /// What this attempt brings is of no use, but it may not be called off: it is not to be sent, if nothing of it is sent
    /// yet. A carrier whose attempts may always be called off never hears this.
    fn cancel_if_unsent(&self, _worker: WorkerId, _ticket: AttemptId) {}
}

struct Inner {
    core: RefCell<Core>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<QueryOutcome>>>,
    news: Notify,
    clock: Clock,
}

/// A handle on the one broker of a process.
#[derive(Clone)]
pub struct Broker(Rc<Inner>);

/// Tells the core that the client left, unless the query got its answer first.
struct Asked<'a> {
    broker: &'a Broker,
    query: RequestId,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        if self.broker.0.waiting.borrow_mut().remove(&self.query).is_some() {
            let now = self.broker.0.clock.now();
            self.broker.0.core.borrow_mut().client_left(now, self.query);
            self.broker.0.news.notify_one();
        }
    }
}

impl Broker {
    /// A broker on this clock.
    pub fn new(core: Core, clock: Clock) -> Broker {
        let (core, waiting) = (RefCell::new(core), RefCell::default());
        Broker(Rc::new(Inner { core, waiting, news: Notify::new(), clock }))
    }

    /// The time, as all deadlines here have it.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// A rule was broken outside the core.
    pub fn report_violation(&self, invariant: Invariant, concerns: &str) {
        self.0.core.borrow_mut().count_violation(invariant);
        log::error!("invariant {} is broken: {concerns}", invariant.name());
    }

    /// Reads or counts in the core; not to be held.
    pub fn with_core<T>(&self, read: impl FnOnce(&mut Core) -> T) -> T {
        read(&mut self.0.core.borrow_mut())
    }

    /// Sees a query through to its final answer. Dropped before that, it tells the core that the client left.
    pub async fn submit(&self, ask: SearchRequest) -> QueryOutcome {
        let offered = self.0.core.borrow_mut().submit(self.0.clock.now(), ask);
        let query = match offered {
            Ok(query) => query,
            Err(verdict) => return verdict,
        };
        let (tell, told) = oneshot::channel();
        self.0.waiting.borrow_mut().insert(query, tell);
        let _asked = Asked { broker: self, query };
        self.0.news.notify_one();
        told.await.unwrap_or(QueryOutcome::Failed)
    }

    /// An attempt has ended.
    pub fn on_attempt_finished(&self, ticket: AttemptId, end: AttemptCompletion) {
        self.0.core.borrow_mut().on_attempt_finished(self.0.clock.now(), ticket, end);
        self.0.news.notify_one();
    }

    /// Discovery has news.
    pub fn apply_endpoint_update(&self, listing: &WorkerListUpdate, cached: bool) {
        self.0.core.borrow_mut().apply_endpoint_update(self.0.clock.now(), listing, cached);
        self.0.news.notify_one();
    }

    /// An operator takes a worker out by hand, or back; false if no list ever named it.
    pub fn set_worker_disabled(&self, worker: &str, out: bool) -> bool {
        let now = self.0.clock.now();
        let known = self.with_core(|core| {
            if out { core.disable_worker(now, worker) } else { core.enable_worker(now, worker) }
        });
        self.0.news.notify_one();
        known
    }

    /// The same, as another process of this gatherer was told it, which knew the worker.
    pub fn set_worker_disabled_by_peer(&self, worker: &str, out: bool) {
        self.with_core(|core| core.register_worker(worker));
        self.set_worker_disabled(worker, out);
    }

    /// Runs turns for as long as the process lives. Whatever tasks report while one is due goes into it together.
    pub async fn drive(&self, carrier: &dyn WorkerTransport) {
        loop {
            let now = self.0.clock.now();
            let due = self.0.core.borrow().next_due(now);
            let wait = due.map_or(Duration::from_secs(3600), |due| due.since(now));
            tokio::select! {
                () = self.0.news.notified() => {}
                () = tokio::time::sleep_until(self.0.clock.instant_of(now.after(wait))), if !wait.is_zero() => {}
                () = tokio::task::yield_now(), if wait.is_zero() => {}
            }
            let orders = self.0.core.borrow_mut().step(self.0.clock.now());
            for order in orders {
                self.deliver(order, carrier);
            }
        }
    }

    fn deliver(&self, order: Command, carrier: &dyn WorkerTransport) {
        match order {
            Command::UpsertWorker { worker, name, address, accepts_work: open } => {
                carrier.upsert_worker(worker, &name, &address, open)
            }
            Command::RemoveWorker { worker } => carrier.remove_worker(worker),
            Command::Call { worker, parts } if parts.is_empty() => log::debug!("empty call to {}", worker.0),
            Command::Call { worker, parts } => carrier.call(worker, parts),
            Command::Cancel { worker, attempt_id: ticket } => carrier.cancel(worker, ticket),
            Command::CancelIfUnsent { worker, attempt_id: ticket } => {
                carrier.cancel_if_unsent(worker, ticket)
            }
            Command::Respond { query, outcome: verdict } => {
                let waiting = self.0.waiting.borrow_mut().remove(&query);
                if let Some(tell) = waiting {
                    // The client may have left in this very moment; then nobody is there to be told.
                    let _ = tell.send(verdict);
                }
            }
            Command::Log(text) => log::info!("module: {text}"),
            Command::LogViolation(text) => log::error!("{text}"),
        }
    }
}
