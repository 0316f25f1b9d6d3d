//! Odd but legal event orders from fixed seeds, with the rules checked on what the module does.

mod common;

use common::{AggregatorHarness, Sent, class, entry, ms, settings};
use gatherer::policy::{
    Action, AttemptOutcome, Class, EndpointStatus, EndpointUpdate, Event, Idempotency, RequestId,
    RetryBudget, Settings, Time, TimerId, WorkerId,
};
use std::collections::BTreeMap;

fn play(seed: u64, effect: Idempotency) {
    let mut random = fastrand::Rng::with_seed(seed);
    let budget = RetryBudget { free_attempts: 3.0, ratio: 0.1, window: ms(2000) };
    let partial = Class { min_coverage: 0.6, ..class(effect) };
    let settings =
        Settings { seed, fleet_size: 2, classes: vec![partial], retry_budget: Some(budget), ..settings() };
    let mut harness = AggregatorHarness::new(settings, &[1, 2, 3, 4]);
    let mut open: BTreeMap<RequestId, (Time, Vec<RequestId>)> = BTreeMap::new();
    let mut out: Vec<Sent> = Vec::new();
    let mut done: Vec<RequestId> = Vec::new();
    let mut may_have_run: BTreeMap<RequestId, Time> = BTreeMap::new();
    let mut drained: BTreeMap<WorkerId, Time> = BTreeMap::new();
    let mut taken: Vec<Time> = Vec::new();
    let mut further: Vec<Time> = Vec::new();
    for step in 0..3000 {
        harness.now = harness.now.after(ms(random.u64(1..20)));
        let mut events = vec![Event::TimerFired { timer: TimerId(0) }];
        if step < 2500 && random.u8(0..4) == 0 {
            let (id, parts, new) = harness.new_query(Some(&format!("k{}", random.u8(0..9))), &[0, 1, 2]);
            events.extend(new);
            taken.extend([harness.now; 4]);
            open.insert(id, (harness.now.after(ms(5000)), parts));
        }
        let mut still = Vec::new();
        for sent in std::mem::take(&mut out) {
            let over = harness.now.since(sent.at) >= sent.timeout;
            if !over && random.u8(0..10) > 0 {
                still.push(sent);
                continue;
            }
            let outcome = match random.u8(0..10) {
                _ if over => AttemptOutcome::TimedOut,
                0 => AttemptOutcome::Failed,
                1 => AttemptOutcome::Rejected,
                2 => AttemptOutcome::ConnectFailed,
                3 => AttemptOutcome::ConnectionReset,
                _ => AttemptOutcome::Succeeded,
            };
            if !matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed) {
                may_have_run.entry(sent.id).or_insert(sent.at);
            }
            if outcome == AttemptOutcome::Succeeded {
                done.push(sent.id);
            }
            events.push(harness.attempt_finished(sent, outcome, Some(f64::from(random.u8(0..200)) / 100.0)));
        }
        out = still;
        if random.u16(0..400) == 0 {
            let worker = random.u32(1..5);
            let status = if drained.contains_key(&WorkerId(worker)) {
                EndpointStatus::Active
            } else {
                EndpointStatus::Draining
            };
            match status {
                EndpointStatus::Active => drained.remove(&WorkerId(worker)),
                _ => drained.insert(WorkerId(worker), harness.now),
            };
            let news = vec![entry(worker, status, None)].into();
            events.push(Event::EndpointUpdate(EndpointUpdate::Delta(news)));
        }
        let before = harness.sent.len();
        harness.step(events);
        for sent in harness.sent[before..].iter().copied() {
            assert!(!drained.contains_key(&sent.worker), "seed {seed}: sent to a draining worker");
            assert!(!done.contains(&sent.id), "seed {seed}: sent a part that is done");
            assert!(open.values().any(|(_, parts)| parts.contains(&sent.id)), "seed {seed}: query is over");
            let earlier = out.iter().filter(|other| other.id == sent.id).map(|other| other.at).min();
            let risk = may_have_run.get(&sent.id).copied().into_iter().chain(earlier).min();
            match effect {
                Idempotency::Idempotent => {}
                Idempotency::Keyed => assert!(risk.is_none_or(|at| harness.now.since(at) <= ms(1000))),
                Idempotency::NonIdempotent => assert!(risk.is_none(), "seed {seed}: effect may happen twice"),
            }
            if sent.attempt.0 > 0 {
                further.push(harness.now);
                further.retain(|at| harness.now.since(*at) <= ms(2000));
                let counted = taken.iter().filter(|at| harness.now.since(**at) < ms(2000)).count();
                assert!(further.len() as f64 <= 3.0 + 0.1 * counted as f64, "seed {seed}: over budget");
            }
            out.push(sent);
        }
        for action in harness.actions.clone() {
            let (id, whole) = match action {
                Action::Respond { id, complete: whole } => (id, Some(whole)),
                Action::Reject { id, .. } | Action::Fail { id } => (id, None),
                _ => continue,
            };
            let (_, parts) = open.remove(&id).expect("one final answer for each query");
            let share = parts.iter().filter(|part| done.contains(part)).count() as f64 / parts.len() as f64;
            if let Some(whole) = whole {
                assert!(share >= if whole { 1.0 } else { 0.6 }, "seed {seed}: dishonest at {share}");
            }
            let risky = parts
                .iter()
                .any(|part| may_have_run.contains_key(part) || out.iter().any(|other| other.id == *part));
            if matches!(action, Action::Reject { .. }) && effect == Idempotency::NonIdempotent {
                assert!(!risky, "seed {seed}: rejected though it may have run");
            }
        }
        assert!(
            open.values().all(|(until, _)| harness.now <= until.after(ms(20))),
            "seed {seed}: query lost"
        );
    }
    assert!(open.is_empty() || !harness.sent.is_empty());
    assert!(harness.sent.len() > 100, "seed {seed}: hardly anything was sent");
}

#[test]
fn the_invariants_hold_whatever_the_order_of_events() {
    for seed in 0..12 {
        play(seed, Idempotency::Idempotent);
        play(seed, Idempotency::Keyed);
        play(seed, Idempotency::NonIdempotent);
    }
}
