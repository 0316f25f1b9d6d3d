//! Hosts the [`Core`] on a clock: fronts ask it, a transport carries its calls, one task drives its turns.

use super::attempt::{Dispatch, End, Ticket};
use super::core::Core;
use super::invariants::Invariant;
use super::order::Order;
use super::query::{Ask, Verdict};
use super::worker_registry::Listing;
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
        Clock::at(Time(0).after(unix))
    }
    /// A clock that shows this time now.
    pub fn at(unix: Time) -> Clock {
        Clock { start: Instant::now(), unix }
    }
    /// The time.
    pub fn now(&self) -> Time {
        self.unix.after(self.start.elapsed())
    }
    /// The moment at which it will show this time.
    pub fn moment(&self, at: Time) -> Instant {
        self.start + at.since(self.unix)
    }
}

/// Carries attempts to workers. Their ends come back through [`Broker::ended`].
pub trait Carrier {
    /// A worker is listed: its address, and whether it may be sent anything new.
    fn member(&self, worker: WorkerId, name: &str, address: &str, open: bool);
    /// A worker is no longer listed.
    fn gone(&self, worker: WorkerId);
    /// Carry these attempts as one call.
    fn call(&self, worker: WorkerId, parts: Vec<Dispatch>);
    /// Nobody waits for this attempt any longer.
    fn abandon(&self, worker: WorkerId, ticket: Ticket);
    /// What this attempt brings is of no use, but it may not be called off: it is not to be sent, if nothing of it is sent
    /// yet. A carrier whose attempts may always be called off never hears this.
    fn withdraw(&self, _worker: WorkerId, _ticket: Ticket) {}
}

struct Inner {
    core: RefCell<Core>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Verdict>>>,
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
    pub fn violated(&self, invariant: Invariant, concerns: &str) {
        self.0.core.borrow_mut().count_violation(invariant);
        log::error!("invariant {} is broken: {concerns}", invariant.name());
    }

    /// Reads or counts in the core; not to be held.
    pub fn core<T>(&self, read: impl FnOnce(&mut Core) -> T) -> T {
        read(&mut self.0.core.borrow_mut())
    }

    /// Sees a query through to its final answer. Dropped before that, it tells the core that the client left.
    pub async fn ask(&self, ask: Ask) -> Verdict {
        let offered = self.0.core.borrow_mut().offer(self.0.clock.now(), ask);
        let query = match offered {
            Ok(query) => query,
            Err(verdict) => return verdict,
        };
        let (tell, told) = oneshot::channel();
        self.0.waiting.borrow_mut().insert(query, tell);
        let _asked = Asked { broker: self, query };
        self.0.news.notify_one();
        told.await.unwrap_or(Verdict::Failed)
    }

    /// An attempt has ended.
    pub fn ended(&self, ticket: Ticket, end: End) {
        self.0.core.borrow_mut().ended(self.0.clock.now(), ticket, end);
        self.0.news.notify_one();
    }

    /// Discovery has news.
    pub fn learn(&self, listing: &Listing, cached: bool) {
        self.0.core.borrow_mut().learn(self.0.clock.now(), listing, cached);
        self.0.news.notify_one();
    }

    /// An operator takes a worker out by hand, or back; false if no list ever named it.
    pub fn by_hand(&self, worker: &str, out: bool) -> bool {
        let now = self.0.clock.now();
        let known = self.core(|core| if out { core.disable(now, worker) } else { core.enable(now, worker) });
        self.0.news.notify_one();
        known
    }

    /// The same, as another process of this gatherer was told it, which knew the worker.
    pub fn by_hand_too(&self, worker: &str, out: bool) {
        self.core(|core| core.know(worker));
        self.by_hand(worker, out);
    }

    /// Runs turns for as long as the process lives. Whatever tasks report while one is due goes into it together.
    pub async fn drive(&self, carrier: &dyn Carrier) {
        loop {
            let now = self.0.clock.now();
            let due = self.0.core.borrow().next_due(now);
            let wait = due.map_or(Duration::from_secs(3600), |due| due.since(now));
            tokio::select! {
                () = self.0.news.notified() => {}
                () = tokio::time::sleep_until(self.0.clock.moment(now.after(wait))), if !wait.is_zero() => {}
                () = tokio::task::yield_now(), if wait.is_zero() => {}
            }
            let orders = self.0.core.borrow_mut().turn(self.0.clock.now());
            for order in orders {
                self.deliver(order, carrier);
            }
        }
    }

    fn deliver(&self, order: Order, carrier: &dyn Carrier) {
        match order {
            Order::Member { worker, name, address, open } => carrier.member(worker, &name, &address, open),
            Order::Gone { worker } => carrier.gone(worker),
            Order::Call { worker, parts } if parts.is_empty() => log::debug!("empty call to {}", worker.0),
            Order::Call { worker, parts } => carrier.call(worker, parts),
            Order::Abandon { worker, ticket } => carrier.abandon(worker, ticket),
            Order::Withdraw { worker, ticket } => carrier.withdraw(worker, ticket),
            Order::Settle { query, verdict } => {
                let waiting = self.0.waiting.borrow_mut().remove(&query);
                if let Some(tell) = waiting {
                    // The client may have left in this very moment; then nobody is there to be told.
                    let _ = tell.send(verdict);
                }
            }
            Order::Trace(text) => log::info!("module: {text}"),
            Order::Alarm(text) => log::error!("{text}"),
        }
    }
}
