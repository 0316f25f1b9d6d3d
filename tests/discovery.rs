//! Discovery that has to be asked: one service for all gatherers, which takes calls in turn, fails those that wait too long
//! and goes down. What counts as told by the protocol page has to be known by then. The clock is virtual, seeds are fixed.

mod common;

use bytes::BytesMut;
use common::process::{self, Gatherer, TempFolder, Worker, call_operator_api, member, unused_address};
use gatherer::limits::{Backoff, DescriptorBudget};
use gatherer::policy::{EndpointStatus, Time};
use gatherer::program::config::Config;
use gatherer::protocol::http::{self, Request, Response};
use gatherer::records::record::{RecordBody, RecordedWorkerState};
use gatherer::routing::{Broker, Clock, Core};
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::discovery;
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// `rules.must-ask-in` of the stand-in settings.
const ASK_IN: Duration = Duration::from_secs(10);
/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// What a call to discovery takes, and how long one waits for its turn before it fails.
const HANDLING: Duration = Duration::from_millis(150);
const MOST_WAIT: Duration = Duration::from_secs(2);
/// No test waits longer for an event, in virtual time.
const PATIENCE: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, PartialEq)]
enum State {
    Up,
    /// Calls fail with 503.
    Refuses,
    /// Calls end with the connection.
    Resets,
}

/// The stand-in for discovery, and what it has seen.
struct Discovery {
    state: Cell<State>,
    /// Calls that wait from now on are never answered.
    silent: Cell<bool>,
    /// Each answer is the last on its connection.
    closes: Cell<bool>,
    revision: Cell<u64>,
    changed: Notify,
    turn: Mutex<()>,
    /// When calls came, and when answers to them were written.
    calls: RefCell<Vec<Instant>>,
    answers: RefCell<Vec<Instant>>,
}

impl Discovery {
    fn new() -> Rc<Discovery> {
        Rc::new(Discovery {
            state: Cell::new(State::Up),
            silent: Cell::new(false),
            closes: Cell::new(false),
            revision: Cell::new(1),
            changed: Notify::new(),
            turn: Mutex::new(()),
            calls: RefCell::default(),
            answers: RefCell::default(),
        })
    }

    /// Goes down or comes back; open watches end when it goes down.
    fn turns(&self, state: State) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    /// Worker `w1` begins to drain.
    fn drains(&self) {
        self.revision.set(self.revision.get() + 1);
        self.changed.notify_waiters();
    }

