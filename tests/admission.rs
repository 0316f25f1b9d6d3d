//! Which queries are taken while workers are busy, and how many copies of late parts they may cost.

mod common;

use common::*;
use gatherer::policy::*;

/// One worker for each of eight shards, and a class that may be answered from half of its parts.
fn one_worker_a_shard() -> AggregatorHarness {
    let partial = Class { min_coverage: 0.5, partial_weight: 0.8, ..class(Idempotency::Idempotent) };
    let mut root =
        AggregatorHarness::new(Settings { classes: vec![partial], cells: 8, shards: 8, ..settings() }, &[]);
    let workers =
        (0..8).map(|cell| Endpoint { cell: CellId(cell), ..entry(cell + 1, EndpointStatus::Active, None) });
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(workers.collect()))]);
    root
}

/// Parts of so much work are sent to these shards and stay out, so that a further part there waits past the aim.
fn fill(root: &mut AggregatorHarness, shards: &[u32]) {
    for (shard, work) in shards.iter().flat_map(|shard| [(*shard, 900), (*shard, 140)]) {
        let (_, _, mut events) = root.new_query(None, &[shard]);
        for event in &mut events {
            if let Event::PartReceived(part) = event {
                part.cost_hint = Some(ms(work));
            }
        }
        let before = root.sent.len();
        root.step(events);
        assert_eq!(root.sent.len(), before + 1, "there is room for it");
    }
}

#[test]
fn half_of_an_answer_in_time_does_not_let_a_query_in() {
    let mut root = one_worker_a_shard();
    fill(&mut root, &[0, 1, 2, 3]);
    let before = root.sent.len();
    let (query, _) = root.submit(None, &[0, 1, 2, 3, 4, 5, 6, 7]);
    assert!(root.actions.iter().any(|action| matches!(action, Action::Reject { id, .. } if *id == query)));
    assert_eq!(root.sent.len(), before, "no part of it joins the queues");
}

#[test]
fn one_shard_out_of_reach_does_not_keep_a_query_out_that_may_be_answered_in_part() {
    let mut root = one_worker_a_shard();
    fill(&mut root, &[5]);
    let before = root.sent.len();
    root.submit(None, &[0, 1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(root.sent.len(), before + 8, "and the late part has its chance");
}

/// Copies sent while eight parts become late, after a hundred that were answered with this utilization.
fn copies(busy: f64) -> usize {
    let mut root = AggregatorHarness::new(settings(), &[1, 2, 3, 4, 5, 6, 7, 8]);
    for number in 0..100 {
        root.submit(None, &[number % 8]);
        let sent = root.last_sent();
        root.advance(if number % 2 == 0 { 20 } else { 120 });
        root.step(vec![root.attempt_finished(sent, AttemptOutcome::Succeeded, Some(busy))]);
    }
    let answered = root.sent.len();
    for shard in 0..8 {
        root.submit(None, &[shard]);
    }
    while root.sent.iter().all(|sent| sent.attempt == AttemptNo(0)) {
        assert!(root.now < Time(1_010_000 * MS), "no part was ever late");
        root.advance(10);
    }
    root.advance(150);
    root.sent[answered..].iter().filter(|sent| sent.attempt > AttemptNo(0)).count()
}

#[test]
fn busy_workers_get_fewer_copies() {
    let (idle, busy) = (copies(0.0), copies(1.0));
    assert!(busy < idle, "{idle} copies where workers are idle, {busy} where they are busy");
}

#[test]
fn one_short_pause_does_not_turn_deep_queues_away() {
    // Quiet days of the first version: a mean of ratios took one pause for a leaf ten times slower.
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    for round in 0..10 {
        root.submit(Some("k"), &[0]);
        let sent = root.last_sent();
        root.advance(if round == 9 { 400 } else { 100 });
        root.step(vec![root.attempt_finished(sent, AttemptOutcome::Succeeded, None)]);
    }
    let before = root.sent.len();
    root.submit(Some("k"), &[0, 1, 2, 3, 4, 5, 6]);
    assert_eq!(root.sent.len() - before, 7);
}

#[test]
fn guesses_from_a_bad_spell_do_not_refuse_for_good() {
    // Incident i8d1b18: with all queries refused nothing answers, and frozen guesses refuse the next ones too.
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    for _ in 0..30 {
        root.submit(Some("k"), &[0]);
        let before = root.sent.len();
        let start = root.now;
        root.advance(1400);
        let outcome = |sent: &Sent| {
            if sent.at == start { AttemptOutcome::Succeeded } else { AttemptOutcome::Cancelled }
        };
        let out = &root.sent[before.saturating_sub(1)..];
        root.step(out.iter().map(|sent| root.attempt_finished(*sent, outcome(sent), None)).collect());
    }
    root.advance(8000);
    let (query, _) = root.submit(Some("k"), &[0]);
    assert!(!ended(&root, query) && root.last_sent().at == root.now, "an idle leaf is given a try");
}

#[test]
fn attempts_lost_make_admission_stricter() {
    // Incident i20f1d2: where partial answers count, queues ran full and half of all attempts were turned away.
    let mut admitted = Vec::new();
    for outcome in [AttemptOutcome::Succeeded, AttemptOutcome::Rejected] {
        let partial = Class { min_coverage: 0.5, ..class(Idempotency::Idempotent) };
        let settings =
            Settings { classes: vec![partial], may_health_check: false, max_attempts: Some(1), ..settings() };
        let mut root = AggregatorHarness::new(settings, &[1]);
        for _ in 0..120 {
            let before = root.sent.len();
            root.submit(Some("k"), &[0]);
            root.advance(100);
            if root.sent.len() > before {
                root.step(vec![root.attempt_finished(root.last_sent(), outcome, None)]);
            }
        }
        root.advance(2000);
        root.submit(Some("k"), &[0]);
        root.advance(100);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, None)]);
        let before = root.sent.len();
        for _ in 0..30 {
            root.submit(Some("k"), &[0]);
        }
        admitted.push(root.sent.len() - before);
    }
    assert!(admitted[1] < admitted[0], "{admitted:?} parts admitted after answers, after refusals");
}

