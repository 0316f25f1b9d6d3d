//! Discovery: one list for all, and an agent beside each gatherer, which can be silent or reset its watches.

use crate::time;
use bytes::BytesMut;
use gatherer::protocol::http::{self, Response};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// A worker as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Where it listens.
    pub address: String,
    /// Its cell.
    pub cell: u32,
    /// Its phase.
    pub phase: &'static str,
    /// Its start, in Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// The list, by name.
pub type List = BTreeMap<String, Listed>;

fn member(id: &str, listed: &Listed) -> Value {
    json!({
        "id": id, "host_port": listed.address, "locality": "a", "flavor": "m", "cell": listed.cell,
        "phase": listed.phase, "size": 1.0, "up_since_ms": listed.up_since_ms,
    })
}

/// What an agent holds: a revision and the list of then.
type Held = (u64, List);

/// The agent beside one gatherer.
pub struct Agent {
    /// Where it answers; the second address is for a configuration that moves it.
    pub addresses: [String; 2],
    held: watch::Sender<Held>,
    pending: RefCell<Option<Held>>,
    silent: watch::Sender<bool>,
    resets: watch::Sender<u64>,
    /// When it last got something new.
    pub told: Cell<u64>,
}

impl Agent {
    /// An agent that holds this list.
    pub async fn start(list: &List) -> Rc<Agent> {
        let (first, second) = (listen().await, listen().await);
        let agent = Rc::new(Agent {
            addresses: [first.1, second.1],
            held: watch::Sender::new((1, list.clone())),
            pending: RefCell::default(),
            silent: watch::Sender::new(false),
            resets: watch::Sender::new(0),
            told: Cell::new(time::now()),
        });
        for listener in [first.0, second.0] {
            spawn_local(agent.clone().accept(listener));
        }
        agent
    }

    /// The list as it holds it.
    pub fn list(&self) -> Value {
        whole(&self.held.borrow())
    }

    /// There is a new list; it learns of it now, or when it is no longer silent. True if it knows now.
    pub fn learn(&self, list: &List) -> bool {
        let revision = self.pending.borrow().as_ref().unwrap_or(&self.held.borrow()).0 + 1;
        self.pending.replace(Some((revision, list.clone())));
        self.flush()
    }

    fn flush(&self) -> bool {
        if *self.silent.borrow() {
            return false;
        }
        if let Some(held) = self.pending.take() {
            self.told.set(time::now());
            self.held.send_replace(held);
        }
        true
    }

    /// Says nothing and learns nothing for so long.
    pub async fn be_silent(&self, lasts: Duration) {
        self.silent.send_replace(true);
        tokio::time::sleep(lasts).await;
        self.silent.send_replace(false);
        self.flush();
    }

    /// Ends all connections to it.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn accept(self: Rc<Agent>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let agent = self.clone();
            spawn_local(async move {
                let mut resets = agent.resets.subscribe();
                resets.mark_unchanged();
                tokio::select! {
                    _ = agent.answer(stream) => {}
                    _ = resets.changed() => {}
                }
            });
        }
    }

    async fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            let request = loop {
                match http::take_request(&mut buffer) {
                    Ok(Some(request)) => break request,
                    Ok(None) => {}
                    Err(error) => return Err(std::io::Error::other(error)),
                }
                if stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
            };
            let after = request.parameter("index").and_then(|index| index.parse::<u64>().ok());
            let wait = request.parameter("wait").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            let mut held = self.held.subscribe();
            if let Some(after) = after {
                let newer = held.wait_for(|held| held.0 > after);
                // Past its wait it answers with what there is.
                let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
            }
            let mut silent = self.silent.subscribe();
            // The sender lives as long as the agent.
            let _ = silent.wait_for(|silent| !*silent).await;
            let text = whole(&self.held.borrow()).to_string();
            stream.write_all(&Response::json(200, text).encode(false)).await?;
        }
    }
}

fn whole(held: &Held) -> Value {
    let members: Vec<Value> = held.1.iter().map(|(id, listed)| member(id, listed)).collect();
    json!({"revision": held.0, "complete": true, "members": members})
}

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}
