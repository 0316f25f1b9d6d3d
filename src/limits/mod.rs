//! Limits of the process: which class may hold a descriptor, which connection is evicted first, how much is buffered,
//! how fast connections are accepted, and which calls wait for a connection to a server.
//!
//! Plain values and times go in, decisions come out. It owns no socket, no task and no clock; `transport` carries the
//! decisions out.

pub mod accept_pacer;
pub mod backoff;
pub mod buffer_budget;
pub mod client_connections;
pub mod connection_counters;
pub mod connection_pool;
pub mod descriptors;
pub mod resource_pressure;

pub use accept_pacer::AcceptPacer;
pub use backoff::Backoff;
pub use buffer_budget::BufferBudget;
pub use client_connections::{ClientConnections, EvictionReason, Source};
pub use connection_counters::ConnectionCounters;
pub use descriptors::{DescriptorAllocator, DescriptorBudget, DescriptorClass, DescriptorDenied};
pub use resource_pressure::ResourcePressure;
