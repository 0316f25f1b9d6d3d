//! Who else is there: which gatherers live, which have died, which only seem to have, and how many share the fleet.
//! Messages, times and lots go in, messages and decisions come out: no socket, no task, no clock. What it is for and why
//! it is built so: docs/membership.md.

pub mod claim;
pub mod fleet_size;
pub mod gossip_queue;
pub mod node;
pub mod order;
pub mod table;
pub mod timing;

pub use claim::{Claim, Kind, Message, Standing};
pub use fleet_size::FleetSizeEstimate;
pub use node::Node;
pub use order::{Knock, Order};
pub use table::{Change, Link, Seen, State, Table};
pub use timing::Timing;
