//! The sockets of membership: datagrams, connections that prove whether a process is there, exchanges of whole tables.
//! What is asked and concluded is decided in [`crate::membership`].

use super::errors;
use super::socket::Socket;
use crate::membership::{
    Command, ConnectionProbeResult, KnownMember, MemberChange, Message, Node, ObservedState,
};
use crate::protocol::gossip::{self, ClusterKey, GossipError, MAX_DATAGRAM_BYTES};
use crate::routing::Clock;
use serde::Serialize;
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

/// Connections at once, of one's own and of others together: descriptors kept for them from the start.
pub const MEMBERSHIP_CONNECTIONS: usize = 6;
/// Those of them that others may hold.
const CALLERS: usize = 3;
/// Time for a connection to come up: one that is refused is so within a round trip.
const CONNECT: Duration = Duration::from_millis(300);
/// Time for an exchange of tables.
const EXCHANGE: Duration = Duration::from_secs(2);
/// How often an address is tried that a process before still holds.
const BIND_AGAIN: Duration = Duration::from_millis(100);
/// How often a datagram is sent again whose sending was interrupted.
const SEND_AGAIN: u32 = 8;
/// The pause after a socket's error that may last.
const PAUSE: Duration = Duration::from_millis(20);

/// Connects; a failure of this process's own calls is tried again for so long.
async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    errors::retry(limit, errors::is_local, async || TcpStream::connect(address).await).await
}

/// Who is told of what membership finds.
pub trait MembershipObserver {
    /// A member stands otherwise than before.
    fn on_member_change(&self, change: &MemberChange);
    /// So many gatherers share the fleet from now on.
    fn on_fleet_size(&self, count: u32);
}

/// One member's sockets.
pub struct MembershipTransport {
    node: RefCell<Node>,
    seal: ClusterKey,
    clock: Clock,
    listen: SocketAddr,
    /// The most bytes of a table.
    most: usize,
    listener: Box<dyn MembershipObserver>,
    told: Cell<u32>,
    /// Datagrams and tables that were not taken, by reason; and those that could not be sent.
    refused: RefCell<BTreeMap<String, u64>>,
    due: Notify,
    left: Notify,
    own: Semaphore,
    callers: Semaphore,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

/// A member as operators are shown it.
#[derive(Serialize)]
struct Row {
    name: String,
    zone: String,
    address: SocketAddr,
    start: u64,
    incarnation: u32,
    state: ObservedState,
    since_s: f64,
    heard_s: Option<f64>,
}

/// What operators are shown.
#[derive(Serialize)]
struct View {
    gatherers: u32,
    alone: bool,
    own: Row,
    members: Vec<Row>,
    refused: BTreeMap<String, u64>,
}

impl MembershipTransport {
    /// A member that remembers so many others at most.
    pub fn new(
        node: Node,
        seal: ClusterKey,
        clock: Clock,
        listen: SocketAddr,
        most: usize,
        listener: Box<dyn MembershipObserver>,
    ) -> Rc<MembershipTransport> {
        Rc::new(MembershipTransport {
            node: RefCell::new(node),
            seal,
            clock,
            listen,
            most: gossip::max_table_bytes(most),
            listener,
            told: Cell::new(0),
            refused: RefCell::default(),
            due: Notify::new(),
            left: Notify::new(),
            own: Semaphore::new(MEMBERSHIP_CONNECTIONS - CALLERS),
            callers: Semaphore::new(CALLERS),
            socket: RefCell::default(),
        })
    }

    /// Takes part until [`MembershipTransport::leave`].
    pub async fn run(self: Rc<MembershipTransport>) {
        let (socket, listener) = tokio::select! {
            sockets = self.bind() => sockets,
            () = self.left.notified() => return,
        };
        let socket = Rc::new(socket);
        self.socket.replace(Some(socket.clone()));
        log::info!("members: {} takes part at {}", self.node.borrow().own().name, self.listen);
        let accepting = spawn_local(self.clone().accept(listener));
        tokio::select! {
            () = self.clone().beat() => {}
            () = self.clone().receive(socket) => {}
            () = self.left.notified() => {}
        }
        accepting.abort();
        self.socket.take();
    }

