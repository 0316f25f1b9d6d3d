//! Operators' control over a gatherer: draining it, disabling workers, and upgrading it by a hot restart.
//!
//! This module owns the lifecycle of the process, the set of disabled workers, and the state of the other process of a
//! hot restart. Its types take times and plain values as arguments; they use no socket, no task and no clock.

pub mod disabled_workers;
pub mod lifecycle;
pub mod takeover;

pub use disabled_workers::DisabledWorkers;
pub use lifecycle::{Lifecycle, LifecycleState};
pub use takeover::Takeover;
