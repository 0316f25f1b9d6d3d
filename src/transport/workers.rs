//! The connection pool for workers: a few connections to each, many parts on a connection, and the exact outcome of every
//! attempt. It gives each call a connection, takes back what is not to be sent, and reports what a connection that ended
//! leaves behind. Which connection takes a call, and who may open the next, is decided in [`crate::limits::lines`].

mod connection;
mod session;

use super::connector::Connector;
use super::descriptor_pool::DescriptorPool;
use crate::limits::DescriptorClass;
use crate::limits::connection_pool::{self, ConnectionChoice};
use crate::policy::*;
use crate::routing::{AttemptCompletion, AttemptId, Broker, Dispatch, WorkerTransport};
use connection::Connection;
use session::{Disconnect, Shared};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The most connections to one worker.
const MAX_CONNECTIONS: usize = 4;
/// Share of the shortest aim that is silence, where a written call waits: 250 ms of 2.5 s.
const SILENCE_SHARE: f64 = 0.1;

/// All connections to workers.
#[derive(Clone)]
pub struct Workers(Rc<Pool>);

struct Pool {
    shared: Shared,
    /// Silence after a written call from which a connection takes no further ones, and is given up with that call.
    silence: Duration,
    /// A worker may be told that a part is given up.
    may_cancel: bool,
    workers: RefCell<HashMap<WorkerId, Worker>>,
}

/// A worker, for as long as it is listed or has a connection.
struct Worker {
    name: String,
    address: String,
    /// Discovery lists it.
    listed: bool,
    /// It takes new work.
    open: bool,
    connections: Vec<Rc<Connection>>,
}

impl Worker {
    fn new(name: &str, address: &str) -> Worker {
        let (name, address) = (name.to_owned(), address.to_owned());
        Worker { name, address, listed: true, open: true, connections: Vec::new() }
    }

    /// Sends nothing new to this worker: takes back what waits to be sent.
    fn stop(&mut self) -> Vec<AttemptId> {
        self.open = false;
        self.connections.iter().flat_map(|connection| connection.take_unsent()).collect()
    }

    /// Gives its connections no new calls; each ends once nothing is out on it.
    fn retire(&self) {
        self.connections.iter().for_each(|connection| connection.retire());
    }

    /// Whether there is any use for it.
    fn is_needed(&self) -> bool {
        self.listed || !self.connections.is_empty()
    }
}

impl Workers {
    /// No connections yet; they are opened as calls need them and places allow.
    pub fn new(broker: Broker, dial: Rc<dyn Connector>, places: Rc<DescriptorPool>) -> Workers {
        let contracts = broker.with_core(|core| core.contracts().clone());
        let (limits, settings) = (contracts.limits, contracts.settings);
        // Guards against writing on into a machine that vanished: silence is judged by what answers may take here.
        let aims = settings.classes.iter().map(|class| class.latency_objective);
        let silence = aims.min().unwrap_or_default().mul_f64(SILENCE_SHARE);
        let shared = Shared { broker, dial, limits, places, fields: settings.report_fields };
        let (may_cancel, workers) = (settings.may_cancel, RefCell::default());
        Workers(Rc::new(Pool { shared, silence, may_cancel, workers }))
    }

    fn end_all(&self, tickets: Vec<AttemptId>, outcome: AttemptOutcome) {
        tickets.into_iter().for_each(|ticket| {
            self.0.shared.broker.on_attempt_finished(ticket, AttemptCompletion::without_value(outcome))
        });
    }

    /// The connection for a call, where the worker takes any.
    fn connection(&self, id: WorkerId, parts: &[Dispatch]) -> Option<Rc<Connection>> {
        let at_most_once = parts.iter().any(|part| part.at_most_once);
        let mut workers = self.0.workers.borrow_mut();
        let worker = workers.get_mut(&id).filter(|worker| worker.open)?;
        let Shared { places, limits, .. } = &self.0.shared;
        // An idle connection holds its place loosely, and needs a firm one again.
        let may_pin = places.descriptors(|all| all.can_mark_busy(DescriptorClass::Workers));
        let seen = worker.connections.iter().map(|connection| connection_pool::PooledConnection {
            in_flight: connection.open_calls(),
            has_capacity: connection.accepts(parts, limits.max_parts_per_connection, self.0.silence)
                && (may_pin || !connection.is_idle()),
            accepts_calls: !connection.is_retired(),
        });
        match connection_pool::choose_connection(at_most_once, &seen.collect::<Vec<_>>(), MAX_CONNECTIONS) {
            ConnectionChoice::Reuse(at) => worker.connections.get(at).cloned(),
            ConnectionChoice::OpenNew => {
                let connection = Rc::new(Connection::new(&worker.address));
                worker.connections.push(connection.clone());
                let now = self.0.shared.broker.now();
                let left = parts.iter().map(|part| part.time_left(now)).min().unwrap_or_default();
                tokio::task::spawn_local(self.clone().run(id, connection.clone(), left));
                Some(connection)
            }
        }
    }

