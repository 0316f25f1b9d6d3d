//! What operators decide about a gatherer that serves: drains, workers out by hand, the passing on to a successor. Plain
//! values and times go in, decisions come out: no socket, no task, no clock.

pub mod bans;
pub mod stage;
pub mod succession;

pub use bans::Bans;
pub use stage::{Stage, Stages};
pub use succession::Succession;
