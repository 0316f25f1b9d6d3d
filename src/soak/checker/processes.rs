//! The invariants of a gatherer's processes, from start to end.

use super::observations::{Observations, Process};
use super::violation::{Violation, ViolationKind, ms, report};

/// A process that starts is ready within this.
const READY_LIMIT_US: u64 = 10_000_000;
/// A process that got SIGTERM has ended so long after the longest deadline.
const EXIT_SLACK_US: u64 = 1_500_000;
/// The gatherer's own invariant counter that a pause of its process violates through no fault of its own.
const ENDED_IN_TIME: &str = "ended_in_time";

/// Whether each process started and ended in time, did not crash, and counted no violated invariant itself.
pub fn check_processes(observations: &Observations, violations: &mut Vec<Violation>) {
    for (number, process) in observations.processes.iter().enumerate() {
        let about = format!("process {number} of gatherer {}", process.gatherer);
        let lag_us = observations.observer_lag_us + process.longest_pause_us;
        let exit_limit_us = observations.longest_deadline_us + EXIT_SLACK_US + lag_us;
        check_exit(process, &about, violations);
        check_readiness(process, lag_us, &about, violations);
        check_exit_time(process, exit_limit_us, &about, violations);
        check_invariant_counters(process, &about, violations);
    }
}

/// Whether a process panicked, or ended without a signal or without success.
fn check_exit(process: &Process, about: &str, violations: &mut Vec<Violation>) {
    if let Some(panic) = &process.panic {
        report(violations, ViolationKind::Crash, format!("{about}: {panic}"));
    }
    let signalled_at = process.terminated_at.or(process.killed_at);
    match process.exit {
        Some(exit) if signalled_at.is_none_or(|signalled_at| exit.at < signalled_at) => {
            let kind =
                if process.ready_at.is_some() { ViolationKind::Crash } else { ViolationKind::FailedStart };
            let how = if exit.success { "with success" } else { "without success" };
            report(violations, kind, format!("{about}: it ended without a signal, {how}"));
        }
        Some(exit) if !exit.success && process.killed_at.is_none() => {
            report(violations, ViolationKind::Crash, format!("{about}: it ended without success"));
        }
        _ => {}
    }
}

/// Whether a process was ready in time, if it was let run so long.
fn check_readiness(process: &Process, lag_us: u64, about: &str, violations: &mut Vec<Violation>) {
    let latest = process.started_at + READY_LIMIT_US + lag_us;
    let signalled_at = process.terminated_at.or(process.killed_at);
    let exited_at = process.exit.map(|exit| exit.at);
    let ended_early = [signalled_at, exited_at].into_iter().flatten().any(|at| at < latest);
    if process.ready_at.map_or(!ended_early, |ready_at| ready_at > latest) {
        let details = format!("{about}: it was not ready within {} s", READY_LIMIT_US / 1_000_000);
        report(violations, ViolationKind::FailedStart, details);
    }
}

/// Whether a process ended in time after SIGTERM.
fn check_exit_time(process: &Process, limit_us: u64, about: &str, violations: &mut Vec<Violation>) {
    let (Some(terminated_at), None) = (process.terminated_at, process.killed_at) else { return };
    if process.exit.is_none_or(|exit| exit.at > terminated_at + limit_us) {
        let details = format!("{about}: it did not end within {} ms", ms(limit_us));
        report(violations, ViolationKind::LateExit, details);
    }
}

/// Whether a process counted a violated invariant itself.
fn check_invariant_counters(process: &Process, about: &str, violations: &mut Vec<Violation>) {
    for (name, count) in process.invariant_counters.iter().filter(|(_, count)| **count > 0) {
        // A paused process responds late through no fault of its own.
        if name != ENDED_IN_TIME || process.longest_pause_us == 0 {
            report(violations, ViolationKind::CountedByGatherer, format!("{about}: {name}={count}"));
        }
    }
}
