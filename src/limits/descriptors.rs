//! The budget of file descriptors of the process, divided by class. Each class has a guaranteed floor, and may use free
//! descriptors beyond it until they are reclaimed.
//!
//! [`DescriptorAllocator`] owns the counts by class, not the descriptors: a descriptor has to be acquired here before
//! it is opened. The allocator closes nothing; it names the class that has to close one.

use std::fmt;

/// Use of a descriptor.
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
    /// Connections of operators.
    Operators,
}

/// Every class, in the order of the arrays that are indexed by class.
pub const DESCRIPTOR_CLASSES: [DescriptorClass; 5] = [
    DescriptorClass::Clients,
    DescriptorClass::Workers,
    DescriptorClass::Discovery,
    DescriptorClass::Files,
    DescriptorClass::Operators,
];

impl fmt::Display for DescriptorClass {
    /// Writes the class as used in names of counters, which must not change.
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

/// Lowest descriptor limit with which a process can serve.
pub const MIN_DESCRIPTORS: usize = 64;
/// Descriptors for the discovery watch: one, and a second while it moves to another connection.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// Descriptors for files: the configuration while it is reloaded, and files written while the process serves.
const FILE_DESCRIPTORS: usize = 4;
/// Descriptors for operators' connections, if operators may connect.
pub const OPERATOR_DESCRIPTORS: usize = 8;

/// Division of a process's descriptors among the classes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Number of descriptors that the classes share.
    pub usable: usize,
    /// Number of descriptors guaranteed to each class.
    pub floors: [usize; DESCRIPTOR_CLASSES.len()],
    /// Number of descriptors to keep free if possible, so that a new connection need not wait until another one has
    /// closed.
    pub headroom: usize,
}

/// The process's descriptor limit is too low to serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "file descriptor limit is too low: {limit} descriptors, of which {baseline} are in use at startup; \
     {} at least are needed",
    MIN_DESCRIPTORS.max(baseline + MIN_DESCRIPTORS / 2)
)]
pub struct DescriptorLimitTooLow {
    /// Descriptor limit of the process.
    pub limit: usize,
    /// Descriptors that were open before the first connection.
    pub baseline: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, of which `baseline` (listener, signals, the log, the event queue) stay open for
    /// good. Up to `operators` of the others are reserved for operators' connections. A third of the rest is the floor
    /// of clients, a quarter that of workers.
    ///
    /// # Errors
    ///
    /// [`DescriptorLimitTooLow`] if `limit`, or what remains of it without `baseline`, is too low to serve with.
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

/// Reason why no descriptor can be acquired now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorDenied {
    /// A descriptor becomes free when this class closes an evictable one, which it can do at once.
    Reclaim(DescriptorClass),
    /// All descriptors are in use and none can be reclaimed; the caller has to wait until one is released.
    Exhausted,
}

