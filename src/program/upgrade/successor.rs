//! The successor's side of an upgrade: finds the predecessor, takes over its listening socket and its state, and
//! exchanges messages with it until it ends. Binds the address itself if there is no predecessor.

use super::Upgrade;
use super::{LOCAL_RETRY_INTERVAL, REPLY_TIMEOUT, RETRY_INTERVAL};
use crate::program::errors::with_context;
use crate::protocol::handover::{Message, TakeoverState};
use crate::routing::Invariant;
use crate::service::lifecycle::LifecycleRequest;
use crate::transport::errors;
use crate::transport::takeover::TakeoverChannel;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// How long an unreachable predecessor is retried before this process listens beside it: a predecessor that hangs must
/// not keep this process from serving.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long binding is retried while the address is in use, whose process may be about to end.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of the backlog of the listening socket, in connections.
const LISTEN_BACKLOG: u32 = 1024;

/// The result of one takeover request.
enum TakeoverReply {
    /// There is no predecessor.
    NoPredecessor,
    /// Another upgrade is under way; the request must be repeated later.
    InProgress,
    /// The predecessor sent its state and its listening socket.
    StateAndListener(Box<TakeoverState>, TcpListener, TakeoverChannel),
    /// The predecessor sent its listening socket without a usable state: the state is damaged or of another version, or
    /// another message came in its place. The text names the reason.
    ListenerOnly(TcpListener, String),
    /// A predecessor seems to exist, but cannot be reached. The text names the reason.
    Unreachable(String),
}

/// Since when a predecessor has been unreachable, and whether that has been logged.
struct UnreachablePredecessor {
    since: Instant,
    logged: bool,
}

impl Default for UnreachablePredecessor {
    fn default() -> UnreachablePredecessor {
        UnreachablePredecessor { since: Instant::now(), logged: false }
    }
}

impl UnreachablePredecessor {
    fn is_timed_out(&self) -> bool {
        self.since.elapsed() >= UNREACHABLE_TIMEOUT
    }

    fn log_once(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.logged, true) {
            log::warn!(
                "upgrade: cannot reach the predecessor, retrying for {UNREACHABLE_TIMEOUT:?}: {reason}"
            );
        }
    }
}

