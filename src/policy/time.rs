//! Moments of the aggregator's clock and spans of time in seconds.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A moment on the aggregator's clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Time from `earlier` to `self`; nought if `earlier` is the later one.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
    /// The moment `span` later.
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// A span as a number of seconds.
pub fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// A number of seconds as a span; an hour at most.
pub fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
}
