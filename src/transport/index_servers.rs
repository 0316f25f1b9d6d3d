//! Connections to index servers with an OpenSearch-style HTTP API: one search at a time on each connection.
//!
//! Owns the connections to each server, in use or idle, and reports the outcome of every attempt that is not cancelled,
//! once. Does not choose servers or retry; the decision module does both.

mod field_types;

pub use field_types::{FieldTypeSource, FieldTypesFuture};

use super::connector::{Connector, Stream, connect_with_timeout};
use super::descriptor_pool::{BufferReservation, DescriptorPermit, DescriptorPool};
use super::errors;
use super::http_client::{self, ExchangeError};
use crate::limits::DescriptorClass;
use crate::policy::{AttemptOutcome, WorkerId};
use crate::protocol::http::{self, ReceivedResponse};
use crate::protocol::opensearch;
use crate::routing::{AttemptCompletion, AttemptId, Broker, BrokerLimits, Dispatch, WorkerTransport};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// The fraction of the server's idle time-out after which this side closes a connection, so that the server does not
/// close it while a search is being written.
const IDLE_CLOSE_FRACTION: f64 = 0.6;
/// The maximum size of the result of one shard, in bytes.
pub const MAX_RESULT_BYTES: usize = 512 << 10;

/// The connections to all index servers.
#[derive(Clone)]
pub struct IndexServers(Rc<Shared>);

struct Shared {
    broker: Broker,
    connector: Rc<dyn Connector>,
    limits: BrokerLimits,
    descriptor_pool: Rc<DescriptorPool>,
    servers: RefCell<HashMap<WorkerId, Rc<Server>>>,
    /// The attempts in flight.
    searches: RefCell<HashMap<AttemptId, Search>>,
    /// The server that answered the latest search of each index.
    last_responders: RefCell<HashMap<Arc<str>, WorkerId>>,
}

/// An attempt in flight.
struct Search {
    task: AbortHandle,
    /// Whether the write of the request has begun.
    write_began: bool,
}

/// One index server, at one address.
struct Server {
    address: String,
    accepts_searches: Cell<bool>,
    /// One permit for each search that may be in flight at once; further searches wait.
    search_permits: Semaphore,
    /// Idle connections, the one idle the longest first.
    idle: RefCell<Vec<IdleConnection>>,
}

/// A connection and its descriptor permit.
struct Connection {
    stream: Box<dyn Stream>,
    descriptor: DescriptorPermit,
}

