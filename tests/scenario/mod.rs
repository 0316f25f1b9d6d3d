//! The scenario language: `send`, `expect`, `close`, `open`, `wait`, one command to a line, run on in-memory pipes under a
//! paused clock that advances only when all tasks are idle. The transcript lists everything that each party received, and
//! when.

mod network;

use bytes::{BufMut, BytesMut};
use gatherer::fronts::opensearch::OpenSearchFront;
use gatherer::fronts::platform::PlatformFront;
use gatherer::limits::client_connections::Source;
use gatherer::limits::{Backoff, DescriptorBudget};
use gatherer::policy::{EndpointStatus, Time};
use gatherer::program::config::Config;
use gatherer::program::opensearch_file::FrontFile;
use gatherer::protocol::http;
use gatherer::routing::{Broker, Clock, Contracts, Core, ListedWorker, WorkerListUpdate, WorkerTransport};
use gatherer::service::lifecycle::LifecycleRequest;
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::discovery;
use gatherer::transport::index_servers::IndexServers;
use gatherer::transport::listener::{self, Front};
use gatherer::transport::workers::Workers;
use network::{FakeNetwork, PIPE_BYTES, Party, PortState, WireFormat};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

const START_TIME: Time = Time(1_700_000_000_000_000_000);
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

struct ScenarioRun {
    network: FakeNetwork,
    start: Instant,
    transcript: String,
    sent_text: String,
    broker: Broker,
    connection_manager: Rc<ConnectionManager>,
    /// Where discovery is.
    agent: tokio::sync::watch::Sender<String>,
}

/// Plays a scenario; its first line names the front.
pub fn run_script(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (first, rest) = script.split_once('\n').expect("a first line");
        let descriptor_pool =
            DescriptorPool::new(DescriptorBudget::new(256, 16, 0).expect("enough"), 1 << 20);
        let (clock, connection_manager, network) = (
            Clock::starting_at(START_TIME),
            ConnectionManager::new(descriptor_pool.clone()),
            FakeNetwork::default(),
        );
        let agent = tokio::sync::watch::Sender::new("agent".to_owned());
        match first {
            "front platform"
            | "front platform without cancelling"
            | "front platform watching agent"
            | "front platform asking agent" => {
                let mut json: serde_json::Value =
                    serde_json::from_str(include_str!("platform.json")).expect("JSON");
                json["settings"]["allowed"]["cancel"] = (!first.ends_with("without cancelling")).into();
                let config = Config::from_json(&json, |_| None).expect("a configuration");
                let known = config.initial_workers.expect("a list");
                let broker = broker(config.contracts, &known, clock, &network, WireFormat::Frames);
                let workers = Workers::new(broker.clone(), Rc::new(network.clone()), descriptor_pool.clone());
                if first.ends_with("agent") {
                    for name in ["agent", "agent2"] {
                        network.0.borrow_mut().insert(name.to_owned(), Party::new(WireFormat::Requests));
                    }
                    let (dial, watcher, address) = (network.clone(), broker.clone(), agent.subscribe());
                    let (held, backoff) = match first.contains("asking") {
                        true => (Some(known.revision), Backoff::new(1, 48, Duration::from_secs(10))),
                        false => (None, Backoff::for_local_agent(1, Duration::from_millis(250))),
                    };
                    spawn_local(async move {
                        discovery::follow(&dial, address, held, &watcher, &descriptor_pool, backoff).await
                    });
                }
                let front = PlatformFront { broker: broker.clone(), connections: connection_manager.clone() };
                run(rest, broker, workers, front, connection_manager, network, agent).await
            }
            "front opensearch" => {
                let file = FrontFile::parse(include_str!("opensearch.toml"), 7).expect("a file");
                let broker = broker(file.contracts, &file.servers, clock, &network, WireFormat::Requests);
                let servers = IndexServers::new(broker.clone(), Rc::new(network.clone()), descriptor_pool);
                let front = OpenSearchFront::new(
                    broker.clone(),
                    clock,
                    connection_manager.clone(),
                    file.names,
                    "start-1".to_owned(),
                    7,
                );
                run(rest, broker, servers, front, connection_manager, network, agent).await
            }
            other => panic!("unknown first line {other:?}"),
        }
    })
}

fn broker(
    contracts: Contracts,
    list: &WorkerListUpdate,
    clock: Clock,
    network: &FakeNetwork,
    form: WireFormat,
) -> Broker {
    let broker = Broker::new(Core::new(contracts), clock);
    broker.apply_endpoint_update(list, true);
    for member in &list.workers {
        network.0.borrow_mut().insert(member.address.clone(), Party::new(form));
    }
    broker
}

