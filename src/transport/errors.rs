//! Failures of system calls that say something of this process or machine, and nothing of a peer: they pass.

use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The pause after the first failure, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
const LONGEST_PAUSE: Duration = Duration::from_millis(50);

thread_local! {
    static REPEATED: Cell<u64> = const { Cell::new(0) };
}

/// Calls that failed and were made again, since the start of this thread.
pub fn retried_calls() -> u64 {
    REPEATED.get()
}

/// Whether a call failed for want of something here: descriptors, buffers, memory, ports; or was interrupted.
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

/// Whether a call for descriptors failed because there are none.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether a call may do better in a moment: what is local, a network that is not there yet, a disk that fails.
pub fn is_transient(error: &io::Error) -> bool {
    let other = matches!(
        Errno::from_io_error(error),
        Some(Errno::CONNABORTED | Errno::NETUNREACH | Errno::NETDOWN | Errno::IO | Errno::NOSPC)
    );
    other || is_local(error)
}

/// The pauses between tries of a call that fails for a moment: they grow.
#[derive(Clone, Copy, Debug)]
pub struct RetryDelays(Duration);

impl Default for RetryDelays {
    fn default() -> RetryDelays {
        RetryDelays(FIRST_PAUSE)
    }
}

impl RetryDelays {
    /// The next one.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.0;
        self.0 = (pause * 2).min(LONGEST_PAUSE);
        pause
    }
}

/// The same before there is a runtime: the thread sleeps.
pub fn retry_blocking<T, E>(
    limit: Duration,
    may_pass: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let (since, mut pauses) = (std::time::Instant::now(), RetryDelays::default());
    loop {
        match call() {
            Err(error) if may_pass(&error) && since.elapsed() < limit => {
                std::thread::sleep(pauses.next_delay());
            }
            done => return done,
        }
    }
}

/// Makes a call again for as long as it fails in a way that may pass, but not for longer than `limit`.
pub async fn retry<T>(
    limit: Duration,
    may_pass: impl Fn(&io::Error) -> bool,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let (since, mut pauses) = (Instant::now(), RetryDelays::default());
    loop {
        match call().await {
            Err(error) if may_pass(&error) && since.elapsed() < limit => {
                REPEATED.set(REPEATED.get() + 1);
                sleep(pauses.next_delay()).await;
            }
            done => return done,
        }
    }
}
