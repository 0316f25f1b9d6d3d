//! The state machine of one member: it probes other members, detects failures, and gossips updates.
//!
//! [`Node`] owns the member table, the open probes and all deadlines. This file holds the state and the timers;
//! `node/probing.rs` sends probes and evaluates them, `node/messages.rs` sends and receives messages,
//! `node/member_states.rs` updates the table. A node does no I/O: it returns [`Command`]s to its host.

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

/// The number of members probed in each probe interval.
const PROBES_PER_INTERVAL: usize = 2;
/// The number of members that are asked to probe an unresponsive member on this member's behalf.
const INDIRECT_PROBES: usize = 3;
/// The number of receivers of a round of gossip, and of a refutation.
const GOSSIP_FANOUT: usize = 3;
/// [`Timing::exchange_interval`] is multiplied by the number of known members divided by this number, rounded down
/// and at least 1, so that the cost of exchanges does not grow with the size of the table.
const FULL_EXCHANGE_RATE_MEMBERS: usize = 64;
/// The number of receivers of the leave broadcast.
const LEAVE_FANOUT: usize = 8;

/// The configuration of a member.
pub struct NodeConfig {
    /// The member's first update about itself.
    pub own: MemberUpdate,
    /// The addresses that the member contacts first; the member's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The intervals and time-outs of the protocol.
    pub timing: Timing,
    /// The number of gatherers in the settings, on which the limits of the fleet-size estimate are based.
    pub configured_gatherers: u32,
    /// The capacity of the member table.
    pub max_members: usize,
    /// The seed of the member's random choices.
    pub random_seed: u64,
}

/// The state machine of one member.
pub struct Node {
    own: MemberUpdate,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    fleet_size: FleetSizeEstimate,
    random: fastrand::Rng,
    /// The names of the members still to be probed in this round, in a random order; taken from the end.
    probe_order: Vec<String>,
    last_probe_number: u32,
    /// The probes that are not answered yet, by number.
    probes: BTreeMap<u32, Probe>,
    /// The probes sent on other members' behalf, by the number that this member gave them.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// The members whose updates are piggybacked on outgoing messages.
    gossip_queue: GossipQueue,
    /// The time at which each suspect is declared failed, by name.
    suspect_deadlines: BTreeMap<String, Time>,
    /// The time of the last message from any member.
    last_message_at: Time,
    /// The time of the last call of [`Node::tick`].
    last_tick_at: Time,
    next_probe_at: Time,
    next_gossip_at: Time,
    next_exchange_at: Time,
    next_rejoin_at: Time,
    commands: Vec<Command>,
}

impl Node {
    /// Creates a member that starts now with an empty table and the addresses of the seeds.
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

    /// The member's current update about itself.
    #[must_use]
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// The table of the other members.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The estimated number of gatherers that share the fleet; see [`FleetSizeEstimate::gatherers`].
    #[must_use]
    pub fn gatherers(&self, now: Time) -> u32 {
        self.fleet_size.gatherers(now, &self.table)
    }

    /// Whether this member considers itself isolated: it knows present members, and no message has arrived for
    /// [`Timing::isolation_timeout`].
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_message_at) >= self.timing.isolation_timeout
            && self.table.present().next().is_some()
    }

    /// Returns the pending commands and clears them.
    #[must_use]
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// The time of the next deadline, at which [`Node::tick`] has to be called.
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

    /// Requests an exchange of tables with a random present member.
    fn request_table_exchange(&mut self, now: Time) {
        let factor = (self.table.iter().count() / FULL_EXCHANGE_RATE_MEMBERS).max(1) as u32;
        self.next_exchange_at = now.after(self.timing.exchange_interval * factor);
        if let Some(with) = self.pick_members(1, |_| true).first() {
            self.commands.push(Command::ExchangeTables { with: with.address });
        }
    }

    /// Drops the open probes and moves deadlines forward by the time in which the local process did not run.
    /// Otherwise this member would take its own pause for a failure of the others.
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

    /// Sends gossip, which includes this member's update about itself, to `fanout` random present members.
    fn broadcast(&mut self, fanout: usize) {
        for to in self.pick_members(fanout, |_| true) {
            self.send(to.address, MessageKind::Gossip, None);
        }
    }

    /// Probes a random failed member, and requests an exchange of tables with a random seed that is not present.
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

    /// Announces that this member stops, and returns the last commands, the leave broadcast. With `handing_over`,
    /// another process of the same name takes over.
    #[must_use]
    pub fn leave(&mut self, handing_over: bool) -> Vec<Command> {
        self.own.state = if handing_over { MemberState::HandingOver } else { MemberState::Left };
        self.own.incarnation += 1;
        self.commands.clear();
        self.broadcast(LEAVE_FANOUT);
        self.take_commands()
    }
}
