//! The invariants of requests, as their clients see them.

use super::observations::{Observations, Process, Request, RequestOutcome};
use super::violation::{Violation, ViolationKind, ms, report};
use std::collections::HashSet;

/// A response may come so long after its client's deadline.
const RESPONSE_SLACK_US: u64 = 500_000;

pub fn check_requests(observations: &Observations, violations: &mut Vec<Violation>) {
    let forwarded: HashSet<&str> = observations.parts.iter().map(|part| part.request.as_str()).collect();
    for request in &observations.requests {
        let process = observations.processes.get(request.process);
        let was_killed = process.is_some_and(|process| process.killed_at.is_some());
        let paused_us = process.map_or(0, |process| process.longest_pause_us);
        let about = describe_request(request, process);
        let elapsed_us = request.ended_at - request.sent_at;
        match request.outcome {
            RequestOutcome::Response { status, correct } => {
                let late_us = elapsed_us.saturating_sub(request.budget_us);
                if late_us > RESPONSE_SLACK_US + observations.observer_lag_us + paused_us {
                    let details = format!("{about}: {status} came {} ms late", ms(late_us));
                    report(violations, ViolationKind::LostRequest, details);
                }
                if !correct {
                    report(violations, ViolationKind::IncorrectResponse, format!("{about}: {status}"));
                }
            }
            RequestOutcome::NoResponse if !was_killed => {
                let details = format!("{about}: no response and no end of the connection");
                report(violations, ViolationKind::LostRequest, details);
            }
            // The gatherer may close an idle connection while a request is on its way, if it has not read the request.
            RequestOutcome::ConnectionClosed
                if !was_killed && (request.first_on_connection || forwarded.contains(&*request.id)) =>
            {
                let kind = if request.first_on_connection { "new" } else { "reused" };
                let details = format!(
                    "{about}: its {kind} connection ended without a response after {} ms",
                    ms(elapsed_us)
                );
                report(violations, ViolationKind::LostRequest, details);
            }
            RequestOutcome::NoResponse
            | RequestOutcome::ConnectionClosed
            | RequestOutcome::ClientDisconnected => {}
        }
    }
}

/// The request, the process that it went to, and when it was sent, measured against SIGTERM to that process.
fn describe_request(request: &Request, process: Option<&Process>) -> String {
    let terminated_at = process.and_then(|process| process.terminated_at);
    let when = terminated_at.map_or(String::new(), |terminated_at| {
        let span_us = request.sent_at as i64 - terminated_at as i64;
        format!(", sent at {span_us} us from SIGTERM")
    });
    format!("request {} to process {} at {}{when}", request.id, request.process, request.sent_at)
}
