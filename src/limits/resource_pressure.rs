//! How scarce a resource is, and how time limits follow from that. Pure values; it owns no resource.

use std::time::Duration;

/// Pressure on a resource: from 0, where there is capacity for everyone, to 1, where the next holder needs another's.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ResourcePressure(f64);

impl ResourcePressure {
    /// There is capacity for everyone.
    pub const NONE: ResourcePressure = ResourcePressure(0.0);
    /// No capacity is left.
    pub const FULL: ResourcePressure = ResourcePressure(1.0);

    /// Returns the pressure where `used` units are taken: none up to `low`, full from `high` on, linear in between.
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
    /// geometrically: the number of connections that a limit lets stand is their arrival rate times the limit, so a
    /// limit has to fall by a factor to answer a rate that grows by a factor.
    #[must_use]
    pub fn limit(self, relaxed: Duration, tight: Duration) -> Duration {
        // A microsecond at least: the ratio of the limits has to be finite.
        let (relaxed, tight) = (relaxed.as_secs_f64().max(1e-6), tight.as_secs_f64().max(1e-6));
        Duration::from_secs_f64(relaxed * (tight / relaxed).powf(self.0))
    }
}
