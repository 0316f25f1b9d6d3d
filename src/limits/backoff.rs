//! Backoff with jitter for calls to a service that many gatherers share: the delay before the next call, and the
//! time-out of a long poll.
//!
//! Delays are random. Their upper bound grows with the number of failures and of callers, so that all callers together
//! stay within the service's capacity and do not call at the same times. A [`Backoff`] owns the state of one caller; it
//! makes no calls and never sleeps.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Calls per second that all callers together may make to the service.
const MAX_CALLS_PER_SECOND: u32 = 5;
/// Upper bound of the first delay after a failure that is not a sign of overload. It is short because the agent runs on
/// the same machine.
const BASE_DELAY: Duration = Duration::from_millis(100);
/// Lower limit of the bound of all delays, however short `poll_within` is.
const MIN_LONGEST_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of all delays if the callers are so few that the service can serve them all within it. A change counts
/// as received 6 s after the service becomes reachable again, however earlier calls ended; of these 6 s, a call may
/// wait 2 s for its turn.
const RECOVERY_DELAY: Duration = Duration::from_secs(3);
/// Share of the time `poll_within` that a delay may take.
const POLL_TIME_SHARE: f64 = 0.8;
/// Cost to the service of a call for the complete list, in calls for changes. This is a lower estimate.
const COMPLETE_LIST_COST: u32 = 2;
/// Divisor of the reaction time that gives the longest delay of a caller whose calls cost nothing. The rest of the time
/// is for the response to arrive.
const REACTION_TIME_DIVISOR: u32 = 5;
/// Maximum number of times that the bound of a delay doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Range of the long-poll time-out.
const LONG_POLL_TIMEOUT: RangeInclusive<Duration> = Duration::from_secs(5)..=Duration::from_secs(50);

/// Backoff state of one of many callers.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    callers: u32,
    poll_within: Duration,
    failures: u32,
    /// Upper bound of every delay of a caller whose calls cost the service nothing; `None` if the rate of calls is
    /// limited.
    local_agent_delay: Option<Duration>,
}

impl Backoff {
    /// Creates the backoff of one of `callers`; each caller needs a seed of its own. A caller has to poll within
    /// `poll_within`, or within four times as long after a failed call: after that time, others assume that it knows
    /// every earlier change.
    #[must_use]
    pub fn new(seed: u64, callers: u32, poll_within: Duration) -> Backoff {
        let random = fastrand::Rng::with_seed(seed);
        Backoff { random, callers: callers.max(1), poll_within, failures: 0, local_agent_delay: None }
    }

    /// Creates the backoff of a caller of an agent on the same machine, whose calls cost the service nothing. A change
    /// counts as received as soon as the agent has it, and `reaction_time` later nothing may be sent to a draining
    /// worker, so the delays leave most of that time.
    #[must_use]
    pub fn for_local_agent(seed: u64, reaction_time: Duration) -> Backoff {
        let delay = (reaction_time / REACTION_TIME_DIVISOR).min(BASE_DELAY);
        Backoff { local_agent_delay: Some(delay), ..Backoff::new(seed, 1, Duration::ZERO) }
    }

    /// Sets the number of callers. This has no effect on a caller of a local agent, which no other caller shares.
    pub fn set_callers(&mut self, callers: u32) {
        if self.local_agent_delay.is_none() {
            self.callers = callers.max(1);
        }
    }

    /// Resets the delays after a successful call.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Time in which each caller may make one call, given [`MAX_CALLS_PER_SECOND`].
    fn round_time(&self) -> Duration {
        Duration::from_secs(1) * self.callers / MAX_CALLS_PER_SECOND
    }

    /// Returns the delay before the next call after a failed one. If the service is `overloaded`, the delays are long
    /// enough to keep all callers together within the rate that it can serve.
    #[must_use]
    pub fn next_delay(&mut self, overloaded: bool) -> Duration {
        if let Some(bound) = self.local_agent_delay {
            return bound.mul_f64(self.random.f64());
        }
        let first_bound = if overloaded { self.first_delay_when_overloaded() } else { BASE_DELAY };
        let bound = (first_bound * (1 << self.failures.min(MAX_DOUBLINGS))).min(self.longest_delay());
        self.failures += 1;
        bound.mul_f64(self.random.f64())
    }

    /// Upper bound of the first delay after a failure that is a sign of overload.
    fn first_delay_when_overloaded(&self) -> Duration {
        BASE_DELAY + self.round_time()
    }

    /// Upper bound of all delays. Delays of up to two rounds are one round on average, at which all callers together
    /// reach [`MAX_CALLS_PER_SECOND`].
    fn longest_delay(&self) -> Duration {
        let capacity_bound = RECOVERY_DELAY.max(self.first_delay_when_overloaded() * 2);
        capacity_bound.min((self.poll_within * 4).mul_f64(POLL_TIME_SHARE)).max(MIN_LONGEST_DELAY)
    }

    /// Returns the delay before the first call, for a caller that has a cached list and polls for changes. The delay
    /// spreads callers that start at the same time.
    #[must_use]
    pub fn initial_delay(&mut self) -> Duration {
        let bound = (self.round_time() / COMPLETE_LIST_COST).min(self.poll_within.mul_f64(POLL_TIME_SHARE));
        bound.mul_f64(self.random.f64())
    }

    /// Returns the time for which one call may wait for a change before it ends without one and the next call follows.
    #[must_use]
    pub fn long_poll_timeout(&self) -> Duration {
        (self.round_time() + self.round_time() / 2)
            .clamp(*LONG_POLL_TIMEOUT.start(), *LONG_POLL_TIMEOUT.end())
    }
}
