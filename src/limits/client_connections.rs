//! The clients' connections as plain values: how long each may stay as it is, and which one leaves first.
//!
//! A connection is *firm* while a query is open on it: it is then in no order and never chosen. All others are loose,
//! and stand in this order, the first to leave in front:
//!
//! 1. silent: it never sent a byte. Nothing of value can be lost with it.
//! 2. slow: its request is behind its pace. A request's bytes buy it time, so that dribbling does not.
//! 3. asked once: it had its answer and stays. Few who come back do so late, and one who does only asks again.
//! 4. marked: what it last sent was rubbish.
//! 5. idle: it has come back before. First the one that has been away the longest by its own habit.
//!
//! Those who came only a moment ago are passed over in 1 to 3, and where sources can be told apart, one that holds
//! more than its share gives before a well-behaved one of another does.

use super::resource_pressure::ResourcePressure;
use crate::policy::Time;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

/// Whom a connection belongs to, as far as that can be told: a hash of its address, or of what it says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(pub u64);

/// Why a connection is made to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EvictionReason {
    /// It never sent a byte.
    Silent,
    /// Its request does not come in time.
    Slow,
    /// It asked once, and stays.
    SingleRequest,
    /// It sent rubbish before.
    Penalised,
    /// It has not come back.
    Idle,
    /// Its source holds more than its share.
    OverQuota,
}

/// All reasons, in the order in which they are counted.
pub const EVICTION_REASONS: [EvictionReason; 6] = [
    EvictionReason::Silent,
    EvictionReason::Slow,
    EvictionReason::SingleRequest,
    EvictionReason::Penalised,
    EvictionReason::Idle,
    EvictionReason::OverQuota,
];

impl fmt::Display for EvictionReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            EvictionReason::Silent => "silent",
            EvictionReason::Slow => "slow",
            EvictionReason::SingleRequest => "asked_once",
            EvictionReason::Penalised => "marked",
            EvictionReason::Idle => "idle",
            EvictionReason::OverQuota => "over_share",
        })
    }
}

/// How a request ended, for the record of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestValidity {
    /// It was a request, whatever came of it.
    Valid,
    /// It was none, or none that anyone serves.
    Invalid,
}

/// Time limits of a loose connection where there is room, and where there is none.
struct Patience {
    calm: Duration,
    tight: Duration,
    /// For so long it is passed over when another's place is needed.
    grace: Duration,
}

const fn patience(calm: u64, tight: u64, grace: u64) -> Patience {
    let ms = Duration::from_millis;
    Patience { calm: ms(calm), tight: ms(tight), grace: ms(grace) }
}

/// In the order of [`Why`]. What calm clients get is what they always got. 2.5 s keeps the answer owed to a bad
/// client within 3 s. Tight limits are some times what a fair client needs on a busy machine: a request follows its
/// connection at once, and a kept connection of a busy client its last answer in well under 150 ms.
const PATIENCE: [Patience; 5] = [
    patience(2500, 200, 100),
    patience(2500, 300, 200),
    patience(10_000, 150, 100),
    patience(2000, 50, 0),
    patience(10_000, 1000, 0),
];
/// The longest that a request may take to come in, however well it gets on.
const LONGEST: Duration = Duration::from_millis(2500);
/// A request that gets on at so many bytes a second is not slow: one of 64 kB has a second more.
const PACE: f64 = 64_000.0;
/// An idle connection is expected back within so many times its usual gap, but no later than this.
const HABIT: u32 = 4;
const LONGEST_HABIT: Duration = Duration::from_secs(4);
/// Weight of the last gap in a connection's habit.
const LAST_GAP: u32 = 4;
/// Sources whose rubbish is remembered after they left, and for how long.
const MOST_REMEMBERED: usize = 1024;
const REMEMBERED: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Loose(EvictionReason),
    Firm,
    Leaving,
}

#[derive(Debug)]
struct Member {
    source: Source,
    state: State,
    /// When its state began.
    since: Time,
    /// Its place in the order: the moment that counts against it.
    key: Time,
    /// Bytes of the request that is coming in.
    bytes: usize,
    answers: u32,
    /// Usual time between an answer and the next request.
    gap: Duration,
    marked: bool,
}

/// Clients' connections by the order in which they would leave.
#[derive(Debug, Default)]
pub struct ClientConnections {
    members: HashMap<u64, Member>,
    order: BTreeSet<(EvictionReason, Time, u64)>,
    by_source: HashMap<Source, BTreeSet<(EvictionReason, Time, u64)>>,
    held: HashMap<Source, usize>,
    sizes: BTreeSet<(usize, Source)>,
    /// Sources that sent rubbish lately.
    marks: HashMap<Source, Time>,
    next: u64,
}

