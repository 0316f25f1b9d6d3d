//! The log on standard error: one line for each event, bounded in rate and in length.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Number of lines that may be written in a burst.
const BURST_LINES: f64 = 100.0;
/// Number of lines per second that may be written after a burst.
const LINES_PER_SECOND: f64 = 20.0;
/// Longest line in characters; longer ones are truncated.
const MAX_LINE_CHARS: usize = 600;

/// Token bucket that bounds the rate of lines, and counts those that it drops.
struct RateLimit {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

thread_local! {
    static RATE_LIMIT: RefCell<RateLimit> = RefCell::new(RateLimit::new(Instant::now()));
}

impl RateLimit {
    /// Creates a full bucket.
    fn new(now: Instant) -> RateLimit {
        RateLimit { tokens: BURST_LINES, refilled_at: now, dropped: 0 }
    }

    /// Takes a token for one line. Returns the number of lines dropped since the last token was taken, or `None` if
    /// this line is dropped too.
    fn try_acquire(&mut self, now: Instant) -> Option<u64> {
        let gained = now.saturating_duration_since(self.refilled_at).max(Duration::ZERO).as_secs_f64()
            * LINES_PER_SECOND;
        (self.tokens, self.refilled_at) = ((self.tokens + gained).min(BURST_LINES), now);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

struct StderrLogger;

impl log::Log for StderrLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }
    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Some(dropped) = RATE_LIMIT.with_borrow_mut(|rate_limit| rate_limit.try_acquire(Instant::now()))
        else {
            return;
        };
        if dropped > 0 {
            eprintln!("WARN log: {dropped} lines dropped, limit is {LINES_PER_SECOND} lines per second");
        }
        let line: String = record.args().to_string().chars().take(MAX_LINE_CHARS).collect();
        eprintln!("{} {}", record.level(), line.replace(['\n', '\r'], " "));
    }
    fn flush(&self) {}
}

/// Installs the logger for lines of this level and above. A second call only changes the level.
pub fn install(level: log::LevelFilter) {
    // Fails only if a logger is installed already, and the program installs no other than this one.
    let _ = log::set_logger(&StderrLogger);
    log::set_max_level(level);
}

#[cfg(test)]
mod tests;
