//! One HTTP exchange as a client: writes a request to an open connection and reads the response.
//!
//! Opens no connections and retries nothing.

use super::connector::Stream;
use crate::protocol::http::{MalformedMessage, ReceivedResponse, ResponseDecoder};
use bytes::BytesMut;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Capacity of the buffer at the first read of a response, in bytes.
pub const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Why an exchange ended without a response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed before the last byte of the request was written.
    #[error("cannot write the request: {0}")]
    NotSent(io::Error),
    /// The connection failed or ended after the request was written, before the response was complete.
    #[error("no complete response to the request: {0}")]
    NoResponse(io::Error),
    /// The response is malformed.
    #[error("malformed response: {0}")]
    Malformed(#[from] MalformedMessage),
}

/// Writes a request and reads its response; see [`send`] and [`receive`].
///
/// # Errors
/// The connection failed, see [`ExchangeError`], or the response is malformed or its body exceeds `max_body_bytes`.
pub async fn exchange(
    stream: &mut dyn Stream,
    buffer: &mut BytesMut,
    request: &[u8],
    max_body_bytes: usize,
) -> Result<ReceivedResponse, ExchangeError> {
    send(stream, request).await?;
    receive(stream, buffer, max_body_bytes).await
}

/// Writes a request.
///
/// # Errors
/// [`ExchangeError::NotSent`] if the connection failed before the last byte was written.
pub async fn send(stream: &mut dyn Stream, request: &[u8]) -> Result<(), ExchangeError> {
    stream.write_all(request).await.map_err(ExchangeError::NotSent)
}

/// Reads the response to a request that was written. Interim responses (1xx) are skipped. `buffer` keeps any bytes that
/// follow the response.
///
/// # Errors
/// The connection failed or ended, or the response is malformed or its body exceeds `max_body_bytes`.
pub async fn receive(
    stream: &mut dyn Stream,
    buffer: &mut BytesMut,
    max_body_bytes: usize,
) -> Result<ReceivedResponse, ExchangeError> {
    receive_as_memory_allows(stream, buffer, max_body_bytes, async |_| ()).await
}

/// Reads the response like [`receive`]. Before the buffer grows, `reserve` is called with the capacity that it will have,
/// and the read waits until it returns.
///
/// # Errors
/// Those of [`receive`].
pub async fn receive_as_memory_allows(
    stream: &mut dyn Stream,
    buffer: &mut BytesMut,
    max_body_bytes: usize,
    mut reserve: impl AsyncFnMut(usize),
) -> Result<ReceivedResponse, ExchangeError> {
    let mut decoder = ResponseDecoder::new(max_body_bytes);
    loop {
        if let Some(response) = decoder.take(buffer)? {
            if response.status >= 200 {
                return Ok(response);
            }
            continue;
        }
        if buffer.len() == buffer.capacity() {
            let capacity = (2 * buffer.capacity()).max(MIN_BUFFER_BYTES);
            reserve(capacity).await;
            buffer.reserve(capacity - buffer.len());
        }
        if stream.read_buf(buffer).await.map_err(ExchangeError::NoResponse)? == 0 {
            if let Some(response) = decoder.take_at_eof(buffer)?
                && response.status >= 200
            {
                return Ok(response);
            }
            return Err(ExchangeError::NoResponse(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}
