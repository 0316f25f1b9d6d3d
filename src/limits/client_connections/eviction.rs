//! The eviction order: its reasons, the time limits of each, and the rank and deadline of a connection.
//!
//! [`Connection`] holds the state of one connection, which only [`super::ClientConnections`] changes.

use super::Source;
use crate::limits::resource_pressure::ResourcePressure;
use crate::policy::Time;
use std::fmt;
use std::time::Duration;

/// Reason for evicting a connection. The variants are in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EvictionReason {
    /// The connection never sent a byte.
    Silent,
    /// The request on it was not received in time.
    Slow,
    /// The connection sent one request and stays open.
    SingleRequest,
    /// The last request on it was malformed or not served by this process.
    Penalised,
    /// The connection sent several requests and is idle.
    Idle,
    /// The source of the connection holds more connections than its quota.
    OverQuota,
}

/// Every eviction reason, in the order of the counters by reason.
pub const EVICTION_REASONS: [EvictionReason; 6] = [
    EvictionReason::Silent,
    EvictionReason::Slow,
    EvictionReason::SingleRequest,
    EvictionReason::Penalised,
    EvictionReason::Idle,
    EvictionReason::OverQuota,
];

impl fmt::Display for EvictionReason {
    /// Writes the reason as used in names of counters. Operators' tools match these names; they must not change.
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

/// Time limits of an evictable connection. Each eviction reason has its own.
pub(super) struct TimeLimits {
    /// Limit without resource pressure.
    pub relaxed: Duration,
    /// Limit under full resource pressure.
    pub tight: Duration,
    /// Minimum residence: time for which the connection is skipped when another one needs its descriptor.
    pub min_residence: Duration,
}

const fn time_limits_ms(relaxed: u64, tight: u64, min_residence: u64) -> TimeLimits {
    let ms = Duration::from_millis;
    TimeLimits { relaxed: ms(relaxed), tight: ms(tight), min_residence: ms(min_residence) }
}

/// Time limits by [`EvictionReason`], in its order. The relaxed limits are those that have always applied to clients;
/// 2.5 s gets the response to a bad client out within 3 s. The tight limits are a multiple of what a well-behaved
/// client needs on a loaded machine: its first request follows the connect at once, and on a connection that is in
/// regular use the next request follows the last response in well under 150 ms.
pub(super) const TIME_LIMITS: [TimeLimits; 5] = [
    time_limits_ms(2500, 200, 100),
    time_limits_ms(2500, 300, 200),
    time_limits_ms(10_000, 150, 100),
    time_limits_ms(2000, 50, 0),
    time_limits_ms(10_000, 1000, 0),
];
/// Longest time for receiving a request, at whatever rate.
const MAX_RECEIVE_TIME: Duration = Duration::from_millis(2500);

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection may be evicted for this reason.
    Evictable(EvictionReason),
    /// A query is open on the connection.
    Busy,
    /// The connection is about to be closed.
    Closing,
}

/// Position of a connection in the eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub reason: EvictionReason,
    /// Sort key among connections of one reason: the earliest is evicted first. The minimum residence counts from this
    /// time.
    pub counted_from: Time,
    pub id: u64,
}

impl EvictionRank {
    /// Returns whether the connection is past the minimum residence of its reason.
    pub fn is_past_min_residence(&self, now: Time) -> bool {
        now.since(self.counted_from) >= TIME_LIMITS[self.reason as usize].min_residence
    }
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// Source that the connection counts for.
    pub source: Source,
    /// Current state.
    pub state: ConnectionState,
    /// Time at which the current state began.
    pub state_since: Time,
    /// Time used in the eviction order; see [`EvictionRank::counted_from`].
    pub counted_from: Time,
    /// Bytes received so far of the current request.
    pub request_bytes: usize,
    /// Number of responses sent on the connection.
    pub responses: u32,
    /// Moving average of the time between a response and the next request.
    pub usual_idle: Duration,
    /// Whether malformed input of this connection or, lately, of its source counts against it.
    pub penalised: bool,
}

impl Connection {
    /// Returns the connection's position in the eviction order, or `None` if the connection is not evictable.
    pub fn rank(&self, id: u64) -> Option<EvictionRank> {
        let ConnectionState::Evictable(reason) = self.state else { return None };
        Some(EvictionRank { reason, counted_from: self.counted_from, id })
    }

    /// Returns the time at which the connection is evicted under this pressure, or `None` if it is busy or closing.
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
            // The expected time of the next request applies if that is later.
            EvictionReason::Idle => self.counted_from.max(self.state_since.after(limit(reason))),
            // A source that reconnects after malformed input gets the time limit of malformed input.
            EvictionReason::Silent if self.penalised => {
                self.state_since.after(limit(EvictionReason::Penalised).min(limit(reason)))
            }
            reason => self.state_since.after(limit(reason)),
        })
    }
}
