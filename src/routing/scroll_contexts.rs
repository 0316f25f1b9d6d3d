//! Scroll contexts: search results that are kept for further pages, each until it expires. Their number and total size
//! are bounded. This module neither creates nor pages the results.
//!
//! A search reserves capacity before any of it runs, so that one that must not run twice can be rejected while nothing
//! has run. A part of the capacity is kept for such searches.

use crate::policy::{Idempotency, Time};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Fraction of the contexts and of the bytes that is kept for searches that must not run twice, as a divisor.
const KEPT_DIVISOR: usize = 4;

/// Limits of a [`ScrollContexts`].
#[derive(Clone, Copy, Debug)]
pub struct ScrollLimits {
    /// Maximum number of contexts.
    pub max_contexts: usize,
    /// Maximum size of all results, in bytes.
    pub max_bytes: usize,
    /// Whether a part is kept for searches that must not run twice.
    pub keeps_part: bool,
}

impl ScrollLimits {
    /// The part that is kept for searches that must not run twice.
    fn kept(self) -> Usage {
        let part = |max: usize| if self.keeps_part { max / KEPT_DIVISOR } else { 0 };
        Usage { contexts: part(self.max_contexts), bytes: part(self.max_bytes) }
    }

    /// The size for which a search that must not run twice reserves memory if its result may have this many bytes. A
    /// larger result finds memory only if enough is free.
    fn reserved_bytes(self, max_result_bytes: usize) -> usize {
        max_result_bytes.min(self.kept().bytes)
    }
}

/// Number of contexts and bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    contexts: usize,
    bytes: usize,
}

impl Usage {
    fn add(&mut self, other: Usage) {
        self.contexts += other.contexts;
        self.bytes += other.bytes;
    }

    fn subtract(&mut self, other: Usage) {
        self.contexts -= other.contexts;
        self.bytes -= other.bytes;
    }

    fn plus(mut self, other: Usage) -> Usage {
        self.add(other);
        self
    }

    /// Whether both numbers are at most those of `limit`.
    fn is_within(self, limit: Usage) -> bool {
        self.contexts <= limit.contexts && self.bytes <= limit.bytes
    }
}

/// What the searches of one kind hold.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Contexts, and the results in them.
    held: Usage,
    /// What is reserved for searches that run.
    reserved: Usage,
}

impl Share {
    fn used(self) -> Usage {
        self.held.plus(self.reserved)
    }
}

/// Capacity that is reserved for the result of one search. It is given back by [`ScrollContexts::create`] or
/// [`ScrollContexts::release`].
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    usage: Usage,
    at_most_once: bool,
}

/// Why capacity cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The contexts leave too little.
    Full,
    /// The contexts leave enough, but searches that run have reserved it. They may need less.
    Reserved,
}

struct Entry<T> {
    owner: String,
    value: Rc<T>,
    size: usize,
    at_most_once: bool,
    expires_at: Time,
}

/// Scroll contexts by id, with results of type `T`.
pub struct ScrollContexts<T> {
    random: fastrand::Rng,
    limits: ScrollLimits,
    idempotent: Share,
    at_most_once: Share,
    entries: HashMap<String, Entry<T>>,
}

/// The limit of the contexts' number or total size is reached. The message goes out in an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many results as may be are held")]
pub struct ScrollLimitReached;

impl<T> ScrollContexts<T> {
    /// Creates an empty store.
    #[must_use]
    pub fn new(random: fastrand::Rng, limits: ScrollLimits) -> ScrollContexts<T> {
        ScrollContexts {
            random,
            limits,
            idempotent: Share::default(),
            at_most_once: Share::default(),
            entries: HashMap::new(),
        }
    }

    /// Reserves capacity for a search whose result has at most `max_result_bytes`. A search that may run again reserves
    /// a context without memory: its result is stored if it fits by then.
    ///
    /// # Errors
    /// Too little is free.
    pub fn reserve(
        &mut self,
        now: Time,
        idempotency: Idempotency,
        max_result_bytes: usize,
    ) -> Result<Reservation, ReserveError> {
        self.expire(now);
        let at_most_once = idempotency != Idempotency::Idempotent;
        let bytes = if at_most_once { self.limits.reserved_bytes(max_result_bytes) } else { 0 };
        let usage = Usage { contexts: 1, bytes };
        // Where no byte is left, no result of any size fits.
        let needed = Usage { bytes: bytes.max(1), ..usage };
        let held = self.idempotent.held.plus(self.at_most_once.held);
        if !held.plus(needed).is_within(self.limit(at_most_once, self.at_most_once.held)) {
            return Err(ReserveError::Full);
        }
        if !self.fits(at_most_once, needed) {
            return Err(ReserveError::Reserved);
        }
        self.share(at_most_once).reserved.add(usage);
        Ok(Reservation { usage, at_most_once })
    }

    /// Gives a reservation back.
    pub fn release(&mut self, reservation: Reservation) {
        self.share(reservation.at_most_once).reserved.subtract(reservation.usage);
    }

    /// Stores a result of `size` bytes for its owner in place of a reservation. Returns the id of the new context, and
    /// the result. No existing context is evicted for it.
    ///
    /// # Errors
    /// [`ScrollLimitReached`] if the result is larger than its reservation, and too little beside it is free.
    pub fn create(
        &mut self,
        now: Time,
        reservation: Reservation,
        owner: &str,
        keep_alive: Duration,
        value: T,
        size: usize,
    ) -> Result<(String, Rc<T>), ScrollLimitReached> {
        self.expire(now);
        let at_most_once = reservation.at_most_once;
        self.release(reservation);
        let usage = Usage { contexts: 1, bytes: size };
        if !self.fits(at_most_once, usage) {
            return Err(ScrollLimitReached);
        }
        let id = format!("{:032x}", self.random.u128(..));
        let value = Rc::new(value);
        let entry = Entry {
            owner: owner.to_owned(),
            value: value.clone(),
            size,
            at_most_once,
            expires_at: now.after(keep_alive),
        };
        self.share(at_most_once).held.add(usage);
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
        if is_owned {
            self.remove(id);
        }
        is_owned
    }

    fn share(&mut self, at_most_once: bool) -> &mut Share {
        if at_most_once { &mut self.at_most_once } else { &mut self.idempotent }
    }

    /// What all searches together may use for one of this kind. What is kept for searches that must not run twice, and
    /// not used by them, is left out for the others.
    fn limit(&self, at_most_once: bool, used_at_most_once: Usage) -> Usage {
        let ScrollLimits { max_contexts, max_bytes, .. } = self.limits;
        if at_most_once {
            return Usage { contexts: max_contexts, bytes: max_bytes };
        }
        let kept = self.limits.kept();
        Usage {
            contexts: max_contexts - kept.contexts.saturating_sub(used_at_most_once.contexts),
            bytes: max_bytes - kept.bytes.saturating_sub(used_at_most_once.bytes),
        }
    }

    /// Whether this usage fits beside what is held and reserved.
    fn fits(&self, at_most_once: bool, usage: Usage) -> bool {
        let used = self.idempotent.used().plus(self.at_most_once.used());
        used.plus(usage).is_within(self.limit(at_most_once, self.at_most_once.used()))
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.share(entry.at_most_once).held.subtract(Usage { contexts: 1, bytes: entry.size });
        }
    }

    fn expire(&mut self, now: Time) {
        let expired = self.entries.iter().filter(|(_, entry)| entry.expires_at <= now);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.remove(id));
    }
}

#[cfg(test)]
mod tests;
