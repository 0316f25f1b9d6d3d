//! Compares membership protocols under the same simulated faults: the gatherer's own, and that of the crate `foca`
//! with its default and with shorter intervals. Prints Markdown tables. The argument `quick` runs smaller fleets for
//! a shorter time; `thousand` measures the detection of deaths among 1,000 members.

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use gatherer::membership::{Command, ConnectionProbeResult, MemberChange, Node, ObservedState};
use gatherer::policy::Time;
use gatherer::simulation::network::{address, name};
use gatherer::simulation::peer::{MessageSize, PeerStart};
use gatherer::simulation::{self, Experiment, Outcome, Peer, Simulation};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::num::NonZeroU32;
use std::time::Duration;

/// The identity of a process, with the number of times that the process renewed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Id {
    member: u16,
    start: u64,
    renewals: u32,
}

impl Identity for Id {
    type Addr = u16;
    fn renew(&self) -> Option<Id> {
        Some(Id { renewals: self.renewals + 1, ..*self })
    }
    fn addr(&self) -> u16 {
        self.member
    }
    fn win_addr_conflict(&self, other: &Id) -> bool {
        self > other
    }
}

/// A member in the protocol of the crate `foca`.
struct FocaPeer {
    foca: Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    own: Id,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    timer_payloads: BTreeMap<u64, Timer<Id>>,
    last_serial: u64,
    seeds: Vec<Id>,
    announce_at: Time,
    commands: Vec<Command<Vec<u8>>>,
    /// The members that `foca` reported as down and not as up since.
    down: BTreeSet<u16>,
    configured_gatherers: u32,
}