async fn run<F: Front + 'static>(
    script: &str,
    broker: Broker,
    carrier: impl WorkerTransport + 'static,
    front: F,
    connection_manager: Rc<ConnectionManager>,
    network: FakeNetwork,
    agent: tokio::sync::watch::Sender<String>,
) -> String {
    let driver = broker.clone();
    spawn_local(async move { driver.drive(&carrier).await });
    let evicting = connection_manager.clone();
    spawn_local(async move { evicting.run_evictions().await });
    let timed = connection_manager.clone();
    spawn_local(async move { timed.run_lifecycle_timers().await });
    let (start, front) = (Instant::now(), Rc::new(front));
    let (transcript, sent_text) = (String::new(), String::new());
    let mut scenario =
        ScenarioRun { network, start, transcript, sent_text, broker, connection_manager, agent };
    for (number, line) in script.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
        let words = scenario.fill(line);
        let _ = writeln!(scenario.transcript, "{words}");
        let (verb, rest) = words.split_once(' ').unwrap_or((&words, ""));
        let (who, what) = rest.split_once(' ').unwrap_or((rest, ""));
        match verb {
            "#" => {}
            "wait" => tokio::time::sleep(Duration::from_millis(who.parse().expect("milliseconds"))).await,
            "expect" => scenario.expect(who, what, number + 2).await,
            "close" => scenario.close(who, what),
            "open" => scenario.open(who, what),
            "send" => scenario.send(who, what, &front),
            other => panic!("line {}: unknown verb {other:?}", number + 2),
        }
    }
    scenario.finish().await
}

impl ScenarioRun {
    /// Replaces `$key` and `$scroll` by the last idempotency key and scroll id that any party received.
    fn fill(&self, line: &str) -> String {
        let last = |name: &str| {
            let at = self.sent_text.rfind(&format!("\"{name}\":\""))? + name.len() + 4;
            self.sent_text[at..].split('"').next()
        };
        let line = line.replace("$key", last("key").unwrap_or("none"));
        line.replace("$scroll", last("_scroll_id").unwrap_or("none"))
    }

    fn note(&mut self, who: &str, words: &str) {
        self.sent_text.push_str(words);
        let _ = writeln!(self.transcript, "  {} ms, to {who}: {words}", self.start.elapsed().as_millis());
    }

    async fn expect(&mut self, who: &str, what: &str, line: usize) {
        let inbox = self.network.0.borrow().get(who).map(|party| party.inbox.clone()).expect("a party");
        let words = loop {
            let next = std::future::poll_fn(|cx| inbox.borrow_mut().poll_recv(cx));
            let received = tokio::time::timeout(EVENT_TIMEOUT, next).await.ok().flatten();
            let words = received.unwrap_or_else(|| panic!("line {line}: nothing came\n{}", self.transcript));
            // The end of a connection matters only where a scenario expects it.
            if words != "closed" || what == "closed" {
                break words;
            }
        };
        self.note(who, &words);
        assert!(words.contains(what), "line {line}: {who} got {words:?}, not {what:?}\n{}", self.transcript);
    }

    fn close(&mut self, who: &str, what: &str) {
        let mut parties = self.network.0.borrow_mut();
        let party = parties.get_mut(who).expect("a party");
        match what {
            "" => {
                if let Some(connection) = party.next_connection().and_then(Option::take) {
                    connection.tasks.iter().for_each(tokio::task::JoinHandle::abort);
                }
            }
            "port" => party.port = PortState::Closed,
            "silently" => party.port = PortState::Silent,
            other => panic!("close what? {other:?}"),
        }
    }

    /// Opens a party's port; with a number, each connection is established so many milliseconds late.
    fn open(&mut self, who: &str, what: &str) {
        let delay = what.parse().map(Duration::from_millis);
        let mut parties = self.network.0.borrow_mut();
        parties.get_mut(who).expect("a party").port = delay.map_or(PortState::Open, PortState::DelayedOpen);
    }

