//! The file descriptors and the memory that the process may use: raises and reads the system's limit of descriptors,
//! counts those that are open before any connection, and divides the limits among the processes of an upgrade. How
//! descriptors are shared by connections is in [`crate::limits`].

use crate::limits::DescriptorBudget;
use crate::limits::descriptors::{DESCRIPTOR_CLASSES, DescriptorLimitTooLow, OPERATOR_DESCRIPTORS};
use rlimit::Resource;

/// Number of descriptors assumed to be open if `/proc/self/fd` cannot be read.
const ASSUMED_OPEN_DESCRIPTORS: usize = 16;
/// Reserve: one descriptor for a client that is rejected on connecting, and one that the runtime may still open.
const SPARE_DESCRIPTORS: usize = 2;
/// Share of the memory for buffers of connections, as a divisor. The rest is for queries, responses and the program.
const BUFFER_MEMORY_DIVISOR: u64 = 4;

/// Raises the soft limit of descriptors (RLIMIT_NOFILE) to the configured number, or to the hard limit if that is
/// lower. Returns the number of descriptors that the process may use, at most the configured one.
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

/// Counts the descriptors that are open now, and adds the reserve.
fn open_descriptors() -> usize {
    // One entry is the descriptor with which the folder is read.
    let open = std::fs::read_dir("/proc/self/fd").map(|entries| entries.count().saturating_sub(1));
    open.unwrap_or(ASSUMED_OPEN_DESCRIPTORS) + SPARE_DESCRIPTORS
}

/// The limits that the configuration asks for.
#[derive(Clone, Copy, Debug)]
pub struct ConfiguredLimits {
    /// Number of descriptors that all processes of the gatherer may use.
    pub descriptors: usize,
    /// Memory that all processes of the gatherer may use, in MiB.
    pub memory_mb: u64,
    /// Number of descriptors that are opened after the limits are read, and stay open until the process ends.
    pub reserved_descriptors: usize,
    /// Whether the process serves the operators' API.
    pub has_operator_api: bool,
}

/// The descriptors and the memory of a gatherer, which the processes of an upgrade share.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Number of descriptors that all processes may use.
    descriptors: usize,
    /// Number of descriptors of each process that stay open until it ends, and the reserve.
    baseline: usize,
    /// Number of descriptors guaranteed to operators' calls.
    operator_descriptors: usize,
    /// Memory that all processes may use, in MiB.
    memory_mb: u64,
}

impl ProcessLimits {
    /// Raises and reads the system's limits. Must be called once all descriptors are open that stay open, except for
    /// the reserved ones.
    pub fn read(configured: ConfiguredLimits) -> ProcessLimits {
        let descriptors = raise_descriptor_limit(configured.descriptors);
        if descriptors < configured.descriptors {
            log::warn!(
                "file descriptors: the system allows {descriptors} of the configured {} (limits.sockets)",
                configured.descriptors
            );
        }
        ProcessLimits {
            descriptors,
            baseline: open_descriptors() + configured.reserved_descriptors,
            operator_descriptors: if configured.has_operator_api { OPERATOR_DESCRIPTORS } else { 0 },
            memory_mb: configured.memory_mb,
        }
    }

    /// The descriptor budget of each of `processes` processes.
    ///
    /// # Errors
    /// The share of a process is too small to serve with.
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

    /// Number of bytes that each of `processes` processes may use for buffers of connections.
    pub fn buffer_bytes(&self, processes: u32) -> usize {
        usize::try_from((self.memory_mb << 20) / BUFFER_MEMORY_DIVISOR / u64::from(processes.max(1)))
            .unwrap_or(usize::MAX)
    }
}
