//! The broker's state machine, without I/O or a clock: events go in, commands come out, and the time is an argument.
//!
//! [`Core`] owns the open queries, the attempts in flight, the worker list, the counters, and the decision module. This
//! file handles queries and reports of attempts, `core/writes.rs` the writing of attempts, `core/workers.rs` events
//! about workers and other gatherers.
//! `core/step.rs` passes them to the decision module as events; `core/dispatch.rs` and `core/completion.rs` apply its
//! actions.

mod completion;
mod dispatch;
mod step;
mod workers;
mod writes;

pub use writes::WriteRefused;

use super::attempt::{AttemptCompletion, AttemptId};
use super::command::Command;
use super::contracts::Contracts;
use super::counters::{ClassCounts, Counters, QueryCounts, outcome_name};
use super::in_flight::{InFlight, SentAttempt};
use super::invariants::{Invariant, Violations};
use super::open_queries::{OpenPart, OpenQueries, OpenQuery};
use super::query::{QueryOutcome, QueryPart, Rejection, SearchRequest};
use super::recent_runs::RecentRuns;
use super::worker_list::WorkerList;
use super::worker_states::WorkerStates;
use crate::Aggregator;
use crate::policy::{
    AttemptOutcome, AttemptResult, ClassId, Event, Idempotency, JobId, NewPart, NewQuery, RequestId,
    TenantId, Time, TimerId,
};
use crate::records::metrics::{MetricsAccumulator, QueryEnd, QueryLabels};
use crate::records::record::RecordBody;
use std::collections::BTreeMap;
use std::time::Duration;

/// State machine of one broker.
pub struct Core {
    contracts: Contracts,
    policy: Aggregator,
    /// Events for the decision module since the last step.
    pending_events: Vec<Event>,
    /// Commands that the next step returns.
    pending_commands: Vec<Command>,
    /// Timers of the decision module, by due time and a sequence number that makes keys of the same time unique.
    timers: BTreeMap<(Time, u64), TimerId>,
    open_queries: OpenQueries,
    /// Queries that have ended, may have run and may not run twice.
    recent_runs: RecentRuns,
    in_flight: InFlight,
    workers: WorkerList,
    /// Last number assigned to a query, a part or a timer.
    last_sequence_number: u64,
    /// Number of processes that run this gatherer and share its limits: two during a hot restart, else one.
    process_count: u32,
    /// Whether discovery has sent an endpoint list; a cached list does not count.
    has_discovery_list: bool,
    /// Counters since the start.
    pub counters: Counters,
    violations: Violations,
    class_counts: ClassCounts,
    /// Metrics by class, tenant and worker for the records; `None` if nothing is recorded.
    pub metrics: Option<MetricsAccumulator>,
    /// Changes of the worker list and of workers' states that the records do not contain yet. Empty if nothing is
    /// recorded.
    pub record_events: Vec<RecordBody>,
    recorded_states: WorkerStates,
}

impl Core {
    /// Creates a core without workers.
    #[must_use]
    pub fn new(contracts: Contracts) -> Core {
        Core {
            policy: Aggregator::new(contracts.settings.clone()),
            class_counts: ClassCounts::new(contracts.classes.len()),
            contracts,
            pending_events: Vec::new(),
            pending_commands: Vec::new(),
            timers: BTreeMap::new(),
            open_queries: OpenQueries::default(),
            recent_runs: RecentRuns::default(),
            in_flight: InFlight::default(),
            workers: WorkerList::default(),
            last_sequence_number: 1,
            process_count: 1,
            has_discovery_list: false,
            counters: Counters::default(),
            violations: Violations::default(),
            metrics: None,
            record_events: Vec::new(),
            recorded_states: WorkerStates::default(),
        }
    }

    /// Returns the configured contracts.
    #[must_use]
    pub fn contracts(&self) -> &Contracts {
        &self.contracts
    }

    /// Returns the number of queries that wait for their outcome.
    #[must_use]
    pub fn open_queries(&self) -> usize {
        self.open_queries.len()
    }

