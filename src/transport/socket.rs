//! The one way by which bytes are read from and written to sockets, in both directions and to every peer.
//!
//! The runtime's own streams take a read or write that was cut short for a drained or full socket, and wait for the next
//! edge of its readiness. Linux may cut a call short for other reasons; then no edge comes, and the peer waits for what
//! lies there. They also pass EINTR on as an error, which ends a connection on which nothing is wrong. A [`Socket`] goes
//! by readiness alone: only a call that would block ends it, and an interrupted call is made again.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// Interrupted calls after which other tasks go first.
const MOST_INTERRUPTS: u32 = 16;

thread_local! {
    static INTERRUPTED: Cell<u64> = const { Cell::new(0) };
}

/// Calls that were interrupted and made again, since the start of this thread.
pub fn interrupted_calls() -> u64 {
    INTERRUPTED.get()
}

/// A socket of the runtime, as far as it tells of readiness and makes single calls.
pub trait RawSocket: Unpin {
    /// Waits until a read may be tried.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until a write may be tried.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// One read. Readiness ends only where it would block.
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// One write. Readiness ends only where it would block.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Ends the sending side.
    fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
}

macro_rules! raw {
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

raw!(TcpStream);
raw!(UnixStream);

/// A stream socket that bears short and interrupted calls.
#[derive(Debug)]
pub struct Socket<S>(S);

impl<S: RawSocket> Socket<S> {
    /// Reads and writes this socket.
    pub fn new(raw: S) -> Socket<S> {
        Socket(raw)
    }

    /// The socket itself, for what is no reading and no writing.
    pub fn raw(&self) -> &S {
        &self.0
    }
}

/// Tries a call each time the socket is ready, until it does something or fails.
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
                INTERRUPTED.set(INTERRUPTED.get() + 1);
                interrupts += 1;
                if interrupts == MOST_INTERRUPTS {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
            }
            done => return Poll::Ready(done),
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
