//! Accepts clients' connections and hands each to its own task, admitted or rejected.
//!
//! It owns the accept loop. It never decides who is admitted, which is the [`ConnectionManager`]'s, and reads no requests.

use super::closing::{linger, poll_once};
use super::connection_manager::ConnectionManager;
use super::source::source;
// Fronts and tests import these beside `accept`.
pub use super::connection::serve_connection;
pub use super::front::Front;
use crate::limits::AcceptPacer;
use crate::policy::Time;
use crate::protocol::http::Response;
use crate::service::LifecycleState;
use crate::transport::connector::Stream;
use crate::transport::errors::{self, RetryDelays};
use crate::transport::socket::Socket;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The longest delay after a failed accept: without a delay, a process out of descriptors would spin.
const MAX_ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a new connection waits for a descriptor that an evicted one is about to release, and how long writing the
/// rejection of one that got none may take.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(50);

/// An accepted connection and its peer's address, or why the accept failed.
type Accepted = io::Result<(Box<dyn Stream>, SocketAddr)>;

/// Resolves to an accepted connection and its peer's address.
pub type AcceptFuture<'a> = Pin<Box<dyn Future<Output = Accepted> + 'a>>;

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

/// Accepts connections until the lifecycle ends accepting; whoever has connected by then still gets a response. The loop
/// never waits for a descriptor that nobody is about to release, and keeps to its share of processor time while many
/// connections arrive at once.
pub async fn accept_connections<F: Front + 'static>(
    listener: impl Accept,
    front: Rc<F>,
    manager: Rc<ConnectionManager>,
) {
    let (mut pacer, mut delays) = (AcceptPacer::default(), RetryDelays::default());
    // When accepts began to fail: a connection accepted afterwards has waited at most since then, until the backlog has
    // been seen empty.
    let mut failing_since = None;
    loop {
        // After the takeover the backlog belongs to the successor.
        if is_handed_over(&manager) {
            return;
        }
        let mut started_at = manager.descriptor_pool().now();
        let accepted = match poll_once(listener.accept()).await {
            Some(accepted) => accepted,
            None => {
                pacer.reset();
                failing_since = None;
                let Some(accepted) = wait_for_connection(&listener, &manager).await else { return };
                started_at = manager.descriptor_pool().now();
                accepted
            }
        };
        match accepted {
            Ok((stream, peer)) => admit_or_reject(stream, peer, &front, &manager, failing_since).await,
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

fn is_handed_over(manager: &ConnectionManager) -> bool {
    matches!(manager.lifecycle_state(), LifecycleState::HandedOver { .. })
}

/// Waits for a connection; `None` when accepting has ended and the backlog is empty.
async fn wait_for_connection(listener: &impl Accept, manager: &ConnectionManager) -> Option<Accepted> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted),
        () = manager.wait_for_accept_end() => {
            // Closing the listening socket would reset the connections in its backlog, so they are taken first. After
            // the yield the runtime has polled its sockets and knows of all of them.
            tokio::task::yield_now().await;
            poll_once(listener.accept()).await.filter(|_| !is_handed_over(manager))
        }
    }
}

/// Serves an accepted connection in a task of its own, or rejects it where it gets no descriptor.
async fn admit_or_reject<F: Front + 'static>(
    stream: Box<dyn Stream>,
    peer: SocketAddr,
    front: &Rc<F>,
    manager: &Rc<ConnectionManager>,
    failing_since: Option<Time>,
) {
    let Some(permit) = manager.admit(source(peer, None), ADMISSION_TIMEOUT).await else {
        return reject_connection(stream, &front.overloaded(None), manager).await;
    };
    let now = manager.descriptor_pool().now();
    permit.set_queue_time(failing_since.map_or(Duration::ZERO, |since| now.since(since)));
    let front = front.clone();
    tokio::task::spawn_local(async move { serve_connection(stream, peer, &*front, permit).await });
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
    manager.evict_after_accept_error();
    // The next accept is tried after the delay whether one was released or not.
    let _ = tokio::time::timeout(delays.next_delay().min(MAX_ACCEPT_RETRY_DELAY), released).await;
}

/// Writes a rejection to a connection that got no descriptor permit: a query is in flight on every other one.
async fn reject_connection(mut stream: Box<dyn Stream>, response: &Response, manager: &ConnectionManager) {
    manager.descriptor_pool().counters.borrow_mut().rejected += 1;
    let bytes = response.encode(true);
    let write_rejection = async { stream.write_all(&bytes).await.is_ok() && stream.shutdown().await.is_ok() };
    // The connection is closed whether its client has read the rejection or not.
    if tokio::time::timeout(ADMISSION_TIMEOUT, write_rejection).await == Ok(true) {
        linger(&mut stream, ADMISSION_TIMEOUT).await;
    }
}
