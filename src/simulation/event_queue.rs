//! The events in flight of a simulation, in the order in which they happen. It knows no member's process.

use crate::membership::ConnectionProbeResult;
use crate::policy::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Something that happens to a member's process.
#[derive(Clone)]
pub(super) enum Event<M> {
    /// Its timers run, if it is the process of so many starts.
    Tick { id: usize, starts: u64 },
    /// A datagram arrives.
    Datagram { to: usize, message: M },
    /// A connection that it probed came up, was refused, or got no response.
    ProbeResult { id: usize, name: String, start: u64, result: ConnectionProbeResult },
    /// Another member's table arrives; unless it is a reply, the other one waits for the member's own.
    Table { to: usize, from: usize, message: M, is_reply: bool },
}

impl<M> Event<M> {
    /// The member that the event happens to.
    pub(super) fn target(&self) -> usize {
        match self {
            Event::Tick { id, .. } | Event::ProbeResult { id, .. } => *id,
            Event::Datagram { to, .. } | Event::Table { to, .. } => *to,
        }
    }
}

/// An event whose time has come.
pub(super) struct DueEvent<M> {
    pub(super) due: Time,
    pub(super) event: Event<M>,
}

/// When an event in flight is due. Events that are due at the same time happen in the order of their serial
/// numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    due: Time,
    serial: u64,
}

/// The events in flight.
pub(super) struct EventQueue<M> {
    /// The next event first.
    order: BinaryHeap<Reverse<QueuedEvent>>,
    /// The events, by their serial numbers.
    events: HashMap<u64, Event<M>>,
    last_serial: u64,
}

impl<M> EventQueue<M> {
    /// No events.
    pub(super) fn new() -> EventQueue<M> {
        EventQueue { order: BinaryHeap::new(), events: HashMap::new(), last_serial: 0 }
    }

    /// Adds an event that happens at `due`, after all that are due then already.
    pub(super) fn push(&mut self, due: Time, event: Event<M>) {
        self.last_serial += 1;
        self.events.insert(self.last_serial, event);
        self.order.push(Reverse(QueuedEvent { due, serial: self.last_serial }));
    }

    /// Takes the next event, if it is due at `latest` or before.
    pub(super) fn pop_due(&mut self, latest: Time) -> Option<DueEvent<M>> {
        let Reverse(QueuedEvent { due, serial }) = *self.order.peek().filter(|next| next.0.due <= latest)?;
        self.order.pop();
        let event = self.events.remove(&serial)?;
        Some(DueEvent { due, event })
    }
}
