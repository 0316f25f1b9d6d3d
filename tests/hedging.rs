//! Hedging: when a hedged request is sent for a late part.

mod common;

use common::{AggregatorHarness, class, ms, settings};
use gatherer::policy::{AttemptOutcome, Class, Event, Idempotency, Settings};

#[test]
fn a_late_part_is_hedged_while_a_response_can_still_come_in_time() {
    // Incident idf13d3: the client waits for 400 ms, which is over before an attempt is late by four
    // deviations, so no hedge was sent.
    let mut harness = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2, 3]);
    let (_, _, mut events) = harness.new_query(Some("k"), &[0]);
    if let Some(Event::QueryReceived(query)) = events.first_mut() {
        query.valid_until = harness.now.after(ms(400));
    }
    harness.step(events);
    harness.advance(300);
    assert_eq!(harness.sent.len(), 2, "one hedge is sent, in time to be answered");
    assert_ne!(harness.sent[0].worker, harness.sent[1].worker);
}

#[test]
fn a_tail_of_slow_responses_leaves_a_late_part_time_for_a_hedge() {
    // Seen in the scenario zone+mass: one worker in eight was slow, so that four deviations were 0.5 to 1.1
    // s with an objective of 0.63 s, and no hedge was sent.
    let classes = vec![Class { latency_objective: ms(700), ..class(Idempotency::Idempotent) }];
    let mut harness =
        AggregatorHarness::new(Settings { may_health_check: false, classes, ..settings() }, &[1, 2, 3]);
    for round in 0..80 {
        let before = harness.sent.len();
        harness.submit(Some(&format!("k{round}")), &[0]);
        harness.advance(if round % 8 == 0 { 600 } else { 20 });
        let finished = harness.sent[before..]
            .iter()
            .map(|sent| harness.attempt_finished(*sent, AttemptOutcome::Succeeded, None))
            .collect();
        harness.step(finished);
    }
    let before = harness.sent.len();
    harness.submit(Some("late"), &[0]);
    harness.advance(430);
    assert_eq!(harness.sent.len() - before, 2, "one hedge is sent while it can still be answered in time");
}
