//! Measures the cost of a flood of silent connections for the serving thread, and its effect on the latency
//! of a well-behaved client: `cargo run --release --example flood -- [connections a second] [seconds]
//! [descriptors]`.

use gatherer::limits::DescriptorBudget;
use gatherer::protocol::http::{MalformedMessage, Request, Response};
use gatherer::routing::Invariant;
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::listener::{Front, accept_connections};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;

/// The number of threads that open connections.
const FLOOD_THREADS: u64 = 2;
/// The number of source addresses that each thread uses in turn, since the ports of one address are limited.
const ADDRESSES: u64 = 100;

/// Responds with the path of the request.
struct Echo;

impl Front for Echo {
    async fn respond(&self, request: Request) -> Response {
        Response::text(200, request.path)
    }
    fn forwards(&self, _: &Request) -> bool {
        true
    }
    fn malformed_response(&self, error: MalformedMessage) -> Response {
        Response::text(error.status(), error.to_string())
    }
    fn rejection(&self, _: Option<&Request>) -> Response {
        Response::text(503, "overloaded")
    }
    fn failure(&self) -> Response {
        Response::text(500, "failed")
    }
    fn caller<'a>(&self, _request: &'a Request) -> Option<&'a str> {
        None
    }
    fn label<'a>(&self, _request: &'a Request) -> Option<&'a str> {
        None
    }
    fn on_invariant_violated(&self, invariant: Invariant, concerns: &str) {
        eprintln!("{}: {concerns}", invariant.name());
    }
}

/// Returns the processor time that this thread has used so far.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let ns = text.split(' ').next().and_then(|first| first.parse().ok());
    Duration::from_nanos(ns.unwrap_or(0))
}

/// Opens `rate` connections a second and sends nothing on them; returns how many it tried to open.
fn flood(to: SocketAddr, rate: u64, until: Instant, thread: u64) -> u64 {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (start, mut opened) = (Instant::now(), 0);
        while Instant::now() < until {
            let target_count = (start.elapsed().as_secs_f64() * rate as f64) as u64;
            while opened < target_count {
                opened += 1;
                let from = [127, 1 + thread as u8, 0, 1 + (opened % ADDRESSES) as u8];
                tokio::task::spawn_local(async move {
                    // A connection is skipped if this side has no descriptor left.
                    let Ok(socket) = TcpSocket::new_v4() else { return };
                    if socket.bind(SocketAddr::from((from, 0))).is_ok()
                        && let Ok(stream) = socket.connect(to).await
                    {
                        // The connection is kept until the server closes it, but for 2 s at most.
                        let _ = tokio::time::timeout(Duration::from_secs(2), stream.readable()).await;
                    }
                });
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        opened
    })
}

/// Runs a well-behaved client, which sends one request after the other on one connection. Returns the
/// latencies, and the number of requests without a response.
fn well_behaved(to: SocketAddr, until: Instant) -> (Vec<Duration>, u64) {
    let (mut idle_connection, mut latencies, mut lost): (Option<TcpStream>, Vec<Duration>, u64) =
        (None, Vec::new(), 0);
    let exchange = |stream: &mut TcpStream| {
        let mut response = [0; 512];
        stream.write_all(b"GET /well-behaved HTTP/1.1\r\n\r\n").is_ok()
            && matches!(stream.read(&mut response), Ok(1..))
    };
    while Instant::now() < until {
        let started_at = Instant::now();
        let reused = idle_connection.as_mut().is_some_and(exchange);
        if !reused {
            let mut stream = TcpStream::connect(to).expect("the connect succeeds");
            lost += u64::from(!exchange(&mut stream));
            idle_connection = Some(stream);
        }
        latencies.push(started_at.elapsed());
        thread::sleep(Duration::from_millis(5));
    }
    (latencies, lost)
}

fn main() {
    let argument = |position: usize, default: u64| {
        std::env::args().nth(position).map_or(default, |text| text.parse().expect("a number"))
    };
    let (rate, seconds, descriptors) = (argument(1, 10_000), argument(2, 5), argument(3, 384));
    let _ = rlimit::increase_nofile_limit(1 << 17);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let budget = DescriptorBudget::new(descriptors as usize, 16, 0).expect("enough descriptors");
        let manager = ConnectionManager::new(DescriptorPool::new(budget, 12 << 20));
        let evicting_manager = manager.clone();
        tokio::task::spawn_local(async move { evicting_manager.run_evictions().await });
        tokio::task::spawn_local(accept_connections(listener, Rc::new(Echo), manager.clone()));
        let until = Instant::now() + Duration::from_secs(seconds);
        let flood_threads: Vec<_> = (0..FLOOD_THREADS)
            .map(|thread| thread::spawn(move || flood(to, rate / FLOOD_THREADS, until, thread)))
            .collect();
        let client = thread::spawn(move || well_behaved(to, until));
        let before = processor_time();
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let processor_time_used = processor_time() - before;
        let opened: u64 =
            flood_threads.into_iter().map(|thread| thread.join().expect("the thread ends")).sum();
        let (mut latencies, lost) = client.join().expect("the thread ends");
        latencies.sort();
        let percentile = |fraction: f64| latencies[((latencies.len() - 1) as f64 * fraction) as usize];
        let admitted = manager.descriptor_pool().counters.borrow().admitted;
        println!("tried {} a second, admitted {} a second", opened / seconds, admitted / seconds);
        println!(
            "serving thread: {:.1}% of a core, {:.1} us a connection",
            processor_time_used.as_secs_f64() / seconds as f64 * 100.0,
            processor_time_used.as_secs_f64() / admitted.max(1) as f64 * 1e6
        );
        println!(
            "well-behaved client: {} requests, {lost} lost, {:?} at the median, {:?} at the 99th percentile",
            latencies.len(),
            percentile(0.5),
            percentile(0.99)
        );
        println!("{}", manager.descriptor_pool().counters.borrow());
    });
}
