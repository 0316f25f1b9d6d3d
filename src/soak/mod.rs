//! The soak test: real processes on real sockets under overlapping troubles, judged by invariants. What is decided
//! without input or output stands here, so that tests can prove that each invariant can fail; the processes and sockets
//! are those of `soak-test`. Nothing of it runs in a gatherer.

pub mod judge;
pub mod plan;
