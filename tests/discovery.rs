//! Discovery by polling: one agent serves all gatherers, answers polls one by one, fails those that wait too
//! long, and has outages. Gatherers must have received a change before the protocol counts it as notified.
//! Most tests run in virtual time with fixed seeds, some with real processes.

mod common;

use bytes::BytesMut;
use common::platform::{platform_config, platform_json};
use common::process::{self, Gatherer, TempFolder, Worker, call_operator_api, member, unused_address};
use gatherer::limits::{Backoff, DescriptorBudget};
use gatherer::policy::{EndpointStatus, Time};
use gatherer::program::config::Config;
use gatherer::protocol::http::{self, Request, Response};
use gatherer::records::record::{RecordBody, RecordedWorkerState};
use gatherer::routing::{Broker, Clock, Core, ListOrigin};
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

/// `rules.must-ask-in` of the test settings.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// A change counts as notified this long after the agent had it and could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// How long the agent takes to handle one poll.
const HANDLING_TIME: Duration = Duration::from_millis(150);
/// How long a poll waits for its turn before it is answered with 503.
const MAX_TURN_WAIT: Duration = Duration::from_secs(2);
/// The longest wait of a test for a change, in virtual time.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Whether and how the agent responds.
#[derive(Clone, Copy, PartialEq)]
enum DiscoveryState {
    Up,
    /// Polls are answered with 503.
    Unavailable,
    /// The connection ends in place of a response.
    Resetting,
}

/// A test double of the discovery agent, with the times of its polls.
struct Discovery {
    state: Cell<DiscoveryState>,
    /// Whether long polls that arrive now get no response.
    unresponsive: Cell<bool>,
    /// Whether the connection is closed after each response.
    closes: Cell<bool>,
    revision: Cell<u64>,
    changed: Notify,
    turn: Mutex<()>,
    /// When polls were received.
    polls: RefCell<Vec<Instant>>,
    /// When responses to polls were written.
    responses: RefCell<Vec<Instant>>,
}

impl Discovery {
    /// Creates an agent that is up and has revision 1.
    fn new() -> Rc<Discovery> {
        Rc::new(Discovery {
            state: Cell::new(DiscoveryState::Up),
            unresponsive: Cell::new(false),
            closes: Cell::new(false),
            revision: Cell::new(1),
            changed: Notify::new(),
            turn: Mutex::new(()),
            polls: RefCell::default(),
            responses: RefCell::default(),
        })
    }

    /// Changes the state. Long polls in flight end without a response when the agent goes down.
    fn set_state(&self, state: DiscoveryState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    /// Publishes that worker `w1` is draining.
    fn publish_draining(&self) {
        self.revision.set(self.revision.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns the response to a poll; `None` if the connection ends without one.
    async fn respond(&self, request: &Request) -> Option<Response> {
        self.polls.borrow_mut().push(Instant::now());
        let unavailable = || Response::text(503, "down, or too many polls");
        match self.state.get() {
            DiscoveryState::Up => {}
            DiscoveryState::Unavailable => return Some(unavailable()),
            DiscoveryState::Resetting => return None,
        }
        let Ok(turn) = timeout(MAX_TURN_WAIT, self.turn.lock()).await else { return Some(unavailable()) };
        sleep(HANDLING_TIME).await;
        drop(turn);
        let parameter =
            |name: &str| request.parameter(name).map(|text| text.parse::<u64>().expect("a number"));
        let (held, wait) = (parameter("index"), parameter("wait").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        let unresponsive = held.is_some() && self.unresponsive.get();
        while held == Some(self.revision.get()) || unresponsive {
            let changed = self.changed.notified();
            if self.state.get() != DiscoveryState::Up {
                return None;
            }
            if unresponsive {
                changed.await;
            } else if timeout(until.saturating_duration_since(Instant::now()), changed).await.is_err() {
                break;
            }
        }
        Some(Response::json(200, self.list(held)))
    }

    /// Returns the complete list, or the changes after the revision `held`.
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

    /// Answers the polls on one connection.
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
            self.responses.borrow_mut().push(Instant::now());
            if closes {
                return;
            }
        }
    }
}

/// Connects to the test double, for any address.
struct DiscoveryConnector(Rc<Discovery>);

impl Connector for DiscoveryConnector {
    fn connect<'a>(&'a self, _address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            sleep(Duration::from_millis(1)).await;
            let (gatherer_end, discovery_end) = tokio::io::duplex(1 << 16);
            spawn_local(self.0.clone().serve(discovery_end));
            Ok(Box::new(gatherer_end) as Box<dyn Stream>)
        })
    }
}

