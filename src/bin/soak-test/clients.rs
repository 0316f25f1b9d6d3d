//! Clients of the gatherers: each sends requests over a connection at a time and checks the responses. Some
//! disconnect early, stay idle, write slowly, or stall in the middle of a request.

use crate::gatherer_settings::REPEAT_WINDOW_MS;
use crate::monotonic::now_us;
use crate::stand_in_worker;
use bytes::BytesMut;
use fastrand::Rng;
use gatherer::protocol::http::{self, ReceivedResponse};
use gatherer::soak::checker::{Observations, Repeats, Request, RequestOutcome, StalledClient};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of shards of the index.
pub const SHARDS: u32 = 8;
/// Time after its budget for which a client still waits for a response, so that a late one is observed.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);
/// Time for which a stalled client waits for an error or a close.
const STALL_OBSERVED_FOR: Duration = Duration::from_millis(5000);
/// Pause before a client connects again after a failure.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Fraction of turns in which a client stalls in the middle of its request.
const STALLED_SHARE: f64 = 0.02;
/// A turn whose random number in 0..1 is above this ends with an idle pause.
const IDLE_ABOVE: f64 = 0.98;
/// Idle pause, in milliseconds; long enough that the gatherer closes some of these connections.
const IDLE_PAUSE_MS: Range<u64> = 1000..4000;
/// Pause after any other request, in milliseconds.
const PAUSE_MS: Range<u64> = 0..60;
/// Fraction of turns after which a client closes its connection.
const CLOSED_SHARE: f64 = 0.2;
/// Fraction of requests that are non-idempotent.
const NON_IDEMPOTENT_SHARE: f64 = 0.3;
/// Share of the requests of the keyed class.
const KEYED_SHARE: f64 = 0.3;
/// Fraction of requests whose client may disconnect before the response.
const EARLY_DISCONNECT_SHARE: f64 = 0.06;
/// Time after its request at which such a client disconnects, in milliseconds.
const EARLY_DISCONNECT_MS: Range<u64> = 2..60;
/// Fraction of requests that are written in two pieces.
const SPLIT_SHARE: f64 = 0.05;
/// Time between the two pieces, in milliseconds.
const SPLIT_PAUSE_MS: Range<u64> = 1..300;

/// A gatherer's endpoint for clients, as a load balancer in front of the fleet would know it.
pub struct GathererEndpoint {
    /// Address to which clients connect.
    pub address: String,
    /// Clients may open new connections.
    pub accepts_connections: Cell<bool>,
    /// Number of the process that serves the address; during an upgrade, the older one until the newer one
    /// is ready.
    pub process: Cell<usize>,
}

/// Numbers of responses, by kind of status.
#[derive(Default)]
pub struct ResponseCounts {
    /// Status 200.
    pub served: Cell<u64>,
    /// Status 429 or 503.
    pub rejected: Cell<u64>,
    /// Any other status.
    pub failed: Cell<u64>,
}

/// State that all clients share.
pub struct ClientContext {
    /// Endpoints of all gatherers.
    pub gatherers: Vec<Rc<GathererEndpoint>>,
    /// Observations, to which clients add their requests.
    pub observations: Rc<RefCell<Observations>>,
    /// The soak test is over: each client ends after its current turn.
    pub finished: Cell<bool>,
    /// Responses of all clients so far.
    pub responses: ResponseCounts,
}

/// A client's connection to a gatherer.
struct Connection {
    stream: TcpStream,
    /// Received bytes of a response that is not complete.
    buffer: BytesMut,
    /// Number of the process that served the address when the connection was opened.
    process: usize,
    /// Number of requests that were sent on this connection and whose end was awaited.
    requests: u64,
}

/// A class of requests, with the budget that clients send.
pub struct ClientClass {
    name: &'static str,
    /// Whether parts may be executed again.
    pub repeats: Repeats,
    /// Budget in milliseconds.
    pub budget_ms: u64,
}

