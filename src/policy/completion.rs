//! When a query is answered, rejected or cancelled.

use crate::policy::attempts::MIN_LATE_WEIGHT;
use crate::policy::queries::{Attempt, Part};
use crate::policy::{Action, Aggregator, AttemptNo, AttemptOutcome, Idempotency, RequestId, STEP_INTERVAL};
use std::time::Duration;

/// Slack in sums of weights, which come rounded: the rule on honest answers lets them fall so short.
pub(super) const WEIGHT_SUM_TOLERANCE: f64 = 1e-4;

pub(super) enum Completion {
    Respond { complete: bool },
    Reject { retry_after: Duration },
}

impl Aggregator {
    /// Ends queries that are whole, lost, or best answered in part now.
    pub(super) fn complete_queries(&mut self, actions: &mut Vec<Action>) {
        for id in self.queries.keys().copied().collect::<Vec<_>>() {
            if let Some(ending) = self.completion(id) {
                self.complete(id, ending, actions);
            }
        }
    }

    pub(super) fn completion(&self, id: RequestId) -> Option<Completion> {
        let query = self.queries.get(&id)?;
        let reject = Completion::Reject { retry_after: self.settings.max_retry_after.unwrap_or_default() };
        let Some(class) = self.class(query.request.class) else { return Some(reject) };
        if !query.admitted && self.now < query.request.valid_until {
            return None;
        }
        let parts: Vec<&Part> = query.parts.iter().filter_map(|part| self.parts.get(part)).collect();
        let share: f64 = parts.iter().filter(|part| part.succeeded).map(|part| part.request.weight).sum();
        let all = !parts.is_empty() && parts.iter().all(|part| part.succeeded);
        let complete = match query.first_step_complete {
            Some(first) => all && first,
            None => share >= class.complete_coverage - WEIGHT_SUM_TOLERANCE && !parts.is_empty(),
        };
        if complete || (all && query.first_step_complete.is_some()) {
            return Some(Completion::Respond { complete });
        }
        let margin = STEP_INTERVAL + self.settings.min_step_interval * 2;
        let enough = !parts.is_empty() && share >= class.min_coverage - WEIGHT_SUM_TOLERANCE;
        let out = parts.iter().any(|part| part.attempts.iter().any(|attempt| attempt.is_in_flight()));
        let late = self.now.after(margin) >= query.objective_at;
        let over = self.now.after(margin) >= query.request.valid_until;
        let earns = class.partial_weight * share / class.complete_coverage.max(WEIGHT_SUM_TOLERANCE);
        if enough && (over || late && earns > class.late_weight) {
            return Some(Completion::Respond { complete: false });
        }
        let hopeless = self.now >= query.objective_at && (class.late_weight < MIN_LATE_WEIGHT || !out);
        // Guards against requests that bring down whoever begins them: no part may break a third connection.
        let broke = |attempt: &&Attempt| attempt.outcome == Some(AttemptOutcome::ConnectionReset);
        let breaks = |part: &&Part| part.attempts.iter().filter(broke).count() > 1;
        // Guards against holding a lost query back: a part with none out and none to follow is lost.
        let is_out = |part: &Part| part.attempts.iter().any(|attempt| attempt.is_in_flight());
        let dead = |part: &&&Part| !part.succeeded && !is_out(part) && !self.may_retry(part);
        let dead: f64 = parts.iter().filter(dead).map(|part| part.request.weight).sum();
        let lost = dead > WEIGHT_SUM_TOLERANCE && 1.0 - dead < class.min_coverage - WEIGHT_SUM_TOLERANCE;
        (over || hopeless || lost || parts.iter().any(breaks)).then_some(reject)
    }

    /// The one place that ends queries.
    pub(super) fn complete(&mut self, id: RequestId, ending: Completion, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let class = self.settings.classes.get(query.request.class.0);
        match ending {
            Completion::Respond { complete } => {
                actions.push(Action::Respond { id, complete });
                if class.is_some_and(|class| class.second_step_parts > 0)
                    && query.first_step_complete.is_none()
                {
                    query.first_step_complete = Some(complete);
                    query.admitted = false;
                    let first = std::mem::take(&mut query.parts);
                    return self.release(first, actions);
                }
            }
            Completion::Reject { retry_after } => {
                let ran = |part: &Part| part.attempts.iter().any(|attempt| attempt.may_have_run());
                let mut parts = query.parts.iter().filter_map(|part| self.parts.get(part));
                let may_have_run = query.first_step_complete.is_some() || parts.any(ran);
                let risky =
                    class.is_none_or(|class| class.idempotency != Idempotency::Idempotent) && may_have_run;
                let retry_after = self.settings.max_retry_after.map(|longest| retry_after.min(longest));
                actions.push(if risky { Action::Fail { id } } else { Action::Reject { id, retry_after } });
            }
        }
        self.cancel(id, actions);
    }

    pub(super) fn cancel(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.jobs.remove(&query.request.job);
        self.release(query.parts, actions);
    }

    /// Lets go of parts; attempts still out are called off and kept until their outcome is in.
    pub(super) fn release(&mut self, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in parts {
            let Some(part) = self.parts.get_mut(&id) else { continue };
            (part.finished, part.released) = (true, true);
            if self.settings.may_cancel {
                for (number, _) in
                    part.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight())
                {
                    actions.push(Action::Cancel { id, attempt: AttemptNo(number as u32) });
                }
            }
            self.drop_if_finished(id);
        }
    }

    pub(super) fn drop_if_finished(&mut self, id: RequestId) {
        let out = |part: &Part| part.attempts.iter().any(|attempt| attempt.is_in_flight());
        self.parts.extract_if(id..=id, |_, part| part.released && !out(part)).for_each(drop);
    }
}
