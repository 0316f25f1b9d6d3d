//! Tells whether a peer has closed its connection, also while bytes that it sent before are unread.

use std::future::Future;
use std::pin::pin;
use std::rc::Weak;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Observes a connection that another task owns. Keeps no socket open.
#[derive(Clone, Debug, Default)]
pub struct CloseProbe(Weak<TcpStream>);

impl CloseProbe {
    /// Observes this socket.
    #[must_use]
    pub fn new(socket: Weak<TcpStream>) -> CloseProbe {
        CloseProbe(socket)
    }

    /// Whether the runtime has noticed that the peer has closed its connection or its write side. False for
    /// connections that do not report it; there the close is noticed once all bytes before it are read.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let Some(socket) = self.0.upgrade() else { return false };
        let ready = pin!(socket.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }
}
