//! Limits of the process: who may hold a descriptor, which connection leaves first, how much is buffered, how fast
//! newcomers are let in, and what waits for a connection to a server. Plain values and times go in, decisions come
//! out: no socket, no task, no clock.

pub mod accept_pacer;
pub mod backoff;
pub mod buffer_budget;
pub mod crowd;
pub mod descriptors;
pub mod lines;
pub mod resource_pressure;
pub mod tally;

pub use accept_pacer::AcceptPacer;
pub use backoff::Backoff;
pub use buffer_budget::BufferBudget;
pub use crowd::{Crowd, Source, Why};
pub use descriptors::{Denied, Descriptors, Plan, Side};
pub use resource_pressure::ResourcePressure;
pub use tally::Tally;
