//! How scarce places are, and how time limits follow.

use std::time::Duration;

/// From 0, where there is room for everyone, to 1, where the next one who comes needs another's place.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ResourcePressure(f64);

impl ResourcePressure {
    /// Room for everyone.
    pub const NONE: ResourcePressure = ResourcePressure(0.0);
    /// None left.
    pub const FULL: ResourcePressure = ResourcePressure(1.0);

    /// ResourcePressure where `held` are taken: none up to `ease`, full from `tight` on, evenly between.
    pub fn from_usage(held: usize, ease: usize, tight: usize) -> ResourcePressure {
        if held <= ease {
            return ResourcePressure::NONE;
        }
        if held >= tight {
            return ResourcePressure::FULL;
        }
        ResourcePressure((held - ease) as f64 / (tight - ease) as f64)
    }

    /// The greater of the two.
    pub fn max(self, other: ResourcePressure) -> ResourcePressure {
        if other > self { other } else { self }
    }

    /// A share from 0 to 1.
    pub fn share(self) -> f64 {
        self.0
    }

    /// A time limit that is `calm` where there is room and `tight` where there is none. Between, it falls by an even
    /// factor and not by an even step: the crowd that a limit lets stand is its rate times the limit, so only factors
    /// answer a crowd of ten times the rate by ten times the scarcity.
    pub fn limit(self, calm: Duration, tight: Duration) -> Duration {
        let (calm, tight) = (calm.as_secs_f64().max(1e-6), tight.as_secs_f64().max(1e-6));
        Duration::from_secs_f64(calm * (tight / calm).powf(self.0))
    }
}
