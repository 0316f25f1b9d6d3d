//! Membership in virtual time under each fault that it has to tolerate. The tests check how soon deaths are
//! detected, that no running member is declared dead, and the members' estimates of the number of
//! gatherers.

use gatherer::membership::{Node, ObservedState, Timing};
use gatherer::simulation::engine::Report;
use gatherer::simulation::observations::state_counts;
use gatherer::simulation::{NetworkFaults, Simulation};
use std::time::Duration;

type Members = Simulation<Node>;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Creates a fleet in which every member observes all others as present, and clears its reports.
fn converged_members(count: usize, seed: u64) -> Members {
    let mut simulation = Members::with_nodes(count, seed, Timing::default());
    let first = simulation.living().next().expect("a running member");
    assert!(simulation.has_converged(), "seed {seed}: {:?}", simulation.node(first).map(state_counts));
    assert!(simulation.false_positives().is_empty());
    simulation.reports.clear();
    simulation
}

#[test]
fn a_death_is_known_to_all_within_three_seconds_and_lowers_the_estimate_at_once() {
    for (count, seed) in [(5, 1), (5, 2), (30, 3), (30, 4), (300, 5)] {
        let mut simulation = converged_members(count, seed);
        simulation.kill(count - 1);
        let elapsed = simulation.run_until(seconds(10), Members::has_converged);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed <= seconds(3)),
            "{count} members, seed {seed}: {elapsed:?}"
        );
        assert_eq!(simulation.observed_state(0, count - 1), Some(ObservedState::Dead));
        assert_eq!(simulation.gatherers(0), Some(count as u32 - 1));
    }
}

#[test]
fn a_pause_under_five_seconds_is_not_a_death_and_the_death_after_a_longer_one_is_refuted() {
    for seed in 1..6 {
        let mut simulation = converged_members(12, seed);
        for pause in [100, 900, 2500, 4900] {
            (0..4).for_each(|id| simulation.pause(id, Duration::from_millis(pause)));
            simulation.advance(seconds(12));
            assert!(
                simulation.false_positives().is_empty(),
                "seed {seed}: a pause of {pause} ms was reported as a death"
            );
            assert!(simulation.has_converged());
        }
        simulation.pause(3, seconds(30));
        simulation.advance(seconds(25));
        assert_eq!(simulation.observed_state(0, 3), Some(ObservedState::Failed));
        assert_eq!(
            simulation.gatherers(0),
            Some(12),
            "its share is not redistributed before the hold time ends"
        );
        simulation.advance(seconds(15));
        assert!(simulation.has_converged(), "seed {seed}: {:?}", simulation.node(0).map(state_counts));
        // The paused member did not declare any other member failed when it resumed.
        assert!(
            simulation
                .reports
                .iter()
                .all(|report| report.by != 3 || !matches!(report.change.state, ObservedState::Failed))
        );
    }
}

#[test]
fn loss_duplication_and_delay_cause_no_false_positive() {
    for (seed, loss) in [(1, 0.05), (2, 0.2), (3, 0.2), (4, 0.4)] {
        let mut simulation = converged_members(20, seed);
        simulation.faults = NetworkFaults { loss, duplicated: 0.1, delayed: 0.1 };
        simulation.advance(seconds(120));
        assert!(simulation.false_positives().is_empty(), "loss {loss}, seed {seed}");
        simulation.kill(7);
        let elapsed = simulation.run_until(seconds(30), Members::has_converged);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed <= seconds(10)),
            "loss {loss}, seed {seed}: {elapsed:?}"
        );
    }
}

#[test]
fn both_sides_of_a_split_keep_their_shares_and_merge_without_a_false_positive() {
    for seed in 1..4 {
        let mut simulation = converged_members(10, seed);
        let first_half = |id: usize| id < 5;
        simulation.partition(first_half, |id| !first_half(id));
        simulation.partition(|id| !first_half(id), first_half);
        simulation.advance(seconds(120));
        assert_eq!(simulation.observed_state(0, 9), Some(ObservedState::Failed));
        // Neither half is a majority, so each keeps counting the other and its share stays the same.
        (0..10).for_each(|id| assert_eq!(simulation.gatherers(id), Some(10), "seed {seed}, member {id}"));
        simulation.reports.clear();
        simulation.partitions.clear();
        let elapsed = simulation.run_until(seconds(60), Members::has_converged);
        assert!(elapsed.is_some_and(|elapsed| elapsed < seconds(20)), "seed {seed}: {elapsed:?}");
        // The merge must not make either half declare members of the other dead again.
        assert!(simulation.false_positives().is_empty(), "seed {seed}");
        // A death after the merge is still detected by all.
        simulation.kill(9);
        assert!(simulation.run_until(seconds(5), Members::has_converged).is_some());
    }
}

#[test]
fn a_majority_takes_the_share_of_a_partitioned_minority_after_a_delay_and_returns_it() {
    let mut simulation = converged_members(10, 7);
    let is_minority = |id: usize| id < 3;
    simulation.partition(is_minority, |id| !is_minority(id));
    simulation.partition(|id| !is_minority(id), is_minority);
    simulation.advance(seconds(25));
    assert_eq!((simulation.gatherers(9), simulation.gatherers(0)), (Some(10), Some(10)));
    simulation.advance(seconds(45));
    assert_eq!((simulation.gatherers(9), simulation.gatherers(0)), (Some(7), Some(10)));
    simulation.partitions.clear();
    assert!(simulation.run_until(seconds(30), Members::has_converged).is_some());
    assert_eq!(simulation.gatherers(9), Some(10));
}

