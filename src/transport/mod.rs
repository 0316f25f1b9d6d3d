//! Sockets: clients' connections, connections to workers, the discovery watch, operators' calls. Nothing here decides.

pub mod client;
pub mod failure;
pub mod gate;
pub mod index_servers;
pub mod listener;
pub mod members;
pub mod operator_api;
pub mod owed_answer;
pub mod places;
pub mod relay;
pub mod socket;
pub mod stream;
pub mod watch;
pub mod workers;