impl FocaPeer {
    fn new(now: Time, id: usize, configured_gatherers: u32, seed: u64, config: &Config) -> FocaPeer {
        let own = Id { member: id as u16, start: now.0, renewals: 0 };
        let mut peer = FocaPeer {
            foca: Foca::new(own, config.clone(), StdRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            own,
            timers: BinaryHeap::new(),
            timer_payloads: BTreeMap::new(),
            last_serial: 0,
            seeds: (0..2)
                .filter(|seed| *seed != id)
                .map(|seed| Id { member: seed as u16, start: 0, renewals: 0 })
                .collect(),
            announce_at: now,
            commands: Vec::new(),
            down: BTreeSet::new(),
            configured_gatherers,
        };
        peer.collect_output(now);
        peer
    }

    /// Converts the output of `foca` into commands and timers.
    fn collect_output(&mut self, now: Time) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.commands
                .push(Command::Send { to: address(usize::from(to.member)), message: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_serial += 1;
            self.timers.push(Reverse((now.after(after), self.last_serial)));
            self.timer_payloads.insert(self.last_serial, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            let (id, state) = match notification {
                OwnedNotification::MemberUp(id) => (id, ObservedState::Alive),
                OwnedNotification::MemberDown(id) => (id, ObservedState::Failed),
                OwnedNotification::Rejoin(id) => {
                    self.own = id;
                    continue;
                }
                _ => continue,
            };
            match state {
                ObservedState::Alive => self.down.remove(&id.member),
                _ => self.down.insert(id.member),
            };
            let name = name(usize::from(id.member));
            self.commands.push(Command::Notify(MemberChange { name, start: id.start, state }));
        }
    }
}

impl Peer for FocaPeer {
    type Message = Vec<u8>;
    fn tick(&mut self, now: Time) {
        while let Some(Reverse((_, serial))) = self.timers.peek().copied().filter(|next| next.0.0 <= now) {
            self.timers.pop();
            if let Some(timer) = self.timer_payloads.remove(&serial) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
            self.collect_output(now);
        }
        // A peer that knows no other member announces itself to the seeds every second.
        if self.announce_at <= now {
            self.announce_at = now.after(Duration::from_secs(1));
            if self.foca.num_members() == 0 {
                for seed in self.seeds.clone() {
                    let _ = self.foca.announce(seed, &mut self.runtime);
                }
                self.collect_output(now);
            }
        }
    }
    fn next_due(&self) -> Time {
        let timer = self.timers.peek().map_or(self.announce_at, |next| next.0.0);
        timer.min(self.announce_at)
    }
    fn receive(&mut self, now: Time, message: Vec<u8>) {
        let _ = self.foca.handle_data(&message, &mut self.runtime);
        self.collect_output(now);
    }
    fn on_probe_result(&mut self, _: Time, _: &str, _: u64, _: ConnectionProbeResult) {}
    fn table_message(&self) -> Vec<u8> {
        Vec::new()
    }
    fn receive_table(&mut self, _: Time, _: Vec<u8>) {}
    fn take_commands(&mut self) -> Vec<Command<Vec<u8>>> {
        std::mem::take(&mut self.commands)
    }
    fn leave(&mut self, _: bool) -> Vec<Command<Vec<u8>>> {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect_output(Time(self.own.start));
        self.take_commands()
    }
    fn start(&self) -> u64 {
        self.own.start
    }
    fn observed_state(&self, other: &str) -> Option<ObservedState> {
        let member: u16 = other.rsplit('-').next()?.parse().ok()?;
        self.foca.iter_members().any(|seen| seen.id().member == member).then_some(ObservedState::Alive)
    }
    fn observed_states(&self) -> Vec<(String, ObservedState)> {
        self.foca
            .iter_members()
            .map(|member| (name(usize::from(member.id().member)), ObservedState::Alive))
            .collect()
    }
    fn gatherers(&self, _: Time) -> u32 {
        (self.foca.num_members() as u32 + 1)
            .clamp(self.configured_gatherers.div_ceil(4), self.configured_gatherers * 4)
    }
    fn size(message: &Vec<u8>) -> MessageSize {
        MessageSize { bytes: message.len(), updates: 0 }
    }
}

/// The intervals and time-outs that `foca` is configured with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FocaTiming {
    /// The crate's defaults for a local network.
    LocalNetwork,
    /// The gatherer's probe and gossip intervals, and a suspicion time-out of 1.5 s.
    Short,
}

/// Creates the configuration of `foca` for a fleet of `count` members.
fn foca_config(count: u32, timing: FocaTiming) -> Config {
    let mut config = Config::new_lan(NonZeroU32::new(count.max(1)).expect("max(1) is not zero"));
    if timing == FocaTiming::Short {
        config.probe_period = Duration::from_millis(500);
        config.probe_rtt = Duration::from_millis(166);
        config.suspect_to_down_after = Duration::from_millis(1500);
        config.periodic_gossip = config.periodic_gossip.map(|mut gossip| {
            gossip.frequency = Duration::from_millis(100);
            gossip
        });
    }
    config
}

/// Starts the members of an experiment with the protocol of `foca`.
fn foca_members(experiment: &Experiment, timing: FocaTiming) -> Simulation<FocaPeer> {
    let start_peer = move |start: PeerStart<'_>| {
        let config = foca_config(start.configured_gatherers, timing);
        FocaPeer::new(start.now, start.id, start.configured_gatherers, start.random_seed, &config)
    };
    Simulation::new(experiment.members, experiment.seed, Box::new(start_peer))
}

/// The labels of the compared protocols.
const PROTOCOLS: [&str; 3] = [
    "this program",
    "foca, defaults for a local network",
    "foca, 0.5 s probe interval and 1.5 s suspicion time-out",
];

/// Runs an experiment with each of the [`PROTOCOLS`], in their order.
fn run_each(experiment: &Experiment) -> [Outcome; 3] {
    let nodes = Simulation::<Node>::with_nodes(experiment.members, experiment.seed, experiment.timing());
    [
        simulation::run(experiment, nodes, |_| {}),
        simulation::run(experiment, foca_members(experiment, FocaTiming::LocalNetwork), |_| {}),
        simulation::run(experiment, foca_members(experiment, FocaTiming::Short), |_| {}),
    ]
}

fn experiment(text: &str) -> Experiment {
    Experiment::parse(&format!("title = \"protocol\"\n{text}")).expect("a valid experiment")
}

fn seconds(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.2}"))
}

fn main() {
    let has_argument = |argument: &str| std::env::args().any(|word| word == argument);
    let (quick, thousand) = (has_argument("quick"), has_argument("thousand"));
    let sizes: &[usize] = match (quick, thousand) {
        (true, _) => &[5, 30],
        (_, true) => &[1000],
        _ => &[5, 30, 300],
    };
    print_detection(sizes);
    print_false_positives(if quick { 300.0 } else { 3600.0 });
    print_merges();
}

