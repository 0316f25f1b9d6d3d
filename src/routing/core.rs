//! The life of queries without any input or output: events go in, orders come out, time is handed in.

use super::contracts::Contracts;
use super::counters::{Counters, Ends};
use super::roster::{Listing, Member, Roster};
use crate::Aggregator;
use crate::api::*;
use crate::records::figures::{self, Figures, Seen};
use crate::records::line::{Body, WorkerState};
use crate::rules::Learned;
use crate::service::Bans;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Servers that may be remembered after they have gone: far more than a day replaces.
const MOST_NAMES: usize = 4096;

/// A query as a front offers it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Names the query to the servers.
    pub label: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Who asks.
    pub tenant: Option<TenantId>,
    /// How long its client will wait.
    pub left: Duration,
    /// A client's repeat, where it says so.
    pub retry: bool,
    /// What each part carries.
    pub text: Bytes,
    /// Its parts, one a shard.
    pub parts: Vec<AskPart>,
}

/// A part of an [`Ask`].
#[derive(Clone, Debug)]
pub struct AskPart {
    /// The shard that it needs.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Rough expected work.
    pub hint: Option<Duration>,
    /// What it is about.
    pub key: Option<Arc<str>>,
}

/// Names one attempt of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The part.
    pub part: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
}

/// An attempt for a transport to carry.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Comes back with its end.
    pub ticket: Ticket,
    /// The query's label.
    pub label: Arc<str>,
    /// The shard.
    pub shard: ShardId,
    /// What it carries.
    pub text: Bytes,
    /// How long it will be waited for.
    pub timeout: Duration,
    /// It may not run a second time: what spoils the answers of others is not to spoil its own.
    pub once: bool,
    /// For so long the last byte of its frame may be written; `None` where any time will do. It is a further attempt of
    /// a part whose repeats are dropped only for a while after the first that may have run.
    pub window: Option<Duration>,
}

/// How an attempt ended, as a transport reports it.
#[derive(Clone, Debug)]
pub struct End {
    /// The outcome.
    pub outcome: Outcome,
    /// The value, with [`Outcome::Done`].
    pub value: Bytes,
    /// The server's load, in the order of the settings' fields.
    pub report: Option<Report>,
}

impl End {
    /// An end that brings nothing but its outcome.
    pub fn bare(outcome: Outcome) -> End {
        End { outcome, value: Bytes::new(), report: None }
    }
}

/// Why a query is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The module does not expect it to be served in time.
    Declined,
    /// The broker holds as many queries and parts as it may.
    Full,
    /// The broker is stopping.
    Stopping,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Served.
    Answered {
        /// It is marked whole.
        whole: bool,
        /// The value of each part that is in.
        values: Vec<(ShardId, Bytes)>,
    },
    /// Refused: a retry is harmless.
    Refused {
        /// Why.
        why: Refusal,
        /// When to come back.
        pause: Option<Duration>,
    },
    /// Failed, with no promise.
    Failed,
}

/// What the core asks of its host.
#[derive(Clone, Debug)]
pub enum Order {
    /// A server is listed at this address; `open` is whether it may be sent anything new.
    Member {
        /// The server.
        leaf: LeafId,
        /// Its name.
        name: String,
        /// Its address.
        address: String,
        /// It takes work.
        open: bool,
    },
    /// A server is no longer listed.
    Gone {
        /// The server.
        leaf: LeafId,
    },
    /// Carry these attempts as one call.
    Call {
        /// To this server.
        leaf: LeafId,
        /// The attempts.
        parts: Vec<Dispatch>,
    },
    /// Wait no longer for this attempt; its end is already booked.
    Abandon {
        /// At this server.
        leaf: LeafId,
        /// The attempt.
        ticket: Ticket,
    },
    /// Nobody waits for what this attempt brings, but it may not be called off: do not send it, if nothing of it is sent
    /// yet. Its end is told as ever.
    Withdraw {
        /// From this server.
        leaf: LeafId,
        /// The attempt.
        ticket: Ticket,
    },
    /// Give a query its final answer.
    Settle {
        /// The query.
        query: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Write a line for the people on call.
    Trace(String),
}

struct Held {
    label: Arc<str>,
    text: Bytes,
    once: bool,
    valid_until: Time,
    parts: Vec<RequestId>,
    seen: Seen,
    taken: Time,
}

struct HeldPart {
    query: RequestId,
    shard: ShardId,
    attempts: u32,
    /// When those of its attempts were sent that may have run, or may yet.
    risks: BTreeMap<AttemptNo, Time>,
    value: Option<Bytes>,
}

struct Flight {
    leaf: LeafId,
    sent: Time,
    deadline: Time,
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => figures::DONE,
        Outcome::Error => "error",
        Outcome::Busy => "busy",
        Outcome::TimedOut => "timed_out",
        Outcome::Refused => "refused",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Skipped => "skipped",
    }
}

