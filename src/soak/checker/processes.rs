//! The invariants of a gatherer's processes: start, exit, panics and the process's own invariant counters.

use super::observations::{Observations, Process};
use super::violation::{Violation, ViolationKind, ms, report};

/// Time from the start of a process within which it must be ready.
const READY_LIMIT_US: u64 = 10_000_000;
/// Time beyond the longest deadline within which a process must exit after SIGTERM.
const EXIT_SLACK_US: u64 = 1_500_000;
/// Name of the gatherer's invariant counter that also counts responses delayed by a pause of its process.
const ENDED_IN_TIME: &str = "ended_in_time";

/// Checks that each process started and exited in time, did not crash, and counted no violated invariant.
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

/// Reports a process that panicked, ended without a signal, or ended with a failure status though it was not
/// killed.
fn check_exit(process: &Process, about: &str, violations: &mut Vec<Violation>) {
    if let Some(panic) = &process.panic {
        report(violations, ViolationKind::Crash, format!("{about}: {panic}"));
    }
    let signalled_at = process.terminated_at.or(process.killed_at);
    match process.exit {
        Some(exit) if signalled_at.is_none_or(|signalled_at| exit.at < signalled_at) => {
            let kind =
                if process.ready_at.is_some() { ViolationKind::Crash } else { ViolationKind::FailedStart };
            let status = if exit.success { "success" } else { "a failure status" };
            report(violations, kind, format!("{about} ended without a signal, with {status}"));
        }
        Some(exit) if !exit.success && process.killed_at.is_none() => {
            report(violations, ViolationKind::Crash, format!("{about} ended with a failure status"));
        }
        _ => {}
    }
}

/// Checks that a process was ready in time. One that never was is excused if it got a signal or ended before
/// its time was up.
fn check_readiness(process: &Process, lag_us: u64, about: &str, violations: &mut Vec<Violation>) {
    let latest = process.started_at + READY_LIMIT_US + lag_us;
    let signalled_at = process.terminated_at.or(process.killed_at);
    let exited_at = process.exit.map(|exit| exit.at);
    let ended_early = [signalled_at, exited_at].into_iter().flatten().any(|at| at < latest);
    if process.ready_at.map_or(!ended_early, |ready_at| ready_at > latest) {
        let details = format!("{about} was not ready within {} s", READY_LIMIT_US / 1_000_000);
        report(violations, ViolationKind::FailedStart, details);
    }
}

/// Checks that a process exited in time after SIGTERM, unless it was killed.
fn check_exit_time(process: &Process, limit_us: u64, about: &str, violations: &mut Vec<Violation>) {
    let (Some(terminated_at), None) = (process.terminated_at, process.killed_at) else { return };
    if process.exit.is_none_or(|exit| exit.at > terminated_at + limit_us) {
        let details = format!("{about} did not exit within {} ms after SIGTERM", ms(limit_us));
        report(violations, ViolationKind::LateExit, details);
    }
}

/// Reports the invariant counters of a process that are not zero.
fn check_invariant_counters(process: &Process, about: &str, violations: &mut Vec<Violation>) {
    for (name, count) in process.invariant_counters.iter().filter(|(_, count)| **count > 0) {
        // A process that was paused responds late; the pause is the test's own fault injection.
        if name != ENDED_IN_TIME || process.longest_pause_us == 0 {
            report(violations, ViolationKind::CountedByGatherer, format!("{about}: {name}={count}"));
        }
    }
}
