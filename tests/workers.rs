//! The worker connection pool with few descriptors: queries of many parts, reclaimed idle connections, and
//! connections that are slow, stuck or cannot be opened.

mod common;

use bytes::{Buf, BytesMut};
use common::platform::{platform_json, search_request};
use gatherer::limits::{DescriptorBudget, DescriptorClass};
use gatherer::policy::{ShardId, Time};
use gatherer::program::config::Config;
use gatherer::routing::{Broker, Clock, Command, Core, ListOrigin, QueryOutcome, QueryPart, SearchRequest};
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use gatherer::transport::workers::Workers;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{LocalSet, spawn_local};

/// The number of shards in the test layout. Both workers hold every shard.
const SHARDS: u32 = 64;

/// Connects to workers that answer every part after this delay.
struct AnsweringWorkers(Duration);

impl Connector for AnsweringWorkers {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let (gatherer_end, worker_end) = tokio::io::duplex(1 << 16);
            spawn_local(serve_parts(worker_end, self.0));
            Ok(Box::new(gatherer_end) as Box<dyn Stream>)
        })
    }
}

/// Answers every part on a connection after a delay.
async fn serve_parts(mut stream: DuplexStream, delay: Duration) {
    let mut buffer = BytesMut::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
        while let Some(length) = buffer.first_chunk::<4>().map(|prefix| u32::from_le_bytes(*prefix) as usize)
        {
            if buffer.len() < 4 + length {
                break;
            }
            buffer.advance(4);
            let text = String::from_utf8(buffer.split_to(length).to_vec()).expect("valid UTF-8");
            if let Some(rest) = text.strip_prefix('m') {
                tokio::time::sleep(delay).await;
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

/// Connects to workers that do not read, by connections that buffer 16 bytes. Keeps the workers' ends of the
/// connections.
#[derive(Default)]
struct StuckWorkers(RefCell<Vec<DuplexStream>>);

impl Connector for StuckWorkers {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let (gatherer_end, worker_end) = tokio::io::duplex(16);
            self.0.borrow_mut().push(worker_end);
            Ok(Box::new(gatherer_end) as Box<dyn Stream>)
        })
    }
}

/// Runs a test with workers that answer every part after `delay_ms` milliseconds.
fn run_with_delay<F: Future<Output = ()>>(delay_ms: u64, main: impl FnOnce(Broker, Rc<DescriptorPool>) -> F) {
    run_with_connector(Rc::new(AnsweringWorkers(Duration::from_millis(delay_ms))), main);
}

/// Runs a test in virtual time, with a broker and a pool of 64 descriptors that connects to workers by
/// `connector`.
fn run_with_connector<F: Future<Output = ()>>(
    connector: Rc<dyn Connector>,
    main: impl FnOnce(Broker, Rc<DescriptorPool>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let mut json = platform_json();
        json["settings"]["domain"]["slices"] = SHARDS.into();
        json["settings"]["allowed"]["max-open"] = 1000.into();
        let config = Config::from_json(&json, |_| None).expect("a configuration");
        let pool =
            DescriptorPool::new(DescriptorBudget::new(64, 16, 0).expect("enough descriptors"), 1 << 20);
        let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
        broker.apply_endpoint_update(&config.initial_workers.expect("a list"), ListOrigin::Cache);
        let workers = Workers::new(broker.clone(), connector, pool.clone());
        spawn_local(workers.clone().close_idle_on_reclaim());
        let driven_broker = broker.clone();
        spawn_local(async move { driven_broker.drive(&workers).await });
        main(broker, pool).await;
    });
}

/// Returns a query of one part for each of the first `shards` shards.
fn request(label: &str, class: &str, shards: u32, broker: &Broker) -> SearchRequest {
    let class = broker.with_core(|core| core.contracts().class(class).expect("a class").0);
    let part = |shard| QueryPart {
        shard: ShardId(shard),
        weight: 1.0 / f64::from(shards),
        cost_hint: Some(Duration::from_millis(1)),
        key: None,
    };
    SearchRequest {
        label: label.into(),
        payload: "c41e".into(),
        ..search_request(class, (0..shards).map(part).collect())
    }
}

