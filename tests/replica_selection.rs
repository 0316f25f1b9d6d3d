//! Where a part goes next that has failed at a worker.

mod common;

use common::*;
use gatherer::policy::*;

/// Two workers of which the second has turned parts away twice, so that it is suspect but speaks.
fn one_trusted_one_suspect() -> AggregatorHarness {
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    let mut turned_away = 0;
    for number in 0..100 {
        let (_, parts) = root.submit(Some(&format!("key-{number}")), &[0]);
        let sent = root.last_sent();
        let outcome =
            if sent.worker == WorkerId(2) { AttemptOutcome::Rejected } else { AttemptOutcome::Succeeded };
        turned_away += u32::from(outcome == AttemptOutcome::Rejected);
        root.now = root.now.after(ms(5));
        root.step(vec![root.attempt_finished(sent, outcome, None)]);
        let again =
            root.sent.iter().rfind(|sent| sent.id == parts[0] && sent.attempt > AttemptNo(0)).copied();
        if let Some(again) = again {
            root.step(vec![root.attempt_finished(again, AttemptOutcome::Succeeded, None)]);
        }
        if turned_away == 2 {
            return root;
        }
    }
    panic!("the second worker got no parts");
}

#[test]
fn what_fails_at_the_only_trusted_replica_goes_to_a_suspect_that_speaks() {
    let mut root = one_trusted_one_suspect();
    let (_, parts) = root.submit(Some("next"), &[0]);
    let first = root.last_sent();
    assert_eq!((first.id, first.worker), (parts[0], WorkerId(1)), "the first try goes to who is trusted");
    root.now = root.now.after(ms(5));
    root.step(vec![root.attempt_finished(first, AttemptOutcome::Failed, None)]);
    let second = root.last_sent();
    assert_eq!((second.id, second.worker), (parts[0], WorkerId(2)), "not the same again");
}

#[test]
fn a_copy_of_what_is_only_late_is_not_risked_on_a_suspect() {
    let mut root = one_trusted_one_suspect();
    let (_, parts) = root.submit(Some("next"), &[0]);
    root.advance(400);
    let to: Vec<WorkerId> =
        root.sent.iter().filter(|sent| sent.id == parts[0]).map(|sent| sent.worker).collect();
    assert_eq!(to, [WorkerId(1)], "its answer is still out");
}

#[test]
fn keyed_parts_share_a_stable_home() {
    let mut homes = Vec::new();
    for _ in 0..2 {
        let mut root = AggregatorHarness::new(settings(), &[3, 5, 9]);
        root.submit(Some("account-17"), &[0]);
        root.advance(100);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, None)]);
        root.submit(Some("account-17"), &[4]);
        homes.push(root.sent.iter().map(|sent| sent.worker).collect::<Vec<_>>());
    }
    assert_eq!(homes[0], homes[1], "every root and every start agrees");
    assert_eq!(homes[0][0], homes[0][1], "the home goes by key, not by shard");
}

#[test]
fn parts_of_one_key_spread_before_they_stack() {
    // A query waits for its slowest part: past a share of one part's work, a queue outweighs a warm key.
    let mut root = AggregatorHarness::new(settings(), &[1, 2, 3]);
    root.submit(Some("k"), &[0, 1, 2, 3, 4, 5]);
    for leaf in [1, 2, 3] {
        let parts = root.sent.iter().filter(|sent| sent.worker == WorkerId(leaf)).count();
        assert!((1..=3).contains(&parts), "leaf {leaf} got {parts} of 6 parts");
    }
}

#[test]
fn parts_stay_in_their_zone_where_crossing_is_dear() {
    let mut root =
        AggregatorHarness::new(Settings { cross_zone_price: 0.04, waste_price: 0.03, ..settings() }, &[]);
    let news: Vec<Endpoint> = [1, 2]
        .iter()
        .map(|leaf| Endpoint { zone: ZoneId(leaf - 1), ..entry(*leaf, EndpointStatus::Active, None) })
        .collect();
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(news.into()))]);
    for key in 0..10 {
        root.submit(Some(&format!("k{key}")), &[0]);
        root.advance(100);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, None)]);
    }
    assert!(root.sent.iter().all(|sent| sent.worker == WorkerId(1)));
}

#[test]
fn reports_move_keys_off_a_busy_home() {
    let mut root = AggregatorHarness::new(settings(), &[1, 2]);
    root.submit(Some("hot"), &[0]);
    let home = root.last_sent().worker;
    let mut moved = false;
    for _ in 0..100 {
        let sent = root.last_sent();
        root.advance(100);
        let busy = if sent.worker == home { 1.0 } else { 0.0 };
        let other = if home == WorkerId(1) { WorkerId(2) } else { WorkerId(1) };
        let probe = Event::HealthCheckFinished {
            worker: other,
            outcome: AttemptOutcome::Succeeded,
            elapsed: ms(1),
            load_report: Some(vec![Some(0.0)]),
        };
        root.step(vec![root.attempt_finished(sent, AttemptOutcome::Succeeded, Some(busy)), probe]);
        root.submit(Some("hot"), &[0]);
        moved |= root.last_sent().worker != home;
    }
    assert!(moved);
}

#[test]
fn one_late_answer_tells_where_answers_are_rare() {
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for took in [100; 20].into_iter().chain([230]) {
        root.submit(Some("k"), &[0]);
        root.advance(took);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.5))]);
        root.advance(if took == 100 { 1500 } else { 0 });
    }
    let home = root.last_sent().worker;
    root.submit(Some("k"), &[0]);
    assert_ne!(root.last_sent().worker, home);
}
