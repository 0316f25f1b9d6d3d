//! Properties of the limits of connections, descriptors and bytes, over random histories.

use gatherer::limits::client_connections::RequestValidity;
use gatherer::limits::connection_pool::{
    self, ConnectQueue, ConnectTicket, ConnectionChoice, PooledConnection,
};
use gatherer::limits::descriptors::DESCRIPTOR_CLASSES;
use gatherer::limits::{
    BufferBudget, ClientConnections, DescriptorAllocator, DescriptorBudget, DescriptorClass,
    DescriptorDenied, EvictionReason, ResourcePressure, Source,
};
use gatherer::policy::{Time, WorkerId};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MS: u64 = 1_000_000;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn floors_fit(all: &DescriptorAllocator) -> bool {
    let claimed = |side: &DescriptorClass| all.busy(*side).max(all.budget().floors[*side as usize]);
    DESCRIPTOR_CLASSES.iter().map(claimed).sum::<usize>() <= all.budget().usable
}

/// Takes one for a side as the sockets do: whoever is asked lets a loose one go.
fn take(all: &mut DescriptorAllocator, side: DescriptorClass) -> bool {
    match all.acquire(side) {
        Ok(()) => true,
        Err(DescriptorDenied::Exhausted) => false,
        Err(DescriptorDenied::Reclaim(lender)) => {
            all.release(lender);
            all.acquire(side).is_ok()
        }
    }
}

