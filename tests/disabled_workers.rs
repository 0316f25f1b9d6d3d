//! Tests of disabled workers at the core: they receive no new attempts, and count as warming up after they
//! are enabled.

mod common;

use common::platform::{platform_config, search_request, single_part};
use gatherer::policy::{AttemptOutcome, ClassId, EndpointStatus, Time};
use gatherer::records::record::{RecordBody, RecordedWorkerState};
use gatherer::routing::{AttemptCompletion, Command, Core, ListOrigin, ListedWorker, WorkerListUpdate};
use proptest::prelude::*;
use std::time::Duration;

const START: Time = Time(1_700_000_000_000_000_000);

/// Returns a core with an endpoint list of the workers w1 and w2.
fn core() -> Core {
    let config = platform_config();
    let mut core = Core::new(config.contracts);
    core.apply_endpoint_update(
        START,
        &config.initial_workers.expect("the configuration lists workers"),
        ListOrigin::Cache,
    );
    core.step(START);
    core
}

/// Applies an update from discovery that changes one worker.
fn apply_status(core: &mut Core, now: Time, name: &str, status: EndpointStatus, started_at: Option<Time>) {
    let (address, zone) = (name.to_owned(), String::new());
    let worker =
        ListedWorker { name: name.to_owned(), address, zone, cell: 0, status, units: 1.0, started_at };
    core.apply_endpoint_update(
        now,
        &WorkerListUpdate { revision: 2, complete: false, workers: vec![worker] },
        ListOrigin::Discovery,
    );
}

/// Submits a query whose one part has a cost hint of 0.2 s, and completes it at once. Returns the names of
/// the workers that received an attempt.
fn submit(core: &mut Core, now: Time) -> Vec<String> {
    let part = single_part(Some(Duration::from_millis(200)));
    let request = search_request(ClassId(0), vec![part]);
    core.submit(now, request).expect("the query is accepted");
    let mut sent = Vec::new();
    for command in core.step(now) {
        if let Command::Call { worker, parts } = command {
            sent.push(worker);
            parts.iter().for_each(|part| {
                core.on_attempt_finished(
                    now,
                    part.attempt_id,
                    AttemptCompletion::without_value(AttemptOutcome::Succeeded),
                )
            });
        }
    }
    core.step(now);
    sent.iter()
        .map(|worker| core.worker_name(*worker).expect("the worker is registered").to_owned())
        .collect()
}

#[test]
fn an_enabled_worker_counts_as_just_started() {
    // A worker may have been restarted while it was disabled, and discovery lists the new start time only
    // seconds later.
    let mut core = core();
    let warm = (0..200)
        .filter(|number| submit(&mut core, START.after(Duration::from_millis(number * 20))) == ["w1"])
        .count();
    let now = START.after(Duration::from_secs(5));
    assert!(core.disable_worker(now, "w1") && core.disable_worker(now, "w1"));
    assert!((0..50).all(|_| submit(&mut core, now) == ["w2"]));
    assert!(core.enable_worker(now, "w1"));
    let enabled = (0..50_u64)
        .filter(|number| submit(&mut core, now.after(Duration::from_millis(number * 20))) == ["w1"])
        .count();
    // The decision module assumes four cores at most for a worker, and a worker that warms up gets a fifth to
    // a fourth of their capacity. 0.6 x 2.5 times that for 1.5 s is 2.3 s of work, or 11 parts. A warm worker
    // receives 27.
    assert!(
        warm > 60 && (1..=11).contains(&enabled),
        "w1 received {warm} of 200 queries while warm, {enabled} of 50 in the second after it was enabled"
    );
}

#[test]
fn the_records_show_what_operators_disable_and_enable() {
    let mut core = core();
    core.metrics = Some(Default::default());
    let recorded = |core: &mut Core| {
        let states = std::mem::take(&mut core.record_events).into_iter().filter_map(|body| match body {
            RecordBody::Worker { worker, state } => Some((worker, state)),
            _ => None,
        });
        states.collect::<Vec<_>>()
    };
    let only_w1 = |state| vec![("w1".to_owned(), state)];
    assert!(core.disable_worker(START, "w1") && core.disable_worker(START, "w1"));
    assert_eq!(
        recorded(&mut core),
        only_w1(RecordedWorkerState::Disabled),
        "a repeated request is recorded once"
    );
    // An update from discovery does not enable the worker.
    apply_status(&mut core, START, "w1", EndpointStatus::Active, Some(START));
    assert_eq!(recorded(&mut core), []);
    assert!(core.enable_worker(START, "w1"));
    assert_eq!(recorded(&mut core), only_w1(RecordedWorkerState::WarmingUp));
}

proptest! {
    #[test]
    fn only_an_operator_enables_a_disabled_worker(
        steps in prop::collection::vec((0..2_usize, 0..6_u8, 0..2000_u64), 1..60),
    ) {
        let (mut core, mut now) = (core(), START);
        let mut disabled = [false; 2];
        for (worker, action, gap) in steps {
            now = now.after(Duration::from_millis(gap));
            let name = ["w1", "w2"][worker];
            match action {
                0 | 1 => {
                    prop_assert!(core.disable_worker(now, name));
                    disabled[worker] = true;
                }
                2 => {
                    prop_assert!(core.enable_worker(now, name));
                    disabled[worker] = false;
                }
                3 => apply_status(&mut core, now, name, EndpointStatus::Active, Some(now)),
                4 => apply_status(&mut core, now, name, EndpointStatus::Gone, None),
                _ => apply_status(&mut core, now, name, EndpointStatus::Draining, None),
            }
            prop_assert!(!core.disable_worker(now, "w3") && !core.enable_worker(now, "w3"));
            let sent = submit(&mut core, now);
            prop_assert!(
                sent.iter().all(|name| !disabled[usize::from(name == "w2")]),
                "sent to {sent:?} while disabled is {disabled:?}"
            );
            let disabled_names: Vec<&str> = ["w1", "w2"]
                .into_iter()
                .filter(|name| core.disabled_workers().is_disabled(name))
                .collect();
            prop_assert_eq!(disabled_names.len(), disabled.iter().filter(|disabled| **disabled).count());
        }
    }
}
