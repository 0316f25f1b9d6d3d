//! The time constants of the membership protocol; an operator's file may set some of them.

use std::time::Duration;

/// Time constants of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two rounds of probes; a probe's answer is due within it.
    pub probe_interval: Duration,
    /// Between two rounds of gossip, while there are updates to pass on.
    pub gossip_interval: Duration,
    /// From a suspicion to the declaration of the member's death.
    pub suspicion_timeout: Duration,
    /// A gap between two ticks from which the local process itself was paused.
    pub pause_threshold: Duration,
    /// Time without any message after which this member takes itself for the one that is cut off.
    pub isolation_timeout: Duration,
    /// Between two exchanges of whole tables.
    pub exchange_interval: Duration,
    /// Between two attempts to reach failed members and missing seeds.
    pub rejoin_interval: Duration,
    /// How long dead members, and those that left, are remembered.
    pub gone_retention: Duration,
    /// How long failed members are remembered.
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
