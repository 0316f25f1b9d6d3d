//! The state of one connection to a worker: the frames that wait to be written, the parts in flight, and the parts that
//! are taken back before they are written.
//!
//! Does no input or output; [`super::session`] reads and writes the bytes.

use crate::policy::Time;
use crate::protocol::frame;
use crate::routing::{AttemptId, Dispatch, WriteRefused};
use crate::transport::descriptor_pool::DescriptorPermit;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a frame may stay partly written. A frame states the time that was left when its first byte was written, and
/// the protocol lets a worker be told at most 150 ms more than is left. A frame that stays partly written for longer
/// could exceed that, or run after its client has gone.
const PARTIAL_WRITE_LIMIT: Duration = Duration::from_millis(100);
/// How many ids of finished parts a connection remembers. A further response to one of them is ignored.
const MAX_FINISHED_IDS: usize = 256;

/// One connection: the frames that wait to be written, and the parts in flight.
pub(super) struct Connection {
    /// The address at which the worker listens.
    pub address: String,
    frames: RefCell<VecDeque<Frame>>,
    /// The parts in flight, by their ids on the wire.
    parts: RefCell<HashMap<String, PartInFlight>>,
    /// The ids of parts that were answered or cancelled, the latest last.
    finished: RefCell<VecDeque<String>>,
    /// When a byte was last read.
    last_read: Cell<Instant>,
    /// Whether the connection is closed to new calls.
    retired: Cell<bool>,
    /// Wakes the session after a change to this state.
    pub wake: Notify,
    /// The descriptor of the open connection; busy while anything is in flight or waits to be written.
    pub descriptor: RefCell<Option<DescriptorPermit>>,
    /// When anything was last in flight or waiting to be written.
    pub last_used: Cell<Instant>,
}

/// A frame that is to be written.
struct Frame {
    content: Content,
    /// The parts that the frame carries; empty for a frame that cancels a part.
    parts: Vec<FramePart>,
    /// The time after which the frame may not be written: the earliest end of its parts' repeat windows, or
    /// [`PARTIAL_WRITE_LIMIT`] after its first byte, whichever is earlier.
    write_deadline: Option<Instant>,
}

/// A part that a frame carries.
struct FramePart {
    /// The part's id on the wire.
    id: String,
    attempt_id: AttemptId,
}

/// The content of a frame.
enum Content {
    /// A call of which no byte is written. It is encoded at the time of the write, since it states the time left.
    Call(Vec<Dispatch>),
    /// The cancellation of the part with this id.
    Cancel(String),
    /// The unwritten bytes of a frame that is partly written.
    Remainder(Bytes),
}

impl Frame {
    fn cancel(id: &str) -> Frame {
        Frame { content: Content::Cancel(id.to_owned()), parts: Vec::new(), write_deadline: None }
    }

    /// Encodes the bytes that remain to be written, with the time left as of `now`.
    fn bytes(&self, now: Time) -> Bytes {
        match &self.content {
            Content::Call(parts) => frame::encode_call(parts, now),
            Content::Cancel(id) => frame::encode_cancel(id),
            Content::Remainder(remainder) => remainder.clone(),
        }
    }

    /// Whether some bytes of the frame are written and others are not.
    fn is_partly_written(&self) -> bool {
        matches!(self.content, Content::Remainder(_))
    }

    /// Sets the bytes that remain to be written. The first call limits how long the frame may stay partly written.
    fn set_remainder(&mut self, remainder: Bytes) {
        if !self.is_partly_written() {
            let partial_deadline = Instant::now() + PARTIAL_WRITE_LIMIT;
            self.write_deadline =
                Some(self.write_deadline.map_or(partial_deadline, |deadline| deadline.min(partial_deadline)));
        }
        self.content = Content::Remainder(remainder);
    }

    /// Whether the frame is a call of which no byte is written. Its parts can still be taken out of it.
    fn is_unsent_call(&self) -> bool {
        matches!(self.content, Content::Call(_))
    }

