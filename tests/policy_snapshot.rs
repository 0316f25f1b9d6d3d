//! The form in which the decision module's snapshot travels in the hand-over message: versions of the gatherer that run
//! one after the other have to agree on it.

use gatherer::Aggregator;
use gatherer::policy::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Endpoint, EndpointUpdate, Event,
    Idempotency, JobId, NewPart, NewQuery, PolicySnapshot, RequestId, Settings, ShardId, Tenant, TenantId,
    Time, WorkerId,
};
use serde_json::Value;
use std::time::Duration;

/// An aggregator that has learned something for each field: worker 1 answered, worker 2 failed to connect.
fn taught() -> Aggregator {
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
    let mut aggregator = Aggregator::new(Settings {
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
    });
    let worker = |id| Endpoint {
        worker: WorkerId(id),
        units: 1.0,
        started_at: Some(Time(1_000)),
        ..Endpoint::default()
    };
    let mut actions = Vec::new();
    let list = EndpointUpdate::Full(vec![worker(1), worker(2)].into());
    aggregator.step(Time(1_000_000_000), [Event::EndpointUpdate(list)], &mut actions);
    for number in 0..8 {
        let (id, part, job) = (RequestId(2 * number), RequestId(2 * number + 1), JobId(number));
        let now = 1_000_000_000 + number * 50_000_000;
        let query = NewQuery {
            id,
            class: ClassId(0),
            tenant: Some(TenantId(0)),
            valid_until: Time(now + 5_000_000_000),
            job,
            is_retry: false,
        };
        let needed = NewPart { id: part, key: None, cost_hint: None, job, shard: ShardId(0), weight: 1.0 };
        actions.clear();
        aggregator.step(Time(now), [Event::QueryReceived(query), Event::PartReceived(needed)], &mut actions);
        for action in std::mem::take(&mut actions) {
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
                elapsed: Duration::from_millis(20),
                part_finished: outcome == AttemptOutcome::Succeeded,
                load_report: Some(Vec::new()),
            };
            aggregator.step(Time(now + 20_000_000), [Event::AttemptFinished(result)], &mut actions);
        }
    }
    aggregator
}

fn name(worker: WorkerId) -> Option<&'static str> {
    match worker.0 {
        1 => Some("one"),
        2 => Some("two"),
        _ => None,
    }
}

fn worker(name: &str) -> Option<WorkerId> {
    match name {
        "one" => Some(WorkerId(1)),
        "two" => Some(WorkerId(2)),
        _ => None,
    }
}

#[test]
fn a_snapshot_keeps_the_hand_over_messages_form() {
    let snapshot = taught().snapshot(name);
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!("policy_snapshot", serde_json::to_string_pretty(&snapshot).expect("it serialises"));
    });
}

#[test]
fn a_restored_snapshot_is_the_one_that_was_taken() {
    let aggregator = taught();
    let sent = serde_json::to_value(aggregator.snapshot(name)).expect("it serialises");
    let received: PolicySnapshot = serde_json::from_value(sent.clone()).expect("it deserialises");
    let mut successor = taught();
    successor.restore(received, worker);
    let again: Value = serde_json::to_value(successor.snapshot(name)).expect("it serialises");
    assert_eq!(sent, again);
}
