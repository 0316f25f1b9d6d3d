//! The faults of a soak test, drawn from its seed alone: the time, target and duration of each fault, and the
//! system calls that fail in each process of a gatherer. The `soak-test` program injects them.

use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// Time of the first fault, by which the processes serve requests.
const FIRST_FAULT_AFTER: Duration = Duration::from_millis(1200);
/// Time before the end in which no fault begins, so that the last faults can pass.
const LAST_FAULT_BEFORE_END: Duration = Duration::from_secs(2);
/// Duration of a fault, in milliseconds.
const LASTS_MS: Range<u64> = 100..2000;
/// Time between the beginnings of two successive faults, in milliseconds.
const INTERVAL_MS: Range<u64> = 50..700;
/// Mixes the number of a process into the seed: the golden ratio in 64 bits, whose multiples are spread
/// evenly.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Targets are drawn below this limit, which is far above the number of gatherers or workers.
const TARGETS: usize = 1 << 16;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gatherer gets SIGTERM and is restarted.
    Restart,
    /// A gatherer is hot-restarted: a second process takes over, then the first gets SIGTERM.
    Upgrade,
    /// A gatherer is killed and restarted.
    Kill,
    /// The discovery address in a gatherer's configuration changes, with SIGHUP while the file is half written.
    Reload,
    /// A gatherer is paused (SIGSTOP).
    Pause,
    /// System calls of a gatherer fail.
    SystemCalls,
    /// A gatherer's discovery agent does not respond.
    DiscoveryUnresponsive,
    /// The connections of a gatherer to its discovery agent, which carry its watch, are reset.
    WatchReset,
    /// A worker is drained, killed and restarted.
    WorkerDrain,
    /// A worker is killed and restarted.
    WorkerKill,
    /// A worker is paused (SIGSTOP).
    WorkerPause,
    /// New connections to a worker come up late.
    LateConnects,
}

impl Fault {
    /// The fault's name on the command line (`--only`). A name must not change, so that recorded command lines
    /// still repeat their runs.
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
            Fault::LateConnects => "lateconnects",
        }
    }
}

/// Time between the starts of two faults that delay connects.
const LATE_CONNECTS_INTERVAL_MS: Range<u64> = 200..600;
/// Seed of the delayed connects, combined with that of the run.
const LATE_CONNECTS_SEED: u64 = 0x1a7e_c0de;

/// The faults to draw from, without delayed connects; a fault that is listed twice is drawn twice as often.
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
    /// Time at which the fault begins, from the start of the soak test.
    pub begins_after: Duration,
    /// The kind of fault.
    pub fault: Fault,
    /// The gatherer or worker concerned, to be taken modulo their number.
    pub target: usize,
    /// Duration of the fault; unused by faults that take effect at once.
    pub lasts: Duration,
}

/// Draws the faults of a soak test of this length, in the order of their starts. Two or three faults overlap at a time,
/// because the interval between them is shorter than their duration.
#[must_use]
pub fn fault_schedule(seed: u64, length: Duration) -> Vec<ScheduledFault> {
    let mut schedule = draw_schedule(seed, length, &WEIGHTED_FAULTS, INTERVAL_MS);
    // Drawn apart, so that the other faults of a recorded seed stay the same.
    let late_connects =
        draw_schedule(seed ^ LATE_CONNECTS_SEED, length, &[Fault::LateConnects], LATE_CONNECTS_INTERVAL_MS);
    schedule.extend(late_connects);
    schedule.sort_by_key(|scheduled| scheduled.begins_after);
    schedule
}

/// Draws faults from a list, with the interval between their starts from a range in milliseconds.
fn draw_schedule(
    seed: u64,
    length: Duration,
    faults: &[Fault],
    interval_ms: Range<u64>,
) -> Vec<ScheduledFault> {
    let mut random = Rng::with_seed(seed);
    let mut schedule = Vec::new();
    let mut begins_after = FIRST_FAULT_AFTER;
    while begins_after + LAST_FAULT_BEFORE_END < length {
        schedule.push(ScheduledFault {
            begins_after,
            fault: faults[random.usize(..faults.len())],
            target: random.usize(..TARGETS),
            lasts: Duration::from_millis(random.u64(LASTS_MS)),
        });
        begins_after += Duration::from_millis(random.u64(interval_ms.clone()));
    }
    schedule
}

/// Settings of the fault library that are drawn together: all of `names` are set to one value, or none is.
struct SettingRange {
    /// Probability that the settings are set.
    probability: f64,
    names: &'static [&'static str],
    min: f64,
    max: f64,
}

/// The settings that are drawn, in the order of drawing. All values are probabilities of a fault per call,
/// except `wall_step_s`, which is in seconds.
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
/// Time between two steps of the wall clock, in milliseconds; it has an effect only if `wall_step_s` is set.
const WALL_STEP_PERIOD_MS: u32 = 1500;

/// Draws the system calls that fail in one process of a gatherer. Returns the value of the environment
/// variable `FAULTS` (see `tools/faults/faults.c`).
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
