//! Members in virtual time, with a network that loses, doubles, delays and cuts, and processes that stand still, die and
//! start again. The same seed plays the same way.

#![allow(dead_code)] // Each of its users needs a part of it.

use clayshore::api::Time;
use clayshore::membership::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

pub const START: Time = Time(1_700_000_000_000_000_000);
/// Datagrams that the kernel keeps for a process that stands still.
const KEPT: usize = 256;

/// What the network does to datagrams.
#[derive(Clone, Copy)]
pub struct Net {
    /// Shares that are lost, that come twice, and that come up to two seconds late.
    pub loss: f64,
    pub twice: f64,
    pub late: f64,
}

pub const SOUND: Net = Net { loss: 0.0, twice: 0.0, late: 0.0 };

#[derive(Clone)]
enum Happening {
    Tick(usize, u64),
    Datagram(usize, Message),
    Knocked { by: usize, name: String, start: u64, end: Knock },
    Table { to: usize, message: Message, answer: bool, from: usize },
}

struct Process {
    node: Option<Node>,
    /// It stands still until then.
    still: Option<Time>,
    kept: Vec<Happening>,
    starts: u64,
}

/// A change that a member told of.
pub struct Told {
    pub at: Time,
    pub by: usize,
    pub change: Change,
    /// The process that it tells of was there then.
    pub lives: bool,
}

pub struct World {
    pub now: Time,
    pub net: Net,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: HashMap<u64, Happening>,
    serial: u64,
    /// From whom to whom nothing passes.
    pub cuts: HashSet<(usize, usize)>,
    pub told: Vec<Told>,
    pub datagrams: u64,
    pub claims: u64,
    timing: Timing,
    stated: u32,
    seeds: Vec<SocketAddr>,
    random: fastrand::Rng,
}

pub fn address(id: usize) -> SocketAddr {
    ([127, 1, (id >> 8) as u8, id as u8], 7000).into()
}

pub fn name(id: usize) -> String {
    format!("gatherer-{id}")
}

