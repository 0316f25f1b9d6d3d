//! Limits of the process: descriptors by class, eviction of clients' connections, buffered bytes, the rate of accepts,
//! the connections toward servers, the processor time of clients, and backoff of calls to shared services.
//!
//! The types take times and plain values as arguments and return decisions. They own no socket, no task and no clock;
//! `transport` carries the decisions out.

pub mod accept_pacer;
pub mod backoff;
pub mod buffer_budget;
pub mod client_connections;
pub mod connection_counters;
pub mod connection_pool;
pub mod descriptors;
pub mod loop_delay;
pub mod processor_shares;
pub mod resource_pressure;

pub use accept_pacer::AcceptPacer;
pub use backoff::Backoff;
pub use buffer_budget::BufferBudget;
pub use client_connections::{ClientConnections, EvictionReason, Source};
pub use connection_counters::ConnectionCounters;
pub use descriptors::{DescriptorAllocator, DescriptorBudget, DescriptorClass, DescriptorDenied};
pub use loop_delay::LoopDelay;
pub use processor_shares::ProcessorShares;
pub use resource_pressure::ResourcePressure;
