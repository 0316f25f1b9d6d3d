//! What is believed of members: the one place where that changes, the end of suspicions, and this member's answer to what
//! is said of itself.

use super::{GOSSIP_FANOUT, Node};
use crate::membership::command::Command;
use crate::membership::table::{Link, MemberChange, ObservedState};
use crate::membership::update::{MemberState, MemberUpdate, MessageKind};
use crate::policy::Time;
use std::time::Duration;

/// Members who on average ask a newly suspected one at once, so that it hears of it.
const URGENT_PROBES: f64 = 4.0;
/// Times that news is passed on, for each doubling of the fleet.
const GOSSIP_REPEATS: u32 = 3;
/// A start further in the future is no start: nobody could take the name back from it.
const MAX_START_AHEAD: Duration = Duration::from_secs(86_400);
/// An incarnation that no member comes to.
const MAX_INCARNATION: u32 = u32::MAX / 2;

impl Node {
    /// The one place where what is known of a member changes.
    pub(super) fn apply(&mut self, now: Time, claim: &MemberUpdate) {
        let before = self.table.get(&claim.name).map(|seen| (seen.state(), seen.update.start));
        if !self.table.take(now, claim) {
            return;
        }
        let Some(seen) = self.table.get(&claim.name) else { return };
        let (state, start) = (seen.state(), seen.update.start);
        let doublings = u32::BITS - (self.table.iter().count() as u32 + 1).leading_zeros();
        let tie_break = self.random.u64(..);
        self.gossip_queue.add(&claim.name, GOSSIP_REPEATS * doublings, tie_break);
        if claim.state == MemberState::Suspect {
            self.suspect_deadlines
                .entry(claim.name.clone())
                .or_insert(now.after(self.timing.suspicion_timeout));
            let chance = URGENT_PROBES / self.table.present().count().max(1) as f64;
            if !self.is_probed(&claim.name) && self.random.f64() < chance {
                self.probe(now, &claim.name);
            }
        } else {
            self.suspect_deadlines.remove(&claim.name);
        }
        if before != Some((state, start)) {
            self.report(&claim.name, start, state);
        }
    }

    /// Books how a member is reached.
    pub(super) fn update_link(&mut self, name: &str, change: impl FnOnce(Link) -> Link) {
        let Some(seen) = self.table.get_mut(name) else { return };
        let before = seen.state();
        seen.link = change(seen.link);
        let (state, start) = (seen.state(), seen.update.start);
        if state != before && state != ObservedState::Joining {
            self.report(name, start, state);
        }
    }

    /// Has people and records told of a member's state.
    pub(super) fn report(&mut self, name: &str, start: u64, state: ObservedState) {
        let name = name.to_owned();
        self.orders.push(Command::Notify(MemberChange { name, start, state }));
    }

    /// Takes suspects that have not answered in time for dead.
    pub(super) fn declare_dead(&mut self, now: Time) {
        let due: Vec<String> = self
            .suspect_deadlines
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        let alone = self.is_isolated(now);
        for name in due {
            // Guards against declaring the fleet dead from behind one's own partition.
            if alone {
                self.suspect_deadlines.insert(name, now.after(self.timing.suspicion_timeout));
                continue;
            }
            self.suspect_deadlines.remove(&name);
            let suspect = self.table.get(&name).filter(|seen| seen.update.state == MemberState::Suspect);
            if let Some(claim) = suspect.map(|seen| seen.update.with_state(MemberState::Failed)) {
                self.apply(now, &claim);
            }
        }
    }

    /// What is said of this one: it is there, whatever that says.
    pub(super) fn refute(&mut self, claim: &MemberUpdate) {
        let ends = !self.own.state.present() || self.own.state == MemberState::HandingOver;
        if ends || claim.start < self.own.start {
            return;
        }
        // What no incarnation answers is answered by a later start: another's use of the name, a farewell that this one
        // never said, an incarnation that nobody comes to.
        let beyond = claim.state == MemberState::Left || claim.incarnation >= MAX_INCARNATION;
        if claim.start > self.own.start || beyond {
            (self.own.start, self.own.incarnation) = (claim.start + 1, 0);
            self.orders.push(Command::NameReclaimed);
        } else if claim.state != MemberState::Alive && claim.incarnation >= self.own.incarnation {
            self.own.incarnation = claim.incarnation + 1;
        } else {
            return;
        }
        // It spreads with each message that it sends; these go out now.
        for to in self.pick_members(GOSSIP_FANOUT, |_| true) {
            self.send(to.address, MessageKind::Gossip, None);
        }
    }

    /// Whether a claim is one that its member could answer; others come from nobody who means well.
    pub(super) fn answerable(now: Time, claim: &MemberUpdate) -> bool {
        claim.start <= now.after(MAX_START_AHEAD).0 && claim.incarnation <= MAX_INCARNATION
    }
}
