//! The membership simulation: runs members in virtual time under injected faults, as experiment files describe.
//!
//! A tool for measurements and tests; the gatherer program does not use it. The simulation owns the virtual
//! clock, the network and the processes; the members' decisions are made by [`crate::membership`] or another
//! implementation of [`Peer`].

pub mod chart;
pub mod engine;
mod event_queue;
pub mod experiment;
pub mod network;
pub mod observations;
pub mod outcome;
pub mod peer;
pub mod runner;

pub use engine::Simulation;
pub use experiment::Experiment;
pub use network::NetworkFaults;
pub use outcome::{Outcome, Sample};
pub use peer::Peer;
pub use runner::run;
