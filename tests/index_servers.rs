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
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{LocalSet, spawn_local};

/// Connects to index servers that respond to every search, and records each address.
#[derive(Default)]
struct RespondingServers {
    addresses: RefCell<Vec<String>>,
}

impl Connector for RespondingServers {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            self.addresses.borrow_mut().push(address.to_owned());
            let (client_end, server_end) = tokio::io::duplex(1 << 16);
            spawn_local(serve_searches(server_end));
            Ok(Box::new(client_end) as Box<dyn Stream>)
        })
    }
}

/// Responds to every search on a connection with an empty result.
async fn serve_searches(mut stream: DuplexStream) {
    let result = r#"{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}}"#;
    let mut buffer = BytesMut::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
        while http::take_request(&mut buffer).expect("valid requests").is_some() {
            if stream.write_all(&Response::json(200, result).encode(false)).await.is_err() {
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let config = platform_config();
        let descriptor_pool =
            DescriptorPool::new(DescriptorBudget::new(64, 16, 0).expect("the descriptors suffice"), 1 << 20);
        let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
        let mut list = config.initial_workers.expect("the configuration lists workers");
        list.workers.truncate(1);
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
