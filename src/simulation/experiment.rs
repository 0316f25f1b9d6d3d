//! Experiments: what happens to members, when, and what is to hold, as a TOML file.

use super::engine::Net;
use crate::membership::Timing;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// A file that is no experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It cannot be read.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// It is not in the form; the message shows line and key.
    #[error("{path}: {error}")]
    Form {
        /// The file.
        path: String,
        /// What is wrong.
        error: String,
    },
}

/// What is played.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// In a few words.
    pub title: String,
    /// Members.
    pub members: usize,
    /// Seconds played, after the 20 in which they find each other.
    pub seconds: f64,
    /// The lots' seed.
    #[serde(default = "one")]
    pub seed: u64,
    /// From a suspicion to a burial, in milliseconds.
    #[serde(default = "bury_ms")]
    pub bury_ms: u64,
    /// Between two rounds of questions, in milliseconds.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
    /// The network at the start.
    #[serde(default)]
    pub net: Net,
    /// What happens.
    #[serde(default)]
    pub step: Vec<Step>,
    /// What is to hold.
    #[serde(default)]
    pub rules: Rules,
}

fn one() -> u64 {
    1
}
fn bury_ms() -> u64 {
    10_000
}
fn period_ms() -> u64 {
    500
}

/// Members, by number: `[3, 4]`, or `{ from = 0, to = 9 }` (the last one included).
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Who {
    /// These.
    These(Vec<usize>),
    /// A range.
    Range {
        /// The first.
        from: usize,
        /// The last.
        to: usize,
    },
}

impl Who {
    /// Their numbers.
    pub fn ids(&self) -> Vec<usize> {
        match self {
            Who::These(ids) => ids.clone(),
            Who::Range { from, to } => (*from..=*to).collect(),
        }
    }
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in seconds.
    pub at: f64,
    /// Again every so many seconds, if it repeats.
    pub every: Option<f64>,
    /// What.
    #[serde(rename = "do")]
    pub what: Doing,
    /// To whom; cuts: from whom.
    pub who: Option<Who>,
    /// Cuts: to whom.
    pub to: Option<Who>,
    /// Pauses: for so many seconds.
    pub seconds: Option<f64>,
    /// The network from then on.
    pub net: Option<Net>,
}

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Doing {
    /// The process is killed.
    Kill,
    /// A process is started.
    Start,
    /// It stands still for a time.
    Pause,
    /// It ends by itself.
    Leave,
    /// It ends for another of the same name.
    Move,
    /// Nothing passes one way.
    CutOneWay,
    /// Nothing passes either way.
    Cut,
    /// All cuts are over.
    Heal,
    /// The network is another.
    Net,
}

/// What is to hold.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The most deaths told of processes that live.
    pub buried_alive: Option<usize>,
    /// The most seconds until a killed member is known dead by all.
    pub known_in: Option<f64>,
    /// At the end all see just those that live.
    pub agree: bool,
    /// The most that members share out at any time: the sum over those that live of one part in the number each goes by.
    pub shared_out: Option<f64>,
}

impl Experiment {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Experiment, Error> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File { path: name.clone(), error })?;
        Experiment::parse(&text).map_err(|error| Error::Form { path: name, error })
    }

    /// Reads a text, and checks it.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let experiment: Experiment = toml::from_str(text).map_err(|error| format!("\n{error}"))?;
        experiment.check()?;
        Ok(experiment)
    }

    /// The protocol's times.
    pub fn timing(&self) -> Timing {
        let (period, bury) = (Duration::from_millis(self.period_ms), Duration::from_millis(self.bury_ms));
        Timing {
            probe_interval: period,
            gossip_interval: period / 5,
            suspicion_timeout: bury,
            ..Timing::default()
        }
    }

    /// Whether it can be played; what is wrong, by key or step.
    pub fn check(&self) -> Result<(), String> {
        if !(2..=2000).contains(&self.members) {
            return Err(format!("members: {}, 2 to 2000 can be played", self.members));
        }
        if !(self.seconds > 0.0 && self.seconds <= 604_800.0) {
            return Err(format!("seconds: {}, a week at most", self.seconds));
        }
        let shares =
            |net: &Net| [net.loss, net.twice, net.late].iter().all(|share| (0.0..=1.0).contains(share));
        if !shares(&self.net) {
            return Err("net: shares lie between 0 and 1".to_owned());
        }
        for (at, step) in self.step.iter().enumerate() {
            let fault = |what: &str| Err(format!("step {} ({:?} at {}): {what}", at + 1, step.what, step.at));
            let needs_who = !matches!(step.what, Doing::Heal | Doing::Net);
            let cuts = matches!(step.what, Doing::Cut | Doing::CutOneWay);
            if !(0.0..=self.seconds).contains(&step.at) {
                return fault("it lies outside of what is played");
            }
            if needs_who != step.who.is_some() || cuts != step.to.is_some() {
                return fault(
                    "`who` names those it happens to, `to` the others of a cut, and neither stands elsewhere",
                );
            }
            if (step.what == Doing::Pause) != step.seconds.is_some() {
                return fault("`seconds` is the length of a pause");
            }
            if (step.what == Doing::Net) != step.net.is_some_and(|net| shares(&net)) {
                return fault("`net` is the network of a `net` step, in shares between 0 and 1");
            }
            if step.every.is_some_and(|every| every.is_nan() || every < 0.05) {
                return fault("`every`: 0.05 s at least");
            }
            let all = [&step.who, &step.to].into_iter().flatten().flat_map(Who::ids);
            if all.into_iter().any(|id| id >= self.members) {
                return fault("there is no such member");
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_are_named_by_line_key_or_step() {
        let parse = |text: &str| Experiment::parse(text).expect_err("faulty");
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
        let whole = format!("{head}[[step]]\nat = 1.0\ndo = \"cut\"\nwho = [1]\nto = {{ from = 2, to = 4 }}");
        assert_eq!(
            Experiment::parse(&whole).map(|it| it.step[0].to.as_ref().map(Who::ids)),
            Ok(Some(vec![2, 3, 4]))
        );
    }
}
