//! The state machine of one member: which members it probes, what it concludes from answers and their absence, and which
//! updates it passes on.
//!
//! [`Node`] owns the member table, the open probes and all deadlines. This file holds the state and the timers;
//! `node/probing.rs` sends probes and evaluates them, `node/messages.rs` sends and receives messages,
//! `node/member_states.rs` changes what is known of others. A node does no I/O: it gives [`Command`]s to its host.

mod member_states;
mod messages;
mod probing;

use super::command::Command;
use super::fleet_size::FleetSizeEstimate;
use super::gossip_queue::GossipQueue;
use super::table::MemberTable;
use super::timing::Timing;
use super::update::{MemberState, MemberUpdate, MessageKind};
use crate::policy::Time;
use probing::{IndirectProbe, Probe};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members probed in each interval.
const PROBES_PER_INTERVAL: usize = 2;
/// Members asked to probe an unresponsive one on this member's behalf.
const INDIRECT_PROBES: usize = 3;
/// Members that gossip goes to at once.
const GOSSIP_FANOUT: usize = 3;
/// Members up to which tables are exchanged at [`Timing::exchange_interval`]; beyond, the interval grows in proportion.
const FULL_EXCHANGE_RATE_MEMBERS: usize = 64;
/// Members that the leave broadcast goes to.
const LEAVE_FANOUT: usize = 8;

/// What a member is started with.
pub struct NodeConfig {
    /// What it reports about itself.
    pub own: MemberUpdate,
    /// The addresses that it knows at first; its own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Its intervals and time-outs.
    pub timing: Timing,
    /// The fleet size in the settings.
    pub configured_gatherers: u32,
    /// The most other members that it remembers.
    pub max_members: usize,
    /// Seed of its random choices.
    pub random_seed: u64,
}

/// The state of one member.
pub struct Node {
    own: MemberUpdate,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    fleet_size: FleetSizeEstimate,
    random: fastrand::Rng,
    /// The members that are still to be probed in this round, in a random order; the last goes first.
    probe_order: Vec<String>,
    last_probe_number: u32,
    /// Probes without an answer yet, by number.
    probes: BTreeMap<u32, Probe>,
    /// Probes sent on other members' behalf, by this member's number.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// Members with updates to pass on, which are added to outgoing messages.
    gossip_queue: GossipQueue,
    /// When each suspect is declared dead.
    suspect_deadlines: BTreeMap<String, Time>,
    /// When a message last came from any member.
    last_message_at: Time,
    /// When [`Node::tick`] was last called.
    last_tick_at: Time,
    next_probe_at: Time,
    next_gossip_at: Time,
    next_exchange_at: Time,
    next_rejoin_at: Time,
    commands: Vec<Command>,
}

impl Node {
    /// A member that starts now and knows the addresses of some seeds only.
    #[must_use]
    pub fn new(now: Time, config: NodeConfig) -> Node {
        let NodeConfig { own, mut seeds, timing, configured_gatherers, max_members, random_seed } = config;
        seeds.retain(|seed| *seed != own.address);
        Node {
            own,
            timing,
            seeds,
            table: MemberTable::new(max_members),
            fleet_size: FleetSizeEstimate::new(configured_gatherers),
            random: fastrand::Rng::with_seed(random_seed),
            probe_order: Vec::new(),
            last_probe_number: 0,
            probes: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            gossip_queue: GossipQueue::default(),
            suspect_deadlines: BTreeMap::new(),
            last_message_at: now,
            last_tick_at: now,
            next_probe_at: now,
            next_gossip_at: now,
            next_exchange_at: now,
            next_rejoin_at: now,
            commands: Vec::new(),
        }
    }

    /// What the member reports about itself.
    #[must_use]
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// What the member knows of the others.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The estimated number of gatherers that share the fleet; see [`FleetSizeEstimate::gatherers`].
    #[must_use]
    pub fn gatherers(&self, now: Time) -> u32 {
        self.fleet_size.gatherers(now, &self.table)
    }

