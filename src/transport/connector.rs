//! Connections out, by TCP or by whatever stands in for it.

use super::errors;
use super::socket::Socket;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// A connection that is about to be up.
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>> + 'a>>;

/// Opens connections.
pub trait Connector {
    /// Opens one to this address.
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a>;
}

/// TCP.
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

/// Dials, but not for longer than this: a machine that has vanished never answers. The one way by which connections are
/// opened: what fails for want of something here is tried again, and if it still fails then, the error tells so
/// ([`failure::is_local`]): it says nothing of the peer.
pub async fn connect_with_timeout(
    dial: &dyn Connector,
    address: &str,
    limit: Duration,
) -> io::Result<Box<dyn Stream>> {
    let began = Instant::now();
    errors::retry(limit, errors::is_local, async || {
        let left = limit.saturating_sub(began.elapsed());
        let dialled = tokio::time::timeout(left, dial.connect(address)).await;
        dialled.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    })
    .await
}
