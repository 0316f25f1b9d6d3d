//! Searches that must not run twice. A client first requests an idempotency key; a search runs at most once for its
//! key, and retries with the key get the cached response. A key that this incarnation does not hold is rejected,
//! because its search may have run.

use super::search::{AdmittedSearch, ValidSearch};
use super::{KEY_RETENTION, OpenSearchFront, idempotency_of};
use crate::policy::Idempotency;
use crate::protocol::http::{Request, Response};
use crate::protocol::opensearch::SearchError;
use crate::routing::idempotency::{Execution, KeyClaim};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Path at which idempotency keys are issued.
const IDEMPOTENCY_KEYS_PATH: &str = "/_clayshore/idempotency_keys";
/// `Retry-After` of the responses to requests for a key, and to retries with a key, for which there is no capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl OpenSearchFront {
    /// Runs a search at most once for its key, however often clients retry it.
    pub(super) async fn search_at_most_once(
        self: &Rc<Self>,
        valid_search: ValidSearch,
        key: Option<&str>,
    ) -> Result<Response, SearchError> {
        let key = key.ok_or_else(missing_key_error)?;
        let ValidSearch { owner, request_digest, .. } = &valid_search;
        let (owner, digest) = (owner.clone(), *request_digest);
        // The search is admitted before its key is claimed: a client that leaves while it waits leaves the key as it is.
        // Retries of a search that runs or has run need no capacity, and still get its response.
        let is_unclaimed = self.idempotency.borrow_mut().is_unclaimed(self.clock.now(), key, &owner);
        let admitted = if is_unclaimed { Some(self.admit(valid_search).await) } else { None };
        let admitted = match admitted.transpose() {
            Ok(admitted) => admitted,
            Err(rejection) => return Ok(rejection),
        };
        let claim = self.idempotency.borrow_mut().claim(self.clock.now(), key, &owner, digest);
        let mut outcome_receiver = match (claim, admitted) {
            (KeyClaim::Run(receiver), Some(admitted)) => {
                self.spawn_search(admitted, key);
                receiver
            }
            // Only a key that was not claimed is run, and nothing can have run with it meanwhile.
            (KeyClaim::Run(_), None) => {
                let rejection = self.capacity_rejection();
                self.finish(key, rejection.clone(), Execution::NotExecuted);
                return Ok(rejection);
            }
            (KeyClaim::Join(receiver), _) => receiver,
            (KeyClaim::Cached(response), _) => return Ok(response),
            (KeyClaim::Mismatch, _) => return Err(key_mismatch_error()),
            (KeyClaim::Unknown, _) => return Err(self.unknown_key_error(key)),
        };
        let outcome = outcome_receiver.wait_for(Option::is_some).await.map_err(|_| lost_outcome_error())?;
        outcome.clone().ok_or_else(lost_outcome_error)
    }

    /// Runs a search in its own task, so that it completes and its response is cached even if the client disconnects.
    fn spawn_search(self: &Rc<Self>, admitted: AdmittedSearch, key: &str) {
        let (front, key) = (self.clone(), key.to_owned());
        spawn_local(async move {
            let runner = front.clone();
            let run = spawn_local(async move { runner.execute(admitted).await }).await;
            // A `JoinError` here means that the task panicked; the panic hook has printed the panic already.
            let (response, execution) =
                run.unwrap_or_else(|_| (lost_outcome_error().response(), Execution::MayHaveRun));
            front.finish(&key, response, execution);
        });
    }

    /// Ends the run of a key: joined requests get the response, which is cached if the search may have run.
    fn finish(&self, key: &str, response: Response, execution: Execution) {
        let size = response.body.len();
        self.idempotency.borrow_mut().finish(self.clock.now(), key, response, size, execution);
    }

    /// The error for a key that this incarnation never issued, or no longer holds.
    fn unknown_key_error(&self, key: &str) -> SearchError {
        let incarnation = self.idempotency.borrow().incarnation().to_owned();
        let key_state = if key.starts_with(&incarnation) { "no longer holds" } else { "never issued" };
        let reason = format!(
            "start [{incarnation}] of this gatherer {key_state} this key: whether its search ran is unknown, \
             and it is not run now"
        );
        SearchError::new(409, "unknown_outcome_exception", reason)
    }

    /// Returns the response to a retry that is rejected for lack of capacity, where the search of its key runs, has run or
    /// may have run: a rejection would say that nothing has run.
    pub(super) fn claimed_key_response(&self, request: &Request) -> Option<Response> {
        let index = request.path.trim_start_matches('/').strip_suffix("/_search")?;
        let class = self.mapping.indexes.get(index)?;
        if idempotency_of(&self.broker, *class) == Some(Idempotency::Idempotent) {
            return None;
        }
        let key = request.headers.get("Idempotency-Key")?;
        let (owner, _) = self.identify_caller(request).ok()?;
        if self.idempotency.borrow_mut().is_unclaimed(self.clock.now(), key, &owner) {
            return None;
        }
        let reason =
            "a search with this key may have run: ask again with the same key, and not with another one";
        let error = SearchError::new(409, "unknown_outcome_exception", reason);
        Some(error.response().with_header("Retry-After", RETRY_AFTER.as_secs().to_string()))
    }

    /// Issues an idempotency key for one search.
    pub(super) fn issue_key(&self, request: &Request) -> Result<Response, SearchError> {
        let (owner, _) = self.identify_caller(request)?;
        match self.idempotency.borrow_mut().issue(self.clock.now(), &owner) {
            Ok(key) => {
                let expires_in_ms = KEY_RETENTION.as_millis() as u64;
                Ok(Response::json(200, json!({"key": key, "expires_in_ms": expires_in_ms}).to_string()))
            }
            Err(full) => {
                let error = SearchError::new(429, "rejected_execution_exception", full.to_string());
                Ok(error.response().with_header("Retry-After", RETRY_AFTER.as_secs().to_string()))
            }
        }
    }
}

fn missing_key_error() -> SearchError {
    SearchError::illegal_argument(format!(
        "[Idempotency-Key] is missing: this index runs a search once; POST {IDEMPOTENCY_KEYS_PATH} for a key"
    ))
}

fn key_mismatch_error() -> SearchError {
    SearchError::new(422, "illegal_argument_exception", "the key belongs to another search")
}

fn lost_outcome_error() -> SearchError {
    SearchError::new(500, "illegal_state_exception", "the search ended without an outcome")
}
