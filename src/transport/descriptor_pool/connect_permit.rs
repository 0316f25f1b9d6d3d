//! Permits to connect to a server, and the calls that wait for one.
//!
//! Which call may connect next, and for how long it waits, is decided in [`crate::limits::connection_pool`].

use super::{DescriptorPermit, DescriptorPool};
use crate::limits::DescriptorClass;
use crate::limits::connection_pool::{self, ConnectTicket, ConnectWaitError};
use crate::policy::WorkerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

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
        let (ticket, displaced) = self.connect_queue.borrow_mut().enqueue(self.now(), worker, time_left);
        let (sender, receiver) = oneshot::channel();
        self.connect_waiters.borrow_mut().insert(ticket, sender);
        // A displaced call learns of it as its channel closes.
        let displaced = displaced.and_then(|ticket| self.connect_waiters.borrow_mut().remove(&ticket));
        drop(displaced);
        let _queued = QueuedConnect { pool: self, ticket };
        self.start_waiting_connects();
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
    pub(super) fn start_waiting_connects(self: &Rc<Self>) {
        while self.connect_queue.borrow().can_start_next()
            && self.descriptors(|all| all.can_mark_busy(DescriptorClass::Workers))
        {
            let Ok(descriptor) = self.try_acquire(DescriptorClass::Workers) else { return };
            descriptor.try_mark_busy();
            let next = self.connect_queue.borrow_mut().start_next();
            let Some((ticket, worker)) = next else { return };
            self.counters.borrow_mut().worker_connects_started += 1;
            let waiter = self.connect_waiters.borrow_mut().remove(&ticket);
            let permit =
                ConnectPermit { descriptor, _connecting: ConnectingSlot { pool: self.clone(), worker } };
            if let Some(waiter) = waiter {
                // A failed send means that nobody waits any longer: the permit comes back and is released here.
                drop(waiter.send(permit));
            }
        }
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
        self.pool.connect_waiters.borrow_mut().remove(&self.ticket);
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
        self.pool.connect_queue.borrow_mut().finish_connect(self.worker);
        self.pool.start_waiting_connects();
    }
}
