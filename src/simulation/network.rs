//! The simulated network: which addresses members have, and what the network does to datagrams.

use crate::policy::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The port at which every member receives.
const MEMBER_PORT: u16 = 7000;
/// The delay of a datagram, in microseconds.
const DELAY_US: std::ops::Range<u64> = 200..3_000;
/// The delay of a datagram that comes late, in microseconds.
const LATE_DELAY_US: std::ops::Range<u64> = 10_000..2_000_000;

/// The share of datagrams that each fault befalls, from 0 to 1. The outer names are the keys of experiment
/// files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkFaults {
    /// Lost datagrams.
    pub loss: f64,
    /// Datagrams that arrive twice.
    #[serde(rename = "twice")]
    pub duplicated: f64,
    /// Datagrams that arrive up to two seconds late.
    #[serde(rename = "late")]
    pub delayed: f64,
}

impl NetworkFaults {
    /// Whether every share lies between 0 and 1.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        [self.loss, self.duplicated, self.delayed].iter().all(|share| (0.0..=1.0).contains(share))
    }

    /// When each copy of a datagram that is sent now arrives; none if it is lost.
    pub(super) fn arrivals(&self, now: Time, random: &mut fastrand::Rng) -> Vec<Time> {
        let copies = 1 + usize::from(random.f64() < self.duplicated);
        let mut arrivals = Vec::with_capacity(copies);
        for _ in 0..copies {
            if random.f64() < self.loss {
                continue;
            }
            let is_late = random.f64() < self.delayed;
            let delay_us = random.u64(if is_late { LATE_DELAY_US } else { DELAY_US });
            arrivals.push(now.after(Duration::from_micros(delay_us)));
        }
        arrivals
    }
}

/// The direction from one member to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

/// What all members have sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub bytes: u64,
    /// Member updates in these datagrams.
    pub updates: u64,
}

/// The address of a member.
#[must_use]
pub fn address(id: usize) -> SocketAddr {
    ([127, 1, (id >> 8) as u8, id as u8], MEMBER_PORT).into()
}

/// The name of a member.
#[must_use]
pub fn name(id: usize) -> String {
    format!("gatherer-{id}")
}

/// The number of the member at an address; the reverse of [`address`].
pub(super) fn id_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

/// The number of the member of a name; the reverse of [`name`].
pub(super) fn id_of(name: &str) -> Option<usize> {
    name.rsplit('-').next()?.parse().ok()
}
