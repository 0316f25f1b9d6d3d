//! The clients' connections of one process: who is admitted, who is evicted, and how all of them learn that they are to
//! end. It owns the set of open connections and the process's lifecycle. It reads and writes no bytes; the order and the
//! time limits of evictions are decided in [`crate::limits::client_connections`].

use super::connection_permit::ConnectionPermit;
use crate::limits::client_connections::{EVICTION_REASONS, EvictionReason, Source};
use crate::limits::{ClientConnections, DescriptorClass, DescriptorDenied, ResourcePressure};
use crate::service::lifecycle::{LifecycleError, LifecycleRequest};
use crate::service::{Lifecycle, LifecycleState};
use crate::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How often time limits are checked while any connection could be evicted: they move with pressure.
const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often other tasks get a turn, after the wait for a descriptor has taken its whole time, before a new connection is
/// rejected: an evicted connection needs a turn to notice it, one to see what has arrived, and some to write and close.
const YIELDS_BEFORE_REJECTION: usize = 8;
/// The least time between two log lines about early evictions.
const EVICTION_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The clients' connections of one process, and what notifies them that they are to end.
pub struct ConnectionManager {
    descriptor_pool: Rc<DescriptorPool>,
    pub(super) connections: RefCell<ClientConnections>,
    pub(super) evictions: RefCell<HashMap<u64, Rc<Eviction>>>,
    /// Notified when a connection has become evictable.
    pub(super) evictable: Notify,
    lifecycle: RefCell<Lifecycle>,
    lifecycle_state: watch::Sender<LifecycleState>,
}

/// Notifies one connection's task that it is to close.
#[derive(Default)]
pub(super) struct Eviction {
    pub(super) reason: Cell<Option<EvictionReason>>,
    pub(super) requested: Notify,
}