proptest! {
    #[test]
    fn the_budget_is_never_exceeded_and_floors_can_always_be_had(
        limit in 64usize..600,
        steps in prop::collection::vec((0usize..4, 0u8..5), 0..600),
    ) {
        let mut all = DescriptorAllocator::new(DescriptorBudget::new(limit, 16, 0).expect("enough"));
        for (at, what) in steps {
            let side = DESCRIPTOR_CLASSES[at];
            match what {
                0 | 1 => { take(&mut all, side); }
                2 => { all.mark_busy(side); }
                3 if all.busy(side) > 0 => all.mark_evictable(side),
                _ if all.held(side) > all.busy(side) => all.release(side),
                _ => {}
            }
            prop_assert!(DESCRIPTOR_CLASSES.iter().map(|side| all.held(*side)).sum::<usize>() <= all.budget().usable);
            prop_assert!(floors_fit(&all));
        }
        for side in DESCRIPTOR_CLASSES {
            while all.busy(side) < all.budget().floors[side as usize] {
                let held = all.held(side) > all.busy(side) || take(&mut all, side);
                prop_assert!(held && all.mark_busy(side), "{side} has {} of its floor", all.busy(side));
            }
        }
    }

    #[test]
    fn a_lender_has_something_to_lend_and_is_over_its_floor(
        limit in 64usize..400,
        steps in prop::collection::vec((0usize..4, 0u8..4), 0..900),
    ) {
        let mut all = DescriptorAllocator::new(DescriptorBudget::new(limit, 16, 0).expect("enough"));
        for (at, what) in steps {
            let side = DESCRIPTOR_CLASSES[at];
            if what == 0 { all.mark_busy(side); } else { take(&mut all, side); }
            if let Some(lender) = all.lender(side) {
                prop_assert!(all.held(lender) > all.busy(lender));
                // No side is sent below its floor for another.
                prop_assert!(lender == side || all.held(lender) > all.budget().floors[lender as usize]);
            }
        }
    }

    #[test]
    fn buffered_bytes_stay_within_their_sum_and_everyone_has_the_least(
        total in 4096usize..1_000_000,
        holders in 1usize..60,
        steps in prop::collection::vec((0usize..60, 0usize..200_000), 0..400),
    ) {
        let mut bytes = BufferBudget::new(total, holders);
        let mut held = vec![0; holders];
        for (who, wanted) in steps {
            let who = who % holders;
            let after = wanted.min(bytes.allowance(held[who]));
            bytes.update(held[who], after);
            held[who] = after;
            prop_assert!(bytes.used() <= bytes.total());
            prop_assert_eq!(bytes.used(), held.iter().sum::<usize>());
        }
        for mine in &mut held {
            prop_assert!(bytes.allowance(*mine) >= bytes.min_per_holder());
            if *mine < bytes.min_per_holder() {
                bytes.update(*mine, bytes.min_per_holder());
                *mine = bytes.min_per_holder();
            }
        }
    }

    #[test]
    fn one_with_a_query_open_never_leaves_and_whoever_is_told_was_loose(
        steps in prop::collection::vec((0u8..10, 0usize..40, 0u64..400), 1..500),
    ) {
        let (mut crowd, mut now) = (ClientConnections::default(), Time(0));
        let mut ids: Vec<u64> = Vec::new();
        let (mut firm, mut told) = (BTreeSet::new(), BTreeSet::new());
        for (what, who, span) in steps {
            now = now.after(ms(span));
            let id = ids.get(who % ids.len().max(1)).copied();
            match (what, id) {
                (0 | 1, _) | (_, None) => ids.push(crowd.accept(now, Source(who as u64 % 5))),
                (2, Some(id)) if !firm.contains(&id) => { crowd.receive_bytes(now, id, 10); told.remove(&id); }
                (3 | 4, Some(id)) => { crowd.start_query(now, id); firm.insert(id); told.remove(&id); }
                (5, Some(id)) if firm.remove(&id) => {
                    crowd.finish_query(now, id, if who == 0 { RequestValidity::Invalid } else { RequestValidity::Valid });
                }
                (6, Some(id)) => {
                    crowd.close(id);
                    ids.retain(|other| *other != id);
                    firm.remove(&id);
                    told.remove(&id);
                }
                (7, Some(id)) => crowd.set_source(id, Source(who as u64 % 7)),
                (8, _) => if let Some((id, _)) = crowd.evict(now) {
                    prop_assert!(!firm.contains(&id) && told.insert(id) && ids.contains(&id));
                },
                (9, _) => for (id, _) in crowd.evict_expired(now, ResourcePressure::FULL) {
                    prop_assert!(!firm.contains(&id) && told.insert(id) && ids.contains(&id));
                },
                _ => {}
            }
            prop_assert_eq!(crowd.len(), ids.len());
            prop_assert_eq!((0..7).map(|source| crowd.open_from(Source(source))).sum::<usize>(), ids.len());
        }
        // Whoever is not firm can be made to leave, and leaves by itself in time.
        let loose = ids.iter().filter(|id| !firm.contains(id) && !told.contains(id)).count();
        let later = now.after(ms(14_001));
        prop_assert_eq!(crowd.evict_expired(later, ResourcePressure::NONE).len(), loose);
        prop_assert_eq!(crowd.next_deadline(ResourcePressure::NONE), None);
        prop_assert_eq!(crowd.evict(later), None);
    }

    #[test]
    fn time_limits_only_tighten_with_scarcity(held in 0usize..200, ease in 0usize..100, calm in 2u64..20_000) {
        let pressure = |held| ResourcePressure::from_usage(held, ease, ease + 50);
        let limit = |held| pressure(held).limit(ms(calm), ms(calm / 2));
        prop_assert!(limit(held + 1) <= limit(held));
        prop_assert!(limit(held) <= ms(calm) && limit(held) >= ms(calm / 2) - Duration::from_micros(1));
    }

    #[test]
    fn openings_are_bounded_short_and_go_by_what_runs_out_first(
        most in 1usize..20,
        opening in 1usize..20,
        steps in prop::collection::vec((0u8..3, 0u32..6, 1u64..5000), 0..300),
    ) {
        let mut openings = ConnectQueue::new(most, opening);
        let mut now = Time(0);
        let mut waits: BTreeMap<ConnectTicket, u32> = BTreeMap::new();
        let mut up: Vec<u32> = Vec::new();
        let each = (opening / 4).max(2);
        for (what, leaf, left) in steps {
            now = now.after(ms(1));
            match what {
                0 => {
                    let (number, out) = openings.enqueue(now, WorkerId(leaf), ms(left));
                    waits.insert(number, leaf);
                    let count = |leaf: u32, waits: &BTreeMap<ConnectTicket, u32>| waits.values().filter(|l| **l == leaf).count();
                    if let Some(out) = out {
                        let whose = waits[&out];
                        let largest = (0..6).map(|leaf| count(leaf, &waits)).max();
                        prop_assert_eq!(Some(count(whose, &waits)), largest);
                        prop_assert!(waits.iter().all(|(n, l)| *l != whose || *n <= out));
                        waits.remove(&out);
                    }
                }
                1 => {
                    let would = openings.can_start_next();
                    let admitted = openings.start_next();
                    prop_assert_eq!(admitted.is_some(), would);
                    if let Some((number, WorkerId(leaf))) = admitted {
                        prop_assert_eq!(waits.remove(&number), Some(leaf));
                        let passed = |l: u32| up.iter().filter(|u| **u == l).count() >= each;
                        prop_assert!(waits.iter().all(|(n, l)| *n > number || passed(*l)));
                        up.push(leaf);
                    } else {
                        prop_assert!(up.len() >= opening || waits.values().all(|l| up.iter().filter(|u| *u == l).count() >= each));
                    }
                }
                _ => if let Some(leaf) = up.pop() { openings.finish_connect(WorkerId(leaf)); },
            }
            prop_assert!(openings.waiting() == waits.len() && waits.len() <= most);
            prop_assert!(openings.connecting() == up.len() && up.len() <= opening);
        }
    }
}

