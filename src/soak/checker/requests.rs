//! The invariants of requests: each accepted one gets a correct final response in time.

use super::observations::{Observations, Process, Request, RequestOutcome};
use super::violation::{Violation, ViolationKind, ms, report};
use std::collections::HashSet;

/// Tolerance for a response that comes after its client's deadline.
const RESPONSE_SLACK_US: u64 = 500_000;

/// Checks that each request got a correct final response in time. A request without a response is excused if
/// its process was killed.
pub fn check_requests(observations: &Observations, violations: &mut Vec<Violation>) {
    let forwarded: HashSet<&str> = observations.parts.iter().map(|part| part.request.as_str()).collect();
    for request in &observations.requests {
        let process = observations.processes.get(request.process);
        let was_killed = process.is_some_and(|process| process.killed_at.is_some());
        match request.outcome {
            RequestOutcome::Response { status, correct } => {
                check_lateness(observations, request, status, violations);
                if !correct {
                    let details = format!("{}: {status}", describe_request(request, process));
                    report(violations, ViolationKind::IncorrectResponse, details);
                }
            }
            RequestOutcome::NoResponse if !was_killed => {
                let about = describe_request(request, process);
                let details = format!("{about}: no response and no end of the connection");
                report(violations, ViolationKind::LostRequest, details);
            }
            // A reused connection may end without a response: the gatherer may close an idle connection while
            // the client's next request is in transit, as long as it has not read that request.
            RequestOutcome::ConnectionClosed
                if !was_killed && (request.first_on_connection || forwarded.contains(&*request.id)) =>
            {
                report(violations, ViolationKind::LostRequest, describe_close(request, process));
            }
            RequestOutcome::NoResponse
            | RequestOutcome::ConnectionClosed
            | RequestOutcome::ClientDisconnected => {}
        }
    }
}

/// Checks that a response came within its client's deadline. Pauses of the gatherer's process and of the
/// observer are added to the tolerance.
fn check_lateness(
    observations: &Observations,
    request: &Request,
    status: u16,
    violations: &mut Vec<Violation>,
) {
    let process = observations.processes.get(request.process);
    let paused_us = process.map_or(0, |process| process.longest_pause_us);
    let late_us = (request.ended_at - request.sent_at).saturating_sub(request.budget_us);
    if late_us > RESPONSE_SLACK_US + observations.observer_lag_us + paused_us {
        let about = describe_request(request, process);
        let details = format!("{about}: {status} came {} ms late", ms(late_us));
        report(violations, ViolationKind::LostRequest, details);
    }
}

/// Describes a connection that ended without a response to this request.
fn describe_close(request: &Request, process: Option<&Process>) -> String {
    let about = describe_request(request, process);
    let kind = if request.first_on_connection { "new" } else { "reused" };
    let elapsed_ms = ms(request.ended_at - request.sent_at);
    format!("{about}: its {kind} connection ended without a response after {elapsed_ms} ms")
}

/// Describes a request: its id, its process, and its time, also relative to SIGTERM if that process got one.
fn describe_request(request: &Request, process: Option<&Process>) -> String {
    let terminated_at = process.and_then(|process| process.terminated_at);
    let relative_to_sigterm = terminated_at.map_or(String::new(), |terminated_at| {
        let offset_us = request.sent_at as i64 - terminated_at as i64;
        format!(", {offset_us:+} us from SIGTERM")
    });
    let Request { id, process, sent_at, .. } = request;
    format!("request {id} to process {process}, sent at {sent_at} us{relative_to_sigterm}")
}
