//! Admission and eviction of the clients' connections of one process, and their end in a shutdown.
//!
//! Owns the set of open connections and the lifecycle of the process. Reads and writes no bytes. The order and the time
//! limits of evictions are in [`crate::limits::client_connections`].

use super::connection_permit::ConnectionPermit;
use crate::limits::client_connections::{EVICTION_REASONS, EvictionReason, Source};
use crate::limits::{ClientConnections, DescriptorClass, DescriptorDenied, ResourcePressure};
use crate::service::lifecycle::{LifecycleError, LifecycleRequest};
use crate::service::{Lifecycle, LifecycleState};
use crate::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use crate::transport::task_scheduler::ScheduledTask;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How often time limits are checked while any connection is evictable: they change with the pressure.
const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How many times other tasks run, after the wait for a descriptor has timed out, before a new connection is rejected.
/// An evicted connection needs one turn to notice its eviction, one to read what has arrived, and some to write and
/// close.
const YIELDS_BEFORE_REJECTION: usize = 8;
/// The minimum interval between two log lines about early evictions.
const EVICTION_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The clients' connections of one process, and the channels that tell them to close.
pub struct ConnectionManager {
    descriptor_pool: Rc<DescriptorPool>,
    pub(super) connections: RefCell<ClientConnections>,
    /// The eviction channel of each open connection, by its id.
    pub(super) evictions: RefCell<HashMap<u64, Rc<Eviction>>>,
    /// Notified when a connection becomes evictable.
    pub(super) evictable: Notify,
    lifecycle: RefCell<Lifecycle>,
    lifecycle_state: watch::Sender<LifecycleState>,
}

/// Tells the task of one connection to close it.
pub(super) struct Eviction {
    pub(super) task: Rc<ScheduledTask>,
    pub(super) reason: Cell<Option<EvictionReason>>,
    pub(super) requested: Notify,
}

