//! The life of one connection: it waits for a place, connects, writes the frames of its [`Line`] and reads the answers,
//! and says why it ended. It reports each answer; what is still out at the end is its owner's.

use super::line::Line;
use crate::api::{Field, LeafId};
use crate::protocol::frame::{self, Incoming};
use crate::routing::{Broker, End, Limits};
use crate::transport::places::{Buffered, Places};
use crate::transport::stream::{Dial, Stream, dial_within};
use bytes::BytesMut;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::Instant;

/// Share of the worker's idle time after which a line is closed from this side.
const IDLE_SHARE: f64 = 0.6;
/// Reading takes at most so much at once.
const READ: usize = 16 * 1024;
/// Free space of the buffer before each reading, at least.
const LEAST_READ: usize = 1024;

/// What all connections share.
pub(super) struct Shared {
    /// Hears of each attempt's end.
    pub broker: Broker,
    /// Opens connections.
    pub dial: Rc<dyn Dial>,
    /// Limits of a connection.
    pub limits: Limits,
    /// The process's descriptors and bytes.
    pub places: Rc<Places>,
    /// The fields of a load report.
    pub fields: Vec<Field>,
}

/// How a line ended.
pub(super) enum Cut {
    /// The connection ended, or was ended while nothing was out on it.
    Closed(String),
    /// The worker sent what is no answer: nothing further on the connection can be trusted.
    Spoilt(String),
    /// There was no place for it, or no time left: nothing was tried.
    Unopened(String),
}

impl Cut {
    fn closed(why: &str) -> Cut {
        Cut::Closed(why.to_owned())
    }

    fn overdue() -> Cut {
        Cut::Unopened("it could not be written in time".to_owned())
    }
}

/// Opens a connection within `left` and serves it to its end.
pub(super) async fn run(shared: &Shared, leaf: LeafId, line: &Line, left: Duration) -> Cut {
    let connected = connect(shared, leaf, line, left);
    let connected = match line.until() {
        Some(until) => {
            tokio::time::timeout_at(until, connected).await.unwrap_or_else(|_| Err(Cut::overdue()))
        }
        None => connected.await,
    };
    match connected {
        Ok(Some(stream)) => Session::new(shared, line).serve(stream).await,
        Ok(None) => Cut::closed("no longer needed"),
        Err(cut) => cut,
    }
}

/// Waits for a place and connects; `None` where the line is no longer needed by then.
async fn connect(
    shared: &Shared,
    leaf: LeafId,
    line: &Line,
    left: Duration,
) -> Result<Option<Box<dyn Stream>>, Cut> {
    let opening = shared.places.open(leaf, left).await;
    let opening = opening.map_err(|turned| Cut::Unopened(turned.to_string()))?;
    if line.quiet() {
        return Ok(None);
    }
    let stream = dial_within(&*shared.dial, &line.address, shared.limits.connect_timeout).await;
    let stream = stream.map_err(|error| Cut::Closed(format!("cannot connect: {error}")))?;
    line.place.replace(Some(opening.up()));
    Ok(Some(stream))
}

/// What a session waits for.
enum Event {
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    News,
    FrameOverdue,
    AnswerOverdue,
    Idle,
}

/// A connection that is up.
struct Session<'a> {
    shared: &'a Shared,
    line: &'a Line,
    /// What was read and is no whole answer yet.
    buffer: BytesMut,
    /// Books the buffer's size.
    buffered: Buffered,
    /// When anything was last out.
    used: Instant,
    /// When the answer that is not all there began.
    begun: Option<Instant>,
}