#[test]
fn a_partition_between_two_members_is_observed_as_one_and_not_as_a_death() {
    for seed in 1..4 {
        let mut simulation = converged_members(8, seed);
        // Only the link from 2 to 5 is blocked.
        simulation.partition(|id| id == 2, |id| id == 5);
        simulation.advance(seconds(120));
        assert!(simulation.false_positives().is_empty(), "seed {seed}");
        // Member 5 receives updates about 2 through other members only.
        assert_eq!(simulation.observed_state(5, 2), Some(ObservedState::Partitioned), "seed {seed}");
        assert!(
            (0..8)
                .filter(|id| ![2, 5].contains(id))
                .all(|id| simulation.observed_state(id, 2) == Some(ObservedState::Alive))
        );
        simulation.partitions.clear();
        simulation.advance(seconds(30));
        assert_eq!(simulation.observed_state(5, 2), Some(ObservedState::Alive), "seed {seed}");
    }
}

#[test]
fn a_firewall_between_two_members_that_refuses_connections_is_not_a_death() {
    for seed in 1..4 {
        let mut simulation = converged_members(8, seed);
        simulation.partitions_refuse = true;
        simulation.partition(|id| id == 2, |id| id == 5);
        simulation.partition(|id| id == 5, |id| id == 2);
        simulation.advance(seconds(120));
        // Each member's connections to the other are refused, while the rest report both as alive.
        assert!(simulation.false_positives().is_empty(), "seed {seed}: {:?}", simulation.false_positives());
        assert_eq!(
            (simulation.observed_state(2, 5), simulation.observed_state(5, 2)),
            (Some(ObservedState::Partitioned), Some(ObservedState::Partitioned)),
            "seed {seed}"
        );
    }
}

#[test]
fn an_isolated_member_declares_no_other_member_dead() {
    let mut simulation = converged_members(9, 11);
    simulation.partition(|id| id == 4, |_| true);
    simulation.partition(|_| true, |id| id == 4);
    simulation.advance(seconds(90));
    assert!(
        simulation
            .reports
            .iter()
            .all(|report| report.by != 4 || report.change.state != ObservedState::Failed)
    );
    assert!(simulation.node(4).is_some_and(|node| node.is_isolated(simulation.now)));
    assert_eq!(simulation.gatherers(4), Some(9));
    assert_eq!(simulation.observed_state(0, 4), Some(ObservedState::Failed));
    simulation.partitions.clear();
    assert!(simulation.run_until(seconds(30), Members::has_converged).is_some());
}

#[test]
fn a_release_that_kills_seven_of_ten_at_once_is_detected_and_the_restarted_members_rejoin() {
    for seed in [1, 2] {
        let mut simulation = converged_members(100, seed);
        (0..70).for_each(|id| simulation.kill(id));
        let elapsed = simulation.run_until(seconds(20), Members::has_converged);
        assert!(elapsed.is_some_and(|elapsed| elapsed <= seconds(8)), "seed {seed}: {elapsed:?}");
        assert_eq!(simulation.gatherers(99), Some(30));
        // The seeds are among the restarted members.
        (0..70).for_each(|id| simulation.start(id));
        let elapsed = simulation.run_until(seconds(30), Members::has_converged);
        assert!(elapsed.is_some_and(|elapsed| elapsed <= seconds(15)), "seed {seed}: {elapsed:?}");
        assert!(simulation.false_positives().is_empty());
        assert_eq!(simulation.gatherers(0), Some(100));
    }
}

#[test]
fn an_upgrade_is_not_a_death_and_a_leaving_member_is_gone_at_once() {
    let mut simulation = converged_members(10, 3);
    simulation.leave(4, true);
    simulation.advance(seconds(4));
    assert_eq!(simulation.gatherers(0), Some(10), "a member that is handing over keeps its share");
    simulation.start(4);
    assert!(simulation.run_until(seconds(10), Members::has_converged).is_some());
    simulation.leave(5, false);
    let elapsed = simulation.run_until(seconds(5), Members::has_converged);
    assert!(elapsed.is_some_and(|elapsed| elapsed <= seconds(1)), "{elapsed:?}");
    let is_death =
        |report: &&Report| matches!(report.change.state, ObservedState::Dead | ObservedState::Failed);
    assert_eq!(simulation.reports.iter().filter(is_death).count(), 0);
    // A member whose successor never starts is declared dead after the handover time-out.
    simulation.leave(6, true);
    simulation.advance(seconds(20));
    assert!(simulation.has_converged());
}

#[test]
fn a_restart_loop_does_not_grow_the_member_table() {
    let mut simulation = converged_members(6, 9);
    for _ in 0..100 {
        simulation.kill(5);
        simulation.advance(Duration::from_millis(300));
        simulation.start(5);
        simulation.advance(Duration::from_millis(700));
    }
    simulation.advance(seconds(10));
    assert!(simulation.has_converged());
    assert!((0..6).all(|id| simulation.node(id).is_some_and(|node| node.table().iter().count() == 5)));
}
