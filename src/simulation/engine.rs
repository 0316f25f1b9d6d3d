//! The simulation's engine: runs members in virtual time, on a network that loses, duplicates, delays and
//! partitions, in processes that pause, die and restart. The same seed gives the same run.
//!
//! [`Simulation`] owns the virtual clock, the processes and the pending events. The members' decisions are made
//! by the protocol under test ([`Peer`]).

use super::event_queue::{DueEvent, Event, EventQueue};
use super::network::{Link, NetworkFaults, Traffic, address, id_at, id_of, name};
use super::peer::{Peer, PeerStart, StartPeer};
use crate::membership::{
    Command, ConnectionProbeResult, MemberChange, MemberState, MemberUpdate, Message, Node, NodeConfig,
    Timing,
};
use crate::policy::Time;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The time at which every simulation starts: an arbitrary Unix time, in nanoseconds.
pub const START_TIME: Time = Time(1_700_000_000_000_000_000);
/// The simulated time in which the members discover each other before [`Simulation::new`] returns.
const WARM_UP: Duration = Duration::from_secs(20);
/// The maximum number of events buffered for a paused process, as by a kernel's receive buffer.
const MAX_BUFFERED_EVENTS: usize = 256;
/// The capacity of a simulated member's table.
const MAX_MEMBERS: usize = 2000;
/// The number of seeds: the first members, whose addresses all members start with.
const SEED_MEMBERS: usize = 2;
/// The number of zones; members are assigned to them in turn.
const ZONES: usize = 3;
/// The minimum time between two ticks of a process.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// The time to connect, to be refused, or to send a table.
const CONNECTION_DELAY: Duration = Duration::from_millis(2);
/// The time after which a connection attempt without a response fails.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// A member's process, which may be dead.
struct Process<P: Peer> {
    /// The state machine of the running process; none if the process is dead.
    node: Option<P>,
    /// The end of the current pause, if the process is paused.
    paused_until: Option<Time>,
    /// The events that arrived during the pause.
    buffered: Vec<Event<P::Message>>,
    /// The number of times that the member was started; it identifies ticks of an earlier process, which are dropped.
    starts: u64,
}

/// A change of an observed state, as one member reported it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The time of the report.
    pub at: Time,
    /// The number of the reporting member.
    pub by: usize,
    /// The change.
    pub change: MemberChange,
    /// Whether the process that the change is about was actually running at that time.
    pub was_running: bool,
}

/// A simulation of members of one protocol, with their network and their reports.
pub struct Simulation<P: Peer> {
    /// The virtual time.
    pub now: Time,
    /// The faults that the network applies to datagrams.
    pub faults: NetworkFaults,
    /// The links on which nothing passes.
    pub partitions: BTreeSet<Link>,
    /// Whether partitions refuse connections, as a firewall may, instead of dropping their packets.
    pub partitions_refuse: bool,
    /// Whether each of the next datagrams is lost; the ones after them are subject to `faults` only.
    pub scripted_losses: VecDeque<bool>,
    /// The changes that members reported, in order.
    pub reports: Vec<Report>,
    /// The traffic of all members.
    pub traffic: Traffic,
    processes: Vec<Process<P>>,
    queue: EventQueue<P::Message>,
    start_peer: StartPeer<P>,
    configured_gatherers: u32,
    seeds: Vec<SocketAddr>,
    random: fastrand::Rng,
}

impl Simulation<Node> {
    /// Creates a simulation of `count` members of the gatherer's own protocol. The first two members are the
    /// seeds; the members have had 20 s of simulated time to discover each other.
    #[must_use]
    pub fn with_nodes(count: usize, seed: u64, timing: Timing) -> Simulation<Node> {
        let start_peer = move |start: PeerStart<'_>| {
            let own = MemberUpdate {
                name: name(start.id),
                start: start.now.0,
                incarnation: 0,
                address: address(start.id),
                zone: format!("zone-{}", start.id % ZONES),
                state: MemberState::Alive,
            };
            let config = NodeConfig {
                own,
                seeds: start.seeds.to_vec(),
                timing,
                configured_gatherers: start.configured_gatherers,
                max_members: MAX_MEMBERS,
                random_seed: start.random_seed,
            };
            Node::new(start.now, config)
        };
        Simulation::new(count, seed, Box::new(start_peer))
    }

    /// Delivers a message to a member from a sender that is not a member but knows the shared secret.
    pub fn forge(&mut self, to: usize, message: Message) {
        self.schedule(self.now, Event::Datagram { to, message });
    }
}

