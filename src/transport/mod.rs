//! Sockets: connections of clients and operators, connections to workers, index servers and the discovery agent, the
//! membership sockets, and the takeover channel of an upgrade.
//!
//! Owns every socket of the process and moves bytes between the sockets and `protocol`. Contains no policy: descriptors
//! are allocated in `limits`, queries are routed in `policy` and `routing`.

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
pub mod task_scheduler;
pub mod workers;

pub use clients::{connection_manager, listener, response_guard};