/// The idempotent class.
const SEARCH: ClientClass = ClientClass { name: "search", repeats: Repeats::Allowed, budget_ms: 2500 };
/// The non-idempotent class.
pub const SEAL: ClientClass = ClientClass { name: "seal", repeats: Repeats::Forbidden, budget_ms: 2500 };
/// The keyed class.
const STAMP: ClientClass = ClientClass {
    name: "stamp",
    repeats: Repeats::AllowedFor { window_us: REPEAT_WINDOW_MS * 1000 },
    budget_ms: 2500,
};

impl ClientClass {
    fn draw(random: &mut Rng) -> ClientClass {
        match random.f64() {
            drawn if drawn < NON_IDEMPOTENT_SHARE => SEAL,
            drawn if drawn < NON_IDEMPOTENT_SHARE + KEYED_SHARE => STAMP,
            _ => SEARCH,
        }
    }
}

/// An encoded request, with the shards that it asks, one part for each.
pub struct EncodedRequest {
    /// Bytes of the request.
    pub bytes: Vec<u8>,
    shards: Vec<u32>,
}

/// Runs one client: sends requests one after the other until the soak test has finished.
pub async fn run_client(context: Rc<ClientContext>, mut random: Rng) {
    let mut connection: Option<Connection> = None;
    while !context.finished.get() {
        let open = match connection.take() {
            Some(open) => open,
            None => match connect(&context, &mut random).await {
                Some(open) => open,
                None => {
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                    continue;
                }
            },
        };
        let behaviour = random.f64();
        if behaviour < STALLED_SHARE {
            stall_mid_request(&context, open, &mut random).await;
            continue;
        }
        connection = send_request(&context, open, &mut random).await;
        let pause_ms = random.u64(if behaviour > IDLE_ABOVE { IDLE_PAUSE_MS } else { PAUSE_MS });
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        if random.f64() < CLOSED_SHARE {
            connection = None;
        }
    }
}

/// Connects to a gatherer drawn at random; `None` if it takes no connections or connecting fails.
async fn connect(context: &ClientContext, random: &mut Rng) -> Option<Connection> {
    let gatherer = context.gatherers[random.usize(..context.gatherers.len())].clone();
    let process = gatherer.process.get();
    let stream = connect_to(&gatherer).await?;
    Some(Connection { stream, buffer: BytesMut::new(), process, requests: 0 })
}

