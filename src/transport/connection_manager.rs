//! The clients' connections of one process: who is let in, who is told to leave, and how all are told to end. The
//! order and the time limits are decided in [`crate::limits::crowd`].

use super::descriptor_pool::{BufferReservation, DescriptorPermit, DescriptorPool};
use crate::limits::client_connections::{EvictionReason, RequestValidity, Source};
use crate::limits::{
    ClientConnections, ConnectionCounters, DescriptorClass, DescriptorDenied, ResourcePressure,
};
use crate::service::lifecycle::{LifecycleError, LifecycleRequest};
use crate::service::{Lifecycle, LifecycleState};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How often time limits are looked at while any connection could leave: they move with pressure.
const TICK: Duration = Duration::from_millis(50);
/// Time between two lines of the log about who was made to leave.
const TELL: Duration = Duration::from_secs(5);

/// The connections of one process, and how they are told to end.
pub struct ConnectionManager {
    places: Rc<DescriptorPool>,
    crowd: RefCell<ClientConnections>,
    signals: RefCell<HashMap<u64, Rc<Signal>>>,
    /// A connection has become one that may be made to leave.
    loosened: Notify,
    stages: RefCell<Lifecycle>,
    stage: watch::Sender<LifecycleState>,
}

#[derive(Default)]
struct Signal {
    why: Cell<Option<EvictionReason>>,
    told: Notify,
}

