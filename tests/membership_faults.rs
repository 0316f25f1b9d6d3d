//! Faults drawn by lot, with shrinking, inside the bounds that docs/membership.md states: nobody who lives is buried, and
//! all agree again afterwards. And proof that the guards are needed: without each, somebody who lives is buried.

use gatherer::membership::{MemberState, MemberUpdate, Message, MessageKind, Node, ObservedState, Timing};
use gatherer::simulation::engine::{self, Net};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

type World = engine::Simulation<Node>;

const MEMBERS: usize = 6;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// The same cases each time.
fn fixed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(23);
    ProptestConfig {
        cases,
        max_shrink_iters: 200,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What may happen. All that silences a member together stays under the time to its burial.
#[derive(Clone, Debug)]
enum Fault {
    Pause { who: usize, ms: u64 },
    Cut { from: usize, to: usize, both: bool },
    Restart { who: usize, down: u64 },
    Upgrade { who: usize, between: u64 },
    Loss { share: f64 },
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    let who = 0..MEMBERS;
    prop_oneof![
        3 => (who.clone(), 50..1900_u64).prop_map(|(who, ms)| Fault::Pause { who, ms }),
        3 => (who.clone(), who.clone(), any::<bool>()).prop_map(|(from, to, both)| Fault::Cut { from, to, both }),
        2 => (who.clone(), 0..3000_u64).prop_map(|(who, down)| Fault::Restart { who, down }),
        1 => (who, 0..900_u64).prop_map(|(who, between)| Fault::Upgrade { who, between }),
        1 => (0.0..0.2_f64).prop_map(|share| Fault::Loss { share }),
        1 => Just(Fault::Heal),
    ]
}

/// Plays faults one after the other, each so long after the one before.
fn played(seed: u64, faults: &[(Fault, u64)]) -> World {
    let mut world = World::of_nodes(MEMBERS, seed, Timing::default());
    world.told.clear();
    for (fault, then) in faults {
        match fault {
            Fault::Pause { who, ms: span } => world.stop(*who, ms(*span)),
            Fault::Cut { from, to, both } => {
                // Between two only, so that others reach both.
                world.cut(|id| id == *from, |id| id == *to);
                if *both {
                    world.cut(|id| id == *to, |id| id == *from);
                }
            }
            Fault::Restart { who, down } => {
                world.kill(*who);
                world.advance(ms(*down));
                world.start(*who);
            }
            Fault::Upgrade { who, between } => {
                world.leave(*who, true);
                world.advance(ms(*between));
                world.start(*who);
            }
            Fault::Loss { share } => world.net = Net { loss: *share, twice: 0.1, late: 0.05 },
            Fault::Heal => world.cuts.clear(),
        }
        world.advance(ms(*then));
    }
    world
}

proptest! {
    #![proptest_config(fixed(200))]
    #[test]
    fn inside_the_bounds_nobody_who_lives_is_buried_and_all_agree_again(
        seed in 0..1_000_000_u64, faults in prop::collection::vec((fault(), 0..4000_u64), 1..5),
    ) {
        let mut world = played(seed, &faults);
        (world.net, world.cuts) = (Net::default(), Default::default());
        let agreed = world.until(Duration::from_secs(30), World::agree);
        prop_assert!(world.buried_alive().is_empty(), "{:?}", world.buried_alive());
        prop_assert!(agreed.is_some());
        prop_assert!((0..MEMBERS).all(|id| world.gatherers(id) == Some(MEMBERS as u32)));
    }
}

/// Deaths that this member told of others who lived.
fn told_by(world: &World, id: usize) -> usize {
    world.buried_alive().into_iter().filter(|told| told.by == id).count()
}

#[test]
fn without_the_guard_of_its_own_cut_a_member_buries_the_fleet() {
    let cut_off = |timing: Timing| {
        let mut world = World::of_nodes(MEMBERS, 5, timing);
        world.cut(|id| id == 0, |_| true);
        world.cut(|_| true, |id| id == 0);
        world.advance(Duration::from_secs(40));
        told_by(&world, 0)
    };
    let never = Duration::from_secs(86_400);
    assert_eq!(cut_off(Timing::default()), 0);
    assert_eq!(cut_off(Timing { isolation_timeout: never, ..Timing::default() }), MEMBERS - 1);
}

#[test]
fn without_the_guard_of_its_own_stall_a_member_buries_who_answered_meanwhile() {
    // One is suspected; another stands still until long after that one has answered, and reads a word of anybody else
    // before it looks at its timers.
    let stalls = |timing: Timing| -> usize {
        let buried = (0..8).map(|seed| {
            let mut world = World::of_nodes(MEMBERS, seed, timing);
            world.stop(1, ms(5000));
            let suspected = world.until(ms(5000), |world| world.sees(0, 1) == Some(ObservedState::Suspect));
            assert!(suspected.is_some());
            world.stop(0, ms(12_000));
            world.advance(ms(14_000));
            told_by(&world, 0)
        });
        buried.sum()
    };
    let never = Duration::from_secs(86_400);
    assert_eq!(stalls(Timing::default()), 0);
    assert!(stalls(Timing { pause_threshold: never, ..Timing::default() }) > 0);
}

/// Claims about a member that no member made.
fn forged() -> impl Strategy<Value = MemberUpdate> {
    let start = prop_oneof![
        2 => Just(None),
        1 => (0..200_u64).prop_map(Some),
        1 => Just(Some(u64::MAX)),
    ];
    let incarnation = prop_oneof![0..4_u32, Just(u32::MAX / 2), Just(u32::MAX / 2 - 1), Just(u32::MAX)];
    let standing = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::HandingOver),
        Just(MemberState::Suspect),
        Just(MemberState::Failed),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ];
    (0..MEMBERS + 2, start, incarnation, standing).prop_map(|(id, start, incarnation, standing)| {
        MemberUpdate {
            name: engine::name(id),
            // None stands for the start that the member has; the others for later ones, by milliseconds, and for the last.
            start: start.map_or(0, |later| later.saturating_mul(1_000_000).max(1)),
            incarnation,
            address: engine::address(id),
            zone: String::new(),
            state: standing,
        }
    })
}

