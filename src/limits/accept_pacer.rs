//! How fast newcomers pass: a flood of new connections takes a bounded share of the processor's time.

use crate::policy::Time;
use std::time::Duration;

/// Newcomers that pass in one turn.
const BURST: u32 = 16;
/// Share of the time that letting them in may take while more of them wait.
const SHARE: f64 = 0.25;
/// The longest pause between two bursts.
const LONGEST: Duration = Duration::from_millis(10);

/// Paces the accept loop. Time is wall time that the loop spent without waiting, which on one thread is its own.
#[derive(Debug, Default)]
pub struct AcceptPacer {
    burst: Option<(Time, u32)>,
}

impl AcceptPacer {
    /// Nobody waits at the door: the next burst starts afresh.
    pub fn reset(&mut self) {
        self.burst = None;
    }

    /// One has passed, between `begun` and `now`. After a full burst, how long everyone else goes first.
    pub fn record_accept(&mut self, begun: Time, now: Time) -> Option<Duration> {
        let (since, passed) = self.burst.unwrap_or((begun, 0));
        if passed + 1 < BURST {
            self.burst = Some((since, passed + 1));
            return None;
        }
        self.burst = None;
        Some(now.since(since).mul_f64(1.0 / SHARE - 1.0).min(LONGEST))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_takes_a_quarter_of_the_time_and_a_trickle_none() {
        let (mut pacer, mut now, mut working, mut resting) =
            (AcceptPacer::default(), Time(0), Duration::ZERO, Duration::ZERO);
        let one = Duration::from_micros(20);
        for _ in 0..1600 {
            let begun = now;
            now = now.after(one);
            working += one;
            if let Some(pause) = pacer.record_accept(begun, now) {
                now = now.after(pause);
                resting += pause;
            }
        }
        assert_eq!(resting, working * 3);
        for _ in 0..1600 {
            pacer.reset();
            assert_eq!(pacer.record_accept(now, now.after(one)), None);
        }
    }

    #[test]
    fn a_stalled_process_does_not_shut_the_door_for_long() {
        let mut pacer = AcceptPacer::default();
        let pauses: Vec<_> =
            (0..BURST).filter_map(|_| pacer.record_accept(Time(0), Time(3_000_000_000))).collect();
        assert_eq!(pauses, [LONGEST]);
    }
}
