//! The scenario language: `send`, `expect`, `close`, `open`, `wait`, a line each, played on pipes under a clock that stands
//! still until all is quiet. The transcript tells everything that each party received, and when.

use bytes::{BufMut, BytesMut};
use gatherer::fronts::opensearch::OpenSearch;
use gatherer::fronts::platform::Platform;
use gatherer::limits::client_connections::Source;
use gatherer::limits::{Backoff, DescriptorBudget};
use gatherer::policy::{EndpointStatus, Time};
use gatherer::program::config::Config;
use gatherer::program::opensearch_file::FrontFile;
use gatherer::protocol::http;
use gatherer::routing::{Broker, Clock, Contracts, Core, ListedWorker, WorkerListUpdate, WorkerTransport};
use gatherer::service::lifecycle::LifecycleRequest;
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::discovery;
use gatherer::transport::index_servers::IndexServers;
use gatherer::transport::listener::{self, Front};
use gatherer::transport::workers::Workers;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, split};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

const UNIX: Time = Time(1_700_000_000_000_000_000);
const PIPE: usize = 1 << 16;
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, PartialEq)]
enum Port {
    Open,
    Closed,
    Silent,
    /// It comes up so much later.
    Late(Duration),
}

#[derive(Clone, Copy)]
enum Form {
    Frames,
    Requests,
    Responses,
}

struct Party {
    form: Form,
    port: Port,
    /// Its connections, and those on which a request waits for its response, in order.
    lines: Vec<Option<Line>>,
    asked: Rc<RefCell<VecDeque<usize>>>,
    heard: mpsc::UnboundedSender<String>,
    inbox: Rc<RefCell<mpsc::UnboundedReceiver<String>>>,
}

struct Line {
    say: mpsc::UnboundedSender<Vec<u8>>,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

impl Party {
    fn new(form: Form) -> Party {
        let (heard, inbox) = mpsc::unbounded_channel();
        let inbox = Rc::new(RefCell::new(inbox));
        Party { form, port: Port::Open, lines: Vec::new(), asked: Rc::default(), heard, inbox }
    }
    fn connect(&mut self, end: DuplexStream) {
        let (read, mut write) = split(end);
        let (say, mut said) = mpsc::unbounded_channel::<Vec<u8>>();
        let (heard, asked, at) = (self.heard.clone(), self.asked.clone(), self.lines.len());
        let reader = spawn_local(listen(read, self.form, heard, asked, at));
        let writer = spawn_local(async move {
            while let Some(bytes) = said.recv().await {
                let _ = write.write_all(&bytes).await;
            }
        });
        self.lines.push(Some(Line { say, tasks: [reader, writer] }));
    }
    /// The connection that is spoken on next: the one asked first, else the newest.
    fn line(&mut self) -> Option<&mut Option<Line>> {
        let at = self.asked.borrow_mut().pop_front().or(self.lines.len().checked_sub(1))?;
        self.lines.get_mut(at)
    }
}

/// Puts what a party receives into words.
async fn listen(
    mut read: ReadHalf<DuplexStream>,
    form: Form,
    heard: mpsc::UnboundedSender<String>,
    asked: Rc<RefCell<VecDeque<usize>>>,
    at: usize,
) {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(words) = message(&mut buffer, form) {
            if matches!(form, Form::Requests) {
                asked.borrow_mut().push_back(at);
            }
            let _ = heard.send(words);
        }
        if !matches!(read.read_buf(&mut buffer).await, Ok(1..)) {
            asked.borrow_mut().retain(|other| *other != at);
            let _ = heard.send("closed".to_owned());
            return;
        }
    }
}

fn message(buffer: &mut BytesMut, form: Form) -> Option<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().replace('\n', "|");
    match form {
        Form::Frames => {
            let length = u32::from_le_bytes(*buffer.first_chunk::<4>()?) as usize;
            (buffer.len() >= 4 + length).then(|| text(&buffer.split_to(4 + length)[4..]))
        }
        Form::Requests => {
            let request = http::take_request(buffer).expect("a request")?;
            Some(format!("{} {}?{} {}", request.method, request.path, request.query, text(&request.body)))
        }
        Form::Responses => {
            let response = http::take_response(buffer, 1 << 20).expect("a response")?;
            let after = response.headers.get("Retry-After").map(|after| format!(" after={after}"));
            Some(format!("{}{} {}", response.status, after.unwrap_or_default(), text(&response.body)))
        }
    }
}

/// Stands in for the network.
#[derive(Clone, Default)]
struct Pipes(Rc<RefCell<BTreeMap<String, Party>>>);

