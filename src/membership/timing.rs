//! The times of the protocol, as settings may set them.

use std::time::Duration;

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two rounds of questions; the answer is due in it.
    pub probe_interval: Duration,
    /// Between two rounds of gossip, while there is news.
    pub gossip_interval: Duration,
    /// From suspicion to burial.
    pub suspicion_timeout: Duration,
    /// A jump of the clock between two ticks from which this process stood still itself.
    pub pause_threshold: Duration,
    /// Time without a word from anybody after which this one is cut off itself.
    pub isolation_timeout: Duration,
    /// Between two exchanges of whole tables.
    pub exchange_interval: Duration,
    /// Between two attempts to find who was lost.
    pub rejoin_interval: Duration,
    /// How long the certainly dead are remembered, and those who fell silent.
    pub remember: (Duration, Duration),
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
            remember: (Duration::from_secs(60), Duration::from_secs(600)),
        }
    }
}
