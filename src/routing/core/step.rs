//! The step: everything that has happened goes to the decision module at once, and its actions become commands.

use super::Core;
use crate::policy::*;
use crate::records::metrics::QueryEnd;
use crate::routing::attempt::{AttemptCompletion, AttemptId, Dispatch};
use crate::routing::command::Command;
use crate::routing::in_flight::SentAttempt;
use crate::routing::invariants::{Invariant, SendCheck, SendPermit, check_answer, check_rejection, coverage};
use crate::routing::open_queries::{OpenPart, OpenQuery};
use crate::routing::query::{QueryOutcome, Rejection};
use std::time::Duration;

/// How much later than the response grace an answer may be given: the time for which a process may be held up.
const LATE_SLACK: Duration = Duration::from_millis(200);

/// How a query ends.
#[derive(Clone, Copy)]
enum Completion {
    Respond {
        complete: bool,
    },
    Reject {
        retry_after: Option<Duration>,
    },
    Fail,
    /// The decision module had not completed the query in time.
    FailOverdue,
}

impl Completion {
    fn into_outcome(self, parts: Vec<OpenPart>) -> QueryOutcome {
        match self {
            Completion::Respond { complete } => {
                let values = parts.into_iter().filter_map(|part| Some((part.shard, part.value?))).collect();
                QueryOutcome::Answered { complete, values }
            }
            Completion::Reject { retry_after } => {
                QueryOutcome::Rejected { reason: Rejection::Declined, retry_after }
            }
            Completion::Fail | Completion::FailOverdue => QueryOutcome::Failed,
        }
    }
}

/// The attempts that one step sends to a worker.
struct PendingCall {
    worker: WorkerId,
    parts: Vec<Dispatch>,
}

/// The attempts that one step sends, by worker.
#[derive(Default)]
struct Calls(Vec<PendingCall>);

impl Calls {
    fn add(&mut self, worker: WorkerId, dispatch: Dispatch) {
        match self.0.iter_mut().find(|call| call.worker == worker) {
            Some(call) => call.parts.push(dispatch),
            None => self.0.push(PendingCall { worker, parts: vec![dispatch] }),
        }
    }

    /// Takes back an attempt that is cancelled in the step that sends it.
    fn remove(&mut self, attempt_id: AttemptId) {
        self.0.iter_mut().for_each(|call| call.parts.retain(|part| part.attempt_id != attempt_id));
    }

    /// Splits the attempts for each worker into calls of at most `max_parts`.
    fn into_commands(self, max_parts: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        for PendingCall { worker, parts } in self.0 {
            let calls = parts.chunks(max_parts).map(|parts| Command::Call { worker, parts: parts.to_vec() });
            commands.extend(calls);
        }
        commands
    }
}

impl Core {
    /// When [`Core::step`] is due if nothing is reported before.
    pub fn next_step_at(&self, now: Time) -> Option<Time> {
        if !self.pending_events.is_empty() || !self.pending_commands.is_empty() {
            return Some(now);
        }
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        let attempt = self.in_flight.next_deadline();
        let query = self.open_queries.next_overdue(self.overdue_grace());
        [timer, attempt, query].into_iter().flatten().min()
    }

    /// How long after its client's deadline the decision module may still complete a query.
    fn overdue_grace(&self) -> Duration {
        self.contracts.settings.response_grace / 2
    }

    /// Hands everything that has happened to the decision module in one step, and returns what is to be carried out.
    pub fn step(&mut self, now: Time) -> Vec<Command> {
        self.fire_timers(now);
        self.time_out_attempts(now);
        let mut actions = Vec::new();
        if !self.pending_events.is_empty() {
            self.policy.step(now, self.pending_events.drain(..), &mut actions);
        }
        let mut calls = Calls::default();
        for action in actions {
            self.apply_action(now, action, &mut calls);
        }
        let parts_per_call = self.contracts.settings.parts_per_call.max(1) as usize;
        self.pending_commands.extend(calls.into_commands(parts_per_call));
        self.fail_overdue(now);
        std::mem::take(&mut self.pending_commands)
    }