impl ClientConnections {
    /// Connections, firm and leaving ones among them.
    pub fn len(&self) -> usize {
        self.members.len()
    }
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
    /// Whether any could be made to leave.
    pub fn has_evictable(&self) -> bool {
        !self.order.is_empty()
    }
    /// Whether a query is open on this connection.
    pub fn is_busy(&self, id: u64) -> bool {
        self.members.get(&id).is_some_and(|member| member.state == State::Firm)
    }
    /// Whether it is held loosely and has not been told to leave.
    pub fn is_evictable(&self, id: u64) -> bool {
        self.members.get(&id).is_some_and(|member| matches!(member.state, State::Loose(_)))
    }
    /// What a source holds.
    pub fn open_from(&self, source: Source) -> usize {
        self.held.get(&source).copied().unwrap_or(0)
    }

    /// A connection has come.
    pub fn accept(&mut self, now: Time, source: Source) -> u64 {
        self.next += 1;
        let id = self.next;
        // Guards against those who send rubbish, are closed, and are back at once: they come in as they left.
        let marked = self.marks.get(&source).is_some_and(|at| now.since(*at) < REMEMBERED)
            && self.held.keys().any(|other| *other != source);
        let state = State::Loose(EvictionReason::Silent);
        let member =
            Member { source, state, since: now, key: now, bytes: 0, answers: 0, gap: Duration::ZERO, marked };
        self.count(source, true);
        self.members.insert(id, member);
        self.place(id, state, now, now);
        id
    }

    fn count(&mut self, source: Source, more: bool) {
        let held = self.held.entry(source).or_default();
        let before = *held;
        *held = if more { before + 1 } else { before - 1 };
        let after = *held;
        self.sizes.remove(&(before, source));
        if after > 0 {
            self.sizes.insert((after, source));
        } else {
            self.held.remove(&source);
        }
    }

