//! Tests of a hundred aggregators in one process, each with a part of the traffic: effects that only the
//! fleet shows.

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
        let (first_second, next_two_seconds) =
            (fleet.advance(1000, in_lost_zone).0, fleet.advance(2000, in_lost_zone).0);
        // If the workers of the zone were ejected one by one, 900 attempts would be sent to it in the first
        // second, and 800 in the next two.
        assert!(
            first_second < 700 && next_two_seconds < 250,
            "seed {seed}: {first_second}, then {next_two_seconds} attempts sent to the lost zone"
        );
        // The workers respond again without a restart, so that no endpoint update announces it. If they were
        // reinstated one by one, the zone would get 1,190 attempts in three seconds.
        fleet.set_behavior(in_lost_zone, WorkerBehavior::Answers);
        fleet.advance(1000, in_lost_zone);
        let recovered = fleet.advance(3000, in_lost_zone).0;
        assert!(recovered > 1600, "seed {seed}: {recovered} attempts sent to the zone after its recovery");
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
        // A tenth of the workers fail. They would get a tenth of the attempts if replica selection did not
        // weigh in the cost of a failed attempt.
        assert!(
            to_failing * 50 < total,
            "seed {seed}: {to_failing} of {total} attempts sent to failing workers"
        );
    }
}

#[test]
fn an_overloaded_discovery_is_reached_by_all() {
    let all = AGGREGATORS as usize;
    assert!(
        simulate_discovery_polls(vec![0; all], |_| 100).0 < all / 4,
        "a constant backoff of 100 ms keeps discovery overloaded"
    );
    for seed in [1, 2] {
        let new_caller = |id: u32| Backoff::new(seed << 32 | u64::from(id), AGGREGATORS, ms(10_000));
        let mut callers: Vec<Backoff> = (0..AGGREGATORS).map(new_caller).collect();
        let starts = callers.iter_mut().map(|caller| caller.initial_delay().as_millis() as u64).collect();
        let (served, max_polls) =
            simulate_discovery_polls(starts, |id| callers[id].next_delay(true).as_millis() as u64);
        assert!(
            served == all && max_polls < 20,
            "seed {seed}: {served} of {all} callers served, up to {max_polls} polls in a second"
        );
    }
}
