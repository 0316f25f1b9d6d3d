//! Classifies errors of system calls that have a local or transient cause, and retries calls that failed with one.
//!
//! Contains no judgement about peers. Calls whose effect a peer may already have seen must not be retried here.

use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The delay before the first retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(2);
/// The longest delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(50);

thread_local! {
    static RETRIED_CALLS: Cell<u64> = const { Cell::new(0) };
}

/// The number of calls that failed and were retried by [`retry`], since the start of this thread.
#[must_use]
pub fn retried_calls() -> u64 {
    RETRIED_CALLS.get()
}

/// Whether a call failed for lack of a local resource (descriptors, buffers, memory, ports), or was interrupted.
#[must_use]
pub fn is_local(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
        )
    )
}

/// Whether a call that creates a descriptor failed for lack of descriptors, buffers or memory.
#[must_use]
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether a retry may succeed: local errors (see [`is_local`]), aborted connections, a network that is not up yet, and
/// disk errors or a full disk.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    let is_network_or_disk = matches!(
        Errno::from_io_error(error),
        Some(Errno::CONNABORTED | Errno::NETUNREACH | Errno::NETDOWN | Errno::IO | Errno::NOSPC)
    );
    is_network_or_disk || is_local(error)
}

/// Exponential backoff between the retries of a call: from 2 ms, doubled each time, up to 50 ms.
#[derive(Clone, Copy, Debug)]
pub struct RetryDelays {
    next: Duration,
}

impl Default for RetryDelays {
    fn default() -> RetryDelays {
        RetryDelays { next: FIRST_RETRY_DELAY }
    }
}

impl RetryDelays {
    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_RETRY_DELAY);
        delay
    }
}

/// Like [`retry`], but blocks the thread between retries; for use before the runtime starts. Retries are not counted in
/// [`retried_calls`].
///
/// # Errors
/// The last error of the call.
pub fn retry_blocking<T, E>(
    limit: Duration,
    is_transient: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let (started_at, mut delays) = (std::time::Instant::now(), RetryDelays::default());
    loop {
        match call() {
            Err(error) if is_transient(&error) && started_at.elapsed() < limit => {
                std::thread::sleep(delays.next_delay());
            }
            result => return result,
        }
    }
}

/// Retries a call while `is_transient` holds for its error and less than `limit` has passed since the first call.
///
/// # Errors
/// The last error of the call.
pub async fn retry<T>(
    limit: Duration,
    is_transient: impl Fn(&io::Error) -> bool,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let (started_at, mut delays) = (Instant::now(), RetryDelays::default());
    loop {
        match call().await {
            Err(error) if is_transient(&error) && started_at.elapsed() < limit => {
                RETRIED_CALLS.set(RETRIED_CALLS.get() + 1);
                sleep(delays.next_delay()).await;
            }
            result => return result,
        }
    }
}
