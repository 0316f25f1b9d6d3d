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
pub struct Places {
    start: Instant,
    descriptors: RefCell<DescriptorAllocator>,
    bytes: RefCell<BufferBudget>,
    openings: RefCell<ConnectQueue>,
    waiting: RefCell<BTreeMap<ConnectTicket, oneshot::Sender<Opening>>>,
    recalls: [Recall; DESCRIPTOR_CLASSES.len()],
    freed: Notify,
    room: Notify,
    /// What it has counted so far.
    pub tally: RefCell<ConnectionCounters>,
}

#[derive(Default)]
struct Recall {
    wanted: Cell<bool>,
    notify: Notify,
}

impl Places {
    /// All places are free; `bytes` may be buffered.
    pub fn new(plan: DescriptorBudget, bytes: usize) -> Rc<Places> {
        let floor = plan.floors[DescriptorClass::Workers as usize];
        Rc::new(Places {
            start: Instant::now(),
            bytes: RefCell::new(BufferBudget::new(bytes, plan.usable)),
            openings: RefCell::new(ConnectQueue::new(plan.usable * WAITS_EACH, (floor / OPENING).max(4))),
            descriptors: RefCell::new(DescriptorAllocator::new(plan)),
            waiting: RefCell::default(),
            recalls: Default::default(),
            freed: Notify::new(),
            room: Notify::new(),
            tally: RefCell::default(),
        })
    }

    /// Time for the limits, from the start of the process.
    pub fn now(&self) -> Time {
        Time(0).after(self.start.elapsed())
    }
    /// The moment at which [`Places::now`] will show this time.
    pub fn moment(&self, at: Time) -> Instant {
        self.start + at.since(Time(0))
    }
    /// Reads the budget of descriptors; not to be held.
    pub fn descriptors<T>(&self, read: impl FnOnce(&DescriptorAllocator) -> T) -> T {
        read(&self.descriptors.borrow())
    }
    /// Bytes that are buffered for peers.
    pub fn buffered(&self) -> usize {
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
    pub fn try_take(self: &Rc<Self>, side: DescriptorClass) -> Result<Place, DescriptorDenied> {
        let taken = self.descriptors.borrow_mut().acquire(side);
        if let Err(denied) = taken {
            if let DescriptorDenied::Reclaim(lender) = denied {
                self.recall(lender);
            }
            return Err(denied);
        }
        let (held, free) = self.descriptors(|all| (all.held(side), all.budget().usable - all.free()));
        self.tally.borrow_mut().record_held(side, held, free);
        Ok(Place { places: self.clone(), side, firm: Cell::new(false) })
    }

    /// A loose place for a side that never wants more than its floor.
    pub async fn take(self: &Rc<Self>, side: DescriptorClass) -> Place {
        loop {
            let freed = self.freed.notified();
            if let Ok(place) = self.try_take(side) {
                return place;
            }
            freed.await;
        }
    }

    /// Divides descriptors and bytes anew, and calls back what is held beyond that, as far as it is held loosely.
    pub async fn replan(&self, plan: DescriptorBudget, bytes: usize) {
        self.bytes.borrow_mut().resize(bytes, plan.usable);
        self.descriptors.borrow_mut().set_budget(plan);
        self.freed.notify_waiters();
        for _ in 0..self.descriptors(|all| all.excess()) {
            let freed = self.freed();
            let side = self.descriptors(|all| all.class_to_reclaim_from().filter(|_| all.excess() > 0));
            let Some(side) = side else { return };
            self.recall(side);
            // Whoever is called may have nothing left to give: it is not waited for for long.
            let _ = tokio::time::timeout(RECALL, freed).await;
        }
    }

    /// Asks a side to let one go.
    pub fn recall(&self, side: DescriptorClass) {
        self.recalls[side as usize].wanted.set(true);
        self.recalls[side as usize].notify.notify_one();
    }
    /// Waits until this side is to let one go.
    pub async fn recalled(&self, side: DescriptorClass) {
        let recall = &self.recalls[side as usize];
        while !recall.wanted.replace(false) {
            recall.notify.notified().await;
        }
    }
    /// Resolves when a place has been given back after this call.
    pub fn freed(&self) -> impl Future<Output = ()> {
        self.freed.notified()
    }

    /// Waits for the right to open a connection to a server, for a call of so much time. Dropped, it waits no longer.
    pub async fn open(self: &Rc<Self>, leaf: WorkerId, left: Duration) -> Result<Opening, ConnectWaitError> {
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
        self.tally.borrow_mut().worker_connect_waits_failed += 1;
        Err(end)
    }

    /// Lets in whoever waits, as far as there are places.
    fn pump(self: &Rc<Self>) {
        while self.openings.borrow().can_start_next()
            && self.descriptors(|all| all.can_mark_busy(DescriptorClass::Workers))
        {
            let Ok(place) = self.try_take(DescriptorClass::Workers) else { return };
            place.pin();
            let admitted = self.openings.borrow_mut().start_next();
            let Some((number, leaf)) = admitted else { return };
            self.tally.borrow_mut().worker_connects_started += 1;
            let tell = self.waiting.borrow_mut().remove(&number);
            let opening = Opening { place, _coming_up: ComingUp { places: self.clone(), leaf } };
            if let Some(tell) = tell {
                // Nobody waits any longer if it fails: the opening comes back, and gives its place back.
                drop(tell.send(opening));
            }
        }
    }

    fn change_bytes(&self, before: usize, after: usize) {
        let mut bytes = self.bytes.borrow_mut();
        bytes.update(before, after);
        let mut tally = self.tally.borrow_mut();
        tally.peak_buffered_bytes = tally.peak_buffered_bytes.max(bytes.used());
        if after < before {
            self.room.notify_waiters();
        }
    }
}

/// Leaves the queue when nobody waits any longer.
struct Waiting<'a> {
    places: &'a Places,
    number: ConnectTicket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.places.openings.borrow_mut().cancel(self.number);
        self.places.waiting.borrow_mut().remove(&self.number);
    }
}

/// One descriptor of the budget, for as long as it is held.
pub struct Place {
    places: Rc<Places>,
    side: DescriptorClass,
    firm: Cell<bool>,
}

impl Place {
    /// Makes it firm; false where floors forbid it.
    pub fn pin(&self) -> bool {
        if !self.firm.get() {
            self.firm.set(self.places.descriptors.borrow_mut().mark_busy(self.side));
        }
        self.firm.get()
    }
    /// Makes it loose.
    pub fn unpin(&self) {
        if self.firm.replace(false) {
            self.places.descriptors.borrow_mut().mark_evictable(self.side);
            self.places.pump();
        }
    }
}

impl Drop for Place {
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
pub struct Opening {
    place: Place,
    _coming_up: ComingUp,
}

impl Opening {
    /// The connection is up; it keeps the place.
    pub fn up(self) -> Place {
        self.place
    }
}

struct ComingUp {
    places: Rc<Places>,
    leaf: WorkerId,
}

impl Drop for ComingUp {
    fn drop(&mut self) {
        self.places.openings.borrow_mut().finish_connect(self.leaf);
        self.places.pump();
    }
}

/// Bytes buffered for one peer, booked for as long as it lives.
pub struct Buffered {
    places: Rc<Places>,
    held: Cell<usize>,
}

impl Buffered {
    /// Nothing yet.
    pub fn new(places: &Rc<Places>) -> Buffered {
        Buffered { places: places.clone(), held: Cell::new(0) }
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
    pub async fn room(&self) {
        self.places.room.notified().await;
    }
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.set(0);
    }
}
