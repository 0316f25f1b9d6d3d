//! The broker between fronts and servers. It knows no wire: it hosts one decision module with its clock and timers,
//! maps names to the module's ids, delivers the module's actions, and sees each query through to its one answer.

pub mod attempt;
pub mod broker;
pub mod command;
pub mod contracts;
pub mod core;
pub mod counters;
pub mod idempotency;
mod in_flight;
pub mod invariants;
mod open_queries;
pub mod query;
pub mod scroll_contexts;
mod start_times;
mod worker_list;
pub mod worker_registry;
mod worker_states;

pub use attempt::{AttemptCompletion, AttemptId, Dispatch};
pub use broker::{Broker, Clock, WorkerTransport};
pub use command::Command;
pub use contracts::{BrokerLimits, Contracts};
pub use core::Core;
pub use counters::Counters;
pub use invariants::{Invariant, SendPermit, Violations};
pub use query::{QueryOutcome, QueryPart, Rejection, SearchRequest};
pub use worker_registry::{ListedWorker, WorkerListUpdate};
