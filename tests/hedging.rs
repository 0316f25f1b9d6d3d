//! When a late part gets a hedged request.

mod common;

use common::*;
use gatherer::policy::*;

#[test]
fn a_late_part_gets_its_copy_while_a_fresh_answer_still_fits() {
    // Incident idf13d3: tries that live 400 ms never wait for four deviations.
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3]);
    let (_, _, mut events) = root.new_query(Some("k"), &[0]);
    if let Some(Event::QueryReceived(query)) = events.first_mut() {
        query.valid_until = root.now.after(ms(400));
    }
    root.step(events);
    root.advance(300);
    assert_eq!(root.sent.len(), 2, "one copy, in time to be answered");
    assert_ne!(root.sent[0].worker, root.sent[1].worker);
}

#[test]
fn a_tail_of_slow_answers_leaves_a_late_part_time_for_a_copy() {
    // zone+mass: one worker in eight was slow, 4 deviations were 0.5 to 1.1 s, and the aim 0.63 s: no copy went out.
    let classes = vec![Class { latency_objective: ms(700), ..class(Idempotency::Idempotent) }];
    let mut root =
        AggregatorHarness::new(Settings { may_health_check: false, classes, ..settings() }, &[1, 2, 3]);
    for round in 0..80 {
        let before = root.sent.len();
        root.submit(Some(&format!("k{round}")), &[0]);
        root.advance(if round % 8 == 0 { 600 } else { 20 });
        let ends = root.sent[before..]
            .iter()
            .map(|sent| root.attempt_finished(*sent, AttemptOutcome::Succeeded, None))
            .collect();
        root.step(ends);
    }
    let before = root.sent.len();
    root.submit(Some("late"), &[0]);
    root.advance(430);
    assert_eq!(root.sent.len() - before, 2, "one copy while it can still be answered in time");
}
