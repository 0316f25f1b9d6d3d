//! The faults of a soak test, drawn from its seed alone: which fault is injected when and into what, and
//! which system calls fail in each process of a gatherer.
//!
//! It owns no state and never injects anything itself: the `soak-test` program does.

use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// The first fault comes so long after the start, when the processes serve requests.
const FIRST_FAULT_AFTER: Duration = Duration::from_millis(1200);
/// No fault begins so shortly before the end: the last ones have time to pass.
const LAST_FAULT_BEFORE_END: Duration = Duration::from_secs(2);
/// How long a fault lasts, in milliseconds.
const LASTS_MS: Range<u64> = 100..2000;
/// The time between the beginnings of two faults, in milliseconds.
const INTERVAL_MS: Range<u64> = 50..700;
/// Mixes a process's number into the seed: the golden ratio in 64 bits, whose multiples are spread evenly.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Targets are drawn below this, far more than there are gatherers or workers.
const TARGETS: usize = 1 << 16;

/// What is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gatherer gets SIGTERM and is started anew.
    Restart,
    /// A second process is started beside a gatherer's, and the first gets SIGTERM.
    Upgrade,
    /// A gatherer is killed and started anew.
    Kill,
    /// A gatherer's configuration moves its discovery (SIGHUP); the file is half written for a moment.
    Reload,
    /// A gatherer is paused for a moment.
    Pause,
    /// System calls of a gatherer fail for a while.
    SystemCalls,
    /// A gatherer's discovery does not respond for a while.
    DiscoveryUnresponsive,
    /// The connections of a gatherer to its discovery are reset, and with them its watches.
    WatchReset,
    /// A worker is drained, ends and comes back.
    WorkerDrain,
    /// A worker is killed and comes back.
    WorkerKill,
    /// A worker is paused.
    WorkerPause,
}

impl Fault {
    /// Its name on the command line (`--only`), which stays as it is for runs that are written down.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Fault::Restart => "restart",
            Fault::Upgrade => "upgrade",
            Fault::Kill => "kill",
            Fault::Reload => "reload",
            Fault::Pause => "pause",
            Fault::SystemCalls => "faults",
            Fault::DiscoveryUnresponsive => "silence",
            Fault::WatchReset => "watchreset",
            Fault::WorkerDrain => "drain",
            Fault::WorkerKill => "workerkill",
            Fault::WorkerPause => "workerpause",
        }
    }
}

/// All faults, each as often as it is to be drawn.
const WEIGHTED_FAULTS: [Fault; 14] = [
    Fault::Restart,
    Fault::Restart,
    Fault::Upgrade,
    Fault::Upgrade,
    Fault::Kill,
    Fault::Reload,
    Fault::Pause,
    Fault::SystemCalls,
    Fault::SystemCalls,
    Fault::DiscoveryUnresponsive,
    Fault::WatchReset,
    Fault::WorkerDrain,
    Fault::WorkerKill,
    Fault::WorkerPause,
];

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it begins, from the start of the soak test.
    pub begins_after: Duration,
    /// What it is.
    pub fault: Fault,
    /// The gatherer or worker that it hits, to be taken modulo their number.
    pub target: usize,
    /// How long it lasts, for faults that last.
    pub lasts: Duration,
}

/// Draws the faults of a soak test of this length. Two or three overlap: they come closer together than they
/// last.
#[must_use]
pub fn fault_schedule(seed: u64, length: Duration) -> Vec<ScheduledFault> {
    let mut random = Rng::with_seed(seed);
    let mut schedule = Vec::new();
    let mut begins_after = FIRST_FAULT_AFTER;
    while begins_after + LAST_FAULT_BEFORE_END < length {
        schedule.push(ScheduledFault {
            begins_after,
            fault: WEIGHTED_FAULTS[random.usize(..WEIGHTED_FAULTS.len())],
            target: random.usize(..TARGETS),
            lasts: Duration::from_millis(random.u64(LASTS_MS)),
        });
        begins_after += Duration::from_millis(random.u64(INTERVAL_MS));
    }
    schedule
}

/// Settings of the fault library that are drawn with one probability, and take one value.
struct SettingRange {
    /// The chance that they are set.
    probability: f64,
    names: &'static [&'static str],
    min: f64,
    max: f64,
}

/// All settings that are drawn, in the order in which they are. Those of calls are the share of calls that
/// fail.
const SETTING_RANGES: [SettingRange; 8] = [
    SettingRange { probability: 0.6, names: &["short_read"], min: 0.02, max: 0.3 },
    SettingRange { probability: 0.6, names: &["short_write"], min: 0.02, max: 0.3 },
    SettingRange { probability: 0.6, names: &["interrupt"], min: 0.004, max: 0.05 },
    SettingRange { probability: 0.4, names: &["wait_interrupt"], min: 0.02, max: 0.1 },
    SettingRange { probability: 0.5, names: &["accept"], min: 0.02, max: 1.0 },
    SettingRange { probability: 0.5, names: &["connect", "socket", "bind"], min: 0.02, max: 1.0 },
    SettingRange { probability: 0.3, names: &["open", "file_write"], min: 0.1, max: 0.9 },
    SettingRange { probability: 0.4, names: &["wall_step_s"], min: 60.0, max: 3600.0 },
];
/// How often the wall clock is stepped, where it is, in milliseconds.
const WALL_STEP_PERIOD_MS: u32 = 1500;

/// Draws which system calls fail in one process of a gatherer, as the value of `FAULTS` (see
/// `tools/faults/faults.c`).
#[must_use]
pub fn system_call_faults(seed: u64, process: u64) -> String {
    let mut random = Rng::with_seed(seed ^ process.wrapping_mul(SEED_MULTIPLIER));
    let mut settings = vec![format!("seed={}", random.u32(..))];
    for SettingRange { probability, names, min, max } in SETTING_RANGES {
        if random.f64() < probability {
            let value = min + (max - min) * random.f64();
            settings.extend(names.iter().map(|name| format!("{name}={value:.4}")));
        }
    }
    settings.push(format!("wall_period_ms={WALL_STEP_PERIOD_MS}"));
    settings.join(",")
}