fn id(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("IPv4 only") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl World {
    /// So many members who know the first two, and have found each other.
    pub fn new(count: usize, seed: u64, timing: Timing) -> World {
        let mut world = World {
            now: START,
            net: SOUND,
            processes: Vec::new(),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            serial: 0,
            cuts: HashSet::new(),
            told: Vec::new(),
            datagrams: 0,
            claims: 0,
            timing,
            stated: count as u32,
            seeds: (0..2.min(count)).map(address).collect(),
            random: fastrand::Rng::with_seed(seed),
        };
        for _ in 0..count {
            world.processes.push(Process { node: None, still: None, kept: Vec::new(), starts: 0 });
        }
        (0..count).for_each(|id| world.start(id));
        world.pass(Duration::from_secs(20));
        world
    }

    /// Starts a process of this member.
    pub fn start(&mut self, id: usize) {
        let seed = self.random.u64(..);
        let own = Claim {
            name: name(id),
            start: self.now.0,
            incarnation: 0,
            address: address(id),
            zone: format!("zone-{}", id % 3),
            standing: Standing::Alive,
        };
        let node = Node::new(self.now, own, self.seeds.clone(), self.timing, self.stated, 2000, seed);
        let process = &mut self.processes[id];
        (process.node, process.still, process.starts) = (Some(node), None, process.starts + 1);
        process.kept.clear();
        let tick = Happening::Tick(id, process.starts);
        self.at(self.now, tick);
    }
    pub fn kill(&mut self, id: usize) {
        self.processes[id].node = None;
    }
    /// It stands still for so long.
    pub fn stop(&mut self, id: usize, span: Duration) {
        self.processes[id].still = Some(self.now.after(span));
        let tick = Happening::Tick(id, self.processes[id].starts);
        self.at(self.now.after(span), tick);
    }
    pub fn leave(&mut self, id: usize, moving: bool) {
        let orders = self.processes[id].node.as_mut().expect("it is there").leave(moving);
        self.carry_out(id, orders);
        self.kill(id);
    }
    pub fn cut(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        let count = self.processes.len();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.cuts.extend(pairs.filter(|(a, b)| a != b && from(*a) && to(*b)));
    }
    /// The member, if its process is there.
    pub fn node(&self, id: usize) -> Option<&Node> {
        self.processes[id].node.as_ref()
    }
    pub fn living(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.processes.len()).filter(|id| self.processes[*id].node.is_some())
    }
    /// How one member sees another.
    pub fn sees(&self, id: usize, other: usize) -> Option<State> {
        Some(self.node(id)?.table().get(&name(other))?.state())
    }
    pub fn gatherers(&self, id: usize) -> u32 {
        self.node(id).expect("it is there").gatherers(self.now)
    }
    /// Whether all that live see just these others as there.
    pub fn agree(&self) -> bool {
        let living: HashSet<String> = self.living().map(name).collect();
        self.living().all(|id| {
            let table = self.node(id).expect("it lives").table();
            table.present().count() + 1 == living.len()
                && table.present().all(|seen| living.contains(&seen.claim.name))
        })
    }
    /// Deaths told of processes that were there.
    pub fn buried_alive(&self) -> Vec<&Told> {
        let dead = |told: &&Told| matches!(told.change.state, State::Silent | State::Dead);
        self.told.iter().filter(dead).filter(|told| told.lives).collect()
    }
    /// Lets time pass until this is so, in steps of 50 ms; how long that took, if it came to be.
    pub fn until(&mut self, most: Duration, so: impl Fn(&World) -> bool) -> Option<Duration> {
        let since = self.now;
        while !so(self) {
            if self.now.since(since) >= most {
                return None;
            }
            self.pass(Duration::from_millis(50));
        }
        Some(self.now.since(since))
    }

    fn at(&mut self, at: Time, what: Happening) {
        self.serial += 1;
        self.happenings.insert(self.serial, what);
        self.queue.push(Reverse((at, self.serial)));
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now.after(span);
        while let Some(Reverse((at, serial))) = self.queue.peek().copied().filter(|next| next.0.0 <= end) {
            self.queue.pop();
            self.now = at;
            let happening = self.happenings.remove(&serial).expect("once");
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        let to = match &happening {
            Happening::Tick(id, _) | Happening::Datagram(id, _) => *id,
            Happening::Knocked { by, .. } => *by,
            Happening::Table { to, .. } => *to,
        };
        let (now, process) = (self.now, &mut self.processes[to]);
        let Some(node) = &mut process.node else { return };
        if process.still.is_some_and(|until| until > now) {
            if process.kept.len() < KEPT && !matches!(happening, Happening::Tick(..)) {
                process.kept.push(happening);
            }
            return;
        }
        if process.still.take().is_some() {
            // What the kernel kept is read in any order with the timers; here the timer goes first.
            node.tick(now);
            let kept = std::mem::take(&mut process.kept);
            kept.into_iter().for_each(|happening| self.at(now, happening));
            return self.settle(to, true);
        }
        let mut ticked = false;
        match happening {
            Happening::Tick(_, starts) if starts != process.starts => return,
            Happening::Tick(..) => {
                node.tick(now);
                ticked = true;
            }
            Happening::Datagram(_, message) => node.hear(now, message),
            Happening::Knocked { name, start, end, .. } => node.knocked(now, &name, start, end),
            Happening::Table { message, answer, from, .. } => {
                let own = node.table_message();
                node.exchanged(now, message);
                if !answer && !self.cuts.contains(&(to, from)) {
                    let (at, message) = (now.after(Duration::from_millis(2)), own);
                    self.at(at, Happening::Table { to: from, message, answer: true, from: to });
                }
            }
        }
        self.settle(to, ticked);
    }

    fn settle(&mut self, id: usize, ticked: bool) {
        let process = &mut self.processes[id];
        let Some(node) = &mut process.node else { return };
        let orders = node.orders();
        if ticked {
            let (due, tick) = (node.next_due(), Happening::Tick(id, process.starts));
            self.at(due.max(self.now.after(Duration::from_millis(1))), tick);
        }
        self.carry_out(id, orders);
    }

    fn carry_out(&mut self, by: usize, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Send { to, message } => self.datagram(by, id(to), message),
                Order::Knock { name, start, address } => {
                    let to = id(address);
                    let there = self.processes.get(to).is_some_and(|process| process.node.is_some());
                    let cut = self.cuts.contains(&(by, to)) || self.cuts.contains(&(to, by));
                    let (end, ms) = match (cut, there) {
                        (true, _) => (Knock::Silent, 300),
                        (_, true) => (Knock::Open, 2),
                        (_, false) => (Knock::Refused, 2),
                    };
                    let at = self.now.after(Duration::from_millis(ms));
                    self.at(at, Happening::Knocked { by, name, start, end });
                }
                Order::Exchange { with } => {
                    let to = id(with);
                    let cut = self.cuts.contains(&(by, to)) || self.cuts.contains(&(to, by));
                    if !cut && let Some(node) = &self.processes[by].node {
                        let message = node.table_message();
                        let at = self.now.after(Duration::from_millis(2));
                        self.at(at, Happening::Table { to, message, answer: false, from: by });
                    }
                }
                Order::Tell(change) => {
                    let of: usize = change.name[9..].parse().expect("a number");
                    let node = self.processes[of].node.as_ref();
                    let lives = node.is_some_and(|node| node.own().start == change.start);
                    self.told.push(Told { at: self.now, by, change, lives });
                }
                Order::Taken => {}
            }
        }
    }

    fn datagram(&mut self, from: usize, to: usize, message: Message) {
        self.datagrams += 1;
        self.claims += message.claims.len() as u64;
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.random.f64() < self.net.twice);
        for _ in 0..copies {
            if self.random.f64() < self.net.loss {
                continue;
            }
            let late = self.random.f64() < self.net.late;
            let us = if late { self.random.u64(10_000..2_000_000) } else { self.random.u64(200..3_000) };
            let at = self.now.after(Duration::from_micros(us));
            self.at(at, Happening::Datagram(to, message.clone()));
        }
    }
}

/// The states in which a member sees all others, counted.
pub fn counted(node: &Node) -> BTreeMap<String, usize> {
    let mut all = BTreeMap::new();
    for seen in node.table().iter() {
        *all.entry(format!("{:?}", seen.state())).or_default() += 1;
    }
    all
}
