//! Ways of keeping membership, side by side in the same worlds: this program's, and the crate `foca` as it comes and with
//! quicker times. Prints tables; `quick` plays a part of it, `thousand` deaths among a thousand members.

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use gatherer::membership::{ConnectionProbeResult, MemberChange, Node, ObservedState, Timing};
use gatherer::policy::Time;
use gatherer::simulation::engine::{Act, Peer, Simulation, address, name};
use gatherer::simulation::{Experiment, Outcome, play};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

/// A process, and how often it has come back under another identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Id {
    member: u16,
    start: u64,
    again: u32,
}

impl Identity for Id {
    type Addr = u16;
    fn renew(&self) -> Option<Id> {
        Some(Id { again: self.again + 1, ..*self })
    }
    fn addr(&self) -> u16 {
        self.member
    }
    fn win_addr_conflict(&self, other: &Id) -> bool {
        self > other
    }
}

struct Crate {
    foca: Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    own: Id,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    waiting: BTreeMap<u64, Timer<Id>>,
    serial: u64,
    seeds: Vec<Id>,
    announce_at: Time,
    acts: Vec<Act<Vec<u8>>>,
    /// Members told dead, until they are told to be there again.
    down: BTreeSet<u16>,
    stated: u32,
}

impl Crate {
    fn new(now: Time, id: usize, stated: u32, seed: u64, config: &Config) -> Crate {
        let own = Id { member: id as u16, start: now.0, again: 0 };
        let mut peer = Crate {
            foca: Foca::new(own, config.clone(), StdRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            own,
            timers: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            serial: 0,
            seeds: (0..2)
                .filter(|seed| *seed != id)
                .map(|seed| Id { member: seed as u16, start: 0, again: 0 })
                .collect(),
            announce_at: now,
            acts: Vec::new(),
            down: BTreeSet::new(),
            stated,
        };
        peer.settle(now);
        peer
    }
    fn settle(&mut self, now: Time) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.acts.push(Act::Send { to: address(usize::from(to.member)), message: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.serial += 1;
            self.timers.push(Reverse((now.after(after), self.serial)));
            self.waiting.insert(self.serial, timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            let (id, state) = match told {
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
            self.acts.push(Act::Tell(MemberChange { name, start: id.start, state }));
        }
    }
}

impl Peer for Crate {
    type Message = Vec<u8>;
    fn tick(&mut self, now: Time) {
        while let Some(Reverse((_, serial))) = self.timers.peek().copied().filter(|next| next.0.0 <= now) {
            self.timers.pop();
            if let Some(timer) = self.waiting.remove(&serial) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
            self.settle(now);
        }
        // As long as nobody is there it announces itself to the seeds.
        if self.announce_at <= now {
            self.announce_at = now.after(Duration::from_secs(1));
            if self.foca.num_members() == 0 {
                for seed in self.seeds.clone() {
                    let _ = self.foca.announce(seed, &mut self.runtime);
                }
                self.settle(now);
            }
        }
    }
    fn next_due(&self) -> Time {
        let timer = self.timers.peek().map_or(self.announce_at, |next| next.0.0);
        timer.min(self.announce_at)
    }
    fn hear(&mut self, now: Time, message: Vec<u8>) {
        let _ = self.foca.handle_data(&message, &mut self.runtime);
        self.settle(now);
    }
    fn knocked(&mut self, _: Time, _: &str, _: u64, _: ConnectionProbeResult) {}
    fn table(&self) -> Vec<u8> {
        Vec::new()
    }
    fn exchanged(&mut self, _: Time, _: Vec<u8>) {}
    fn acts(&mut self) -> Vec<Act<Vec<u8>>> {
        std::mem::take(&mut self.acts)
    }
    fn leave(&mut self, _: bool) -> Vec<Act<Vec<u8>>> {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(Time(self.own.start));
        self.acts()
    }
    fn start(&self) -> u64 {
        self.own.start
    }
    fn sees(&self, other: &str) -> Option<ObservedState> {
        let member: u16 = other.rsplit('-').next()?.parse().ok()?;
        self.foca.iter_members().any(|seen| seen.id().member == member).then_some(ObservedState::Alive)
    }
    fn all(&self) -> Vec<(String, ObservedState)> {
        self.foca
            .iter_members()
            .map(|member| (name(usize::from(member.id().member)), ObservedState::Alive))
            .collect()
    }
    fn gatherers(&self, _: Time) -> u32 {
        (self.foca.num_members() as u32 + 1).clamp(self.stated.div_ceil(4), self.stated * 4)
    }
    fn weight(message: &Vec<u8>) -> (usize, usize) {
        (message.len(), 0)
    }
}

/// The crate's own times for a local network, or ones as quick as this program's.
fn config(count: u32, quick: bool) -> Config {
    let mut config = Config::new_lan(NonZeroU32::new(count.max(1)).expect("one at least"));
    if quick {
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

fn of_crate(experiment: &Experiment, quick: bool) -> Simulation<Crate> {
    let begin = move |now: Time, id: usize, _: &[SocketAddr], stated: u32, seed: u64| {
        Crate::new(now, id, stated, seed, &config(stated, quick))
    };
    Simulation::new(experiment.members, experiment.seed, Box::new(begin))
}

const WAYS: [&str; 3] = ["this program", "foca, its times for a local network", "foca, 0.5 s and 1.5 s"];

fn each(experiment: &Experiment) -> [Outcome; 3] {
    let ours = Simulation::<Node>::of_nodes(experiment.members, experiment.seed, Timing::default());
    [
        play(experiment, ours, |_| {}),
        play(experiment, of_crate(experiment, false), |_| {}),
        play(experiment, of_crate(experiment, true), |_| {}),
    ]
}

fn experiment(text: &str) -> Experiment {
    Experiment::parse(&format!("title = \"way\"\n{text}")).expect("an experiment")
}

fn seconds(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.2}"))
}

fn main() {
    let quick = std::env::args().any(|word| word == "quick");
    let thousand = std::env::args().any(|word| word == "thousand");
    let sizes: &[usize] = match (quick, thousand) {
        (true, _) => &[5, 30],
        (_, true) => &[1000],
        _ => &[5, 30, 300],
    };
    let hour = if quick { 300.0 } else { 3600.0 };

    println!(
        "Deaths: a member is killed each 20 s and back 15 s later, ten times (1,000 members: three times).\n"
    );
    println!(
        "| members | way | known to all, median s | 99 % s | never in 15 s | datagrams/s | bytes/s | us/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in sizes {
        let length = if *members > 300 { 60.0 } else { 200.0 };
        let step = |at: f64, what: &str| {
            format!("[[step]]\nat = {at:.1}\nevery = 20.0\ndo = \"{what}\"\nwho = [3]\n")
        };
        let text = format!(
            "members = {members}\nseconds = {length:.1}\n{}{}",
            step(1.0, "kill"),
            step(16.0, "start")
        );
        for (way, outcome) in WAYS.iter().zip(each(&experiment(&text))) {
            let never = outcome.killed - outcome.known_in.len();
            println!(
                "| {members} | {way} | {} | {} | {never} of {} | {:.1} | {:.0} | {:.0} |",
                seconds(outcome.known(0.5)),
                seconds(outcome.known(0.99)),
                outcome.killed,
                outcome.datagrams,
                outcome.bytes,
                outcome.cpu_us
            );
        }
    }

    println!(
        "\nDeaths told of processes that lived, 30 members, {hour} s; in brackets how many members were buried.\n"
    );
    println!("| fault | {} |", WAYS.join(" | "));
    println!("| --- | --- | --- | --- |");
    let row = |fault: &str, text: &str| {
        let text = format!("members = 30\nseconds = {hour:.1}\n{text}");
        let told = each(&experiment(&text)).map(|outcome| {
            format!("{} ({})", outcome.buried_alive.values().sum::<usize>(), outcome.buried_alive.len())
        });
        println!("| {fault} | {} |", told.join(" | "));
    };
    for loss in [0, 5, 10, 20, 40] {
        row(&format!("{loss} % lost"), &format!("[net]\nloss = {:.2}\n", f64::from(loss) / 100.0));
    }
    row("20 % lost, a tenth double, a tenth up to 2 s late", "[net]\nloss = 0.2\ntwice = 0.1\nlate = 0.1\n");
    for pause in [0.9, 2.5, 4.9, 8.0, 30.0] {
        let every: f64 = if pause > 10.0 { 120.0 } else { 30.0 };
        let step = format!(
            "[[step]]\nat = 5.0\nevery = {every:.1}\ndo = \"pause\"\nwho = [4, 5, 6]\nseconds = {pause:.1}\n"
        );
        row(&format!("three stand still for {pause} s each {every} s"), &step);
    }
    row(
        "nothing passes from one to another",
        "[[step]]\nat = 5.0\ndo = \"cut_one_way\"\nwho = [1]\nto = [2]\n",
    );

    println!(
        "\nHalves of 20 members cut for 120 s: seconds until all agree after it, burials told after it, and the most of the"
    );
    println!("fleet's share that was taken meanwhile.\n");
    println!("| way | agreed after s | most taken |\n| --- | --- | --- |");
    let halves = "members = 20\nseconds = 300.0\n[[step]]\nat = 5.0\ndo = \"cut\"\nwho = { from = 0, to = 9 }\n\
                  to = { from = 10, to = 19 }\n[[step]]\nat = 125.0\ndo = \"heal\"\n";
    for (way, outcome) in WAYS.iter().zip(each(&experiment(halves))) {
        let most = outcome.moments.iter().map(|moment| moment.shared_out).fold(0.0, f64::max);
        println!("| {way} | {} | {most:.2} |", seconds(outcome.agreed_after));
    }
}
