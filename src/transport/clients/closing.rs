//! How a client's connection is closed so that its client gets the last response: write, shut down, linger.

use super::connection_manager::ConnectionManager;
use crate::protocol::http;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// How long the last write on a connection, and the wait for the client's close behind it, may take each.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same limit when descriptors or buffers are scarce.
const FINAL_WRITE_TIMEOUT_UNDER_PRESSURE: Duration = Duration::from_millis(20);
/// How many bytes a client may send ahead of the response that it waits for.
pub(super) const MAX_PIPELINED_BYTES: usize = 2 * http::MAX_BODY_BYTES;
/// The most bytes of one read.
pub(super) const READ_CHUNK_BYTES: usize = 4096;

/// How long the last write on a connection may take, by what is scarce now.
pub(super) fn final_write_timeout(manager: &ConnectionManager) -> Duration {
    manager.pressure().limit(FINAL_WRITE_TIMEOUT, FINAL_WRITE_TIMEOUT_UNDER_PRESSURE)
}

/// Writes the last bytes of a connection and closes it, whether its client takes them or not. True if all were written.
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

/// Reads and discards for a while after a shutdown (a lingering close): closing a socket with unread bytes would reset
/// the connection, and the reset could take the last response with it. True if any bytes arrived.
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
    // The connection ends here whether the client has closed its side or not.
    let _ = tokio::time::timeout(limit, drain).await;
    received
}

/// Polls a future a single time: its value, if it has one without waiting.
pub(super) async fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = future => Some(value),
        () = std::future::ready(()) => None,
    }
}
