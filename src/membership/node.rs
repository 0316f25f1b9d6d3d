//! One member: whom it probes, what it concludes from answers and from their absence, and what it passes on.
//!
//! This is its state and its clock. `node/probing.rs` probes and concludes, `node/messages.rs` sends and hears,
//! `node/beliefs.rs` changes what is held of others.

mod beliefs;
mod messages;
mod probing;

use super::command::Command;
use super::fleet_size::FleetSizeEstimate;
use super::gossip_queue::GossipQueue;
use super::table::Table;
use super::timing::Timing;
use super::update::{MemberState, MemberUpdate, MessageKind};
use crate::policy::Time;
use probing::Probe;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members probed in each period.
const PROBES_PER_PERIOD: usize = 2;
/// Members that are had probe whom one does not hear.
const INDIRECT_PROBES: usize = 3;
/// Members that gossip goes to at once.
const GOSSIP_FANOUT: usize = 3;
/// Members up to which tables are exchanged as often as [`Timing::exchange`] says; beyond, in proportion more rarely.
const FULL_EXCHANGE_RATE_MEMBERS: usize = 64;
/// Members that hear of one's leaving from itself.
const LEAVE_FANOUT: usize = 8;

/// The state of one member.
pub struct Node {
    own: MemberUpdate,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    table: Table,
    fleet_size: FleetSizeEstimate,
    random: fastrand::Rng,
    /// Whom it probes next, in a random order.
    round: Vec<String>,
    last_probe_number: u32,
    probes: BTreeMap<u32, Probe>,
    /// Probes sent for others: who asked, with which number, and when.
    indirect_probes: BTreeMap<u32, (SocketAddr, u32, Time)>,
    /// Names of which there is news, which rides on messages.
    gossip_queue: GossipQueue,
    /// When each suspect is declared dead.
    suspect_deadlines: BTreeMap<String, Time>,
    /// When anybody was last heard.
    last_heard: Time,
    /// When [`Node::tick`] was last called.
    last_tick: Time,
    period_at: Time,
    gossip_at: Time,
    exchange_at: Time,
    rejoin_at: Time,
    orders: Vec<Command>,
}

impl Node {
    /// A member that begins now and knows nobody but where some may be found. `stated` is the settings' number of
    /// gatherers, `most` the most others that it remembers.
    pub fn new(
        now: Time,
        own: MemberUpdate,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        stated: u32,
        most: usize,
        seed: u64,
    ) -> Node {
        Node {
            seeds: seeds.into_iter().filter(|seed| *seed != own.address).collect(),
            own,
            timing,
            table: Table::new(most),
            fleet_size: FleetSizeEstimate::new(stated),
            random: fastrand::Rng::with_seed(seed),
            round: Vec::new(),
            last_probe_number: 0,
            probes: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            gossip_queue: GossipQueue::default(),
            suspect_deadlines: BTreeMap::new(),
            last_heard: now,
            last_tick: now,
            period_at: now,
            gossip_at: now,
            exchange_at: now,
            rejoin_at: now,
            orders: Vec::new(),
        }
    }

    /// What it says of itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// What it knows of the others.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// How many gatherers share the fleet, as far as it can tell on the safe side.
    pub fn gatherers(&self, now: Time) -> u32 {
        self.fleet_size.gatherers(now, &self.table)
    }