    fn fire_timers(&mut self, now: Time) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            self.pending_events.push(Event::TimerFired { timer });
        }
    }

    fn time_out_attempts(&mut self, now: Time) {
        for (attempt_id, sent) in self.in_flight.remove_expired(now) {
            self.pending_commands.push(Command::Cancel { worker: sent.worker, attempt_id });
            let timed_out = AttemptCompletion::without_value(AttemptOutcome::TimedOut);
            self.finish_attempt(now, attempt_id, &sent, timed_out);
        }
    }

    /// Fails the queries that the decision module has left open past their client's deadline, so that none is lost.
    fn fail_overdue(&mut self, now: Time) {
        for query in self.open_queries.overdue(now, self.overdue_grace()) {
            self.pending_events.push(Event::ClientDisconnected { id: query });
            self.pending_commands
                .push(Command::Log(format!("query is overdue and fails: query={}", query.0)));
            self.complete_query(now, query, Completion::FailOverdue);
        }
    }

    fn apply_action(&mut self, now: Time, action: Action, calls: &mut Calls) {
        match action {
            Action::Send { id, worker, timeout } => self.send(now, id, worker, timeout, calls),
            Action::Cancel { id, attempt } => self.cancel(now, AttemptId { part: id, attempt }, calls),
            Action::Respond { id, complete } => {
                self.complete_query(now, id, Completion::Respond { complete });
            }
            Action::Reject { id, retry_after } => {
                self.complete_query(now, id, Completion::Reject { retry_after });
            }
            Action::Fail { id } => self.complete_query(now, id, Completion::Fail),
            Action::SetTimer { after, timer } => {
                let number = self.next_number();
                self.timers.insert((now.after(after), number), timer);
            }
            // The endpoint list arrives without a subscription here, and health checks are not allowed by the settings: the
            // module requests neither.
            Action::SubscribeToEndpoints | Action::SendHealthCheck { .. } => {}
            Action::Log { text } => self.pending_commands.push(Command::Log(text)),
        }
    }

    /// Sends an attempt. Every attempt passes here; one that would break an invariant is not sent and ends as such.
    fn send(&mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Duration, calls: &mut Calls) {
        let permit = self.permit(now, id, worker, timeout);
        let Some((part, query)) = self.open_queries.part_with_query(id) else { return };
        let attempt_id = AttemptId { part: id, attempt: AttemptNo(part.attempts) };
        part.attempts += 1;
        self.counters.sent += 1;
        self.counters.resent += u64::from(attempt_id.attempt.0 > 0);
        part.possible_runs.insert(attempt_id.attempt, now);
        let (label, shard) = (query.label.clone(), part.shard);
        let permit = match permit {
            Ok(permit) => permit,
            Err(broken) => {
                return self.withhold(now, attempt_id, worker, broken, &format!("{label}.{}", shard.0));
            }
        };
        let (payload, at_most_once) = (query.payload.clone(), query.at_most_once);
        self.count_retry(attempt_id);
        self.in_flight.insert(attempt_id, SentAttempt { worker, sent_at: now, deadline: permit.deadline() });
        calls.add(worker, Dispatch { attempt_id, label, shard, payload, at_most_once, permit });
    }

    /// The right to send an attempt, or the invariant that it would break.
    fn permit(
        &mut self,
        now: Time,
        id: RequestId,
        worker: WorkerId,
        timeout: Duration,
    ) -> Result<SendPermit, Invariant> {
        let worker_accepts_work = self.workers.accepts_work(worker);
        let has_attempt_in_flight = self.in_flight.has_part(id);
        let settings = &self.contracts.settings;
        let (part, query) = self.open_queries.part_with_query(id).ok_or(Invariant::SentBeforeDeadline)?;
        let class = settings.classes.get(query.labels.class).ok_or(Invariant::SentBeforeDeadline)?;
        let check = SendCheck {
            now,
            class,
            valid_until: query.valid_until,
            worker_accepts_work,
            previous_attempts: part.attempts,
            first_possible_run: part.possible_runs.values().min().copied(),
            has_attempt_in_flight,
            may_hedge: settings.hedging_allowed,
            max_attempts: settings.max_attempts,
        };
        check.permit(timeout)
    }

    /// Ends an attempt that would break an invariant as one that was never sent.
    fn withhold(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        worker: WorkerId,
        broken: Invariant,
        part: &str,
    ) {
        let name = self.workers.registry.name(worker).unwrap_or("of no name");
        let subject = format!("attempt {} of part {part} to worker {name}", attempt_id.attempt.0);
        self.report_violation(broken, &subject);
        let sent = SentAttempt { worker, sent_at: now, deadline: now };
        let not_sent = AttemptCompletion::without_value(AttemptOutcome::NotSent);
        self.finish_attempt(now, attempt_id, &sent, not_sent);
    }

    /// Counts why an attempt follows another one.
    fn count_retry(&mut self, attempt_id: AttemptId) {
        if attempt_id.attempt.0 == 0 {
            return;
        }
        let is_hedged = self.in_flight.has_part(attempt_id.part);
        let last_outcome = self.open_queries.part(attempt_id.part).and_then(|part| part.last_outcome);
        *match last_outcome {
            _ if is_hedged => &mut self.counters.resent_hedged,
            Some(outcome) if outcome.proves_unrun() => &mut self.counters.resent_unrun,
            _ => &mut self.counters.resent_failed,
        } += 1;
    }

    fn cancel(&mut self, now: Time, attempt_id: AttemptId, calls: &mut Calls) {
        let Some(sent) = self.in_flight.remove(attempt_id) else { return };
        calls.remove(attempt_id);
        self.pending_commands.push(Command::Cancel { worker: sent.worker, attempt_id });
        let cancelled = AttemptCompletion::without_value(AttemptOutcome::Cancelled);
        self.finish_attempt(now, attempt_id, &sent, cancelled);
    }

    /// Gives a query its one final outcome; does nothing if it has ended before.
    fn complete_query(&mut self, now: Time, id: RequestId, completion: Completion) {
        let Some((query, parts)) = self.close(id) else { return };
        let completion = self.enforce_invariants(now, &query, &parts, completion);
        let elapsed = now.since(query.accepted_at);
        self.record_end(query.labels, self.end_of(&query, completion, elapsed), elapsed);
        *match completion {
            Completion::Respond { complete: true } => &mut self.counters.answered_whole,
            Completion::Respond { complete: false } => &mut self.counters.answered_part,
            Completion::Reject { .. } => &mut self.counters.refused,
            Completion::Fail | Completion::FailOverdue => &mut self.counters.failed,
        } += 1;
        let outcome = completion.into_outcome(parts);
        self.pending_commands.push(Command::Respond { query: id, outcome });
    }

    /// The one guard on completing a query: returns the completion, or the nearest one that breaks no invariant.
    fn enforce_invariants(
        &mut self,
        now: Time,
        query: &OpenQuery,
        parts: &[OpenPart],
        completion: Completion,
    ) -> Completion {
        let latest = query.valid_until.after(self.contracts.settings.response_grace + LATE_SLACK);
        if now > latest {
            let late_ms = now.since(query.valid_until).as_millis();
            let subject = format!("query {} ends {late_ms} ms late", query.label);
            self.report_violation(Invariant::EndedInTime, &subject);
        }
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else {
            return Completion::Fail;
        };
        let checked = match completion {
            Completion::Respond { complete } => check_answer(class, coverage(parts), complete),
            Completion::Reject { .. } => {
                check_rejection(class, parts.iter().any(|part| !part.possible_runs.is_empty()))
            }
            Completion::Fail | Completion::FailOverdue => Ok(()),
        };
        let Err(broken) = checked else { return completion };
        self.report_violation(broken, &format!("query {}", query.label));
        match broken {
            Invariant::CompleteMarkedTruly => Completion::Respond { complete: false },
            _ => Completion::Fail,
        }
    }

    /// The end under which a completion is counted.
    fn end_of(&self, query: &OpenQuery, completion: Completion, elapsed: Duration) -> QueryEnd {
        match completion {
            Completion::Respond { complete: true } if self.is_late(query, elapsed) => QueryEnd::CompleteLate,
            Completion::Respond { complete: true } => QueryEnd::CompleteInTime,
            Completion::Respond { complete: false } => QueryEnd::Partial,
            Completion::Reject { .. } => QueryEnd::RejectedByPolicy,
            Completion::Fail => QueryEnd::FailedAbandoned,
            Completion::FailOverdue => QueryEnd::FailedDeadlineExceeded,
        }
    }

    /// Whether a query that took this long has missed the latency objective of its class.
    fn is_late(&self, query: &OpenQuery, elapsed: Duration) -> bool {
        let class = self.contracts.settings.classes.get(query.labels.class);
        class.is_some_and(|class| elapsed > class.latency_objective)
    }
}
