//! The six rules and the defences, driven through the interface alone.

mod common;

use common::*;
use gatherer::policy::*;

#[test]
fn a_whole_answer_needs_every_part() {
    let mut root = AggregatorHarness::new(settings(), &[1, 2, 3]);
    let (query, _) = root.submit(Some("k"), &[0, 1]);
    let sent = root.sent.clone();
    root.now = root.now.after(ms(100));
    root.step(vec![root.attempt_finished(sent[0], AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&root, query), None);
    root.step(vec![root.attempt_finished(sent[1], AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&root, query), Some(true));
}

#[test]
fn weights_that_come_rounded_make_a_whole_answer_and_only_all_of_them() {
    // split+mass: 45 parts of 0.022222 weigh 0.99999, and every query of the class was refused.
    for parts in 1..=100 {
        let shards: Vec<u32> = (0..parts).collect();
        let mut root = AggregatorHarness::new(Settings { shards: parts, ..settings() }, &[1, 2, 3]);
        let (query, _, mut events) = root.new_query(Some("k"), &shards);
        for event in &mut events {
            if let Event::PartReceived(part) = event {
                part.weight = (1e6 / f64::from(parts)).round() / 1e6;
                part.cost_hint = Some(ms(1));
            }
        }
        root.step(events);
        let (last, others) = root.sent.split_last().expect("it is taken");
        let (last, done) = (root.attempt_finished(*last, AttemptOutcome::Succeeded, None), others.iter());
        let others = done.map(|sent| root.attempt_finished(*sent, AttemptOutcome::Succeeded, None)).collect();
        root.step(others);
        assert_eq!(answered(&root, query), None, "{parts} parts, one of them out");
        root.step(vec![last]);
        assert_eq!(answered(&root, query), Some(true), "{parts} parts, all in");
    }
}

#[test]
fn a_query_without_replicas_is_refused_at_once() {
    let mut root = AggregatorHarness::new(settings(), &[]);
    let (query, _) = root.submit(Some("k"), &[0]);
    assert!(ended(&root, query));
    assert!(root.sent.is_empty());
}

#[test]
fn a_query_ends_before_its_client_leaves_when_nothing_answers() {
    let mut root = AggregatorHarness::new(settings(), &[1, 2, 3]);
    let (query, _) = root.submit(Some("k"), &[0]);
    let until = root.now.after(ms(5000));
    let mut ends = 0;
    while root.now < until {
        root.advance(10);
        ends += u32::from(ended(&root, query));
    }
    assert_eq!(ends, 1);
}

#[test]
fn unknown_ids_are_skipped() {
    let mut root = AggregatorHarness::new(settings(), &[1]);
    let stray =
        Sent { id: RequestId(99), attempt: AttemptNo(4), worker: WorkerId(77), at: root.now, timeout: ms(1) };
    let end = root.attempt_finished(stray, AttemptOutcome::Succeeded, Some(f64::NAN));
    let probe = Event::HealthCheckFinished {
        worker: WorkerId(77),
        outcome: AttemptOutcome::Succeeded,
        elapsed: ms(1),
        load_report: None,
    };
    root.step(vec![
        end,
        probe,
        Event::ClientDisconnected { id: RequestId(99) },
        Event::TimerFired { timer: TimerId(9) },
        Event::StreamingStarted { id: RequestId(99), attempt: AttemptNo(0) },
    ]);
    assert!(root.sent.is_empty());
}

#[test]
fn a_part_that_may_have_run_once_is_not_resent_and_its_query_not_refused() {
    for (outcome, resent) in [
        (AttemptOutcome::ConnectionReset, false),
        (AttemptOutcome::Rejected, true),
        (AttemptOutcome::ConnectFailed, true),
    ] {
        let mut root = AggregatorHarness::new(
            Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() },
            &[1, 2, 3],
        );
        let (query, _) = root.submit(Some("k"), &[0]);
        let first = root.last_sent();
        root.now = root.now.after(ms(5));
        root.step(vec![root.attempt_finished(first, outcome, None)]);
        assert_eq!(root.sent.len() > 1, resent, "{outcome:?}");
        let mut refused = false;
        for _ in 0..500 {
            root.advance(10);
            refused |= root.actions.contains(&Action::Reject { id: query, retry_after: None });
        }
        assert!(!refused, "{outcome:?}: an attempt is out or may have run");
    }
}

#[test]
fn a_keyed_effect_is_resent_inside_its_window_only() {
    for (after, resent) in [(500, true), (1100, false)] {
        let mut root = AggregatorHarness::new(
            Settings { classes: vec![class(Idempotency::Keyed)], hedging_allowed: false, ..settings() },
            &[1, 2, 3],
        );
        root.submit(Some("k"), &[0]);
        let first = root.last_sent();
        root.now = root.now.after(ms(after));
        root.step(vec![root.attempt_finished(first, AttemptOutcome::ConnectionReset, None)]);
        assert_eq!(root.sent.len() > 1, resent, "after {after} ms");
    }
}

#[test]
fn a_draining_leaf_gets_nothing_new() {
    let mut root = AggregatorHarness::new(settings(), &[1, 2]);
    let news = vec![entry(1, EndpointStatus::Draining, None)].into();
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Delta(news))]);
    for key in 0..20 {
        root.submit(Some(&format!("k{key}")), &[0]);
    }
    assert!(root.sent.len() > 5);
    assert!(root.sent.iter().all(|sent| sent.worker == WorkerId(2)));
}

