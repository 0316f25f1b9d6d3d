//! Connections to index servers: the address that is connected to, and the reuse of idle connections.

mod common;

use bytes::BytesMut;
use common::platform::{platform_config, search_request, single_part};
use gatherer::limits::DescriptorBudget;
use gatherer::policy::Time;
use gatherer::protocol::http::{self, Response};
use gatherer::routing::{Broker, Clock, Core, ListOrigin, QueryOutcome, SearchRequest};
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::index_servers::IndexServers;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// A result without hits.
const EMPTY_RESULT: &str = r#"{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}}"#;

/// Connects to index servers that respond to every search, and records each address.
#[derive(Default)]
struct RespondingServers {
    addresses: RefCell<Vec<String>>,
    /// The results of servers at these addresses; all others respond with [`EMPTY_RESULT`].
    results: RefCell<HashMap<String, String>>,
}

impl Connector for RespondingServers {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            self.addresses.borrow_mut().push(address.to_owned());
            let (client_end, server_end) = tokio::io::duplex(1 << 16);
            let result = self.results.borrow().get(address).cloned();
            spawn_local(serve_searches(server_end, result.unwrap_or(EMPTY_RESULT.to_owned())));
            Ok(Box::new(client_end) as Box<dyn Stream>)
        })
    }
}

/// Responds to every search on a connection with this result.
async fn serve_searches(mut stream: DuplexStream, result: String) {
    let mut buffer = BytesMut::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
        while http::take_request(&mut buffer).expect("valid requests").is_some() {
            if stream.write_all(&Response::json(200, result.clone()).encode(false)).await.is_err() {
                return;
            }
        }
    }
}

/// Submits a query with one part, for shard 0.
async fn submit(broker: &Broker, label: &str, class: &str) -> QueryOutcome {
    let class = broker.with_core(|core| core.contracts().class(class).expect("the class is configured").0);
    let part = single_part(Some(Duration::from_millis(1)));
    let request =
        SearchRequest { label: label.into(), payload: "{}".into(), ..search_request(class, vec![part]) };
    broker.submit(request).await
}

/// Runs a test with a broker whose only worker is an index server.
fn run_with_index_server<F: Future<Output = ()>>(main: impl FnOnce(Broker, Rc<RespondingServers>) -> F) {
    run_with_index_servers(1, main);
}

/// Runs a test with a broker whose workers are this many index servers, each with all shards.
fn run_with_index_servers<F: Future<Output = ()>>(
    count: usize,
    main: impl FnOnce(Broker, Rc<RespondingServers>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let config = platform_config();
        let descriptor_pool =
            DescriptorPool::new(DescriptorBudget::new(64, 16, 0).expect("the descriptors suffice"), 1 << 20);
        let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
        let mut list = config.initial_workers.expect("the configuration lists workers");
        list.workers.truncate(count);
        broker.apply_endpoint_update(&list, ListOrigin::Cache);
        let connector = Rc::new(RespondingServers::default());
        let servers = IndexServers::new(broker.clone(), connector.clone(), descriptor_pool);
        let driver = broker.clone();
        spawn_local(async move { driver.drive(&servers).await });
        main(broker, connector).await;
    });
}

fn is_complete(outcome: &QueryOutcome) -> bool {
    matches!(outcome, QueryOutcome::Answered { complete: true, .. })
}

#[test]
fn a_server_at_a_new_address_is_searched_there() {
    run_with_index_server(|broker, connector| async move {
        assert!(is_complete(&submit(&broker, "a", "search").await));
        let mut moved = broker.with_core(|core| core.endpoint_list());
        moved.workers[0].address = "elsewhere".to_owned();
        broker.apply_endpoint_update(&moved, ListOrigin::Discovery);
        assert!(is_complete(&submit(&broker, "b", "search").await));
        assert_eq!(*connector.addresses.borrow(), ["w1", "elsewhere"]);
    });
}

#[test]
fn a_non_idempotent_search_is_sent_on_a_new_connection() {
    // The server may close or reset an idle connection while a search is sent on it. The search may have run
    // then, and its result is lost.
    run_with_index_server(|broker, connector| async move {
        for (label, class) in [("a", "search"), ("b", "search"), ("c", "seal")] {
            assert!(is_complete(&submit(&broker, label, class).await));
        }
        assert_eq!(
            connector.addresses.borrow().len(),
            2,
            "one connection for the two idempotent searches, one for the third"
        );
    });
}

