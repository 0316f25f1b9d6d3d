//! The process-wide pool of file descriptors and buffered bytes: permits that are released on drop, and the waits for
//! them.
//!
//! Owns the one budget that all descriptor classes share, and the scheduler of the processor's time, which all listeners
//! share. The allocation rules are in [`crate::limits`].
//!
//! `descriptor_permit.rs` has the permit for one descriptor, `connect_permit.rs` the permits to connect and their
//! queue, `buffer_reservation.rs` the bytes buffered for one peer, `result_memory.rs` the bytes of results of index
//! servers.

mod buffer_reservation;
mod connect_permit;
mod descriptor_permit;
mod result_memory;

pub use buffer_reservation::BufferReservation;
pub use connect_permit::ConnectPermit;
pub use descriptor_permit::DescriptorPermit;
pub use result_memory::{ResultMemory, ResultRead};

use crate::limits::descriptors::DESCRIPTOR_CLASSES;
use crate::limits::{
    BufferBudget, ConnectionCounters, DescriptorAllocator, DescriptorBudget, DescriptorClass,
    DescriptorDenied, ResourcePressure,
};
use crate::policy::Time;
use crate::transport::task_scheduler::TaskScheduler;
use connect_permit::PendingConnects;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long [`DescriptorPool::set_budget`] waits for the release of each descriptor that it reclaims.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(20);

/// The descriptors and buffered bytes of one process, shared by all classes.
pub struct DescriptorPool {
    start: Instant,
    descriptors: RefCell<DescriptorAllocator>,
    buffers: RefCell<BufferBudget>,
    result_memory: ResultMemory,
    connect_queue: RefCell<PendingConnects>,
    reclaims: [ReclaimRequest; DESCRIPTOR_CLASSES.len()],
    /// Notified when a descriptor is released.
    released: Notify,
    /// Notified when fewer bytes are buffered.
    buffer_space: Notify,
    scheduler: Rc<TaskScheduler>,
    /// The connection counters since the start of the process.
    pub counters: RefCell<ConnectionCounters>,
}

/// Asks one class to release an idle descriptor.
#[derive(Default)]
struct ReclaimRequest {
    pending: Cell<bool>,
    requested: Notify,
}

impl DescriptorPool {
    /// Creates a pool in which all descriptors are free and `max_buffered_bytes` may be buffered, and as many may be
    /// held as results of index servers.
    #[must_use]
    pub fn new(budget: DescriptorBudget, max_buffered_bytes: usize) -> Rc<DescriptorPool> {
        let start = Instant::now();
        Rc::new(DescriptorPool {
            start,
            scheduler: TaskScheduler::new(start),
            buffers: RefCell::new(BufferBudget::new(max_buffered_bytes, budget.usable)),
            result_memory: ResultMemory::new(max_buffered_bytes),
            connect_queue: RefCell::new(PendingConnects::new(&budget)),
            descriptors: RefCell::new(DescriptorAllocator::new(budget)),
            reclaims: Default::default(),
            released: Notify::new(),
            buffer_space: Notify::new(),
            counters: RefCell::default(),
        })
    }

    /// The scheduler of the tasks that serve clients and operators.
    pub fn scheduler(&self) -> &Rc<TaskScheduler> {
        &self.scheduler
    }
    /// The memory of results of index servers.
    pub fn result_memory(&self) -> &ResultMemory {
        &self.result_memory
    }
    /// The time since the pool was created, which the rules in [`crate::limits`] use as their clock.
    pub fn now(&self) -> Time {
        Time(0).after(self.start.elapsed())
    }
    /// The instant at which [`DescriptorPool::now`] returns `at`.
    pub fn instant_at(&self, at: Time) -> Instant {
        self.start + at.since(Time(0))
    }
    /// Calls `read` with the descriptor allocator, which is borrowed for the duration of the call.
    pub fn descriptors<T>(&self, read: impl FnOnce(&DescriptorAllocator) -> T) -> T {
        read(&self.descriptors.borrow())
    }
    /// The number of bytes that are buffered for peers.
    pub fn buffered_bytes(&self) -> usize {
        self.buffers.borrow().used()
    }
    /// The pressure on the descriptors or on the buffered bytes of all classes, whichever is greater. Descriptors count
    /// from three quarters of the usable ones, bytes from half of the budget.
    pub fn pressure(&self) -> ResourcePressure {
        let descriptors = self.descriptors.borrow();
        let usable = descriptors.budget().usable;
        let buffers = self.buffers.borrow();
        ResourcePressure::from_usage(usable - descriptors.free(), usable * 3 / 4, usable)
            .max(ResourcePressure::from_usage(buffers.used(), buffers.total() / 2, buffers.total()))
    }

    /// Acquires a free descriptor; the permit starts idle. Where none is free but another class can release an idle
    /// one, that class is asked to.
    ///
    /// # Errors
    /// No descriptor is free for this class.
    pub fn try_acquire(
        self: &Rc<Self>,
        class: DescriptorClass,
    ) -> Result<DescriptorPermit, DescriptorDenied> {
        let acquired = self.descriptors.borrow_mut().acquire(class);
        if let Err(denied) = acquired {
            if let DescriptorDenied::Reclaim(reclaimed_class) = denied {
                self.reclaim(reclaimed_class);
            }
            return Err(denied);
        }
        let (held, in_use) = self
            .descriptors(|allocator| (allocator.held(class), allocator.budget().usable - allocator.free()));
        self.counters.borrow_mut().record_held(class, held, in_use);
        Ok(DescriptorPermit::new(self, class))
    }

    /// Waits for a free descriptor; the permit starts idle. For classes that never hold more descriptors than they are
    /// guaranteed: the wait has no time-out.
    pub async fn acquire(self: &Rc<Self>, class: DescriptorClass) -> DescriptorPermit {
        loop {
            let released = self.released.notified();
            if let Ok(permit) = self.try_acquire(class) {
                return permit;
            }
            released.await;
        }
    }

    /// Replaces the budget of descriptors and buffered bytes, and reclaims idle descriptors that exceed the new budget.
    pub async fn set_budget(&self, budget: DescriptorBudget, max_buffered_bytes: usize) {
        self.buffers.borrow_mut().resize(max_buffered_bytes, budget.usable);
        self.result_memory.resize(max_buffered_bytes);
        self.descriptors.borrow_mut().set_budget(budget);
        self.released.notify_waiters();
        for _ in 0..self.descriptors(|allocator| allocator.excess()) {
            let released = self.wait_for_release();
            let class = self.descriptors(|allocator| {
                allocator.class_to_reclaim_from().filter(|_| allocator.excess() > 0)
            });
            let Some(class) = class else { return };
            self.reclaim(class);
            // The class may have no idle descriptor left to release, so the wait is bounded.
            let _ = tokio::time::timeout(RECLAIM_TIMEOUT, released).await;
        }
    }

    /// Asks a class to release an idle descriptor.
    pub fn reclaim(&self, class: DescriptorClass) {
        self.reclaims[class as usize].pending.set(true);
        self.reclaims[class as usize].requested.notify_one();
    }
    /// Waits until [`DescriptorPool::reclaim`] is called for this class.
    pub async fn wait_for_reclaim(&self, class: DescriptorClass) {
        let request = &self.reclaims[class as usize];
        while !request.pending.replace(false) {
            request.requested.notified().await;
        }
    }
    /// Resolves when a descriptor is released after this call.
    pub fn wait_for_release(&self) -> impl Future<Output = ()> {
        self.released.notified()
    }
}
