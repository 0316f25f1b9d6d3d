//! A hundred aggregators in one process, each with a part of the traffic: what they do together.

mod common;

use common::ms;
use common::simulated_fleet::{AGGREGATORS, SimulatedFleet, WorkerBehavior, ZONES, simulate_discovery_polls};
use gatherer::limits::Backoff;
use gatherer::policy::Idempotency;

#[test]
fn a_lost_zone_is_ejected_after_few_of_its_workers_and_reinstated_at_one_response() {
    let in_lost_zone = |id| id % ZONES == 0;
    for seed in [1, 2] {
        let mut fleet = SimulatedFleet::new(seed, Idempotency::Idempotent);
        fleet.advance(3000, in_lost_zone);
        fleet.set_behavior(in_lost_zone, WorkerBehavior::Unreachable);
        let (first, later) = (fleet.advance(1000, in_lost_zone).0, fleet.advance(2000, in_lost_zone).0);
        // Each on its own: 900 sends in the first second, and 800 in the next two.
        assert!(first < 700 && later < 250, "seed {seed}: {first}, then {later} sends to a lost zone");
        // Healed without a restart, so that no endpoint update shows it. Each on its own: 1,190 sends in
        // three seconds.
        fleet.set_behavior(in_lost_zone, WorkerBehavior::Answers);
        fleet.advance(1000, in_lost_zone);
        let back = fleet.advance(3000, in_lost_zone).0;
        assert!(back > 1600, "seed {seed}: {back} sends to the zone when it was back");
    }
}

#[test]
fn non_idempotent_parts_are_kept_from_workers_that_return_errors() {
    let is_failing = |id| id % 10 == 0;
    for seed in [1, 2] {
        let mut fleet = SimulatedFleet::new(seed, Idempotency::NonIdempotent);
        fleet.advance(2000, is_failing);
        fleet.set_behavior(is_failing, WorkerBehavior::Failing);
        fleet.advance(4000, is_failing);
        let (to_failing, total) = fleet.advance(4000, is_failing);
        // A tenth of the workers, and a tenth of the sends where errors are no losses.
        assert!(to_failing * 50 < total, "seed {seed}: {to_failing} of {total} sends to failing workers");
    }
}

#[test]
fn an_overloaded_discovery_is_reached_by_all() {
    let all = AGGREGATORS as usize;
    assert!(
        simulate_discovery_polls(vec![0; all], |_| 100).0 < all / 4,
        "a constant backoff keeps it overloaded"
    );
    for seed in [1, 2] {
        let caller = |id: u32| Backoff::new(seed << 32 | u64::from(id), AGGREGATORS, ms(10_000));
        let mut callers: Vec<Backoff> = (0..AGGREGATORS).map(caller).collect();
        let starts = callers.iter_mut().map(|caller| caller.initial_delay().as_millis() as u64).collect();
        let (served, max_polls) =
            simulate_discovery_polls(starts, |id| callers[id].next_delay(true).as_millis() as u64);
        assert!(
            served == all && max_polls < 20,
            "seed {seed}: {served} served, up to {max_polls} polls in a second"
        );
    }
}
