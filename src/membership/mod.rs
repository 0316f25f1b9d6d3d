//! Which gatherers are alive, which have died, which only seem to have, and how many share the fleet.
//!
//! Messages, times and random seeds go in; commands go out ([`Command`]). This module owns what a member knows of the others;
//! it has no socket, no task and no clock. The design and its reasons: docs/membership.md.

pub mod command;
pub mod fleet_size;
pub mod gossip_queue;
pub mod node;
pub mod table;
pub mod timing;
pub mod update;

pub use command::{Command, ConnectionProbeResult};
pub use fleet_size::FleetSizeEstimate;
pub use node::{Node, NodeConfig};
pub use table::{KnownMember, MemberChange, MemberTable, ObservedState, Reachability};
pub use timing::Timing;
pub use update::{MemberState, MemberUpdate, Message, MessageKind};
