//! Limits and state in a hot restart: both processes together use no more than one process may, and the
//! successor continues with the snapshot of its predecessor.

mod common;

use bytes::BytesMut;
use common::platform::{platform_config, search_request, single_part};
use gatherer::limits::{DescriptorAllocator, DescriptorBudget, DescriptorClass};
use gatherer::policy::{AttemptOutcome, ClassId, EndpointStatus, Time};
use gatherer::protocol::handover::{self, Message, TakeoverState};
use gatherer::routing::{AttemptCompletion, Command, Core, ListOrigin, ListedWorker, WorkerListUpdate};
use proptest::prelude::*;
use std::time::Duration;

const START: Time = Time(1_700_000_000_000_000_000);

/// The time that is `milliseconds` after the start of the test.
fn after(milliseconds: u64) -> Time {
    START.after(Duration::from_millis(milliseconds))
}

/// An endpoint list of the workers w1 and w2, with the times at which they started.
fn list(started_at: [Option<Time>; 2]) -> WorkerListUpdate {
    let worker = |(name, started_at): (&str, Option<Time>)| ListedWorker {
        name: name.to_owned(),
        address: name.to_owned(),
        zone: String::new(),
        cell: 0,
        status: EndpointStatus::Active,
        units: 1.0,
        started_at,
    };
    WorkerListUpdate {
        revision: 1,
        complete: true,
        workers: ["w1", "w2"].into_iter().zip(started_at).map(worker).collect(),
    }
}

/// The core of one of `processes` processes, with two workers.
fn core(processes: u32, started_at: [Option<Time>; 2]) -> Core {
    let mut core = Core::new(platform_config().contracts);
    core.set_process_count(processes);
    core.apply_endpoint_update(START, &list(started_at), ListOrigin::Discovery);
    core.step(START);
    core
}

/// Submits a query with one part of 0.2 s and finishes its attempts at once: those at the worker
/// `unreachable` fail to connect, all others succeed. Returns the names of the workers that received an
/// attempt.
fn submit(core: &mut Core, now: Time, unreachable: &str) -> Vec<String> {
    let part = single_part(Some(Duration::from_millis(200)));
    let request = search_request(ClassId(0), vec![part]);
    core.submit(now, request).expect("the query is accepted");
    let mut tried = Vec::new();
    for _ in 0..4 {
        for command in core.step(now) {
            let Command::Call { worker, parts } = command else { continue };
            let name = core.worker_name(worker).expect("a name").to_owned();
            let outcome =
                if name == unreachable { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Succeeded };
            parts.iter().for_each(|part| {
                core.on_attempt_finished(now, part.attempt_id, AttemptCompletion::without_value(outcome))
            });
            tried.push(name);
        }
    }
    tried
}

/// The state that a process hands over, encoded and decoded as the successor receives it.
fn handed_over(core: &Core) -> TakeoverState {
    let (list, disabled_workers, policy_snapshot) =
        (core.endpoint_list(), core.disabled_workers().clone(), core.policy_snapshot());
    let message = Message::TakeoverState(Box::new(TakeoverState {
        list,
        disabled_workers,
        drained: false,
        policy_snapshot,
    }));
    let mut bytes = BytesMut::from(&handover::encode(&message).expect("encoded")[..]);
    match handover::take_message(&mut bytes) {
        Ok(Some(Message::TakeoverState(state))) => *state,
        other => panic!("expected the takeover state, found {other:?}"),
    }
}

/// The core of a successor that takes over this state.
fn successor(state: TakeoverState, now: Time) -> Core {
    let mut core = Core::new(platform_config().contracts);
    core.restore_from_peer(now, &state.list, state.disabled_workers, state.policy_snapshot);
    core.step(now);
    core
}

#[test]
fn two_processes_send_a_worker_in_slow_start_no_more_parts_than_one_process() {
    // The slow-start budget is that of the gatherer, which both processes share.
    let sent_by = |processes: u32| {
        let mut cores: Vec<Core> = (0..processes).map(|_| core(processes, [Some(START), None])).collect();
        (0..150_u64).fold(0, |sent, number| {
            let count = cores.len();
            let tried = submit(&mut cores[number as usize % count], after(number * 10), "");
            sent + tried.iter().filter(|name| *name == "w1").count()
        })
    };
    let (one, two) = (sent_by(1), sent_by(2));
    assert!(one > 0 && two <= one, "{one} parts from one process, {two} from two");
}

#[test]
fn a_worker_that_the_predecessor_ejected_stays_ejected_in_the_successor() {
    let mut first = core(1, [None, None]);
    // A worker to which connections fail is ejected.
    let tried: Vec<String> =
        (0..20).flat_map(|number| submit(&mut first, after(number * 20), "w1")).collect();
    assert!(tried.iter().any(|name| name == "w1"));
    assert_eq!(first.unavailable_workers(), 1);
    let mut second = successor(handed_over(&first), after(400));
    assert_eq!(second.unavailable_workers(), 1);
    assert!((0..20).all(|number| submit(&mut second, after(400 + number * 5), "w1") == ["w2"]));
    // A process without the snapshot sends attempts to the worker again.
    let mut fresh = core(1, [None, None]);
    let tried: Vec<String> =
        (0..20).flat_map(|number| submit(&mut fresh, after(400 + number * 5), "w1")).collect();
    assert!(tried.iter().any(|name| name == "w1"));
}

#[test]
fn the_snapshot_of_a_restarted_worker_is_discarded() {
    let mut first = core(1, [None, None]);
    (0..20).for_each(|number| drop(submit(&mut first, after(number * 20), "w1")));
    let mut state = handed_over(&first);
    state.list = list([Some(after(300)), None]);
    assert_eq!((first.unavailable_workers(), successor(state, after(400)).unavailable_workers()), (1, 0));
}

proptest! {
    #[test]
    fn halving_the_descriptor_budget_reclaims_no_class_below_its_floor(
        acquired in prop::collection::vec(0..5_usize, 0..200),
        limit in 128..600_usize,
    ) {
        let classes = [
            DescriptorClass::Clients,
            DescriptorClass::Workers,
            DescriptorClass::Discovery,
            DescriptorClass::Files,
            DescriptorClass::Operators,
        ];
        let mut descriptors = DescriptorAllocator::new(DescriptorBudget::new(limit, 20, 8).expect("enough"));
        for class in acquired {
            // An error means that no descriptor is free.
            let _ = descriptors.acquire(classes[class]);
        }
        descriptors.set_budget(DescriptorBudget::new(limit / 2, 20, 8).expect("enough"));
        // Descriptors are reclaimed one at a time, from any class above its floor, until the lower limit
        // holds.
        while descriptors.excess() > 0 {
            let before = descriptors.excess();
            let class = descriptors.class_to_reclaim_from().expect("a class holds more than its floor");
            prop_assert!(descriptors.held(class) > descriptors.budget().floors[class as usize]);
            prop_assert!(descriptors.acquire(class).is_err(), "no class acquires more meanwhile");
            descriptors.release(class);
            prop_assert_eq!(descriptors.excess(), before - 1);
        }
    }
}
