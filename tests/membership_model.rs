//! Exhaustive tests of message loss: for each fault, every pattern of loss of the first seven messages
//! after it is run on the program's state machine. The faults are a crash, a partition, both, and a pause,
//! in fleets of three or four members.

use gatherer::membership::{Node, ObservedState, Timing};
use gatherer::simulation::Simulation;
use std::collections::BTreeSet;
use std::time::Duration;

type Members = Simulation<Node>;

/// The number of messages after the fault whose loss is varied: 2 to the power of this number of runs.
const MESSAGES: u32 = 7;

/// The results of the runs with all patterns of loss.
struct ExplorationResult {
    runs: usize,
    /// The distinct histories of reports: the reporting member, the other's name and its state, in order.
    histories: BTreeSet<Vec<(usize, String, ObservedState)>>,
}

/// Applies a fault under each pattern of loss; `check` contains the assertions for each run.
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

/// Whether all running members observe member `id` as dead or failed.
fn is_dead_to_all(simulation: &Members, id: usize) -> bool {
    simulation.living().all(|by| {
        matches!(simulation.observed_state(by, id), Some(ObservedState::Dead | ObservedState::Failed))
    })
}

#[test]
fn a_crash_is_detected_without_a_false_positive_under_every_pattern_of_loss() {
    let check = |simulation: &mut Members, pattern: &str| {
        let detected =
            simulation.run_until(Duration::from_secs(6), |simulation| is_dead_to_all(simulation, 2));
        assert!(detected.is_some(), "{pattern}: {:?}", simulation.reports);
        assert!(simulation.false_positives().is_empty(), "{pattern}");
        assert!(
            simulation.living().all(|id| simulation.gatherers(id) == Some(3)),
            "{pattern}: the dead member's share is redistributed at once"
        );
    };
    let result = explore(4, |simulation| simulation.kill(2), check);
    assert!(result.runs == 128 && result.histories.len() > 3, "{} histories", result.histories.len());
}

#[test]
fn a_partition_causes_no_false_positive_and_a_crash_beside_it_is_detected_under_every_pattern_of_loss() {
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
    // Member 2, which reaches both sides of the partition, crashes.
    let partition_and_crash = |simulation: &mut Members| {
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
    explore(4, partition_and_crash, detects_crash);
}

#[test]
fn a_pause_under_the_suspicion_timeout_causes_no_false_positive_under_every_pattern_of_loss() {
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