/// A connection kept for the next search; its descriptor is idle and may be reclaimed.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IndexServers {
    /// Creates the pool without connections. They are opened on demand, as descriptors allow.
    pub fn new(
        broker: Broker,
        connector: Rc<dyn Connector>,
        descriptor_pool: Rc<DescriptorPool>,
    ) -> IndexServers {
        let limits = broker.with_core(|core| core.contracts().limits.clone());
        IndexServers(Rc::new(Shared {
            broker,
            connector,
            limits,
            descriptor_pool,
            servers: RefCell::default(),
            searches: RefCell::default(),
            last_responders: RefCell::default(),
        }))
    }

    /// Executes one attempt and reports its outcome.
    async fn run_search(self, worker: WorkerId, server: Rc<Server>, part: Dispatch) {
        let completion = self.exchange(worker, &server, &part).await;
        if completion.outcome == AttemptOutcome::Succeeded {
            self.0.last_responders.borrow_mut().insert(part.label.clone(), worker);
        }
        self.0.searches.borrow_mut().remove(&part.attempt_id);
        self.0.broker.on_attempt_finished(part.attempt_id, completion);
    }

    /// Keeps a connection for the next search, and closes it before the server would.
    fn keep_idle(&self, server: &Rc<Server>, connection: Connection) {
        connection.descriptor.mark_idle();
        server.idle.borrow_mut().push(IdleConnection { connection, since: Instant::now() });
        let server = server.clone();
        let idle_limit = self.0.limits.connection_idle_timeout.mul_f64(IDLE_CLOSE_FRACTION);
        spawn_local(async move {
            tokio::time::sleep(idle_limit).await;
            let expired =
                server.idle.borrow_mut().extract_if(.., |idle| idle.since.elapsed() >= idle_limit).collect();
            close(expired);
        });
    }

    /// Closes the connection that has been idle the longest whenever a descriptor of this class is reclaimed. Runs
    /// until the process ends.
    pub async fn close_idle_on_reclaim(self) {
        loop {
            self.0.descriptor_pool.wait_for_reclaim(DescriptorClass::Workers).await;
            let servers = self.0.servers.borrow();
            let idle_since = |server: &&Rc<Server>| server.idle.borrow().first().map(|idle| idle.since);
            let server = servers
                .values()
                .filter(|server| idle_since(server).is_some())
                .min_by_key(idle_since)
                .cloned();
            drop(servers);
            if let Some(server) = server {
                self.0.descriptor_pool.counters.borrow_mut().worker_connections_evicted += 1;
                let oldest = server.idle.borrow_mut().remove(0);
                close(vec![oldest]);
            }
        }
    }

    /// Waits for a search permit, then sends the search and reads its result.
    async fn exchange(&self, worker: WorkerId, server: &Rc<Server>, part: &Dispatch) -> AttemptCompletion {
        // The semaphore is never closed, so acquiring a permit cannot fail.
        let Ok(_search_permit) = server.search_permits.acquire().await else {
            return AttemptCompletion::without_value(AttemptOutcome::NotSent);
        };
        if !server.accepts_searches.get() {
            return AttemptCompletion::without_value(AttemptOutcome::NotSent);
        }
        let time_left = part.time_left(self.0.broker.now());
        let connection = match self.take_or_connect(worker, server, part.at_most_once, time_left).await {
            Ok(connection) => connection,
            Err(outcome) => return AttemptCompletion::without_value(outcome),
        };
        // The server may have been removed, or the repeat window may have ended, while the connection was opened.
        let permit = self.0.broker.begin_write(part.attempt_id).ok();
        let Some(write_deadline) = permit.filter(|_| server.accepts_searches.get()) else {
            if server.accepts_searches.get() {
                self.keep_idle(server, connection);
            }
            return AttemptCompletion::without_value(AttemptOutcome::NotSent);
        };
        self.mark_write_began(part.attempt_id);
        match self.send_and_receive(server, connection, part, write_deadline).await {
            Ok(response) => completion_of(server, response),
            Err(outcome) => AttemptCompletion::without_value(outcome),
        }
    }

    /// Sends the search, which fails if its last byte is not written before the deadline, and reads its response. The
    /// error is the outcome of the attempt.
    async fn send_and_receive(
        &self,
        server: &Rc<Server>,
        mut connection: Connection,
        part: &Dispatch,
        write_deadline: Option<Instant>,
    ) -> Result<ReceivedResponse, AttemptOutcome> {
        let timeout_ms = part.time_left(self.0.broker.now()).as_millis().max(1);
        let target =
            format!("/{}/_search?preference=_shards:{}&timeout={timeout_ms}ms", part.label, part.shard.0);
        let request = http::encode_request("POST", &target, &server.address, Some(&part.payload));
        let mut buffer = BytesMut::new();
        let reservation = BufferReservation::new(&self.0.descriptor_pool);
        reservation.set(request.len());
        let stream = &mut *connection.stream;
        let written_at = self.0.broker.now();
        send_before(write_deadline, stream, &request).await.inspect_err(|outcome| {
            log::warn!("index server at {}: the search was not written: {outcome:?}", server.address);
        })?;
        self.0.broker.on_attempts_written(written_at, &[part.attempt_id]);
        let received = receive_result(&self.0.descriptor_pool, stream, &mut buffer, part.attempt_id).await;
        let response = received.map_err(|error| {
            log::warn!("index server at {}: search failed: {error}", server.address);
            match error {
                ExchangeError::NotSent(_) => AttemptOutcome::ConnectFailed,
                ExchangeError::NoResponse(_) => AttemptOutcome::ConnectionReset,
                ExchangeError::Malformed(_) => AttemptOutcome::Failed,
            }
        })?;
        if response.keep_alive && buffer.is_empty() {
            self.keep_idle(server, connection);
        }
        Ok(response)
    }

    fn mark_write_began(&self, attempt_id: AttemptId) {
        if let Some(search) = self.0.searches.borrow_mut().get_mut(&attempt_id) {
            search.write_began = true;
        }
    }

    /// Takes an idle connection or opens a new one. Without a connection nothing was sent; the error is the outcome of
    /// the attempt.
    async fn take_or_connect(
        &self,
        worker: WorkerId,
        server: &Server,
        at_most_once: bool,
        time_left: Duration,
    ) -> Result<Connection, AttemptOutcome> {
        // A non-idempotent search gets a new connection: the server could close an idle one while the search is being
        // written, and it would be unknown whether the search ran.
        if !at_most_once && let Some(idle) = self.take_idle(server).await {
            return Ok(idle);
        }
        let permit = self.0.descriptor_pool.acquire_connect_permit(worker, time_left).await;
        let permit = permit.map_err(|_| AttemptOutcome::NotSent)?;
        let limit = self.0.limits.connect_timeout;
        match connect_with_timeout(&*self.0.connector, &server.address, limit).await {
            Ok(stream) => Ok(Connection { stream, descriptor: permit.into_descriptor_permit() }),
            Err(error) => {
                log::warn!("index server at {}: cannot connect: {error}", server.address);
                Err(if errors::is_local(&error) {
                    AttemptOutcome::NotSent
                } else {
                    AttemptOutcome::ConnectFailed
                })
            }
        }
    }

    /// Takes the most recently used idle connection that the server has not closed, and marks its descriptor as busy.
    async fn take_idle(&self, server: &Server) -> Option<Connection> {
        loop {
            let most_recent = server.idle.borrow_mut().pop();
            let mut connection = most_recent?.connection;
            let mut discarded = [0; 1];
            let is_open = tokio::select! {
                biased;
                _ = connection.stream.read(&mut discarded) => false,
                () = std::future::ready(()) => true,
            };
            // Where the descriptor may not be busy, the connection is closed and the search waits for a connect permit.
            if is_open && connection.descriptor.try_mark_busy() {
                return Some(connection);
            }
        }
    }
}

