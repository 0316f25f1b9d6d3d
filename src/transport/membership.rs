//! The sockets of membership: datagrams, connection probes that find out whether a process is alive, and exchanges of
//! complete member tables.
//!
//! Owns the sockets and timers of one member. The protocol itself is in [`crate::membership`].

mod status;

use super::errors;
use super::socket::Socket;
use crate::membership::{Command, ConnectionProbeResult, MemberChange, Message, Node};
use crate::protocol::gossip::{self, ClusterKey, GossipError, MAX_DATAGRAM_BYTES};
use crate::routing::Clock;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The maximum number of membership connections, outgoing and incoming together. As many descriptors are reserved from
/// the start of the process.
pub const MEMBERSHIP_CONNECTIONS: usize = 6;
/// The maximum number of incoming membership connections.
const MAX_INCOMING: usize = 3;
/// The time-out of a connection probe. A refusal takes one round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time-out of an exchange of member tables.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay between attempts to bind an address that the predecessor process still holds.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How many times an interrupted send of a datagram is retried.
const MAX_SEND_RETRIES: u32 = 8;
/// The delay after a socket error, which may persist.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(20);

/// Connects to an address, retrying local errors for up to `limit`.
async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    errors::retry(limit, errors::is_local, async || TcpStream::connect(address).await).await
}

/// Sends a datagram without waiting, retrying interrupted sends up to [`MAX_SEND_RETRIES`] times.
fn send_datagram(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
    let mut result = socket.try_send_to(bytes, to);
    for _ in 0..MAX_SEND_RETRIES {
        if !matches!(&result, Err(error) if error.kind() == io::ErrorKind::Interrupted) {
            break;
        }
        result = socket.try_send_to(bytes, to);
    }
    result
}

/// Connects to an address and closes the connection, to find out whether a process accepts connections there.
async fn probe(address: SocketAddr) -> ConnectionProbeResult {
    // Local errors do not mean that the peer has failed, so `connect` retries them.
    match timeout(CONNECT_TIMEOUT, connect(address, CONNECT_TIMEOUT)).await {
        Ok(Ok(_)) => ConnectionProbeResult::Connected,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ConnectionProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ConnectionProbeResult::NoResponse,
    }
}

/// Receives the results of membership.
pub trait MembershipObserver {
    /// A member's state has changed.
    fn on_member_change(&self, change: &MemberChange);
    /// The estimated number of gatherers that share the fleet has changed to `count`.
    fn on_fleet_size(&self, count: u32);
}

/// The two sockets that are bound to a member's address.
struct BoundSockets {
    datagrams: UdpSocket,
    listener: TcpListener,
}

