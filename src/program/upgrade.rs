//! Upgrades without downtime (hot restart): a second process takes over from the first one's listening socket and state,
//! and both share the limits while both run. [`crate::service::takeover`] decides what either may do; docs/service.md
//! compares the alternatives.

use super::resource_limits::ProcessLimits;
use crate::fronts::operators::{OperatorChange, UpgradePeer};
use crate::limits::DescriptorClass;
use crate::protocol::handover::{Message, TakeoverState};
use crate::routing::{Broker, Clock, Invariant};
use crate::service::lifecycle::LifecycleRequest;
use crate::service::{LifecycleState, Takeover};
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::errors;
use crate::transport::takeover::{TakeoverChannel, TakeoverChannelError, TakeoverSocket};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UnixListener};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};

/// How long the other process may take to reply before it counts as hung.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an unreachable predecessor is retried before this process listens beside it: one that hangs must not keep this
/// one from serving.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a successor waits for discovery at most: it already has the predecessor's endpoint list.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_secs(1);
/// Time between two requests of a process that has to wait.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long binding an address that is in use is retried: its process may be about to end.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Number of starting processes whose requests are received at the same time.
const MAX_CONCURRENT_JOINS: usize = 2;
/// Number of messages that may wait to be sent to the other process; few, for operators cause them.
const MAX_PENDING_MESSAGES: usize = 256;

/// Result of one request to a predecessor to hand over.
enum TakeoverReply {
    /// There is no predecessor.
    NoPredecessor,
    /// Another upgrade is under way; try again later.
    MustWait,
    /// The predecessor sent its state and its listening socket.
    HandsOver(Box<TakeoverState>, TcpListener, TakeoverChannel),
    /// Only the listening socket can be used; the state is of another version or damaged. Says why.
    ListenerOnly(TcpListener, String),
    /// A predecessor seems to exist, and cannot be reached. Says why.
    Unreachable(String),
}

/// How long a predecessor has been unreachable, and whether that has been logged.
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
            log::warn!("upgrade: the predecessor cannot be reached yet, retrying: {reason}");
        }
    }
}

/// One process's part in upgrades: the takeover socket, the other process, and who may serve.
pub struct Upgrade {
    broker: Broker,
    connections: Rc<ConnectionManager>,
    clock: Clock,
    limits: ProcessLimits,
    listen: SocketAddr,
    takeover_socket: TakeoverSocket,
    takeover: RefCell<Takeover>,
    /// Sends to the other process, while there is one.
    peer: RefCell<Option<mpsc::Sender<Message>>>,
    /// Ends the wait for discovery: the other process has stopped or is stopping.
    serve_now: Notify,
    waiting_for_upgrade: Cell<bool>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    /// The task that accepts further starting processes.
    accept_task: RefCell<Option<AbortHandle>>,
}

impl Upgrade {
    /// For the gatherer whose clients connect to `listen`.
    pub fn new(
        broker: Broker,
        connections: Rc<ConnectionManager>,
        clock: Clock,
        limits: ProcessLimits,
        listen: SocketAddr,
    ) -> Rc<Upgrade> {
        let takeover_socket = TakeoverSocket::new(&std::env::temp_dir(), &listen.to_string());
        Rc::new(Upgrade {
            broker,
            connections,
            clock,
            limits,
            listen,
            takeover_socket,
            takeover: RefCell::default(),
            peer: RefCell::default(),
            serve_now: Notify::new(),
            waiting_for_upgrade: Cell::new(false),
            listener: RefCell::default(),
            accept_task: RefCell::default(),
        })
    }

