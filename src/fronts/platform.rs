//! The platform's front: one function sees each request through, from its bytes to its one answer.

use super::counts;
use crate::protocol::http::{Malformed, Request, Response};
use crate::protocol::platform;
use crate::routing::{Broker, Invariant};
use crate::service::LifecycleState;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::listener::Front;
use std::rc::Rc;
use std::time::Duration;

/// When to come back to a gatherer that is stopping: by then the front layer sends elsewhere.
const STOPPING_PAUSE: Duration = Duration::from_millis(100);

/// Serves the platform's protocol.
pub struct Platform {
    /// Whom it asks.
    pub broker: Broker,
    /// Tells whether the process still takes queries.
    pub gate: Rc<ConnectionManager>,
}

impl Platform {
    async fn query(&self, request: &Request) -> Response {
        let ask = match self.broker.with_core(|core| platform::parse_query(request, core.contracts())) {
            Ok(ask) => ask,
            Err(invalid) => {
                self.broker.with_core(|core| core.counters.malformed += 1);
                return Response::text(400, invalid.to_string());
            }
        };
        if !self.gate.lifecycle_state().accepts_queries() {
            self.broker.with_core(|core| core.reject_stopping(ask.class, ask.tenant));
            let longest = self.broker.with_core(|core| core.contracts().settings.max_retry_after);
            return platform::rejection_response(longest.map(|longest| longest.min(STOPPING_PAUSE)));
        }
        if self.broker.with_core(|core| core.has_open_query(&ask.label)) {
            // Guards the parts of the query that has this id: the two could not be told apart at the workers.
            self.broker.with_core(|core| core.counters.malformed += 1);
            return Response::text(409, "X-Call-Id: a query of this id is open");
        }
        platform::outcome_response(&self.broker.submit(ask).await)
    }

    fn health(&self) -> Response {
        match self.gate.lifecycle_state() {
            LifecycleState::Serving if !self.broker.with_core(|core| core.has_workers()) => {
                Response::text(503, "no worker is known yet")
            }
            stage => Response::text(if stage.healthy() { 200 } else { 503 }, stage.name()),
        }
    }
}

impl Front for Platform {
    async fn respond(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api") => self.query(&request).await,
            ("GET", "/_health") => self.health(),
            ("GET", "/_counters") => Response::text(200, counts(&self.broker, &self.gate)),
            (_, "/api") => Response::text(405, "only POST").with_header("Allow", "POST"),
            (_, "/_health" | "/_counters") => Response::text(405, "only GET").with_header("Allow", "GET"),
            (_, path) => Response::text(404, format!("nothing at {path}")),
        }
    }

    fn malformed(&self, error: Malformed) -> Response {
        self.broker.with_core(|core| core.counters.malformed += 1);
        Response::text(error.status(), error.to_string())
    }

    fn overloaded(&self, request: Option<&Request>) -> Response {
        let asked = request.filter(|request| request.path == "/api");
        self.broker.with_core(|core| {
            let class =
                asked.and_then(|request| core.contracts().class(request.headers.get("X-Call-Class")?));
            if let Some(class) = class.map(|(class, _)| class) {
                core.reject_unread(class);
            }
        });
        platform::rejection_response(self.broker.with_core(|core| core.contracts().settings.max_retry_after))
    }

    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("X-Caller")
    }

    fn label<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("X-Call-Id")
    }

    fn violated(&self, invariant: Invariant, concerns: &str) {
        self.broker.report_violation(invariant, concerns);
    }
}
