//! Runs an experiment in virtual time: applies its steps, records deaths that all members know of, and samples the
//! members' observations at regular intervals.

use super::engine::Simulation;
use super::experiment::{Action, Experiment, MemberSet, Step};
use super::network::Traffic;
use super::outcome::{Outcome, Sample};
use super::peer::Peer;
use crate::policy::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The time between two checks for deaths that all members know of.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two samples of an outcome, in nanoseconds.
const SAMPLE_INTERVAL_NS: u64 = 1_000_000_000;

/// One occurrence of a step; `at` counts from the experiment's start.
struct DueStep {
    at: Time,
    step: Step,
}

/// The death of a killed member that not all running members have detected yet.
struct UndetectedDeath {
    /// The start of the killed process.
    start: u64,
    killed_at: Time,
}

/// All occurrences of all steps, in the order of their times.
fn schedule(experiment: &Experiment) -> Vec<DueStep> {
    let mut schedule = Vec::new();
    for step in &experiment.steps {
        let mut at = step.at;
        loop {
            let due = Time(0).after(Duration::from_secs_f64(at));
            schedule.push(DueStep { at: due, step: step.clone() });
            let Some(every) = step.every else { break };
            at += every;
            if at > experiment.seconds {
                break;
            }
        }
    }
    schedule.sort_by_key(|due| due.at);
    schedule
}

/// Runs an experiment with these members. Calls `progress` with the elapsed simulated time after each second.
pub fn run<P: Peer>(
    experiment: &Experiment,
    simulation: Simulation<P>,
    mut progress: impl FnMut(f64),
) -> Outcome {
    let started = Instant::now();
    let mut run = Run::new(experiment, simulation);
    let mut steps = schedule(experiment).into_iter().peekable();
    let end = Time(0).after(Duration::from_secs_f64(experiment.seconds));
    while run.now < end {
        while let Some(due) = steps.next_if(|due| due.at <= run.now) {
            run.apply(&due.step);
        }
        run.advance(OBSERVATION_INTERVAL.min(end.since(run.now)));
        if run.now.0.is_multiple_of(SAMPLE_INTERVAL_NS) {
            progress(run.record_sample());
        }
    }
    run.finish(experiment, started)
}

/// An experiment that is running.
struct Run<P: Peer> {
    simulation: Simulation<P>,
    /// The simulation's time at which the experiment started.
    started_at: Time,
    /// The time from the experiment's start.
    now: Time,
    last_step_at: Time,
    /// The seconds that each member's process ran, summed over all members.
    member_seconds: f64,
    undetected_deaths: BTreeMap<usize, UndetectedDeath>,
    outcome: Outcome,
}

impl<P: Peer> Run<P> {
    fn new(experiment: &Experiment, mut simulation: Simulation<P>) -> Run<P> {
        simulation.reports.clear();
        simulation.traffic = Traffic::default();
        simulation.faults = experiment.network;
        let outcome = Outcome {
            title: experiment.title.clone(),
            members: experiment.members,
            seed: experiment.seed,
            ..Outcome::default()
        };
        Run {
            started_at: simulation.now,
            simulation,
            now: Time(0),
            last_step_at: Time(0),
            member_seconds: 0.0,
            undetected_deaths: BTreeMap::new(),
            outcome,
        }
    }