    /// Whether no message has come for so long that this member takes itself for the one that is cut off.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_message_at) >= self.timing.isolation_timeout
            && self.table.present().next().is_some()
    }

    /// Takes the commands that have accumulated.
    #[must_use]
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// When [`Node::tick`] is next to be called.
    #[must_use]
    pub fn next_due(&self) -> Time {
        let gossip = (!self.gossip_queue.is_empty()).then_some(self.next_gossip_at);
        let probes = self.probes.values().map(|probe| probe.next_action_at(self.timing.probe_interval));
        let suspects = self.suspect_deadlines.values().copied();
        let timers = [self.next_probe_at, self.next_exchange_at, self.next_rejoin_at];
        probes.chain(suspects).chain(gossip).chain(timers).min().unwrap_or(self.next_probe_at)
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Time) {
        let gap = now.since(self.last_tick_at);
        self.last_tick_at = self.last_tick_at.max(now);
        if gap > self.timing.pause_threshold {
            self.resume_after_pause(now, gap);
        }
        self.retry_or_expire_due_probes(now);
        if self.next_probe_at <= now {
            self.begin_probe_interval(now);
        }
        self.declare_dead(now);
        if self.next_gossip_at <= now {
            self.next_gossip_at = now.after(self.timing.gossip_interval);
            self.gossip();
        }
        if self.next_exchange_at <= now {
            self.request_table_exchange(now);
        }
        if self.next_rejoin_at <= now {
            self.next_rejoin_at = now.after(self.timing.rejoin_interval);
            self.contact_failed_member_and_missing_seed();
        }
    }

    fn begin_probe_interval(&mut self, now: Time) {
        let interval = self.timing.probe_interval;
        self.next_probe_at = now.after(interval);
        self.table.remove_expired(now, self.timing.gone_retention, self.timing.failed_retention);
        self.indirect_probes.retain(|_, probe| now.since(probe.sent_at) < interval);
        for _ in 0..PROBES_PER_INTERVAL {
            self.probe_next(now);
        }
    }

    /// Requests an exchange of tables with one of the present members.
    fn request_table_exchange(&mut self, now: Time) {
        let factor = (self.table.iter().count() / FULL_EXCHANGE_RATE_MEMBERS).max(1) as u32;
        self.next_exchange_at = now.after(self.timing.exchange_interval * factor);
        if let Some(with) = self.pick_members(1, |_| true).first() {
            self.commands.push(Command::ExchangeTables { with: with.address });
        }
    }

    /// Discards conclusions from before a time in which the local process did not run: guards against taking its own pause
    /// for the others' silence.
    fn resume_after_pause(&mut self, now: Time, pause: Duration) {
        self.probes.clear();
        self.indirect_probes.clear();
        self.table.shift_times(pause);
        self.suspect_deadlines.values_mut().for_each(|at| *at = at.after(pause));
        self.last_message_at = self.last_message_at.after(pause).min(now);
    }

    /// Picks up to `count` present members that match `filter`, at random.
    fn pick_members(&mut self, count: usize, filter: impl Fn(&MemberUpdate) -> bool) -> Vec<MemberUpdate> {
        let present = self.table.present().map(|member| &member.update);
        let candidates: Vec<&MemberUpdate> = present.filter(|update| filter(update)).collect();
        let picks = self.random.choose_multiple(candidates, count);
        picks.into_iter().cloned().collect()
    }

    fn gossip(&mut self) {
        if !self.gossip_queue.is_empty() {
            self.broadcast(GOSSIP_FANOUT);
        }
    }

    /// Sends gossip, and with it what this member reports about itself, to some members at random.
    fn broadcast(&mut self, fanout: usize) {
        for to in self.pick_members(fanout, |_| true) {
            self.send(to.address, MessageKind::Gossip, None);
        }
    }

    /// Probes one of the failed members, and requests an exchange with one of the seeds that are not present.
    fn contact_failed_member_and_missing_seed(&mut self) {
        let failed: Vec<(String, SocketAddr)> = self
            .table
            .iter()
            .filter(|member| member.update.state == MemberState::Failed)
            .map(|member| (member.update.name.clone(), member.update.address))
            .collect();
        if let Some((name, to)) = self.random.choice(failed) {
            let number = self.next_probe_number();
            self.send(to, MessageKind::Ping { number, receives_peer: false }, Some(&name));
        }
        let is_present =
            |seed: &&SocketAddr| self.table.present().any(|member| member.update.address == **seed);
        let missing: Vec<SocketAddr> = self.seeds.iter().filter(|seed| !is_present(seed)).copied().collect();
        if let Some(with) = self.random.choice(missing) {
            self.commands.push(Command::ExchangeTables { with });
        }
    }

    /// Announces that this member stops, for good or for another process of the same name; returns the last commands, the
    /// leave broadcast.
    #[must_use]
    pub fn leave(&mut self, handing_over: bool) -> Vec<Command> {
        self.own.state = if handing_over { MemberState::HandingOver } else { MemberState::Left };
        self.own.incarnation += 1;
        self.commands.clear();
        self.broadcast(LEAVE_FANOUT);
        self.take_commands()
    }
}
