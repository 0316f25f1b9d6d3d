//! The fake network of a scenario: in-memory pipes between the gatherer and its parties, and the translation
//! between the parties' wire formats and the text of scripts and transcripts.

use bytes::{BufMut, BytesMut};
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

/// Buffer size of a pipe in each direction.
const PIPE_BYTES: usize = 1 << 16;
/// Largest response body that a client accepts.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Creates a connection; returns its two ends.
pub(super) fn pipe() -> (DuplexStream, DuplexStream) {
    tokio::io::duplex(PIPE_BYTES)
}

/// State of a party's port, which decides whether connections are established.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PortState {
    Open,
    /// Connecting is refused.
    Closed,
    /// Connecting never completes.
    Silent,
    /// Connections are established after this delay.
    DelayedOpen(Duration),
}

/// Format of the messages that a party receives. It sends their counterpart.
#[derive(Clone, Copy)]
pub(super) enum WireFormat {
    /// A worker receives frames and sends frames.
    Frames,
    /// A server receives HTTP requests and sends responses.
    Requests,
    /// A client receives HTTP responses and sends requests.
    Responses,
}

impl WireFormat {
    /// Encodes a message that a scenario lets a party send. Text after `raw ` is sent as it stands, with `\0`
    /// or `\r\n` replaced.
    pub(super) fn encode(self, text: &str) -> Vec<u8> {
        match (self, text.strip_prefix("raw ")) {
            (WireFormat::Frames, Some(raw)) => raw.replace("\\0", "\0").into_bytes(),
            (WireFormat::Requests | WireFormat::Responses, Some(raw)) => {
                raw.replace("\\r\\n", "\r\n").into_bytes()
            }
            (WireFormat::Frames, None) => encode_frame(text),
            (WireFormat::Requests, None) => encode_response(text),
            (WireFormat::Responses, None) => encode_request(text),
        }
    }
}

/// Encodes `KIND REST`, in which `|` stands for a line end, as a frame.
fn encode_frame(text: &str) -> Vec<u8> {
    let payload = text.replacen(' ', "", 1).replace('|', "\n");
    let mut bytes = BytesMut::new();
    bytes.put_u32_le(payload.len() as u32);
    bytes.put_slice(payload.as_bytes());
    bytes.to_vec()
}

/// Encodes `STATUS BODY` as an HTTP response.
fn encode_response(text: &str) -> Vec<u8> {
    let (status, body) = text.split_once(' ').expect("a response has a status and a body");
    let status = status.parse().expect("the status is a number");
    http::Response::json(status, body.to_owned()).encode(false).to_vec()
}