/// One broker's state.
pub struct Core {
    contracts: Contracts,
    module: Aggregator,
    inbox: Vec<Event>,
    orders: Vec<Order>,
    timers: BTreeMap<(Time, u64), Handle>,
    queries: HashMap<RequestId, Held>,
    parts: HashMap<RequestId, HeldPart>,
    flights: BTreeMap<Ticket, Flight>,
    roster: Roster,
    /// The list as discovery tells it, and who is out by hand whatever it says.
    listed: HashMap<LeafId, Member>,
    bans: Bans,
    next: u64,
    processes: u32,
    told_list: bool,
    /// What it has counted so far.
    pub counters: Counters,
    /// How the queries of each class ended.
    ends: Vec<Ends>,
    /// The same by class, tenant and server, for the records; `None` where there are none.
    pub figures: Option<Figures>,
    /// What has changed since it was last read, for the records; nothing where there are none.
    pub news: Vec<Body>,
    /// How each listed server was last told of.
    told: HashMap<LeafId, WorkerState>,
}

impl Core {
    /// A broker that knows no servers yet.
    pub fn new(contracts: Contracts) -> Core {
        Core {
            module: Aggregator::new(contracts.settings.clone()),
            ends: vec![Ends::default(); contracts.classes.len()],
            contracts,
            inbox: Vec::new(),
            orders: Vec::new(),
            timers: BTreeMap::new(),
            queries: HashMap::new(),
            parts: HashMap::new(),
            flights: BTreeMap::new(),
            roster: Roster::default(),
            listed: HashMap::new(),
            bans: Bans::default(),
            next: 1,
            processes: 1,
            told_list: false,
            counters: Counters::default(),
            figures: None,
            news: Vec::new(),
            told: HashMap::new(),
        }
    }

    /// The contracts that it serves.
    pub fn contracts(&self) -> &Contracts {
        &self.contracts
    }

