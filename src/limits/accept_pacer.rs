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
mod tests {
    use super::{ACCEPTS_PER_BURST, AcceptPacer, MAX_PAUSE};
    use crate::policy::Time;
    use std::time::Duration;

    #[test]
    fn a_flood_takes_a_quarter_of_the_time_and_a_trickle_is_never_paused() {
        let (mut pacer, mut now, mut working, mut resting) =
            (AcceptPacer::default(), Time(0), Duration::ZERO, Duration::ZERO);
        let one_accept = Duration::from_micros(20);
        for _ in 0..1600 {
            let began_at = now;
            now = now.after(one_accept);
            working += one_accept;
            if let Some(pause) = pacer.record_accept(began_at, now) {
                now = now.after(pause);
                resting += pause;
            }
        }
        assert_eq!(resting, working * 3);
        for _ in 0..1600 {
            pacer.reset();
            assert_eq!(pacer.record_accept(now, now.after(one_accept)), None);
        }
    }

    #[test]
    fn a_stalled_process_resumes_accepting_after_the_longest_pause() {
        let mut pacer = AcceptPacer::default();
        let pauses: Vec<_> = (0..ACCEPTS_PER_BURST)
            .filter_map(|_| pacer.record_accept(Time(0), Time(3_000_000_000)))
            .collect();
        assert_eq!(pauses, [MAX_PAUSE]);
    }
}
