//! The fake network of a scenario: in-memory pipes to and from its parties, and what each party receives as
//! text.

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

/// Bytes that a pipe holds each way.
const PIPE_BYTES: usize = 1 << 16;
/// The largest body that a client takes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Both ends of a connection.
pub(super) fn pipe() -> (DuplexStream, DuplexStream) {
    tokio::io::duplex(PIPE_BYTES)
}

/// Whether connections to a party are established.
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

/// What a party receives; it sends the counterpart.
#[derive(Clone, Copy)]
pub(super) enum WireFormat {
    /// A worker: frames, which it answers with frames.
    Frames,
    /// A server: HTTP requests, which it answers with responses.
    Requests,
    /// A client: HTTP responses to its requests.
    Responses,
}

impl WireFormat {
    /// The bytes of what a scenario lets a party send, which stands for itself after `raw `.
    pub(super) fn encode(self, what: &str) -> Vec<u8> {
        match (self, what.strip_prefix("raw ")) {
            (WireFormat::Frames, Some(raw)) => raw.replace("\\0", "\0").into_bytes(),
            (WireFormat::Requests | WireFormat::Responses, Some(raw)) => {
                raw.replace("\\r\\n", "\r\n").into_bytes()
            }
            (WireFormat::Frames, None) => encode_frame(what),
            (WireFormat::Requests, None) => encode_response(what),
            (WireFormat::Responses, None) => encode_request(what),
        }
    }
}

/// `KIND REST` with `|` for line ends, as a frame.
fn encode_frame(what: &str) -> Vec<u8> {
    let text = what.replacen(' ', "", 1).replace('|', "\n");
    let mut bytes = BytesMut::new();
    bytes.put_u32_le(text.len() as u32);
    bytes.put_slice(text.as_bytes());
    bytes.to_vec()
}

/// `STATUS BODY` as an HTTP response.
fn encode_response(what: &str) -> Vec<u8> {
    let (status, body) = what.split_once(' ').expect("a status and a body");
    http::Response::json(status.parse().expect("a status"), body.to_owned()).encode(false).to_vec()
}

/// `METHOD PATH FIELD=VALUE ... {BODY}` as an HTTP request.
fn encode_request(what: &str) -> Vec<u8> {
    let (head, body) = what.split_at(what.find(" {").map_or(what.len(), |space| space + 1));
    let mut words = head.split_whitespace();
    let (method, path) = (words.next().expect("a method"), words.next().expect("a path"));
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    words.for_each(|field| text.push_str(&format!("{}\r\n", field.replacen('=', ": ", 1))));
    format!("{text}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A worker, a server or a client of the scenario.
pub(super) struct Party {
    pub(super) format: WireFormat,
    pub(super) port: PortState,
    /// Its connections; a closed one leaves `None`.
    pub(super) connections: Vec<Option<Connection>>,
    /// Indexes of connections on which a request waits for its response, in order.
    pending: Rc<RefCell<VecDeque<usize>>>,
    inbox_sender: mpsc::UnboundedSender<String>,
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
    /// Takes the party's end of a new connection.
    pub(super) fn connect(&mut self, end: DuplexStream) {
        let (read, mut write) = split(end);
        let (sender, mut outgoing) = mpsc::unbounded_channel::<Vec<u8>>();
        let (inbox_sender, pending, index) =
            (self.inbox_sender.clone(), self.pending.clone(), self.connections.len());
        let reader = spawn_local(listen(read, self.format, inbox_sender, pending, index));
        let writer = spawn_local(async move {
            while let Some(bytes) = outgoing.recv().await {
                // The gatherer may have closed the connection; the scenario then expects it.
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
    format: WireFormat,
    inbox_sender: mpsc::UnboundedSender<String>,
    pending: Rc<RefCell<VecDeque<usize>>>,
    index: usize,
) {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(words) = message(&mut buffer, format) {
            if matches!(format, WireFormat::Requests) {
                pending.borrow_mut().push_back(index);
            }
            // It fails only at the end of the scenario, when nobody reads the inbox.
            let _ = inbox_sender.send(words);
        }
        if !matches!(read.read_buf(&mut buffer).await, Ok(1..)) {
            pending.borrow_mut().retain(|other| *other != index);
            let _ = inbox_sender.send("closed".to_owned());
            return;
        }
    }
}

/// Takes the next complete message from the buffer, as one line of text.
fn message(buffer: &mut BytesMut, format: WireFormat) -> Option<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().replace('\n', "|");
    match format {
        WireFormat::Frames => {
            let length = u32::from_le_bytes(*buffer.first_chunk::<4>()?) as usize;
            (buffer.len() >= 4 + length).then(|| text(&buffer.split_to(4 + length)[4..]))
        }
        WireFormat::Requests => {
            let request = http::take_request(buffer).expect("a request")?;
            Some(format!("{} {}?{} {}", request.method, request.path, request.query, text(&request.body)))
        }
        WireFormat::Responses => {
            let response = http::take_response(buffer, MAX_BODY_BYTES).expect("a response")?;
            let after = response.headers.get("Retry-After").map(|after| format!(" after={after}"));
            Some(format!("{}{} {}", response.status, after.unwrap_or_default(), text(&response.body)))
        }
    }
}

/// A fake network of in-memory pipes, by address.
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
                PortState::DelayedOpen(late) => tokio::time::sleep(late).await,
                PortState::Open => {}
            }
            let (near, far) = pipe();
            self.0.borrow_mut().get_mut(address).expect("known").connect(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}