/// Writes a request, which fails if its last byte is not written before the deadline. The error is the outcome of the
/// attempt; the server has not executed it.
async fn send_before(
    deadline: Option<Instant>,
    stream: &mut dyn Stream,
    request: &[u8],
) -> Result<(), AttemptOutcome> {
    let sending = http_client::send(stream, request);
    let sent = match deadline {
        Some(deadline) => {
            tokio::time::timeout_at(deadline, sending).await.map_err(|_| AttemptOutcome::NotSent)?
        }
        None => sending.await,
    };
    sent.map_err(|_| AttemptOutcome::ConnectFailed)
}

/// Reads the result of an attempt as the memory of results allows.
async fn receive_result(
    descriptor_pool: &DescriptorPool,
    stream: &mut dyn Stream,
    buffer: &mut BytesMut,
    attempt: AttemptId,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut read = None;
    let reserve = async |capacity: usize| {
        // The buffer and the body that is decoded from it are held together for a moment. The first buffer is not
        // counted: a server may take long before it sends anything.
        if capacity > http_client::MIN_BUFFER_BYTES {
            let begin_read = || descriptor_pool.result_memory().begin_read(attempt);
            read.get_or_insert_with(begin_read).grow_to(2 * capacity).await;
        }
    };
    let response = http_client::receive_as_memory_allows(stream, buffer, MAX_RESULT_BYTES, reserve).await?;
    let body = match read {
        Some(read) => read.finish(response.body),
        None => descriptor_pool.result_memory().count_result(response.body),
    };
    Ok(ReceivedResponse { body, ..response })
}

