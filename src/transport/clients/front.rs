//! What a client-facing HTTP form provides: responses to requests, and the form's own words for rejections.

use crate::protocol::http::{self, Request, Response};
use crate::routing::Invariant;
use std::future::Future;

/// Answers requests in one of the HTTP forms that clients speak.
pub trait Front {
    /// Returns the response to one request. The future is dropped when the client closes its connection first.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;
    /// Returns the response to bytes that are not a valid request.
    fn malformed(&self, error: http::MalformedMessage) -> Response;
    /// Returns the rejection of a request, where one was read, for which there is no capacity. It was not executed.
    fn overloaded(&self, request: Option<&Request>) -> Response;
    /// Returns who a request says sent it, where the form has a field for that.
    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// Returns the request's name in the log, where the form has one.
    fn label<'a>(&self, request: &'a Request) -> Option<&'a str>;
    /// Reports that an invariant was violated on a connection.
    fn on_invariant_violated(&self, invariant: Invariant, concerns: &str);
}
