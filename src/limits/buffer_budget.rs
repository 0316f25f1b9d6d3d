//! Bytes held for peers: a bound on the sum, and one for each holder that shrinks as the sum fills.

/// A budget of buffered bytes. What one holder may keep is a share of what is free (dynamic thresholds: Choudhury and
/// Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998), so that one greedy peer takes
/// half of it at most, many share what there is, and some stays free for whoever comes next.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    total: usize,
    least: usize,
    used: usize,
}

impl BufferBudget {
    /// A budget of `total` bytes for at most `holders`; each of them always gets its even half-share.
    pub fn new(total: usize, holders: usize) -> BufferBudget {
        BufferBudget { total, least: total / holders.max(1) / 2, used: 0 }
    }

    /// Another sum, as when another process comes to share it or leaves.
    pub fn resize(&mut self, total: usize, holders: usize) {
        (self.total, self.least) = (total, total / holders.max(1) / 2);
    }

    /// What each holder gets, however many there are.
    pub fn min_per_holder(&self) -> usize {
        self.least
    }
    /// Bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }
    /// Bytes that may be held.
    pub fn total(&self) -> usize {
        self.total
    }

    /// What a holder of `held` may hold now. It never has to give back what it holds: where others came, it only gets
    /// no more.
    pub fn allowance(&self, held: usize) -> usize {
        let free = self.total.saturating_sub(self.used);
        // The half-shares of all holders make up half of the sum: the other half is what grows and shrinks.
        let shared = free.saturating_sub(self.total / 2);
        held.max(self.least.max(held + shared.saturating_sub(held) / 2)).min(held + free)
    }

    /// A holder's bytes change from `before` to `after`.
    pub fn update(&mut self, before: usize, after: usize) {
        self.used = (self.used + after).saturating_sub(before);
    }
}
