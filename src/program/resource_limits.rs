//! The descriptors and the memory that the process may use: reads the system's limit and the descriptors that are open
//! before any connection, and divides both among the processes of an upgrade.

use crate::limits::DescriptorBudget;
use crate::limits::descriptors::{DESCRIPTOR_CLASSES, DescriptorLimitTooLow, OPERATOR_DESCRIPTORS};
use rlimit::Resource;

/// Number of descriptors taken to be open where the system does not say.
const ASSUMED_OPEN_DESCRIPTORS: usize = 16;
/// One descriptor for a client that is rejected on connecting, and one that the runtime may still open.
const SPARE_DESCRIPTORS: usize = 2;
/// One part in so many of the memory may be used for buffers of connections; the rest is for queries, responses and the
/// program.
const BUFFER_MEMORY_DIVISOR: u64 = 4;

/// Raises the process's own limit of descriptors to the configured number, as far as the system allows; returns the
/// limit that holds then.
fn raise_descriptor_limit(configured: usize) -> usize {
    let wanted = configured as u64;
    let soft = match Resource::NOFILE.get() {
        Ok((soft, hard)) if soft < wanted => {
            let raised = wanted.min(hard);
            match Resource::NOFILE.set(raised, hard) {
                Ok(()) => raised,
                // The caller logs how many descriptors the system allows.
                Err(_) => soft,
            }
        }
        Ok((soft, _)) => soft,
        Err(error) => {
            log::warn!("file descriptors: cannot read the limit RLIMIT_NOFILE, assuming {wanted}: {error}");
            wanted
        }
    };
    usize::try_from(soft.min(wanted)).unwrap_or(configured)
}

/// Number of descriptors that are open now, and spare ones.
fn open_descriptors() -> usize {
    // Reading the folder itself takes one descriptor.
    let open = std::fs::read_dir("/proc/self/fd").map(|entries| entries.count().saturating_sub(1));
    open.unwrap_or(ASSUMED_OPEN_DESCRIPTORS) + SPARE_DESCRIPTORS
}

/// The descriptors and the memory of the gatherer, which its processes share.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    descriptors: usize,
    baseline: usize,
    operator_descriptors: usize,
    memory_mb: u64,
}

impl ProcessLimits {
    /// Reads the system's limits. Call it once everything that stays open for good is open, except for the number of
    /// descriptors that are opened later.
    pub fn read(configured: usize, memory_mb: u64, reserved: usize, has_operator_api: bool) -> ProcessLimits {
        let (descriptors, baseline) = (raise_descriptor_limit(configured), open_descriptors() + reserved);
        if descriptors < configured {
            log::warn!(
                "file descriptors: the system allows {descriptors} of the configured {configured} (limits.sockets)"
            );
        }
        ProcessLimits {
            descriptors,
            baseline,
            operator_descriptors: if has_operator_api { OPERATOR_DESCRIPTORS } else { 0 },
            memory_mb,
        }
    }

    /// The descriptor budget of one of `processes` processes.
    ///
    /// # Errors
    /// The share of one process is too small to serve with.
    pub fn descriptor_budget(&self, processes: u32) -> Result<DescriptorBudget, DescriptorLimitTooLow> {
        let share = self.descriptors / processes.max(1) as usize;
        let budget = DescriptorBudget::new(share, self.baseline, self.operator_descriptors)?;
        let floors: Vec<String> = DESCRIPTOR_CLASSES
            .iter()
            .zip(budget.floors)
            .map(|(class, floor)| format!("{class}={floor}"))
            .collect();
        log::info!(
            "file descriptors: limit={share} in_use={}; guaranteed: {}",
            self.baseline,
            floors.join(" ")
        );
        Ok(budget)
    }

    /// Bytes that one of `processes` processes may use for buffers of connections.
    pub fn buffer_bytes(&self, processes: u32) -> usize {
        usize::try_from((self.memory_mb << 20) / BUFFER_MEMORY_DIVISOR / u64::from(processes.max(1)))
            .unwrap_or(usize::MAX)
    }
}
