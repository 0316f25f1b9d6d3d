//! Outgoing connections, by TCP or by what stands in for it in tests. It opens connections and never decides to whom.

use super::errors;
use super::socket::Socket;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The bytes of one connection, in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Resolves to a connection that is up.
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>> + 'a>>;

/// Opens connections.
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

/// Connects within `limit`: a machine that has vanished never answers. All connections are opened here. A failure for
/// want of a local resource is retried until then.
///
/// # Errors
/// The last failure. Where [`errors::is_local`] holds for it, it says nothing about the peer.
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
