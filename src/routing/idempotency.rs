//! Idempotency keys for queries that must not run twice. The store decides whether a request runs, waits for the
//! response of one that runs, or receives a cached response.
//!
//! A request runs only with a key that this incarnation issued and still holds. An unknown key (issued before a
//! restart, by another gatherer, or past its retention) is reported as [`KeyClaim::Unknown`] and its request never
//! runs.

use crate::policy::Time;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::watch;

/// Limits of an [`IdempotencyStore`].
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyLimits {
    /// Maximum number of keys held at once.
    pub max_keys: usize,
    /// Maximum size of all cached responses, in bytes.
    pub max_bytes: usize,
    /// Time from a key's issue, or from its response, until the key expires. A running key does not expire.
    pub retention: Duration,
}

enum KeyState<T> {
    /// No request has run with the key yet.
    Issued,
    /// A request runs; `digest` identifies its content.
    Running { digest: u64, sender: watch::Sender<Option<T>> },
    /// The response is cached.
    Cached { digest: u64, response: T, size: usize },
}

struct Entry<T> {
    owner: String,
    state: KeyState<T>,
    /// Time of the key's issue or, after a run, of its response.
    updated_at: Time,
}

/// Result of a claim: how the request with the key is to be handled.
#[derive(Debug)]
pub enum KeyClaim<T> {
    /// Run the request and pass its response to [`IdempotencyStore::finish`]; the receiver yields it too.
    Run(watch::Receiver<Option<T>>),
    /// Wait for the response of the request that already runs with the key.
    Join(watch::Receiver<Option<T>>),
    /// Return this cached response.
    Cached(T),
    /// The key was claimed for a request with another digest.
    Mismatch,
    /// The key is unknown or belongs to another owner: do not run.
    Unknown,
}

/// Whether a finished request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No part of the request ran, so its key may be used for another run.
    NotExecuted,
    /// The request ran, or may have run in part.
    MayHaveRun,
}

/// The limit of [`IdempotencyLimits::max_keys`] is reached. The message goes out in an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many idempotency keys as may be are held")]
pub struct KeyLimitReached;

/// Idempotency keys of one incarnation of a gatherer, with responses of type `T`.
pub struct IdempotencyStore<T> {
    incarnation: String,
    random: fastrand::Rng,
    limits: IdempotencyLimits,
    entries: HashMap<String, Entry<T>>,
    /// Size of all cached responses, in bytes.
    cached_bytes: usize,
}

impl<T: Clone> IdempotencyStore<T> {
    /// Creates a store without keys. `incarnation` must be unique among all gatherers and restarts.
    #[must_use]
    pub fn new(incarnation: String, random: fastrand::Rng, limits: IdempotencyLimits) -> IdempotencyStore<T> {
        IdempotencyStore { incarnation, random, limits, entries: HashMap::new(), cached_bytes: 0 }
    }

    /// Returns the incarnation, which is the prefix of every key that the store issues.
    #[must_use]
    pub fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Issues a key that only `owner` can claim.
    ///
    /// # Errors
    /// [`KeyLimitReached`] if the store holds `max_keys` keys that have not expired.
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

    /// Whether `owner` can claim a key with which no request runs or has run.
    pub fn is_unclaimed(&mut self, now: Time, key: &str, owner: &str) -> bool {
        self.expire(now);
        let entry = self.entries.get(key).filter(|entry| entry.owner == owner);
        entry.is_some_and(|entry| matches!(entry.state, KeyState::Issued))
    }

    /// Claims a key for a request of `owner`; `digest` identifies the request's content.
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
            KeyState::Running { digest: first_digest, .. }
            | KeyState::Cached { digest: first_digest, .. }
                if *first_digest != digest =>
            {
                KeyClaim::Mismatch
            }
            KeyState::Running { sender, .. } => KeyClaim::Join(sender.subscribe()),
            KeyState::Cached { response, .. } => KeyClaim::Cached(response.clone()),
        }
    }

    /// Ends the run of a key and sends the response to all requests that joined it. If the request may have run, the
    /// response is cached and the key never runs again; otherwise the key can be claimed for another run. If the
    /// cached responses exceed `max_bytes`, the oldest are dropped together with their keys; a response that is larger
    /// by itself is dropped with its key, and no other.
    pub fn finish(&mut self, now: Time, key: &str, response: T, size: usize, execution: Execution) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let KeyState::Running { digest, sender } = &entry.state else { return };
        let digest = *digest;
        sender.send_replace(Some(response.clone()));
        entry.updated_at = now;
        entry.state = match execution {
            Execution::MayHaveRun => {
                self.cached_bytes += size;
                KeyState::Cached { digest, response, size }
            }
            Execution::NotExecuted => KeyState::Issued,
        };
        if size > self.limits.max_bytes {
            self.forget(key);
        }
        while self.cached_bytes > self.limits.max_bytes {
            let cached =
                self.entries.iter().filter(|(_, entry)| matches!(entry.state, KeyState::Cached { .. }));
            let Some(oldest) = cached.min_by_key(|(_, entry)| entry.updated_at).map(|(key, _)| key.clone())
            else {
                return;
            };
            self.forget(&oldest);
        }
    }

    fn forget(&mut self, key: &str) {
        if let Some(Entry { state: KeyState::Cached { size, .. }, .. }) = self.entries.remove(key) {
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