    /// Takes the listening socket over from a process that serves this address, or binds a new one where there is none.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn obtain_listener(self: &Rc<Self>) -> io::Result<Rc<TcpListener>> {
        let listener = match self.take_over().await {
            Some(listener) => listener,
            None => self.bind().await?,
        };
        let listener = Rc::new(listener);
        self.listener.replace(Some(listener.clone()));
        Ok(listener)
    }

    /// Requests the takeover for as long as the predecessor says to wait. An unreachable one is retried for a while: two
    /// processes that do not know of each other would each use the limits of both.
    async fn take_over(self: &Rc<Self>) -> Option<TcpListener> {
        let mut unreachable = UnreachablePredecessor::default();
        loop {
            match self.request_takeover().await {
                TakeoverReply::NoPredecessor => return None,
                TakeoverReply::MustWait => {
                    if !self.waiting_for_upgrade.replace(true) {
                        log::warn!("upgrade: waiting, another upgrade is under way");
                    }
                    unreachable = UnreachablePredecessor::default();
                }
                TakeoverReply::HandsOver(state, listener, channel) => {
                    self.waiting_for_upgrade.set(false);
                    self.start_as_successor(*state, channel).await;
                    return Some(listener);
                }
                TakeoverReply::ListenerOnly(listener, reason) => {
                    log::warn!("upgrade: only the listening socket was taken over: {reason}");
                    return Some(listener);
                }
                TakeoverReply::Unreachable(reason) if unreachable.is_timed_out() => {
                    log::error!(
                        "upgrade: nothing was taken over, this process listens beside another: {reason}"
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
            Err(_) => return TakeoverReply::Unreachable("it accepts no connection".to_owned()),
        };
        let join = Message::TakeoverRequest { listen: self.listen.to_string() };
        let exchange = async {
            match channel.send(&join).await {
                Ok(()) => channel.receive_with_socket().await,
                Err(error) => (Err(error), None),
            }
        };
        let Ok((reply, socket)) = timeout(REPLY_TIMEOUT, exchange).await else {
            return TakeoverReply::Unreachable("it does not reply".to_owned());
        };
        let listener = socket.and_then(|socket| self.checked_listener(socket));
        match (reply, listener) {
            (Ok(Message::TakeoverState(state)), Some(listener)) => {
                TakeoverReply::HandsOver(state, listener, channel)
            }
            (Ok(Message::TakeoverState(_)), None) => {
                TakeoverReply::Unreachable("its listening socket was not received".to_owned())
            }
            (Ok(Message::TakeoverInProgress), _) => TakeoverReply::MustWait,
            (Ok(other), Some(listener)) => {
                TakeoverReply::ListenerOnly(listener, format!("unexpected {other:?}"))
            }
            (Ok(other), None) => TakeoverReply::Unreachable(format!("unexpected {other:?}")),
            (Err(error), Some(listener)) => TakeoverReply::ListenerOnly(listener, error.to_string()),
            (Err(error), None) => TakeoverReply::Unreachable(error.to_string()),
        }
    }

    /// Applies the predecessor's state, and receives its messages until it ends.
    async fn start_as_successor(self: &Rc<Self>, state: TakeoverState, channel: TakeoverChannel) {
        let taken_over = format!(
            "workers={} disabled={}",
            state.list.workers.len(),
            state.disabled_workers.names().count()
        );
        let (upgrade, messages) = (self.clone(), self.open_message_queue());
        self.apply_state(state);
        self.takeover.borrow_mut().begin_as_successor();
        self.divide_resources().await;
        log::info!("upgrade: taking over, {taken_over}");
        spawn_local(async move { upgrade.follow_predecessor(channel, messages).await });
    }

    /// The received socket, if it listens at this gatherer's address.
    fn checked_listener(&self, socket: OwnedFd) -> Option<TcpListener> {
        let listener = std::net::TcpListener::from(socket);
        if listener.local_addr().ok() != Some(self.listen) {
            log::warn!("upgrade: a listening socket of another address was received and is not used");
            return None;
        }
        listener.set_nonblocking(true).ok()?;
        TcpListener::from_std(listener).ok()
    }

    fn apply_state(&self, state: TakeoverState) {
        let now = self.clock.now();
        self.broker.with_core(|core| core.take_over(now, &state.list, state.disabled_workers, state.learned));
        if state.drained {
            // Cannot fail: this process is not stopping.
            let _ = self.connections.apply_lifecycle(LifecycleRequest::Drain);
        }
    }

    /// Binds a listening socket. It allows a second process to bind the same address, where no takeover is possible.
    async fn bind(&self) -> io::Result<TcpListener> {
        let since = Instant::now();
        loop {
            match self.try_bind() {
                Err(error) if since.elapsed() < BIND_TIMEOUT && error.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Err(error) if since.elapsed() < BIND_TIMEOUT && errors::is_transient(&error) => {
                    tokio::time::sleep(RETRY_INTERVAL / 10).await;
                }
                bound => return bound,
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

    /// Opens the queue of messages to the other process.
    fn open_message_queue(&self) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_MESSAGES);
        self.peer.replace(Some(sender));
        receiver
    }

    /// Divides descriptors, buffers and load among the processes that run.
    async fn divide_resources(&self) {
        let processes = self.takeover.borrow().process_count();
        self.broker.with_core(|core| core.set_process_count(processes));
        match self.limits.descriptor_budget(processes) {
            Ok(plan) => {
                self.connections.descriptor_pool().set_budget(plan, self.limits.buffer_bytes(processes)).await
            }
            Err(error) => log::warn!("upgrade: descriptors are not shared: {error}"),
        }
    }

    /// Returns once this process may serve: at once where it is the only one; else once discovery has sent a list, the
    /// longest wait is over, or the other process stops.
    pub async fn wait_until_ready(&self) {
        if self.takeover.borrow().process_count() > 1 {
            let listed = async {
                while self.broker.with_core(|core| !core.has_discovery_list()) {
                    tokio::time::sleep(RETRY_INTERVAL / 10).await;
                }
            };
            tokio::select! {
                () = listed => {}
                () = self.serve_now.notified() => {}
                () = tokio::time::sleep(MAX_DISCOVERY_WAIT) => {}
            }
        }
    }

    /// Records that this process accepts clients, notifies the predecessor, and accepts successors from now on.
    pub fn announce_serving(self: &Rc<Self>) {
        self.takeover.borrow_mut().start_serving();
        if let Some(peer) = &*self.peer.borrow() {
            // Cannot fail: it is the first message of the queue.
            let _ = peer.try_send(Message::Serving);
        }
        self.accept_successors();
    }

    /// Opens the takeover socket for further starting processes. One that starts right after this process is ready, or
    /// after a successor that had replaced the socket has died, would otherwise listen beside this process.
    fn accept_successors(self: &Rc<Self>) {
        let (listener, upgrade) = (self.takeover_socket.listen(), self.clone());
        let task = spawn_local(async move { upgrade.wait_for_successors(listener).await });
        if let Some(previous) = self.accept_task.replace(Some(task.abort_handle())) {
            previous.abort();
        }
    }

    /// What SIGTERM means now; notifies the other process.
    pub fn announce_stop(&self) -> LifecycleRequest {
        let stop = self.takeover.borrow().on_stop_signal();
        if let Some(peer) = &*self.peer.borrow() {
            // If this is lost, the other process serves a moment later.
            let _ = peer.try_send(Message::Stopping);
        }
        stop
    }

    /// Removes this process's socket file, at the end of the process.
    pub fn remove_socket_file(&self) {
        self.takeover_socket.remove_socket_file();
    }

    /// The successor's side: exchanges messages with the predecessor until it ends.
    async fn follow_predecessor(self: Rc<Self>, channel: TakeoverChannel, messages: mpsc::Receiver<Message>) {
        let error = self.exchange_messages(channel, messages).await;
        log::info!("upgrade: the predecessor has ended: {error}");
        self.takeover.borrow_mut().on_predecessor_exited();
        self.peer.take();
        self.serve_now.notify_one();
        self.divide_resources().await;
    }

    /// Accepts further starting processes, once the takeover socket can be had.
    async fn wait_for_successors(self: Rc<Self>, mut opened: io::Result<UnixListener>) {
        if let Err(error) = &opened {
            log::warn!("upgrade: the takeover socket cannot be opened yet, retrying: {error}");
        }
        let listener = loop {
            match opened {
                Ok(listener) => break listener,
                Err(_) => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    opened = self.takeover_socket.listen();
                }
            }
        };
        self.accept_starts(listener).await;
    }

    async fn accept_starts(self: &Rc<Self>, listener: UnixListener) {
        let joins = Arc::new(Semaphore::new(MAX_CONCURRENT_JOINS));
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::debug!("upgrade: accept: {error}");
                    if errors::is_out_of_descriptors(&error) {
                        // An idle client's descriptor helps: a successor waits.
                        self.connections.descriptor_pool().reclaim(DescriptorClass::Clients);
                    }
                    tokio::time::sleep(RETRY_INTERVAL / 10).await;
                    continue;
                }
            };
            let Some(channel) = TakeoverChannel::new(stream) else { continue };
            // A connection that sends nothing holds up no other, up to the bound.
            let Ok(permit) = joins.clone().acquire_owned().await else { return };
            let upgrade = self.clone();
            spawn_local(async move {
                let channel = upgrade.receive_join(channel).await;
                drop(permit);
                if let Some(channel) = channel {
                    upgrade.hand_over(channel).await;
                }
            });
        }
    }

    /// Receives the request of a starting process; returns its connection if it is the successor from now on.
    async fn receive_join(&self, mut channel: TakeoverChannel) -> Option<TakeoverChannel> {
        let request = match timeout(REPLY_TIMEOUT, channel.receive()).await {
            Ok(Ok(Message::TakeoverRequest { listen })) if listen == self.listen.to_string() => Ok(()),
            Ok(Ok(other)) => Err(format!("{other:?}")),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("it sends nothing".to_owned()),
        };
        if let Err(reason) = request {
            log::warn!("upgrade: a connection was rejected: {reason}");
            return None;
        }
        if !self.connections.lifecycle_state().is_stopping()
            && self.takeover.borrow_mut().admit_successor().is_ok()
        {
            return Some(channel);
        }
        // If this is lost, the other process retries all the same.
        let _ = timeout(REPLY_TIMEOUT, channel.send(&Message::TakeoverInProgress)).await;
        None
    }

    /// The predecessor's side: sends the state and exchanges messages, until the successor or this process ends.
    async fn hand_over(self: Rc<Self>, mut channel: TakeoverChannel) {
        log::info!("upgrade: a successor has started");
        self.divide_resources().await;
        let messages = self.open_message_queue();
        let state = self.broker.with_core(|core| TakeoverState {
            list: core.endpoint_list(),
            disabled_workers: core.disabled_workers().clone(),
            drained: matches!(
                self.connections.lifecycle_state(),
                LifecycleState::Draining | LifecycleState::Drained
            ),
            learned: core.policy_snapshot(),
        });
        let message = Message::TakeoverState(Box::new(state));
        let listener = self.listener.borrow().clone();
        let sent = async {
            match &listener {
                Some(listener) => channel.send_with_socket(&message, listener.as_fd()).await,
                None => channel.send(&message).await,
            }
        };
        let error = match timeout(REPLY_TIMEOUT, sent).await {
            Ok(Ok(())) => self.exchange_messages(channel, messages).await,
            Ok(Err(error)) => error,
            Err(_) => io::Error::from(io::ErrorKind::TimedOut).into(),
        };
        log::warn!("upgrade: the successor has ended, this process continues: {error}");
        self.takeover.borrow_mut().on_successor_exited();
        self.peer.take();
        // A process that listens beside this one keeps the takeover socket.
        let socket_exists = self.takeover_socket.owns_socket_file()
            || matches!(self.takeover_socket.connect().await, Ok(Some(_)));
        if !socket_exists && !self.connections.lifecycle_state().is_stopping() {
            self.accept_successors();
        }
        self.divide_resources().await;
    }

    /// Sends queued messages and applies received ones until the connection ends; returns why it did.
    async fn exchange_messages(
        &self,
        mut channel: TakeoverChannel,
        mut messages: mpsc::Receiver<Message>,
    ) -> TakeoverChannelError {
        loop {
            let message = tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => match channel.send(&message).await {
                        Ok(()) => continue,
                        Err(error) => return error,
                    },
                    None => return io::Error::from(io::ErrorKind::NotConnected).into(),
                },
                message = channel.receive() => match message {
                    Ok(message) => message,
                    Err(error) => return error,
                },
            };
            self.on_message(message);
        }
    }

    fn on_message(&self, message: Message) {
        match message {
            Message::WorkerDisabled { worker } => self.broker.set_worker_disabled_by_peer(&worker, true),
            Message::WorkerEnabled { worker } => self.broker.set_worker_disabled_by_peer(&worker, false),
            Message::Serving => {
                log::info!("upgrade: the successor serves");
                self.takeover.borrow_mut().on_successor_serving();
                if self.connections.lifecycle_state() == LifecycleState::Stopping {
                    // Cannot fail while stopping.
                    let _ = self.connections.apply_lifecycle(LifecycleRequest::HandOver);
                }
            }
            // A process that is stopping rejects both; they concern the other one.
            Message::Drain => drop(self.connections.apply_lifecycle(LifecycleRequest::Drain).ok()),
            Message::Resume => drop(self.connections.apply_lifecycle(LifecycleRequest::Resume).ok()),
            Message::Stopping => {
                self.takeover.borrow_mut().on_peer_stopping();
                self.serve_now.notify_one();
            }
            Message::TakeoverRequest { .. } | Message::TakeoverInProgress | Message::TakeoverState(_) => {
                log::warn!("upgrade: unexpected message, dropped: {message:?}");
            }
        }
    }
}

impl UpgradePeer for Upgrade {
    fn unready(&self) -> Option<&'static str> {
        match (self.waiting_for_upgrade.get(), self.takeover.borrow().is_serving()) {
            (true, _) => Some("another upgrade is under way"),
            (false, false) => Some("starting"),
            (false, true) => None,
        }
    }

    fn has_predecessor(&self) -> bool {
        self.takeover.borrow().has_predecessor()
    }

    fn notify(&self, change: OperatorChange<'_>) {
        let change = match change {
            OperatorChange::Disabled(worker) => Message::WorkerDisabled { worker: worker.to_owned() },
            OperatorChange::Enabled(worker) => Message::WorkerEnabled { worker: worker.to_owned() },
            OperatorChange::Drained => Message::Drain,
            OperatorChange::Resumed => Message::Resume,
        };
        if let Some(peer) = &*self.peer.borrow()
            && let Err(error) = peer.try_send(change)
        {
            log::error!("upgrade: an operator's change was not sent to the other process: {error}");
        }
    }
}
