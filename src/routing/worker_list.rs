//! The servers that discovery lists, and which of them operators have disabled, whatever it says. It turns news of either
//! into orders for the transport and entries for the module.

use super::contracts::Contracts;
use super::in_flight::InFlight;
use super::order::Order;
use super::roster::{Listing, Member, Roster};
use crate::api::*;
use crate::service::Bans;
use std::collections::{HashMap, HashSet};

/// Servers that may be remembered after they have gone: far more than a day replaces.
pub(super) const MOST_NAMES: usize = 4096;

/// The list as discovery tells it, and who is out by hand.
#[derive(Default)]
pub(super) struct WorkerList {
    /// The ids of all that were ever listed.
    pub roster: Roster,
    /// Who is out by hand.
    pub bans: Bans,
    listed: HashMap<LeafId, Member>,
}

impl WorkerList {
    /// Servers in the list.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether the list names this server.
    pub fn contains(&self, leaf: LeafId) -> bool {
        self.listed.contains_key(&leaf)
    }

    /// A listed server.
    pub fn get(&self, leaf: LeafId) -> Option<&Member> {
        self.listed.get(&leaf)
    }

    /// Whether a listed server is out by hand.
    pub fn is_out(&self, leaf: LeafId) -> bool {
        self.listed.get(&leaf).is_some_and(|member| self.bans.is_out(&member.name))
    }

    /// Listed servers that are out by hand.
    pub fn count_out(&self) -> usize {
        self.listed.values().filter(|member| self.bans.is_out(&member.name)).count()
    }

    /// The whole list, by name.
    pub fn listing(&self) -> Listing {
        let mut members: Vec<Member> = self.listed.values().cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Listing { revision: 0, complete: true, members }
    }

    /// Takes news of discovery: an entry for each member that it names, and what the transport is to do.
    pub fn take(&mut self, contracts: &Contracts, listing: &Listing) -> (Vec<Entry>, Vec<Order>) {
        let mut entries = Vec::new();
        let mut orders = Vec::new();
        let mut named = HashSet::new();
        for member in &listing.members {
            let leaf = self.roster.id(&member.name);
            named.insert(leaf);
            let entry = self.entry(contracts, leaf, member);
            if member.status == Status::Gone {
                self.listed.remove(&leaf);
                orders.push(Order::Gone { leaf });
            } else {
                self.listed.insert(leaf, member.clone());
                orders.push(WorkerList::order(&entry, member));
            }
            entries.push(entry);
        }
        if listing.complete {
            let gone = self.listed.extract_if(|leaf, _| !named.contains(leaf));
            orders.extend(gone.map(|(leaf, _)| Order::Gone { leaf }));
        }
        (entries, orders)
    }

    /// An entry as the module is told of it.
    pub fn entry(&self, contracts: &Contracts, leaf: LeafId, member: &Member) -> Entry {
        Entry {
            leaf,
            zone: contracts.zone(&member.zone),
            cell: CellId(member.cell),
            status: self.bans.status(&member.name, member.status),
            units: member.units,
            since: self.bans.since(&member.name, member.since),
        }
    }

    /// What the transport is told of a listed server.
    pub fn order(entry: &Entry, member: &Member) -> Order {
        Order::Member {
            leaf: entry.leaf,
            name: member.name.clone(),
            address: member.address.clone(),
            open: entry.status == Status::Active,
        }
    }

    /// Forgets the names of servers that are no longer listed and have no attempt out, once there are too many.
    pub fn forget_gone(&mut self, in_flight: &InFlight) {
        let known: Vec<LeafId> = self.roster.all().collect();
        if known.len() <= MOST_NAMES {
            return;
        }
        let busy = in_flight.servers();
        let idle = |leaf: &LeafId| !self.listed.contains_key(leaf) && !busy.contains(leaf);
        self.roster.forget(known.into_iter().filter(idle));
        self.bans.forget(|name| self.roster.known(name).is_some());
    }
}
