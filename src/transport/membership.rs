//! The sockets of membership: datagrams, connection probes that prove whether a process is there, and exchanges of whole
//! member tables.
//!
//! It owns the sockets of one member and its timers. What is sent and what is concluded is decided in
//! [`crate::membership`].

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

/// How many connections, outgoing and incoming together, membership has at once: as many descriptors are set aside for
/// them from the start.
pub const MEMBERSHIP_CONNECTIONS: usize = 6;
/// How many of them may be incoming.
const MAX_INCOMING: usize = 3;
/// How long a connection may take to come up: a refusal takes a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an exchange of tables may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay between tries to bind an address that the process before still holds.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often the send of a datagram is retried after an interrupt.
const MAX_SEND_RETRIES: u32 = 8;
/// The delay after an error of a socket, which may persist.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(20);

/// Connects; local errors are retried until `limit`.
async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    errors::retry(limit, errors::is_local, async || TcpStream::connect(address).await).await
}

/// Sends a datagram without waiting. An interrupted send is retried a few times.
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

/// Tries to connect to a process, to find out whether it accepts connections.
async fn probe(address: SocketAddr) -> ConnectionProbeResult {
    // A local failure says nothing about the peer: it is retried.
    match timeout(CONNECT_TIMEOUT, connect(address, CONNECT_TIMEOUT)).await {
        Ok(Ok(_)) => ConnectionProbeResult::Connected,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ConnectionProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ConnectionProbeResult::NoResponse,
    }
}

/// Is notified of what membership finds.
pub trait MembershipObserver {
    /// A member's state has changed.
    fn on_member_change(&self, change: &MemberChange);
    /// The number of gatherers that share the fleet has changed.
    fn on_fleet_size(&self, count: u32);
}

/// The sockets that are bound to a member's address.
struct BoundSockets {
    datagrams: UdpSocket,
    listener: TcpListener,
}