/// Starts following discovery for one of several gatherers, which holds the list of revision 1.
fn start_gatherer(seed: u64, gatherers: u32, discovery: &Rc<Discovery>) -> Broker {
    let mut json = platform_json();
    json["settings"]["balancers"] = gatherers.into();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let broker = Broker::new(Core::new(config.contracts), Clock::starting_at(Time(1 << 60)));
    let list = config.initial_workers.expect("a list");
    broker.apply_endpoint_update(&list, ListOrigin::Cache);
    let (connector, task_broker) = (DiscoveryConnector(discovery.clone()), broker.clone());
    spawn_local(async move {
        let descriptor_pool =
            DescriptorPool::new(DescriptorBudget::new(256, 16, 0).expect("enough descriptors"), 1 << 20);
        // The address does not change; the sender is kept so that the channel stays open.
        let (_sender, address) = tokio::sync::watch::channel("discovery".to_owned());
        let backoff = Backoff::new(seed, gatherers, MAX_POLL_INTERVAL);
        discovery::watch_endpoints(
            &connector,
            address,
            Some(list.revision),
            &task_broker,
            &descriptor_pool,
            backoff,
        )
        .await;
    });
    broker
}

/// Whether the gatherer's list has `w1` as draining.
fn has_received_change(broker: &Broker) -> bool {
    let list = broker.with_core(|core| core.endpoint_list());
    list.workers.iter().any(|member| member.name == "w1" && member.status == EndpointStatus::Draining)
}

/// Waits until the lists of all gatherers have `w1` as draining; returns how long that took.
async fn wait_until_all_have_received(gatherers: &[Broker]) -> Duration {
    let started_at = Instant::now();
    while !gatherers.iter().all(has_received_change) {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "some gatherer has not received the change within {TEST_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(5)).await;
    }
    started_at.elapsed()
}

/// Runs a number of gatherers with one agent, once for each seed.
fn run_with_each_seed<F: Future<Output = ()>>(
    gatherers: u32,
    main: impl Fn(u64, Rc<Discovery>, Vec<Broker>) -> F,
) {
    for seed in 0..20 {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let discovery = Discovery::new();
            let seed_of = |id: u32| seed << 32 | u64::from(id);
            let all = (0..gatherers).map(|id| start_gatherer(seed_of(id), gatherers, &discovery)).collect();
            main(seed, discovery, all).await;
        });
    }
}

#[test]
fn a_change_is_known_before_it_counts_as_notified_however_long_discovery_was_down() {
    for gatherers in 2..=6 {
        for outage in [DiscoveryState::Unavailable, DiscoveryState::Resetting] {
            run_with_each_seed(gatherers, |seed, discovery, all| async move {
                sleep(Duration::from_secs(2)).await;
                discovery.set_state(outage);
                sleep(Duration::from_millis(30_000 + 100 * seed)).await;
                discovery.publish_draining();
                discovery.set_state(DiscoveryState::Up);
                let elapsed = wait_until_all_have_received(&all).await;
                assert!(elapsed < NOTIFIED_AFTER, "{gatherers} gatherers, seed {seed}: {elapsed:?}");
            });
        }
    }
}

#[test]
fn a_long_poll_follows_within_200_ms_of_a_response_also_on_a_new_connection() {
    for closes in [false, true] {
        run_with_each_seed(1, |seed, discovery, _all| async move {
            discovery.closes.set(closes);
            sleep(Duration::from_secs(40)).await;
            let (polls, responses) = (discovery.polls.borrow(), discovery.responses.borrow());
            assert!(responses.len() >= 5, "{} responses", responses.len());
            for response in responses.iter() {
                let next = polls.iter().find(|poll| *poll >= response).expect("a next poll");
                let gap = *next - *response;
                assert!(gap <= Duration::from_millis(200), "seed {seed}: {gap:?}");
            }
        });
    }
}

#[test]
fn a_change_missed_by_an_unanswered_long_poll_is_known_2_s_after_its_timeout() {
    for gatherers in [1, 3, 6] {
        run_with_each_seed(gatherers, |seed, discovery, all| async move {
            // The long poll of every gatherer is in flight during this time, and gets no response.
            discovery.unresponsive.set(true);
            sleep(Duration::from_secs(3)).await;
            discovery.unresponsive.set(false);
            let wait = Backoff::new(0, gatherers, MAX_POLL_INTERVAL).long_poll_timeout();
            let first_poll = discovery.polls.borrow().iter().copied().min().expect("a poll");
            let before_publication = Instant::now() - first_poll;
            discovery.publish_draining();
            let elapsed = wait_until_all_have_received(&all).await + before_publication;
            let last_poll = discovery.polls.borrow().iter().take(gatherers as usize).copied().max();
            let spread = last_poll.expect("a poll") - first_poll;
            assert!(elapsed <= spread + wait + Duration::from_secs(2), "seed {seed}: {elapsed:?}");
        });
    }
}

#[test]
fn gatherers_that_start_together_all_receive_a_change_in_time() {
    run_with_each_seed(6, |seed, discovery, all| async move {
        discovery.publish_draining();
        let elapsed = wait_until_all_have_received(&all).await;
        assert!(elapsed < NOTIFIED_AFTER.min(MAX_POLL_INTERVAL), "seed {seed}: {elapsed:?}");
        sleep(Duration::from_secs(1)).await;
        assert_eq!(
            discovery.polls.borrow().len(),
            12,
            "each gatherer sends one poll for the change, then a long poll"
        );
    });
}

