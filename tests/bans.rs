//! Workers out by hand, as the core hands them to the module: nothing new while out, a cold one's share once back.

use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::records::record::{RecordBody, RecordedWorkerState};
use gatherer::routing::{
    AttemptCompletion, Command, Core, ListedWorker, QueryPart, SearchRequest, WorkerListUpdate,
};
use proptest::prelude::*;
use std::time::Duration;

const START: Time = Time(1_700_000_000_000_000_000);

fn core() -> Core {
    let json = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let mut core = Core::new(config.contracts);
    core.apply_endpoint_update(START, &config.initial_workers.expect("a list"), true);
    core.step(START);
    core
}

fn news(core: &mut Core, now: Time, name: &str, status: EndpointStatus, since: Option<Time>) {
    let (address, zone) = (name.to_owned(), String::new());
    let member =
        ListedWorker { name: name.to_owned(), address, zone, cell: 0, status, units: 1.0, started_at: since };
    core.apply_endpoint_update(
        now,
        &WorkerListUpdate { revision: 2, complete: false, workers: vec![member] },
        false,
    );
}

/// Asks for a part of 0.2 s and serves it at once; the servers that it was sent to, by name.
fn ask(core: &mut Core, now: Time) -> Vec<String> {
    let hint = Some(Duration::from_millis(200));
    let part = QueryPart { shard: ShardId(0), weight: 1.0, cost_hint: hint, key: None };
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
    let mut sent = Vec::new();
    for order in core.step(now) {
        if let Command::Call { worker: leaf, parts } = order {
            sent.push(leaf);
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
    sent.iter().map(|leaf| core.worker_name(*leaf).expect("a name").to_owned()).collect()
}

#[test]
fn a_worker_that_is_back_counts_as_just_started() {
    // Guards against a rush to a worker that was restarted while it was out, of which discovery tells seconds late.
    let mut core = core();
    let warm =
        (0..200).filter(|at| ask(&mut core, START.after(Duration::from_millis(at * 20))) == ["w1"]).count();
    let now = START.after(Duration::from_secs(5));
    assert!(core.disable_worker(now, "w1") && core.disable_worker(now, "w1"));
    assert!((0..50).all(|_| ask(&mut core, now) == ["w2"]));
    assert!(core.enable_worker(now, "w1"));
    let back =
        (0..50_u64).filter(|at| ask(&mut core, now.after(Duration::from_millis(at * 20))) == ["w1"]).count();
    // Four cores at most are assumed, of which a cold one bears a fifth to a fourth; 0.6 x 2.5 times that for 1.5 s is
    // 2.3 s of work, or 11 parts. A warm one had 27.
    assert!(
        warm > 60 && (1..=11).contains(&back),
        "{warm} of 200 while warm, {back} of 50 in the first second back"
    );
}

#[test]
fn the_records_tell_of_what_is_done_by_hand() {
    let mut core = core();
    core.metrics = Some(Default::default());
    let told = |core: &mut Core| {
        let states = std::mem::take(&mut core.record_events).into_iter().filter_map(|body| match body {
            RecordBody::Worker { worker, state } => Some((worker, state)),
            _ => None,
        });
        states.collect::<Vec<_>>()
    };
    let state = |state| vec![("w1".to_owned(), state)];
    assert!(core.disable_worker(START, "w1") && core.disable_worker(START, "w1"));
    assert_eq!(told(&mut core), state(RecordedWorkerState::Disabled), "once, however often it is called");
    // What discovery says meanwhile changes nothing of it.
    news(&mut core, START, "w1", EndpointStatus::Active, Some(START));
    assert_eq!(told(&mut core), []);
    assert!(core.enable_worker(START, "w1"));
    assert_eq!(told(&mut core), state(RecordedWorkerState::WarmingUp));
}

proptest! {
    #[test]
    fn nothing_but_the_call_back_undoes_a_ban(
        steps in prop::collection::vec((0..2_usize, 0..6_u8, 0..2000_u64), 1..60),
    ) {
        let (mut core, mut now) = (core(), START);
        let mut out = [false; 2];
        for (worker, what, gap) in steps {
            now = now.after(Duration::from_millis(gap));
            let name = ["w1", "w2"][worker];
            match what {
                0 | 1 => {
                    prop_assert!(core.disable_worker(now, name));
                    out[worker] = true;
                }
                2 => {
                    prop_assert!(core.enable_worker(now, name));
                    out[worker] = false;
                }
                3 => news(&mut core, now, name, EndpointStatus::Active, Some(now)),
                4 => news(&mut core, now, name, EndpointStatus::Gone, None),
                _ => news(&mut core, now, name, EndpointStatus::Draining, None),
            }
            prop_assert!(!core.disable_worker(now, "w3") && !core.enable_worker(now, "w3"));
            let sent = ask(&mut core, now);
            prop_assert!(sent.iter().all(|name| !out[usize::from(name == "w2")]), "{sent:?}, out: {out:?}");
            let listed: Vec<&str> = ["w1", "w2"].into_iter().filter(|name| core.disabled_workers().is_disabled(name)).collect();
            prop_assert_eq!(listed.len(), out.iter().filter(|out| **out).count());
        }
    }
}
