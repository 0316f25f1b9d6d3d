//! Who else is there: which gatherers live, which have died, which only seem to have, and how many share the fleet.
//! Messages, times and lots go in, messages and decisions come out: no socket, no task, no clock. What it is for and why
//! it is built so: docs/membership.md.

pub mod census;
pub mod claim;
pub mod news;
pub mod node;
pub mod order;
pub mod table;
pub mod timing;

pub use census::Census;
pub use claim::{Claim, Kind, Message, Standing};
pub use node::Node;
pub use order::{Knock, Order};
pub use table::{Change, Link, Seen, State, Table};
pub use timing::Timing;
