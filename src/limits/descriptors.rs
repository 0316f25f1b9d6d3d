//! One budget of descriptors for all sides of the process: floors, and loans that can be called back.

use std::fmt;

/// Who holds descriptors.
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

/// All sides, in the order of the arrays here.
pub const DESCRIPTOR_CLASSES: [DescriptorClass; 5] = [
    DescriptorClass::Clients,
    DescriptorClass::Workers,
    DescriptorClass::Discovery,
    DescriptorClass::Files,
    DescriptorClass::Operators,
];

impl fmt::Display for DescriptorClass {
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

/// The smallest limit that a process can serve with.
pub const MIN_DESCRIPTORS: usize = 64;
/// Descriptors of the watch: one, and a second while it moves.
const DISCOVERY: usize = 2;
/// Descriptors of files: the configuration when it is read again, and what writes beside serving.
const FILES: usize = 4;
/// Descriptors of operators' calls, where operators may call.
pub const OPERATOR_DESCRIPTORS: usize = 8;

/// How a process divides its descriptors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors that there are to divide.
    pub usable: usize,
    /// What each side can always have.
    pub floors: [usize; DESCRIPTOR_CLASSES.len()],
    /// Kept free where that is possible, so that whoever comes has a place before another has left.
    pub headroom: usize,
}

/// A limit too low to serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{limit} descriptors, of which {baseline} are in use at the start: {} at least are needed", MIN_DESCRIPTORS.max(baseline + MIN_DESCRIPTORS / 2))]
pub struct DescriptorLimitTooLow {
    /// What the process may hold.
    pub limit: usize,
    /// What it held before any connection.
    pub baseline: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, of which `standing` (listener, signals, the log, the event queue) are in use for
    /// good: `operators` are kept for operators' calls; a third of the rest is the clients' floor, a quarter the workers'.
    pub fn new(
        limit: usize,
        standing: usize,
        operators: usize,
    ) -> Result<DescriptorBudget, DescriptorLimitTooLow> {
        let usable = limit.saturating_sub(standing);
        if limit < MIN_DESCRIPTORS || usable < MIN_DESCRIPTORS / 2 {
            return Err(DescriptorLimitTooLow { limit, baseline: standing });
        }
        let rest = usable - DISCOVERY - FILES - operators.min(OPERATOR_DESCRIPTORS);
        let floors = [rest / 3, rest / 4, DISCOVERY, FILES, operators.min(OPERATOR_DESCRIPTORS)];
        Ok(DescriptorBudget { usable, floors, headroom: (usable / 32).clamp(2, 16) })
    }
}

/// Why there is no descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorDenied {
    /// One will be free as soon as this side lets a loose one go, which it can do at once.
    Reclaim(DescriptorClass),
    /// All are in use and none can be called back; the next free one is to be awaited.
    Exhausted,
}

/// The descriptors of one process. One is *loose* where it can be closed at no loss (an idle connection) and *firm*
/// where it cannot (a query is open on it). A side may take whatever is free, for what it holds loosely can be called
/// back; what it holds firmly counts against its own floor and against what no floor claims. That is how floors stay
/// free to be had without lying idle.
#[derive(Clone, Debug)]
pub struct DescriptorAllocator {
    plan: DescriptorBudget,
    held: [usize; DESCRIPTOR_CLASSES.len()],
    firm: [usize; DESCRIPTOR_CLASSES.len()],
}

impl DescriptorAllocator {
    /// All are free.
    pub fn new(plan: DescriptorBudget) -> DescriptorAllocator {
        DescriptorAllocator { plan, held: [0; DESCRIPTOR_CLASSES.len()], firm: [0; DESCRIPTOR_CLASSES.len()] }
    }

    /// Divides them anew, as when another process comes to share them or leaves. What is held beyond that is to be
    /// called back.
    pub fn set_budget(&mut self, plan: DescriptorBudget) {
        self.plan = plan;
    }
    /// Who is to let one go where more is held than there is: the side that is most over its floor with something loose.
    pub fn class_to_reclaim_from(&self) -> Option<DescriptorClass> {
        let over = |side: &DescriptorClass| self.over(*side as usize) > 0 && self.loose(*side as usize) > 0;
        DESCRIPTOR_CLASSES.into_iter().filter(over).max_by_key(|side| self.over(*side as usize))
    }
    /// What is held beyond what there is.
    pub fn excess(&self) -> usize {
        self.held.iter().sum::<usize>().saturating_sub(self.plan.usable)
    }

    /// How they are divided.
    pub fn budget(&self) -> &DescriptorBudget {
        &self.plan
    }
    /// What a side holds.
    pub fn held(&self, side: DescriptorClass) -> usize {
        self.held[side as usize]
    }
    /// What it holds firmly, of that.
    pub fn busy(&self, side: DescriptorClass) -> usize {
        self.firm[side as usize]
    }
    /// What nobody holds.
    pub fn free(&self) -> usize {
        self.plan.usable.saturating_sub(self.held.iter().sum())
    }
    fn loose(&self, side: usize) -> usize {
        self.held[side] - self.firm[side]
    }
    fn over(&self, side: usize) -> usize {
        self.held[side].saturating_sub(self.plan.floors[side])
    }

    /// Takes a descriptor, loosely.
    pub fn acquire(&mut self, side: DescriptorClass) -> Result<(), DescriptorDenied> {
        if self.free() == 0 {
            return Err(self.lender(side).map_or(DescriptorDenied::Exhausted, DescriptorDenied::Reclaim));
        }
        self.held[side as usize] += 1;
        Ok(())
    }

    /// Who is to let one go for this side: one over its floor with something loose, the one most over it, and this
    /// side itself before another unless it is under its own floor.
    pub fn lender(&self, side: DescriptorClass) -> Option<DescriptorClass> {
        let own = side as usize;
        if self.held[own] >= self.plan.floors[own] && self.loose(own) > 0 {
            return Some(side);
        }
        let others =
            DESCRIPTOR_CLASSES.into_iter().filter(|other| *other != side && self.loose(*other as usize) > 0);
        let other = others.max_by_key(|other| self.over(*other as usize)).filter(|other| {
            // Guards a side that holds no more than its floor against one that has its own floor already.
            self.over(*other as usize) > 0
        });
        other.or_else(|| (self.loose(own) > 0).then_some(side))
    }

    /// Whether one that a side holds, or is about to take, may be made firm without touching what floors promise.
    pub fn can_mark_busy(&self, side: DescriptorClass) -> bool {
        let claimed =
            |at: usize| (self.firm[at] + usize::from(at == side as usize)).max(self.plan.floors[at]);
        (0..DESCRIPTOR_CLASSES.len()).map(claimed).sum::<usize>() <= self.plan.usable
    }

    /// Makes a loose one of this side firm; false, and nothing changes, where floors forbid it.
    pub fn mark_busy(&mut self, side: DescriptorClass) -> bool {
        let may = self.loose(side as usize) > 0 && self.can_mark_busy(side);
        self.firm[side as usize] += usize::from(may);
        may
    }

    /// Makes a firm one loose.
    pub fn mark_evictable(&mut self, side: DescriptorClass) {
        self.firm[side as usize] = self.firm[side as usize].saturating_sub(1);
    }

    /// Gives a loose one back.
    pub fn release(&mut self, side: DescriptorClass) {
        debug_assert!(self.loose(side as usize) > 0, "a firm descriptor was given back");
        self.held[side as usize] = self.held[side as usize].saturating_sub(1);
    }
}
