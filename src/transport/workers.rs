//! The connection pool for workers: a few connections to each, many parts on a connection, and the exact outcome of every
//! attempt.
//!
//! It gives each call a connection, takes back what is not to be sent, and reports the outcome of what is in flight on a
//! connection that ends. It never chooses a worker; which connection carries a call, and which call may open the next, is
//! decided in [`crate::limits::connection_pool`].

mod connection;
mod session;
mod worker;

use super::connector::Connector;
use super::descriptor_pool::DescriptorPool;
use crate::limits::DescriptorClass;
use crate::limits::connection_pool::{self, ConnectionChoice, PooledConnection};
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
/// The fraction of the shortest latency objective without a byte read that makes a connection unresponsive: 250 ms of
/// 2.5 s.
const UNRESPONSIVE_FRACTION: f64 = 0.1;

/// All connections to workers.
#[derive(Clone)]
pub struct Workers(Rc<Pool>);

struct Pool {
    shared: Shared,
    /// How long after a written call a connection may be silent: past that it gets no further calls, and is retired when
    /// that call is cancelled.
    unresponsive_after: Duration,
    /// Whether a worker may be sent a frame that cancels a part.
    may_cancel: bool,
    workers: RefCell<HashMap<WorkerId, Worker>>,
}

impl Workers {
    /// Starts without connections; they are opened as calls need them and descriptors allow.
    pub fn new(broker: Broker, connector: Rc<dyn Connector>, descriptor_pool: Rc<DescriptorPool>) -> Workers {
        let contracts = broker.with_core(|core| core.contracts().clone());
        let (limits, settings) = (contracts.limits, contracts.settings);
        // A machine that vanished keeps its connections open: how long a silence may last goes by the latency objectives.
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

    /// The connection for a call, where the worker accepts any.
    fn connection_for(&self, id: WorkerId, parts: &[Dispatch]) -> Option<Rc<Connection>> {
        let at_most_once = parts.iter().any(|part| part.at_most_once);
        let mut workers = self.0.workers.borrow_mut();
        let worker = workers.get_mut(&id).filter(|worker| worker.accepts_calls)?;
        let pooled = self.pooled_connections(worker, parts);
        match connection_pool::choose_connection(at_most_once, &pooled, MAX_CONNECTIONS_PER_WORKER) {
            ConnectionChoice::Reuse(index) => worker.connections.get(index).cloned(),
            ConnectionChoice::OpenNew => Some(self.open_connection(id, worker, parts)),
        }
    }

    /// Describes a worker's connections, in their order, as candidates for a call of these parts.
    fn pooled_connections(&self, worker: &Worker, parts: &[Dispatch]) -> Vec<PooledConnection> {
        let Shared { descriptor_pool, limits, .. } = &self.0.shared;
        // An idle connection's descriptor is idle too, and has to be made busy again.
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

    /// Adds a connection to a worker, and begins to open it within the time that is left for these parts.
    fn open_connection(&self, id: WorkerId, worker: &mut Worker, parts: &[Dispatch]) -> Rc<Connection> {
        let connection = Rc::new(Connection::new(&worker.address));
        worker.connections.push(connection.clone());
        let now = self.0.shared.broker.now();
        let time_left = parts.iter().map(|part| part.time_left(now)).min().unwrap_or_default();
        tokio::task::spawn_local(self.clone().run_connection(id, connection.clone(), time_left));
        connection
    }

    /// Opens a connection, serves it to its end, and reports the outcome of what is in flight on it then.
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

    /// Takes a connection that has ended out of the pool, and its worker with it where that is no longer listed.
    fn remove_connection(&self, id: WorkerId, connection: &Rc<Connection>, reason: &str) {
        let mut workers = self.0.workers.borrow_mut();
        if let Some(worker) = workers.get_mut(&id) {
            worker.connections.retain(|other| !Rc::ptr_eq(other, connection));
            if !connection.is_idle() {
                log::warn!("worker {} at {}: {reason}", worker.name, connection.address);
            }
        }
        workers.retain(|_, worker| worker.is_needed());
    }

    /// Closes the connection that has been idle the longest whenever its descriptor is reclaimed, for as long as the
    /// process lives.
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
        // Its connections still deliver the responses to what is in flight on them.
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
        // A connection with a non-idempotent call carries nothing else, and ends with it.
        if at_most_once {
            connection.retire();
        }
    }

    fn cancel_if_unsent(&self, id: WorkerId, attempt_id: AttemptId) {
        let workers = self.0.workers.borrow();
        let connections = workers.get(&id).into_iter().flat_map(|worker| &worker.connections);
        let unsent = connections.flat_map(|connection| connection.cancel_if_unsent(attempt_id)).collect();
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
