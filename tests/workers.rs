//! The servers' side on a small budget of descriptors: wide queries, and idle connections that give way.

use bytes::{Buf, BytesMut};
use gatherer::limits::{DescriptorBudget, DescriptorClass};
use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::routing::{Broker, Clock, Command, Core, QueryOutcome, QueryPart, SearchRequest};
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use gatherer::transport::workers::Workers;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{LocalSet, spawn_local};

/// Shards of the stand-in layout, each held by both workers.
const SHARDS: u32 = 64;

/// Connections to workers that serve every part after this time.
struct Answering(Duration);

impl Connector for Answering {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            // A new connection costs a moment.
            tokio::time::sleep(Duration::from_millis(2)).await;
            let (near, far) = tokio::io::duplex(1 << 16);
            spawn_local(worker(far, self.0));
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

async fn worker(mut stream: DuplexStream, time: Duration) {
    let mut buffer = BytesMut::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
        while let Some(length) = buffer.first_chunk::<4>().map(|four| u32::from_le_bytes(*four) as usize) {
            if buffer.len() < 4 + length {
                break;
            }
            buffer.advance(4);
            let text = String::from_utf8(buffer.split_to(length).to_vec()).expect("text");
            if let Some(rest) = text.strip_prefix('m') {
                tokio::time::sleep(time).await;
                let answer = format!("q{} good 5 -\nvalue", rest.split(' ').next().expect("an id"));
                let mut bytes = (answer.len() as u32).to_le_bytes().to_vec();
                bytes.extend(answer.bytes());
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Connections that hold a few bytes, to workers that do not read; their ends are kept here.
#[derive(Default)]
struct Stuck(RefCell<Vec<DuplexStream>>);

impl Connector for Stuck {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let (near, far) = tokio::io::duplex(16);
            self.0.borrow_mut().push(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

fn run<F: Future<Output = ()>>(time: u64, main: impl FnOnce(Broker, Rc<DescriptorPool>) -> F) {
    run_on(Rc::new(Answering(Duration::from_millis(time))), main);
}

fn run_on<F: Future<Output = ()>>(
    dial: Rc<dyn Connector>,
    main: impl FnOnce(Broker, Rc<DescriptorPool>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let mut json: serde_json::Value =
            serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
        json["settings"]["domain"]["slices"] = SHARDS.into();
        json["settings"]["allowed"]["max-open"] = 1000.into();
        let config = Config::from_json(&json, |_| None).expect("a configuration");
        let places = DescriptorPool::new(DescriptorBudget::new(64, 16, 0).expect("enough"), 1 << 20);
        let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
        broker.apply_endpoint_update(&config.initial_workers.expect("a list"), true);
        let workers = Workers::new(broker.clone(), dial, places.clone());
        spawn_local(workers.clone().close_idle_on_reclaim());
        let driver = broker.clone();
        spawn_local(async move { driver.drive(&workers).await });
        main(broker, places).await;
    });
}

fn ask(label: &str, class: &str, shards: u32, broker: &Broker) -> SearchRequest {
    let class = broker.with_core(|core| core.contracts().class(class).expect("a class").0);
    let part = |shard| QueryPart {
        shard: ShardId(shard),
        weight: 1.0 / f64::from(shards),
        cost_hint: Some(Duration::from_millis(1)),
        key: None,
    };
    SearchRequest {
        label: label.into(),
        class,
        tenant: None,
        time_left: Duration::from_secs(5),
        retry: false,
        payload: "c41e".into(),
        parts: (0..shards).map(part).collect(),
    }
}

#[test]
fn a_query_wider_than_the_budget_waits_its_turn_and_is_served_whole() {
    // Every part runs once and wants a connection of its own: 64 of them, where 48 descriptors are to be had in all.
    run(20, |broker, places| async move {
        let floor = places.descriptors(|all| all.budget().floors[DescriptorClass::Clients as usize]);
        let clients: Vec<DescriptorPermit> =
            (0..floor).map(|_| places.try_acquire(DescriptorClass::Clients).expect("its floor")).collect();
        assert!(clients.iter().all(DescriptorPermit::try_mark_busy));
        let verdict = broker.submit(ask("wide", "seal", SHARDS, &broker)).await;
        let QueryOutcome::Answered { complete: true, values } = verdict else {
            panic!(
                "{verdict:?} {} {}",
                broker.with_core(|core| core.counters.clone()),
                places.counters.borrow()
            )
        };
        assert_eq!(values.len(), SHARDS as usize);
        let tally = places.counters.borrow().clone();
        assert_eq!(
            (tally.worker_connects_started, tally.worker_connect_waits_failed),
            (u64::from(SHARDS), 0),
            "{tally}"
        );
        assert_eq!(broker.with_core(|core| core.counters.sent), u64::from(SHARDS), "nothing is sent twice");
        let (usable, floors) = places.descriptors(|all| (all.budget().usable, all.budget().floors));
        let most = usable
            - floor
            - floors[DescriptorClass::Discovery as usize]
            - floors[DescriptorClass::Files as usize];
        assert!(tally.peak_held[DescriptorClass::Workers as usize] <= most, "{tally}");
    });
}

#[test]
fn where_no_connection_can_be_had_nothing_counts_as_run() {
    // All that may be firm is: the query waits, is turned out, and is refused rather than failed.
    run(20, |broker, places| async move {
        let mut held = Vec::new();
        while places.descriptors(|all| all.can_mark_busy(DescriptorClass::Workers)) {
            held.push(places.try_acquire(DescriptorClass::Workers).expect("free"));
            assert!(held.last().is_some_and(DescriptorPermit::try_mark_busy));
        }
        let verdict = broker.submit(ask("none", "seal", 2, &broker)).await;
        assert!(matches!(verdict, QueryOutcome::Rejected { .. }), "{verdict:?}");
        let counted = broker.with_core(|core| core.counters.clone());
        assert!(counted.ended_skipped > 0 && counted.ended_refused == 0, "{counted}");
        assert!(places.counters.borrow().worker_connect_waits_failed > 0);
    });
}

#[test]
fn idle_connections_to_workers_give_way_to_clients_and_come_back() {
    run(1, |broker, places| async move {
        let served = |verdict| matches!(verdict, QueryOutcome::Answered { complete: true, .. });
        assert!(served(broker.submit(ask("a", "search", 8, &broker)).await));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let idle = places
            .descriptors(|all| (all.held(DescriptorClass::Workers), all.busy(DescriptorClass::Workers)));
        assert!(idle.0 > 0 && idle.1 == 0, "{idle:?}");
        // Guards against loans that are never given back: clients take everything that their side may have.
        let mut clients = Vec::new();
        while places.descriptors(|all| all.can_mark_busy(DescriptorClass::Clients)) {
            clients.push(places.acquire(DescriptorClass::Clients).await);
            assert!(clients.last().is_some_and(DescriptorPermit::try_mark_busy));
        }
        let (usable, floors) = places.descriptors(|all| (all.budget().usable, all.budget().floors));
        assert_eq!(clients.len(), usable - floors[1] - floors[2] - floors[3]);
        // And the workers' floor is there for the next query.
        assert!(served(broker.submit(ask("b", "search", 8, &broker)).await));
        assert!(places.counters.borrow().peak_descriptors <= usable);
    });
}

/// What comes on a connection whose worker reads on only now, to its end.
async fn rest(mut far: DuplexStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    far.read_to_end(&mut bytes).await.expect("readable");
    bytes
}

#[test]
fn a_part_whose_frame_is_half_written_as_its_client_leaves_never_runs() {
    // Guards against a frame that sticks in a full connection and runs whenever the worker reads on: its client is gone.
    let stuck = Rc::new(Stuck::default());
    run_on(stuck.clone(), |broker, _| async move {
        for class in ["search", "seal", "stamp"] {
            let asked = broker.clone();
            let client = spawn_local(async move { asked.submit(ask(class, class, 1, &asked)).await });
            while stuck.0.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            client.abort();
            tokio::time::sleep(Duration::from_millis(300)).await;
            let far = stuck.0.borrow_mut().pop().expect("a connection");
            let bytes = rest(far).await;
            let length = u32::from_le_bytes(*bytes.first_chunk::<4>().expect("a length")) as usize;
            assert!(bytes.len() < 4 + length, "{class}: the frame of {length} bytes came whole");
            assert_eq!(broker.with_core(|core| core.counters.written), 0);
        }
    });
}

#[test]
fn a_frame_carries_no_more_parts_than_one_call_may() {
    let mut json: serde_json::Value =
        serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    json["settings"]["domain"]["per-call"] = 2.into();
    json["settings"]["domain"]["slices"] = 5.into();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let (broker, now) =
        (Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60))), Time(1 << 60));
    let mut list = config.initial_workers.expect("a list");
    list.workers.truncate(1);
    broker.apply_endpoint_update(&list, true);
    let ask = ask("frames", "search", 5, &broker);
    let orders = broker.with_core(|core| {
        core.submit(now, ask).expect("taken");
        core.step(now)
    });
    let calls = orders.iter().filter_map(|order| match order {
        Command::Call { parts, .. } => Some(parts.len()),
        _ => None,
    });
    assert_eq!(calls.collect::<Vec<_>>(), [2, 2, 1]);
}

/// Connections that come up late, to workers that keep what they are sent.
struct Late(Duration, RefCell<Vec<DuplexStream>>);

impl Connector for Late {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            tokio::time::sleep(self.0).await;
            let (near, far) = tokio::io::duplex(1 << 16);
            self.1.borrow_mut().push(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

#[test]
fn the_time_told_to_a_worker_counts_the_wait_for_its_connection() {
    // The platform allows 0.15 s more than is left; the connection here comes up 0.2 s after the part was sent.
    let late = Rc::new(Late(Duration::from_millis(200), RefCell::default()));
    run_on(late.clone(), |broker, _| async move {
        let asked = broker.clone();
        let mut ask = ask("late", "search", 1, &broker);
        ask.time_left = Duration::from_millis(1000);
        let client = spawn_local(async move { asked.submit(ask).await });
        while late.1.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut far = late.1.borrow_mut().pop().expect("a connection");
        let mut frame = BytesMut::new();
        far.read_buf(&mut frame).await.expect("a frame");
        let text = String::from_utf8_lossy(&frame[5..]).into_owned();
        let told = text.split(" d=").nth(1).and_then(|rest| rest.split(' ').next()).expect("a time");
        let told: u64 = told.parse().expect("milliseconds");
        assert!(told <= 800, "800 ms are left to the client, and the worker is told {told}: {text:?}");
        client.abort();
    });
}

/// Fails to open connections for want of descriptors, so often; then to workers that serve at once.
struct Starved(Cell<u32>);

impl Connector for Starved {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        const ENFILE: i32 = 23;
        if self.0.get() > 0 {
            self.0.set(self.0.get() - 1);
            return Box::pin(async { Err(std::io::Error::from_raw_os_error(ENFILE)) });
        }
        Box::pin(async move { Answering(Duration::from_millis(1)).connect(address).await })
    }
}

#[test]
fn a_connection_that_fails_for_want_of_descriptors_is_no_fault_of_its_worker() {
    // Guards against suspicion of workers, and then of their zone, for what fails in this process.
    run_on(Rc::new(Starved(Cell::new(6))), |broker, _| async move {
        let verdict = broker.submit(ask("starved", "seal", 2, &broker)).await;
        assert!(matches!(verdict, QueryOutcome::Answered { complete: true, .. }), "{verdict:?}");
        let counted = broker.with_core(|core| core.counters.clone());
        assert_eq!(
            (counted.ended_refused, broker.with_core(|core| core.avoided_workers())),
            (0, 0),
            "{counted}"
        );
    });
}
