//! Invariants and limits of the decision module, tested through its public interface: complete and partial
//! answers, resending, slow start, the retry budget and discovery.

mod common;

use common::{AggregatorHarness, MS, Sent, answered, class, ended, endpoint_list, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptNo, AttemptOutcome, Class, Endpoint, EndpointStatus, EndpointUpdate, Event, Idempotency,
    JobId, NewPart, RequestId, RetryBudget, Settings, ShardId, Time, TimerId, WorkerId,
};

#[test]
fn a_complete_answer_needs_every_part() {
    let mut harness = AggregatorHarness::new(settings(), &[1, 2, 3]);
    let (query, _) = harness.submit(Some("k"), &[0, 1]);
    let sent = harness.sent.clone();
    harness.now = harness.now.after(ms(100));
    harness.step(vec![harness.attempt_finished(sent[0], AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&harness, query), None);
    harness.step(vec![harness.attempt_finished(sent[1], AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&harness, query), Some(true));
}

#[test]
fn rounded_weights_make_a_complete_answer_only_when_all_parts_are_in() {
    // Seen in the scenario split+mass: 45 parts of weight 0.022222 sum to 0.99999, and every query of the
    // class was rejected.
    for parts in 1..=100 {
        let shards: Vec<u32> = (0..parts).collect();
        let mut harness = AggregatorHarness::new(Settings { shards: parts, ..settings() }, &[1, 2, 3]);
        let (query, _, mut events) = harness.new_query(Some("k"), &shards);
        for event in &mut events {
            if let Event::PartReceived(part) = event {
                part.weight = (1e6 / f64::from(parts)).round() / 1e6;
                part.cost_hint = Some(ms(1));
            }
        }
        harness.step(events);
        let (last, others) = harness.sent.split_last().expect("the query is admitted");
        let last_finished = harness.attempt_finished(*last, AttemptOutcome::Succeeded, None);
        let others_finished = others
            .iter()
            .map(|sent| harness.attempt_finished(*sent, AttemptOutcome::Succeeded, None))
            .collect();
        harness.step(others_finished);
        assert_eq!(answered(&harness, query), None, "{parts} parts, one not answered yet");
        harness.step(vec![last_finished]);
        assert_eq!(answered(&harness, query), Some(true), "{parts} parts, all answered");
    }
}

#[test]
fn a_query_without_replicas_is_rejected_at_once() {
    let mut harness = AggregatorHarness::new(settings(), &[]);
    let (query, _) = harness.submit(Some("k"), &[0]);
    assert!(ended(&harness, query));
    assert!(harness.sent.is_empty());
}

#[test]
fn a_query_ends_before_its_deadline_when_no_worker_responds() {
    let mut harness = AggregatorHarness::new(settings(), &[1, 2, 3]);
    let (query, _) = harness.submit(Some("k"), &[0]);
    let deadline = harness.now.after(ms(5000));
    let mut times_ended = 0;
    while harness.now < deadline {
        harness.advance(10);
        times_ended += u32::from(ended(&harness, query));
    }
    assert_eq!(times_ended, 1);
}

#[test]
fn unknown_ids_are_ignored() {
    let mut harness = AggregatorHarness::new(settings(), &[1]);
    let unknown = Sent {
        id: RequestId(99),
        attempt: AttemptNo(4),
        worker: WorkerId(77),
        at: harness.now,
        timeout: ms(1),
    };
    let attempt_finished = harness.attempt_finished(unknown, AttemptOutcome::Succeeded, Some(f64::NAN));
    let health_check_finished = Event::HealthCheckFinished {
        worker: WorkerId(77),
        outcome: AttemptOutcome::Succeeded,
        elapsed: ms(1),
        load_report: None,
    };
    harness.step(vec![
        attempt_finished,
        health_check_finished,
        Event::ClientDisconnected { id: RequestId(99) },
        Event::TimerFired { timer: TimerId(9) },
        Event::StreamingStarted { id: RequestId(99), attempt: AttemptNo(0) },
    ]);
    assert!(harness.sent.is_empty());
}

#[test]
fn a_non_idempotent_part_that_may_have_run_is_not_resent_and_its_query_not_rejected() {
    for (outcome, resent) in [
        (AttemptOutcome::ConnectionReset, false),
        (AttemptOutcome::Rejected, true),
        (AttemptOutcome::ConnectFailed, true),
    ] {
        let mut harness = AggregatorHarness::new(
            Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() },
            &[1, 2, 3],
        );
        let (query, _) = harness.submit(Some("k"), &[0]);
        let first = harness.last_sent();
        harness.now = harness.now.after(ms(5));
        harness.step(vec![harness.attempt_finished(first, outcome, None)]);
        assert_eq!(harness.sent.len() > 1, resent, "{outcome:?}");
        let mut rejected = false;
        for _ in 0..500 {
            harness.advance(10);
            rejected |= harness.actions.contains(&Action::Reject { id: query, retry_after: None });
        }
        assert!(!rejected, "{outcome:?}: rejected although an attempt may have run");
    }
}

#[test]
fn a_keyed_part_is_resent_inside_its_repeat_window_only() {
    for (after_ms, resent) in [(500, true), (1100, false)] {
        let mut harness = AggregatorHarness::new(
            Settings { classes: vec![class(Idempotency::Keyed)], hedging_allowed: false, ..settings() },
            &[1, 2, 3],
        );
        harness.submit(Some("k"), &[0]);
        let first = harness.last_sent();
        harness.now = harness.now.after(ms(after_ms));
        harness.step(vec![harness.attempt_finished(first, AttemptOutcome::ConnectionReset, None)]);
        assert_eq!(harness.sent.len() > 1, resent, "after {after_ms} ms");
    }
}

#[test]
fn a_draining_worker_gets_no_new_part() {
    let mut harness = AggregatorHarness::new(settings(), &[1, 2]);
    let update = vec![entry(1, EndpointStatus::Draining, None)].into();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Delta(update))]);
    for key in 0..20 {
        harness.submit(Some(&format!("k{key}")), &[0]);
    }
    assert!(harness.sent.len() > 5);
    assert!(harness.sent.iter().all(|sent| sent.worker == WorkerId(2)));
}

