//! What the process itself may use: its own limit of descriptors, and those in use before any connection.

use crate::limits::DescriptorBudget;
use crate::limits::descriptors::{DescriptorLimitTooLow, OPERATOR_DESCRIPTORS};
use rlimit::Resource;

/// Descriptors that are taken to be in use where the system does not say.
const STANDING: usize = 16;
/// One for a client that is turned away at the door, and one for what the runtime may open yet.
const SPARE: usize = 2;
/// Share of the memory that may be buffered for peers; the rest is for queries, answers and the program.
const BUFFERED: u64 = 4;

/// Raises the process's own limit to what is configured, as far as the system allows it; what may be held then.
fn allowed(configured: usize) -> usize {
    let wanted = configured as u64;
    let soft = match Resource::NOFILE.get() {
        Ok((soft, hard)) if soft < wanted => {
            let raised = wanted.min(hard);
            match Resource::NOFILE.set(raised, hard) {
                Ok(()) => raised,
                Err(_) => soft,
            }
        }
        Ok((soft, _)) => soft,
        Err(error) => {
            log::warn!("the process's limit of descriptors cannot be read: {error}");
            wanted
        }
    };
    usize::try_from(soft.min(wanted)).unwrap_or(configured)
}

fn standing() -> usize {
    // Reading the folder takes one descriptor itself.
    let open = std::fs::read_dir("/proc/self/fd").map(|entries| entries.count().saturating_sub(1));
    open.unwrap_or(STANDING) + SPARE
}

/// What the process may use.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    descriptors: usize,
    standing: usize,
    operators: usize,
    memory_mb: u64,
}

impl Allowed {
    /// Reads what the configuration and the system leave. To be called once everything that stays open for good is open,
    /// but for so many that are opened later.
    pub fn read(configured: usize, memory_mb: u64, later: usize, operated: bool) -> Allowed {
        let (descriptors, standing) = (allowed(configured), standing() + later);
        if descriptors < configured {
            log::warn!("of {configured} descriptors configured the system allows {descriptors}");
        }
        Allowed {
            descriptors,
            standing,
            operators: if operated { OPERATOR_DESCRIPTORS } else { 0 },
            memory_mb,
        }
    }

    /// The share of one of so many processes.
    pub fn plan(&self, processes: u32) -> Result<DescriptorBudget, DescriptorLimitTooLow> {
        let plan = DescriptorBudget::new(
            self.descriptors / processes.max(1) as usize,
            self.standing,
            self.operators,
        )?;
        log::info!(
            "{} descriptors, {} in use; floors: clients {}, workers {}, discovery {}, files {}, operators {}",
            self.descriptors / processes.max(1) as usize,
            self.standing,
            plan.floors[0],
            plan.floors[1],
            plan.floors[2],
            plan.floors[3],
            plan.floors[4]
        );
        Ok(plan)
    }

    /// Bytes that one of so many processes may buffer for peers.
    pub fn buffered(&self, processes: u32) -> usize {
        usize::try_from((self.memory_mb << 20) / BUFFERED / u64::from(processes.max(1))).unwrap_or(usize::MAX)
    }
}