    /// Moves a connection to another state.
    fn place(&mut self, id: u64, state: State, since: Time, key: Time) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let own = self.by_source.entry(member.source).or_default();
        if let State::Loose(why) = member.state {
            self.order.remove(&(why, member.key, id));
            own.remove(&(why, member.key, id));
        }
        (member.state, member.since, member.key) = (state, since, key);
        if let State::Loose(why) = state {
            self.order.insert((why, key, id));
            own.insert((why, key, id));
        }
        if own.is_empty() {
            self.by_source.remove(&member.source);
        }
    }

    /// Bytes have come on it, of a request that is not all there. One that was told to leave stays after all.
    pub fn receive_bytes(&mut self, now: Time, id: u64, bytes: usize) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let arriving = member.state == State::Loose(EvictionReason::Slow);
        if member.state == State::Firm {
            return;
        }
        if !arriving && member.answers > 0 {
            let gap = now.since(member.since);
            let before = if member.answers == 1 { gap } else { member.gap };
            member.gap = (before * (LAST_GAP - 1) + gap) / LAST_GAP;
        }
        member.bytes = if arriving { member.bytes + bytes } else { bytes };
        // The first request of a connection has the connection's own time: guards against bytes sent late and slowly.
        let begun = if arriving || member.answers == 0 { member.since } else { now };
        let bought = Duration::from_secs_f64(member.bytes as f64 / PACE);
        self.place(id, State::Loose(EvictionReason::Slow), begun, begun.after(bought));
    }

    /// Its request is all there: it is firm from now on.
    pub fn start_query(&mut self, now: Time, id: u64) {
        self.place(id, State::Firm, now, now);
    }

    /// It has had its answer.
    pub fn finish_query(&mut self, now: Time, id: u64, record: RequestValidity) {
        let Some(member) = self.members.get_mut(&id) else { return };
        (member.answers, member.bytes) = (member.answers.saturating_add(1), 0);
        member.marked = record == RequestValidity::Invalid;
        let (answers, source) = (member.answers, member.source);
        let habit = (member.gap * HABIT).min(LONGEST_HABIT);
        if record == RequestValidity::Invalid {
            self.mark(now, source);
            self.place(id, State::Loose(EvictionReason::Penalised), now, now);
        } else if answers == 1 {
            self.place(id, State::Loose(EvictionReason::SingleRequest), now, now);
        } else {
            self.place(id, State::Loose(EvictionReason::Idle), now, now.after(habit));
        }
    }

    /// What it sent was no request; it is answered and closed.
    pub fn reject_malformed(&mut self, now: Time, id: u64) {
        let Some(member) = self.members.get(&id) else { return };
        let source = member.source;
        self.mark(now, source);
        self.place(id, State::Leaving, now, now);
    }

    fn mark(&mut self, now: Time, source: Source) {
        if self.marks.len() >= MOST_REMEMBERED {
            self.marks.retain(|_, at| now.since(*at) < REMEMBERED);
        }
        // Guards against a crowd of addresses that would fill the memory with its marks.
        if self.marks.len() < MOST_REMEMBERED {
            self.marks.insert(source, now);
        }
    }

    /// It says who it is: it counts as that source from now on.
    pub fn set_source(&mut self, id: u64, source: Source) {
        let Some(member) = self.members.get(&id) else { return };
        let (before, state, since, key) = (member.source, member.state, member.since, member.key);
        if before == source {
            return;
        }
        self.place(id, State::Leaving, since, key);
        self.count(before, false);
        if let Some(member) = self.members.get_mut(&id) {
            member.source = source;
        }
        self.count(source, true);
        self.place(id, state, since, key);
    }

    /// It is closed.
    pub fn close(&mut self, id: u64) {
        let Some(member) = self.members.get(&id) else { return };
        let source = member.source;
        self.place(id, State::Leaving, member.since, member.key);
        self.members.remove(&id);
        self.count(source, false);
    }

    /// Until when it may stay as it is, where places are so scarce. Nothing is due on a firm one.
    fn due(&self, member: &Member, pressure: ResourcePressure) -> Option<Time> {
        let State::Loose(why) = member.state else { return None };
        let limit = |why: EvictionReason| {
            let Patience { calm, tight, .. } = PATIENCE[why as usize];
            pressure.limit(calm, tight)
        };
        Some(match why {
            EvictionReason::Slow => member.key.after(limit(why)).min(member.since.after(LONGEST)),
            // Its habit is kept where that is longer, up to what is left where there is room.
            EvictionReason::Idle => member.key.max(member.since.after(limit(why))),
            // One that is back after rubbish is let stay as briefly as one that has just sent some.
            EvictionReason::Silent if member.marked => {
                member.since.after(limit(EvictionReason::Penalised).min(limit(why)))
            }
            why => member.since.after(limit(why)),
        })
    }

    /// Tells those to leave whose time is up.
    pub fn evict_expired(&mut self, now: Time, pressure: ResourcePressure) -> Vec<(u64, EvictionReason)> {
        let over = |member: &Member| self.due(member, pressure).is_some_and(|due| due <= now);
        let late = self.order.iter().filter(|(_, _, id)| self.members.get(id).is_some_and(over));
        let late: Vec<(u64, EvictionReason)> = late.map(|(why, _, id)| (*id, *why)).collect();
        for (id, _) in &late {
            self.place(*id, State::Leaving, now, now);
        }
        late
    }

    /// When the next one's time is up.
    pub fn next_deadline(&self, pressure: ResourcePressure) -> Option<Time> {
        self.order.iter().filter_map(|(_, _, id)| self.due(self.members.get(id)?, pressure)).min()
    }

    /// Tells the one to leave that is of least worth, for another that needs its place.
    pub fn evict(&mut self, now: Time) -> Option<(u64, EvictionReason)> {
        let (id, why) = self.least_worth(now)?;
        self.place(id, State::Leaving, now, now);
        Some((id, why))
    }

    fn least_worth(&self, now: Time) -> Option<(u64, EvictionReason)> {
        for why in [
            EvictionReason::Silent,
            EvictionReason::Slow,
            EvictionReason::SingleRequest,
            EvictionReason::Penalised,
        ] {
            let first = self.order.range((why, Time(0), 0)..).next().filter(|first| first.0 == why);
            if let Some((_, key, id)) = first
                && now.since(*key) >= PATIENCE[why as usize].grace
            {
                return Some((*id, why));
            }
        }
        // All others behave. Guards those of small sources against one that opens more and more.
        if let Some((most, source)) = self.sizes.last()
            && most * self.held.len() > self.members.len()
            && let Some((_, _, id)) = self.by_source.get(source).and_then(BTreeSet::first)
        {
            return Some((*id, EvictionReason::OverQuota));
        }
        // Guards those who come back against a flood so fast that all of it is new: the newcomers go first, for one with
        // a request to send has sent it by the time that it is looked at. Who stays away too long is swept out anyway.
        self.order.first().map(|(why, _, id)| (*id, *why))
    }
}
