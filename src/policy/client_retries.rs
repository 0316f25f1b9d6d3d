//! Detection of client retries: how long a client has already waited when one of its attempts arrives. The
//! latency objective counts from the client's first attempt. This file only estimates the time; admission
//! decides what follows from it.

use crate::policy::estimates::SAMPLE_WEIGHT;
use crate::policy::time::{seconds, span};
use crate::policy::{Class, ClassId, NewPart, NewQuery, Settings, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Upper bound of remembered attempts; the oldest are dropped first.
const MAX_REMEMBERED_ATTEMPTS: usize = 4096;
/// Relative difference below which two times left count as equal.
const TIME_LEFT_TOLERANCE: f64 = 0.02;
/// An unmarked attempt may be a retry up to this many latency objectives plus the longest `Retry-After`,
/// after the first attempt.
const UNMARKED_RETRY_OBJECTIVES: f64 = 1.25;

/// The time left with which the majority of a class's first attempts arrive (Boyer-Moore majority vote).
#[derive(Clone, Copy, Debug)]
struct UsualTimeLeft {
    time_left: Duration,
    /// Votes for this time left, less the votes against it.
    lead: i32,
}

/// A client's request of which at least one attempt was received.
#[derive(Clone, Copy, Debug)]
struct KnownRequest {
    /// When the first attempt was sent, as estimated.
    first_at: Time,
    /// When the last attempt was received.
    last_at: Time,
}

/// The recent attempts of clients, and what was learned about their retries.
#[derive(Debug, Default)]
pub(super) struct ClientRetries {
    /// The time for which a request is remembered after its last attempt: the longest deadline of any
    /// class.
    retention: Duration,
    /// The longest `Retry-After` that clients get; zero where they don't follow it.
    max_retry_after: Duration,
    usual_time_left: BTreeMap<ClassId, UsualTimeLeft>,
    /// Whether any retry has been marked as such by its client.
    retries_are_marked: bool,
    /// The remembered requests by their digest.
    requests: BTreeMap<u64, KnownRequest>,
    /// The times of all remembered attempts and the digests of their requests, oldest first.
    attempts: VecDeque<(Time, u64)>,
    /// Running mean of the seconds from a first attempt to its retry, where both arrived at this gatherer.
    mean_wait: f64,
}

/// The part of [`ClientRetries`] that is handed over to a successor in a hot restart. The serialised names
/// of the fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientRetriesSnapshot {
    /// For each class: its index, the usual time left, and the lead of its votes.
    #[serde(rename = "patience")]
    usual_time_left: Vec<(usize, Duration, i32)>,
    #[serde(rename = "marked")]
    retries_are_marked: bool,
    /// The default is for older versions, which do not send the field.
    #[serde(default)]
    mean_wait: f64,
}

impl ClientRetries {
    /// Creates an empty record for the classes and the `Retry-After` of these settings.
    pub(super) fn new(settings: &Settings) -> ClientRetries {
        ClientRetries {
            retention: settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            max_retry_after: settings.max_retry_after.unwrap_or_default(),
            ..ClientRetries::default()
        }
    }

