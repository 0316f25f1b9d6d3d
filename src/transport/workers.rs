//! Connections to workers: a few lines to each, many parts on a line, and the exact outcome of every attempt. Which
//! line takes a call, and who may open the next, is decided in [`crate::limits::lines`].

use super::places::{Buffered, Place, Places};
use super::stream::{Dial, Stream, dial_within};
use crate::api::*;
use crate::limits::Side;
use crate::limits::lines::{self, Choice};
use crate::protocol::frame::{self, Incoming};
use crate::routing::{Broker, Carrier, Dispatch, End, Limits, Ticket};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Lines to one worker.
const MOST_LINES: usize = 4;
/// Share of the worker's idle time after which a line is closed from this side.
const IDLE_SHARE: f64 = 0.6;
/// Share of the shortest aim that is silence, where a written call waits: 250 ms of 2.5 s.
const SILENT: f64 = 0.1;
/// For so long a frame of which a part is written may stick where nobody waits for any of its parts.
const STUCK: Duration = Duration::from_millis(100);
/// Ids answered or given up that a line remembers: what is heard of them again harms nothing.
const MOST_PAST: usize = 256;
/// Reading takes at most so much at once.
const READ: usize = 16 * 1024;

/// All connections to workers.
#[derive(Clone)]
pub struct Workers(Rc<Shared>);

struct Shared {
    broker: Broker,
    dial: Rc<dyn Dial>,
    limits: Limits,
    places: Rc<Places>,
    /// Silence after a written call from which a line takes no further ones, and is given up with that call.
    silence: Duration,
    /// A worker may be told that a part is given up.
    may_cancel: bool,
    fields: Vec<Field>,
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

/// One connection: what waits to be written, and the parts that are out on it.
struct Line {
    address: String,
    frames: RefCell<VecDeque<Frame>>,
    calls: RefCell<HashMap<String, Call>>,
    /// Ids that were answered or given up, the latest last.
    past: RefCell<VecDeque<String>>,
    /// When anything was last read; takes no new calls once it is retired.
    heard: Cell<Instant>,
    retired: Cell<bool>,
    news: Notify,
    /// Its descriptor, once it may have one; firm while anything is out on it.
    place: RefCell<Option<Place>>,
    used: Cell<Instant>,
}

struct Frame {
    rest: Bytes,
    begun: bool,
    /// The parts that it carries; none for giving one up.
    ids: Vec<String>,
    /// When it is no longer to be written: a window has ended, or nobody waits for what is half written.
    until: Option<Instant>,
}

struct Call {
    ticket: Ticket,
    written: Option<Instant>,
    /// Nobody waits for what it brings.
    withdrawn: bool,
}

/// How a line ended.
enum Cut {
    /// The connection ended, or was ended while nothing was out on it.
    Closed(String),
    /// The worker sent what is no answer: nothing further on the connection can be trusted.
    Spoilt(String),
    /// There was no place for it, or no time left: nothing was tried.
    Unopened(String),
}

impl Cut {
    fn overdue() -> Cut {
        Cut::Unopened("it could not be written in time".to_owned())
    }
}

impl Line {
    fn new(address: &str) -> Line {
        Line {
            address: address.to_owned(),
            frames: RefCell::default(),
            calls: RefCell::default(),
            past: RefCell::default(),
            heard: Cell::new(Instant::now()),
            retired: Cell::new(false),
            news: Notify::new(),
            place: RefCell::default(),
            used: Cell::new(Instant::now()),
        }
    }

    /// Whether these parts may go on this line. Guards against taking a late answer to a part that was given up for
    /// one to its further attempt, and against losing call after call, and the worker's good name, to a connection
    /// that has fallen silent.
    fn room(&self, parts: &[Dispatch], most: usize, silence: Duration) -> bool {
        let (calls, past) = (self.calls.borrow(), self.past.borrow());
        let unheard = |at: Instant| self.heard.get() <= at && at.elapsed() >= silence;
        if calls.values().filter_map(|call| call.written).any(unheard) {
            return false;
        }
        let new = || parts.iter().all(|part| !past.contains(&frame::part_id(&part.label, part.shard.0)));
        !self.retired.get() && calls.len() + parts.len() <= most && new()
    }

