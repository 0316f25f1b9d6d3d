//! Interpreter of scenario scripts, which test a front from outside. The commands, one to a line, are `send`,
//! `expect`, `close`, `open` and `wait`. Scripts run on in-memory pipes under a paused clock, which advances
//! only when all tasks are idle. The transcript lists everything that each party received, and when.

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

/// Longest wait for an expected message, in the scenario's time.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a running scenario.
struct ScenarioRun {
    environment: Environment,
    broker: Broker,
    start: Instant,
    transcript: String,
    /// All messages that `expect` commands have taken, in order.
    received: String,
}

/// Runs a scenario, whose first line names the front, and returns its transcript.
pub fn run_script(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime is created"), async {
        let (front, commands) = script.split_once('\n').expect("the first line names the front");
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

/// Runs the commands of a scenario against a front, and returns the transcript.
async fn run_commands<F: Front + 'static>(
    commands: &str,
    under_test: FrontUnderTest<F, impl WorkerTransport + 'static>,
    environment: Environment,
) -> String {
    let FrontUnderTest { front, transport, broker } = under_test;
    let driver = broker.clone();
    spawn_local(async move { driver.drive(&transport).await });
    let evictions = environment.connection_manager.clone();
    spawn_local(async move { evictions.run_evictions().await });
    let lifecycle = environment.connection_manager.clone();
    spawn_local(async move { lifecycle.run_lifecycle_timers().await });
    let (start, front) = (Instant::now(), Rc::new(front));
    let (transcript, received) = (String::new(), String::new());
    let mut scenario = ScenarioRun { environment, broker, start, transcript, received };
    for (number, line) in commands.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
        // Line 1 of the script names the front.
        let line_number = number + 2;
        let line = scenario.substitute(line);
        let _ = writeln!(scenario.transcript, "{line}");
        let (command, arguments) = line.split_once(' ').unwrap_or((&line, ""));
        let (target, text) = arguments.split_once(' ').unwrap_or((arguments, ""));
        match command {
            "#" => {}
            "wait" => {
                let wait_ms = target.parse().expect("wait takes a number of milliseconds");
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            "expect" => scenario.expect(target, text, line_number).await,
            "close" => scenario.close(target, text),
            "open" => scenario.open(target, text),
            "send" => scenario.send(target, text, &front),
            other => panic!("line {line_number}: unknown command {other:?}"),
        }
    }
    scenario.finish().await
}

impl ScenarioRun {
    /// Replaces `$key` and `$scroll` by the last idempotency key and scroll id in the messages that `expect`
    /// commands have taken, or by `none`.
    fn substitute(&self, line: &str) -> String {
        let last = |name: &str| {
            let label = format!("\"{name}\":\"");
            let value = self.received.rfind(&label)? + label.len();
            self.received[value..].split('"').next()
        };
        let line = line.replace("$key", last("key").unwrap_or("none"));
        line.replace("$scroll", last("_scroll_id").unwrap_or("none"))
    }

    /// Adds a message that a party has received to the transcript, with the time since the start.
    fn record(&mut self, party: &str, message: &str) {
        self.received.push_str(message);
        let _ = writeln!(self.transcript, "  {} ms, to {party}: {message}", self.start.elapsed().as_millis());
    }

    /// Waits for the next message that a party receives, and checks that it contains the expected text.
    async fn expect(&mut self, party: &str, expected: &str, line: usize) {
        let inbox = self.environment.network.0.borrow().get(party).map(|party| party.inbox.clone());
        let inbox = inbox.unwrap_or_else(|| panic!("line {line}: no party {party:?}"));
        let message = loop {
            let next = std::future::poll_fn(|context| inbox.borrow_mut().poll_recv(context));
            let received = tokio::time::timeout(EVENT_TIMEOUT, next).await.ok().flatten();
            let message = received.unwrap_or_else(|| {
                panic!("line {line}: {party} received nothing within {EVENT_TIMEOUT:?}\n{}", self.transcript)
            });
            // The end of a connection is skipped unless the scenario expects it.
            if message != "closed" || expected == "closed" {
                break message;
            }
        };
        self.record(party, &message);
        assert!(
            message.contains(expected),
            "line {line}: {party} received {message:?}, which does not contain {expected:?}\n{}",
            self.transcript
        );
    }

