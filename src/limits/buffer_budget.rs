//! The budget of bytes that are buffered for peers. It bounds the sum of all buffers and the size of each, which
//! shrinks as the budget fills.
//!
//! [`BufferBudget`] owns the sums, not the buffers: each holder reports the bytes that it holds.

/// A budget of buffered bytes. Each holder may keep a share of the free bytes (dynamic thresholds: Choudhury and Hahne,
/// "Dynamic queue length thresholds for shared-memory packet switches", 1998). A single large holder gets at most half
/// of the budget, many holders share it, and some of it stays free for new holders.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    total: usize,
    min_per_holder: usize,
    used: usize,
}

impl BufferBudget {
    /// Creates a budget of `total` bytes for at most `holders` holders. Each holder can always have half of an even
    /// share.
    #[must_use]
    pub fn new(total: usize, holders: usize) -> BufferBudget {
        BufferBudget { total, min_per_holder: half_share(total, holders), used: 0 }
    }

    /// Changes the size of the budget. Used when another process begins or ceases to share the memory.
    pub fn resize(&mut self, total: usize, holders: usize) {
        (self.total, self.min_per_holder) = (total, half_share(total, holders));
    }

    /// Returns the bytes that each holder can always have.
    #[must_use]
    pub fn min_per_holder(&self) -> usize {
        self.min_per_holder
    }
    /// Returns the bytes that all holders together hold.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }
    /// Returns the size of the budget in bytes.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the number of bytes that a holder of `held` bytes may hold now. This is never less than `held`: if the
    /// budget has filled up, the holder may not grow, but does not have to shrink.
    #[must_use]
    pub fn allowance(&self, held: usize) -> usize {
        let free = self.total.saturating_sub(self.used);
        // The guaranteed half shares of all holders make up half of the budget; holders compete for the other half.
        let shared_free = free.saturating_sub(self.total / 2);
        held.max(self.min_per_holder.max(held + shared_free.saturating_sub(held) / 2)).min(held + free)
    }

    /// Records that the bytes of one holder changed from `before` to `after`.
    pub fn update(&mut self, before: usize, after: usize) {
        self.used = (self.used + after).saturating_sub(before);
    }
}

fn half_share(total: usize, holders: usize) -> usize {
    total / holders.max(1) / 2
}
