//! Limits on connections, descriptors and buffered bytes: properties over random sequences of operations, and
//! the eviction order.

use gatherer::limits::client_connections::RequestValidity;
use gatherer::limits::connection_pool::{
    CallIdempotency, ConnectQueue, ConnectTicket, ConnectionChoice, PooledConnection, choose_connection,
};
use gatherer::limits::descriptors::DESCRIPTOR_CLASSES;
use gatherer::limits::{
    BufferBudget, ClientConnections, DescriptorAllocator, DescriptorBudget, DescriptorClass,
    DescriptorDenied, EvictionReason, ResourcePressure, Source,
};
use gatherer::policy::{Time, WorkerId};
use proptest::prelude::{TestCaseError, prop, prop_assert, prop_assert_eq, proptest};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Whether every class can still get its guaranteed descriptors (its floor).
fn floors_are_available(descriptors: &DescriptorAllocator) -> bool {
    let budget = descriptors.budget();
    let claimed = |class: &DescriptorClass| descriptors.busy(*class).max(budget.floors[*class as usize]);
    DESCRIPTOR_CLASSES.iter().map(claimed).sum::<usize>() <= budget.usable
}

/// Acquires a descriptor as the transport does: where one has to be reclaimed, the class that the error names
/// closes an evictable one.
fn acquire(descriptors: &mut DescriptorAllocator, class: DescriptorClass) -> bool {
    match descriptors.acquire(class) {
        Ok(()) => true,
        Err(DescriptorDenied::Exhausted) => false,
        Err(DescriptorDenied::Reclaim(reclaimed_class)) => {
            descriptors.release(reclaimed_class);
            descriptors.acquire(class).is_ok()
        }
    }
}

/// Checks that the ticket removed from a full queue is the last one of a worker with the most waiting calls.
fn check_removed(
    waiting: &BTreeMap<ConnectTicket, u32>,
    removed: ConnectTicket,
) -> Result<(), TestCaseError> {
    let waiting_for = |worker: u32| waiting.values().filter(|other| **other == worker).count();
    let removed_worker = waiting[&removed];
    let max_waiting = (0..6).map(waiting_for).max();
    prop_assert_eq!(Some(waiting_for(removed_worker)), max_waiting);
    prop_assert!(waiting.iter().all(|(ticket, worker)| *worker != removed_worker || *ticket <= removed));
    Ok(())
}

