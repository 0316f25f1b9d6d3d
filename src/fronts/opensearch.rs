//! The OpenSearch-style front: searches, scrolls over stored results, and idempotency keys for searches that must not
//! run twice.
//!
//! The front owns the stored results and the responses recorded for keys, both limited in number and in bytes. Results
//! are decoded and merged in `protocol::opensearch`.

mod at_most_once;

use super::counters_text;
use crate::policy::{ClassId, Idempotency, ShardId, TenantId};
use crate::protocol::http::{MalformedMessage, Request, Response};
use crate::protocol::opensearch::{self, JsonObject, MergedResult, PageInfo, Search, SearchError};
use crate::routing::idempotency::{Execution, IdempotencyLimits, IdempotencyStore};
use crate::routing::scroll_contexts::ScrollContexts;
use crate::routing::{Broker, Clock, Invariant, QueryOutcome, QueryPart, Rejection, SearchRequest};
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::listener::Front;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of idempotency keys.
const MAX_KEYS: usize = 4096;
/// Largest total size of the responses recorded for idempotency keys, in bytes.
const MAX_RECORDED_BYTES: usize = 16 << 20;
/// Time for which an idempotency key is held.
const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Largest number of results stored for scrolling.
const MAX_SCROLLS: usize = 256;
/// Largest total size of the results stored for scrolling, in bytes.
const MAX_SCROLL_BYTES: usize = 32 << 20;
/// Share of the memory of results that recorded responses may take beside it, as a divisor.
const RECORDED_DIVISOR: usize = 4;
/// Share of the memory of results that results stored for scrolling may take beside it, as a divisor.
const SCROLL_DIVISOR: usize = 2;
/// Longest time for which a result is stored for scrolling.
const MAX_SCROLL_LIFETIME: Duration = Duration::from_secs(300);

/// Classes and tenants by the names that requests use, as configured in the front's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMapping {
    /// Class of each index, by the index's name.
    pub indexes: HashMap<String, ClassId>,
    /// Tenant of each caller, by the caller's id (`X-Opaque-Id`). If empty, callers are not checked.
    pub callers: HashMap<String, TenantId>,
    /// Largest number of hits requested from one shard, and largest `from + size` of a search.
    pub window: usize,
}

/// A merged result that is stored so that clients can request its further pages.
struct ScrollResult {
    merged: MergedResult,
    /// Hits per page.
    size: usize,
    /// Number of shards that were searched.
    shards: usize,
}

/// Serves the OpenSearch-style API.
pub struct OpenSearchFront {
    broker: Broker,
    clock: Clock,
    connections: Rc<ConnectionManager>,
    mapping: RequestMapping,
    idempotency: RefCell<IdempotencyStore<Response>>,
    scrolls: RefCell<ScrollContexts<ScrollResult>>,
}

/// A validated search: the request to the broker, and what is needed to encode its response.
struct ValidSearch {
    search: Search,
    search_request: SearchRequest,
    /// Id of the caller. Scrolls and idempotency keys are available to their owner only.
    owner: String,
    /// Whether the index's class is not idempotent, so that a search needs an idempotency key.
    at_most_once: bool,
    /// Hash of the index, the query string and the body: detects a key that is reused for another search.
    request_digest: u64,
}

impl OpenSearchFront {
    /// Creates a front. `incarnation` identifies this start of this gatherer and no other; idempotency keys contain it.
    pub fn new(
        broker: Broker,
        clock: Clock,
        connections: Rc<ConnectionManager>,
        mapping: RequestMapping,
        incarnation: String,
        seed: u64,
    ) -> Rc<Self> {
        let mut random = fastrand::Rng::with_seed(seed);
        let result_bytes = connections.descriptor_pool().result_memory().total();
        let max_scroll_bytes = MAX_SCROLL_BYTES.min(result_bytes / SCROLL_DIVISOR);
        let scrolls = RefCell::new(ScrollContexts::new(random.fork(), MAX_SCROLLS, max_scroll_bytes));
        let idempotency_limits = IdempotencyLimits {
            max_keys: MAX_KEYS,
            max_bytes: MAX_RECORDED_BYTES.min(result_bytes / RECORDED_DIVISOR),
            retention: KEY_RETENTION,
        };
        let idempotency = RefCell::new(IdempotencyStore::new(incarnation, random, idempotency_limits));
        Rc::new(OpenSearchFront { broker, clock, connections, mapping, idempotency, scrolls })
    }