#[test]
fn a_leaf_missing_from_a_full_list_is_gone() {
    let mut root = AggregatorHarness::new(settings(), &[1, 2]);
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[2])))]);
    for key in 0..10 {
        root.submit(Some(&format!("k{key}")), &[0]);
    }
    assert!(root.sent.iter().all(|sent| sent.worker == WorkerId(2)));
}

#[test]
fn a_cold_leaf_stays_within_this_roots_share_even_when_all_are_cold() {
    let mut root = AggregatorHarness::new(Settings { fleet_size: 2, ..settings() }, &[]);
    let since = Some(root.now);
    let news: Vec<Endpoint> = [1, 2].iter().map(|leaf| entry(*leaf, EndpointStatus::Active, since)).collect();
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(news.into()))]);
    for key in 0..40 {
        root.submit(Some(&format!("k{key}")), &[0]);
        root.advance(20);
    }
    for leaf in [1, 2] {
        // The push allowed in a second to one core at 0.2 to 0.3 of its capacity, halved among two roots.
        let work = root.sent.iter().filter(|sent| sent.worker == WorkerId(leaf)).count() as f64 * 0.1;
        assert!(work <= 2.0 * 0.3 / 2.0 + 1e-9, "leaf {leaf} was sent {work} s of work");
    }
}

#[test]
fn further_attempts_keep_within_the_budget() {
    let budget = RetryBudget { free_attempts: 2.0, ratio: 0.05, window: ms(10_000) };
    let mut root =
        AggregatorHarness::new(Settings { retry_budget: Some(budget), ..settings() }, &[1, 2, 3, 4]);
    let mut taken = 0.0;
    for key in 0..30 {
        root.submit(Some(&format!("k{key}")), &[0]);
        taken += 2.0;
        let out: Vec<Sent> = root.sent.iter().copied().filter(|sent| sent.at == root.now).collect();
        root.now = root.now.after(ms(5));
        let events =
            out.iter().map(|sent| root.attempt_finished(*sent, AttemptOutcome::Failed, None)).collect();
        root.step(events);
        let further = root.sent.iter().filter(|sent| sent.attempt.0 > 0).count() as f64;
        assert!(further <= budget.free_attempts + budget.ratio * taken, "{further} after {taken} requests");
    }
    assert!(root.sent.iter().any(|sent| sent.attempt.0 > 0));
}

