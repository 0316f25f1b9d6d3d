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