    fn send<F: Front + 'static>(&mut self, who: &str, what: &str, front: &Rc<F>) {
        if who == "discovery" {
            let (status, name) = what.split_once(' ').expect("a status and a worker");
            let (status, since) = match status {
                "SERVING" => (EndpointStatus::Active, None),
                "RESTARTED" => (EndpointStatus::Active, Some(START_TIME.after(self.start.elapsed()))),
                "DRAINING" => (EndpointStatus::Draining, None),
                _ => (EndpointStatus::Gone, None),
            };
            let (name, address, zone) = (name.to_owned(), name.to_owned(), String::new());
            let member = ListedWorker { name, address, zone, cell: 0, status, units: 1.0, started_at: since };
            return self.broker.apply_endpoint_update(
                &WorkerListUpdate { revision: 2, complete: false, workers: vec![member] },
                false,
            );
        }
        if who == "SIGHUP" {
            self.agent.send_replace(what.to_owned());
            return;
        }
        if who == "SIGTERM" {
            return self.connection_manager.apply_lifecycle(LifecycleRequest::Stop).expect("taken");
        }
        if who == "operator" {
            let call = if what == "drain" { LifecycleRequest::Drain } else { LifecycleRequest::Resume };
            return self.connection_manager.apply_lifecycle(call).expect("taken");
        }
        // `NAME.N` sends on the party's Nth connection, `NAME` on the next one.
        let (who, number) = who.split_once('.').map_or((who, None), |(who, at)| (who, at.parse().ok()));
        let mut parties = self.network.0.borrow_mut();
        let party = parties.entry(who.to_owned()).or_insert_with(|| Party::new(WireFormat::Responses));
        if matches!(party.form, WireFormat::Responses) && !matches!(party.connections.last(), Some(Some(_))) {
            let (near, far) = tokio::io::duplex(PIPE_BYTES);
            party.connect(far);
            let (front, connection_manager) = (front.clone(), self.connection_manager.clone());
            spawn_local(async move {
                let connection_permit =
                    connection_manager.admit(Source(1), EVENT_TIMEOUT).await.expect("a place");
                listener::serve_connection(near, ([127, 0, 0, 1], 1).into(), &*front, connection_permit)
                    .await;
            });
        }
        let bytes = match party.form {
            WireFormat::Frames if what.starts_with("raw ") => what[4..].replace("\\0", "\0").into_bytes(),
            WireFormat::Frames => {
                let mut bytes = BytesMut::new();
                let what = what.replacen(' ', "", 1);
                bytes.put_u32_le(what.len() as u32);
                bytes.put_slice(what.replace('|', "\n").as_bytes());
                bytes.to_vec()
            }
            WireFormat::Requests if what.starts_with("raw ") => {
                what[4..].replace("\\r\\n", "\r\n").into_bytes()
            }
            WireFormat::Requests => {
                let (status, body) = what.split_once(' ').expect("a status and a body");
                http::Response::json(status.parse().expect("a status"), body.to_owned())
                    .encode(false)
                    .to_vec()
            }
            WireFormat::Responses if what.starts_with("raw ") => {
                what[4..].replace("\\r\\n", "\r\n").into_bytes()
            }
            WireFormat::Responses => {
                let (head, body) = what.split_at(what.find(" {").map_or(what.len(), |at| at + 1));
                let mut words = head.split_whitespace();
                let mut text = format!(
                    "{} {} HTTP/1.1\r\n",
                    words.next().expect("a method"),
                    words.next().expect("a path")
                );
                words.for_each(|field| text.push_str(&format!("{}\r\n", field.replacen('=', ": ", 1))));
                format!("{text}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
            }
        };
        let connection = match number {
            Some(number) => party.connections.get_mut::<usize>(number),
            None => party.next_connection(),
        };
        let connection = connection.and_then(Option::as_mut).expect("a connection");
        connection.sender.send(bytes).expect("an open connection");
    }

    /// Lets the remaining time pass; whatever is received then was not expected.
    async fn finish(mut self) -> String {
        tokio::time::sleep(EVENT_TIMEOUT).await;
        let parties: Vec<_> =
            self.network.0.borrow().iter().map(|(name, party)| (name.clone(), party.inbox.clone())).collect();
        for (name, inbox) in parties {
            while let Ok(words) = inbox.borrow_mut().try_recv() {
                if words != "closed" {
                    let _ = writeln!(self.transcript, "unexpected, to {name}: {words}");
                }
            }
        }
        let counters = self.broker.with_core(|core| core.counters.to_string());
        let counted = counters.split(' ').filter(|pair| !pair.ends_with("=0")).collect::<Vec<_>>().join(" ");
        let open = self.broker.with_core(|core| core.open_queries());
        format!("{}counted: {counted}\nopen: {open}\n", self.transcript)
    }
}
