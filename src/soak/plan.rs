//! What happens in a soak, drawn from its seed alone: which troubles come when, to whom, and which system calls fail in
//! each start of a gatherer.

use fastrand::Rng;
use std::time::Duration;

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A gatherer is told to end, and started anew.
    Restart,
    /// A second process is started beside a gatherer's, and the first is told to end.
    Upgrade,
    /// A gatherer is killed, and started anew.
    Kill,
    /// A gatherer's configuration moves its discovery (SIGHUP); the file is half written for a moment.
    Reload,
    /// A gatherer stands still for a moment.
    Pause,
    /// System calls of a gatherer fail for a while.
    Faults,
    /// A gatherer's discovery says nothing for a while.
    Silence,
    /// A gatherer's watches are reset.
    WatchReset,
    /// A worker drains, ends and comes back.
    Drain,
    /// A worker is killed, and comes back.
    WorkerKill,
    /// A worker stands still.
    WorkerPause,
}

/// All of them, each as often as it stands here.
const TROUBLES: [Trouble; 14] = [
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Upgrade,
    Trouble::Upgrade,
    Trouble::Kill,
    Trouble::Reload,
    Trouble::Pause,
    Trouble::Faults,
    Trouble::Faults,
    Trouble::Silence,
    Trouble::WatchReset,
    Trouble::Drain,
    Trouble::WorkerKill,
    Trouble::WorkerPause,
];

/// One trouble of a soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// What it is.
    pub trouble: Trouble,
    /// Whom it hits, to be taken modulo the number of those.
    pub target: usize,
    /// How long it lasts, where it does.
    pub lasts: Duration,
}

/// The troubles of a soak of this length. Two or three overlap: they come closer together than they last.
pub fn troubles(seed: u64, length: Duration) -> Vec<Planned> {
    let mut random = Rng::with_seed(seed);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(1200);
    // The last ones have time to end.
    while at + Duration::from_secs(2) < length {
        planned.push(Planned {
            at,
            trouble: TROUBLES[random.usize(..TROUBLES.len())],
            target: random.usize(..1 << 16),
            lasts: Duration::from_millis(random.u64(100..2000)),
        });
        at += Duration::from_millis(random.u64(50..700));
    }
    planned
}

/// Which system calls fail in one start of a gatherer, in the words of the library of faults.
pub fn faults(seed: u64, start: u64) -> String {
    let mut random = Rng::with_seed(seed ^ start.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut words = vec![format!("seed={}", random.u32(..))];
    let mut add = |words: &mut Vec<String>, chance: f64, names: &[&str], least: f64, most: f64| {
        if random.f64() < chance {
            let rate = least + (most - least) * random.f64();
            words.extend(names.iter().map(|name| format!("{name}={rate:.4}")));
        }
    };
    add(&mut words, 0.6, &["short_read"], 0.02, 0.3);
    add(&mut words, 0.6, &["short_write"], 0.02, 0.3);
    add(&mut words, 0.6, &["interrupt"], 0.004, 0.05);
    add(&mut words, 0.4, &["wait_interrupt"], 0.02, 0.1);
    add(&mut words, 0.5, &["accept"], 0.02, 1.0);
    add(&mut words, 0.5, &["connect", "socket", "bind"], 0.02, 1.0);
    add(&mut words, 0.3, &["open", "file_write"], 0.1, 0.9);
    add(&mut words, 0.4, &["wall_step_s"], 60.0, 3600.0);
    words.push("wall_period_ms=1500".to_owned());
    words.join(",")
}