proptest! {
    #[test]
    fn the_descriptor_budget_is_never_exceeded_and_floors_can_always_be_acquired(
        limit in 64usize..600,
        steps in prop::collection::vec((0usize..4, 0u8..5), 0..600),
    ) {
        let budget = DescriptorBudget::new(limit, 16, 0).expect("enough descriptors");
        let mut descriptors = DescriptorAllocator::new(budget);
        for (class, action) in steps {
            let class = DESCRIPTOR_CLASSES[class];
            match action {
                0 | 1 => { acquire(&mut descriptors, class); }
                2 => { descriptors.mark_busy(class); }
                3 if descriptors.busy(class) > 0 => descriptors.mark_evictable(class),
                _ if descriptors.held(class) > descriptors.busy(class) => descriptors.release(class),
                _ => {}
            }
            let held: usize = DESCRIPTOR_CLASSES.iter().map(|class| descriptors.held(*class)).sum();
            prop_assert!(held <= descriptors.budget().usable);
            prop_assert!(floors_are_available(&descriptors));
        }
        for class in DESCRIPTOR_CLASSES {
            while descriptors.busy(class) < descriptors.budget().floors[class as usize] {
                let has_evictable = descriptors.held(class) > descriptors.busy(class);
                let held = has_evictable || acquire(&mut descriptors, class);
                let busy = held && descriptors.mark_busy(class);
                prop_assert!(busy, "{class} has {} of its floor", descriptors.busy(class));
            }
        }
    }

    #[test]
    fn a_class_to_reclaim_from_has_an_evictable_descriptor_and_is_over_its_floor(
        limit in 64usize..400,
        steps in prop::collection::vec((0usize..4, 0u8..4), 0..900),
    ) {
        let budget = DescriptorBudget::new(limit, 16, 0).expect("enough descriptors");
        let mut descriptors = DescriptorAllocator::new(budget);
        for (class, action) in steps {
            let class = DESCRIPTOR_CLASSES[class];
            if action == 0 { descriptors.mark_busy(class); } else { acquire(&mut descriptors, class); }
            if let Some(reclaimed_class) = descriptors.class_to_reclaim_for(class) {
                prop_assert!(descriptors.held(reclaimed_class) > descriptors.busy(reclaimed_class));
                // No class has to go below its floor for another class.
                let floor = descriptors.budget().floors[reclaimed_class as usize];
                prop_assert!(reclaimed_class == class || descriptors.held(reclaimed_class) > floor);
            }
        }
    }

    #[test]
    fn buffered_bytes_stay_within_the_budget_and_each_holder_can_have_its_minimum(
        total in 4096usize..1_000_000,
        holders in 1usize..60,
        steps in prop::collection::vec((0usize..60, 0usize..200_000), 0..400),
    ) {
        let mut budget = BufferBudget::new(total, holders);
        let mut held = vec![0; holders];
        for (holder, wanted) in steps {
            let holder = holder % holders;
            let after = wanted.min(budget.allowance(held[holder]));
            budget.update(held[holder], after);
            held[holder] = after;
            prop_assert!(budget.used() <= budget.total());
            prop_assert_eq!(budget.used(), held.iter().sum::<usize>());
        }
        for held_bytes in &mut held {
            prop_assert!(budget.allowance(*held_bytes) >= budget.min_per_holder());
            if *held_bytes < budget.min_per_holder() {
                budget.update(*held_bytes, budget.min_per_holder());
                *held_bytes = budget.min_per_holder();
            }
        }
    }

    #[test]
    fn a_busy_connection_is_never_evicted_and_an_evicted_one_was_evictable(
        steps in prop::collection::vec((0u8..10, 0usize..40, 0u64..400), 1..500),
    ) {
        let (mut connections, mut now) = (ClientConnections::default(), Time(0));
        let mut ids: Vec<u64> = Vec::new();
        let (mut busy, mut evicted) = (BTreeSet::new(), BTreeSet::new());
        for (action, number, pause_ms) in steps {
            now = now.after(ms(pause_ms));
            let id = ids.get(number % ids.len().max(1)).copied();
            match (action, id) {
                (0 | 1, _) | (_, None) => ids.push(connections.accept(now, Source(number as u64 % 5))),
                (2, Some(id)) if !busy.contains(&id) => {
                    connections.receive_bytes(now, id, 10);
                    evicted.remove(&id);
                }
                (3 | 4, Some(id)) => {
                    connections.start_query(now, id);
                    busy.insert(id);
                    evicted.remove(&id);
                }
                (5, Some(id)) if busy.remove(&id) => {
                    let validity =
                        if number == 0 { RequestValidity::Invalid } else { RequestValidity::Valid };
                    connections.finish_query(now, id, validity);
                }
                (6, Some(id)) => {
                    connections.close(id);
                    ids.retain(|other| *other != id);
                    busy.remove(&id);
                    evicted.remove(&id);
                }
                (7, Some(id)) => connections.set_source(id, Source(number as u64 % 7)),
                (8, _) => if let Some((id, _)) = connections.evict(now) {
                    prop_assert!(!busy.contains(&id) && evicted.insert(id) && ids.contains(&id));
                },
                (9, _) => for (id, _) in connections.evict_expired(now, ResourcePressure::FULL) {
                    prop_assert!(!busy.contains(&id) && evicted.insert(id) && ids.contains(&id));
                },
                _ => {}
            }
            prop_assert_eq!(connections.len(), ids.len());
            let by_source: usize = (0..7).map(|source| connections.open_from(Source(source))).sum();
            prop_assert_eq!(by_source, ids.len());
        }
        // Every connection that is not busy can be evicted, and expires after the longest time limit.
        let evictable = ids.iter().filter(|id| !busy.contains(id) && !evicted.contains(id)).count();
        let later = now.after(ms(14_001));
        prop_assert_eq!(connections.evict_expired(later, ResourcePressure::NONE).len(), evictable);
        prop_assert_eq!(connections.next_deadline(ResourcePressure::NONE), None);
        prop_assert_eq!(connections.evict(later), None);
    }

    #[test]
    fn time_limits_only_tighten_as_pressure_grows(
        used in 0usize..200,
        low in 0usize..100,
        relaxed_ms in 2u64..20_000,
    ) {
        let pressure = |used| ResourcePressure::from_usage(used, low, low + 50);
        let limit = |used| pressure(used).limit(ms(relaxed_ms), ms(relaxed_ms / 2));
        prop_assert!(limit(used + 1) <= limit(used));
        prop_assert!(limit(used) <= ms(relaxed_ms));
        prop_assert!(limit(used) >= ms(relaxed_ms / 2) - Duration::from_micros(1));
    }

    #[test]
    fn the_connect_queue_is_bounded_and_starts_the_earliest_deadline_first(
        max_waiting in 1usize..20,
        max_connecting in 1usize..20,
        steps in prop::collection::vec((0u8..3, 0u32..6, 1u64..5000), 0..300),
    ) {
        let mut queue = ConnectQueue::new(max_waiting, max_connecting);
        let mut now = Time(0);
        let mut waiting: BTreeMap<ConnectTicket, u32> = BTreeMap::new();
        let mut connecting: Vec<u32> = Vec::new();
        let max_per_worker = (max_connecting / 4).max(2);
        for (action, worker, time_left_ms) in steps {
            now = now.after(ms(1));
            let at_limit = |connecting: &[u32], worker: u32| {
                connecting.iter().filter(|other| **other == worker).count() >= max_per_worker
            };
            match action {
                0 => {
                    let (ticket, removed) = queue.enqueue(now, WorkerId(worker), ms(time_left_ms));
                    waiting.insert(ticket, worker);
                    if let Some(removed) = removed {
                        check_removed(&waiting, removed)?;
                        waiting.remove(&removed);
                    }
                }
                1 => {
                    let can_start = queue.can_start_next();
                    let started = queue.start_next();
                    prop_assert_eq!(started.is_some(), can_start);
                    if let Some((ticket, WorkerId(worker))) = started {
                        prop_assert_eq!(waiting.remove(&ticket), Some(worker));
                        prop_assert!(
                            waiting
                                .iter()
                                .all(|(other, worker)| *other > ticket || at_limit(&connecting, *worker))
                        );
                        connecting.push(worker);
                    } else {
                        prop_assert!(
                            connecting.len() >= max_connecting
                                || waiting.values().all(|worker| at_limit(&connecting, *worker))
                        );
                    }
                }
                _ => if let Some(worker) = connecting.pop() { queue.finish_connect(WorkerId(worker)); },
            }
            prop_assert!(queue.waiting() == waiting.len() && waiting.len() <= max_waiting);
            prop_assert!(queue.connecting() == connecting.len() && connecting.len() <= max_connecting);
        }
    }
}

