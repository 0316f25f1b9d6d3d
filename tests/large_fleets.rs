//! Decisions in fleets of many aggregators that each see little traffic, driven through the interface alone.

mod common;

use common::{AggregatorHarness, MS, Sent, entry, ms, rejected, settings};
use gatherer::policy::{
    AttemptOutcome, CellId, Endpoint, EndpointStatus, EndpointUpdate, Event, RetryBudget, Settings, Time,
    WorkerId,
};

/// Submits a query for one part of shard 0 whose client waits for `time_left_ms`; returns whether it was sent
/// in that step.
fn admitted(harness: &mut AggregatorHarness, time_left_ms: u64, is_retry: bool) -> bool {
    let (query, _, mut events) = harness.new_query(Some("k"), &[0]);
    if let Some(Event::QueryReceived(new_query)) = events.first_mut() {
        (new_query.valid_until, new_query.is_retry) = (harness.now.after(ms(time_left_ms)), is_retry);
    }
    harness.step(events);
    let sent = harness.sent.last().filter(|sent| sent.at == harness.now).copied();
    assert_eq!(sent.is_none(), rejected(harness, query));
    harness.advance(100);
    if let Some(sent) = sent {
        harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, None)]);
    }
    sent.is_some()
}

#[test]
fn many_aggregators_together_warm_a_worker_up_without_overloading_it() {
    // najdeno-ljubljana grown: a sixtieth of the slow-start budget holds no whole part, so no aggregator sent
    // any.
    let aggregators = 60;
    let start = Time(1_000_000 * MS);
    let mut sent_at: Vec<Time> = Vec::new();
    for seed in 0..aggregators {
        let settings =
            Settings { seed, fleet_size: aggregators as u32, may_health_check: false, ..settings() };
        let mut harness = AggregatorHarness::new(settings, &[]);
        let list = [entry(1, EndpointStatus::Active, Some(start))];
        harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(list[..].into()))]);
        harness.advance(10 * (seed % 50));
        // Retries and queries alike: each aggregator has a part for the worker twice a second.
        while harness.now < start.after(ms(10_000)) {
            harness.submit(Some("k"), &[0]);
            harness.advance(150);
            let finished: Vec<Sent> =
                harness.sent.iter().copied().filter(|sent| sent.at.after(ms(150)) == harness.now).collect();
            harness.step(
                finished
                    .iter()
                    .map(|sent| harness.attempt_finished(*sent, AttemptOutcome::Succeeded, None))
                    .collect(),
            );
            harness.advance(350);
        }
        sent_at.extend(harness.sent.iter().map(|sent| sent.at));
    }
    // Parts of 0.1 s; the worker has one core, of which a fifth is available at first; twice that is allowed
    // in a second.
    let mut total = 0;
    for second in 0..9_u64 {
        let inside = |at: &&Time| at.since(start).as_secs() == second;
        let sent_work = sent_at.iter().filter(inside).count() as f64 * 0.1;
        let allowed = 2.0 * (0.2 + 0.8 * second as f64 / 10.0);
        assert!(sent_work <= allowed, "second {second}: {sent_work:.1} s of work, {allowed:.1} s allowed");
        total += sent_at.iter().filter(inside).count();
    }
    assert!(total >= 20, "{total} parts in all");
}

#[test]
fn an_aggregator_that_was_paused_does_not_count_it_against_its_workers() {
    let settings = Settings { may_health_check: false, ..settings() };
    let mut harness = AggregatorHarness::new(settings, &[1]);
    for _ in 0..20 {
        harness.submit(Some("k"), &[0]);
        let sent = harness.last_sent();
        harness.now = harness.now.after(ms(1300));
        harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, None)]);
    }
    let before = harness.sent.len();
    harness.submit(Some("k"), &[0, 1, 2, 3]);
    assert_eq!(harness.sent.len() - before, 4);
}

#[test]
fn a_retry_past_the_objective_of_its_first_attempt_is_rejected_at_once() {
    // najdeno-ljubljana grown, big-2: such retries were half of all attempts.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..5 {
        assert!(admitted(&mut harness, 4000, false));
    }
    assert!(admitted(&mut harness, 4000, true), "rejected early, retried early: still in time");
    assert!(!admitted(&mut harness, 2500, true), "first submitted 2.5 s ago, with an objective of 1.5 s");
}

#[test]
fn a_short_client_deadline_is_not_taken_for_a_retry() {
    // Incident idf13d3: clients that wait half a second, at a site that marks no retries.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..5 {
        assert!(admitted(&mut harness, 4000, false));
    }
    assert!(!admitted(&mut harness, 3400, false), "as late as a retry of a query given up at its objective");
    assert!(admitted(&mut harness, 600, false), "too late for a retry");
}

