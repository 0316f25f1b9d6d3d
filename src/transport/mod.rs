//! Sockets: clients' connections, connections to workers and index servers, the discovery agent, membership, takeover
//! and operators' calls.
//!
//! It owns every socket of the process and moves bytes between them and `protocol`. It decides nothing: who gets a
//! descriptor is decided in `limits`, where a query goes in `policy` and `routing`.

pub mod clients;
pub mod connector;
pub mod descriptor_pool;
pub mod discovery;
pub mod errors;
pub mod http_client;
pub mod index_servers;
pub mod membership;
pub mod operator_api;
pub mod socket;
pub mod takeover;
pub mod workers;

pub use clients::{connection_manager, listener, response_guard};