#[test]
fn connections_are_evicted_in_the_documented_order() {
    let mut connections = ClientConnections::default();
    let at = |milliseconds: u64| Time(milliseconds * NS_PER_MS);
    let accept = |connections: &mut ClientConnections| connections.accept(at(0), Source(1));
    let query = |connections: &mut ClientConnections, id: u64, when: u64, validity: RequestValidity| {
        connections.receive_bytes(at(when), id, 50);
        connections.start_query(at(when), id);
        connections.finish_query(at(when), id, validity);
    };
    let [often_used, rarely_used, penalised, single_request, slow, silent] =
        [(); 6].map(|()| accept(&mut connections));
    // `often_used` has requests every 10 ms and is overdue by far; `rarely_used` has them every 200 ms and
    // was last used before it.
    (0..10).for_each(|number| query(&mut connections, rarely_used, number * 200, RequestValidity::Valid));
    (0..10)
        .for_each(|number| query(&mut connections, often_used, 1900 + number * 10, RequestValidity::Valid));
    query(&mut connections, penalised, 1000, RequestValidity::Invalid);
    query(&mut connections, single_request, 1000, RequestValidity::Valid);
    connections.receive_bytes(at(1500), slow, 20);
    let now = at(2300);
    let mut evict = || connections.evict(now);
    let order = [
        (silent, EvictionReason::Silent),
        (slow, EvictionReason::Slow),
        (single_request, EvictionReason::SingleRequest),
        (penalised, EvictionReason::Penalised),
        (often_used, EvictionReason::Idle),
        (rarely_used, EvictionReason::Idle),
    ];
    assert_eq!(order.map(|_| evict().expect("an evictable connection")), order);
    assert_eq!(evict(), None);
}