    /// Returns whether a query with this label is open.
    #[must_use]
    pub fn has_open_query(&self, label: &str) -> bool {
        self.open_queries.has_label(label)
    }

    /// Returns whether a query with this label has ended lately, may have run, and may not run twice.
    #[must_use]
    pub fn may_have_run(&self, now: Time, label: &str) -> bool {
        self.recent_runs.contains(now, label)
    }

    /// Returns the query counts of each class, in the order of [`Contracts::classes`].
    #[must_use]
    pub fn class_counts(&self) -> &[QueryCounts] {
        self.class_counts.all()
    }

    /// Returns how often each invariant was violated, or would have been without its check.
    #[must_use]
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Counts the violation of an invariant, or an attempted one that its check prevented.
    pub fn count_violation(&mut self, invariant: Invariant) {
        self.violations.record(invariant);
    }

    /// Counts a violation and logs it with the next step; `subject` names the query or attempt that caused it.
    fn report_violation(&mut self, invariant: Invariant, subject: &str) {
        self.count_violation(invariant);
        self.pending_commands.push(Command::LogViolation(invariant.violation_message(subject)));
    }

    fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Accepts a query. A later step returns its outcome as [`Command::Respond`].
    ///
    /// # Errors
    /// The outcome [`Rejection::AtCapacity`] if the limit of open queries and parts is reached.
    pub fn submit(&mut self, now: Time, request: SearchRequest) -> Result<RequestId, QueryOutcome> {
        self.counters.taken += 1;
        let labels = QueryLabels { class: request.class.0, tenant: request.tenant.map(|tenant| tenant.0) };
        self.class_counts.record_received(labels.class);
        if let Some(metrics) = &mut self.metrics {
            metrics.record_accepted(labels);
        }
        if self.is_at_capacity() {
            self.counters.refused_full += 1;
            self.record_end(labels, QueryEnd::RejectedAtCapacity, Duration::ZERO);
            let retry_after = self.contracts.settings.max_retry_after;
            return Err(QueryOutcome::Rejected { reason: Rejection::AtCapacity, retry_after });
        }
        Ok(self.open_query(now, labels, request))
    }

    /// Returns whether this process's share of `max_open_requests` is used up.
    fn is_at_capacity(&self) -> bool {
        self.open_queries.request_count()
            >= self.contracts.limits.max_open_requests / self.process_count as usize
    }

    /// Opens a query with its parts, and queues their events for the decision module.
    fn open_query(&mut self, now: Time, labels: QueryLabels, request: SearchRequest) -> RequestId {
        let SearchRequest { label, class, tenant, time_left, retry, payload, parts } = request;
        let number = self.next_sequence_number();
        let (id, job) = (RequestId(number), JobId(number));
        let valid_until = now.after(time_left);
        self.pending_events.push(Event::QueryReceived(NewQuery {
            id,
            class,
            tenant,
            valid_until,
            job,
            is_retry: retry,
        }));
        let parts = parts.into_iter().map(|part| self.open_part(id, job, part)).collect();
        let contract = self.contracts.settings.classes.get(labels.class);
        let at_most_once = contract.is_none_or(|contract| contract.idempotency != Idempotency::Idempotent);
        let query = OpenQuery { label, payload, at_most_once, valid_until, parts, labels, accepted_at: now };
        self.open_queries.insert(id, query);
        id
    }

    fn open_part(&mut self, query: RequestId, job: JobId, part: QueryPart) -> RequestId {
        let id = RequestId(self.next_sequence_number());
        let QueryPart { shard, weight, cost_hint, key } = part;
        self.pending_events.push(Event::PartReceived(NewPart { id, key, cost_hint, job, shard, weight }));
        self.open_queries.insert_part(id, OpenPart::new(query, shard, weight));
        id
    }

    /// Closes a query because its client has disconnected. Does nothing if the query has already ended.
    pub fn disconnect_client(&mut self, now: Time, id: RequestId) {
        if let Some((query, _)) = self.close_query(now, id) {
            self.counters.left += 1;
            self.record_end(query.labels, QueryEnd::ClientDisconnected, now.since(query.accepted_at));
            self.pending_events.push(Event::ClientDisconnected { id });
        }
    }

