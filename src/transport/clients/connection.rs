//! Serves one client's connection: reads requests and writes exactly one response to each, until the connection is
//! closed.
//!
//! Owns the stream from admission to close. The content of responses comes from the [`Front`], the decision to evict
//! the connection from the connection manager.

use super::closing::{final_write_timeout, linger, poll_once, write_and_close};
use super::connection_permit::ConnectionPermit;
use super::front::Front;
use super::input_buffer::{ArrivedRequest, InputBuffer};
use super::panic_guard::catch_panic;
use super::pipelined_input::{PipelinedInput, ReadAhead};
use super::response_guard::ResponseGuard;
use super::source::source;
use crate::limits::client_connections::{EvictionReason, RequestValidity};
use crate::protocol::http::{MalformedMessage, Request, Response};
use crate::transport::connector::Stream;
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::Instant;

/// How long writing a response to a client may take.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Serves one connection until it is closed.
pub async fn serve_connection<F: Front>(
    stream: impl Stream,
    peer: SocketAddr,
    front: &F,
    permit: ConnectionPermit,
) {
    let (read, write) = tokio::io::split(stream);
    let mut connection = ClientConnection {
        read,
        write,
        input: InputBuffer::default(),
        responses: 0,
        responded_at: None,
        peer,
        front,
        permit,
    };
    while let Some(request) = connection.next_request().await {
        if connection.respond_to(request).await.is_break() {
            return;
        }
    }
}

/// The next step of a connection after a read or an eviction.
enum NextStep {
    /// A complete request was read.
    Serve(Request),
    /// The connection is closed after these bytes are written.
    CloseAfterWriting(Bytes),
    /// The connection is closed without writing anything.
    Close,
}

/// One client's connection. Fields are dropped in this order, so the socket is closed before its descriptor is
/// released.
struct ClientConnection<'a, S, F> {
    read: ReadHalf<S>,
    write: WriteHalf<S>,
    /// What was read and is not served yet.
    input: InputBuffer,
    /// The number of responses written.
    responses: u64,
    /// When the last response was ready.
    responded_at: Option<Instant>,
    peer: SocketAddr,
    front: &'a F,
    permit: ConnectionPermit,
}

