//! Idempotency keys of queries that must not run twice: who may run, who joins, and what is on record.
//!
//! Only a key that this start issued and still holds ever runs, and it runs once. Whatever is unknown (issued
//! before a restart, by another gatherer, or past retention) is told so and runs nothing.

use crate::policy::Time;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::watch;

/// How many keys are held, how many bytes of outcomes, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyLimits {
    /// Keys.
    pub max_keys: usize,
    /// Bytes of recorded outcomes.
    pub max_bytes: usize,
    /// Time from issue, or from the outcome, until a key is forgotten.
    pub retention: Duration,
}

enum State<T> {
    Issued,
    Running { digest: u64, tell: watch::Sender<Option<T>> },
    Recorded { digest: u64, outcome: T, size: usize },
}

struct Entry<T> {
    owner: String,
    state: State<T>,
    at: Time,
}

/// What a request with a key is to do.
#[derive(Debug)]
pub enum KeyClaim<T> {
    /// Run, and [`IdempotencyStore::finish`]; wait for the outcome like those who join.
    Run(watch::Receiver<Option<T>>),
    /// Wait for the outcome of the one that runs.
    Join(watch::Receiver<Option<T>>),
    /// Give this answer again.
    Recorded(T),
    /// The key belongs to another request.
    Mismatch,
    /// Nothing is known of the key: run nothing.
    Unknown,
}

/// No further key can be held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many idempotency keys as may be are held")]
pub struct KeyLimitReached;

/// The keys of one gatherer's start.
pub struct IdempotencyStore<T> {
    start: String,
    random: fastrand::Rng,
    bounds: IdempotencyLimits,
    entries: HashMap<String, Entry<T>>,
    bytes: usize,
}

impl<T: Clone> IdempotencyStore<T> {
    /// No keys yet. `start` names this gatherer's start, and no other one ever.
    pub fn new(start: String, random: fastrand::Rng, bounds: IdempotencyLimits) -> IdempotencyStore<T> {
        IdempotencyStore { start, random, bounds, entries: HashMap::new(), bytes: 0 }
    }

    /// The start that its keys name.
    pub fn incarnation(&self) -> &str {
        &self.start
    }

    /// Issues a key to its owner.
    pub fn issue(&mut self, now: Time, owner: &str) -> Result<String, KeyLimitReached> {
        self.expire(now);
        if self.entries.len() >= self.bounds.max_keys {
            return Err(KeyLimitReached);
        }
        let key = format!("{}-{:032x}", self.start, self.random.u128(..));
        self.entries.insert(key.clone(), Entry { owner: owner.to_owned(), state: State::Issued, at: now });
        Ok(key)
    }

    /// Claims a key for a request with this digest.
    pub fn claim(&mut self, now: Time, key: &str, owner: &str, digest: u64) -> KeyClaim<T> {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.owner == owner) else {
            return KeyClaim::Unknown;
        };
        match &entry.state {
            State::Issued => {
                let (tell, told) = watch::channel(None);
                entry.state = State::Running { digest, tell };
                KeyClaim::Run(told)
            }
            State::Running { digest: first, .. } | State::Recorded { digest: first, .. }
                if *first != digest =>
            {
                KeyClaim::Mismatch
            }
            State::Running { tell, .. } => KeyClaim::Join(tell.subscribe()),
            State::Recorded { outcome, .. } => KeyClaim::Recorded(outcome.clone()),
        }
    }

    /// Ends the run of a key. An outcome of which nothing has run goes to those who joined, and the key may run
    /// again; any other is kept.
    pub fn finish(&mut self, now: Time, key: &str, outcome: T, size: usize, ran: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let State::Running { digest, tell } = &entry.state else { return };
        let digest = *digest;
        tell.send_replace(Some(outcome.clone()));
        entry.at = now;
        entry.state = if ran {
            self.bytes += size;
            State::Recorded { digest, outcome, size }
        } else {
            State::Issued
        };
        while self.bytes > self.bounds.max_bytes {
            let recorded =
                self.entries.iter().filter(|(_, entry)| matches!(entry.state, State::Recorded { .. }));
            let Some(oldest) = recorded.min_by_key(|(_, entry)| entry.at).map(|(key, _)| key.clone()) else {
                return;
            };
            self.forget(&oldest);
        }
    }

    fn forget(&mut self, key: &str) {
        if let Some(Entry { state: State::Recorded { size, .. }, .. }) = self.entries.remove(key) {
            self.bytes -= size;
        }
    }

    fn expire(&mut self, now: Time) {
        let old = |entry: &Entry<T>| {
            !matches!(entry.state, State::Running { .. }) && now.since(entry.at) >= self.bounds.retention
        };
        let old: Vec<String> =
            self.entries.iter().filter(|(_, e)| old(e)).map(|(key, _)| key.clone()).collect();
        old.iter().for_each(|key| self.forget(key));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn store(start: &str) -> IdempotencyStore<&'static str> {
        let bounds = IdempotencyLimits { max_keys: 2, max_bytes: 10, retention: Duration::from_secs(60) };
        IdempotencyStore::new(start.to_owned(), fastrand::Rng::with_seed(7), bounds)
    }

    #[test]
    fn a_key_runs_once_and_then_gives_what_is_on_record() {
        let mut store = store("a");
        let key = store.issue(Time(0), "bank").expect("there is room");
        assert!(matches!(store.claim(Time(0), &key, "notary", 1), KeyClaim::Unknown));
        assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Run(_)));
        assert!(matches!(store.claim(Time(0), &key, "bank", 2), KeyClaim::Mismatch));
        let KeyClaim::Join(told) = store.claim(Time(0), &key, "bank", 1) else { panic!("it runs") };
        store.finish(Time(0), &key, "sealed", 6, true);
        assert_eq!(*told.borrow(), Some("sealed"));
        assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Recorded("sealed")));
    }

    #[test]
    fn an_unknown_outcome_never_runs() {
        // Guards against a second run after a restart, at another gatherer, past retention or for want of room.
        let (mut before, mut after) = (store("a"), store("b"));
        let key = before.issue(Time(0), "bank").expect("there is room");
        assert!(matches!(after.claim(Time(0), &key, "bank", 1), KeyClaim::Unknown));
        assert!(matches!(before.claim(Time(60_000_000_000), &key, "bank", 1), KeyClaim::Unknown));
        let now = Time(70_000_000_000);
        let keys =
            [before.issue(now, "bank"), before.issue(now, "bank")].map(|key| key.expect("there is room"));
        assert_eq!(before.issue(now, "bank"), Err(KeyLimitReached));
        for (at, key) in keys.iter().enumerate() {
            assert!(matches!(before.claim(now, key, "bank", 1), KeyClaim::Run(_)));
            before.finish(Time(now.0 + at as u64), key, "sealed", 6, true);
        }
        assert!(matches!(before.claim(now, &keys[0], "bank", 1), KeyClaim::Unknown));
        assert!(matches!(before.claim(now, &keys[1], "bank", 1), KeyClaim::Recorded("sealed")));
    }

    #[test]
    fn a_refused_run_leaves_its_key_for_another_try() {
        let mut store = store("a");
        let key = store.issue(Time(0), "bank").expect("there is room");
        assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Run(_)));
        store.finish(Time(0), &key, "refused", 7, false);
        assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Run(_)));
    }
}
