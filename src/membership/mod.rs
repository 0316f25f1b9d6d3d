//! Gossip-based membership with failure detection in the manner of SWIM: which gatherers are running, suspected,
//! failed or dead, and how many of them share the fleet.
//!
//! The input is messages, times and random seeds; the output is commands for the host ([`Command`]). This module owns
//! one member's table of the others; it has no socket, no task and no clock. docs/membership.md explains the design.

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
