//! When attempts may be written that waited for a connection: never later than the repeat window after another attempt
//! of their part, never after their client has gone, and not withheld for either reason without need. For both
//! transports, in virtual time.

mod common;

use bytes::{Buf, BytesMut};
use common::platform::{platform_json, search_request};
use gatherer::limits::DescriptorBudget;
use gatherer::policy::{ShardId, Time};
use gatherer::program::config::Config;
use gatherer::protocol::http::{self, Response};
use gatherer::routing::{
    Broker, Clock, Core, Invariant, ListOrigin, QueryOutcome, QueryPart, SearchRequest, WorkerTransport,
};
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::index_servers::IndexServers;
use gatherer::transport::workers::Workers;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// The repeat window of the class `stamp`.
const WINDOW: Duration = Duration::from_millis(400);
/// How long a connection that comes up late takes.
const LATE_CONNECT: Duration = Duration::from_millis(1000);
/// How long any other connection takes.
const CONNECT: Duration = Duration::from_millis(2);
/// The time that a server takes for a part; of shard 0, so that its query outlasts the other parts.
const SERVICE: Duration = Duration::from_millis(220);
const LONG_SERVICE: Duration = Duration::from_millis(1000);

/// The transports that send attempts to servers.
#[derive(Clone, Copy, Debug)]
enum Transport {
    Workers,
    IndexServers,
}

const TRANSPORTS: [Transport; 2] = [Transport::Workers, Transport::IndexServers];

/// Connects to servers that answer every part, and records when each attempt arrives.
struct SlowConnects {
    transport: Transport,
    /// How long the next connections take to come up; any further one takes [`CONNECT`].
    delays: RefCell<VecDeque<Duration>>,
    /// Attempts that arrive before this time are rejected without being run.
    rejects_until: Cell<Option<Instant>>,
    /// The times at which the attempts of each part arrived, by the part's id.
    arrivals: RefCell<BTreeMap<String, Vec<Instant>>>,
}

impl SlowConnects {
    /// Records an attempt that is run. Returns false for one that is rejected.
    fn arrived(&self, id: &str) -> bool {
        if self.rejects_until.get().is_some_and(|until| Instant::now() < until) {
            return false;
        }
        self.arrivals.borrow_mut().entry(id.to_owned()).or_default().push(Instant::now());
        true
    }

    /// Asserts that all attempts of each part arrived within one repeat window.
    fn assert_repeats_in_window(&self) {
        for (id, arrivals) in &*self.arrivals.borrow() {
            let since_first = arrivals[arrivals.len() - 1] - arrivals[0];
            assert!(since_first <= WINDOW, "{:?}: {id} arrived again after {since_first:?}", self.transport);
        }
    }
}

/// The wire between a gatherer and one server, which serves its connection in a task of its own.
struct Wire(Rc<SlowConnects>);

impl Connector for Wire {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let delay = self.0.delays.borrow_mut().pop_front().unwrap_or(CONNECT);
            tokio::time::sleep(delay).await;
            let (gatherer_end, server_end) = tokio::io::duplex(1 << 12);
            let servers = self.0.clone();
            spawn_local(async move {
                match servers.transport {
                    Transport::Workers => serve_frames(server_end, servers).await,
                    Transport::IndexServers => serve_searches(server_end, servers).await,
                }
            });
            Ok(Box::new(gatherer_end) as Box<dyn Stream>)
        })
    }
}

fn service_time(shard: &str) -> Duration {
    if shard == "0" { LONG_SERVICE } else { SERVICE }
}

