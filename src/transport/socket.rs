//! Reads and writes of stream sockets, for every peer and in both directions.
//!
//! The runtime's own streams take a short read or write as a sign that the socket is drained or full, and wait for the
//! next readiness edge. Linux may return a short count for other reasons; then no edge follows, and the connection
//! stalls although bytes, or space for them, are available. The runtime's streams also return EINTR as an error, which
//! would end a healthy connection.
//!
//! A [`Socket`] clears readiness only when a call would block, and repeats interrupted calls. It does not interpret
//! bytes.

use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// The number of interrupted calls in one poll after which the task yields to others.
const MAX_INTERRUPTS_PER_POLL: u32 = 16;

thread_local! {
    static INTERRUPTED_CALLS: Cell<u64> = const { Cell::new(0) };
}

/// The number of calls that were interrupted and repeated, since the start of this thread.
#[must_use]
pub fn interrupted_calls() -> u64 {
    INTERRUPTED_CALLS.get()
}

/// A socket of the runtime that reports readiness and makes single calls.
pub trait RawSocket: Unpin {
    /// Polls until a read may succeed.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Polls until a write may succeed.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Makes one read call. Read readiness is cleared only if the call would block.
    ///
    /// # Errors
    /// The error of the call, including [`io::ErrorKind::WouldBlock`] and [`io::ErrorKind::Interrupted`].
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// Makes one write call. Write readiness is cleared only if the call would block.
    ///
    /// # Errors
    /// The error of the call, including [`io::ErrorKind::WouldBlock`] and [`io::ErrorKind::Interrupted`].
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Shuts down the write side.
    fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
}

macro_rules! impl_raw_socket {
    ($stream:ty) => {
        impl RawSocket for $stream {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_read_ready(self, cx)
            }
            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_write_ready(self, cx)
            }
            fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize> {
                self.try_read_buf(buffer)
            }
            fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
                <$stream>::try_write(self, bytes)
            }
            fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                AsyncWrite::poll_shutdown(Pin::new(self), cx)
            }
        }
    };
}

impl_raw_socket!(TcpStream);
impl_raw_socket!(UnixStream);

/// A socket that others may observe while it is used.
impl RawSocket for Rc<TcpStream> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_read_ready(self, cx)
    }
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_write_ready(self, cx)
    }
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize> {
        self.try_read_buf(buffer)
    }
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        TcpStream::try_write(self, bytes)
    }
    fn poll_shutdown(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // By the C library, as the runtime's own call, so that tests can make it fail.
        Poll::Ready(SockRef::from(&**self).shutdown(Shutdown::Write))
    }
}

/// A stream socket that handles short and interrupted calls.
#[derive(Debug)]
pub struct Socket<S>(S);

impl<S: RawSocket> Socket<S> {
    /// Wraps a socket.
    pub fn new(raw: S) -> Socket<S> {
        Socket(raw)
    }

    /// The underlying socket, for calls other than stream reads and writes.
    pub fn raw(&self) -> &S {
        &self.0
    }
}

/// Makes a call each time the socket is ready, until the call returns anything but "would block" or "interrupted".
fn poll_call<T>(
    cx: &mut Context<'_>,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    let mut interrupts = 0;
    loop {
        ready!(poll_ready(cx))?;
        match call() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                INTERRUPTED_CALLS.set(INTERRUPTED_CALLS.get() + 1);
                interrupts += 1;
                if interrupts == MAX_INTERRUPTS_PER_POLL {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
            }
            result => return Poll::Ready(result),
        }
    }
}

impl<S: RawSocket> AsyncRead for Socket<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let raw = &self.0;
        poll_call(cx, |cx| raw.poll_read_ready(cx), || raw.try_read(buffer)).map_ok(|_| ())
    }
}

impl<S: RawSocket> AsyncWrite for Socket<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let raw = &self.0;
        poll_call(cx, |cx| raw.poll_write_ready(cx), || raw.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_shutdown(cx)
    }
}
