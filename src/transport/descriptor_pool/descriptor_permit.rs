//! The permit for one file descriptor, which counts against the budget of its class until it is dropped.

use super::DescriptorPool;
use crate::limits::DescriptorClass;
use std::cell::Cell;
use std::rc::Rc;

/// One descriptor of the budget, released on drop. An idle descriptor may be reclaimed for another class, a busy one
/// may not.
#[must_use]
pub struct DescriptorPermit {
    pool: Rc<DescriptorPool>,
    class: DescriptorClass,
    busy: Cell<bool>,
}

impl DescriptorPermit {
    /// Creates the permit, idle, for a descriptor that the allocator has counted.
    pub(super) fn new(pool: &Rc<DescriptorPool>, class: DescriptorClass) -> DescriptorPermit {
        DescriptorPermit { pool: pool.clone(), class, busy: Cell::new(false) }
    }
    /// Marks the descriptor as busy. Returns whether it is busy now: not where that would use a descriptor that another
    /// class is guaranteed.
    pub fn try_mark_busy(&self) -> bool {
        if !self.busy.get() {
            self.busy.set(self.pool.descriptors.borrow_mut().mark_busy(self.class));
        }
        self.busy.get()
    }
    /// Marks the descriptor as idle, which may let a waiting call connect.
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
