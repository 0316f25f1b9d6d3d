//! The scenario language: `send`, `expect`, `close`, `open`, `wait`, one command to a line, run on in-memory
//! pipes under a paused clock that advances only when all tasks are idle. The transcript lists everything
//! that each party received, and when.

mod fronts;
mod network;

use fronts::{Environment, FrontUnderTest, START_TIME};
use gatherer::limits::client_connections::Source;
use gatherer::policy::EndpointStatus;
use gatherer::routing::{Broker, ListOrigin, ListedWorker, WorkerListUpdate, WorkerTransport};
use gatherer::service::lifecycle::LifecycleRequest;
use gatherer::transport::listener::{self, Front};
use network::{Party, PortState, WireFormat, pipe};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// How long an expected event may take, in the scenario's time.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A scenario while it runs.
struct ScenarioRun {
    environment: Environment,
    broker: Broker,
    start: Instant,
    transcript: String,
    /// Everything that parties have received.
    received: String,
}

/// Runs a scenario, whose first line names the front, and returns its transcript.
pub fn run_script(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (front, commands) = script.split_once('\n').expect("a first line");
        let environment = Environment::new();
        match front {
            "front platform"
            | "front platform without cancelling"
            | "front platform watching agent"
            | "front platform asking agent" => {
                let under_test = fronts::platform(&environment, front);
                run_commands(commands, under_test, environment).await
            }
            "front opensearch" => {
                let under_test = fronts::opensearch(&environment);
                run_commands(commands, under_test, environment).await
            }
            other => panic!("unknown first line {other:?}"),
        }
    })
}

/// Runs a scenario's commands, one to a line, against this front.
async fn run_commands<F: Front + 'static>(
    commands: &str,
    under_test: FrontUnderTest<F, impl WorkerTransport + 'static>,
    environment: Environment,
) -> String {
    let FrontUnderTest { front, transport, broker } = under_test;
    let driver = broker.clone();
    spawn_local(async move { driver.drive(&transport).await });
    let evicting = environment.connection_manager.clone();
    spawn_local(async move { evicting.run_evictions().await });
    let timed = environment.connection_manager.clone();
    spawn_local(async move { timed.run_lifecycle_timers().await });
    let (start, front) = (Instant::now(), Rc::new(front));
    let (transcript, received) = (String::new(), String::new());
    let mut scenario = ScenarioRun { environment, broker, start, transcript, received };
    for (number, line) in commands.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
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
            let label = format!("\"{name}\":\"");
            let value = self.received.rfind(&label)? + label.len();
            self.received[value..].split('"').next()
        };
        let line = line.replace("$key", last("key").unwrap_or("none"));
        line.replace("$scroll", last("_scroll_id").unwrap_or("none"))
    }

    /// Records what a party has received.
    fn note(&mut self, who: &str, words: &str) {
        self.received.push_str(words);
        let _ = writeln!(self.transcript, "  {} ms, to {who}: {words}", self.start.elapsed().as_millis());
    }

    /// Waits for the next text that a party receives, which has to contain `what`.
    async fn expect(&mut self, who: &str, what: &str, line: usize) {
        let inbox =
            self.environment.network.0.borrow().get(who).map(|party| party.inbox.clone()).expect("a party");
        let words = loop {
            let next = std::future::poll_fn(|context| inbox.borrow_mut().poll_recv(context));
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

    /// Closes a party's next connection; or its port, so that connecting is refused or (silently) never
    /// completes.
    fn close(&mut self, who: &str, what: &str) {
        let mut parties = self.environment.network.0.borrow_mut();
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
        let mut parties = self.environment.network.0.borrow_mut();
        parties.get_mut(who).expect("a party").port = delay.map_or(PortState::Open, PortState::DelayedOpen);
    }

    /// Sends as a party, or acts as what stands beside the gatherer: discovery, signals, an operator.
    fn send<F: Front + 'static>(&mut self, who: &str, what: &str, front: &Rc<F>) {
        match who {
            "discovery" => self.update_worker(what),
            "SIGHUP" => drop(self.environment.discovery_address.send_replace(what.to_owned())),
            "SIGTERM" => self.request_lifecycle(LifecycleRequest::Stop),
            "operator" if what == "drain" => self.request_lifecycle(LifecycleRequest::Drain),
            "operator" => self.request_lifecycle(LifecycleRequest::Resume),
            _ => self.send_as_party(who, what, front),
        }
    }

    /// Requests a change of the lifecycle, which has to be accepted.
    fn request_lifecycle(&self, request: LifecycleRequest) {
        self.environment.connection_manager.apply_lifecycle(request).expect("taken");
    }

    /// Applies an update of one worker, `STATUS NAME`, as from discovery.
    fn update_worker(&self, what: &str) {
        let (status, name) = what.split_once(' ').expect("a status and a worker");
        let (status, started_at) = match status {
            "SERVING" => (EndpointStatus::Active, None),
            "RESTARTED" => (EndpointStatus::Active, Some(START_TIME.after(self.start.elapsed()))),
            "DRAINING" => (EndpointStatus::Draining, None),
            _ => (EndpointStatus::Gone, None),
        };
        let (name, address, zone) = (name.to_owned(), name.to_owned(), String::new());
        let worker = ListedWorker { name, address, zone, cell: 0, status, units: 1.0, started_at };
        let update = WorkerListUpdate { revision: 2, complete: false, workers: vec![worker] };
        self.broker.apply_endpoint_update(&update, ListOrigin::Discovery);
    }

    /// Sends what a party says: `NAME.N` on its Nth connection, `NAME` on the next one. A client without an
    /// open connection connects first.
    fn send_as_party<F: Front + 'static>(&mut self, who: &str, what: &str, front: &Rc<F>) {
        let (name, number) =
            who.split_once('.').map_or((who, None), |(name, number)| (name, number.parse().ok()));
        let mut parties = self.environment.network.0.borrow_mut();
        let party = parties.entry(name.to_owned()).or_insert_with(|| Party::new(WireFormat::Responses));
        let is_connected = matches!(party.connections.last(), Some(Some(_)));
        if matches!(party.format, WireFormat::Responses) && !is_connected {
            self.connect_client(party, front);
        }
        let bytes = party.format.encode(what);
        let connection = match number {
            Some(number) => party.connections.get_mut::<usize>(number),
            None => party.next_connection(),
        };
        let connection = connection.and_then(Option::as_mut).expect("a connection");
        connection.sender.send(bytes).expect("an open connection");
    }

    /// Connects a client to the front.
    fn connect_client<F: Front + 'static>(&self, client: &mut Party, front: &Rc<F>) {
        let (near, far) = pipe();
        client.connect(far);
        let (front, connection_manager) = (front.clone(), self.environment.connection_manager.clone());
        spawn_local(async move {
            let permit = connection_manager.admit(Source(1), EVENT_TIMEOUT).await.expect("a place");
            listener::serve_connection(near, ([127, 0, 0, 1], 1).into(), &*front, permit).await;
        });
    }

    /// Lets the remaining time pass; whatever is received then was not expected.
    async fn finish(mut self) -> String {
        tokio::time::sleep(EVENT_TIMEOUT).await;
        let network = self.environment.network.clone();
        let parties = network.0.borrow();
        for (name, party) in parties.iter() {
            while let Ok(words) = party.inbox.borrow_mut().try_recv() {
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
