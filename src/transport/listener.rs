//! Clients' connections: accepts them, reads requests, writes each its one response.

use super::connection_manager::{ConnectionManager, ConnectionPermit};
use super::connector::Stream;
use super::errors::{self, RetryDelays};
use super::response_guard::ResponseGuard;
use super::socket::Socket;
use crate::limits::client_connections::{EvictionReason, RequestValidity, Source};
use crate::limits::{AcceptPacer, DescriptorClass};
use crate::protocol::http::{self, Request, Response};
use crate::routing::Invariant;
use crate::service::LifecycleState;
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time for a client to take its response.
const SLOW: Duration = Duration::from_millis(2500);
/// Time for a client to take what is said last on its connection, where there is room and where there is none.
const LAST: Duration = Duration::from_millis(400);
const LAST_TIGHT: Duration = Duration::from_millis(20);
/// The longest pause after a failed accept: without one, a process out of descriptors would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a newcomer waits at most for one that is leaving, and for its refusal at the door.
const DOOR: Duration = Duration::from_millis(50);
/// What a client may have sent ahead of the response that it waits for.
const MOST_AHEAD: usize = 2 * http::MAX_BODY_BYTES;
/// Reading takes at most so much at once.
const READ: usize = 4096;

/// What answers requests.
pub trait Front {
    /// The response to one request. Dropped when the client leaves first.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;
    /// The response to bytes that are no request.
    fn malformed(&self, error: http::Malformed) -> Response;
    /// The refusal of a request for which there is no place, where one is known; it has not run.
    fn overloaded(&self, request: Option<&Request>) -> Response;
    /// Whom a request says it comes from, where the form has a way to say so.
    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// What a request is called in the log, where the form names it.
    fn label<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// A rule was broken on a connection.
    fn violated(&self, invariant: Invariant, concerns: &str);
}

/// A connection that is about to come in.
pub type AcceptFuture<'a> = Pin<Box<dyn Future<Output = io::Result<(Box<dyn Stream>, SocketAddr)>> + 'a>>;

/// Where connections come in.
pub trait Accept {
    /// The next one.
    fn accept(&self) -> AcceptFuture<'_>;
}

impl<A: Accept> Accept for Rc<A> {
    fn accept(&self) -> AcceptFuture<'_> {
        A::accept(self)
    }
}

impl Accept for TcpListener {
    fn accept(&self) -> AcceptFuture<'_> {
        Box::pin(async move {
            let (stream, from) = TcpListener::accept(self).await?;
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("client: {error}");
            }
            Ok((Box::new(Socket::new(stream)) as Box<dyn Stream>, from))
        })
    }
}

fn source(address: SocketAddr, caller: Option<&str>) -> Source {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    match address {
        SocketAddr::V4(address) => hash.update(&address.ip().octets()),
        SocketAddr::V6(address) => hash.update(&address.ip().octets()),
    }
    hash.update(caller.unwrap_or_default().as_bytes());
    Source(hash.digest())
}

