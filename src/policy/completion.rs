//! Completion of queries: when a query is answered, rejected or cancelled, and the cancellation of its
//! parts' attempts. No other file ends a query.

use crate::policy::attempts::MIN_LATE_WEIGHT;
use crate::policy::queries::{Attempt, Part, Query};
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, Class, Idempotency, RequestId, STEP_INTERVAL, Time,
};
use std::time::Duration;

/// Tolerance in comparisons of sums of part weights, which arrive rounded. The rule on how complete an
/// answer may be called allows a sum to fall short by as much.
pub(super) const WEIGHT_SUM_TOLERANCE: f64 = 1e-4;
/// Connection resets that a part may cause. With one more its query ends, because the part may crash each
/// worker that serves it.
const MAX_CONNECTION_RESETS: usize = 1;

/// The final response to a query or to its first step.
pub(super) enum Completion {
    Respond { complete: bool },
    Reject { retry_after: Duration },
}

// Conditions of completion.
impl Aggregator {
    /// Ends the queries that are complete or lost, and those for which a partial answer is best sent now.
    pub(super) fn complete_queries(&mut self, actions: &mut Vec<Action>) {
        for id in self.queries.keys().copied().collect::<Vec<_>>() {
            if let Some(completion) = self.completion(id) {
                self.complete_query(id, completion, actions);
            }
        }
    }

    /// The completion of a query that is to end in this step; `None` while it goes on.
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

    /// `Some(complete)` if a query is to be answered now; `None` if there is no answer to send yet.
    fn response(&self, query: &Query, class: &Class, parts: &[&Part]) -> Option<bool> {
        let coverage: f64 = parts.iter().filter(|part| part.succeeded).map(|part| part.request.weight).sum();
        let all_succeeded = !parts.is_empty() && parts.iter().all(|part| part.succeeded);
        let complete = match query.first_step_complete {
            Some(first_step_complete) => all_succeeded && first_step_complete,
            None => coverage >= class.complete_coverage - WEIGHT_SUM_TOLERANCE && !parts.is_empty(),
        };
        if complete || (all_succeeded && query.first_step_complete.is_some()) {
            return Some(complete);
        }
        let covers_minimum = !parts.is_empty() && coverage >= class.min_coverage - WEIGHT_SUM_TOLERANCE;
        let objective_is_due = self.is_due(query.objective_at);
        let partial_value =
            class.partial_weight * coverage / class.complete_coverage.max(WEIGHT_SUM_TOLERANCE);
        let answers_partially = covers_minimum
            && (self.is_due(query.request.valid_until)
                || objective_is_due && partial_value > class.late_weight);
        answers_partially.then_some(false)
    }

    /// Whether a query is to be given up: its time is over, its minimum coverage cannot be reached any
    /// more, or one of its parts has caused too many connection resets.
    fn is_lost(&self, query: &Query, class: &Class, parts: &[&Part]) -> bool {
        let any_in_flight = parts.iter().any(|part| part.is_in_flight());
        let is_past_useful_time =
            self.now >= query.objective_at && (class.late_weight < MIN_LATE_WEIGHT || !any_in_flight);
        let is_reset = |attempt: &&Attempt| attempt.outcome == Some(AttemptOutcome::ConnectionReset);
        let reset_count = |part: &Part| part.attempts.iter().filter(is_reset).count();
        // A part without an attempt in flight that may not be sent again is lost. A query that depends on
        // it ends at once, instead of at its objective.
        let is_unservable = |part: &Part| !part.succeeded && !part.is_in_flight() && !self.may_attempt(part);
        let unservable_weight: f64 =
            parts.iter().filter(|part| is_unservable(part)).map(|part| part.request.weight).sum();
        let min_coverage_unreachable = unservable_weight > WEIGHT_SUM_TOLERANCE
            && 1.0 - unservable_weight < class.min_coverage - WEIGHT_SUM_TOLERANCE;
        self.is_due(query.request.valid_until)
            || is_past_useful_time
            || min_coverage_unreachable
            || parts.iter().any(|part| reset_count(part) > MAX_CONNECTION_RESETS)
    }

    /// Whether `at` is so near that a later step may come too late to act on it: within one step interval
    /// and two minimum step intervals.
    fn is_due(&self, at: Time) -> bool {
        self.now.after(STEP_INTERVAL + self.settings.min_step_interval * 2) >= at
    }
}

// Ending a query.
impl Aggregator {
    /// Answers, rejects or fails a query; all queries end here, except those whose client has disconnected.
    /// After the answer to the first of two steps the query stays, waiting for the parts of the second.
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
                let retry_after = self.settings.max_retry_after.map(|limit| retry_after.min(limit));
                actions.push(if may_have_run && !idempotent {
                    Action::Fail { id }
                } else {
                    Action::Reject { id, retry_after }
                });
            }
        }
        self.cancel_query(id, actions);
    }

    /// Removes a query and cancels its parts' attempts in flight.
    pub(super) fn cancel_query(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.jobs.remove(&query.request.job);
        self.release(query.parts, actions);
    }

    /// Releases parts that no query needs any more and cancels their attempts in flight, where the settings
    /// allow it. A part is kept until the results of all its attempts have arrived.
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

    /// Removes a released part once it has no attempt in flight.
    pub(super) fn remove_if_released(&mut self, id: RequestId) {
        if self.parts.get(&id).is_some_and(|part| part.released && !part.is_in_flight()) {
            self.parts.remove(&id);
        }
    }
}