proptest! {
    #![proptest_config(fixed(100))]
    #[test]
    fn who_forges_claims_is_answered_and_all_that_live_are_there_again(
        forgeries in prop::collection::vec((0..MEMBERS, forged(), forged(), 0..900_u64), 1..12),
    ) {
        let mut world = World::of_nodes(MEMBERS, 1, Timing::default());
        let starts: Vec<u64> = (0..MEMBERS).filter_map(|id| Some(world.node(id)?.own().start)).collect();
        let real = |claim: MemberUpdate| {
            let id: usize = claim.name[9..].parse().expect("a number");
            let base = starts.get(id).copied().unwrap_or(starts[0]);
            let start = if claim.start == u64::MAX { u64::MAX } else { base.saturating_add(claim.start) };
            MemberUpdate { start, ..claim }
        };
        for (to, from, claim, then) in forgeries {
            let (from, claims) = (real(from), vec![real(claim)]);
            world.forge(to, Message { from, kind: MessageKind::Gossip, updates: claims });
            world.advance(ms(then));
        }
        // Members that were made up fall silent or are found dead; nobody else stays buried.
        let there = |world: &World| {
            world.living().all(|by| (0..MEMBERS).filter(|id| *id != by).all(|id| {
                world.sees(by, id).is_some_and(engine::there)
            }))
        };
        world.advance(Duration::from_secs(15));
        prop_assert!(world.until(Duration::from_secs(30), there).is_some());
        prop_assert!((0..MEMBERS).all(|id| world.gatherers(id).is_some_and(|number| number <= MEMBERS as u32 + 2)));
    }
}