/// Counts of the process's descriptors by class. A descriptor is *evictable* if it can be closed without loss (an idle
/// connection) and *busy* if not (a query is open on it).
///
/// A class may acquire any free descriptor, because evictable ones can be reclaimed. Busy descriptors count against the
/// floor of their class, and beyond it against the descriptors that are in no floor. This guarantees each class its
/// floor without keeping descriptors unused.
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

    /// Replaces the budget. Used when another process begins or ceases to share the descriptors. Descriptors held
    /// beyond the new budget have to be reclaimed; see [`DescriptorAllocator::excess`].
    pub fn set_budget(&mut self, budget: DescriptorBudget) {
        self.budget = budget;
    }

    /// Returns the class that has to close a descriptor when more are held than the budget permits: of the classes over
    /// their floor with an evictable descriptor, the one that is furthest over it.
    #[must_use]
    pub fn class_to_reclaim_from(&self) -> Option<DescriptorClass> {
        let can_close =
            |class: &DescriptorClass| self.excess_over_floor(*class) > 0 && self.evictable_count(*class) > 0;
        DESCRIPTOR_CLASSES.into_iter().filter(can_close).max_by_key(|class| self.excess_over_floor(*class))
    }

    /// Returns the number of descriptors held beyond the budget.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.held.iter().sum::<usize>().saturating_sub(self.budget.usable)
    }
    /// Returns the current budget.
    #[must_use]
    pub fn budget(&self) -> &DescriptorBudget {
        &self.budget
    }
    /// Returns the number of descriptors that a class holds.
    #[must_use]
    pub fn held(&self, class: DescriptorClass) -> usize {
        self.held[class as usize]
    }
    /// Returns the number of busy descriptors of a class.
    #[must_use]
    pub fn busy(&self, class: DescriptorClass) -> usize {
        self.busy[class as usize]
    }
    /// Returns the number of free descriptors.
    #[must_use]
    pub fn free(&self) -> usize {
        self.budget.usable.saturating_sub(self.held.iter().sum())
    }
    fn evictable_count(&self, class: DescriptorClass) -> usize {
        self.held(class) - self.busy(class)
    }
    fn excess_over_floor(&self, class: DescriptorClass) -> usize {
        self.held(class).saturating_sub(self.budget.floors[class as usize])
    }

    /// Acquires a descriptor for a class. The descriptor is evictable at first.
    ///
    /// # Errors
    ///
    /// [`DescriptorDenied`] if no descriptor is free, with the way in which one may become free.
    pub fn acquire(&mut self, class: DescriptorClass) -> Result<(), DescriptorDenied> {
        if self.free() == 0 {
            return Err(self
                .class_to_reclaim_for(class)
                .map_or(DescriptorDenied::Exhausted, DescriptorDenied::Reclaim));
        }
        self.held[class as usize] += 1;
        Ok(())
    }

    /// Returns the class that has to close an evictable descriptor for this class: the one that is furthest over its
    /// floor. This class itself comes first, unless it is below its own floor.
    #[must_use]
    pub fn class_to_reclaim_for(&self, class: DescriptorClass) -> Option<DescriptorClass> {
        let is_below_floor = self.held(class) < self.budget.floors[class as usize];
        if !is_below_floor && self.evictable_count(class) > 0 {
            return Some(class);
        }
        let others = DESCRIPTOR_CLASSES
            .into_iter()
            .filter(|other| *other != class && self.evictable_count(*other) > 0);
        let furthest_over = others.max_by_key(|other| self.excess_over_floor(*other));
        // A class within its floor keeps its descriptors, because the requesting class has its own floor.
        let other = furthest_over.filter(|other| self.excess_over_floor(*other) > 0);
        other.or_else(|| (self.evictable_count(class) > 0).then_some(class))
    }

    /// Returns whether a descriptor that a class holds or is about to acquire may become busy without violating the
    /// floors of other classes.
    #[must_use]
    pub fn can_mark_busy(&self, class: DescriptorClass) -> bool {
        let claimed = |other: DescriptorClass| {
            (self.busy(other) + usize::from(other == class)).max(self.budget.floors[other as usize])
        };
        DESCRIPTOR_CLASSES.into_iter().map(claimed).sum::<usize>() <= self.budget.usable
    }

    /// Marks an evictable descriptor of this class as busy. Returns false, and changes nothing, if the class has none
    /// or the floors of other classes forbid it.
    pub fn mark_busy(&mut self, class: DescriptorClass) -> bool {
        let is_permitted = self.evictable_count(class) > 0 && self.can_mark_busy(class);
        self.busy[class as usize] += usize::from(is_permitted);
        is_permitted
    }

    /// Marks a busy descriptor of this class as evictable.
    pub fn mark_evictable(&mut self, class: DescriptorClass) {
        self.busy[class as usize] = self.busy[class as usize].saturating_sub(1);
    }

    /// Releases an evictable descriptor of this class.
    pub fn release(&mut self, class: DescriptorClass) {
        debug_assert!(self.evictable_count(class) > 0, "a busy descriptor was released");
        self.held[class as usize] = self.held[class as usize].saturating_sub(1);
    }
}
