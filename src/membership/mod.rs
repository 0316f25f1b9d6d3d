//! Who else is there: which gatherers live, which have died, which only seem to have, and how many share the fleet.
//! Messages, times and lots go in, messages and decisions come out: no socket, no task, no clock. What it is for and why
//! it is built so: docs/membership.md.

pub mod command;
pub mod fleet_size;
pub mod gossip_queue;
pub mod node;
pub mod table;
pub mod timing;
pub mod update;

pub use command::{Command, ConnectionProbeResult};
pub use fleet_size::FleetSizeEstimate;
pub use node::Node;
pub use table::{KnownMember, Link, MemberChange, ObservedState, Table};
pub use timing::Timing;
pub use update::{MemberState, MemberUpdate, Message, MessageKind};