impl ConnectionManager {
    /// A gate to these places.
    pub fn new(places: Rc<DescriptorPool>) -> Rc<ConnectionManager> {
        let stages = Lifecycle::new(places.now());
        Rc::new(ConnectionManager {
            places,
            crowd: RefCell::default(),
            signals: RefCell::default(),
            loosened: Notify::new(),
            stage: watch::Sender::new(stages.stage()),
            stages: RefCell::new(stages),
        })
    }
    /// Where the process is now. Guards a process that stood still: what lies there at its wake is read before its timers
    /// have run, and would be taken as if no time had passed.
    pub fn lifecycle_state(&self) -> LifecycleState {
        self.pass();
        *self.stage.borrow()
    }
    fn pass(&self) {
        self.stages.borrow_mut().advance(self.places.now());
        self.tell_stage();
    }
    /// Moves the process on, or tells why not.
    pub fn apply_lifecycle(&self, call: LifecycleRequest) -> Result<(), LifecycleError> {
        let done = self.stages.borrow_mut().apply(self.places.now(), call);
        self.tell_stage();
        done
    }
    fn tell_stage(&self) {
        let stage = self.stages.borrow().stage();
        self.stage.send_if_modified(|told| {
            let before = std::mem::replace(told, stage);
            if before != stage {
                log::info!("stage: {before:?} -> {stage:?}, {} connections open", self.open_connections());
            }
            before != stage
        });
    }
    /// Lets time lead from stage to stage, for as long as the process lives.
    pub async fn run_lifecycle_timers(&self) {
        let mut stage = self.stage.subscribe();
        loop {
            let due = self.stages.borrow().next_deadline();
            tokio::select! {
                // The sender lives as long as the gate, so waiting cannot fail.
                _ = stage.changed() => {}
                () = tokio::time::sleep_until(self.places.instant_at(due.unwrap_or_default())), if due.is_some() => {
                    self.pass();
                }
            }
        }
    }
    /// The places that it gives out.
    pub fn descriptor_pool(&self) -> &Rc<DescriptorPool> {
        &self.places
    }
    /// Open connections.
    pub fn open_connections(&self) -> usize {
        self.crowd.borrow().len()
    }
    /// Waits for the stage in which nothing new is taken.
    pub async fn wait_for_closing(&self) {
        self.reaches(|stage| !stage.accepts_queries()).await;
    }
    /// Waits until connections are to end as soon as nothing is open on them.
    pub async fn wait_for_idle_close(&self) {
        self.reaches(LifecycleState::closes_idle_connections).await;
    }
    /// Waits until connections are no longer let in.
    pub async fn wait_for_accept_end(&self) {
        self.reaches(|stage| !stage.accepts_connections()).await;
    }
    async fn reaches(&self, there: impl Fn(LifecycleState) -> bool) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as the gate, so waiting cannot fail.
        let _ = stage.wait_for(|stage| there(*stage)).await;
    }

    /// How scarce places are for clients. Their own level comes first: what clients may hold at their end is less
    /// than what there is here, and who asked once and stays takes it from those who would come back.
    pub fn pressure(&self) -> ResourcePressure {
        let floor = self.places.descriptors(|all| all.budget().floors[DescriptorClass::Clients as usize]);
        ResourcePressure::from_usage(self.open_connections(), floor / 3, floor * 3 / 4)
            .max(self.places.pressure())
    }

    /// Lets a connection in. Where there is no place, the one of least worth is told to leave; none at all is to be
    /// had only while a query is open on each.
    pub async fn admit(self: &Rc<Self>, source: Source, longest: Duration) -> Option<ConnectionPermit> {
        let place = loop {
            let freed = self.places.wait_for_release();
            match self.places.try_acquire(DescriptorClass::Clients) {
                Ok(place) => break place,
                Err(DescriptorDenied::Exhausted) if !self.leaving() => return None,
                Err(_) => {}
            }
            if tokio::time::timeout(longest, freed).await.is_err() {
                return None;
            }
        };
        let now = self.places.now();
        let id = self.crowd.borrow_mut().accept(now, source);
        let signal = Rc::new(Signal::default());
        self.signals.borrow_mut().insert(id, signal.clone());
        self.places.counters.borrow_mut().admitted += 1;
        self.loosened.notify_one();
        let bytes = BufferReservation::new(&self.places);
        let waited = Cell::default();
        let pass =
            ConnectionPermit { gate: self.clone(), id, place, signal, buffer_reservation: bytes, waited };
        // The next one who comes is to find a place free. It is made only now, so that it costs nobody theirs before
        // it is needed, and so that the newcomer is judged beside the others.
        let (free, door) = self.places.descriptors(|all| (all.free(), all.budget().headroom));
        if free < door
            && let Some(lender) = self.places.descriptors(|all| all.lender(DescriptorClass::Clients))
        {
            match lender {
                DescriptorClass::Clients => self.make_room(),
                other => self.places.reclaim(other),
            }
        }
        Some(pass)
    }

    /// Whether anyone has been told to leave who has not left yet.
    fn leaving(&self) -> bool {
        let crowd = self.crowd.borrow();
        self.signals.borrow().keys().any(|id| !crowd.is_evictable(*id) && !crowd.is_busy(*id))
    }

    fn make_room(&self) {
        let chosen = self.crowd.borrow_mut().evict(self.places.now());
        if let Some((id, why)) = chosen {
            self.places.counters.borrow_mut().evicted_early += 1;
            self.tell(id, why);
        }
    }

    fn tell(&self, id: u64, why: EvictionReason) {
        self.places.counters.borrow_mut().count_eviction(why);
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.why.set(Some(why));
            signal.told.notify_one();
        }
    }

    /// Tells those to leave whose time is up, and those whose place another side needs, for as long as the process
    /// lives.
    pub async fn run_evictions(&self) {
        let (mut said, mut said_at) = (0, self.places.now());
        loop {
            if !self.crowd.borrow().has_evictable() {
                tokio::select! {
                    () = self.loosened.notified() => {}
                    () = self.places.wait_for_reclaim(DescriptorClass::Clients) => continue,
                }
            }
            let pressure = self.pressure();
            let due = self.crowd.borrow().next_deadline(pressure);
            let now = self.places.now();
            let due = due.map_or(TICK, |due| due.since(now)).min(TICK);
            tokio::select! {
                () = self.places.wait_for_reclaim(DescriptorClass::Clients) => self.make_room(),
                () = tokio::time::sleep_until(self.places.instant_at(now.after(due))) => {}
            }
            let pressure = self.pressure();
            let late = self.crowd.borrow_mut().evict_expired(self.places.now(), pressure);
            late.into_iter().for_each(|(id, why)| self.tell(id, why));
            let now = self.places.now();
            let early = self.places.counters.borrow().evicted_early;
            if early > said && now.since(said_at) >= TELL {
                let left = self.places.counters.borrow().evicted.map(|count| count.to_string()).join(" ");
                log::warn!(
                    "crowded: {} clients, {} left for others; since the start, silent, slow, asked once, marked, idle and over share: {left}",
                    self.open_connections(),
                    early - said
                );
                (said, said_at) = (early, now);
            }
        }
    }
}

