//! Outgoing connections: the trait behind which they are opened, its TCP implementation, and connecting with a
//! time-out.
//!
//! Does not choose the address.

use super::errors;
use super::socket::Socket;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A bidirectional byte stream: one connection.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Resolves to an established connection.
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>> + 'a>>;

/// Opens connections: by TCP, or in memory in tests.
pub trait Connector {
    /// Opens a connection to this address.
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(Socket::new(stream)) as Box<dyn Stream>)
        })
    }
}

/// Connects within `limit`, since a failed machine never answers. Local errors, see [`errors::is_local`], are retried
/// until then. Every connection to a worker, an index server or the discovery agent is opened here.
///
/// # Errors
/// The error of the last try, [`io::ErrorKind::TimedOut`] where it got no answer. A local error does not mean that the
/// peer has failed.
pub async fn connect_with_timeout(
    connector: &dyn Connector,
    address: &str,
    limit: Duration,
) -> io::Result<Box<dyn Stream>> {
    let started_at = Instant::now();
    errors::retry(limit, errors::is_local, async || {
        let time_left = limit.saturating_sub(started_at.elapsed());
        let result = tokio::time::timeout(time_left, connector.connect(address)).await;
        result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    })
    .await
}
