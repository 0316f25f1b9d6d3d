//! The life of queries without any input or output: events go in, orders come out, time is handed in.
//!
//! [`Core`] joins the parts: the queries that are open, the attempts in flight, the list of workers, the counts, and the
//! module that decides. What comes in is taken here and in `core/workers.rs`; `core/turn.rs` hands it to the module and
//! carries out what that decides.

mod turn;
mod workers;

use super::attempt::{AttemptCompletion, AttemptId};
use super::command::Command;
use super::contracts::Contracts;
use super::counters::{ClassEnds, Counters, QueryCounts, outcome_name};
use super::in_flight::{InFlight, SentAttempt};
use super::invariants::{Invariant, Violations};
use super::open_queries::{OpenPart, OpenQueries, OpenQuery};
use super::query::{QueryOutcome, QueryPart, Rejection, SearchRequest};
use super::worker_list::WorkerList;
use super::worker_states::WorkerStates;
use crate::Aggregator;
use crate::policy::*;
use crate::records::metrics::{self, MetricsAccumulator, QueryLabels};
use crate::records::record::RecordBody;
use std::collections::BTreeMap;
use std::time::Duration;

/// One broker's state.
pub struct Core {
    contracts: Contracts,
    module: Aggregator,
    /// What has happened since the last turn, for the module.
    events: Vec<Event>,
    /// What is to be done beside what the module decides.
    orders: Vec<Command>,
    timers: BTreeMap<(Time, u64), TimerId>,
    open: OpenQueries,
    in_flight: InFlight,
    workers: WorkerList,
    /// The last number that was given to a query, a part or a timer.
    last_number: u64,
    /// Processes of this gatherer, which share its limits.
    processes: u32,
    /// Discovery itself has told a list.
    heard_discovery: bool,
    /// What it has counted so far.
    pub counters: Counters,
    /// How often each rule was broken, or would have been.
    violations: Violations,
    /// How the queries of each class ended.
    ends: ClassEnds,
    /// The same by class, tenant and worker, for the records; `None` where there are none.
    pub metrics: Option<MetricsAccumulator>,
    /// What has changed since it was last read, for the records; nothing where there are none.
    pub record_events: Vec<RecordBody>,
    /// How each listed worker was last told of.
    states: WorkerStates,
}

impl Core {
    /// A broker that knows no workers yet.
    pub fn new(contracts: Contracts) -> Core {
        Core {
            module: Aggregator::new(contracts.settings.clone()),
            ends: ClassEnds::new(contracts.classes.len()),
            contracts,
            events: Vec::new(),
            orders: Vec::new(),
            timers: BTreeMap::new(),
            open: OpenQueries::default(),
            in_flight: InFlight::default(),
            workers: WorkerList::default(),
            last_number: 1,
            processes: 1,
            heard_discovery: false,
            counters: Counters::default(),
            violations: Violations::default(),
            metrics: None,
            record_events: Vec::new(),
            states: WorkerStates::default(),
        }
    }

    /// The contracts that it serves.
    pub fn contracts(&self) -> &Contracts {
        &self.contracts
    }

    /// Queries that wait for their answer.
    pub fn open_queries(&self) -> usize {
        self.open.len()
    }

    /// Whether a query of this label is open.
    pub fn has_open_query(&self, label: &str) -> bool {
        self.open.has_label(label)
    }

    /// How the queries of each class ended, in the order of the contracts.
    pub fn class_counts(&self) -> &[QueryCounts] {
        self.ends.all()
    }

    /// How often each rule was broken, or would have been.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// A rule was broken, or would have been.
    pub fn count_violation(&mut self, invariant: Invariant) {
        self.violations.record(invariant);
    }