#[test]
fn a_query_expected_only_at_the_edge_of_its_aim_is_refused_at_once() {
    // Incidents i474707 and iff9891: queries admitted at the edge lose all their parts' work.
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    let mut refused = 0;
    for _ in 0..20 {
        let (query, _) = root.submit(Some("k"), &[0]);
        refused += u32::from(ended(&root, query));
    }
    let work = root.sent.len() as f64 * 0.1;
    assert!(refused > 0 && work <= 1.1, "{work} s of work admitted for an aim of 1.5 s");
}

#[test]
fn under_load_a_query_beyond_its_tenants_share_is_refused_first() {
    // On an overloaded day refusals fell on traffic inside and beyond the shares alike.
    let tenants = [Some(1.0), Some(1000.0)].map(|quota_per_s| Tenant { quota_per_s });
    let over_share_worth = Some(0.1);
    let settings = Settings {
        tenants: tenants.into(),
        over_quota_weight: over_share_worth,
        may_health_check: false,
        ..settings()
    };
    let mut root = AggregatorHarness::new(settings, &[1]);
    let mut served = [0, 0];
    for turn in 0..12 {
        let tenant = turn % 2;
        let (query, _, mut events) = root.new_query(Some("k"), &[0]);
        if let Some(Event::QueryReceived(asked)) = events.first_mut() {
            asked.tenant = Some(TenantId(tenant));
        }
        root.step(events);
        served[tenant] += u32::from(!ended(&root, query));
    }
    assert!(
        served[0] < served[1] && served[0] >= 3,
        "served {served:?}: the first tenant has a share of 3 at once"
    );
}

/// How many of so many queries at once a root sends to one leaf that reports to be so busy.
fn admitted_at(busy: f64) -> usize {
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1]);
    for _ in 0..20 {
        root.submit(Some("k"), &[0]);
        root.advance(100);
        root.step(vec![root.attempt_finished(root.last_sent(), AttemptOutcome::Succeeded, Some(busy))]);
    }
    let before = root.sent.len();
    (0..30).for_each(|_| drop(root.submit(Some("k"), &[0])));
    root.sent.len() - before
}

#[test]
fn a_calm_fleet_is_trusted_with_more_than_a_busy_one() {
    // On a quiet day 3% were refused for fear of the aim, and random choice of replicas did better.
    let (calm, busy) = (admitted_at(0.3), admitted_at(1.0));
    assert!(busy > 0 && calm * 10 > busy * 13, "{calm} at 0.3, {busy} at 1.0");
}

#[test]
fn a_fast_deployment_without_hints_is_served_from_its_first_query() {
    // Guards against a first guess made for slow ones: over the whole aim, it has every query refused, and nothing is learned.
    for aim in [20, 80, 2500, 60_000] {
        let fast =
            Class { latency_objective: ms(aim), deadline: ms(2 * aim), ..class(Idempotency::Idempotent) };
        let mut root = AggregatorHarness::new(Settings { classes: vec![fast], ..settings() }, &[1, 2, 3]);
        let (_, _, mut events) = root.new_query(None, &[0, 1]);
        for event in &mut events {
            match event {
                Event::QueryReceived(query) => query.valid_until = root.now.after(ms(2 * aim)),
                Event::PartReceived(part) => part.cost_hint = None,
                _ => {}
            }
        }
        root.step(events);
        assert_eq!(root.sent.len(), 2, "aim {aim} ms: {:?}", root.actions);
    }
}