#[test]
fn a_source_over_its_quota_is_evicted_before_a_well_behaved_one() {
    let (mut connections, now) = (ClientConnections::default(), Time(0));
    let other = connections.accept(now, Source(1));
    let many: Vec<u64> = (0..10).map(|_| connections.accept(now, Source(2))).collect();
    // All connections are within their minimum residence, and the oldest one belongs to the other source.
    for _ in 0..9 {
        let (id, reason) = connections.evict(Time(NS_PER_MS)).expect("an evictable connection");
        assert!(many.contains(&id) && reason == EvictionReason::OverQuota);
        connections.close(id);
    }
    assert_eq!(connections.evict(Time(NS_PER_MS)).expect("an evictable connection").0, other);
}

#[test]
fn the_bytes_of_a_request_extend_its_time_limit_and_dribbling_does_not() {
    let mut connections = ClientConnections::default();
    let dribbling = connections.accept(Time(0), Source(1));
    let uploading = connections.accept(Time(0), Source(1));
    for number in 1..=10 {
        connections.receive_bytes(Time(number * 30 * NS_PER_MS), dribbling, 1);
        connections.receive_bytes(Time(number * 30 * NS_PER_MS), uploading, 6_000);
    }
    let expired = connections.evict_expired(Time(310 * NS_PER_MS), ResourcePressure::FULL);
    assert_eq!(expired, [(dribbling, EvictionReason::Slow)]);
    assert_eq!(
        connections.evict_expired(Time(2500 * NS_PER_MS), ResourcePressure::NONE),
        [(uploading, EvictionReason::Slow)],
        "no request may take longer than 2.5 s"
    );
}

#[test]
fn a_source_that_reconnects_after_malformed_input_gets_the_short_time_limit() {
    let mut connections = ClientConnections::default();
    let other = connections.accept(Time(0), Source(1));
    let first = connections.accept(Time(0), Source(2));
    connections.reject_malformed(Time(0), first);
    connections.close(first);
    let reconnected = connections.accept(Time(NS_PER_MS), Source(2));
    let expired = connections.evict_expired(Time(60 * NS_PER_MS), ResourcePressure::FULL);
    assert_eq!(expired, [(reconnected, EvictionReason::Silent)]);
    assert!(connections.is_evictable(other));
    // Where all clients share one address, no client is penalised for the input of another.
    connections.close(other);
    connections.close(reconnected);
    let sender = connections.accept(Time(0), Source(2));
    let bystander = connections.accept(Time(0), Source(2));
    connections.reject_malformed(Time(0), sender);
    assert!(connections.evict_expired(Time(60 * NS_PER_MS), ResourcePressure::FULL).is_empty());
    assert!(connections.is_evictable(bystander));
}

#[test]
fn a_non_idempotent_call_never_shares_a_connection() {
    let connection =
        |in_flight, has_capacity, accepts_calls| PooledConnection { in_flight, has_capacity, accepts_calls };
    let open = [connection(9, false, true), connection(1, false, true), connection(0, true, true)];
    assert_eq!(choose_connection(CallIdempotency::NonIdempotent, &open, 4), ConnectionChoice::OpenNew);
    assert_eq!(choose_connection(CallIdempotency::Idempotent, &open, 4), ConnectionChoice::Reuse(2));
    assert_eq!(choose_connection(CallIdempotency::Idempotent, &open[..2], 4), ConnectionChoice::OpenNew);
    assert_eq!(choose_connection(CallIdempotency::Idempotent, &open[..2], 2), ConnectionChoice::Reuse(1));
    let closing = [connection(1, false, false)];
    assert_eq!(choose_connection(CallIdempotency::Idempotent, &closing, 0), ConnectionChoice::OpenNew);
}
