//! Outlier detection: which workers are ejected, for how long, and which attempts they still receive.

mod common;

use common::{AggregatorHarness, Sent, class, endpoint_list, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptOutcome, ClassId, EndpointStatus, EndpointUpdate, Event, Idempotency, Settings, TimerId,
    WorkerId,
};

/// Runs for 4 s while some workers do not respond and the others respond after 100 ms. Returns the attempts
/// sent in the last second.
fn sent_beside_unresponsive(unresponsive: &[u32], workers: &[u32]) -> Vec<Sent> {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, workers);
    let start = harness.now;
    for step in 0..400u64 {
        harness.now = start.after(ms(10 * step));
        let finished: Vec<Sent> = harness
            .sent
            .iter()
            .copied()
            .filter(|sent| !unresponsive.contains(&sent.worker.0) && harness.now.since(sent.at) == ms(100))
            .collect();
        let mut events: Vec<Event> = finished
            .iter()
            .map(|sent| harness.attempt_finished(*sent, AttemptOutcome::Succeeded, Some(0.5)))
            .collect();
        if step % 5 == 0 {
            events.extend(harness.new_query(Some(&format!("k{step}")), &[0]).2);
        }
        harness.step(events);
    }
    harness.sent.into_iter().filter(|sent| sent.at >= start.after(ms(3000))).collect()
}

#[test]
fn an_unresponsive_worker_gets_half_open_attempts_only() {
    let sends = sent_beside_unresponsive(&[1], &[1, 2, 3]);
    let to_unresponsive = sends.iter().filter(|sent| sent.worker == WorkerId(1)).count();
    assert!(
        to_unresponsive <= 2,
        "{to_unresponsive} of {} attempts sent to the unresponsive worker",
        sends.len()
    );
}

#[test]
fn responsive_workers_get_the_parts_while_more_than_half_are_unresponsive() {
    // Incident i1d46fa: an aggregator was partitioned from one zone, and one more worker was unresponsive.
    let sends = sent_beside_unresponsive(&[1, 2, 3], &[1, 2, 3, 4, 5]);
    let to_unresponsive = sends.iter().filter(|sent| sent.worker.0 <= 3).count();
    assert!(
        to_unresponsive * 8 <= sends.len(),
        "{to_unresponsive} of {} attempts sent to unresponsive workers",
        sends.len()
    );
}

#[test]
fn a_failed_connection_alone_does_not_make_a_worker_warm_up() {
    // In a large fleet a warming-up worker gets hardly any parts for most of its warm-up, so a warm-up may
    // be started only by the endpoint list.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    harness.submit(Some("k"), &[0]);
    let first = harness.last_sent();
    harness.step(vec![harness.attempt_finished(first, AttemptOutcome::ConnectFailed, None)]);
    harness.advance(1100);
    harness.submit(Some("k"), &[0]);
    let second = harness.last_sent();
    harness.advance(100);
    harness.step(vec![harness.attempt_finished(second, AttemptOutcome::Succeeded, None)]);
    let before = harness.sent.len();
    for key in 0..4 {
        harness.submit(Some(&format!("k{key}")), &[0]);
    }
    assert_eq!(harness.sent.len() - before, 4);
}

