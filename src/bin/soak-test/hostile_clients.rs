//! Clients that behave badly for a while and then in another way: they send without waiting, write slowly, stop half
//! way, do not read, close with much unread, or send an id again after they have left.

use crate::clients::{ClientContext, GathererEndpoint, SEAL, connect_to, encode_request};
use crate::monotonic::now_us;
use fastrand::Rng;
use gatherer::soak::checker::{Request, RequestOutcome};
use gatherer::soak::hostile_requests::{HOSTILE_REQUESTS, HostileRequest, TargetApi};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Time for which a client behaves in one way, in milliseconds.
const BEHAVIOUR_MS: Range<u64> = 200..1500;
/// Connections that a client which floods or stops half way opens at once.
const CONNECTIONS: Range<usize> = 1..13;
/// Bytes that a slow client writes at once, and the pause after them.
const SLOW_BYTES: usize = 16;
const SLOW_PAUSE: Duration = Duration::from_millis(10);
/// Numbers of queries that a client writes at once before it closes.
const BURSTS: [usize; 3] = [4, 200, 1000];
/// Time after its first byte at which a client leaves, in milliseconds.
const LEAVES_AFTER_MS: Range<u64> = 0..40;
/// Time after which an id comes again, in milliseconds.
const AGAIN_AFTER_MS: Range<u64> = 5..200;
/// Time after which it is known that no other process has taken over the address meanwhile.
const TAKEOVER_KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Bytes of one read of responses.
const READ_BYTES: usize = 16 * 1024;

/// What a client does for a while.
#[derive(Clone, Copy)]
enum Behaviour {
    Flood,
    FloodUnread,
    HalfWritten,
    SlowWrites,
    BurstAndClose,
    IdAgain,
}

const BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Flood,
    Behaviour::FloodUnread,
    Behaviour::HalfWritten,
    Behaviour::SlowWrites,
    Behaviour::BurstAndClose,
    Behaviour::IdAgain,
];

/// Runs one client until the soak test has finished.
pub async fn run_client(context: Rc<ClientContext>, mut random: Rng) {
    while !context.finished.get() {
        let gatherer = context.gatherers[random.usize(..context.gatherers.len())].clone();
        let behaviour = BEHAVIOURS[random.usize(..BEHAVIOURS.len())];
        let lasts = Duration::from_millis(random.u64(BEHAVIOUR_MS));
        match behaviour {
            Behaviour::BurstAndClose => burst_and_close(&context, &gatherer, &mut random).await,
            Behaviour::IdAgain => send_id_again(&context, &gatherer, &mut random).await,
            _ => {
                let kind = HOSTILE_REQUESTS[random.usize(..HOSTILE_REQUESTS.len())];
                let connections: Vec<_> = (0..random.usize(CONNECTIONS))
                    .map(|_| spawn_local(misbehave(gatherer.clone(), behaviour, kind, random.fork())))
                    .collect();
                tokio::time::sleep(lasts).await;
                connections.iter().for_each(tokio::task::JoinHandle::abort);
            }
        }
        tokio::time::sleep(SLOW_PAUSE).await;
    }
}

/// Opens idle connections that are kept until the soak test ends, as many as a gatherer has descriptors for.
pub async fn hold_idle_connections(context: Rc<ClientContext>, count: usize) {
    let mut held = Vec::new();
    while !context.finished.get() {
        held.retain(|stream: &TcpStream| stream.try_read(&mut [0]).is_err());
        for gatherer in &context.gatherers {
            if held.len() < count * context.gatherers.len()
                && let Some(stream) = connect_to(gatherer).await
            {
                held.push(stream);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Misbehaves on one connection after the other.
async fn misbehave(
    gatherer: Rc<GathererEndpoint>,
    behaviour: Behaviour,
    kind: HostileRequest,
    mut random: Rng,
) {
    loop {
        if let Some(stream) = connect_to(&gatherer).await {
            // A connection that ends is the usual end.
            let _ = misbehave_on(stream, behaviour, kind, &mut random).await;
        }
        tokio::time::sleep(SLOW_PAUSE).await;
    }
}

async fn misbehave_on(
    stream: TcpStream,
    behaviour: Behaviour,
    kind: HostileRequest,
    random: &mut Rng,
) -> std::io::Result<()> {
    let (mut read, mut write) = stream.into_split();
    let request = kind.encode(TargetApi::Platform, random.u64(..));
    let reading = async {
        let mut buffer = vec![0; READ_BYTES];
        while read.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    match behaviour {
        Behaviour::FloodUnread => loop {
            write.write_all(&request).await?;
        },
        Behaviour::HalfWritten => {
            write.write_all(&request[..request.len() / 2]).await?;
            reading.await
        }
        Behaviour::SlowWrites => {
            for piece in request.chunks(SLOW_BYTES) {
                write.write_all(piece).await?;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
            reading.await
        }
        _ => {
            let writing = async {
                loop {
                    write.write_all(&kind.encode(TargetApi::Platform, random.u64(..))).await?;
                }
            };
            tokio::select! {
                result = writing => result,
                result = reading => result,
            }
        }
    }
}

/// Writes many queries at once and closes the connection soon after, with most of them unread.
async fn burst_and_close(context: &ClientContext, gatherer: &GathererEndpoint, random: &mut Rng) {
    let Some(mut stream) = connect_to(gatherer).await else { return };
    let process = gatherer.process.get();
    let mut ids = Vec::new();
    let mut bytes = Vec::new();
    for _ in 0..BURSTS[random.usize(..BURSTS.len())] {
        let id = format!("{:016x}", random.u64(..));
        bytes.extend(encode_request(&id, &SEAL, random).bytes);
        ids.push(id);
    }
    let sent_at = now_us();
    let leaves_after = Duration::from_millis(random.u64(LEAVES_AFTER_MS));
    // The client leaves whether or not all was written.
    let _ = tokio::time::timeout(leaves_after, stream.write_all(&bytes)).await;
    tokio::time::sleep(leaves_after).await;
    drop(stream);
    let ended_at = now_us();
    let mut observations = context.observations.borrow_mut();
    observations.requests.extend(ids.into_iter().map(|id| Request {
        id,
        repeats: SEAL.repeats,
        process,
        first_on_connection: true,
        sent_at,
        budget_us: SEAL.budget_ms * 1000,
        ended_at,
        outcome: RequestOutcome::ClientDisconnected,
    }));
}

/// Sends a query, leaves, and sends the same query again on another connection.
async fn send_id_again(context: &Rc<ClientContext>, gatherer: &Rc<GathererEndpoint>, random: &mut Rng) {
    let process = gatherer.process.get();
    let id = format!("{:016x}", random.u64(..));
    let request = encode_request(&id, &SEAL, random).bytes;
    let sent_at = now_us();
    for pause in [LEAVES_AFTER_MS, AGAIN_AFTER_MS] {
        let Some(mut stream) = connect_to(gatherer).await else { return };
        if stream.write_all(&request).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(random.u64(pause))).await;
    }
    let request = Request {
        id,
        repeats: SEAL.repeats,
        process,
        first_on_connection: true,
        sent_at,
        budget_us: SEAL.budget_ms * 1000 + AGAIN_AFTER_MS.end * 1000,
        ended_at: now_us(),
        outcome: RequestOutcome::ClientDisconnected,
    };
    let (context, gatherer) = (context.clone(), gatherer.clone());
    spawn_local(async move {
        tokio::time::sleep(TAKEOVER_KNOWN_AFTER).await;
        // Another process does not know the ids of the one before it.
        if gatherer.process.get() == process {
            context.observations.borrow_mut().requests.push(request);
        }
    });
}
