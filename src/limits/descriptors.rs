//! One budget of file descriptors for all of the process: guaranteed floors, and loans that can be reclaimed.
//!
//! Owns the counts by class, not the descriptors: whoever opens one acquires it here first. It closes nothing; it says
//! which class has to close one.

use std::fmt;

/// What descriptors are used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DescriptorClass {
    /// Clients' connections.
    Clients,
    /// Connections to workers or index servers.
    Workers,
    /// The discovery watch.
    Discovery,
    /// Files.
    Files,
    /// Operators' calls.
    Operators,
}

/// All classes, in the order of the arrays that are indexed by class.
pub const DESCRIPTOR_CLASSES: [DescriptorClass; 5] = [
    DescriptorClass::Clients,
    DescriptorClass::Workers,
    DescriptorClass::Discovery,
    DescriptorClass::Files,
    DescriptorClass::Operators,
];

impl fmt::Display for DescriptorClass {
    /// Writes the class as it stands in names of counters.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            DescriptorClass::Clients => "clients",
            DescriptorClass::Workers => "workers",
            DescriptorClass::Discovery => "discovery",
            DescriptorClass::Files => "files",
            DescriptorClass::Operators => "operators",
        })
    }
}

/// The lowest limit of descriptors that a process can serve with.
pub const MIN_DESCRIPTORS: usize = 64;
/// Descriptors of the discovery watch: one, and a second while it moves to another connection.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// Descriptors of files: the configuration while it is reloaded, and what is written beside serving.
const FILE_DESCRIPTORS: usize = 4;
/// Descriptors of operators' calls, where operators may call.
pub const OPERATOR_DESCRIPTORS: usize = 8;

/// How a process divides its descriptors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors that can be divided.
    pub usable: usize,
    /// Descriptors that each class can always have.
    pub floors: [usize; DESCRIPTOR_CLASSES.len()],
    /// Descriptors kept free where that is possible, so that a new connection gets one before another has closed.
    pub headroom: usize,
}

/// The limit of descriptors is too low to serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{limit} descriptors, of which {baseline} are in use at the start: {} at least are needed", MIN_DESCRIPTORS.max(baseline + MIN_DESCRIPTORS / 2))]
pub struct DescriptorLimitTooLow {
    /// Descriptors that the process may open.
    pub limit: usize,
    /// Descriptors that were open before any connection.
    pub baseline: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, of which `baseline` (listener, signals, the log, the event queue) stay open for
    /// good. `operators` of them are kept for operators' calls; a third of the rest is the clients' floor, a quarter
    /// the workers'.
    ///
    /// # Errors
    ///
    /// Fails where the limit, or what is left of it, is too low to serve with.
    pub fn new(
        limit: usize,
        baseline: usize,
        operators: usize,
    ) -> Result<DescriptorBudget, DescriptorLimitTooLow> {
        let usable = limit.saturating_sub(baseline);
        if limit < MIN_DESCRIPTORS || usable < MIN_DESCRIPTORS / 2 {
            return Err(DescriptorLimitTooLow { limit, baseline });
        }
        let operators = operators.min(OPERATOR_DESCRIPTORS);
        let rest = usable - DISCOVERY_DESCRIPTORS - FILE_DESCRIPTORS - operators;
        let floors = [rest / 3, rest / 4, DISCOVERY_DESCRIPTORS, FILE_DESCRIPTORS, operators];
        Ok(DescriptorBudget { usable, floors, headroom: (usable / 32).clamp(2, 16) })
    }
}

/// Why no descriptor can be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorDenied {
    /// One becomes free as soon as this class closes an evictable one, which it can do at once.
    Reclaim(DescriptorClass),
    /// All are in use and none can be reclaimed; the caller has to wait for the next free one.
    Exhausted,
}

/// The descriptors of one process by class. A descriptor is *evictable* where it can be closed without loss (an idle
/// connection) and *busy* where it cannot (a query is open on it). A class may acquire whatever is free, because what
/// is evictable can be reclaimed; what is busy counts against the floor of its class and against what no floor claims.
/// That is how each class can always have its floor, although no descriptor lies idle for it.
#[derive(Clone, Debug)]
pub struct DescriptorAllocator {
    budget: DescriptorBudget,
    held: [usize; DESCRIPTOR_CLASSES.len()],
    busy: [usize; DESCRIPTOR_CLASSES.len()],
}

impl DescriptorAllocator {
    /// Creates an allocator whose descriptors are all free.
    #[must_use]
    pub fn new(budget: DescriptorBudget) -> DescriptorAllocator {
        DescriptorAllocator {
            budget,
            held: [0; DESCRIPTOR_CLASSES.len()],
            busy: [0; DESCRIPTOR_CLASSES.len()],
        }
    }

