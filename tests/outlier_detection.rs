//! Which workers are ejected, for how long, and what they still get.

mod common;

use common::*;
use gatherer::policy::*;

/// Drives leaf 1 silent while the others answer after 100 ms; returns the sends of the last second.
fn with_silent(silent: &[u32], leaves: &[u32]) -> Vec<Sent> {
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, leaves);
    let start = root.now;
    for step in 0..400u64 {
        root.now = start.after(ms(10 * step));
        let due: Vec<Sent> = root
            .sent
            .iter()
            .copied()
            .filter(|sent| !silent.contains(&sent.worker.0) && root.now.since(sent.at) == ms(100))
            .collect();
        let mut events: Vec<Event> = due
            .iter()
            .map(|sent| root.attempt_finished(*sent, AttemptOutcome::Succeeded, Some(0.5)))
            .collect();
        if step % 5 == 0 {
            events.extend(root.new_query(Some(&format!("k{step}")), &[0]).2);
        }
        root.step(events);
    }
    root.sent.into_iter().filter(|sent| sent.at >= start.after(ms(3000))).collect()
}

#[test]
fn a_silent_leaf_is_left_alone_but_for_trials() {
    let sends = with_silent(&[1], &[1, 2, 3]);
    let silent = sends.iter().filter(|sent| sent.worker == WorkerId(1)).count();
    assert!(silent <= 2, "{silent} of {} sends to a silent leaf", sends.len());
}

#[test]
fn more_than_half_of_the_leaves_silent_still_leaves_the_others_the_work() {
    // Incident i1d46fa: a root cut off from one zone, with one leaf more in doubt.
    let sends = with_silent(&[1, 2, 3], &[1, 2, 3, 4, 5]);
    let silent = sends.iter().filter(|sent| sent.worker.0 <= 3).count();
    assert!(silent * 8 <= sends.len(), "{silent} of {} sends to silent leaves", sends.len());
}

#[test]
fn a_failed_connection_alone_does_not_make_a_leaf_cold() {
    // At full size a verdict of cold shuts a leaf for most of a warm-up, so only the list gives it.
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    root.submit(Some("k"), &[0]);
    let first = root.last_sent();
    root.step(vec![root.attempt_finished(first, AttemptOutcome::ConnectFailed, None)]);
    root.advance(1100);
    root.submit(Some("k"), &[0]);
    let second = root.last_sent();
    root.advance(100);
    root.step(vec![root.attempt_finished(second, AttemptOutcome::Succeeded, None)]);
    let before = root.sent.len();
    for key in 0..4 {
        root.submit(Some(&format!("k{key}")), &[0]);
    }
    assert_eq!(root.sent.len() - before, 4);
}

#[test]
fn a_class_that_a_leaf_loses_is_kept_from_it() {
    // Six of twelve leaves answered every class but the one that runs once: a quarter of its queries failed.
    let classes = vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let settings = Settings { classes, may_health_check: false, ..settings() };
    // A key whose home is the first leaf.
    let goes = |key: &String| {
        let mut root = AggregatorHarness::new(settings.clone(), &[1, 2]);
        root.submit(Some(key), &[0]);
        root.last_sent().worker
    };
    let key = (0..).map(|at| format!("k{at}")).find(|key| goes(key) == WorkerId(1)).expect("a key");
    let mut root = AggregatorHarness::new(settings.clone(), &[1]);
    let once = |root: &mut AggregatorHarness| {
        let (_, _, mut events) = root.new_query(Some(&key), &[0]);
        if let Some(Event::QueryReceived(asked)) = events.first_mut() {
            asked.class = ClassId(1);
        }
        root.step(events);
        root.last_sent()
    };
    // Alone, it answers whatever may be repeated and loses what runs once.
    let lost = once(&mut root);
    for _ in 0..14 {
        root.submit(Some(&key), &[0]);
        root.advance(100);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.3))]);
    }
    root.step(vec![root.attempt_finished(lost, AttemptOutcome::TimedOut, None)]);
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2])))]);
    root.submit(Some(&key), &[0]);
    assert_eq!(root.last_sent().worker, WorkerId(1), "what it answers still goes there");
    assert_eq!(once(&mut root).worker, WorkerId(2), "what it loses does not");
}

