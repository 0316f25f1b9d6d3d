//! Random faults, with shrinking, inside the bounds that docs/membership.md states: no running member is
//! declared dead, and all members converge afterwards. Further tests show that each guard is needed:
//! without it a running member is declared dead.

use gatherer::membership::{MemberState, MemberUpdate, Message, MessageKind, Node, ObservedState, Timing};
use gatherer::simulation::network::{address, name};
use gatherer::simulation::{NetworkFaults, Simulation};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use std::time::Duration;

type Members = Simulation<Node>;

const MEMBERS: usize = 6;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A configuration that generates the same cases each time.
fn fixed_cases(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(23);
    ProptestConfig {
        cases,
        max_shrink_iters: 200,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A fault. The parameters are bounded so that a member is prevented from answering for less than the
/// suspicion time-out in total.
#[derive(Clone, Debug)]
enum Fault {
    Pause { member: usize, pause_ms: u64 },
    Partition { from: usize, to: usize, both_ways: bool },
    Restart { member: usize, down_ms: u64 },
    Upgrade { member: usize, gap_ms: u64 },
    Loss { fraction: f64 },
    Heal,
}

/// Generates a random fault.
fn any_fault() -> impl Strategy<Value = Fault> {
    let member = 0..MEMBERS;
    prop_oneof![
        3 => (member.clone(), 50..1900_u64).prop_map(|(member, pause_ms)| Fault::Pause { member, pause_ms }),
        3 => (member.clone(), member.clone(), any::<bool>())
            .prop_map(|(from, to, both_ways)| Fault::Partition { from, to, both_ways }),
        2 => (member.clone(), 0..3000_u64).prop_map(|(member, down_ms)| Fault::Restart { member, down_ms }),
        1 => (member, 0..900_u64).prop_map(|(member, gap_ms)| Fault::Upgrade { member, gap_ms }),
        1 => (0.0..0.2_f64).prop_map(|fraction| Fault::Loss { fraction }),
        1 => Just(Fault::Heal),
    ]
}

/// Applies the faults in order, and advances time by the given milliseconds after each.
fn simulate(seed: u64, faults: &[(Fault, u64)]) -> Members {
    let mut simulation = Members::with_nodes(MEMBERS, seed, Timing::default());
    simulation.reports.clear();
    for (fault, wait_ms) in faults {
        match fault {
            Fault::Pause { member, pause_ms } => simulation.pause(*member, ms(*pause_ms)),
            Fault::Partition { from, to, both_ways } => {
                // Only two members are partitioned from each other, so that others reach both.
                simulation.partition(|id| id == *from, |id| id == *to);
                if *both_ways {
                    simulation.partition(|id| id == *to, |id| id == *from);
                }
            }
            Fault::Restart { member, down_ms } => {
                simulation.kill(*member);
                simulation.advance(ms(*down_ms));
                simulation.start(*member);
            }
            Fault::Upgrade { member, gap_ms } => {
                simulation.leave(*member, true);
                simulation.advance(ms(*gap_ms));
                simulation.start(*member);
            }
            Fault::Loss { fraction } => {
                simulation.faults = NetworkFaults { loss: *fraction, duplicated: 0.1, delayed: 0.05 }
            }
            Fault::Heal => simulation.partitions.clear(),
        }
        simulation.advance(ms(*wait_ms));
    }
    simulation
}

proptest! {
    #![proptest_config(fixed_cases(200))]
    #[test]
    fn inside_the_bounds_no_running_member_is_declared_dead_and_all_converge_again(
        seed in 0..1_000_000_u64, faults in prop::collection::vec((any_fault(), 0..4000_u64), 1..5),
    ) {
        let mut simulation = simulate(seed, &faults);
        (simulation.faults, simulation.partitions) = (NetworkFaults::default(), Default::default());
        let converged = simulation.run_until(Duration::from_secs(30), Members::has_converged);
        prop_assert!(simulation.false_positives().is_empty(), "{:?}", simulation.false_positives());
        prop_assert!(converged.is_some());
        prop_assert!((0..MEMBERS).all(|id| simulation.gatherers(id) == Some(MEMBERS as u32)));
    }
}

/// The number of deaths of running processes that this member reported.
fn false_positives_by(simulation: &Members, id: usize) -> usize {
    simulation.false_positives().into_iter().filter(|report| report.by == id).count()
}

#[test]
fn without_the_isolation_guard_a_partitioned_member_declares_the_fleet_dead() {
    let declared_dead_by_isolated = |timing: Timing| {
        let mut simulation = Members::with_nodes(MEMBERS, 5, timing);
        simulation.partition(|id| id == 0, |_| true);
        simulation.partition(|_| true, |id| id == 0);
        simulation.advance(Duration::from_secs(40));
        false_positives_by(&simulation, 0)
    };
    let never = Duration::from_secs(86_400);
    assert_eq!(declared_dead_by_isolated(Timing::default()), 0);
    assert_eq!(
        declared_dead_by_isolated(Timing { isolation_timeout: never, ..Timing::default() }),
        MEMBERS - 1
    );
}

#[test]
fn without_the_pause_guard_a_resumed_member_declares_one_dead_that_answered_meanwhile() {
    // Member 0 suspects member 1 and is then paused for longer than the suspicion time-out, while member 1
    // resumes and answers. Where member 0 handles a message of another member before its timers, the
    // isolation guard does not apply.
    let declared_dead_by_resumed = |timing: Timing| -> usize {
        let false_positives = (0..8).map(|seed| {
            let mut simulation = Members::with_nodes(MEMBERS, seed, timing);
            simulation.pause(1, ms(5000));
            let suspected = simulation.run_until(ms(5000), |simulation| {
                simulation.observed_state(0, 1) == Some(ObservedState::Suspect)
            });
            assert!(suspected.is_some());
            simulation.pause(0, ms(12_000));
            simulation.advance(ms(14_000));
            false_positives_by(&simulation, 0)
        });
        false_positives.sum()
    };
    let never = Duration::from_secs(86_400);
    assert_eq!(declared_dead_by_resumed(Timing::default()), 0);
    assert!(declared_dead_by_resumed(Timing { pause_threshold: never, ..Timing::default() }) > 0);
}

/// Generates an update that no member reported.
fn forged_update() -> impl Strategy<Value = MemberUpdate> {
    let start = prop_oneof![
        2 => Just(None),
        1 => (0..200_u64).prop_map(Some),
        1 => Just(Some(u64::MAX)),
    ];
    let incarnation = prop_oneof![0..4_u32, Just(u32::MAX / 2), Just(u32::MAX / 2 - 1), Just(u32::MAX)];
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::HandingOver),
        Just(MemberState::Suspect),
        Just(MemberState::Failed),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ];
    (0..MEMBERS + 2, start, incarnation, state).prop_map(|(id, start, incarnation, state)| {
        MemberUpdate {
            name: name(id),
            // The offset to the member's own start in nanoseconds: 0, at least 1 and less than 200 ms, or
            // `u64::MAX` for the last possible start.
            start: start.map_or(0, |later| later.saturating_mul(1_000_000).max(1)),
            incarnation,
            address: address(id),
            zone: String::new(),
            state,
        }
    })
}

