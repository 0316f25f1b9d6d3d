//! Limits of the process: who may hold a descriptor, which connection leaves first, how much is buffered, how fast
//! newcomers are let in, and what waits for a connection to a server. Plain values and times go in, decisions come
//! out: no socket, no task, no clock.

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
