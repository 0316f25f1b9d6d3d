//! Members in virtual time, with a network that loses, doubles, delays and cuts, and processes that stand still, die and
//! start again. The same seed plays the same way.

use crate::membership::{
    Command, ConnectionProbeResult, MemberChange, MemberState, MemberUpdate, Message, Node, ObservedState,
    Timing,
};
use crate::policy::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// When the world begins: some Unix time.
pub const START: Time = Time(1_700_000_000_000_000_000);
/// Datagrams that the kernel keeps for a process that stands still.
const KEPT: usize = 256;

/// What the network does to datagrams: shares of them, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Lost.
    pub loss: f64,
    /// Come twice.
    pub twice: f64,
    /// Come up to two seconds late.
    pub late: f64,
}

/// What a way of keeping membership asks of the world.
#[derive(Clone, Debug)]
pub enum Act<M> {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: M,
    },
    /// Try to connect.
    Knock {
        /// Whom.
        name: String,
        /// Which process.
        start: u64,
        /// Where.
        address: SocketAddr,
    },
    /// Exchange tables over a connection.
    Exchange {
        /// With whom.
        with: SocketAddr,
    },
    /// A member stands otherwise than before.
    Tell(MemberChange),
}

/// A member in some way of keeping membership, so that ways can be played side by side.
pub trait Peer {
    /// What is sent.
    type Message: Clone;
    /// Does what is due.
    fn tick(&mut self, now: Time);
    /// When that is next.
    fn next_due(&self) -> Time;
    /// Takes a datagram.
    fn hear(&mut self, now: Time, message: Self::Message);
    /// How an attempt to connect ended.
    fn knocked(&mut self, now: Time, name: &str, start: u64, end: ConnectionProbeResult);
    /// Its whole table, for an exchange.
    fn table(&self) -> Self::Message;
    /// Takes another's table.
    fn exchanged(&mut self, now: Time, message: Self::Message);
    /// What is to be done.
    fn acts(&mut self) -> Vec<Act<Self::Message>>;
    /// Leaves.
    fn leave(&mut self, moving: bool) -> Vec<Act<Self::Message>>;
    /// Its process.
    fn start(&self) -> u64;
    /// How it sees another.
    fn sees(&self, name: &str) -> Option<ObservedState>;
    /// How it sees all others.
    fn all(&self) -> Vec<(String, ObservedState)>;
    /// The number of gatherers that it goes by.
    fn gatherers(&self, now: Time) -> u32;
    /// Bytes of a datagram, and claims in it.
    fn weight(message: &Self::Message) -> (usize, usize);
}

/// How a start begins: at a time, its number, seeds, a number of the settings, lots.
pub type Begin<P> = Box<dyn Fn(Time, usize, &[SocketAddr], u32, u64) -> P>;

fn act(order: Command) -> Option<Act<Message>> {
    Some(match order {
        Command::Send { to, message } => Act::Send { to, message },
        Command::ProbeConnection { name, start, address } => Act::Knock { name, start, address },
        Command::ExchangeTables { with } => Act::Exchange { with },
        Command::Notify(change) => Act::Tell(change),
        Command::NameReclaimed => return None,
    })
}

impl Peer for Node {
    type Message = Message;
    fn tick(&mut self, now: Time) {
        Node::tick(self, now);
    }
    fn next_due(&self) -> Time {
        Node::next_due(self)
    }
    fn hear(&mut self, now: Time, message: Message) {
        Node::receive(self, now, message);
    }
    fn knocked(&mut self, now: Time, name: &str, start: u64, end: ConnectionProbeResult) {
        Node::on_probe_result(self, now, name, start, end);
    }
    fn table(&self) -> Message {
        self.table_message()
    }
    fn exchanged(&mut self, now: Time, message: Message) {
        Node::receive_table(self, now, message);
    }
    fn acts(&mut self) -> Vec<Act<Message>> {
        self.take_commands().into_iter().filter_map(act).collect()
    }
    fn leave(&mut self, moving: bool) -> Vec<Act<Message>> {
        Node::leave(self, moving).into_iter().filter_map(act).collect()
    }
    fn start(&self) -> u64 {
        self.own().start
    }
    fn sees(&self, name: &str) -> Option<ObservedState> {
        Some(Node::table(self).get(name)?.state())
    }
    fn all(&self) -> Vec<(String, ObservedState)> {
        Node::table(self).iter().map(|seen| (seen.update.name.clone(), seen.state())).collect()
    }
    fn gatherers(&self, now: Time) -> u32 {
        Node::gatherers(self, now)
    }
    fn weight(message: &Message) -> (usize, usize) {
        (message.max_encoded_bytes() + 21, message.updates.len())
    }
}