#[test]
fn no_long_poll_lasts_longer_than_the_protocol_allows() {
    for gatherers in [1, 3, 48, 1000, 100_000] {
        let wait = Backoff::new(1, gatherers, MAX_POLL_INTERVAL).long_poll_timeout();
        assert!(wait <= Duration::from_secs(60), "{gatherers} gatherers: {wait:?}");
    }
}

#[test]
fn the_configuration_says_how_discovery_is_polled_and_who_carries_datagrams() {
    let mut json = platform_json();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    assert_eq!((config.max_poll_interval, config.peer_datagrams), (None, false));
    json["settings"]["discovery"] = "on_request".into();
    json["settings"]["rules"]["must-ask-in"] = 10_000_000_000_u64.into();
    json["peer_listen"] = "127.0.0.1:9".into();
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    assert_eq!((config.max_poll_interval, config.peer_datagrams), (Some(MAX_POLL_INTERVAL), true));
    // The transport polls discovery, not the decision module.
    assert!(!config.contracts.settings.poll_discovery);
}

/// Returns a configuration with worker `w1` in the initial list and a discovery agent that is down.
fn config_while_discovery_is_down(worker: &Worker) -> serde_json::Value {
    let earlier_discovery = process::Discovery::start(&member("w1", &worker.address));
    let mut config = process::config(&earlier_discovery);
    config["settings"]["discovery"] = "on_request".into();
    config["settings"]["rules"]["must-ask-in"] = 10_000_000_000_u64.into();
    (config["discovery"], config["operator"]) = (unused_address().into(), serde_json::Value::Null);
    config
}

#[test]
fn a_process_that_starts_while_discovery_is_down_serves_from_the_list_it_has() {
    let (folder, worker) = (TempFolder::new("down"), Worker::start());
    let started_at = std::time::Instant::now();
    let gatherer = Gatherer::start(&folder, &config_while_discovery_is_down(&worker));
    assert_eq!(call_operator_api(&gatherer.clients, "GET", "/_health").0, 200);
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(10), "{elapsed:?}");
    let mut client = gatherer.connect();
    process::query(&mut client, "a", "search").expect("the write succeeds");
    assert_eq!(process::response(&mut client).expect("a response").status, 200);
}

#[test]
fn idle_clients_that_fill_the_descriptors_do_not_block_discovery() {
    let (folder, workers) = (TempFolder::new("filled"), [Worker::start(), Worker::start()]);
    let mut config = config_while_discovery_is_down(&workers[0]);
    config["limits"] = serde_json::json!({ "sockets": 64 });
    let gatherer = Gatherer::start(&folder, &config);
    let idle: Vec<TcpStream> = (0..200).map(|_| gatherer.connect()).collect();
    gatherer.wait_for_log("cannot connect");
    // The agent is up again, with another worker in its list.
    let address = config["discovery"].as_str().expect("an address");
    let listener = TcpListener::bind(address).expect("the port of the agent is free");
    let discovery = process::Discovery::on(listener, "");
    discovery.publish(&member("w2", &workers[1].address));
    gatherer.wait_for_log("list 2 with 1 workers");
    let mut client = gatherer.connect();
    process::query(&mut client, "a", "search").expect("the write succeeds");
    assert_eq!(process::response(&mut client).expect("a response").status, 200);
    assert_eq!(workers.map(|worker| worker.parts_received()), [0, 1]);
    drop(idle);
}

#[test]
fn a_worker_whose_start_lies_in_the_future_after_a_clock_step_warms_up_in_time() {
    // Guards against slow start for an hour, where the wall clock was stepped back before this process started.
    let config = platform_config();
    let (mut core, start) = (Core::new(config.contracts), Time(1 << 60));
    core.metrics = Some(Default::default());
    let mut list = config.initial_workers.expect("a list");
    list.workers.truncate(1);
    list.workers[0].started_at = Some(start.after(Duration::from_secs(3600)));
    let state = |core: &mut Core| {
        core.record_events
            .drain(..)
            .filter_map(|body| match body {
                RecordBody::Worker { state, .. } => Some(state),
                _ => None,
            })
            .next_back()
    };
    core.apply_endpoint_update(start, &list, ListOrigin::Discovery);
    assert_eq!(state(&mut core), Some(RecordedWorkerState::WarmingUp));
    let warm_up = core.contracts().settings.warm_up;
    core.apply_endpoint_update(start.after(warm_up), &list, ListOrigin::Discovery);
    assert_eq!(state(&mut core), Some(RecordedWorkerState::Active));
    // A restart of the worker begins the warm-up again.
    list.workers[0].started_at = Some(start.after(Duration::from_secs(3700)));
    core.apply_endpoint_update(start.after(warm_up * 2), &list, ListOrigin::Discovery);
    assert_eq!(state(&mut core), Some(RecordedWorkerState::WarmingUp));
}