#[test]
fn the_order_of_worth() {
    let mut crowd = ClientConnections::default();
    let at = |span: u64| Time(span * MS);
    let enter = |crowd: &mut ClientConnections, when: u64| crowd.accept(at(when), Source(1));
    let ask = |crowd: &mut ClientConnections, id: u64, when: u64, record: RequestValidity| {
        crowd.receive_bytes(at(when), id, 50);
        crowd.start_query(at(when), id);
        crowd.finish_query(at(when), id, record);
    };
    let (idle, late, marked, once, slow, silent) = (
        enter(&mut crowd, 0),
        enter(&mut crowd, 0),
        enter(&mut crowd, 0),
        enter(&mut crowd, 0),
        enter(&mut crowd, 0),
        enter(&mut crowd, 0),
    );
    // One comes back every 10 ms and has long stopped, the other every 200 ms and was here before it.
    (0..10).for_each(|turn| ask(&mut crowd, late, turn * 200, RequestValidity::Valid));
    (0..10).for_each(|turn| ask(&mut crowd, idle, 1900 + turn * 10, RequestValidity::Valid));
    ask(&mut crowd, marked, 1000, RequestValidity::Invalid);
    ask(&mut crowd, once, 1000, RequestValidity::Valid);
    crowd.receive_bytes(at(1500), slow, 20);
    let now = at(2300);
    let mut leave = || crowd.evict(now);
    let order = [
        (silent, EvictionReason::Silent),
        (slow, EvictionReason::Slow),
        (once, EvictionReason::SingleRequest),
        (marked, EvictionReason::Penalised),
        (idle, EvictionReason::Idle),
        (late, EvictionReason::Idle),
    ];
    assert_eq!(order.map(|_| leave().expect("one")), order);
    assert_eq!(leave(), None);
}

#[test]
fn a_source_over_its_share_gives_before_a_behaved_one_of_another() {
    let (mut crowd, now) = (ClientConnections::default(), Time(0));
    let other = crowd.accept(now, Source(1));
    let many: Vec<u64> = (0..10).map(|_| crowd.accept(now, Source(2))).collect();
    // All are so new that none has done anything wrong, and the oldest is the other's.
    for _ in 0..9 {
        let (id, why) = crowd.evict(Time(MS)).expect("one");
        assert!(many.contains(&id) && why == EvictionReason::OverQuota);
        crowd.close(id);
    }
    assert_eq!(crowd.evict(Time(MS)).expect("one").0, other);
}

#[test]
fn bytes_buy_time_and_dribbling_does_not() {
    let mut crowd = ClientConnections::default();
    let (dribbles, uploads) = (crowd.accept(Time(0), Source(1)), crowd.accept(Time(0), Source(1)));
    for turn in 1..=10 {
        crowd.receive_bytes(Time(turn * 30 * MS), dribbles, 1);
        crowd.receive_bytes(Time(turn * 30 * MS), uploads, 6_000);
    }
    let late = crowd.evict_expired(Time(310 * MS), ResourcePressure::FULL);
    assert_eq!(late, [(dribbles, EvictionReason::Slow)]);
    assert_eq!(
        crowd.evict_expired(Time(2500 * MS), ResourcePressure::NONE),
        [(uploads, EvictionReason::Slow)],
        "2.5 s is the end for all"
    );
}

#[test]
fn who_is_back_after_rubbish_is_let_stay_as_briefly() {
    let mut crowd = ClientConnections::default();
    let usual = crowd.accept(Time(0), Source(1));
    let first = crowd.accept(Time(0), Source(2));
    crowd.reject_malformed(Time(0), first);
    crowd.close(first);
    let back = crowd.accept(Time(MS), Source(2));
    assert_eq!(crowd.evict_expired(Time(60 * MS), ResourcePressure::FULL), [(back, EvictionReason::Silent)]);
    assert!(crowd.is_evictable(usual));
    // Where all share one address nobody can be told apart, and nobody is marked by it.
    crowd.close(usual);
    crowd.close(back);
    let (one, two) = (crowd.accept(Time(0), Source(2)), crowd.accept(Time(0), Source(2)));
    crowd.reject_malformed(Time(0), one);
    assert!(crowd.evict_expired(Time(60 * MS), ResourcePressure::FULL).is_empty() && crowd.is_evictable(two));
}

#[test]
fn what_runs_once_never_shares_a_line() {
    let line =
        |calls, room, live| PooledConnection { in_flight: calls, has_capacity: room, accepts_calls: live };
    let lines = [line(9, false, true), line(1, false, true), line(0, true, true)];
    assert_eq!(connection_pool::choose_connection(true, &lines, 4), ConnectionChoice::OpenNew);
    assert_eq!(connection_pool::choose_connection(false, &lines, 4), ConnectionChoice::Reuse(2));
    assert_eq!(connection_pool::choose_connection(false, &lines[..2], 4), ConnectionChoice::OpenNew);
    assert_eq!(connection_pool::choose_connection(false, &lines[..2], 2), ConnectionChoice::Reuse(1));
    assert_eq!(
        connection_pool::choose_connection(false, &[line(1, false, false)], 0),
        ConnectionChoice::OpenNew
    );
}
