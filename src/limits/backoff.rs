//! When a service that many ask is asked again: pauses by lot that grow with each failure and with the number of
//! those who ask, so that all together ask no more than it may bear, and never in step.

use std::time::Duration;

/// Calls a second that all callers together may make.
const CALLS: u32 = 5;
/// Pause after a failure that tells of no overload, and what the first after another comes to at least.
const SHORT: Duration = Duration::from_millis(100);
/// Most doublings of a pause.
const DOUBLINGS: u32 = 3;
/// The shortest and the longest time that one call may wait for news.
const WAIT: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(50));

/// The pauses of one of so many callers.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    callers: u32,
    failures: u32,
}

impl Backoff {
    /// For one of so many callers, who each have a seed of their own.
    pub fn new(seed: u64, callers: u32) -> Backoff {
        Backoff { random: fastrand::Rng::with_seed(seed), callers: callers.max(1), failures: 0 }
    }
    /// The service has answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }
    /// The time in which every caller may call once.
    fn round(&self) -> Duration {
        Duration::from_secs(1) * self.callers / CALLS
    }
    /// How long to wait before the next call, after one that failed; where the service is overbooked, so long that
    /// all callers together stay under what it bears.
    pub fn pause(&mut self, overbooked: bool) -> Duration {
        let most =
            if overbooked { (SHORT + self.round()) * (1 << self.failures.min(DOUBLINGS)) } else { SHORT };
        self.failures += u32::from(overbooked);
        most.mul_f64(self.random.f64())
    }
    /// How long to wait before the first call. Guards against all that start together asking together.
    pub fn start(&mut self) -> Duration {
        self.round().mul_f64(self.random.f64() * (1.0 - 1.0 / f64::from(self.callers)))
    }
    /// How long a call may wait for news: it is a call again when the wait is over.
    pub fn wait(&self) -> Duration {
        (self.round() + self.round() / 2).clamp(WAIT.0, WAIT.1)
    }
}
