//! Accepts clients' connections, reads their requests and writes exactly one response to each.
//!
//! It owns the bytes of a connection from accept to close. It never decides who is admitted or evicted, which is the
//! [`ConnectionManager`]'s, nor what a response says, which is the [`Front`]'s.

use super::connection_manager::{ConnectionManager, ConnectionPermit};
use super::response_guard::ResponseGuard;
use crate::limits::client_connections::{EvictionReason, RequestValidity, Source};
use crate::limits::{AcceptPacer, DescriptorClass};
use crate::protocol::http::{self, Request, Response};
use crate::routing::Invariant;
use crate::service::LifecycleState;
use crate::transport::connector::Stream;
use crate::transport::errors::{self, RetryDelays};
use crate::transport::socket::Socket;
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long writing a response to a client may take.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long the last write on a connection, and the wait for the client's close behind it, may take each.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same limit when descriptors or buffers are scarce.
const FINAL_WRITE_TIMEOUT_UNDER_PRESSURE: Duration = Duration::from_millis(20);
/// The longest delay after a failed accept: without a delay, a process out of descriptors would spin.
const MAX_ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a new connection waits for a descriptor that an evicted one is about to release, and how long writing the
/// rejection of one that got none may take.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(50);
/// How many bytes a client may send ahead of the response that it waits for.
const MAX_PIPELINED_BYTES: usize = 2 * http::MAX_BODY_BYTES;
/// The most bytes of one read.
const READ_CHUNK_BYTES: usize = 4096;

/// Answers requests in one of the HTTP forms that clients speak.
pub trait Front {
    /// Returns the response to one request. The future is dropped when the client closes its connection first.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;
    /// Returns the response to bytes that are not a valid request.
    fn malformed(&self, error: http::Malformed) -> Response;
    /// Returns the rejection of a request, where one was read, for which there is no capacity. It was not executed.
    fn overloaded(&self, request: Option<&Request>) -> Response;
    /// Returns who a request says sent it, where the form has a field for that.
    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// Returns the request's name in the log, where the form has one.
    fn label<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// Reports that an invariant was violated on a connection.
    fn violated(&self, invariant: Invariant, concerns: &str);
}

/// Resolves to an accepted connection and its peer's address.
pub type AcceptFuture<'a> = Pin<Box<dyn Future<Output = io::Result<(Box<dyn Stream>, SocketAddr)>> + 'a>>;

/// A source of incoming connections: a listening socket, or what stands in for it in tests.
pub trait Accept {
    /// Waits for the next connection.
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
            let (stream, peer) = TcpListener::accept(self).await?;
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("client: {error}");
            }
            Ok((Box::new(Socket::new(stream)) as Box<dyn Stream>, peer))
        })
    }
}

/// Hashes a client's address, and what it says of itself, to the source that connections are counted by.
fn source(address: SocketAddr, caller: Option<&str>) -> Source {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    match address {
        SocketAddr::V4(address) => hash.update(&address.ip().octets()),
        SocketAddr::V6(address) => hash.update(&address.ip().octets()),
    }
    hash.update(caller.unwrap_or_default().as_bytes());
    Source(hash.digest())
}

