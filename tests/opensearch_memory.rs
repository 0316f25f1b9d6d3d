//! The memory of the OpenSearch-style front as a process: what searches, stored results and clients that do not read
//! take of `limits.memory_mb`.

mod common;

use common::process::{IndexServer, OpenSearchFront, hits_of, shard_of, shard_result, wait_until};
use gatherer::protocol::http::{ReceivedResponse, Response};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::thread;

/// Hits of a shard, each a list of this many signers: a result of 450 KB, near the largest one that is accepted.
const HITS: usize = 400;
const SIGNERS: usize = 40;

/// A result with the hits of a shard, each a list of small objects, as one document has many signers.
fn result(shard: usize) -> String {
    let signers: Vec<Value> = (0..SIGNERS).map(|number| json!({"id": number, "at": 1_733_400_000})).collect();
    let source = json!({"signers": signers}).to_string();
    let hits = (0..HITS).map(|number| {
        let id = format!("{shard}-{number:04}");
        (id.clone(), source.clone(), json!([number, id]))
    });
    shard_result(&hits.collect::<Vec<_>>())
}

fn start_front(name: &str, memory_mb: u64) -> OpenSearchFront {
    let results = [result(0), result(1)];
    let server = IndexServer::start(move |request| Response::json(200, results[shard_of(request)].clone()));
    let limits = format!("max_open = 64, window = 1000, memory_mb = {memory_mb}");
    OpenSearchFront::start(name, &limits, &[&server])
}

fn search(front: &OpenSearchFront, parameters: &str, size: usize) -> ReceivedResponse {
    front.request(&format!("/envelopes/_search?{parameters}"), None, &json!({"size": size, "sort": ["day"]}))
}

fn assert_within_memory(front: &OpenSearchFront, memory_mb: u64, after: &str) {
    let peak = front.peak_mb();
    assert!(peak <= memory_mb, "{after}: the process took {peak} MB of {memory_mb}");
}

// Guards against stored results that are counted as their text and kept as trees of values: they took the process to
// twice its limit.
#[test]
fn results_are_stored_for_scrolling_until_their_limit_and_within_the_memory() {
    let memory_mb = 64;
    let front = start_front("stored-results", memory_mb);
    let mut stored = 0;
    while search(&front, "scroll=5m", 10).status == 200 {
        stored += 1;
        assert_within_memory(&front, memory_mb, &format!("{stored} stored results"));
    }
    assert!(stored >= 4, "only {stored} results were stored");
    assert_eq!(search(&front, "scroll=5m", 10).status, 429);
    assert_eq!(search(&front, "", 10).status, 200, "a search that stores nothing is served");
}

// Guards against results of many searches at once that no limit bounds together.
#[test]
fn searches_at_once_and_clients_that_do_not_read_stay_within_the_memory() {
    let memory_mb = 32;
    let front = start_front("results-in-flight", memory_mb);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..4 {
                    let response = search(&front, "", 2 * HITS);
                    assert_eq!(response.status, 200);
                    assert_eq!(hits_of(&response).len(), 2 * HITS);
                }
            });
        }
    });
    assert_within_memory(&front, memory_mb, "8 searches at once");
    let body = json!({"size": 2 * HITS, "sort": ["day"]});
    let unread: Vec<TcpStream> = (0..64).map(|_| front.send("/envelopes/_search", None, &body)).collect();
    // Writes to clients that do not read end, so that the memory is free again.
    wait_until("a search is served again", || search(&front, "", 2 * HITS).status == 200);
    assert_within_memory(&front, memory_mb, "64 clients that do not read");
    drop(unread);
}