/// The sockets and timers of one member.
pub struct MembershipTransport {
    node: RefCell<Node>,
    cluster_key: ClusterKey,
    clock: Clock,
    listen_address: SocketAddr,
    max_table_bytes: usize,
    observer: Box<dyn MembershipObserver>,
    /// The fleet size that the observer was last notified of.
    notified_fleet_size: Cell<u32>,
    /// The numbers of datagrams and tables that were discarded, by reason, and of datagrams that were not sent.
    discarded: RefCell<BTreeMap<String, u64>>,
    /// Notified when the node's next deadline may have changed.
    deadline_changed: Notify,
    stopped: Notify,
    outgoing: Semaphore,
    incoming: Semaphore,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl MembershipTransport {
    /// Creates the transport of a member whose table holds at most `max_members` others.
    #[must_use]
    pub fn new(
        node: Node,
        cluster_key: ClusterKey,
        clock: Clock,
        listen_address: SocketAddr,
        max_members: usize,
        observer: Box<dyn MembershipObserver>,
    ) -> Rc<MembershipTransport> {
        Rc::new(MembershipTransport {
            node: RefCell::new(node),
            cluster_key,
            clock,
            listen_address,
            max_table_bytes: gossip::max_table_bytes(max_members),
            observer,
            notified_fleet_size: Cell::new(0),
            discarded: RefCell::default(),
            deadline_changed: Notify::new(),
            stopped: Notify::new(),
            outgoing: Semaphore::new(MEMBERSHIP_CONNECTIONS - MAX_INCOMING),
            incoming: Semaphore::new(MAX_INCOMING),
            socket: RefCell::default(),
        })
    }

    /// Binds the sockets and runs the protocol until [`MembershipTransport::leave`].
    pub async fn run(self: Rc<MembershipTransport>) {
        let BoundSockets { datagrams, listener } = tokio::select! {
            sockets = self.bind() => sockets,
            () = self.stopped.notified() => return,
        };
        let socket = Rc::new(datagrams);
        self.socket.replace(Some(socket.clone()));
        log::info!(
            "members: {} has joined, listening at {}",
            self.node.borrow().own().name,
            self.listen_address
        );
        let accepting = spawn_local(self.clone().accept(listener));
        tokio::select! {
            () = self.clone().run_timers() => {}
            () = self.clone().receive_datagrams(socket) => {}
            () = self.stopped.notified() => {}
        }
        accepting.abort();
        self.socket.take();
    }

    /// Binds the datagram socket and the listener, retrying until the address is free: in an upgrade, the predecessor
    /// holds it until it stops.
    async fn bind(&self) -> BoundSockets {
        let mut logged = false;
        loop {
            match self.try_bind().await {
                Ok(sockets) => return sockets,
                Err(error) if !std::mem::replace(&mut logged, true) => {
                    log::info!(
                        "members: cannot bind {}, retrying every {} ms: {error}",
                        self.listen_address,
                        BIND_RETRY_DELAY.as_millis()
                    );
                }
                // Only the first failure is logged.
                Err(_) => {}
            }
            tokio::time::sleep(BIND_RETRY_DELAY).await;
        }
    }

    async fn try_bind(&self) -> io::Result<BoundSockets> {
        let listener = TcpListener::bind(self.listen_address).await?;
        let datagrams = UdpSocket::bind(self.listen_address).await?;
        Ok(BoundSockets { datagrams, listener })
    }

    /// Tells the other members that this process leaves, and whether a successor of the same name takes over, and stops
    /// [`MembershipTransport::run`].
    pub fn leave(&self, handing_over: bool) {
        let commands = self.node.borrow_mut().leave(handing_over);
        for command in commands {
            if let Command::Send { to, message } = command {
                self.send(to, &message);
            }
        }
        self.stopped.notify_one();
    }

    /// Advances the node at each of its deadlines.
    async fn run_timers(self: Rc<MembershipTransport>) {
        loop {
            let now = self.clock.now();
            self.node.borrow_mut().tick(now);
            self.execute_commands();
            let deadline = self.node.borrow().next_due();
            let wait = deadline.since(self.clock.now()).max(Duration::from_millis(1));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    async fn receive_datagrams(self: Rc<MembershipTransport>, socket: Rc<UdpSocket>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv(&mut bytes).await {
                Ok(length) => match self.cluster_key.decode_datagram(&bytes[..length]) {
                    Ok(message) => {
                        self.node.borrow_mut().receive(self.clock.now(), message);
                        self.on_input();
                    }
                    Err(error) => self.record_discarded(error),
                },
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The error may report that a peer's machine refused an earlier datagram; later receives are
                // unaffected.
                Err(_) => tokio::time::sleep(SOCKET_ERROR_DELAY).await,
            }
        }
    }

    fn record_discarded(&self, error: GossipError) {
        *self.discarded.borrow_mut().entry(error.to_string()).or_default() += 1;
    }

    /// Executes the node's pending commands, and notifies the observer of changes.
    fn execute_commands(self: &Rc<MembershipTransport>) {
        let commands = self.node.borrow_mut().take_commands();
        for command in commands {
            self.execute(command);
        }
        self.notify_of_fleet_size();
    }

    fn execute(self: &Rc<MembershipTransport>, command: Command) {
        match command {
            Command::Send { to, message } => self.send(to, &message),
            Command::ProbeConnection { name, start, address } => {
                spawn_local(self.clone().run_connection_probe(name, start, address));
            }
            Command::ExchangeTables { with } => {
                spawn_local(self.clone().exchange_tables(with));
            }
            Command::Notify(change) => self.observer.on_member_change(&change),
            Command::NameReclaimed => {
                let node = self.node.borrow();
                let (name, start) = (&node.own().name, node.own().start);
                log::warn!(
                    "members: another process uses the name {name}; this process claims it with the later start {start}"
                );
            }
        }
    }

    /// Notifies the observer if the fleet size has changed since the last notification.
    fn notify_of_fleet_size(&self) {
        let fleet_size = self.node.borrow().gatherers(self.clock.now());
        if self.notified_fleet_size.replace(fleet_size) != fleet_size {
            self.observer.on_fleet_size(fleet_size);
        }
    }

    /// Handles the node's reaction to an input: executes its commands, and lets the timers read its next deadline
    /// again.
    fn on_input(self: &Rc<MembershipTransport>) {
        self.execute_commands();
        self.deadline_changed.notify_one();
    }

    /// Sends a datagram if the socket is bound. A failed send is counted and otherwise ignored, since the protocol
    /// tolerates lost datagrams.
    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let sent = self.cluster_key.encode(message).map(|bytes| send_datagram(&socket, &bytes, to));
        if !matches!(sent, Ok(Ok(_))) {
            *self.discarded.borrow_mut().entry("unsent".to_owned()).or_default() += 1;
        }
    }

    /// Probes whether a process accepts connections, and passes the result to the node: no response where the limit of
    /// outgoing connections is reached.
    async fn run_connection_probe(
        self: Rc<MembershipTransport>,
        name: String,
        start: u64,
        address: SocketAddr,
    ) {
        let result = match self.outgoing.try_acquire() {
            Err(_) => ConnectionProbeResult::NoResponse,
            Ok(_permit) => probe(address).await,
        };
        self.node.borrow_mut().on_probe_result(self.clock.now(), &name, start, result);
        self.on_input();
    }

    /// Exchanges tables with the member at an address. Does nothing where the limit of outgoing connections is reached.
    async fn exchange_tables(self: Rc<MembershipTransport>, with: SocketAddr) {
        let Ok(_permit) = self.outgoing.try_acquire() else { return };
        let exchange = async {
            let mut stream = Socket::new(connect(with, EXCHANGE_TIMEOUT).await.ok()?);
            self.write_table(&mut stream).await?;
            self.read_table(&mut stream).await
        };
        self.finish_exchange(exchange).await;
    }

    /// Accepts connections of other members, which exchange tables or only probe.
    async fn accept(self: Rc<MembershipTransport>, listener: TcpListener) {
        loop {
            // The semaphore is never closed, so acquiring a permit cannot fail.
            let Ok(permit) = self.incoming.acquire().await else { return };
            // The error may persist, for instance when no descriptor is left. Peers exchange tables again later.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                continue;
            };
            permit.forget();
            spawn_local(self.clone().answer_exchange(stream));
        }
    }

