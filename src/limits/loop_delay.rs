//! The delay with which this process serves what is due: measured at a fixed interval, counted, and reported in the
//! log.
//!
//! [`LoopDelay`] owns the measurements. Its caller owns the timer and writes the log.

use crate::policy::Time;
use std::time::Duration;

/// Interval at which the delay is measured.
pub const MEASURE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay from which on the process counts as behind: the tolerance of the time limits on sockets.
const BEHIND_FROM: Duration = Duration::from_millis(50);
/// Minimum interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Delays since the last report, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayReport {
    /// Longest delay.
    pub longest: Duration,
    /// Number of measurements at which the process was behind.
    pub times_behind: u64,
}

/// Measured delays of the process.
#[derive(Debug, Default)]
pub struct LoopDelay {
    measured_at: Option<Time>,
    reported_at: Option<Time>,
    unreported: Option<DelayReport>,
    longest: Duration,
    times_behind: u64,
}

impl LoopDelay {
    /// Records that the timer has run, which should happen every [`MEASURE_INTERVAL`]. Returns what is to be logged.
    pub fn measure(&mut self, now: Time) -> Option<DelayReport> {
        let delay = self.delay(now);
        self.measured_at = Some(now);
        self.longest = self.longest.max(delay);
        if delay >= BEHIND_FROM {
            self.times_behind += 1;
            let report = self.unreported.get_or_insert(DelayReport { longest: delay, times_behind: 0 });
            report.longest = report.longest.max(delay);
            report.times_behind += 1;
        }
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return None;
        }
        let report = self.unreported.take();
        if report.is_some() {
            self.reported_at = Some(now);
        }
        report
    }

    /// By how much the timer is overdue: the longest time for which input that is noticed now may have waited
    /// unnoticed, because the process did not run or was busy.
    #[must_use]
    pub fn delay(&self, now: Time) -> Duration {
        self.measured_at.map_or(Duration::ZERO, |at| now.since(at).saturating_sub(MEASURE_INTERVAL))
    }

    /// The longest delay since the start.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Number of measurements since the start at which the process was behind.
    #[must_use]
    pub fn times_behind(&self) -> u64 {
        self.times_behind
    }
}

#[cfg(test)]
mod tests;