impl Upgrade {
    /// Requests the takeover until it succeeds or there is no predecessor; returns the listening socket if one was
    /// taken over. An unreachable predecessor is retried for [`UNREACHABLE_TIMEOUT`], because two processes that are
    /// not in contact would each use the whole limits of the gatherer.
    pub(super) async fn take_over(self: &Rc<Self>) -> Option<TcpListener> {
        let mut unreachable = UnreachablePredecessor::default();
        loop {
            match self.request_takeover().await {
                TakeoverReply::NoPredecessor => return None,
                TakeoverReply::InProgress => {
                    if !self.waiting_for_upgrade.replace(true) {
                        log::warn!("upgrade: waiting for another upgrade to end");
                    }
                    unreachable = UnreachablePredecessor::default();
                }
                TakeoverReply::StateAndListener(state, listener, channel) => {
                    self.waiting_for_upgrade.set(false);
                    self.start_as_successor(*state, channel).await;
                    return Some(listener);
                }
                TakeoverReply::ListenerOnly(listener, reason) => {
                    log::warn!(
                        "upgrade: took over the listening socket without the predecessor's state: {reason}"
                    );
                    return Some(listener);
                }
                TakeoverReply::Unreachable(reason) if unreachable.is_timed_out() => {
                    log::error!(
                        "upgrade: takeover failed, this process listens at {} beside the predecessor: {reason}",
                        self.listen
                    );
                    self.broker.report_violation(Invariant::SingleListeningProcess, &reason);
                    return None;
                }
                TakeoverReply::Unreachable(reason) => unreachable.log_once(&reason),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Requests the takeover once.
    async fn request_takeover(&self) -> TakeoverReply {
        let mut channel = match timeout(REPLY_TIMEOUT, self.takeover_socket.connect()).await {
            Ok(Ok(Some(channel))) => channel,
            Ok(Ok(None)) => return TakeoverReply::NoPredecessor,
            Ok(Err(error)) => return TakeoverReply::Unreachable(error.to_string()),
            Err(_) => {
                return TakeoverReply::Unreachable(format!(
                    "connection not accepted within {REPLY_TIMEOUT:?}"
                ));
            }
        };
        let request = Message::TakeoverRequest { listen: self.listen.to_string() };
        let exchange = async {
            match channel.send(&request).await {
                Ok(()) => channel.receive_with_socket().await,
                Err(error) => (Err(error), None),
            }
        };
        let Ok((reply, socket)) = timeout(REPLY_TIMEOUT, exchange).await else {
            return TakeoverReply::Unreachable(format!("no reply within {REPLY_TIMEOUT:?}"));
        };
        let listener = socket.and_then(|socket| self.verify_listener(socket));
        match (reply, listener) {
            (Ok(Message::TakeoverState(state)), Some(listener)) => {
                TakeoverReply::StateAndListener(state, listener, channel)
            }
            (Ok(Message::TakeoverState(_)), None) => {
                TakeoverReply::Unreachable("the state arrived without the listening socket".to_owned())
            }
            (Ok(Message::TakeoverInProgress), _) => TakeoverReply::InProgress,
            (Ok(other), Some(listener)) => {
                TakeoverReply::ListenerOnly(listener, format!("unexpected reply {other:?}"))
            }
            (Ok(other), None) => TakeoverReply::Unreachable(format!("unexpected reply {other:?}")),
            (Err(error), Some(listener)) => TakeoverReply::ListenerOnly(listener, error.to_string()),
            (Err(error), None) => TakeoverReply::Unreachable(error.to_string()),
        }
    }

    /// Applies the predecessor's state, and spawns the task that exchanges messages with it.
    async fn start_as_successor(self: &Rc<Self>, state: TakeoverState, channel: TakeoverChannel) {
        let summary = format!(
            "workers={} disabled={}",
            state.list.workers.len(),
            state.disabled_workers.names().count()
        );
        let (upgrade, messages) = (self.clone(), self.open_message_queue());
        self.apply_state(state);
        self.takeover.borrow_mut().begin_as_successor();
        self.divide_resources().await;
        log::info!("upgrade: taking over, {summary}");
        spawn_local(async move { upgrade.follow_predecessor(channel, messages).await });
    }

    /// Returns the received socket if it listens at this gatherer's address. `None` also if the system call to use it
    /// fails: the caller then requests the takeover again.
    fn verify_listener(&self, socket: OwnedFd) -> Option<TcpListener> {
        let listener = std::net::TcpListener::from(socket);
        let address = listener.local_addr();
        if address.as_ref().ok() != Some(&self.listen) {
            log::warn!(
                "upgrade: received listening socket not used: expected {}, found {address:?}",
                self.listen
            );
            return None;
        }
        listener.set_nonblocking(true).ok()?;
        TcpListener::from_std(listener).ok()
    }

    fn apply_state(&self, state: TakeoverState) {
        let now = self.clock.now();
        self.broker.with_core(|core| {
            core.restore_from_peer(now, &state.list, state.disabled_workers, state.policy_snapshot)
        });
        if state.drained {
            self.apply_peer_request(LifecycleRequest::Drain);
        }
    }

    /// Binds the listening socket, and retries while the address is in use or the error is transient. A second process
    /// may bind the same address (SO_REUSEPORT), for the case that a takeover fails.
    pub(super) async fn bind(&self) -> io::Result<TcpListener> {
        let started_at = Instant::now();
        loop {
            match self.try_bind() {
                Err(error)
                    if started_at.elapsed() < BIND_TIMEOUT && error.kind() == io::ErrorKind::AddrInUse =>
                {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Err(error) if started_at.elapsed() < BIND_TIMEOUT && errors::is_transient(&error) => {
                    tokio::time::sleep(LOCAL_RETRY_INTERVAL).await;
                }
                result => {
                    return result.map_err(with_context(format!("cannot listen at {}", self.listen)));
                }
            }
        }
    }

    fn try_bind(&self) -> io::Result<TcpListener> {
        let socket = if self.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(self.listen)?;
        socket.listen(LISTEN_BACKLOG)
    }

    /// Exchanges messages with the predecessor until it ends, and takes over its share of the limits then.
    async fn follow_predecessor(self: Rc<Self>, channel: TakeoverChannel, messages: mpsc::Receiver<Message>) {
        let error = self.exchange_messages(channel, messages).await;
        log::info!("upgrade: the predecessor has ended: {error}");
        self.takeover.borrow_mut().on_predecessor_exited();
        self.peer.take();
        self.serve_now.notify_one();
        self.divide_resources().await;
    }
}