impl<'a> Session<'a> {
    fn new(shared: &'a Shared, line: &'a Line) -> Session<'a> {
        let buffered = Buffered::new(&shared.places);
        Session { shared, line, buffer: BytesMut::new(), buffered, used: Instant::now(), begun: None }
    }

    /// Writes frames and reads answers until the connection ends; says why it did.
    async fn serve(mut self, stream: Box<dyn Stream>) -> Cut {
        let (mut read, mut write) = tokio::io::split(stream);
        loop {
            if let Err(cut) = self.step(&mut read, &mut write).await {
                return cut;
            }
        }
    }

    async fn step(
        &mut self,
        read: &mut ReadHalf<Box<dyn Stream>>,
        write: &mut WriteHalf<Box<dyn Stream>>,
    ) -> Result<(), Cut> {
        if self.line.quiet() && self.line.retired() {
            return Err(Cut::closed("retired"));
        }
        self.line.hold();
        if self.line.until().is_some_and(|until| until <= Instant::now()) {
            return Err(Cut::overdue());
        }
        self.buffer.reserve(READ.saturating_sub(self.buffer.len()).max(LEAST_READ));
        self.buffered.set(self.buffer.capacity());
        let event = self.wait(read, write).await;
        self.take(event)?;
        if !self.line.quiet() {
            self.used = Instant::now();
            self.line.used.set(self.used);
        }
        Ok(())
    }

    async fn wait(
        &mut self,
        read: &mut ReadHalf<Box<dyn Stream>>,
        write: &mut WriteHalf<Box<dyn Stream>>,
    ) -> Event {
        let (front, until) = (self.line.front(), self.line.until());
        let limits = &self.shared.limits;
        let idle = self.used + limits.conn_idle.mul_f64(IDLE_SHARE);
        // Guards against answers that never end: the rest of a frame may take as long as a connection may.
        let rest = self.begun.unwrap_or(self.used) + limits.connect_timeout;
        tokio::select! {
            biased;
            count = read.read_buf(&mut self.buffer) => Event::Read(count),
            count = write.write(front.as_deref().unwrap_or_default()), if front.is_some() => Event::Wrote(count),
            () = self.line.news.notified() => Event::News,
            () = tokio::time::sleep_until(until.unwrap_or(self.used)), if until.is_some() => Event::FrameOverdue,
            () = tokio::time::sleep_until(rest), if self.begun.is_some() => Event::AnswerOverdue,
            () = tokio::time::sleep_until(idle), if self.line.quiet() => Event::Idle,
        }
    }

    fn take(&mut self, event: Event) -> Result<(), Cut> {
        match event {
            Event::Read(Ok(0)) | Event::Wrote(Ok(0)) => Err(Cut::closed("closed by the worker")),
            Event::Read(Ok(_)) => self.read(),
            Event::Wrote(Ok(count)) => {
                let parts = self.line.wrote(count);
                self.shared.broker.core(|core| core.written(parts));
                Ok(())
            }
            Event::Read(Err(error)) | Event::Wrote(Err(error)) => Err(Cut::Closed(error.to_string())),
            Event::News => Ok(()),
            Event::FrameOverdue => Err(Cut::overdue()),
            Event::AnswerOverdue => Err(Cut::Spoilt("a frame that does not end".to_owned())),
            Event::Idle => Err(Cut::closed("idle")),
        }
    }

    /// Something was read.
    fn read(&mut self) -> Result<(), Cut> {
        self.line.heard();
        let before = self.buffer.len();
        self.answers()?;
        self.begun = match self.buffer.len() {
            0 => None,
            length if length == before => self.begun.or(Some(Instant::now())),
            _ => Some(Instant::now()),
        };
        Ok(())
    }

    /// Books every answer that is whole in the buffer.
    fn answers(&mut self) -> Result<(), Cut> {
        loop {
            match frame::take(&mut self.buffer, &self.shared.fields) {
                Ok(Some(Incoming::Answer { id, outcome, value, report })) => {
                    self.answer(&id, End { outcome, value, report })?;
                }
                Ok(Some(Incoming::Rejected(words))) => {
                    return Err(Cut::Closed(format!("a frame was refused: {words:?}")));
                }
                Ok(None) if !self.buffer.is_empty() && self.line.calls() == 0 => {
                    return Err(self.noise("more than its answers".to_owned()));
                }
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.noise(error.to_string())),
            }
        }
    }

    fn answer(&self, id: &str, end: End) -> Result<(), Cut> {
        match self.line.answered(id) {
            Some(call) => self.shared.broker.ended(call.ticket, end),
            None if self.line.is_past(id) => {}
            // Guards against waiting for a part whose answer came under another id.
            None => return Err(self.noise("an answer to nothing that was asked".to_owned())),
        }
        Ok(())
    }

    /// Guards against noise behind a good answer: where nothing is out it harms nothing, and the connection is closed
    /// before a call is lost to it.
    fn noise(&self, why: String) -> Cut {
        if self.line.calls() == 0 { Cut::Closed(why) } else { Cut::Spoilt(why) }
    }
}