impl<P: Peer> Simulation<P> {
    /// Creates a simulation of `count` members. The first two members are the seeds; the members have had 20 s
    /// of simulated time to discover each other.
    pub fn new(count: usize, seed: u64, start_peer: StartPeer<P>) -> Simulation<P> {
        let process = || Process { node: None, paused_until: None, buffered: Vec::new(), starts: 0 };
        let mut simulation = Simulation {
            now: START_TIME,
            faults: NetworkFaults::default(),
            partitions: BTreeSet::new(),
            partitions_refuse: false,
            scripted_losses: VecDeque::new(),
            reports: Vec::new(),
            traffic: Traffic::default(),
            processes: (0..count).map(|_| process()).collect(),
            queue: EventQueue::new(),
            start_peer,
            configured_gatherers: count as u32,
            seeds: (0..SEED_MEMBERS.min(count)).map(address).collect(),
            random: fastrand::Rng::with_seed(seed),
        };
        (0..count).for_each(|id| simulation.start(id));
        simulation.advance(WARM_UP);
        simulation
    }

    /// Starts a new process of a member, in place of a running one.
    pub fn start(&mut self, id: usize) {
        let random_seed = self.random.u64(..);
        let node = (self.start_peer)(PeerStart {
            now: self.now,
            id,
            seeds: &self.seeds,
            configured_gatherers: self.configured_gatherers,
            random_seed,
        });
        let process = &mut self.processes[id];
        (process.node, process.paused_until) = (Some(node), None);
        process.starts += 1;
        process.buffered.clear();
        let tick = Event::Tick { id, starts: process.starts };
        self.schedule(self.now, tick);
    }

    /// Kills a member's process.
    pub fn kill(&mut self, id: usize) {
        self.processes[id].node = None;
    }

    /// Pauses a member's process for `duration`.
    pub fn pause(&mut self, id: usize, duration: Duration) {
        let until = self.now.after(duration);
        self.processes[id].paused_until = Some(until);
        let tick = Event::Tick { id, starts: self.processes[id].starts };
        self.schedule(until, tick);
    }

    /// Shuts a member's process down gracefully. With `handing_over`, another process is to take over its name.
    pub fn leave(&mut self, id: usize, handing_over: bool) {
        let commands = self.processes[id].node.as_mut().map(|node| node.leave(handing_over));
        self.execute(id, commands.unwrap_or_default());
        self.kill(id);
    }

