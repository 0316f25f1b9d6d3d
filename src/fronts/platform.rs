//! The platform's front: parses each request, submits it to the broker, and encodes its one response. The format of
//! requests and responses is that of `protocol::platform`.

use super::counters_text;
use crate::protocol::http::{MalformedMessage, Request, Response};
use crate::protocol::platform;
use crate::routing::{Broker, Invariant, QueryOutcome};
use crate::service::LifecycleState;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::listener::Front;
use std::rc::Rc;
use std::time::Duration;

/// Longest `Retry-After` of a gatherer that is stopping: by then, the layer in front sends clients to other gatherers.
const MAX_STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Serves the platform's protocol.
pub struct PlatformFront {
    /// Executes the queries.
    pub broker: Broker,
    /// The clients' connections, with the lifecycle state of the process.
    pub connections: Rc<ConnectionManager>,
}

impl PlatformFront {
    async fn handle_query(&self, request: &Request) -> Response {
        let search_request =
            match self.broker.with_core(|core| platform::parse_query(request, core.contracts())) {
                Ok(search_request) => search_request,
                Err(invalid) => {
                    self.broker.with_core(|core| core.counters.malformed += 1);
                    return Response::text(400, invalid.to_string());
                }
            };
        if !self.connections.lifecycle_state().accepts_queries() {
            self.broker.with_core(|core| core.reject_stopping(search_request.class, search_request.tenant));
            let max_retry_after = self.broker.with_core(|core| core.contracts().settings.max_retry_after);
            return platform::rejection_response(
                max_retry_after.map(|max_retry_after| max_retry_after.min(MAX_STOPPING_RETRY_AFTER)),
            );
        }
        if self.broker.with_core(|core| core.has_open_query(&search_request.label)) {
            // Workers could not distinguish two open queries of one id.
            self.broker.with_core(|core| core.counters.malformed += 1);
            return Response::text(409, "X-Call-Id: a query of this id is open");
        }
        let now = self.broker.now();
        if self.broker.with_core(|core| core.may_have_run(now, &search_request.label)) {
            self.broker.with_core(|core| core.counters.malformed += 1);
            return Response::text(409, "X-Call-Id: a query of this id may have run; it is not run again");
        }
        platform::outcome_response(&self.broker.submit(search_request).await)
    }

    fn health(&self) -> Response {
        match self.connections.lifecycle_state() {
            LifecycleState::Serving if !self.broker.with_core(|core| core.has_workers()) => {
                Response::text(503, "no worker is known yet")
            }
            state => Response::text(if state.is_healthy() { 200 } else { 503 }, state.name()),
        }
    }
}

impl Front for PlatformFront {
    async fn respond(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api") => self.handle_query(&request).await,
            ("GET", "/_health") => self.health(),
            ("GET", "/_counters") => Response::text(200, counters_text(&self.broker, &self.connections)),
            (_, "/api") => Response::text(405, "only POST").with_header("Allow", "POST"),
            (_, "/_health" | "/_counters") => Response::text(405, "only GET").with_header("Allow", "GET"),
            (_, path) => Response::text(404, format!("nothing at {path}")),
        }
    }

    fn forwards(&self, request: &Request) -> bool {
        request.path == "/api"
    }

    fn malformed_response(&self, error: MalformedMessage) -> Response {
        self.broker.with_core(|core| core.counters.malformed += 1);
        Response::text(error.status(), error.to_string())
    }

    fn rejection(&self, request: Option<&Request>) -> Response {
        let query_request = request.filter(|request| request.path == "/api");
        self.broker.with_core(|core| {
            let class = query_request
                .and_then(|request| core.contracts().class(request.headers.get("X-Call-Class")?));
            if let Some(class) = class.map(|(class, _)| class) {
                core.reject_overloaded(class);
            }
        });
        platform::rejection_response(self.broker.with_core(|core| core.contracts().settings.max_retry_after))
    }

    fn failure(&self) -> Response {
        platform::outcome_response(&QueryOutcome::Failed)
    }

    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("X-Caller")
    }

    fn label<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("X-Call-Id")
    }

    fn on_invariant_violated(&self, invariant: Invariant, concerns: &str) {
        self.broker.report_violation(invariant, concerns);
    }
}
