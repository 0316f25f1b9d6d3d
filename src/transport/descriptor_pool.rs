//! The process's descriptors and buffered bytes as the sockets see them: places that give themselves back, and waiting
//! for one. Who gets what is decided in [`crate::limits`].

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

/// Calls that may wait for a connection, for each descriptor that there is: wide queries wait part by part.
const WAITS_EACH: usize = 2;
/// How long one that is called back is waited for.
const RECALL: Duration = Duration::from_millis(20);
/// Share of the servers' floor that may be coming up at once.
const OPENING: usize = 4;

/// What all sides of one process share.
pub struct DescriptorPool {
    start: Instant,
    descriptors: RefCell<DescriptorAllocator>,
    bytes: RefCell<BufferBudget>,
    openings: RefCell<ConnectQueue>,
    waiting: RefCell<BTreeMap<ConnectTicket, oneshot::Sender<ConnectPermit>>>,
    recalls: [Recall; DESCRIPTOR_CLASSES.len()],
    freed: Notify,
    room: Notify,
    /// What it has counted so far.
    pub counters: RefCell<ConnectionCounters>,
}

#[derive(Default)]
struct Recall {
    wanted: Cell<bool>,
    notify: Notify,
}

impl DescriptorPool {
    /// All places are free; `bytes` may be buffered.
    pub fn new(plan: DescriptorBudget, bytes: usize) -> Rc<DescriptorPool> {
        let floor = plan.floors[DescriptorClass::Workers as usize];
        Rc::new(DescriptorPool {
            start: Instant::now(),
            bytes: RefCell::new(BufferBudget::new(bytes, plan.usable)),
            openings: RefCell::new(ConnectQueue::new(plan.usable * WAITS_EACH, (floor / OPENING).max(4))),
            descriptors: RefCell::new(DescriptorAllocator::new(plan)),
            waiting: RefCell::default(),
            recalls: Default::default(),
            freed: Notify::new(),
            room: Notify::new(),
            counters: RefCell::default(),
        })
    }

    /// Time for the limits, from the start of the process.
    pub fn now(&self) -> Time {
        Time(0).after(self.start.elapsed())
    }
    /// The moment at which [`DescriptorPool::now`] will show this time.
    pub fn instant_at(&self, at: Time) -> Instant {
        self.start + at.since(Time(0))
    }
    /// Reads the budget of descriptors; not to be held.
    pub fn descriptors<T>(&self, read: impl FnOnce(&DescriptorAllocator) -> T) -> T {
        read(&self.descriptors.borrow())
    }
    /// Bytes that are buffered for peers.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.borrow().used()
    }
    /// How scarce descriptors and bytes are for all sides together.
    pub fn pressure(&self) -> ResourcePressure {
        let descriptors = self.descriptors.borrow();
        let usable = descriptors.budget().usable;
        let bytes = self.bytes.borrow();
        ResourcePressure::from_usage(usable - descriptors.free(), usable * 3 / 4, usable)
            .max(ResourcePressure::from_usage(bytes.used(), bytes.total() / 2, bytes.total()))
    }

    /// A loose place, if one is free; else someone is asked for theirs.
    pub fn try_acquire(self: &Rc<Self>, side: DescriptorClass) -> Result<DescriptorPermit, DescriptorDenied> {
        let taken = self.descriptors.borrow_mut().acquire(side);
        if let Err(denied) = taken {
            if let DescriptorDenied::Reclaim(lender) = denied {
                self.reclaim(lender);
            }
            return Err(denied);
        }
        let (held, free) = self.descriptors(|all| (all.held(side), all.budget().usable - all.free()));
        self.counters.borrow_mut().record_held(side, held, free);
        Ok(DescriptorPermit { places: self.clone(), side, firm: Cell::new(false) })
    }

    /// A loose place for a side that never wants more than its floor.
    pub async fn acquire(self: &Rc<Self>, side: DescriptorClass) -> DescriptorPermit {
        loop {
            let freed = self.freed.notified();
            if let Ok(place) = self.try_acquire(side) {
                return place;
            }
            freed.await;
        }
    }

    /// Divides descriptors and bytes anew, and calls back what is held beyond that, as far as it is held loosely.
    pub async fn set_budget(&self, plan: DescriptorBudget, bytes: usize) {
        self.bytes.borrow_mut().resize(bytes, plan.usable);
        self.descriptors.borrow_mut().set_budget(plan);
        self.freed.notify_waiters();
        for _ in 0..self.descriptors(|all| all.excess()) {
            let freed = self.wait_for_release();
            let side = self.descriptors(|all| all.class_to_reclaim_from().filter(|_| all.excess() > 0));
            let Some(side) = side else { return };
            self.reclaim(side);
            // Whoever is called may have nothing left to give: it is not waited for for long.
            let _ = tokio::time::timeout(RECALL, freed).await;
        }
    }

    /// Asks a side to let one go.
    pub fn reclaim(&self, side: DescriptorClass) {
        self.recalls[side as usize].wanted.set(true);
        self.recalls[side as usize].notify.notify_one();
    }
    /// Waits until this side is to let one go.
    pub async fn wait_for_reclaim(&self, side: DescriptorClass) {
        let recall = &self.recalls[side as usize];
        while !recall.wanted.replace(false) {
            recall.notify.notified().await;
        }
    }
    /// Resolves when a place has been given back after this call.
    pub fn wait_for_release(&self) -> impl Future<Output = ()> {
        self.freed.notified()
    }

    /// Waits for the right to open a connection to a server, for a call of so much time. Dropped, it waits no longer.
    pub async fn acquire_connect_permit(
        self: &Rc<Self>,
        leaf: WorkerId,
        left: Duration,
    ) -> Result<ConnectPermit, ConnectWaitError> {
        let (number, out) = self.openings.borrow_mut().enqueue(self.now(), leaf, left);
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, tell);
        // Whoever is turned out learns it from the channel's end.
        let turned_out = out.and_then(|out| self.waiting.borrow_mut().remove(&out));
        drop(turned_out);
        let _waiting = Waiting { places: self, number };
        self.pump();
        let end = match tokio::time::timeout(connection_pool::connect_wait_limit(left), told).await {
            Ok(Ok(opening)) => return Ok(opening),
            Ok(Err(_)) => ConnectWaitError::QueueFull,
            Err(_) => ConnectWaitError::TimedOut,
        };
        self.counters.borrow_mut().worker_connect_waits_failed += 1;
        Err(end)
    }

    /// Lets in whoever waits, as far as there are places.
    fn pump(self: &Rc<Self>) {
        while self.openings.borrow().can_start_next()
            && self.descriptors(|all| all.can_mark_busy(DescriptorClass::Workers))
        {
            let Ok(place) = self.try_acquire(DescriptorClass::Workers) else { return };
            place.try_mark_busy();
            let admitted = self.openings.borrow_mut().start_next();
            let Some((number, leaf)) = admitted else { return };
            self.counters.borrow_mut().worker_connects_started += 1;
            let tell = self.waiting.borrow_mut().remove(&number);
            let opening = ConnectPermit { place, _coming_up: ComingUp { places: self.clone(), leaf } };
            if let Some(tell) = tell {
                // Nobody waits any longer if it fails: the opening comes back, and gives its place back.
                drop(tell.send(opening));
            }
        }
    }

    fn change_bytes(&self, before: usize, after: usize) {
        let mut bytes = self.bytes.borrow_mut();
        bytes.update(before, after);
        let mut tally = self.counters.borrow_mut();
        tally.peak_buffered_bytes = tally.peak_buffered_bytes.max(bytes.used());
        if after < before {
            self.room.notify_waiters();
        }
    }
}

