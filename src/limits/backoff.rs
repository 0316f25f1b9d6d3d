//! When a service that many ask is asked again: pauses by lot that grow with each failure and with the number of
//! those who ask, so that all together ask no more than it may bear, and never in step.

use std::time::Duration;

/// Calls a second that all callers together may make.
const CALLS: u32 = 5;
/// The longest first pause after a failure that tells of no overload: the agent is on the own machine.
const SHORT: Duration = Duration::from_millis(100);
/// The longest pause, where being told is not counted in calls.
const LONGEST: Duration = Duration::from_secs(1);
/// The longest pause of callers so few that the service bears them all within it. What changes counts as told 6 s after the
/// service can be reached again, however the calls before ended: of that, a call may wait 2 s for its turn.
const AGAIN: Duration = Duration::from_secs(3);
/// Share of the time in which it must ask that a caller takes.
const CARE: f64 = 0.8;
/// How many calls for changes a call for the whole list costs the service, at least.
const CHEAPER: u32 = 2;
/// Part of the grace after news that a pause takes at most, where calls cost nothing: the answer has to come inside it.
const PAUSE_SHARE: u32 = 5;
/// Most doublings of a pause.
const DOUBLINGS: u32 = 3;
/// The shortest and the longest time that one call may wait for news.
const WAIT: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(50));

/// The pauses of one of so many callers.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    callers: u32,
    ask_in: Duration,
    failures: u32,
    /// The longest pause of one whose calls cost the service nothing.
    free: Option<Duration>,
}

impl Backoff {
    /// For one of so many callers, who each have a seed of their own. Who has not asked for `ask_in`, or for four
    /// times as long after a failed call, is held to know what it would have been told.
    pub fn new(seed: u64, callers: u32, ask_in: Duration) -> Backoff {
        let random = fastrand::Rng::with_seed(seed);
        Backoff { random, callers: callers.max(1), ask_in, failures: 0, free: None }
    }
    /// For one whose calls cost the service nothing: it is told by itself, and an agent beside the caller answers. What the
    /// agent has counts as told at once, and `grace` later nothing may go to who drains: pauses leave most of that.
    pub fn for_local_agent(seed: u64, grace: Duration) -> Backoff {
        Backoff { free: Some((grace / PAUSE_SHARE).min(SHORT)), ..Backoff::new(seed, 1, Duration::ZERO) }
    }
    /// So many callers there are now. Who calls at no cost is alone, however many others do the same.
    pub fn set_callers(&mut self, callers: u32) {
        if self.free.is_none() {
            self.callers = callers.max(1);
        }
    }
    /// The service has answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
    /// The time in which every caller may call once.
    fn round(&self) -> Duration {
        Duration::from_secs(1) * self.callers / CALLS
    }
    /// How long to wait before the next call, after one that failed; where the service is overbooked, so long that
    /// all callers together stay under what it bears.
    pub fn next_delay(&mut self, overbooked: bool) -> Duration {
        if let Some(longest) = self.free {
            return longest.mul_f64(self.random.f64());
        }
        let first = if overbooked { self.first_overbooked() } else { SHORT };
        let most = (first * (1 << self.failures.min(DOUBLINGS))).min(self.longest());
        self.failures += 1;
        most.mul_f64(self.random.f64())
    }
    /// The longest first pause after a failure that tells of overload.
    fn first_overbooked(&self) -> Duration {
        SHORT + self.round()
    }
    /// The longest pause of all: with pauses of up to twice a round, all callers together make the calls that they may.
    fn longest(&self) -> Duration {
        let borne = AGAIN.max(self.first_overbooked() * 2);
        borne.min((self.ask_in * 4).mul_f64(CARE)).max(LONGEST)
    }
    /// How long to wait before the first call, which asks for changes of a list that is held. Guards against all that
    /// start together asking together.
    pub fn initial_delay(&mut self) -> Duration {
        (self.round() / CHEAPER).min(self.ask_in.mul_f64(CARE)).mul_f64(self.random.f64())
    }
    /// How long a call may wait for news: it is a call again when the wait is over.
    pub fn long_poll_timeout(&self) -> Duration {
        (self.round() + self.round() / 2).clamp(WAIT.0, WAIT.1)
    }
}
