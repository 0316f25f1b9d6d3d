//! Searches: their validation, and their execution with the encoding of the outcome.
//!
//! A search is admitted before any of it runs, with the capacity that its response needs; only then can it be rejected.
//! What a search that has run is answered with is no rejection where it must not run twice.

use super::scrolls::{ScrollReservation, ScrollResult};
use super::{OpenSearchFront, failed_search};
use crate::policy::{Class, Idempotency, ShardId, Time};
use crate::protocol::http::{Request, Response};
use crate::protocol::opensearch::{self, MergeError, MergedResult, PageInfo, Search, SearchError};
use crate::routing::idempotency::Execution;
use crate::routing::invariants::check_rejection;
use crate::routing::{QueryOutcome, QueryPart, Rejection, SearchRequest};
use bytes::Bytes;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A validated search: the request to the broker, and what is needed to encode its response.
pub(super) struct ValidSearch {
    search: Search,
    pub(super) search_request: SearchRequest,
    /// Id of the caller. Scrolls and idempotency keys are available to their owner only.
    pub(super) owner: String,
    /// Contract of the index's class. Where it is not idempotent, a search needs an idempotency key.
    class: Class,
    /// Hash of the index, the query string and the body: detects a key that is reused for another search.
    pub(super) request_digest: u64,
}

/// A search that may run: all that its response needs is reserved.
pub(super) struct AdmittedSearch {
    pub(super) valid: ValidSearch,
    /// Capacity for the result of a scroll.
    scroll: Option<ScrollReservation>,
}

/// The values of a search's shards, and how it was served.
struct Answer {
    merged: MergedResult,
    took: Duration,
    /// Number of shards that were searched.
    shards: usize,
}

impl OpenSearchFront {
    pub(super) async fn search(
        self: &Rc<Self>,
        index: &str,
        request: &Request,
    ) -> Result<Response, SearchError> {
        let valid_search = self.validate(index, request)?;
        if valid_search.class.idempotency != Idempotency::Idempotent {
            return self.search_at_most_once(valid_search, request.headers.get("Idempotency-Key")).await;
        }
        Ok(match self.admit(valid_search).await {
            Ok(admitted) => self.execute(admitted).await.0,
            Err(rejection) => rejection,
        })
    }

    /// Reserves what the response of a search needs, or returns the response with which it is rejected. Waits up to half
    /// of the search's time for capacity that other searches have reserved and may not need.
    pub(super) async fn admit(&self, mut valid: ValidSearch) -> Result<AdmittedSearch, Response> {
        if let Some(rejection) = self.rejects_new(&valid.search_request) {
            return Err(rejection);
        }
        if valid.search.scroll.is_none() {
            return Ok(AdmittedSearch { valid, scroll: None });
        }
        let (shards, time_left) = (valid.search_request.parts.len(), valid.search_request.time_left);
        let (idempotency, window) = (valid.class.idempotency, self.mapping.window);
        let started_at = self.clock.now();
        let scroll = self.scrolls.reserve(idempotency, shards, window, time_left / 2).await;
        valid.search_request.time_left = time_left.saturating_sub(self.clock.now().since(started_at));
        match scroll {
            Some(reservation) => Ok(AdmittedSearch { valid, scroll: Some(reservation) }),
            None => {
                self.broker.with_core(|core| core.reject_overloaded(valid.search_request.class));
                Err(self.capacity_rejection())
            }
        }
    }

    /// Returns the rejection of a search that may not begin now, because the gatherer is stopping or holds as many
    /// results as it may. Counts the search as rejected.
    fn rejects_new(&self, search_request: &SearchRequest) -> Option<Response> {
        if self.connections.lifecycle_state().is_stopping() {
            return Some(self.reject_stopping(search_request));
        }
        self.is_memory_full().then(|| {
            self.broker.with_core(|core| core.reject_overloaded(search_request.class));
            self.capacity_rejection()
        })
    }

    /// Whether the results and responses in flight take as much memory as they may.
    pub(super) fn is_memory_full(&self) -> bool {
        self.connections.descriptor_pool().result_memory().is_full()
    }

    pub(super) fn capacity_rejection(&self) -> Response {
        let retry_after = self.broker.with_core(|core| core.contracts().settings.max_retry_after);
        opensearch::rejection_response(Rejection::AtCapacity, retry_after)
    }

    /// Counts a search that is rejected because the gatherer is stopping, and returns the response.
    fn reject_stopping(&self, search_request: &SearchRequest) -> Response {
        self.broker.with_core(|core| core.reject_stopping(search_request.class, search_request.tenant));
        opensearch::rejection_response(Rejection::ShuttingDown, None)
    }

