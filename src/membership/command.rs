//! The commands that a member's state machine returns to its host, and the result of a connection probe that the host
//! passes back.

use super::table::MemberChange;
use super::update::Message;
use std::net::SocketAddr;

/// The result of an attempt to connect to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionProbeResult {
    /// The member's machine refused the connection: no process listens there.
    Refused,
    /// The connection was established: the process exists, although it may be paused or hung.
    Connected,
    /// The attempt timed out, or the host could not make it.
    NoResponse,
}

/// An action that the host has to take. `M` is the message type: the simulator also runs protocols with other
/// messages.
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
        /// The start of the member's process, as in [`super::MemberUpdate::start`].
        start: u64,
        /// The member's address.
        address: SocketAddr,
    },
    /// Exchange tables over a connection: send [`super::Node::table_message`], and pass the table in the reply to
    /// [`super::Node::receive_table`].
    ExchangeTables {
        /// The other member's address.
        with: SocketAddr,
    },
    /// Report a change of a member's observed state in the log and the records.
    Notify(MemberChange),
    /// Report that another process uses this member's name, and that this member reclaimed the name with a later
    /// start.
    NameReclaimed,
}
