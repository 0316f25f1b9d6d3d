//! The fake network of a scenario: in-memory pipes to and from its parties, and what each party receives as text.

use bytes::BytesMut;
use gatherer::protocol::http;
use gatherer::transport::connector::{ConnectFuture, Connector, Stream};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, split};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

pub(super) const PIPE_BYTES: usize = 1 << 16;

#[derive(Clone, Copy, PartialEq)]
pub(super) enum PortState {
    Open,
    Closed,
    Silent,
    /// Connections are established after this delay.
    DelayedOpen(Duration),
}

#[derive(Clone, Copy)]
pub(super) enum WireFormat {
    Frames,
    Requests,
    Responses,
}

pub(super) struct Party {
    pub(super) form: WireFormat,
    pub(super) port: PortState,
    /// Its connections; a closed one leaves `None`.
    pub(super) connections: Vec<Option<Connection>>,
    /// Indexes of connections on which a request waits for its response, in order.
    pending: Rc<RefCell<VecDeque<usize>>>,
    inbox_sender: mpsc::UnboundedSender<String>,
    pub(super) inbox: Rc<RefCell<mpsc::UnboundedReceiver<String>>>,
}

pub(super) struct Connection {
    pub(super) sender: mpsc::UnboundedSender<Vec<u8>>,
    pub(super) tasks: [tokio::task::JoinHandle<()>; 2],
}

impl Party {
    pub(super) fn new(form: WireFormat) -> Party {
        let (inbox_sender, inbox) = mpsc::unbounded_channel();
        let inbox = Rc::new(RefCell::new(inbox));
        Party {
            form,
            port: PortState::Open,
            connections: Vec::new(),
            pending: Rc::default(),
            inbox_sender,
            inbox,
        }
    }
    pub(super) fn connect(&mut self, end: DuplexStream) {
        let (read, mut write) = split(end);
        let (sender, mut outgoing) = mpsc::unbounded_channel::<Vec<u8>>();
        let (inbox_sender, pending, index) =
            (self.inbox_sender.clone(), self.pending.clone(), self.connections.len());
        let reader = spawn_local(listen(read, self.form, inbox_sender, pending, index));
        let writer = spawn_local(async move {
            while let Some(bytes) = outgoing.recv().await {
                let _ = write.write_all(&bytes).await;
            }
        });
        self.connections.push(Some(Connection { sender, tasks: [reader, writer] }));
    }
    /// The connection to send on next: the one with the oldest pending request, else the newest.
    pub(super) fn next_connection(&mut self) -> Option<&mut Option<Connection>> {
        let index = self.pending.borrow_mut().pop_front().or(self.connections.len().checked_sub(1))?;
        self.connections.get_mut(index)
    }
}

/// Turns what a party receives into lines of the transcript.
async fn listen(
    mut read: ReadHalf<DuplexStream>,
    form: WireFormat,
    inbox_sender: mpsc::UnboundedSender<String>,
    pending: Rc<RefCell<VecDeque<usize>>>,
    index: usize,
) {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(words) = message(&mut buffer, form) {
            if matches!(form, WireFormat::Requests) {
                pending.borrow_mut().push_back(index);
            }
            let _ = inbox_sender.send(words);
        }
        if !matches!(read.read_buf(&mut buffer).await, Ok(1..)) {
            pending.borrow_mut().retain(|other| *other != index);
            let _ = inbox_sender.send("closed".to_owned());
            return;
        }
    }
}

fn message(buffer: &mut BytesMut, form: WireFormat) -> Option<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().replace('\n', "|");
    match form {
        WireFormat::Frames => {
            let length = u32::from_le_bytes(*buffer.first_chunk::<4>()?) as usize;
            (buffer.len() >= 4 + length).then(|| text(&buffer.split_to(4 + length)[4..]))
        }
        WireFormat::Requests => {
            let request = http::take_request(buffer).expect("a request")?;
            Some(format!("{} {}?{} {}", request.method, request.path, request.query, text(&request.body)))
        }
        WireFormat::Responses => {
            let response = http::take_response(buffer, 1 << 20).expect("a response")?;
            let after = response.headers.get("Retry-After").map(|after| format!(" after={after}"));
            Some(format!("{}{} {}", response.status, after.unwrap_or_default(), text(&response.body)))
        }
    }
}

/// A fake network of in-memory pipes, by address.
#[derive(Clone, Default)]
pub(super) struct FakeNetwork(pub(super) Rc<RefCell<BTreeMap<String, Party>>>);

impl Connector for FakeNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let port = self.0.borrow().get(address).map_or(PortState::Closed, |party| party.port);
            match port {
                PortState::Closed => return Err(io::ErrorKind::ConnectionRefused.into()),
                PortState::Silent => std::future::pending().await,
                PortState::DelayedOpen(late) => tokio::time::sleep(late).await,
                PortState::Open => {}
            }
            let (near, far) = tokio::io::duplex(PIPE_BYTES);
            self.0.borrow_mut().get_mut(address).expect("known").connect(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}
