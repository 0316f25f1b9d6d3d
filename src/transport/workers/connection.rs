//! One connection's calls: the frames that wait to be written, the parts that are out, and what is taken back unsent. It
//! does no input or output; [`super::session`] carries what stands here.

use crate::policy::Time;
use crate::protocol::frame;
use crate::routing::{AttemptId, Dispatch};
use crate::transport::descriptor_pool::DescriptorPermit;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// For so long a frame of which a part is written may stick. It tells of the time that was left as its first byte was
/// written, and 0.15 s more than is left may be told; and nobody may wait for any of its parts by then.
const HALF_WRITTEN_LIMIT: Duration = Duration::from_millis(100);
/// Ids answered or given up that a connection remembers: what is heard of them again harms nothing.
const MAX_FINISHED_IDS: usize = 256;

/// One connection: what waits to be written, and the parts that are out on it.
pub(super) struct Connection {
    /// Where the worker listens.
    pub address: String,
    frames: RefCell<VecDeque<Frame>>,
    calls: RefCell<HashMap<String, Call>>,
    /// Ids that were answered or given up, the latest last.
    finished: RefCell<VecDeque<String>>,
    /// When anything was last read.
    last_read: Cell<Instant>,
    /// It takes no new calls.
    retired: Cell<bool>,
    /// Wakes the session.
    pub wake: Notify,
    /// Its descriptor, once it may have one; firm while anything is out on it.
    pub place: RefCell<Option<DescriptorPermit>>,
    /// When anything was last out on it.
    pub last_used: Cell<Instant>,
}

/// A frame that is to be written.
struct Frame {
    content: Content,
    /// The parts that it carries; none for giving one up.
    ids: Vec<String>,
    /// When it is no longer to be written: a window has ended, or it has stuck half written.
    write_deadline: Option<Instant>,
}

/// What a frame says.
enum Content {
    /// A call of which no byte is written: it is made as it is written, since it tells how much time is left.
    Call(Vec<Dispatch>),
    /// Gives this part up.
    GiveUp(String),
    /// What is not written yet of a frame of which a part is.
    Rest(Bytes),
}

impl Frame {
    fn give_up(id: &str) -> Frame {
        Frame { content: Content::GiveUp(id.to_owned()), ids: Vec::new(), write_deadline: None }
    }

    /// What is to be written of it at this time.
    fn bytes(&self, now: Time) -> Bytes {
        match &self.content {
            Content::Call(parts) => frame::encode_call(parts, now),
            Content::GiveUp(id) => frame::encode_cancel(id),
            Content::Rest(rest) => rest.clone(),
        }
    }

    /// A part of it is written.
    fn is_started(&self) -> bool {
        matches!(self.content, Content::Rest(_))
    }

    /// Books that this is left of it.
    fn leave(&mut self, rest: Bytes) {
        if !self.is_started() {
            let limit = Instant::now() + HALF_WRITTEN_LIMIT;
            self.write_deadline = Some(self.write_deadline.map_or(limit, |deadline| deadline.min(limit)));
        }
        self.content = Content::Rest(rest);
    }

    fn carries(&self, id: &str) -> bool {
        self.ids.iter().any(|own| own == id)
    }

    /// Whether any of its parts is still waited for.
    fn wanted(&self, calls: &HashMap<String, Call>) -> bool {
        self.ids.iter().any(|id| calls.contains_key(id))
    }
}

/// A part that is out.
pub(super) struct Call {
    /// Its attempt.
    pub ticket: AttemptId,
    /// When the last byte of its frame was written.
    pub written: Option<Instant>,
    /// Nobody waits for what it brings.
    withdrawn: bool,
}

impl Connection {
    /// A connection that is to be opened to this address.
    pub fn new(address: &str) -> Connection {
        Connection {
            address: address.to_owned(),
            frames: RefCell::default(),
            calls: RefCell::default(),
            finished: RefCell::default(),
            last_read: Cell::new(Instant::now()),
            retired: Cell::new(false),
            wake: Notify::new(),
            place: RefCell::default(),
            last_used: Cell::new(Instant::now()),
        }
    }

    // ---- What it may take ----

    /// Whether these parts may go on this connection. Guards against taking a late answer to a part that was given up
    /// for one to its further attempt, and against losing call after call, and the worker's good name, to a connection
    /// that has fallen silent.
    pub fn accepts(&self, parts: &[Dispatch], most: usize, silence: Duration) -> bool {
        let (calls, finished) = (self.calls.borrow(), self.finished.borrow());
        if calls.values().filter_map(|call| call.written).any(|at| self.silent_since(at, silence)) {
            return false;
        }
        let new = || parts.iter().all(|part| !finished.contains(&frame::part_id(&part.label, part.shard.0)));
        !self.retired.get() && calls.len() + parts.len() <= most && new()
    }

    /// Whether nothing was read since then, which is as long ago as counts for silence.
    fn silent_since(&self, at: Instant, silence: Duration) -> bool {
        self.last_read.get() <= at && at.elapsed() >= silence
    }

    /// Something was read.
    pub fn mark_read(&self) {
        self.last_read.set(Instant::now());
    }

    /// Parts that are out.
    pub fn open_calls(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Whether nothing is out, and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.calls.borrow().is_empty() && self.frames.borrow().is_empty()
    }

    /// Whether it takes no new calls.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Gives it no new calls; it ends once nothing is out on it.
    pub fn retire(&self) {
        self.retired.set(true);
        self.wake.notify_one();
    }

    /// Whether it could be closed in favour of another.
    pub fn is_evictable(&self) -> bool {
        self.is_idle() && !self.retired.get() && self.place.borrow().is_some()
    }