    /// A rule was broken, or would have been: counts it, and has it told with what it concerns.
    pub(super) fn violated(&mut self, invariant: Invariant, concerns: &str) {
        self.count_violation(invariant);
        self.orders
            .push(Command::LogViolation(format!("invariant {} is broken: {concerns}", invariant.name())));
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Takes a query in. Its answer comes as [`Command::Settle`].
    pub fn submit(&mut self, now: Time, ask: SearchRequest) -> Result<RequestId, QueryOutcome> {
        self.counters.taken += 1;
        let seen = QueryLabels { class: ask.class.0, tenant: ask.tenant.map(|tenant| tenant.0) };
        self.ends.came(seen.class);
        if let Some(figures) = &mut self.metrics {
            figures.record_accepted(seen);
        }
        if self.is_full() {
            self.counters.refused_full += 1;
            self.count_end(seen, metrics::QueryEnd::RejectedAtCapacity, Duration::ZERO);
            let pause = self.contracts.settings.max_retry_after;
            return Err(QueryOutcome::Rejected { reason: Rejection::AtCapacity, retry_after: pause });
        }
        Ok(self.open_query(now, seen, ask))
    }

    /// Whether as many queries and parts are open as this process may hold.
    fn is_full(&self) -> bool {
        self.open.size() >= self.contracts.limits.max_open_requests / self.processes as usize
    }

    /// Opens a query and its parts, and tells the module of them.
    fn open_query(&mut self, now: Time, seen: QueryLabels, ask: SearchRequest) -> RequestId {
        let number = self.number();
        let (id, job) = (RequestId(number), JobId(number));
        let valid_until = now.after(ask.time_left);
        let (class, tenant, retry) = (ask.class, ask.tenant, ask.retry);
        self.events.push(Event::QueryReceived(NewQuery {
            id,
            class,
            tenant,
            valid_until,
            job,
            is_retry: retry,
        }));
        let mut parts = Vec::with_capacity(ask.parts.len());
        for part in ask.parts {
            parts.push(self.open_part(id, job, part));
        }
        let class = self.contracts.settings.classes.get(seen.class);
        let at_most_once = class.is_none_or(|class| class.idempotency != Idempotency::Idempotent);
        let (label, text) = (ask.label, ask.payload);
        self.open.insert(id, OpenQuery { label, text, at_most_once, valid_until, parts, seen, taken: now });
        id
    }

    fn open_part(&mut self, query: RequestId, job: JobId, part: QueryPart) -> RequestId {
        let id = RequestId(self.number());
        let QueryPart { shard, weight, cost_hint: hint, key } = part;
        self.events.push(Event::PartReceived(NewPart { id, key, cost_hint: hint, job, shard, weight }));
        self.open.insert_part(id, OpenPart::new(query, shard, weight));
        id
    }

    /// The client of a query has gone away.
    pub fn client_left(&mut self, now: Time, id: RequestId) {
        if let Some((query, _)) = self.close(id) {
            self.counters.left += 1;
            self.count_end(query.seen, metrics::QueryEnd::ClientDisconnected, now.since(query.taken));
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    /// A query came too late to be taken: the process is stopping.
    pub fn reject_stopping(&mut self, class: ClassId, tenant: Option<TenantId>) {
        self.counters.refused_stopping += 1;
        let seen = QueryLabels { class: class.0, tenant: tenant.map(|tenant| tenant.0) };
        self.ends.came(seen.class);
        self.count_end(seen, metrics::QueryEnd::RejectedShuttingDown, Duration::ZERO);
    }

    /// A query came for which there was no firm place; it was turned away unread.
    pub fn reject_unread(&mut self, class: ClassId) {
        self.ends.came(class.0);
        self.ends.ended(class.0, metrics::QueryEnd::RejectedAtCapacity);
    }

    /// So many attempts have been written to their worker, to the last byte.
    pub fn count_written(&mut self, attempts: usize) {
        self.counters.written += attempts as u64;
    }

    /// An attempt has ended. One that was timed out or called off before is not heard again.
    pub fn on_attempt_finished(&mut self, now: Time, ticket: AttemptId, end: AttemptCompletion) {
        let Some(sent) = self.in_flight.remove(ticket) else { return };
        self.attempt_ended(now, ticket, &sent, end);
    }

    /// Books the end of an attempt that is no longer in flight, and tells the module of it.
    fn attempt_ended(&mut self, now: Time, ticket: AttemptId, sent: &SentAttempt, end: AttemptCompletion) {
        let AttemptCompletion { outcome, value, load_report: report } = end;
        let elapsed = now.since(sent.at);
        self.counters.ended(outcome);
        if let Some(figures) = &mut self.metrics {
            let name = self.workers.registry.name(sent.worker).unwrap_or_default();
            figures.record_attempt(name, outcome_name(outcome), elapsed);
        }
        let part = self.open.part(ticket.part);
        let over = outcome == AttemptOutcome::Succeeded || part.is_none();
        if let Some(part) = part {
            part.last_outcome = Some(outcome);
            if outcome.proves_unrun() {
                part.possible_runs.remove(&ticket.attempt);
            }
            if outcome == AttemptOutcome::Succeeded {
                part.value.get_or_insert(value);
            }
        }
        let (id, attempt, leaf) = (ticket.part, ticket.attempt, sent.worker);
        self.events.push(Event::AttemptFinished(AttemptResult {
            id,
            attempt,
            worker: leaf,
            outcome,
            elapsed,
            part_finished: over,
            load_report: report,
        }));
    }

    /// Counts the end of a query.
    fn count_end(&mut self, seen: QueryLabels, end: metrics::QueryEnd, took: Duration) {
        self.ends.ended(seen.class, end);
        if let Some(figures) = &mut self.metrics {
            figures.record_end(seen, end, took);
        }
    }

    /// Ends a query here; `None` if it has ended before. Its parts go with it.
    fn close(&mut self, id: RequestId) -> Option<(OpenQuery, Vec<OpenPart>)> {
        let (query, parts) = self.open.remove(id)?;
        if !self.contracts.settings.may_cancel {
            // Guards against sending on for a client that has gone, where the module may not call an attempt off.
            let out = query.parts.iter().flat_map(|part| self.in_flight.of_part(*part));
            let withdraw = out
                .map(|(ticket, sent)| Command::CancelIfUnsent { worker: sent.worker, attempt_id: *ticket });
            self.orders.extend(withdraw);
        }
        Some((query, parts))
    }
}
