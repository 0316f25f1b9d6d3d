//! Connections to workers: a few lines to each, many parts on a line, and the exact outcome of every attempt. This is the
//! pool: it gives each call a line, takes back what is not to be sent, and reports what a line leaves behind. Which line
//! takes a call, and who may open the next, is decided in [`crate::limits::lines`].

mod line;
mod session;

use super::places::Places;
use super::stream::Dial;
use crate::api::*;
use crate::limits::Side;
use crate::limits::lines::{self, Choice};
use crate::routing::{Broker, Carrier, Dispatch, End, Ticket};
use line::Line;
use session::{Cut, Shared};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Lines to one worker.
const MOST_LINES: usize = 4;
/// Share of the shortest aim that is silence, where a written call waits: 250 ms of 2.5 s.
const SILENT: f64 = 0.1;

/// All connections to workers.
#[derive(Clone)]
pub struct Workers(Rc<Pool>);

struct Pool {
    shared: Shared,
    /// Silence after a written call from which a line takes no further ones, and is given up with that call.
    silence: Duration,
    /// A worker may be told that a part is given up.
    may_cancel: bool,
    links: RefCell<HashMap<LeafId, Link>>,
}

struct Link {
    name: String,
    address: String,
    /// Discovery lists it, and it takes new work.
    listed: bool,
    open: bool,
    lines: Vec<Rc<Line>>,
}

impl Link {
    fn new(name: &str, address: &str) -> Link {
        let (name, address) = (name.to_owned(), address.to_owned());
        Link { name, address, listed: true, open: true, lines: Vec::new() }
    }

    /// Sends nothing new to this worker: takes back what waits to be sent.
    fn stop(&mut self) -> Vec<Ticket> {
        self.open = false;
        self.lines.iter().flat_map(|line| line.unsent()).collect()
    }

    /// Gives its lines no new calls; each ends once nothing is out on it.
    fn retire(&self) {
        self.lines.iter().for_each(|line| line.retire());
    }

    /// Whether there is any use for it.
    fn needed(&self) -> bool {
        self.listed || !self.lines.is_empty()
    }
}

impl Workers {
    /// No connections yet; they are opened as calls need them and places allow.
    pub fn new(broker: Broker, dial: Rc<dyn Dial>, places: Rc<Places>) -> Workers {
        let contracts = broker.core(|core| core.contracts().clone());
        let (limits, settings) = (contracts.limits, contracts.settings);
        // Guards against writing on into a machine that vanished: silence is judged by what answers may take here.
        let aims = settings.classes.iter().map(|class| class.aim);
        let silence = aims.min().unwrap_or_default().mul_f64(SILENT);
        let shared = Shared { broker, dial, limits, places, fields: settings.fields };
        let (may_cancel, links) = (settings.may_cancel, RefCell::default());
        Workers(Rc::new(Pool { shared, silence, may_cancel, links }))
    }

    fn end_all(&self, tickets: Vec<Ticket>, outcome: Outcome) {
        tickets.into_iter().for_each(|ticket| self.0.shared.broker.ended(ticket, End::bare(outcome)));
    }

    /// The line for a call, where the worker takes any.
    fn line(&self, leaf: LeafId, parts: &[Dispatch]) -> Option<Rc<Line>> {
        let at_most_once = parts.iter().any(|part| part.at_most_once);
        let mut links = self.0.links.borrow_mut();
        let link = links.get_mut(&leaf).filter(|link| link.open)?;
        let Shared { places, limits, .. } = &self.0.shared;
        // An idle line holds its place loosely, and needs a firm one again.
        let may_pin = places.descriptors(|all| all.may_pin(Side::Workers));
        let seen = link.lines.iter().map(|line| lines::Line {
            calls: line.calls(),
            room: line.room(parts, limits.multiplex, self.0.silence) && (may_pin || !line.quiet()),
            live: !line.retired(),
        });
        match lines::choose(at_most_once, &seen.collect::<Vec<_>>(), MOST_LINES) {
            Choice::Use(at) => link.lines.get(at).cloned(),
            Choice::Open => {
                let line = Rc::new(Line::new(&link.address));
                link.lines.push(line.clone());
                let left = parts.iter().map(|part| part.timeout).min().unwrap_or_default();
                tokio::task::spawn_local(self.clone().run(leaf, line.clone(), left));
                Some(line)
            }
        }
    }