    /// Counts a query that a front rejected because the process is shutting down.
    pub fn reject_stopping(&mut self, class: ClassId, tenant: Option<TenantId>) {
        self.counters.refused_stopping += 1;
        let labels = QueryLabels { class: class.0, tenant: tenant.map(|tenant| tenant.0) };
        self.class_counts.record_received(labels.class);
        self.record_end(labels, QueryEnd::RejectedShuttingDown, Duration::ZERO);
    }

    /// Counts a query that was rejected before it was parsed, because its connection's descriptor could not become
    /// busy.
    pub fn reject_overloaded(&mut self, class: ClassId) {
        self.class_counts.record_received(class.0);
        self.class_counts.record_end(class.0, QueryEnd::RejectedAtCapacity);
    }

    /// Records the result of an attempt. Ignored if the attempt has already timed out or been cancelled.
    pub fn on_attempt_finished(&mut self, now: Time, attempt_id: AttemptId, completion: AttemptCompletion) {
        let Some(sent) = self.in_flight.remove(attempt_id) else { return };
        let missed_window = sent.write_deadline.is_some_and(|deadline| deadline <= now);
        if completion.outcome == AttemptOutcome::NotSent && missed_window {
            self.counters.unsent_past_window += 1;
        }
        self.finish_attempt(now, attempt_id, &sent, completion);
    }

    /// Counts an attempt that is no longer in flight, updates its part, and queues the event for the decision module.
    fn finish_attempt(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        sent: &SentAttempt,
        completion: AttemptCompletion,
    ) {
        let AttemptCompletion { outcome, value, load_report } = completion;
        let elapsed = now.since(sent.sent_at);
        self.counters.record_attempt(outcome);
        if let Some(metrics) = &mut self.metrics {
            let worker = self.workers.registry.name(sent.worker).unwrap_or_default();
            metrics.record_attempt(worker, outcome_name(outcome), elapsed);
        }
        let part = self.open_queries.part(attempt_id.part);
        let part_finished = outcome == AttemptOutcome::Succeeded || part.is_none();
        if let Some(part) = part {
            part.last_outcome = Some(outcome);
            if outcome.proves_unrun() {
                part.possible_runs.remove(&attempt_id.attempt);
            }
            if outcome == AttemptOutcome::Succeeded {
                part.value.get_or_insert(value);
            }
        }
        if outcome.proves_unrun() {
            self.limit_writes(now, attempt_id.part);
        }
        self.pending_events.push(Event::AttemptFinished(AttemptResult {
            id: attempt_id.part,
            attempt: attempt_id.attempt,
            worker: sent.worker,
            outcome,
            elapsed,
            part_finished,
            load_report,
        }));
    }

    /// Counts the end of a query.
    fn record_end(&mut self, labels: QueryLabels, end: QueryEnd, elapsed: Duration) {
        self.class_counts.record_end(labels.class, end);
        if let Some(metrics) = &mut self.metrics {
            metrics.record_end(labels, end, elapsed);
        }
    }

    /// Removes a query with its parts. Returns `None` if the query has already ended.
    fn close_query(&mut self, now: Time, id: RequestId) -> Option<(OpenQuery, Vec<OpenPart>)> {
        let (query, parts) = self.open_queries.remove(id)?;
        if query.at_most_once && parts.iter().any(OpenPart::may_have_run) {
            self.recent_runs.insert(now, &query.label);
        }
        if !self.contracts.settings.may_cancel {
            // The settings forbid the decision module to cancel attempts. Attempts that are not written yet are dropped
            // all the same, because nobody waits for the query any longer.
            let attempts = query.parts.iter().flat_map(|part| self.in_flight.attempts_of_part(*part));
            self.pending_commands.extend(attempts.map(|(attempt_id, sent)| Command::CancelIfUnsent {
                worker: sent.worker,
                attempt_id: *attempt_id,
            }));
        }
        Some((query, parts))
    }
}
