//! The clients' side: accepting connections, admitting and evicting them, and one response to each request.

pub mod connection_manager;
pub mod listener;
pub mod response_guard;