    fn apply(&mut self, step: &Step) {
        (self.last_step_at, self.outcome.converged_after_s) = (self.now, None);
        let ids = step.members.as_ref().map(MemberSet::ids).unwrap_or_default();
        let simulation = &mut self.simulation;
        match step.action {
            Action::Kill => ids.into_iter().for_each(|id| self.kill(id)),
            Action::Start => {
                for id in ids {
                    if simulation.node(id).is_none() {
                        simulation.start(id);
                    }
                }
            }
            Action::Pause => {
                let duration = Duration::from_secs_f64(step.seconds.unwrap_or(0.0));
                ids.into_iter().for_each(|id| simulation.pause(id, duration));
            }
            Action::Leave => ids.into_iter().for_each(|id| simulation.leave(id, false)),
            Action::HandOver => ids.into_iter().for_each(|id| simulation.leave(id, true)),
            Action::Partition | Action::PartitionOneWay => {
                let from: BTreeSet<usize> = ids.into_iter().collect();
                let to = step.to.as_ref().map(MemberSet::ids).unwrap_or_default();
                let to: BTreeSet<usize> = to.into_iter().collect();
                simulation.partition(|id| from.contains(&id), |id| to.contains(&id));
                if step.action == Action::Partition {
                    simulation.partition(|id| to.contains(&id), |id| from.contains(&id));
                }
            }
            Action::Heal => simulation.partitions.clear(),
            Action::SetNetwork => simulation.faults = step.network.unwrap_or_default(),
        }
    }

    fn kill(&mut self, id: usize) {
        if let Some(node) = self.simulation.node(id) {
            let death = UndetectedDeath { start: node.start(), killed_at: self.now };
            self.undetected_deaths.insert(id, death);
            self.outcome.killed += 1;
        }
        self.simulation.kill(id);
    }

    /// Advances time, and records the deaths that all running members have detected. A death that is undetected
    /// when the member restarts is no longer tracked.
    fn advance(&mut self, duration: Duration) {
        self.simulation.advance(duration);
        self.now = self.now.after(duration);
        let (simulation, now) = (&self.simulation, self.now);
        self.member_seconds += simulation.living().count() as f64 * duration.as_secs_f64();
        let detection_s = &mut self.outcome.detection_s;
        self.undetected_deaths.retain(|id, death| {
            let restarted = simulation.node(*id).is_some_and(|node| node.start() > death.start);
            let is_present =
                |by: usize| simulation.observed_state(by, *id).is_some_and(|state| state.is_present());
            let detected = !simulation.living().any(is_present);
            if detected && !restarted {
                detection_s.push(now.since(death.killed_at).as_secs_f64());
            }
            !detected && !restarted
        });
    }

    /// Adds a sample to the outcome; returns its time from the experiment's start, in seconds.
    fn record_sample(&mut self) -> f64 {
        let simulation = &self.simulation;
        let estimates: Vec<u32> = simulation.living().filter_map(|id| simulation.gatherers(id)).collect();
        let share = |estimate: &u32| 1.0 / f64::from((*estimate).max(1));
        let sample = Sample {
            at: self.now.since(Time(0)).as_secs_f64(),
            living: estimates.len(),
            converged: simulation.converged_members(),
            min_estimate: estimates.iter().copied().min().unwrap_or(0),
            max_estimate: estimates.iter().copied().max().unwrap_or(0),
            total_share: estimates.iter().map(share).sum(),
        };
        let at = sample.at;
        if sample.converged == sample.living && self.outcome.converged_after_s.is_none() {
            let elapsed = self.now.since(self.last_step_at);
            self.outcome.converged_after_s = Some(elapsed.as_secs_f64());
        }
        self.outcome.samples.push(sample);
        at
    }

    fn finish(self, experiment: &Experiment, started: Instant) -> Outcome {
        debug_assert_eq!(self.simulation.now.since(self.started_at), self.now.since(Time(0)));
        let (simulation, member_seconds) = (self.simulation, self.member_seconds);
        let mut outcome = self.outcome;
        for report in simulation.false_positives() {
            *outcome.false_positives.entry(report.change.name.clone()).or_default() += 1;
        }
        outcome.datagrams_per_s = simulation.traffic.datagrams as f64 / member_seconds;
        outcome.bytes_per_s = simulation.traffic.bytes as f64 / member_seconds;
        outcome.cpu_us = started.elapsed().as_micros() as f64 / member_seconds;
        outcome.broken_rules = outcome.check_rules(experiment);
        outcome
    }
}
