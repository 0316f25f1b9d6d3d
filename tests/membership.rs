//! Members in virtual time, under each fault that they have to bear: who is found dead and when, who is not, and what
//! number of gatherers each goes by meanwhile.

use gatherer::membership::{Node, ObservedState, Timing};
use gatherer::simulation::engine::{self, Net, counted};
use std::time::Duration;

type World = engine::Simulation<Node>;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn world(count: usize, seed: u64) -> World {
    let mut world = World::of_nodes(count, seed, Timing::default());
    let first = world.living().next().expect("one");
    assert!(world.agree(), "seed {seed}: {:?}", world.node(first).map(counted));
    assert!(world.buried_alive().is_empty());
    world.told.clear();
    world
}

#[test]
fn a_death_is_known_to_all_soon_and_certain_and_the_number_falls_at_once() {
    for (count, seed) in [(5, 1), (5, 2), (30, 3), (30, 4), (300, 5)] {
        let mut world = world(count, seed);
        world.kill(count - 1);
        let took = world.until(s(10), World::agree);
        assert!(took.is_some_and(|took| took <= s(3)), "{count} members, seed {seed}: {took:?}");
        assert_eq!(world.sees(0, count - 1), Some(ObservedState::Dead));
        assert_eq!(world.gatherers(0), Some(count as u32 - 1));
    }
}

#[test]
fn no_pause_under_five_seconds_is_a_death_and_longer_ones_are_taken_back() {
    for seed in 1..6 {
        let mut world = world(12, seed);
        for pause in [100, 900, 2500, 4900] {
            (0..4).for_each(|id| world.stop(id, Duration::from_millis(pause)));
            world.advance(s(12));
            assert!(world.buried_alive().is_empty(), "seed {seed}: a pause of {pause} ms was a death");
            assert!(world.agree());
        }
        world.stop(3, s(30));
        world.advance(s(25));
        assert_eq!(world.sees(0, 3), Some(ObservedState::Failed));
        assert_eq!(world.gatherers(0), Some(12), "its share is not given away yet");
        world.advance(s(15));
        assert!(world.agree(), "seed {seed}: {:?}", world.node(0).map(counted));
        // The one that stood still buried nobody when it woke.
        assert!(
            world.told.iter().all(|told| told.by != 3 || !matches!(told.change.state, ObservedState::Failed))
        );
    }
}

#[test]
fn loss_doubling_and_delay_bury_nobody() {
    for (seed, loss) in [(1, 0.05), (2, 0.2), (3, 0.2), (4, 0.4)] {
        let mut world = world(20, seed);
        world.net = Net { loss, twice: 0.1, late: 0.1 };
        world.advance(s(120));
        assert!(world.buried_alive().is_empty(), "loss {loss}, seed {seed}");
        world.kill(7);
        let took = world.until(s(30), World::agree);
        assert!(took.is_some_and(|took| took <= s(10)), "loss {loss}, seed {seed}: {took:?}");
    }
}

#[test]
fn halves_keep_their_shares_and_lose_nobody_when_they_meet_again() {
    for seed in 1..4 {
        let mut world = world(10, seed);
        let left = |id: usize| id < 5;
        world.cut(left, |id| !left(id));
        world.cut(|id| !left(id), left);
        world.advance(s(120));
        assert_eq!(world.sees(0, 9), Some(ObservedState::Failed));
        // Neither half is a majority: each goes on with the share that it had.
        (0..10).for_each(|id| assert_eq!(world.gatherers(id), Some(10), "seed {seed}, member {id}"));
        world.told.clear();
        world.cuts.clear();
        let took = world.until(s(60), World::agree);
        assert!(took.is_some_and(|took| took < s(20)), "seed {seed}: {took:?}");
        // Merging buries nobody of either half again.
        assert!(world.buried_alive().is_empty(), "seed {seed}");
        // What is certain goes on to be told across.
        world.kill(9);
        assert!(world.until(s(5), World::agree).is_some());
    }
}

#[test]
fn a_majority_takes_a_lost_minority_s_share_after_a_while_and_gives_it_back() {
    let mut world = world(10, 7);
    let cut_off = |id: usize| id < 3;
    world.cut(cut_off, |id| !cut_off(id));
    world.cut(|id| !cut_off(id), cut_off);
    world.advance(s(25));
    assert_eq!((world.gatherers(9), world.gatherers(0)), (Some(10), Some(10)));
    world.advance(s(45));
    assert_eq!((world.gatherers(9), world.gatherers(0)), (Some(7), Some(10)));
    world.cuts.clear();
    assert!(world.until(s(30), World::agree).is_some());
    assert_eq!(world.gatherers(9), Some(10));
}