/// Serves the frames of a connection to a worker, each part of a call at the same time.
async fn serve_frames(stream: DuplexStream, servers: Rc<SlowConnects>) {
    let (mut read, write) = tokio::io::split(stream);
    let write = Rc::new(tokio::sync::Mutex::new(write));
    let mut buffer = BytesMut::new();
    while matches!(read.read_buf(&mut buffer).await, Ok(1..)) {
        while let Some(length) = buffer.first_chunk::<4>().map(|prefix| u32::from_le_bytes(*prefix) as usize)
        {
            if buffer.len() < 4 + length {
                break;
            }
            buffer.advance(4);
            let frame = String::from_utf8(buffer.split_to(length).to_vec()).expect("valid UTF-8");
            // The payload of each part ends with a line.
            let lines =
                frame.strip_prefix('m').unwrap_or_default().lines().filter(|line| line.contains(" d="));
            for line in lines {
                let id = line.split(' ').next().expect("an id").to_owned();
                let is_run = servers.arrived(&id);
                let (write, shard) = (write.clone(), id.rsplit('.').next().unwrap_or_default().to_owned());
                spawn_local(async move {
                    let answer = if is_run {
                        tokio::time::sleep(service_time(&shard)).await;
                        format!("q{id} good 5 -\nvalue")
                    } else {
                        format!("q{id} later 5 -\n")
                    };
                    let mut bytes = (answer.len() as u32).to_le_bytes().to_vec();
                    bytes.extend(answer.bytes());
                    // Fails if the gatherer has closed the connection.
                    let _ = write.lock().await.write_all(&bytes).await;
                });
            }
        }
    }
}

/// Serves the searches of a connection to an index server.
async fn serve_searches(mut stream: DuplexStream, servers: Rc<SlowConnects>) {
    let result = r#"{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"hits":[]}}"#;
    let mut buffer = BytesMut::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
        while let Some(request) = http::take_request(&mut buffer).expect("a valid request") {
            let shard = request.query.split(['_', ':', '&']).nth(2).expect("a shard").to_owned();
            let label = request.path.split('/').nth(1).expect("an index").to_owned();
            let is_run = servers.arrived(&format!("{label}.{shard}"));
            if is_run {
                tokio::time::sleep(service_time(&shard)).await;
            }
            let status = if is_run { 200 } else { 429 };
            if stream.write_all(&Response::json(status, result).encode(false)).await.is_err() {
                return;
            }
        }
    }
}

/// The configuration of the scenarios with six workers, a window of [`WINDOW`] and connects that may take 1.5 s.
fn configuration() -> Value {
    let mut json = platform_json();
    let members = (1..=6)
        .map(|n| json!({"id": format!("w{n}"), "host_port": format!("w{n}"), "cell": 0, "phase": "SERVING"}));
    json["known"]["members"] = members.collect();
    json["settings"]["allowed"]["connect-timeout"] = 1_500_000_000_u64.into();
    json["settings"]["allowed"]["max-open"] = 100.into();
    json["settings"]["categories"][2]["window"] = json!(WINDOW.as_nanos() as u64);
    json
}

/// Runs a test in virtual time with a broker whose first connections take `delays` to come up.
fn run<F: Future<Output = ()>>(
    json: &Value,
    transport: Transport,
    delays: &[Duration],
    main: impl FnOnce(Broker, Rc<SlowConnects>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let config = Config::from_json(json, |_| None).expect("a configuration");
        let pool =
            DescriptorPool::new(DescriptorBudget::new(1024, 16, 0).expect("enough descriptors"), 1 << 20);
        let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
        broker.apply_endpoint_update(&config.initial_workers.expect("a list"), ListOrigin::Cache);
        let servers = Rc::new(SlowConnects {
            transport,
            delays: RefCell::new(delays.iter().copied().collect()),
            rejects_until: Cell::default(),
            arrivals: RefCell::default(),
        });
        let connector = Rc::new(Wire(servers.clone()));
        let sender: Box<dyn WorkerTransport> = match transport {
            Transport::Workers => Box::new(Workers::new(broker.clone(), connector, pool)),
            Transport::IndexServers => Box::new(IndexServers::new(broker.clone(), connector, pool)),
        };
        let driven_broker = broker.clone();
        spawn_local(async move { driven_broker.drive(&*sender).await });
        main(broker, servers).await;
    });
}

/// A query of one part for each of these shards.
fn request(label: &str, class: &str, shards: std::ops::Range<u32>, broker: &Broker) -> SearchRequest {
    let class = broker.with_core(|core| core.contracts().class(class).expect("a class").0);
    let weight = 1.0 / f64::from(shards.end - shards.start);
    let part = |shard| QueryPart {
        shard: ShardId(shard),
        weight,
        cost_hint: Some(service_time(&shard.to_string())),
        key: None,
    };
    SearchRequest {
        label: label.into(),
        payload: "{}\n".into(),
        ..search_request(class, shards.map(part).collect())
    }
}

