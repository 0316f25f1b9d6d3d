//! What operators decide about a gatherer that serves: drains, workers out by hand, the passing on to a successor. Plain
//! values and times go in, decisions come out: no socket, no task, no clock.

pub mod disabled_workers;
pub mod lifecycle;
pub mod takeover;

pub use disabled_workers::DisabledWorkers;
pub use lifecycle::{Lifecycle, LifecycleState};
pub use takeover::Takeover;