    fn remember(&self, id: String) {
        let mut past = self.past.borrow_mut();
        if past.len() >= MOST_PAST {
            past.pop_front();
        }
        past.push_back(id);
    }

    fn push(&self, parts: &[Dispatch]) {
        let mut calls = self.calls.borrow_mut();
        let mut ids = Vec::with_capacity(parts.len());
        let until = parts.iter().filter_map(|part| part.window).min().map(|window| Instant::now() + window);
        for part in parts {
            let id = frame::part_id(&part.label, part.shard.0);
            calls.insert(id.clone(), Call { ticket: part.ticket, written: None, withdrawn: false });
            ids.push(id);
        }
        drop(calls);
        self.frames.borrow_mut().push_back(Frame { rest: frame::call(parts), begun: false, ids, until });
        self.hold();
        self.news.notify_one();
    }

    /// What is to be written next.
    fn front(&self) -> Option<Bytes> {
        self.frames.borrow().front().map(|frame| frame.rest.clone())
    }

    /// When what is to be written next no longer is.
    fn until(&self) -> Option<Instant> {
        self.frames.borrow().front().and_then(|frame| frame.until)
    }

    /// Books that so many bytes of the front frame are written; how many parts have been written whole by that.
    fn wrote(&self, count: usize) -> usize {
        let mut frames = self.frames.borrow_mut();
        let Some(frame) = frames.front_mut() else { return 0 };
        frame.rest.advance(count);
        frame.begun |= count > 0;
        if frame.rest.is_empty()
            && let Some(frame) = frames.pop_front()
        {
            let mut calls = self.calls.borrow_mut();
            let parts = frame.ids.len();
            for id in frame.ids {
                if let Some(call) = calls.get_mut(&id) {
                    call.written = Some(Instant::now());
                }
            }
            return parts;
        }
        0
    }

    /// Lets go of an attempt; false if it is not on this line. A call of which no byte is written stays here,
    /// of another the worker is told, where that is allowed.
    fn abandon(&self, ticket: Ticket, silence: Duration, tell: bool) -> bool {
        let mut calls = self.calls.borrow_mut();
        let id = calls.iter().find(|(_, call)| call.ticket == ticket).map(|(id, _)| id.clone());
        let Some(id) = id else { return false };
        let call = calls.remove(&id);
        let mut frames = self.frames.borrow_mut();
        // A call of several parts is dropped when nobody waits for any of them.
        let unsent = |frame: &Frame| !frame.begun && frame.ids.contains(&id);
        let gone = |frame: &Frame| unsent(frame) && !frame.ids.iter().any(|id| calls.contains_key(id));
        let before = frames.len();
        frames.retain(|frame| !gone(frame));
        if frames.len() == before {
            // Guards against a part that runs long after its client has left: what is written of its frame sticks in a
            // full connection, and the rest would follow whenever the worker reads on.
            if let Some(frame) = frames.front_mut().filter(|frame| {
                frame.begun && frame.ids.contains(&id) && !frame.ids.iter().any(|id| calls.contains_key(id))
            }) {
                let stuck = Instant::now() + STUCK;
                frame.until = Some(frame.until.map_or(stuck, |until| until.min(stuck)));
            }
            self.remember(id.clone());
            if tell {
                frames.push_back(Frame {
                    rest: frame::give_up(&id),
                    begun: false,
                    ids: Vec::new(),
                    until: None,
                });
            }
        }
        // Guards against machines that vanished: their connections stay open, and swallow what is written.
        let written = call.and_then(|call| call.written);
        if written.is_some_and(|at| self.heard.get() <= at && at.elapsed() >= silence) {
            self.retired.set(true);
        }
        self.news.notify_one();
        true
    }