/// Serves queries without delay, so that a part that takes unusually long is hedged soon.
async fn learn_service_times(broker: &Broker) {
    for number in 0..12 {
        let outcome = broker.submit(request(&format!("first-{number}"), "stamp", 0..4, broker)).await;
        assert!(is_complete(&outcome), "{outcome:?}");
    }
}

fn is_complete(outcome: &QueryOutcome) -> bool {
    matches!(outcome, QueryOutcome::Answered { complete: true, .. })
}

fn window_violations(broker: &Broker) -> u64 {
    broker.with_core(|core| core.violations().count_of(Invariant::RetriedInWindow))
}

// Guards against a first attempt that stays queued for its connection while a retry runs, and is then written when the
// window is over: workers no longer discard it, so that the part's effect is applied twice.
#[test]
fn a_keyed_attempt_overtaken_by_its_retry_is_not_written_after_the_repeat_window() {
    for transport in TRANSPORTS {
        run(&configuration(), transport, &[], |broker, servers| async move {
            learn_service_times(&broker).await;
            servers.delays.borrow_mut().extend([LATE_CONNECT; 4]);
            let outcome = broker.submit(request("a", "stamp", 0..4, &broker)).await;
            assert!(is_complete(&outcome), "{transport:?}: {outcome:?}");
            tokio::time::sleep(Duration::from_secs(3)).await;
            servers.assert_repeats_in_window();
            let counters = broker.with_core(|core| core.counters.clone());
            assert!(counters.resent_hedged > 0, "{transport:?}: no attempt overtook another: {counters}");
            assert!(counters.unsent_past_window > 0, "{transport:?}: {counters}");
            assert_eq!(window_violations(&broker), 0, "{transport:?}");
        });
    }
}

// Guards against a fix that takes an attempt back for its age alone: while no other attempt of its part is written, an
// attempt may wait longer than the window.
#[test]
fn a_keyed_attempt_that_nothing_overtakes_is_written_however_late_its_connection_comes_up() {
    let mut json = configuration();
    json["settings"]["allowed"]["second-copies"] = false.into();
    for transport in TRANSPORTS {
        run(&json, transport, &[LATE_CONNECT; 4], |broker, servers| async move {
            let started_at = Instant::now();
            let outcome = broker.submit(request("a", "stamp", 1..4, &broker)).await;
            assert!(is_complete(&outcome), "{transport:?}: {outcome:?}");
            let arrivals = servers.arrivals.borrow().values().flatten().copied().collect::<Vec<_>>();
            assert_eq!(arrivals.len(), 3, "{transport:?}: each part is sent once");
            assert!(arrivals.iter().all(|at| *at - started_at >= LATE_CONNECT), "{transport:?}");
            let counters = broker.with_core(|core| core.counters.clone());
            assert_eq!((counters.sent, counters.unsent_past_window), (3, 0), "{transport:?}: {counters}");
        });
    }
}

// Guards against an attempt that is taken back for the window of a retry that the worker rejected without running it.
#[test]
fn a_keyed_attempt_is_written_late_if_all_that_overtook_it_were_rejected() {
    for transport in TRANSPORTS {
        run(&configuration(), transport, &[], |broker, servers| async move {
            learn_service_times(&broker).await;
            servers.arrivals.borrow_mut().clear();
            servers.delays.borrow_mut().extend([LATE_CONNECT; 4]);
            servers.rejects_until.set(Some(Instant::now() + LATE_CONNECT));
            let outcome = broker.submit(request("a", "stamp", 0..4, &broker)).await;
            assert!(is_complete(&outcome), "{transport:?}: {outcome:?}");
            let counters = broker.with_core(|core| core.counters.clone());
            assert!(counters.resent_hedged > 0 && counters.ended_busy > 0, "{transport:?}: {counters}");
            assert_eq!(counters.unsent_past_window, 0, "{transport:?}: {counters}");
            assert!(servers.arrivals.borrow().values().all(|arrivals| arrivals.len() == 1), "{transport:?}");
        });
    }
}

