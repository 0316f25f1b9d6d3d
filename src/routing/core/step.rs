//! The step of the core: passes all pending events to the decision module at once, and turns its actions into commands.

use super::Core;
use super::completion::Completion;
use super::dispatch::PendingCalls;
use crate::policy::{Action, AttemptOutcome, Event, Time};
use crate::routing::attempt::{AttemptCompletion, AttemptId};
use crate::routing::command::Command;
use std::time::Duration;

impl Core {
    /// Returns when [`Core::step`] is due if no event arrives before, or `None` if nothing is scheduled.
    #[must_use]
    pub fn next_step_at(&self, now: Time) -> Option<Time> {
        if !self.pending_events.is_empty() || !self.pending_commands.is_empty() {
            return Some(now);
        }
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        let attempt = self.in_flight.next_due();
        let query = self.open_queries.next_overdue(self.overdue_grace());
        [timer, attempt, query].into_iter().flatten().min()
    }

    /// Time past a query's deadline after which the core fails it: half of the response grace.
    fn overdue_grace(&self) -> Duration {
        self.contracts.settings.response_grace / 2
    }

    /// Passes all events since the last step to the decision module and returns the commands for the host.
    pub fn step(&mut self, now: Time) -> Vec<Command> {
        self.fire_timers(now);
        self.time_out_attempts(now);
        self.withdraw_overdue_writes(now);
        let mut actions = Vec::new();
        if !self.pending_events.is_empty() {
            self.policy.step(now, self.pending_events.drain(..), &mut actions);
        }
        let mut calls = PendingCalls::default();
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

    /// Fails queries that the decision module has not completed in time, so that every query gets an outcome.
    fn fail_overdue(&mut self, now: Time) {
        for query in self.open_queries.overdue(now, self.overdue_grace()) {
            self.pending_events.push(Event::ClientDisconnected { id: query });
            self.pending_commands.push(Command::Log(format!(
                "query failed: the decision module did not complete it in time: query_id={}",
                query.0
            )));
            self.complete_query(now, query, Completion::FailOverdue);
        }
    }

    fn apply_action(&mut self, now: Time, action: Action, calls: &mut PendingCalls) {
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
                let number = self.next_sequence_number();
                self.timers.insert((now.after(after), number), timer);
            }
            // Never requested here: the endpoint list arrives without a subscription, and the settings do not allow
            // health checks.
            Action::SubscribeToEndpoints | Action::SendHealthCheck { .. } => {}
            Action::Log { text } => self.pending_commands.push(Command::Log(text)),
        }
    }
}
