//! The laboratory: members in virtual time, with faults between them, by experiments that are files. A tool for measuring
//! and for tests; nothing of it runs in a gatherer.

pub mod chart;
pub mod engine;
pub mod experiment;
pub mod play;

pub use experiment::Experiment;
pub use play::{Moment, Outcome, play};