/// A client's connection, from its being let in to its end.
pub struct ConnectionPermit {
    gate: Rc<ConnectionManager>,
    id: u64,
    place: DescriptorPermit,
    signal: Rc<Signal>,
    /// What is buffered for it.
    pub buffer_reservation: BufferReservation,
    /// How long it may have waited to be let in.
    waited: Cell<Duration>,
}

impl ConnectionPermit {
    /// The gate that it came through.
    pub fn connection_manager(&self) -> &ConnectionManager {
        &self.gate
    }
    fn crowd<T>(&self, change: impl FnOnce(&mut ClientConnections) -> T) -> T {
        change(&mut self.gate.crowd.borrow_mut())
    }

    /// It may have waited for so long to be let in.
    pub fn set_queue_time(&self, waited: Duration) {
        self.waited.set(waited);
    }
    /// How long its next request may have waited unread: only the first of a connection does.
    pub fn take_queue_time(&self) -> Duration {
        self.waited.take()
    }

    /// Waits until it is told to leave.
    pub async fn evicted(&self) -> EvictionReason {
        loop {
            match self.signal.why.take() {
                Some(why) => return why,
                None => self.signal.told.notified().await,
            }
        }
    }
    /// Bytes of a request have come, which is not all there yet. One that was told to leave stays.
    pub fn on_bytes_received(&self, bytes: usize) {
        if self.signal.why.take().is_some() {
            self.gate.places.counters.borrow_mut().eviction_cancelled += 1;
        }
        self.crowd(|crowd| crowd.receive_bytes(self.gate.places.now(), self.id, bytes));
    }
    /// The client has said who it is.
    pub fn set_source(&self, source: Source) {
        self.crowd(|crowd| crowd.set_source(self.id, source));
    }
    /// Its request is all there; false where it cannot be served without touching what others are promised.
    pub fn try_begin_request(&self) -> bool {
        let pinned = self.place.try_mark_busy();
        if pinned {
            self.signal.why.take();
            self.crowd(|crowd| crowd.start_query(self.gate.places.now(), self.id));
        } else {
            self.gate.places.counters.borrow_mut().rejected_no_descriptor += 1;
            self.crowd(|crowd| crowd.reject_malformed(self.gate.places.now(), self.id));
        }
        pinned
    }
    /// Its request has had its answer.
    pub fn on_response_sent(&self, record: RequestValidity) {
        self.place.mark_idle();
        self.crowd(|crowd| crowd.finish_query(self.gate.places.now(), self.id, record));
        self.gate.loosened.notify_one();
    }
    /// Counts something of it.
    pub fn update_counters(&self, change: impl FnOnce(&mut ConnectionCounters)) {
        change(&mut self.gate.places.counters.borrow_mut());
    }
    /// What it sent was no request.
    pub fn on_malformed_input(&self) {
        self.crowd(|crowd| crowd.reject_malformed(self.gate.places.now(), self.id));
    }
    /// It stays after all: a request came as it was to leave.
    pub fn cancel_eviction(&self, bytes: usize) {
        self.gate.places.counters.borrow_mut().eviction_cancelled += 1;
        self.crowd(|crowd| crowd.receive_bytes(self.gate.places.now(), self.id, bytes));
    }
    /// Its close crossed a request.
    pub fn on_request_after_close(&self) {
        self.gate.places.counters.borrow_mut().close_races += 1;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.crowd(|crowd| crowd.close(self.id));
        self.gate.signals.borrow_mut().remove(&self.id);
    }
}
