//! Plays an experiment in virtual time, and checks its rules as it goes.

use super::engine::{Peer, Simulation, there};
use super::experiment::{Doing, Experiment, Step, Who};
use crate::policy::Time;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How finely what all know is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// A moment, each second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    /// When, in seconds.
    pub at: f64,
    /// Members whose process is there: the truth.
    pub living: usize,
    /// Members that see just those.
    pub agreeing: usize,
    /// The least and the greatest number of gatherers that any goes by.
    pub least: u32,
    /// The greatest.
    pub most: u32,
    /// The sum of the shares that those who live take.
    pub shared_out: f64,
}

/// What came of it. The same experiment gives the same, but for `cpu_us`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Which experiment.
    pub title: String,
    /// Members and seed.
    pub members: usize,
    /// The seed.
    pub seed: u64,
    /// Seconds from each kill until all that lived knew of it; those that nobody had learned of when it ended are missing.
    pub known_in: Vec<f64>,
    /// Members killed.
    pub killed: usize,
    /// Deaths told of processes that lived, by the member that was buried.
    pub buried_alive: BTreeMap<String, usize>,
    /// Seconds from the last step until all agreed, if they did.
    pub agreed_after: Option<f64>,
    /// Datagrams and bytes that each member sent a second.
    pub datagrams: f64,
    /// Bytes.
    pub bytes: f64,
    /// Processor time of a member's second, in microseconds: all of the play's, the network's part too.
    pub cpu_us: f64,
    /// Each second.
    pub moments: Vec<Moment>,
    /// Rules that were broken, in words.
    pub broken: Vec<String>,
}

impl Outcome {
    /// A quantile of the times in which deaths were known, in seconds.
    pub fn known(&self, share: f64) -> Option<f64> {
        let mut times = Histogram::<u64>::new(3).ok()?;
        for took in &self.known_in {
            // It grows as it has to; a week in milliseconds is no bound of it.
            times.record((took * 1000.0) as u64).ok()?;
        }
        (!times.is_empty()).then(|| times.value_at_quantile(share) as f64 / 1000.0)
    }
}

/// When each step is due, repeats among them.
fn due(experiment: &Experiment) -> Vec<(Time, Step)> {
    let mut all = Vec::new();
    for step in &experiment.step {
        let mut at = step.at;
        loop {
            all.push((Time(0).after(Duration::from_secs_f64(at)), step.clone()));
            let Some(every) = step.every else { break };
            at += every;
            if at > experiment.seconds {
                break;
            }
        }
    }
    all.sort_by_key(|(at, _)| *at);
    all
}

/// Plays it with these members; `progress` is told each second that has been played.
pub fn play<P: Peer>(
    experiment: &Experiment,
    mut world: Simulation<P>,
    mut progress: impl FnMut(f64),
) -> Outcome {
    world.told.clear();
    world.sent = (0, 0, 0);
    world.net = experiment.net;
    let (begun, began) = (Instant::now(), world.now);
    let mut steps = due(experiment).into_iter().peekable();
    // Killed members whose death is not known to all yet, by start.
    let mut open: BTreeMap<usize, (u64, Time)> = BTreeMap::new();
    let (mut known_in, mut killed, mut moments, mut lived) = (Vec::new(), 0, Vec::<Moment>::new(), 0.0);
    let (mut last_step, mut agreed_after) = (Time(0), None);
    let end = Time(0).after(Duration::from_secs_f64(experiment.seconds));
    let mut now = Time(0);
    while now < end {
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) {
            (last_step, agreed_after) = (now, None);
            for (id, start) in take(&mut world, &step) {
                killed += 1;
                open.insert(id, (start, now));
            }
        }
        let span = LOOK.min(end.since(now));
        world.advance(span);
        now = now.after(span);
        lived += world.living().count() as f64 * span.as_secs_f64();
        open.retain(|id, (start, since)| {
            let again = world.node(*id).is_some_and(|node| node.start() > *start);
            let known = world.living().all(|by| !world.sees(by, *id).is_some_and(there));
            if known && !again {
                known_in.push(now.since(*since).as_secs_f64());
            }
            !known && !again
        });
        if now.0.is_multiple_of(1_000_000_000) {
            let moment = look(&world, now);
            if moment.agreeing == moment.living && agreed_after.is_none() {
                agreed_after = Some(now.since(last_step).as_secs_f64());
            }
            progress(moment.at);
            moments.push(moment);
        }
    }
    debug_assert_eq!(world.now.since(began), end.since(Time(0)));
    let mut buried_alive: BTreeMap<String, usize> = BTreeMap::new();
    for told in world.buried_alive() {
        *buried_alive.entry(told.change.name.clone()).or_default() += 1;
    }
    let mut outcome = Outcome {
        title: experiment.title.clone(),
        members: experiment.members,
        seed: experiment.seed,
        known_in,
        killed,
        buried_alive,
        agreed_after,
        datagrams: world.sent.0 as f64 / lived,
        bytes: world.sent.1 as f64 / lived,
        cpu_us: begun.elapsed().as_micros() as f64 / lived,
        moments,
        broken: Vec::new(),
    };
    outcome.broken = broken(experiment, &outcome);
    outcome
}