#[test]
fn a_cut_between_two_is_no_death_and_is_told_apart() {
    for seed in 1..4 {
        let mut world = world(8, seed);
        // Nothing passes from 2 to 5; all else does.
        world.cut(|id| id == 2, |id| id == 5);
        world.advance(s(120));
        assert!(world.buried_alive().is_empty(), "seed {seed}");
        // 5 hears 2 through others alone, and so does 2 hear 5's answers to what never came.
        assert_eq!(world.sees(5, 2), Some(ObservedState::Partitioned), "seed {seed}");
        assert!(
            (0..8)
                .filter(|id| ![2, 5].contains(id))
                .all(|id| world.sees(id, 2) == Some(ObservedState::Alive))
        );
        world.cuts.clear();
        world.advance(s(30));
        assert_eq!(world.sees(5, 2), Some(ObservedState::Alive), "seed {seed}");
    }
}

#[test]
fn a_firewall_between_two_that_refuses_is_no_death() {
    for seed in 1..4 {
        let mut world = world(8, seed);
        world.refusing = true;
        world.cut(|id| id == 2, |id| id == 5);
        world.cut(|id| id == 5, |id| id == 2);
        world.advance(s(120));
        // Both find the other refused within a moment, and others say in the same moment that it is there.
        assert!(world.buried_alive().is_empty(), "seed {seed}: {:?}", world.buried_alive());
        assert_eq!(
            (world.sees(2, 5), world.sees(5, 2)),
            (Some(ObservedState::Partitioned), Some(ObservedState::Partitioned)),
            "seed {seed}"
        );
    }
}

#[test]
fn one_that_is_cut_off_from_all_buries_nobody() {
    let mut world = world(9, 11);
    world.cut(|id| id == 4, |_| true);
    world.cut(|_| true, |id| id == 4);
    world.advance(s(90));
    assert!(world.told.iter().all(|told| told.by != 4 || told.change.state != ObservedState::Failed));
    assert!(world.node(4).is_some_and(|node| node.is_isolated(world.now)));
    assert_eq!(world.gatherers(4), Some(9));
    assert_eq!(world.sees(0, 4), Some(ObservedState::Failed));
    world.cuts.clear();
    assert!(world.until(s(30), World::agree).is_some());
}

#[test]
fn a_release_that_kills_seven_of_ten_at_once_is_known_and_they_come_back_as_new() {
    for seed in [1, 2] {
        let mut world = world(100, seed);
        (0..70).for_each(|id| world.kill(id));
        let took = world.until(s(20), World::agree);
        assert!(took.is_some_and(|took| took <= s(8)), "seed {seed}: {took:?}");
        assert_eq!(world.gatherers(99), Some(30));
        // The seeds were among them.
        (0..70).for_each(|id| world.start(id));
        let took = world.until(s(30), World::agree);
        assert!(took.is_some_and(|took| took <= s(15)), "seed {seed}: {took:?}");
        assert!(world.buried_alive().is_empty());
        assert_eq!(world.gatherers(0), Some(100));
    }
}

#[test]
fn an_upgrade_is_no_death_and_who_leaves_is_gone_at_once() {
    let mut world = world(10, 3);
    world.leave(4, true);
    world.advance(s(4));
    assert_eq!(world.gatherers(0), Some(10), "it moves");
    world.start(4);
    assert!(world.until(s(10), World::agree).is_some());
    world.leave(5, false);
    let took = world.until(s(5), World::agree);
    assert!(took.is_some_and(|took| took <= s(1)), "{took:?}");
    let dead =
        |told: &&engine::Told| matches!(told.change.state, ObservedState::Dead | ObservedState::Failed);
    assert_eq!(world.told.iter().filter(dead).count(), 0);
    // One that moves and never comes is found dead all the same.
    world.leave(6, true);
    world.advance(s(20));
    assert!(world.agree());
}

#[test]
fn restarts_in_a_loop_do_not_grow_what_is_remembered() {
    let mut world = world(6, 9);
    for _ in 0..100 {
        world.kill(5);
        world.advance(Duration::from_millis(300));
        world.start(5);
        world.advance(Duration::from_millis(700));
    }
    world.advance(s(10));
    assert!(world.agree());
    assert!((0..6).all(|id| world.node(id).is_some_and(|node| node.table().iter().count() == 5)));
}
