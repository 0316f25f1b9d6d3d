//! The broker between fronts and servers. It knows no wire: it hosts one decision module with its clock and timers,
//! maps names to the module's ids, delivers the module's actions, and sees each query through to its one answer.

pub mod broker;
pub mod contracts;
pub mod core;
pub mod counters;
pub mod held;
pub mod ledger;
pub mod roster;

pub use broker::{Broker, Carrier, Clock};
pub use contracts::{Contracts, Limits};
pub use core::{Ask, AskPart, Core, Dispatch, End, Order, Refusal, Ticket, Verdict};
pub use counters::Counters;
pub use roster::{Listing, Member};
