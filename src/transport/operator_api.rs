//! Where operators call: HTTP/1.1, one call to a connection, few callers at once on descriptors of their own.

use super::descriptor_pool::{DescriptorPermit, DescriptorPool};
use super::listener::drain;
use super::socket::Socket;
use crate::limits::DescriptorClass;
use crate::limits::descriptors::OPERATOR_DESCRIPTORS;
use crate::protocol::http::{self, Request, Response};
use bytes::BytesMut;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// Callers that are let in at once; the others of their descriptors are those of callers that are just leaving.
const MOST: usize = OPERATOR_DESCRIPTORS - 2;
/// Time for a call to arrive, and for its answer to be taken.
const ARRIVE: Duration = Duration::from_millis(600);
const TAKE: Duration = Duration::from_millis(400);
/// Time for a caller to see the end of its answer.
const LAST: Duration = Duration::from_millis(50);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Reading takes at most so much at once, and a call may have so much of a body.
const READ: usize = 4096;

/// What answers operators' calls.
pub trait OperatorApi {
    /// The answer to a call.
    fn respond(&self, request: &Request) -> Response;
}

/// Takes calls for as long as the process lives. Guards against callers that connect and say nothing, however many: the
/// one that came first gives its place to the next.
pub async fn serve<D: OperatorApi + 'static>(listener: TcpListener, api: Rc<D>, places: Rc<DescriptorPool>) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => Socket::new(stream),
            Err(error) => {
                log::warn!("operators: accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= MOST
            && let Some(first) = callers.pop_front()
        {
            first.abort();
        }
        let place = places.acquire(DescriptorClass::Operators).await;
        let api = api.clone();
        callers.push_back(spawn_local(async move { call(stream, &*api, place).await }));
    }
}

/// The life of one call.
async fn call(mut stream: Socket<TcpStream>, api: &impl OperatorApi, _place: DescriptorPermit) {
    let mut buffer = BytesMut::new();
    let arriving = async {
        loop {
            match http::take_request(&mut buffer) {
                Ok(Some(request)) => return Some(Ok(request)),
                Ok(None) => {}
                Err(error) => return Some(Err(error)),
            }
            buffer.reserve(READ);
            if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                return None;
            }
        }
    };
    let response = match tokio::time::timeout(ARRIVE, arriving).await {
        Ok(Some(Ok(request))) => api.respond(&request),
        Ok(Some(Err(error))) => Response::text(error.status(), error.to_string()),
        Ok(None) => return,
        Err(_) => Response::text(408, "the call did not end in time"),
    };
    let bytes = response.encode(true);
    let told = async { stream.write_all(&bytes).await.is_ok() && stream.shutdown().await.is_ok() };
    if tokio::time::timeout(TAKE, told).await == Ok(true) {
        drain(&mut stream, LAST).await;
    }
}
