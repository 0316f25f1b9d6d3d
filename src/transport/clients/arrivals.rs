//! When the bytes in a connection's buffer arrived, so that the time for which a request waited unread or behind others
//! counts against its time budget.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of arrival times kept for one connection. Beyond it, bytes count as arrived with those before them.
const MAX_ARRIVALS: usize = 64;
/// Bytes that arrive within this time of one another count as arrived together.
const RESOLUTION: Duration = Duration::from_millis(1);

/// Bytes that arrived together.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// The arrival times of buffered bytes, in their order.
#[derive(Debug, Default)]
pub(super) struct Arrivals(VecDeque<Arrival>);

impl Arrivals {
    /// Records that further bytes arrived.
    pub fn record(&mut self, bytes: usize, at: Instant) {
        let is_full = self.0.len() >= MAX_ARRIVALS;
        match self.0.back_mut() {
            Some(last) if is_full || at <= last.at + RESOLUTION => last.bytes += bytes,
            _ => self.0.push_back(Arrival { bytes, at }),
        }
    }

    /// Removes the first bytes, which form a request. Returns when the last of them arrived.
    pub fn take(&mut self, bytes: usize) -> Option<Instant> {
        let (mut left, mut arrived_at) = (bytes, None);
        while left > 0
            && let Some(first) = self.0.front_mut()
        {
            arrived_at = Some(first.at);
            let taken = left.min(first.bytes);
            left -= taken;
            first.bytes -= taken;
            if first.bytes == 0 {
                self.0.pop_front();
            }
        }
        arrived_at
    }

    /// Forgets all bytes, which were discarded.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