    /// The life of one connection.
    async fn run(self, id: WorkerId, connection: Rc<Connection>, left: Duration) {
        let disconnect = session::run(&self.0.shared, id, &connection, left).await;
        connection.retire();
        self.count(&disconnect);
        let (why, unwritten, written) = match disconnect {
            Disconnect::Closed(why) => (why, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionReset),
            Disconnect::Untrusted(why) => (why, AttemptOutcome::ConnectFailed, AttemptOutcome::Failed),
            Disconnect::Unopened(why) => (why, AttemptOutcome::NotSent, AttemptOutcome::ConnectionReset),
        };
        self.forget(id, &connection, &why);
        connection.place.take();
        // After a frame's last byte its parts may have run; before that none can have.
        for call in connection.take_calls() {
            let outcome = if call.written.is_some() { written } else { unwritten };
            self.0.shared.broker.on_attempt_finished(call.ticket, AttemptCompletion::without_value(outcome));
        }
    }

    fn count(&self, disconnect: &Disconnect) {
        let mut tally = self.0.shared.places.counters.borrow_mut();
        *match disconnect {
            Disconnect::Closed(_) => &mut tally.worker_connections_closed,
            Disconnect::Untrusted(_) => &mut tally.worker_connections_untrusted,
            Disconnect::Unopened(_) => &mut tally.worker_connections_unopened,
        } += 1;
    }

    /// Takes a connection that has ended out of the pool, and its worker with it where that is gone.
    fn forget(&self, id: WorkerId, connection: &Rc<Connection>, why: &str) {
        let mut workers = self.0.workers.borrow_mut();
        if let Some(worker) = workers.get_mut(&id) {
            worker.connections.retain(|other| !Rc::ptr_eq(other, connection));
            if !connection.is_idle() {
                log::warn!("worker {} at {}: {why}", worker.name, connection.address);
            }
        }
        workers.retain(|_, worker| worker.is_needed());
    }

    /// Closes the connection that has been idle the longest whenever its place is needed, for as long as the process
    /// lives.
    pub async fn close_idle_on_reclaim(self) {
        let places = &self.0.shared.places;
        loop {
            places.wait_for_reclaim(DescriptorClass::Workers).await;
            let workers = self.0.workers.borrow();
            let connections = workers.values().flat_map(|worker| &worker.connections);
            let idle = connections.filter(|connection| connection.is_evictable());
            if let Some(connection) = idle.min_by_key(|connection| connection.last_used.get()) {
                places.counters.borrow_mut().worker_connections_evicted += 1;
                connection.retire();
            }
        }
    }
}

impl WorkerTransport for Workers {
    fn upsert_worker(&self, id: WorkerId, name: &str, address: &str, open: bool) {
        let mut workers = self.0.workers.borrow_mut();
        let worker = workers.entry(id).or_insert_with(|| Worker::new(name, address));
        worker.listed = true;
        let back = if open { Vec::new() } else { worker.stop() };
        worker.open = open;
        if worker.address != address {
            worker.address = address.to_owned();
            worker.retire();
        }
        drop(workers);
        self.end_all(back, AttemptOutcome::NotSent);
    }

    fn remove_worker(&self, id: WorkerId) {
        let mut workers = self.0.workers.borrow_mut();
        let Some(worker) = workers.get_mut(&id) else { return };
        let back = worker.stop();
        worker.listed = false;
        // Its connections still bring what was out on them.
        worker.retire();
        workers.retain(|_, worker| worker.is_needed());
        drop(workers);
        self.end_all(back, AttemptOutcome::NotSent);
    }

    fn call(&self, id: WorkerId, parts: Vec<Dispatch>) {
        let Some(connection) = self.connection(id, &parts) else {
            let tickets = parts.iter().map(|part| part.attempt_id).collect();
            return self.end_all(tickets, AttemptOutcome::NotSent);
        };
        let at_most_once = parts.iter().any(|part| part.at_most_once);
        connection.send(parts);
        // A connection that carries what runs once takes nothing else, and ends with it.
        if at_most_once {
            connection.retire();
        }
    }

    fn cancel_if_unsent(&self, id: WorkerId, ticket: AttemptId) {
        let workers = self.0.workers.borrow();
        let connections = workers.get(&id).into_iter().flat_map(|worker| &worker.connections);
        let back = connections.flat_map(|connection| connection.withdraw(ticket)).collect();
        drop(workers);
        self.end_all(back, AttemptOutcome::NotSent);
    }

    fn cancel(&self, id: WorkerId, ticket: AttemptId) {
        let workers = self.0.workers.borrow();
        if let Some(worker) = workers.get(&id) {
            let (silence, tell) = (self.0.silence, self.0.may_cancel);
            worker.connections.iter().any(|connection| connection.abandon(ticket, silence, tell));
        }
    }
}
