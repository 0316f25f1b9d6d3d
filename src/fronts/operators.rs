//! The operators' front: whether the gatherer is ready, its figures, and what staff may have it do.

use crate::protocol::http::{Request, Response};
use crate::protocol::statsd;
use crate::routing::Broker;
use crate::routing::invariants::INVARIANTS;
use crate::service::LifecycleState;
use crate::service::lifecycle::LifecycleRequest;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::membership::MembershipTransport;
use crate::transport::operator_api::OperatorApi;
use bytes::Bytes;
use percent_encoding::percent_decode_str;
use std::rc::Rc;

/// What an operator has changed by a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// This worker is out.
    Out(&'a str),
    /// It is back.
    Back(&'a str),
    /// The gatherer is drained.
    Drained,
    /// It takes clients again.
    Resumed,
}

/// The other process of an upgrade, where there is one.
pub trait Pair {
    /// Why this process does not serve yet, if it does not.
    fn unready(&self) -> Option<&'static str>;
    /// Whether another still hands over to this one.
    fn succeeds(&self) -> bool;
    /// An operator has changed this here: the other process is to do the same.
    fn tell(&self, change: Change<'_>);
}

/// Answers operators' calls.
pub struct Operators {
    /// Whose figures are told.
    pub broker: Broker,
    /// What is drained.
    pub gate: Rc<ConnectionManager>,
    /// What another process of this gatherer has to do with it.
    pub pair: Rc<dyn Pair>,
    /// The other gatherers, where they talk.
    pub members: Option<Rc<MembershipTransport>>,
}

impl Operators {
    fn ready(&self) -> Response {
        if let Some(why) = self.pair.unready() {
            return Response::text(503, why);
        }
        match self.gate.lifecycle_state() {
            // A drain that was passed on is no reason to leave the upgrade half done.
            LifecycleState::Draining | LifecycleState::Drained if self.pair.succeeds() => {
                Response::text(200, "ready, drained")
            }
            LifecycleState::Serving if self.broker.with_core(|core| core.has_workers()) => {
                Response::text(200, "ready")
            }
            LifecycleState::Serving => Response::text(503, "no worker is known yet"),
            stage => Response::text(503, stage.name()),
        }
    }

    fn figures(&self) -> Response {
        let mut lines = statsd::MetricLines::new("gatherer");
        self.broker.with_core(|core| {
            for (class, ends) in core.contracts().classes.iter().zip(core.class_counts()) {
                lines.count(&["succeeded", class], ends.succeeded);
                lines.count(&["declined", class], ends.rejected);
                lines.count(&["aborted", class], ends.failed);
            }
            lines.count(&["forwards"], core.counters.written);
            for invariant in INVARIANTS {
                lines.count(&["violations", invariant.name()], core.violations().count_of(invariant));
            }
            lines.gauge(&["outstanding"], core.open_queries() as u64);
            lines.gauge(&["discovered"], core.listed_workers() as u64);
            lines.gauge(&["ejected"], core.avoided_workers() as u64);
        });
        Response { body: Bytes::from(lines.text()), ..Response::text(200, "") }
    }

    fn members(&self) -> Response {
        match &self.members {
            Some(members) => Response::json(200, members.status_json()),
            None => Response::text(404, "membership is off"),
        }
    }

    /// Takes a worker out or back; its id is what stands in the path, with each `%` sign's two digits read.
    fn worker(&self, id: &str, out: bool) -> Response {
        let Ok(id) = percent_decode_str(id).decode_utf8() else {
            return Response::text(400, "the worker's id is no text");
        };
        let known = self.broker.set_worker_disabled(&id, out);
        if known {
            self.pair.tell(if out { Change::Out(&id) } else { Change::Back(&id) });
        }
        match known {
            true if out => Response::text(200, format!("{id} is out")),
            true => Response::text(200, format!("{id} is in use")),
            false => Response::text(404, format!("no worker of the id {id:?} was ever listed")),
        }
    }

    fn call(&self, call: LifecycleRequest) -> Response {
        match self.gate.apply_lifecycle(call) {
            Ok(()) => {
                self.pair.tell(if call == LifecycleRequest::Drain {
                    Change::Drained
                } else {
                    Change::Resumed
                });
                Response::text(200, self.gate.lifecycle_state().name())
            }
            Err(refused) => Response::text(409, refused.to_string()),
        }
    }
}

fn only(method: &'static str) -> Response {
    Response::text(405, format!("only {method}")).with_header("Allow", method)
}

impl OperatorApi for Operators {
    fn respond(&self, request: &Request) -> Response {
        // Guards against a yes to what the state that is passed on would undo.
        if request.method == "PUT"
            && let Some(why) = self.pair.unready()
        {
            return Response::text(503, why);
        }
        let worker = request.path.strip_prefix("/-/workers/").and_then(|rest| rest.rsplit_once('/'));
        let worker = worker.filter(|(_, call)| matches!(*call, "disable" | "enable"));
        if let Some((id, call)) = worker {
            return match request.method.as_str() {
                "PUT" => self.worker(id, call == "disable"),
                _ => only("PUT"),
            };
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/ready") => self.ready(),
            ("GET", "/-/metrics") => self.figures(),
            ("GET", "/-/members") => self.members(),
            ("PUT", "/-/drain") => self.call(LifecycleRequest::Drain),
            ("PUT", "/-/resume") => self.call(LifecycleRequest::Resume),
            (_, "/-/ready" | "/-/metrics" | "/-/members") => only("GET"),
            (_, "/-/drain" | "/-/resume") => only("PUT"),
            (_, path) => Response::text(404, format!("nothing at {path}")),
        }
    }
}