/// Encodes `METHOD PATH HEADER=VALUE ... {BODY}` as an HTTP request.
fn encode_request(text: &str) -> Vec<u8> {
    let (start, body) = text.split_at(text.find(" {").map_or(text.len(), |space| space + 1));
    let mut words = start.split_whitespace();
    let method = words.next().expect("a request has a method");
    let path = words.next().expect("a request has a path");
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    words.for_each(|header| head.push_str(&format!("{}\r\n", header.replacen('=', ": ", 1))));
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A worker, a server or a client of the scenario.
pub(super) struct Party {
    pub(super) format: WireFormat,
    pub(super) port: PortState,
    /// Connections in the order in which they were established; `None` for one that the scenario closed.
    pub(super) connections: Vec<Option<Connection>>,
    /// Indexes of the connections on which a request waits for its response, oldest request first.
    pending: Rc<RefCell<VecDeque<usize>>>,
    inbox_sender: mpsc::UnboundedSender<String>,
    /// Received messages as text, and `closed` for the end of a connection.
    pub(super) inbox: Rc<RefCell<mpsc::UnboundedReceiver<String>>>,
}

/// A party's end of a connection.
pub(super) struct Connection {
    pub(super) sender: mpsc::UnboundedSender<Vec<u8>>,
    pub(super) tasks: [tokio::task::JoinHandle<()>; 2],
}

impl Party {
    pub(super) fn new(format: WireFormat) -> Party {
        let (inbox_sender, inbox) = mpsc::unbounded_channel();
        let inbox = Rc::new(RefCell::new(inbox));
        Party {
            format,
            port: PortState::Open,
            connections: Vec::new(),
            pending: Rc::default(),
            inbox_sender,
            inbox,
        }
    }
    /// Adds a connection, of which `end` is the party's end.
    pub(super) fn connect(&mut self, end: DuplexStream) {
        let (read, mut write) = split(end);
        let (sender, mut outgoing) = mpsc::unbounded_channel::<Vec<u8>>();
        let (inbox_sender, pending, index) =
            (self.inbox_sender.clone(), self.pending.clone(), self.connections.len());
        let reader = spawn_local(receive(read, self.format, inbox_sender, pending, index));
        let writer = spawn_local(async move {
            while let Some(bytes) = outgoing.recv().await {
                // Fails if the gatherer has closed the connection, which the inbox shows.
                let _ = write.write_all(&bytes).await;
            }
        });
        self.connections.push(Some(Connection { sender, tasks: [reader, writer] }));
    }
    /// The connection to send on next: the one with the oldest pending request, or without such the newest.
    pub(super) fn next_connection(&mut self) -> Option<&mut Option<Connection>> {
        let index = self.pending.borrow_mut().pop_front().or(self.connections.len().checked_sub(1))?;
        self.connections.get_mut(index)
    }
}

/// Reads one connection of a party until it ends, and puts its messages into the inbox.
async fn receive(
    mut read: ReadHalf<DuplexStream>,
    format: WireFormat,
    inbox_sender: mpsc::UnboundedSender<String>,
    pending: Rc<RefCell<VecDeque<usize>>>,
    index: usize,
) {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(message) = take_message(&mut buffer, format) {
            if matches!(format, WireFormat::Requests) {
                pending.borrow_mut().push_back(index);
            }
            // Fails only at the end of the scenario, when the inbox has been dropped.
            let _ = inbox_sender.send(message);
        }
        if !matches!(read.read_buf(&mut buffer).await, Ok(1..)) {
            pending.borrow_mut().retain(|other| *other != index);
            let _ = inbox_sender.send("closed".to_owned());
            return;
        }
    }
}

/// Takes the next complete message from the buffer, as one line of text; `None` if there is none.
fn take_message(buffer: &mut BytesMut, format: WireFormat) -> Option<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().replace('\n', "|");
    match format {
        WireFormat::Frames => {
            let length = u32::from_le_bytes(*buffer.first_chunk::<4>()?) as usize;
            (buffer.len() >= 4 + length).then(|| text(&buffer.split_to(4 + length)[4..]))
        }
        WireFormat::Requests => {
            let request = http::take_request(buffer).expect("the request is valid HTTP")?;
            Some(format!("{} {}?{} {}", request.method, request.path, request.query, text(&request.body)))
        }
        WireFormat::Responses => {
            let response =
                http::take_response(buffer, MAX_BODY_BYTES).expect("the response is valid HTTP")?;
            let after = response.headers.get("Retry-After").map(|after| format!(" after={after}"));
            Some(format!("{}{} {}", response.status, after.unwrap_or_default(), text(&response.body)))
        }
    }
}

/// A fake network: its parties by address, which for a client is its name.
#[derive(Clone, Default)]
pub(super) struct FakeNetwork(pub(super) Rc<RefCell<BTreeMap<String, Party>>>);

impl FakeNetwork {
    /// Adds a party that accepts connections at this address.
    pub(super) fn add(&self, address: &str, format: WireFormat) {
        self.0.borrow_mut().insert(address.to_owned(), Party::new(format));
    }
}

impl Connector for FakeNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> ConnectFuture<'a> {
        Box::pin(async move {
            let port = self.0.borrow().get(address).map_or(PortState::Closed, |party| party.port);
            match port {
                PortState::Closed => return Err(io::ErrorKind::ConnectionRefused.into()),
                PortState::Silent => std::future::pending().await,
                PortState::DelayedOpen(delay) => tokio::time::sleep(delay).await,
                PortState::Open => {}
            }
            let (near, far) = pipe();
            self.0.borrow_mut().get_mut(address).expect("a party with an open port is known").connect(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}
