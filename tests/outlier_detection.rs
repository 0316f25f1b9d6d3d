//! Which workers are ejected, for how long, and what they still get.

mod common;

use common::{AggregatorHarness, Sent, class, endpoint_list, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptOutcome, ClassId, EndpointStatus, EndpointUpdate, Event, Idempotency, Settings, TimerId,
    WorkerId,
};

/// Drives worker 1 silent while the others answer after 100 ms; returns the sends of the last second.
fn with_silent(silent: &[u32], workers: &[u32]) -> Vec<Sent> {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, workers);
    let start = harness.now;
    for step in 0..400u64 {
        harness.now = start.after(ms(10 * step));
        let due: Vec<Sent> = harness
            .sent
            .iter()
            .copied()
            .filter(|sent| !silent.contains(&sent.worker.0) && harness.now.since(sent.at) == ms(100))
            .collect();
        let mut events: Vec<Event> = due
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
    let sends = with_silent(&[1], &[1, 2, 3]);
    let silent = sends.iter().filter(|sent| sent.worker == WorkerId(1)).count();
    assert!(silent <= 2, "{silent} of {} sends to a silent worker", sends.len());
}

#[test]
fn with_more_than_half_of_the_workers_unresponsive_the_others_get_the_parts() {
    // Incident i1d46fa: an aggregator cut off from one zone, with one worker more in doubt.
    let sends = with_silent(&[1, 2, 3], &[1, 2, 3, 4, 5]);
    let silent = sends.iter().filter(|sent| sent.worker.0 <= 3).count();
    assert!(silent * 8 <= sends.len(), "{silent} of {} sends to silent workers", sends.len());
}

#[test]
fn a_failed_connection_alone_does_not_make_a_worker_warm_up() {
    // At full size a verdict of warming-up shuts a worker for most of a warm-up, so only the list gives it.
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
    // Six of twelve workers answered every class but the one that runs once: a quarter of its queries failed.
    let classes = vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let settings = Settings { classes, may_health_check: false, ..settings() };
    // A key whose home is the first worker.
    let goes = |key: &String| {
        let mut harness = AggregatorHarness::new(settings.clone(), &[1, 2]);
        harness.submit(Some(key), &[0]);
        harness.last_sent().worker
    };
    let key = (0..).map(|at| format!("k{at}")).find(|key| goes(key) == WorkerId(1)).expect("a key");
    let mut harness = AggregatorHarness::new(settings.clone(), &[1]);
    let once = |harness: &mut AggregatorHarness| {
        let (_, _, mut events) = harness.new_query(Some(&key), &[0]);
        if let Some(Event::QueryReceived(asked)) = events.first_mut() {
            asked.class = ClassId(1);
        }
        harness.step(events);
        harness.last_sent()
    };
    // Alone, it answers whatever may be repeated and loses what runs once.
    let lost = once(&mut harness);
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
    assert_eq!(harness.last_sent().worker, WorkerId(1), "what it answers still goes there");
    assert_eq!(once(&mut harness).worker, WorkerId(2), "what it loses does not");
}

#[test]
fn a_non_idempotent_query_is_rejected_where_its_class_fails_at_every_replica() {
    // Eight of twelve workers lost the class that runs once: while its other replica was ejected, parts that
    // run once went to one that had lost six before them.
    let classes = vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let settings =
        Settings { classes, may_health_check: false, max_retry_after: Some(ms(500)), ..settings() };
    let mut harness = AggregatorHarness::new(settings, &[1]);
    let once = |harness: &mut AggregatorHarness| {
        let (query, _, mut events) = harness.new_query(None, &[0]);
        if let Some(Event::QueryReceived(asked)) = events.first_mut() {
            asked.class = ClassId(1);
        }
        let before = harness.sent.len();
        harness.step(events);
        (query, harness.sent.len() > before)
    };
    let mut lost = Vec::new();
    for _ in 0..4 {
        assert!(once(&mut harness).1);
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
    let (query, sent) = once(&mut harness);
    assert!(!sent, "it would be lost");
    let rejected = |action: &Action| matches!(action, Action::Reject { id, .. } if *id == query);
    assert!(harness.actions.iter().any(rejected), "and rejected at once, while nothing of it has run");
    harness.submit(None, &[0]);
    assert_eq!(harness.last_sent().worker, WorkerId(1), "what may be repeated is served");
    // Another replica that is ejected for broken connections is better than one that loses the class.
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2])))]);
    let to_two = loop {
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
    harness.step(vec![harness.attempt_finished(to_two, AttemptOutcome::ConnectFailed, None)]);
    assert!(once(&mut harness).1);
    assert_eq!(harness.last_sent().worker, WorkerId(2));
}

