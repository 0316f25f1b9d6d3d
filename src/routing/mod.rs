//! The broker between fronts and workers. It hosts the decision module with its clock and timers, maps configured names
//! to the module's ids, turns the module's actions into commands, and gives each query exactly one outcome.
//!
//! The broker owns the open queries, the attempts in flight and the worker list. It has no wire format and does no I/O.

pub mod attempt;
pub mod broker;
pub mod clock;
pub mod command;
pub mod contracts;
pub mod core;
pub mod counters;
pub mod idempotency;
mod in_flight;
pub mod invariants;
mod open_queries;
pub mod query;
mod recent_runs;
pub mod scroll_contexts;
mod start_times;
mod worker_list;
pub mod worker_registry;
mod worker_states;

pub use attempt::{AttemptCompletion, AttemptId, Dispatch};
pub use broker::{Broker, WorkerTransport};
pub use clock::Clock;
pub use command::Command;
pub use contracts::{BrokerLimits, Contracts};
pub use core::{Core, WriteRefused};
pub use counters::Counters;
pub use invariants::{Invariant, SendPermit, Violations};
pub use query::{QueryOutcome, QueryPart, Rejection, SearchRequest};
pub use worker_registry::{ListOrigin, ListedWorker, WorkerListUpdate};