// Guards against a limit that an attempt sets for itself: its frame may take longer than the window to be written.
#[test]
fn a_keyed_attempt_without_another_one_is_written_whatever_its_window() {
    let mut json = configuration();
    json["settings"]["categories"][2]["window"] = 0.into();
    for transport in TRANSPORTS {
        run(&json, transport, &[], |broker, servers| async move {
            // Longer than what a connection buffers, so that the frame is written in pieces.
            let payload = format!("{{}}{}\n", " ".repeat(20_000));
            let long = SearchRequest { payload: payload.into(), ..request("a", "stamp", 1..4, &broker) };
            let outcome = broker.submit(long).await;
            assert!(is_complete(&outcome), "{transport:?}: {outcome:?}");
            assert_eq!(servers.arrivals.borrow().len(), 3, "{transport:?}");
            assert_eq!(
                broker.with_core(|core| core.counters.sent),
                3,
                "{transport:?}: each part is sent once"
            );
        });
    }
}

// Guards against taking back what may be repeated freely: a late first attempt of an idempotent part is still sent while
// its part has no answer.
#[test]
fn an_idempotent_attempt_has_no_repeat_window() {
    for transport in TRANSPORTS {
        run(&configuration(), transport, &[LATE_CONNECT; 4], |broker, _| async move {
            let outcome = broker.submit(request("a", "search", 0..4, &broker)).await;
            assert!(is_complete(&outcome), "{transport:?}: {outcome:?}");
            let counters = broker.with_core(|core| core.counters.clone());
            assert!(
                counters.resent_hedged > 0 && counters.unsent_past_window == 0,
                "{transport:?}: {counters}"
            );
        });
    }
}

// Guards against a call that keeps the part of a client that has gone because it carries the parts of other clients: the
// part would begin after its client's close. The other parts must be sent all the same.
#[test]
fn a_part_whose_client_has_gone_is_taken_out_of_a_call_that_it_shares() {
    let mut json = configuration();
    json["settings"]["domain"]["per-call"] = 16.into();
    for class in ["search", "seal", "stamp"] {
        for may_cancel in [true, false] {
            json["settings"]["allowed"]["cancel"] = may_cancel.into();
            let connect = Duration::from_millis(200);
            run(&json, Transport::Workers, &[connect; 6], |broker, servers| async move {
                let (leaving, staying) = (broker.clone(), broker.clone());
                let gone = spawn_local(async move {
                    leaving.submit(request("gone", class, 1..4, &leaving)).await;
                });
                let stays =
                    spawn_local(async move { staying.submit(request("stays", class, 1..4, &staying)).await });
                tokio::time::sleep(Duration::from_millis(50)).await;
                assert_eq!(broker.with_core(|core| core.counters.sent), 6, "{class}");
                gone.abort();
                let outcome = stays.await.expect("the client stays");
                assert!(is_complete(&outcome), "{class} {may_cancel}: {outcome:?}");
                let arrived = servers.arrivals.borrow().keys().cloned().collect::<Vec<_>>();
                assert_eq!(arrived, ["stays.1", "stays.2", "stays.3"], "{class} {may_cancel}");
            });
        }
    }
}

// Guards against a search that is written to a server which left the list while its connection was opened.
#[test]
fn a_search_that_waits_for_its_connection_is_not_sent_to_a_removed_server() {
    run(&configuration(), Transport::IndexServers, &[LATE_CONNECT; 4], |broker, servers| async move {
        let submitting = broker.clone();
        let client =
            spawn_local(async move { submitting.submit(request("a", "seal", 1..2, &submitting)).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut list = broker.with_core(|core| core.endpoint_list());
        list.workers.clear();
        broker.apply_endpoint_update(&list, ListOrigin::Discovery);
        let outcome = client.await.expect("the client stays");
        assert!(matches!(outcome, QueryOutcome::Rejected { .. }), "nothing has run: {outcome:?}");
        tokio::time::sleep(LATE_CONNECT * 2).await;
        assert!(servers.arrivals.borrow().is_empty(), "{:?}", servers.arrivals.borrow());
    });
}
