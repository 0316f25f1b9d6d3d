//! Paces the accept loop, so that a flood of new connections takes a bounded share of the processor's time.
//!
//! Owns the burst that is under way. It accepts nothing and never sleeps: the caller carries out the pauses.

use crate::policy::Time;
use std::time::Duration;

/// Connections accepted in one burst, between two pauses.
const ACCEPTS_PER_BURST: u32 = 16;
/// Share of the time that accepting may take while further connections wait.
const MAX_TIME_SHARE: f64 = 0.25;
/// The longest pause between two bursts.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// A run of accepts without a wait between them.
#[derive(Clone, Copy, Debug)]
struct Burst {
    began_at: Time,
    accepts: u32,
}

/// Paces the accept loop. It counts the wall time that the loop spends without waiting; on a single thread, this is the
/// loop's own processor time.
#[derive(Debug, Default)]
pub struct AcceptPacer {
    burst: Option<Burst>,
}

impl AcceptPacer {
    /// Ends the burst, because no connection waits to be accepted.
    pub fn reset(&mut self) {
        self.burst = None;
    }

    /// Counts a connection whose accept began at `began_at` and ended at `now`. After a full burst, it returns how long
    /// the loop has to pause so that everything else runs.
    #[must_use]
    pub fn record_accept(&mut self, began_at: Time, now: Time) -> Option<Duration> {
        let mut burst = self.burst.unwrap_or(Burst { began_at, accepts: 0 });
        burst.accepts += 1;
        if burst.accepts < ACCEPTS_PER_BURST {
            self.burst = Some(burst);
            return None;
        }
        self.burst = None;
        let busy = now.since(burst.began_at);
        Some(busy.mul_f64(1.0 / MAX_TIME_SHARE - 1.0).min(MAX_PAUSE))
    }
}

#[cfg(test)]
mod tests;
