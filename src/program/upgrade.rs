//! Upgrades without downtime (hot restart): a second process takes over from the first one's listening socket and state,
//! and both share the limits while both run. [`crate::service::takeover`] decides what either may do; docs/service.md
//! compares the alternatives. This module owns what both sides share; `successor` takes over, `predecessor` hands over, and
//! `messages` is what they send to each other.

mod messages;
mod predecessor;
mod successor;

use super::resource_limits::ProcessLimits;
use crate::fronts::operators::{OperatorChange, UpgradePeer};
use crate::protocol::handover::Message;
use crate::routing::{Broker, Clock};
use crate::service::Takeover;
use crate::service::lifecycle::LifecycleRequest;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::takeover::TakeoverSocket;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

/// How long the other process may take to reply before it counts as hung.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two requests of a process that has to wait.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two attempts that need nothing of the other process: a look for a list, a call of the system that failed for
/// a moment.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a successor waits for discovery at most: it already has the predecessor's endpoint list.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_secs(1);

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

    /// Divides descriptors, buffers and load among the processes that run.
    pub(super) async fn divide_resources(&self) {
        let processes = self.takeover.borrow().process_count();
        self.broker.with_core(|core| core.set_process_count(processes));
        match self.limits.descriptor_budget(processes) {
            Ok(budget) => {
                self.connections
                    .descriptor_pool()
                    .set_budget(budget, self.limits.buffer_bytes(processes))
                    .await
            }
            Err(error) => {
                log::warn!("upgrade: file descriptors were not divided among {processes} processes: {error}")
            }
        }
    }

    /// Returns once this process may serve: at once where it is the only one; else once discovery has sent a list, the
    /// longest wait is over, or the other process stops.
    pub async fn wait_until_ready(&self) {
        if self.takeover.borrow().process_count() > 1 {
            let list_received = async {
                while self.broker.with_core(|core| !core.has_discovery_list()) {
                    tokio::time::sleep(LOCAL_RETRY_INTERVAL).await;
                }
            };
            tokio::select! {
                () = list_received => {}
                () = self.serve_now.notified() => {}
                () = tokio::time::sleep(MAX_DISCOVERY_WAIT) => {}
            }
        }
    }

    /// Records that this process accepts clients, notifies the predecessor, and accepts successors from now on.
    pub fn announce_serving(self: &Rc<Self>) {
        self.takeover.borrow_mut().start_serving();
        if let Err(error) = self.send_to_peer(Message::Serving) {
            // The queue is full, which hundreds of operators' calls before this one would take.
            log::debug!("upgrade: the predecessor was not notified that this process serves: {error}");
        }
        self.accept_successors();
    }

    /// What SIGTERM means now; notifies the other process.
    pub fn announce_stop(&self) -> LifecycleRequest {
        let stop = self.takeover.borrow().stop_signal_request();
        if let Err(error) = self.send_to_peer(Message::Stopping) {
            // The other process serves a moment later.
            log::debug!("upgrade: the other process was not notified of the stop: {error}");
        }
        stop
    }

    /// Removes this process's socket file, at the end of the process.
    pub fn remove_socket_file(&self) {
        self.takeover_socket.remove_socket_file();
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
        if let Err(error) = self.send_to_peer(change) {
            log::error!("upgrade: an operator's change was not sent to the other process: {error}");
        }
    }
}