/// The completion of the attempt that got this response.
fn completion_of(server: &Server, response: ReceivedResponse) -> AttemptCompletion {
    let problem = match response.status {
        200 => match opensearch::check_result(&response.body) {
            Ok(()) => {
                let outcome = AttemptOutcome::Succeeded;
                return AttemptCompletion { outcome, value: response.body, load_report: None };
            }
            Err(defect) => format!("{defect}"),
        },
        // 429 is the only status that means that the server rejected the search without executing it.
        429 => return AttemptCompletion::without_value(AttemptOutcome::Rejected),
        status => format!("status={status}"),
    };
    log::warn!("index server at {}: response without a complete result: {problem}", server.address);
    // Nothing in the response proves that the part did not run.
    AttemptCompletion::without_value(AttemptOutcome::Failed)
}

/// Closes connections. Releasing their descriptors may grant permits to waiting calls, so the caller must not hold a
/// borrow of the pool's state.
fn close(connections: Vec<IdleConnection>) {
    drop(connections);
}

impl WorkerTransport for IndexServers {
    fn upsert_worker(&self, worker: WorkerId, _name: &str, address: &str, accepts_work: bool) {
        let mut servers = self.0.servers.borrow_mut();
        // A server at a new address is treated as another server: searches that wait for the old one are not sent, and
        // those in flight on it continue.
        let address_changed = servers.get(&worker).is_some_and(|server| server.address != address);
        let previous = if address_changed { servers.remove(&worker) } else { None };
        if let Some(previous) = &previous {
            previous.accepts_searches.set(false);
        }
        let server = servers.entry(worker).or_insert_with(|| {
            Rc::new(Server {
                address: address.to_owned(),
                accepts_searches: Cell::new(accepts_work),
                search_permits: Semaphore::new(self.0.limits.max_parts_per_connection),
                idle: RefCell::default(),
            })
        });
        server.accepts_searches.set(accepts_work);
        drop(servers);
        // Dropping the idle connections releases their descriptors, which borrows the descriptor pool.
        drop(previous);
    }

    fn remove_worker(&self, worker: WorkerId) {
        if let Some(server) = self.0.servers.borrow_mut().remove(&worker) {
            server.accepts_searches.set(false);
        }
    }

    fn call(&self, worker: WorkerId, parts: Vec<Dispatch>) {
        let server = self.0.servers.borrow().get(&worker).cloned();
        for part in parts {
            let attempt_id = part.attempt_id;
            match &server {
                Some(server) => {
                    let task = spawn_local(self.clone().run_search(worker, server.clone(), part));
                    let search = Search { task: task.abort_handle(), write_began: false };
                    self.0.searches.borrow_mut().insert(attempt_id, search);
                }
                None => self.0.broker.on_attempt_finished(
                    attempt_id,
                    AttemptCompletion::without_value(AttemptOutcome::NotSent),
                ),
            }
        }
    }

    /// Aborts the task of a search, which closes its connection: the API cancels a search whose connection is closed.
    fn cancel(&self, _worker: WorkerId, attempt_id: AttemptId) {
        if let Some(search) = self.0.searches.borrow_mut().remove(&attempt_id) {
            search.task.abort();
        }
    }

    fn cancel_if_unsent(&self, worker: WorkerId, attempt_id: AttemptId) {
        let write_began = self.0.searches.borrow().get(&attempt_id).is_none_or(|search| search.write_began);
        if write_began {
            return;
        }
        self.cancel(worker, attempt_id);
        let not_sent = AttemptCompletion::without_value(AttemptOutcome::NotSent);
        self.0.broker.on_attempt_finished(attempt_id, not_sent);
    }
}