    /// Binds both; in an upgrade the process before holds the address until it stops.
    async fn bind(&self) -> (UdpSocket, TcpListener) {
        let mut said = false;
        loop {
            let bound = async {
                let listener = TcpListener::bind(self.listen).await?;
                Ok::<_, io::Error>((UdpSocket::bind(self.listen).await?, listener))
            };
            match bound.await {
                Ok(sockets) => return sockets,
                Err(error) if !std::mem::replace(&mut said, true) => {
                    log::info!("members: {} is not free yet: {error}", self.listen);
                }
                Err(_) => {}
            }
            tokio::time::sleep(BIND_AGAIN).await;
        }
    }

    /// Tells the others that this process ends, and whether another of the same name takes over.
    pub fn leave(&self, moving: bool) {
        let orders = self.node.borrow_mut().leave(moving);
        if let Some(socket) = &*self.socket.borrow() {
            for order in orders {
                if let Command::Send { to, message } = order {
                    self.send(socket, to, &message);
                }
            }
        }
        self.left.notify_one();
    }

    async fn beat(self: Rc<MembershipTransport>) {
        loop {
            let now = self.clock.now();
            self.node.borrow_mut().tick(now);
            self.carry_out();
            let due = self.node.borrow().next_due();
            let wait = due.since(self.clock.now()).max(Duration::from_millis(1));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.due.notified() => {}
            }
        }
    }

