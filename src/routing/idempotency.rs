//! Idempotency keys of queries that must not run twice: which request runs, which ones await its response, and which
//! responses are cached.
//!
//! Only a key that this incarnation issued and still holds ever runs, and it runs once. A request with an unknown key
//! (issued before a restart, by another gatherer, or past its retention) is answered so and never runs.

use crate::policy::Time;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::watch;

/// Bounds of an [`IdempotencyStore`].
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyLimits {
    /// Keys held at once.
    pub max_keys: usize,
    /// Bytes of cached responses.
    pub max_bytes: usize,
    /// Time from a key's issue, or from its response, until the key is forgotten.
    pub retention: Duration,
}

enum KeyState<T> {
    Issued,
    Running { digest: u64, sender: watch::Sender<Option<T>> },
    Recorded { digest: u64, response: T, size: usize },
}

struct Entry<T> {
    owner: String,
    state: KeyState<T>,
    /// When the key was issued or, once there is a response, when that was recorded.
    updated_at: Time,
}

/// What a request with a key is to do.
#[derive(Debug)]
pub enum KeyClaim<T> {
    /// Run, and report the response by [`IdempotencyStore::finish`]; the receiver yields it as to those who join.
    Run(watch::Receiver<Option<T>>),
    /// Wait for the response of the request that runs.
    Join(watch::Receiver<Option<T>>),
    /// Return this cached response.
    Recorded(T),
    /// The key belongs to another request.
    Mismatch,
    /// The key is unknown: do not run.
    Unknown,
}

/// No further key can be issued now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many idempotency keys as may be are held")]
pub struct KeyLimitReached;

/// The keys of one incarnation of a gatherer, with the responses of type `T`.
pub struct IdempotencyStore<T> {
    incarnation: String,
    random: fastrand::Rng,
    limits: IdempotencyLimits,
    entries: HashMap<String, Entry<T>>,
    /// Bytes of cached responses.
    cached_bytes: usize,
}

impl<T: Clone> IdempotencyStore<T> {
    /// A store without keys. `incarnation` names this incarnation of the gatherer and never any other.
    #[must_use]
    pub fn new(incarnation: String, random: fastrand::Rng, limits: IdempotencyLimits) -> IdempotencyStore<T> {
        IdempotencyStore { incarnation, random, limits, entries: HashMap::new(), cached_bytes: 0 }
    }

    /// The incarnation that its keys name.
    #[must_use]
    pub fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Issues a key to its owner.
    ///
    /// # Errors
    /// [`KeyLimitReached`] where as many keys as may be are held.
    pub fn issue(&mut self, now: Time, owner: &str) -> Result<String, KeyLimitReached> {
        self.expire(now);
        if self.entries.len() >= self.limits.max_keys {
            return Err(KeyLimitReached);
        }
        let key = format!("{}-{:032x}", self.incarnation, self.random.u128(..));
        self.entries
            .insert(key.clone(), Entry { owner: owner.to_owned(), state: KeyState::Issued, updated_at: now });
        Ok(key)
    }

    /// Claims a key for a request of this owner and digest.
    pub fn claim(&mut self, now: Time, key: &str, owner: &str, digest: u64) -> KeyClaim<T> {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.owner == owner) else {
            return KeyClaim::Unknown;
        };
        match &entry.state {
            KeyState::Issued => {
                let (sender, receiver) = watch::channel(None);
                entry.state = KeyState::Running { digest, sender };
                KeyClaim::Run(receiver)
            }
            KeyState::Running { digest: first, .. } | KeyState::Recorded { digest: first, .. }
                if *first != digest =>
            {
                KeyClaim::Mismatch
            }
            KeyState::Running { sender, .. } => KeyClaim::Join(sender.subscribe()),
            KeyState::Recorded { response, .. } => KeyClaim::Recorded(response.clone()),
        }
    }

    /// Ends the run of a key: its response goes to all that joined. Where `may_have_run`, the response is cached and the
    /// key never runs again; otherwise the key may be claimed to run once more.
    pub fn finish(&mut self, now: Time, key: &str, response: T, size: usize, may_have_run: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let KeyState::Running { digest, sender } = &entry.state else { return };
        let digest = *digest;
        sender.send_replace(Some(response.clone()));
        entry.updated_at = now;
        entry.state = if may_have_run {
            self.cached_bytes += size;
            KeyState::Recorded { digest, response, size }
        } else {
            KeyState::Issued
        };
        while self.cached_bytes > self.limits.max_bytes {
            let recorded =
                self.entries.iter().filter(|(_, entry)| matches!(entry.state, KeyState::Recorded { .. }));
            let Some(oldest) = recorded.min_by_key(|(_, entry)| entry.updated_at).map(|(key, _)| key.clone())
            else {
                return;
            };
            self.forget(&oldest);
        }
    }

    fn forget(&mut self, key: &str) {
        if let Some(Entry { state: KeyState::Recorded { size, .. }, .. }) = self.entries.remove(key) {
            self.cached_bytes -= size;
        }
    }

    fn expire(&mut self, now: Time) {
        let is_expired = |entry: &Entry<T>| {
            !matches!(entry.state, KeyState::Running { .. })
                && now.since(entry.updated_at) >= self.limits.retention
        };
        let expired: Vec<String> =
            self.entries.iter().filter(|(_, entry)| is_expired(entry)).map(|(key, _)| key.clone()).collect();
        expired.iter().for_each(|key| self.forget(key));
    }
}

#[cfg(test)]
mod tests;
