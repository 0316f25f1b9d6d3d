//! Rejections of searches that must not run twice: a status of 429 or 503 says that nothing has run.

mod common;

use bytes::BytesMut;
use common::process::{
    IndexServer, OpenSearchFront as FrontProcess, hits_of, index_of, shard_of, shard_result,
};
use gatherer::fronts::opensearch::OpenSearchFront;
use gatherer::limits::DescriptorBudget;
use gatherer::policy::Time;
use gatherer::program::opensearch_file::FrontFile;
use gatherer::protocol::http::{self, ReceivedResponse, Request, Response};
use gatherer::routing::{Broker, Clock, Core};
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::index_servers::{FieldTypeSource, FieldTypesFuture};
use gatherer::transport::listener::Front;
use serde_json::{Value, json};
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

/// Shards of the front's layout.
const SHARDS: usize = 2;

/// Starts a front whose index server finds one document in each shard: of `pages` bytes where a search asks for that.
fn start_front(name: &str, memory_mb: u64) -> (FrontProcess, IndexServer) {
    let server = IndexServer::start(|request| {
        let body: Value = serde_json::from_slice(&request.body).expect("JSON");
        let bytes = body["query"]["pages"].as_u64().unwrap_or(100);
        let text = json!({"text": "x".repeat(usize::try_from(bytes).expect("a size"))}).to_string();
        let id = format!("{}-{}", index_of(request), shard_of(request));
        Response::json(200, shard_result(&[(id.clone(), text, json!([1, id]))]))
    });
    let limits = format!("max_open = 64, window = 1000, memory_mb = {memory_mb}");
    (FrontProcess::start(name, &limits, &[&server]), server)
}

fn store_report(front: &FrontProcess, bytes: usize) -> ReceivedResponse {
    let body = json!({"size": 1, "sort": ["day"], "query": {"pages": bytes}});
    front.request("/envelopes/_search?scroll=5m", None, &body)
}

/// Searches once for a key of its own, with a scroll.
fn seal(front: &FrontProcess, bytes: usize) -> ReceivedResponse {
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

/// A front whose searches wait for ever, since nothing drives its broker.
fn waiting_front() -> Rc<OpenSearchFront> {
    struct NoFieldTypes;
    impl FieldTypeSource for NoFieldTypes {
        fn field_types<'a>(&'a self, _: &'a str, _: &'a [String], _: Duration) -> FieldTypesFuture<'a> {
            Box::pin(std::future::ready(None))
        }
    }
    let file = FrontFile::parse(include_str!("scenario/opensearch.toml"), 1).expect("a valid file");
    let budget = DescriptorBudget::new(256, 16, 0).expect("enough descriptors");
    let connections = ConnectionManager::new(DescriptorPool::new(budget, 1 << 20));
    let clock = Clock::starting_at(Time(1 << 60));
    let broker = Broker::new(Core::new(file.contracts), clock);
    OpenSearchFront::new(
        broker,
        clock,
        connections,
        Rc::new(NoFieldTypes),
        file.mapping,
        "start".to_owned(),
        1,
    )
}

/// A request of the caller `portal`.
fn request(path: &str, key: &str) -> Request {
    let fields = format!("X-Opaque-Id: portal\r\nIdempotency-Key: {key}\r\nContent-Length: 2");
    let mut bytes = BytesMut::from(format!("POST {path} HTTP/1.1\r\n{fields}\r\n\r\n{{}}").as_bytes());
    http::take_request(&mut bytes).expect("a valid request").expect("a complete request")
}

// Guards against a rejection for lack of a descriptor that says of a retry that nothing has run, when its search runs.
#[test]
fn a_retry_without_capacity_is_no_rejection_where_the_search_of_its_key_may_have_run() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let front = waiting_front();
        let issued = front.respond(request("/_clayshore/idempotency_keys", "")).await;
        let issued: Value = serde_json::from_slice(&issued.body).expect("JSON");
        let search = request("/seals/_search", issued["key"].as_str().expect("a key"));
        let rejected = |request: &Request| front.rejection(Some(request)).status;
        assert_eq!(rejected(&search), 429, "nothing has run with the key");
        let (runner, running) = (front.clone(), search.clone());
        spawn_local(async move { runner.respond(running).await });
        tokio::task::yield_now().await;
        assert_eq!(rejected(&search), 409, "its search runs");
        assert_eq!(rejected(&request("/seals/_search", "start-of-another-process")), 409);
        assert_eq!(rejected(&request("/envelopes/_search", "any")), 429, "searches may run again");
    });
}