#[test]
fn hedges_beside_healthy_workers_stay_within_a_fraction_of_the_requests() {
    // najdeno-ljubljana grown: ten free attempts in 2 s at each of 79 aggregators were as much work as was
    // asked for.
    let budget = Some(RetryBudget { free_attempts: 100.0, ratio: 1.0, window: ms(10_000) });
    let mut harness = AggregatorHarness::new(
        Settings { may_health_check: false, retry_budget: budget, ..settings() },
        &[1, 2, 3],
    );
    harness.submit(Some("k"), &[0, 1, 2, 3, 4, 5, 6, 7]);
    let first = harness.sent.clone();
    harness.advance(200);
    // Each worker that has parts answers one of them now, so its others are late and it is healthy.
    for worker in [1, 2, 3].map(WorkerId) {
        if let Some(sent) = first.iter().find(|sent| sent.worker == worker) {
            harness.step(vec![harness.attempt_finished(*sent, AttemptOutcome::Succeeded, None)]);
        }
    }
    harness.advance(1100);
    let hedges = harness.sent.len() - first.len();
    assert!((1..=2).contains(&hedges), "{hedges} hedges");
}

#[test]
fn a_step_sends_half_open_attempts_to_two_ejected_workers_at_most() {
    let settings =
        Settings { cells: 8, cells_per_shard: 2, shards: 8, may_health_check: false, ..settings() };
    let mut harness = AggregatorHarness::new(settings, &[]);
    let cell = |worker: u32| Endpoint { cell: CellId(worker), ..entry(worker, EndpointStatus::Active, None) };
    let list: Vec<Endpoint> = (0..8).map(cell).collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(list.into()))]);
    let unreachable: Vec<WorkerId> = [0, 2, 4, 6].map(WorkerId).into();
    for round in 0..20 {
        harness.submit(Some(&format!("k{round}")), &[0, 1, 2, 3, 4, 5, 6, 7]);
        let tried = harness
            .sent
            .iter()
            .filter(|sent| sent.at == harness.now && unreachable.contains(&sent.worker))
            .count();
        assert!(round == 0 || tried <= 2, "round {round}: {tried} ejected workers tried in one step");
        // Every attempt is finished, the retries of failed ones too.
        for _ in 0..3 {
            let finished: Vec<Sent> =
                harness.sent.iter().copied().filter(|sent| sent.at == harness.now).collect();
            harness.advance(100);
            let is_unreachable = |sent: &Sent| unreachable.contains(&sent.worker);
            let outcome = |sent: &Sent| {
                if is_unreachable(sent) { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Succeeded }
            };
            harness.step(
                finished
                    .iter()
                    .map(|sent| harness.attempt_finished(*sent, outcome(sent), Some(1.0)))
                    .collect(),
            );
        }
        harness.advance(10_000);
    }
}

#[test]
fn a_worker_that_loses_most_attempts_is_avoided_though_it_answers_some() {
    // ahmedabad-orders grown: a path that lost most attempts was reinstated by each answer.
    let mut harness = AggregatorHarness::new(
        Settings { may_health_check: false, hedging_allowed: false, ..settings() },
        &[1, 2],
    );
    harness.submit(Some("k"), &[0]);
    let (lossy, mut sent_to_lossy) = (harness.last_sent().worker, Vec::new());
    let mut sent = harness.last_sent();
    for round in 0..30 {
        if sent.worker == lossy && round % 4 != 3 {
            harness.advance(1500);
            harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::TimedOut, None)]);
        } else {
            harness.advance(100);
            harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, None)]);
        }
        harness.advance(300);
        harness.submit(Some("k"), &[0]);
        sent = harness.last_sent();
        sent_to_lossy.push(sent.worker == lossy);
    }
    let later = sent_to_lossy[10..].iter().filter(|to_lossy| **to_lossy).count();
    assert!(later <= 4, "{later} of 20 parts to the lossy worker");
}

#[test]
fn a_part_that_resets_two_connections_ends_its_query() {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3]);
    let (query, _) = harness.submit(Some("k"), &[0]);
    for _ in 0..2 {
        let sent = harness.last_sent();
        harness.advance(10);
        harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::ConnectionReset, None)]);
    }
    assert!(rejected(&harness, query));
    harness.advance(1500);
    assert_eq!(harness.sent.len(), 2, "no third worker gets it");
}
