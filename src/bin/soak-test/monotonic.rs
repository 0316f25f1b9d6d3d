//! The machine's monotonic clock, by which times of different processes can be compared.

use rustix::time::{ClockId, clock_gettime};

/// The time of the monotonic clock, in microseconds.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