impl<S: Stream, F: Front> ClientConnection<'_, S, F> {
    /// Reads the next request. `None` if the connection has ended instead, after a rejection or error response where
    /// one is due.
    async fn next_request(&mut self) -> Option<Request> {
        match self.next_step().await {
            NextStep::Serve(request) => Some(request),
            NextStep::CloseAfterWriting(bytes) => {
                self.write_and_close(&bytes).await;
                None
            }
            NextStep::Close => None,
        }
    }

    /// Gets the response to a request from the front and writes it. Breaks if the connection has ended.
    async fn respond_to(&mut self, request: Request) -> ControlFlow<()> {
        let guard = ResponseGuard::new(self.front, &request);
        if let Some(caller) = self.front.caller(&request) {
            self.permit.set_source(source(self.peer, Some(caller)));
        }
        if !self.permit.try_begin_request() {
            return self.reject(&request, guard).await;
        }
        let (keep_alive, is_head, forwards) =
            (request.keep_alive, request.method == "HEAD", self.front.forwards(&request));
        let mut input = PipelinedInput {
            read: &mut self.read,
            input: &mut self.input,
            permit: &self.permit,
            body_bytes: request.body.len(),
            overflowed: false,
        };
        if forwards && input.read_ahead().await == ReadAhead::Incomplete {
            self.permit.update_counters(|counters| counters.rejected_unread += 1);
            return self.reject(&request, guard).await;
        }
        let response = self.permit.task().await_response(catch_panic(self.front.respond(request)));
        let response = tokio::select! {
            biased;
            response = response => response,
            () = input.wait_for_client_close() => {
                self.permit.update_counters(|counters| counters.client_closed_waiting += 1);
                guard.mark_client_gone();
                return ControlFlow::Break(());
            }
        };
        let pipelining_overflowed = input.overflowed;
        let response = response.unwrap_or_else(|_| {
            log::error!("request {}: the front panicked, it is answered as failed", guard.label());
            self.permit.update_counters(|counters| counters.front_panicked += 1);
            self.front.failure()
        });
        let closes = !keep_alive
            || pipelining_overflowed
            || self.permit.connection_manager().lifecycle_state().closes_after_response();
        self.permit.task().end_request(is_invalid(response.status));
        self.responded_at = Some(Instant::now());
        let mut bytes = response.encode(closes);
        if is_head {
            bytes.truncate(bytes.len() - response.body.len());
        }
        self.write_response(&bytes, guard).await?;
        if closes {
            if self.write.shutdown().await.is_ok() {
                linger(&mut self.read, final_write_timeout(self.permit.connection_manager())).await;
            }
            return ControlFlow::Break(());
        }
        self.responses += 1;
        self.permit.on_response_sent(match response.status {
            400 | 405 | 411..=414 | 431 | 501 => RequestValidity::Invalid,
            _ => RequestValidity::Valid,
        });
        ControlFlow::Continue(())
    }

    /// Writes a rejection to a request that was not served, and closes the connection.
    async fn reject(&mut self, request: &Request, guard: ResponseGuard<'_, F>) -> ControlFlow<()> {
        let rejection = self.front.rejection(Some(request)).encode(true);
        if self.write_and_close(&rejection).await {
            guard.mark_sent();
        } else {
            // The client has gone, or does not read.
            self.permit.update_counters(|counters| counters.response_write_failed += 1);
            guard.mark_client_gone();
        }
        ControlFlow::Break(())
    }

    /// Writes a response. Breaks if the client has closed the connection or does not read the response in time.
    async fn write_response(&mut self, bytes: &[u8], guard: ResponseGuard<'_, F>) -> ControlFlow<()> {
        self.permit.buffer_reservation.set(self.input.held_bytes() + bytes.len());
        match tokio::time::timeout(RESPONSE_WRITE_TIMEOUT, self.write.write_all(bytes)).await {
            Ok(Ok(())) => {
                guard.mark_sent();
                ControlFlow::Continue(())
            }
            Ok(Err(error)) => {
                log::debug!("client at {}: cannot write the response: {error}", self.peer);
                self.permit.update_counters(|counters| counters.response_write_failed += 1);
                guard.mark_client_gone();
                ControlFlow::Break(())
            }
            Err(_) => {
                self.permit.update_counters(|counters| counters.response_write_timed_out += 1);
                ControlFlow::Break(())
            }
        }
    }

    /// Reads until the next request is complete or the connection has to end. The time limits of requests and of idle
    /// connections are set in [`crate::limits::client_connections`]; their expiry arrives here as an eviction.
    async fn next_step(&mut self) -> NextStep {
        let mut continue_sent = false;
        if !self.input.is_empty() {
            self.permit.on_bytes_received(self.input.len());
        }
        loop {
            match self.take_request().await {
                Ok(Some(request)) => return NextStep::Serve(request),
                Ok(None) => {}
                Err(error) => {
                    self.permit.task().end_request(true);
                    self.permit.on_malformed_input();
                    return NextStep::CloseAfterWriting(self.front.malformed_response(error).encode(true));
                }
            }
            if !continue_sent && self.input.expects_continue() {
                continue_sent = true;
                if self.write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                    return NextStep::Close;
                }
            }
            if let Some(next_step) = self.read_more().await {
                return next_step;
            }
        }
    }

    /// Takes a complete request off the buffer, if there is one, in a turn in which no other request has ended.
    async fn take_request(&mut self) -> Result<Option<Request>, MalformedMessage> {
        if self.input.is_empty() {
            return Ok(None);
        }
        self.permit.task().wait_for_unused_turn().await;
        let Some(ArrivedRequest { request, arrived_at }) = self.input.take_request()? else {
            return Ok(None);
        };
        let unread = arrived_at.map_or(Duration::ZERO, |arrived_at| arrived_at.elapsed());
        if arrived_at
            .zip(self.responded_at)
            .is_some_and(|(arrived_at, responded_at)| arrived_at < responded_at)
        {
            self.permit.task().mark_pipelined();
        }
        Ok(Some(Request { waited: unread + self.permit.take_queue_time(), ..request }))
    }

    /// Waits for more bytes, an eviction or the time at which idle connections are closed. Returns how the connection
    /// ends, if it ends.
    async fn read_more(&mut self) -> Option<NextStep> {
        // Many incomplete requests could exhaust memory together: the more is buffered in total, the less each may
        // hold.
        let may_read = self.permit.buffer_reservation.allowance() >= self.input.held_bytes_after_reserve();
        if may_read {
            self.input.reserve();
        }
        self.permit.buffer_reservation.set(self.input.held_bytes());
        let closes_when_idle = self.input.is_empty()
            && (self.responses > 0 || !self.permit.connection_manager().lifecycle_state().accepts_queries());
        tokio::select! {
            biased;
            read = self.read.read_buf(self.input.buffer()), if may_read => return self.on_read(read),
            () = self.permit.buffer_reservation.wait_for_space(), if !may_read => return None,
            reason = self.permit.evicted() => {
                if !self.input.is_empty() {
                    return Some(evicted_mid_request(reason));
                }
            }
            // A new connection to a drained process still gets a response to its first request.
            () = wait_until_idle_close_is_due(&self.permit, self.responses), if closes_when_idle => {}
        }
        self.close_if_idle().await
    }

    /// Handles the result of a read. Returns how the connection ends, if it ends.
    fn on_read(&mut self, read: io::Result<usize>) -> Option<NextStep> {
        match read {
            Ok(count @ 1..) => {
                self.input.record_read(count, self.permit.task().input_arrived_at());
                self.permit.on_bytes_received(count);
                return None;
            }
            Ok(0) => {}
            Err(error) => log::debug!("client at {}: cannot read: {error}", self.peer),
        }
        let mid_request = !self.input.is_empty();
        self.permit.update_counters(|counters| {
            *if mid_request {
                &mut counters.client_closed_mid_request
            } else {
                &mut counters.client_closed_idle
            } += 1;
        });
        Some(NextStep::Close)
    }

    /// Closes a connection on which nothing is in flight, unless bytes of a request have arrived meanwhile. Before the
    /// first response a rejection is written first: the first request may be in transit, and its client then reads the
    /// rejection instead of an end of the connection without any response.
    async fn close_if_idle(&mut self) -> Option<NextStep> {
        self.input.reserve();
        if self.request_arrived().await {
            return None;
        }
        if self.responses == 0 {
            return Some(NextStep::CloseAfterWriting(self.front.rejection(None).encode(true)));
        }
        self.close_idle().await;
        Some(NextStep::Close)
    }

    /// Reads what has arrived. Returns whether there was anything, in which case the eviction is cancelled.
    async fn request_arrived(&mut self) -> bool {
        // The runtime polls its sockets during the yield, so that bytes that have arrived can be read.
        tokio::task::yield_now().await;
        let Some(Ok(count @ 1..)) = poll_once(self.read.read_buf(self.input.buffer())).await else {
            return false;
        };
        self.input.record_read(count, self.permit.task().input_arrived_at());
        self.permit.cancel_eviction(count);
        true
    }

    /// Closes an idle connection that has had responses. The close lingers: a request that arrives meanwhile is read
    /// and discarded, so that the connection is not reset and the client sees an orderly end.
    async fn close_idle(&mut self) {
        if self.write.shutdown().await.is_ok()
            && linger(&mut self.read, final_write_timeout(self.permit.connection_manager())).await
        {
            self.permit.on_request_after_close();
        }
    }

    /// Writes the last bytes of the connection and closes it. Returns whether all were written.
    async fn write_and_close(&mut self, bytes: &[u8]) -> bool {
        write_and_close(&mut self.read, &mut self.write, bytes, self.permit.connection_manager()).await
    }
}

/// Whether the request that got a response with this status is charged as invalid. Requests that conflict with others,
/// or that are rejected for lack of capacity, are valid.
fn is_invalid(status: u16) -> bool {
    matches!(status, 400..=407 | 410..=428 | 430..=499 | 501)
}

/// Returns the step that ends a connection evicted in the middle of a request: a 408 response.
fn evicted_mid_request(reason: EvictionReason) -> NextStep {
    let reason = match reason {
        EvictionReason::Slow => "the request did not end in time",
        _ => "no room",
    };
    NextStep::CloseAfterWriting(Response::text(408, reason).encode(true))
}

/// Waits until an idle connection is to be closed. Before the first response the time limit of a last write is added:
/// the first request may be in transit, and its client could not interpret a close without a response.
async fn wait_until_idle_close_is_due(permit: &ConnectionPermit, responses: u64) {
    permit.connection_manager().wait_for_idle_close().await;
    if responses == 0 {
        tokio::time::sleep(final_write_timeout(permit.connection_manager())).await;
    }
}
