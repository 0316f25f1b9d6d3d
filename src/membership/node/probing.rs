//! Probes: which member is probed next, which again and through others, and what an answer or its absence says.

use super::{INDIRECT_PROBES, Node};
use crate::membership::command::{Command, ConnectionProbeResult};
use crate::membership::table::{KnownMember, Link};
use crate::membership::update::{MemberState, MemberUpdate, MessageKind};
use crate::policy::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Part of a period between two refused connections that prove an end: the question they come from is open for all of it.
const CONNECT_AGAIN: u32 = 5;
/// How long a member that moves to another process is waited for.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Probes that are sent for others at once.
const MAX_INDIRECT_PROBES: usize = 64;
/// Part of a period after which a member is probed again, through others too.
const PROBE_AGAIN: u32 = 3;

/// A probe that is not answered yet.
pub(super) struct Probe {
    /// Who is probed.
    pub name: String,
    start: u64,
    sent: Time,
    /// It was sent again, through others too.
    again: bool,
    /// Its machine has refused a connection since; when it is tried once more, and whether it has been.
    refused: Option<(Time, bool)>,
}

impl Probe {
    /// When it is next to be [followed up](Node::follow_up_due), in a protocol of this period.
    pub fn due(&self, period: Duration) -> Time {
        let due = self.sent.after(if self.again { period } else { period / PROBE_AGAIN });
        self.refused.filter(|(_, tried)| !tried).map_or(due, |(at, _)| due.min(at))
    }

    /// Whether a refused connection is to be tried once more now; it is said once.
    fn retries_connection(&mut self, now: Time) -> bool {
        match &mut self.refused {
            Some((at, tried)) if !*tried && *at <= now => {
                *tried = true;
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

    /// Probes the next member of the round; of a new one, in a random order, where that is through.
    pub(super) fn probe_next(&mut self, now: Time) {
        loop {
            if self.round.is_empty() {
                self.round = self.table.present().map(|seen| seen.update.name.clone()).collect();
                self.random.shuffle(&mut self.round);
                if self.round.is_empty() {
                    return;
                }
            }
            let Some(name) = self.round.pop() else { return };
            if !self.is_probed(&name) && self.table.get(&name).is_some_and(|seen| seen.update.state.present())
            {
                return self.probe(now, &name);
            }
            if self.round.is_empty() {
                return;
            }
        }
    }

    /// Probes a member.
    pub(super) fn probe(&mut self, now: Time, name: &str) {
        let Some(seen) = self.table.get(name) else { return };
        let (start, to, hears) = (seen.update.start, seen.update.address, seen.link != Link::Relayed);
        let number = self.next_probe_number();
        let probe = Probe { name: name.to_owned(), start, sent: now, again: false, refused: None };
        self.probes.insert(number, probe);
        self.send(to, MessageKind::Ping { number, hears }, Some(name));
    }

    /// The number of the next probe.
    pub(super) fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Probes again whom it did not hear, and concludes where that was in vain.
    pub(super) fn follow_up_due(&mut self, now: Time) {
        let period = self.timing.probe_interval;
        let due = self.probes.iter().filter(|(_, probe)| probe.due(period) <= now);
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.follow_up(now, number);
        }
    }

    fn follow_up(&mut self, now: Time, number: u32) {
        let Some(probe) = self.probes.get_mut(&number) else { return };
        let (name, start) = (probe.name.clone(), probe.start);
        let Some(seen) = self.table.get(&name).filter(|seen| seen.update.start == start) else {
            self.probes.remove(&number);
            return;
        };
        let (address, hears) = (seen.update.address, seen.link != Link::Relayed);
        if probe.retries_connection(now) {
            self.orders.push(Command::ProbeConnection { name: name.clone(), start, address });
            if probe.due(self.timing.probe_interval) > now {
                return;
            }
        }
        if std::mem::replace(&mut probe.again, true) {
            self.probes.remove(&number);
            return self.suspect(now, &name);
        }
        self.send(address, MessageKind::Ping { number, hears }, Some(&name));
        self.orders.push(Command::ProbeConnection { name: name.clone(), start, address });
        for helper in self.pick_members(INDIRECT_PROBES, |claim| claim.name != name) {
            self.send(helper.address, MessageKind::SearchRequest { number, target: name.clone() }, None);
        }
    }

    /// A member answered neither this one nor a helper.
    fn suspect(&mut self, now: Time, name: &str) {
        let Some(seen) = self.table.get(name) else { return };
        if is_handing_over(now, seen) || self.is_isolated(now) {
            return;
        }
        if matches!(seen.update.state, MemberState::Alive | MemberState::HandingOver) {
            let claim = seen.update.with_state(MemberState::Suspect);
            self.apply(now, &claim);
        }
    }

    /// A member has answered a probe, one of this member or one sent for another.
    pub(super) fn answered(&mut self, now: Time, number: u32, from: &MemberUpdate) {
        if let Some((to, number, _)) = self.indirect_probes.remove(&number) {
            return self.send(to, MessageKind::IndirectAck { number, update: from.clone() }, None);
        }
        if self.probes.get(&number).is_some_and(|probe| probe.name == from.name) {
            self.probes.remove(&number);
        }
        self.update_link(&from.name, |link| if link == Link::Relayed { Link::Direct } else { link });
        let known = self.table.get(&from.name).map(|seen| seen.update.state);
        // It answers, and does not know yet that it is suspected: it is to hear of it at once.
        if known == Some(MemberState::Suspect) && !self.is_probed(&from.name) {
            self.probe(now, &from.name);
        }
    }

    /// Probes a member for another that does not hear it.
    pub(super) fn probe_for(&mut self, now: Time, asker: SocketAddr, number: u32, target: &str) {
        let Some(seen) = self.table.get(target) else { return };
        // Guards against work without end for others.
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let (to, hears) = (seen.update.address, seen.link != Link::Relayed);
        let own = self.next_probe_number();
        self.indirect_probes.insert(own, (asker, number, now));
        self.send(to, MessageKind::Ping { number: own, hears }, Some(target));
    }

    /// How an attempt to connect ended. Two refusals within one question that stays open prove an end.
    pub fn on_probe_result(&mut self, now: Time, name: &str, start: u64, end: ConnectionProbeResult) {
        let Some(seen) = self.table.get(name).filter(|seen| seen.update.start == start) else { return };
        if end != ConnectionProbeResult::Refused || is_handing_over(now, seen) || !seen.update.state.present()
        {
            return;
        }
        let dead = seen.update.with_state(MemberState::Dead);
        // Guards against a firewall that refuses in its place: it has not answered meanwhile, itself or by a helper.
        let open = self.probes.values_mut().find(|probe| probe.name == name && probe.start == start);
        let Some(probe) = open else { return };
        match probe.refused {
            // Guards against one that was about to listen again: twice, a moment apart.
            None => probe.refused = Some((now.after(self.timing.probe_interval / CONNECT_AGAIN), false)),
            Some(_) => self.apply(now, &dead),
        }
    }
}

/// Whether a member moves to another process, and is waited for.
fn is_handing_over(now: Time, seen: &KnownMember) -> bool {
    seen.update.state == MemberState::HandingOver && now.since(seen.state_since) < HANDOVER_TIMEOUT
}