    /// Records an attempt of a client and returns the seconds that the client has waited before it; zero
    /// for a first attempt. For a marked retry with its whole time left whose first attempt went to another
    /// gatherer, the mean wait is returned, but at most the time spent.
    pub(super) fn record_attempt(
        &mut self,
        now: Time,
        query: &NewQuery,
        parts: &[&NewPart],
        class: &Class,
    ) -> f64 {
        self.expire(now);
        let time_left = query.valid_until.since(now);
        let time_spent = class.deadline.saturating_sub(time_left);
        let has_unusual_time_left = self.record_time_left(query, time_left);
        self.retries_are_marked |= query.is_retry;
        // An unmarked retry is expected within the longest `Retry-After` and a multiple of the objective.
        // If more of the deadline is spent, the client's time-out is probably just shorter than the
        // deadline.
        let is_within_retry_window =
            time_spent <= class.latency_objective.mul_f64(UNMARKED_RETRY_OBJECTIVES) + self.max_retry_after;
        let may_be_retry = query.is_retry || !self.retries_are_marked && is_within_retry_window;
        let digest = digest(query, parts);
        let first_attempt_at =
            self.requests.get(&digest).map(|request| request.first_at).filter(|_| query.is_retry);
        let waited = match first_attempt_at {
            _ if has_unusual_time_left && may_be_retry => seconds(time_spent),
            Some(first_attempt_at) => {
                let waited = seconds(now.since(first_attempt_at));
                self.mean_wait += SAMPLE_WEIGHT * (waited - self.mean_wait);
                waited
            }
            None if query.is_retry => self.mean_wait.min(seconds(time_spent)),
            None => 0.0,
        };
        let first_at = Time(now.0.saturating_sub(span(waited).as_nanos() as u64));
        self.requests.insert(digest, KnownRequest { first_at, last_at: now });
        self.attempts.push_back((now, digest));
        waited
    }

    /// The state to hand over to a successor.
    pub(super) fn snapshot(&self) -> ClientRetriesSnapshot {
        let entries = self.usual_time_left.iter();
        ClientRetriesSnapshot {
            usual_time_left: entries.map(|(class, usual)| (class.0, usual.time_left, usual.lead)).collect(),
            retries_are_marked: self.retries_are_marked,
            mean_wait: self.mean_wait,
        }
    }

    /// Takes over the state of a predecessor.
    pub(super) fn restore(&mut self, snapshot: ClientRetriesSnapshot) {
        let entry = |(class, time_left, lead)| (ClassId(class), UsualTimeLeft { time_left, lead });
        self.usual_time_left = snapshot.usual_time_left.into_iter().map(entry).collect();
        self.retries_are_marked = snapshot.retries_are_marked;
        self.mean_wait = snapshot.mean_wait;
    }

    /// Counts the time left of a first attempt, and returns whether the time left of this attempt differs
    /// from the one with which most first attempts of its class arrive. A client's last attempt has less,
    /// because the client's whole time is limited.
    fn record_time_left(&mut self, query: &NewQuery, time_left: Duration) -> bool {
        let usual = self.usual_time_left.entry(query.class).or_insert(UsualTimeLeft { time_left, lead: 0 });
        let is_usual = time_left.abs_diff(usual.time_left) < time_left.mul_f64(TIME_LEFT_TOLERANCE);
        if !query.is_retry {
            usual.lead += if is_usual { 1 } else { -1 };
            if usual.lead < 0 {
                *usual = UsualTimeLeft { time_left, lead: 0 };
            }
        }
        !is_usual
    }

    /// Drops attempts that are past the retention or above the limit, and the requests of which they were
    /// the last attempt.
    fn expire(&mut self, now: Time) {
        while let Some((at, digest)) = self.attempts.front().copied() {
            if now.since(at) <= self.retention && self.attempts.len() < MAX_REMEMBERED_ATTEMPTS {
                return;
            }
            self.attempts.pop_front();
            if self.requests.get(&digest).is_some_and(|request| request.last_at == at) {
                self.requests.remove(&digest);
            }
        }
    }
}

/// A digest of what a retry has in common with its first attempt: class, tenant, and the shards, weights,
/// cost hints and keys of the parts.
fn digest(query: &NewQuery, parts: &[&NewPart]) -> u64 {
    let mut hash = Xxh3::new();
    let mut add = |value: u64| hash.update(&value.to_le_bytes());
    add(query.class.0 as u64);
    add(query.tenant.map_or(u64::MAX, |tenant| tenant.0 as u64));
    for part in parts {
        add(u64::from(part.shard.0));
        add(part.weight.to_bits());
        add(part.cost_hint.map_or(u64::MAX, |hint| hint.as_nanos() as u64));
    }
    let keys = parts.iter().filter_map(|part| part.key.as_deref());
    keys.for_each(|key| hash.update(key.as_bytes()));
    hash.digest()
}
