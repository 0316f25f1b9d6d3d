//! Every pattern of loss of the first messages after a fault, run on the program's own state machine: three
//! or four members with a crash, a partition, both, or a paused member.

use gatherer::membership::{Node, ObservedState, Timing};
use gatherer::simulation::Simulation;
use std::collections::BTreeSet;
use std::time::Duration;

type Members = Simulation<Node>;

/// Messages that are each lost or delivered: all patterns are run.
const MESSAGES: u32 = 7;

/// What all patterns of loss gave.
struct ExplorationResult {
    runs: usize,
    /// Different histories: which member reported which state of which other, in order.
    histories: BTreeSet<Vec<(usize, String, ObservedState)>>,
}

/// Applies a fault under all patterns of loss; `check` asserts what has to hold in each.
fn explore(
    members: usize,
    fault: impl Fn(&mut Members),
    check: impl Fn(&mut Members, &str),
) -> ExplorationResult {
    let mut result = ExplorationResult { runs: 0, histories: BTreeSet::new() };
    for pattern in 0..1_u32 << MESSAGES {
        let mut simulation = Members::with_nodes(members, 3, Timing::default());
        simulation.reports.clear();
        fault(&mut simulation);
        simulation.scripted_losses = (0..MESSAGES).map(|message| pattern >> message & 1 == 1).collect();
        check(&mut simulation, &format!("pattern {pattern:07b}"));
        result.runs += 1;
        let history = simulation
            .reports
            .iter()
            .map(|report| (report.by, report.change.name.clone(), report.change.state));
        result.histories.insert(history.collect());
    }
    result
}

/// Whether all running members observe this one as dead or failed.
fn is_dead_to_all(simulation: &Members, id: usize) -> bool {
    simulation.living().all(|by| {
        matches!(simulation.observed_state(by, id), Some(ObservedState::Dead | ObservedState::Failed))
    })
}

#[test]
fn a_crash_is_detected_without_a_false_positive_whatever_is_lost() {
    let check = |simulation: &mut Members, pattern: &str| {
        let detected =
            simulation.run_until(Duration::from_secs(6), |simulation| is_dead_to_all(simulation, 2));
        assert!(detected.is_some(), "{pattern}: {:?}", simulation.reports);
        assert!(simulation.false_positives().is_empty(), "{pattern}");
        assert!(
            simulation.living().all(|id| simulation.gatherers(id) == Some(3)),
            "{pattern}: its share is redistributed at once"
        );
    };
    let result = explore(4, |simulation| simulation.kill(2), check);
    assert!(result.runs == 128 && result.histories.len() > 3, "{} histories", result.histories.len());
}

#[test]
fn a_partition_causes_no_false_positive_whatever_is_lost_and_a_crash_beside_it_is_detected() {
    let partition = |simulation: &mut Members| {
        simulation.partition(|id| id == 0, |id| id == 1);
        simulation.partition(|id| id == 1, |id| id == 0);
    };
    let observes_partition = |simulation: &mut Members, pattern: &str| {
        simulation.advance(Duration::from_secs(15));
        assert!(simulation.false_positives().is_empty(), "{pattern}: {:?}", simulation.reports);
        assert_eq!(simulation.observed_state(0, 1), Some(ObservedState::Partitioned), "{pattern}");
    };
    explore(4, partition, observes_partition);
    // The member that crashes is one of those that reach both sides.
    let both = |simulation: &mut Members| {
        partition(simulation);
        simulation.kill(2);
    };
    let detects_crash = |simulation: &mut Members, pattern: &str| {
        let detected =
            simulation.run_until(Duration::from_secs(8), |simulation| is_dead_to_all(simulation, 2));
        assert!(
            detected.is_some() && simulation.false_positives().is_empty(),
            "{pattern}: {:?}",
            simulation.reports
        );
    };
    explore(4, both, detects_crash);
}

#[test]
fn a_pause_under_the_suspicion_timeout_causes_no_false_positive_whatever_is_lost() {
    let check = |simulation: &mut Members, pattern: &str| {
        simulation.advance(Duration::from_secs(9));
        let converged = simulation.run_until(Duration::from_secs(6), Members::has_converged);
        assert!(
            converged.is_some() && simulation.false_positives().is_empty(),
            "{pattern}: {:?}",
            simulation.reports
        );
    };
    let result = explore(3, |simulation| simulation.pause(1, Duration::from_secs(8)), check);
    assert!(result.histories.len() > 1);
}
