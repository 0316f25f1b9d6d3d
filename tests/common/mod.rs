//! What tests share: the decision module under test with its actions recorded, real processes, fleets of
//! both, and the platform's configuration.
#![allow(dead_code)] // each test file uses a part of this

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

/// Nanoseconds of a millisecond.
pub const MS: u64 = 1_000_000;

/// A span in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Settings in which every worker holds every shard.
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

/// A class with an objective of 1.5 s and a deadline of 5 s, answered only completely.
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

/// An entry of the endpoint list: a worker of one core in zone 0 and cell 0.
pub fn entry(worker: u32, status: EndpointStatus, started_at: Option<Time>) -> Endpoint {
    Endpoint { worker: WorkerId(worker), zone: ZoneId(0), cell: CellId(0), status, units: 1.0, started_at }
}

/// An endpoint list of these workers, all active and warm.
pub fn endpoint_list(workers: &[u32]) -> Arc<[Endpoint]> {
    workers.iter().map(|worker| entry(*worker, EndpointStatus::Active, None)).collect()
}

/// A dispatch that the decision module asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub worker: WorkerId,
    pub at: Time,
    pub timeout: Duration,
}

/// The decision module of one aggregator; it records what the module asks for.
pub struct AggregatorHarness {
    pub aggregator: Aggregator,
    pub now: Time,
    /// Every dispatch so far.
    pub sent: Vec<Sent>,
    /// The actions of the last step.
    pub actions: Vec<Action>,
    next_id: u64,
}

impl AggregatorHarness {
    /// An aggregator that has received a list of these workers.
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

    /// Runs a step of the module now, and records what it asks for.
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

    /// Advances time by a span in milliseconds, in steps of 10 ms, as the module's own timer would.
    pub fn advance(&mut self, span: u64) {
        for _ in 0..span / 10 {
            self.now = self.now.after(ms(10));
            self.step(vec![Event::TimerFired { timer: TimerId(0) }]);
        }
    }

    /// Submits a query of class 0 with one part for each shard; returns its id and its parts'.
    pub fn submit(&mut self, key: Option<&str>, shards: &[u32]) -> (RequestId, Vec<RequestId>) {
        let (query, parts, events) = self.new_query(key, shards);
        self.step(events);
        (query, parts)
    }

    /// The events of a query of class 0 with one part for each shard; returns its id, its parts' and the
    /// events.
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

    /// The event that an attempt finishes now, with the utilization that its worker reports.
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

    /// The last dispatch.
    pub fn last_sent(&self) -> Sent {
        *self.sent.last().expect("something was dispatched")
    }
}

/// Whether a query was answered in the last step, and if so, whether the answer was complete.
pub fn answered(harness: &AggregatorHarness, id: RequestId) -> Option<bool> {
    harness.actions.iter().find_map(|action| match action {
        Action::Respond { id: of, complete } if *of == id => Some(*complete),
        _ => None,
    })
}

/// Whether a query was rejected in the last step.
pub fn rejected(harness: &AggregatorHarness, id: RequestId) -> bool {
    harness.actions.iter().any(|action| matches!(action, Action::Reject { id: of, .. } if *of == id))
}

/// Whether a query ended in the last step.
pub fn ended(harness: &AggregatorHarness, id: RequestId) -> bool {
    harness.actions.iter().any(|action| match action {
        Action::Respond { id: of, .. } | Action::Reject { id: of, .. } | Action::Fail { id: of } => *of == id,
        _ => false,
    })
}