#[test]
fn a_worker_missing_from_a_full_list_is_gone() {
    let mut harness = AggregatorHarness::new(settings(), &[1, 2]);
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[2])))]);
    for key in 0..10 {
        harness.submit(Some(&format!("k{key}")), &[0]);
    }
    assert!(harness.sent.iter().all(|sent| sent.worker == WorkerId(2)));
}

#[test]
fn a_warming_up_worker_stays_within_its_slow_start_budget_even_when_all_warm_up() {
    let mut harness = AggregatorHarness::new(Settings { fleet_size: 2, ..settings() }, &[]);
    let started_at = Some(harness.now);
    let list: Vec<Endpoint> =
        [1, 2].iter().map(|worker| entry(*worker, EndpointStatus::Active, started_at)).collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(list.into()))]);
    for key in 0..40 {
        harness.submit(Some(&format!("k{key}")), &[0]);
        harness.advance(20);
    }
    for worker in [1, 2] {
        // The slow-start budget of one second is twice the capacity of one core at 0.2 to 0.3 of its warm
        // capacity, shared by two aggregators.
        let work = harness.sent.iter().filter(|sent| sent.worker == WorkerId(worker)).count() as f64 * 0.1;
        assert!(
            work <= 2.0 * 0.3 / 2.0 + 1e-9,
            "worker {worker} was sent {work} s of work, 0.3 s are allowed"
        );
    }
}

#[test]
fn extra_attempts_keep_within_the_retry_budget() {
    let budget = RetryBudget { free_attempts: 2.0, ratio: 0.05, window: ms(10_000) };
    let mut harness =
        AggregatorHarness::new(Settings { retry_budget: Some(budget), ..settings() }, &[1, 2, 3, 4]);
    let mut requests = 0.0;
    for key in 0..30 {
        harness.submit(Some(&format!("k{key}")), &[0]);
        requests += 2.0;
        let finished: Vec<Sent> =
            harness.sent.iter().copied().filter(|sent| sent.at == harness.now).collect();
        harness.now = harness.now.after(ms(5));
        let events = finished
            .iter()
            .map(|sent| harness.attempt_finished(*sent, AttemptOutcome::Failed, None))
            .collect();
        harness.step(events);
        let extra_attempts = harness.sent.iter().filter(|sent| sent.attempt.0 > 0).count() as f64;
        assert!(
            extra_attempts <= budget.free_attempts + budget.ratio * requests,
            "{extra_attempts} extra attempts after {requests} requests exceed the budget"
        );
    }
    assert!(harness.sent.iter().any(|sent| sent.attempt.0 > 0), "no extra attempt was sent");
}