    async fn receive(self: Rc<MembershipTransport>, socket: Rc<UdpSocket>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv(&mut bytes).await {
                Ok(length) => match self.seal.decode_datagram(&bytes[..length]) {
                    Ok(message) => self.hear(message),
                    Err(why) => self.refuse(why),
                },
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Another's machine refused what was sent: nothing to do with what comes next.
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    fn hear(self: &Rc<MembershipTransport>, message: Message) {
        self.node.borrow_mut().receive(self.clock.now(), message);
        self.came();
    }

    fn refuse(&self, why: GossipError) {
        *self.refused.borrow_mut().entry(why.to_string()).or_default() += 1;
    }

    /// Does what the node asks for, and tells of what has changed.
    fn carry_out(self: &Rc<MembershipTransport>) {
        let orders = self.node.borrow_mut().take_commands();
        let socket = self.socket.borrow().clone();
        for order in orders {
            match order {
                Command::Send { to, message } => {
                    if let Some(socket) = &socket {
                        self.send(socket, to, &message);
                    }
                }
                Command::ProbeConnection { name, start, address } => {
                    let members = self.clone();
                    spawn_local(async move { members.knock(name, start, address).await });
                }
                Command::ExchangeTables { with } => {
                    let members = self.clone();
                    spawn_local(async move { members.exchange(with).await });
                }
                Command::Notify(change) => self.listener.on_member_change(&change),
                Command::NameReclaimed => {
                    log::warn!(
                        "members: another process uses this one's name; it was taken back by a later start"
                    );
                }
            }
        }
        let count = self.node.borrow().gatherers(self.clock.now());
        if self.told.replace(count) != count {
            self.listener.on_fleet_size(count);
        }
    }

    /// Something came in: what is due next may have changed.
    fn came(self: &Rc<MembershipTransport>) {
        self.carry_out();
        self.due.notify_one();
    }

    fn send(&self, socket: &UdpSocket, to: SocketAddr, message: &Message) {
        let send = |bytes: Vec<u8>| {
            let mut sent = socket.try_send_to(&bytes, to);
            for _ in 0..SEND_AGAIN {
                if !matches!(&sent, Err(error) if error.kind() == io::ErrorKind::Interrupted) {
                    break;
                }
                sent = socket.try_send_to(&bytes, to);
            }
            sent
        };
        let sent = self.seal.encode(message).map(send);
        // A datagram that is not sent is one that is lost: the protocol bears it.
        if !matches!(sent, Ok(Ok(_))) {
            *self.refused.borrow_mut().entry("unsent".to_owned()).or_default() += 1;
        }
    }

    /// Finds out whether a process is there; silent where there is no place for one more connection.
    async fn knock(self: Rc<MembershipTransport>, name: String, start: u64, address: SocketAddr) {
        let end = match self.own.try_acquire() {
            Err(_) => ConnectionProbeResult::NoResponse,
            // What fails here says nothing of the other: it is tried again.
            Ok(_place) => match timeout(CONNECT, connect(address, CONNECT)).await {
                Ok(Ok(_)) => ConnectionProbeResult::Connected,
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    ConnectionProbeResult::Refused
                }
                Ok(Err(_)) | Err(_) => ConnectionProbeResult::NoResponse,
            },
        };
        self.node.borrow_mut().on_probe_result(self.clock.now(), &name, start, end);
        self.came();
    }

    async fn exchange(self: Rc<MembershipTransport>, with: SocketAddr) {
        let Ok(_place) = self.own.try_acquire() else { return };
        let both = async {
            let mut stream = Socket::new(connect(with, EXCHANGE).await.ok()?);
            self.tell(&mut stream).await?;
            self.read(&mut stream).await
        };
        if let Ok(Some(message)) = timeout(EXCHANGE, both).await {
            self.node.borrow_mut().receive_table(self.clock.now(), message);
            self.came();
        }
    }

    async fn accept(self: Rc<MembershipTransport>, listener: TcpListener) {
        loop {
            let Ok(place) = self.callers.acquire().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            place.forget();
            let members = self.clone();
            spawn_local(async move {
                let mut stream = Socket::new(stream);
                let both = async {
                    let message = members.read(&mut stream).await?;
                    members.tell(&mut stream).await?;
                    Some(message)
                };
                if let Ok(Some(message)) = timeout(EXCHANGE, both).await {
                    members.node.borrow_mut().receive_table(members.clock.now(), message);
                    members.came();
                }
                members.callers.add_permits(1);
            });
        }
    }

    async fn tell(&self, stream: &mut Socket<TcpStream>) -> Option<()> {
        let bytes = self.seal.encode(&self.node.borrow().table_message()).ok()?;
        let length = u32::try_from(bytes.len()).ok()?;
        stream.write_all(&[&length.to_le_bytes()[..], &bytes].concat()).await.ok()
    }

    async fn read(&self, stream: &mut Socket<TcpStream>) -> Option<Message> {
        // Who only knocks ends it here.
        let length = stream.read_u32_le().await.ok()? as usize;
        if length > self.most {
            self.refuse(GossipError::Length);
            return None;
        }
        // Grows as bytes come: guards against a length that promises more than is sent.
        let mut bytes = Vec::new();
        stream.take(length as u64).read_to_end(&mut bytes).await.ok()?;
        self.seal.decode(&bytes).map_err(|why| self.refuse(why)).ok()
    }

    /// What is known, as JSON.
    pub fn status_json(&self) -> String {
        let (node, now) = (self.node.borrow(), self.clock.now());
        let own = node.own();
        let row = |seen: &KnownMember| Row {
            name: seen.update.name.clone(),
            zone: seen.update.zone.clone(),
            address: seen.update.address,
            start: seen.update.start,
            incarnation: seen.update.incarnation,
            state: seen.state(),
            since_s: now.since(seen.state_since).as_secs_f64(),
            heard_s: seen.last_message_at.map(|at| now.since(at).as_secs_f64()),
        };
        let view = View {
            gatherers: node.gatherers(now),
            alone: node.is_isolated(now),
            own: Row {
                name: own.name.clone(),
                zone: own.zone.clone(),
                address: own.address,
                start: own.start,
                incarnation: own.incarnation,
                state: ObservedState::Alive,
                since_s: now.0.saturating_sub(own.start) as f64 / 1e9,
                heard_s: None,
            },
            members: node.table().iter().map(row).collect(),
            refused: self.refused.borrow().clone(),
        };
        // Plain structs and maps with text keys: this cannot fail.
        serde_json::to_string(&view).unwrap_or_default()
    }
}
