//! The interface of a client-facing HTTP protocol: it answers requests, and encodes rejections in its own format.

use crate::protocol::http::{self, Request, Response};
use crate::routing::Invariant;
use std::future::Future;

/// Answers requests in one of the HTTP protocols for clients.
pub trait Front {
    /// Returns the response to one request. The future is dropped when the client closes its connection first.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;
    /// Returns whether serving a request sends something on to other processes, which must not happen once its client
    /// has closed the connection.
    fn forwards(&self, request: &Request) -> bool;
    /// Returns the response to input that is not a valid request.
    fn malformed_response(&self, error: http::MalformedMessage) -> Response;
    /// Returns the rejection for lack of capacity: of a request, which was not executed, or of a connection on which
    /// none was read.
    fn rejection(&self, request: Option<&Request>) -> Response;
    /// Returns the final response to a request whose answer was lost to a panic. The request may have been executed.
    fn failure(&self) -> Response;
    /// Returns the name of the caller that a request states, if the protocol has a field for it.
    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// Returns the name of a request for the log, if the protocol has one.
    fn label<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// Reports that an invariant was violated on a connection.
    fn on_invariant_violated(&self, invariant: Invariant, concerns: &str);
}
