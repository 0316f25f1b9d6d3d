//! Every way in which the first messages after a fault may be lost, played on the program's own state machine: three or
//! four members, one crash, one cut, both, or one that stands still.

use gatherer::membership::{Node, ObservedState, Timing};
use gatherer::simulation::engine;
use std::collections::BTreeSet;
use std::time::Duration;

type World = engine::Simulation<Node>;

/// Messages of which each is lost or not: all patterns are played.
const MESSAGES: u32 = 7;

struct Seen {
    worlds: usize,
    /// Different histories: who told what of whom, in which order.
    histories: BTreeSet<Vec<(usize, String, ObservedState)>>,
}

/// Plays a fault under all patterns of loss; what is to hold in each is checked in it.
fn explore(members: usize, fault: impl Fn(&mut World), holds: impl Fn(&mut World, &str)) -> Seen {
    let mut seen = Seen { worlds: 0, histories: BTreeSet::new() };
    for pattern in 0..1_u32 << MESSAGES {
        let mut world = World::of_nodes(members, 3, Timing::default());
        world.told.clear();
        fault(&mut world);
        world.script = (0..MESSAGES).map(|at| pattern >> at & 1 == 1).collect();
        holds(&mut world, &format!("pattern {pattern:07b}"));
        seen.worlds += 1;
        let told = world.told.iter().map(|told| (told.by, told.change.name.clone(), told.change.state));
        seen.histories.insert(told.collect());
    }
    seen
}

fn dead_to_all(world: &World, id: usize) -> bool {
    world.living().all(|by| matches!(world.sees(by, id), Some(ObservedState::Dead | ObservedState::Failed)))
}

#[test]
fn a_crash_is_found_and_nothing_else_whatever_is_lost() {
    let holds = |world: &mut World, what: &str| {
        let found = world.until(Duration::from_secs(6), |world| dead_to_all(world, 2));
        assert!(found.is_some(), "{what}: {:?}", world.told);
        assert!(world.buried_alive().is_empty(), "{what}");
        assert!(
            world.living().all(|id| world.gatherers(id) == Some(3)),
            "{what}: its share is given on at once"
        );
    };
    let seen = explore(4, |world| world.kill(2), holds);
    assert!(seen.worlds == 128 && seen.histories.len() > 3, "{} histories", seen.histories.len());
}

#[test]
fn a_cut_buries_nobody_whatever_is_lost_and_a_crash_behind_it_is_found() {
    let cut = |world: &mut World| {
        world.cut(|id| id == 0, |id| id == 1);
        world.cut(|id| id == 1, |id| id == 0);
    };
    let nobody = |world: &mut World, what: &str| {
        world.advance(Duration::from_secs(15));
        assert!(world.buried_alive().is_empty(), "{what}: {:?}", world.told);
        assert_eq!(world.sees(0, 1), Some(ObservedState::Partitioned), "{what}");
    };
    explore(4, cut, nobody);
    // The one that crashes is one of those who can tell the two apart.
    let both = |world: &mut World| {
        cut(world);
        world.kill(2);
    };
    let found = |world: &mut World, what: &str| {
        let found = world.until(Duration::from_secs(8), |world| dead_to_all(world, 2));
        assert!(found.is_some() && world.buried_alive().is_empty(), "{what}: {:?}", world.told);
    };
    explore(4, both, found);
}

#[test]
fn one_that_stands_still_for_less_than_a_burial_is_there_afterwards_whatever_is_lost() {
    let holds = |world: &mut World, what: &str| {
        world.advance(Duration::from_secs(9));
        let agreed = world.until(Duration::from_secs(6), World::agree);
        assert!(agreed.is_some() && world.buried_alive().is_empty(), "{what}: {:?}", world.told);
    };
    let seen = explore(3, |world| world.stop(1, Duration::from_secs(8)), holds);
    assert!(seen.histories.len() > 1);
}
