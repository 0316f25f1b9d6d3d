//! Bytes to values and back: the forms of what the program sends and receives.
//!
//! Each module owns one wire form, its limits and its errors. None opens a socket, reads a clock or decides anything.

pub mod discovery;
pub mod frame;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod machine_usage;
pub mod opensearch;
pub mod platform;
pub mod statsd;
