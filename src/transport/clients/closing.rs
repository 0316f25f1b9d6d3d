//! Closes connections of clients such that the client receives the last response: write, shut down, linger.

use super::connection_manager::ConnectionManager;
use crate::protocol::http;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The time limit of the last write on a connection, and again of the wait for the client's close after it.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same limit under full pressure on descriptors or buffers.
const FINAL_WRITE_TIMEOUT_UNDER_PRESSURE: Duration = Duration::from_millis(20);
/// How many bytes a client may send (pipeline) before it gets the response to its request.
pub(super) const MAX_PIPELINED_BYTES: usize = 2 * http::MAX_BODY_BYTES;
/// The buffer space reserved for each read, in bytes.
pub(super) const READ_CHUNK_BYTES: usize = 4096;

/// The time limit of the last write on a connection under the present pressure.
pub(super) fn final_write_timeout(manager: &ConnectionManager) -> Duration {
    manager.pressure().limit(FINAL_WRITE_TIMEOUT, FINAL_WRITE_TIMEOUT_UNDER_PRESSURE)
}

/// Writes the last bytes of a connection and closes it, whether or not the client reads them. Returns whether all were
/// written.
pub(super) async fn write_and_close(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    manager: &ConnectionManager,
) -> bool {
    let write_and_shut_down =
        async { write.write_all(bytes).await.is_ok() && write.shutdown().await.is_ok() };
    let written = tokio::time::timeout(final_write_timeout(manager), write_and_shut_down).await == Ok(true);
    if written {
        linger(read, final_write_timeout(manager)).await;
    }
    written
}

/// Reads and discards bytes after a shutdown, until the client closes its side or `limit` has passed (a lingering
/// close). Closing a socket with unread bytes resets the connection, and the client could then lose the last response.
/// Returns whether any bytes arrived.
pub(in crate::transport) async fn linger(read: &mut (impl AsyncRead + Unpin), limit: Duration) -> bool {
    let (mut discarded, mut received) = ([0; READ_CHUNK_BYTES], false);
    let drain = async {
        for _ in 0..MAX_PIPELINED_BYTES / READ_CHUNK_BYTES {
            if !matches!(read.read(&mut discarded).await, Ok(1..)) {
                return;
            }
            received = true;
        }
    };
    // After the time-out the connection is closed as well.
    let _ = tokio::time::timeout(limit, drain).await;
    received
}

/// Polls a future once. Returns its value if it is ready, and drops it otherwise.
pub(in crate::transport) async fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = future => Some(value),
        () = std::future::ready(()) => None,
    }
}
