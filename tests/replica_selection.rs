//! Replica selection: which replica a part is sent to first, and which one after a failure.

mod common;

use common::{AggregatorHarness, entry, ms, settings};
use gatherer::policy::{
    AttemptNo, AttemptOutcome, Endpoint, EndpointStatus, EndpointUpdate, Event, Settings, WorkerId, ZoneId,
};

/// A harness with two workers, of which the second is ejected but responsive: it has rejected two parts.
fn one_healthy_and_one_ejected_worker() -> AggregatorHarness {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    let mut rejections = 0;
    for number in 0..100 {
        let (_, parts) = harness.submit(Some(&format!("key-{number}")), &[0]);
        let sent = harness.last_sent();
        let outcome =
            if sent.worker == WorkerId(2) { AttemptOutcome::Rejected } else { AttemptOutcome::Succeeded };
        rejections += u32::from(outcome == AttemptOutcome::Rejected);
        harness.now = harness.now.after(ms(5));
        harness.step(vec![harness.attempt_finished(sent, outcome, None)]);
        let retry =
            harness.sent.iter().rfind(|sent| sent.id == parts[0] && sent.attempt > AttemptNo(0)).copied();
        if let Some(retry) = retry {
            harness.step(vec![harness.attempt_finished(retry, AttemptOutcome::Succeeded, None)]);
        }
        if rejections == 2 {
            return harness;
        }
    }
    panic!("the second worker got fewer than two of 100 parts");
}

#[test]
fn a_part_that_fails_at_the_only_healthy_replica_goes_to_an_ejected_one_that_responds() {
    let mut harness = one_healthy_and_one_ejected_worker();
    let (_, parts) = harness.submit(Some("next"), &[0]);
    let first = harness.last_sent();
    assert_eq!(
        (first.id, first.worker),
        (parts[0], WorkerId(1)),
        "the first attempt goes to the healthy worker"
    );
    harness.now = harness.now.after(ms(5));
    harness.step(vec![harness.attempt_finished(first, AttemptOutcome::Failed, None)]);
    let second = harness.last_sent();
    assert_eq!((second.id, second.worker), (parts[0], WorkerId(2)), "the retry goes to the ejected worker");
}

#[test]
fn a_late_part_is_not_hedged_at_an_ejected_worker() {
    let mut harness = one_healthy_and_one_ejected_worker();
    let (_, parts) = harness.submit(Some("next"), &[0]);
    harness.advance(400);
    let tried: Vec<WorkerId> =
        harness.sent.iter().filter(|sent| sent.id == parts[0]).map(|sent| sent.worker).collect();
    assert_eq!(tried, [WorkerId(1)], "the attempt at the healthy worker is still in flight");
}

#[test]
fn parts_of_one_key_share_a_stable_preferred_replica() {
    let mut chosen = Vec::new();
    for _ in 0..2 {
        let mut harness = AggregatorHarness::new(settings(), &[3, 5, 9]);
        harness.submit(Some("account-17"), &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::Succeeded, None)]);
        harness.submit(Some("account-17"), &[4]);
        chosen.push(harness.sent.iter().map(|sent| sent.worker).collect::<Vec<_>>());
    }
    assert_eq!(chosen[0], chosen[1], "two aggregators choose the same replica");
    assert_eq!(chosen[0][0], chosen[0][1], "the preferred replica depends on the key, not on the shard");
}

#[test]
fn parts_of_one_key_spread_over_workers_before_they_queue() {
    // A query waits for its slowest part. A wait of more than a fraction of a part's cost therefore
    // outweighs the benefit of a cached key.
    let mut harness = AggregatorHarness::new(settings(), &[1, 2, 3]);
    harness.submit(Some("k"), &[0, 1, 2, 3, 4, 5]);
    for worker in [1, 2, 3] {
        let parts = harness.sent.iter().filter(|sent| sent.worker == WorkerId(worker)).count();
        assert!((1..=3).contains(&parts), "worker {worker} got {parts} of 6 parts");
    }
}

#[test]
fn parts_stay_in_their_zone_where_crossing_zones_has_a_cost() {
    let mut harness =
        AggregatorHarness::new(Settings { cross_zone_price: 0.04, waste_price: 0.03, ..settings() }, &[]);
    let workers: Vec<Endpoint> = [1, 2]
        .iter()
        .map(|worker| Endpoint { zone: ZoneId(worker - 1), ..entry(*worker, EndpointStatus::Active, None) })
        .collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(workers.into()))]);
    for key in 0..10 {
        harness.submit(Some(&format!("k{key}")), &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::Succeeded, None)]);
    }
    assert!(harness.sent.iter().all(|sent| sent.worker == WorkerId(1)));
}

#[test]
fn load_reports_move_keys_off_a_busy_preferred_replica() {
    let mut harness = AggregatorHarness::new(settings(), &[1, 2]);
    harness.submit(Some("hot"), &[0]);
    let preferred = harness.last_sent().worker;
    let mut moved_off_preferred = false;
    for _ in 0..100 {
        let sent = harness.last_sent();
        harness.advance(100);
        let utilization = if sent.worker == preferred { 1.0 } else { 0.0 };
        let other_worker = if preferred == WorkerId(1) { WorkerId(2) } else { WorkerId(1) };
        let health_check = Event::HealthCheckFinished {
            worker: other_worker,
            outcome: AttemptOutcome::Succeeded,
            elapsed: ms(1),
            load_report: Some(vec![Some(0.0)]),
        };
        harness.step(vec![
            harness.attempt_finished(sent, AttemptOutcome::Succeeded, Some(utilization)),
            health_check,
        ]);
        harness.submit(Some("hot"), &[0]);
        moved_off_preferred |= harness.last_sent().worker != preferred;
    }
    assert!(moved_off_preferred, "100 parts of the key all went to the busy replica");
}

#[test]
fn one_late_response_counts_where_responses_are_sparse() {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for elapsed_ms in [100; 20].into_iter().chain([230]) {
        harness.submit(Some("k"), &[0]);
        harness.advance(elapsed_ms);
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(0.5),
        )]);
        harness.advance(if elapsed_ms == 100 { 1500 } else { 0 });
    }
    let preferred = harness.last_sent().worker;
    harness.submit(Some("k"), &[0]);
    assert_ne!(harness.last_sent().worker, preferred);
}
