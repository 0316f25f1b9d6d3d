//! Connections to index servers that speak the OpenSearch-style form: one search at a time on each.

use super::client::{self, Broken};
use super::stream::{Dial, Stream, dial_within};
use crate::api::*;
use crate::protocol::{http, opensearch};
use crate::routing::{Broker, Carrier, Dispatch, End, Limits, Ticket};
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
    dial: Rc<dyn Dial>,
    limits: Limits,
    links: RefCell<HashMap<LeafId, Rc<Link>>>,
    running: RefCell<HashMap<Ticket, AbortHandle>>,
}

struct Link {
    address: String,
    open: Cell<bool>,
    /// Searches that may be out at once; the others wait.
    places: Semaphore,
    idle: RefCell<Vec<Idle>>,
}

struct Idle {
    stream: Box<dyn Stream>,
    since: Instant,
}

impl IndexServers {
    /// No connections yet; they are opened as searches need them.
    pub fn new(broker: Broker, dial: Rc<dyn Dial>) -> IndexServers {
        let limits = broker.core(|core| core.contracts().limits.clone());
        let (links, running) = (RefCell::default(), RefCell::default());
        IndexServers(Rc::new(Shared { broker, dial, limits, links, running }))
    }

    /// The life of one attempt.
    async fn search(self, link: Rc<Link>, part: Dispatch) {
        let end = self.exchange(&link, &part).await;
        self.0.running.borrow_mut().remove(&part.ticket);
        self.0.broker.ended(part.ticket, end);
    }

    /// Keeps a connection for the next search, and closes it before the server would.
    fn keep(&self, link: &Rc<Link>, stream: Box<dyn Stream>) {
        link.idle.borrow_mut().push(Idle { stream, since: Instant::now() });
        let (link, longest) = (link.clone(), self.0.limits.conn_idle.mul_f64(IDLE_SHARE));
        spawn_local(async move {
            tokio::time::sleep(longest).await;
            link.idle.borrow_mut().retain(|idle| idle.since.elapsed() < longest);
        });
    }

    async fn exchange(&self, link: &Rc<Link>, part: &Dispatch) -> End {
        let since = Instant::now();
        let Ok(_place) = link.places.acquire().await else { return End::bare(Outcome::Skipped) };
        if !link.open.get() {
            return End::bare(Outcome::Skipped);
        }
        let mut stream = match self.kept(link).await {
            Some(stream) => stream,
            None => match dial_within(&*self.0.dial, &link.address, self.0.limits.connect_timeout).await {
                Ok(stream) => stream,
                Err(error) => {
                    log::warn!("index server at {}: cannot connect: {error}", link.address);
                    return End::bare(Outcome::Refused);
                }
            },
        };
        let left = part.timeout.saturating_sub(since.elapsed()).as_millis().max(1);
        let target = format!("/{}/_search?preference=_shards:{}&timeout={left}ms", part.label, part.shard.0);
        let request = http::request("POST", &target, &link.address, Some(&part.text));
        let mut buffer = BytesMut::new();
        match client::exchange(&mut *stream, &mut buffer, &request, MOST_RESULT).await {
            Ok(response) => {
                if response.keep_alive && buffer.is_empty() {
                    self.keep(link, stream);
                }
                match response.status {
                    200 if opensearch::is_result(&response.body) => {
                        End { outcome: Outcome::Done, value: response.body, report: None }
                    }
                    // The one status by which a server says that it turned the search away unseen.
                    429 => End::bare(Outcome::Busy),
                    status => {
                        log::warn!("index server at {}: status {status}, no whole result", link.address);
                        End::bare(Outcome::Error)
                    }
                }
            }
            Err(error) => {
                log::warn!("index server at {}: {error}", link.address);
                End::bare(match error {
                    Broken::Unsent(_) => Outcome::Refused,
                    Broken::Unanswered(_) => Outcome::Reset,
                    Broken::Malformed(_) => Outcome::Error,
                })
            }
        }
    }

    /// An idle connection that the server has not closed meanwhile.
    async fn kept(&self, link: &Link) -> Option<Box<dyn Stream>> {
        loop {
            let Idle { mut stream, .. } = link.idle.borrow_mut().pop()?;
            let mut scrap = [0; 1];
            let still = tokio::select! {
                biased;
                _ = stream.read(&mut scrap) => false,
                () = std::future::ready(()) => true,
            };
            if still {
                return Some(stream);
            }
        }
    }
}

impl Carrier for IndexServers {
    fn member(&self, leaf: LeafId, _name: &str, address: &str, open: bool) {
        let mut links = self.0.links.borrow_mut();
        let link = links.entry(leaf).or_insert_with(|| {
            Rc::new(Link {
                address: address.to_owned(),
                open: Cell::new(open),
                places: Semaphore::new(self.0.limits.multiplex),
                idle: RefCell::default(),
            })
        });
        link.open.set(open);
    }

    fn gone(&self, leaf: LeafId) {
        if let Some(link) = self.0.links.borrow_mut().remove(&leaf) {
            link.open.set(false);
        }
    }

    fn call(&self, leaf: LeafId, parts: Vec<Dispatch>) {
        let link = self.0.links.borrow().get(&leaf).cloned();
        for part in parts {
            let ticket = part.ticket;
            match &link {
                Some(link) => {
                    let task = spawn_local(self.clone().search(link.clone(), part));
                    self.0.running.borrow_mut().insert(ticket, task.abort_handle());
                }
                None => self.0.broker.ended(ticket, End::bare(Outcome::Skipped)),
            }
        }
    }

    /// Closing the connection is how the form gives a search up.
    fn abandon(&self, _leaf: LeafId, ticket: Ticket) {
        if let Some(task) = self.0.running.borrow_mut().remove(&ticket) {
            task.abort();
        }
    }
}