#[test]
fn a_query_with_more_parts_than_descriptors_waits_and_is_answered_completely() {
    // Every part is non-idempotent and needs a connection of its own: 64 connections, with 48 usable
    // descriptors.
    run_with_delay(20, |broker, pool| async move {
        let floor =
            pool.descriptors(|allocator| allocator.budget().floors[DescriptorClass::Clients as usize]);
        let client_permits: Vec<DescriptorPermit> = (0..floor)
            .map(|_| pool.try_acquire(DescriptorClass::Clients).expect("a guaranteed descriptor"))
            .collect();
        assert!(client_permits.iter().all(DescriptorPermit::try_mark_busy));
        let outcome = broker.submit(request("wide", "seal", SHARDS, &broker)).await;
        let QueryOutcome::Answered { complete: true, values } = outcome else {
            panic!(
                "{outcome:?} {} {}",
                broker.with_core(|core| core.counters.clone()),
                pool.counters.borrow()
            )
        };
        assert_eq!(values.len(), SHARDS as usize);
        let counters = pool.counters.borrow().clone();
        assert_eq!(
            (counters.worker_connects_started, counters.worker_connect_waits_failed),
            (u64::from(SHARDS), 0),
            "{counters}"
        );
        assert_eq!(broker.with_core(|core| core.counters.sent), u64::from(SHARDS), "nothing is sent twice");
        let (usable, floors) =
            pool.descriptors(|allocator| (allocator.budget().usable, allocator.budget().floors));
        let max_held = usable
            - floor
            - floors[DescriptorClass::Discovery as usize]
            - floors[DescriptorClass::Files as usize];
        assert!(counters.peak_held[DescriptorClass::Workers as usize] <= max_held, "{counters}");
    });
}

#[test]
fn a_query_that_gets_no_connection_is_rejected_as_not_executed() {
    // Every descriptor that may be busy is busy: the query waits for a connection until its wait times out,
    // and is then rejected instead of failed.
    run_with_delay(20, |broker, pool| async move {
        let mut held = Vec::new();
        while pool.descriptors(|allocator| allocator.can_mark_busy(DescriptorClass::Workers)) {
            held.push(pool.try_acquire(DescriptorClass::Workers).expect("a free descriptor"));
            assert!(held.last().is_some_and(DescriptorPermit::try_mark_busy));
        }
        let outcome = broker.submit(request("none", "seal", 2, &broker)).await;
        assert!(matches!(outcome, QueryOutcome::Rejected { .. }), "{outcome:?}");
        let counters = broker.with_core(|core| core.counters.clone());
        assert!(counters.ended_skipped > 0 && counters.ended_refused == 0, "{counters}");
        assert!(pool.counters.borrow().worker_connect_waits_failed > 0);
    });
}

#[test]
fn idle_worker_connections_are_reclaimed_for_clients_and_reopened() {
    run_with_delay(1, |broker, pool| async move {
        let is_complete = |outcome| matches!(outcome, QueryOutcome::Answered { complete: true, .. });
        assert!(is_complete(broker.submit(request("a", "search", 8, &broker)).await));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let (held, busy) = pool.descriptors(|allocator| {
            (allocator.held(DescriptorClass::Workers), allocator.busy(DescriptorClass::Workers))
        });
        assert!(held > 0 && busy == 0, "{held} held, {busy} busy");
        // The workers' idle descriptors are reclaimed, so clients acquire all that their class may hold.
        let mut client_permits = Vec::new();
        while pool.descriptors(|allocator| allocator.can_mark_busy(DescriptorClass::Clients)) {
            client_permits.push(pool.acquire(DescriptorClass::Clients).await);
            assert!(client_permits.last().is_some_and(DescriptorPermit::try_mark_busy));
        }
        let (usable, floors) =
            pool.descriptors(|allocator| (allocator.budget().usable, allocator.budget().floors));
        assert_eq!(client_permits.len(), usable - floors[1] - floors[2] - floors[3]);
        // The descriptors guaranteed to workers are available for the next query.
        assert!(is_complete(broker.submit(request("b", "search", 8, &broker)).await));
        assert!(pool.counters.borrow().peak_descriptors <= usable);
    });
}

/// Reads a connection to its end, as a worker does that was stuck before.
async fn read_to_end(mut worker_end: DuplexStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    worker_end.read_to_end(&mut bytes).await.expect("the read succeeds");
    bytes
}