    /// Replaces the budget, as when another process begins or ceases to share the descriptors. What is held beyond the
    /// new budget is to be reclaimed.
    pub fn set_budget(&mut self, budget: DescriptorBudget) {
        self.budget = budget;
    }

    /// Returns the class that has to close a descriptor where more are held than the budget has: the one that is
    /// furthest over its floor, of those with an evictable one.
    #[must_use]
    pub fn class_to_reclaim_from(&self) -> Option<DescriptorClass> {
        let can_close = |class: &DescriptorClass| self.over_floor(*class) > 0 && self.evictable(*class) > 0;
        DESCRIPTOR_CLASSES.into_iter().filter(can_close).max_by_key(|class| self.over_floor(*class))
    }

    /// Descriptors held beyond the budget.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.held.iter().sum::<usize>().saturating_sub(self.budget.usable)
    }
    /// The budget.
    #[must_use]
    pub fn budget(&self) -> &DescriptorBudget {
        &self.budget
    }
    /// Descriptors that a class holds.
    #[must_use]
    pub fn held(&self, class: DescriptorClass) -> usize {
        self.held[class as usize]
    }
    /// Descriptors of a class that are busy.
    #[must_use]
    pub fn busy(&self, class: DescriptorClass) -> usize {
        self.busy[class as usize]
    }
    /// Descriptors that no class holds.
    #[must_use]
    pub fn free(&self) -> usize {
        self.budget.usable.saturating_sub(self.held.iter().sum())
    }
    fn evictable(&self, class: DescriptorClass) -> usize {
        self.held(class) - self.busy(class)
    }
    fn over_floor(&self, class: DescriptorClass) -> usize {
        self.held(class).saturating_sub(self.budget.floors[class as usize])
    }

    /// Acquires a descriptor, which is evictable at first.
    ///
    /// # Errors
    ///
    /// Fails where none is free; [`DescriptorDenied`] says how one may become free.
    pub fn acquire(&mut self, class: DescriptorClass) -> Result<(), DescriptorDenied> {
        if self.free() == 0 {
            return Err(self.lender(class).map_or(DescriptorDenied::Exhausted, DescriptorDenied::Reclaim));
        }
        self.held[class as usize] += 1;
        Ok(())
    }

    /// Returns the class that has to close an evictable descriptor for this class: the one that is furthest over its
    /// floor. This class itself comes before any other, unless it is below its own floor.
    #[must_use]
    pub fn lender(&self, class: DescriptorClass) -> Option<DescriptorClass> {
        let below_floor = self.held(class) < self.budget.floors[class as usize];
        if !below_floor && self.evictable(class) > 0 {
            return Some(class);
        }
        let others =
            DESCRIPTOR_CLASSES.into_iter().filter(|other| *other != class && self.evictable(*other) > 0);
        let other = others.max_by_key(|other| self.over_floor(*other));
        // Protects a class that holds no more than its floor from one that has its own floor already.
        let other = other.filter(|other| self.over_floor(*other) > 0);
        other.or_else(|| (self.evictable(class) > 0).then_some(class))
    }

    /// Whether a descriptor that a class holds, or is about to acquire, may become busy without taking what the floors
    /// of other classes guarantee.
    #[must_use]
    pub fn can_mark_busy(&self, class: DescriptorClass) -> bool {
        let claimed = |other: DescriptorClass| {
            (self.busy(other) + usize::from(other == class)).max(self.budget.floors[other as usize])
        };
        DESCRIPTOR_CLASSES.into_iter().map(claimed).sum::<usize>() <= self.budget.usable
    }

    /// Makes an evictable descriptor of this class busy. Returns false, and changes nothing, where floors forbid it.
    pub fn mark_busy(&mut self, class: DescriptorClass) -> bool {
        let may = self.evictable(class) > 0 && self.can_mark_busy(class);
        self.busy[class as usize] += usize::from(may);
        may
    }

    /// Makes a busy descriptor of this class evictable.
    pub fn mark_evictable(&mut self, class: DescriptorClass) {
        self.busy[class as usize] = self.busy[class as usize].saturating_sub(1);
    }

    /// Releases an evictable descriptor of this class.
    pub fn release(&mut self, class: DescriptorClass) {
        debug_assert!(self.evictable(class) > 0, "a busy descriptor was released");
        self.held[class as usize] = self.held[class as usize].saturating_sub(1);
    }
}