proptest! {
    #![proptest_config(fixed_cases(100))]
    #[test]
    fn forged_updates_are_refuted_and_all_running_members_are_present_again(
        forgeries in prop::collection::vec((0..MEMBERS, forged_update(), forged_update(), 0..900_u64), 1..12),
    ) {
        let mut simulation = Members::with_nodes(MEMBERS, 1, Timing::default());
        let starts: Vec<u64> = (0..MEMBERS).filter_map(|id| Some(simulation.node(id)?.own().start)).collect();
        let resolve_start = |update: MemberUpdate| {
            let id: usize = update.name[9..].parse().expect("a member number at the end of the name");
            let base = starts.get(id).copied().unwrap_or(starts[0]);
            let start = if update.start == u64::MAX { u64::MAX } else { base.saturating_add(update.start) };
            MemberUpdate { start, ..update }
        };
        for (to, from, update, wait_ms) in forgeries {
            let (from, updates) = (resolve_start(from), vec![resolve_start(update)]);
            simulation.forge(to, Message { from, kind: MessageKind::Gossip, updates });
            simulation.advance(ms(wait_ms));
        }
        // Members that do not exist fail or are declared dead; every running member is present again.
        let all_present = |simulation: &Members| {
            simulation.living().all(|by| (0..MEMBERS).filter(|id| *id != by).all(|id| {
                simulation.observed_state(by, id).is_some_and(ObservedState::is_present)
            }))
        };
        simulation.advance(Duration::from_secs(15));
        prop_assert!(simulation.run_until(Duration::from_secs(30), all_present).is_some());
        prop_assert!(
            (0..MEMBERS)
                .all(|id| simulation.gatherers(id).is_some_and(|count| count <= MEMBERS as u32 + 2))
        );
    }
}