    /// Whether it knows of any server.
    pub fn ready(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Queries that wait for their answer.
    pub fn open(&self) -> usize {
        self.queries.len()
    }

    /// Whether a query of this label is open.
    pub fn has(&self, label: &str) -> bool {
        self.queries.values().any(|query| &*query.label == label)
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Takes a query in. Its answer comes as [`Order::Settle`].
    pub fn offer(&mut self, now: Time, ask: Ask) -> Result<RequestId, Verdict> {
        self.counters.taken += 1;
        let seen = Seen { class: ask.class.0, tenant: ask.tenant.map(|tenant| tenant.0) };
        self.came(seen.class);
        if let Some(figures) = &mut self.figures {
            figures.taken(seen);
        }
        if self.queries.len() + self.parts.len() >= self.contracts.limits.max_open / self.processes as usize {
            self.counters.refused_full += 1;
            self.note(seen, figures::End::RefusedFull, Duration::ZERO);
            return Err(Verdict::Refused {
                why: Refusal::Full,
                pause: self.contracts.settings.longest_pause,
            });
        }
        let (id, job) = (RequestId(self.id()), JobId(self.next));
        let valid_until = now.after(ask.left);
        let (class, tenant, retry) = (ask.class, ask.tenant, ask.retry);
        self.inbox.push(Event::Query(NewQuery { id, class, tenant, valid_until, job, retry }));
        let once =
            self.contracts.settings.classes.get(class.0).is_none_or(|c| c.effect != Effect::Repeatable);
        let (label, text, parts) = (ask.label, ask.text, Vec::new());
        let mut held = Held { label, text, once, valid_until, parts, seen, taken: now };
        for AskPart { shard, weight, hint, key } in ask.parts {
            let part = RequestId(self.id());
            self.inbox.push(Event::Part(NewPart { id: part, key, hint, job, shard, weight }));
            self.parts.insert(
                part,
                HeldPart { query: id, shard, attempts: 0, risks: BTreeMap::new(), value: None },
            );
            held.parts.push(part);
        }
        self.queries.insert(id, held);
        Ok(id)
    }

    /// The client of a query has gone away.
    pub fn client_left(&mut self, now: Time, id: RequestId) {
        if let Some((query, _)) = self.close(id) {
            self.counters.left += 1;
            self.note(query.seen, figures::End::Left, now.since(query.taken));
            self.inbox.push(Event::ClientLeft { id });
        }
    }

    /// An attempt has ended. One that was timed out or called off before is not heard again.
    pub fn ended(&mut self, now: Time, ticket: Ticket, end: End) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        self.book(now, ticket, &flight, end);
    }

    fn book(&mut self, now: Time, ticket: Ticket, flight: &Flight, end: End) {
        let End { outcome, value, report } = end;
        self.counters.ended(outcome);
        if let Some(figures) = &mut self.figures {
            let name = self.roster.name(flight.leaf).unwrap_or_default();
            figures.attempt(name, outcome_name(outcome), now.since(flight.sent));
        }
        let held = self.parts.get_mut(&ticket.part);
        let over = outcome == Outcome::Done || held.is_none();
        if let Some(part) = held {
            if outcome.proves_unrun() {
                part.risks.remove(&ticket.attempt);
            }
            if outcome == Outcome::Done {
                part.value.get_or_insert(value);
            }
        }
        let elapsed = now.since(flight.sent);
        let (id, attempt, leaf) = (ticket.part, ticket.attempt, flight.leaf);
        self.inbox.push(Event::Ended(AttemptEnd { id, attempt, leaf, outcome, elapsed, over, report }));
    }

    /// A load report that came by itself, not with an answer.
    pub fn load_report(&mut self, server: &str, report: Report) -> bool {
        let Some(leaf) = self.roster.known(server) else { return false };
        let (outcome, elapsed) = (Outcome::Done, Duration::ZERO);
        self.inbox.push(Event::Probed { leaf, outcome, elapsed, report: Some(report) });
        true
    }

    /// News from discovery; `cached` for the list as last held.
    pub fn learn(&mut self, now: Time, listing: &Listing, cached: bool) {
        self.counters.listings += 1;
        self.told_list |= !cached;
        let mut entries = Vec::new();
        let mut named = HashSet::new();
        for member in &listing.members {
            let leaf = self.roster.id(&member.name);
            named.insert(leaf);
            if member.status == Status::Gone {
                self.listed.remove(&leaf);
                self.orders.push(Order::Gone { leaf });
                entries.push(self.entry(leaf, member));
            } else {
                self.listed.insert(leaf, member.clone());
                entries.push(self.list(leaf, member));
            }
        }
        if listing.complete {
            let gone = self.listed.extract_if(|leaf, _| !named.contains(leaf));
            self.orders.extend(gone.map(|(leaf, _)| Order::Gone { leaf }));
        }
        self.tell(now, listing, &entries);
        let known: Vec<LeafId> = self.roster.all().collect();
        if known.len() > MOST_NAMES {
            let busy: HashSet<LeafId> = self.flights.values().map(|flight| flight.leaf).collect();
            let idle = |leaf: &LeafId| !self.listed.contains_key(leaf) && !busy.contains(leaf);
            self.roster.forget(known.into_iter().filter(idle));
            self.bans.forget(|name| self.roster.known(name).is_some());
        }
        self.inbox.push(Event::Membership(match (cached, listing.complete) {
            (true, _) => Membership::Cached(entries.into()),
            (false, true) => Membership::Full(entries.into()),
            (false, false) => Membership::Delta(entries.into()),
        }));
    }

    /// An entry as the module is told of it.
    fn entry(&self, leaf: LeafId, member: &Member) -> Entry {
        Entry {
            leaf,
            zone: self.contracts.zone(&member.zone),
            cell: CellId(member.cell),
            status: self.bans.status(&member.name, member.status),
            units: member.units,
            since: self.bans.since(&member.name, member.since),
        }
    }

    /// Tells the transport of a listed server; its entry for the module.
    fn list(&mut self, leaf: LeafId, member: &Member) -> Entry {
        let entry = self.entry(leaf, member);
        let (name, address) = (member.name.clone(), member.address.clone());
        self.orders.push(Order::Member { leaf, name, address, open: entry.status == Status::Active });
        entry
    }

    /// Takes a server out by hand until [`Core::enable`], whatever the list says meanwhile; false if no list ever named
    /// it, and then nothing changes.
    pub fn disable(&mut self, now: Time, name: &str) -> bool {
        self.by_hand(now, name, |bans| bans.disable(name))
    }

    /// Takes a server back that was taken out by hand; false if no list ever named it.
    pub fn enable(&mut self, now: Time, name: &str) -> bool {
        self.by_hand(now, name, |bans| bans.enable(now, name))
    }

    /// So many processes are this one gatherer, and share what it may hold and push.
    pub fn share(&mut self, processes: u32) {
        self.processes = processes.max(1);
        let whole = self.contracts.settings.fall_multiple;
        self.module.push_cold_by(whole / f64::from(self.processes));
    }

    /// So many gatherers share the fleet: in place of the settings' number, for cold servers, trials of suspects, tenants'
    /// quotas and calls to discovery.
    pub fn among(&mut self, gatherers: u32) {
        self.contracts.settings.roots = gatherers.max(1);
        self.module.among(gatherers);
    }

    /// How many share it.
    pub fn gatherers(&self) -> u32 {
        self.contracts.settings.roots
    }

    /// The list as discovery last told it.
    pub fn list_told(&self) -> Listing {
        let mut members: Vec<Member> = self.listed.values().cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Listing { revision: 0, complete: true, members }
    }

    /// What the module has learned.
    pub fn learned(&self) -> Learned {
        self.module.learned(|leaf| self.roster.name(leaf))
    }

    /// A server that a list named to another process of this gatherer.
    pub fn know(&mut self, name: &str) {
        self.roster.id(name);
    }

    /// Whether discovery itself has told a list.
    pub fn told(&self) -> bool {
        self.told_list
    }

    /// Takes over what another process of this gatherer knew: its list, who is out by hand, what its module learned.
    pub fn take_over(&mut self, now: Time, list: &Listing, bans: Bans, learned: Learned) {
        learned.names().chain(bans.all()).take(MOST_NAMES).for_each(|name| self.know(name));
        self.bans = bans;
        self.learn(now, list, true);
        // The module has to know the leaves before it is told of them.
        let orders = self.turn(now);
        self.module.take_over(learned, |name| self.roster.known(name));
        self.orders.extend(orders);
    }

    fn by_hand(&mut self, now: Time, name: &str, change: impl FnOnce(&mut Bans) -> bool) -> bool {
        let Some(leaf) = self.roster.known(name) else { return false };
        if change(&mut self.bans) {
            let out = self.bans.is_out(name);
            self.orders
                .push(Order::Trace(format!("worker {name} is {} by hand", if out { "out" } else { "back" })));
            if let Some(member) = self.listed.get(&leaf).cloned() {
                let entry = self.list(leaf, &member);
                self.tell_states(now, std::slice::from_ref(&entry), Vec::new());
                self.inbox.push(Event::Membership(Membership::Delta([entry].into())));
            }
        }
        true
    }

    fn is_out(&self, leaf: LeafId) -> bool {
        self.listed.get(&leaf).is_some_and(|member| self.bans.is_out(&member.name))
    }

    /// Who is out by hand.
    pub fn bans(&self) -> &Bans {
        &self.bans
    }

    /// Tells the records what a list has changed.
    fn tell(&mut self, now: Time, listing: &Listing, entries: &[Entry]) {
        if self.figures.is_none() {
            return;
        }
        let (revision, complete, workers) = (listing.revision, listing.complete, self.listed.len());
        self.news.push(Body::List { revision, complete, workers });
        let gone = self.told.keys().filter(|leaf| !self.listed.contains_key(leaf));
        let gone = gone.map(|leaf| (*leaf, WorkerState::Gone)).collect();
        self.tell_states(now, entries, gone);
    }

    /// Tells the records how these workers are seen now, where that has changed, and which are gone.
    fn tell_states(&mut self, now: Time, entries: &[Entry], gone: Vec<(LeafId, WorkerState)>) {
        if self.figures.is_none() {
            return;
        }
        let warm_up = self.contracts.settings.warm_up;
        let state = |entry: &Entry| match entry.status {
            Status::Gone => WorkerState::Gone,
            Status::Draining if self.is_out(entry.leaf) => WorkerState::OutByHand,
            Status::Draining => WorkerState::Draining,
            Status::Active if entry.since.is_some_and(|since| now.since(since) < warm_up) => {
                WorkerState::Cold
            }
            Status::Active => WorkerState::Active,
        };
        let mut states: Vec<(LeafId, WorkerState)> = entries.iter().map(|e| (e.leaf, state(e))).collect();
        states.extend(gone);
        for (leaf, state) in states {
            let before = match state {
                WorkerState::Gone => self.told.remove(&leaf),
                state => self.told.insert(leaf, state),
            };
            if before != Some(state)
                && (state != WorkerState::Gone || before.is_some())
                && let Some(name) = self.roster.name(leaf)
            {
                self.news.push(Body::Worker { worker: name.to_owned(), state });
            }
        }
    }

    /// When [`Core::turn`] is next to be called, if nothing happens before.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        if !self.inbox.is_empty() || !self.orders.is_empty() {
            return Some(now);
        }
        let timers = self.timers.keys().next().map(|(at, _)| *at);
        let flights = self.flights.values().map(|flight| flight.deadline).min();
        let queries = self.queries.values().map(|query| self.overdue_at(query)).min();
        [timers, flights, queries].into_iter().flatten().min()
    }

    fn overdue_at(&self, query: &Held) -> Time {
        query.valid_until.after(self.contracts.settings.answer_grace / 2)
    }

    /// Hands everything that has happened to the module in one turn, and returns what is to be done.
    pub fn turn(&mut self, now: Time) -> Vec<Order> {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let handle = entry.remove();
            self.inbox.push(Event::Due { handle });
        }
        let late = self.flights.extract_if(.., |_, flight| flight.deadline <= now).collect::<Vec<_>>();
        for (ticket, flight) in late {
            self.orders.push(Order::Abandon { leaf: flight.leaf, ticket });
            self.book(now, ticket, &flight, End::bare(Outcome::TimedOut));
        }
        let mut actions = Vec::new();
        if !self.inbox.is_empty() {
            self.module.turn(now, self.inbox.drain(..), &mut actions);
        }
        let mut calls: Vec<(LeafId, Vec<Dispatch>)> = Vec::new();
        for action in actions {
            self.carry_out(now, action, &mut calls);
        }
        let room = self.contracts.settings.per_call.max(1) as usize;
        for (leaf, parts) in calls {
            let calls = parts.chunks(room).map(|parts| Order::Call { leaf, parts: parts.to_vec() });
            self.orders.extend(calls);
        }
        // Guards against a query that the module lets run past its client's time: it is failed, not lost.
        let overdue =
            |query: &&RequestId| self.queries.get(query).is_some_and(|query| self.overdue_at(query) <= now);
        for query in self.queries.keys().filter(overdue).copied().collect::<Vec<_>>() {
            self.inbox.push(Event::ClientLeft { id: query });
            self.orders.push(Order::Trace(format!("query {} ran past its time", query.0)));
            self.settle(now, query, figures::End::FailedOverdue, |_| Verdict::Failed);
        }
        std::mem::take(&mut self.orders)
    }

    fn carry_out(&mut self, now: Time, action: Action, calls: &mut Vec<(LeafId, Vec<Dispatch>)>) {
        match action {
            Action::Send { id, leaf, timeout } => self.send(now, id, leaf, timeout, calls),
            Action::Cancel { id, attempt } => {
                let ticket = Ticket { part: id, attempt };
                let Some(flight) = self.flights.remove(&ticket) else { return };
                // One that is called off in the turn that sent it never leaves.
                calls.iter_mut().for_each(|(_, parts)| parts.retain(|part| part.ticket != ticket));
                self.orders.push(Order::Abandon { leaf: flight.leaf, ticket });
                self.book(now, ticket, &flight, End::bare(Outcome::Cancelled));
            }
            Action::Answer { id, whole } => {
                let end = if whole { figures::End::WholeInTime } else { figures::End::Partial };
                self.settle(now, id, end, |parts| {
                    let values =
                        parts.into_iter().filter_map(|part| Some((part.shard, part.value?))).collect();
                    Verdict::Answered { whole, values }
                });
            }
            Action::Refuse { id, pause } => {
                let refused = |_| Verdict::Refused { why: Refusal::Declined, pause };
                self.settle(now, id, figures::End::RefusedDeclined, refused);
            }
            Action::Fail { id } => {
                self.settle(now, id, figures::End::FailedGivenUp, |_| Verdict::Failed);
            }
            Action::Wake { after, handle } => {
                let number = self.id();
                self.timers.insert((now.after(after), number), handle);
            }
            // Membership comes unasked here, and probes are not allowed: the module does not ask for either.
            Action::Watch | Action::Probe { .. } => {}
            Action::Trace { text } => self.orders.push(Order::Trace(text)),
        }
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        leaf: LeafId,
        timeout: Duration,
        calls: &mut Vec<(LeafId, Vec<Dispatch>)>,
    ) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let ticket = Ticket { part: id, attempt: AttemptNo(part.attempts) };
        part.attempts += 1;
        self.counters.sent += 1;
        self.counters.resent += u64::from(ticket.attempt.0 > 0);
        let timeout = timeout.min(query.valid_until.since(now));
        self.flights.insert(ticket, Flight { leaf, sent: now, deadline: now.after(timeout) });
        // Guards against a repeat that waits for its connection until servers no longer drop it.
        let class = self.contracts.settings.classes.get(query.seen.class);
        let window = class.filter(|class| class.effect == Effect::ByKey).map(|class| class.window);
        let first = part.risks.values().min();
        let window = window.zip(first).map(|(window, first)| window.saturating_sub(now.since(*first)));
        part.risks.insert(ticket.attempt, now);
        let (label, text) = (query.label.clone(), query.text.clone());
        let dispatch = Dispatch { ticket, label, shard: part.shard, text, timeout, once: query.once, window };
        match calls.iter_mut().find(|(to, _)| *to == leaf) {
            Some((_, parts)) => parts.push(dispatch),
            None => calls.push((leaf, vec![dispatch])),
        }
    }

    fn came(&mut self, class: usize) {
        if let Some(ends) = self.ends.get_mut(class) {
            ends.came += 1;
        }
    }

    /// Every end of a query passes here, once.
    fn count(&mut self, class: usize, end: figures::End) {
        if let Some(ends) = self.ends.get_mut(class) {
            *match end {
                figures::End::WholeInTime | figures::End::WholeLate | figures::End::Partial => {
                    &mut ends.succeeded
                }
                figures::End::RefusedDeclined | figures::End::RefusedFull | figures::End::RefusedStopping => {
                    &mut ends.declined
                }
                figures::End::FailedGivenUp | figures::End::FailedOverdue => &mut ends.aborted,
                figures::End::Left => &mut ends.left,
            } += 1;
        }
    }

    fn note(&mut self, seen: Seen, end: figures::End, took: Duration) {
        self.count(seen.class, end);
        if let Some(figures) = &mut self.figures {
            figures.ended(seen, end, took);
        }
    }

    /// A query came too late to be taken: the process is stopping.
    pub fn refuse_stopping(&mut self, class: ClassId, tenant: Option<TenantId>) {
        self.counters.refused_stopping += 1;
        let seen = Seen { class: class.0, tenant: tenant.map(|tenant| tenant.0) };
        self.came(seen.class);
        self.note(seen, figures::End::RefusedStopping, Duration::ZERO);
    }

    /// A query came for which there was no firm place; it was turned away unread.
    pub fn refuse_crowded(&mut self, class: ClassId) {
        self.came(class.0);
        self.count(class.0, figures::End::RefusedFull);
    }

    /// How the queries of each class ended, in the order of the contracts.
    pub fn ends(&self) -> &[Ends] {
        &self.ends
    }

    /// The name of a server that was ever listed.
    pub fn name(&self, leaf: LeafId) -> Option<&str> {
        self.roster.name(leaf)
    }

    /// Servers in the list.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Listed servers that are out by hand, or get nothing but trials.
    pub fn avoided(&self) -> usize {
        let by_hand = self.listed.values().filter(|member| self.bans.is_out(&member.name)).count();
        by_hand + self.module.suspects().filter(|leaf| self.listed.contains_key(leaf)).count()
    }

    /// So many attempts have been written to their server, to the last byte.
    pub fn written(&mut self, attempts: usize) {
        self.counters.written += attempts as u64;
    }

    /// Ends a query here; `None` if it has ended before. Its parts go with it.
    fn close(&mut self, id: RequestId) -> Option<(Held, Vec<HeldPart>)> {
        let query = self.queries.remove(&id)?;
        if !self.contracts.settings.may_cancel {
            // Guards against sending on for a client that has gone, where the module may not call an attempt off.
            let attempts = |part: RequestId| {
                Ticket { part, attempt: AttemptNo(0) }..=Ticket { part, attempt: AttemptNo(u32::MAX) }
            };
            let out = query.parts.iter().flat_map(|part| self.flights.range(attempts(*part)));
            self.orders
                .extend(out.map(|(ticket, flight)| Order::Withdraw { leaf: flight.leaf, ticket: *ticket }));
        }
        let parts = query.parts.iter().filter_map(|part| self.parts.remove(part)).collect();
        Some((query, parts))
    }

    fn settle(
        &mut self,
        now: Time,
        query: RequestId,
        end: figures::End,
        verdict: impl FnOnce(Vec<HeldPart>) -> Verdict,
    ) {
        let Some((held, parts)) = self.close(query) else { return };
        let verdict = verdict(parts);
        let took = now.since(held.taken);
        let aim = self.contracts.settings.classes.get(held.seen.class).map(|class| class.aim);
        let late = end == figures::End::WholeInTime && aim.is_some_and(|aim| took > aim);
        self.note(held.seen, if late { figures::End::WholeLate } else { end }, took);
        *match &verdict {
            Verdict::Answered { whole: true, .. } => &mut self.counters.answered_whole,
            Verdict::Answered { whole: false, .. } => &mut self.counters.answered_part,
            Verdict::Refused { .. } => &mut self.counters.refused,
            Verdict::Failed => &mut self.counters.failed,
        } += 1;
        self.orders.push(Order::Settle { query, verdict });
    }
}
