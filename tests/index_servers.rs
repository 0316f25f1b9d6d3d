//! Connections to index servers: which address is dialled, and what goes out on a connection that was kept.

use bytes::BytesMut;
use gatherer::limits::DescriptorBudget;
use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::protocol::http::{self, Response};
use gatherer::routing::{Broker, Clock, Core, QueryOutcome, QueryPart, SearchRequest};
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::index_servers::IndexServers;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{LocalSet, spawn_local};

/// Connections to servers that answer every search, and the addresses that were dialled.
#[derive(Default)]
struct Servers(RefCell<Vec<String>>);

impl Connector for Servers {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            self.0.borrow_mut().push(address.to_owned());
            let (near, far) = tokio::io::duplex(1 << 16);
            spawn_local(answer(far));
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

async fn answer(mut stream: DuplexStream) {
    let result = r#"{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}}"#;
    let mut buffer = BytesMut::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
        while http::take_request(&mut buffer).expect("a request").is_some() {
            if stream.write_all(&Response::json(200, result).encode(false)).await.is_err() {
                return;
            }
        }
    }
}

/// Asks one part of shard 0.
async fn ask(broker: &Broker, label: &str, class: &str) -> QueryOutcome {
    let class = broker.with_core(|core| core.contracts().class(class).expect("a class").0);
    let hint = Some(Duration::from_millis(1));
    let parts = vec![QueryPart { shard: ShardId(0), weight: 1.0, cost_hint: hint, key: None }];
    let (left, text) = (Duration::from_secs(5), "{}".into());
    broker
        .submit(SearchRequest {
            label: label.into(),
            class,
            tenant: None,
            time_left: left,
            retry: false,
            payload: text,
            parts,
        })
        .await
}

fn run<F: Future<Output = ()>>(main: impl FnOnce(Broker, Rc<Servers>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let json = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
        let config = Config::from_json(&json, |_| None).expect("a configuration");
        let places = DescriptorPool::new(DescriptorBudget::new(64, 16, 0).expect("enough"), 1 << 20);
        let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
        let mut list = config.initial_workers.expect("a list");
        list.workers.truncate(1);
        broker.apply_endpoint_update(&list, true);
        let dial = Rc::new(Servers::default());
        let servers = IndexServers::new(broker.clone(), dial.clone(), places);
        let driver = broker.clone();
        spawn_local(async move { driver.drive(&servers).await });
        main(broker, dial).await;
    });
}

fn is_served(verdict: &QueryOutcome) -> bool {
    matches!(verdict, QueryOutcome::Answered { complete: true, .. })
}

#[test]
fn a_server_that_moves_is_asked_at_its_new_address() {
    run(|broker, dial| async move {
        assert!(is_served(&ask(&broker, "a", "search").await));
        let mut moved = broker.with_core(|core| core.endpoint_list());
        moved.workers[0].address = "elsewhere".to_owned();
        broker.apply_endpoint_update(&moved, false);
        assert!(is_served(&ask(&broker, "b", "search").await));
        assert_eq!(*dial.0.borrow(), ["w1", "elsewhere"]);
    });
}

#[test]
fn a_search_that_runs_once_goes_out_on_no_kept_connection() {
    // Guards against a server that closes or resets it just then: the search may have run, and is lost.
    run(|broker, dial| async move {
        for (label, class) in [("a", "search"), ("b", "search"), ("c", "seal")] {
            assert!(is_served(&ask(&broker, label, class).await));
        }
        assert_eq!(dial.0.borrow().len(), 2, "one for the two that may be repeated, one for the third");
    });
}