/// Prints how soon deaths are detected, and the traffic and processing time of each protocol.
fn print_detection(sizes: &[usize]) {
    println!(
        "Deaths: a member is killed each 20 s and back 15 s later, ten times (1,000 members: three times).\n"
    );
    println!(
        "| members | protocol | known to all, median s | 99 % s | never in 15 s | datagrams/s | bytes/s | us/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in sizes {
        let simulated_s = if *members > 300 { 60.0 } else { 200.0 };
        let step = |at: f64, action: &str| {
            format!("[[step]]\nat = {at:.1}\nevery = 20.0\ndo = \"{action}\"\nwho = [3]\n")
        };
        let text = format!(
            "members = {members}\nseconds = {simulated_s:.1}\n{}{}",
            step(1.0, "kill"),
            step(16.0, "start")
        );
        for (protocol, outcome) in PROTOCOLS.iter().zip(run_each(&experiment(&text))) {
            println!(
                "| {members} | {protocol} | {} | {} | {} of {} | {:.1} | {:.0} | {:.0} |",
                seconds(outcome.detection_quantile(0.5)),
                seconds(outcome.detection_quantile(0.99)),
                outcome.undetected(),
                outcome.killed,
                outcome.datagrams_per_s,
                outcome.bytes_per_s,
                outcome.cpu_us
            );
        }
    }
}

/// Prints the number of reported deaths of running processes, for faults that last `duration_s` seconds.
fn print_false_positives(duration_s: f64) {
    println!(
        "\nReported deaths of running processes, 30 members, {duration_s} s; in brackets the number of members concerned.\n"
    );
    println!("| fault | {} |", PROTOCOLS.join(" | "));
    println!("| --- | --- | --- | --- |");
    let row = |fault: &str, text: &str| {
        let text = format!("members = 30\nseconds = {duration_s:.1}\n{text}");
        let counts = run_each(&experiment(&text))
            .map(|outcome| format!("{} ({})", outcome.false_positive_count(), outcome.false_positives.len()));
        println!("| {fault} | {} |", counts.join(" | "));
    };
    for loss in [0, 5, 10, 20, 40] {
        row(&format!("{loss} % lost"), &format!("[net]\nloss = {:.2}\n", f64::from(loss) / 100.0));
    }
    row(
        "20 % lost, a tenth duplicated, a tenth up to 2 s late",
        "[net]\nloss = 0.2\ntwice = 0.1\nlate = 0.1\n",
    );
    for pause in [0.9, 2.5, 4.9, 8.0, 30.0] {
        let every: f64 = if pause > 10.0 { 120.0 } else { 30.0 };
        let step = format!(
            "[[step]]\nat = 5.0\nevery = {every:.1}\ndo = \"pause\"\nwho = [4, 5, 6]\nseconds = {pause:.1}\n"
        );
        row(&format!("three members pause for {pause} s each {every} s"), &step);
    }
    row(
        "one-way partition between two members",
        "[[step]]\nat = 5.0\ndo = \"cut_one_way\"\nwho = [1]\nto = [2]\n",
    );
}

/// Prints how soon two halves of a fleet converge after a partition, and the sum of their shares meanwhile.
fn print_merges() {
    println!(
        "\nTwo halves of 20 members, partitioned for 120 s: seconds until all converge after it, and the highest sum of the"
    );
    println!("members' shares of the fleet meanwhile.\n");
    println!("| protocol | converged after s | highest sum of shares |\n| --- | --- | --- |");
    let halves = "members = 20\nseconds = 300.0\n[[step]]\nat = 5.0\ndo = \"cut\"\nwho = { from = 0, to = 9 }\n\
                  to = { from = 10, to = 19 }\n[[step]]\nat = 125.0\ndo = \"heal\"\n";
    for (protocol, outcome) in PROTOCOLS.iter().zip(run_each(&experiment(halves))) {
        let converged_after = seconds(outcome.converged_after_s);
        println!("| {protocol} | {converged_after} | {:.2} |", outcome.max_total_share());
    }
}
