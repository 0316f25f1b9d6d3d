//! Probes: which member is probed next, which again and through others, and what an answer or its absence means.

use super::{INDIRECT_PROBES, Node};
use crate::membership::command::{Command, ConnectionProbeResult};
use crate::membership::table::{KnownMember, Reachability};
use crate::membership::update::{MemberState, MemberUpdate, MessageKind};
use crate::policy::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// The part of a probe interval between a refused connection and its repetition. Both count within one probe only, which
/// stays open for the whole interval.
const CONNECTION_RETRY_DIVISOR: u32 = 5;
/// How long a member that hands over to another process is waited for.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// The most open probes on other members' behalf.
const MAX_INDIRECT_PROBES: usize = 64;
/// The part of a probe interval after which a member is probed again, through others too.
const PROBE_RETRY_DIVISOR: u32 = 3;

/// A refused connection to a member that is being probed.
struct RefusedConnection {
    retry_at: Time,
    retried: bool,
}

/// A probe that is not answered yet.
pub(super) struct Probe {
    /// The name of the probed member.
    pub name: String,
    start: u64,
    sent_at: Time,
    /// Whether it was sent again, through others too.
    retried: bool,
    /// The connection that the member's machine has refused since the probe was sent.
    refused: Option<RefusedConnection>,
}

/// A probe that is sent on another member's behalf.
pub(super) struct IndirectProbe {
    /// The address of the member that requested it.
    requester: SocketAddr,
    /// The requester's number of the probe.
    requester_number: u32,
    /// When the probe was sent.
    pub sent_at: Time,
}

impl Probe {
    /// When the probe is next to be [followed up](Node::retry_or_expire_due_probes), with this probe interval.
    pub fn next_action_at(&self, interval: Duration) -> Time {
        let timeout = if self.retried { interval } else { interval / PROBE_RETRY_DIVISOR };
        let due = self.sent_at.after(timeout);
        let connection_retry = self.refused.as_ref().filter(|refused| !refused.retried);
        connection_retry.map_or(due, |refused| due.min(refused.retry_at))
    }

    /// Whether a refused connection is to be retried now; true only once.
    fn begin_connection_retry(&mut self, now: Time) -> bool {
        match &mut self.refused {
            Some(refused) if !refused.retried && refused.retry_at <= now => {
                refused.retried = true;
                true
            }
            _ => false,
        }
    }
}

impl Node {
    /// Whether a probe of this member is open.
    pub(super) fn is_probed(&self, name: &str) -> bool {
        self.probes.values().any(|probe| probe.name == name)
    }

    /// Probes the next member of the round, and begins a new round in a random order where the last one is complete.
    pub(super) fn probe_next(&mut self, now: Time) {
        loop {
            if self.probe_order.is_empty() {
                let present = self.table.present().map(|member| member.update.name.clone());
                self.probe_order = present.collect();
                self.random.shuffle(&mut self.probe_order);
            }
            let Some(name) = self.probe_order.pop() else { return };
            let is_present = self.table.get(&name).is_some_and(|member| member.update.state.is_present());
            if is_present && !self.is_probed(&name) {
                return self.probe(now, &name);
            }
            if self.probe_order.is_empty() {
                return;
            }
        }
    }

    /// Probes a member.
    pub(super) fn probe(&mut self, now: Time, name: &str) {
        let Some(member) = self.table.get(name) else { return };
        let (start, to) = (member.update.start, member.update.address);
        let receives_peer = member.reachability != Reachability::Indirect;
        let number = self.next_probe_number();
        let probe = Probe { name: name.to_owned(), start, sent_at: now, retried: false, refused: None };
        self.probes.insert(number, probe);
        self.send(to, MessageKind::Ping { number, receives_peer }, Some(name));
    }

