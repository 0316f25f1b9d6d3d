//! Sockets: clients' connections, connections to workers, the discovery watch. Nothing here decides.

pub mod client;
pub mod gate;
pub mod index_servers;
pub mod listener;
pub mod places;
pub mod stream;
pub mod watch;
pub mod workers;
