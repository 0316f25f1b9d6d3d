//! The laboratory: its experiments hold, the same seed plays the same, and its rules can be broken.

use gatherer::simulation::engine::Simulation;
use gatherer::simulation::{Experiment, Outcome, chart, play};
use std::path::Path;

fn outcome(experiment: &Experiment) -> Outcome {
    let world = Simulation::of_nodes(experiment.members, experiment.seed, experiment.timing());
    let outcome = play(experiment, world, |_| {});
    // Not of the play: how long it took here.
    Outcome { cpu_us: 0.0, ..outcome }
}

fn read(name: &str) -> Experiment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    Experiment::read(&folder.join(name)).expect("an experiment")
}

#[test]
fn every_experiment_keeps_its_rules() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
    let mut played = 0;
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let file = entry.expect("an entry").file_name().into_string().expect("text");
        let mut experiment = read(&file);
        // A part of the long ones says as much here; whole plays are the laboratory's.
        experiment.seconds = experiment.seconds.min(180.0);
        experiment.step.retain(|step| step.at <= 180.0);
        let outcome = outcome(&experiment);
        assert_eq!(outcome.broken, Vec::<String>::new(), "{file}");
        assert_eq!(outcome.moments.len(), experiment.seconds as usize, "{file}");
        played += 1;
    }
    assert!(played >= 8);
}

#[test]
fn the_same_seed_plays_the_same_and_another_does_not() {
    let experiment = read("lossy.toml");
    let short = Experiment { seconds: 40.0, step: experiment.step[..1].to_vec(), ..experiment };
    let first = outcome(&short);
    assert_eq!(first, outcome(&short));
    assert_ne!(first.datagrams, outcome(&Experiment { seed: 2, ..short }).datagrams);
    let svg = chart::svg(&first).expect("drawn");
    assert!(svg.contains("members that see just those") && chart::table(&[first]).lines().count() == 3);
}

#[test]
fn rules_that_do_not_hold_are_told() {
    // Half of the fleet falls silent for longer than it takes to be buried, and deaths are to be known at once.
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
    let broken = outcome(&Experiment::parse(text).expect("an experiment")).broken;
    assert_eq!(broken.len(), 4, "{broken:?}");
    assert!(broken[0].contains("gatherer-1") && broken[1].contains("1 not at all"), "{broken:?}");
}
