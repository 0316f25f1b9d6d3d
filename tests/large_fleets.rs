//! Defences for fleets of many aggregators that each see little, driven through the interface alone.

mod common;

use common::{AggregatorHarness, MS, Sent, entry, ms, rejected, settings};
use gatherer::policy::{
    AttemptOutcome, CellId, Endpoint, EndpointStatus, EndpointUpdate, Event, RetryBudget, Settings, Time,
    WorkerId,
};

/// Asks for one part of shard 0 with so much time left; whether it was sent in that step.
fn admitted(harness: &mut AggregatorHarness, left: u64, retry: bool) -> bool {
    let (query, _, mut events) = harness.new_query(Some("k"), &[0]);
    if let Some(Event::QueryReceived(asked)) = events.first_mut() {
        (asked.valid_until, asked.is_retry) = (harness.now.after(ms(left)), retry);
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
    // najdeno-ljubljana grown: a sixtieth of the push holds no whole part, so nobody sent any.
    let harnesses = 60;
    let start = Time(1_000_000 * MS);
    let mut sent: Vec<Time> = Vec::new();
    for seed in 0..harnesses {
        let settings = Settings { seed, fleet_size: harnesses as u32, may_health_check: false, ..settings() };
        let mut harness = AggregatorHarness::new(settings, &[]);
        let news = [entry(1, EndpointStatus::Active, Some(start))];
        harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(news[..].into()))]);
        harness.advance(10 * (seed % 50));
        // Retries and queries alike: each aggregator has a part for the worker twice a second.
        while harness.now < start.after(ms(10_000)) {
            harness.submit(Some("k"), &[0]);
            harness.advance(150);
            let out: Vec<Sent> =
                harness.sent.iter().copied().filter(|one| one.at.after(ms(150)) == harness.now).collect();
            harness.step(
                out.iter()
                    .map(|one| harness.attempt_finished(*one, AttemptOutcome::Succeeded, None))
                    .collect(),
            );
            harness.advance(350);
        }
        sent.extend(harness.sent.iter().map(|one| one.at));
    }
    // Parts of 0.1 s; the worker has one core, carries a fifth of it at first, and twice that for a second is
    // allowed.
    let mut total = 0;
    for second in 0..9_u64 {
        let inside = |at: &&Time| at.since(start).as_secs() == second;
        let pushed = sent.iter().filter(inside).count() as f64 * 0.1;
        let allowed = 2.0 * (0.2 + 0.8 * second as f64 / 10.0);
        assert!(pushed <= allowed, "second {second}: {pushed:.1} s of work, {allowed:.1} s allowed");
        total += sent.iter().filter(inside).count();
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
    // najdeno-ljubljana grown, big-2: such repeats were half of all attempts.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..5 {
        assert!(admitted(&mut harness, 4000, false));
    }
    assert!(admitted(&mut harness, 4000, true), "rejected early, asked again early: still in time");
    assert!(!admitted(&mut harness, 2500, true), "asked first 2.5 s ago, wanted within 1.5 s");
}

#[test]
fn a_short_client_deadline_is_not_taken_for_a_retry() {
    // Incident idf13d3: clients that wait half a second, at a site that marks no repeats.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..5 {
        assert!(admitted(&mut harness, 4000, false));
    }
    assert!(!admitted(&mut harness, 3400, false), "as late as a repeat of a query given up at its objective");
    assert!(admitted(&mut harness, 600, false), "too late for a repeat");
}

#[test]
fn hedges_beside_healthy_workers_keep_within_a_share_of_the_requests() {
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
    // Each worker that has parts answers one of them now, so its others are late and it is sound.
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
    let news: Vec<Endpoint> = (0..8).map(cell).collect();
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(news.into()))]);
    let unreachable: Vec<WorkerId> = [0, 2, 4, 6].map(WorkerId).into();
    for round in 0..20 {
        harness.submit(Some(&format!("k{round}")), &[0, 1, 2, 3, 4, 5, 6, 7]);
        let tried = harness
            .sent
            .iter()
            .filter(|sent| sent.at == harness.now && unreachable.contains(&sent.worker))
            .count();
        assert!(round == 0 || tried <= 2, "round {round}: {tried} ejected workers tried in one step");
        // Every attempt is answered, the repeats of those rejected too.
        for _ in 0..3 {
            let out: Vec<Sent> = harness.sent.iter().copied().filter(|sent| sent.at == harness.now).collect();
            harness.advance(100);
            let bad = |sent: &Sent| unreachable.contains(&sent.worker);
            let outcome = |sent: &Sent| {
                if bad(sent) { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Succeeded }
            };
            harness.step(
                out.iter().map(|sent| harness.attempt_finished(*sent, outcome(sent), Some(1.0))).collect(),
            );
        }
        harness.advance(10_000);
    }
}

#[test]
fn a_worker_that_loses_most_attempts_is_avoided_though_it_answers_some() {
    // ahmedabad-orders grown: a path that lost most attempts was cleared by each answer.
    let mut harness = AggregatorHarness::new(
        Settings { may_health_check: false, hedging_allowed: false, ..settings() },
        &[1, 2],
    );
    harness.submit(Some("k"), &[0]);
    let (home, mut lossy) = (harness.last_sent().worker, Vec::new());
    let mut sent = harness.last_sent();
    for round in 0..30 {
        if sent.worker == home && round % 4 != 3 {
            harness.advance(1500);
            harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::TimedOut, None)]);
        } else {
            harness.advance(100);
            harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, None)]);
        }
        harness.advance(300);
        harness.submit(Some("k"), &[0]);
        sent = harness.last_sent();
        lossy.push(sent.worker == home);
    }
    let late = lossy[10..].iter().filter(|home| **home).count();
    assert!(late <= 4, "{late} of 20 parts to the lossy worker");
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
    assert_eq!(harness.sent.len(), 2, "no third worker is brought down");
}
