//! The server side for clients: accepting, admitting and evicting connections, and writing one response to each
//! request.

mod arrivals;
mod closing;
mod connection;
pub mod connection_manager;
pub mod connection_permit;
pub mod front;
mod input_buffer;
pub mod listener;
mod panic_guard;
mod pipelined_input;
pub mod response_guard;
mod source;

pub(super) use closing::{linger, poll_once};
pub(super) use source::source;