impl Connector for Pipes {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let port = self.0.borrow().get(address).map_or(Port::Closed, |party| party.port);
            match port {
                Port::Closed => return Err(io::ErrorKind::ConnectionRefused.into()),
                Port::Silent => std::future::pending().await,
                Port::Late(late) => tokio::time::sleep(late).await,
                Port::Open => {}
            }
            let (near, far) = tokio::io::duplex(PIPE);
            self.0.borrow_mut().get_mut(address).expect("known").connect(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

struct Play {
    pipes: Pipes,
    start: Instant,
    transcript: String,
    seen: String,
    broker: Broker,
    gate: Rc<ConnectionManager>,
    /// Where discovery is.
    agent: tokio::sync::watch::Sender<String>,
}

/// Plays a scenario; its first line names the front.
pub fn play(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (first, rest) = script.split_once('\n').expect("a first line");
        let places = DescriptorPool::new(DescriptorBudget::new(256, 16, 0).expect("enough"), 1 << 20);
        let (clock, gate, pipes) =
            (Clock::starting_at(UNIX), ConnectionManager::new(places.clone()), Pipes::default());
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
                let broker = broker(config.contracts, &known, clock, &pipes, Form::Frames);
                let workers = Workers::new(broker.clone(), Rc::new(pipes.clone()), places.clone());
                if first.ends_with("agent") {
                    for name in ["agent", "agent2"] {
                        pipes.0.borrow_mut().insert(name.to_owned(), Party::new(Form::Requests));
                    }
                    let (dial, watcher, address) = (pipes.clone(), broker.clone(), agent.subscribe());
                    let (held, backoff) = match first.contains("asking") {
                        true => (Some(known.revision), Backoff::new(1, 48, Duration::from_secs(10))),
                        false => (None, Backoff::for_local_agent(1, Duration::from_millis(250))),
                    };
                    spawn_local(async move {
                        discovery::follow(&dial, address, held, &watcher, &places, backoff).await
                    });
                }
                let front = Platform { broker: broker.clone(), gate: gate.clone() };
                run(rest, broker, workers, front, gate, pipes, agent).await
            }
            "front opensearch" => {
                let file = FrontFile::parse(include_str!("opensearch.toml"), 7).expect("a file");
                let broker = broker(file.contracts, &file.servers, clock, &pipes, Form::Requests);
                let servers = IndexServers::new(broker.clone(), Rc::new(pipes.clone()), places);
                let front =
                    OpenSearch::new(broker.clone(), clock, gate.clone(), file.names, "start-1".to_owned(), 7);
                run(rest, broker, servers, front, gate, pipes, agent).await
            }
            other => panic!("unknown first line {other:?}"),
        }
    })
}

fn broker(contracts: Contracts, list: &WorkerListUpdate, clock: Clock, pipes: &Pipes, form: Form) -> Broker {
    let broker = Broker::new(Core::new(contracts), clock);
    broker.apply_endpoint_update(list, true);
    for member in &list.workers {
        pipes.0.borrow_mut().insert(member.address.clone(), Party::new(form));
    }
    broker
}

async fn run<F: Front + 'static>(
    script: &str,
    broker: Broker,
    carrier: impl WorkerTransport + 'static,
    front: F,
    gate: Rc<ConnectionManager>,
    pipes: Pipes,
    agent: tokio::sync::watch::Sender<String>,
) -> String {
    let driver = broker.clone();
    spawn_local(async move { driver.drive(&carrier).await });
    let tended = gate.clone();
    spawn_local(async move { tended.run_evictions().await });
    let aged = gate.clone();
    spawn_local(async move { aged.run_lifecycle_timers().await });
    let (start, front) = (Instant::now(), Rc::new(front));
    let (transcript, seen) = (String::new(), String::new());
    let mut play = Play { pipes, start, transcript, seen, broker, gate, agent };
    for (number, line) in script.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
        let words = play.fill(line);
        let _ = writeln!(play.transcript, "{words}");
        let (verb, rest) = words.split_once(' ').unwrap_or((&words, ""));
        let (who, what) = rest.split_once(' ').unwrap_or((rest, ""));
        match verb {
            "#" => {}
            "wait" => tokio::time::sleep(Duration::from_millis(who.parse().expect("milliseconds"))).await,
            "expect" => play.expect(who, what, number + 2).await,
            "close" => play.close(who, what),
            "open" => play.open(who, what),
            "send" => play.send(who, what, &front),
            other => panic!("line {}: unknown verb {other:?}", number + 2),
        }
    }
    play.finish().await
}

impl Play {
    /// Puts the last idempotency key and scroll id that anyone saw in their places.
    fn fill(&self, line: &str) -> String {
        let last = |name: &str| {
            let at = self.seen.rfind(&format!("\"{name}\":\""))? + name.len() + 4;
            self.seen[at..].split('"').next()
        };
        let line = line.replace("$key", last("key").unwrap_or("none"));
        line.replace("$scroll", last("_scroll_id").unwrap_or("none"))
    }

