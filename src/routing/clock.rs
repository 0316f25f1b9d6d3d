//! The clock by which the broker, the fronts and the transports set their deadlines.

use crate::policy::Time;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time that never steps back: it is read once at the start and advances by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: Time,
}

impl Clock {
    /// A clock that shows the system's time now.
    #[must_use]
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::starting_at(Time(0).after(unix))
    }
    /// A clock that shows `unix` now.
    #[must_use]
    pub fn starting_at(unix: Time) -> Clock {
        Clock { started_at: Instant::now(), unix_at_start: unix }
    }
    /// The time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.unix_at_start.after(self.started_at.elapsed())
    }
    /// The monotonic instant at which this clock shows `at`.
    #[must_use]
    pub fn instant_of(&self, at: Time) -> Instant {
        self.started_at + at.since(self.unix_at_start)
    }
}
