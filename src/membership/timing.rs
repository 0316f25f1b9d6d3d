//! The time constants of the membership protocol and their defaults; the operator's file can override some of them.

use std::time::Duration;

/// Time constants of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval between two rounds of probes, and the time-out of a probe.
    pub probe_interval: Duration,
    /// The interval between two rounds of gossip, while updates are queued.
    pub gossip_interval: Duration,
    /// The time from a member's suspicion to the declaration that it failed.
    pub suspicion_timeout: Duration,
    /// A gap between two ticks that is longer than this means that the local process itself was paused.
    pub pause_threshold: Duration,
    /// The time without a message from any member after which this member considers itself isolated.
    pub isolation_timeout: Duration,
    /// The interval between two exchanges of whole tables, in a small fleet; it grows with the number of members.
    pub exchange_interval: Duration,
    /// The interval between two attempts to reach failed members and missing seeds.
    pub rejoin_interval: Duration,
    /// How long dead members, and those that left, stay in the table.
    pub gone_retention: Duration,
    /// How long failed members stay in the table.
    pub failed_retention: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval: Duration::from_millis(500),
            gossip_interval: Duration::from_millis(100),
            suspicion_timeout: Duration::from_secs(10),
            pause_threshold: Duration::from_millis(1500),
            isolation_timeout: Duration::from_secs(2),
            exchange_interval: Duration::from_secs(15),
            rejoin_interval: Duration::from_secs(3),
            gone_retention: Duration::from_secs(60),
            failed_retention: Duration::from_secs(600),
        }
    }
}
