//! Tests of the rate limit of the log, which is private.

use super::{BURST_LINES, RateLimit};
use std::time::{Duration, Instant};

#[test]
fn lines_above_the_rate_limit_are_dropped_and_counted() {
    // The platform counts the log as memory: a fault that logs a line for each query must not fill it.
    let start = Instant::now();
    let mut rate_limit = RateLimit { tokens: BURST_LINES, refilled_at: start, dropped: 0 };
    let written = (0..1000).filter(|_| rate_limit.try_acquire(start).is_some()).count();
    assert_eq!(written, 100);
    assert_eq!(rate_limit.try_acquire(start + Duration::from_secs(1)), Some(900));
}
