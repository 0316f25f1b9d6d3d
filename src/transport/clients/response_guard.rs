//! Detects violations of the invariant that each request gets one response: once a request is read, this side may not
//! close the connection before the response is written. Only reports them; writes nothing to the connection.

use super::front::Front;
use crate::protocol::http::Request;
use crate::routing::Invariant;

/// Guards the pending response to one request. A guard that is dropped without a call of [`ResponseGuard::mark_sent`]
/// or [`ResponseGuard::mark_client_gone`] reports a violation.
#[must_use]
pub struct ResponseGuard<'a, F: Front> {
    front: &'a F,
    label: String,
    settled: bool,
}

impl<'a, F: Front> ResponseGuard<'a, F> {
    /// Starts to guard the response to this request.
    pub fn new(front: &'a F, request: &Request) -> ResponseGuard<'a, F> {
        let label = front.label(request).unwrap_or(&request.path).to_owned();
        ResponseGuard { front, label, settled: false }
    }

    /// The name of the request for the log.
    #[must_use]
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Records that the response was written completely.
    pub fn mark_sent(mut self) {
        self.settled = true;
    }

    /// Records that the client closed the connection before its response was written.
    pub fn mark_client_gone(mut self) {
        self.settled = true;
    }
}

impl<F: Front> Drop for ResponseGuard<'_, F> {
    fn drop(&mut self) {
        if !self.settled {
            let concerns =
                format!("request {}: connection closed before its response was written", self.label);
            self.front.on_invariant_violated(Invariant::ClosedAfterResponse, &concerns);
        }
    }
}