// Guards against noise among the sort values that counts as a served search: the hits would be merged in a wrong order,
// and the sound holder of the shard never asked.
#[test]
fn a_result_with_noise_among_its_sort_values_is_a_failed_attempt_that_is_retried_elsewhere() {
    let hits = r#"[{"_id":"a","sort":[17,"a"]},{"_id":"b","sort":["9f3c","b"]},{"_id":"c","sort":[19,"c"]}]"#;
    let spoilt = EMPTY_RESULT.replace(r#""hits":[]"#, &format!(r#""hits":{hits}"#));
    run_with_index_servers(2, |broker, connector| async move {
        connector.results.borrow_mut().insert("w1".to_owned(), spoilt);
        for number in 0..8 {
            let outcome = submit(&broker, &format!("q{number}"), "search").await;
            let QueryOutcome::Answered { complete: true, values } = outcome else { panic!("{outcome:?}") };
            assert_eq!(values[0].1, EMPTY_RESULT.as_bytes(), "the value of the sound server");
        }
        assert!(connector.addresses.borrow().contains(&"w1".to_owned()), "the bad server was searched too");
        let counters = broker.with_core(|core| core.counters.clone());
        assert!(counters.ended_error > 0 && counters.ended_error == counters.resent_failed, "{counters}");
    });
}

// A search that must not run twice may have run where the result is spoilt: it fails, and is not sent again.
#[test]
fn a_non_idempotent_search_with_a_spoilt_result_fails_at_once_and_is_not_sent_again() {
    let spoilt = EMPTY_RESULT.replace(r#""hits":[]"#, r#""hits":[{"sort":[1]},{"sort":[true]}]"#);
    run_with_index_server(|broker, connector| async move {
        connector.results.borrow_mut().insert("w1".to_owned(), spoilt);
        let started_at = Instant::now();
        let outcome = submit(&broker, "a", "seal").await;
        assert!(matches!(outcome, QueryOutcome::Failed), "{outcome:?}");
        assert!(started_at.elapsed() < Duration::from_millis(100), "{:?}", started_at.elapsed());
        assert_eq!(broker.with_core(|core| core.counters.sent), 1);
    });
}

// Guards against a server that is back and has not been allocated its shards yet: it finds nothing, answers at once, and
// its answers count as complete.
#[test]
fn a_result_of_a_shard_that_is_not_allocated_is_a_failed_attempt_that_is_retried_elsewhere() {
    let unallocated = EMPTY_RESULT.replace(r#""successful":1"#, r#""successful":0"#);
    run_with_index_servers(2, |broker, connector| async move {
        connector.results.borrow_mut().insert("w1".to_owned(), unallocated);
        for number in 0..8 {
            let outcome = submit(&broker, &format!("q{number}"), "search").await;
            let QueryOutcome::Answered { complete: true, values } = outcome else { panic!("{outcome:?}") };
            assert_eq!(values[0].1, EMPTY_RESULT.as_bytes(), "the value of the sound server");
        }
        assert!(connector.addresses.borrow().contains(&"w1".to_owned()), "the bad server was searched too");
    });
}

// A server that answers so at once must not get the traffic of the sound one, and a search that must not run twice is
// not sent to it.
#[test]
fn a_server_without_its_shard_gets_less_traffic_and_no_search_that_must_not_run_twice() {
    let unallocated = EMPTY_RESULT.replace(r#""successful":1"#, r#""successful":0"#);
    run_with_index_servers(2, |broker, connector| async move {
        connector.results.borrow_mut().insert("w1".to_owned(), unallocated);
        for number in 0..100 {
            assert!(is_complete(&submit(&broker, &format!("q{number}"), "search").await));
        }
        let failed = broker.with_core(|core| core.counters.ended_error);
        assert!(
            (1..=50).contains(&failed),
            "{failed} of 100 searches went to the server without the shard first"
        );
        for number in 0..20 {
            assert!(is_complete(&submit(&broker, &format!("s{number}"), "seal").await));
        }
        assert_eq!(broker.with_core(|core| core.counters.ended_error), failed);
    });
}

#[test]
fn a_non_idempotent_search_without_its_shard_fails_at_once_and_is_not_sent_again() {
    let unallocated = EMPTY_RESULT.replace(r#""successful":1"#, r#""successful":0"#);
    run_with_index_server(|broker, connector| async move {
        connector.results.borrow_mut().insert("w1".to_owned(), unallocated);
        let outcome = submit(&broker, "a", "seal").await;
        assert!(matches!(outcome, QueryOutcome::Failed), "{outcome:?}");
        assert_eq!(broker.with_core(|core| core.counters.sent), 1);
    });
}
