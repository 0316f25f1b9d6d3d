//! Discovery of the soak test: an agent for each gatherer, which serves the endpoint list as JSON and answers
//! watches. Faults make an agent unresponsive or reset its connections.

use bytes::BytesMut;
use gatherer::protocol::http::{self, Request, Response};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// The worker serves calls.
    Serving,
    /// The worker is about to end, and must get no new calls after the grace period.
    Draining,
    /// The worker has been removed.
    Deleted,
}

impl Phase {
    /// The name of the phase in a discovery response.
    fn name(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Deleted => "DELETED",
        }
    }
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address on which the worker listens.
    pub address: String,
    /// Number of the worker's cell.
    pub cell: u32,
    /// Phase of the worker.
    pub phase: Phase,
    /// Start of the worker, in Unix milliseconds; 0 if it started long ago.
    pub up_since_ms: u64,
}

/// The endpoint list, by worker name.
pub type EndpointList = BTreeMap<String, Endpoint>;

/// A revision of the endpoint list.
#[derive(Clone)]
struct Revision {
    number: u64,
    list: EndpointList,
}

impl Revision {
    /// The complete list as a discovery response.
    fn to_json(&self) -> Value {
        let member = |(id, endpoint): (&String, &Endpoint)| {
            json!({
                "id": id, "host_port": endpoint.address, "locality": "a", "flavor": "m",
                "cell": endpoint.cell, "phase": endpoint.phase.name(), "size": 1.0,
                "up_since_ms": endpoint.up_since_ms,
            })
        };
        let members: Vec<Value> = self.list.iter().map(member).collect();
        json!({"revision": self.number, "complete": true, "members": members})
    }
}

/// The discovery agent of one gatherer.
pub struct DiscoveryAgent {
    /// Addresses on which the agent listens; a reload of the configuration switches between them.
    pub addresses: [String; 2],
    /// Revision that the agent serves.
    current: watch::Sender<Revision>,
    /// Revision to serve once the agent responds again.
    pending: RefCell<Option<Revision>>,
    unresponsive: watch::Sender<bool>,
    /// Number of resets so far; each change closes all connections.
    resets: watch::Sender<u64>,
}

impl DiscoveryAgent {
    /// Starts an agent that serves this list as revision 1.
    pub async fn start(list: &EndpointList) -> Rc<DiscoveryAgent> {
        let listeners = [listen().await, listen().await];
        let address = |listener: &TcpListener| {
            listener.local_addr().expect("a bound listener has an address").to_string()
        };
        let agent = Rc::new(DiscoveryAgent {
            addresses: listeners.each_ref().map(address),
            current: watch::Sender::new(Revision { number: 1, list: list.clone() }),
            pending: RefCell::default(),
            unresponsive: watch::Sender::new(false),
            resets: watch::Sender::new(0),
        });
        for listener in listeners {
            spawn_local(agent.clone().accept(listener));
        }
        agent
    }

    /// The list that the agent serves, as JSON.
    pub fn list(&self) -> Value {
        self.current.borrow().to_json()
    }

    /// Sets a new list, which the agent serves at once, or after it responds again if it is unresponsive.
    /// Returns whether it serves the list at once.
    pub fn update(&self, list: &EndpointList) -> bool {
        let number = self.pending.borrow().as_ref().unwrap_or(&self.current.borrow()).number + 1;
        self.pending.replace(Some(Revision { number, list: list.clone() }));
        self.apply_pending()
    }

    /// Serves the pending revision, if there is one; returns false if the agent is unresponsive.
    fn apply_pending(&self) -> bool {
        if *self.unresponsive.borrow() {
            return false;
        }
        if let Some(revision) = self.pending.take() {
            self.current.send_replace(revision);
        }
        true
    }

    /// Makes the agent unresponsive for a while: it neither responds nor applies updates.
    pub async fn be_unresponsive(&self, lasts: Duration) {
        self.unresponsive.send_replace(true);
        tokio::time::sleep(lasts).await;
        self.unresponsive.send_replace(false);
        self.apply_pending();
    }

    /// Closes all connections to the agent.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn accept(self: Rc<DiscoveryAgent>, listener: TcpListener) {
        loop {
            // Fails if the connection ended before it was accepted; others are not affected.
            let Ok((stream, _)) = listener.accept().await else { continue };
            let agent = self.clone();
            spawn_local(async move {
                let mut resets = agent.resets.subscribe();
                resets.mark_unchanged();
                // The connection ends on an error or a reset; the gatherer connects again.
                tokio::select! {
                    _ = agent.serve(stream) => {}
                    _ = resets.changed() => {}
                }
            });
        }
    }

    /// Answers the requests on one connection until the gatherer closes it.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            let Some(request) = read_request(&mut stream, &mut buffer).await? else { return Ok(()) };
            self.wait_for_newer_revision(&request).await;
            let mut unresponsive = self.unresponsive.subscribe();
            // Fails only if the sender is dropped, and the agent owns it.
            let _ = unresponsive.wait_for(|unresponsive| !*unresponsive).await;
            let text = self.list().to_string();
            stream.write_all(&Response::json(200, text).encode(false)).await?;
        }
    }

    /// Waits for a revision newer than the request's `index`, for at most `wait` milliseconds. Returns at once
    /// if the request has no `index`.
    async fn wait_for_newer_revision(&self, request: &Request) {
        let after = request.parameter("index").and_then(|index| index.parse::<u64>().ok());
        let wait_ms = request.parameter("wait").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let mut current = self.current.subscribe();
        if let Some(after) = after {
            let newer = current.wait_for(|revision| revision.number > after);
            // After a time-out the current revision is served again.
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
        }
    }
}

/// Reads the next request; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<Option<Request>> {
    loop {
        if let Some(request) = http::take_request(buffer).map_err(std::io::Error::other)? {
            return Ok(Some(request));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free")
}
