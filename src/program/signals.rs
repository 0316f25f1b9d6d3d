//! The signals that the process handles: SIGHUP (reload), SIGTERM and SIGINT (shutdown).
//!
//! A handler sets a flag and writes a byte to a socket, which wakes the process. The flag alone decides: if the byte
//! cannot be written or read, the signal is handled up to [`FLAG_POLL_INTERVAL`] later, but never lost.

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

/// Interval at which the flags are polled, in case no byte wakes the process.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Notifies of SIGTERM or SIGINT.
#[derive(Clone)]
pub struct ShutdownSignal(watch::Receiver<bool>);

impl ShutdownSignal {
    /// Returns once SIGTERM or SIGINT has been received, at once if that was earlier.
    pub async fn received(&mut self) {
        // An error means that the sender was dropped, which lives as long as the process.
        let _ = self.0.wait_for(|received| *received).await;
    }
}

/// Notifies of SIGHUP. Several signals that arrive before the first is handled count as one.
pub struct ReloadSignal(Rc<Notify>);

impl ReloadSignal {
    /// Returns at the next SIGHUP, or at once if one has arrived since the last call.
    pub async fn received(&self) {
        self.0.notified().await;
    }
}

/// Installs the signal handlers. Must be called before anything else is opened: without the handlers, SIGHUP kills the
/// process, and SIGTERM leaves clients that have connected without a response.
///
/// # Errors
/// The socket pair cannot be created, or a handler cannot be registered.
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

/// Forwards the flags to [`ShutdownSignal`] and [`ReloadSignal`] until the process ends.
async fn forward_signals(
    mut wake_receiver: Socket<UnixStream>,
    hangup_flag: Arc<AtomicBool>,
    stop_flag: Arc<AtomicBool>,
    hangup: Rc<Notify>,
    stop: watch::Sender<bool>,
) {
    let mut discarded = [0; 64];
    loop {
        // The value of a byte means nothing. If the socket is closed or fails, the flags are polled instead.
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
