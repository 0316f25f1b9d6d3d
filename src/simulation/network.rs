//! The simulated network: the members' names and addresses, and the loss, duplication and delay of datagrams.

use crate::policy::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The port of every member; the members' IP addresses differ.
const MEMBER_PORT: u16 = 7000;
/// The delay of a datagram without a fault, in microseconds.
const DELAY_US: std::ops::Range<u64> = 200..3_000;
/// The delay of a datagram that [`NetworkFaults::delayed`] applies to, in microseconds.
const LATE_DELAY_US: std::ops::Range<u64> = 10_000..2_000_000;

/// The fraction of datagrams that each fault applies to, from 0 to 1. The serialized names are the keys of
/// experiment files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkFaults {
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that arrive twice.
    #[serde(rename = "twice")]
    pub duplicated: f64,
    /// The fraction of datagrams that arrive up to two seconds late.
    #[serde(rename = "late")]
    pub delayed: f64,
}

impl NetworkFaults {
    /// Whether every fraction is between 0 and 1.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        [self.loss, self.duplicated, self.delayed].iter().all(|fraction| (0.0..=1.0).contains(fraction))
    }

    /// The arrival times of the copies of a datagram that is sent at `now`; empty if all copies are lost.
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

/// A one-way network path from one member to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The number of the sender.
    pub from: usize,
    /// The number of the receiver.
    pub to: usize,
}

/// The totals of the traffic that all members have sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The total size of these datagrams, in bytes.
    pub bytes: u64,
    /// The number of member updates in these datagrams.
    pub updates: u64,
}

/// The address of the member with this number.
#[must_use]
pub fn address(id: usize) -> SocketAddr {
    ([127, 1, (id >> 8) as u8, id as u8], MEMBER_PORT).into()
}

/// The name of the member with this number.
#[must_use]
pub fn name(id: usize) -> String {
    format!("gatherer-{id}")
}

/// The number of the member at an address; the inverse of [`address`].
pub(super) fn id_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

/// The number of the member with a name; the inverse of [`name`].
pub(super) fn id_of(name: &str) -> Option<usize> {
    name.rsplit('-').next()?.parse().ok()
}
