//! The commands that a member's state machine gives to its host, and the result that comes back of a connection probe.

use super::table::MemberChange;
use super::update::Message;
use std::net::SocketAddr;

/// The result of an attempt to connect to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionProbeResult {
    /// The member's machine refused the connection: no process listens there.
    Refused,
    /// The connection came up: the process is there, whether it makes progress or not.
    Connected,
    /// No response came in time, or the probe could not be made.
    NoResponse,
}

/// What the host is to do. `M` is the form of a message; the simulator plays other forms beside the program's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<M = Message> {
    /// Send a message as a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: M,
    },
    /// Try to connect to a member, and pass the result to [`super::Node::on_probe_result`].
    ProbeConnection {
        /// The member's name.
        name: String,
        /// The start of its process.
        start: u64,
        /// Its address.
        address: SocketAddr,
    },
    /// Exchange tables over a connection: send [`super::Node::table_message`], and pass what comes back to
    /// [`super::Node::receive_table`].
    ExchangeTables {
        /// The other member's address.
        with: SocketAddr,
    },
    /// Report a member's change to people and records.
    Notify(MemberChange),
    /// Report that another process uses this member's name, which took it back with a later start.
    NameReclaimed,
}