#[test]
fn a_skipped_attempt_gives_its_place_in_the_budget_back() {
    let budget = RetryBudget { free_attempts: 1.0, ratio: 0.0, window: ms(10_000) };
    let mut root =
        AggregatorHarness::new(Settings { retry_budget: Some(budget), ..settings() }, &[1, 2, 3, 4]);
    root.submit(Some("k"), &[0]);
    root.now = root.now.after(ms(5));
    root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Failed, None)]);
    assert_eq!(root.sent.len(), 2);
    root.now = root.now.after(ms(5));
    root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::NotSent, None)]);
    assert_eq!(root.sent.len(), 3, "the skipped one is not counted");
    root.now = root.now.after(ms(5));
    root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Failed, None)]);
    assert_eq!(root.sent.len(), 3, "the budget is spent");
}

#[test]
fn a_partial_answer_comes_just_before_the_aim_and_is_not_called_whole() {
    let partial = Class { min_coverage: 0.5, ..class(Idempotency::Idempotent) };
    let mut root = AggregatorHarness::new(Settings { classes: vec![partial], ..settings() }, &[1, 2, 3]);
    let (query, parts) = root.submit(Some("k"), &[0, 1]);
    let first = root.sent.iter().copied().find(|sent| sent.id == parts[0]).expect("sent");
    root.now = root.now.after(ms(100));
    root.step(vec![root.attempt_finished(first, AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&root, query), None, "waiting still earns more");
    let mut at = None;
    for _ in 0..150 {
        root.advance(10);
        if let Some(whole) = answered(&root, query) {
            at = Some((root.now, whole));
            break;
        }
    }
    let (at, whole) = at.expect("answered");
    assert!(!whole);
    assert!(at < Time(1_000_000 * MS).after(ms(1500)));
}

#[test]
fn a_second_step_waits_for_all_its_parts() {
    let two_steps = Class { second_step_parts: 1, ..class(Idempotency::Idempotent) };
    let mut root = AggregatorHarness::new(Settings { classes: vec![two_steps], ..settings() }, &[1, 2, 3]);
    let (query, _) = root.submit(Some("k"), &[0]);
    let first = root.last_sent();
    root.now = root.now.after(ms(100));
    root.step(vec![root.attempt_finished(first, AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&root, query), Some(true));
    let part = NewPart {
        id: RequestId(500),
        key: None,
        cost_hint: None,
        job: JobId(1),
        shard: ShardId(0),
        weight: 1.0,
    };
    root.step(vec![Event::PartReceived(part)]);
    assert_eq!(root.last_sent().id, RequestId(500));
    assert_eq!(answered(&root, query), None);
    let second = root.last_sent();
    root.now = root.now.after(ms(100));
    root.step(vec![root.attempt_finished(second, AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&root, query), Some(true));
}

#[test]
fn asked_discovery_subscribes_at_start_and_again_after_a_failure() {
    let mut root = AggregatorHarness::new(Settings { poll_discovery: true, ..settings() }, &[1]);
    assert!(root.actions.contains(&Action::SubscribeToEndpoints));
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Failed)]);
    assert!(
        !root.actions.contains(&Action::SubscribeToEndpoints),
        "not at once: the list's server may be swamped"
    );
    let mut again = 0;
    for _ in 0..200 {
        root.advance(10);
        again += root.actions.iter().filter(|action| **action == Action::SubscribeToEndpoints).count();
    }
    assert_eq!(again, 1);
}

#[test]
fn a_query_that_cannot_be_served_any_more_ends_at_once() {
    // Such a query was held until its aim: its client waited for nothing, its other parts went on working.
    let mut root = AggregatorHarness::new(
        Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() },
        &[1, 2, 3],
    );
    let (query, _) = root.submit(Some("k"), &[0, 1]);
    let first = root.sent[0];
    root.step(vec![root.attempt_finished(first, AttemptOutcome::ConnectionReset, None)]);
    assert!(root.actions.contains(&Action::Fail { id: query }), "{:?}", root.actions);
    // The other part is called off, and nothing is sent again.
    assert!(root.actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    assert_eq!(root.sent.len(), 2);
}
