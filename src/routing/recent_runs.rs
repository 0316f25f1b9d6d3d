//! The labels of queries that may not run twice and have, or may have, run: a query that comes again with one of them
//! must not be sent.
//!
//! Owns hashes of the labels, bounded in number and in time. Does not decide what a front answers.

use crate::policy::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// Time for which a label is remembered after its query has ended.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of labels. Beyond it, the oldest is forgotten.
const MAX_LABELS: usize = 1 << 16;

/// Labels of queries that have ended and may have run.
#[derive(Debug, Default)]
pub(super) struct RecentRuns {
    /// Hashes of labels in the order of their queries' ends.
    by_end: VecDeque<(Time, u128)>,
    /// When the last query of each label ended.
    ended_at: HashMap<u128, Time>,
}

impl RecentRuns {
    /// Remembers a label whose query has ended.
    pub fn insert(&mut self, now: Time, label: &str) {
        let is_expired = |(ended_at, _): &(Time, u128)| now.since(*ended_at) >= RETENTION;
        while self.by_end.len() >= MAX_LABELS || self.by_end.front().is_some_and(is_expired) {
            let Some((ended_at, hash)) = self.by_end.pop_front() else { break };
            if self.ended_at.get(&hash) == Some(&ended_at) {
                self.ended_at.remove(&hash);
            }
        }
        let hash = xxh3_128(label.as_bytes());
        self.by_end.push_back((now, hash));
        self.ended_at.insert(hash, now);
    }

    /// Whether a query with this label may have run lately.
    pub fn contains(&self, now: Time, label: &str) -> bool {
        let ended_at = self.ended_at.get(&xxh3_128(label.as_bytes()));
        ended_at.is_some_and(|ended_at| now.since(*ended_at) < RETENTION)
    }
}

#[cfg(test)]
mod tests;
