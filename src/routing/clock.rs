//! The clock on which the broker, the fronts and the transports set deadlines.

use crate::policy::Time;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A Unix clock that never steps back: the system time is read once, then advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: Time,
}

impl Clock {
    /// Creates a clock that is set to the system time.
    #[must_use]
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::starting_at(Time(0).after(unix))
    }
    /// Creates a clock that is set to `unix`.
    #[must_use]
    pub fn starting_at(unix: Time) -> Clock {
        Clock { started_at: Instant::now(), unix_at_start: unix }
    }
    /// Returns the current Unix time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.unix_at_start.after(self.started_at.elapsed())
    }
    /// Returns the monotonic instant at which this clock reaches `at`.
    #[must_use]
    pub fn instant_of(&self, at: Time) -> Instant {
        self.started_at + at.since(self.unix_at_start)
    }
}
