//! The part of the soak test that does no I/O: the fault schedule, drawn from a seed, and the checker of the
//! invariants.
//!
//! Without I/O, unit tests can show that each invariant can be violated. The `soak-test` program owns the
//! processes and sockets. Nothing here runs in a gatherer.

pub mod checker;
pub mod fault_schedule;
pub mod hostile_requests;
