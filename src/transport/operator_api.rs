//! The server of the operators' API: HTTP/1.1, one request per connection, a few connections at once, with descriptors
//! reserved for them. Its calls share the processor's time with clients.
//!
//! Owns the connections. The requests are handled by an [`OperatorApi`].

mod calls;

use self::calls::{CallState, Calls};
use super::clients::{linger, poll_once, source};
use super::descriptor_pool::{DescriptorPermit, DescriptorPool};
use super::socket::Socket;
use super::task_scheduler::CloseProbe;
use crate::limits::AcceptPacer;
use crate::limits::DescriptorClass;
use crate::limits::descriptors::OPERATOR_DESCRIPTORS;
use crate::protocol::http::{Request, RequestDecoder, Response};
use bytes::BytesMut;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Distinguishes callers of operators from clients at the same address in the account of processor time.
const SOURCE_NAME: &str = "operators";
/// The maximum number of connections served at once. The other two descriptors are for connections that are still being
/// closed.
const MAX_CALLERS: usize = OPERATOR_DESCRIPTORS - 2;
/// How long a request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// How long writing the response may take.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the connection is kept after the response, so that the caller can read it to its end.
const LINGER_TIMEOUT: Duration = Duration::from_millis(50);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The buffer space reserved for each read, in bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// Handles requests of operators.
pub trait OperatorApi {
    /// Returns the response to a request.
    fn respond(&self, request: &Request) -> Response;
}

/// Serves requests until the process ends. Where `MAX_CALLERS` are connected, a new connection waits until another one
/// may be closed: one that has not sent its whole request, or that has its response. A call whose request has arrived
/// always gets its response.
pub async fn serve<A: OperatorApi + 'static>(
    listener: TcpListener,
    api: Rc<A>,
    descriptor_pool: Rc<DescriptorPool>,
) {
    let (mut calls, mut pacer) = (Calls::new(MAX_CALLERS), AcceptPacer::default());
    loop {
        let accepted = match poll_once(listener.accept()).await {
            Some(accepted) => accepted,
            None => {
                pacer.reset();
                listener.accept().await
            }
        };
        let began_at = match accepted {
            Ok((stream, peer)) => {
                calls.make_space().await;
                // The wait above leaves the processor to others.
                let began_at = descriptor_pool.now();
                let descriptor = descriptor_pool.acquire(DescriptorClass::Operators).await;
                spawn_call(&mut calls, Caller { stream, peer, descriptor }, api.clone(), &descriptor_pool);
                began_at
            }
            Err(error) => {
                log::warn!(
                    "operators: cannot accept a connection, retrying after {} ms: {error}",
                    ACCEPT_RETRY_DELAY.as_millis()
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Some(delay) = pacer.record_accept(began_at, descriptor_pool.now()) {
            tokio::time::sleep(delay).await;
        }
    }
}

/// An accepted connection of an operator.
struct Caller {
    stream: TcpStream,
    peer: SocketAddr,
    descriptor: DescriptorPermit,
}

/// Serves a call in a task of its own.
fn spawn_call<A: OperatorApi + 'static>(
    calls: &mut Calls,
    caller: Caller,
    api: Rc<A>,
    descriptor_pool: &DescriptorPool,
) {
    let Caller { stream, peer, descriptor } = caller;
    let task = descriptor_pool.scheduler().add(source(peer, Some(SOURCE_NAME)));
    task.observe(peer, CloseProbe::default());
    let state = calls.new_state();
    let serving = {
        let state = state.clone();
        async move { serve_call(Socket::new(stream), &*api, &state, descriptor).await }
    };
    calls.push(spawn_local(task.run(serving)), state);
}

/// Reads one request, writes its response and closes the connection.
async fn serve_call(
    mut stream: Socket<TcpStream>,
    api: &impl OperatorApi,
    state: &Cell<CallState>,
    _descriptor: DescriptorPermit,
) {
    let (mut buffer, mut decoder) = (BytesMut::new(), RequestDecoder::default());
    let read_request = async {
        loop {
            match decoder.take(&mut buffer) {
                Ok(Some(request)) => return Some(Ok(request)),
                Ok(None) => {}
                Err(error) => return Some(Err(error)),
            }
            buffer.reserve(READ_CHUNK_BYTES);
            // The call may be closed for another one only while nothing that has arrived is unread.
            let read = match poll_once(stream.read_buf(&mut buffer)).await {
                Some(read) => read,
                None => {
                    state.set(CallState::waiting_for_input());
                    let read = stream.read_buf(&mut buffer).await;
                    state.set(CallState::Served);
                    read
                }
            };
            if !matches!(read, Ok(1..)) {
                return None;
            }
        }
    };
    let response = match tokio::time::timeout(REQUEST_TIMEOUT, read_request).await {
        Ok(Some(Ok(request))) => api.respond(&request),
        Ok(Some(Err(error))) => Response::text(error.status(), error.to_string()),
        Ok(None) => return,
        Err(_) => Response::text(408, "the call did not end in time"),
    };
    state.set(CallState::Served);
    let bytes = response.encode(true);
    let write_response = async { stream.write_all(&bytes).await.is_ok() && stream.shutdown().await.is_ok() };
    if tokio::time::timeout(RESPONSE_WRITE_TIMEOUT, write_response).await == Ok(true) {
        state.set(CallState::Answered);
        linger(&mut stream, LINGER_TIMEOUT).await;
    }
}
