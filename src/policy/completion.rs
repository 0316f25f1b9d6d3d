//! When a query is answered, rejected or cancelled, and what becomes of its parts then. No other file ends a
//! query.

use crate::policy::attempts::MIN_LATE_WEIGHT;
use crate::policy::queries::{Attempt, Part, Query};
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, Class, Idempotency, RequestId, STEP_INTERVAL, Time,
};
use std::time::Duration;

/// Tolerance in sums of weights, which come rounded: the rule on honest answers lets them fall so short.
pub(super) const WEIGHT_SUM_TOLERANCE: f64 = 1e-4;
/// Connections that a part may break; with one more its query ends, for it may bring down whoever serves it.
const MAX_CONNECTION_RESETS: usize = 1;

/// How a query ends.
pub(super) enum Completion {
    Respond { complete: bool },
    Reject { retry_after: Duration },
}

// When.
impl Aggregator {
    /// Ends the queries that are complete, lost, or best answered in part now.
    pub(super) fn complete_queries(&mut self, actions: &mut Vec<Action>) {
        for id in self.queries.keys().copied().collect::<Vec<_>>() {
            if let Some(completion) = self.completion(id) {
                self.complete_query(id, completion, actions);
            }
        }
    }

    /// How a query ends now; `None` while it goes on.
    fn completion(&self, id: RequestId) -> Option<Completion> {
        let query = self.queries.get(&id)?;
        let reject = Completion::Reject { retry_after: self.settings.max_retry_after.unwrap_or_default() };
        let Some(class) = self.class(query.request.class) else { return Some(reject) };
        if !query.admitted && self.now < query.request.valid_until {
            return None;
        }
        let parts: Vec<&Part> = query.parts.iter().filter_map(|part| self.parts.get(part)).collect();
        match self.response(query, class, &parts) {
            Some(complete) => Some(Completion::Respond { complete }),
            None => self.is_lost(query, class, &parts).then_some(reject),
        }
    }

    /// Whether a query is to be answered now, and if so, whether the answer is complete.
    fn response(&self, query: &Query, class: &Class, parts: &[&Part]) -> Option<bool> {
        let coverage: f64 = parts.iter().filter(|part| part.succeeded).map(|part| part.request.weight).sum();
        let all_succeeded = !parts.is_empty() && parts.iter().all(|part| part.succeeded);
        let complete = match query.first_step_complete {
            Some(first) => all_succeeded && first,
            None => coverage >= class.complete_coverage - WEIGHT_SUM_TOLERANCE && !parts.is_empty(),
        };
        if complete || (all_succeeded && query.first_step_complete.is_some()) {
            return Some(complete);
        }
        let covers_minimum = !parts.is_empty() && coverage >= class.min_coverage - WEIGHT_SUM_TOLERANCE;
        let objective_is_due = self.is_due(query.objective_at);
        let partial_value =
            class.partial_weight * coverage / class.complete_coverage.max(WEIGHT_SUM_TOLERANCE);
        let partial = covers_minimum
            && (self.is_due(query.request.valid_until)
                || objective_is_due && partial_value > class.late_weight);
        partial.then_some(false)
    }

    /// Whether a query can earn nothing any more, or must not be tried again.
    fn is_lost(&self, query: &Query, class: &Class, parts: &[&Part]) -> bool {
        let in_flight = parts.iter().any(|part| part.is_in_flight());
        let is_past_useful_time =
            self.now >= query.objective_at && (class.late_weight < MIN_LATE_WEIGHT || !in_flight);
        let reset = |attempt: &&Attempt| attempt.outcome == Some(AttemptOutcome::ConnectionReset);
        let resets = |part: &Part| part.attempts.iter().filter(reset).count();
        // A part with no attempt in flight and none to follow is lost: the query is not held back for it.
        let is_unservable = |part: &Part| !part.succeeded && !part.is_in_flight() && !self.may_retry(part);
        let unservable_weight: f64 =
            parts.iter().filter(|part| is_unservable(part)).map(|part| part.request.weight).sum();
        let min_coverage_unreachable = unservable_weight > WEIGHT_SUM_TOLERANCE
            && 1.0 - unservable_weight < class.min_coverage - WEIGHT_SUM_TOLERANCE;
        self.is_due(query.request.valid_until)
            || is_past_useful_time
            || min_coverage_unreachable
            || parts.iter().any(|part| resets(part) > MAX_CONNECTION_RESETS)
    }

    /// Whether a moment comes before the next step but one can act on it.
    fn is_due(&self, at: Time) -> bool {
        self.now.after(STEP_INTERVAL + self.settings.min_step_interval * 2) >= at
    }
}

// What follows.
impl Aggregator {
    /// Answers or rejects a query. No other method does.
    pub(super) fn complete_query(
        &mut self,
        id: RequestId,
        completion: Completion,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let class = self.settings.classes.get(query.request.class.0);
        match completion {
            Completion::Respond { complete } => {
                actions.push(Action::Respond { id, complete });
                let has_second_step = class.is_some_and(|class| class.second_step_parts > 0);
                if has_second_step && query.first_step_complete.is_none() {
                    query.first_step_complete = Some(complete);
                    query.admitted = false;
                    let first_step = std::mem::take(&mut query.parts);
                    return self.release(first_step, actions);
                }
            }
            Completion::Reject { retry_after } => {
                let mut parts = query.parts.iter().filter_map(|part| self.parts.get(part));
                let may_have_run = query.first_step_complete.is_some()
                    || parts.any(|part| part.attempts.iter().any(Attempt::may_have_run));
                let idempotent = class.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
                let retry_after = self.settings.max_retry_after.map(|longest| retry_after.min(longest));
                actions.push(if may_have_run && !idempotent {
                    Action::Fail { id }
                } else {
                    Action::Reject { id, retry_after }
                });
            }
        }
        self.cancel_query(id, actions);
    }

    /// Drops a query that nobody waits for.
    pub(super) fn cancel_query(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.jobs.remove(&query.request.job);
        self.release(query.parts, actions);
    }

    /// Cancels the attempts in flight of parts that no query needs; a part stays until their results are in.
    fn release(&mut self, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in parts {
            let Some(part) = self.parts.get_mut(&id) else { continue };
            (part.finished, part.released) = (true, true);
            if self.settings.may_cancel {
                let in_flight =
                    part.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight());
                let cancel = |(number, _)| Action::Cancel { id, attempt: AttemptNo(number as u32) };
                actions.extend(in_flight.map(cancel));
            }
            self.remove_if_released(id);
        }
    }

    pub(super) fn remove_if_released(&mut self, id: RequestId) {
        if self.parts.get(&id).is_some_and(|part| part.released && !part.is_in_flight()) {
            self.parts.remove(&id);
        }
    }
}
