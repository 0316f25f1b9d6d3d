//! One member: what it asks of whom, what it concludes from answers and from their absence, and what it passes on.

use super::census::Census;
use super::claim::{Claim, Kind, Message, ROOM, Standing};
use super::news::News;
use super::table::{Change, Link, State, Table};
use crate::api::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members asked in each period.
const FANOUT: usize = 2;
/// Helpers that are had ask whom one does not hear, and members that gossip goes to at once.
const HELPERS: usize = 3;
/// Members who on average ask a newly suspected one at once, so that it hears of it.
const HURRIED: f64 = 4.0;
/// Times that news is passed on, for each doubling of the fleet.
const REPEATS: u32 = 3;
/// Part of a period between two refused connections that prove an end: the question they come from is open for all of it.
const KNOCK_AGAIN: u32 = 5;
/// How long a member that moves to another process is waited for.
const MOVING: Duration = Duration::from_secs(10);
/// Members up to which tables are exchanged as often as [`Timing::exchange`] says; beyond, in proportion more rarely.
const LEVEL: usize = 64;
/// Questions that one helps others with at once.
const MOST_HELP: usize = 64;
/// A start further in the future is no start: nobody could take the name back from it.
const AHEAD: Duration = Duration::from_secs(86_400);
/// An incarnation that no member comes to.
const MOST_INCARNATION: u32 = u32::MAX / 2;
/// Members that hear of one's leaving from itself.
const FAREWELLS: usize = 8;

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two rounds of questions; the answer is due in it.
    pub period: Duration,
    /// Between two rounds of gossip, while there is news.
    pub gossip: Duration,
    /// From suspicion to burial.
    pub bury: Duration,
    /// A jump of the clock between two ticks from which this process stood still itself.
    pub stall: Duration,
    /// Time without a word from anybody after which this one is cut off itself.
    pub alone: Duration,
    /// Between two exchanges of whole tables.
    pub exchange: Duration,
    /// Between two attempts to find who was lost.
    pub again: Duration,
    /// How long the certainly dead are remembered, and those who fell silent.
    pub remember: (Duration, Duration),
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period: Duration::from_millis(500),
            gossip: Duration::from_millis(100),
            bury: Duration::from_secs(10),
            stall: Duration::from_millis(1500),
            alone: Duration::from_secs(2),
            exchange: Duration::from_secs(15),
            again: Duration::from_secs(3),
            remember: (Duration::from_secs(60), Duration::from_secs(600)),
        }
    }
}

/// How an attempt to connect to a member ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knock {
    /// Its machine refuses: nobody listens there.
    Refused,
    /// It came up: the process is there, whether it moves or not.
    Open,
    /// Nothing came back.
    Silent,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send this as a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Try to connect, and tell [`Node::knocked`].
    Knock {
        /// Whom.
        name: String,
        /// Which process.
        start: u64,
        /// Where.
        address: SocketAddr,
    },
    /// Exchange tables over a connection: send [`Node::table_message`], take what comes back to [`Node::hear`].
    Exchange {
        /// With whom.
        with: SocketAddr,
    },
    /// Tell people and records.
    Tell(Change),
    /// Somebody else uses this member's name; it was taken back by a later start.
    Taken,
}

struct Probe {
    name: String,
    start: u64,
    sent: Time,
    /// It was asked again, through others too.
    again: bool,
    /// Its machine has refused a connection since; when it is tried once more, and whether it has been.
    refused: Option<(Time, bool)>,
}

/// The state of one member.
pub struct Node {
    own: Claim,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    table: Table,
    census: Census,
    random: fastrand::Rng,
    /// Whom it asks next, in an order of its own drawing.
    round: Vec<String>,
    number: u32,
    probes: BTreeMap<u32, Probe>,
    /// Questions asked for others: who asked, with which number, and when.
    helping: BTreeMap<u32, (SocketAddr, u32, Time)>,
    /// Names of which there is news.
    news: News,
    bury: BTreeMap<String, Time>,
    /// When anybody was last heard.
    heard: Time,
    last: Time,
    beat_at: Time,
    gossip_at: Time,
    exchange_at: Time,
    again_at: Time,
    orders: Vec<Order>,
}

