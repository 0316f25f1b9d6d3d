//! The memory of results that are received from index servers, and of responses that are written to clients.
//!
//! Bytes are counted from the read to the drop of their last owner, wherever they are kept. Where the memory is full,
//! only the oldest attempt that reads a result goes on, so that the searches that hold results can always be completed.
//! Where responses alone fill it, no read goes on: clients read them soon, or lose their connections.

use crate::routing::AttemptId;
use bytes::Bytes;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Largest body of a response that is not counted, in bytes.
const MAX_UNCOUNTED_RESPONSE_BYTES: usize = 4 << 10;

/// Handle to the memory of results, of which a process has one.
#[derive(Clone)]
pub struct ResultMemory(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Notified when memory is released, or another attempt becomes the oldest.
    released: Notify,
}

struct State {
    total: usize,
    /// Bytes of results.
    results: usize,
    /// Bytes of responses.
    responses: usize,
    /// The attempts whose results are being read.
    reading: BTreeSet<AttemptId>,
}

impl ResultMemory {
    /// Creates a memory of `total` bytes.
    #[must_use]
    pub fn new(total: usize) -> ResultMemory {
        let state = Mutex::new(State { total, results: 0, responses: 0, reading: BTreeSet::new() });
        ResultMemory(Arc::new(Shared { state, released: Notify::new() }))
    }

    /// Changes the size of the memory.
    pub fn resize(&self, total: usize) {
        self.0.state().total = total;
        self.0.released.notify_waiters();
    }

    /// Size of the memory in bytes.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.state().total
    }

    /// Whether no memory is left, so that no further search or page may begin.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let state = self.0.state();
        state.used() >= state.total
    }

    /// Counts the bytes of a response until they are dropped: once as they are, and once as they are encoded. A small one
    /// is not counted: connections, of which there are few enough, bound their number.
    #[must_use]
    pub fn count_response(&self, body: Bytes) -> Bytes {
        if body.len() <= MAX_UNCOUNTED_RESPONSE_BYTES {
            return body;
        }
        let bytes = 2 * body.len();
        self.count(Content::Response, body, bytes)
    }

    /// Counts the bytes of a result that was read at once until they are dropped.
    #[must_use]
    pub fn count_result(&self, body: Bytes) -> Bytes {
        let bytes = body.len();
        self.count(Content::Result, body, bytes)
    }

    fn count(&self, content: Content, body: Bytes, bytes: usize) -> Bytes {
        let mut allocation = Allocation { memory: self.0.clone(), content, bytes: 0 };
        allocation.set(bytes);
        Bytes::from_owner(CountedBytes { bytes: body, _allocation: allocation })
    }

    /// Begins the read of the result of an attempt.
    #[must_use]
    pub fn begin_read(&self, attempt: AttemptId) -> ResultRead {
        self.0.state().reading.insert(attempt);
        let allocation = Allocation { memory: self.0.clone(), content: Content::Result, bytes: 0 };
        ResultRead { attempt, allocation }
    }
}

impl Shared {
    /// Locks the state, which no code that holds the lock can leave incomplete.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn used(&self) -> usize {
        self.results + self.responses
    }

    /// The bytes of this content.
    fn used_by(&mut self, content: Content) -> &mut usize {
        match content {
            Content::Result => &mut self.results,
            Content::Response => &mut self.responses,
        }
    }

    /// Whether a read that is the oldest one or not may bring the results to this many bytes.
    fn may_grow_to(&self, results: usize, is_oldest: bool) -> bool {
        results + self.responses <= self.total || (is_oldest && self.responses < self.total)
    }
}

/// What counted bytes are part of.
#[derive(Clone, Copy)]
enum Content {
    Result,
    Response,
}

/// Bytes that are counted until the allocation is dropped.
struct Allocation {
    memory: Arc<Shared>,
    content: Content,
    bytes: usize,
}

impl Allocation {
    fn set(&mut self, bytes: usize) {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let mut state = self.memory.state();
        let used = state.used_by(self.content);
        *used = *used + bytes - before;
        drop(state);
        if bytes < before {
            self.memory.released.notify_waiters();
        }
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bytes with their allocation, which is released with them.
struct CountedBytes {
    bytes: Bytes,
    _allocation: Allocation,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The read of the result of one attempt.
pub struct ResultRead {
    attempt: AttemptId,
    allocation: Allocation,
}

impl ResultRead {
    /// Waits until the result may take this many bytes in all.
    pub async fn grow_to(&mut self, bytes: usize) {
        while !self.try_grow_to(bytes) {
            let memory = self.allocation.memory.clone();
            let released = memory.released.notified();
            if self.try_grow_to(bytes) {
                return;
            }
            released.await;
        }
    }

    fn try_grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.allocation.bytes {
            return true;
        }
        let mut state = self.allocation.memory.state();
        let results = state.results - self.allocation.bytes + bytes;
        let is_oldest = state.reading.first() == Some(&self.attempt);
        if !state.may_grow_to(results, is_oldest) {
            return false;
        }
        state.results = results;
        drop(state);
        self.allocation.bytes = bytes;
        true
    }

    /// Ends the read. Returns the body of the result, which is counted until it is dropped.
    #[must_use]
    pub fn finish(mut self, body: Bytes) -> Bytes {
        self.allocation.set(body.len());
        let memory = self.allocation.memory.clone();
        let none = Allocation { memory, content: Content::Result, bytes: 0 };
        let allocation = std::mem::replace(&mut self.allocation, none);
        Bytes::from_owner(CountedBytes { bytes: body, _allocation: allocation })
    }
}

impl Drop for ResultRead {
    fn drop(&mut self) {
        self.allocation.memory.state().reading.remove(&self.attempt);
        self.allocation.memory.released.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
