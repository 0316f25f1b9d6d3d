//! Messages: what goes out with each, and what is taken from those that come in.

use super::Node;
use crate::membership::command::Command;
use crate::membership::table::Link;
use crate::membership::update::{MAX_UPDATES_BYTES, MemberState, MemberUpdate, Message, MessageKind};
use crate::policy::Time;
use std::net::SocketAddr;

impl Node {
    /// Sends with as much news as fits; `about` is whom it goes to, who is to hear what is said of itself.
    pub(super) fn send(&mut self, to: SocketAddr, kind: MessageKind, about: Option<&str>) {
        let mut message = Message { from: self.own.clone(), kind, updates: Vec::new() };
        let own = about.and_then(|name| self.table.get(name));
        if let Some(seen) = own.filter(|seen| seen.update.state != MemberState::Alive) {
            message.updates.push(seen.update.clone());
        }
        let mut room = MAX_UPDATES_BYTES.saturating_sub(message.max_encoded_bytes());
        let table = &self.table;
        self.gossip_queue.pass_on(|name| {
            // Who is forgotten is no news any more, and takes no room.
            let Some(seen) = table.get(name) else { return true };
            let Some(rest) = room.checked_sub(seen.update.max_encoded_bytes()) else { return false };
            room = rest;
            if about != Some(name) {
                message.updates.push(seen.update.clone());
            }
            true
        });
        self.orders.push(Command::Send { to, message });
    }

    /// The whole table, for an exchange.
    pub fn table_message(&self) -> Message {
        let claims = self.table.iter().map(|seen| seen.update.clone()).collect();
        Message { from: self.own.clone(), kind: MessageKind::Table, updates: claims }
    }

    /// Takes a message of another member.
    pub fn receive(&mut self, now: Time, message: Message) {
        let Message { from, kind, updates: claims } = message;
        if !Node::answerable(now, &from) {
            return;
        }
        if from.name == self.own.name {
            return self.refute(&from);
        }
        if let Some(seen) = self.table.get(&from.name).filter(|seen| seen.update.start > from.start) {
            // An older process, or a datagram of it that was kept; or one whose clock was set back, which then hears of
            // its later start and goes beyond it.
            let claim = seen.update.clone();
            let message = Message { from: self.own.clone(), kind: MessageKind::Gossip, updates: vec![claim] };
            self.orders.push(Command::Send { to: from.address, message });
            return;
        }
        self.last_heard = self.last_heard.max(now);
        // One who was lost here until now tells what another half believed.
        let lost = self.table.get(&from.name).is_some_and(|seen| !seen.update.state.present());
        self.apply(now, &from);
        self.mark_heard(now, &from);
        for claim in &claims {
            self.learn(now, claim, lost);
        }
        self.respond(now, kind, &from);
    }

    /// Answers a message of a member, or takes it as an answer.
    fn respond(&mut self, now: Time, kind: MessageKind, from: &MemberUpdate) {
        match kind {
            MessageKind::Ping { number, hears } => {
                self.update_link(&from.name, |link| match (link, hears) {
                    (Link::Relayed, _) => Link::Relayed,
                    (_, false) => Link::Deaf,
                    (_, true) => Link::Direct,
                });
                self.send(from.address, MessageKind::Ack { number }, Some(&from.name));
            }
            MessageKind::Ack { number } => self.answered(now, number, from),
            MessageKind::SearchRequest { number, target } => {
                self.probe_for(now, from.address, number, &target)
            }
            MessageKind::IndirectAck { number, update: claim } => self.relayed(now, number, &claim),
            MessageKind::Gossip | MessageKind::Table => {}
        }
    }

    /// A member that this one does not hear has answered another one.
    fn relayed(&mut self, now: Time, number: u32, claim: &MemberUpdate) {
        let asked = self.probes.get(&number).is_some_and(|probe| probe.name == claim.name);
        if asked && claim.name != self.own.name {
            self.probes.remove(&number);
            self.learn(now, claim, false);
            self.update_link(&claim.name, |_| Link::Relayed);
        }
    }

    /// A member was heard itself.
    fn mark_heard(&mut self, now: Time, from: &MemberUpdate) {
        let Some(seen) = self.table.get_mut(&from.name) else { return };
        let before = seen.state();
        seen.last_message_at = Some(now);
        let (start, state) = (seen.update.start, seen.state());
        if state != before {
            self.report(&from.name, start, state);
        }
    }

    /// Takes the table of another member, as it came over a connection.
    pub fn receive_table(&mut self, now: Time, message: Message) {
        let Message { from, updates: claims, .. } = message;
        self.receive(now, Message { from, kind: MessageKind::Table, updates: Vec::new() });
        for claim in &claims {
            self.learn(now, claim, true);
        }
    }

    /// Takes a claim; one of a whole table only says what another half believed.
    fn learn(&mut self, now: Time, claim: &MemberUpdate, whole: bool) {
        if !Node::answerable(now, claim) {
            return;
        }
        if claim.name == self.own.name {
            return self.refute(claim);
        }
        let believed = matches!(claim.state, MemberState::Failed | MemberState::Dead);
        let unknown = self.table.get(&claim.name).is_none();
        match whole && believed {
            true => self.apply(now, &claim.with_state(MemberState::Suspect)),
            false => self.apply(now, claim),
        }
        // Whoever told a whole table has told others of it too: guards against a fleet that starts at once, each member
        // of which would pass the whole of it on.
        if whole && unknown {
            self.gossip_queue.drop(&claim.name);
        }
    }
}
