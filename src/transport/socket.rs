//! The only reads and writes of stream sockets, to every peer and in both directions.
//!
//! The runtime's own streams take a short read or write for a drained or full socket and wait for its next readiness
//! edge. Linux may cut a call short for other reasons; then no edge comes, and the peer waits for bytes that are there.
//! They also return EINTR as an error, which would end a sound connection. A [`Socket`] goes by readiness alone: only a
//! call that would block ends it, and an interrupted call is made again. It never interprets bytes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// After how many interrupted calls in a row other tasks run first.
const MAX_INTERRUPTS_PER_POLL: u32 = 16;

thread_local! {
    static INTERRUPTED_CALLS: Cell<u64> = const { Cell::new(0) };
}

/// The number of calls that were interrupted and made again, since the start of this thread.
#[must_use]
pub fn interrupted_calls() -> u64 {
    INTERRUPTED_CALLS.get()
}

/// A socket of the runtime that reports readiness and makes single calls.
pub trait RawSocket: Unpin {
    /// Waits until a read may succeed.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until a write may succeed.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Makes one read. Readiness ends only where it would block.
    ///
    /// # Errors
    /// The error of the call, [`io::ErrorKind::WouldBlock`] and [`io::ErrorKind::Interrupted`] among them.
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// Makes one write. Readiness ends only where it would block.
    ///
    /// # Errors
    /// The error of the call, [`io::ErrorKind::WouldBlock`] and [`io::ErrorKind::Interrupted`] among them.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Shuts the sending side down.
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

/// A stream socket that handles short and interrupted calls.
#[derive(Debug)]
pub struct Socket<S>(S);

impl<S: RawSocket> Socket<S> {
    /// Wraps a socket.
    pub fn new(raw: S) -> Socket<S> {
        Socket(raw)
    }

    /// The socket itself, for what is neither a read nor a write of a stream.
    pub fn raw(&self) -> &S {
        &self.0
    }
}

/// Makes a call each time the socket is ready, until it succeeds or fails.
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
