//! Failure detection by probes: chooses the next member to probe, retries unanswered probes directly and through
//! other members, and suspects members that do not answer.

use super::{INDIRECT_PROBES, Node};
use crate::membership::command::{Command, ConnectionProbeResult};
use crate::membership::table::{KnownMember, Reachability};
use crate::membership::update::{MemberState, MemberUpdate, MessageKind};
use crate::policy::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// A refused connection is retried after the probe interval divided by this number. Both refusals have to occur while
/// the same probe is open, which is for one interval at most.
const CONNECTION_RETRY_DIVISOR: u32 = 5;
/// The time in which a member that hands over to another process is neither suspected nor declared dead.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of open probes on other members' behalf.
const MAX_INDIRECT_PROBES: usize = 64;
/// An unanswered probe is retried, directly and through other members, after the probe interval divided by this
/// number.
const PROBE_RETRY_DIVISOR: u32 = 3;

/// A refused connection to a member with an open probe.
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
    /// Whether the probe was retried, directly and through other members.
    retried: bool,
    /// The first connection that the member's machine refused since the probe was sent.
    refused: Option<RefusedConnection>,
}

/// A probe sent on another member's behalf.
pub(super) struct IndirectProbe {
    /// The address of the member that requested the probe.
    requester: SocketAddr,
    /// The number that the requester gave the probe.
    requester_number: u32,
    /// The time at which the probe was sent.
    pub sent_at: Time,
}

impl Probe {
    /// The time at which the probe is next [retried or expires](Node::retry_or_expire_due_probes).
    pub fn next_action_at(&self, interval: Duration) -> Time {
        let timeout = if self.retried { interval } else { interval / PROBE_RETRY_DIVISOR };
        let due = self.sent_at.after(timeout);
        let connection_retry = self.refused.as_ref().filter(|refused| !refused.retried);
        connection_retry.map_or(due, |refused| due.min(refused.retry_at))
    }

    /// Whether a refused connection has to be retried now; marks it as retried, so that this returns true only once.
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
    /// Whether a probe of the member is open.
    pub(super) fn is_probed(&self, name: &str) -> bool {
        self.probes.values().any(|probe| probe.name == name)
    }

    /// Probes the next member of the round. Starts a new round, in a new random order, when the last one is complete.
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

    /// Sends a ping to a member and opens a probe for it.
    pub(super) fn probe(&mut self, now: Time, name: &str) {
        let Some(member) = self.table.get(name) else { return };
        let (start, to) = (member.update.start, member.update.address);
        let receives_peer = member.reachability != Reachability::Indirect;
        let number = self.next_probe_number();
        let probe = Probe { name: name.to_owned(), start, sent_at: now, retried: false, refused: None };
        self.probes.insert(number, probe);
        self.send(to, MessageKind::Ping { number, receives_peer }, Some(name));
    }

    /// Allocates the number of a new probe.
    pub(super) fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Retries the probes that were not answered in time, and suspects the members whose retried probes were not
    /// either.
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

    /// Suspects a member that answered neither directly nor through other members, unless this member is isolated or
    /// the suspect is handing over.
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

    /// Handles the answer to a probe: one of this member, or one sent on another member's behalf.
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
        // The member answers, but has not refuted its suspicion yet: another probe carries the suspicion to it.
        if state == Some(MemberState::Suspect) && !self.is_probed(&from.name) {
            self.probe(now, &from.name);
        }
    }

    /// Probes a member on behalf of another member that got no answer from it.
    pub(super) fn probe_on_behalf(
        &mut self,
        now: Time,
        requester: SocketAddr,
        requester_number: u32,
        target: &str,
    ) {
        let Some(member) = self.table.get(target) else { return };
        // Bounds the work on other members' behalf.
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

    /// Handles the result of a connection probe. Two refusals while the same probe is open mean that the process is
    /// dead.
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
        // A firewall may refuse connections to a running member. An open probe means that the member has answered
        // neither directly nor through another member.
        let open_probe = self.probes.values_mut().find(|probe| probe.name == name && probe.start == start);
        let Some(probe) = open_probe else { return };
        if probe.refused.is_some() {
            self.apply(now, &death);
        } else {
            // A restarting process may be about to listen again, so one refusal is not enough.
            let retry_at = now.after(self.timing.probe_interval / CONNECTION_RETRY_DIVISOR);
            probe.refused = Some(RefusedConnection { retry_at, retried: false });
        }
    }
}

/// Whether a member is handing over to another process and [`HANDOVER_TIMEOUT`] has not passed.
fn is_handing_over(now: Time, member: &KnownMember) -> bool {
    member.update.state == MemberState::HandingOver && now.since(member.state_since) < HANDOVER_TIMEOUT
}
