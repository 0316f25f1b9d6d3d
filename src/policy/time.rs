//! Moments of the aggregator's clock, and spans as numbers of seconds.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest span that a number of seconds is turned into, in seconds.
const MAX_SPAN_S: f64 = 3600.0;

/// A moment on the aggregator's clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Time from `earlier` to `self`; zero if `earlier` is the later one.
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// A span as a number of seconds.
pub(super) fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// A number of seconds as a span, from zero to an hour.
pub(super) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SPAN_S))
}
