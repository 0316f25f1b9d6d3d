//! Backoff of calls to a service that many gatherers call: when the next call is made, and how long it may wait.
//!
//! Delays are drawn at random. Their bound grows with each failure and with the number of callers, so that all callers
//! together stay within what the service bears, and never call in step. A [`Backoff`] owns one caller's state; it
//! makes no call and never sleeps.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Calls per second that all callers together may make.
const MAX_CALLS_PER_SECOND: u32 = 5;
/// Bound of the first delay after a failure that is no sign of overload: the agent is on the same machine.
const BASE_DELAY: Duration = Duration::from_millis(100);
/// Least bound of the longest delay, however short the time within which the caller has to poll.
const MIN_LONGEST_DELAY: Duration = Duration::from_secs(1);
/// Bound of the longest delay for callers that are so few that the service bears them all within it. A change counts as
/// received 6 s after the service becomes reachable again, however earlier calls ended; of these 6 s, a call may wait
/// 2 s for its turn.
const RECOVERY_DELAY: Duration = Duration::from_secs(3);
/// Share of the time within which the caller has to poll that a delay may take.
const POLL_TIME_SHARE: f64 = 0.8;
/// A call for the complete list costs the service at least as much as this number of calls for changes.
const COMPLETE_LIST_COST: u32 = 2;
/// Fraction of the time to react to a change that one delay takes at most, where calls cost nothing: the response has
/// to arrive within that time.
const REACTION_TIME_FRACTION: u32 = 5;
/// Largest number of times that the bound of a delay doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Bounds of the time that one call may wait for a change.
const LONG_POLL_TIMEOUT: RangeInclusive<Duration> = Duration::from_secs(5)..=Duration::from_secs(50);

/// The delays of one of many callers.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    callers: u32,
    poll_within: Duration,
    failures: u32,
    /// Bound of every delay of a caller whose calls cost the service nothing; `None` where calls are limited.
    unlimited_delay: Option<Duration>,
}

impl Backoff {
    /// Returns the delays of one of `callers`; each caller needs a seed of its own. A caller that has not polled for
    /// `poll_within`, or for four times as long after a failed call, is assumed to know what it would have received.
    #[must_use]
    pub fn new(seed: u64, callers: u32, poll_within: Duration) -> Backoff {
        let random = fastrand::Rng::with_seed(seed);
        Backoff { random, callers: callers.max(1), poll_within, failures: 0, unlimited_delay: None }
    }

    /// Returns the delays of a caller whose calls cost the service nothing, because an agent on the same machine
    /// responds. What the agent has counts as received at once, and after `reaction_time` nothing may be sent to a
    /// draining worker: delays leave most of that time.
    #[must_use]
    pub fn for_local_agent(seed: u64, reaction_time: Duration) -> Backoff {
        let delay = (reaction_time / REACTION_TIME_FRACTION).min(BASE_DELAY);
        Backoff { unlimited_delay: Some(delay), ..Backoff::new(seed, 1, Duration::ZERO) }
    }

    /// Sets the number of callers. It has no effect on a caller of a local agent, which shares the agent with nobody.
    pub fn set_callers(&mut self, callers: u32) {
        if self.unlimited_delay.is_none() {
            self.callers = callers.max(1);
        }
    }

    /// Resets the delays, because the service has responded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Time in which each caller may make one call.
    fn round(&self) -> Duration {
        Duration::from_secs(1) * self.callers / MAX_CALLS_PER_SECOND
    }

    /// Returns the delay before the next call, after one that failed. Where the service is `overloaded`, delays are so
    /// long that all callers together stay within what it bears.
    #[must_use]
    pub fn next_delay(&mut self, overloaded: bool) -> Duration {
        if let Some(longest) = self.unlimited_delay {
            return longest.mul_f64(self.random.f64());
        }
        let first = if overloaded { self.first_delay_when_overloaded() } else { BASE_DELAY };
        let bound = (first * (1 << self.failures.min(MAX_DOUBLINGS))).min(self.longest_delay());
        self.failures += 1;
        bound.mul_f64(self.random.f64())
    }

    /// Bound of the first delay after a failure that is a sign of overload.
    fn first_delay_when_overloaded(&self) -> Duration {
        BASE_DELAY + self.round()
    }

    /// Bound of all delays: with delays of up to twice a round, all callers together make the calls that they may.
    fn longest_delay(&self) -> Duration {
        let bearable = RECOVERY_DELAY.max(self.first_delay_when_overloaded() * 2);
        bearable.min((self.poll_within * 4).mul_f64(POLL_TIME_SHARE)).max(MIN_LONGEST_DELAY)
    }

    /// Returns the delay before the first call, which polls for changes of a list that is already cached. It keeps
    /// callers that start together from calling together.
    #[must_use]
    pub fn initial_delay(&mut self) -> Duration {
        let bound = (self.round() / COMPLETE_LIST_COST).min(self.poll_within.mul_f64(POLL_TIME_SHARE));
        bound.mul_f64(self.random.f64())
    }

    /// Returns how long a call may wait for a change. The next call follows at its end.
    #[must_use]
    pub fn long_poll_timeout(&self) -> Duration {
        (self.round() + self.round() / 2).clamp(*LONG_POLL_TIMEOUT.start(), *LONG_POLL_TIMEOUT.end())
    }
}
