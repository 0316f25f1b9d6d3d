//! Permits to connect to a server, and the calls that wait for one.
//!
//! Which call may connect next, and for how long it waits, is decided in [`crate::limits::connection_pool`].

use super::{DescriptorPermit, DescriptorPool};
use crate::limits::connection_pool::{self, ConnectQueue, ConnectTicket, ConnectWaitError};
use crate::limits::{DescriptorBudget, DescriptorClass};
use crate::policy::{Time, WorkerId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How many calls may wait for a connection for each usable descriptor: the parts of a query wait one by one.
const CONNECT_WAITS_PER_DESCRIPTOR: usize = 2;
/// One in so many of the descriptors guaranteed to workers may be connecting at once...
const CONNECTING_DIVISOR: usize = 4;
/// ...and so many at least.
const MIN_CONNECTING: usize = 4;

impl DescriptorPool {
    /// Waits for the right to connect to a server, for a call with `time_left` before its deadline. A dropped wait is
    /// removed from the queue.
    ///
    /// # Errors
    /// The queue is full of calls with less time left, or the wait has taken as much of the call's time as it may.
    pub async fn acquire_connect_permit(
        self: &Rc<Self>,
        worker: WorkerId,
        time_left: Duration,
    ) -> Result<ConnectPermit, ConnectWaitError> {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.connect_queue.borrow_mut().enqueue(self.now(), worker, time_left, sender);
        let _queued = QueuedConnect { pool: self, ticket };
        self.grant_connect_permits();
        let limit = connection_pool::connect_wait_limit(time_left);
        let error = match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(permit)) => return Ok(permit),
            Ok(Err(_)) => ConnectWaitError::QueueFull,
            Err(_) => ConnectWaitError::TimedOut,
        };
        self.counters.borrow_mut().worker_connect_waits_failed += 1;
        Err(error)
    }

    /// Gives connect permits to waiting calls, as far as descriptors allow.
    pub(super) fn grant_connect_permits(self: &Rc<Self>) {
        while self.connect_queue.borrow().queue.can_start_next()
            && self.descriptors(|allocator| allocator.can_mark_busy(DescriptorClass::Workers))
        {
            let Ok(descriptor) = self.try_acquire(DescriptorClass::Workers) else { return };
            descriptor.try_mark_busy();
            let next = self.connect_queue.borrow_mut().start_next();
            let Some(GrantedConnect { worker, waiter }) = next else { return };
            self.counters.borrow_mut().worker_connects_started += 1;
            let connecting = ConnectingSlot { pool: self.clone(), worker };
            let permit = ConnectPermit { descriptor, _connecting: connecting };
            if let Some(waiter) = waiter {
                // A failed send means that nobody waits any longer: the permit comes back and is released here.
                drop(waiter.send(permit));
            }
        }
    }
}

/// The end of a waiting call that receives its permit.
type ConnectWaiter = oneshot::Sender<ConnectPermit>;

/// The calls that wait for a connect permit.
pub(super) struct PendingConnects {
    queue: ConnectQueue,
    waiters: BTreeMap<ConnectTicket, ConnectWaiter>,
}

/// A call whose turn to connect has come.
struct GrantedConnect {
    worker: WorkerId,
    /// `None` where the call no longer waits.
    waiter: Option<ConnectWaiter>,
}

impl PendingConnects {
    /// Creates an empty queue, with limits in proportion to this budget.
    pub fn new(budget: &DescriptorBudget) -> PendingConnects {
        let guaranteed = budget.floors[DescriptorClass::Workers as usize];
        let max_waiting = budget.usable * CONNECT_WAITS_PER_DESCRIPTOR;
        let max_connecting = (guaranteed / CONNECTING_DIVISOR).max(MIN_CONNECTING);
        PendingConnects { queue: ConnectQueue::new(max_waiting, max_connecting), waiters: BTreeMap::new() }
    }

    /// Queues a call. Where the queue is full, the call that is displaced learns of it as its channel closes.
    fn enqueue(
        &mut self,
        now: Time,
        worker: WorkerId,
        time_left: Duration,
        waiter: ConnectWaiter,
    ) -> ConnectTicket {
        let (ticket, displaced) = self.queue.enqueue(now, worker, time_left);
        self.waiters.insert(ticket, waiter);
        if let Some(displaced) = displaced {
            self.waiters.remove(&displaced);
        }
        ticket
    }

    fn start_next(&mut self) -> Option<GrantedConnect> {
        let (ticket, worker) = self.queue.start_next()?;
        Some(GrantedConnect { worker, waiter: self.waiters.remove(&ticket) })
    }

    fn cancel(&mut self, ticket: ConnectTicket) {
        self.queue.cancel(ticket);
        self.waiters.remove(&ticket);
    }
}

/// A call in the connect queue; dropping it removes it from the queue.
struct QueuedConnect<'a> {
    pool: &'a DescriptorPool,
    ticket: ConnectTicket,
}

impl Drop for QueuedConnect<'_> {
    fn drop(&mut self) {
        self.pool.connect_queue.borrow_mut().cancel(self.ticket);
    }
}

/// The right to connect to a server: a busy descriptor, and one of the connections that may be coming up at once.
#[must_use]
pub struct ConnectPermit {
    descriptor: DescriptorPermit,
    _connecting: ConnectingSlot,
}

impl ConnectPermit {
    /// The connection is up: it keeps the descriptor, and another may come up.
    pub fn into_descriptor_permit(self) -> DescriptorPermit {
        self.descriptor
    }
}

/// One of the connections that may be coming up at once.
struct ConnectingSlot {
    pool: Rc<DescriptorPool>,
    worker: WorkerId,
}

impl Drop for ConnectingSlot {
    fn drop(&mut self) {
        self.pool.connect_queue.borrow_mut().queue.finish_connect(self.worker);
        self.pool.grant_connect_permits();
    }
}
