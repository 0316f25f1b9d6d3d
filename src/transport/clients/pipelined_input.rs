//! What a client sends while one of its requests is being served: kept up to a limit, and read so that a close behind
//! it is noticed.

use super::closing::{MAX_PIPELINED_BYTES, READ_CHUNK_BYTES, poll_once};
use super::connection_permit::ConnectionPermit;
use super::input_buffer::InputBuffer;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;

/// Number of reads in one turn.
const READS_PER_TURN: usize = 16;
/// Time after which a request is not forwarded if its client still sends more than is read: whether the client has
/// closed the connection behind it is not known. Half of the time after which nothing may be sent for such a client.
const MAX_READ_TIME: Duration = Duration::from_millis(50);

/// Whether all that a client has sent is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadAhead {
    /// All is read, or the client is known to have closed the connection.
    Complete,
    /// The client has sent more than could be read in time.
    Incomplete,
}

/// What a client sends while its request is being served.
pub(super) struct PipelinedInput<'a, R> {
    pub read: &'a mut R,
    pub input: &'a mut InputBuffer,
    pub permit: &'a ConnectionPermit,
    /// Size of the request's body, which is held as well.
    pub body_bytes: usize,
    /// Whether the client sent more than the limit. The connection then ends after its response.
    pub overflowed: bool,
}

impl<R: AsyncRead + Unpin> PipelinedInput<'_, R> {
    /// Reads all that has arrived, before anything is sent for the request: a client that has closed its connection
    /// may have done so behind more bytes than the system holds for one read.
    pub async fn read_ahead(&mut self) -> ReadAhead {
        let began_at = Instant::now();
        loop {
            for _ in 0..READS_PER_TURN {
                if self.permit.task().client_has_closed() {
                    return ReadAhead::Complete;
                }
                self.make_space();
                match poll_once(self.read.read_buf(self.input.buffer())).await {
                    Some(Ok(count @ 1..)) => self.record_read(count),
                    None | Some(Ok(0) | Err(_)) => return ReadAhead::Complete,
                }
            }
            if began_at.elapsed() >= MAX_READ_TIME {
                return ReadAhead::Incomplete;
            }
            self.permit.task().wait_for_next_turn().await;
        }
    }

    /// Waits until the client closes its connection, and reads what arrives meanwhile.
    pub async fn wait_for_client_close(&mut self) {
        while !self.permit.task().client_has_closed() {
            self.make_space();
            match self.read.read_buf(self.input.buffer()).await {
                Ok(count @ 1..) => self.record_read(count),
                Ok(0) | Err(_) => return,
            }
        }
    }

    /// Makes space for one more read. Beyond the limit all bytes are discarded.
    fn make_space(&mut self) {
        let allowance = self.permit.buffer_reservation.allowance();
        let limit = MAX_PIPELINED_BYTES.min(allowance.saturating_sub(self.body_bytes));
        if self.overflowed || self.input.held_bytes_after_reserve() > limit.max(READ_CHUNK_BYTES) {
            self.overflowed = true;
            self.input.clear();
        }
        self.input.reserve();
        self.permit.buffer_reservation.set(self.input.held_bytes() + self.body_bytes);
    }

    fn record_read(&mut self, count: usize) {
        self.input.record_read(count, self.permit.task().input_arrived_at());
    }
}
