//! Scroll contexts: results that are held for further pages, bounded in number and bytes, each until it expires. It
//! knows nothing of how a result is made or paged.

use crate::policy::Time;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

struct Entry<T> {
    owner: String,
    value: Rc<T>,
    size: usize,
    expires_at: Time,
}

/// Scroll contexts by id, with results of type `T`.
pub struct ScrollContexts<T> {
    random: fastrand::Rng,
    max_contexts: usize,
    max_bytes: usize,
    bytes: usize,
    entries: HashMap<String, Entry<T>>,
}

/// No further scroll context can be created now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many results as may be are held")]
pub struct ScrollLimitReached;

impl<T> ScrollContexts<T> {
    /// No contexts, and the limits of their number and their bytes.
    #[must_use]
    pub fn new(random: fastrand::Rng, max_contexts: usize, max_bytes: usize) -> ScrollContexts<T> {
        ScrollContexts { random, max_contexts, max_bytes, bytes: 0, entries: HashMap::new() }
    }

    /// Holds a result for its owner and returns the id of its context. An existing context is never evicted for a new
    /// one.
    ///
    /// # Errors
    /// [`ScrollLimitReached`] where the number of contexts or their bytes would exceed the limits.
    pub fn create(
        &mut self,
        now: Time,
        owner: &str,
        keep_alive: Duration,
        value: T,
        size: usize,
    ) -> Result<String, ScrollLimitReached> {
        self.expire(now);
        if self.entries.len() >= self.max_contexts || self.bytes + size > self.max_bytes {
            return Err(ScrollLimitReached);
        }
        let id = format!("{:032x}", self.random.u128(..));
        let entry =
            Entry { owner: owner.to_owned(), value: Rc::new(value), size, expires_at: now.after(keep_alive) };
        self.bytes += size;
        self.entries.insert(id.clone(), entry);
        Ok(id)
    }

    /// The result of a context, whose expiry moves to `keep_alive` from now where that is given.
    pub fn get(&mut self, now: Time, id: &str, owner: &str, keep_alive: Option<Duration>) -> Option<Rc<T>> {
        self.expire(now);
        let entry = self.entries.get_mut(id).filter(|entry| entry.owner == owner)?;
        if let Some(keep_alive) = keep_alive {
            entry.expires_at = now.after(keep_alive);
        }
        Some(entry.value.clone())
    }

    /// Drops a context; returns false if there was none of this id and owner.
    pub fn clear(&mut self, now: Time, id: &str, owner: &str) -> bool {
        self.expire(now);
        let is_owned = self.entries.get(id).is_some_and(|entry| entry.owner == owner);
        if is_owned && let Some(entry) = self.entries.remove(id) {
            self.bytes -= entry.size;
        }
        is_owned
    }

    fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| {
            let is_alive = entry.expires_at > now;
            self.bytes -= if is_alive { 0 } else { entry.size };
            is_alive
        });
    }
}

#[cfg(test)]
mod tests;
