//! Two processes of one gatherer at the core: together they push, hold and use no more than one, and the second goes on
//! with what the first has learned.

use bytes::BytesMut;
use gatherer::limits::{DescriptorAllocator, DescriptorBudget, DescriptorClass};
use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::protocol::handover::{self, Message, TakeoverState};
use gatherer::routing::{
    AttemptCompletion, Command, Core, ListedWorker, QueryPart, SearchRequest, WorkerListUpdate,
};
use proptest::prelude::*;
use std::time::Duration;

const START: Time = Time(1_700_000_000_000_000_000);

fn after(ms: u64) -> Time {
    START.after(Duration::from_millis(ms))
}

fn list(since: [Option<Time>; 2]) -> WorkerListUpdate {
    let member = |(name, since): (&str, Option<Time>)| ListedWorker {
        name: name.to_owned(),
        address: name.to_owned(),
        zone: String::new(),
        cell: 0,
        status: EndpointStatus::Active,
        units: 1.0,
        started_at: since,
    };
    WorkerListUpdate {
        revision: 1,
        complete: true,
        workers: ["w1", "w2"].into_iter().zip(since).map(member).collect(),
    }
}

fn core(processes: u32, since: [Option<Time>; 2]) -> Core {
    let json = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let mut core = Core::new(Config::from_json(&json, |_| None).expect("a configuration").contracts);
    core.set_process_count(processes);
    core.apply_endpoint_update(START, &list(since), false);
    core.step(START);
    core
}

/// Asks for a part of 0.2 s and ends its attempts at once: at a server that is down they are refused. The servers that
/// were tried.
fn ask(core: &mut Core, now: Time, down: &str) -> Vec<String> {
    let part =
        QueryPart { shard: ShardId(0), weight: 1.0, cost_hint: Some(Duration::from_millis(200)), key: None };
    let (class, left) = (ClassId(0), Duration::from_secs(5));
    let (text, parts) = (Default::default(), vec![part]);
    let ask = SearchRequest {
        label: "a".into(),
        class,
        tenant: None,
        time_left: left,
        retry: false,
        payload: text,
        parts,
    };
    core.submit(now, ask).expect("there is room");
    let mut tried = Vec::new();
    for _ in 0..4 {
        for order in core.step(now) {
            let Command::Call { worker: leaf, parts } = order else { continue };
            let name = core.worker_name(leaf).expect("a name").to_owned();
            let outcome =
                if name == down { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Succeeded };
            parts.iter().for_each(|part| {
                core.on_attempt_finished(now, part.attempt_id, AttemptCompletion::without_value(outcome))
            });
            tried.push(name);
        }
    }
    tried
}

/// What the first passes on, as the second reads it.
fn passed(core: &Core) -> TakeoverState {
    let (list, bans, learned) =
        (core.endpoint_list(), core.disabled_workers().clone(), core.policy_snapshot());
    let message = Message::TakeoverState(Box::new(TakeoverState {
        list,
        disabled_workers: bans,
        drained: false,
        learned,
    }));
    let mut bytes = BytesMut::from(&handover::encode(&message).expect("encoded")[..]);
    match handover::take_message(&mut bytes) {
        Ok(Some(Message::TakeoverState(state))) => *state,
        other => panic!("{other:?}"),
    }
}

fn successor(state: TakeoverState, now: Time) -> Core {
    let json = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let mut core = Core::new(Config::from_json(&json, |_| None).expect("a configuration").contracts);
    core.take_over(now, &state.list, state.disabled_workers, state.learned);
    core.step(now);
    core
}

#[test]
fn two_processes_push_a_cold_worker_no_more_than_one() {
    // Guards the rule on cold workers while an upgrade goes on: both processes are one gatherer to it.
    let pushed = |processes: u32| {
        let mut cores: Vec<Core> = (0..processes).map(|_| core(processes, [Some(START), None])).collect();
        (0..150_u64).fold(0, |pushed, at| {
            let count = cores.len();
            let tried = ask(&mut cores[at as usize % count], after(at * 10), "");
            pushed + tried.iter().filter(|name| *name == "w1").count()
        })
    };
    let (one, two) = (pushed(1), pushed(2));
    assert!(one > 0 && two <= one, "{one} parts from one process, {two} from two");
}

#[test]
fn a_successor_goes_on_with_what_was_learned() {
    let mut first = core(1, [None, None]);
    // A worker that refuses is found out, and left alone.
    let tried: Vec<String> = (0..20).flat_map(|at| ask(&mut first, after(at * 20), "w1")).collect();
    assert!(tried.iter().any(|name| name == "w1"));
    assert_eq!(first.avoided_workers(), 1);
    let mut second = successor(passed(&first), after(400));
    assert_eq!(second.avoided_workers(), 1);
    assert!((0..20).all(|at| ask(&mut second, after(400 + at * 5), "w1") == ["w2"]));
    // A fresh start, which is what a hand-over that cannot be used costs, finds it out anew.
    let mut fresh = core(1, [None, None]);
    let tried: Vec<String> = (0..20).flat_map(|at| ask(&mut fresh, after(400 + at * 5), "w1")).collect();
    assert!(tried.iter().any(|name| name == "w1"));
}

#[test]
fn what_was_learned_of_a_process_that_was_replaced_is_void() {
    let mut first = core(1, [None, None]);
    (0..20).for_each(|at| drop(ask(&mut first, after(at * 20), "w1")));
    let mut state = passed(&first);
    state.list = list([Some(after(300)), None]);
    assert_eq!((first.avoided_workers(), successor(state, after(400)).avoided_workers()), (1, 0));
}

proptest! {
    #[test]
    fn descriptors_that_are_shared_leave_nobody_below_its_floor(
        taken in prop::collection::vec(0..5_usize, 0..200),
        limit in 128..600_usize,
    ) {
        let sides = [DescriptorClass::Clients, DescriptorClass::Workers, DescriptorClass::Discovery, DescriptorClass::Files, DescriptorClass::Operators];
        let mut all = DescriptorAllocator::new(DescriptorBudget::new(limit, 20, 8).expect("enough"));
        for side in taken {
            // Where all are held, it gets none.
            let _ = all.acquire(sides[side]);
        }
        all.set_budget(DescriptorBudget::new(limit / 2, 20, 8).expect("enough"));
        // All is held loosely: each is called back in turn, until the half is kept.
        while all.excess() > 0 {
            let before = all.excess();
            let side = all.class_to_reclaim_from().expect("someone holds more than its floor");
            prop_assert!(all.held(side) > all.budget().floors[side as usize]);
            prop_assert!(all.acquire(side).is_err(), "nobody gets more meanwhile");
            all.release(side);
            prop_assert_eq!(all.excess(), before - 1);
        }
    }
}
