//! Lines for the people on call, on standard error, at a bounded rate.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Lines that may be written at once, and those that may follow each second.
const BURST: f64 = 100.0;
const PER_SECOND: f64 = 20.0;
/// The longest line; the rest of a longer one is cut.
const LONGEST: usize = 600;

struct Budget {
    left: f64,
    at: Instant,
    dropped: u64,
}

thread_local! {
    static BUDGET: RefCell<Budget> = RefCell::new(Budget { left: BURST, at: Instant::now(), dropped: 0 });
}

impl Budget {
    /// Whether a line may be written now, and how many were dropped before it.
    fn spend(&mut self, now: Instant) -> Option<u64> {
        let gained = now.saturating_duration_since(self.at).max(Duration::ZERO).as_secs_f64() * PER_SECOND;
        (self.left, self.at) = ((self.left + gained).min(BURST), now);
        if self.left < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

struct Lines;

impl log::Log for Lines {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }
    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Some(dropped) = BUDGET.with_borrow_mut(|budget| budget.spend(Instant::now())) else { return };
        if dropped > 0 {
            eprintln!("WARN log: {dropped} lines dropped");
        }
        let line: String = record.args().to_string().chars().take(LONGEST).collect();
        eprintln!("{} {}", record.level(), line.replace(['\n', '\r'], " "));
    }
    fn flush(&self) {}
}

/// Starts writing lines of this level and above; a second call changes nothing but the level.
pub fn install(level: log::LevelFilter) {
    // It fails only if a logger is in place, which is then this one.
    let _ = log::set_logger(&Lines);
    log::set_max_level(level);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        // Guards against a log that grows with the trouble it tells of: it counts as memory on the platform.
        let start = Instant::now();
        let mut budget = Budget { left: BURST, at: start, dropped: 0 };
        let written = (0..1000).filter(|_| budget.spend(start).is_some()).count();
        assert_eq!(written, 100);
        assert_eq!(budget.spend(start + Duration::from_secs(1)), Some(900));
    }
}
