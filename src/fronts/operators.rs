//! The operators' front: whether the gatherer is ready, its figures, and what staff may have it do.

use crate::protocol::http::{Request, Response};
use crate::protocol::statsd;
use crate::routing::Broker;
use crate::service::Stage;
use crate::service::stage::Call;
use crate::transport::desk::Desk;
use crate::transport::gate::Gate;
use bytes::Bytes;
use std::rc::Rc;

/// Answers operators' calls.
pub struct Operators {
    /// Whose figures are told.
    pub broker: Broker,
    /// What is drained.
    pub gate: Rc<Gate>,
}

impl Operators {
    fn ready(&self) -> Response {
        match self.gate.stage() {
            Stage::Serving if self.broker.core(|core| core.ready()) => Response::text(200, "ready"),
            Stage::Serving => Response::text(503, "no worker is known yet"),
            stage => Response::text(503, stage.name()),
        }
    }

    fn figures(&self) -> Response {
        let mut lines = statsd::Lines::new("gatherer");
        self.broker.core(|core| {
            for (class, ends) in core.contracts().classes.iter().zip(core.ends()) {
                lines.count(&["succeeded", class], ends.succeeded);
                lines.count(&["declined", class], ends.declined);
                lines.count(&["aborted", class], ends.aborted);
            }
            lines.count(&["forwards"], core.counters.written);
            lines.gauge(&["outstanding"], core.open() as u64);
            lines.gauge(&["discovered"], core.listed() as u64);
            lines.gauge(&["ejected"], core.avoided() as u64);
        });
        Response { body: Bytes::from(lines.text()), ..Response::text(200, "") }
    }

    fn call(&self, call: Call) -> Response {
        match self.gate.call(call) {
            Ok(()) => Response::text(200, self.gate.stage().name()),
            Err(refused) => Response::text(409, refused.to_string()),
        }
    }
}

fn only(method: &'static str) -> Response {
    Response::text(405, format!("only {method}")).with("Allow", method)
}

impl Desk for Operators {
    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/ready") => self.ready(),
            ("GET", "/-/metrics") => self.figures(),
            ("PUT", "/-/drain") => self.call(Call::Drain),
            ("PUT", "/-/resume") => self.call(Call::Resume),
            (_, "/-/ready" | "/-/metrics") => only("GET"),
            (_, "/-/drain" | "/-/resume") => only("PUT"),
            (_, path) => Response::text(404, format!("nothing at {path}")),
        }
    }
}
