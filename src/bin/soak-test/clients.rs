//! Clients of the gatherers: most ask and wait; some leave early, rest, write slowly, or stop in the middle of a request.

use crate::time;
use crate::worker;
use bytes::BytesMut;
use fastrand::Rng;
use gatherer::protocol::http::{self, ReceivedResponse};
use gatherer::soak::judge::{Observations, Request, RequestEnd, Stopped};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Shards of the layout.
pub const SHARDS: u32 = 8;
/// How long after its time a client still looks for its answer.
const LOOK: Duration = Duration::from_millis(1500);
/// How long a client that has stopped is looked after.
const STOPPED: Duration = Duration::from_millis(5000);

/// A gatherer as the front layer sees it.
pub struct Door {
    /// Where clients connect.
    pub address: String,
    /// New connections may be sent there.
    pub open: Cell<bool>,
    /// The process that takes them, as far as is known.
    pub start: Cell<usize>,
}

/// What all clients share.
pub struct Shared {
    /// The gatherers.
    pub doors: Vec<Rc<Door>>,
    /// What was seen.
    pub seen: Rc<RefCell<Observations>>,
    /// No client asks anything new.
    pub over: Cell<bool>,
    /// Requests answered 200, refused, and failed.
    pub counts: [Cell<u64>; 3],
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    start: usize,
    asked: u64,
}

/// A class as clients use it: its name, whether it must not run twice, and its budget.
const CLASSES: [(&str, bool, u64); 2] = [("search", false, 2500), ("seal", true, 2500)];

/// The life of one client.
pub async fn live(shared: Rc<Shared>, mut random: Rng) {
    let mut connection: Option<Connection> = None;
    while !shared.over.get() {
        let open = match connection.take() {
            Some(open) => open,
            None => match connect(&shared, &mut random).await {
                Some(open) => open,
                None => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let mood = random.f64();
        if mood < 0.02 {
            stop_midway(&shared, open, &mut random).await;
            continue;
        }
        connection = ask(&shared, open, &mut random).await;
        // Some rest until the gatherer ends their connection.
        let pause = if mood > 0.98 { random.u64(1000..4000) } else { random.u64(0..60) };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if random.f64() < 0.2 {
            connection = None;
        }
    }
}

async fn connect(shared: &Shared, random: &mut Rng) -> Option<Connection> {
    let door = shared.doors[random.usize(..shared.doors.len())].clone();
    if !door.open.get() {
        return None;
    }
    let start = door.start.get();
    let stream = TcpStream::connect(&door.address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection { stream, buffer: BytesMut::new(), start, asked: 0 })
}

/// A request's bytes, and the parts that it asks for.
fn request(id: &str, class: &str, budget: u64, random: &mut Rng) -> (Vec<u8>, Vec<u32>) {
    let first = random.u32(..SHARDS);
    let parts: Vec<u32> = (0..random.u32(1..5)).map(|at| (first + at) % SHARDS).collect();
    let share = 1.0 / parts.len() as f64;
    let ranges: Vec<Value> =
        parts.iter().map(|shard| json!({"range": shard, "portion": share, "price": 8000})).collect();
    let body = json!({"ranges": ranges, "predicate": "c41e".repeat(random.usize(1..200))}).to_string();
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: bank\r\nX-Budget-Ms: {budget}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    ([head.into_bytes(), body.into_bytes()].concat(), parts)
}

async fn ask(shared: &Shared, mut open: Connection, random: &mut Rng) -> Option<Connection> {
    let (class, once, budget) = CLASSES[usize::from(random.f64() < 0.3)];
    let id = format!("{:016x}", random.u64(..));
    let (bytes, parts) = request(&id, class, budget, random);
    // Some write slowly.
    let cut = if random.f64() < 0.05 { random.usize(1..bytes.len()) } else { 0 };
    if cut > 0 {
        if open.stream.write_all(&bytes[..cut]).await.is_err() {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(random.u64(1..300))).await;
    }
    if open.stream.write_all(&bytes[cut..]).await.is_err() {
        // Its last byte was not written: it was not taken.
        return None;
    }
    let sent = time::now();
    let patience = if random.f64() < 0.06 {
        Duration::from_millis(random.u64(2..60))
    } else {
        Duration::from_millis(budget) + LOOK
    };
    let leaves = patience < LOOK;
    let answer = tokio::time::timeout(patience, response(&mut open)).await;
    let (end, keep) = match answer {
        Ok(Ok(answer)) => {
            let keep = answer.keep_alive;
            (judged(shared, &answer, &id, &parts), keep)
        }
        Ok(Err(_)) => (RequestEnd::Closed, false),
        Err(_) if leaves => (RequestEnd::Left, false),
        Err(_) => (RequestEnd::Silent, false),
    };
    let (start, fresh) = (open.start, open.asked == 0);
    open.asked += 1;
    let kept = keep.then_some(open);
    let ended = time::now();
    let budget = budget * 1000;
    shared.seen.borrow_mut().requests.push(Request { id, once, start, fresh, sent, budget, ended, end });
    kept
}

async fn response(open: &mut Connection) -> std::io::Result<ReceivedResponse> {
    loop {
        if let Some(answer) =
            http::take_response(&mut open.buffer, http::MAX_BODY_BYTES).map_err(std::io::Error::other)?
        {
            return Ok(answer);
        }
        if open.stream.read_buf(&mut open.buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn judged(shared: &Shared, answer: &ReceivedResponse, id: &str, parts: &[u32]) -> RequestEnd {
    let kind = match answer.status {
        200 => 0,
        429 | 503 => 1,
        _ => 2,
    };
    shared.counts[kind].set(shared.counts[kind].get() + 1);
    let honest = kind != 0 || is_honest(&answer.body, id, parts);
    RequestEnd::Answered { status: answer.status, honest }
}

/// Whether an answer holds what workers make for this request, and all parts of it.
fn is_honest(body: &[u8], id: &str, parts: &[u32]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else { return false };
    let hits = answer["answers"].as_array().cloned().unwrap_or_default();
    let sound = |hit: &Value| {
        let shard = hit["range"].as_u64().and_then(|shard| u32::try_from(shard).ok());
        shard.is_some_and(|shard| {
            parts.contains(&shard) && hit["blob"].as_str() == Some(&worker::value(&format!("{id}.{shard}")))
        })
    };
    // Every class of a soak needs all its parts.
    answer["total"].as_bool() == Some(true) && hits.len() == parts.len() && hits.iter().all(sound)
}

/// Sends a part of a request, and stays.
async fn stop_midway(shared: &Shared, mut open: Connection, random: &mut Rng) {
    let (bytes, _) = request("stopped", "search", 2500, random);
    let cut = random.usize(1..bytes.len() - 1);
    if open.stream.write_all(&bytes[..cut]).await.is_err() {
        return;
    }
    let since = time::now();
    let ended = tokio::time::timeout(STOPPED, response(&mut open)).await;
    let ended = ended.is_ok().then(time::now);
    shared.seen.borrow_mut().stopped.push(Stopped { since, ended });
}
