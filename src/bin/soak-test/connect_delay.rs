//! Lets new connections to a stand-in worker come up late: while they are delayed, the worker's accept queue is full,
//! so that the system drops the client's SYN, and the client sends it again after 1 s.
//!
//! The soak test switches the delay by signals that a process ignores by default, so that a worker that has just been
//! started does not end by them.

use rustix::net::listen;
use rustix::process::Signal;
use signal_hook::consts::{SIGURG, SIGWINCH};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The signal that begins the delay.
pub const BEGIN_SIGNAL: Signal = Signal::WINCH;
/// The signal that ends the delay.
pub const END_SIGNAL: Signal = Signal::URG;
/// Length of the accept queue while connects are not delayed.
const BACKLOG: i32 = 128;
/// How often the flags that the signals set are read.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts connections, except while connects are delayed.
pub struct DelayingListener {
    listener: TcpListener,
    begin: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
}

impl DelayingListener {
    /// Installs the signal handlers.
    pub fn new(listener: TcpListener) -> io::Result<DelayingListener> {
        let (begin, end) = (Arc::default(), Arc::default());
        flag::register(SIGWINCH, Arc::clone(&begin))?;
        flag::register(SIGURG, Arc::clone(&end))?;
        Ok(DelayingListener { listener, begin, end })
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            if self.begin.swap(false, Ordering::Relaxed) {
                self.delay_connects().await?;
            }
            if let Ok(accepted) = tokio::time::timeout(FLAG_POLL_INTERVAL, self.listener.accept()).await {
                return accepted.map(|(stream, _)| stream);
            }
        }
    }

    /// Keeps the accept queue full until the delay ends.
    async fn delay_connects(&self) -> io::Result<()> {
        self.end.store(false, Ordering::Relaxed);
        // A queue of this length holds one connection.
        listen(&self.listener, 0)?;
        let address = self.listener.local_addr()?;
        // If a client's connection fills the queue first, this one comes up late too and is dropped at the end.
        let filler = tokio::task::spawn_local(TcpStream::connect(address));
        while !self.end.swap(false, Ordering::Relaxed) {
            tokio::time::sleep(FLAG_POLL_INTERVAL).await;
        }
        listen(&self.listener, BACKLOG)?;
        filler.abort();
        Ok(())
    }
}
