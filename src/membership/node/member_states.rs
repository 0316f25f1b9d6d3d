//! Changes of the members' states: applies updates to the table, declares suspects failed when their deadlines pass,
//! and refutes updates about this member itself.

use super::{GOSSIP_FANOUT, Node};
use crate::membership::command::Command;
use crate::membership::table::{MemberChange, ObservedState, Reachability};
use crate::membership::update::{MemberState, MemberUpdate};
use crate::policy::Time;
use std::time::Duration;

/// The average number of members, over the fleet, that probe a new suspect at once, so that it learns of the
/// suspicion.
const URGENT_PROBES: f64 = 4.0;
/// The number of times that a member sends an update, for each doubling of the fleet.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// An update with a start further in the future than this is ignored: the member with that name could not supersede
/// it.
const MAX_START_AHEAD: Duration = Duration::from_secs(86_400);
/// The highest incarnation that is accepted; refutations, one increment each, do not reach it.
const MAX_INCARNATION: u32 = u32::MAX / 2;

impl Node {
    /// Applies an update to the table, queues it for gossip, and sets or clears the suspicion deadline.
    pub(super) fn apply(&mut self, now: Time, update: &MemberUpdate) {
        let before = self.table.get(&update.name).map(|member| (member.state(), member.update.start));
        if !self.table.apply(now, update) {
            return;
        }
        let Some(member) = self.table.get(&update.name) else { return };
        let (state, start) = (member.state(), member.update.start);
        let doublings = u32::BITS - (self.table.iter().count() as u32 + 1).leading_zeros();
        let tie_break = self.random.u64(..);
        self.gossip_queue.add(&update.name, TRANSMISSIONS_PER_DOUBLING * doublings, tie_break);
        if update.state == MemberState::Suspect {
            let deadline = now.after(self.timing.suspicion_timeout);
            self.suspect_deadlines.entry(update.name.clone()).or_insert(deadline);
            let probability = URGENT_PROBES / self.table.present().count().max(1) as f64;
            if !self.is_probed(&update.name) && self.random.f64() < probability {
                self.probe(now, &update.name);
            }
        } else {
            self.suspect_deadlines.remove(&update.name);
        }
        if before != Some((state, start)) {
            self.notify(&update.name, start, state);
        }
    }

    /// Changes a member's reachability, and notifies the host if the observed state changes with it.
    pub(super) fn update_reachability(
        &mut self,
        name: &str,
        change: impl FnOnce(Reachability) -> Reachability,
    ) {
        let Some(member) = self.table.get_mut(name) else { return };
        let before = member.state();
        member.reachability = change(member.reachability);
        let (state, start) = (member.state(), member.update.start);
        if state != before && state != ObservedState::Joining {
            self.notify(name, start, state);
        }
    }

    /// Emits a [`Command::Notify`] with a member's observed state.
    pub(super) fn notify(&mut self, name: &str, start: u64, state: ObservedState) {
        let name = name.to_owned();
        self.commands.push(Command::Notify(MemberChange { name, start, state }));
    }

    /// Declares the suspects failed whose deadlines have passed.
    pub(super) fn declare_dead(&mut self, now: Time) {
        let due: Vec<String> = self
            .suspect_deadlines
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        let isolated = self.is_isolated(now);
        for name in due {
            // An isolated member would otherwise declare the whole fleet failed.
            if isolated {
                self.suspect_deadlines.insert(name, now.after(self.timing.suspicion_timeout));
                continue;
            }
            self.suspect_deadlines.remove(&name);
            let suspect = self.table.get(&name).filter(|member| member.update.state == MemberState::Suspect);
            if let Some(update) = suspect.map(|member| member.update.with_state(MemberState::Failed)) {
                self.apply(now, &update);
            }
        }
    }

    /// Refutes an update about this member itself, unless it is stopping.
    pub(super) fn refute(&mut self, update: &MemberUpdate) {
        if self.own.state != MemberState::Alive || update.start < self.own.start {
            return;
        }
        // No valid incarnation supersedes an update of another process with the same name, a leave that this member
        // never announced, or an incarnation at the limit. A later start supersedes all of them.
        let is_final = update.state == MemberState::Left || update.incarnation >= MAX_INCARNATION;
        if update.start > self.own.start || is_final {
            (self.own.start, self.own.incarnation) = (update.start + 1, 0);
            self.commands.push(Command::NameReclaimed);
        } else if update.state != MemberState::Alive && update.incarnation >= self.own.incarnation {
            self.own.incarnation = update.incarnation + 1;
        } else {
            return;
        }
        // Every later message carries the refutation too; the broadcast spreads it at once.
        self.broadcast(GOSSIP_FANOUT);
    }

    /// Whether the member that an update is about could still refute it. A correct member sends no irrefutable
    /// update.
    pub(super) fn is_refutable(now: Time, update: &MemberUpdate) -> bool {
        update.start <= now.after(MAX_START_AHEAD).0 && update.incarnation <= MAX_INCARNATION
    }
}