/// Connects to a gatherer; `None` if it takes no connections or connecting fails.
pub async fn connect_to(gatherer: &GathererEndpoint) -> Option<TcpStream> {
    if !gatherer.accepts_connections.get() {
        return None;
    }
    // On any error the client pauses and tries again.
    let stream = TcpStream::connect(&gatherer.address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Encodes a request of 1 to 4 successive shards with a predicate of random length.
pub fn encode_request(id: &str, class: &ClientClass, random: &mut Rng) -> EncodedRequest {
    let first = random.u32(..SHARDS);
    let shards: Vec<u32> = (0..random.u32(1..5)).map(|at| (first + at) % SHARDS).collect();
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> =
        shards.iter().map(|shard| json!({"range": shard, "portion": portion, "price": 8000})).collect();
    let body = json!({"ranges": ranges, "predicate": "c41e".repeat(random.usize(1..200))}).to_string();
    let ClientClass { name, budget_ms, .. } = class;
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {id}\r\nX-Call-Class: {name}\r\nX-Caller: bank\r\n\
         X-Budget-Ms: {budget_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    EncodedRequest { bytes: [head.into_bytes(), body.into_bytes()].concat(), shards }
}

/// Sends a request, waits for its end and records it. Returns the connection if it can be reused.
async fn send_request(context: &ClientContext, mut open: Connection, random: &mut Rng) -> Option<Connection> {
    let class = ClientClass::draw(random);
    let id = format!("{:016x}", random.u64(..));
    let request = encode_request(&id, &class, random);
    if !write_request(&mut open, &request.bytes, random).await {
        // Not recorded: the gatherer has not received the whole request, so it owes no response.
        return None;
    }
    let sent_at = now_us();
    let disconnects_early = random.f64() < EARLY_DISCONNECT_SHARE;
    let wait = if disconnects_early {
        Duration::from_millis(random.u64(EARLY_DISCONNECT_MS))
    } else {
        Duration::from_millis(class.budget_ms) + EXTRA_WAIT
    };
    let response = tokio::time::timeout(wait, read_response(&mut open)).await;
    let (outcome, keep_alive) = match response {
        Ok(Ok(response)) => (context.outcome(&response, &id, &request.shards), response.keep_alive),
        Ok(Err(_)) => (RequestOutcome::ConnectionClosed, false),
        Err(_) if disconnects_early => (RequestOutcome::ClientDisconnected, false),
        Err(_) => (RequestOutcome::NoResponse, false),
    };
    let (process, first_on_connection) = (open.process, open.requests == 0);
    open.requests += 1;
    // A connection that is not reused is closed here, before the time of the request's end is taken.
    let reusable = keep_alive.then_some(open);
    context.observations.borrow_mut().requests.push(Request {
        id,
        repeats: class.repeats,
        process,
        first_on_connection,
        sent_at,
        budget_us: class.budget_ms * 1000,
        ended_at: now_us(),
        outcome,
    });
    reusable
}

/// Writes a request, sometimes in two pieces. Returns false if writing failed.
async fn write_request(open: &mut Connection, bytes: &[u8], random: &mut Rng) -> bool {
    let split_at = if random.f64() < SPLIT_SHARE { random.usize(1..bytes.len()) } else { 0 };
    if split_at > 0 {
        if open.stream.write_all(&bytes[..split_at]).await.is_err() {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(random.u64(SPLIT_PAUSE_MS))).await;
    }
    open.stream.write_all(&bytes[split_at..]).await.is_ok()
}

/// Reads the next response; an error if the connection ends first or the response is malformed.
async fn read_response(open: &mut Connection) -> std::io::Result<ReceivedResponse> {
    loop {
        if let Some(response) =
            http::take_response(&mut open.buffer, http::MAX_BODY_BYTES).map_err(std::io::Error::other)?
        {
            return Ok(response);
        }
        if open.stream.read_buf(&mut open.buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

impl ClientContext {
    /// Counts a response by its status, and checks its body if the status is 200.
    fn outcome(&self, response: &ReceivedResponse, id: &str, shards: &[u32]) -> RequestOutcome {
        let count = match response.status {
            200 => &self.responses.served,
            429 | 503 => &self.responses.rejected,
            _ => &self.responses.failed,
        };
        count.set(count.get() + 1);
        let correct = response.status != 200 || is_correct(&response.body, id, shards);
        RequestOutcome::Response { status: response.status, correct }
    }
}

/// Whether a response is marked complete (`total`) and holds the worker's value for each part of the request.
fn is_correct(body: &[u8], id: &str, shards: &[u32]) -> bool {
    let Ok(response) = serde_json::from_slice::<Value>(body) else { return false };
    let hits = response["answers"].as_array().cloned().unwrap_or_default();
    let is_expected = |hit: &Value| {
        let shard = hit["range"].as_u64().and_then(|shard| u32::try_from(shard).ok());
        shard.is_some_and(|shard| {
            let expected = stand_in_worker::value(&format!("{id}.{shard}"));
            shards.contains(&shard) && hit["blob"].as_str() == Some(&expected)
        })
    };
    // Both classes require complete answers (`min-share` is 1.0).
    response["total"].as_bool() == Some(true) && hits.len() == shards.len() && hits.iter().all(is_expected)
}

/// Sends the beginning of a request, then waits for the gatherer to respond or to close the connection.
async fn stall_mid_request(context: &ClientContext, mut open: Connection, random: &mut Rng) {
    let request = encode_request("stopped", &SEARCH, random);
    let split_at = random.usize(1..request.bytes.len() - 1);
    if open.stream.write_all(&request.bytes[..split_at]).await.is_err() {
        return;
    }
    let stalled_at = now_us();
    let closed = tokio::time::timeout(STALL_OBSERVED_FOR, read_response(&mut open)).await;
    let closed_at = closed.is_ok().then(now_us);
    context.observations.borrow_mut().stalled_clients.push(StalledClient { stalled_at, closed_at });
}
