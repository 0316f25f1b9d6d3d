//! The times of the protocol, as settings may set them.

use std::time::Duration;

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two rounds of questions; the answer is due in it.
    pub period: Duration,
    /// Between two rounds of gossip, while there is news.
    pub gossip: Duration,
    /// From suspicion to burial.
    pub bury: Duration,
    /// A jump of the clock between two ticks from which this process stood still itself.
    pub stall: Duration,
    /// Time without a word from anybody after which this one is cut off itself.
    pub alone: Duration,
    /// Between two exchanges of whole tables.
    pub exchange: Duration,
    /// Between two attempts to find who was lost.
    pub again: Duration,
    /// How long the certainly dead are remembered, and those who fell silent.
    pub remember: (Duration, Duration),
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period: Duration::from_millis(500),
            gossip: Duration::from_millis(100),
            bury: Duration::from_secs(10),
            stall: Duration::from_millis(1500),
            alone: Duration::from_secs(2),
            exchange: Duration::from_secs(15),
            again: Duration::from_secs(3),
            remember: (Duration::from_secs(60), Duration::from_secs(600)),
        }
    }
}