impl Node {
    /// A member that begins now and knows nobody but where some may be found. `stated` is the settings' number of
    /// gatherers, `most` the most others that it remembers.
    pub fn new(
        now: Time,
        own: Claim,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        stated: u32,
        most: usize,
        seed: u64,
    ) -> Node {
        Node {
            seeds: seeds.into_iter().filter(|seed| *seed != own.address).collect(),
            own,
            timing,
            table: Table::new(most),
            census: Census::new(stated),
            random: fastrand::Rng::with_seed(seed),
            round: Vec::new(),
            number: 0,
            probes: BTreeMap::new(),
            helping: BTreeMap::new(),
            news: News::default(),
            bury: BTreeMap::new(),
            heard: now,
            last: now,
            beat_at: now,
            gossip_at: now,
            exchange_at: now,
            again_at: now,
            orders: Vec::new(),
        }
    }

    /// What it says of itself.
    pub fn own(&self) -> &Claim {
        &self.own
    }
    /// What it knows of the others.
    pub fn table(&self) -> &Table {
        &self.table
    }
    /// How many gatherers share the fleet, as far as it can tell on the safe side.
    pub fn gatherers(&self, now: Time) -> u32 {
        self.census.gatherers(now, &self.table)
    }
    /// Nobody has been heard for so long that it is itself the one that is cut off.
    pub fn alone(&self, now: Time) -> bool {
        now.since(self.heard) >= self.timing.alone && self.table.present().next().is_some()
    }
    /// What is to be done.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// When [`Node::tick`] is next to be called.
    pub fn next_due(&self) -> Time {
        let news = (!self.news.is_empty()).then_some(self.gossip_at);
        let probes = self.probes.values().map(|probe| self.probe_due(probe));
        let bury = self.bury.values().copied();
        let all = probes.chain(bury).chain(news);
        all.chain([self.beat_at, self.exchange_at, self.again_at]).min().unwrap_or(self.beat_at)
    }

    fn probe_due(&self, probe: &Probe) -> Time {
        let due = probe.sent.after(if probe.again { self.timing.period } else { self.timing.period / 3 });
        probe.refused.filter(|(_, tried)| !tried).map_or(due, |(at, _)| due.min(at))
    }

