//! Discovery: one endpoint list for all, and an agent beside each gatherer, which can be unresponsive or
//! reset its connections.

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

/// The phase of a worker's life, as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// It serves calls.
    Serving,
    /// It ends soon: it gets no new calls after the grace period.
    Draining,
    /// It is gone.
    Deleted,
}

impl Phase {
    /// Its name in the answers of discovery.
    fn name(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Deleted => "DELETED",
        }
    }
}

/// A worker as it is listed.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Where it listens.
    pub address: String,
    /// Its cell.
    pub cell: u32,
    /// Its phase.
    pub phase: Phase,
    /// Its start, in Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// The endpoint list, by the worker's name.
pub type EndpointList = BTreeMap<String, Endpoint>;

/// A revision of the endpoint list.
#[derive(Clone)]
struct Revision {
    number: u64,
    list: EndpointList,
}

impl Revision {
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

/// The discovery agent beside one gatherer.
pub struct DiscoveryAgent {
    /// Where it responds; the second address is for a configuration that moves it.
    pub addresses: [String; 2],
    current: watch::Sender<Revision>,
    pending: RefCell<Option<Revision>>,
    unresponsive: watch::Sender<bool>,
    resets: watch::Sender<u64>,
}

impl DiscoveryAgent {
    /// Starts an agent that has this list.
    pub async fn start(list: &EndpointList) -> Rc<DiscoveryAgent> {
        let listeners = [listen().await, listen().await];
        let address = |listener: &TcpListener| listener.local_addr().expect("an address").to_string();
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

    /// The list as it has it.
    pub fn list(&self) -> Value {
        self.current.borrow().to_json()
    }

    /// Gives it a new list, which it serves now, or once it responds again. Whether it serves it now.
    pub fn update(&self, list: &EndpointList) -> bool {
        let number = self.pending.borrow().as_ref().unwrap_or(&self.current.borrow()).number + 1;
        self.pending.replace(Some(Revision { number, list: list.clone() }));
        self.apply_pending()
    }

    fn apply_pending(&self) -> bool {
        if *self.unresponsive.borrow() {
            return false;
        }
        if let Some(revision) = self.pending.take() {
            self.current.send_replace(revision);
        }
        true
    }

    /// Neither responds nor applies updates for so long.
    pub async fn be_unresponsive(&self, lasts: Duration) {
        self.unresponsive.send_replace(true);
        tokio::time::sleep(lasts).await;
        self.unresponsive.send_replace(false);
        self.apply_pending();
    }

    /// Ends all connections to it.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn accept(self: Rc<DiscoveryAgent>, listener: TcpListener) {
        loop {
            // A connection that ended before it was accepted concerns no other.
            let Ok((stream, _)) = listener.accept().await else { continue };
            let agent = self.clone();
            spawn_local(async move {
                let mut resets = agent.resets.subscribe();
                resets.mark_unchanged();
                // A connection that fails has ended, as one that is reset; gatherers connect again.
                tokio::select! {
                    _ = agent.serve(stream) => {}
                    _ = resets.changed() => {}
                }
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            let Some(request) = read_request(&mut stream, &mut buffer).await? else { return Ok(()) };
            self.wait_for_newer_revision(&request).await;
            let mut unresponsive = self.unresponsive.subscribe();
            // The sender lives as long as the agent.
            let _ = unresponsive.wait_for(|unresponsive| !*unresponsive).await;
            let text = self.list().to_string();
            stream.write_all(&Response::json(200, text).encode(false)).await?;
        }
    }

    /// Waits for a revision after the one that a request names, for as long as the request says.
    async fn wait_for_newer_revision(&self, request: &Request) {
        let after = request.parameter("index").and_then(|index| index.parse::<u64>().ok());
        let wait_ms = request.parameter("wait").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let mut current = self.current.subscribe();
        if let Some(after) = after {
            let newer = current.wait_for(|revision| revision.number > after);
            // Past its wait it responds with the revision that it has.
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
        }
    }
}

/// Reads a request; none at the end of the connection.
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
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}