    /// Takes back the calls of which no byte has been written.
    fn unsent(&self) -> Vec<Ticket> {
        self.take_back(|_| true)
    }

    /// Takes back what no byte of has been written and nobody waits for: all calls of a frame, or none of them.
    fn withdraw(&self, ticket: Ticket) -> Vec<Ticket> {
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.values_mut().find(|call| call.ticket == ticket) else { return Vec::new() };
        call.withdrawn = true;
        drop(calls);
        self.take_back(|call| call.withdrawn)
    }

    fn take_back(&self, may: impl Fn(&Call) -> bool) -> Vec<Ticket> {
        let mut calls = self.calls.borrow_mut();
        let mut tickets = Vec::new();
        self.frames.borrow_mut().retain(|frame| {
            let stays = |id: &String| calls.get(id).is_some_and(|call| !may(call));
            if frame.begun || frame.ids.is_empty() || frame.ids.iter().any(stays) {
                return true;
            }
            tickets.extend(frame.ids.iter().filter_map(|id| calls.remove(id)).map(|call| call.ticket));
            false
        });
        tickets
    }

    /// Holds its place firmly while anything is out, and loosely else.
    fn hold(&self) {
        if let Some(place) = &*self.place.borrow() {
            if self.quiet() {
                place.unpin();
            } else {
                place.pin();
            }
        }
    }

    fn quiet(&self) -> bool {
        self.calls.borrow().is_empty() && self.frames.borrow().is_empty()
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
        let (may_cancel, fields, links) = (settings.may_cancel, settings.fields, RefCell::default());
        Workers(Rc::new(Shared { broker, dial, limits, places, silence, may_cancel, fields, links }))
    }

    fn end_all(&self, tickets: Vec<Ticket>, outcome: Outcome) {
        tickets.into_iter().for_each(|ticket| self.0.broker.ended(ticket, End::bare(outcome)));
    }

    /// Takes back what waits to be sent to a worker that is to get nothing new.
    fn stop(&self, link: &mut Link) -> Vec<Ticket> {
        link.open = false;
        link.lines.iter().flat_map(|line| line.unsent()).collect()
    }