    /// Takes the parts for which `is_taken` holds out of a call of which no byte is written.
    fn take_parts(&mut self, mut is_taken: impl FnMut(&FramePart) -> bool) -> Vec<FramePart> {
        let Content::Call(dispatches) = &mut self.content else { return Vec::new() };
        let taken: Vec<FramePart> = self.parts.extract_if(.., |part| is_taken(part)).collect();
        dispatches.retain(|dispatch| !taken.iter().any(|part| part.attempt_id == dispatch.attempt_id));
        taken
    }

    /// Asks for a permit to write each part, and takes the parts out that get none.
    fn take_refused(
        &mut self,
        begin_write: &mut impl FnMut(AttemptId) -> Result<Option<Instant>, WriteRefused>,
    ) -> Vec<FramePart> {
        let mut earliest: Option<Instant> = None;
        let refused = self.take_parts(|part| match begin_write(part.attempt_id) {
            Ok(deadline) => {
                earliest = earliest.into_iter().chain(deadline).min();
                false
            }
            Err(_) => true,
        });
        self.write_deadline = earliest;
        refused
    }
}

/// A part in flight.
pub(super) struct PartInFlight {
    /// The attempt that this part was sent for.
    pub attempt_id: AttemptId,
    /// When the last byte of the part's frame was written.
    pub written_at: Option<Instant>,
}

impl Connection {
    /// Creates the state of a connection that is yet to be opened to this address.
    pub fn new(address: &str) -> Connection {
        Connection {
            address: address.to_owned(),
            frames: RefCell::default(),
            parts: RefCell::default(),
            finished: RefCell::default(),
            last_read: Cell::new(Instant::now()),
            retired: Cell::new(false),
            wake: Notify::new(),
            descriptor: RefCell::default(),
            last_used: Cell::new(Instant::now()),
        }
    }

    // ---- Acceptance of calls ----

    /// Whether these parts may be sent on this connection: it is not retired, has at most `max_in_flight` parts in
    /// flight with them, and
    ///
    /// - none of the ids was finished on it before, since a late response to a cancelled part would be taken for the
    ///   response to its retry;
    /// - it is not unresponsive, since further calls would be lost with it and the worker would look faulty.
    pub fn accepts(&self, parts: &[Dispatch], max_in_flight: usize, unresponsive_after: Duration) -> bool {
        let (in_flight, finished) = (self.parts.borrow(), self.finished.borrow());
        let mut written = in_flight.values().filter_map(|part| part.written_at);
        if written.any(|at| self.is_unresponsive_since(at, unresponsive_after)) {
            return false;
        }
        let ids_are_unused =
            || parts.iter().all(|part| !finished.contains(&frame::part_id(&part.label, part.shard.0)));
        !self.retired.get() && in_flight.len() + parts.len() <= max_in_flight && ids_are_unused()
    }

    /// Whether no byte was read after `at`, which is at least `unresponsive_after` ago.
    fn is_unresponsive_since(&self, at: Instant, unresponsive_after: Duration) -> bool {
        self.last_read.get() <= at && at.elapsed() >= unresponsive_after
    }

    /// Records that bytes were read now.
    pub fn mark_read(&self) {
        self.last_read.set(Instant::now());
    }

    /// The number of parts in flight.
    pub fn parts_in_flight(&self) -> usize {
        self.parts.borrow().len()
    }

