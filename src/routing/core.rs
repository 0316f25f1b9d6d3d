//! The life of queries without any I/O: events go in, commands come out, and the time is an argument.
//!
//! [`Core`] owns the open queries, the attempts in flight, the worker list, the counts, and the decision module. What the
//! fronts and the transport report is accepted here, what concerns workers and other gatherers in `core/workers.rs`.
//! `core/step.rs` hands all of it to the module, whose actions `core/dispatch.rs` and `core/completion.rs` carry out.

mod completion;
mod dispatch;
mod step;
mod workers;

use super::attempt::{AttemptCompletion, AttemptId};
use super::command::Command;
use super::contracts::Contracts;
use super::counters::{ClassCounts, Counters, QueryCounts, outcome_name};
use super::in_flight::{InFlight, SentAttempt};
use super::invariants::{Invariant, Violations};
use super::open_queries::{OpenPart, OpenQueries, OpenQuery};
use super::query::{QueryOutcome, QueryPart, Rejection, SearchRequest};
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

/// The state of one broker.
pub struct Core {
    contracts: Contracts,
    policy: Aggregator,
    /// What has happened since the last step, for the decision module.
    pending_events: Vec<Event>,
    /// Commands of the next step that do not come from the decision module.
    pending_commands: Vec<Command>,
    /// The decision module's timers, by due time and a number that keeps two of one time apart.
    timers: BTreeMap<(Time, u64), TimerId>,
    open_queries: OpenQueries,
    in_flight: InFlight,
    workers: WorkerList,
    /// The last number that was given to a query, a part or a timer.
    last_number: u64,
    /// Processes that are this one gatherer and share its limits.
    process_count: u32,
    /// Discovery itself has sent a list, as opposed to a cached one.
    has_discovery_list: bool,
    /// What it has counted so far.
    pub counters: Counters,
    violations: Violations,
    class_counts: ClassCounts,
    /// Counts by class, tenant and worker for the records; `None` where nothing is recorded.
    pub metrics: Option<MetricsAccumulator>,
    /// Changes of the worker list and of workers' states for the records, since they were last taken. It stays empty where
    /// nothing is recorded.
    pub record_events: Vec<RecordBody>,
    recorded_states: WorkerStates,
}

impl Core {
    /// A core that knows no workers yet.
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
            in_flight: InFlight::default(),
            workers: WorkerList::default(),
            last_number: 1,
            process_count: 1,
            has_discovery_list: false,
            counters: Counters::default(),
            violations: Violations::default(),
            metrics: None,
            record_events: Vec::new(),
            recorded_states: WorkerStates::default(),
        }
    }

    /// The contracts that it serves.
    #[must_use]
    pub fn contracts(&self) -> &Contracts {
        &self.contracts
    }

    /// The number of queries that wait for their outcome.
    #[must_use]
    pub fn open_queries(&self) -> usize {
        self.open_queries.len()
    }

    /// Whether a query of this label is open.
    #[must_use]
    pub fn has_open_query(&self, label: &str) -> bool {
        self.open_queries.has_label(label)
    }

    /// How the queries of each class ended, in the order of the contracts.
    #[must_use]
    pub fn class_counts(&self) -> &[QueryCounts] {
        self.class_counts.all()
    }

    /// How often each invariant was broken, or would have been without its check.
    #[must_use]
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Counts an invariant that was broken, or would have been without its check.
    pub fn count_violation(&mut self, invariant: Invariant) {
        self.violations.record(invariant);
    }

    /// Counts a violation and has it logged; `subject` names what broke the invariant.
    fn report_violation(&mut self, invariant: Invariant, subject: &str) {
        self.count_violation(invariant);
        self.pending_commands.push(Command::LogViolation(invariant.violation_message(subject)));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Accepts a query. Its outcome follows as [`Command::Respond`].
    ///
    /// # Errors
    /// The outcome itself, where the query is rejected at once because as many as may be are open.
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

    /// Whether as many queries and parts are open as this process may hold.
    fn is_at_capacity(&self) -> bool {
        self.open_queries.size() >= self.contracts.limits.max_open_requests / self.process_count as usize
    }

    /// Opens a query and its parts, and hands them to the decision module.
    fn open_query(&mut self, now: Time, labels: QueryLabels, request: SearchRequest) -> RequestId {
        let SearchRequest { label, class, tenant, time_left, retry, payload, parts } = request;
        let number = self.next_number();
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
        let id = RequestId(self.next_number());
        let QueryPart { shard, weight, cost_hint, key } = part;
        self.pending_events.push(Event::PartReceived(NewPart { id, key, cost_hint, job, shard, weight }));
        self.open_queries.insert_part(id, OpenPart::new(query, shard, weight));
        id
    }

    /// The client of a query has disconnected.
    pub fn disconnect_client(&mut self, now: Time, id: RequestId) {
        if let Some((query, _)) = self.close(id) {
            self.counters.left += 1;
            self.record_end(query.labels, QueryEnd::ClientDisconnected, now.since(query.accepted_at));
            self.pending_events.push(Event::ClientDisconnected { id });
        }
    }

    /// Counts a query that a front rejected because the process is stopping.
    pub fn reject_stopping(&mut self, class: ClassId, tenant: Option<TenantId>) {
        self.counters.refused_stopping += 1;
        let labels = QueryLabels { class: class.0, tenant: tenant.map(|tenant| tenant.0) };
        self.class_counts.record_received(labels.class);
        self.record_end(labels, QueryEnd::RejectedShuttingDown, Duration::ZERO);
    }

    /// Counts a query whose connection was closed without reading it, because no connection could be spared for it.
    pub fn reject_unread(&mut self, class: ClassId) {
        self.class_counts.record_received(class.0);
        self.class_counts.record_end(class.0, QueryEnd::RejectedAtCapacity);
    }

    /// Counts attempts whose last byte has been written.
    pub fn count_written(&mut self, attempts: usize) {
        self.counters.written += attempts as u64;
    }

    /// An attempt has finished. One that was timed out or cancelled before is ignored.
    pub fn on_attempt_finished(&mut self, now: Time, attempt_id: AttemptId, completion: AttemptCompletion) {
        let Some(sent) = self.in_flight.remove(attempt_id) else { return };
        self.finish_attempt(now, attempt_id, &sent, completion);
    }

    /// Accounts for an attempt that is no longer in flight, and reports it to the decision module.
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

    /// Counts how a query ended.
    fn record_end(&mut self, labels: QueryLabels, end: QueryEnd, elapsed: Duration) {
        self.class_counts.record_end(labels.class, end);
        if let Some(metrics) = &mut self.metrics {
            metrics.record_end(labels, end, elapsed);
        }
    }

    /// Removes a query with its parts; `None` if it has ended before.
    fn close(&mut self, id: RequestId) -> Option<(OpenQuery, Vec<OpenPart>)> {
        let (query, parts) = self.open_queries.remove(id)?;
        if !self.contracts.settings.may_cancel {
            // The decision module may not cancel attempts here. What is not written yet is still not sent for a query that
            // nobody waits for.
            let attempts = query.parts.iter().flat_map(|part| self.in_flight.of_part(*part));
            self.pending_commands.extend(attempts.map(|(attempt_id, sent)| Command::CancelIfUnsent {
                worker: sent.worker,
                attempt_id: *attempt_id,
            }));
        }
        Some((query, parts))
    }
}
