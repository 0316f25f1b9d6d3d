//! Paces the accept loop, so that a flood of new connections takes a bounded share of the processor's time.
//!
//! [`AcceptPacer`] owns the state of the current burst of accepts. The caller accepts connections and sleeps.

use crate::policy::Time;
use std::time::Duration;

/// Number of connections accepted in one burst, between two pauses.
const ACCEPTS_PER_BURST: u32 = 16;
/// Largest share of the time that the accept loop may use while connections wait to be accepted.
const MAX_TIME_SHARE: f64 = 0.25;
/// Longest pause between two bursts.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// Accepts that follow one another without waiting for a connection.
#[derive(Clone, Copy, Debug)]
struct Burst {
    began_at: Time,
    accepts: u32,
}

/// Computes the pauses of the accept loop. A burst is measured in wall time, which on a single thread is the accept
/// loop's own processor time.
#[derive(Debug, Default)]
pub struct AcceptPacer {
    burst: Option<Burst>,
}

impl AcceptPacer {
    /// Ends the current burst. Called when no connection waits to be accepted.
    pub fn reset(&mut self) {
        self.burst = None;
    }

    /// Counts an accept that began at `began_at` and ended at `now`. After a full burst, returns the time for which the
    /// accept loop has to pause so that other tasks run.
    #[must_use]
    pub fn record_accept(&mut self, began_at: Time, now: Time) -> Option<Duration> {
        let mut burst = self.burst.unwrap_or(Burst { began_at, accepts: 0 });
        burst.accepts += 1;
        if burst.accepts < ACCEPTS_PER_BURST {
            self.burst = Some(burst);
            return None;
        }
        self.burst = None;
        let busy_time = now.since(burst.began_at);
        Some(busy_time.mul_f64(1.0 / MAX_TIME_SHARE - 1.0).min(MAX_PAUSE))
    }
}

#[cfg(test)]
mod tests;
