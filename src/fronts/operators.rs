//! The operators' HTTP API: readiness, metrics, status of members, draining, and disabling of workers.
//!
//! During an upgrade, changes made here are also sent to the other process. The API reads no socket:
//! `transport::operator_api` does.

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

/// A change that an operator has made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorChange<'a> {
    /// The worker with this id was disabled.
    Disabled(&'a str),
    /// The worker with this id was enabled again.
    Enabled(&'a str),
    /// A drain was requested.
    Drained,
    /// The gatherer was requested to accept clients again.
    Resumed,
}

/// The other process of an upgrade, if there is one.
pub trait UpgradePeer {
    /// The reason why this process does not serve yet; `None` if it does.
    fn not_ready_reason(&self) -> Option<&'static str>;
    /// Whether a predecessor is still handing over to this process.
    fn has_predecessor(&self) -> bool;
    /// Notifies the other process of an operator's change, which that process applies too.
    fn notify(&self, change: OperatorChange<'_>);
}

/// Handles operators' requests.
pub struct OperatorFront {
    /// Source of the metrics; disables and enables workers.
    pub broker: Broker,
    /// The clients' connections, with the lifecycle state that drain and resume change.
    pub connections: Rc<ConnectionManager>,
    /// The other process of an upgrade.
    pub upgrade_peer: Rc<dyn UpgradePeer>,
    /// Membership; `None` where it is not configured.
    pub members: Option<Rc<MembershipTransport>>,
}

impl OperatorFront {
    fn ready(&self) -> Response {
        if let Some(reason) = self.upgrade_peer.not_ready_reason() {
            return Response::text(503, reason);
        }
        match self.connections.lifecycle_state() {
            // A drain inherited from the predecessor must not hold up the upgrade.
            LifecycleState::Draining | LifecycleState::Drained if self.upgrade_peer.has_predecessor() => {
                Response::text(200, "ready, drained")
            }
            LifecycleState::Serving if self.broker.with_core(|core| core.has_workers()) => {
                Response::text(200, "ready")
            }
            LifecycleState::Serving => Response::text(503, "no worker is known yet"),
            state => Response::text(503, state.name()),
        }
    }

    fn metrics(&self) -> Response {
        let mut lines = statsd::MetricLines::new("gatherer");
        self.broker.with_core(|core| {
            for (class, counts) in core.contracts().classes.iter().zip(core.class_counts()) {
                lines.count(&["succeeded", class], counts.succeeded);
                lines.count(&["declined", class], counts.rejected);
                lines.count(&["aborted", class], counts.failed);
            }
            lines.count(&["forwards"], core.counters.written);
            for invariant in INVARIANTS {
                lines.count(&["violations", invariant.name()], core.violations().count_of(invariant));
            }
            lines.gauge(&["outstanding"], core.open_queries() as u64);
            lines.gauge(&["discovered"], core.listed_workers() as u64);
            lines.gauge(&["ejected"], core.unavailable_workers() as u64);
        });
        Response { body: Bytes::from(lines.text()), ..Response::text(200, "") }
    }

    fn members(&self) -> Response {
        match &self.members {
            Some(members) => Response::json(200, members.status_json()),
            None => Response::text(404, "membership is off"),
        }
    }

    /// Disables or enables a worker. `id` is the percent-encoded id from the path.
    fn set_worker_disabled(&self, id: &str, disabled: bool) -> Response {
        let Ok(id) = percent_decode_str(id).decode_utf8() else {
            return Response::text(400, "the worker's id is no text");
        };
        let found = self.broker.set_worker_disabled(&id, disabled);
        if found {
            self.upgrade_peer.notify(if disabled {
                OperatorChange::Disabled(&id)
            } else {
                OperatorChange::Enabled(&id)
            });
        }
        match found {
            true if disabled => Response::text(200, format!("{id} is out")),
            true => Response::text(200, format!("{id} is in use")),
            false => Response::text(404, format!("no worker of the id {id:?} was ever listed")),
        }
    }

    fn change_lifecycle(&self, request: LifecycleRequest) -> Response {
        match self.connections.apply_lifecycle(request) {
            Ok(()) => {
                self.upgrade_peer.notify(if request == LifecycleRequest::Drain {
                    OperatorChange::Drained
                } else {
                    OperatorChange::Resumed
                });
                Response::text(200, self.connections.lifecycle_state().name())
            }
            Err(error) => Response::text(409, error.to_string()),
        }
    }
}

/// The response to a request with a method that its path does not support.
fn method_not_allowed(method: &'static str) -> Response {
    Response::text(405, format!("only {method}")).with_header("Allow", method)
}

impl OperatorApi for OperatorFront {
    fn respond(&self, request: &Request) -> Response {
        // A change made now would be overwritten by the predecessor's state, which is not applied yet.
        if request.method == "PUT"
            && let Some(reason) = self.upgrade_peer.not_ready_reason()
        {
            return Response::text(503, reason);
        }
        let worker_action = request.path.strip_prefix("/-/workers/").and_then(|rest| rest.rsplit_once('/'));
        let worker_action = worker_action.filter(|(_, action)| matches!(*action, "disable" | "enable"));
        if let Some((id, action)) = worker_action {
            return match request.method.as_str() {
                "PUT" => self.set_worker_disabled(id, action == "disable"),
                _ => method_not_allowed("PUT"),
            };
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/ready") => self.ready(),
            ("GET", "/-/metrics") => self.metrics(),
            ("GET", "/-/members") => self.members(),
            ("PUT", "/-/drain") => self.change_lifecycle(LifecycleRequest::Drain),
            ("PUT", "/-/resume") => self.change_lifecycle(LifecycleRequest::Resume),
            (_, "/-/ready" | "/-/metrics" | "/-/members") => method_not_allowed("GET"),
            (_, "/-/drain" | "/-/resume") => method_not_allowed("PUT"),
            (_, path) => Response::text(404, format!("nothing at {path}")),
        }
    }
}
