//! The channel between the two processes of an upgrade (hot restart): messages over a Unix socket, one of which carries
//! the listening socket.
//!
//! Owns the file of the Unix socket and the connection. The sequence of messages is in `program` and `service`.

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

/// The buffer space for each read, in bytes.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Why the channel to the other process can no longer be used.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverChannelError {
    /// The connection failed or ended.
    #[error("takeover connection: {0}")]
    Closed(#[from] io::Error),
    /// A message could not be decoded or encoded.
    #[error("takeover message: {0}")]
    InvalidMessage(#[from] HandoverError),
}

/// The Unix socket at which a process waits for its successor: a file in a private folder, or an abstract name where
/// the file cannot be created.
#[derive(Clone, Debug)]
pub struct TakeoverSocket {
    path: PathBuf,
    abstract_name: String,
    /// The inode of the socket file that this process created.
    own_inode: Cell<Option<u64>>,
}

impl TakeoverSocket {
    /// Names the takeover socket of the gatherer that serves clients at `listen`.
    #[must_use]
    pub fn new(folder: &Path, listen: &str) -> TakeoverSocket {
        // Other versions of the program connect to this name, so it must not change.
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

    /// Listens for successors. An existing file, of a process that has ended or is handing over, is replaced.
    ///
    /// # Errors
    /// Neither the file nor the abstract name can be bound.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let temporary_path = self.path.with_extension(std::process::id().to_string());
        let listen_at_path = || {
            // An earlier process with the same process id may have left its file behind.
            let _ = std::fs::remove_file(&temporary_path);
            let listener = UnixListener::bind(&temporary_path)?;
            self.own_inode.set(Some(std::fs::metadata(&temporary_path)?.ino()));
            std::fs::rename(&temporary_path, &self.path)?;
            Ok(listener)
        };
        listen_at_path().or_else(|error: io::Error| {
            let listener = std::os::unix::net::UnixListener::bind_addr(&self.abstract_address()?)?;
            listener.set_nonblocking(true)?;
            log::warn!(
                "upgrade: cannot listen at {}: {error}; listening at abstract name {}, \
                 further starts find this one by name",
                self.path.display(),
                self.abstract_name
            );
            UnixListener::from_std(listener)
        })
    }

    /// Connects to the process that listens at this socket. `None` where no process does, or it runs as another user.
    ///
    /// # Errors
    /// A call failed for a reason other than a missing listener.
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

    /// Whether the socket file is the one that this process created, rather than a successor's.
    pub fn owns_socket_file(&self) -> bool {
        // A file that is missing or whose metadata cannot be read does not count as this process's own.
        let inode = std::fs::metadata(&self.path).ok().map(|file| file.ino());
        inode.is_some() && inode == self.own_inode.get()
    }

    /// Removes the socket file that this process created. A file that a successor has put in its place stays.
    pub fn remove_socket_file(&self) {
        if self.owns_socket_file() {
            // The file may have been removed meanwhile, so the error is ignored.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Whether a failed connect means that no process listens.
fn means_no_listener(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// A connection to the other process of an upgrade.
#[derive(Debug)]
pub struct TakeoverChannel {
    stream: Socket<UnixStream>,
    buffer: BytesMut,
}

impl TakeoverChannel {
    /// Wraps a connection; `None` where the peer runs as another user, which may have taken the abstract name. Nothing
    /// is sent to such a peer, or read from it.
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

    /// Sends a message together with the descriptor of a socket.
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
    /// The connection has failed or ended, or the message is invalid.
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

    /// Receives the next message and the socket that was sent with it. A received socket is returned even where the
    /// message is invalid.
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

    /// Reads bytes into the buffer, and stores the last socket that was sent with them. Returns the number of bytes
    /// read.
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
