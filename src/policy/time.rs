//! Times on the aggregator's clock, and conversions between durations and seconds.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Upper bound of a duration that is made from a number of seconds.
const MAX_SPAN_S: f64 = 3600.0;

/// A point in time on the aggregator's clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The time from `earlier` to `self`; zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The time that is `span` later than `self`.
    #[must_use]
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// The number of seconds of a duration.
pub(super) fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// The duration of a number of seconds, bounded to the range from zero to [`MAX_SPAN_S`].
pub(super) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SPAN_S))
}