    /// The number of the next probe.
    pub(super) fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Sends probes that were not answered in time again, and suspects members where that was in vain.
    pub(super) fn retry_or_expire_due_probes(&mut self, now: Time) {
        let interval = self.timing.probe_interval;
        let due = self.probes.iter().filter(|(_, probe)| probe.next_action_at(interval) <= now);
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.retry_or_expire_probe(now, number);
        }
    }

    fn retry_or_expire_probe(&mut self, now: Time, number: u32) {
        let Some(probe) = self.probes.get_mut(&number) else { return };
        let (name, start) = (probe.name.clone(), probe.start);
        let known = self.table.get(&name);
        let Some(member) = known.filter(|member| member.update.start == start) else {
            self.probes.remove(&number);
            return;
        };
        let address = member.update.address;
        let receives_peer = member.reachability != Reachability::Indirect;
        let connection_probe = Command::ProbeConnection { name: name.clone(), start, address };
        if probe.begin_connection_retry(now) {
            self.commands.push(connection_probe.clone());
            if probe.next_action_at(self.timing.probe_interval) > now {
                return;
            }
        }
        if std::mem::replace(&mut probe.retried, true) {
            self.probes.remove(&number);
            return self.suspect(now, &name);
        }
        self.send(address, MessageKind::Ping { number, receives_peer }, Some(&name));
        self.commands.push(connection_probe);
        for helper in self.pick_members(INDIRECT_PROBES, |update| update.name != name) {
            let request = MessageKind::PingRequest { number, target: name.clone() };
            self.send(helper.address, request, None);
        }
    }

    /// Suspects a member that answered neither this one nor a helper, unless this one is cut off itself.
    fn suspect(&mut self, now: Time, name: &str) {
        let Some(member) = self.table.get(name) else { return };
        if is_handing_over(now, member) || self.is_isolated(now) {
            return;
        }
        if matches!(member.update.state, MemberState::Alive | MemberState::HandingOver) {
            let update = member.update.with_state(MemberState::Suspect);
            self.apply(now, &update);
        }
    }

    /// A member has answered a probe: one of this member, or one sent on another's behalf.
    pub(super) fn on_ack(&mut self, now: Time, number: u32, from: &MemberUpdate) {
        if let Some(probe) = self.indirect_probes.remove(&number) {
            let ack = MessageKind::IndirectAck { number: probe.requester_number, update: from.clone() };
            return self.send(probe.requester, ack, None);
        }
        if self.probes.get(&number).is_some_and(|probe| probe.name == from.name) {
            self.probes.remove(&number);
        }
        self.update_reachability(&from.name, |reachability| match reachability {
            Reachability::Indirect => Reachability::Direct,
            other => other,
        });
        let state = self.table.get(&from.name).map(|member| member.update.state);
        // The member answers, and does not know yet that it is suspected: the next probe carries the suspicion to it.
        if state == Some(MemberState::Suspect) && !self.is_probed(&from.name) {
            self.probe(now, &from.name);
        }
    }

    /// Probes a member on behalf of another that gets no answer from it.
    pub(super) fn probe_on_behalf(
        &mut self,
        now: Time,
        requester: SocketAddr,
        requester_number: u32,
        target: &str,
    ) {
        let Some(member) = self.table.get(target) else { return };
        // Guards against unbounded work for others.
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let to = member.update.address;
        let receives_peer = member.reachability != Reachability::Indirect;
        let number = self.next_probe_number();
        let probe = IndirectProbe { requester, requester_number, sent_at: now };
        self.indirect_probes.insert(number, probe);
        self.send(to, MessageKind::Ping { number, receives_peer }, Some(target));
    }

    /// Handles the result of a connection probe. Two refusals while one probe stays unanswered prove that the process is
    /// gone.
    pub fn on_probe_result(&mut self, now: Time, name: &str, start: u64, result: ConnectionProbeResult) {
        let known = self.table.get(name);
        let Some(member) = known.filter(|member| member.update.start == start) else { return };
        if result != ConnectionProbeResult::Refused
            || is_handing_over(now, member)
            || !member.update.state.is_present()
        {
            return;
        }
        let death = member.update.with_state(MemberState::Dead);
        // Guards against a firewall that refuses in the member's place: the member has answered neither this one nor a
        // helper while the probe is open.
        let open_probe = self.probes.values_mut().find(|probe| probe.name == name && probe.start == start);
        let Some(probe) = open_probe else { return };
        if probe.refused.is_some() {
            self.apply(now, &death);
        } else {
            // Guards against a process that was about to listen again: it is refused twice, a moment apart.
            let retry_at = now.after(self.timing.probe_interval / CONNECTION_RETRY_DIVISOR);
            probe.refused = Some(RefusedConnection { retry_at, retried: false });
        }
    }
}

/// Whether a member hands over to another process, and is still waited for.
fn is_handing_over(now: Time, member: &KnownMember) -> bool {
    member.update.state == MemberState::HandingOver && now.since(member.state_since) < HANDOVER_TIMEOUT
}
