//! The signals that the process handles: SIGHUP (reload), SIGTERM and SIGINT (shutdown).
//!
//! A handler sets a flag and writes a byte to a socket, which wakes the process. Only the flag decides: if the byte cannot
//! be written or read, the signal is noticed later, and never lost.

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

/// How often the flags are polled where no byte wakes the process.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reports SIGTERM or SIGINT.
#[derive(Clone)]
pub struct ShutdownSignal(watch::Receiver<bool>);

impl ShutdownSignal {
    /// Returns once either has been received.
    pub async fn received(&mut self) {
        // The sender lives as long as the process listens for signals.
        let _ = self.0.wait_for(|received| *received).await;
    }
}

/// Reports SIGHUP. Several of them before the first is handled count as one.
pub struct ReloadSignal(Rc<Notify>);

impl ReloadSignal {
    /// Returns at the next one.
    pub async fn received(&self) {
        self.0.notified().await;
    }
}

/// Installs the handlers. Call it first: before, SIGHUP ends the process like a crash, and SIGTERM leaves clients that have
/// connected without a response.
///
/// # Errors
/// The system refuses a socket or a handler.
pub fn install() -> io::Result<(ReloadSignal, ShutdownSignal)> {
    let (hangup_flag, stop_flag) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (wake_receiver, wake_sender) = std::os::unix::net::UnixStream::pair()?;
    wake_receiver.set_nonblocking(true)?;
    wake_sender.set_nonblocking(true)?;
    for (signal, flag_to_set) in [(SIGHUP, &hangup_flag), (SIGTERM, &stop_flag), (SIGINT, &stop_flag)] {
        flag::register(signal, flag_to_set.clone())?;
        pipe::register(signal, wake_sender.try_clone()?)?;
    }
    let wake_receiver = Socket::new(UnixStream::from_std(wake_receiver)?);
    let (hangup, stop) = (Rc::new(Notify::new()), watch::Sender::new(false));
    let (stop_receiver, hangup_receiver) = (stop.subscribe(), hangup.clone());
    spawn_local(forward_signals(wake_receiver, hangup_flag, stop_flag, hangup, stop));
    Ok((ReloadSignal(hangup_receiver), ShutdownSignal(stop_receiver)))
}

/// Forwards the flags to [`ShutdownSignal`] and [`ReloadSignal`], for the life of the process.
async fn forward_signals(
    mut wake_receiver: Socket<UnixStream>,
    hangup_flag: Arc<AtomicBool>,
    stop_flag: Arc<AtomicBool>,
    hangup: Rc<Notify>,
    stop: watch::Sender<bool>,
) {
    let mut discarded = [0; 64];
    loop {
        // The bytes carry nothing. If the socket is closed or fails, the flags are polled instead.
        if tokio::time::timeout(FLAG_POLL_INTERVAL, wake_receiver.read(&mut discarded))
            .await
            .is_ok_and(|read| !matches!(read, Ok(1..)))
        {
            tokio::time::sleep(FLAG_POLL_INTERVAL).await;
        }
        if hangup_flag.swap(false, Ordering::SeqCst) {
            hangup.notify_one();
        }
        if stop_flag.swap(false, Ordering::SeqCst) {
            stop.send_replace(true);
        }
    }
}