    async fn search(self: &Rc<Self>, index: &str, request: &Request) -> Result<Response, SearchError> {
        let valid_search = self.validate(index, request)?;
        if valid_search.at_most_once {
            return self.search_at_most_once(valid_search, request.headers.get("Idempotency-Key")).await;
        }
        if let Some(rejection) = self.rejects_new(&valid_search.search_request) {
            return Ok(rejection);
        }
        Ok(self.execute(valid_search).await.0)
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
    fn is_memory_full(&self) -> bool {
        self.connections.descriptor_pool().result_memory().is_full()
    }

    fn capacity_rejection(&self) -> Response {
        let retry_after = self.broker.with_core(|core| core.contracts().settings.max_retry_after);
        opensearch::rejection_response(Rejection::AtCapacity, retry_after)
    }

    /// Counts a search that is rejected because the gatherer is stopping, and returns the response.
    fn reject_stopping(&self, search_request: &SearchRequest) -> Response {
        self.broker.with_core(|core| core.reject_stopping(search_request.class, search_request.tenant));
        opensearch::rejection_response(Rejection::ShuttingDown, None)
    }

    /// Submits the search and encodes its outcome. Returns the response, and whether any part may have run.
    async fn execute(&self, valid_search: ValidSearch) -> (Response, Execution) {
        let ValidSearch { search, search_request, owner, .. } = valid_search;
        let (shards, started_at) = (search_request.parts.len(), self.clock.now());
        match self.broker.submit(search_request).await {
            QueryOutcome::Rejected { reason, retry_after } => {
                (opensearch::rejection_response(reason, retry_after), Execution::NotExecuted)
            }
            QueryOutcome::Failed => (failed_search().response(), Execution::MayHaveRun),
            QueryOutcome::Answered { values, .. } => {
                let merged = opensearch::merge_results(
                    &search,
                    values.iter().map(|(shard, value)| (shard.0, &**value)),
                );
                let took = self.clock.now().since(started_at);
                let page = self.first_page(search, merged, &owner, took, shards, values.len());
                (page.unwrap_or_else(|error| error.response()), Execution::MayHaveRun)
            }
        }
    }

    /// Encodes the first page of a result and, for a scroll, stores the result for its further pages.
    fn first_page(
        &self,
        search: Search,
        merged: MergedResult,
        owner: &str,
        took: Duration,
        shards: usize,
        responded: usize,
    ) -> Result<Response, SearchError> {
        let mut info = PageInfo { took, shards, responded, scroll_id: None };
        let Some(lifetime) = search.scroll else {
            return page_response(&merged, 0..merged.hits.len(), &info);
        };
        if !merged.complete || responded < shards {
            return Err(SearchError::illegal_argument(format!(
                "a shard has more than [{}] hits, too many to be held for paging: narrow the search",
                self.mapping.window
            )));
        }
        let end = merged.hits.len().min(search.size);
        let bytes = merged.hits.held_bytes();
        let scroll = ScrollResult { merged, size: search.size, shards };
        let (context_id, scroll) = self
            .scrolls
            .borrow_mut()
            .create(self.clock.now(), owner, lifetime.min(MAX_SCROLL_LIFETIME), scroll, bytes)
            .map_err(|full| SearchError::new(429, "rejected_execution_exception", full.to_string()))?;
        info.scroll_id = Some(format!("{context_id}-{end}"));
        page_response(&scroll.merged, 0..end, &info)
    }

    /// Returns a further page. A scroll id contains the offset of its page, so that a retry returns the same page.
    fn scroll(&self, request: &Request) -> Result<Response, SearchError> {
        let (owner, _) = self.identify_caller(request)?;
        if self.is_memory_full() {
            return Ok(self.capacity_rejection());
        }
        let body = JsonObject::parse(&request.body)?;
        let id = body
            .get::<String>("scroll_id")
            .ok_or_else(|| SearchError::illegal_argument("scroll_id is missing"))?;
        let lifetime = match body.contains("scroll").then(|| body.get::<String>("scroll")) {
            Some(text) => {
                let lifetime = text.and_then(|text| opensearch::parse_duration(&text));
                let invalid = || SearchError::illegal_argument("failed to parse [scroll]");
                Some(lifetime.ok_or_else(invalid)?.min(MAX_SCROLL_LIFETIME))
            }
            None => None,
        };
        let context_missing = || {
            SearchError::new(
                404,
                "search_context_missing_exception",
                format!("no search context found for id [{id}]"),
            )
        };
        let (context_id, offset) = id.rsplit_once('-').ok_or_else(context_missing)?;
        let offset: usize = offset.parse().map_err(|_| context_missing())?;
        let now = self.clock.now();
        let scroll =
            self.scrolls.borrow_mut().get(now, context_id, &owner, lifetime).ok_or_else(context_missing)?;
        let hits = &scroll.merged.hits;
        let end = offset.saturating_add(scroll.size).min(hits.len());
        if offset > end {
            return Err(context_missing());
        }
        let info = PageInfo {
            took: Duration::ZERO,
            shards: scroll.shards,
            responded: scroll.shards,
            scroll_id: Some(format!("{context_id}-{end}")),
        };
        page_response(&scroll.merged, offset..end, &info)
    }

    /// Drops the stored results of the given scroll ids.
    fn clear_scroll(&self, request: &Request) -> Result<Response, SearchError> {
        let (owner, _) = self.identify_caller(request)?;
        let body = JsonObject::parse(&request.body)?;
        let ids = match (body.get::<String>("scroll_id"), body.get::<Vec<Value>>("scroll_id")) {
            (Some(id), _) => vec![id],
            (None, Some(ids)) => ids.iter().filter_map(Value::as_str).map(str::to_owned).collect(),
            (None, None) => return Err(SearchError::illegal_argument("scroll_id is missing")),
        };
        let now = self.clock.now();
        let context_ids = ids.iter().map(|id| id.rsplit_once('-').map_or(id.as_str(), |id| id.0));
        let freed =
            context_ids.filter(|context_id| self.scrolls.borrow_mut().clear(now, context_id, &owner)).count();
        let status = if freed > 0 { 200 } else { 404 };
        Ok(Response::json(status, json!({"succeeded": true, "num_freed": freed}).to_string()))
    }

    /// Returns the id of the caller, and the tenant where callers are configured.
    fn identify_caller(&self, request: &Request) -> Result<(String, Option<TenantId>), SearchError> {
        let forbidden = |reason: &str| SearchError::new(403, "security_exception", reason);
        match request.headers.get("X-Opaque-Id") {
            caller if self.mapping.callers.is_empty() => Ok((caller.unwrap_or_default().to_owned(), None)),
            None => Err(forbidden("X-Opaque-Id is missing: it names the caller")),
            Some(caller) => match self.mapping.callers.get(caller) {
                Some(tenant) => Ok((caller.to_owned(), Some(*tenant))),
                None => Err(forbidden(&format!("no caller [{caller}]"))),
            },
        }
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
        Ok(ValidSearch {
            search,
            search_request,
            owner,
            at_most_once: contract.idempotency != Idempotency::Idempotent,
            request_digest,
        })
    }

    async fn route(self: &Rc<Self>, request: &Request) -> Result<Response, SearchError> {
        let path = request.path.trim_start_matches('/');
        match (request.method.as_str(), path.split_once('/').unwrap_or((path, ""))) {
            ("GET", ("_health", "")) => Ok(self.health()),
            ("GET", ("_counters", "")) => {
                Ok(Response::text(200, counters_text(&self.broker, &self.connections)))
            }
            ("POST", ("_clayshore", "idempotency_keys")) => self.issue_key(request),
            ("POST" | "GET", ("_search", "scroll")) => self.scroll(request),
            ("DELETE", ("_search", "scroll")) => self.clear_scroll(request),
            ("POST" | "GET", (index, "_search")) => self.search(index, request).await,
            (method, (_, "_search" | "scroll" | "idempotency_keys")) => Err(SearchError::new(
                405,
                "method_not_allowed_exception",
                format!("incorrect HTTP method for uri [{}]: [{method}]", request.path),
            )),
            _ => Err(SearchError::illegal_argument(format!("no handler found for uri [{}]", request.path))),
        }
    }

    fn health(&self) -> Response {
        let state = self.connections.lifecycle_state();
        Response::text(if state.is_healthy() { 200 } else { 503 }, state.name())
    }
}

/// Encodes the response with one page of a result.
fn page_response(
    merged: &MergedResult,
    hits: Range<usize>,
    info: &PageInfo,
) -> Result<Response, SearchError> {
    let page = merged.page(hits, info).ok_or_else(failed_search)?;
    Ok(Response::json(200, page))
}

/// The error for a search that was not served, and may have run.
fn failed_search() -> SearchError {
    SearchError::new(500, "search_phase_execution_exception", "not served; it may have run in part")
}

impl Front for Rc<OpenSearchFront> {
    async fn respond(&self, request: Request) -> Response {
        let response = self.route(&request).await.unwrap_or_else(|error| {
            self.broker.with_core(|core| core.counters.malformed += 1);
            error.response()
        });
        let body = self.connections.descriptor_pool().result_memory().count_response(response.body);
        Response { body, ..response }
    }

    fn forwards(&self, request: &Request) -> bool {
        request.path.ends_with("/_search")
    }

    fn malformed_response(&self, error: MalformedMessage) -> Response {
        self.broker.with_core(|core| core.counters.malformed += 1);
        SearchError::new(error.status(), "parsing_exception", error.to_string()).response()
    }

    fn rejection(&self, _: Option<&Request>) -> Response {
        self.capacity_rejection()
    }

    fn failure(&self) -> Response {
        failed_search().response()
    }

    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("X-Opaque-Id")
    }

    fn label<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("Idempotency-Key")
    }

    fn on_invariant_violated(&self, invariant: Invariant, concerns: &str) {
        self.broker.report_violation(invariant, concerns);
    }
}
