//! The process around the layers: configuration, start, reload, upgrade, shutdown and log. It wires the parts together
//! and decides nothing about queries.

pub mod config;
mod config_file;
pub mod errors;
pub mod inspect;
pub mod log;
pub mod members;
pub mod opensearch_file;
pub mod operator;
mod recording;
mod reload;
mod resource_limits;
pub mod run;
pub mod settings;
mod signals;
mod upgrade;