    /// Blocks all links from the members that match `from` to those that match `to`.
    pub fn partition(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        let count = self.processes.len();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| Link { from, to }));
        self.partitions.extend(links.filter(|link| link.from != link.to && from(link.from) && to(link.to)));
    }

    /// Advances time in steps of 50 ms until `condition` holds. Returns the elapsed time, or none after `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        condition: impl Fn(&Simulation<P>) -> bool,
    ) -> Option<Duration> {
        let since = self.now;
        while !condition(self) {
            if self.now.since(since) >= timeout {
                return None;
            }
            self.advance(Duration::from_millis(50));
        }
        Some(self.now.since(since))
    }

    /// Advances time by `duration` and applies all events that are due meanwhile.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while let Some(DueEvent { due, event }) = self.queue.pop_due(end) {
            self.now = due;
            self.apply(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, due: Time, event: Event<P::Message>) {
        self.queue.push(due, event);
    }

    /// Applies an event to its target process; buffers it if the process is paused, and drops it if it is dead.
    fn apply(&mut self, event: Event<P::Message>) {
        let (now, id) = (self.now, event.target());
        // A forged update may name an address at which there is no member.
        let Some(process) = self.processes.get_mut(id) else { return };
        let Some(node) = &mut process.node else { return };
        if process.paused_until.is_some_and(|until| until > now) {
            if process.buffered.len() < MAX_BUFFERED_EVENTS && !matches!(event, Event::Tick { .. }) {
                process.buffered.push(event);
            }
            return;
        }
        if process.paused_until.take().is_some() {
            return self.resume(id);
        }
        let mut ticked = false;
        match event {
            Event::Tick { starts, .. } if starts != process.starts => return,
            Event::Tick { .. } => {
                node.tick(now);
                ticked = true;
            }
            Event::Datagram { message, .. } => node.receive(now, message),
            Event::ProbeResult { name, start, result, .. } => {
                node.on_probe_result(now, &name, start, result);
            }
            Event::Table { message, is_reply, from, .. } => {
                let own = node.table_message();
                node.receive_table(now, message);
                if !is_reply && !self.is_link_blocked(id, from) {
                    let reply = Event::Table { to: from, from: id, message: own, is_reply: true };
                    self.schedule(now.after(CONNECTION_DELAY), reply);
                }
            }
        }
        self.after_event(id, ticked);
    }

    /// Ends a process's pause. A resumed process may read buffered datagrams before or after its timers run, so
    /// the first datagram is delivered before the timers in a random half of the cases.
    fn resume(&mut self, id: usize) {
        let now = self.now;
        let process = &mut self.processes[id];
        let Some(node) = &mut process.node else { return };
        let mut buffered = std::mem::take(&mut process.buffered);
        let first = buffered.iter().position(|event| matches!(event, Event::Datagram { .. }));
        if let Some(first) = first.filter(|_| self.random.bool())
            && let Event::Datagram { message, .. } = buffered.remove(first)
        {
            node.receive(now, message);
        }
        node.tick(now);
        buffered.into_iter().for_each(|event| self.schedule(now, event));
        self.after_event(id, true);
    }

    /// Schedules a process's next tick, and executes its commands.
    fn after_event(&mut self, id: usize, ticked: bool) {
        let process = &mut self.processes[id];
        let Some(node) = &mut process.node else { return };
        let commands = node.take_commands();
        if ticked {
            let due = node.next_due().max(self.now.after(MIN_TICK_INTERVAL));
            let tick = Event::Tick { id, starts: process.starts };
            self.schedule(due, tick);
        }
        self.execute(id, commands);
    }

    fn execute(&mut self, by: usize, commands: Vec<Command<P::Message>>) {
        for command in commands {
            match command {
                Command::Send { to, message } => {
                    if let Some(to) = id_at(to) {
                        self.send(by, to, message);
                    }
                }
                Command::ProbeConnection { name, start, address } => {
                    if let Some(to) = id_at(address) {
                        self.probe_connection(by, to, name, start);
                    }
                }
                Command::ExchangeTables { with } => {
                    if let Some(to) = id_at(with) {
                        self.exchange_tables(by, to);
                    }
                }
                Command::Notify(change) => {
                    let node = id_of(&change.name).and_then(|id| self.node(id));
                    let was_running = node.is_some_and(|node| node.start() == change.start);
                    self.reports.push(Report { at: self.now, by, change, was_running });
                }
                Command::NameReclaimed => {}
            }
        }
    }

    /// Whether two members cannot connect, because at least one direction between them is blocked.
    fn is_connection_blocked(&self, a: usize, b: usize) -> bool {
        self.is_link_blocked(a, b) || self.is_link_blocked(b, a)
    }

    /// Whether the link from one member to another is blocked.
    fn is_link_blocked(&self, from: usize, to: usize) -> bool {
        self.partitions.contains(&Link { from, to })
    }

    fn probe_connection(&mut self, by: usize, to: usize, name: String, start: u64) {
        let (result, delay) = match (self.is_connection_blocked(by, to), self.node(to).is_some()) {
            (true, _) if self.partitions_refuse => (ConnectionProbeResult::Refused, CONNECTION_DELAY),
            (true, _) => (ConnectionProbeResult::NoResponse, CONNECTION_TIMEOUT),
            (false, true) => (ConnectionProbeResult::Connected, CONNECTION_DELAY),
            (false, false) => (ConnectionProbeResult::Refused, CONNECTION_DELAY),
        };
        self.schedule(self.now.after(delay), Event::ProbeResult { id: by, name, start, result });
    }

    fn exchange_tables(&mut self, by: usize, to: usize) {
        if !self.is_connection_blocked(by, to)
            && let Some(node) = self.node(by)
        {
            let table = Event::Table { to, from: by, message: node.table_message(), is_reply: false };
            self.schedule(self.now.after(CONNECTION_DELAY), table);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: P::Message) {
        let size = P::size(&message);
        self.traffic.datagrams += 1;
        self.traffic.bytes += size.bytes as u64;
        self.traffic.updates += size.updates as u64;
        let is_lost = self.scripted_losses.pop_front().unwrap_or(false);
        if is_lost || self.is_link_blocked(from, to) {
            return;
        }
        for at in self.faults.arrivals(self.now, &mut self.random) {
            self.schedule(at, Event::Datagram { to, message: message.clone() });
        }
    }

    /// The state machine of a member's process; none if the process is dead.
    #[must_use]
    pub fn node(&self, id: usize) -> Option<&P> {
        self.processes.get(id)?.node.as_ref()
    }

    /// The number of members, running or not.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.processes.len()
    }
}