    /// Nobody has been heard for so long that it is itself the one that is cut off.
    pub fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_heard) >= self.timing.isolation_timeout && self.table.present().next().is_some()
    }

    /// What is to be done.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.orders)
    }

    /// When [`Node::tick`] is next to be called.
    pub fn next_due(&self) -> Time {
        let news = (!self.gossip_queue.is_empty()).then_some(self.gossip_at);
        let probes = self.probes.values().map(|probe| probe.due(self.timing.probe_interval));
        let suspects = self.suspect_deadlines.values().copied();
        let all = probes.chain(suspects).chain(news);
        all.chain([self.period_at, self.exchange_at, self.rejoin_at]).min().unwrap_or(self.period_at)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        let jump = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if jump > self.timing.pause_threshold {
            self.resume_after_pause(now, jump);
        }
        self.follow_up_due(now);
        if self.period_at <= now {
            self.begin_period(now);
        }
        self.declare_dead(now);
        if self.gossip_at <= now {
            self.gossip_at = now.after(self.timing.gossip_interval);
            self.gossip();
        }
        if self.exchange_at <= now {
            self.exchange(now);
        }
        if self.rejoin_at <= now {
            self.rejoin_at = now.after(self.timing.rejoin_interval);
            self.rejoin_lost();
        }
    }

    /// Begins a period.
    fn begin_period(&mut self, now: Time) {
        self.period_at = now.after(self.timing.probe_interval);
        self.table.forget(now, self.timing.remember.0, self.timing.remember.1);
        self.indirect_probes.retain(|_, (_, _, at)| now.since(*at) < self.timing.probe_interval);
        for _ in 0..PROBES_PER_PERIOD {
            self.probe_next(now);
        }
    }

    /// Has tables exchanged with one of those who are there.
    fn exchange(&mut self, now: Time) {
        let times = (self.table.iter().count() / FULL_EXCHANGE_RATE_MEMBERS).max(1) as u32;
        self.exchange_at = now.after(self.timing.exchange_interval * times);
        if let Some(with) = self.pick_members(1, |_| true).first() {
            self.orders.push(Command::ExchangeTables { with: with.address });
        }
    }

    /// Guards against acting on what was decided before a time in which this process did not run: others' silence in it
    /// is its own.
    fn resume_after_pause(&mut self, now: Time, jump: Duration) {
        self.probes.clear();
        self.indirect_probes.clear();
        self.table.stood_still(jump);
        self.suspect_deadlines.values_mut().for_each(|at| *at = at.after(jump));
        self.last_heard = self.last_heard.after(jump).min(now);
    }

    /// Picks some members at random that are there, other than those left out.
    fn pick_members(&mut self, count: usize, which: impl Fn(&MemberUpdate) -> bool) -> Vec<MemberUpdate> {
        let there: Vec<&MemberUpdate> =
            self.table.present().map(|seen| &seen.update).filter(|claim| which(claim)).collect();
        let picks = self.random.choose_multiple(there, count);
        picks.into_iter().cloned().collect()
    }

    fn gossip(&mut self) {
        if self.gossip_queue.is_empty() {
            return;
        }
        for to in self.pick_members(GOSSIP_FANOUT, |_| true) {
            self.send(to.address, MessageKind::Gossip, None);
        }
    }

    /// Asks one of those who fell silent, and, while nobody is there or a seed is not, a seed.
    fn rejoin_lost(&mut self) {
        let silent: Vec<(String, SocketAddr)> = self
            .table
            .iter()
            .filter(|seen| seen.update.state == MemberState::Failed)
            .map(|seen| (seen.update.name.clone(), seen.update.address))
            .collect();
        if let Some((name, to)) = self.random.choice(silent) {
            let number = self.next_probe_number();
            self.send(to, MessageKind::Ping { number, hears: false }, Some(&name));
        }
        let there = |seed: &&SocketAddr| self.table.present().any(|seen| seen.update.address == **seed);
        let missing: Vec<SocketAddr> = self.seeds.iter().filter(|seed| !there(seed)).copied().collect();
        if let Some(with) = self.random.choice(missing) {
            self.orders.push(Command::ExchangeTables { with });
        }
    }

    /// Leaves, for good or for another process of the same name; nothing more is to be done after these orders.
    pub fn leave(&mut self, moving: bool) -> Vec<Command> {
        self.own.state = if moving { MemberState::HandingOver } else { MemberState::Left };
        self.own.incarnation += 1;
        self.orders.clear();
        for to in self.pick_members(LEAVE_FANOUT, |_| true) {
            self.send(to.address, MessageKind::Gossip, None);
        }
        self.take_commands()
    }
}
