//! Wire formats: encoding and decoding of what the program sends and receives.
//!
//! Each module owns one format, its limits and its errors. None opens a socket, reads a clock or decides anything.

pub mod discovery;
pub mod frame;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod machine_usage;
pub mod opensearch;
pub mod platform;
pub mod statsd;
