//! Resource pressure: how scarce a resource is, and the time limits that follow from it. These are plain values that
//! own no resource.

use std::time::Duration;

/// Pressure on a resource, from 0 (capacity for everyone) to 1 (no capacity left: a new holder needs that of another
/// one).
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ResourcePressure(f64);

impl ResourcePressure {
    /// No pressure: there is capacity for everyone.
    pub const NONE: ResourcePressure = ResourcePressure(0.0);
    /// Full pressure: no capacity is left.
    pub const FULL: ResourcePressure = ResourcePressure(1.0);

    /// Returns the pressure if `used` units are in use: none up to `low`, full from `high` on, linear in between.
    #[must_use]
    pub fn from_usage(used: usize, low: usize, high: usize) -> ResourcePressure {
        if used <= low {
            return ResourcePressure::NONE;
        }
        if used >= high {
            return ResourcePressure::FULL;
        }
        ResourcePressure((used - low) as f64 / (high - low) as f64)
    }

    /// Returns the greater of the two.
    #[must_use]
    pub fn max(self, other: ResourcePressure) -> ResourcePressure {
        if other > self { other } else { self }
    }

    /// Returns a time limit that is `relaxed` without pressure and `tight` under full pressure. In between, it falls
    /// geometrically: the number of connections that a limit permits is their arrival rate times the limit, so that the
    /// limit has to fall by the same factor by which the rate grows.
    #[must_use]
    pub fn limit(self, relaxed: Duration, tight: Duration) -> Duration {
        // The limits are at least one microsecond, so that their ratio is finite.
        let (relaxed, tight) = (relaxed.as_secs_f64().max(1e-6), tight.as_secs_f64().max(1e-6));
        Duration::from_secs_f64(relaxed * (tight / relaxed).powf(self.0))
    }
}
