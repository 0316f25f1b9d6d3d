//! The permit for one descriptor.
//!
//! It counts one descriptor against the budget of its class, idle or busy, until it is dropped.

use super::DescriptorPool;
use crate::limits::DescriptorClass;
use std::cell::Cell;
use std::rc::Rc;

/// One descriptor of the budget, held until it is dropped. It is idle (it may be reclaimed) or busy (it may not).
#[must_use]
pub struct DescriptorPermit {
    pool: Rc<DescriptorPool>,
    class: DescriptorClass,
    busy: Cell<bool>,
}

impl DescriptorPermit {
    /// Creates the permit for a descriptor that was acquired, idle.
    pub(super) fn new(pool: &Rc<DescriptorPool>, class: DescriptorClass) -> DescriptorPermit {
        DescriptorPermit { pool: pool.clone(), class, busy: Cell::new(false) }
    }
    /// Makes it busy; false where that would take a descriptor that another class is guaranteed.
    pub fn try_mark_busy(&self) -> bool {
        if !self.busy.get() {
            self.busy.set(self.pool.descriptors.borrow_mut().mark_busy(self.class));
        }
        self.busy.get()
    }
    /// Makes it idle.
    pub fn mark_idle(&self) {
        if self.busy.replace(false) {
            self.pool.descriptors.borrow_mut().mark_evictable(self.class);
            self.pool.grant_connect_permits();
        }
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let mut descriptors = self.pool.descriptors.borrow_mut();
        if self.busy.get() {
            descriptors.mark_evictable(self.class);
        }
        descriptors.release(self.class);
        drop(descriptors);
        self.pool.released.notify_waiters();
        self.pool.grant_connect_permits();
    }
}