#[test]
fn one_connection_reset_does_not_eject_a_worker() {
    // Where connections break now and then, most workers were ejected at any time, and the worst were left to
    // choose.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    harness.submit(Some("k"), &[0]);
    let home = harness.last_sent().worker;
    for (outcome, at_home) in [
        (AttemptOutcome::Succeeded, true),
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::ConnectFailed, false),
    ] {
        harness.step(vec![harness.attempt_finished(harness.last_sent(), outcome, Some(0.3))]);
        // A hedge of what broke goes to the other worker.
        if outcome != AttemptOutcome::Succeeded {
            harness.step(vec![harness.attempt_finished(
                harness.last_sent(),
                AttemptOutcome::Succeeded,
                Some(0.3),
            )]);
        }
        harness.submit(Some("k"), &[0]);
        assert_eq!(harness.last_sent().worker == home, at_home, "after {outcome:?}");
    }
}

#[test]
fn errors_alone_eject_no_worker() {
    // zone+vast: two errors barred a replica that fails at once while the other was full. Ejected workers alone are
    // probed.
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
fn a_worker_that_rejects_is_tried_sooner_than_one_that_cannot_be_reached() {
    for (outcome, strikes, again) in
        [(AttemptOutcome::Rejected, 2, true), (AttemptOutcome::ConnectFailed, 1, false)]
    {
        let mut harness = AggregatorHarness::new(
            Settings { may_health_check: false, fleet_size: 100, ..settings() },
            &[1, 2],
        );
        harness.submit(Some("k"), &[0]);
        let home = harness.last_sent().worker;
        for _ in 0..strikes {
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
        // A trial goes beside an attempt at the other.
        harness.submit(Some("k"), &[0]);
        let tried = harness.sent.iter().any(|sent| sent.worker == home && sent.at == harness.now);
        assert_eq!(tried, again, "{outcome:?}");
    }
}

#[test]
fn an_aggregator_that_was_paused_ejects_no_zone() {
    for (step, lost) in [(10, true), (3000, false)] {
        let mut harness =
            AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3, 4, 5, 6]);
        (0..12).for_each(|key| drop(harness.submit(Some(&format!("k{key}")), &[0])));
        let mut reported = false;
        for _ in 0..3000 / step {
            harness.now = harness.now.after(ms(step));
            harness.step(vec![Event::TimerFired { timer: TimerId(0) }]);
            reported |=
                harness.actions.iter().any(|a| matches!(a, Action::Log { text } if text.contains("zone 0")));
        }
        assert_eq!(reported, lost, "in steps of {step} ms");
    }
}

#[test]
fn a_zone_of_restarted_workers_is_not_ejected_for_what_the_old_processes_missed() {
    // zone+mass: each aggregator called the whole zone lost again 10 ms after the list that named its
    // workers' new starts.
    let mut harness =
        AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3, 4, 5, 6]);
    let lost = |harness: &AggregatorHarness| {
        harness
            .actions
            .iter()
            .any(|a| matches!(a, Action::Log { text } if text.contains("zone 0: no answer")))
    };
    let mut reported = false;
    (0..12).for_each(|key| drop(harness.submit(Some(&format!("k{key}")), &[0])));
    for _ in 0..300 {
        harness.advance(10);
        reported |= lost(&harness);
    }
    assert!(reported, "nothing in it answers");
    harness.advance(1000);
    let since = Some(harness.now);
    let back = (1..=6).map(|worker| entry(worker, EndpointStatus::Active, since)).collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(back))]);
    assert!(!lost(&harness), "it is lost again for what came before the new starts");
}
