//! The serialised form of the decision module's snapshot, which is part of the hand-over message. Versions
//! of the gatherer that follow each other in a hot restart must agree on it.

use gatherer::Aggregator;
use gatherer::policy::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Endpoint, EndpointUpdate, Event,
    Idempotency, JobId, NewPart, NewQuery, PolicySnapshot, RequestId, Settings, ShardId, Tenant, TenantId,
    Time, WorkerId,
};
use serde_json::Value;
use std::time::Duration;

/// The time of the first step, in nanoseconds.
const START_NS: u64 = 1_000_000_000;
/// The time between queries, in nanoseconds.
const QUERY_INTERVAL_NS: u64 = 50_000_000;
/// The time that each attempt takes.
const ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Settings under which every field of the snapshot gets a value.
fn settings() -> Settings {
    let class = Class {
        latency_objective: Duration::from_millis(1500),
        objective_stretch: 0.0,
        deadline: Duration::from_secs(5),
        idempotency: Idempotency::Idempotent,
        repeat_window: Duration::ZERO,
        priority_weight: 1.0,
        late_weight: 0.0,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        partial_weight: 0.0,
        second_step_parts: 0,
    };
    Settings {
        seed: 42,
        fleet_size: 1,
        classes: vec![class],
        tenants: vec![Tenant { quota_per_s: Some(10.0) }],
        over_quota_weight: Some(0.5),
        shards: 1,
        parts_per_call: 16,
        warm_up: Duration::from_secs(30),
        slow_start_budget_factor: 4.0,
        slow_start_budget_window: Duration::from_secs(2),
        cold_capacity_fraction: 0.5,
        ..Settings::default()
    }
}

/// An aggregator with values in every field of the snapshot: worker 1 has answered, and connections to
/// worker 2 have failed.
fn aggregator_with_history() -> Aggregator {
    let mut aggregator = Aggregator::new(settings());
    let worker = |id| Endpoint {
        worker: WorkerId(id),
        units: 1.0,
        started_at: Some(Time(1_000)),
        ..Endpoint::default()
    };
    let list = EndpointUpdate::Full(vec![worker(1), worker(2)].into());
    aggregator.step(Time(START_NS), [Event::EndpointUpdate(list)], &mut Vec::new());
    (0..8).for_each(|number| run_query(&mut aggregator, number));
    aggregator
}

/// Submits a query with one part and finishes the attempts that are sent for it.
fn run_query(aggregator: &mut Aggregator, number: u64) {
    let (id, part, job) = (RequestId(2 * number), RequestId(2 * number + 1), JobId(number));
    let now = Time(START_NS + number * QUERY_INTERVAL_NS);
    let query = NewQuery {
        id,
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        valid_until: now.after(Duration::from_secs(5)),
        job,
        is_retry: false,
    };
    let part = NewPart { id: part, key: None, cost_hint: None, job, shard: ShardId(0), weight: 1.0 };
    let mut actions = Vec::new();
    aggregator.step(now, [Event::QueryReceived(query), Event::PartReceived(part)], &mut actions);
    for action in actions {
        let Action::Send { id, worker, .. } = action else { continue };
        let outcome = match worker {
            WorkerId(1) => AttemptOutcome::Succeeded,
            _ => AttemptOutcome::ConnectFailed,
        };
        let result = AttemptResult {
            id,
            attempt: AttemptNo(0),
            worker,
            outcome,
            elapsed: ATTEMPT_TIME,
            part_finished: outcome == AttemptOutcome::Succeeded,
            load_report: Some(Vec::new()),
        };
        aggregator.step(now.after(ATTEMPT_TIME), [Event::AttemptFinished(result)], &mut Vec::new());
    }
}

fn name_of(worker: WorkerId) -> Option<&'static str> {
    match worker.0 {
        1 => Some("one"),
        2 => Some("two"),
        _ => None,
    }
}

fn worker_named(name: &str) -> Option<WorkerId> {
    match name {
        "one" => Some(WorkerId(1)),
        "two" => Some(WorkerId(2)),
        _ => None,
    }
}

#[test]
fn a_snapshot_keeps_the_form_of_the_hand_over_message() {
    let snapshot = aggregator_with_history().snapshot(name_of);
    let json = serde_json::to_string_pretty(&snapshot).expect("the snapshot serialises");
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!("policy_snapshot", json);
    });
}

#[test]
fn a_snapshot_of_a_restored_aggregator_equals_the_restored_one() {
    let aggregator = aggregator_with_history();
    let sent = serde_json::to_value(aggregator.snapshot(name_of)).expect("the snapshot serialises");
    let received: PolicySnapshot = serde_json::from_value(sent.clone()).expect("the snapshot deserialises");
    let mut successor = aggregator_with_history();
    successor.restore(received, worker_named);
    let restored: Value =
        serde_json::to_value(successor.snapshot(name_of)).expect("the restored snapshot serialises");
    assert_eq!(sent, restored);
}