    /// The response to a call; `None` where the connection ends without one.
    async fn respond(&self, request: &Request) -> Option<Response> {
        self.calls.borrow_mut().push(Instant::now());
        let failed = || Response::text(503, "down, or too many calls");
        match self.state.get() {
            State::Up => {}
            State::Refuses => return Some(failed()),
            State::Resets => return None,
        }
        let Ok(turn) = timeout(MOST_WAIT, self.turn.lock()).await else { return Some(failed()) };
        sleep(HANDLING).await;
        drop(turn);
        let parameter =
            |name: &str| request.parameter(name).map(|text| text.parse::<u64>().expect("a number"));
        let (held, wait) = (parameter("index"), parameter("wait").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        let silent = held.is_some() && self.silent.get();
        while held == Some(self.revision.get()) || silent {
            let changed = self.changed.notified();
            if self.state.get() != State::Up {
                return None;
            }
            if silent {
                changed.await;
            } else if timeout(until.saturating_duration_since(Instant::now()), changed).await.is_err() {
                break;
            }
        }
        Some(Response::json(200, self.list(held)))
    }

    /// The whole list, or what is newer than a revision.
    fn list(&self, held: Option<u64>) -> String {
        let revision = self.revision.get();
        let phase = if revision > 1 { "DRAINING" } else { "SERVING" };
        let w1 = format!(r#"{{"id":"w1","host_port":"w1","phase":"{phase}"}}"#);
        let members = match held {
            None => format!(r#"{w1},{{"id":"w2","host_port":"w2","phase":"SERVING"}}"#),
            Some(held) if held < revision => w1,
            Some(_) => String::new(),
        };
        format!(r#"{{"revision":{revision},"complete":{},"members":[{members}]}}"#, held.is_none())
    }

    async fn serve(self: Rc<Discovery>, mut stream: DuplexStream) {
        let mut buffer = BytesMut::new();
        loop {
            let request = loop {
                match http::take_request(&mut buffer).expect("a request") {
                    Some(request) => break request,
                    None if matches!(stream.read_buf(&mut buffer).await, Ok(1..)) => {}
                    None => return,
                }
            };
            let Some(response) = self.respond(&request).await else { return };
            let closes = self.closes.get();
            if stream.write_all(&response.encode(closes)).await.is_err() {
                return;
            }
            self.answers.borrow_mut().push(Instant::now());
            if closes {
                return;
            }
        }
    }
}

struct Network(Rc<Discovery>);

impl Connector for Network {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            sleep(Duration::from_millis(1)).await;
            let (near, far) = tokio::io::duplex(1 << 16);
            spawn_local(self.0.clone().serve(far));
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

/// A gatherer that holds the list of revision 1, one of so many.
fn gatherer(seed: u64, gatherers: u32, discovery: &Rc<Discovery>) -> Broker {
    let mut json: serde_json::Value =
        serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    json["settings"]["balancers"] = gatherers.into();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
    let known = config.initial_workers.expect("a list");
    broker.apply_endpoint_update(&known, true);
    let (network, watching) = (Network(discovery.clone()), broker.clone());
    spawn_local(async move {
        let places = DescriptorPool::new(DescriptorBudget::new(256, 16, 0).expect("enough"), 1 << 20);
        // The sender stays: discovery does not move.
        let (_sender, address) = tokio::sync::watch::channel("discovery".to_owned());
        let backoff = Backoff::new(seed, gatherers, ASK_IN);
        discovery::follow(&network, address, Some(known.revision), &watching, &places, backoff).await;
    });
    broker
}

/// Whether it has heard that `w1` drains.
fn knows(broker: &Broker) -> bool {
    let list = broker.with_core(|core| core.endpoint_list());
    list.workers.iter().any(|member| member.name == "w1" && member.status == EndpointStatus::Draining)
}

/// Waits until all gatherers know; how long that took.
async fn all_know(gatherers: &[Broker]) -> Duration {
    let since = Instant::now();
    while !gatherers.iter().all(knows) {
        assert!(since.elapsed() < PATIENCE, "in vain");
        sleep(Duration::from_millis(5)).await;
    }
    since.elapsed()
}

/// Runs so many gatherers beside one discovery, for each of some seeds.
fn each_seed<F: Future<Output = ()>>(gatherers: u32, main: impl Fn(u64, Rc<Discovery>, Vec<Broker>) -> F) {
    for seed in 0..20 {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let discovery = Discovery::new();
            let own = |id: u32| seed << 32 | u64::from(id);
            let all = (0..gatherers).map(|id| gatherer(own(id), gatherers, &discovery)).collect();
            main(seed, discovery, all).await;
        });
    }
}

#[test]
fn a_change_is_known_before_it_counts_as_told_however_long_discovery_was_down() {
    for gatherers in 2..=6 {
        for down in [State::Refuses, State::Resets] {
            each_seed(gatherers, |seed, discovery, all| async move {
                sleep(Duration::from_secs(2)).await;
                discovery.turns(down);
                sleep(Duration::from_millis(30_000 + 100 * seed)).await;
                discovery.drains();
                discovery.turns(State::Up);
                let took = all_know(&all).await;
                assert!(took < TOLD, "{gatherers} gatherers, seed {seed}: {took:?}");
            });
        }
    }
}

#[test]
fn a_watch_goes_on_within_200_ms_of_its_answer_also_on_a_new_connection() {
    for closes in [false, true] {
        each_seed(1, |seed, discovery, _all| async move {
            discovery.closes.set(closes);
            sleep(Duration::from_secs(40)).await;
            let (calls, answers) = (discovery.calls.borrow(), discovery.answers.borrow());
            assert!(answers.len() >= 5, "{} answers", answers.len());
            for answer in answers.iter() {
                let next = calls.iter().find(|call| *call >= answer).expect("a next call");
                let gap = *next - *answer;
                assert!(gap <= Duration::from_millis(200), "seed {seed}: {gap:?}");
            }
        });
    }
}

#[test]
fn what_a_silent_watch_misses_is_known_2_s_after_its_wait() {
    for gatherers in [1, 3, 6] {
        each_seed(gatherers, |seed, discovery, all| async move {
            // Every gatherer's watch is open, and falls silent.
            discovery.silent.set(true);
            sleep(Duration::from_secs(3)).await;
            discovery.silent.set(false);
            let wait = Backoff::new(0, gatherers, ASK_IN).long_poll_timeout();
            let begun = discovery.calls.borrow().iter().copied().min().expect("a call");
            let before = Instant::now() - begun;
            discovery.drains();
            let took = all_know(&all).await + before;
            let last = discovery.calls.borrow().iter().take(gatherers as usize).copied().max();
            let spread = last.expect("a call") - begun;
            assert!(took <= spread + wait + Duration::from_secs(2), "seed {seed}: {took:?}");
        });
    }
}

#[test]
fn gatherers_that_start_together_have_all_asked_in_time() {
    each_seed(6, |seed, discovery, all| async move {
        discovery.drains();
        let took = all_know(&all).await;
        assert!(took < TOLD.min(ASK_IN), "seed {seed}: {took:?}");
        sleep(Duration::from_secs(1)).await;
        assert_eq!(discovery.calls.borrow().len(), 12, "one call for what has changed, then a watch");
    });
}

#[test]
fn no_call_waits_longer_than_the_protocol_page_allows() {
    for gatherers in [1, 3, 48, 1000, 100_000] {
        let wait = Backoff::new(1, gatherers, ASK_IN).long_poll_timeout();
        assert!(wait <= Duration::from_secs(60), "{gatherers} gatherers: {wait:?}");
    }
}

#[test]
fn the_configuration_says_how_discovery_is_reached_and_who_carries_datagrams() {
    let mut json: serde_json::Value =
        serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    assert_eq!((config.max_poll_interval, config.peer_datagrams), (None, false));
    json["settings"]["discovery"] = "on_request".into();
    json["settings"]["rules"]["must-ask-in"] = 10_000_000_000_u64.into();
    json["peer_listen"] = "127.0.0.1:9".into();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    assert_eq!((config.max_poll_interval, config.peer_datagrams), (Some(ASK_IN), true));
    // The watch is the network code's: the module does not ask beside it.
    assert!(!config.contracts.settings.poll_discovery);
}

/// The configuration of a process that holds a list of worker `w1`, beside a discovery that is down.
fn beside_a_discovery_that_is_down(worker: &Worker) -> serde_json::Value {
    let before = process::Discovery::start(&member("w1", &worker.address));
    let mut config = process::config(&before);
    config["settings"]["discovery"] = "on_request".into();
    config["settings"]["rules"]["must-ask-in"] = 10_000_000_000_u64.into();
    (config["discovery"], config["operator"]) = (unused_address().into(), serde_json::Value::Null);
    config
}

#[test]
fn a_process_that_starts_while_discovery_is_down_is_ready_and_serves_from_the_list_it_holds() {
    let (folder, worker) = (TempFolder::new("down"), Worker::start());
    let begun = std::time::Instant::now();
    let gatherer = Gatherer::start(&folder, &beside_a_discovery_that_is_down(&worker));
    assert_eq!(call_operator_api(&gatherer.clients, "GET", "/_health").0, 200);
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(10), "{took:?}");
    let mut client = gatherer.connect();
    process::query(&mut client, "a", "search").expect("written");
    assert_eq!(process::response(&mut client).expect("an answer").status, 200);
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_discovery_from_nobody() {
    let (folder, workers) = (TempFolder::new("filled"), [Worker::start(), Worker::start()]);
    let mut config = beside_a_discovery_that_is_down(&workers[0]);
    config["limits"] = serde_json::json!({ "sockets": 64 });
    let gatherer = Gatherer::start(&folder, &config);
    let idle: Vec<TcpStream> = (0..200).map(|_| gatherer.connect()).collect();
    gatherer.wait_for_log("cannot connect");
    // Discovery is back, with another worker in its list.
    let address = config["discovery"].as_str().expect("an address");
    let listener = TcpListener::bind(address).expect("its port");
    let discovery = process::Discovery::on(listener, "");
    discovery.publish(&member("w2", &workers[1].address));
    gatherer.wait_for_log("list 2 with 1 workers");
    let mut client = gatherer.connect();
    process::query(&mut client, "a", "search").expect("written");
    assert_eq!(process::response(&mut client).expect("an answer").status, 200);
    assert_eq!(workers.map(|worker| worker.parts_received()), [0, 1]);
    drop(idle);
}

#[test]
fn a_worker_whose_start_lies_in_the_future_by_a_stepped_clock_grows_warm_in_its_time() {
    // Guards against a wall clock that was stepped back as this process started: for an hour every worker would be cold.
    let json: serde_json::Value = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let (mut core, begun) = (Core::new(config.contracts), Time(1 << 60));
    core.metrics = Some(Default::default());
    let mut list = config.initial_workers.expect("a list");
    list.workers.truncate(1);
    list.workers[0].started_at = Some(begun.after(Duration::from_secs(3600)));
    let state = |core: &mut Core| {
        core.record_events
            .drain(..)
            .filter_map(|body| match body {
                RecordBody::Worker { state, .. } => Some(state),
                _ => None,
            })
            .next_back()
    };
    core.apply_endpoint_update(begun, &list, false);
    assert_eq!(state(&mut core), Some(RecordedWorkerState::WarmingUp));
    let warm_up = core.contracts().settings.warm_up;
    core.apply_endpoint_update(begun.after(warm_up), &list, false);
    assert_eq!(state(&mut core), Some(RecordedWorkerState::Active));
    // A further start is another one.
    list.workers[0].started_at = Some(begun.after(Duration::from_secs(3700)));
    core.apply_endpoint_update(begun.after(warm_up * 2), &list, false);
    assert_eq!(state(&mut core), Some(RecordedWorkerState::WarmingUp));
}
