//! What operators decide about a gatherer that serves: draining it, disabling workers, and upgrading it by a hot
//! restart.
//!
//! It owns the lifecycle of the process, the set of disabled workers, and what one process of an upgrade knows of the
//! other. Times and plain values go in, decisions come out: it has no socket, no task and no clock.

pub mod disabled_workers;
pub mod lifecycle;
pub mod takeover;

pub use disabled_workers::DisabledWorkers;
pub use lifecycle::{Lifecycle, LifecycleState};
pub use takeover::Takeover;
