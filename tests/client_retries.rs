//! Client retries: the latency objective counts from the client's first attempt.

mod common;

use common::{AggregatorHarness, endpoint_list, ms, rejected, settings};
use gatherer::policy::{EndpointUpdate, Event, RequestId};

/// The events of a client's attempt at a request. Requests differ by their cost hint; the client waits for
/// this attempt for `time_left_ms`.
fn client_attempt(
    harness: &mut AggregatorHarness,
    cost_hint_ms: u64,
    time_left_ms: u64,
    is_retry: bool,
) -> (RequestId, Vec<Event>) {
    let (id, _, mut events) = harness.new_query(Some("station-17"), &[0, 1]);
    for event in &mut events {
        match event {
            Event::QueryReceived(query) => {
                (query.is_retry, query.valid_until) = (is_retry, harness.now.after(ms(time_left_ms)));
            }
            Event::PartReceived(part) => part.cost_hint = Some(ms(cost_hint_ms)),
            _ => {}
        }
    }
    (id, events)
}

/// A harness whose first query was rejected because no worker was listed. Three workers are listed
/// afterwards.
fn harness_after_a_rejection(time_left_ms: u64) -> AggregatorHarness {
    let mut harness = AggregatorHarness::new(settings(), &[]);
    let (first, events) = client_attempt(&mut harness, 100, time_left_ms, false);
    harness.step(events);
    assert!(rejected(&harness, first));
    harness.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2, 3])))]);
    harness
}

#[test]
fn a_retry_with_its_whole_time_left_counts_from_its_first_attempt() {
    let mut harness = harness_after_a_rejection(3000);
    harness.advance(400);
    let (_, events) = client_attempt(&mut harness, 100, 3000, true);
    harness.step(events);
    // The latency objective is 1.5 s, and 0.4 s of it have passed.
    assert_eq!(harness.last_sent().timeout, ms(1100));
}

#[test]
fn a_retry_that_comes_after_the_objective_is_rejected_at_once() {
    let mut harness = harness_after_a_rejection(3000);
    harness.advance(1600);
    let (retry, events) = client_attempt(&mut harness, 100, 3000, true);
    harness.step(events);
    assert!(rejected(&harness, retry));
    assert!(harness.sent.is_empty(), "no part is sent for an answer that would come too late");
}

#[test]
fn a_retry_whose_first_attempt_went_elsewhere_counts_the_mean_wait() {
    let mut harness = harness_after_a_rejection(3000);
    for number in 0..200 {
        let (_, events) = client_attempt(&mut harness, 1000 + number, 3000, false);
        harness.step(events);
        harness.advance(300);
        let (_, events) = client_attempt(&mut harness, 1000 + number, 3000, true);
        harness.step(events);
        harness.advance(50);
    }
    let (_, events) = client_attempt(&mut harness, 50, 3000, true);
    harness.step(events);
    let timeout = harness.last_sent().timeout;
    assert!(
        timeout < ms(1220) && timeout > ms(1180),
        "the time-out is 1.5 s less the mean wait of 0.3 s: {timeout:?}"
    );
}

#[test]
fn an_unmarked_query_for_the_same_key_is_not_taken_for_a_retry() {
    let mut harness = harness_after_a_rejection(3000);
    harness.advance(400);
    let (_, events) = client_attempt(&mut harness, 100, 3000, false);
    harness.step(events);
    assert_eq!(harness.last_sent().timeout, ms(1500));
}

#[test]
fn a_shorter_time_left_takes_precedence_over_the_remembered_first_attempt() {
    let mut harness = harness_after_a_rejection(5000);
    harness.advance(400);
    // The client's whole time is 5 s. 1 s of it has passed, although the first attempt seen here was 0.4 s
    // ago.
    let (_, events) = client_attempt(&mut harness, 100, 4000, true);
    harness.step(events);
    assert_eq!(harness.last_sent().timeout, ms(500));
}
