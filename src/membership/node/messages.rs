//! Messages: what goes out with each, and what is taken from those that come in.

use super::Node;
use crate::membership::claim::{Claim, Kind, Message, ROOM, Standing};
use crate::membership::order::Order;
use crate::membership::table::Link;
use crate::policy::Time;
use std::net::SocketAddr;

impl Node {
    /// Sends with as much news as fits; `about` is whom it goes to, who is to hear what is said of itself.
    pub(super) fn send(&mut self, to: SocketAddr, kind: Kind, about: Option<&str>) {
        let mut message = Message { from: self.own.clone(), kind, claims: Vec::new() };
        let own = about.and_then(|name| self.table.get(name));
        if let Some(seen) = own.filter(|seen| seen.claim.standing != Standing::Alive) {
            message.claims.push(seen.claim.clone());
        }
        let mut room = ROOM.saturating_sub(message.size());
        let table = &self.table;
        self.gossip_queue.pass_on(|name| {
            // Who is forgotten is no news any more, and takes no room.
            let Some(seen) = table.get(name) else { return true };
            let Some(rest) = room.checked_sub(seen.claim.size()) else { return false };
            room = rest;
            if about != Some(name) {
                message.claims.push(seen.claim.clone());
            }
            true
        });
        self.orders.push(Order::Send { to, message });
    }

    /// The whole table, for an exchange.
    pub fn table_message(&self) -> Message {
        let claims = self.table.iter().map(|seen| seen.claim.clone()).collect();
        Message { from: self.own.clone(), kind: Kind::Table, claims }
    }

    /// Takes a message of another member.
    pub fn hear(&mut self, now: Time, message: Message) {
        let Message { from, kind, claims } = message;
        if !Node::answerable(now, &from) {
            return;
        }
        if from.name == self.own.name {
            return self.refute(&from);
        }
        if let Some(seen) = self.table.get(&from.name).filter(|seen| seen.claim.start > from.start) {
            // An older process, or a datagram of it that was kept; or one whose clock was set back, which then hears of
            // its later start and goes beyond it.
            let claim = seen.claim.clone();
            let message = Message { from: self.own.clone(), kind: Kind::Gossip, claims: vec![claim] };
            self.orders.push(Order::Send { to: from.address, message });
            return;
        }
        self.last_heard = self.last_heard.max(now);
        // One who was lost here until now tells what another half believed.
        let lost = self.table.get(&from.name).is_some_and(|seen| !seen.claim.standing.present());
        self.apply(now, &from);
        self.mark_heard(now, &from);
        for claim in &claims {
            self.learn(now, claim, lost);
        }
        self.respond(now, kind, &from);
    }

    /// Answers a message of a member, or takes it as an answer.
    fn respond(&mut self, now: Time, kind: Kind, from: &Claim) {
        match kind {
            Kind::Ping { number, hears } => {
                self.update_link(&from.name, |link| match (link, hears) {
                    (Link::Relayed, _) => Link::Relayed,
                    (_, false) => Link::Deaf,
                    (_, true) => Link::Direct,
                });
                self.send(from.address, Kind::Ack { number }, Some(&from.name));
            }
            Kind::Ack { number } => self.answered(now, number, from),
            Kind::SearchRequest { number, target } => self.probe_for(now, from.address, number, &target),
            Kind::Relayed { number, claim } => self.relayed(now, number, &claim),
            Kind::Gossip | Kind::Table => {}
        }
    }

    /// A member that this one does not hear has answered another one.
    fn relayed(&mut self, now: Time, number: u32, claim: &Claim) {
        let asked = self.probes.get(&number).is_some_and(|probe| probe.name == claim.name);
        if asked && claim.name != self.own.name {
            self.probes.remove(&number);
            self.learn(now, claim, false);
            self.update_link(&claim.name, |_| Link::Relayed);
        }
    }

    /// A member was heard itself.
    fn mark_heard(&mut self, now: Time, from: &Claim) {
        let Some(seen) = self.table.get_mut(&from.name) else { return };
        let before = seen.state();
        seen.heard = Some(now);
        let (start, state) = (seen.claim.start, seen.state());
        if state != before {
            self.report(&from.name, start, state);
        }
    }

    /// Takes the table of another member, as it came over a connection.
    pub fn exchanged(&mut self, now: Time, message: Message) {
        let Message { from, claims, .. } = message;
        self.hear(now, Message { from, kind: Kind::Table, claims: Vec::new() });
        for claim in &claims {
            self.learn(now, claim, true);
        }
    }

    /// Takes a claim; one of a whole table only says what another half believed.
    fn learn(&mut self, now: Time, claim: &Claim, whole: bool) {
        if !Node::answerable(now, claim) {
            return;
        }
        if claim.name == self.own.name {
            return self.refute(claim);
        }
        let believed = matches!(claim.standing, Standing::Silent | Standing::Dead);
        let unknown = self.table.get(&claim.name).is_none();
        match whole && believed {
            true => self.apply(now, &claim.as_is(Standing::Suspect)),
            false => self.apply(now, claim),
        }
        // Whoever told a whole table has told others of it too: guards against a fleet that starts at once, each member
        // of which would pass the whole of it on.
        if whole && unknown {
            self.gossip_queue.drop(&claim.name);
        }
    }
}
