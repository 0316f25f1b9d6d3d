//! The membership simulation: members in virtual time, with faults between them, according to experiments
//! that are files.
//!
//! A tool for measurements and tests; the gatherer program uses none of it. The simulation owns the virtual
//! clock, the network and the processes; the members' decisions are those of [`crate::membership`] or of
//! another [`Peer`].

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