/// Accepts connections until the lifecycle ends accepting; whoever has connected by then still gets a response. The loop
/// never waits for a descriptor that nobody is about to release, and keeps to its share of processor time while many
/// connections arrive at once.
pub async fn accept<F: Front + 'static>(listener: impl Accept, front: Rc<F>, manager: Rc<ConnectionManager>) {
    let (mut pacer, mut delays) = (AcceptPacer::default(), RetryDelays::default());
    // When accepts began to fail: a connection accepted afterwards has waited at most since then, until the backlog has
    // been seen empty.
    let mut failing_since = None;
    loop {
        // After the takeover the backlog belongs to the successor.
        if matches!(manager.lifecycle_state(), LifecycleState::HandedOver { .. }) {
            return;
        }
        let mut started_at = manager.descriptor_pool().now();
        let ready = tokio::select! {
            biased;
            accepted = listener.accept() => Some(accepted),
            () = std::future::ready(()) => None,
        };
        let accepted = match ready {
            Some(accepted) => accepted,
            None => {
                pacer.reset();
                failing_since = None;
                let accepted = tokio::select! {
                    biased;
                    accepted = listener.accept() => accepted,
                    () = manager.wait_for_accept_end() => {
                        // Closing the listening socket would reset the connections in its backlog, so they are taken
                        // first. After the yield the runtime has polled its sockets and knows of all of them.
                        tokio::task::yield_now().await;
                        match poll_once(listener.accept()).await {
                            Some(accepted)
                                if !matches!(manager.lifecycle_state(), LifecycleState::HandedOver { .. }) =>
                            {
                                accepted
                            }
                            _ => return,
                        }
                    }
                };
                started_at = manager.descriptor_pool().now();
                accepted
            }
        };
        match accepted {
            Ok((stream, peer)) => match manager.admit(source(peer, None), ADMISSION_TIMEOUT).await {
                Some(permit) => {
                    permit.set_queue_time(
                        failing_since
                            .map_or(Duration::ZERO, |since| manager.descriptor_pool().now().since(since)),
                    );
                    let front = front.clone();
                    tokio::task::spawn_local(async move { serve(stream, peer, &*front, permit).await });
                }
                None => reject_connection(stream, &front.overloaded(None), &manager).await,
            },
            Err(error) => {
                failing_since.get_or_insert(started_at);
                recover_from_accept_error(&manager, &error, &mut delays).await;
                continue;
            }
        }
        delays = RetryDelays::default();
        if let Some(delay) = pacer.record_accept(started_at, manager.descriptor_pool().now()) {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Waits until another accept may succeed. Connections in the backlog wait for as long as this does.
async fn recover_from_accept_error(manager: &ConnectionManager, error: &io::Error, delays: &mut RetryDelays) {
    manager.descriptor_pool().counters.borrow_mut().accept_failed += 1;
    if !errors::is_out_of_descriptors(error) {
        // The error was that one connection's, or an interrupted call: the next accept may succeed at once.
        log::debug!("accept: {error}");
        return tokio::task::yield_now().await;
    }
    log::warn!("accept: {error}");
    // Descriptors are exhausted outside the budget: closing an evictable client connection frees one.
    let released = manager.descriptor_pool().wait_for_release();
    manager.descriptor_pool().reclaim(DescriptorClass::Clients);
    // The next accept is tried after the delay whether one was released or not.
    let _ = tokio::time::timeout(delays.next_delay().min(MAX_ACCEPT_RETRY_DELAY), released).await;
}

/// Writes a rejection to a connection that got no descriptor permit: a query is in flight on every other one.
async fn reject_connection(mut stream: Box<dyn Stream>, response: &Response, manager: &ConnectionManager) {
    manager.descriptor_pool().counters.borrow_mut().rejected += 1;
    let bytes = response.encode(true);
    let written = async { stream.write_all(&bytes).await.is_ok() && stream.shutdown().await.is_ok() };
    // The connection is closed whether its client has read the rejection or not.
    if tokio::time::timeout(ADMISSION_TIMEOUT, written).await == Ok(true) {
        linger(&mut stream, ADMISSION_TIMEOUT).await;
    }
}

/// What a connection's next step is, once it has read what came.
enum NextStep {
    /// A complete request was read.
    Serve(Request),
    /// These bytes are written, then the connection is closed.
    CloseAfterWriting(Bytes),
    /// The connection is closed without a further byte.
    Close,
}

/// Serves one connection until it is closed.
pub async fn serve<F: Front>(stream: impl Stream, peer: SocketAddr, front: &F, permit: ConnectionPermit) {
    let (mut read, mut write) = tokio::io::split(stream);
    let (mut buffer, mut responses) = (BytesMut::new(), 0_u64);
    loop {
        let request = match next_step(&mut read, &mut write, &mut buffer, front, &permit, responses).await {
            NextStep::Serve(request) => Request { waited: permit.take_queue_time(), ..request },
            NextStep::CloseAfterWriting(bytes) => {
                write_and_close(&mut read, &mut write, &bytes, permit.connection_manager()).await;
                return;
            }
            NextStep::Close => return,
        };
        let guard = ResponseGuard::new(front, &request);
        if let Some(caller) = front.caller(&request) {
            permit.set_source(source(peer, Some(caller)));
        }
        if !permit.try_begin_request() {
            let rejection = front.overloaded(Some(&request)).encode(true);
            if write_and_close(&mut read, &mut write, &rejection, permit.connection_manager()).await {
                guard.mark_sent();
            }
            return;
        }
        let (keep_alive, is_head, body_bytes) =
            (request.keep_alive, request.method == "HEAD", request.body.len());
        let mut pipelining_overflowed = false;
        let response = tokio::select! {
            biased;
            response = front.respond(request) => response,
            () = client_closed(&mut read, &mut buffer, &permit, body_bytes, &mut pipelining_overflowed) => {
                permit.update_counters(|counters| counters.client_closed_waiting += 1);
                return guard.mark_client_gone();
            }
        };
        let close = !keep_alive
            || pipelining_overflowed
            || permit.connection_manager().lifecycle_state().closes_after_response();
        let mut bytes = response.encode(close);
        if is_head {
            bytes.truncate(bytes.len() - response.body.len());
        }
        permit.buffer_reservation.set(buffer.capacity() + bytes.len());
        match tokio::time::timeout(RESPONSE_WRITE_TIMEOUT, write.write_all(&bytes)).await {
            Ok(Ok(())) => guard.mark_sent(),
            Ok(Err(error)) => {
                log::debug!("client at {peer}: the response could not be written: {error}");
                permit.update_counters(|counters| counters.response_write_failed += 1);
                return guard.mark_client_gone();
            }
            Err(_) => return permit.update_counters(|counters| counters.response_write_timed_out += 1),
        }
        if close {
            if write.shutdown().await.is_ok() {
                linger(&mut read, final_write_timeout(permit.connection_manager())).await;
            }
            return;
        }
        responses += 1;
        permit.on_response_sent(match response.status {
            400 | 405 | 411..=414 | 431 | 501 => RequestValidity::Invalid,
            _ => RequestValidity::Valid,
        });
    }
}

/// Reads until the next request is complete or the connection has to end. Its time limits, and those of an idle
/// connection, are decided in [`crate::limits::client_connections`] and arrive here as an eviction.
async fn next_step<F: Front>(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
    front: &F,
    permit: &ConnectionPermit,
    responses: u64,
) -> NextStep {
    let mut continue_sent = false;
    if !buffer.is_empty() {
        permit.on_bytes_received(buffer.len());
    }
    loop {
        match http::take_request(buffer) {
            Ok(Some(request)) => return NextStep::Serve(request),
            Ok(None) => {}
            Err(error) => {
                permit.on_malformed_input();
                return NextStep::CloseAfterWriting(front.malformed(error).encode(true));
            }
        }
        if !continue_sent && http::expects_continue(buffer) {
            continue_sent = true;
            if write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return NextStep::Close;
            }
        }
        // Many incomplete requests could fill the memory together: the more is buffered in all, the less each may hold.
        let may_read = permit.buffer_reservation.allowance() >= buffer.len() + READ_CHUNK_BYTES;
        if may_read {
            buffer.reserve(READ_CHUNK_BYTES);
        }
        permit.buffer_reservation.set(buffer.capacity());
        tokio::select! {
            biased;
            count = read.read_buf(buffer), if may_read => match count {
                Ok(count @ 1..) => permit.on_bytes_received(count),
                ended => {
                    if let Err(error) = ended {
                        log::debug!("client: {error}");
                    }
                    let mid_request = !buffer.is_empty();
                    permit.update_counters(|counters| {
                        *if mid_request {
                            &mut counters.client_closed_mid_request
                        } else {
                            &mut counters.client_closed_idle
                        } += 1;
                    });
                    return NextStep::Close;
                }
            },
            () = permit.buffer_reservation.wait_for_space(), if !may_read => {}
            reason = permit.evicted() => {
                if !buffer.is_empty() {
                    let reason = match reason {
                        EvictionReason::Slow => "the request did not end in time",
                        _ => "no room",
                    };
                    return NextStep::CloseAfterWriting(Response::text(408, reason).encode(true));
                }
                if let Some(end) = close_if_idle(read, write, buffer, front, permit, responses).await {
                    return end;
                }
            }
            // A new connection to a drained process still gets the response to its first request.
            () = idle_close_due(permit, responses),
                if buffer.is_empty()
                    && (responses > 0 || !permit.connection_manager().lifecycle_state().accepts_queries()) =>
            {
                if let Some(end) = close_if_idle(read, write, buffer, front, permit, responses).await {
                    return end;
                }
            }
        }
    }
}

/// Ends a connection on which nothing is in flight, unless a request has arrived meanwhile. A connection that never had a
/// response gets a rejection first: its first request may be on its way, and its client then finds that rejection in
/// place of a close without any response.
async fn close_if_idle<F: Front>(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
    front: &F,
    permit: &ConnectionPermit,
    responses: u64,
) -> Option<NextStep> {
    buffer.reserve(READ_CHUNK_BYTES);
    if request_arrived(read, buffer, permit).await {
        return None;
    }
    if responses == 0 {
        return Some(NextStep::CloseAfterWriting(front.overloaded(None).encode(true)));
    }
    close_idle(read, write, permit).await;
    Some(NextStep::Close)
}

/// Whether bytes of a request have arrived by now; if so, the connection is not closed.
async fn request_arrived(
    read: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    permit: &ConnectionPermit,
) -> bool {
    // After the yield the runtime has polled its sockets and knows what has arrived.
    tokio::task::yield_now().await;
    let Some(Ok(count @ 1..)) = poll_once(read.read_buf(buffer)).await else { return false };
    permit.cancel_eviction(count);
    true
}

/// Closes an idle connection that has had responses. The close lingers: bytes that cross it are read and discarded, so
/// that no reset takes the last response with it, and the client sees an orderly end of the connection.
async fn close_idle(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    permit: &ConnectionPermit,
) {
    if write.shutdown().await.is_ok() && linger(read, final_write_timeout(permit.connection_manager())).await
    {
        permit.on_request_after_close();
    }
}

/// Polls a future a single time: its value, if it has one without waiting.
async fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = future => Some(value),
        () = std::future::ready(()) => None,
    }
}