#[test]
fn a_part_whose_frame_is_partly_written_as_its_client_disconnects_never_runs() {
    // Guards against a frame that stays in a full connection: its parts would run when the worker reads
    // again, after their client has gone.
    let stuck = Rc::new(StuckWorkers::default());
    run_with_connector(stuck.clone(), |broker, _| async move {
        for class in ["search", "seal", "stamp"] {
            let submitting_broker = broker.clone();
            let client = spawn_local(async move {
                submitting_broker.submit(request(class, class, 1, &submitting_broker)).await
            });
            while stuck.0.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            client.abort();
            tokio::time::sleep(Duration::from_millis(300)).await;
            let worker_end = stuck.0.borrow_mut().pop().expect("a connection");
            let bytes = read_to_end(worker_end).await;
            let length = u32::from_le_bytes(*bytes.first_chunk::<4>().expect("a length")) as usize;
            assert!(bytes.len() < 4 + length, "{class}: the frame of {length} bytes came completely");
            assert_eq!(broker.with_core(|core| core.counters.written), 0);
        }
    });
}

#[test]
fn a_frame_carries_no_more_parts_than_one_call_may() {
    let mut json = platform_json();
    json["settings"]["domain"]["per-call"] = 2.into();
    json["settings"]["domain"]["slices"] = 5.into();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let (broker, now) =
        (Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60))), Time(1 << 60));
    let mut list = config.initial_workers.expect("a list");
    list.workers.truncate(1);
    broker.apply_endpoint_update(&list, ListOrigin::Cache);
    let request = request("frames", "search", 5, &broker);
    let commands = broker.with_core(|core| {
        core.submit(now, request).expect("the query is accepted");
        core.step(now)
    });
    let calls = commands.iter().filter_map(|command| match command {
        Command::Call { parts, .. } => Some(parts.len()),
        _ => None,
    });
    assert_eq!(calls.collect::<Vec<_>>(), [2, 2, 1]);
}

/// Connects after a delay to workers that answer nothing. Keeps the workers' ends of the connections.
struct SlowConnects {
    delay: Duration,
    worker_ends: RefCell<Vec<DuplexStream>>,
}

impl Connector for SlowConnects {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            tokio::time::sleep(self.delay).await;
            let (gatherer_end, worker_end) = tokio::io::duplex(1 << 16);
            self.worker_ends.borrow_mut().push(worker_end);
            Ok(Box::new(gatherer_end) as Box<dyn Stream>)
        })
    }
}

#[test]
fn the_deadline_sent_to_a_worker_includes_the_wait_for_its_connection() {
    // The platform allows a worker to be told 150 ms more than is left. The connection is established 200 ms
    // after the part was dispatched.
    let connector =
        Rc::new(SlowConnects { delay: Duration::from_millis(200), worker_ends: RefCell::default() });
    run_with_connector(connector.clone(), |broker, _| async move {
        let submitting_broker = broker.clone();
        let mut request = request("late", "search", 1, &broker);
        request.time_left = Duration::from_millis(1000);
        let client = spawn_local(async move { submitting_broker.submit(request).await });
        while connector.worker_ends.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut worker_end = connector.worker_ends.borrow_mut().pop().expect("a connection");
        let mut frame = BytesMut::new();
        worker_end.read_buf(&mut frame).await.expect("a frame");
        let text = String::from_utf8_lossy(&frame[5..]).into_owned();
        let deadline = text.split(" d=").nth(1).and_then(|rest| rest.split(' ').next()).expect("a time");
        let deadline: u64 = deadline.parse().expect("milliseconds");
        assert!(
            deadline <= 800,
            "the client has 800 ms left, but the worker was told {deadline} ms: {text:?}"
        );
        client.abort();
    });
}

/// Fails this many connects with `ENFILE`, then connects to workers that answer after 1 ms.
struct OutOfDescriptors(Cell<u32>);

impl Connector for OutOfDescriptors {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        const ENFILE: i32 = 23;
        if self.0.get() > 0 {
            self.0.set(self.0.get() - 1);
            return Box::pin(async { Err(std::io::Error::from_raw_os_error(ENFILE)) });
        }
        Box::pin(async move { AnsweringWorkers(Duration::from_millis(1)).connect(address).await })
    }
}

#[test]
fn a_connect_that_fails_for_lack_of_descriptors_is_not_counted_against_the_worker() {
    // Guards against ejecting workers, and then their zone, for a local error of this process.
    run_with_connector(Rc::new(OutOfDescriptors(Cell::new(6))), |broker, _| async move {
        let outcome = broker.submit(request("starved", "seal", 2, &broker)).await;
        assert!(matches!(outcome, QueryOutcome::Answered { complete: true, .. }), "{outcome:?}");
        let counters = broker.with_core(|core| core.counters.clone());
        assert_eq!(
            (counters.ended_refused, broker.with_core(|core| core.unavailable_workers())),
            (0, 0),
            "{counters}"
        );
    });
}