    /// Closes a party's next connection, or its port: connecting is then refused (`port`) or never completes
    /// (`silently`).
    fn close(&mut self, party: &str, how: &str) {
        let mut parties = self.environment.network.0.borrow_mut();
        let party = parties.get_mut(party).expect("the party to close is known");
        match how {
            "" => {
                if let Some(connection) = party.next_connection().and_then(Option::take) {
                    connection.tasks.iter().for_each(tokio::task::JoinHandle::abort);
                }
            }
            "port" => party.port = PortState::Closed,
            "silently" => party.port = PortState::Silent,
            other => panic!("close takes nothing, \"port\" or \"silently\", not {other:?}"),
        }
    }

    /// Opens a party's port. With a number, each connection is established after that many milliseconds.
    fn open(&mut self, party: &str, delay_ms: &str) {
        let delay = delay_ms.parse().map(Duration::from_millis);
        let mut parties = self.environment.network.0.borrow_mut();
        let party = parties.get_mut(party).expect("the party to open is known");
        party.port = delay.map_or(PortState::Open, PortState::DelayedOpen);
    }

    /// Sends a message as a party; or applies an update of discovery, the effect of a signal, or a request of
    /// an operator, according to the sender's name.
    fn send<F: Front + 'static>(&mut self, sender: &str, text: &str, front: &Rc<F>) {
        match sender {
            "discovery" => self.update_worker(text),
            "SIGHUP" => drop(self.environment.discovery_address.send_replace(text.to_owned())),
            "SIGTERM" => self.request_lifecycle(LifecycleRequest::Stop),
            "operator" if text == "drain" => self.request_lifecycle(LifecycleRequest::Drain),
            "operator" => self.request_lifecycle(LifecycleRequest::Resume),
            _ => self.send_as_party(sender, text, front),
        }
    }

    /// Requests a change of the lifecycle; panics if it is refused.
    fn request_lifecycle(&self, request: LifecycleRequest) {
        self.environment.connection_manager.apply_lifecycle(request).expect("the request is accepted");
    }

    /// Applies an update of one worker, `STATUS NAME`, as if discovery had sent it.
    fn update_worker(&self, text: &str) {
        let (status, name) = text.split_once(' ').expect("an update has a status and a worker");
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

    /// Sends a message as a party: as `NAME.N` on its connection N, counted from 0; as `NAME` on its next
    /// connection. A client without an open connection connects first.
    fn send_as_party<F: Front + 'static>(&mut self, sender: &str, text: &str, front: &Rc<F>) {
        let (name, number) =
            sender.split_once('.').map_or((sender, None), |(name, number)| (name, number.parse().ok()));
        let mut parties = self.environment.network.0.borrow_mut();
        let party = parties.entry(name.to_owned()).or_insert_with(|| Party::new(WireFormat::Responses));
        let is_connected = matches!(party.connections.last(), Some(Some(_)));
        if matches!(party.format, WireFormat::Responses) && !is_connected {
            self.connect_client(party, front);
        }
        let bytes = party.format.encode(text);
        let connection = match number {
            Some(number) => party.connections.get_mut::<usize>(number),
            None => party.next_connection(),
        };
        let connection = connection.and_then(Option::as_mut).expect("the party has this connection");
        connection.sender.send(bytes).expect("the connection is open");
    }

    /// Connects a client to the front.
    fn connect_client<F: Front + 'static>(&self, client: &mut Party, front: &Rc<F>) {
        let (near, far) = pipe();
        client.connect(far);
        let (front, connection_manager) = (front.clone(), self.environment.connection_manager.clone());
        spawn_local(async move {
            let permit =
                connection_manager.admit(Source(1), EVENT_TIMEOUT).await.expect("the client is admitted");
            listener::serve_connection(near, ([127, 0, 0, 1], 1).into(), &*front, permit).await;
        });
    }

    /// Waits for [`EVENT_TIMEOUT`], then adds to the transcript the messages that no `expect` has taken, the
    /// counters that are not zero, and the number of open queries.
    async fn finish(mut self) -> String {
        tokio::time::sleep(EVENT_TIMEOUT).await;
        let network = self.environment.network.clone();
        let parties = network.0.borrow();
        for (name, party) in parties.iter() {
            while let Ok(message) = party.inbox.borrow_mut().try_recv() {
                if message != "closed" {
                    let _ = writeln!(self.transcript, "unexpected, to {name}: {message}");
                }
            }
        }
        let counters = self.broker.with_core(|core| core.counters.to_string());
        let counted = counters.split(' ').filter(|pair| !pair.ends_with("=0")).collect::<Vec<_>>().join(" ");
        let open = self.broker.with_core(|core| core.open_queries());
        format!("{}counted: {counted}\nopen: {open}\n", self.transcript)
    }
}
