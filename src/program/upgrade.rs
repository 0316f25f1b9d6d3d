//! Upgrades: a second start takes over from the first, and a first lets itself be taken over from. What either may do is
//! decided in [`crate::service::takeover`]; the ways are weighed in docs/service.md.

use super::process::Allowed;
use crate::fronts::operators::{Change, Pair};
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

/// How long the other process may take to answer before it counts as hung.
const ANSWER: Duration = Duration::from_secs(2);
/// How long a predecessor that cannot be heard is asked at least, before this process listens beside it: one that hangs
/// must not keep this one from serving.
const UNHEARD: Duration = Duration::from_secs(3);
/// How long a successor waits for discovery at most: it has the list that was passed on.
const DISCOVERY: Duration = Duration::from_secs(1);
/// How often one that has to wait asks again.
const AGAIN: Duration = Duration::from_millis(200);
/// How long an address that is in use is waited for: its process may be about to end.
const ADDRESS: Duration = Duration::from_secs(5);
/// Connections that may wait in the queue.
const QUEUE: u32 = 1024;
/// Starts that are heard at once.
const CALLERS: usize = 2;
/// Changes that may wait to be told to the other process; operators make them by hand.
const CHANGES: usize = 256;

/// What became of asking a predecessor to hand over.
enum Asked {
    /// Nobody is there.
    Absent,
    /// Another upgrade is under way.
    Waits,
    /// It passes this on, with its listening socket.
    HandsOver(Box<TakeoverState>, TcpListener, TakeoverChannel),
    /// Its listening socket came, and nothing else that can be used: it is of another version.
    SocketAlone(TcpListener, String),
    /// It is there, as far as can be told, and cannot be heard.
    Unheard(String),
}

/// How long a predecessor is asked that cannot be heard.
struct Patience {
    since: Instant,
    said: bool,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience { since: Instant::now(), said: false }
    }
}

impl Patience {
    fn is_over(&self) -> bool {
        self.since.elapsed() >= UNHEARD
    }

    fn say(&mut self, why: &str) {
        if !std::mem::replace(&mut self.said, true) {
            log::warn!("upgrade: the process before cannot be heard yet, it is asked again: {why}");
        }
    }
}

/// One process's part in upgrades.
pub struct Upgrade {
    broker: Broker,
    gate: Rc<ConnectionManager>,
    clock: Clock,
    allowed: Allowed,
    listen: SocketAddr,
    meeting: TakeoverSocket,
    succession: RefCell<Takeover>,
    /// Tells the other process, while there is one.
    other: RefCell<Option<mpsc::Sender<Message>>>,
    /// It is to serve as soon as it can.
    hurry: Notify,
    waits: Cell<bool>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    /// The task in which further starts are heard.
    found: RefCell<Option<AbortHandle>>,
}

impl Upgrade {
    /// For the gatherer whose clients connect there.
    pub fn new(
        broker: Broker,
        gate: Rc<ConnectionManager>,
        clock: Clock,
        allowed: Allowed,
        listen: SocketAddr,
    ) -> Rc<Upgrade> {
        let meeting = TakeoverSocket::new(&std::env::temp_dir(), &listen.to_string());
        Rc::new(Upgrade {
            broker,
            gate,
            clock,
            allowed,
            listen,
            meeting,
            succession: RefCell::default(),
            other: RefCell::default(),
            hurry: Notify::new(),
            waits: Cell::new(false),
            listener: RefCell::default(),
            found: RefCell::default(),
        })
    }

    /// Takes over from a process that serves there, or listens alone where there is none.
    pub async fn begin(self: &Rc<Self>) -> io::Result<Rc<TcpListener>> {
        let listener = match self.take_over().await {
            Some(listener) => listener,
            None => self.bind().await?,
        };
        let listener = Rc::new(listener);
        self.listener.replace(Some(listener.clone()));
        Ok(listener)
    }

