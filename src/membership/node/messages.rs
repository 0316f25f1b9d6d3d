//! Sending and receiving of messages: chooses the updates that a message carries, and applies received updates.

use super::Node;
use crate::membership::command::Command;
use crate::membership::table::Reachability;
use crate::membership::update::{MAX_UPDATES_BYTES, MemberState, MemberUpdate, Message, MessageKind};
use crate::policy::Time;
use std::net::SocketAddr;

/// The source of a received update.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateSource {
    /// A message of a member that was present or unknown before.
    Gossip,
    /// A whole table, or a message of a member that had failed, died or left until now: the sender may have been on
    /// the other side of a partition.
    PossiblyPartitioned,
}

impl Node {
    /// Sends a message with as many queued updates as fit. If `peer` names the receiver, the message also carries the
    /// update about the receiver unless it is alive, so that the receiver can refute it.
    pub(super) fn send(&mut self, to: SocketAddr, kind: MessageKind, peer: Option<&str>) {
        let mut message = Message { from: self.own.clone(), kind, updates: Vec::new() };
        let receiver = peer.and_then(|name| self.table.get(name));
        if let Some(member) = receiver.filter(|member| member.update.state != MemberState::Alive) {
            message.updates.push(member.update.clone());
        }
        let mut available_bytes = MAX_UPDATES_BYTES.saturating_sub(message.max_encoded_bytes());
        let table = &self.table;
        self.gossip_queue.transmit_while(|name| {
            // A member that was removed from the table since it was queued has no update and takes no space.
            let Some(member) = table.get(name) else { return true };
            let update = &member.update;
            let Some(rest) = available_bytes.checked_sub(update.max_encoded_bytes()) else {
                return false;
            };
            available_bytes = rest;
            if peer != Some(name) {
                message.updates.push(update.clone());
            }
            true
        });
        self.commands.push(Command::Send { to, message });
    }

    /// Builds the message with the whole table, for an exchange.
    #[must_use]
    pub fn table_message(&self) -> Message {
        let updates = self.table.iter().map(|member| member.update.clone()).collect();
        Message { from: self.own.clone(), kind: MessageKind::Table, updates }
    }

    /// Handles a message of another member. Messages with an irrefutable sender update are ignored.
    pub fn receive(&mut self, now: Time, message: Message) {
        let Message { from, kind, updates } = message;
        if !Node::is_refutable(now, &from) {
            return;
        }
        if from.name == self.own.name {
            return self.refute(&from);
        }
        let known = self.table.get(&from.name);
        if let Some(member) = known.filter(|member| member.update.start > from.start) {
            // The message is from an earlier process of this name, perhaps delayed, or the clock of the sender's
            // machine was set back. In the latter case the sender learns from the reply which start it has to exceed.
            let updates = vec![member.update.clone()];
            let message = Message { from: self.own.clone(), kind: MessageKind::Gossip, updates };
            self.commands.push(Command::Send { to: from.address, message });
            return;
        }
        self.last_message_at = self.last_message_at.max(now);
        let was_gone = known.is_some_and(|member| !member.update.state.is_present());
        let source = if was_gone { UpdateSource::PossiblyPartitioned } else { UpdateSource::Gossip };
        self.apply(now, &from);
        self.record_message_from(now, &from);
        for update in &updates {
            self.receive_update(now, update, source);
        }
        self.handle_message_kind(now, kind, &from);
    }

    /// Handles the message kind: answers a request, or processes an answer.
    fn handle_message_kind(&mut self, now: Time, kind: MessageKind, from: &MemberUpdate) {
        match kind {
            MessageKind::Ping { number, receives_peer } => {
                self.update_reachability(&from.name, |reachability| match (reachability, receives_peer) {
                    (Reachability::Indirect, _) => Reachability::Indirect,
                    (_, false) => Reachability::InboundOnly,
                    (_, true) => Reachability::Direct,
                });
                self.send(from.address, MessageKind::Ack { number }, Some(&from.name));
            }
            MessageKind::Ack { number } => self.on_ack(now, number, from),
            MessageKind::PingRequest { number, target } => {
                self.probe_on_behalf(now, from.address, number, &target);
            }
            MessageKind::IndirectAck { number, update } => self.on_indirect_ack(now, number, &update),
            MessageKind::Gossip | MessageKind::Table => {}
        }
    }

    /// Handles the answer to an indirect probe: the probed member runs, but is reached through other members only.
    fn on_indirect_ack(&mut self, now: Time, number: u32, update: &MemberUpdate) {
        let requested = self.probes.get(&number).is_some_and(|probe| probe.name == update.name);
        if requested && update.name != self.own.name {
            self.probes.remove(&number);
            self.receive_update(now, update, UpdateSource::Gossip);
            self.update_reachability(&update.name, |_| Reachability::Indirect);
        }
    }

    /// Records the time of a message that the member itself sent.
    fn record_message_from(&mut self, now: Time, from: &MemberUpdate) {
        let Some(member) = self.table.get_mut(&from.name) else { return };
        let before = member.state();
        member.last_message_at = Some(now);
        let (start, state) = (member.update.start, member.state());
        if state != before {
            self.notify(&from.name, start, state);
        }
    }

    /// Handles the table of another member, received over a connection.
    pub fn receive_table(&mut self, now: Time, message: Message) {
        let Message { from, updates, .. } = message;
        self.receive(now, Message { from, kind: MessageKind::Table, updates: Vec::new() });
        for update in &updates {
            self.receive_update(now, update, UpdateSource::PossiblyPartitioned);
        }
    }

    /// Applies a received update. A death reported by a possibly partitioned sender is applied as a suspicion only;
    /// otherwise the two sides of a partition would declare each other's members dead again when they merge.
    fn receive_update(&mut self, now: Time, update: &MemberUpdate, source: UpdateSource) {
        if !Node::is_refutable(now, update) {
            return;
        }
        if update.name == self.own.name {
            return self.refute(update);
        }
        let is_death = matches!(update.state, MemberState::Failed | MemberState::Dead);
        let was_unknown = self.table.get(&update.name).is_none();
        let possibly_partitioned = source == UpdateSource::PossiblyPartitioned;
        if possibly_partitioned && is_death {
            self.apply(now, &update.with_state(MemberState::Suspect));
        } else {
            self.apply(now, update);
        }
        // The sender of a whole table sends it to others too. Without this, each member of a fleet that starts at
        // once would gossip the whole table.
        if possibly_partitioned && was_unknown {
            self.gossip_queue.remove(&update.name);
        }
    }
}