impl ConnectionManager {
    /// Creates the manager of a process that serves; its connections take their descriptors from this pool.
    pub fn new(descriptor_pool: Rc<DescriptorPool>) -> Rc<ConnectionManager> {
        let lifecycle = Lifecycle::new(descriptor_pool.now());
        Rc::new(ConnectionManager {
            descriptor_pool,
            connections: RefCell::default(),
            evictions: RefCell::default(),
            evictable: Notify::new(),
            lifecycle_state: watch::Sender::new(lifecycle.state()),
            lifecycle: RefCell::new(lifecycle),
        })
    }
    /// The state that the process is in now. It is advanced first: after a pause of the whole process, sockets are read
    /// before its timers have run, and the state would be taken as if no time had passed.
    pub fn lifecycle_state(&self) -> LifecycleState {
        self.advance_lifecycle();
        *self.lifecycle_state.borrow()
    }
    fn advance_lifecycle(&self) {
        self.lifecycle.borrow_mut().advance(self.descriptor_pool.now());
        self.publish_lifecycle_state();
    }
    /// Applies a request to the lifecycle.
    ///
    /// # Errors
    /// The request is not possible in the present state, which stays as it is.
    pub fn apply_lifecycle(&self, request: LifecycleRequest) -> Result<(), LifecycleError> {
        let applied = self.lifecycle.borrow_mut().apply(self.descriptor_pool.now(), request);
        self.publish_lifecycle_state();
        applied
    }
    fn publish_lifecycle_state(&self) {
        let state = self.lifecycle.borrow().state();
        self.lifecycle_state.send_if_modified(|published| {
            let previous = std::mem::replace(published, state);
            if previous != state {
                log::info!(
                    "lifecycle state changed: from={previous:?} to={state:?} open_connections={}",
                    self.open_connections()
                );
            }
            previous != state
        });
    }
    /// Advances the lifecycle whenever a deadline of it passes, for as long as the process lives.
    pub async fn run_lifecycle_timers(&self) {
        let mut state = self.lifecycle_state.subscribe();
        loop {
            let deadline = self.lifecycle.borrow().next_deadline();
            tokio::select! {
                // The sender lives as long as the manager, so waiting cannot fail.
                _ = state.changed() => {}
                () = tokio::time::sleep_until(self.descriptor_pool.instant_at(deadline.unwrap_or_default())), if deadline.is_some() => {
                    self.advance_lifecycle();
                }
            }
        }
    }
    /// The pool that connections take their descriptors from.
    pub fn descriptor_pool(&self) -> &Rc<DescriptorPool> {
        &self.descriptor_pool
    }
    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }
    /// Waits for the state in which new queries are no longer accepted.
    pub async fn wait_for_closing(&self) {
        self.wait_for_state(|state| !state.accepts_queries()).await;
    }
    /// Waits until connections are to close as soon as nothing is in flight on them.
    pub async fn wait_for_idle_close(&self) {
        self.wait_for_state(LifecycleState::closes_idle_connections).await;
    }
    /// Waits until new connections are no longer accepted.
    pub async fn wait_for_accept_end(&self) {
        self.wait_for_state(|state| !state.accepts_connections()).await;
    }
    async fn wait_for_state(&self, is_reached: impl Fn(LifecycleState) -> bool) {
        let mut state = self.lifecycle_state.subscribe();
        // The sender lives as long as the manager, so waiting cannot fail.
        let _ = state.wait_for(|state| is_reached(*state)).await;
    }

    /// How scarce descriptors are for clients. The clients' own level counts beside that of the process: their guaranteed
    /// part is less than the whole, and clients that stay after a single request take it from those that come back.
    pub fn pressure(&self) -> ResourcePressure {
        let guaranteed = self
            .descriptor_pool
            .descriptors(|allocator| allocator.budget().floors[DescriptorClass::Clients as usize]);
        ResourcePressure::from_usage(self.open_connections(), guaranteed / 3, guaranteed * 3 / 4)
            .max(self.descriptor_pool.pressure())
    }

    /// Admits a connection, waiting at most `timeout` for each release of a descriptor. `None` where none is to be had:
    /// a query is in flight on every connection, or no release came in time.
    pub async fn admit(self: &Rc<Self>, source: Source, timeout: Duration) -> Option<ConnectionPermit> {
        let descriptor = self.acquire_descriptor(timeout).await?;
        let now = self.descriptor_pool.now();
        let id = self.connections.borrow_mut().accept(now, source);
        let eviction = Rc::new(Eviction::default());
        self.evictions.borrow_mut().insert(id, eviction.clone());
        self.descriptor_pool.counters.borrow_mut().admitted += 1;
        self.evictable.notify_one();
        let permit = ConnectionPermit::new(self.clone(), id, descriptor, eviction);
        // The next connection is to find a free descriptor. It is freed only now, so that nobody is evicted before it is
        // needed, and so that the new connection is compared with the others.
        let (free, headroom) =
            self.descriptor_pool.descriptors(|allocator| (allocator.free(), allocator.budget().headroom));
        if free < headroom
            && let Some(lender) =
                self.descriptor_pool.descriptors(|allocator| allocator.lender(DescriptorClass::Clients))
        {
            match lender {
                DescriptorClass::Clients => self.evict_one(),
                other => self.descriptor_pool.reclaim(other),
            }
        }
        Some(permit)
    }

    /// Acquires a client's descriptor, waiting at most `timeout` for each release.
    async fn acquire_descriptor(self: &Rc<Self>, timeout: Duration) -> Option<DescriptorPermit> {
        loop {
            let released = self.descriptor_pool.wait_for_release();
            match self.descriptor_pool.try_acquire(DescriptorClass::Clients) {
                Ok(descriptor) => return Some(descriptor),
                Err(DescriptorDenied::Exhausted) if !self.eviction_in_progress() => return None,
                Err(_) => {}
            }
            if tokio::time::timeout(timeout, released).await.is_err() {
                // After a pause of the whole process the limit passes before the evicted connections have had a turn to
                // close: the yields let them.
                for _ in 0..YIELDS_BEFORE_REJECTION {
                    tokio::task::yield_now().await;
                }
                return self.descriptor_pool.try_acquire(DescriptorClass::Clients).ok();
            }
        }
    }

    /// Whether any connection has been evicted and is not closed yet.
    fn eviction_in_progress(&self) -> bool {
        let connections = self.connections.borrow();
        self.evictions.borrow().keys().any(|id| !connections.is_evictable(*id) && !connections.is_busy(*id))
    }

    fn evict_one(&self) {
        let victim = self.connections.borrow_mut().evict(self.descriptor_pool.now());
        self.evict_early(victim);
    }

    /// Evicts a connection because accepts fail for want of descriptors outside the budget. New connections are spared:
    /// another accept is tried soon in any case.
    pub(super) fn evict_after_accept_error(&self) {
        let victim = self.connections.borrow_mut().evict_past_min_residence(self.descriptor_pool.now());
        self.evict_early(victim);
    }

    fn evict_early(&self, victim: Option<(u64, EvictionReason)>) {
        if let Some((id, reason)) = victim {
            self.descriptor_pool.counters.borrow_mut().evicted_early += 1;
            self.notify_evicted(id, reason);
        }
    }

    fn notify_evicted(&self, id: u64, reason: EvictionReason) {
        self.descriptor_pool.counters.borrow_mut().count_eviction(reason);
        if let Some(eviction) = self.evictions.borrow().get(&id) {
            eviction.reason.set(Some(reason));
            eviction.requested.notify_one();
        }
    }

    /// Evicts connections whose time limit has passed, and one for each descriptor that another class reclaims, for as
    /// long as the process lives.
    pub async fn run_evictions(&self) {
        let (mut logged_count, mut logged_at) = (0, self.descriptor_pool.now());
        loop {
            if !self.connections.borrow().has_evictable() {
                tokio::select! {
                    () = self.evictable.notified() => {}
                    () = self.descriptor_pool.wait_for_reclaim(DescriptorClass::Clients) => continue,
                }
            }
            let pressure = self.pressure();
            let deadline = self.connections.borrow().next_deadline(pressure);
            let now = self.descriptor_pool.now();
            let wait = deadline
                .map_or(EVICTION_CHECK_INTERVAL, |deadline| deadline.since(now))
                .min(EVICTION_CHECK_INTERVAL);
            tokio::select! {
                () = self.descriptor_pool.wait_for_reclaim(DescriptorClass::Clients) => self.evict_one(),
                () = tokio::time::sleep_until(self.descriptor_pool.instant_at(now.after(wait))) => {}
            }
            let pressure = self.pressure();
            let expired = self.connections.borrow_mut().evict_expired(self.descriptor_pool.now(), pressure);
            expired.into_iter().for_each(|(id, reason)| self.notify_evicted(id, reason));
            let now = self.descriptor_pool.now();
            let early_evictions = self.descriptor_pool.counters.borrow().evicted_early;
            if early_evictions > logged_count && now.since(logged_at) >= EVICTION_LOG_INTERVAL {
                let by_reason = self.evictions_by_reason();
                log::warn!(
                    "connections evicted early: open_connections={} evicted_early={} since_start: {by_reason}",
                    self.open_connections(),
                    early_evictions - logged_count
                );
                (logged_count, logged_at) = (early_evictions, now);
            }
        }
    }

    /// All evictions since the start of the process, as `reason=count` pairs.
    fn evictions_by_reason(&self) -> String {
        let counters = self.descriptor_pool.counters.borrow();
        let pairs = EVICTION_REASONS.map(|reason| format!("{reason}={}", counters.evicted[reason as usize]));
        pairs.join(" ")
    }
}