    /// Asks whoever serves there to hand over, for as long as it says to wait. One that is there but cannot be heard, or
    /// whose socket does not come, is asked again for a while: two that know nothing of each other would each use all
    /// that both may.
    async fn take_over(self: &Rc<Self>) -> Option<TcpListener> {
        let mut patience = Patience::default();
        loop {
            match self.ask().await {
                Asked::Absent => return None,
                Asked::Waits => {
                    if !self.waits.replace(true) {
                        log::warn!("upgrade: another one is under way; waiting for its end");
                    }
                    patience = Patience::default();
                }
                Asked::HandsOver(state, listener, relay) => {
                    self.waits.set(false);
                    self.succeed(*state, relay).await;
                    return Some(listener);
                }
                Asked::SocketAlone(listener, why) => {
                    log::warn!("upgrade: nothing is taken over but the socket: {why}");
                    return Some(listener);
                }
                Asked::Unheard(why) if patience.is_over() => {
                    log::error!(
                        "upgrade: nothing is taken over, and this process listens beside another: {why}"
                    );
                    self.broker.report_violation(Invariant::SingleListeningProcess, &why);
                    return None;
                }
                Asked::Unheard(why) => patience.say(&why),
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// Asks once.
    async fn ask(&self) -> Asked {
        let mut relay = match timeout(ANSWER, self.meeting.connect()).await {
            Ok(Ok(Some(relay))) => relay,
            Ok(Ok(None)) => return Asked::Absent,
            Ok(Err(error)) => return Asked::Unheard(error.to_string()),
            Err(_) => return Asked::Unheard("it takes no connection".to_owned()),
        };
        let join = Message::TakeoverRequest { listen: self.listen.to_string() };
        let asked = async {
            match relay.send(&join).await {
                Ok(()) => relay.receive_with_socket().await,
                Err(lost) => (Err(lost), None),
            }
        };
        let Ok((said, socket)) = timeout(ANSWER, asked).await else {
            return Asked::Unheard("it does not answer".to_owned());
        };
        let listener = socket.and_then(|socket| self.inherit(socket));
        match (said, listener) {
            (Ok(Message::TakeoverState(state)), Some(listener)) => Asked::HandsOver(state, listener, relay),
            (Ok(Message::TakeoverState(_)), None) => Asked::Unheard("its socket did not come".to_owned()),
            (Ok(Message::TakeoverInProgress), _) => Asked::Waits,
            (Ok(other), Some(listener)) => Asked::SocketAlone(listener, format!("unexpected {other:?}")),
            (Ok(other), None) => Asked::Unheard(format!("unexpected {other:?}")),
            (Err(lost), Some(listener)) => Asked::SocketAlone(listener, lost.to_string()),
            (Err(lost), None) => Asked::Unheard(lost.to_string()),
        }
    }

    /// Takes over what a predecessor passed on, and follows it.
    async fn succeed(self: &Rc<Self>, state: TakeoverState, relay: TakeoverChannel) {
        let passed = format!(
            "{} workers, {} out by hand",
            state.list.workers.len(),
            state.disabled_workers.names().count()
        );
        let (upgrade, tell) = (self.clone(), self.connect());
        self.apply(state);
        self.succession.borrow_mut().begin_as_successor();
        self.share().await;
        log::info!("upgrade: taking over: {passed}");
        spawn_local(async move { upgrade.follow(relay, tell).await });
    }

    /// The socket that came, if it is one that listens where this gatherer's clients connect.
    fn inherit(&self, socket: OwnedFd) -> Option<TcpListener> {
        let listener = std::net::TcpListener::from(socket);
        if listener.local_addr().ok() != Some(self.listen) {
            log::warn!("upgrade: a socket of another address came; it is not used");
            return None;
        }
        listener.set_nonblocking(true).ok()?;
        TcpListener::from_std(listener).ok()
    }

    fn apply(&self, state: TakeoverState) {
        let now = self.clock.now();
        self.broker.with_core(|core| core.take_over(now, &state.list, state.disabled_workers, state.learned));
        if state.drained {
            // It serves, so it cannot be refused.
            let _ = self.gate.apply_lifecycle(LifecycleRequest::Drain);
        }
    }

    /// A socket of its own, which a further one may share where no hand-over can be had.
    async fn bind(&self) -> io::Result<TcpListener> {
        let since = Instant::now();
        loop {
            match self.try_bind() {
                Err(error) if since.elapsed() < ADDRESS && error.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(AGAIN).await;
                }
                Err(error) if since.elapsed() < ADDRESS && errors::is_transient(&error) => {
                    tokio::time::sleep(AGAIN / 10).await;
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
        socket.listen(QUEUE)
    }

    fn connect(&self) -> mpsc::Receiver<Message> {
        let (tell, told) = mpsc::channel(CHANGES);
        self.other.replace(Some(tell));
        told
    }

    /// Divides what may be used by the processes that there are.
    async fn share(&self) {
        let processes = self.succession.borrow().process_count();
        self.broker.with_core(|core| core.set_process_count(processes));
        match self.allowed.plan(processes) {
            Ok(plan) => self.gate.descriptor_pool().set_budget(plan, self.allowed.buffered(processes)).await,
            Err(error) => log::warn!("upgrade: descriptors are not shared: {error}"),
        }
    }

    /// Returns once this process may serve: at once where it is alone; else once discovery has told it a list, or a
    /// moment has passed, or the other is told to stop.
    pub async fn ready(&self) {
        if self.succession.borrow().process_count() > 1 {
            let told = async {
                while self.broker.with_core(|core| !core.has_discovery_list()) {
                    tokio::time::sleep(AGAIN / 10).await;
                }
            };
            tokio::select! {
                () = told => {}
                () = self.hurry.notified() => {}
                () = tokio::time::sleep(DISCOVERY) => {}
            }
        }
    }

    /// This process takes clients from now on, and may be taken over from.
    pub fn serving(self: &Rc<Self>) {
        self.succession.borrow_mut().start_serving();
        if let Some(other) = &*self.other.borrow() {
            // The first message of this channel: there is room.
            let _ = other.try_send(Message::Serving);
        }
        self.be_found();
    }

    /// Has further starts find this process, from now on: one that comes right after the yes, or after a successor that
    /// had itself found in place of this one and died, would else listen beside it.
    fn be_found(self: &Rc<Self>) {
        let (meeting, upgrade) = (self.meeting.listen(), self.clone());
        let found = spawn_local(async move { upgrade.wait_for_successors(meeting).await });
        if let Some(before) = self.found.replace(Some(found.abort_handle())) {
            before.abort();
        }
    }

    /// What SIGTERM means, said to a successor too.
    pub fn stop(&self) -> LifecycleRequest {
        let stop = self.succession.borrow().on_stop_signal();
        if let Some(other) = &*self.other.borrow() {
            // One that does not hear it serves a moment later.
            let _ = other.try_send(Message::Stopping);
        }
        stop
    }

    /// The end of the process.
    pub fn end(&self) {
        self.meeting.remove_socket_file();
    }

    /// The successor's side: what the predecessor tells, until its end.
    async fn follow(self: Rc<Self>, relay: TakeoverChannel, told: mpsc::Receiver<Message>) {
        let lost = self.relay(relay, told).await;
        log::info!("upgrade: the process before has ended: {lost}");
        self.succession.borrow_mut().on_predecessor_exited();
        self.other.take();
        self.hurry.notify_one();
        self.share().await;
    }

    async fn wait_for_successors(self: Rc<Self>, mut meeting: io::Result<UnixListener>) {
        if let Err(error) = &meeting {
            log::warn!("upgrade: a further start cannot find this one yet: {error}");
        }
        let meeting = loop {
            match meeting {
                Ok(meeting) => break meeting,
                Err(_) => {
                    tokio::time::sleep(AGAIN).await;
                    meeting = self.meeting.listen();
                }
            }
        };
        self.meet(meeting).await;
    }

    async fn meet(self: &Rc<Self>, meeting: UnixListener) {
        let callers = Arc::new(Semaphore::new(CALLERS));
        loop {
            let stream = match meeting.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::debug!("upgrade: accept: {error}");
                    if errors::is_out_of_descriptors(&error) {
                        // One that a client holds loosely helps: a successor waits.
                        self.gate.descriptor_pool().reclaim(DescriptorClass::Clients);
                    }
                    tokio::time::sleep(AGAIN / 10).await;
                    continue;
                }
            };
            let Some(relay) = TakeoverChannel::new(stream) else { continue };
            // Guards against one that connects and says nothing: the next is heard beside it. Past the bound it waits.
            let Ok(place) = callers.clone().acquire_owned().await else { return };
            let upgrade = self.clone();
            spawn_local(async move {
                let relay = upgrade.admit(relay).await;
                drop(place);
                if let Some(relay) = relay {
                    upgrade.hand_over(relay).await;
                }
            });
        }
    }

    /// Hears what one that connected wants; its connection, if it is the successor from now on.
    async fn admit(&self, mut relay: TakeoverChannel) -> Option<TakeoverChannel> {
        let asked = match timeout(ANSWER, relay.receive()).await {
            Ok(Ok(Message::TakeoverRequest { listen })) if listen == self.listen.to_string() => Ok(()),
            Ok(Ok(other)) => Err(format!("{other:?}")),
            Ok(Err(lost)) => Err(lost.to_string()),
            Err(_) => Err("it says nothing".to_owned()),
        };
        if let Err(why) = asked {
            log::warn!("upgrade: no successor: {why}");
            return None;
        }
        if !self.gate.lifecycle_state().is_stopping()
            && self.succession.borrow_mut().admit_successor().is_ok()
        {
            return Some(relay);
        }
        // Whether it hears it or not, it has to wait.
        let _ = timeout(ANSWER, relay.send(&Message::TakeoverInProgress)).await;
        None
    }

    /// The predecessor's side, until the successor's end or its own.
    async fn hand_over(self: Rc<Self>, mut relay: TakeoverChannel) {
        log::info!("upgrade: a successor has started");
        self.share().await;
        let told = self.connect();
        let state = self.broker.with_core(|core| TakeoverState {
            list: core.endpoint_list(),
            disabled_workers: core.disabled_workers().clone(),
            drained: matches!(
                self.gate.lifecycle_state(),
                LifecycleState::Draining | LifecycleState::Drained
            ),
            learned: core.policy_snapshot(),
        });
        let message = Message::TakeoverState(Box::new(state));
        let listener = self.listener.borrow().clone();
        let sent = async {
            match &listener {
                Some(listener) => relay.send_with_socket(&message, listener.as_fd()).await,
                None => relay.send(&message).await,
            }
        };
        let lost = match timeout(ANSWER, sent).await {
            Ok(Ok(())) => self.relay(relay, told).await,
            Ok(Err(lost)) => lost,
            Err(_) => io::Error::from(io::ErrorKind::TimedOut).into(),
        };
        log::warn!("upgrade: the successor has ended, this process goes on: {lost}");
        self.succession.borrow_mut().on_successor_exited();
        self.other.take();
        // Where one that did not wait for this process serves beside it, starts go on finding that one.
        let found = self.meeting.owns_socket_file() || matches!(self.meeting.connect().await, Ok(Some(_)));
        if !found && !self.gate.lifecycle_state().is_stopping() {
            self.be_found();
        }
        self.share().await;
    }

    /// Passes on what happens here and does what is told, until the connection ends; says why it did.
    async fn relay(
        &self,
        mut relay: TakeoverChannel,
        mut told: mpsc::Receiver<Message>,
    ) -> TakeoverChannelError {
        loop {
            let message = tokio::select! {
                biased;
                message = told.recv() => match message {
                    Some(message) => match relay.send(&message).await {
                        Ok(()) => continue,
                        Err(lost) => return lost,
                    },
                    None => return io::Error::from(io::ErrorKind::NotConnected).into(),
                },
                message = relay.receive() => match message {
                    Ok(message) => message,
                    Err(lost) => return lost,
                },
            };
            self.obey(message);
        }
    }

    fn obey(&self, message: Message) {
        match message {
            Message::WorkerDisabled { worker } => self.broker.set_worker_disabled_by_peer(&worker, true),
            Message::WorkerEnabled { worker } => self.broker.set_worker_disabled_by_peer(&worker, false),
            Message::Serving => {
                log::info!("upgrade: the successor serves");
                self.succession.borrow_mut().on_successor_serving();
                if self.gate.lifecycle_state() == LifecycleState::Stopping {
                    // A process that stops may always be succeeded.
                    let _ = self.gate.apply_lifecycle(LifecycleRequest::HandOver);
                }
            }
            // One that stops says no to both, and they are the other's.
            Message::Drain => drop(self.gate.apply_lifecycle(LifecycleRequest::Drain).ok()),
            Message::Resume => drop(self.gate.apply_lifecycle(LifecycleRequest::Resume).ok()),
            Message::Stopping => {
                self.succession.borrow_mut().on_peer_stopping();
                self.hurry.notify_one();
            }
            Message::TakeoverRequest { .. } | Message::TakeoverInProgress | Message::TakeoverState(_) => {
                log::warn!("upgrade: unexpected {message:?}");
            }
        }
    }
}

impl Pair for Upgrade {
    fn unready(&self) -> Option<&'static str> {
        match (self.waits.get(), self.succession.borrow().is_serving()) {
            (true, _) => Some("another upgrade is under way"),
            (false, false) => Some("starting"),
            (false, true) => None,
        }
    }

    fn succeeds(&self) -> bool {
        self.succession.borrow().has_predecessor()
    }

    fn tell(&self, change: Change<'_>) {
        let change = match change {
            Change::Out(worker) => Message::WorkerDisabled { worker: worker.to_owned() },
            Change::Back(worker) => Message::WorkerEnabled { worker: worker.to_owned() },
            Change::Drained => Message::Drain,
            Change::Resumed => Message::Resume,
        };
        if let Some(other) = &*self.other.borrow()
            && let Err(error) = other.try_send(change)
        {
            log::error!("upgrade: a change by hand was not passed on: {error}");
        }
    }
}