    /// The line for a call, where the worker takes any.
    fn line(&self, leaf: LeafId, parts: &[Dispatch]) -> Option<Rc<Line>> {
        let once = parts.iter().any(|part| part.once);
        let mut links = self.0.links.borrow_mut();
        let link = links.get_mut(&leaf).filter(|link| link.open)?;
        // An idle line holds its place loosely, and needs a firm one again.
        let may_pin = self.0.places.descriptors(|all| all.may_pin(Side::Workers));
        let seen = link.lines.iter().map(|line| lines::Line {
            calls: line.calls.borrow().len(),
            room: line.room(parts, self.0.limits.multiplex, self.0.silence) && (may_pin || !line.quiet()),
            live: !line.retired.get(),
        });
        match lines::choose(once, &seen.collect::<Vec<_>>(), MOST_LINES) {
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

    /// Closes the line that has been idle the longest whenever its place is needed, for as long as the process lives.
    pub async fn give_way(self) {
        loop {
            self.0.places.recalled(Side::Workers).await;
            let links = self.0.links.borrow();
            let lines = links.values().flat_map(|link| &link.lines);
            let idle =
                lines.filter(|line| line.quiet() && !line.retired.get() && line.place.borrow().is_some());
            if let Some(line) = idle.min_by_key(|line| line.used.get()) {
                self.0.places.tally.borrow_mut().lines_gave_way += 1;
                line.retired.set(true);
                line.news.notify_one();
            }
        }
    }

    /// Waits for a place and connects; `None` where the line is no longer needed by then.
    async fn connect(
        &self,
        leaf: LeafId,
        line: &Line,
        left: Duration,
    ) -> Result<Option<Box<dyn Stream>>, Cut> {
        let opening = self.0.places.open(leaf, left).await;
        let opening = opening.map_err(|turned| Cut::Unopened(turned.to_string()))?;
        if line.quiet() {
            return Ok(None);
        }
        let stream = dial_within(&*self.0.dial, &line.address, self.0.limits.connect_timeout).await;
        let stream = stream.map_err(|error| Cut::Closed(format!("cannot connect: {error}")))?;
        line.place.replace(Some(opening.up()));
        Ok(Some(stream))
    }

    /// The life of one line.
    async fn run(self, leaf: LeafId, line: Rc<Line>, left: Duration) {
        let connected = self.connect(leaf, &line, left);
        let connected = match line.until() {
            Some(until) => {
                tokio::time::timeout_at(until, connected).await.unwrap_or_else(|_| Err(Cut::overdue()))
            }
            None => connected.await,
        };
        let why = match connected {
            Ok(Some(stream)) => self.serve(stream, &line).await,
            Ok(None) => Cut::Closed("no longer needed".to_owned()),
            Err(cut) => cut,
        };
        let (why, unwritten, written) = match why {
            Cut::Closed(why) => (why, Outcome::Refused, Outcome::Reset),
            Cut::Spoilt(why) => (why, Outcome::Refused, Outcome::Error),
            Cut::Unopened(why) => (why, Outcome::Skipped, Outcome::Reset),
        };
        line.retired.set(true);
        let mut links = self.0.links.borrow_mut();
        if let Some(link) = links.get_mut(&leaf) {
            link.lines.retain(|other| !Rc::ptr_eq(other, &line));
            if !line.quiet() {
                log::warn!("worker {} at {}: {why}", link.name, line.address);
            }
        }
        links.retain(|_, link| link.listed || !link.lines.is_empty());
        drop(links);
        line.place.take();
        // After a frame's last byte its parts may have run; before that none can have.
        let calls = line.calls.take();
        for call in calls.into_values() {
            let outcome = if call.written.is_some() { written } else { unwritten };
            self.0.broker.ended(call.ticket, End::bare(outcome));
        }
    }

    /// Writes frames and reads answers until the connection ends; says why it did.
    async fn serve(&self, stream: Box<dyn Stream>, line: &Line) -> Cut {
        let (mut read, mut write) = tokio::io::split(stream);
        let mut buffer = BytesMut::new();
        let idle = self.0.limits.conn_idle.mul_f64(IDLE_SHARE);
        let mut used = Instant::now();
        let bytes = Buffered::new(&self.0.places);
        // When the frame that is not all there began.
        let mut begun = None;
        loop {
            if line.quiet() && line.retired.get() {
                return Cut::Closed("retired".to_owned());
            }
            line.hold();
            let (front, until) = (line.front(), line.until());
            if until.is_some_and(|until| until <= Instant::now()) {
                return Cut::overdue();
            }
            // Guards against answers that never end: the rest of a frame may take as long as a connection may.
            let rest = begun.unwrap_or(used) + self.0.limits.connect_timeout;
            buffer.reserve(READ.saturating_sub(buffer.len()).max(1024));
            bytes.set(buffer.capacity());
            tokio::select! {
                biased;
                count = read.read_buf(&mut buffer) => match count {
                    Ok(0) => return Cut::Closed("closed by the worker".to_owned()),
                    Ok(_) => {
                        line.heard.set(Instant::now());
                        let before = buffer.len();
                        if let Err(cut) = self.answers(&mut buffer, line) {
                            return cut;
                        }
                        begun = match buffer.is_empty() {
                            true => None,
                            false => begun.filter(|_| buffer.len() == before).or(Some(Instant::now())),
                        };
                    }
                    Err(error) => return Cut::Closed(error.to_string()),
                },
                count = write.write(front.as_deref().unwrap_or_default()), if front.is_some() => match count {
                    Ok(0) => return Cut::Closed("closed by the worker".to_owned()),
                    Ok(count) => {
                        let parts = line.wrote(count);
                        self.0.broker.core(|core| core.written(parts));
                    }
                    Err(error) => return Cut::Closed(error.to_string()),
                },
                () = line.news.notified() => {}
                () = tokio::time::sleep_until(until.unwrap_or(used)), if until.is_some() => {
                    return Cut::overdue();
                }
                () = tokio::time::sleep_until(rest), if begun.is_some() => {
                    return Cut::Spoilt("a frame that does not end".to_owned());
                }
                () = tokio::time::sleep_until(used + idle), if line.quiet() => {
                    return Cut::Closed("idle".to_owned());
                }
            }
            if !line.quiet() {
                used = Instant::now();
                line.used.set(used);
            }
        }
    }

    /// Books every answer that is whole in the buffer.
    fn answers(&self, buffer: &mut BytesMut, line: &Line) -> Result<(), Cut> {
        loop {
            // Guards against noise behind a good answer: where nothing is out it harms nothing, and the connection
            // is closed before a call is lost to it.
            let cut = |why: String| match line.calls.borrow().is_empty() {
                true => Err(Cut::Closed(why)),
                false => Err(Cut::Spoilt(why)),
            };
            match frame::take(buffer, &self.0.fields) {
                Ok(Some(Incoming::Answer { id, outcome, value, report })) => {
                    let call = line.calls.borrow_mut().remove(&id);
                    if let Some(call) = call {
                        line.remember(id);
                        self.0.broker.ended(call.ticket, End { outcome, value, report });
                    } else if !line.past.borrow().contains(&id) {
                        // Guards against waiting for a part whose answer came under another id.
                        return cut("an answer to nothing that was asked".to_owned());
                    }
                }
                Ok(Some(Incoming::Rejected(words))) => {
                    return Err(Cut::Closed(format!("a frame was refused: {words:?}")));
                }
                Ok(None) if !buffer.is_empty() && line.calls.borrow().is_empty() => {
                    return cut("more than its answers".to_owned());
                }
                Ok(None) => return Ok(()),
                Err(error) => return cut(error.to_string()),
            }
        }
    }
}

/// Gives a worker's lines no new calls; each ends once nothing is out on it.
fn retire(link: &Link) {
    for line in &link.lines {
        line.retired.set(true);
        line.news.notify_one();
    }
}

impl Carrier for Workers {
    fn member(&self, leaf: LeafId, name: &str, address: &str, open: bool) {
        let mut links = self.0.links.borrow_mut();
        let link = links.entry(leaf).or_insert_with(|| Link {
            name: name.to_owned(),
            address: address.to_owned(),
            listed: true,
            open,
            lines: Vec::new(),
        });
        link.listed = true;
        let back = if open { Vec::new() } else { self.stop(link) };
        link.open = open;
        if link.address != address {
            link.address = address.to_owned();
            retire(link);
        }
        drop(links);
        self.end_all(back, Outcome::Skipped);
    }

    fn gone(&self, leaf: LeafId) {
        let mut links = self.0.links.borrow_mut();
        let Some(link) = links.get_mut(&leaf) else { return };
        let back = self.stop(link);
        link.listed = false;
        // Its lines still bring what was out on them.
        retire(link);
        links.retain(|_, link| link.listed || !link.lines.is_empty());
        drop(links);
        self.end_all(back, Outcome::Skipped);
    }

    fn call(&self, leaf: LeafId, parts: Vec<Dispatch>) {
        match self.line(leaf, &parts) {
            Some(line) => {
                line.push(&parts);
                // A line that carries what runs once takes nothing else, and ends with it.
                line.retired.set(line.retired.get() || parts.iter().any(|part| part.once));
            }
            None => self.end_all(parts.iter().map(|part| part.ticket).collect(), Outcome::Skipped),
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