/// Has a step happen; the members whose process was killed by it.
fn take<P: Peer>(world: &mut Simulation<P>, step: &Step) -> Vec<(usize, u64)> {
    let ids = step.who.as_ref().map(Who::ids).unwrap_or_default();
    let mut killed = Vec::new();
    match step.what {
        Doing::Kill => {
            for id in ids {
                killed.extend(world.node(id).map(|node| (id, node.start())));
                world.kill(id);
            }
        }
        Doing::Start => {
            for id in ids {
                if world.node(id).is_none() {
                    world.start(id);
                }
            }
        }
        Doing::Pause => {
            let span = Duration::from_secs_f64(step.seconds.unwrap_or(0.0));
            ids.into_iter().for_each(|id| world.stop(id, span));
        }
        Doing::Leave => ids.into_iter().for_each(|id| world.leave(id, false)),
        Doing::Move => ids.into_iter().for_each(|id| world.leave(id, true)),
        Doing::Cut | Doing::CutOneWay => {
            let from: BTreeSet<usize> = ids.into_iter().collect();
            let to: BTreeSet<usize> =
                step.to.as_ref().map(Who::ids).unwrap_or_default().into_iter().collect();
            world.cut(|id| from.contains(&id), |id| to.contains(&id));
            if step.what == Doing::Cut {
                world.cut(|id| to.contains(&id), |id| from.contains(&id));
            }
        }
        Doing::Heal => world.cuts.clear(),
        Doing::Net => world.net = step.net.unwrap_or_default(),
    }
    killed
}

fn look<P: Peer>(world: &Simulation<P>, now: Time) -> Moment {
    let numbers: Vec<u32> = world.living().filter_map(|id| world.gatherers(id)).collect();
    Moment {
        at: now.since(Time(0)).as_secs_f64(),
        living: numbers.len(),
        agreeing: world.agreeing(),
        least: numbers.iter().copied().min().unwrap_or(0),
        most: numbers.iter().copied().max().unwrap_or(0),
        shared_out: numbers.iter().map(|number| 1.0 / f64::from((*number).max(1))).sum(),
    }
}

fn broken(experiment: &Experiment, outcome: &Outcome) -> Vec<String> {
    let rules = &experiment.rules;
    let mut broken = Vec::new();
    let buried: usize = outcome.buried_alive.values().sum();
    if let Some(most) = rules.buried_alive.filter(|most| buried > *most) {
        broken.push(format!(
            "{buried} deaths of processes that lived were told, {most} at most: {:?}",
            outcome.buried_alive
        ));
    }
    if let Some(most) = rules.known_in {
        let late = outcome.known_in.iter().filter(|took| **took > most).count();
        let never = outcome.killed - outcome.known_in.len();
        if late + never > 0 {
            broken.push(format!(
                "of {} deaths {late} were known to all after {most} s, and {never} not at all",
                outcome.killed
            ));
        }
    }
    if rules.agree && outcome.moments.last().is_none_or(|last| last.agreeing < last.living) {
        broken.push("at the end not all see just those that live".to_owned());
    }
    if let Some(most) = rules.shared_out {
        let worst = outcome.moments.iter().map(|moment| moment.shared_out).fold(0.0, f64::max);
        if worst > most {
            broken.push(format!("{worst:.2} of the fleet's share was taken, {most} at most"));
        }
    }
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_those_of_what_was_seen_however_long_it_took() {
        let known_in = vec![0.05, 2.15, 700.0];
        let (title, killed, buried_alive) = (String::new(), 3, BTreeMap::new());
        let mut outcome = Outcome {
            title,
            members: 5,
            seed: 1,
            known_in,
            killed,
            buried_alive,
            agreed_after: None,
            datagrams: 0.0,
            bytes: 0.0,
            cpu_us: 0.0,
            moments: Vec::new(),
            broken: Vec::new(),
        };
        // Three digits are kept.
        for (share, wanted) in [(0.3, 0.05), (0.5, 2.15), (0.99, 700.0)] {
            let found = outcome.known(share).expect("some are known");
            assert!((found / wanted - 1.0).abs() < 0.002, "{found} for {wanted}");
        }
        outcome.known_in.clear();
        assert_eq!(outcome.known(0.5), None);
    }
}
