//! The OpenSearch-style front: searches, scrolls over stored results, and idempotency keys for searches that must not
//! run twice.
//!
//! The front owns the stored results and the responses recorded for keys, both limited in number and in bytes. Results
//! are decoded and merged in `protocol::opensearch`.

mod at_most_once;
mod field_types;
mod scrolls;
mod search;

use self::field_types::FieldTypeCache;
use self::scrolls::Scrolls;
use super::counters_text;
use crate::policy::{ClassId, Idempotency, TenantId};
use crate::protocol::http::{MalformedMessage, Request, Response};
use crate::protocol::opensearch::SearchError;
use crate::routing::idempotency::{IdempotencyLimits, IdempotencyStore};
use crate::routing::{Broker, Clock, Invariant};
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::index_servers::FieldTypeSource;
use crate::transport::listener::Front;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Largest number of idempotency keys.
const MAX_KEYS: usize = 4096;
/// Largest total size of the responses recorded for idempotency keys, in bytes.
const MAX_RECORDED_BYTES: usize = 16 << 20;
/// Time for which an idempotency key is held.
const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Share of the memory of results that recorded responses may take beside it, as a divisor.
const RECORDED_DIVISOR: usize = 4;

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

/// Serves the OpenSearch-style API.
pub struct OpenSearchFront {
    broker: Broker,
    clock: Clock,
    connections: Rc<ConnectionManager>,
    mapping: RequestMapping,
    idempotency: RefCell<IdempotencyStore<Response>>,
    scrolls: Rc<Scrolls>,
    field_types: FieldTypeCache,
}

impl OpenSearchFront {
    /// Creates a front. `field_types` reports the types of sorted fields. `incarnation` identifies this start of this gatherer and no other; idempotency keys contain it.
    pub fn new(
        broker: Broker,
        clock: Clock,
        connections: Rc<ConnectionManager>,
        field_types: Rc<dyn FieldTypeSource>,
        mapping: RequestMapping,
        incarnation: String,
        seed: u64,
    ) -> Rc<Self> {
        let mut random = fastrand::Rng::with_seed(seed);
        let result_bytes = connections.descriptor_pool().result_memory().total();
        let is_idempotent =
            |class: &ClassId| idempotency_of(&broker, *class) == Some(Idempotency::Idempotent);
        let runs_once = mapping.indexes.values().any(|class| !is_idempotent(class));
        let scrolls = Scrolls::new(clock, random.fork(), result_bytes, runs_once);
        let idempotency_limits = IdempotencyLimits {
            max_keys: MAX_KEYS,
            max_bytes: MAX_RECORDED_BYTES.min(result_bytes / RECORDED_DIVISOR),
            retention: KEY_RETENTION,
        };
        let idempotency = RefCell::new(IdempotencyStore::new(incarnation, random, idempotency_limits));
        let field_types = FieldTypeCache::new(clock, field_types);
        Rc::new(OpenSearchFront { broker, clock, connections, mapping, idempotency, scrolls, field_types })
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

/// Returns whether searches of a class may run again; `None` if there is no such class.
fn idempotency_of(broker: &Broker, class: ClassId) -> Option<Idempotency> {
    broker.with_core(|core| core.contracts().settings.classes.get(class.0).map(|class| class.idempotency))
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

    fn rejection(&self, request: Option<&Request>) -> Response {
        request
            .and_then(|request| self.claimed_key_response(request))
            .unwrap_or_else(|| self.capacity_rejection())
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
