//! Where a part goes next that has failed at a worker.

mod common;

use common::{AggregatorHarness, entry, ms, settings};
use gatherer::policy::{
    AttemptNo, AttemptOutcome, Endpoint, EndpointStatus, EndpointUpdate, Event, Settings, WorkerId, ZoneId,
};

/// Two workers of which the second has rejected parts twice, so that it is ejected but responds.
fn one_trusted_one_suspect() -> AggregatorHarness {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    let mut turned_away = 0;
    for number in 0..100 {
        let (_, parts) = harness.submit(Some(&format!("key-{number}")), &[0]);
        let sent = harness.last_sent();
        let outcome =
            if sent.worker == WorkerId(2) { AttemptOutcome::Rejected } else { AttemptOutcome::Succeeded };
        turned_away += u32::from(outcome == AttemptOutcome::Rejected);
        harness.now = harness.now.after(ms(5));
        harness.step(vec![harness.attempt_finished(sent, outcome, None)]);
        let again =
            harness.sent.iter().rfind(|sent| sent.id == parts[0] && sent.attempt > AttemptNo(0)).copied();
        if let Some(again) = again {
            harness.step(vec![harness.attempt_finished(again, AttemptOutcome::Succeeded, None)]);
        }
        if turned_away == 2 {
            return harness;
        }
    }
    panic!("the second worker got no parts");
}

#[test]
fn a_part_that_fails_at_the_only_healthy_replica_goes_to_an_ejected_one_that_responds() {
    let mut harness = one_trusted_one_suspect();
    let (_, parts) = harness.submit(Some("next"), &[0]);
    let first = harness.last_sent();
    assert_eq!((first.id, first.worker), (parts[0], WorkerId(1)), "the first attempt goes to who is trusted");
    harness.now = harness.now.after(ms(5));
    harness.step(vec![harness.attempt_finished(first, AttemptOutcome::Failed, None)]);
    let second = harness.last_sent();
    assert_eq!((second.id, second.worker), (parts[0], WorkerId(2)), "not the same again");
}

#[test]
fn a_part_that_is_only_late_is_not_hedged_at_an_ejected_worker() {
    let mut harness = one_trusted_one_suspect();
    let (_, parts) = harness.submit(Some("next"), &[0]);
    harness.advance(400);
    let to: Vec<WorkerId> =
        harness.sent.iter().filter(|sent| sent.id == parts[0]).map(|sent| sent.worker).collect();
    assert_eq!(to, [WorkerId(1)], "its answer is still out");
}

#[test]
fn parts_of_one_key_share_a_stable_preferred_replica() {
    let mut homes = Vec::new();
    for _ in 0..2 {
        let mut harness = AggregatorHarness::new(settings(), &[3, 5, 9]);
        harness.submit(Some("account-17"), &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::Succeeded, None)]);
        harness.submit(Some("account-17"), &[4]);
        homes.push(harness.sent.iter().map(|sent| sent.worker).collect::<Vec<_>>());
    }
    assert_eq!(homes[0], homes[1], "every aggregator and every start agrees");
    assert_eq!(homes[0][0], homes[0][1], "the home goes by key, not by shard");
}

#[test]
fn parts_of_one_key_spread_before_they_stack() {
    // A query waits for its slowest part: past a share of one part's work, a queue outweighs a warm key.
    let mut harness = AggregatorHarness::new(settings(), &[1, 2, 3]);
    harness.submit(Some("k"), &[0, 1, 2, 3, 4, 5]);
    for worker in [1, 2, 3] {
        let parts = harness.sent.iter().filter(|sent| sent.worker == WorkerId(worker)).count();
        assert!((1..=3).contains(&parts), "worker {worker} got {parts} of 6 parts");
    }
}

#[test]
fn parts_stay_in_their_zone_where_crossing_zones_has_a_price() {
    let mut harness =
        AggregatorHarness::new(Settings { cross_zone_price: 0.04, waste_price: 0.03, ..settings() }, &[]);
    let news: Vec<Endpoint> = [1, 2]
        .iter()
        .map(|worker| Endpoint { zone: ZoneId(worker - 1), ..entry(*worker, EndpointStatus::Active, None) })
        .collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(news.into()))]);
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
    let home = harness.last_sent().worker;
    let mut moved = false;
    for _ in 0..100 {
        let sent = harness.last_sent();
        harness.advance(100);
        let busy = if sent.worker == home { 1.0 } else { 0.0 };
        let other = if home == WorkerId(1) { WorkerId(2) } else { WorkerId(1) };
        let probe = Event::HealthCheckFinished {
            worker: other,
            outcome: AttemptOutcome::Succeeded,
            elapsed: ms(1),
            load_report: Some(vec![Some(0.0)]),
        };
        harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, Some(busy)), probe]);
        harness.submit(Some("hot"), &[0]);
        moved |= harness.last_sent().worker != home;
    }
    assert!(moved);
}

#[test]
fn one_late_response_counts_where_responses_are_sparse() {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for took in [100; 20].into_iter().chain([230]) {
        harness.submit(Some("k"), &[0]);
        harness.advance(took);
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(0.5),
        )]);
        harness.advance(if took == 100 { 1500 } else { 0 });
    }
    let home = harness.last_sent().worker;
    harness.submit(Some("k"), &[0]);
    assert_ne!(harness.last_sent().worker, home);
}
