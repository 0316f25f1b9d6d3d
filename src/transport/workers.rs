//! The connection pool for workers: a few connections to each worker, many parts in flight on a connection, and an
//! exact outcome for every attempt.
//!
//! Assigns each call to a connection, takes back calls that are cancelled before they are written, and reports the
//! outcome of parts in flight on a connection that ends. Does not choose workers. The choice of a connection and the
//! order in which new ones are opened are in [`crate::limits::connection_pool`].

mod connection;
mod session;
mod worker;

use super::connector::Connector;
use super::descriptor_pool::DescriptorPool;
use crate::limits::DescriptorClass;
use crate::limits::connection_pool::{self, CallIdempotency, ConnectionChoice, PooledConnection};
use crate::policy::{AttemptOutcome, WorkerId};
use crate::routing::{AttemptCompletion, AttemptId, Broker, Dispatch, WorkerTransport};
use connection::Connection;
use session::{Disconnect, Shared};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use worker::Worker;

/// The most connections to one worker.
const MAX_CONNECTIONS_PER_WORKER: usize = 4;
/// A connection is unresponsive when no byte has been read on it for this fraction of the shortest latency objective:
/// 250 ms where that is 2.5 s.
const UNRESPONSIVE_FRACTION: f64 = 0.1;

/// The connections to all workers.
#[derive(Clone)]
pub struct Workers(Rc<Pool>);

struct Pool {
    shared: Shared,
    /// A connection on which nothing is read for this long after a call was written is unresponsive: it gets no further
    /// calls, and is retired when that call is cancelled.
    unresponsive_after: Duration,
    /// Whether workers accept frames that cancel a part.
    may_cancel: bool,
    workers: RefCell<HashMap<WorkerId, Worker>>,
}

impl Workers {
    /// Creates the pool without connections. They are opened on demand, as descriptors allow.
    pub fn new(broker: Broker, connector: Rc<dyn Connector>, descriptor_pool: Rc<DescriptorPool>) -> Workers {
        let contracts = broker.with_core(|core| core.contracts().clone());
        let (limits, settings) = (contracts.limits, contracts.settings);
        // A machine that fails without closing its connections leaves them open and silent. The time after which that
        // counts as unresponsive follows from the latency objectives.
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let unresponsive_after = objectives.min().unwrap_or_default().mul_f64(UNRESPONSIVE_FRACTION);
        let report_fields = settings.report_fields;
        let shared = Shared { broker, connector, limits, descriptor_pool, report_fields };
        let (may_cancel, workers) = (settings.may_cancel, RefCell::default());
        Workers(Rc::new(Pool { shared, unresponsive_after, may_cancel, workers }))
    }

    fn report_outcomes(&self, attempts: Vec<AttemptId>, outcome: AttemptOutcome) {
        attempts.into_iter().for_each(|attempt_id| {
            let completion = AttemptCompletion::without_value(outcome);
            self.0.shared.broker.on_attempt_finished(attempt_id, completion);
        });
    }

    /// Returns the connection for a call: an open one, or one that is being opened. `None` where the worker is unknown
    /// or accepts no calls.
    fn connection_for(&self, id: WorkerId, parts: &[Dispatch]) -> Option<Rc<Connection>> {
        let idempotency = if parts.iter().any(|part| part.at_most_once) {
            CallIdempotency::NonIdempotent
        } else {
            CallIdempotency::Idempotent
        };
        let mut workers = self.0.workers.borrow_mut();
        let worker = workers.get_mut(&id).filter(|worker| worker.accepts_calls)?;
        let pooled = self.pooled_connections(worker, parts);
        match connection_pool::choose_connection(idempotency, &pooled, MAX_CONNECTIONS_PER_WORKER) {
            ConnectionChoice::Reuse(index) => worker.connections.get(index).cloned(),
            ConnectionChoice::OpenNew => Some(self.open_connection(id, worker, parts)),
        }
    }

    /// Lists a worker's connections, in order, as candidates for a call of these parts.
    fn pooled_connections(&self, worker: &Worker, parts: &[Dispatch]) -> Vec<PooledConnection> {
        let Shared { descriptor_pool, limits, .. } = &self.0.shared;
        // The descriptor of an idle connection is idle too, so using the connection needs a descriptor that may be
        // busy.
        let can_mark_busy =
            descriptor_pool.descriptors(|allocator| allocator.can_mark_busy(DescriptorClass::Workers));
        let accepts_parts = |connection: &Connection| {
            connection.accepts(parts, limits.max_parts_per_connection, self.0.unresponsive_after)
        };
        let pooled = worker.connections.iter().map(|connection| PooledConnection {
            in_flight: connection.parts_in_flight(),
            has_capacity: accepts_parts(connection) && (can_mark_busy || !connection.is_idle()),
            accepts_calls: !connection.is_retired(),
        });
        pooled.collect()
    }

    /// Adds a connection to a worker and starts opening it, for the shortest time left among these parts.
    fn open_connection(&self, id: WorkerId, worker: &mut Worker, parts: &[Dispatch]) -> Rc<Connection> {
        let connection = Rc::new(Connection::new(&worker.address));
        worker.connections.push(connection.clone());
        let now = self.0.shared.broker.now();
        let time_left = parts.iter().map(|part| part.time_left(now)).min().unwrap_or_default();
        tokio::task::spawn_local(self.clone().run_connection(id, connection.clone(), time_left));
        connection
    }

