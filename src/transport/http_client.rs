//! One HTTP exchange on a connection of our own.

use super::connector::Stream;
use crate::protocol::http::{self, Malformed, ReceivedResponse};
use bytes::BytesMut;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the request's last byte was written.
    #[error("not sent: {0}")]
    NotSent(io::Error),
    /// It ended after that.
    #[error("sent, not answered: {0}")]
    NoResponse(io::Error),
    /// The response cannot be read.
    #[error("unreadable response: {0}")]
    Malformed(#[from] Malformed),
}

/// Sends a request and reads its response, of at most so many bytes of body.
pub async fn exchange(
    stream: &mut dyn Stream,
    buffer: &mut BytesMut,
    request: &[u8],
    most: usize,
) -> Result<ReceivedResponse, ExchangeError> {
    stream.write_all(request).await.map_err(ExchangeError::NotSent)?;
    loop {
        if let Some(response) = http::take_response(buffer, most)? {
            if response.status >= 200 {
                return Ok(response);
            }
            continue;
        }
        if stream.read_buf(buffer).await.map_err(ExchangeError::NoResponse)? == 0 {
            if let Some(response) = http::take_response_at_eof(buffer, most)?
                && response.status >= 200
            {
                return Ok(response);
            }
            return Err(ExchangeError::NoResponse(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}
