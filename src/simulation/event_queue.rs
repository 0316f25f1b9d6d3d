//! The queue of a simulation's pending events, in the order in which they are due.
//!
//! The queue stores and orders events; the engine applies them.

use crate::membership::ConnectionProbeResult;
use crate::policy::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// An event that is delivered to a member's process.
#[derive(Clone)]
pub(super) enum Event<M> {
    /// The process's timers run, if `starts` is still the member's number of starts.
    Tick { id: usize, starts: u64 },
    /// A datagram arrives from another member.
    Datagram { to: usize, message: M },
    /// A connection probe of the process to the member `name` ends.
    ProbeResult { id: usize, name: String, start: u64, result: ConnectionProbeResult },
    /// The table of the member `from` arrives; unless it is a reply, the receiver returns its own table.
    Table { to: usize, from: usize, message: M, is_reply: bool },
}

impl<M> Event<M> {
    /// The number of the member that receives the event.
    pub(super) fn target(&self) -> usize {
        match self {
            Event::Tick { id, .. } | Event::ProbeResult { id, .. } => *id,
            Event::Datagram { to, .. } | Event::Table { to, .. } => *to,
        }
    }
}

/// An event with the time at which it is due.
pub(super) struct DueEvent<M> {
    pub(super) due: Time,
    pub(super) event: Event<M>,
}

/// The sort key of a pending event. Events that are due at the same time are applied in the order of their
/// serial numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    due: Time,
    serial: u64,
}

/// The queue of pending events.
pub(super) struct EventQueue<M> {
    /// The sort keys, as a min-heap.
    order: BinaryHeap<Reverse<QueuedEvent>>,
    /// The events, by serial number.
    events: HashMap<u64, Event<M>>,
    last_serial: u64,
}

impl<M> EventQueue<M> {
    /// Creates an empty queue.
    pub(super) fn new() -> EventQueue<M> {
        EventQueue { order: BinaryHeap::new(), events: HashMap::new(), last_serial: 0 }
    }

    /// Adds an event that is due at `due`, after those already queued for the same time.
    pub(super) fn push(&mut self, due: Time, event: Event<M>) {
        self.last_serial += 1;
        self.events.insert(self.last_serial, event);
        self.order.push(Reverse(QueuedEvent { due, serial: self.last_serial }));
    }

    /// Removes and returns the next event, if it is due at `latest` or earlier.
    pub(super) fn pop_due(&mut self, latest: Time) -> Option<DueEvent<M>> {
        let Reverse(QueuedEvent { due, serial }) = *self.order.peek().filter(|next| next.0.due <= latest)?;
        self.order.pop();
        let event = self.events.remove(&serial)?;
        Some(DueEvent { due, event })
    }
}
