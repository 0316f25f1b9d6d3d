//! What a member asks of its host: the whole of its output, and what comes back of an attempt to connect.

use super::table::MemberChange;
use super::update::Message;
use std::net::SocketAddr;

/// How an attempt to connect to a member ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionProbeResult {
    /// Its machine refuses: nobody listens there.
    Refused,
    /// It came up: the process is there, whether it moves or not.
    Connected,
    /// Nothing came back.
    NoResponse,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send this as a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Try to connect, and tell [`super::Node::knocked`].
    ProbeConnection {
        /// Whom.
        name: String,
        /// Which process.
        start: u64,
        /// Where.
        address: SocketAddr,
    },
    /// Exchange tables over a connection: send [`super::Node::table_message`], take what comes back to [`super::Node::hear`].
    ExchangeTables {
        /// With whom.
        with: SocketAddr,
    },
    /// Tell people and records.
    Notify(MemberChange),
    /// Somebody else uses this member's name; it was taken back by a later start.
    NameReclaimed,
}
