//! The signals that a front obeys: SIGHUP, SIGTERM and SIGINT.
//!
//! A handler sets a flag and writes a byte to a socket, which wakes the process. The flag alone decides: a byte that could
//! not be written, or a read that fails, costs a moment and never the signal.

use crate::transport::socket::Socket;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

/// How often flags are looked at where no byte came.
const LOOK: Duration = Duration::from_millis(100);

/// Whether SIGTERM or SIGINT has come.
#[derive(Clone)]
pub struct Stop(watch::Receiver<bool>);

impl Stop {
    /// Returns once either has come.
    pub async fn told(&mut self) {
        // The sender lives as long as the process listens for signals.
        let _ = self.0.wait_for(|told| *told).await;
    }
}

/// SIGHUP. Several that come before the first is heard count as one.
pub struct Hangup(Rc<Notify>);

impl Hangup {
    /// Returns at the next one.
    pub async fn told(&self) {
        self.0.notified().await;
    }
}

/// Hears signals from now on. Guards a process that has just started: until they are heard, SIGHUP ends it like a crash,
/// and SIGTERM leaves those who connected by then without an answer.
pub fn listen() -> io::Result<(Hangup, Stop)> {
    let (hangups, stops) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (wake, waker) = std::os::unix::net::UnixStream::pair()?;
    wake.set_nonblocking(true)?;
    waker.set_nonblocking(true)?;
    for (signal, told) in [(SIGHUP, &hangups), (SIGTERM, &stops), (SIGINT, &stops)] {
        flag::register(signal, told.clone())?;
        pipe::register(signal, waker.try_clone()?)?;
    }
    let wake = Socket::new(UnixStream::from_std(wake)?);
    let (hangup, stop) = (Rc::new(Notify::new()), watch::Sender::new(false));
    let (told, heard) = (stop.subscribe(), hangup.clone());
    spawn_local(hear(wake, hangups, stops, hangup, stop));
    Ok((Hangup(heard), Stop(told)))
}

/// Passes signals on, for as long as the process lives.
async fn hear(
    mut wake: Socket<UnixStream>,
    hangups: Arc<AtomicBool>,
    stops: Arc<AtomicBool>,
    hangup: Rc<Notify>,
    stop: watch::Sender<bool>,
) {
    let mut scrap = [0; 64];
    loop {
        // What is read says nothing; whether it can be is all the same.
        if tokio::time::timeout(LOOK, wake.read(&mut scrap)).await.is_ok_and(|read| !matches!(read, Ok(1..)))
        {
            tokio::time::sleep(LOOK).await;
        }
        if hangups.swap(false, Ordering::SeqCst) {
            hangup.notify_one();
        }
        if stops.swap(false, Ordering::SeqCst) {
            stop.send_replace(true);
        }
    }
}
