//! Scroll contexts: search results that are kept for further pages, each until it expires. Their number and total size
//! are bounded. This module neither creates nor pages the results.

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
    total_bytes: usize,
    entries: HashMap<String, Entry<T>>,
}

/// The limit of the contexts' number or total size is reached. The message goes out in an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many results as may be are held")]
pub struct ScrollLimitReached;

impl<T> ScrollContexts<T> {
    /// Creates an empty store for at most `max_contexts` contexts and `max_bytes` bytes of results.
    #[must_use]
    pub fn new(random: fastrand::Rng, max_contexts: usize, max_bytes: usize) -> ScrollContexts<T> {
        ScrollContexts { random, max_contexts, max_bytes, total_bytes: 0, entries: HashMap::new() }
    }

    /// Stores a result of `size` bytes for its owner. Returns the id of the new context, and the result. No existing
    /// context is evicted for it.
    ///
    /// # Errors
    /// [`ScrollLimitReached`] if the new context would exceed `max_contexts` or `max_bytes`.
    pub fn create(
        &mut self,
        now: Time,
        owner: &str,
        keep_alive: Duration,
        value: T,
        size: usize,
    ) -> Result<(String, Rc<T>), ScrollLimitReached> {
        self.expire(now);
        if self.entries.len() >= self.max_contexts || self.total_bytes + size > self.max_bytes {
            return Err(ScrollLimitReached);
        }
        let id = format!("{:032x}", self.random.u128(..));
        let value = Rc::new(value);
        let entry =
            Entry { owner: owner.to_owned(), value: value.clone(), size, expires_at: now.after(keep_alive) };
        self.total_bytes += size;
        self.entries.insert(id.clone(), entry);
        Ok((id, value))
    }

    /// Returns the result of a context of this owner. If `keep_alive` is given, the context expires that long after
    /// now.
    pub fn get(&mut self, now: Time, id: &str, owner: &str, keep_alive: Option<Duration>) -> Option<Rc<T>> {
        self.expire(now);
        let entry = self.entries.get_mut(id).filter(|entry| entry.owner == owner)?;
        if let Some(keep_alive) = keep_alive {
            entry.expires_at = now.after(keep_alive);
        }
        Some(entry.value.clone())
    }

    /// Drops a context. Returns false if the owner has no context with this id.
    pub fn clear(&mut self, now: Time, id: &str, owner: &str) -> bool {
        self.expire(now);
        let is_owned = self.entries.get(id).is_some_and(|entry| entry.owner == owner);
        if is_owned && let Some(entry) = self.entries.remove(id) {
            self.total_bytes -= entry.size;
        }
        is_owned
    }

    fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| {
            let is_alive = entry.expires_at > now;
            self.total_bytes -= if is_alive { 0 } else { entry.size };
            is_alive
        });
    }
}

#[cfg(test)]
mod tests;
