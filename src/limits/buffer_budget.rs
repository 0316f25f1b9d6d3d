//! The budget of bytes buffered for peers: a bound on the sum, and one for each holder that shrinks as the sum fills.
//!
//! Owns the sums, not the buffers: holders book what they hold.

/// A budget of buffered bytes. What one holder may keep is a share of what is free (dynamic thresholds: Choudhury and
/// Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998). One greedy peer takes half of the
/// budget at most, many peers share it, and some of it stays free for new holders.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    total: usize,
    min_per_holder: usize,
    used: usize,
}

impl BufferBudget {
    /// Creates a budget of `total` bytes for at most `holders`. Each holder can always have half of an even share.
    #[must_use]
    pub fn new(total: usize, holders: usize) -> BufferBudget {
        BufferBudget { total, min_per_holder: half_share(total, holders), used: 0 }
    }

    /// Changes the sum, as when another process begins or ceases to share the memory.
    pub fn resize(&mut self, total: usize, holders: usize) {
        (self.total, self.min_per_holder) = (total, half_share(total, holders));
    }

    /// Bytes that each holder can always have.
    #[must_use]
    pub fn min_per_holder(&self) -> usize {
        self.min_per_holder
    }
    /// Bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }
    /// Bytes that may be held.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns how many bytes a holder of `held` bytes may hold now. A holder never has to give back what it holds:
    /// where the budget has filled up, it may only hold no more.
    #[must_use]
    pub fn allowance(&self, held: usize) -> usize {
        let free = self.total.saturating_sub(self.used);
        // The half shares of all holders make up half of the budget; holders compete for the other half.
        let contested = free.saturating_sub(self.total / 2);
        held.max(self.min_per_holder.max(held + contested.saturating_sub(held) / 2)).min(held + free)
    }

    /// Books the change of one holder's bytes from `before` to `after`.
    pub fn update(&mut self, before: usize, after: usize) {
        self.used = (self.used + after).saturating_sub(before);
    }
}

fn half_share(total: usize, holders: usize) -> usize {
    total / holders.max(1) / 2
}
