//! Workers and index servers that answer each part after the same time, without faults, on a thread of their own.

use crate::runtime;
use crate::stand_in_worker::{parse_parts, read_frame, value};
use bytes::BytesMut;
use gatherer::protocol::http::{self, Response};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Number of workers, and of index servers.
pub const SERVERS: usize = 6;
/// Time that a worker or an index server takes for a part.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// Interval at which the delay of the peers' thread is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(5);
/// First byte of a frame that holds a call.
const CALL_FRAME: u8 = b'm';
/// The result of a shard without hits.
const EMPTY_RESULT: &str = r#"{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}}"#;

/// The addresses of the workers and of the index servers.
pub struct Peers {
    /// Addresses of workers.
    pub workers: Vec<SocketAddr>,
    /// Addresses of index servers.
    pub index_servers: Vec<SocketAddr>,
    /// Longest delay with which the peers' thread was scheduled, in microseconds.
    lag_us: Arc<AtomicU64>,
}

impl Peers {
    /// Starts the peers. They serve until the process ends.
    pub fn start() -> Peers {
        let (sender, peers) = mpsc::channel();
        thread::spawn(move || {
            runtime::block_on(async {
                let lag_us = Arc::new(AtomicU64::new(0));
                let mut started =
                    Peers { workers: Vec::new(), index_servers: Vec::new(), lag_us: lag_us.clone() };
                for _ in 0..SERVERS {
                    let listener = listen().await;
                    started.workers.push(listener.local_addr().expect("a bound listener has an address"));
                    spawn_local(accept(listener, serve_frames));
                    let listener = listen().await;
                    started
                        .index_servers
                        .push(listener.local_addr().expect("a bound listener has an address"));
                    spawn_local(accept(listener, serve_searches));
                }
                sender.send(started).expect("the measurement waits for its peers");
                measure_lag(&lag_us).await;
            });
        });
        peers.recv().expect("the peers start")
    }

    /// The longest delay with which the peers' thread was scheduled since the last call.
    pub fn take_lag(&self) -> Duration {
        Duration::from_micros(self.lag_us.swap(0, Ordering::Relaxed))
    }
}

async fn measure_lag(lag_us: &AtomicU64) {
    loop {
        let due = Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        lag_us.fetch_max(late_us, Ordering::Relaxed);
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free")
}

/// Serves each connection in a task of its own.
async fn accept<F: Future<Output = std::io::Result<()>> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        // Fails if the connection ended before it was accepted; others are not affected.
        let Ok((stream, _)) = listener.accept().await else { continue };
        let served = serve(stream);
        spawn_local(async move {
            // An error ends only this connection.
            let _ = served.await;
        });
    }
}

async fn serve_frames(stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    let (responses, mut queue): (_, UnboundedReceiver<Vec<u8>>) = unbounded_channel();
    spawn_local(async move {
        while let Some(frame) = queue.recv().await {
            if write.write_all(&frame).await.is_err() {
                return;
            }
        }
    });
    loop {
        let frame = read_frame(&mut read).await?;
        if frame.first() != Some(&CALL_FRAME) {
            continue;
        }
        for part in parse_parts(&frame[1..]) {
            let responses = responses.clone();
            spawn_local(async move {
                tokio::time::sleep(SERVICE_TIME).await;
                let text = format!(
                    "q{} good {} util=0.1,queue=0\n{}",
                    part.id,
                    SERVICE_TIME.as_micros(),
                    value(&part.id)
                );
                let mut frame = (text.len() as u32).to_le_bytes().to_vec();
                frame.extend_from_slice(text.as_bytes());
                // Fails only if the connection has ended.
                let _ = responses.send(frame);
            });
        }
    }
}

async fn serve_searches(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let response = Response::json(200, EMPTY_RESULT).encode(false);
    loop {
        while http::take_request(&mut buffer).map_err(std::io::Error::other)?.is_some() {
            tokio::time::sleep(SERVICE_TIME).await;
            stream.write_all(&response).await?;
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
}
