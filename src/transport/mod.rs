//! Sockets: clients' connections, connections to workers, the discovery watch, operators' calls. Nothing here decides.

pub mod connection_manager;
pub mod connector;
pub mod descriptor_pool;
pub mod discovery;
pub mod errors;
pub mod http_client;
pub mod index_servers;
pub mod listener;
pub mod membership;
pub mod operator_api;
pub mod response_guard;
pub mod socket;
pub mod takeover;
pub mod workers;
