//! The soak test without its processes and sockets: the faults that it injects, and the checker of its
//! invariants.
//!
//! It owns the fault schedule, drawn from a seed, and the rules by which observations are checked. It never
//! reads, writes or starts anything, so that tests can prove that each invariant can be violated; processes
//! and sockets are those of the `soak-test` program. Nothing here runs in a gatherer.

pub mod checker;
pub mod fault_schedule;
