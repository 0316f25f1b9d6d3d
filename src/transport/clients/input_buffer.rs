//! The input of one client's connection: the bytes that are not served yet, when they arrived, and how much memory they
//! take.

use super::arrivals::Arrivals;
use super::closing::READ_CHUNK_BYTES;
use crate::protocol::http::{MalformedMessage, Request, RequestDecoder};
use bytes::BytesMut;
use tokio::time::Instant;

/// Allocation that is kept between requests. A larger one is given back, since most connections are idle.
const MAX_KEPT_BYTES: usize = 2 * READ_CHUNK_BYTES;
/// A buffer that is full grows by this fraction of its size.
const GROWTH_DIVISOR: usize = 4;

/// A request with the arrival of its last byte.
pub(super) struct ArrivedRequest {
    pub request: Request,
    pub arrived_at: Option<Instant>,
}

/// Bytes that were read and are not served yet.
#[derive(Default)]
pub(super) struct InputBuffer {
    bytes: BytesMut,
    /// Bytes at the front of the allocation that were served.
    served: usize,
    arrivals: Arrivals,
    decoder: RequestDecoder,
}

impl InputBuffer {
    /// Whether all bytes are served.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Number of bytes that are not served.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Number of bytes that this input takes up in memory.
    pub fn held_bytes(&self) -> usize {
        self.served + self.bytes.capacity() + self.decoder.held_bytes()
    }

    /// Number of bytes that this input would take up with space for one more read.
    pub fn held_bytes_after_reserve(&self) -> usize {
        if self.has_space() { self.held_bytes() } else { self.grown_capacity() + self.decoder.held_bytes() }
    }

    fn has_space(&self) -> bool {
        self.bytes.capacity() - self.bytes.len() >= READ_CHUNK_BYTES
    }

    fn grown_capacity(&self) -> usize {
        self.bytes.len() + READ_CHUNK_BYTES.max(self.bytes.len() / GROWTH_DIVISOR)
    }

    /// Makes space for one more read.
    pub fn reserve(&mut self) {
        if !self.has_space() {
            self.reallocate(self.grown_capacity());
        }
    }

    /// The buffer to read into, after [`InputBuffer::reserve`].
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Moves the bytes that are not served to an allocation of this size.
    fn reallocate(&mut self, capacity: usize) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        (self.bytes, self.served) = (bytes, 0);
    }

    /// Records that bytes were appended to the buffer, which arrived at this time.
    pub fn record_read(&mut self, count: usize, arrived_at: Instant) {
        self.arrivals.record(count, arrived_at);
    }

    /// Takes a complete request off the buffer, if there is one.
    pub fn take_request(&mut self) -> Result<Option<ArrivedRequest>, MalformedMessage> {
        let buffered = self.bytes.len();
        let Some(request) = self.decoder.take(&mut self.bytes)? else { return Ok(None) };
        let taken = buffered - self.bytes.len();
        self.served += taken;
        // Each byte is moved once at most for each byte that was served.
        let is_mostly_served = self.served >= self.bytes.len();
        if is_mostly_served && self.served + self.bytes.capacity() > MAX_KEPT_BYTES {
            self.reallocate(self.bytes.len());
        }
        Ok(Some(ArrivedRequest { request, arrived_at: self.arrivals.take(taken) }))
    }

    /// Whether exactly a header has arrived whose client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.decoder.expects_continue(&self.bytes)
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        (self.bytes, self.served) = (BytesMut::new(), 0);
        self.arrivals.clear();
    }
}

#[cfg(test)]
mod tests;