/// Whether one that is seen so is taken to be there.
pub fn there(state: ObservedState) -> bool {
    !matches!(state, ObservedState::Failed | ObservedState::Dead | ObservedState::Left)
}

#[derive(Clone)]
enum Happening<M> {
    Tick(usize, u64),
    Datagram(usize, M),
    Knocked { by: usize, name: String, start: u64, end: ConnectionProbeResult },
    Table { to: usize, message: M, answer: bool, from: usize },
}

struct Process<P: Peer> {
    node: Option<P>,
    /// It stands still until then.
    still: Option<Time>,
    kept: Vec<Happening<P::Message>>,
    starts: u64,
}

/// A change that a member told of.
#[derive(Clone, Debug)]
pub struct Told {
    /// When.
    pub at: Time,
    /// Which member.
    pub by: usize,
    /// Of whom it tells what.
    pub change: MemberChange,
    /// The process that it tells of was there then.
    pub lives: bool,
}

/// Members of one way, their network, and what they told.
pub struct Simulation<P: Peer> {
    /// The time.
    pub now: Time,
    /// What becomes of datagrams.
    pub net: Net,
    processes: Vec<Process<P>>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: HashMap<u64, Happening<P::Message>>,
    serial: u64,
    /// From whom to whom nothing passes.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Whoever cuts refuses connections, as a firewall may, in place of dropping them.
    pub refusing: bool,
    /// Whether each of the next datagrams is lost; lots decide of those behind them.
    pub script: VecDeque<bool>,
    /// Everything that was told.
    pub told: Vec<Told>,
    /// Datagrams, their bytes, and the claims in them.
    pub sent: (u64, u64, u64),
    begin: Begin<P>,
    stated: u32,
    seeds: Vec<SocketAddr>,
    random: fastrand::Rng,
}

/// Where a member is reached.
pub fn address(id: usize) -> SocketAddr {
    ([127, 1, (id >> 8) as u8, id as u8], 7000).into()
}

/// What it is called.
pub fn name(id: usize) -> String {
    format!("gatherer-{id}")
}