#[test]
fn what_runs_once_is_refused_where_every_replica_loses_its_class() {
    // Eight of twelve leaves lost the class that runs once: while its other replica was suspect, parts that run once
    // went to one that had lost six before them.
    let classes = vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let settings =
        Settings { classes, may_health_check: false, max_retry_after: Some(ms(500)), ..settings() };
    let mut root = AggregatorHarness::new(settings, &[1]);
    let once = |root: &mut AggregatorHarness| {
        let (query, _, mut events) = root.new_query(None, &[0]);
        if let Some(Event::QueryReceived(asked)) = events.first_mut() {
            asked.class = ClassId(1);
        }
        let before = root.sent.len();
        root.step(events);
        (query, root.sent.len() > before)
    };
    let mut lost = Vec::new();
    for _ in 0..4 {
        assert!(once(&mut root).1);
        lost.push(root.last_sent());
    }
    for _ in 0..10 {
        root.submit(None, &[0]);
        root.advance(100);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.3))]);
    }
    let (query, sent) = once(&mut root);
    assert!(!sent, "it would be lost");
    let refused = |action: &Action| matches!(action, Action::Reject { id, .. } if *id == query);
    assert!(root.actions.iter().any(refused), "and refused at once, while nothing of it has run");
    root.submit(None, &[0]);
    assert_eq!(root.last_sent().worker, WorkerId(1), "what may be repeated is served");
    // Another replica that is suspect for broken connections is better than one that loses the class.
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2])))]);
    let to_two = loop {
        root.submit(None, &[0]);
        if root.last_sent().worker == WorkerId(2) {
            break root.last_sent();
        }
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.3))]);
    };
    root.step(vec![root.attempt_finished(to_two, AttemptOutcome::ConnectFailed, None)]);
    assert!(once(&mut root).1);
    assert_eq!(root.last_sent().worker, WorkerId(2));
}

#[test]
fn one_connection_that_broke_does_not_bar_its_leaf() {
    // Where connections break now and then, most leaves were suspect at any time, and the worst were left to choose.
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    root.submit(Some("k"), &[0]);
    let home = root.last_sent().worker;
    for (outcome, at_home) in [
        (AttemptOutcome::Succeeded, true),
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::ConnectFailed, false),
    ] {
        root.step(vec![root.attempt_finished(root.last_sent(), outcome, Some(0.3))]);
        // A copy of what broke goes to the other leaf.
        if outcome != AttemptOutcome::Succeeded {
            root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.3))]);
        }
        root.submit(Some("k"), &[0]);
        assert_eq!(root.last_sent().worker == home, at_home, "after {outcome:?}");
    }
}

#[test]
fn errors_alone_make_no_suspect() {
    // zone+vast: two errors barred a replica that fails at once while the other was full. Suspects alone are probed.
    for (outcome, suspect) in [(AttemptOutcome::Failed, false), (AttemptOutcome::Rejected, true)] {
        let mut root = AggregatorHarness::new(settings(), &[1]);
        root.submit(Some("k"), &[0]);
        for _ in 0..2 {
            root.step(vec![root.attempt_finished(root.last_sent(), outcome, None)]);
        }
        assert_eq!(
            root.actions.contains(&Action::SendHealthCheck { worker: WorkerId(1) }),
            suspect,
            "{outcome:?}"
        );
    }
}

#[test]
fn what_turned_parts_away_is_tried_sooner_than_what_cannot_be_reached() {
    for (outcome, strikes, again) in
        [(AttemptOutcome::Rejected, 2, true), (AttemptOutcome::ConnectFailed, 1, false)]
    {
        let mut root = AggregatorHarness::new(
            Settings { may_health_check: false, fleet_size: 100, ..settings() },
            &[1, 2],
        );
        root.submit(Some("k"), &[0]);
        let home = root.last_sent().worker;
        for _ in 0..strikes {
            root.step(vec![root.attempt_finished(root.last_sent(), outcome, None)]);
            root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.3))]);
            root.submit(Some("k"), &[0]);
        }
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(0.3))]);
        root.advance(1200);
        // A trial goes beside an attempt at the other.
        root.submit(Some("k"), &[0]);
        let tried = root.sent.iter().any(|sent| sent.worker == home && sent.at == root.now);
        assert_eq!(tried, again, "{outcome:?}");
    }
}

#[test]
fn a_root_that_stood_still_takes_no_zone_for_lost() {
    for (step, lost) in [(10, true), (3000, false)] {
        let mut root =
            AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3, 4, 5, 6]);
        (0..12).for_each(|key| drop(root.submit(Some(&format!("k{key}")), &[0])));
        let mut told = false;
        for _ in 0..3000 / step {
            root.now = root.now.after(ms(step));
            root.step(vec![Event::TimerFired { timer: TimerId(0) }]);
            told |= root.actions.iter().any(|a| matches!(a, Action::Log { text } if text.contains("zone 0")));
        }
        assert_eq!(told, lost, "in steps of {step} ms");
    }
}

#[test]
fn a_zone_that_is_back_with_new_processes_is_not_lost_for_what_the_old_ones_missed() {
    // zone+mass: each root called the whole zone lost again 10 ms after the list that named its workers' new starts.
    let mut root =
        AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3, 4, 5, 6]);
    let lost = |root: &AggregatorHarness| {
        root.actions.iter().any(|a| matches!(a, Action::Log { text } if text.contains("zone 0: no answer")))
    };
    let mut told = false;
    (0..12).for_each(|key| drop(root.submit(Some(&format!("k{key}")), &[0])));
    for _ in 0..300 {
        root.advance(10);
        told |= lost(&root);
    }
    assert!(told, "nothing in it answers");
    root.advance(1000);
    let since = Some(root.now);
    let back = (1..=6).map(|leaf| entry(leaf, EndpointStatus::Active, since)).collect();
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(back))]);
    assert!(!lost(&root), "it is lost again for what came before the new starts");
}
