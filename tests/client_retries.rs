//! A client's retry belongs to its first try: the time in which its answer is wanted counts from there.

mod common;

use common::*;
use gatherer::policy::*;

/// A try of a request, which its hint tells apart from others, with the time that its client gives each try.
fn try_of(root: &mut AggregatorHarness, hint: u64, left: u64, retry: bool) -> (RequestId, Vec<Event>) {
    let (id, _, mut events) = root.new_query(Some("station-17"), &[0, 1]);
    for event in &mut events {
        match event {
            Event::QueryReceived(query) => {
                (query.is_retry, query.valid_until) = (retry, root.now.after(ms(left)));
            }
            Event::PartReceived(part) => part.cost_hint = Some(ms(hint)),
            _ => {}
        }
    }
    (id, events)
}

fn refused(root: &AggregatorHarness, id: RequestId) -> bool {
    root.actions.iter().any(|action| matches!(action, Action::Reject { id: of, .. } if *of == id))
}

/// The first try is refused for want of any worker; then the workers are listed.
fn after_a_refusal(left: u64) -> AggregatorHarness {
    let mut root = AggregatorHarness::new(settings(), &[]);
    let (first, events) = try_of(&mut root, 100, left, false);
    root.step(events);
    assert!(refused(&root, first));
    root.step(vec![Event::EndpointUpdate(EndpointUpdate::Full(endpoint_list(&[1, 2, 3])))]);
    root
}

#[test]
fn a_retry_with_a_full_try_left_counts_from_its_first_try() {
    let mut root = after_a_refusal(3000);
    root.advance(400);
    let (_, events) = try_of(&mut root, 100, 3000, true);
    root.step(events);
    // The aim is 1.5 s, and 0.4 s of it have passed.
    assert_eq!(root.last_sent().timeout, ms(1100));
}

#[test]
fn a_retry_that_comes_after_the_aim_is_refused_at_once() {
    let mut root = after_a_refusal(3000);
    root.advance(1600);
    let (retry, events) = try_of(&mut root, 100, 3000, true);
    root.step(events);
    assert!(refused(&root, retry));
    assert!(root.sent.is_empty(), "nobody pays for work that comes too late");
}

#[test]
fn a_retry_whose_first_try_went_elsewhere_counts_as_those_seen_here_do() {
    let mut root = after_a_refusal(3000);
    for hint in 0..200 {
        let (_, events) = try_of(&mut root, 1000 + hint, 3000, false);
        root.step(events);
        root.advance(300);
        let (_, events) = try_of(&mut root, 1000 + hint, 3000, true);
        root.step(events);
        root.advance(50);
    }
    let (_, events) = try_of(&mut root, 50, 3000, true);
    root.step(events);
    let timeout = root.last_sent().timeout;
    assert!(timeout < ms(1220) && timeout > ms(1180), "0.3 s of 1.5 s have passed: {timeout:?}");
}

#[test]
fn another_clients_query_for_the_same_key_is_no_retry() {
    let mut root = after_a_refusal(3000);
    root.advance(400);
    let (_, events) = try_of(&mut root, 100, 3000, false);
    root.step(events);
    assert_eq!(root.last_sent().timeout, ms(1500));
}

#[test]
fn the_time_that_a_last_try_has_left_tells_more_than_memory_does() {
    let mut root = after_a_refusal(5000);
    root.advance(400);
    // The whole time is 5 s: 1 s of it has passed, though the first try seen here was 0.4 s ago.
    let (_, events) = try_of(&mut root, 100, 4000, true);
    root.step(events);
    assert_eq!(root.last_sent().timeout, ms(500));
}
