//! How long a client has waited already when one of its tries arrives. A retry belongs to the client's first
//! try, and the time in which an answer is wanted counts from there. Estimates only: nothing here refuses or
//! chooses.

use crate::policy::estimates::SAMPLE_WEIGHT;
use crate::policy::time::{seconds, span};
use crate::policy::{Class, ClassId, NewPart, NewQuery, Settings, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Tries that are remembered at most; the oldest are forgotten first.
const MOST_TRIES: usize = 4096;
/// Share by which two times left may differ and still count as the same.
const ALIKE: f64 = 0.02;
/// Part of the aim that an unmarked retry may come after the longest pause that clients were told.
const UNMARKED_SPAN: f64 = 1.25;

/// The time that most first tries of a class come with, and by how many tries it leads.
type Patience = (Duration, i32);

/// What a gatherer knows of its clients' retries.
#[derive(Debug, Default)]
pub struct ClientRetries {
    /// A request is remembered for so long after its last try.
    memory: Duration,
    /// The longest pause that clients are told; nought where they take no advice.
    longest_pause: Duration,
    patience: BTreeMap<ClassId, Patience>,
    /// Clients mark their retries.
    marked: bool,
    /// First and last try of each request, by its digest.
    requests: BTreeMap<u64, (Time, Time)>,
    /// All tries remembered, oldest first.
    tries: VecDeque<(Time, u64)>,
    /// Mean seconds from a first try to a retry, of those retries of which both came here.
    mean_wait: f64,
}

/// What is passed on to a successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KnownPatience {
    patience: Vec<(usize, Duration, i32)>,
    marked: bool,
    #[serde(default)]
    mean_wait: f64,
}

impl ClientRetries {
    /// For the classes and the advice of these settings.
    pub fn new(settings: &Settings) -> ClientRetries {
        ClientRetries {
            memory: settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            longest_pause: settings.max_retry_after.unwrap_or_default(),
            ..ClientRetries::default()
        }
    }

    /// Seconds for which the client of this query has waited before this try; nought for a first try. Of a
    /// marked retry that shows no shorter time left, and whose first try went to another gatherer, the mean
    /// is told.
    pub fn waited(&mut self, now: Time, query: &NewQuery, parts: &[&NewPart], class: &Class) -> f64 {
        self.forget(now);
        let left = query.valid_until.since(now);
        let spent = class.deadline.saturating_sub(left);
        let shortened = self.shortened(query, left);
        self.marked |= query.is_retry;
        // Unmarked, it could come a part of an aim after the longest pause; later means little patience.
        let in_reach = spent <= class.latency_objective.mul_f64(UNMARKED_SPAN) + self.longest_pause;
        let may_be_retry = query.is_retry || !self.marked && in_reach;
        let digest = digest(query, parts);
        let first = self.requests.get(&digest).map(|(first, _)| *first).filter(|_| query.is_retry);
        let waited = match first {
            _ if shortened && may_be_retry => seconds(spent),
            Some(first) => {
                let waited = seconds(now.since(first));
                self.mean_wait += SAMPLE_WEIGHT * (waited - self.mean_wait);
                waited
            }
            None if query.is_retry => self.mean_wait.min(seconds(spent)),
            None => 0.0,
        };
        let first = Time(now.0.saturating_sub(span(waited).as_nanos() as u64));
        self.requests.insert(digest, (first, now));
        self.tries.push_back((now, digest));
        waited
    }

    /// What it knows of its clients, for a successor.
    pub fn known(&self) -> KnownPatience {
        KnownPatience {
            patience: self.patience.iter().map(|(class, (left, lead))| (class.0, *left, *lead)).collect(),
            marked: self.marked,
            mean_wait: self.mean_wait,
        }
    }

    /// Takes over what a predecessor knew of its clients.
    pub fn take_over(&mut self, known: KnownPatience) {
        self.patience =
            known.patience.into_iter().map(|(class, left, lead)| (ClassId(class), (left, lead))).collect();
        (self.marked, self.mean_wait) = (known.marked, known.mean_wait);
    }

    /// Whether less time is left than the first tries of this class come with: a client's last try has what
    /// is left of its whole time.
    fn shortened(&mut self, query: &NewQuery, left: Duration) -> bool {
        let usual = self.patience.entry(query.class).or_insert((left, 0));
        let alike = left.abs_diff(usual.0) < left.mul_f64(ALIKE);
        if !query.is_retry {
            usual.1 += if alike { 1 } else { -1 };
            if usual.1 < 0 {
                *usual = (left, 0);
            }
        }
        !alike
    }

    /// Forgets requests whose last try is long ago, and the oldest of too many.
    fn forget(&mut self, now: Time) {
        while let Some((at, digest)) = self.tries.front().copied() {
            if now.since(at) <= self.memory && self.tries.len() < MOST_TRIES {
                return;
            }
            self.tries.pop_front();
            if self.requests.get(&digest).is_some_and(|(_, last)| *last == at) {
                self.requests.remove(&digest);
            }
        }
    }
}

/// What a retry has in common with its first try: who asks, and for what.
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