/// Accepts connections until the gate closes; whoever has connected by then still gets an answer. It never waits for a
/// place that nobody is about to leave, and takes its share of the time and no more while many come at once.
pub async fn accept<F: Front + 'static>(listener: impl Accept, front: Rc<F>, gate: Rc<ConnectionManager>) {
    let (mut pacer, mut pauses) = (AcceptPacer::default(), RetryDelays::default());
    // Since when accepts have failed; whoever comes in then has waited for so long at most, until the queue is empty.
    let mut failing_since = None;
    loop {
        // What waits in the queue then is the successor's.
        if matches!(gate.lifecycle_state(), LifecycleState::HandedOver { .. }) {
            return;
        }
        let mut begun = gate.descriptor_pool().now();
        let waiting = tokio::select! {
            biased;
            accepted = listener.accept() => Some(accepted),
            () = std::future::ready(()) => None,
        };
        let accepted = match waiting {
            Some(accepted) => accepted,
            None => {
                pacer.reset();
                failing_since = None;
                let accepted = tokio::select! {
                    biased;
                    accepted = listener.accept() => accepted,
                    () = gate.wait_for_accept_end() => {
                        // Guards those who wait in the queue: its close would reset them. Behind it the runtime has
                        // looked at its sockets, and knows of all that have come by now.
                        tokio::task::yield_now().await;
                        match at_once(listener.accept()).await {
                            Some(accepted) if !matches!(gate.lifecycle_state(), LifecycleState::HandedOver { .. }) => accepted,
                            _ => return,
                        }
                    }
                };
                begun = gate.descriptor_pool().now();
                accepted
            }
        };
        match accepted {
            Ok((stream, from)) => match gate.admit(source(from, None), DOOR).await {
                Some(pass) => {
                    pass.set_queue_time(
                        failing_since
                            .map_or(Duration::ZERO, |since| gate.descriptor_pool().now().since(since)),
                    );
                    let front = front.clone();
                    tokio::task::spawn_local(async move { serve(stream, from, &*front, pass).await });
                }
                None => turn_away(stream, &front.overloaded(None), &gate).await,
            },
            Err(error) => {
                failing_since.get_or_insert(begun);
                after_failure(&gate, &error, &mut pauses).await;
                continue;
            }
        }
        pauses = RetryDelays::default();
        if let Some(pause) = pacer.record_accept(begun, gate.descriptor_pool().now()) {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Makes the next accept possible. Those who wait in the queue wait for as long as this does.
async fn after_failure(gate: &ConnectionManager, error: &io::Error, pauses: &mut RetryDelays) {
    gate.descriptor_pool().counters.borrow_mut().accept_failed += 1;
    if !errors::is_out_of_descriptors(error) {
        // It was the connection's own end, or an interrupted call: the next one is as good as any.
        log::debug!("accept: {error}");
        return tokio::task::yield_now().await;
    }
    log::warn!("accept: {error}");
    // Descriptors have run out beside the budget: one that a client holds loosely helps.
    let freed = gate.descriptor_pool().wait_for_release();
    gate.descriptor_pool().reclaim(DescriptorClass::Clients);
    // Whether it frees one or not, the next try comes soon.
    let _ = tokio::time::timeout(pauses.next_delay().min(ACCEPT_PAUSE), freed).await;
}

/// Tells one for whom there is no place when to come back: a query is open on every connection.
async fn turn_away(mut stream: Box<dyn Stream>, response: &Response, gate: &ConnectionManager) {
    gate.descriptor_pool().counters.borrow_mut().rejected += 1;
    let bytes = response.encode(true);
    let told = async { stream.write_all(&bytes).await.is_ok() && stream.shutdown().await.is_ok() };
    // Whether it is read or not, nothing more can be done for it.
    if tokio::time::timeout(DOOR, told).await == Ok(true) {
        drain(&mut stream, DOOR).await;
    }
}

/// What comes next on a connection.
enum Next {
    Request(Request),
    /// These bytes are said last.
    Last(Bytes),
    /// There is nothing to be said.
    End,
}

/// The life of one connection.
pub async fn serve<F: Front>(stream: impl Stream, from: SocketAddr, front: &F, pass: ConnectionPermit) {
    let (mut read, mut write) = tokio::io::split(stream);
    let (mut buffer, mut answers) = (BytesMut::new(), 0_u64);
    loop {
        let request = match next(&mut read, &mut write, &mut buffer, front, &pass, answers).await {
            Next::Request(request) => Request { waited: pass.take_queue_time(), ..request },
            Next::Last(bytes) => {
                last(&mut read, &mut write, &bytes, pass.connection_manager()).await;
                return;
            }
            Next::End => return,
        };
        let owed = ResponseGuard::new(front, &request);
        if let Some(caller) = front.caller(&request) {
            pass.set_source(source(from, Some(caller)));
        }
        if !pass.try_begin_request() {
            let refusal = front.overloaded(Some(&request)).encode(true);
            if last(&mut read, &mut write, &refusal, pass.connection_manager()).await {
                owed.mark_sent();
            }
            return;
        }
        let (keep_alive, bodiless, body) = (request.keep_alive, request.method == "HEAD", request.body.len());
        let mut lost = false;
        let response = tokio::select! {
            biased;
            response = front.respond(request) => response,
            () = gone(&mut read, &mut buffer, &pass, body, &mut lost) => {
                pass.update_counters(|tally| tally.client_closed_waiting += 1);
                return owed.mark_client_gone();
            }
        };
        let close =
            !keep_alive || lost || pass.connection_manager().lifecycle_state().closes_after_response();
        let mut bytes = response.encode(close);
        if bodiless {
            bytes.truncate(bytes.len() - response.body.len());
        }
        pass.buffer_reservation.set(buffer.capacity() + bytes.len());
        match tokio::time::timeout(SLOW, write.write_all(&bytes)).await {
            Ok(Ok(())) => owed.mark_sent(),
            Ok(Err(error)) => {
                log::debug!("client at {from}: the answer could not be written: {error}");
                pass.update_counters(|tally| tally.response_write_failed += 1);
                return owed.mark_client_gone();
            }
            Err(_) => return pass.update_counters(|tally| tally.response_write_timed_out += 1),
        }
        if close {
            if write.shutdown().await.is_ok() {
                drain(&mut read, last_time(pass.connection_manager())).await;
            }
            return;
        }
        answers += 1;
        pass.on_response_sent(match response.status {
            400 | 405 | 411..=414 | 431 | 501 => RequestValidity::Invalid,
            _ => RequestValidity::Valid,
        });
    }
}

/// Reads the next request. Its time limits, and those of a connection without any, are the crowd's.
async fn next<F: Front>(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
    front: &F,
    pass: &ConnectionPermit,
    answers: u64,
) -> Next {
    let mut told = false;
    if !buffer.is_empty() {
        pass.on_bytes_received(buffer.len());
    }
    loop {
        match http::take_request(buffer) {
            Ok(Some(request)) => return Next::Request(request),
            Ok(None) => {}
            Err(error) => {
                pass.on_malformed_input();
                return Next::Last(front.malformed(error).encode(true));
            }
        }
        if !told && http::expects_continue(buffer) {
            told = true;
            if write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return Next::End;
            }
        }
        // Guards against many half requests that fill the memory together: the more there is, the less each may have.
        let more = pass.buffer_reservation.allowance() >= buffer.len() + READ;
        if more {
            buffer.reserve(READ);
        }
        pass.buffer_reservation.set(buffer.capacity());
        tokio::select! {
            biased;
            count = read.read_buf(buffer), if more => match count {
                Ok(count @ 1..) => pass.on_bytes_received(count),
                ended => {
                    if let Err(error) = ended {
                        log::debug!("client: {error}");
                    }
                    let half = !buffer.is_empty();
                    pass.update_counters(|tally| *if half { &mut tally.client_closed_mid_request } else { &mut tally.client_closed_idle } += 1);
                    return Next::End;
                }
            },
            () = pass.buffer_reservation.wait_for_space(), if !more => {}
            why = pass.evicted() => {
                if !buffer.is_empty() {
                    let why = if why == EvictionReason::Slow { "the request did not end in time" } else { "no room" };
                    return Next::Last(Response::text(408, why).encode(true));
                }
                if let Some(end) = part(read, write, buffer, front, pass, answers).await {
                    return end;
                }
            }
            // Guards a newcomer who reaches a drained process: it still gets the answer to its first request.
            () = parting(pass, answers),
                if buffer.is_empty() && (answers > 0 || !pass.connection_manager().lifecycle_state().accepts_queries()) =>
            {
                if let Some(end) = part(read, write, buffer, front, pass, answers).await {
                    return end;
                }
            }
        }
    }
}

/// Ends a connection on which nothing is open, unless a request has come meanwhile. Guards the first request of a
/// newcomer that crosses this: a refusal is said before, for it to find.
async fn part<F: Front>(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
    front: &F,
    pass: &ConnectionPermit,
    answers: u64,
) -> Option<Next> {
    buffer.reserve(READ);
    if has_come(read, buffer, pass).await {
        return None;
    }
    if answers == 0 {
        return Some(Next::Last(front.overloaded(None).encode(true)));
    }
    leave(read, write, pass).await;
    Some(Next::End)
}

/// Whether a request has come by now.
async fn has_come(
    read: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    pass: &ConnectionPermit,
) -> bool {
    // Behind it the runtime has looked at its sockets, and knows of what has come by now.
    tokio::task::yield_now().await;
    let Some(Ok(count @ 1..)) = at_once(read.read_buf(buffer)).await else { return false };
    pass.cancel_eviction(count);
    true
}

/// Closes a connection that had its answers. The close lingers:
/// what crosses it is read and dropped, and its client sees the end of the connection in place of an answer. Guards the
/// answer before, which a reset would take with it.
async fn leave(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    pass: &ConnectionPermit,
) {
    if write.shutdown().await.is_ok() && drain(read, last_time(pass.connection_manager())).await {
        pass.on_request_after_close();
    }
}

/// What a future has to say without waiting.
async fn at_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = future => Some(value),
        () = std::future::ready(()) => None,
    }
}

