//! Permits to connect to a server, and the calls that wait for one.
//!
//! The order of the queue and the limit of the wait are in [`crate::limits::connection_pool`].

use super::{DescriptorPermit, DescriptorPool};
use crate::limits::connection_pool::{self, ConnectQueue, ConnectTicket, ConnectWaitError};
use crate::limits::{DescriptorBudget, DescriptorClass};
use crate::policy::{Time, WorkerId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How many calls may wait for a connection, for each usable descriptor. The parts of one query may wait as separate
/// calls, so there are more calls than queries.
const CONNECT_WAITS_PER_DESCRIPTOR: usize = 2;
/// At most one quarter of the descriptors guaranteed to workers may be connecting at once, but at least
/// [`MIN_CONNECTING`].
const CONNECTING_DIVISOR: usize = 4;
/// The lower bound of the number of connections that may be connecting at once.
const MIN_CONNECTING: usize = 4;

impl DescriptorPool {
    /// Waits for a permit to connect to a server, for a call with `time_left` before its deadline. Dropping the future
    /// removes the call from the queue.
    ///
    /// # Errors
    /// The queue was full and this call was displaced (the latest deadline of the server with the most waiting calls),
    /// or the wait has taken the share of `time_left` that [`connection_pool::connect_wait_limit`] allows.
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

    /// Grants connect permits to waiting calls for as long as a descriptor and a connecting slot are available.
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
                // The send fails where the receiver was dropped meanwhile: the returned permit is released here.
                drop(waiter.send(permit));
            }
        }
    }
}

/// Sends the permit to a waiting call.
type ConnectWaiter = oneshot::Sender<ConnectPermit>;

/// The calls that wait for a connect permit.
pub(super) struct PendingConnects {
    queue: ConnectQueue,
    waiters: BTreeMap<ConnectTicket, ConnectWaiter>,
}

/// A call that was taken from the queue to connect.
struct GrantedConnect {
    worker: WorkerId,
    /// `None` where the call has stopped waiting.
    waiter: Option<ConnectWaiter>,
}

impl PendingConnects {
    /// Creates an empty queue whose limits are in proportion to this budget.
    pub fn new(budget: &DescriptorBudget) -> PendingConnects {
        let guaranteed = budget.floors[DescriptorClass::Workers as usize];
        let max_waiting = budget.usable * CONNECT_WAITS_PER_DESCRIPTOR;
        let max_connecting = (guaranteed / CONNECTING_DIVISOR).max(MIN_CONNECTING);
        PendingConnects { queue: ConnectQueue::new(max_waiting, max_connecting), waiters: BTreeMap::new() }
    }

    /// Queues a call. Where the queue is full, the channel of the displaced call is closed, which ends its wait.
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

/// Removes a call from the connect queue on drop.
struct QueuedConnect<'a> {
    pool: &'a DescriptorPool,
    ticket: ConnectTicket,
}

impl Drop for QueuedConnect<'_> {
    fn drop(&mut self) {
        self.pool.connect_queue.borrow_mut().cancel(self.ticket);
    }
}

/// The permission to connect to a server: a busy descriptor and a slot among the connections that may be connecting at
/// once.
#[must_use]
pub struct ConnectPermit {
    descriptor: DescriptorPermit,
    _connecting: ConnectingSlot,
}

impl ConnectPermit {
    /// Keeps the descriptor for the established connection, and releases the connecting slot.
    pub fn into_descriptor_permit(self) -> DescriptorPermit {
        self.descriptor
    }
}

/// A slot among the connections that may be connecting at once; dropping it frees the slot for a waiting call.
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