    /// Submits the search and encodes its outcome. Returns the response, and whether any part may have run.
    pub(super) async fn execute(&self, admitted: AdmittedSearch) -> (Response, Execution) {
        let AdmittedSearch { valid, scroll } = admitted;
        let ValidSearch { search, search_request, owner, class, .. } = valid;
        let (index, time_left) = (search_request.label.clone(), search_request.time_left);
        let (shards, started_at) = (search_request.parts.len(), self.clock.now());
        let values = match self.broker.submit(search_request).await {
            QueryOutcome::Rejected { reason, retry_after } => {
                return (opensearch::rejection_response(reason, retry_after), Execution::NotExecuted);
            }
            QueryOutcome::Failed => return (failed_search().response(), Execution::MayHaveRun),
            QueryOutcome::Answered { values, .. } => values,
        };
        let merged = self.merge(&search, &index, values, time_left, started_at).await;
        let took = self.clock.now().since(started_at);
        let response = merged.and_then(|merged| match (search.scroll, scroll) {
            (Some(lifetime), Some(reservation)) => {
                let answer = Answer { merged, took, shards };
                self.first_page(answer, reservation, &owner, lifetime, search.size)
            }
            _ => {
                let info = PageInfo { took, shards, scroll_id: None };
                page_response(&merged, 0..merged.hits.len(), &info)
            }
        });
        let response = response.unwrap_or_else(|error| error_after_run(error, &class).response());
        (response, Execution::MayHaveRun)
    }

    /// Merges the results of the shards of a search that was submitted at `started_at` with `time_left`.
    async fn merge(
        &self,
        search: &Search,
        index: &str,
        results: Vec<(ShardId, Bytes)>,
        time_left: Duration,
        started_at: Time,
    ) -> Result<MergedResult, SearchError> {
        let merge = || {
            let results = results.iter().map(|(shard, result)| (shard.0, &**result));
            opensearch::merge_results(
                search,
                results,
                &self.field_types.cached(index, search.sorted_fields()),
            )
        };
        let merged = match merge() {
            Err(MergeError::UnknownFieldTypes(fields)) => {
                let time_left = time_left.saturating_sub(self.clock.now().since(started_at));
                self.field_types.ask(index, &fields, time_left).await;
                merge()
            }
            merged => merged,
        };
        merged.map_err(|error| SearchError::illegal_argument(error.to_string()))
    }

    /// Stores the result of a scroll, and encodes its first page.
    fn first_page(
        &self,
        answer: Answer,
        reservation: ScrollReservation,
        owner: &str,
        lifetime: Duration,
        size: usize,
    ) -> Result<Response, SearchError> {
        let Answer { merged, took, shards } = answer;
        if !merged.complete || merged.merged_shards < shards {
            return Err(SearchError::illegal_argument(format!(
                "a shard has more than [{}] hits, too many to be held for paging: narrow the search",
                self.mapping.window
            )));
        }
        let end = merged.hits.len().min(size);
        let result = ScrollResult { merged, size, shards };
        let (context_id, result) = self
            .scrolls
            .store(reservation, owner, lifetime, result)
            .map_err(|full| SearchError::new(429, "rejected_execution_exception", full.to_string()))?;
        let info = PageInfo { took, shards, scroll_id: Some(format!("{context_id}-{end}")) };
        page_response(&result.merged, 0..end, &info)
    }

    /// Validates a search and builds the request to the broker: one part per shard, all of the same weight.
    fn validate(&self, index: &str, request: &Request) -> Result<ValidSearch, SearchError> {
        let class = self.mapping.indexes.get(index).copied();
        let class = class.ok_or_else(|| {
            SearchError::new(404, "index_not_found_exception", format!("no such index [{index}]"))
        })?;
        let (owner, tenant) = self.identify_caller(request)?;
        let search = Search::parse(request, self.mapping.window)?;
        let shard_body = search.shard_request_body();
        let request_digest = xxh3_64(
            format!("{index}?{}\n{}", request.query, String::from_utf8_lossy(&request.body)).as_bytes(),
        );
        let body_hash = xxh3_64(&shard_body);
        let (shards, contract) = self.broker.with_core(|core| {
            let settings = &core.contracts().settings;
            (settings.shards, settings.classes.get(class.0).cloned())
        });
        let contract =
            contract.ok_or_else(|| SearchError::new(500, "illegal_state_exception", "the class is lost"))?;
        let parts = (0..shards).map(|shard| QueryPart {
            shard: ShardId(shard),
            weight: 1.0 / f64::from(shards),
            cost_hint: None,
            key: Some(Arc::from(format!("{body_hash:016x}.{shard}"))),
        });
        let search_request = SearchRequest {
            label: Arc::from(index),
            class,
            tenant,
            time_left: search
                .timeout
                .map_or(contract.deadline, |timeout| timeout.min(contract.deadline))
                .saturating_sub(request.waited),
            retry: false,
            payload: shard_body,
            parts: parts.collect(),
        };
        Ok(ValidSearch { search, search_request, owner, class: contract, request_digest })
    }
}

/// Encodes the response with one page of a result.
pub(super) fn page_response(
    merged: &MergedResult,
    hits: Range<usize>,
    info: &PageInfo,
) -> Result<Response, SearchError> {
    let page = merged.page(hits, info).ok_or_else(failed_search)?;
    Ok(Response::json(200, page))
}

/// Returns the error with which a search of this class is answered once it has run. Where it must not run twice, its
/// client must not take the error for a rejection: status 429 and 503 say that nothing has run, and 400 invites another
/// search.
fn error_after_run(error: SearchError, class: &Class) -> SearchError {
    if check_rejection(class, true).is_ok() {
        return error;
    }
    let reason = format!("the search has run, and its result cannot be sent: {}", error.reason);
    SearchError::new(500, "search_phase_execution_exception", reason)
}
