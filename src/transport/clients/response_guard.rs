//! Guards the promise of one response to each request: from the moment a request is read, its connection may not be
//! closed from this side before the response is written. It only detects and reports; it writes nothing itself.

use super::front::Front;
use crate::protocol::http::Request;
use crate::routing::Invariant;

/// The pending response to one request that was read. A guard dropped before [`ResponseGuard::mark_sent`] or
/// [`ResponseGuard::mark_client_gone`] reports a violated invariant.
#[must_use]
pub struct ResponseGuard<'a, F: Front> {
    front: &'a F,
    label: String,
    settled: bool,
}

impl<'a, F: Front> ResponseGuard<'a, F> {
    /// Starts guarding the response to this request.
    pub fn new(front: &'a F, request: &Request) -> ResponseGuard<'a, F> {
        let label = front.label(request).unwrap_or(&request.path).to_owned();
        ResponseGuard { front, label, settled: false }
    }

    /// The last byte of the response was written.
    pub fn mark_sent(mut self) {
        self.settled = true;
    }

    /// The client closed the connection before its response.
    pub fn mark_client_gone(mut self) {
        self.settled = true;
    }
}

impl<F: Front> Drop for ResponseGuard<'_, F> {
    fn drop(&mut self) {
        if !self.settled {
            let concerns = format!("request {} is closed without its response", self.label);
            self.front.on_invariant_violated(Invariant::ClosedAfterResponse, &concerns);
        }
    }
}
