//! What a member asks of its host: the whole of its output, and what comes back of an attempt to connect.

use super::claim::Message;
use super::table::Change;
use std::net::SocketAddr;

/// How an attempt to connect to a member ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knock {
    /// Its machine refuses: nobody listens there.
    Refused,
    /// It came up: the process is there, whether it moves or not.
    Open,
    /// Nothing came back.
    Silent,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send this as a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Try to connect, and tell [`super::Node::knocked`].
    Knock {
        /// Whom.
        name: String,
        /// Which process.
        start: u64,
        /// Where.
        address: SocketAddr,
    },
    /// Exchange tables over a connection: send [`super::Node::table_message`], take what comes back to [`super::Node::hear`].
    Exchange {
        /// With whom.
        with: SocketAddr,
    },
    /// Tell people and records.
    Tell(Change),
    /// Somebody else uses this member's name; it was taken back by a later start.
    Taken,
}
