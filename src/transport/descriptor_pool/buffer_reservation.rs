//! The reservation of buffered bytes for one peer.
//!
//! Reports the bytes to the process's budget; [`crate::limits::BufferBudget`] computes how many a peer may hold.

use super::DescriptorPool;
use std::cell::Cell;
use std::rc::Rc;

impl DescriptorPool {
    fn update_buffered_bytes(&self, before: usize, after: usize) {
        let mut buffers = self.buffers.borrow_mut();
        buffers.update(before, after);
        let mut counters = self.counters.borrow_mut();
        counters.peak_buffered_bytes = counters.peak_buffered_bytes.max(buffers.used());
        if after < before {
            self.buffer_space.notify_waiters();
        }
    }
}

/// The number of bytes buffered for one peer, counted against the budget until the reservation is dropped.
pub struct BufferReservation {
    pool: Rc<DescriptorPool>,
    held_bytes: Cell<usize>,
}

impl BufferReservation {
    /// Creates a reservation of no bytes.
    pub fn new(pool: &Rc<DescriptorPool>) -> BufferReservation {
        BufferReservation { pool: pool.clone(), held_bytes: Cell::new(0) }
    }
    /// Replaces the number of bytes in this reservation.
    pub fn set(&self, bytes: usize) {
        let before = self.held_bytes.replace(bytes);
        if before != bytes {
            self.pool.update_buffered_bytes(before, bytes);
        }
    }
    /// The number of bytes that this reservation may hold in all, including those that it already holds.
    pub fn allowance(&self) -> usize {
        self.pool.buffers.borrow().allowance(self.held_bytes.get())
    }
    /// Waits until any reservation shrinks.
    pub async fn wait_for_space(&self) {
        self.pool.buffer_space.notified().await;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
