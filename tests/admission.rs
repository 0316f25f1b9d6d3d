//! Admission of queries while workers are busy, and the number of hedged requests for late parts.

mod common;

use common::{AggregatorHarness, MS, Sent, class, ended, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptNo, AttemptOutcome, CellId, Class, Endpoint, EndpointStatus, EndpointUpdate, Event,
    Idempotency, Settings, Tenant, TenantId, Time,
};

/// A harness with one worker for each of eight shards, and a class that may be answered from half of the
/// parts.
fn one_worker_per_shard() -> AggregatorHarness {
    let partial = Class { min_coverage: 0.5, partial_weight: 0.8, ..class(Idempotency::Idempotent) };
    let mut harness =
        AggregatorHarness::new(Settings { classes: vec![partial], cells: 8, shards: 8, ..settings() }, &[]);
    let workers =
        (0..8).map(|cell| Endpoint { cell: CellId(cell), ..entry(cell + 1, EndpointStatus::Active, None) });
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(workers.collect()))]);
    harness
}

/// Sends two parts to each of these shards and leaves them unanswered, so that a further part there would
/// wait past the latency objective.
fn saturate(harness: &mut AggregatorHarness, shards: &[u32]) {
    for (shard, cost_ms) in shards.iter().flat_map(|shard| [(*shard, 900), (*shard, 140)]) {
        let (_, _, mut events) = harness.new_query(None, &[shard]);
        for event in &mut events {
            if let Event::PartReceived(part) = event {
                part.cost_hint = Some(ms(cost_ms));
            }
        }
        let before = harness.sent.len();
        harness.step(events);
        assert_eq!(harness.sent.len(), before + 1, "shard {shard}: the part of {cost_ms} ms is sent");
    }
}

#[test]
fn a_query_with_only_half_of_its_parts_expected_in_time_is_rejected() {
    let mut harness = one_worker_per_shard();
    saturate(&mut harness, &[0, 1, 2, 3]);
    let before = harness.sent.len();
    let (query, _) = harness.submit(None, &[0, 1, 2, 3, 4, 5, 6, 7]);
    assert!(harness.actions.iter().any(|action| matches!(action, Action::Reject { id, .. } if *id == query)));
    assert_eq!(harness.sent.len(), before, "no part of the rejected query is sent");
}

#[test]
fn a_query_that_may_be_answered_partially_is_admitted_beside_one_saturated_shard() {
    let mut harness = one_worker_per_shard();
    saturate(&mut harness, &[5]);
    let before = harness.sent.len();
    harness.submit(None, &[0, 1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(harness.sent.len(), before + 8, "all parts are sent, the late one too");
}

/// The number of hedges sent while eight parts are late, after 100 responses that reported this
/// utilization.
fn hedges_sent_at(utilization: f64) -> usize {
    let mut harness = AggregatorHarness::new(settings(), &[1, 2, 3, 4, 5, 6, 7, 8]);
    for number in 0..100 {
        harness.submit(None, &[number % 8]);
        let sent = harness.last_sent();
        harness.advance(if number % 2 == 0 { 20 } else { 120 });
        harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, Some(utilization))]);
    }
    let answered = harness.sent.len();
    for shard in 0..8 {
        harness.submit(None, &[shard]);
    }
    while harness.sent.iter().all(|sent| sent.attempt == AttemptNo(0)) {
        assert!(harness.now < Time(1_010_000 * MS), "no hedge was sent within 10 s of the start");
        harness.advance(10);
    }
    harness.advance(150);
    harness.sent[answered..].iter().filter(|sent| sent.attempt > AttemptNo(0)).count()
}

#[test]
fn busy_workers_get_fewer_hedges() {
    let (idle, busy) = (hedges_sent_at(0.0), hedges_sent_at(1.0));
    assert!(busy < idle, "{idle} hedges at a utilization of 0, {busy} at 1");
}

#[test]
fn one_slow_response_does_not_reject_parts_that_have_to_queue() {
    // The first version averaged ratios of latencies: under low load, one slow response made a worker look
    // ten times slower.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    for round in 0..10 {
        harness.submit(Some("k"), &[0]);
        let sent = harness.last_sent();
        harness.advance(if round == 9 { 400 } else { 100 });
        harness.step(vec![harness.attempt_finished(sent, AttemptOutcome::Succeeded, None)]);
    }
    let before = harness.sent.len();
    harness.submit(Some("k"), &[0, 1, 2, 3, 4, 5, 6]);
    assert_eq!(harness.sent.len() - before, 7);
}

#[test]
fn stale_estimates_do_not_reject_queries_forever() {
    // Incident i8d1b18: while all queries are rejected no worker responds, and estimates that don't decay
    // reject the next queries too.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..30 {
        harness.submit(Some("k"), &[0]);
        let before = harness.sent.len();
        let start = harness.now;
        harness.advance(1400);
        let outcome = |sent: &Sent| {
            if sent.at == start { AttemptOutcome::Succeeded } else { AttemptOutcome::Cancelled }
        };
        let unfinished = &harness.sent[before.saturating_sub(1)..];
        harness.step(
            unfinished.iter().map(|sent| harness.attempt_finished(*sent, outcome(sent), None)).collect(),
        );
    }
    harness.advance(8000);
    let (query, _) = harness.submit(Some("k"), &[0]);
    assert!(
        !ended(&harness, query) && harness.last_sent().at == harness.now,
        "the query is sent to an idle worker"
    );
}