    /// Serves an incoming connection until it ends, and returns its permit.
    async fn answer_exchange(self: Rc<MembershipTransport>, stream: TcpStream) {
        let mut stream = Socket::new(stream);
        let exchange = async {
            let message = self.read_table(&mut stream).await?;
            self.write_table(&mut stream).await?;
            Some(message)
        };
        self.finish_exchange(exchange).await;
        self.incoming.add_permits(1);
    }

    /// Waits for an exchange for up to [`EXCHANGE_TIMEOUT`] and applies the peer's table. Failures are ignored: tables
    /// are exchanged again at the next interval, with a member picked at random.
    async fn finish_exchange(
        self: &Rc<MembershipTransport>,
        exchange: impl Future<Output = Option<Message>>,
    ) {
        if let Ok(Some(message)) = timeout(EXCHANGE_TIMEOUT, exchange).await {
            self.node.borrow_mut().receive_table(self.clock.now(), message);
            self.on_input();
        }
    }

    /// Writes this member's table, prefixed with its length in bytes. `None` if it cannot be written.
    async fn write_table(&self, stream: &mut Socket<TcpStream>) -> Option<()> {
        let bytes = self.cluster_key.encode(&self.node.borrow().table_message()).ok()?;
        let length = u32::try_from(bytes.len()).ok()?;
        stream.write_all(&[&length.to_le_bytes()[..], &bytes].concat()).await.ok()
    }

    /// Reads a peer's table. `None` if the connection ends before, or the table is discarded.
    async fn read_table(&self, stream: &mut Socket<TcpStream>) -> Option<Message> {
        // A connection probe ends here: its connection is closed without a byte.
        let length = stream.read_u32_le().await.ok()? as usize;
        if length > self.max_table_bytes {
            self.record_discarded(GossipError::Length);
            return None;
        }
        // The buffer grows as bytes arrive, so a false length does not allocate memory.
        let mut bytes = Vec::new();
        stream.take(length as u64).read_to_end(&mut bytes).await.ok()?;
        self.cluster_key.decode(&bytes).map_err(|error| self.record_discarded(error)).ok()
    }

    /// Returns the status of all known members, as JSON.
    pub fn status_json(&self) -> String {
        status::json(&self.node.borrow(), self.clock.now(), &self.discarded.borrow())
    }
}
