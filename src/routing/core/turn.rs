//! The turn: everything that has happened goes to the module at once, and what it decides becomes orders.

use super::Core;
use crate::policy::*;
use crate::records::metrics;
use crate::routing::attempt::{AttemptCompletion, AttemptId, Dispatch};
use crate::routing::command::Command;
use crate::routing::in_flight::SentAttempt;
use crate::routing::invariants::{Invariant, SendCheck, SendPermit, check_answer, check_rejection, share_in};
use crate::routing::open_queries::{OpenPart, OpenQuery};
use crate::routing::query::{QueryOutcome, Rejection};
use std::time::Duration;

/// An answer may be so much later than the rules' grace: time in which a process may be held up.
const LATE_SLACK: Duration = Duration::from_millis(200);

/// How a query ends.
#[derive(Clone, Copy)]
enum Ending {
    Answer {
        whole: bool,
    },
    Refuse {
        pause: Option<Duration>,
    },
    Fail,
    /// The module had not ended it by its client's time.
    FailOverdue,
}

impl Ending {
    fn verdict(self, parts: Vec<OpenPart>) -> QueryOutcome {
        match self {
            Ending::Answer { whole } => {
                let values = parts.into_iter().filter_map(|part| Some((part.shard, part.value?))).collect();
                QueryOutcome::Answered { complete: whole, values }
            }
            Ending::Refuse { pause } => {
                QueryOutcome::Rejected { reason: Rejection::Declined, retry_after: pause }
            }
            Ending::Fail | Ending::FailOverdue => QueryOutcome::Failed,
        }
    }
}

/// The attempts that one turn sends, by worker.
#[derive(Default)]
struct Calls(Vec<(WorkerId, Vec<Dispatch>)>);

impl Calls {
    fn add(&mut self, worker: WorkerId, dispatch: Dispatch) {
        match self.0.iter_mut().find(|(to, _)| *to == worker) {
            Some((_, parts)) => parts.push(dispatch),
            None => self.0.push((worker, vec![dispatch])),
        }
    }

    /// Takes an attempt back that was called off in the turn that sent it: it never leaves.
    fn remove(&mut self, ticket: AttemptId) {
        self.0.iter_mut().for_each(|(_, parts)| parts.retain(|part| part.attempt_id != ticket));
    }

    /// Calls of at most `most` parts each.
    fn into_orders(self, most: usize) -> Vec<Command> {
        let mut orders = Vec::new();
        for (worker, parts) in self.0 {
            let calls = parts.chunks(most).map(|parts| Command::Call { worker, parts: parts.to_vec() });
            orders.extend(calls);
        }
        orders
    }
}