/// Waits until idle connections are to be closed. A connection without a response so far gets some time more: its first
/// request may be on its way, and a close without a response says nothing to its client.
async fn idle_close_due(permit: &ConnectionPermit, responses: u64) {
    permit.connection_manager().wait_for_idle_close().await;
    if responses == 0 {
        tokio::time::sleep(final_write_timeout(permit.connection_manager())).await;
    }
}

fn final_write_timeout(manager: &ConnectionManager) -> Duration {
    manager.pressure().limit(FINAL_WRITE_TIMEOUT, FINAL_WRITE_TIMEOUT_UNDER_PRESSURE)
}

/// Writes the last bytes of a connection and closes it, whether its client takes them or not. True if all were written.
async fn write_and_close(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    manager: &ConnectionManager,
) -> bool {
    let end = async { write.write_all(bytes).await.is_ok() && write.shutdown().await.is_ok() };
    let written = tokio::time::timeout(final_write_timeout(manager), end).await == Ok(true);
    if written {
        linger(read, final_write_timeout(manager)).await;
    }
    written
}

/// Returns when the client has closed its connection. Bytes that it sends ahead are kept up to a limit; past that they
/// are discarded, `overflowed` is set and the connection ends after its response. Without these reads, a client that
/// left behind unread bytes would not be noticed.
async fn client_closed(
    read: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    permit: &ConnectionPermit,
    body_bytes: usize,
    overflowed: &mut bool,
) {
    loop {
        let limit = MAX_PIPELINED_BYTES.min(permit.buffer_reservation.allowance().saturating_sub(body_bytes));
        if *overflowed || buffer.len() + READ_CHUNK_BYTES > limit.max(READ_CHUNK_BYTES) {
            *overflowed = true;
            buffer.clear();
        }
        buffer.reserve(READ_CHUNK_BYTES);
        permit.buffer_reservation.set(buffer.capacity() + body_bytes);
        if !matches!(read.read_buf(buffer).await, Ok(1..)) {
            return;
        }
    }
}

/// Reads and discards for a while after a shutdown (a lingering close): closing a socket with unread bytes would reset
/// the connection, and the reset could take the last response with it. True if any bytes arrived.
pub(in crate::transport) async fn linger(read: &mut (impl AsyncRead + Unpin), limit: Duration) -> bool {
    let (mut discarded, mut received) = ([0; READ_CHUNK_BYTES], false);
    let rest = async {
        for _ in 0..MAX_PIPELINED_BYTES / READ_CHUNK_BYTES {
            if !matches!(read.read(&mut discarded).await, Ok(1..)) {
                return;
            }
            received = true;
        }
    };
    // The connection ends here whether the client has closed its side or not.
    let _ = tokio::time::timeout(limit, rest).await;
    received
}
