//! Connections to index servers that speak the OpenSearch-style form: one search at a time on each.

use super::connector::{Connector, Stream, connect_with_timeout};
use super::descriptor_pool::{BufferReservation, DescriptorPermit, DescriptorPool};
use super::errors;
use super::http_client::{self, ExchangeError};
use crate::limits::DescriptorClass;
use crate::policy::*;
use crate::protocol::{http, opensearch};
use crate::routing::{AttemptCompletion, AttemptId, Broker, BrokerLimits, Dispatch, WorkerTransport};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// Share of the server's idle time after which a connection is closed from this side.
const IDLE_SHARE: f64 = 0.6;
/// The longest result of one shard.
const MOST_RESULT: usize = 512 << 10;

/// All connections to index servers.
#[derive(Clone)]
pub struct IndexServers(Rc<Shared>);

struct Shared {
    broker: Broker,
    dial: Rc<dyn Connector>,
    limits: BrokerLimits,
    places: Rc<DescriptorPool>,
    links: RefCell<HashMap<WorkerId, Rc<Link>>>,
    running: RefCell<HashMap<AttemptId, AbortHandle>>,
}

struct Link {
    address: String,
    open: Cell<bool>,
    /// Searches that may be out at once; the others wait.
    places: Semaphore,
    idle: RefCell<Vec<Idle>>,
}

/// A connection that waits for its next search; its place is loose.
struct Idle {
    stream: Box<dyn Stream>,
    place: DescriptorPermit,
    since: Instant,
}

impl IndexServers {
    /// No connections yet; they are opened as searches need them and places allow.
    pub fn new(broker: Broker, dial: Rc<dyn Connector>, places: Rc<DescriptorPool>) -> IndexServers {
        let limits = broker.with_core(|core| core.contracts().limits.clone());
        let (links, running) = (RefCell::default(), RefCell::default());
        IndexServers(Rc::new(Shared { broker, dial, limits, places, links, running }))
    }

    /// The life of one attempt.
    async fn search(self, leaf: WorkerId, link: Rc<Link>, part: Dispatch) {
        let end = self.exchange(leaf, &link, &part).await;
        self.0.running.borrow_mut().remove(&part.attempt_id);
        self.0.broker.on_attempt_finished(part.attempt_id, end);
    }

    /// Keeps a connection for the next search, and closes it before the server would.
    fn keep(&self, link: &Rc<Link>, stream: Box<dyn Stream>, place: DescriptorPermit) {
        link.idle.borrow_mut().push(Idle { stream, place, since: Instant::now() });
        let (link, longest) = (link.clone(), self.0.limits.connection_idle_timeout.mul_f64(IDLE_SHARE));
        spawn_local(async move {
            tokio::time::sleep(longest).await;
            let old = link.idle.borrow_mut().extract_if(.., |idle| idle.since.elapsed() >= longest).collect();
            close(old);
        });
    }

    /// Closes the connection that has been idle the longest whenever its place is needed, for as long as the process
    /// lives.
    pub async fn close_idle_on_reclaim(self) {
        loop {
            self.0.places.wait_for_reclaim(DescriptorClass::Workers).await;
            let links = self.0.links.borrow();
            let oldest = |link: &&Rc<Link>| link.idle.borrow().first().map(|idle| idle.since);
            let link = links.values().filter(|link| oldest(link).is_some()).min_by_key(oldest).cloned();
            drop(links);
            if let Some(link) = link {
                self.0.places.counters.borrow_mut().worker_connections_evicted += 1;
                let oldest = link.idle.borrow_mut().remove(0);
                close(vec![oldest]);
            }
        }
    }

