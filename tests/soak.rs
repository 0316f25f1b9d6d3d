//! The soak's judge: each invariant's own proof that it can fail, and that what is allowed is no failure.

mod common;

use gatherer::soak::judge::*;
use gatherer::soak::plan;
use std::time::Duration;

const S: u64 = 1_000_000;

/// One request that was served by one part, at a gatherer that was started, told to end, and ended.
fn sound() -> Observations {
    Observations {
        requests: vec![Request {
            id: "a".to_owned(),
            once: true,
            start: 0,
            fresh: true,
            sent: 10 * S,
            budget: 2 * S,
            ended: 10 * S + 20_000,
            end: RequestEnd::Answered { status: 200, honest: true },
        }],
        parts: vec![part(10 * S + 5000)],
        processes: vec![Process {
            started: S,
            ready: Some(S + 100_000),
            told_to_end: Some(30 * S),
            ended: Some((31 * S, true)),
            ..Process::default()
        }],
        drain_grace: 250_000,
        longest: 3 * S,
        lag: 1000,
        ..Observations::default()
    }
}

fn part(came: u64) -> Part {
    let (request, worker) = ("a".to_owned(), "w0".to_owned());
    Part { request, shard: 3, worker, came, told: S, ran: true }
}

/// What falls once this is changed.
fn falls(change: impl FnOnce(&mut Observations)) -> Vec<Broken> {
    let mut seen = sound();
    change(&mut seen);
    judge(&seen).into_iter().map(|finding| finding.broken).collect()
}

fn ends(end: RequestEnd) -> impl FnOnce(&mut Observations) {
    move |seen| seen.requests[0].end = end
}

#[test]
fn each_invariant_of_requests_and_parts_can_fall() {
    assert_eq!(falls(|_| {}), []);
    assert_eq!(falls(ends(RequestEnd::Silent)), [Broken::Lost]);
    assert_eq!(falls(ends(RequestEnd::Closed)), [Broken::Lost]);
    assert_eq!(falls(|seen| seen.requests[0].ended = 12 * S + 600_000), [Broken::Lost]);
    let dishonest = RequestEnd::Answered { status: 200, honest: false };
    assert_eq!(falls(ends(dishonest)), [Broken::Dishonest]);
    assert_eq!(falls(|seen| seen.parts.push(part(10 * S + 9000))), [Broken::Duplicate]);
    assert_eq!(falls(|seen| seen.parts[0].told = 2 * S + 200_000), [Broken::Deadline]);
    let left = |seen: &mut Observations| {
        (seen.requests[0].end, seen.requests[0].ended) = (RequestEnd::Left, 10 * S + 1000);
        seen.parts[0].came = 10 * S + 150_000;
    };
    assert_eq!(falls(left), [Broken::AfterLeaving]);
    let change = Change { gatherer: 0, worker: "w0".to_owned(), told: 9 * S, until: 12 * S };
    assert_eq!(falls(|seen| seen.changes.push(change)), [Broken::Drain]);
}

#[test]
fn each_invariant_of_processes_and_bad_clients_can_fall() {
    assert_eq!(falls(|seen| seen.processes[0].panic = Some("panicked".to_owned())), [Broken::Crash]);
    assert_eq!(falls(|seen| seen.processes[0].ended = Some((31 * S, false))), [Broken::Crash]);
    assert_eq!(falls(|seen| seen.processes[0].ended = Some((20 * S, true))), [Broken::Crash]);
    assert_eq!(falls(|seen| seen.processes[0].ready = Some(20 * S)), [Broken::Start]);
    let failed = |seen: &mut Observations| {
        (seen.processes[0].ready, seen.processes[0].ended) = (None, Some((2 * S, false)));
    };
    assert_eq!(falls(failed), [Broken::Start]);
    assert_eq!(falls(|seen| seen.processes[0].ended = None), [Broken::End]);
    assert_eq!(falls(|seen| seen.processes[0].ended = Some((36 * S, true))), [Broken::End]);
    let counted = |seen: &mut Observations| {
        seen.processes[0].violations.insert("sent_in_time".to_owned(), 1);
    };
    assert_eq!(falls(counted), [Broken::Counted]);
    let held = |ended| Stopped { since: 10 * S, ended };
    assert_eq!(falls(|seen| seen.stopped.push(held(None))), [Broken::BadClient]);
    assert_eq!(falls(|seen| seen.stopped.push(held(Some(14 * S)))), [Broken::BadClient]);
}

#[test]
fn what_the_pages_allow_is_no_failure() {
    // A close that crosses an unread request on a kept connection; a process that was killed; a worker that stood still.
    let crossed = |seen: &mut Observations| {
        (seen.requests[0].end, seen.requests[0].fresh) = (RequestEnd::Closed, false);
        seen.parts.clear();
    };
    assert_eq!(falls(crossed), []);
    let killed = |seen: &mut Observations| {
        seen.requests[0].end = RequestEnd::Closed;
        (seen.processes[0].killed, seen.processes[0].told_to_end) = (Some(10 * S), None);
        seen.processes[0].ended = Some((10 * S + 1000, false));
    };
    assert_eq!(falls(killed), []);
    let paused = |seen: &mut Observations| {
        seen.parts[0].came = 11 * S + 900_000;
        seen.pauses.push(WorkerPause { worker: "w0".to_owned(), from: 10 * S, to: 11 * S + 890_000 });
    };
    assert_eq!(falls(paused), []);
    // What was turned away did not run.
    let turned_away = |seen: &mut Observations| {
        seen.parts[0].ran = false;
        seen.parts.push(part(10 * S + 9000));
    };
    assert_eq!(falls(turned_away), []);
}

#[test]
fn a_seed_draws_the_same_soak_again_and_its_troubles_overlap() {
    let length = Duration::from_secs(20);
    let troubles = plan::troubles(7, length);
    assert_eq!(troubles, plan::troubles(7, length));
    assert_ne!(troubles, plan::troubles(8, length));
    assert_ne!(plan::faults(7, 1), plan::faults(7, 2));
    let overlaps = troubles.windows(2).filter(|two| two[0].at + two[0].lasts > two[1].at).count();
    assert!(overlaps * 2 > troubles.len(), "{overlaps} of {}", troubles.len());
}

#[test]
fn a_short_soak_of_real_processes_breaks_no_invariant() {
    let library = common::process::faults_library();
    let logs = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak");
    let mut soak = std::process::Command::new(env!("CARGO_BIN_EXE_soak-test"));
    soak.args([
        "run",
        "--seed",
        "11",
        "--seconds",
        "8",
        "--gatherers",
        "2",
        "--workers",
        "6",
        "--clients",
        "8",
    ]);
    soak.arg("--program").arg(env!("CARGO_BIN_EXE_gatherer")).arg("--library").arg(library);
    let played = soak.arg("--logs").arg(logs).output().expect("it is played");
    let said = String::from_utf8_lossy(&played.stdout);
    assert!(played.status.success(), "{said}{}", String::from_utf8_lossy(&played.stderr));
    assert!(said.contains("no invariant fell"), "{said}");
}