impl Core {
    /// When [`Core::turn`] is next to be called, if nothing happens before.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        if !self.events.is_empty() || !self.orders.is_empty() {
            return Some(now);
        }
        let timers = self.timers.keys().next().map(|(at, _)| *at);
        let attempts = self.in_flight.next_deadline();
        let queries = self.open.next_overdue(self.overdue_grace());
        [timers, attempts, queries].into_iter().flatten().min()
    }

    /// How long after its client's time a query may still be answered by the module.
    fn overdue_grace(&self) -> Duration {
        self.contracts.settings.response_grace / 2
    }

    /// Hands everything that has happened to the module in one turn, and returns what is to be done.
    pub fn step(&mut self, now: Time) -> Vec<Command> {
        self.fire_timers(now);
        self.time_out_attempts(now);
        let mut actions = Vec::new();
        if !self.events.is_empty() {
            self.module.step(now, self.events.drain(..), &mut actions);
        }
        let mut calls = Calls::default();
        for action in actions {
            self.carry_out(now, action, &mut calls);
        }
        let per_call = self.contracts.settings.parts_per_call.max(1) as usize;
        self.orders.extend(calls.into_orders(per_call));
        self.fail_overdue(now);
        std::mem::take(&mut self.orders)
    }

    fn fire_timers(&mut self, now: Time) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let handle = entry.remove();
            self.events.push(Event::TimerFired { timer: handle });
        }
    }

    fn time_out_attempts(&mut self, now: Time) {
        for (ticket, sent) in self.in_flight.take_expired(now) {
            self.orders.push(Command::Cancel { worker: sent.worker, attempt_id: ticket });
            self.attempt_ended(
                now,
                ticket,
                &sent,
                AttemptCompletion::without_value(AttemptOutcome::TimedOut),
            );
        }
    }

    /// Guards against a query that the module lets run past its client's time: it is failed, not lost.
    fn fail_overdue(&mut self, now: Time) {
        for query in self.open.overdue(now, self.overdue_grace()) {
            self.events.push(Event::ClientDisconnected { id: query });
            self.orders.push(Command::Log(format!("query {} ran past its time", query.0)));
            self.settle(now, query, Ending::FailOverdue);
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, calls: &mut Calls) {
        match action {
            Action::Send { id, worker: leaf, timeout } => self.send(now, id, leaf, timeout, calls),
            Action::Cancel { id, attempt } => self.cancel(now, AttemptId { part: id, attempt }, calls),
            Action::Respond { id, complete: whole } => self.settle(now, id, Ending::Answer { whole }),
            Action::Reject { id, retry_after: pause } => self.settle(now, id, Ending::Refuse { pause }),
            Action::Fail { id } => self.settle(now, id, Ending::Fail),
            Action::SetTimer { after, timer: handle } => {
                let number = self.number();
                self.timers.insert((now.after(after), number), handle);
            }
            // Membership comes unasked here, and probes are not allowed: the module does not ask for either.
            Action::SubscribeToEndpoints | Action::SendHealthCheck { .. } => {}
            Action::Log { text } => self.orders.push(Command::Log(text)),
        }
    }

    /// The one way by which attempts leave. What would break a rule stays here, and ends as never sent.
    fn send(&mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Duration, calls: &mut Calls) {
        let permit = self.permit(now, id, worker, timeout);
        let Some((part, query)) = self.open.part_with_query(id) else { return };
        let ticket = AttemptId { part: id, attempt: AttemptNo(part.attempts) };
        part.attempts += 1;
        self.counters.sent += 1;
        self.counters.resent += u64::from(ticket.attempt.0 > 0);
        part.possible_runs.insert(ticket.attempt, now);
        let (label, shard) = (query.label.clone(), part.shard);
        let permit = match permit {
            Ok(permit) => permit,
            Err(broken) => {
                return self.withhold(now, ticket, worker, broken, &format!("{label}.{}", shard.0));
            }
        };
        let (text, at_most_once) = (query.text.clone(), query.at_most_once);
        self.count_repeat(ticket);
        self.in_flight.insert(ticket, SentAttempt { worker, at: now, deadline: permit.deadline() });
        calls.add(worker, Dispatch { attempt_id: ticket, label, shard, payload: text, at_most_once, permit });
    }

    /// The right to send an attempt, or the rule that it would break.
    fn permit(
        &mut self,
        now: Time,
        id: RequestId,
        worker: WorkerId,
        timeout: Duration,
    ) -> Result<SendPermit, Invariant> {
        let worker_serves = self.workers.serves(worker);
        let is_out = self.in_flight.of_part(id).next().is_some();
        let settings = &self.contracts.settings;
        let (part, query) = self.open.part_with_query(id).ok_or(Invariant::SentBeforeDeadline)?;
        let class = settings.classes.get(query.seen.class).ok_or(Invariant::SentBeforeDeadline)?;
        let sending = SendCheck {
            now,
            class,
            valid_until: query.valid_until,
            worker_serves,
            previous_attempts: part.attempts,
            first_possible_run: part.possible_runs.values().min().copied(),
            has_attempt_in_flight: is_out,
            may_hedge: settings.hedging_allowed,
            max_attempts: settings.max_attempts,
        };
        sending.permit(timeout)
    }

    /// Ends an attempt that would break a rule as one that was never sent.
    fn withhold(&mut self, now: Time, ticket: AttemptId, worker: WorkerId, broken: Invariant, part: &str) {
        let name = self.workers.registry.name(worker).unwrap_or("of no name");
        let concerns = format!("attempt {} of part {part} to worker {name}", ticket.attempt.0);
        self.violated(broken, &concerns);
        let sent = SentAttempt { worker, at: now, deadline: now };
        self.attempt_ended(now, ticket, &sent, AttemptCompletion::without_value(AttemptOutcome::NotSent));
    }

    /// Counts why an attempt follows another.
    fn count_repeat(&mut self, ticket: AttemptId) {
        if ticket.attempt.0 == 0 {
            return;
        }
        let is_out = self.in_flight.of_part(ticket.part).next().is_some();
        let before = self.open.part(ticket.part).and_then(|part| part.last_outcome);
        *match before {
            _ if is_out => &mut self.counters.resent_hedged,
            Some(outcome) if outcome.proves_unrun() => &mut self.counters.resent_unrun,
            _ => &mut self.counters.resent_failed,
        } += 1;
    }

    fn cancel(&mut self, now: Time, ticket: AttemptId, calls: &mut Calls) {
        let Some(sent) = self.in_flight.remove(ticket) else { return };
        calls.remove(ticket);
        self.orders.push(Command::Cancel { worker: sent.worker, attempt_id: ticket });
        self.attempt_ended(now, ticket, &sent, AttemptCompletion::without_value(AttemptOutcome::Cancelled));
    }

    /// Gives a query its one final answer; none if it has ended before.
    fn settle(&mut self, now: Time, query: RequestId, ending: Ending) {
        let Some((open, parts)) = self.close(query) else { return };
        let ending = self.hold_to_rules(now, &open, &parts, ending);
        let took = now.since(open.taken);
        self.count_end(open.seen, self.end_of(&open, ending, took), took);
        *match ending {
            Ending::Answer { whole: true } => &mut self.counters.answered_whole,
            Ending::Answer { whole: false } => &mut self.counters.answered_part,
            Ending::Refuse { .. } => &mut self.counters.refused,
            Ending::Fail | Ending::FailOverdue => &mut self.counters.failed,
        } += 1;
        self.orders.push(Command::Respond { query, outcome: ending.verdict(parts) });
    }

    /// The one guard on ending a query: what would break a rule ends as the nearest that does not.
    fn hold_to_rules(&mut self, now: Time, query: &OpenQuery, parts: &[OpenPart], ending: Ending) -> Ending {
        let latest = query.valid_until.after(self.contracts.settings.response_grace + LATE_SLACK);
        if now > latest {
            let late = now.since(query.valid_until).as_millis();
            self.violated(Invariant::EndedInTime, &format!("query {} ends {late} ms late", query.label));
        }
        let Some(class) = self.contracts.settings.classes.get(query.seen.class) else { return Ending::Fail };
        let checked = match ending {
            Ending::Answer { whole } => check_answer(class, share_in(parts), whole),
            Ending::Refuse { .. } => {
                check_rejection(class, parts.iter().any(|part| !part.possible_runs.is_empty()))
            }
            Ending::Fail | Ending::FailOverdue => Ok(()),
        };
        let Err(broken) = checked else { return ending };
        self.violated(broken, &format!("query {}", query.label));
        match broken {
            Invariant::CompleteMarkedTruly => Ending::Answer { whole: false },
            _ => Ending::Fail,
        }
    }

    /// How an ending is counted.
    fn end_of(&self, query: &OpenQuery, ending: Ending, took: Duration) -> metrics::QueryEnd {
        match ending {
            Ending::Answer { whole: true } if self.is_late(query, took) => metrics::QueryEnd::CompleteLate,
            Ending::Answer { whole: true } => metrics::QueryEnd::CompleteInTime,
            Ending::Answer { whole: false } => metrics::QueryEnd::Partial,
            Ending::Refuse { .. } => metrics::QueryEnd::RejectedByPolicy,
            Ending::Fail => metrics::QueryEnd::FailedAbandoned,
            Ending::FailOverdue => metrics::QueryEnd::FailedDeadlineExceeded,
        }
    }

    /// Whether an answer after so much time is later than its class wants.
    fn is_late(&self, query: &OpenQuery, took: Duration) -> bool {
        let class = self.contracts.settings.classes.get(query.seen.class);
        class.is_some_and(|class| took > class.latency_objective)
    }
}