/// The sockets of one member.
pub struct MembershipTransport {
    node: RefCell<Node>,
    cluster_key: ClusterKey,
    clock: Clock,
    listen_address: SocketAddr,
    max_table_bytes: usize,
    observer: Box<dyn MembershipObserver>,
    /// The fleet size that the observer was last notified of.
    notified_fleet_size: Cell<u32>,
    /// Datagrams and tables that were discarded, by reason, and datagrams that could not be sent.
    discarded: RefCell<BTreeMap<String, u64>>,
    /// Notified when the node's next deadline may have changed.
    deadline_changed: Notify,
    stopped: Notify,
    outgoing: Semaphore,
    incoming: Semaphore,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl MembershipTransport {
    /// Creates the transport of a member that remembers `max_members` others at most.
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

    /// Takes part in membership until [`MembershipTransport::leave`].
    pub async fn run(self: Rc<MembershipTransport>) {
        let BoundSockets { datagrams, listener } = tokio::select! {
            sockets = self.bind() => sockets,
            () = self.stopped.notified() => return,
        };
        let socket = Rc::new(datagrams);
        self.socket.replace(Some(socket.clone()));
        log::info!("members: {} takes part at {}", self.node.borrow().own().name, self.listen_address);
        let accepting = spawn_local(self.clone().accept(listener));
        tokio::select! {
            () = self.clone().run_timers() => {}
            () = self.clone().receive_datagrams(socket) => {}
            () = self.stopped.notified() => {}
        }
        accepting.abort();
        self.socket.take();
    }

    /// Binds the datagram socket and the listener. In an upgrade the process before holds the address until it stops.
    async fn bind(&self) -> BoundSockets {
        let mut logged = false;
        loop {
            match self.try_bind().await {
                Ok(sockets) => return sockets,
                Err(error) if !std::mem::replace(&mut logged, true) => {
                    log::info!("members: {} is not free yet: {error}", self.listen_address);
                }
                // Logged once: the address is tried until it is free.
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

    /// Broadcasts that this process ends, and whether another of the same name takes over.
    pub fn leave(&self, handing_over: bool) {
        let commands = self.node.borrow_mut().leave(handing_over);
        for command in commands {
            if let Command::Send { to, message } = command {
                self.send(to, &message);
            }
        }
        self.stopped.notify_one();
    }

    /// Advances the node whenever a deadline of it passes.
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
                // The error reports that a peer's machine refused an earlier datagram; the next receive is unaffected.
                Err(_) => tokio::time::sleep(SOCKET_ERROR_DELAY).await,
            }
        }
    }

    fn record_discarded(&self, error: GossipError) {
        *self.discarded.borrow_mut().entry(error.to_string()).or_default() += 1;
    }

    /// Executes the node's commands, and notifies the observer of what has changed.
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
                log::warn!(
                    "members: another process uses this one's name; it was taken back by a later start"
                );
            }
        }
    }

    /// Notifies the observer of the fleet size, where that has changed since it was last notified.
    fn notify_of_fleet_size(&self) {
        let fleet_size = self.node.borrow().gatherers(self.clock.now());
        if self.notified_fleet_size.replace(fleet_size) != fleet_size {
            self.observer.on_fleet_size(fleet_size);
        }
    }

    /// The node has received something: its commands are executed, and its next deadline may have changed.
    fn on_input(self: &Rc<MembershipTransport>) {
        self.execute_commands();
        self.deadline_changed.notify_one();
    }

    /// Sends a datagram, where the socket is bound. One that is not sent counts as lost, which the protocol allows for.
    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let sent = self.cluster_key.encode(message).map(|bytes| send_datagram(&socket, &bytes, to));
        if !matches!(sent, Ok(Ok(_))) {
            *self.discarded.borrow_mut().entry("unsent".to_owned()).or_default() += 1;
        }
    }

    /// Finds out whether a process accepts connections. Without a permit for one more connection there is no result.
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

    /// Exchanges tables with the member at an address. Without a permit for one more connection nothing happens.
    async fn exchange_tables(self: Rc<MembershipTransport>, with: SocketAddr) {
        let Ok(_permit) = self.outgoing.try_acquire() else { return };
        let exchange = async {
            let mut stream = Socket::new(connect(with, EXCHANGE_TIMEOUT).await.ok()?);
            self.write_table(&mut stream).await?;
            self.read_table(&mut stream).await
        };
        self.finish_exchange(exchange).await;
    }

    async fn accept(self: Rc<MembershipTransport>, listener: TcpListener) {
        loop {
            // The semaphore is never closed, so there is always a permit in the end.
            let Ok(permit) = self.incoming.acquire().await else { return };
            // The error may persist, for instance where descriptors are short; a peer exchanges tables again later.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                continue;
            };
            permit.forget();
            spawn_local(self.clone().answer_exchange(stream));
        }
    }

    /// Serves an incoming connection to its end, and gives back its permit.
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

    /// Waits for an exchange and applies the peer's table, where it brings one in time. One that fails needs no report:
    /// tables are exchanged again at the next interval, with a member picked at random.
    async fn finish_exchange(
        self: &Rc<MembershipTransport>,
        exchange: impl Future<Output = Option<Message>>,
    ) {
        if let Ok(Some(message)) = timeout(EXCHANGE_TIMEOUT, exchange).await {
            self.node.borrow_mut().receive_table(self.clock.now(), message);
            self.on_input();
        }
    }

    /// Writes this member's table, behind its length in bytes; `None` where it cannot be written.
    async fn write_table(&self, stream: &mut Socket<TcpStream>) -> Option<()> {
        let bytes = self.cluster_key.encode(&self.node.borrow().table_message()).ok()?;
        let length = u32::try_from(bytes.len()).ok()?;
        stream.write_all(&[&length.to_le_bytes()[..], &bytes].concat()).await.ok()
    }

    /// Reads a peer's table; `None` where none comes or it is discarded.
    async fn read_table(&self, stream: &mut Socket<TcpStream>) -> Option<Message> {
        // A connection probe ends here: it is closed without a byte.
        let length = stream.read_u32_le().await.ok()? as usize;
        if length > self.max_table_bytes {
            self.record_discarded(GossipError::Length);
            return None;
        }
        // The buffer grows as bytes arrive, so a length that promises more than is sent takes no memory.
        let mut bytes = Vec::new();
        stream.take(length as u64).read_to_end(&mut bytes).await.ok()?;
        self.cluster_key.decode(&bytes).map_err(|error| self.record_discarded(error)).ok()
    }

    /// Describes all known members, as JSON.
    pub fn status_json(&self) -> String {
        status::json(&self.node.borrow(), self.clock.now(), &self.discarded.borrow())
    }
}
