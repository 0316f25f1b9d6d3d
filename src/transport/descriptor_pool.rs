//! The process's descriptors and buffered bytes as the sockets use them: permits that release themselves when dropped,
//! and waiting for one. It owns the one budget that all classes share. Who gets what is decided in [`crate::limits`].
//!
//! This file holds the pool, `descriptor_permit.rs` the permit for one descriptor, `connect_permit.rs` the permits to
//! connect and the queue for them, `buffer_reservation.rs` the bytes buffered for one peer.

mod buffer_reservation;
mod connect_permit;
mod descriptor_permit;

pub use buffer_reservation::BufferReservation;
pub use connect_permit::ConnectPermit;
pub use descriptor_permit::DescriptorPermit;

use crate::limits::descriptors::DESCRIPTOR_CLASSES;
use crate::limits::{
    BufferBudget, ConnectionCounters, DescriptorAllocator, DescriptorBudget, DescriptorClass,
    DescriptorDenied, ResourcePressure,
};
use crate::policy::Time;
use connect_permit::PendingConnects;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long [`DescriptorPool::set_budget`] waits for each descriptor that it reclaims.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(20);

/// The descriptors and buffered bytes of one process, shared by all classes.
pub struct DescriptorPool {
    start: Instant,
    descriptors: RefCell<DescriptorAllocator>,
    buffers: RefCell<BufferBudget>,
    connect_queue: RefCell<PendingConnects>,
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
        Rc::new(DescriptorPool {
            start: Instant::now(),
            buffers: RefCell::new(BufferBudget::new(max_buffered_bytes, budget.usable)),
            connect_queue: RefCell::new(PendingConnects::new(&budget)),
            descriptors: RefCell::new(DescriptorAllocator::new(budget)),
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
        let (held, in_use) = self
            .descriptors(|allocator| (allocator.held(class), allocator.budget().usable - allocator.free()));
        self.counters.borrow_mut().record_held(class, held, in_use);
        Ok(DescriptorPermit::new(self, class))
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
        for _ in 0..self.descriptors(|allocator| allocator.excess()) {
            let released = self.wait_for_release();
            let class = self.descriptors(|allocator| {
                allocator.class_to_reclaim_from().filter(|_| allocator.excess() > 0)
            });
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
}
