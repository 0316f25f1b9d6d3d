//! The program round the layers: configuration, start, end, log, and the fronts that join a protocol to the broker.

pub mod config;
pub mod inspect;
pub mod log;
pub mod opensearch;
pub mod opensearch_file;
pub mod operator;
pub mod platform;
mod process;
mod recording;
pub mod run;
pub mod settings;
