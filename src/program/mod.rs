//! The program round the layers: configuration, start, end and log.

pub mod config;
pub mod failure;
pub mod inspect;
pub mod log;
pub mod members;
pub mod opensearch_file;
pub mod operator;
mod process;
mod recording;
pub mod run;
pub mod settings;
mod signals;
mod upgrade;