    /// Holds its place firmly while anything is out, and loosely else.
    pub fn update_place(&self) {
        if let Some(place) = &*self.place.borrow() {
            if self.is_idle() {
                place.mark_idle();
            } else {
                place.try_mark_busy();
            }
        }
    }

    // ---- What is to be written ----

    /// Queues these parts as one frame.
    pub fn send(&self, parts: Vec<Dispatch>) {
        let mut calls = self.calls.borrow_mut();
        let mut ids = Vec::with_capacity(parts.len());
        let window = parts.iter().filter_map(Dispatch::write_window).min();
        for part in &parts {
            let id = frame::part_id(&part.label, part.shard.0);
            calls.insert(id.clone(), Call { ticket: part.attempt_id, written: None, withdrawn: false });
            ids.push(id);
        }
        drop(calls);
        let write_deadline = window.map(|window| Instant::now() + window);
        let content = Content::Call(parts);
        self.frames.borrow_mut().push_back(Frame { content, ids, write_deadline });
        self.update_place();
        self.wake.notify_one();
    }

    /// Whether anything is to be written.
    pub fn has_frame(&self) -> bool {
        !self.frames.borrow().is_empty()
    }

    /// What is to be written next, as it has to be at this time.
    pub fn next_frame(&self, now: Time) -> Bytes {
        self.frames.borrow().front().map(|frame| frame.bytes(now)).unwrap_or_default()
    }

    /// When what is to be written next no longer is.
    pub fn write_deadline(&self) -> Option<Instant> {
        self.frames.borrow().front().and_then(|frame| frame.write_deadline)
    }

    /// Books that all but this of the front frame is written; how many parts have been written whole by that.
    pub fn mark_written(&self, rest: Bytes) -> usize {
        let mut frames = self.frames.borrow_mut();
        let Some(frame) = frames.front_mut() else { return 0 };
        if !rest.is_empty() {
            frame.leave(rest);
            return 0;
        }
        let Some(frame) = frames.pop_front() else { return 0 };
        let mut calls = self.calls.borrow_mut();
        for id in &frame.ids {
            if let Some(call) = calls.get_mut(id) {
                call.written = Some(Instant::now());
            }
        }
        frame.ids.len()
    }

    // ---- What ends ----

    /// An answer has come: the part that waited for it, if one did.
    pub fn answered(&self, id: &str) -> Option<Call> {
        let (id, call) = self.calls.borrow_mut().remove_entry(id)?;
        self.remember(id);
        Some(call)
    }

    /// Whether this part was answered or given up before.
    pub fn is_finished(&self, id: &str) -> bool {
        self.finished.borrow().iter().any(|finished| finished == id)
    }

    fn remember(&self, id: String) {
        let mut finished = self.finished.borrow_mut();
        if finished.len() >= MAX_FINISHED_IDS {
            finished.pop_front();
        }
        finished.push_back(id);
    }

    /// All parts that are out, when the connection has ended.
    pub fn take_calls(&self) -> Vec<Call> {
        self.calls.take().into_values().collect()
    }

    /// Lets go of an attempt; false if it is not on this connection. A call of which no byte is written stays here,
    /// of another the worker is told, where that is allowed.
    pub fn abandon(&self, ticket: AttemptId, silence: Duration, tell: bool) -> bool {
        let Some((id, call)) = self.remove(ticket) else { return false };
        if !self.drop_unsent(&id) {
            self.remember(id.clone());
            if tell {
                self.frames.borrow_mut().push_back(Frame::give_up(&id));
            }
        }
        // Guards against machines that vanished: their connections stay open, and swallow what is written.
        if call.written.is_some_and(|at| self.silent_since(at, silence)) {
            self.retire();
        }
        self.wake.notify_one();
        true
    }

    fn remove(&self, ticket: AttemptId) -> Option<(String, Call)> {
        let mut calls = self.calls.borrow_mut();
        let id = calls.iter().find(|(_, call)| call.ticket == ticket).map(|(id, _)| id.clone())?;
        calls.remove_entry(&id)
    }

    /// Drops the frame of this part, if no byte of it is written and nobody waits for any of its parts; whether it did.
    fn drop_unsent(&self, id: &str) -> bool {
        let (calls, mut frames) = (self.calls.borrow(), self.frames.borrow_mut());
        let before = frames.len();
        frames.retain(|frame| frame.is_started() || !frame.carries(id) || frame.wanted(&calls));
        frames.len() < before
    }

    /// Takes back the calls of which no byte has been written.
    pub fn take_unsent(&self) -> Vec<AttemptId> {
        self.take_back(|_| true)
    }

    /// Takes back what no byte of has been written and nobody waits for: all calls of a frame, or none of them.
    pub fn withdraw(&self, ticket: AttemptId) -> Vec<AttemptId> {
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.values_mut().find(|call| call.ticket == ticket) else { return Vec::new() };
        call.withdrawn = true;
        drop(calls);
        self.take_back(|call| call.withdrawn)
    }

    fn take_back(&self, may: impl Fn(&Call) -> bool) -> Vec<AttemptId> {
        let mut calls = self.calls.borrow_mut();
        let mut tickets = Vec::new();
        self.frames.borrow_mut().retain(|frame| {
            let stays = |id: &String| calls.get(id).is_some_and(|call| !may(call));
            if frame.is_started() || frame.ids.is_empty() || frame.ids.iter().any(stays) {
                return true;
            }
            tickets.extend(frame.ids.iter().filter_map(|id| calls.remove(id)).map(|call| call.ticket));
            false
        });
        tickets
    }
}
