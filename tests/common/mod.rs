//! Test support: a harness of the decision module that records its actions, real processes with fake peers,
//! fleets of either, and the platform's configuration.
#![allow(dead_code)] // no test program uses all of it

pub mod platform;
pub mod process;
pub mod proxied_fleet;
pub mod simulated_fleet;
pub mod upgrade_fixture;

use gatherer::Aggregator;
use gatherer::policy::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, CellId, Class, ClassId, Endpoint, EndpointStatus,
    EndpointUpdate, Event, Idempotency, JobId, NewPart, NewQuery, ReportField, ReportSource, RequestId,
    Settings, ShardId, Time, TimerId, WorkerId, ZoneId,
};
use std::sync::Arc;
use std::time::Duration;

/// Number of nanoseconds in a millisecond.
pub const MS: u64 = 1_000_000;

/// A duration in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Settings of one aggregator with one class and a single cell, so that every worker holds every shard.
pub fn settings() -> Settings {
    Settings {
        seed: 7,
        fleet_size: 1,
        classes: vec![class(Idempotency::Idempotent)],
        min_step_interval: ms(5),
        may_cancel: true,
        may_health_check: true,
        hedging_allowed: true,
        max_attempts: Some(3),
        cells: 1,
        cells_per_shard: 1,
        shards: 8,
        parts_per_call: 4,
        report_source: ReportSource::Responses,
        report_fields: vec![ReportField::Busy],
        cold_capacity_fraction: 0.2,
        warm_up: ms(10_000),
        slow_start_budget_factor: 2.0,
        slow_start_budget_window: ms(1000),
        response_grace: ms(20),
        ..Settings::default()
    }
}

/// A class with an objective of 1.5 s, a deadline of 5 s and no partial answers.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: ms(1500),
        objective_stretch: 0.0,
        deadline: ms(5000),
        idempotency,
        repeat_window: ms(1000),
        priority_weight: 1.0,
        late_weight: 0.0,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        partial_weight: 0.9,
        second_step_parts: 0,
    }
}

/// An entry of the endpoint list: a worker of one unit of capacity in zone 0 and cell 0. `started_at` is
/// `None` for a warm worker.
pub fn entry(worker: u32, status: EndpointStatus, started_at: Option<Time>) -> Endpoint {
    Endpoint { worker: WorkerId(worker), zone: ZoneId(0), cell: CellId(0), status, units: 1.0, started_at }
}

/// An endpoint list of these workers, all active and warm.
pub fn endpoint_list(workers: &[u32]) -> Arc<[Endpoint]> {
    workers.iter().map(|worker| entry(*worker, EndpointStatus::Active, None)).collect()
}

/// An attempt that the decision module sent (`Action::Send`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub worker: WorkerId,
    pub at: Time,
    pub timeout: Duration,
}

/// One aggregator (an instance of the decision module) under a clock that the test advances. The harness
/// records its actions.
pub struct AggregatorHarness {
    pub aggregator: Aggregator,
    pub now: Time,
    /// All attempts sent so far.
    pub sent: Vec<Sent>,
    /// Actions of the last step.
    pub actions: Vec<Action>,
    next_id: u64,
}

impl AggregatorHarness {
    /// Creates an aggregator that has received an endpoint list of these workers.
    pub fn new(settings: Settings, workers: &[u32]) -> AggregatorHarness {
        let mut harness = AggregatorHarness {
            aggregator: Aggregator::new(settings),
            now: Time(1_000_000 * MS),
            sent: Vec::new(),
            actions: Vec::new(),
            next_id: 1,
        };
        harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(workers)))]);
        harness
    }

    /// Runs one step at the current time with these events, and records its actions.
    pub fn step(&mut self, events: Vec<Event>) {
        self.actions.clear();
        self.aggregator.step(self.now, events, &mut self.actions);
        for action in &self.actions {
            if let Action::Send { id, worker, timeout } = action {
                let attempt = AttemptNo(self.sent.iter().filter(|sent| sent.id == *id).count() as u32);
                self.sent.push(Sent { id: *id, attempt, worker: *worker, at: self.now, timeout: *timeout });
            }
        }
    }

    /// Advances the clock by a number of milliseconds, and fires the timer every 10 ms.
    pub fn advance(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 10 {
            self.now = self.now.after(ms(10));
            self.step(vec![Event::TimerFired { timer: TimerId(0) }]);
        }
    }

    /// Submits a query of class 0 with one part for each shard. Returns the ids of the query and its parts.
    pub fn submit(&mut self, key: Option<&str>, shards: &[u32]) -> (RequestId, Vec<RequestId>) {
        let (query, parts, events) = self.new_query(key, shards);
        self.step(events);
        (query, parts)
    }

    /// Creates the events of a query of class 0 with one part for each shard. Returns the id of the query,
    /// the ids of its parts and the events.
    pub fn new_query(
        &mut self,
        key: Option<&str>,
        shards: &[u32],
    ) -> (RequestId, Vec<RequestId>, Vec<Event>) {
        let id = RequestId(self.next_id);
        let job = JobId(self.next_id);
        self.next_id += 1;
        let valid_until = self.now.after(ms(5000));
        let mut events = vec![Event::QueryReceived(NewQuery {
            id,
            class: ClassId(0),
            tenant: None,
            valid_until,
            job,
            is_retry: false,
        })];
        let mut parts = Vec::new();
        for shard in shards {
            let part = RequestId(self.next_id);
            self.next_id += 1;
            parts.push(part);
            events.push(Event::PartReceived(NewPart {
                id: part,
                key: key.map(Arc::from),
                cost_hint: Some(ms(100)),
                job,
                shard: ShardId(*shard),
                weight: 1.0 / shards.len() as f64,
            }));
        }
        (id, parts, events)
    }

    /// The event of an attempt that finishes now, with the utilization that its worker reports, if any.
    pub fn attempt_finished(&self, sent: Sent, outcome: AttemptOutcome, utilization: Option<f64>) -> Event {
        Event::AttemptFinished(AttemptResult {
            id: sent.id,
            attempt: sent.attempt,
            worker: sent.worker,
            outcome,
            elapsed: self.now.since(sent.at),
            part_finished: outcome == AttemptOutcome::Succeeded,
            load_report: utilization.map(|utilization| vec![Some(utilization)]),
        })
    }

    /// The attempt that was sent last.
    pub fn last_sent(&self) -> Sent {
        *self.sent.last().expect("an attempt was sent")
    }
}

/// The query's response in the last step: `Some(true)` if complete, `Some(false)` if partial, `None` if the
/// query was not answered.
pub fn answered(harness: &AggregatorHarness, id: RequestId) -> Option<bool> {
    harness.actions.iter().find_map(|action| match action {
        Action::Respond { id: responded, complete } if *responded == id => Some(*complete),
        _ => None,
    })
}

/// Whether a query was rejected in the last step.
pub fn rejected(harness: &AggregatorHarness, id: RequestId) -> bool {
    let is_rejection =
        |action: &Action| matches!(action, Action::Reject { id: rejected, .. } if *rejected == id);
    harness.actions.iter().any(is_rejection)
}

/// Whether a query was answered, rejected or failed in the last step.
pub fn ended(harness: &AggregatorHarness, id: RequestId) -> bool {
    harness.actions.iter().any(|action| match action {
        Action::Respond { id: ended, .. } | Action::Reject { id: ended, .. } | Action::Fail { id: ended } => {
            *ended == id
        }
        _ => false,
    })
}