/// Waits until an idle connection is to end. Guards a newcomer whose request is still on its way: an end without any answer
/// tells its client nothing.
async fn parting(pass: &ConnectionPermit, answers: u64) {
    pass.connection_manager().wait_for_idle_close().await;
    if answers == 0 {
        tokio::time::sleep(last_time(pass.connection_manager())).await;
    }
}

fn last_time(gate: &ConnectionManager) -> Duration {
    gate.pressure().limit(LAST, LAST_TIGHT)
}

/// Says something last; whether the client takes it or not, the connection ends. True if it was written whole.
async fn last(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    gate: &ConnectionManager,
) -> bool {
    let end = async { write.write_all(bytes).await.is_ok() && write.shutdown().await.is_ok() };
    let written = tokio::time::timeout(last_time(gate), end).await == Ok(true);
    if written {
        drain(read, last_time(gate)).await;
    }
    written
}

/// Returns when the client has closed its connection. What it sends ahead is kept for later as far as there is room; past
/// that it is `lost`, and the connection ends behind its answer. Guards against a client that leaves unnoticed behind
/// bytes that nobody reads.
async fn gone(
    read: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    pass: &ConnectionPermit,
    body: usize,
    lost: &mut bool,
) {
    loop {
        let most = MOST_AHEAD.min(pass.buffer_reservation.allowance().saturating_sub(body));
        if *lost || buffer.len() + READ > most.max(READ) {
            *lost = true;
            buffer.clear();
        }
        buffer.reserve(READ);
        pass.buffer_reservation.set(buffer.capacity() + body);
        if !matches!(read.read_buf(buffer).await, Ok(1..)) {
            return;
        }
    }
}

/// Reads on for a moment behind a shutdown, a lingering close: closing with unread bytes would reset the connection and
/// could take the last response with it. Whether anything came.
pub(super) async fn drain(read: &mut (impl AsyncRead + Unpin), longest: Duration) -> bool {
    let (mut scrap, mut came) = ([0; READ], false);
    let rest = async {
        for _ in 0..MOST_AHEAD / READ {
            if !matches!(read.read(&mut scrap).await, Ok(1..)) {
                return;
            }
            came = true;
        }
    };
    // Either way the connection ends here.
    let _ = tokio::time::timeout(longest, rest).await;
    came
}
