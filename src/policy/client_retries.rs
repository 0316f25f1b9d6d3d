//! How long a client has waited already when one of its attempts arrives. A retry belongs to the client's
//! first attempt, and the latency objective counts from there. Estimates only: nothing here rejects or
//! chooses.

use crate::policy::estimates::SAMPLE_WEIGHT;
use crate::policy::time::{seconds, span};
use crate::policy::{Class, ClassId, NewPart, NewQuery, Settings, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Attempts that are remembered at most; the oldest are dropped first.
const MAX_REMEMBERED_ATTEMPTS: usize = 4096;
/// Share by which two times left may differ and still count as equal.
const TIME_LEFT_TOLERANCE: f64 = 0.02;
/// Latency objectives within which an unmarked retry may come after the longest `Retry-After`.
const UNMARKED_RETRY_OBJECTIVES: f64 = 1.25;

/// The time left that most first attempts of a class come with.
#[derive(Clone, Copy, Debug)]
struct UsualTimeLeft {
    time_left: Duration,
    /// By how many attempts it leads over others.
    lead: i32,
}

/// A client's request that was received once or more.
#[derive(Clone, Copy, Debug)]
struct KnownRequest {
    first_at: Time,
    last_at: Time,
}

/// What a gatherer knows of its clients' retries.
#[derive(Debug, Default)]
pub(super) struct ClientRetries {
    /// A request is remembered for so long after its last attempt.
    retention: Duration,
    /// The longest `Retry-After` that clients get; zero where they take no advice.
    max_retry_after: Duration,
    usual_time_left: BTreeMap<ClassId, UsualTimeLeft>,
    /// Clients mark their retries.
    retries_are_marked: bool,
    /// By digest.
    requests: BTreeMap<u64, KnownRequest>,
    /// All attempts remembered, with their request's digest, oldest first.
    attempts: VecDeque<(Time, u64)>,
    /// Mean seconds from a first attempt to a retry, of those retries of which both arrived here.
    mean_wait: f64,
}

/// What is handed over to a successor; its fields keep the names that the hand-over message has always had.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientRetriesSnapshot {
    /// Class, usual time left, lead.
    #[serde(rename = "patience")]
    usual_time_left: Vec<(usize, Duration, i32)>,
    #[serde(rename = "marked")]
    retries_are_marked: bool,
    /// Versions before it was learned do not send it.
    #[serde(default)]
    mean_wait: f64,
}

impl ClientRetries {
    /// For the classes and the advice of these settings.
    pub(super) fn new(settings: &Settings) -> ClientRetries {
        ClientRetries {
            retention: settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            max_retry_after: settings.max_retry_after.unwrap_or_default(),
            ..ClientRetries::default()
        }
    }

    /// Seconds for which the client of this query has waited before this attempt; zero for a first one. For a
    /// marked retry that shows no shorter time left, and whose first attempt went to another gatherer, it is
    /// the mean.
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
        let has_shortened_time = self.has_shortened_time(query, time_left);
        self.retries_are_marked |= query.is_retry;
        // An unmarked retry comes within the longest pause and a part of an objective; one that comes later
        // says little of the client.
        let is_within_retry_window =
            time_spent <= class.latency_objective.mul_f64(UNMARKED_RETRY_OBJECTIVES) + self.max_retry_after;
        let may_be_retry = query.is_retry || !self.retries_are_marked && is_within_retry_window;
        let digest = digest(query, parts);
        let first = self.requests.get(&digest).map(|request| request.first_at).filter(|_| query.is_retry);
        let waited = match first {
            _ if has_shortened_time && may_be_retry => seconds(time_spent),
            Some(first) => {
                let waited = seconds(now.since(first));
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

    /// What it knows of its clients, for a successor.
    pub(super) fn snapshot(&self) -> ClientRetriesSnapshot {
        let usual = self.usual_time_left.iter();
        ClientRetriesSnapshot {
            usual_time_left: usual.map(|(class, usual)| (class.0, usual.time_left, usual.lead)).collect(),
            retries_are_marked: self.retries_are_marked,
            mean_wait: self.mean_wait,
        }
    }

    /// Takes over what a predecessor knew of its clients.
    pub(super) fn restore(&mut self, snapshot: ClientRetriesSnapshot) {
        let usual = |(class, time_left, lead)| (ClassId(class), UsualTimeLeft { time_left, lead });
        self.usual_time_left = snapshot.usual_time_left.into_iter().map(usual).collect();
        self.retries_are_marked = snapshot.retries_are_marked;
        self.mean_wait = snapshot.mean_wait;
    }

    /// Whether less time is left than the first attempts of this class come with: a client's last attempt has
    /// what is left of its whole time.
    fn has_shortened_time(&mut self, query: &NewQuery, time_left: Duration) -> bool {
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

    /// Drops requests whose last attempt is long ago, and the oldest of too many.
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

/// A digest of what a retry has in common with its first attempt: who asks, and for what.
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