/// Leaves the queue when nobody waits any longer.
struct Waiting<'a> {
    places: &'a DescriptorPool,
    number: ConnectTicket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.places.openings.borrow_mut().cancel(self.number);
        self.places.waiting.borrow_mut().remove(&self.number);
    }
}

/// One descriptor of the budget, for as long as it is held.
pub struct DescriptorPermit {
    places: Rc<DescriptorPool>,
    side: DescriptorClass,
    firm: Cell<bool>,
}

impl DescriptorPermit {
    /// Makes it firm; false where floors forbid it.
    pub fn try_mark_busy(&self) -> bool {
        if !self.firm.get() {
            self.firm.set(self.places.descriptors.borrow_mut().mark_busy(self.side));
        }
        self.firm.get()
    }
    /// Makes it loose.
    pub fn mark_idle(&self) {
        if self.firm.replace(false) {
            self.places.descriptors.borrow_mut().mark_evictable(self.side);
            self.places.pump();
        }
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let mut descriptors = self.places.descriptors.borrow_mut();
        if self.firm.get() {
            descriptors.mark_evictable(self.side);
        }
        descriptors.release(self.side);
        drop(descriptors);
        self.places.freed.notify_waiters();
        self.places.pump();
    }
}

/// The right to open a connection to a server: a firm place, and one of those that may be coming up at once.
pub struct ConnectPermit {
    place: DescriptorPermit,
    _coming_up: ComingUp,
}

impl ConnectPermit {
    /// The connection is up; it keeps the place.
    pub fn into_descriptor_permit(self) -> DescriptorPermit {
        self.place
    }
}

struct ComingUp {
    places: Rc<DescriptorPool>,
    leaf: WorkerId,
}

impl Drop for ComingUp {
    fn drop(&mut self) {
        self.places.openings.borrow_mut().finish_connect(self.leaf);
        self.places.pump();
    }
}

/// Bytes buffered for one peer, booked for as long as it lives.
pub struct BufferReservation {
    places: Rc<DescriptorPool>,
    held: Cell<usize>,
}

impl BufferReservation {
    /// Nothing yet.
    pub fn new(places: &Rc<DescriptorPool>) -> BufferReservation {
        BufferReservation { places: places.clone(), held: Cell::new(0) }
    }
    /// Books what is held now.
    pub fn set(&self, held: usize) {
        let before = self.held.replace(held);
        if before != held {
            self.places.change_bytes(before, held);
        }
    }
    /// What may be held now.
    pub fn allowance(&self) -> usize {
        self.places.bytes.borrow().allowance(self.held.get())
    }
    /// Waits until somebody else holds less.
    pub async fn wait_for_space(&self) {
        self.places.room.notified().await;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
