//! The resources of one client's connection while it is open: its descriptor, its entry in the eviction order, and the
//! bytes buffered for it. Reports events of the connection to [`crate::limits`], which decides about evictions.

use super::connection_manager::{ConnectionManager, Eviction};
use crate::limits::client_connections::{EvictionReason, RequestValidity, Source};
use crate::limits::{ClientConnections, ConnectionCounters};
use crate::transport::descriptor_pool::{BufferReservation, DescriptorPermit};
use crate::transport::task_scheduler::ScheduledTask;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The admission of one client's connection. Dropping the permit releases the descriptor and removes the connection
/// from the manager.
pub struct ConnectionPermit {
    manager: Rc<ConnectionManager>,
    id: u64,
    descriptor: DescriptorPermit,
    eviction: Rc<Eviction>,
    /// The reservation of the bytes that are buffered for this connection.
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
    /// The task that serves the connection.
    pub fn task(&self) -> &Rc<ScheduledTask> {
        &self.eviction.task
    }
    fn with_connections<T>(&self, change: impl FnOnce(&mut ClientConnections) -> T) -> T {
        change(&mut self.manager.connections.borrow_mut())
    }

    /// Sets how long the connection may have waited in the backlog before it was accepted.
    pub fn set_queue_time(&self, waited: Duration) {
        self.queue_time.set(waited);
    }
    /// How long the next request may have waited unread in the backlog: zero from the second request of a connection
    /// on.
    pub fn take_queue_time(&self) -> Duration {
        self.queue_time.take()
    }

    /// Waits until the connection is evicted, and returns the reason.
    pub async fn evicted(&self) -> EvictionReason {
        loop {
            match self.eviction.reason.take() {
                Some(reason) => return reason,
                None => self.eviction.requested.notified().await,
            }
        }
    }
    /// Records bytes of an incomplete request. They cancel a pending eviction.
    pub fn on_bytes_received(&self, bytes: usize) {
        if self.eviction.reason.take().is_some() {
            self.eviction.task.set_closing(false);
            self.update_counters(|counters| counters.eviction_cancelled += 1);
        }
        self.with_connections(|connections| {
            connections.receive_bytes(self.manager.descriptor_pool().now(), self.id, bytes)
        });
    }
    /// Sets the source of the connection, after a request has named its caller.
    pub fn set_source(&self, source: Source) {
        self.with_connections(|connections| connections.set_source(self.id, source));
    }
    /// Marks the connection as busy with a complete request, which cancels a pending eviction. Returns false if that
    /// would use a descriptor that another class is guaranteed: the request must then be rejected, and its source is
    /// penalised as for malformed input.
    #[must_use]
    pub fn try_begin_request(&self) -> bool {
        let marked = self.descriptor.try_mark_busy();
        if marked {
            self.eviction.reason.take();
            self.eviction.task.set_closing(false);
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
    /// Marks the connection as idle after its response was written.
    pub fn on_response_sent(&self, validity: RequestValidity) {
        self.descriptor.mark_idle();
        self.with_connections(|connections| {
            connections.finish_query(self.manager.descriptor_pool().now(), self.id, validity)
        });
        self.manager.evictable.notify_one();
    }
    /// Updates the connection counters of the process.
    pub fn update_counters(&self, change: impl FnOnce(&mut ConnectionCounters)) {
        change(&mut self.manager.descriptor_pool().counters.borrow_mut());
    }
    /// Records that the input is not a valid request.
    pub fn on_malformed_input(&self) {
        self.with_connections(|connections| {
            connections.reject_malformed(self.manager.descriptor_pool().now(), self.id)
        });
    }
    /// Records bytes that arrived just before the connection was to be closed, which keep it open.
    pub fn cancel_eviction(&self, bytes: usize) {
        self.eviction.task.set_closing(false);
        self.update_counters(|counters| counters.eviction_cancelled += 1);
        self.with_connections(|connections| {
            connections.receive_bytes(self.manager.descriptor_pool().now(), self.id, bytes)
        });
    }
    /// Counts bytes that arrived after this side had closed the connection.
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
