//! Bytes to values and back. No sockets, no clocks, no decisions.

pub mod discovery;
pub mod frame;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod opensearch;
pub mod platform;
pub mod statsd;
pub mod trace;