#[test]
fn a_worker_gets_no_part_of_a_class_that_fails_there() {
    // Six of twelve workers answered all classes except the non-idempotent one, and a quarter of that
    // class's queries failed.
    let classes = vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let settings = Settings { classes, may_health_check: false, ..settings() };
    // A key whose preferred replica is the first worker.
    let preferred_replica = |key: &String| {
        let mut harness = AggregatorHarness::new(settings.clone(), &[1, 2]);
        harness.submit(Some(key), &[0]);
        harness.last_sent().worker
    };
    let key = (0..)
        .map(|number| format!("k{number}"))
        .find(|key| preferred_replica(key) == WorkerId(1))
        .expect("some key prefers the first worker");
    let mut harness = AggregatorHarness::new(settings.clone(), &[1]);
    let send_non_idempotent = |harness: &mut AggregatorHarness| {
        let (_, _, mut events) = harness.new_query(Some(&key), &[0]);
        if let Some(Event::QueryReceived(new_query)) = events.first_mut() {
            new_query.class = ClassId(1);
        }
        harness.step(events);
        harness.last_sent()
    };
    // While it is the only worker, it answers idempotent queries and loses a non-idempotent one.
    let lost = send_non_idempotent(&mut harness);
    for _ in 0..14 {
        harness.submit(Some(&key), &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(0.3),
        )]);
    }
    harness.step(vec![harness.attempt_finished(lost, AttemptOutcome::TimedOut, None)]);
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2])))]);
    harness.submit(Some(&key), &[0]);
    assert_eq!(
        harness.last_sent().worker,
        WorkerId(1),
        "idempotent queries still go to the worker that answers them"
    );
    assert_eq!(
        send_non_idempotent(&mut harness).worker,
        WorkerId(2),
        "non-idempotent queries avoid the worker that loses them"
    );
}

#[test]
fn a_non_idempotent_query_is_rejected_where_its_class_fails_at_every_replica() {
    // Eight of twelve workers lost the parts of the non-idempotent class. While the other replica was
    // ejected, parts were sent to a worker that had already lost six.
    let classes = vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let settings =
        Settings { classes, may_health_check: false, max_retry_after: Some(ms(500)), ..settings() };
    let mut harness = AggregatorHarness::new(settings, &[1]);
    let submit_non_idempotent = |harness: &mut AggregatorHarness| {
        let (query, _, mut events) = harness.new_query(None, &[0]);
        if let Some(Event::QueryReceived(new_query)) = events.first_mut() {
            new_query.class = ClassId(1);
        }
        let before = harness.sent.len();
        harness.step(events);
        (query, harness.sent.len() > before)
    };
    let mut lost = Vec::new();
    for _ in 0..4 {
        assert!(submit_non_idempotent(&mut harness).1);
        lost.push(harness.last_sent());
    }
    for _ in 0..10 {
        harness.submit(None, &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(0.3),
        )]);
    }
    let (query, sent) = submit_non_idempotent(&mut harness);
    assert!(!sent, "the worker has lost four parts of the class and gets no more");
    let rejected = |action: &Action| matches!(action, Action::Reject { id, .. } if *id == query);
    assert!(
        harness.actions.iter().any(rejected),
        "the query is rejected at once, because no part of it has run"
    );
    harness.submit(None, &[0]);
    assert_eq!(harness.last_sent().worker, WorkerId(1), "idempotent queries are served");
    // A replica that is ejected for a failed connection is preferred to one that loses the class.
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2])))]);
    let sent_to_second = loop {
        harness.submit(None, &[0]);
        if harness.last_sent().worker == WorkerId(2) {
            break harness.last_sent();
        }
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(0.3),
        )]);
    };
    harness.step(vec![harness.attempt_finished(sent_to_second, AttemptOutcome::ConnectFailed, None)]);
    assert!(submit_non_idempotent(&mut harness).1);
    assert_eq!(harness.last_sent().worker, WorkerId(2));
}

#[test]
fn one_connection_reset_does_not_eject_a_worker() {
    // When single resets ejected workers, occasional broken connections kept most workers ejected, and only
    // the worst ones were eligible.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    harness.submit(Some("k"), &[0]);
    let preferred = harness.last_sent().worker;
    for (outcome, at_preferred) in [
        (AttemptOutcome::Succeeded, true),
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::ConnectFailed, false),
    ] {
        harness.step(vec![harness.attempt_finished(harness.last_sent(), outcome, Some(0.3))]);
        // After a failed attempt, the retry at the other worker succeeds.
        if outcome != AttemptOutcome::Succeeded {
            harness.step(vec![harness.attempt_finished(
                harness.last_sent(),
                AttemptOutcome::Succeeded,
                Some(0.3),
            )]);
        }
        harness.submit(Some("k"), &[0]);
        assert_eq!(harness.last_sent().worker == preferred, at_preferred, "after {outcome:?}");
    }
}

