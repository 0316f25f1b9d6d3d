//! The one guard on closing a client's connection: from the moment a request is read its answer is owed, and the
//! connection may not be closed from this side before it is given.

use super::listener::Front;
use crate::protocol::http::Request;
use crate::routing::Invariant;

/// The answer to one request that was read. Dropped before it is given, or its client has gone, it counts as a broken
/// invariant.
pub struct ResponseGuard<'a, F: Front> {
    front: &'a F,
    label: String,
    settled: bool,
}

impl<'a, F: Front> ResponseGuard<'a, F> {
    /// This request has been read.
    pub fn new(front: &'a F, request: &Request) -> ResponseGuard<'a, F> {
        let label = front.label(request).unwrap_or(&request.path).to_owned();
        ResponseGuard { front, label, settled: false }
    }

    /// The last byte of its answer is written.
    pub fn mark_sent(mut self) {
        self.settled = true;
    }

    /// Its client closed the connection first.
    pub fn mark_client_gone(mut self) {
        self.settled = true;
    }
}

impl<F: Front> Drop for ResponseGuard<'_, F> {
    fn drop(&mut self) {
        if !self.settled {
            let concerns = format!("request {} is closed without its answer", self.label);
            self.front.violated(Invariant::ClosedAfterResponse, &concerns);
        }
    }
}