    async fn exchange(&self, leaf: WorkerId, link: &Rc<Link>, part: &Dispatch) -> AttemptCompletion {
        let Ok(_place) = link.places.acquire().await else {
            return AttemptCompletion::without_value(AttemptOutcome::NotSent);
        };
        if !link.open.get() {
            return AttemptCompletion::without_value(AttemptOutcome::NotSent);
        }
        // Guards what runs once against a kept connection that the server closes just then: it may have run, and is lost.
        let kept = if part.at_most_once { None } else { self.kept(link).await };
        let (mut stream, place) = match kept {
            Some(kept) => kept,
            None => {
                // Nothing has run where there was no place for it.
                let Ok(opening) =
                    self.0.places.acquire_connect_permit(leaf, part.time_left(self.0.broker.now())).await
                else {
                    return AttemptCompletion::without_value(AttemptOutcome::NotSent);
                };
                match connect_with_timeout(&*self.0.dial, &link.address, self.0.limits.connect_timeout).await
                {
                    Ok(stream) => (stream, opening.into_descriptor_permit()),
                    Err(error) => {
                        log::warn!("index server at {}: cannot connect: {error}", link.address);
                        let local = errors::is_local(&error);
                        return AttemptCompletion::without_value(if local {
                            AttemptOutcome::NotSent
                        } else {
                            AttemptOutcome::ConnectFailed
                        });
                    }
                }
            }
        };
        let left = part.time_left(self.0.broker.now()).as_millis().max(1);
        let target = format!("/{}/_search?preference=_shards:{}&timeout={left}ms", part.label, part.shard.0);
        let request = http::encode_request("POST", &target, &link.address, Some(&part.payload));
        let mut buffer = BytesMut::new();
        let bytes = BufferReservation::new(&self.0.places);
        bytes.set(request.len());
        let exchanged = http_client::exchange(&mut *stream, &mut buffer, &request, MOST_RESULT).await;
        if !matches!(exchanged, Err(ExchangeError::NotSent(_))) {
            self.0.broker.with_core(|core| core.count_written(1));
        }
        match exchanged {
            Ok(response) => {
                if response.keep_alive && buffer.is_empty() {
                    place.mark_idle();
                    self.keep(link, stream, place);
                }
                match response.status {
                    200 if opensearch::is_complete_result(&response.body) => AttemptCompletion {
                        outcome: AttemptOutcome::Succeeded,
                        value: response.body,
                        load_report: None,
                    },
                    // The one status by which a server says that it turned the search away unseen.
                    429 => AttemptCompletion::without_value(AttemptOutcome::Rejected),
                    status => {
                        log::warn!("index server at {}: status {status}, no whole result", link.address);
                        AttemptCompletion::without_value(AttemptOutcome::Failed)
                    }
                }
            }
            Err(error) => {
                log::warn!("index server at {}: {error}", link.address);
                AttemptCompletion::without_value(match error {
                    ExchangeError::NotSent(_) => AttemptOutcome::ConnectFailed,
                    ExchangeError::NoResponse(_) => AttemptOutcome::ConnectionReset,
                    ExchangeError::Malformed(_) => AttemptOutcome::Failed,
                })
            }
        }
    }

    /// An idle connection that the server has not closed meanwhile.
    async fn kept(&self, link: &Link) -> Option<(Box<dyn Stream>, DescriptorPermit)> {
        loop {
            let latest = link.idle.borrow_mut().pop();
            let Idle { mut stream, place, .. } = latest?;
            let mut scrap = [0; 1];
            let still = tokio::select! {
                biased;
                _ = stream.read(&mut scrap) => false,
                () = std::future::ready(()) => true,
            };
            // Where no firm place may be had the connection goes, and the search waits for its turn.
            if still && place.try_mark_busy() {
                return Some((stream, place));
            }
        }
    }
}

/// Closes connections. Their places go on to those who wait, so nothing may be borrowed here.
fn close(idle: Vec<Idle>) {
    drop(idle);
}

impl WorkerTransport for IndexServers {
    fn upsert_worker(&self, leaf: WorkerId, _name: &str, address: &str, open: bool) {
        let mut links = self.0.links.borrow_mut();
        // One that moves is another server: what waits for the old one is not sent, what is out there goes on.
        let moved = links.get(&leaf).is_some_and(|link| link.address != address);
        let before = if moved { links.remove(&leaf) } else { None };
        if let Some(before) = &before {
            before.open.set(false);
        }
        let link = links.entry(leaf).or_insert_with(|| {
            Rc::new(Link {
                address: address.to_owned(),
                open: Cell::new(open),
                places: Semaphore::new(self.0.limits.max_parts_per_connection),
                idle: RefCell::default(),
            })
        });
        link.open.set(open);
        drop(links);
        // Its idle connections give their places back, so nothing may be borrowed here.
        drop(before);
    }

    fn remove_worker(&self, leaf: WorkerId) {
        if let Some(link) = self.0.links.borrow_mut().remove(&leaf) {
            link.open.set(false);
        }
    }

    fn call(&self, leaf: WorkerId, parts: Vec<Dispatch>) {
        let link = self.0.links.borrow().get(&leaf).cloned();
        for part in parts {
            let ticket = part.attempt_id;
            match &link {
                Some(link) => {
                    let task = spawn_local(self.clone().search(leaf, link.clone(), part));
                    self.0.running.borrow_mut().insert(ticket, task.abort_handle());
                }
                None => self
                    .0
                    .broker
                    .on_attempt_finished(ticket, AttemptCompletion::without_value(AttemptOutcome::NotSent)),
            }
        }
    }

    /// Closing the connection is how the form gives a search up.
    fn cancel(&self, _leaf: WorkerId, ticket: AttemptId) {
        if let Some(task) = self.0.running.borrow_mut().remove(&ticket) {
            task.abort();
        }
    }
}