#[test]
fn failed_attempts_make_admission_stricter() {
    // Incident i20f1d2: in a class with partial answers, the workers' queues filled up and half of all
    // attempts were rejected.
    let mut admitted = Vec::new();
    for outcome in [AttemptOutcome::Succeeded, AttemptOutcome::Rejected] {
        let partial = Class { min_coverage: 0.5, ..class(Idempotency::Idempotent) };
        let settings =
            Settings { classes: vec![partial], may_health_check: false, max_attempts: Some(1), ..settings() };
        let mut harness = AggregatorHarness::new(settings, &[1]);
        for _ in 0..120 {
            let before = harness.sent.len();
            harness.submit(Some("k"), &[0]);
            harness.advance(100);
            if harness.sent.len() > before {
                harness.step(vec![harness.attempt_finished(harness.last_sent(), outcome, None)]);
            }
        }
        harness.advance(2000);
        harness.submit(Some("k"), &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(harness.last_sent(), AttemptOutcome::Succeeded, None)]);
        let before = harness.sent.len();
        for _ in 0..30 {
            harness.submit(Some("k"), &[0]);
        }
        admitted.push(harness.sent.len() - before);
    }
    assert!(admitted[1] < admitted[0], "parts admitted after answers and after rejections: {admitted:?}");
}

#[test]
fn a_query_expected_just_at_its_objective_is_rejected_at_once() {
    // Incidents i474707 and iff9891: queries that were expected just at their objective were admitted and
    // missed it, and the work of all their parts was wasted.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    let mut rejected = 0;
    for _ in 0..20 {
        let (query, _) = harness.submit(Some("k"), &[0]);
        rejected += u32::from(ended(&harness, query));
    }
    let work = harness.sent.len() as f64 * 0.1;
    assert!(rejected > 0 && work <= 1.1, "{work} s of work admitted for an objective of 1.5 s");
}

#[test]
fn under_load_a_query_beyond_its_tenants_quota_is_rejected_first() {
    // Under overload, rejections used to hit queries within and beyond the quotas alike.
    let tenants = [Some(1.0), Some(1000.0)].map(|quota_per_s| Tenant { quota_per_s });
    let settings = Settings {
        tenants: tenants.into(),
        over_quota_weight: Some(0.1),
        may_health_check: false,
        ..settings()
    };
    let mut harness = AggregatorHarness::new(settings, &[1]);
    let mut served = [0, 0];
    for number in 0..12 {
        let tenant = number % 2;
        let (query, _, mut events) = harness.new_query(Some("k"), &[0]);
        if let Some(Event::QueryReceived(new_query)) = events.first_mut() {
            new_query.tenant = Some(TenantId(tenant));
        }
        harness.step(events);
        served[tenant] += u32::from(!ended(&harness, query));
    }
    assert!(
        served[0] < served[1] && served[0] >= 3,
        "queries served by tenant: {served:?}; the first tenant's quota permits 3 at once"
    );
}

/// The number of 30 simultaneous queries that are admitted to one worker that reports this utilization.
fn admitted_at(utilization: f64) -> usize {
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    for _ in 0..20 {
        harness.submit(Some("k"), &[0]);
        harness.advance(100);
        harness.step(vec![harness.attempt_finished(
            harness.last_sent(),
            AttemptOutcome::Succeeded,
            Some(utilization),
        )]);
    }
    let before = harness.sent.len();
    (0..30).for_each(|_| drop(harness.submit(Some("k"), &[0])));
    harness.sent.len() - before
}

#[test]
fn an_idle_fleet_is_sent_more_queries_than_a_busy_one() {
    // Under low load, 3% of the queries were rejected because their objective seemed at risk, and a random
    // choice of replicas did better.
    let (idle, busy) = (admitted_at(0.3), admitted_at(1.0));
    assert!(busy > 0 && idle * 10 > busy * 13, "{idle} queries sent at a utilization of 0.3, {busy} at 1.0");
}

#[test]
fn a_fast_deployment_without_hints_is_served_from_its_first_query() {
    // An initial cost estimate that suits slow deployments exceeds the whole objective of a fast one: every
    // query would be rejected, and no latency would ever be observed.
    for objective_ms in [20, 80, 2500, 60_000] {
        let fast = Class {
            latency_objective: ms(objective_ms),
            deadline: ms(2 * objective_ms),
            ..class(Idempotency::Idempotent)
        };
        let mut harness = AggregatorHarness::new(Settings { classes: vec![fast], ..settings() }, &[1, 2, 3]);
        let (_, _, mut events) = harness.new_query(None, &[0, 1]);
        for event in &mut events {
            match event {
                Event::QueryReceived(query) => query.valid_until = harness.now.after(ms(2 * objective_ms)),
                Event::PartReceived(part) => part.cost_hint = None,
                _ => {}
            }
        }
        harness.step(events);
        assert_eq!(
            harness.sent.len(),
            2,
            "both parts are sent with an objective of {objective_ms} ms: {:?}",
            harness.actions
        );
    }
}