    /// The life of one line.
    async fn run(self, leaf: LeafId, line: Rc<Line>, left: Duration) {
        let cut = session::run(&self.0.shared, leaf, &line, left).await;
        line.retire();
        let (why, unwritten, written) = match cut {
            Cut::Closed(why) => (why, Outcome::Refused, Outcome::Reset),
            Cut::Spoilt(why) => (why, Outcome::Refused, Outcome::Error),
            Cut::Unopened(why) => (why, Outcome::Skipped, Outcome::Reset),
        };
        self.forget(leaf, &line, &why);
        line.place.take();
        // After a frame's last byte its parts may have run; before that none can have.
        for call in line.take_calls() {
            let outcome = if call.written.is_some() { written } else { unwritten };
            self.0.shared.broker.ended(call.ticket, End::bare(outcome));
        }
    }

    /// Takes a line that has ended out of the pool, and its worker with it where that is gone.
    fn forget(&self, leaf: LeafId, line: &Rc<Line>, why: &str) {
        let mut links = self.0.links.borrow_mut();
        if let Some(link) = links.get_mut(&leaf) {
            link.lines.retain(|other| !Rc::ptr_eq(other, line));
            if !line.quiet() {
                log::warn!("worker {} at {}: {why}", link.name, line.address);
            }
        }
        links.retain(|_, link| link.needed());
    }

    /// Closes the line that has been idle the longest whenever its place is needed, for as long as the process lives.
    pub async fn give_way(self) {
        let places = &self.0.shared.places;
        loop {
            places.recalled(Side::Workers).await;
            let links = self.0.links.borrow();
            let idle = links.values().flat_map(|link| &link.lines).filter(|line| line.idle());
            if let Some(line) = idle.min_by_key(|line| line.used.get()) {
                places.tally.borrow_mut().lines_gave_way += 1;
                line.retire();
            }
        }
    }
}

impl Carrier for Workers {
    fn member(&self, leaf: LeafId, name: &str, address: &str, open: bool) {
        let mut links = self.0.links.borrow_mut();
        let link = links.entry(leaf).or_insert_with(|| Link::new(name, address));
        link.listed = true;
        let back = if open { Vec::new() } else { link.stop() };
        link.open = open;
        if link.address != address {
            link.address = address.to_owned();
            link.retire();
        }
        drop(links);
        self.end_all(back, Outcome::Skipped);
    }

    fn gone(&self, leaf: LeafId) {
        let mut links = self.0.links.borrow_mut();
        let Some(link) = links.get_mut(&leaf) else { return };
        let back = link.stop();
        link.listed = false;
        // Its lines still bring what was out on them.
        link.retire();
        links.retain(|_, link| link.needed());
        drop(links);
        self.end_all(back, Outcome::Skipped);
    }

    fn call(&self, leaf: LeafId, parts: Vec<Dispatch>) {
        let Some(line) = self.line(leaf, &parts) else {
            let tickets = parts.iter().map(|part| part.ticket).collect();
            return self.end_all(tickets, Outcome::Skipped);
        };
        line.push(&parts);
        // A line that carries what runs once takes nothing else, and ends with it.
        if parts.iter().any(|part| part.at_most_once) {
            line.retire();
        }
    }

    fn withdraw(&self, leaf: LeafId, ticket: Ticket) {
        let links = self.0.links.borrow();
        let lines = links.get(&leaf).into_iter().flat_map(|link| &link.lines);
        let back = lines.flat_map(|line| line.withdraw(ticket)).collect();
        drop(links);
        self.end_all(back, Outcome::Skipped);
    }

    fn abandon(&self, leaf: LeafId, ticket: Ticket) {
        let links = self.0.links.borrow();
        if let Some(link) = links.get(&leaf) {
            let (silence, tell) = (self.0.silence, self.0.may_cancel);
            link.lines.iter().any(|line| line.abandon(ticket, silence, tell));
        }
    }
}
