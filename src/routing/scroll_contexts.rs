//! Results held for further pages: bounded in number and bytes, each until its time is over.

use crate::policy::Time;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

struct Entry<T> {
    owner: String,
    value: Rc<T>,
    size: usize,
    until: Time,
}

/// Scroll contexts by id.
pub struct ScrollContexts<T> {
    random: fastrand::Rng,
    most: usize,
    most_bytes: usize,
    bytes: usize,
    entries: HashMap<String, Entry<T>>,
}

/// No further result can be held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many results as may be are held")]
pub struct ScrollLimitReached;

impl<T> ScrollContexts<T> {
    /// Room for so many results and bytes.
    pub fn new(random: fastrand::Rng, most: usize, most_bytes: usize) -> ScrollContexts<T> {
        ScrollContexts { random, most, most_bytes, bytes: 0, entries: HashMap::new() }
    }

    /// Holds a result for its owner; gives its name. A result that is held already is never dropped for a new one.
    pub fn create(
        &mut self,
        now: Time,
        owner: &str,
        keep: Duration,
        value: T,
        size: usize,
    ) -> Result<String, ScrollLimitReached> {
        self.expire(now);
        if self.entries.len() >= self.most || self.bytes + size > self.most_bytes {
            return Err(ScrollLimitReached);
        }
        let name = format!("{:032x}", self.random.u128(..));
        let entry = Entry { owner: owner.to_owned(), value: Rc::new(value), size, until: now.after(keep) };
        self.bytes += size;
        self.entries.insert(name.clone(), entry);
        Ok(name)
    }

    /// A held result, for so much longer where that is said.
    pub fn get(&mut self, now: Time, name: &str, owner: &str, keep: Option<Duration>) -> Option<Rc<T>> {
        self.expire(now);
        let entry = self.entries.get_mut(name).filter(|entry| entry.owner == owner)?;
        if let Some(keep) = keep {
            entry.until = now.after(keep);
        }
        Some(entry.value.clone())
    }

    /// Lets go of a result; false if it was not held.
    pub fn clear(&mut self, now: Time, name: &str, owner: &str) -> bool {
        self.expire(now);
        let ours = self.entries.get(name).is_some_and(|entry| entry.owner == owner);
        if ours && let Some(entry) = self.entries.remove(name) {
            self.bytes -= entry.size;
        }
        ours
    }

    fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| {
            let kept = entry.until > now;
            self.bytes -= if kept { 0 } else { entry.size };
            kept
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn results_are_bounded_and_expire() {
        let mut scrolls = ScrollContexts::new(fastrand::Rng::with_seed(7), 2, 10);
        let keep = Duration::from_secs(1);
        let name = scrolls.create(Time(0), "bank", keep, "page", 6).expect("there is room");
        assert_eq!(scrolls.create(Time(0), "bank", keep, "page", 6), Err(ScrollLimitReached));
        assert!(scrolls.get(Time(0), &name, "notary", None).is_none());
        assert!(scrolls.get(Time(999_999_999), &name, "bank", Some(keep)).is_some());
        assert!(scrolls.get(Time(1_999_999_998), &name, "bank", None).is_some());
        assert!(scrolls.get(Time(1_999_999_999), &name, "bank", None).is_none());
        let name =
            scrolls.create(Time(2_000_000_000), "bank", keep, "page", 10).expect("the room is free again");
        assert!(scrolls.clear(Time(2_000_000_000), &name, "bank"));
        assert!(!scrolls.clear(Time(2_000_000_000), &name, "bank"));
    }
}
