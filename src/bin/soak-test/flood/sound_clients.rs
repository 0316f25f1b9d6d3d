//! Sound clients: each sends a small request at a fixed interval and waits for its response.

use super::Listener;
use super::gatherer::{FloodedGatherer, get};
use super::measurement::{BUDGET, MeasuredRequest, RequestEnd, SoundRequest};
use bytes::BytesMut;
use fastrand::Rng;
use gatherer::protocol::http;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Time between the beginnings of two requests of a client.
const SEND_INTERVAL: Duration = Duration::from_millis(30);
/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval at which the delay of this process is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(5);

/// The running sound clients of a measurement.
pub struct SoundClients {
    shared: Rc<Shared>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

#[derive(Default)]
struct Shared {
    finished: Cell<bool>,
    /// Whether requests are recorded.
    recording: Cell<bool>,
    requests: RefCell<Vec<MeasuredRequest>>,
    lag: Cell<Duration>,
}

impl Shared {
    /// Records a request that was sent at `sent_at` and has ended now.
    fn record(&self, kind: SoundRequest, end: RequestEnd, sent_at: Instant) {
        if self.recording.get() {
            let request = MeasuredRequest { kind, end, elapsed: sent_at.elapsed() };
            self.requests.borrow_mut().push(request);
        }
    }
}

/// Starts `count` clients that send queries, one that asks for the health and, where there are operators, one that asks
/// for the readiness.
pub fn start(gatherer: &FloodedGatherer, count: usize) -> SoundClients {
    let shared = Rc::new(Shared::default());
    let mut tasks = Vec::new();
    for number in 0..count {
        let client = QueryClient {
            address: gatherer.clients.clone(),
            listener: gatherer.listener,
            random: Rng::with_seed(number as u64),
        };
        tasks.push(spawn_local(client.run(shared.clone())));
    }
    let health = (SoundRequest::Health, gatherer.clients.clone(), "/_health");
    let readiness = gatherer.operators.clone().map(|address| (SoundRequest::Readiness, address, "/-/ready"));
    for (kind, address, path) in [Some(health), readiness].into_iter().flatten() {
        tasks.push(spawn_local(run_state_client(shared.clone(), kind, address, path)));
    }
    spawn_local(measure_lag(shared.clone()));
    SoundClients { shared, tasks: RefCell::new(tasks) }
}

impl SoundClients {
    /// Records the requests that end from now on.
    pub fn begin_recording(&self) {
        self.shared.recording.set(true);
    }

    /// Lets the clients end after their current requests, and returns all requests.
    pub async fn finish(&self) -> Vec<MeasuredRequest> {
        self.shared.finished.set(true);
        for task in self.tasks.take() {
            task.await.expect("no client panics");
        }
        self.shared.requests.take()
    }

    /// The longest delay with which this process was scheduled.
    pub fn lag(&self) -> Duration {
        self.shared.lag.get()
    }
}

async fn measure_lag(shared: Rc<Shared>) {
    loop {
        let due = Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due).await;
        shared.lag.set(shared.lag.get().max(due.elapsed()));
    }
}

/// Waits until the next request of a client is due, which was last sent at `sent_at`.
async fn wait_for_next(sent_at: Instant) {
    tokio::time::sleep_until(sent_at + SEND_INTERVAL).await;
}

/// Requests a state of the process at each interval, on a new connection each time.
async fn run_state_client(shared: Rc<Shared>, kind: SoundRequest, address: String, path: &'static str) {
    while !shared.finished.get() {
        let sent_at = Instant::now();
        let end = match tokio::time::timeout(RESPONSE_TIMEOUT, get(&address, path)).await {
            Ok(Ok((status, _))) => end_of_status(status),
            Ok(Err(_)) | Err(_) => RequestEnd::NoResponse,
        };
        shared.record(kind, end, sent_at);
        wait_for_next(sent_at).await;
    }
}

fn end_of_status(status: u16) -> RequestEnd {
    match status {
        200 => RequestEnd::Served,
        429 | 503 => RequestEnd::Rejected,
        _ => RequestEnd::Failed,
    }
}

/// A client that sends queries on one connection.
struct QueryClient {
    address: String,
    listener: Listener,
    random: Rng,
}

impl QueryClient {
    async fn run(mut self, shared: Rc<Shared>) {
        let mut connection = None;
        // The clients do not send in step.
        tokio::time::sleep(SEND_INTERVAL.mul_f64(self.random.f64())).await;
        while !shared.finished.get() {
            let sent_at = Instant::now();
            let exchange = tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(&mut connection));
            let end = match exchange.await {
                Ok(Ok(status)) => end_of_status(status),
                Ok(Err(_)) | Err(_) => {
                    connection = None;
                    RequestEnd::NoResponse
                }
            };
            shared.record(SoundRequest::Query, end, sent_at);
            wait_for_next(sent_at).await;
        }
    }

    /// Sends a query and reads its response; returns its status. Opens a connection if there is none.
    async fn exchange(&mut self, connection: &mut Option<TcpStream>) -> std::io::Result<u16> {
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(&self.address).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        stream.write_all(&self.encode_query()).await?;
        let mut buffer = BytesMut::new();
        loop {
            if let Some(response) =
                http::take_response(&mut buffer, http::MAX_BODY_BYTES).map_err(std::io::Error::other)?
            {
                *connection = response.keep_alive.then_some(stream);
                return Ok(response.status);
            }
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn encode_query(&mut self) -> Vec<u8> {
        let budget_ms = BUDGET.as_millis();
        let (header, body) = match self.listener {
            // The class's deadline applies; the client itself expects its answer within the budget.
            Listener::Opensearch => (
                "POST /envelopes/_search HTTP/1.1\r\nHost: soak\r\nX-Opaque-Id: bank\r\n".to_owned(),
                r#"{"query":{"match_all":{}}}"#.to_owned(),
            ),
            Listener::Platform | Listener::Operators => (
                format!(
                    "POST /api HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {:016x}\r\nX-Call-Class: search\r\n\
                     X-Caller: bank\r\nX-Budget-Ms: {budget_ms}\r\n",
                    self.random.u64(..)
                ),
                format!(
                    r#"{{"ranges":[{{"range":{},"portion":1.0,"price":8000}}],"predicate":"c41e"}}"#,
                    self.random.u32(..crate::clients::SHARDS)
                ),
            ),
        };
        format!("{header}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}