#[test]
fn errors_alone_eject_no_worker() {
    // Seen in the scenario zone+vast: two errors ejected a replica that fails quickly, while the other
    // replica was full. The test recognises an ejected worker by its health check.
    for (outcome, ejected) in [(AttemptOutcome::Failed, false), (AttemptOutcome::Rejected, true)] {
        let mut harness = AggregatorHarness::new(settings(), &[1]);
        harness.submit(Some("k"), &[0]);
        for _ in 0..2 {
            harness.step(vec![harness.attempt_finished(harness.last_sent(), outcome, None)]);
        }
        assert_eq!(
            harness.actions.contains(&Action::SendHealthCheck { worker: WorkerId(1) }),
            ejected,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_worker_that_rejects_is_tried_again_sooner_than_an_unreachable_one() {
    for (outcome, failures, is_retried) in
        [(AttemptOutcome::Rejected, 2, true), (AttemptOutcome::ConnectFailed, 1, false)]
    {
        let mut harness = AggregatorHarness::new(
            Settings { may_health_check: false, fleet_size: 100, ..settings() },
            &[1, 2],
        );
        harness.submit(Some("k"), &[0]);
        let preferred = harness.last_sent().worker;
        for _ in 0..failures {
            harness.step(vec![harness.attempt_finished(harness.last_sent(), outcome, None)]);
            harness.step(vec![harness.attempt_finished(
                harness.last_sent(),
                AttemptOutcome::Succeeded,
                Some(0.3),
            )]);
            harness.submit(Some("k"), &[0]);
        }
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(0.3),
        )]);
        harness.advance(1200);
        // A half-open attempt may be sent beside an attempt at the other worker.
        harness.submit(Some("k"), &[0]);
        let tried = harness.sent.iter().any(|sent| sent.worker == preferred && sent.at == harness.now);
        assert_eq!(tried, is_retried, "{outcome:?}");
    }
}

#[test]
fn an_aggregator_that_was_paused_ejects_no_zone() {
    // Steps 3000 ms apart are a pause of the aggregator; steps of 10 ms are its normal interval.
    for (step_ms, is_ejected) in [(10, true), (3000, false)] {
        let mut harness =
            AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3, 4, 5, 6]);
        (0..12).for_each(|key| drop(harness.submit(Some(&format!("k{key}")), &[0])));
        let mut zone_was_ejected = false;
        for _ in 0..3000 / step_ms {
            harness.now = harness.now.after(ms(step_ms));
            harness.step(vec![Event::TimerFired { timer: TimerId(0) }]);
            zone_was_ejected |= harness
                .actions
                .iter()
                .any(|action| matches!(action, Action::Log { text } if text.contains("zone 0")));
        }
        assert_eq!(zone_was_ejected, is_ejected, "ejection of the zone reported in steps of {step_ms} ms");
    }
}

#[test]
fn a_zone_of_restarted_workers_is_not_ejected_for_responses_missed_by_the_old_processes() {
    // Seen in the scenario zone+mass: 10 ms after the endpoint list with the workers' new incarnations,
    // each aggregator ejected the whole zone again.
    let mut harness =
        AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3, 4, 5, 6]);
    let zone_is_ejected = |harness: &AggregatorHarness| {
        harness
            .actions
            .iter()
            .any(|action| matches!(action, Action::Log { text } if text.contains("zone 0: no answer")))
    };
    let mut zone_was_ejected = false;
    (0..12).for_each(|key| drop(harness.submit(Some(&format!("k{key}")), &[0])));
    for _ in 0..300 {
        harness.advance(10);
        zone_was_ejected |= zone_is_ejected(&harness);
    }
    assert!(zone_was_ejected, "the zone is ejected while none of its workers responds");
    harness.advance(1000);
    let started_at = Some(harness.now);
    let restarted = (1..=6).map(|worker| entry(worker, EndpointStatus::Active, started_at)).collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(restarted))]);
    assert!(
        !zone_is_ejected(&harness),
        "the zone is ejected again for attempts that were sent to the old incarnations"
    );
}
