use super::{Experiment, InvalidExperiment, InvalidStep, MemberSet};
use std::error::Error;

#[test]
fn an_invalid_experiment_is_reported_with_its_line_key_or_step() {
    let parse = |text: &str| Experiment::parse(text).expect_err("an invalid experiment").to_string();
    let head = "title = \"t\"\nmembers = 5\nseconds = 10.0\n";
    assert!(parse("title = \"t\"\nmember = 5\n").contains("line 2"));
    assert!(parse("title = \"t\"\nmembers = 1\nseconds = 1.0").starts_with("members: 1"));
    assert!(parse(&format!("{head}[net]\nloss = 1.5")).starts_with("net:"));
    let step = |text: &str| parse(&format!("{head}[[step]]\n{text}"));
    assert!(step("at = 11.0\ndo = \"heal\"").contains("outside"));
    assert!(step("at = 1.0\ndo = \"kill\"").contains("`who`"));
    assert!(step("at = 1.0\ndo = \"kill\"\nwho = [5]").contains("no such member"));
    assert!(step("at = 1.0\ndo = \"pause\"\nwho = [1]").contains("`seconds`"));
    assert!(step("at = 1.0\ndo = \"cut\"\nwho = [1]").contains("`to`"));
    let complete = format!("{head}[[step]]\nat = 1.0\ndo = \"cut\"\nwho = [1]\nto = {{ from = 2, to = 4 }}");
    assert_eq!(
        Experiment::parse(&complete).map(|experiment| experiment.steps[0].to.as_ref().map(MemberSet::ids)),
        Ok(Some(vec![2, 3, 4]))
    );
}

#[test]
fn an_error_keeps_its_source() {
    let syntax = Experiment::parse("title = ]").expect_err("an invalid experiment");
    assert!(syntax.source().is_some_and(|source| source.is::<toml::de::Error>()));
    let step = "title = \"t\"\nmembers = 5\nseconds = 10.0\n[[step]]\nat = 1.0\ndo = \"kill\"\nwho = [5]";
    let step = Experiment::parse(step).expect_err("an invalid experiment");
    assert!(matches!(step, InvalidExperiment::Step { number: 1, source: InvalidStep::UnknownMember, .. }));
    assert_eq!(
        step.to_string(),
        "step 1 (kill at 1): there is no such member: numbers in `who` and `to` must be less than `members`"
    );
    assert!(step.source().is_some_and(|source| source.is::<InvalidStep>()));
}

#[test]
fn an_action_prints_by_the_name_that_it_has_in_a_file() {
    use super::Action::{HandOver, Heal, Kill, Leave, Partition, PartitionOneWay, Pause, SetNetwork, Start};
    let actions = [Kill, Start, Pause, Leave, HandOver, PartitionOneWay, Partition, Heal, SetNetwork];
    let outer = ["kill", "start", "pause", "leave", "move", "cut_one_way", "cut", "heal", "net"];
    for (action, name) in actions.into_iter().zip(outer) {
        assert_eq!(action.to_string(), name);
        assert_eq!(serde_json::to_value(action).expect("JSON"), name);
    }
}