#[test]
fn an_attempt_that_was_not_sent_does_not_count_against_the_retry_budget() {
    let budget = RetryBudget { free_attempts: 1.0, ratio: 0.0, window: ms(10_000) };
    let mut harness =
        AggregatorHarness::new(Settings { retry_budget: Some(budget), ..settings() }, &[1, 2, 3, 4]);
    harness.submit(Some("k"), &[0]);
    harness.now = harness.now.after(ms(5));
    harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::Failed, None)]);
    assert_eq!(harness.sent.len(), 2);
    harness.now = harness.now.after(ms(5));
    harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::NotSent, None)]);
    assert_eq!(harness.sent.len(), 3, "the attempt that was not sent is not counted");
    harness.now = harness.now.after(ms(5));
    harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::Failed, None)]);
    assert_eq!(harness.sent.len(), 3, "the budget of one extra attempt is spent");
}

#[test]
fn a_partial_answer_comes_just_before_the_objective_and_is_not_called_complete() {
    let partial = Class { min_coverage: 0.5, ..class(Idempotency::Idempotent) };
    let mut harness = AggregatorHarness::new(Settings { classes: vec![partial], ..settings() }, &[1, 2, 3]);
    let (query, parts) = harness.submit(Some("k"), &[0, 1]);
    let first =
        harness.sent.iter().copied().find(|sent| sent.id == parts[0]).expect("the first part is sent");
    harness.now = harness.now.after(ms(100));
    harness.step(vec![harness.attempt_finished(first, AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&harness, query), None, "a complete answer is still possible");
    let mut answer = None;
    for _ in 0..150 {
        harness.advance(10);
        if let Some(complete) = answered(&harness, query) {
            answer = Some((harness.now, complete));
            break;
        }
    }
    let (answered_at, complete) = answer.expect("the query is answered within 1.5 s");
    assert!(!complete);
    assert!(answered_at < Time(1_000_000 * MS).after(ms(1500)));
}

#[test]
fn a_second_step_waits_for_all_its_parts() {
    let two_steps = Class { second_step_parts: 1, ..class(Idempotency::Idempotent) };
    let mut harness = AggregatorHarness::new(Settings { classes: vec![two_steps], ..settings() }, &[1, 2, 3]);
    let (query, _) = harness.submit(Some("k"), &[0]);
    let first = harness.last_sent();
    harness.now = harness.now.after(ms(100));
    harness.step(vec![harness.attempt_finished(first, AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&harness, query), Some(true));
    let part = NewPart {
        id: RequestId(500),
        key: None,
        cost_hint: None,
        job: JobId(1),
        shard: ShardId(0),
        weight: 1.0,
    };
    harness.step(vec![Event::PartReceived(part)]);
    assert_eq!(harness.last_sent().id, RequestId(500));
    assert_eq!(answered(&harness, query), None);
    let second = harness.last_sent();
    harness.now = harness.now.after(ms(100));
    harness.step(vec![harness.attempt_finished(second, AttemptOutcome::Succeeded, None)]);
    assert_eq!(answered(&harness, query), Some(true));
}

#[test]
fn the_endpoint_list_is_subscribed_to_at_start_and_again_after_a_failure() {
    let mut harness = AggregatorHarness::new(Settings { poll_discovery: true, ..settings() }, &[1]);
    assert!(harness.actions.contains(&Action::SubscribeToEndpoints));
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Failed)]);
    assert!(
        !harness.actions.contains(&Action::SubscribeToEndpoints),
        "the subscription is retried only after a backoff, because discovery may be overloaded"
    );
    let mut subscriptions = 0;
    for _ in 0..200 {
        harness.advance(10);
        subscriptions +=
            harness.actions.iter().filter(|action| **action == Action::SubscribeToEndpoints).count();
    }
    assert_eq!(subscriptions, 1);
}

#[test]
fn a_query_that_can_no_longer_be_served_ends_at_once() {
    // Such a query used to be held until its objective: the client waited although no answer was possible,
    // and the other parts used up the workers' time.
    let mut harness = AggregatorHarness::new(
        Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() },
        &[1, 2, 3],
    );
    let (query, _) = harness.submit(Some("k"), &[0, 1]);
    let first = harness.sent[0];
    harness.step(vec![harness.attempt_finished(first, AttemptOutcome::ConnectionReset, None)]);
    assert!(harness.actions.contains(&Action::Fail { id: query }), "{:?}", harness.actions);
    // The other part's attempt is cancelled, and no part is sent again.
    assert!(harness.actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    assert_eq!(harness.sent.len(), 2);
}