    // ---- Time ----

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        let jump = now.since(self.last);
        self.last = self.last.max(now);
        if jump > self.timing.stall {
            self.stood_still(now, jump);
        }
        self.pursue(now);
        if self.beat_at <= now {
            self.beat_at = now.after(self.timing.period);
            self.table.forget(now, self.timing.remember.0, self.timing.remember.1);
            self.helping.retain(|_, (_, _, at)| now.since(*at) < self.timing.period);
            for _ in 0..FANOUT {
                self.ask_next(now);
            }
        }
        self.bury(now);
        if self.gossip_at <= now {
            self.gossip_at = now.after(self.timing.gossip);
            self.gossip();
        }
        if self.exchange_at <= now {
            let times = (self.table.iter().count() / LEVEL).max(1) as u32;
            self.exchange_at = now.after(self.timing.exchange * times);
            if let Some(with) = self.some(1, |_| true).first() {
                self.orders.push(Order::Exchange { with: with.address });
            }
        }
        if self.again_at <= now {
            self.again_at = now.after(self.timing.again);
            self.look_for_lost();
        }
    }

    /// Guards against acting on what was decided before a time in which this process did not run: others' silence in it
    /// is its own.
    fn stood_still(&mut self, now: Time, jump: Duration) {
        self.probes.clear();
        self.helping.clear();
        self.table.stood_still(jump);
        self.bury.values_mut().for_each(|at| *at = at.after(jump));
        self.heard = self.heard.after(jump).min(now);
    }

    /// Draws some members that are there, other than those left out.
    fn some(&mut self, count: usize, which: impl Fn(&Claim) -> bool) -> Vec<Claim> {
        let there: Vec<&Claim> =
            self.table.present().map(|seen| &seen.claim).filter(|claim| which(claim)).collect();
        let picks = self.random.choose_multiple(there, count);
        picks.into_iter().cloned().collect()
    }

    fn ask_next(&mut self, now: Time) {
        loop {
            if self.round.is_empty() {
                self.round = self.table.present().map(|seen| seen.claim.name.clone()).collect();
                self.random.shuffle(&mut self.round);
                if self.round.is_empty() {
                    return;
                }
            }
            let Some(name) = self.round.pop() else { return };
            let asked = self.probes.values().any(|probe| probe.name == name);
            if !asked && self.table.get(&name).is_some_and(|seen| seen.claim.standing.present()) {
                return self.ask(now, &name);
            }
            if self.round.is_empty() {
                return;
            }
        }
    }

    fn ask(&mut self, now: Time, name: &str) {
        let Some(seen) = self.table.get(name) else { return };
        let (start, to, hears) = (seen.claim.start, seen.claim.address, seen.link != Link::Relayed);
        let number = self.number();
        let probe = Probe { name: name.to_owned(), start, sent: now, again: false, refused: None };
        self.probes.insert(number, probe);
        self.send(to, Kind::Ping { number, hears }, Some(name));
    }

    fn number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Asks again whom it did not hear, and concludes where that was in vain.
    fn pursue(&mut self, now: Time) {
        let due: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| self.probe_due(probe) <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(probe) = self.probes.get_mut(&number) else { continue };
            let (name, start) = (probe.name.clone(), probe.start);
            let Some(seen) = self.table.get(&name).filter(|seen| seen.claim.start == start) else {
                self.probes.remove(&number);
                continue;
            };
            if let Some((at, tried)) = &mut probe.refused
                && !*tried
                && *at <= now
            {
                *tried = true;
                let address = seen.claim.address;
                self.orders.push(Order::Knock { name: name.clone(), start, address });
                if self.probes.get(&number).is_some_and(|probe| self.probe_due(probe) > now) {
                    continue;
                }
            }
            let Some(probe) = self.probes.get_mut(&number) else { continue };
            if std::mem::replace(&mut probe.again, true) {
                self.probes.remove(&number);
                self.unheard(now, &name);
                continue;
            }
            let (to, hears) = (seen.claim.address, seen.link != Link::Relayed);
            self.send(to, Kind::Ping { number, hears }, Some(&name));
            self.orders.push(Order::Knock { name: name.clone(), start, address: to });
            for helper in self.some(HELPERS, |claim| claim.name != name) {
                self.send(helper.address, Kind::Ask { number, target: name.clone() }, None);
            }
        }
    }

    /// A member answered neither this one nor a helper.
    fn unheard(&mut self, now: Time, name: &str) {
        let Some(seen) = self.table.get(name) else { return };
        let waits = seen.claim.standing == Standing::Moving && now.since(seen.since) < MOVING;
        if waits || self.alone(now) {
            return;
        }
        if matches!(seen.claim.standing, Standing::Alive | Standing::Moving) {
            let claim = seen.claim.as_is(Standing::Suspect);
            self.apply(now, &claim);
        }
    }

    fn bury(&mut self, now: Time) {
        let due: Vec<String> =
            self.bury.iter().filter(|(_, at)| **at <= now).map(|(name, _)| name.clone()).collect();
        let alone = self.alone(now);
        for name in due {
            // Guards against burying the fleet from behind one's own cut.
            if alone {
                self.bury.insert(name, now.after(self.timing.bury));
                continue;
            }
            self.bury.remove(&name);
            let suspect = self.table.get(&name).filter(|seen| seen.claim.standing == Standing::Suspect);
            if let Some(claim) = suspect.map(|seen| seen.claim.as_is(Standing::Silent)) {
                self.apply(now, &claim);
            }
        }
    }

    fn gossip(&mut self) {
        if self.news.is_empty() {
            return;
        }
        for to in self.some(HELPERS, |_| true) {
            self.send(to.address, Kind::Gossip, None);
        }
    }

    /// Asks one of those who fell silent, and, while nobody is there or a seed is not, a seed.
    fn look_for_lost(&mut self) {
        let silent: Vec<(String, SocketAddr)> = self
            .table
            .iter()
            .filter(|seen| seen.claim.standing == Standing::Silent)
            .map(|seen| (seen.claim.name.clone(), seen.claim.address))
            .collect();
        if let Some((name, to)) = self.random.choice(silent) {
            let number = self.number();
            self.send(to, Kind::Ping { number, hears: false }, Some(&name));
        }
        let there = |seed: &&SocketAddr| self.table.present().any(|seen| seen.claim.address == **seed);
        let missing: Vec<SocketAddr> = self.seeds.iter().filter(|seed| !there(seed)).copied().collect();
        if let Some(with) = self.random.choice(missing) {
            self.orders.push(Order::Exchange { with });
        }
    }

    // ---- Messages ----

    /// Sends with as much news as fits; `about` is whom it goes to, who is to hear what is said of itself.
    fn send(&mut self, to: SocketAddr, kind: Kind, about: Option<&str>) {
        let mut message = Message { from: self.own.clone(), kind, claims: Vec::new() };
        let own = about.and_then(|name| self.table.get(name));
        if let Some(seen) = own.filter(|seen| seen.claim.standing != Standing::Alive) {
            message.claims.push(seen.claim.clone());
        }
        let mut room = ROOM.saturating_sub(message.size());
        let table = &self.table;
        self.news.pass_on(|name| {
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
            return self.about_self(&from);
        }
        if let Some(seen) = self.table.get(&from.name).filter(|seen| seen.claim.start > from.start) {
            // An older process, or a datagram of it that was kept; or one whose clock was set back, which then hears of
            // its later start and goes beyond it.
            let claim = seen.claim.clone();
            let message = Message { from: self.own.clone(), kind: Kind::Gossip, claims: vec![claim] };
            self.orders.push(Order::Send { to: from.address, message });
            return;
        }
        self.heard = self.heard.max(now);
        // One who was lost here until now tells what another half believed.
        let lost = self.table.get(&from.name).is_some_and(|seen| !seen.claim.standing.present());
        self.apply(now, &from);
        self.met(now, &from);
        for claim in &claims {
            self.learn(now, claim, lost);
        }
        let to = from.address;
        match kind {
            Kind::Ping { number, hears } => {
                self.link(&from.name, |link| match (link, hears) {
                    (Link::Relayed, _) => Link::Relayed,
                    (_, false) => Link::Deaf,
                    (_, true) => Link::Direct,
                });
                self.send(to, Kind::Ack { number }, Some(&from.name));
            }
            Kind::Ack { number } => self.answered(now, number, &from),
            Kind::Ask { number, target } => self.help(now, to, number, &target),
            Kind::Relayed { number, claim } => {
                let asked = self.probes.get(&number).is_some_and(|probe| probe.name == claim.name);
                if asked && claim.name != self.own.name {
                    self.probes.remove(&number);
                    self.learn(now, &claim, false);
                    self.link(&claim.name, |_| Link::Relayed);
                }
            }
            Kind::Gossip | Kind::Table => {}
        }
    }

    /// A member was heard itself.
    fn met(&mut self, now: Time, from: &Claim) {
        let Some(seen) = self.table.get_mut(&from.name) else { return };
        let before = seen.state();
        seen.heard = Some(now);
        let (name, start, state) = (from.name.clone(), seen.claim.start, seen.state());
        if state != before {
            self.orders.push(Order::Tell(Change { name, start, state }));
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

    fn answered(&mut self, now: Time, number: u32, from: &Claim) {
        if let Some((to, number, _)) = self.helping.remove(&number) {
            return self.send(to, Kind::Relayed { number, claim: from.clone() }, None);
        }
        if self.probes.get(&number).is_some_and(|probe| probe.name == from.name) {
            self.probes.remove(&number);
        }
        self.link(&from.name, |link| if link == Link::Relayed { Link::Direct } else { link });
        let known = self.table.get(&from.name).map(|seen| seen.claim.standing);
        // It answers, and does not know yet that it is suspected: it is to hear of it at once.
        if known == Some(Standing::Suspect) && !self.probes.values().any(|probe| probe.name == from.name) {
            self.ask(now, &from.name);
        }
    }

    fn help(&mut self, now: Time, asker: SocketAddr, number: u32, target: &str) {
        let Some(seen) = self.table.get(target) else { return };
        // Guards against work without end for others.
        if self.helping.len() >= MOST_HELP {
            return;
        }
        let (to, hears) = (seen.claim.address, seen.link != Link::Relayed);
        let own = self.number();
        self.helping.insert(own, (asker, number, now));
        self.send(to, Kind::Ping { number: own, hears }, Some(target));
    }

    /// Takes a claim; one of a whole table only says what another half believed.
    fn learn(&mut self, now: Time, claim: &Claim, whole: bool) {
        if !Node::answerable(now, claim) {
            return;
        }
        if claim.name == self.own.name {
            return self.about_self(claim);
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
            self.news.drop(&claim.name);
        }
    }

    /// What is said of this one: it is there, whatever that says.
    fn about_self(&mut self, claim: &Claim) {
        let ends = !self.own.standing.present() || self.own.standing == Standing::Moving;
        if ends || claim.start < self.own.start {
            return;
        }
        // What no incarnation answers is answered by a later start: another's use of the name, a farewell that this one
        // never said, an incarnation that nobody comes to.
        let beyond = claim.standing == Standing::Left || claim.incarnation >= MOST_INCARNATION;
        if claim.start > self.own.start || beyond {
            (self.own.start, self.own.incarnation) = (claim.start + 1, 0);
            self.orders.push(Order::Taken);
        } else if claim.standing != Standing::Alive && claim.incarnation >= self.own.incarnation {
            self.own.incarnation = claim.incarnation + 1;
        } else {
            return;
        }
        // It spreads with each message that it sends; these go out now.
        for to in self.some(HELPERS, |_| true) {
            self.send(to.address, Kind::Gossip, None);
        }
    }

    /// Whether a claim is one that its member could answer; others come from nobody who means well.
    fn answerable(now: Time, claim: &Claim) -> bool {
        claim.start <= now.after(AHEAD).0 && claim.incarnation <= MOST_INCARNATION
    }

    /// The one place where what is known of a member changes.
    fn apply(&mut self, now: Time, claim: &Claim) {
        let before = self.table.get(&claim.name).map(|seen| (seen.state(), seen.claim.start));
        if !self.table.take(now, claim) {
            return;
        }
        let Some(seen) = self.table.get(&claim.name) else { return };
        let (state, start) = (seen.state(), seen.claim.start);
        let doublings = u32::BITS - (self.table.iter().count() as u32 + 1).leading_zeros();
        let lot = self.random.u64(..);
        self.news.add(&claim.name, REPEATS * doublings, lot);
        if claim.standing == Standing::Suspect {
            self.bury.entry(claim.name.clone()).or_insert(now.after(self.timing.bury));
            let chance = HURRIED / self.table.present().count().max(1) as f64;
            let asked = self.probes.values().any(|probe| probe.name == claim.name);
            if !asked && self.random.f64() < chance {
                self.ask(now, &claim.name);
            }
        } else {
            self.bury.remove(&claim.name);
        }
        if before != Some((state, start)) {
            let name = claim.name.clone();
            self.orders.push(Order::Tell(Change { name, start, state }));
        }
    }

    fn link(&mut self, name: &str, change: impl FnOnce(Link) -> Link) {
        let Some(seen) = self.table.get_mut(name) else { return };
        let before = seen.state();
        seen.link = change(seen.link);
        let (state, start) = (seen.state(), seen.claim.start);
        if state != before && state != State::Joining {
            self.orders.push(Order::Tell(Change { name: name.to_owned(), start, state }));
        }
    }

    /// How an attempt to connect ended. Two refusals within one question that stays open prove an end.
    pub fn knocked(&mut self, now: Time, name: &str, start: u64, end: Knock) {
        let Some(seen) = self.table.get(name).filter(|seen| seen.claim.start == start) else { return };
        let moving = seen.claim.standing == Standing::Moving && now.since(seen.since) < MOVING;
        if end != Knock::Refused || moving || !seen.claim.standing.present() {
            return;
        }
        let dead = seen.claim.as_is(Standing::Dead);
        // Guards against a firewall that refuses in its place: it has not answered meanwhile, itself or by a helper.
        let open = self.probes.values_mut().find(|probe| probe.name == name && probe.start == start);
        let Some(probe) = open else { return };
        match probe.refused {
            // Guards against one that was about to listen again: twice, a moment apart.
            None => probe.refused = Some((now.after(self.timing.period / KNOCK_AGAIN), false)),
            Some(_) => self.apply(now, &dead),
        }
    }

    /// Leaves, for good or for another process of the same name; nothing more is to be done after these orders.
    pub fn leave(&mut self, moving: bool) -> Vec<Order> {
        self.own.standing = if moving { Standing::Moving } else { Standing::Left };
        self.own.incarnation += 1;
        self.orders.clear();
        for to in self.some(FAREWELLS, |_| true) {
            self.send(to.address, Kind::Gossip, None);
        }
        self.orders()
    }
}
