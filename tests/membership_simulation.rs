//! The membership simulation: the shipped experiments satisfy their rules, the same seed gives the same
//! outcome, and broken rules are reported.

use gatherer::simulation::{self, Experiment, Outcome, Simulation, chart};
use std::path::Path;

/// Runs an experiment, and clears the one value of its outcome that differs from run to run.
fn outcome(experiment: &Experiment) -> Outcome {
    let members = Simulation::with_nodes(experiment.members, experiment.seed, experiment.timing());
    let outcome = simulation::run(experiment, members, |_| {});
    // `cpu_us` is measured in real time.
    Outcome { cpu_us: 0.0, ..outcome }
}

/// Reads one of the shipped experiments.
fn read_experiment(name: &str) -> Experiment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    Experiment::read(&folder.join(name)).expect("an experiment")
}

#[test]
fn every_experiment_keeps_its_rules() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
    let mut run_count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let file = entry.expect("an entry").file_name().into_string().expect("text");
        let mut experiment = read_experiment(&file);
        // Long experiments are shortened to 180 s; `membership-simulator run` runs them in full.
        experiment.seconds = experiment.seconds.min(180.0);
        experiment.steps.retain(|step| step.at <= 180.0);
        let outcome = outcome(&experiment);
        assert_eq!(outcome.broken_rules, Vec::<String>::new(), "{file}");
        assert_eq!(outcome.samples.len(), experiment.seconds as usize, "{file}");
        run_count += 1;
    }
    assert!(run_count >= 8);
}

#[test]
fn the_same_seed_gives_the_same_outcome_and_another_seed_does_not() {
    let experiment = read_experiment("lossy.toml");
    let short = Experiment { seconds: 40.0, steps: experiment.steps[..1].to_vec(), ..experiment };
    let first = outcome(&short);
    assert_eq!(first, outcome(&short));
    assert_ne!(first.datagrams_per_s, outcome(&Experiment { seed: 2, ..short }).datagrams_per_s);
    let svg = chart::svg(&first).expect("drawn");
    assert!(
        svg.contains("members that observe exactly those") && chart::table(&[first]).lines().count() == 3
    );
}

#[test]
fn broken_rules_are_reported() {
    // A third of the fleet pauses for longer than the suspicion time-out; the other rules are too strict to
    // be satisfied, such as a detection within 0.1 s.
    let text = r#"
        title = "broken"
        members = 6
        seconds = 40.0
        [[step]]
        at = 1.0
        do = "pause"
        who = [1, 2]
        seconds = 30.0
        [[step]]
        at = 39.5
        do = "kill"
        who = [4]
        [rules]
        buried_alive = 0
        known_in = 0.1
        agree = true
        shared_out = 0.9
    "#;
    let broken = outcome(&Experiment::parse(text).expect("an experiment")).broken_rules;
    assert_eq!(broken.len(), 4, "{broken:?}");
    assert!(broken[0].contains("gatherer-1") && broken[1].contains("1 not at all"), "{broken:?}");
}
