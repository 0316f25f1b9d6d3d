//! Clients that send hostile requests, on threads of their own.

use super::gatherer::FloodedGatherer;
use super::{FloodOptions, Pacing};
use crate::runtime;
use gatherer::soak::hostile_requests::{HostileRequest, TargetApi};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::spawn_local;

/// Threads that the flooding clients are divided among.
const THREADS: usize = 2;
/// Pause before a client connects again after a failed connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Interval at which the end of the flood is checked for.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes of one read of responses.
const READ_BYTES: usize = 16 * 1024;
/// The first bytes of every response.
const STATUS_LINE_START: &[u8] = b"HTTP/1.1 ";

/// The flooding clients of a measurement.
pub struct Flood {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    address: String,
    api: TargetApi,
    kind: HostileRequest,
    pacing: Pacing,
    stopped: AtomicBool,
    responses: AtomicU64,
    /// Number of requests so far, which makes their names unique.
    requests: AtomicU64,
}

impl Flood {
    /// Starts the clients. They send until [`Flood::stop`].
    pub fn start(options: &FloodOptions, kind: HostileRequest, gatherer: &FloodedGatherer) -> Flood {
        let shared = Arc::new(Shared {
            address: gatherer.flooded_address().to_owned(),
            api: options.listener.api(),
            kind,
            pacing: options.pacing,
            stopped: AtomicBool::new(false),
            responses: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        });
        let clients_of = |thread: usize| (options.flooding + THREADS - 1 - thread) / THREADS;
        let threads = (0..THREADS).map(|thread| {
            let (shared, clients) = (shared.clone(), clients_of(thread));
            thread::spawn(move || run_clients(&shared, clients))
        });
        Flood { threads: threads.collect(), shared }
    }

    /// Stops the clients and returns the number of responses that they received.
    pub fn stop(self) -> u64 {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no flooding client panics");
        }
        self.shared.responses.load(Ordering::Relaxed)
    }
}

fn run_clients(shared: &Arc<Shared>, clients: usize) {
    runtime::block_on(async {
        for _ in 0..clients {
            spawn_local(run_client(shared.clone()));
        }
        while !shared.stopped.load(Ordering::Relaxed) {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    });
}

/// Sends requests, on a new connection whenever the last one has ended.
async fn run_client(shared: Arc<Shared>) {
    loop {
        // A connection that ends is the usual end of many kinds of requests.
        if run_connection(&shared).await.is_err() {
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }
}

async fn run_connection(shared: &Arc<Shared>) -> std::io::Result<()> {
    let stream = TcpStream::connect(&shared.address).await?;
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    match shared.pacing {
        Pacing::HalfWritten => {
            let request = shared.next_request();
            write.write_all(&request[..request.len() / 2]).await?;
            shared.read_until_end(&mut read).await
        }
        Pacing::Unread => loop {
            write.write_all(&shared.next_request()).await?;
        },
        Pacing::Pipelined => {
            let writing = async {
                loop {
                    if write.write_all(&shared.next_request()).await.is_err() {
                        return;
                    }
                }
            };
            tokio::select! {
                () = writing => Ok(()),
                result = shared.read_until_end(&mut read) => result,
            }
        }
        Pacing::Waiting => {
            let mut buffer = vec![0; READ_BYTES];
            loop {
                write.write_all(&shared.next_request()).await?;
                // The responses are small, so that one read gets the whole of it.
                match read.read(&mut buffer).await? {
                    0 => return Ok(()),
                    count => shared.count_responses(&buffer[..count]),
                }
            }
        }
    }
}

impl Shared {
    fn next_request(&self) -> Vec<u8> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        self.kind.encode(self.api, number)
    }

    /// Reads and counts responses until the connection ends.
    async fn read_until_end(&self, read: &mut OwnedReadHalf) -> std::io::Result<()> {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            match read.read(&mut buffer).await? {
                0 => return Ok(()),
                count => self.count_responses(&buffer[..count]),
            }
        }
    }

    /// Counts the status lines in these bytes; one that two reads have split is not counted.
    fn count_responses(&self, bytes: &[u8]) {
        let count =
            bytes.windows(STATUS_LINE_START.len()).filter(|bytes| *bytes == STATUS_LINE_START).count();
        self.responses.fetch_add(count as u64, Ordering::Relaxed);
    }
}