    fn note(&mut self, who: &str, words: &str) {
        self.seen.push_str(words);
        let _ = writeln!(self.transcript, "  {} ms, to {who}: {words}", self.start.elapsed().as_millis());
    }

    async fn expect(&mut self, who: &str, what: &str, line: usize) {
        let inbox = self.pipes.0.borrow().get(who).map(|party| party.inbox.clone()).expect("a party");
        let words = loop {
            let next = std::future::poll_fn(|cx| inbox.borrow_mut().poll_recv(cx));
            let heard = tokio::time::timeout(PATIENCE, next).await.ok().flatten();
            let words = heard.unwrap_or_else(|| panic!("line {line}: nothing came\n{}", self.transcript));
            // Connections come and go; their ends count where a scenario asks for them.
            if words != "closed" || what == "closed" {
                break words;
            }
        };
        self.note(who, &words);
        assert!(words.contains(what), "line {line}: {who} got {words:?}, not {what:?}\n{}", self.transcript);
    }

    fn close(&mut self, who: &str, what: &str) {
        let mut parties = self.pipes.0.borrow_mut();
        let party = parties.get_mut(who).expect("a party");
        match what {
            "" => {
                if let Some(line) = party.line().and_then(Option::take) {
                    line.tasks.iter().for_each(tokio::task::JoinHandle::abort);
                }
            }
            "port" => party.port = Port::Closed,
            "silently" => party.port = Port::Silent,
            other => panic!("close what? {other:?}"),
        }
    }

    /// Its port takes connections, from so many milliseconds after each is asked for.
    fn open(&mut self, who: &str, what: &str) {
        let late = what.parse().map(Duration::from_millis);
        let mut parties = self.pipes.0.borrow_mut();
        parties.get_mut(who).expect("a party").port = late.map_or(Port::Open, Port::Late);
    }

    fn send<F: Front + 'static>(&mut self, who: &str, what: &str, front: &Rc<F>) {
        if who == "discovery" {
            let (status, name) = what.split_once(' ').expect("a status and a worker");
            let (status, since) = match status {
                "SERVING" => (EndpointStatus::Active, None),
                "RESTARTED" => (EndpointStatus::Active, Some(UNIX.after(self.start.elapsed()))),
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
            return self.gate.apply_lifecycle(LifecycleRequest::Stop).expect("taken");
        }
        if who == "operator" {
            let call = if what == "drain" { LifecycleRequest::Drain } else { LifecycleRequest::Resume };
            return self.gate.apply_lifecycle(call).expect("taken");
        }
        // `NAME.N` speaks on the party's Nth connection, `NAME` on the one that is next.
        let (who, number) = who.split_once('.').map_or((who, None), |(who, at)| (who, at.parse().ok()));
        let mut parties = self.pipes.0.borrow_mut();
        let party = parties.entry(who.to_owned()).or_insert_with(|| Party::new(Form::Responses));
        if matches!(party.form, Form::Responses) && !matches!(party.lines.last(), Some(Some(_))) {
            let (near, far) = tokio::io::duplex(PIPE);
            party.connect(far);
            let (front, gate) = (front.clone(), self.gate.clone());
            spawn_local(async move {
                let pass = gate.admit(Source(1), PATIENCE).await.expect("a place");
                listener::serve(near, ([127, 0, 0, 1], 1).into(), &*front, pass).await;
            });
        }
        let bytes = match party.form {
            Form::Frames if what.starts_with("raw ") => what[4..].replace("\\0", "\0").into_bytes(),
            Form::Frames => {
                let mut bytes = BytesMut::new();
                let what = what.replacen(' ', "", 1);
                bytes.put_u32_le(what.len() as u32);
                bytes.put_slice(what.replace('|', "\n").as_bytes());
                bytes.to_vec()
            }
            Form::Requests if what.starts_with("raw ") => what[4..].replace("\\r\\n", "\r\n").into_bytes(),
            Form::Requests => {
                let (status, body) = what.split_once(' ').expect("a status and a body");
                http::Response::json(status.parse().expect("a status"), body.to_owned())
                    .encode(false)
                    .to_vec()
            }
            Form::Responses if what.starts_with("raw ") => what[4..].replace("\\r\\n", "\r\n").into_bytes(),
            Form::Responses => {
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
        let line = match number {
            Some(number) => party.lines.get_mut::<usize>(number),
            None => party.line(),
        };
        let line = line.and_then(Option::as_mut).expect("a connection");
        line.say.send(bytes).expect("an open connection");
    }

    /// Lets the rest of the time pass; whatever comes then, nobody expected.
    async fn finish(mut self) -> String {
        tokio::time::sleep(PATIENCE).await;
        let parties: Vec<_> =
            self.pipes.0.borrow().iter().map(|(name, party)| (name.clone(), party.inbox.clone())).collect();
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
