//! The turn: everything that has happened goes to the module at once, and what it decides becomes orders.

use super::Core;
use crate::api::*;
use crate::records::figures;
use crate::routing::attempt::{Dispatch, End, Ticket};
use crate::routing::in_flight::SentAttempt;
use crate::routing::open_queries::{OpenPart, OpenQuery};
use crate::routing::order::Order;
use crate::routing::query::{Refusal, Verdict};
use std::time::Duration;

/// The attempts that one turn sends, by worker.
#[derive(Default)]
struct Calls(Vec<(LeafId, Vec<Dispatch>)>);

impl Calls {
    fn add(&mut self, worker: LeafId, dispatch: Dispatch) {
        match self.0.iter_mut().find(|(to, _)| *to == worker) {
            Some((_, parts)) => parts.push(dispatch),
            None => self.0.push((worker, vec![dispatch])),
        }
    }

    /// Takes an attempt back that was called off in the turn that sent it: it never leaves.
    fn remove(&mut self, ticket: Ticket) {
        self.0.iter_mut().for_each(|(_, parts)| parts.retain(|part| part.ticket != ticket));
    }

    /// Calls of at most `most` parts each.
    fn into_orders(self, most: usize) -> Vec<Order> {
        let mut orders = Vec::new();
        for (worker, parts) in self.0 {
            let calls = parts.chunks(most).map(|parts| Order::Call { worker, parts: parts.to_vec() });
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
        self.contracts.settings.answer_grace / 2
    }

    /// Hands everything that has happened to the module in one turn, and returns what is to be done.
    pub fn turn(&mut self, now: Time) -> Vec<Order> {
        self.fire_timers(now);
        self.time_out_attempts(now);
        let mut actions = Vec::new();
        if !self.events.is_empty() {
            self.module.turn(now, self.events.drain(..), &mut actions);
        }
        let mut calls = Calls::default();
        for action in actions {
            self.carry_out(now, action, &mut calls);
        }
        let per_call = self.contracts.settings.per_call.max(1) as usize;
        self.orders.extend(calls.into_orders(per_call));
        self.fail_overdue(now);
        std::mem::take(&mut self.orders)
    }

    fn fire_timers(&mut self, now: Time) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let handle = entry.remove();
            self.events.push(Event::Due { handle });
        }
    }

    fn time_out_attempts(&mut self, now: Time) {
        for (ticket, sent) in self.in_flight.take_expired(now) {
            self.orders.push(Order::Abandon { worker: sent.worker, ticket });
            self.attempt_ended(now, ticket, &sent, End::bare(Outcome::TimedOut));
        }
    }

    /// Guards against a query that the module lets run past its client's time: it is failed, not lost.
    fn fail_overdue(&mut self, now: Time) {
        for query in self.open.overdue(now, self.overdue_grace()) {
            self.events.push(Event::ClientLeft { id: query });
            self.orders.push(Order::Trace(format!("query {} ran past its time", query.0)));
            self.settle(now, query, figures::End::FailedOverdue, |_| Verdict::Failed);
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, calls: &mut Calls) {
        match action {
            Action::Send { id, leaf, timeout } => self.send(now, id, leaf, timeout, calls),
            Action::Cancel { id, attempt } => self.cancel(now, Ticket { part: id, attempt }, calls),
            Action::Answer { id, whole } => self.answer(now, id, whole),
            Action::Refuse { id, pause } => {
                let refused = |_| Verdict::Refused { why: Refusal::Declined, pause };
                self.settle(now, id, figures::End::RefusedDeclined, refused);
            }
            Action::Fail { id } => {
                self.settle(now, id, figures::End::FailedGivenUp, |_| Verdict::Failed);
            }
            Action::Wake { after, handle } => {
                let number = self.number();
                self.timers.insert((now.after(after), number), handle);
            }
            // Membership comes unasked here, and probes are not allowed: the module does not ask for either.
            Action::Watch | Action::Probe { .. } => {}
            Action::Trace { text } => self.orders.push(Order::Trace(text)),
        }
    }

    fn send(&mut self, now: Time, id: RequestId, worker: LeafId, timeout: Duration, calls: &mut Calls) {
        let Some((part, query)) = self.open.part_with_query(id) else { return };
        let ticket = Ticket { part: id, attempt: AttemptNo(part.attempts) };
        part.attempts += 1;
        self.counters.sent += 1;
        self.counters.resent += u64::from(ticket.attempt.0 > 0);
        let timeout = timeout.min(query.valid_until.since(now));
        self.in_flight.insert(ticket, SentAttempt { worker, at: now, deadline: now.after(timeout) });
        let class = self.contracts.settings.classes.get(query.seen.class);
        let window = class.and_then(|class| window_left(now, class, part));
        part.possible_runs.insert(ticket.attempt, now);
        let (label, text) = (query.label.clone(), query.text.clone());
        let dispatch = Dispatch {
            ticket,
            label,
            shard: part.shard,
            text,
            timeout,
            at_most_once: query.at_most_once,
            window,
        };
        calls.add(worker, dispatch);
    }

    fn cancel(&mut self, now: Time, ticket: Ticket, calls: &mut Calls) {
        let Some(sent) = self.in_flight.remove(ticket) else { return };
        calls.remove(ticket);
        self.orders.push(Order::Abandon { worker: sent.worker, ticket });
        self.attempt_ended(now, ticket, &sent, End::bare(Outcome::Cancelled));
    }

    fn answer(&mut self, now: Time, query: RequestId, whole: bool) {
        let end = if whole { figures::End::WholeInTime } else { figures::End::Partial };
        self.settle(now, query, end, |parts| {
            let values = parts.into_iter().filter_map(|part| Some((part.shard, part.value?))).collect();
            Verdict::Answered { whole, values }
        });
    }

    /// Gives a query its one final answer; none if it has ended before.
    fn settle(
        &mut self,
        now: Time,
        query: RequestId,
        end: figures::End,
        verdict: impl FnOnce(Vec<OpenPart>) -> Verdict,
    ) {
        let Some((open, parts)) = self.close(query) else { return };
        let verdict = verdict(parts);
        let took = now.since(open.taken);
        let late = end == figures::End::WholeInTime && self.is_late(&open, took);
        self.count_end(open.seen, if late { figures::End::WholeLate } else { end }, took);
        *match &verdict {
            Verdict::Answered { whole: true, .. } => &mut self.counters.answered_whole,
            Verdict::Answered { whole: false, .. } => &mut self.counters.answered_part,
            Verdict::Refused { .. } => &mut self.counters.refused,
            Verdict::Failed => &mut self.counters.failed,
        } += 1;
        self.orders.push(Order::Settle { query, verdict });
    }

    /// Whether an answer after so much time is later than its class wants.
    fn is_late(&self, query: &OpenQuery, took: Duration) -> bool {
        let class = self.contracts.settings.classes.get(query.seen.class);
        class.is_some_and(|class| took > class.aim)
    }
}

/// For so long a further attempt of this part may still be written, where its class bounds that. Guards against a repeat
/// that waits for its connection until workers no longer drop it.
fn window_left(now: Time, class: &Class, part: &OpenPart) -> Option<Duration> {
    let first = part.possible_runs.values().min().filter(|_| class.effect == Effect::ByKey)?;
    Some(class.window.saturating_sub(now.since(*first)))
}
