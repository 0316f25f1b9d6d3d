//! Between the two processes of an upgrade: a Unix socket, messages, and the listening socket beside one of them.

use super::socket::Socket;
use crate::protocol::handover::{self, HandoverError, Message};
use bytes::BytesMut;
use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use std::cell::Cell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};

/// Reading takes at most so much at once.
const READ: usize = 64 * 1024;

/// Why the other process is no longer heard.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverChannelError {
    /// The connection.
    #[error("{0}")]
    Closed(#[from] io::Error),
    /// What it said.
    #[error("{0}")]
    InvalidMessage(#[from] HandoverError),
}

/// Where the processes of one gatherer find each other: by a file of a private folder, or where that cannot be written
/// by a name without a file.
#[derive(Clone, Debug)]
pub struct TakeoverSocket {
    path: PathBuf,
    name: String,
    /// The number of the file that is this process's own.
    own: Cell<Option<u64>>,
}

impl TakeoverSocket {
    /// For the gatherer whose clients connect there.
    pub fn new(folder: &Path, listen: &str) -> TakeoverSocket {
        let name =
            format!("clayshore-{}-{}", rustix::process::geteuid().as_raw(), listen.replace([':', '/'], "-"));
        TakeoverSocket { path: folder.join(format!("{name}.sock")), name, own: Cell::new(None) }
    }

    fn nameless(&self) -> io::Result<SocketAddr> {
        SocketAddr::from_abstract_name(&self.name)
    }

    /// Waits there for further starts. The file of a process that is no longer there, or hands over, is replaced.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let beside = self.path.with_extension(std::process::id().to_string());
        let by_file = || {
            // What a process of this id left behind is in the way.
            let _ = std::fs::remove_file(&beside);
            let listener = UnixListener::bind(&beside)?;
            self.own.set(Some(std::fs::metadata(&beside)?.ino()));
            std::fs::rename(&beside, &self.path)?;
            Ok(listener)
        };
        by_file().or_else(|error: io::Error| {
            let listener = std::os::unix::net::UnixListener::bind_addr(&self.nameless()?)?;
            listener.set_nonblocking(true)?;
            log::warn!("{}: {error}; further starts find this one by name", self.path.display());
            UnixListener::from_std(listener)
        })
    }

    /// Finds a process that waits there; `None` where there is none. A call that fails here says nothing of that.
    pub async fn connect(&self) -> io::Result<Option<TakeoverChannel>> {
        let stream = match UnixStream::connect(&self.path).await {
            Ok(stream) => stream,
            Err(error) if is_absent(&error) => match self.connect_nameless() {
                Ok(stream) => stream,
                Err(error) if is_absent(&error) => return Ok(None),
                Err(error) => return Err(error),
            },
            Err(error) => return Err(error),
        };
        Ok(TakeoverChannel::new(stream))
    }

    fn connect_nameless(&self) -> io::Result<UnixStream> {
        let stream = std::os::unix::net::UnixStream::connect_addr(&self.nameless()?)?;
        stream.set_nonblocking(true)?;
        UnixStream::from_std(stream)
    }

    /// Whether the file there is this process's own.
    pub fn owns_socket_file(&self) -> bool {
        let there = std::fs::metadata(&self.path).ok().map(|file| file.ino());
        there.is_some() && there == self.own.get()
    }

    /// Leaves no file of its own behind. Guards a successor's, which replaced it, by hand-over or beside a process that
    /// did not answer.
    pub fn remove_socket_file(&self) {
        if self.owns_socket_file() {
            // It may be gone by now.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Whether nobody waits there.
fn is_absent(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// A connection to the other process.
#[derive(Debug)]
pub struct TakeoverChannel {
    stream: Socket<UnixStream>,
    buffer: BytesMut,
}

impl TakeoverChannel {
    /// A connection, where the other end belongs to the same user.
    pub fn new(stream: UnixStream) -> Option<TakeoverChannel> {
        let same = |user: u32| user == rustix::process::geteuid().as_raw();
        let peer = stream.peer_cred().ok().filter(|peer| same(peer.uid()));
        // Guards against any other user's process that takes the name: it is given nothing and believed nothing.
        peer.is_some().then(|| TakeoverChannel { stream: Socket::new(stream), buffer: BytesMut::new() })
    }

    /// Sends a message.
    pub async fn send(&mut self, message: &Message) -> Result<(), TakeoverChannelError> {
        let bytes = handover::encode(message)?;
        Ok(self.stream.write_all(&bytes).await?)
    }

    /// Sends a message with a socket beside it.
    pub async fn send_with_socket(
        &mut self,
        message: &Message,
        socket: BorrowedFd<'_>,
    ) -> Result<(), TakeoverChannelError> {
        let bytes = handover::encode(message)?;
        let raw = self.stream.raw();
        let sent = raw
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut beside = SendAncillaryBuffer::new(&mut space);
                let sockets = [socket];
                if !beside.push(SendAncillaryMessage::ScmRights(&sockets)) {
                    return Err(io::ErrorKind::OutOfMemory.into());
                }
                let pieces = [IoSlice::new(&bytes)];
                let send = || rustix::net::sendmsg(raw, &pieces, &mut beside, SendFlags::NOSIGNAL);
                retry_on_intr(send).map_err(io::Error::from)
            })
            .await?;
        Ok(self.stream.write_all(&bytes[sent..]).await?)
    }

    /// The next message.
    pub async fn receive(&mut self) -> Result<Message, TakeoverChannelError> {
        loop {
            if let Some(message) = handover::take_message(&mut self.buffer)? {
                return Ok(message);
            }
            self.buffer.reserve(READ);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// The next message, and the socket that comes beside it: that one also where the message is of no use.
    pub async fn receive_with_socket(&mut self) -> (Result<Message, TakeoverChannelError>, Option<OwnedFd>) {
        let mut socket = None;
        loop {
            match handover::take_message(&mut self.buffer) {
                Ok(Some(message)) => return (Ok(message), socket),
                Ok(None) => {}
                Err(error) => return (Err(error.into()), socket),
            }
            match self.read_with(&mut socket).await {
                Ok(0) => return (Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()), socket),
                Ok(_) => {}
                Err(error) => return (Err(error.into()), socket),
            }
        }
    }

    async fn read_with(&mut self, socket: &mut Option<OwnedFd>) -> io::Result<usize> {
        let mut bytes = vec![0; READ];
        let raw = self.stream.raw();
        let (count, came) = raw
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut beside = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut bytes)];
                let receive = || rustix::net::recvmsg(raw, &mut parts, &mut beside, RecvFlags::CMSG_CLOEXEC);
                let read = retry_on_intr(receive)?;
                let sockets = beside.drain().filter_map(|message| match message {
                    RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
                    _ => None,
                });
                Ok((read.bytes, sockets.flatten().last()))
            })
            .await?;
        self.buffer.extend_from_slice(&bytes[..count]);
        if came.is_some() {
            *socket = came;
        }
        Ok(count)
    }
}
