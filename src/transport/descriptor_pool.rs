//! The process's descriptors and buffered bytes as the sockets use them: permits that release themselves when dropped,
//! and waiting for one. It owns the one budget that all classes share. Who gets what is decided in [`crate::limits`].

use crate::limits::connection_pool::{self, ConnectQueue, ConnectTicket, ConnectWaitError};
use crate::limits::descriptors::DESCRIPTOR_CLASSES;
use crate::limits::{
    BufferBudget, ConnectionCounters, DescriptorAllocator, DescriptorBudget, DescriptorClass,
    DescriptorDenied, ResourcePressure,
};
use crate::policy::{Time, WorkerId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// How many calls may wait for a connection for each usable descriptor: the parts of a query wait one by one.
const CONNECT_WAITS_PER_DESCRIPTOR: usize = 2;
/// How long [`DescriptorPool::set_budget`] waits for each descriptor that it reclaims.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(20);
/// One in so many of the descriptors guaranteed to workers may be connecting at once.
const CONNECTING_DIVISOR: usize = 4;

/// The descriptors and buffered bytes of one process, shared by all classes.
pub struct DescriptorPool {
    start: Instant,
    descriptors: RefCell<DescriptorAllocator>,
    buffers: RefCell<BufferBudget>,
    connect_queue: RefCell<ConnectQueue>,
    connect_waiters: RefCell<BTreeMap<ConnectTicket, oneshot::Sender<ConnectPermit>>>,
    reclaims: [ReclaimRequest; DESCRIPTOR_CLASSES.len()],
    /// Notified when a descriptor is released.
    released: Notify,
    /// Notified when fewer bytes are buffered.
    buffer_space: Notify,
    /// What was counted since the start of the process.
    pub counters: RefCell<ConnectionCounters>,
}

/// Asks one class to release an idle descriptor.
#[derive(Default)]
struct ReclaimRequest {
    pending: Cell<bool>,
    requested: Notify,
}

impl DescriptorPool {
    /// Creates a pool in which all descriptors are free and `max_buffered_bytes` may be buffered.
    #[must_use]
    pub fn new(budget: DescriptorBudget, max_buffered_bytes: usize) -> Rc<DescriptorPool> {
        let guaranteed = budget.floors[DescriptorClass::Workers as usize];
        Rc::new(DescriptorPool {
            start: Instant::now(),
            buffers: RefCell::new(BufferBudget::new(max_buffered_bytes, budget.usable)),
            connect_queue: RefCell::new(ConnectQueue::new(
                budget.usable * CONNECT_WAITS_PER_DESCRIPTOR,
                (guaranteed / CONNECTING_DIVISOR).max(4),
            )),
            descriptors: RefCell::new(DescriptorAllocator::new(budget)),
            connect_waiters: RefCell::default(),
            reclaims: Default::default(),
            released: Notify::new(),
            buffer_space: Notify::new(),
            counters: RefCell::default(),
        })
    }

    /// The time that the limits go by: it counts from the start of the process.
    pub fn now(&self) -> Time {
        Time(0).after(self.start.elapsed())
    }
    /// The instant at which [`DescriptorPool::now`] shows this time.
    pub fn instant_at(&self, at: Time) -> Instant {
        self.start + at.since(Time(0))
    }
    /// Reads the state of the descriptors. The borrow ends with the call.
    pub fn descriptors<T>(&self, read: impl FnOnce(&DescriptorAllocator) -> T) -> T {
        read(&self.descriptors.borrow())
    }
    /// The number of bytes that are buffered for peers.
    pub fn buffered_bytes(&self) -> usize {
        self.buffers.borrow().used()
    }
    /// How scarce descriptors and bytes are for all classes together.
    pub fn pressure(&self) -> ResourcePressure {
        let descriptors = self.descriptors.borrow();
        let usable = descriptors.budget().usable;
        let buffers = self.buffers.borrow();
        ResourcePressure::from_usage(usable - descriptors.free(), usable * 3 / 4, usable)
            .max(ResourcePressure::from_usage(buffers.used(), buffers.total() / 2, buffers.total()))
    }

    /// Acquires an idle descriptor, if one is free; else asks the class that lent one to release it.
    ///
    /// # Errors
    /// None is free.
    pub fn try_acquire(
        self: &Rc<Self>,
        class: DescriptorClass,
    ) -> Result<DescriptorPermit, DescriptorDenied> {
        let acquired = self.descriptors.borrow_mut().acquire(class);
        if let Err(denied) = acquired {
            if let DescriptorDenied::Reclaim(lender) = denied {
                self.reclaim(lender);
            }
            return Err(denied);
        }
        let (held, in_use) = self.descriptors(|all| (all.held(class), all.budget().usable - all.free()));
        self.counters.borrow_mut().record_held(class, held, in_use);
        Ok(DescriptorPermit { pool: self.clone(), class, busy: Cell::new(false) })
    }

    /// Acquires an idle descriptor for a class that never needs more than it is guaranteed, waiting until one is free.
    pub async fn acquire(self: &Rc<Self>, class: DescriptorClass) -> DescriptorPermit {
        loop {
            let released = self.released.notified();
            if let Ok(permit) = self.try_acquire(class) {
                return permit;
            }
            released.await;
        }
    }

    /// Divides descriptors and bytes anew, and reclaims idle descriptors that are held beyond the new budget.
    pub async fn set_budget(&self, budget: DescriptorBudget, max_buffered_bytes: usize) {
        self.buffers.borrow_mut().resize(max_buffered_bytes, budget.usable);
        self.descriptors.borrow_mut().set_budget(budget);
        self.released.notify_waiters();
        for _ in 0..self.descriptors(|all| all.excess()) {
            let released = self.wait_for_release();
            let class = self.descriptors(|all| all.class_to_reclaim_from().filter(|_| all.excess() > 0));
            let Some(class) = class else { return };
            self.reclaim(class);
            // The class may have no idle one left to release, so the wait is short.
            let _ = tokio::time::timeout(RECLAIM_TIMEOUT, released).await;
        }
    }

    /// Asks a class to release an idle descriptor.
    pub fn reclaim(&self, class: DescriptorClass) {
        self.reclaims[class as usize].pending.set(true);
        self.reclaims[class as usize].requested.notify_one();
    }
    /// Waits until this class is asked to release an idle descriptor.
    pub async fn wait_for_reclaim(&self, class: DescriptorClass) {
        let request = &self.reclaims[class as usize];
        while !request.pending.replace(false) {
            request.requested.notified().await;
        }
    }
    /// Resolves when a descriptor has been released after this call.
    pub fn wait_for_release(&self) -> impl Future<Output = ()> {
        self.released.notified()
    }

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
    fn start_waiting_connects(self: &Rc<Self>) {
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

    fn update_buffered(&self, before: usize, after: usize) {
        let mut buffers = self.buffers.borrow_mut();
        buffers.update(before, after);
        let mut counters = self.counters.borrow_mut();
        counters.peak_buffered_bytes = counters.peak_buffered_bytes.max(buffers.used());
        if after < before {
            self.buffer_space.notify_waiters();
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

/// One descriptor of the budget, held until it is dropped. It is idle (it may be reclaimed) or busy (it may not).
#[must_use]
pub struct DescriptorPermit {
    pool: Rc<DescriptorPool>,
    class: DescriptorClass,
    busy: Cell<bool>,
}

impl DescriptorPermit {
    /// Makes it busy; false where that would take a descriptor that another class is guaranteed.
    pub fn try_mark_busy(&self) -> bool {
        if !self.busy.get() {
            self.busy.set(self.pool.descriptors.borrow_mut().mark_busy(self.class));
        }
        self.busy.get()
    }
    /// Makes it idle.
    pub fn mark_idle(&self) {
        if self.busy.replace(false) {
            self.pool.descriptors.borrow_mut().mark_evictable(self.class);
            self.pool.start_waiting_connects();
        }
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let mut descriptors = self.pool.descriptors.borrow_mut();
        if self.busy.get() {
            descriptors.mark_evictable(self.class);
        }
        descriptors.release(self.class);
        drop(descriptors);
        self.pool.released.notify_waiters();
        self.pool.start_waiting_connects();
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

/// The bytes buffered for one peer, counted against the budget until they are dropped.
pub struct BufferReservation {
    pool: Rc<DescriptorPool>,
    held: Cell<usize>,
}

impl BufferReservation {
    /// Creates a reservation of no bytes.
    pub fn new(pool: &Rc<DescriptorPool>) -> BufferReservation {
        BufferReservation { pool: pool.clone(), held: Cell::new(0) }
    }
    /// Sets the number of bytes that are held now.
    pub fn set(&self, held: usize) {
        let before = self.held.replace(held);
        if before != held {
            self.pool.update_buffered(before, held);
        }
    }
    /// The number of bytes that may be held now.
    pub fn allowance(&self) -> usize {
        self.pool.buffers.borrow().allowance(self.held.get())
    }
    /// Waits until another reservation has become smaller.
    pub async fn wait_for_space(&self) {
        self.pool.buffer_space.notified().await;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