    /// Opens a connection, serves it until it ends, and reports the outcomes of the parts then in flight on it.
    async fn run_connection(self, id: WorkerId, connection: Rc<Connection>, time_left: Duration) {
        let disconnect = session::run(&self.0.shared, id, &connection, time_left).await;
        connection.retire();
        self.count_disconnect(&disconnect);
        self.remove_connection(id, &connection, disconnect.reason());
        connection.descriptor.take();
        for part in connection.take_parts() {
            let completion = AttemptCompletion::without_value(disconnect.outcome_of(&part));
            self.0.shared.broker.on_attempt_finished(part.attempt_id, completion);
        }
    }

    fn count_disconnect(&self, disconnect: &Disconnect) {
        let mut counters = self.0.shared.descriptor_pool.counters.borrow_mut();
        *match disconnect {
            Disconnect::Closed(_) => &mut counters.worker_connections_closed,
            Disconnect::Untrusted(_) => &mut counters.worker_connections_untrusted,
            Disconnect::Unopened(_) => &mut counters.worker_connections_unopened,
        } += 1;
    }

    /// Removes a connection that has ended from the pool, and workers that are neither listed nor connected.
    fn remove_connection(&self, id: WorkerId, connection: &Rc<Connection>, reason: &str) {
        let mut workers = self.0.workers.borrow_mut();
        if let Some(worker) = workers.get_mut(&id) {
            worker.connections.retain(|other| !Rc::ptr_eq(other, connection));
            if !connection.is_idle() {
                log::warn!(
                    "worker {} at {}: connection ended with parts in flight: {reason}",
                    worker.name,
                    connection.address
                );
            }
        }
        workers.retain(|_, worker| worker.is_needed());
    }

    /// Closes the connection that has been idle the longest whenever a descriptor of this class is reclaimed. Runs
    /// until the process ends.
    pub async fn close_idle_on_reclaim(self) {
        let descriptor_pool = &self.0.shared.descriptor_pool;
        loop {
            descriptor_pool.wait_for_reclaim(DescriptorClass::Workers).await;
            let workers = self.0.workers.borrow();
            let connections = workers.values().flat_map(|worker| &worker.connections);
            let idle = connections.filter(|connection| connection.is_evictable());
            if let Some(connection) = idle.min_by_key(|connection| connection.last_used.get()) {
                descriptor_pool.counters.borrow_mut().worker_connections_evicted += 1;
                connection.retire();
            }
        }
    }
}

impl WorkerTransport for Workers {
    fn upsert_worker(&self, id: WorkerId, name: &str, address: &str, accepts_work: bool) {
        let mut workers = self.0.workers.borrow_mut();
        let worker = workers.entry(id).or_insert_with(|| Worker::new(name, address));
        worker.listed = true;
        let unsent = if accepts_work { Vec::new() } else { worker.stop() };
        worker.accepts_calls = accepts_work;
        if worker.address != address {
            worker.address = address.to_owned();
            worker.retire();
        }
        drop(workers);
        self.report_outcomes(unsent, AttemptOutcome::NotSent);
    }

    fn remove_worker(&self, id: WorkerId) {
        let mut workers = self.0.workers.borrow_mut();
        let Some(worker) = workers.get_mut(&id) else { return };
        let unsent = worker.stop();
        worker.listed = false;
        // Responses to parts in flight are still read from the retired connections.
        worker.retire();
        workers.retain(|_, worker| worker.is_needed());
        drop(workers);
        self.report_outcomes(unsent, AttemptOutcome::NotSent);
    }

    fn call(&self, id: WorkerId, parts: Vec<Dispatch>) {
        let Some(connection) = self.connection_for(id, &parts) else {
            let attempts = parts.iter().map(|part| part.attempt_id).collect();
            return self.report_outcomes(attempts, AttemptOutcome::NotSent);
        };
        let at_most_once = parts.iter().any(|part| part.at_most_once);
        connection.send(parts);
        // A connection that carries a non-idempotent call is not shared, and is closed once the call has finished.
        if at_most_once {
            connection.retire();
        }
    }

    fn cancel_if_unsent(&self, id: WorkerId, attempt_id: AttemptId) {
        let workers = self.0.workers.borrow();
        let connections = workers.get(&id).into_iter().flat_map(|worker| &worker.connections);
        let unsent = connections.filter_map(|connection| connection.cancel_if_unsent(attempt_id)).collect();
        drop(workers);
        self.report_outcomes(unsent, AttemptOutcome::NotSent);
    }

    fn cancel(&self, id: WorkerId, attempt_id: AttemptId) {
        let workers = self.0.workers.borrow();
        if let Some(worker) = workers.get(&id) {
            let (unresponsive_after, notify_worker) = (self.0.unresponsive_after, self.0.may_cancel);
            worker
                .connections
                .iter()
                .any(|connection| connection.cancel(attempt_id, unresponsive_after, notify_worker));
        }
    }
}