impl ConnectionManager {
    /// Creates the manager of a process in the state `Serving`. Connections take their descriptors from this pool.
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
    /// The present lifecycle state. The lifecycle is advanced first: after a pause of the whole process, sockets are
    /// read before the timers have run, and the state would be out of date.
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
    /// The request is not possible in the present state. The state does not change then.
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
    /// Advances the lifecycle at each of its deadlines, until the process ends.
    pub async fn run_lifecycle_timers(&self) {
        let mut state = self.lifecycle_state.subscribe();
        loop {
            let deadline = self.lifecycle.borrow().next_deadline();
            tokio::select! {
                // The sender lives as long as the manager, so this wait cannot fail.
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
    /// Waits for a state in which connections are closed as soon as nothing is in flight on them.
    pub async fn wait_for_idle_close(&self) {
        self.wait_for_state(LifecycleState::closes_idle_connections).await;
    }
    /// Waits for a state in which new connections are no longer accepted.
    pub async fn wait_for_accept_end(&self) {
        self.wait_for_state(|state| !state.accepts_connections()).await;
    }
    async fn wait_for_state(&self, is_reached: impl Fn(LifecycleState) -> bool) {
        let mut state = self.lifecycle_state.subscribe();
        // The sender lives as long as the manager, so this wait cannot fail.
        let _ = state.wait_for(|state| is_reached(*state)).await;
    }

    /// The pressure on clients' connections: that of the process, or that on the descriptors guaranteed to clients if
    /// it is greater. The latter counts because the guaranteed descriptors are fewer than all, and clients that keep a
    /// connection after a single request take them from clients that return.
    pub fn pressure(&self) -> ResourcePressure {
        let guaranteed = self
            .descriptor_pool
            .descriptors(|allocator| allocator.budget().floors[DescriptorClass::Clients as usize]);
        ResourcePressure::from_usage(self.open_connections(), guaranteed / 3, guaranteed * 3 / 4)
            .max(self.descriptor_pool.pressure())
    }

    /// Admits a connection, waiting at most `timeout` for each release of a descriptor. `None` if there is no
    /// descriptor for it: a query is in flight on every connection, or none was released in time.
    pub async fn admit(self: &Rc<Self>, source: Source, timeout: Duration) -> Option<ConnectionPermit> {
        let descriptor = self.acquire_descriptor(timeout).await?;
        let now = self.descriptor_pool.now();
        let id = self.connections.borrow_mut().accept(now, source);
        let task = self.descriptor_pool.scheduler().add(source);
        let eviction = Rc::new(Eviction { task, reason: Cell::default(), requested: Notify::new() });
        self.evictions.borrow_mut().insert(id, eviction.clone());
        self.descriptor_pool.counters.borrow_mut().admitted += 1;
        self.evictable.notify_one();
        let permit = ConnectionPermit::new(self.clone(), id, descriptor, eviction);
        // Keep a descriptor free for the next connection. Evicting only now avoids evictions before they are needed,
        // and includes the new connection among the candidates.
        let (free, headroom) =
            self.descriptor_pool.descriptors(|allocator| (allocator.free(), allocator.budget().headroom));
        if free < headroom
            && let Some(reclaimed_class) = self
                .descriptor_pool
                .descriptors(|allocator| allocator.class_to_reclaim_for(DescriptorClass::Clients))
        {
            match reclaimed_class {
                DescriptorClass::Clients => self.evict_one(),
                other => self.descriptor_pool.reclaim(other),
            }
        }
        Some(permit)
    }

    /// Acquires a descriptor for a client, waiting at most `timeout` for each release.
    async fn acquire_descriptor(self: &Rc<Self>, timeout: Duration) -> Option<DescriptorPermit> {
        loop {
            let released = self.descriptor_pool.wait_for_release();
            match self.descriptor_pool.try_acquire(DescriptorClass::Clients) {
                Ok(descriptor) => return Some(descriptor),
                Err(DescriptorDenied::Exhausted) if !self.eviction_in_progress() => return None,
                Err(_) => {}
            }
            if tokio::time::timeout(timeout, released).await.is_err() {
                // After a pause of the whole process, the time-out passes before evicted connections have had a chance
                // to close. The yields let their tasks run.
                for _ in 0..YIELDS_BEFORE_REJECTION {
                    tokio::task::yield_now().await;
                }
                return self.descriptor_pool.try_acquire(DescriptorClass::Clients).ok();
            }
        }
    }

    /// Whether any connection was told to close and has not closed yet.
    fn eviction_in_progress(&self) -> bool {
        let connections = self.connections.borrow();
        self.evictions.borrow().keys().any(|id| !connections.is_evictable(*id) && !connections.is_busy(*id))
    }

    /// Evicts the first connection of the eviction order.
    fn evict_one(&self) {
        let victim = self.connections.borrow_mut().evict(self.descriptor_pool.now());
        self.evict_early(victim);
    }

    /// Evicts a connection because accepts fail for lack of descriptors outside the budget. Connections within their
    /// minimum residence are not evicted, since accepting is retried soon in any case.
    pub(super) fn evict_after_accept_error(&self) {
        let victim = self.connections.borrow_mut().evict_past_min_residence(self.descriptor_pool.now());
        self.evict_early(victim);
    }

    /// Counts and notifies a connection that is evicted before its time limit has passed.
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
            eviction.task.set_closing(true);
            eviction.requested.notify_one();
        }
    }

    /// Evicts connections whose time limit has passed, and one for each descriptor that another class reclaims. Runs
    /// until the process ends.
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

    /// Formats the evictions since the start of the process as `reason=count` pairs.
    fn evictions_by_reason(&self) -> String {
        let counters = self.descriptor_pool.counters.borrow();
        let pairs = EVICTION_REASONS.map(|reason| format!("{reason}={}", counters.evicted[reason as usize]));
        pairs.join(" ")
    }
}
