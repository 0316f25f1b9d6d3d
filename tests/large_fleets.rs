//! Decisions in fleets of many aggregators that each see little traffic, tested through the public
//! interface of the decision module.

mod common;

use common::{AggregatorHarness, MS, Sent, entry, ms, rejected, settings};
use gatherer::policy::{
    AttemptOutcome, CellId, Endpoint, EndpointStatus, EndpointUpdate, Event, RetryBudget, Settings, Time,
    WorkerId,
};

/// Submits a query with one part, for shard 0, whose client waits for `time_left_ms`, and answers the part
/// after 100 ms. Returns whether the query was admitted.
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
    // Seen in the enlarged scenario najdeno-ljubljana: a sixtieth of the slow-start budget is less than one
    // part, so no aggregator sent any part to the worker.
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
        // Each aggregator has a part for the worker twice a second, as a query or as a retry.
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
    // Each part costs 0.1 s. The worker has one core, of which a fifth is available at first, and fails if
    // it is sent twice its capacity for a second.
    let mut total_parts = 0;
    for second in 0..9_u64 {
        let is_in_second = |at: &&Time| at.since(start).as_secs() == second;
        let sent_work = sent_at.iter().filter(is_in_second).count() as f64 * 0.1;
        let allowed = 2.0 * (0.2 + 0.8 * second as f64 / 10.0);
        assert!(sent_work <= allowed, "second {second}: {sent_work:.1} s of work, {allowed:.1} s allowed");
        total_parts += sent_at.iter().filter(is_in_second).count();
    }
    assert!(total_parts >= 20, "only {total_parts} parts were sent in 9 s");
}

#[test]
fn responses_that_are_late_by_the_aggregators_own_pause_do_not_count_against_workers() {
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
    // Seen in the enlarged scenarios najdeno-ljubljana and big-2: such retries were half of all attempts.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..5 {
        assert!(admitted(&mut harness, 4000, false));
    }
    assert!(admitted(&mut harness, 4000, true), "first submitted 0.1 s ago, with an objective of 1.5 s");
    assert!(!admitted(&mut harness, 2500, true), "first submitted 2.5 s ago, with an objective of 1.5 s");
}

#[test]
fn a_short_client_deadline_is_not_taken_for_a_retry() {
    // Incident idf13d3: clients wait for half a second only, at a site that marks no retries.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..5 {
        assert!(admitted(&mut harness, 4000, false));
    }
    assert!(
        !admitted(&mut harness, 3400, false),
        "1.6 s spent: as late as a retry after a first attempt that missed its objective"
    );
    assert!(
        admitted(&mut harness, 600, false),
        "4.4 s spent: too late for a retry, so the client's deadline is short"
    );
}

#[test]
fn hedges_beside_healthy_workers_stay_within_a_fraction_of_the_requests() {
    // Seen in the enlarged scenario najdeno-ljubljana: ten free attempts in 2 s at each of 79 aggregators
    // were as much work as the queries themselves.
    let budget = Some(RetryBudget { free_attempts: 100.0, ratio: 1.0, window: ms(10_000) });
    let mut harness = AggregatorHarness::new(
        Settings { may_health_check: false, retry_budget: budget, ..settings() },
        &[1, 2, 3],
    );
    harness.submit(Some("k"), &[0, 1, 2, 3, 4, 5, 6, 7]);
    let first = harness.sent.clone();
    harness.advance(200);
    // Each worker answers one of its parts now. It is then healthy, and its other parts are late.
    for worker in [1, 2, 3].map(WorkerId) {
        if let Some(sent) = first.iter().find(|sent| sent.worker == worker) {
            harness.step(vec![harness.attempt_finished(*sent, AttemptOutcome::Succeeded, None)]);
        }
    }
    harness.advance(1100);
    let hedges = harness.sent.len() - first.len();
    assert!((1..=2).contains(&hedges), "{hedges} hedges of 8 parts, 1 or 2 are expected");
}

#[test]
fn a_step_sends_half_open_attempts_to_two_ejected_workers_at_most() {
    let settings =
        Settings { cells: 8, cells_per_shard: 2, shards: 8, may_health_check: false, ..settings() };
    let mut harness = AggregatorHarness::new(settings, &[]);
    let endpoint =
        |worker: u32| Endpoint { cell: CellId(worker), ..entry(worker, EndpointStatus::Active, None) };
    let list: Vec<Endpoint> = (0..8).map(endpoint).collect();
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
        // Finish all attempts, including the retries of failed ones.
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
fn a_worker_that_loses_most_attempts_is_avoided_although_it_answers_some() {
    // Seen in the enlarged scenario ahmedabad-orders: a worker behind a path that lost most attempts was
    // reinstated by each answer.
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
    assert!(later <= 4, "{later} of the last 20 parts were sent to the lossy worker");
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
    assert_eq!(harness.sent.len(), 2, "the part is not sent to a third worker");
}
