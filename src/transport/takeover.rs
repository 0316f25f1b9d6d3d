//! The channel between the two processes of an upgrade: a Unix socket, messages, and the listening socket that is passed
//! beside one of them.
//!
//! It owns the socket's file and the connection. Which message follows which is decided in `program` and `service`.

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

/// The most bytes of one read.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Why the channel to the other process can no longer be used.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverChannelError {
    /// The connection failed or ended.
    #[error("{0}")]
    Closed(#[from] io::Error),
    /// The other process sent something that is no message.
    #[error("{0}")]
    InvalidMessage(#[from] HandoverError),
}

/// The Unix socket at which a process waits for its successor: a file in a private folder, or where that cannot be
/// written an abstract name.
#[derive(Clone, Debug)]
pub struct TakeoverSocket {
    path: PathBuf,
    abstract_name: String,
    /// The inode of the file that this process created.
    own_inode: Cell<Option<u64>>,
}

impl TakeoverSocket {
    /// The socket of the gatherer whose clients connect to `listen`.
    #[must_use]
    pub fn new(folder: &Path, listen: &str) -> TakeoverSocket {
        // Other versions of the program look for this name.
        let abstract_name =
            format!("clayshore-{}-{}", rustix::process::geteuid().as_raw(), listen.replace([':', '/'], "-"));
        TakeoverSocket {
            path: folder.join(format!("{abstract_name}.sock")),
            abstract_name,
            own_inode: Cell::new(None),
        }
    }

    fn abstract_address(&self) -> io::Result<SocketAddr> {
        SocketAddr::from_abstract_name(&self.abstract_name)
    }

    /// Listens for successors. The file of a process that has ended, or hands over, is replaced.
    ///
    /// # Errors
    /// Neither the file nor the abstract name can be bound.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let temporary_path = self.path.with_extension(std::process::id().to_string());
        let listen_at_path = || {
            // An earlier process with this id may have left its file behind.
            let _ = std::fs::remove_file(&temporary_path);
            let listener = UnixListener::bind(&temporary_path)?;
            self.own_inode.set(Some(std::fs::metadata(&temporary_path)?.ino()));
            std::fs::rename(&temporary_path, &self.path)?;
            Ok(listener)
        };
        listen_at_path().or_else(|error: io::Error| {
            let listener = std::os::unix::net::UnixListener::bind_addr(&self.abstract_address()?)?;
            listener.set_nonblocking(true)?;
            log::warn!("{}: {error}; further starts find this one by name", self.path.display());
            UnixListener::from_std(listener)
        })
    }

    /// Connects to a process that listens there; `None` where none does, or it belongs to another user.
    ///
    /// # Errors
    /// A call failed that says nothing about whether a process listens.
    pub async fn connect(&self) -> io::Result<Option<TakeoverChannel>> {
        let stream = match UnixStream::connect(&self.path).await {
            Ok(stream) => stream,
            Err(error) if means_no_listener(&error) => match self.connect_abstract() {
                Ok(stream) => stream,
                Err(error) if means_no_listener(&error) => return Ok(None),
                Err(error) => return Err(error),
            },
            Err(error) => return Err(error),
        };
        Ok(TakeoverChannel::new(stream))
    }

    fn connect_abstract(&self) -> io::Result<UnixStream> {
        let stream = std::os::unix::net::UnixStream::connect_addr(&self.abstract_address()?)?;
        stream.set_nonblocking(true)?;
        UnixStream::from_std(stream)
    }

    /// Whether the file at the path is the one that this process created.
    pub fn owns_socket_file(&self) -> bool {
        // A file that is missing or cannot be examined does not count as this process's own.
        let inode = std::fs::metadata(&self.path).ok().map(|file| file.ino());
        inode.is_some() && inode == self.own_inode.get()
    }

    /// Removes this process's file. That of a successor stays, which replaced it in a takeover or beside a process that
    /// did not respond.
    pub fn remove_socket_file(&self) {
        if self.owns_socket_file() {
            // It may have been removed meanwhile.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Whether the error says that no process listens.
fn means_no_listener(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// A connection to the other process.
#[derive(Debug)]
pub struct TakeoverChannel {
    stream: Socket<UnixStream>,
    buffer: BytesMut,
}

impl TakeoverChannel {
    /// Wraps a connection whose other end belongs to the same user. Another user's process that took the name gets
    /// nothing, and nothing of what it sends is read: `None`.
    pub fn new(stream: UnixStream) -> Option<TakeoverChannel> {
        let is_own_user = |uid: u32| uid == rustix::process::geteuid().as_raw();
        let own_peer = stream.peer_cred().ok().filter(|peer| is_own_user(peer.uid()));
        own_peer.is_some().then(|| TakeoverChannel { stream: Socket::new(stream), buffer: BytesMut::new() })
    }

    /// Sends a message.
    ///
    /// # Errors
    /// The message cannot be encoded, or the connection has failed.
    pub async fn send(&mut self, message: &Message) -> Result<(), TakeoverChannelError> {
        let bytes = handover::encode(message)?;
        Ok(self.stream.write_all(&bytes).await?)
    }

    /// Sends a message with a socket beside it.
    ///
    /// # Errors
    /// The message cannot be encoded, or the connection has failed.
    pub async fn send_with_socket(
        &mut self,
        message: &Message,
        socket: BorrowedFd<'_>,
    ) -> Result<(), TakeoverChannelError> {
        let bytes = handover::encode(message)?;
        let raw = self.stream.raw();
        let sent = raw
            .async_io(Interest::WRITABLE, || {
                let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = SendAncillaryBuffer::new(&mut control_buffer);
                let sockets = [socket];
                if !ancillary.push(SendAncillaryMessage::ScmRights(&sockets)) {
                    return Err(io::ErrorKind::OutOfMemory.into());
                }
                let slices = [IoSlice::new(&bytes)];
                let send = || rustix::net::sendmsg(raw, &slices, &mut ancillary, SendFlags::NOSIGNAL);
                retry_on_intr(send).map_err(io::Error::from)
            })
            .await?;
        Ok(self.stream.write_all(&bytes[sent..]).await?)
    }

    /// Receives the next message.
    ///
    /// # Errors
    /// The connection has failed or ended, or what was read is no message.
    pub async fn receive(&mut self) -> Result<Message, TakeoverChannelError> {
        loop {
            if let Some(message) = handover::take_message(&mut self.buffer)? {
                return Ok(message);
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// Receives the next message and the socket beside it. The socket is returned also where the message is invalid.
    pub async fn receive_with_socket(&mut self) -> (Result<Message, TakeoverChannelError>, Option<OwnedFd>) {
        let mut socket = None;
        loop {
            match handover::take_message(&mut self.buffer) {
                Ok(Some(message)) => return (Ok(message), socket),
                Ok(None) => {}
                Err(error) => return (Err(error.into()), socket),
            }
            match self.read_with_socket(&mut socket).await {
                Ok(0) => return (Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()), socket),
                Ok(_) => {}
                Err(error) => return (Err(error.into()), socket),
            }
        }
    }

    /// Reads bytes into the buffer, and a socket where one comes beside them. Returns how many bytes were read.
    async fn read_with_socket(&mut self, socket: &mut Option<OwnedFd>) -> io::Result<usize> {
        let mut bytes = vec![0; READ_CHUNK_BYTES];
        let raw = self.stream.raw();
        let (count, received) = raw
            .async_io(Interest::READABLE, || {
                let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut control_buffer);
                let mut slices = [IoSliceMut::new(&mut bytes)];
                let receive =
                    || rustix::net::recvmsg(raw, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC);
                let read = retry_on_intr(receive)?;
                let sockets = ancillary.drain().filter_map(|message| match message {
                    RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
                    _ => None,
                });
                Ok((read.bytes, sockets.flatten().last()))
            })
            .await?;
        self.buffer.extend_from_slice(&bytes[..count]);
        if received.is_some() {
            *socket = received;
        }
        Ok(count)
    }
}