    /// Whether nothing is in flight and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.parts.borrow().is_empty() && self.frames.borrow().is_empty()
    }

    /// Whether the connection is closed to new calls.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Closes the connection to new calls; the session ends once nothing is in flight.
    pub fn retire(&self) {
        self.retired.set(true);
        self.wake.notify_one();
    }

    /// Whether the connection may be closed so that its descriptor can be used elsewhere.
    pub fn is_evictable(&self) -> bool {
        self.is_idle() && !self.retired.get() && self.descriptor.borrow().is_some()
    }

    /// Marks the descriptor as idle where the connection is, and as busy otherwise.
    pub fn update_descriptor(&self) {
        if let Some(descriptor) = &*self.descriptor.borrow() {
            if self.is_idle() {
                descriptor.mark_idle();
            } else {
                descriptor.try_mark_busy();
            }
        }
    }

    // ---- Frames to write ----

    /// Queues these parts as one call frame.
    pub fn send(&self, parts: Vec<Dispatch>) {
        let mut in_flight = self.parts.borrow_mut();
        let mut frame_parts = Vec::with_capacity(parts.len());
        for part in &parts {
            let id = frame::part_id(&part.label, part.shard.0);
            in_flight.insert(id.clone(), PartInFlight { attempt_id: part.attempt_id, written_at: None });
            frame_parts.push(FramePart { id, attempt_id: part.attempt_id });
        }
        drop(in_flight);
        let content = Content::Call(parts);
        self.frames.borrow_mut().push_back(Frame { content, parts: frame_parts, write_deadline: None });
        self.update_descriptor();
        self.wake.notify_one();
    }

    /// Whether a frame waits to be written.
    pub fn has_frame(&self) -> bool {
        !self.frames.borrow().is_empty()
    }

    /// Encodes the bytes of the next frame that remain to be written, with the time left as of `now`.
    pub fn next_frame(&self, now: Time) -> Bytes {
        self.frames.borrow().front().map(|frame| frame.bytes(now)).unwrap_or_default()
    }

    /// The time after which the next frame may not be written, if it is partly written. A frame of which no byte is
    /// written needs none: its parts are taken back.
    pub fn partial_write_deadline(&self) -> Option<Instant> {
        let frames = self.frames.borrow();
        frames.front().filter(|frame| frame.is_partly_written()).and_then(|frame| frame.write_deadline)
    }

    /// Asks for a permit to write each part of the next call, and takes back the parts that get none. Returns their
    /// attempts. Does nothing if the next frame is partly written or is no call.
    pub fn take_refused(
        &self,
        mut begin_write: impl FnMut(AttemptId) -> Result<Option<Instant>, WriteRefused>,
    ) -> Vec<AttemptId> {
        let (mut frames, mut in_flight) = (self.frames.borrow_mut(), self.parts.borrow_mut());
        let mut attempts = Vec::new();
        while let Some(frame) = frames.front_mut().filter(|frame| frame.is_unsent_call()) {
            for part in frame.take_refused(&mut begin_write) {
                in_flight.remove(&part.id);
                attempts.push(part.attempt_id);
            }
            if !frame.parts.is_empty() {
                break;
            }
            frames.pop_front();
        }
        attempts
    }

    /// Whether the rest of the next frame may not be written any more: the time limit of partly written frames is over,
    /// or the repeat window of a part has ended. A part that nobody waits for any longer does not hold the rest back.
    pub fn is_remainder_overdue(
        &self,
        mut begin_write: impl FnMut(AttemptId) -> Result<Option<Instant>, WriteRefused>,
    ) -> bool {
        let frames = self.frames.borrow();
        let Some(frame) = frames.front().filter(|frame| frame.is_partly_written()) else { return false };
        frame.write_deadline.is_some_and(|deadline| deadline <= Instant::now())
            || frame.parts.iter().any(|part| begin_write(part.attempt_id) == Err(WriteRefused::WindowEnded))
    }

    /// Records that all of the next frame but `remainder` was written. Returns the attempts whose frame is complete with
    /// that.
    pub fn mark_written(&self, remainder: Bytes) -> Vec<AttemptId> {
        let mut frames = self.frames.borrow_mut();
        let Some(frame) = frames.front_mut() else { return Vec::new() };
        if !remainder.is_empty() {
            frame.set_remainder(remainder);
            return Vec::new();
        }
        let Some(frame) = frames.pop_front() else { return Vec::new() };
        let mut parts = self.parts.borrow_mut();
        for FramePart { id, .. } in &frame.parts {
            if let Some(part) = parts.get_mut(id) {
                part.written_at = Some(Instant::now());
            }
        }
        frame.parts.into_iter().map(|part| part.attempt_id).collect()
    }

    // ---- Finished and cancelled parts ----

    /// Removes and returns the part with this id, for which a response has arrived; `None` if it is not in flight.
    pub fn take_part(&self, id: &str) -> Option<PartInFlight> {
        let (id, part) = self.parts.borrow_mut().remove_entry(id)?;
        self.remember_finished(id);
        Some(part)
    }

    /// Whether the part with this id was answered or cancelled, among the latest [`MAX_FINISHED_IDS`].
    pub fn is_finished(&self, id: &str) -> bool {
        self.finished.borrow().iter().any(|finished| finished == id)
    }

    fn remember_finished(&self, id: String) {
        let mut finished = self.finished.borrow_mut();
        if finished.len() >= MAX_FINISHED_IDS {
            finished.pop_front();
        }
        finished.push_back(id);
    }

    /// Removes and returns all parts in flight, after the connection has ended.
    pub fn take_parts(&self) -> Vec<PartInFlight> {
        self.parts.take().into_values().collect()
    }

    /// Cancels an attempt; false if it is not on this connection. The part is taken out of its frame if no byte of the
    /// frame is written. Otherwise the worker is notified, if `notify_worker` is set.
    pub fn cancel(&self, attempt_id: AttemptId, unresponsive_after: Duration, notify_worker: bool) -> bool {
        let Some((id, part)) = self.remove_part(attempt_id) else { return false };
        if !self.remove_from_unsent_call(attempt_id) {
            self.remember_finished(id.clone());
            if notify_worker {
                self.frames.borrow_mut().push_back(Frame::cancel(&id));
            }
        }
        // A connection to a failed machine stays open and accepts writes without effect, so no further call is sent on
        // it.
        if part.written_at.is_some_and(|at| self.is_unresponsive_since(at, unresponsive_after)) {
            self.retire();
        }
        self.wake.notify_one();
        true
    }

    fn remove_part(&self, attempt_id: AttemptId) -> Option<(String, PartInFlight)> {
        let mut parts = self.parts.borrow_mut();
        let id = parts.iter().find(|(_, part)| part.attempt_id == attempt_id).map(|(id, _)| id.clone())?;
        parts.remove_entry(&id)
    }

    /// Takes an attempt out of the call that carries it, if no byte of the call is written. Returns whether it was taken
    /// out.
    fn remove_from_unsent_call(&self, attempt_id: AttemptId) -> bool {
        !self.take_from_unsent_calls(|part| part.attempt_id == attempt_id).is_empty()
    }

    /// Takes the parts for which `is_taken` holds out of the calls of which no byte is written. Drops calls without
    /// parts.
    fn take_from_unsent_calls(&self, is_taken: impl Fn(&FramePart) -> bool) -> Vec<FramePart> {
        let mut taken = Vec::new();
        self.frames.borrow_mut().retain_mut(|frame| {
            taken.extend(frame.take_parts(&is_taken));
            !frame.is_unsent_call() || !frame.parts.is_empty()
        });
        taken
    }

    /// Takes back all parts of which no byte is written; returns their attempts.
    pub fn take_unsent(&self) -> Vec<AttemptId> {
        self.take_unsent_where(|_| true)
    }

    /// Takes back an attempt if no byte of its frame is written; returns it if it was taken back.
    pub fn cancel_if_unsent(&self, attempt_id: AttemptId) -> Option<AttemptId> {
        self.take_unsent_where(|part| part.attempt_id == attempt_id).pop()
    }

    fn take_unsent_where(&self, is_taken: impl Fn(&FramePart) -> bool) -> Vec<AttemptId> {
        let taken = self.take_from_unsent_calls(is_taken);
        let mut in_flight = self.parts.borrow_mut();
        for part in &taken {
            in_flight.remove(&part.id);
        }
        self.wake.notify_one();
        taken.into_iter().map(|part| part.attempt_id).collect()
    }
}
