//! Accepts connections of clients, and serves each admitted one in a task of its own.
//!
//! Owns the accept loop. Admission is decided by the [`ConnectionManager`]; requests are read in `connection`.

use super::closing::{linger, poll_once};
use super::connection_manager::ConnectionManager;
use super::source::source;
// Exported for fronts and tests.
pub use super::connection::serve_connection;
pub use super::front::Front;
use crate::limits::AcceptPacer;
use crate::policy::Time;
use crate::protocol::http::Response;
use crate::service::LifecycleState;
use crate::transport::connector::Stream;
use crate::transport::errors::{self, RetryDelays};
use crate::transport::socket::Socket;
use crate::transport::task_scheduler::CloseProbe;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The longest delay after a failed accept. Without a delay, a process that is out of descriptors would spin.
const MAX_ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a new connection waits for the descriptor of an evicted one, and how long writing the rejection of a
/// connection without a descriptor may take.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(50);

/// An accepted connection.
pub struct AcceptedConnection {
    stream: Box<dyn Stream>,
    peer: SocketAddr,
    close_probe: CloseProbe,
}

/// An accepted connection, or why the accept failed.
type Accepted = io::Result<AcceptedConnection>;

/// Resolves to an accepted connection and its peer's address.
pub type AcceptFuture<'a> = Pin<Box<dyn Future<Output = Accepted> + 'a>>;

/// Accepts incoming connections: a listening socket, or a test double.
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
                log::debug!("client at {peer}: cannot set TCP_NODELAY: {error}");
            }
            let stream = Rc::new(stream);
            let close_probe = CloseProbe::new(Rc::downgrade(&stream));
            Ok(AcceptedConnection { stream: Box::new(Socket::new(stream)), peer, close_probe })
        })
    }
}

/// Accepts connections until the lifecycle ends accepting and the backlog is empty: every client that has connected by
/// then gets a response. The loop waits for a descriptor only while an eviction may release one, and pauses during
/// floods of connections to bound its share of processor time, see [`AcceptPacer`].
pub async fn accept_connections<F: Front + 'static>(
    listener: impl Accept,
    front: Rc<F>,
    manager: Rc<ConnectionManager>,
) {
    let (mut pacer, mut delays) = (AcceptPacer::default(), RetryDelays::default());
    // The time of the first failed accept since the backlog was last empty. A connection that is accepted later may
    // have waited in the backlog since then.
    let mut failing_since = None;
    loop {
        // After a takeover, the successor accepts the connections in the backlog.
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
            Ok(connection) => admit_or_reject(connection, &front, &manager, failing_since).await,
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

/// Waits for a connection. `None` when accepting has ended and the backlog is empty, or belongs to a successor.
async fn wait_for_connection(listener: &impl Accept, manager: &ConnectionManager) -> Option<Accepted> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted),
        () = manager.wait_for_accept_end() => {
            // Closing the listening socket would reset the connections in its backlog, so they are accepted first. The
            // runtime polls its sockets during the yield and so learns of all of them.
            tokio::task::yield_now().await;
            poll_once(listener.accept()).await.filter(|_| !is_handed_over(manager))
        }
    }
}

/// Serves an accepted connection in a new task, or rejects it if it gets no descriptor.
async fn admit_or_reject<F: Front + 'static>(
    connection: AcceptedConnection,
    front: &Rc<F>,
    manager: &Rc<ConnectionManager>,
    failing_since: Option<Time>,
) {
    let AcceptedConnection { stream, peer, close_probe } = connection;
    let Some(permit) = manager.admit(source(peer, None), ADMISSION_TIMEOUT).await else {
        return reject_connection(stream, &front.rejection(None), manager).await;
    };
    let now = manager.descriptor_pool().now();
    permit.set_queue_time(failing_since.map_or(Duration::ZERO, |since| now.since(since)));
    let (front, task) = (front.clone(), permit.task().clone());
    task.observe(peer, close_probe);
    tokio::task::spawn_local(task.run(async move { serve_connection(stream, peer, &*front, permit).await }));
}

/// Waits until another accept may succeed. Connections in the backlog wait meanwhile.
async fn recover_from_accept_error(manager: &ConnectionManager, error: &io::Error, delays: &mut RetryDelays) {
    manager.descriptor_pool().counters.borrow_mut().accept_failed += 1;
    if !errors::is_out_of_descriptors(error) {
        // The error concerned one connection, or the call was interrupted: the next accept may succeed at once.
        log::debug!("clients: accept failed: {error}");
        return tokio::task::yield_now().await;
    }
    log::warn!("clients: accept failed for lack of descriptors or memory, retrying: {error}");
    // Descriptors are exhausted outside the budget. Closing an evictable client connection frees one.
    let released = manager.descriptor_pool().wait_for_release();
    manager.evict_after_accept_error();
    // Accepting is retried after the delay even if no descriptor was released.
    let _ = tokio::time::timeout(delays.next_delay().min(MAX_ACCEPT_RETRY_DELAY), released).await;
}

/// Writes a rejection to a connection that got no descriptor permit, and closes it.
async fn reject_connection(mut stream: Box<dyn Stream>, response: &Response, manager: &ConnectionManager) {
    manager.descriptor_pool().counters.borrow_mut().rejected += 1;
    let bytes = response.encode(true);
    let write_rejection = async { stream.write_all(&bytes).await.is_ok() && stream.shutdown().await.is_ok() };
    // The connection is closed even if its client does not read the rejection.
    if tokio::time::timeout(ADMISSION_TIMEOUT, write_rejection).await == Ok(true) {
        linger(&mut stream, ADMISSION_TIMEOUT).await;
    }
}