/// Which member that is, if any.
fn id(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

impl Simulation<Node> {
    /// So many members of this program's way, who know the first two, and have found each other.
    pub fn of_nodes(count: usize, seed: u64, timing: Timing) -> Simulation<Node> {
        let begin = move |now: Time, id: usize, seeds: &[SocketAddr], stated: u32, seed: u64| {
            let own = MemberUpdate {
                name: name(id),
                start: now.0,
                incarnation: 0,
                address: address(id),
                zone: format!("zone-{}", id % 3),
                state: MemberState::Alive,
            };
            Node::new(now, own, seeds.to_vec(), timing, stated, 2000, seed)
        };
        Simulation::new(count, seed, Box::new(begin))
    }
}

impl<P: Peer> Simulation<P> {
    /// So many members who know the first two, and have had 20 s to find each other.
    pub fn new(count: usize, seed: u64, begin: Begin<P>) -> Simulation<P> {
        let mut world = Simulation {
            now: START,
            net: Net::default(),
            processes: Vec::new(),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            serial: 0,
            cuts: BTreeSet::new(),
            refusing: false,
            script: VecDeque::new(),
            told: Vec::new(),
            sent: (0, 0, 0),
            begin,
            stated: count as u32,
            seeds: (0..2.min(count)).map(address).collect(),
            random: fastrand::Rng::with_seed(seed),
        };
        for _ in 0..count {
            world.processes.push(Process { node: None, still: None, kept: Vec::new(), starts: 0 });
        }
        (0..count).for_each(|id| world.start(id));
        world.advance(Duration::from_secs(20));
        world
    }

    /// Starts a process of this member.
    pub fn start(&mut self, id: usize) {
        let seed = self.random.u64(..);
        let node = (self.begin)(self.now, id, &self.seeds, self.stated, seed);
        let process = &mut self.processes[id];
        (process.node, process.still, process.starts) = (Some(node), None, process.starts + 1);
        process.kept.clear();
        let tick = Happening::Tick(id, process.starts);
        self.at(self.now, tick);
    }
    /// Kills its process.
    pub fn kill(&mut self, id: usize) {
        self.processes[id].node = None;
    }
    /// It stands still for so long.
    pub fn stop(&mut self, id: usize, span: Duration) {
        self.processes[id].still = Some(self.now.after(span));
        let tick = Happening::Tick(id, self.processes[id].starts);
        self.at(self.now.after(span), tick);
    }
    /// Its process ends by itself.
    pub fn leave(&mut self, id: usize, moving: bool) {
        let acts = self.processes[id].node.as_mut().map(|node| node.leave(moving));
        self.carry_out(id, acts.unwrap_or_default());
        self.kill(id);
    }
    /// Nothing passes from these to those.
    pub fn cut(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        let count = self.processes.len();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.cuts.extend(pairs.filter(|(a, b)| a != b && from(*a) && to(*b)));
    }
    /// How many members there ever were.
    pub fn count(&self) -> usize {
        self.processes.len()
    }
    /// The member, if its process is there.
    pub fn node(&self, id: usize) -> Option<&P> {
        self.processes.get(id)?.node.as_ref()
    }
    /// Members whose process is there.
    pub fn living(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.processes.len()).filter(|id| self.processes[*id].node.is_some())
    }
    /// How one member sees another.
    pub fn sees(&self, id: usize, other: usize) -> Option<ObservedState> {
        self.node(id)?.sees(&name(other))
    }
    /// The number that a member goes by; none for one that is not there.
    pub fn gatherers(&self, id: usize) -> Option<u32> {
        Some(self.node(id)?.gatherers(self.now))
    }
    /// Members that see just those that live as there.
    pub fn agreeing(&self) -> usize {
        let living: BTreeSet<String> = self.living().map(name).collect();
        let agrees = |id: &usize| {
            self.node(*id).is_some_and(|node| {
                let seen: Vec<(String, ObservedState)> = node.all();
                let mut present = seen.iter().filter(|(_, state)| there(*state));
                let count = present.clone().count();
                count + 1 == living.len() && present.all(|(name, _)| living.contains(name))
            })
        };
        self.living().filter(agrees).count()
    }
    /// Whether all do.
    pub fn agree(&self) -> bool {
        self.agreeing() == self.living().count()
    }
    /// Deaths told of processes that were there.
    pub fn buried_alive(&self) -> Vec<&Told> {
        let dead = |told: &&Told| matches!(told.change.state, ObservedState::Failed | ObservedState::Dead);
        self.told.iter().filter(dead).filter(|told| told.lives).collect()
    }
    /// Lets time pass until this is so, in steps of 50 ms; how long that took, if it came to be.
    pub fn until(&mut self, most: Duration, so: impl Fn(&Simulation<P>) -> bool) -> Option<Duration> {
        let since = self.now;
        while !so(self) {
            if self.now.since(since) >= most {
                return None;
            }
            self.advance(Duration::from_millis(50));
        }
        Some(self.now.since(since))
    }

    fn at(&mut self, at: Time, what: Happening<P::Message>) {
        self.serial += 1;
        self.happenings.insert(self.serial, what);
        self.queue.push(Reverse((at, self.serial)));
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now.after(span);
        while let Some(Reverse((at, serial))) = self.queue.peek().copied().filter(|next| next.0.0 <= end) {
            self.queue.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&serial) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening<P::Message>) {
        let to = match &happening {
            Happening::Tick(id, _) | Happening::Datagram(id, _) => *id,
            Happening::Knocked { by, .. } => *by,
            Happening::Table { to, .. } => *to,
        };
        let now = self.now;
        // An address at which no member ever was.
        let Some(process) = self.processes.get_mut(to) else { return };
        let Some(node) = &mut process.node else { return };
        if process.still.is_some_and(|until| until > now) {
            if process.kept.len() < KEPT && !matches!(happening, Happening::Tick(..)) {
                process.kept.push(happening);
            }
            return;
        }
        if process.still.take().is_some() {
            // What the kernel kept is read in any order with the timers: by lot the first of it goes before them.
            let mut kept = std::mem::take(&mut process.kept);
            let first = kept.iter().position(|kept| matches!(kept, Happening::Datagram(..)));
            if let Some(first) = first.filter(|_| self.random.bool())
                && let Happening::Datagram(_, message) = kept.remove(first)
            {
                node.hear(now, message);
            }
            node.tick(now);
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
                let own = node.table();
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
        let orders = node.acts();
        if ticked {
            let (due, tick) = (node.next_due(), Happening::Tick(id, process.starts));
            self.at(due.max(self.now.after(Duration::from_millis(1))), tick);
        }
        self.carry_out(id, orders);
    }

    fn carry_out(&mut self, by: usize, acts: Vec<Act<P::Message>>) {
        for act in acts {
            match act {
                Act::Send { to, message } => {
                    if let Some(to) = id(to) {
                        self.datagram(by, to, message);
                    }
                }
                Act::Knock { name, start, address } => {
                    let Some(to) = id(address) else { continue };
                    let there = self.processes.get(to).is_some_and(|process| process.node.is_some());
                    let cut = self.cuts.contains(&(by, to)) || self.cuts.contains(&(to, by));
                    let (end, ms) = match (cut, there) {
                        (true, _) if self.refusing => (ConnectionProbeResult::Refused, 2),
                        (true, _) => (ConnectionProbeResult::NoResponse, 300),
                        (_, true) => (ConnectionProbeResult::Connected, 2),
                        (_, false) => (ConnectionProbeResult::Refused, 2),
                    };
                    let at = self.now.after(Duration::from_millis(ms));
                    self.at(at, Happening::Knocked { by, name, start, end });
                }
                Act::Exchange { with } => {
                    let Some(to) = id(with) else { continue };
                    let cut = self.cuts.contains(&(by, to)) || self.cuts.contains(&(to, by));
                    if !cut && let Some(node) = &self.processes[by].node {
                        let message = node.table();
                        let at = self.now.after(Duration::from_millis(2));
                        self.at(at, Happening::Table { to, message, answer: false, from: by });
                    }
                }
                Act::Tell(change) => {
                    let of = change.name.rsplit('-').next().and_then(|number| number.parse().ok());
                    let node = of.and_then(|of: usize| self.node(of));
                    let lives = node.is_some_and(|node| node.start() == change.start);
                    self.told.push(Told { at: self.now, by, change, lives });
                }
            }
        }
    }

    fn datagram(&mut self, from: usize, to: usize, message: P::Message) {
        let (bytes, claims) = P::weight(&message);
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes as u64, self.sent.2 + claims as u64);
        if self.script.pop_front().unwrap_or(false) || self.cuts.contains(&(from, to)) {
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
pub fn counted(node: &impl Peer) -> BTreeMap<String, usize> {
    let mut all = BTreeMap::new();
    for (_, state) in node.all() {
        *all.entry(format!("{state:?}")).or_default() += 1;
    }
    all
}

impl Simulation<Node> {
    /// A message comes to a member from somebody who is none, and yet holds the secret.
    pub fn forge(&mut self, to: usize, message: Message) {
        let at = self.now;
        self.at(at, Happening::Datagram(to, message));
    }
}
