//! Rejections of searches that must not run twice: a status of 429 or 503 says that nothing has run.

mod common;

use common::process::{IndexServer, OpenSearchFront, hits_of, index_of, shard_of, shard_result};
use gatherer::protocol::http::{ReceivedResponse, Response};
use serde_json::{Value, json};
use std::thread;

/// Shards of the front's layout.
const SHARDS: usize = 2;

/// Starts a front whose index server finds one document in each shard: of `pages` bytes where a search asks for that.
fn start_front(name: &str, memory_mb: u64) -> (OpenSearchFront, IndexServer) {
    let server = IndexServer::start(|request| {
        let body: Value = serde_json::from_slice(&request.body).expect("JSON");
        let bytes = body["query"]["pages"].as_u64().unwrap_or(100);
        let text = json!({"text": "x".repeat(usize::try_from(bytes).expect("a size"))}).to_string();
        let id = format!("{}-{}", index_of(request), shard_of(request));
        Response::json(200, shard_result(&[(id.clone(), text, json!([1, id]))]))
    });
    let limits = format!("max_open = 64, window = 1000, memory_mb = {memory_mb}");
    (OpenSearchFront::start(name, &limits, &[&server]), server)
}

fn store_report(front: &OpenSearchFront, bytes: usize) -> ReceivedResponse {
    let body = json!({"size": 1, "sort": ["day"], "query": {"pages": bytes}});
    front.request("/envelopes/_search?scroll=5m", None, &body)
}

/// Searches once for a key of its own, with a scroll.
fn seal(front: &OpenSearchFront, bytes: usize) -> ReceivedResponse {
    let key = front.idempotency_key();
    let body = json!({"size": 1, "sort": ["day"], "query": {"pages": bytes}});
    front.request("/seals/_search?scroll=1m", Some(&key), &body)
}

// Guards against a place for the result that is asked for when all parts have run, with 429 as the answer: its client
// searches again with another key.
#[test]
fn a_search_that_must_not_run_twice_runs_only_where_its_result_can_be_stored() {
    for (name, bytes) in [("scrolls-by-bytes", 200_000), ("scrolls-by-number", 10)] {
        let (front, server) = start_front(name, 64);
        while store_report(&front, bytes).status == 200 {}
        let (mut sealed, mut rejected) = (0, 0);
        while rejected == 0 {
            let response = seal(&front, bytes);
            match response.status {
                200 => sealed += 1,
                429 => rejected += 1,
                status => panic!("{name}: status {status} after {sealed} searches"),
            }
            assert_eq!(
                server.runs_of("seals"),
                sealed * SHARDS,
                "{name}: nothing runs for a rejected search"
            );
        }
        assert!(sealed > 0, "{name}: a part of the store is kept for these searches");
    }
}

#[test]
fn searches_that_race_for_the_last_place_are_each_served_or_rejected_unrun() {
    let (front, server) = start_front("scrolls-at-once", 64);
    while store_report(&front, 200_000).status == 200 {}
    let statuses: Vec<u16> = thread::scope(|scope| {
        let searches: Vec<_> = (0..8).map(|_| scope.spawn(|| seal(&front, 200_000).status)).collect();
        searches.into_iter().map(|search| search.join().expect("a response")).collect()
    });
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served > 0 && statuses.iter().all(|status| matches!(status, 200 | 429)), "{statuses:?}");
    assert_eq!(server.runs_of("seals"), served * SHARDS, "{statuses:?}");
}

// A reservation is no reason to reject searches that need less: they wait until it is given back.
#[test]
fn small_results_are_stored_however_many_searches_run_at_once() {
    let (front, _) = start_front("small-scrolls", 16);
    let statuses: Vec<u16> = thread::scope(|scope| {
        let searches: Vec<_> = (0..20).map(|_| scope.spawn(|| seal(&front, 100).status)).collect();
        searches.into_iter().map(|search| search.join().expect("a response")).collect()
    });
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

// Where the result is larger than what can be reserved for it, the answer is no rejection, and no retry runs.
#[test]
fn a_search_that_has_run_and_whose_result_cannot_be_stored_is_answered_as_failed() {
    let (front, server) = start_front("large-scroll", 16);
    // Of 2 MB that may be stored, three quarters are taken by results that may be searched again.
    while store_report(&front, 100_000).status == 200 {}
    let key = front.idempotency_key();
    let body = json!({"size": 1, "sort": ["day"], "query": {"pages": 450_000}});
    for _ in 0..2 {
        let response = front.request("/seals/_search?scroll=1m", Some(&key), &body);
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, 500, "{text}");
        assert!(text.contains("the search has run"), "{text}");
    }
    assert_eq!(server.runs_of("seals"), SHARDS);
    assert_eq!(hits_of(&front.request("/envelopes/_search", None, &json!({"size": 5}))).len(), SHARDS);
}
