//! The eviction order: its reasons, the time limits of each, and a connection's position and deadline.
//!
//! Owns the state of one connection. It changes no state: [`super::ClientConnections`] does.

use super::Source;
use crate::limits::resource_pressure::ResourcePressure;
use crate::policy::Time;
use std::fmt;
use std::time::Duration;

/// Why a connection is evicted. The order is that of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EvictionReason {
    /// It never sent a byte.
    Silent,
    /// Its request is not received in time.
    Slow,
    /// It sent one request, and stays.
    SingleRequest,
    /// It sent malformed input before.
    Penalised,
    /// It has not sent another request.
    Idle,
    /// Its source holds more connections than its quota.
    OverQuota,
}

/// All reasons, in the order in which they are counted.
pub const EVICTION_REASONS: [EvictionReason; 6] = [
    EvictionReason::Silent,
    EvictionReason::Slow,
    EvictionReason::SingleRequest,
    EvictionReason::Penalised,
    EvictionReason::Idle,
    EvictionReason::OverQuota,
];

impl fmt::Display for EvictionReason {
    /// Writes the reason as it stands in names of counters, which operators' tools match: these words stay as they are.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            EvictionReason::Silent => "silent",
            EvictionReason::Slow => "slow",
            EvictionReason::SingleRequest => "asked_once",
            EvictionReason::Penalised => "marked",
            EvictionReason::Idle => "idle",
            EvictionReason::OverQuota => "over_share",
        })
    }
}

/// Time limits of an evictable connection.
pub(super) struct TimeLimits {
    /// The limit without pressure.
    pub relaxed: Duration,
    /// The limit under full pressure.
    pub tight: Duration,
    /// For this long, the connection is passed over when another needs its descriptor.
    pub min_residence: Duration,
}

const fn time_limits_ms(relaxed: u64, tight: u64, min_residence: u64) -> TimeLimits {
    let ms = Duration::from_millis;
    TimeLimits { relaxed: ms(relaxed), tight: ms(tight), min_residence: ms(min_residence) }
}

/// Time limits by [`EvictionReason`], in its order. The relaxed limits are those that clients always had; 2.5 s gets
/// the response to a bad client out within 3 s. The tight limits are a multiple of what a well-behaved client needs on
/// a loaded machine: a request follows its connection at once, and on a kept connection of a busy client the next
/// request follows the last response in well under 150 ms.
pub(super) const TIME_LIMITS: [TimeLimits; 5] = [
    time_limits_ms(2500, 200, 100),
    time_limits_ms(2500, 300, 200),
    time_limits_ms(10_000, 150, 100),
    time_limits_ms(2000, 50, 0),
    time_limits_ms(10_000, 1000, 0),
];
/// The longest time in which a request may be received, at whatever rate.
const MAX_RECEIVE_TIME: Duration = Duration::from_millis(2500);
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It may be evicted, for this reason.
    Evictable(EvictionReason),
    /// A query is open on it.
    Busy,
    /// It is about to be closed.
    Closing,
}

/// The position of a connection in the eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub reason: EvictionReason,
    /// The moment that counts against the connection: the earlier, the sooner it is evicted.
    pub counted_from: Time,
    pub id: u64,
}

impl EvictionRank {
    /// Whether the connection has had the time for which it is passed over.
    pub fn is_past_min_residence(&self, now: Time) -> bool {
        now.since(self.counted_from) >= TIME_LIMITS[self.reason as usize].min_residence
    }
}

#[derive(Debug)]
pub(super) struct Connection {
    pub source: Source,
    pub state: ConnectionState,
    /// When its state began.
    pub state_since: Time,
    /// See [`EvictionRank::counted_from`].
    pub counted_from: Time,
    /// Bytes of the request that is being received.
    pub request_bytes: usize,
    /// Responses sent on it.
    pub responses: u32,
    /// Average time between a response and the next request.
    pub usual_idle: Duration,
    pub penalised: bool,
}

impl Connection {
    pub fn rank(&self, id: u64) -> Option<EvictionRank> {
        let ConnectionState::Evictable(reason) = self.state else { return None };
        Some(EvictionRank { reason, counted_from: self.counted_from, id })
    }

    /// Returns until when it may stay as it is under this pressure. A busy connection has no deadline.
    pub fn deadline(&self, pressure: ResourcePressure) -> Option<Time> {
        let ConnectionState::Evictable(reason) = self.state else { return None };
        let limit = |reason: EvictionReason| {
            let TimeLimits { relaxed, tight, .. } = TIME_LIMITS[reason as usize];
            pressure.limit(relaxed, tight)
        };
        Some(match reason {
            EvictionReason::Slow => {
                self.counted_from.after(limit(reason)).min(self.state_since.after(MAX_RECEIVE_TIME))
            }
            // Its usual idle interval applies where that is longer.
            EvictionReason::Idle => self.counted_from.max(self.state_since.after(limit(reason))),
            // A source that reconnects after malformed input gets the time limit of malformed input.
            EvictionReason::Silent if self.penalised => {
                self.state_since.after(limit(EvictionReason::Penalised).min(limit(reason)))
            }
            reason => self.state_since.after(limit(reason)),
        })
    }
}
