//! What one client's connection holds while it is open: its descriptor, its place among the connections that may be
//! evicted, and the bytes that are buffered for it. It decides nothing: it reports to [`crate::limits`].

use super::connection_manager::{ConnectionManager, Eviction};
use crate::limits::client_connections::{EvictionReason, RequestValidity, Source};
use crate::limits::{ClientConnections, ConnectionCounters};
use crate::transport::descriptor_pool::{BufferReservation, DescriptorPermit};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The right of one client's connection to exist, from its admission to its close. Dropping it releases the descriptor
/// and forgets the connection.
pub struct ConnectionPermit {
    manager: Rc<ConnectionManager>,
    id: u64,
    descriptor: DescriptorPermit,
    eviction: Rc<Eviction>,
    /// The bytes that are buffered for this connection.
    pub buffer_reservation: BufferReservation,
    /// How long the connection may have waited in the backlog before it was accepted.
    queue_time: Cell<Duration>,
}

impl ConnectionPermit {
    pub(super) fn new(
        manager: Rc<ConnectionManager>,
        id: u64,
        descriptor: DescriptorPermit,
        eviction: Rc<Eviction>,
    ) -> ConnectionPermit {
        let buffer_reservation = BufferReservation::new(manager.descriptor_pool());
        ConnectionPermit {
            manager,
            id,
            descriptor,
            eviction,
            buffer_reservation,
            queue_time: Cell::default(),
        }
    }
    /// The manager that admitted the connection.
    pub fn connection_manager(&self) -> &ConnectionManager {
        &self.manager
    }
    fn with_connections<T>(&self, change: impl FnOnce(&mut ClientConnections) -> T) -> T {
        change(&mut self.manager.connections.borrow_mut())
    }

    /// Notes how long the connection may have waited in the backlog before it was accepted.
    pub fn set_queue_time(&self, waited: Duration) {
        self.queue_time.set(waited);
    }
    /// How long the next request may have waited unread: zero from a connection's second request on.
    pub fn take_queue_time(&self) -> Duration {
        self.queue_time.take()
    }

    /// Waits until the connection is evicted; says why it is.
    pub async fn evicted(&self) -> EvictionReason {
        loop {
            match self.eviction.reason.take() {
                Some(reason) => return reason,
                None => self.eviction.requested.notified().await,
            }
        }
    }
    /// Bytes of a request that is not complete yet have arrived. They cancel an eviction.
    pub fn on_bytes_received(&self, bytes: usize) {
        if self.eviction.reason.take().is_some() {
            self.update_counters(|counters| counters.eviction_cancelled += 1);
        }
        self.with_connections(|connections| {
            connections.receive_bytes(self.manager.descriptor_pool().now(), self.id, bytes)
        });
    }
    /// The client has said who it is.
    pub fn set_source(&self, source: Source) {
        self.with_connections(|connections| connections.set_source(self.id, source));
    }
    /// A request is complete: makes the connection busy. False where that would take a descriptor that another class is
    /// guaranteed; the request is then to be rejected.
    #[must_use]
    pub fn try_begin_request(&self) -> bool {
        let marked = self.descriptor.try_mark_busy();
        if marked {
            self.eviction.reason.take();
            self.with_connections(|connections| {
                connections.start_query(self.manager.descriptor_pool().now(), self.id)
            });
        } else {
            self.update_counters(|counters| counters.rejected_no_descriptor += 1);
            self.with_connections(|connections| {
                connections.reject_malformed(self.manager.descriptor_pool().now(), self.id)
            });
        }
        marked
    }
    /// The response was written: the connection is idle again.
    pub fn on_response_sent(&self, validity: RequestValidity) {
        self.descriptor.mark_idle();
        self.with_connections(|connections| {
            connections.finish_query(self.manager.descriptor_pool().now(), self.id, validity)
        });
        self.manager.evictable.notify_one();
    }
    /// Changes the process's counters.
    pub fn update_counters(&self, change: impl FnOnce(&mut ConnectionCounters)) {
        change(&mut self.manager.descriptor_pool().counters.borrow_mut());
    }
    /// The bytes that arrived are not a valid request.
    pub fn on_malformed_input(&self) {
        self.with_connections(|connections| {
            connections.reject_malformed(self.manager.descriptor_pool().now(), self.id)
        });
    }
    /// Bytes of a request arrived as the connection was about to be closed: it stays open.
    pub fn cancel_eviction(&self, bytes: usize) {
        self.update_counters(|counters| counters.eviction_cancelled += 1);
        self.with_connections(|connections| {
            connections.receive_bytes(self.manager.descriptor_pool().now(), self.id, bytes)
        });
    }
    /// Bytes arrived after the connection was closed from this side.
    pub fn on_request_after_close(&self) {
        self.update_counters(|counters| counters.close_races += 1);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.with_connections(|connections| connections.close(self.id));
        self.manager.evictions.borrow_mut().remove(&self.id);
    }
}
