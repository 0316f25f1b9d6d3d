//! Upgrades without downtime (hot restart): a second process, the successor, takes over the listening socket and the
//! state of the first one, the predecessor. Both share the limits of the gatherer while both run.
//!
//! This module owns what both sides share; `successor` takes over, `predecessor` hands over, and `messages` exchanges
//! messages afterwards. [`crate::service::takeover`] decides what either process may do; docs/service.md compares the
//! alternatives.

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

/// Time-out of connecting to the other process, and of sending to it and receiving from it during a takeover.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two attempts that depend on another process, such as requests for a takeover.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two attempts that do not depend on another process: checks for an endpoint list, and system calls
/// that failed with a transient error.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which a successor waits for discovery. It may serve without, with the predecessor's endpoint list.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_secs(1);

/// The state of upgrades in one process: its takeover socket, the connection to the other process, and which of the two
/// may serve.
pub struct Upgrade {
    broker: Broker,
    connections: Rc<ConnectionManager>,
    clock: Clock,
    limits: ProcessLimits,
    listen: SocketAddr,
    takeover_socket: TakeoverSocket,
    takeover: RefCell<Takeover>,
    /// Queue of messages to the other process, while there is one.
    peer: RefCell<Option<mpsc::Sender<Message>>>,
    /// Notified when the other process has stopped or is stopping, so that this one serves without waiting for
    /// discovery.
    serve_now: Notify,
    /// Whether a takeover request was rejected because another upgrade was under way, and none has succeeded since.
    waiting_for_upgrade: Cell<bool>,
    /// The clients' listener, once it has been obtained. A successor receives a copy of it.
    listener: RefCell<Option<Rc<TcpListener>>>,
    /// The task that accepts further starting processes.
    accept_task: RefCell<Option<AbortHandle>>,
}

impl Upgrade {
    /// Creates the state of upgrades for the gatherer whose clients connect to `listen`.
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

    /// Takes over the listening socket from a process that serves this address, or binds a new one if there is none.
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

    /// Divides descriptors, memory of buffers and load limits by the number of running processes.
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

    /// Returns once this process may serve: at once if it is the only one, else once discovery has sent a list, the
    /// other process stops, or [`MAX_DISCOVERY_WAIT`] is over.
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

    /// Marks this process as serving, notifies the predecessor, and accepts successors from now on.
    pub fn announce_serving(self: &Rc<Self>) {
        self.takeover.borrow_mut().start_serving();
        if let Err(error) = self.send_to_peer(Message::Serving) {
            // The queue is full, which takes hundreds of operators' calls before this message.
            log::debug!("upgrade: the predecessor was not notified that this process serves: {error}");
        }
        self.accept_successors();
    }

    /// Notifies the other process that this one stops. Returns the lifecycle request that SIGTERM stands for: a stop,
    /// or a hand-over if the other process continues the gatherer.
    pub fn announce_stop(&self) -> LifecycleRequest {
        let request = self.takeover.borrow().stop_signal_request();
        if let Err(error) = self.send_to_peer(Message::Stopping) {
            // The other process notices the end of the connection instead, and serves later.
            log::debug!("upgrade: the other process was not notified of the stop: {error}");
        }
        request
    }

    /// Removes the file of this process's takeover socket, at the end of the process.
    pub fn remove_socket_file(&self) {
        self.takeover_socket.remove_socket_file();
    }
}

impl UpgradePeer for Upgrade {
    fn not_ready_reason(&self) -> Option<&'static str> {
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
        let message = match change {
            OperatorChange::Disabled(worker) => Message::WorkerDisabled { worker: worker.to_owned() },
            OperatorChange::Enabled(worker) => Message::WorkerEnabled { worker: worker.to_owned() },
            OperatorChange::Drained => Message::Drain,
            OperatorChange::Resumed => Message::Resume,
        };
        if let Err(error) = self.send_to_peer(message) {
            log::error!("upgrade: an operator's change was not sent to the other process: {error}");
        }
    }
}
