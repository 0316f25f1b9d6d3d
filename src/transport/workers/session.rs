//! The input and output of one connection: it waits for a place, connects, writes the frames of its [`Connection`], reads
//! the answers, and says why it ended. It reports each answer; what is still out at the end is the pool's to report.

use super::connection::Connection;
use crate::policy::{ReportField, WorkerId};
use crate::protocol::frame::{self, WorkerMessage};
use crate::routing::{AttemptCompletion, Broker, BrokerLimits};
use crate::transport::connector::{Connector, Stream, connect_with_timeout};
use crate::transport::descriptor_pool::{BufferReservation, DescriptorPool};
use crate::transport::errors;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWrite, ReadHalf, WriteHalf};
use tokio::time::Instant;

/// Share of the worker's idle time after which a connection is closed from this side.
const IDLE_SHARE: f64 = 0.6;
/// Reading takes at most so much at once.
const READ_SIZE: usize = 16 * 1024;
/// Free space of the buffer before each reading, at least.
const MIN_READ_SIZE: usize = 1024;

/// What all connections share.
pub(super) struct Shared {
    /// Hears of each attempt's end.
    pub broker: Broker,
    /// Opens connections.
    pub dial: Rc<dyn Connector>,
    /// Limits of a connection.
    pub limits: BrokerLimits,
    /// The process's descriptors and bytes.
    pub places: Rc<DescriptorPool>,
    /// The fields of a load report.
    pub fields: Vec<ReportField>,
}

/// How a connection ended.
pub(super) enum Disconnect {
    /// The connection ended, or was ended while nothing was out on it.
    Closed(String),
    /// The worker sent what is no answer: nothing further on the connection can be trusted.
    Untrusted(String),
    /// There was no place for it, or no time left: nothing was tried.
    Unopened(String),
}

impl Disconnect {
    fn closed(why: &str) -> Disconnect {
        Disconnect::Closed(why.to_owned())
    }

    fn overdue() -> Disconnect {
        Disconnect::Unopened("it could not be written in time".to_owned())
    }
}

/// Opens a connection within `left` and serves it to its end.
pub(super) async fn run(
    shared: &Shared,
    worker: WorkerId,
    connection: &Connection,
    left: Duration,
) -> Disconnect {
    let connected = connect(shared, worker, connection, left);
    let connected = match connection.write_deadline() {
        Some(deadline) => {
            tokio::time::timeout_at(deadline, connected).await.unwrap_or_else(|_| Err(Disconnect::overdue()))
        }
        None => connected.await,
    };
    match connected {
        Ok(Some(stream)) => Session::new(shared, connection).serve(stream).await,
        Ok(None) => Disconnect::closed("no longer needed"),
        Err(disconnect) => disconnect,
    }
}

/// Waits for a place and connects; `None` where the connection is no longer needed by then.
async fn connect(
    shared: &Shared,
    worker: WorkerId,
    connection: &Connection,
    left: Duration,
) -> Result<Option<Box<dyn Stream>>, Disconnect> {
    let opening = shared.places.acquire_connect_permit(worker, left).await;
    let opening = opening.map_err(|turned| Disconnect::Unopened(turned.to_string()))?;
    if connection.is_idle() {
        return Ok(None);
    }
    let stream =
        connect_with_timeout(&*shared.dial, &connection.address, shared.limits.connect_timeout).await;
    let stream = stream.map_err(|error| {
        let why = format!("cannot connect: {error}");
        // Guards the worker's good name against what fails here.
        if errors::is_local(&error) { Disconnect::Unopened(why) } else { Disconnect::Closed(why) }
    })?;
    connection.place.replace(Some(opening.into_descriptor_permit()));
    Ok(Some(stream))
}

/// Writes of the next frame what the connection takes; what is left of it. Guards against telling a worker of time that
/// has passed while the connection was full: until a byte is taken, the frame is made anew at each try.
async fn write_next(
    write: &mut WriteHalf<Box<dyn Stream>>,
    connection: &Connection,
    broker: &Broker,
) -> io::Result<Bytes> {
    std::future::poll_fn(|cx| {
        let mut frame = connection.next_frame(broker.now());
        let count = ready!(Pin::new(&mut *write).poll_write(cx, &frame))?;
        if count == 0 {
            return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
        }
        frame.advance(count);
        Poll::Ready(Ok(frame))
    })
    .await
}

/// What a session waits for.
enum Event {
    Read(io::Result<usize>),
    /// What is left of the frame.
    Written(io::Result<Bytes>),
    Wake,
    FrameOverdue,
    AnswerOverdue,
    Idle,
}

/// A connection that is up.
struct Session<'a> {
    shared: &'a Shared,
    connection: &'a Connection,
    /// What was read and is no whole answer yet.
    buffer: BytesMut,
    /// Books the buffer's size.
    buffered: BufferReservation,
    /// When anything was last out.
    last_used: Instant,
    /// When the answer that is not all there began.
    answer_started: Option<Instant>,
}

impl<'a> Session<'a> {
    fn new(shared: &'a Shared, connection: &'a Connection) -> Session<'a> {
        let buffered = BufferReservation::new(&shared.places);
        Session {
            shared,
            connection,
            buffer: BytesMut::new(),
            buffered,
            last_used: Instant::now(),
            answer_started: None,
        }
    }

    /// Writes frames and reads answers until the connection ends; says why it did.
    async fn serve(mut self, stream: Box<dyn Stream>) -> Disconnect {
        let (mut read, mut write) = tokio::io::split(stream);
        loop {
            if let Err(disconnect) = self.step(&mut read, &mut write).await {
                return disconnect;
            }
        }
    }

    async fn step(
        &mut self,
        read: &mut ReadHalf<Box<dyn Stream>>,
        write: &mut WriteHalf<Box<dyn Stream>>,
    ) -> Result<(), Disconnect> {
        if self.connection.is_idle() && self.connection.is_retired() {
            return Err(Disconnect::closed("retired"));
        }
        self.connection.update_place();
        if self.connection.write_deadline().is_some_and(|deadline| deadline <= Instant::now()) {
            return Err(Disconnect::overdue());
        }
        self.buffer.reserve(READ_SIZE.saturating_sub(self.buffer.len()).max(MIN_READ_SIZE));
        self.buffered.set(self.buffer.capacity());
        let event = self.wait(read, write).await;
        self.take(event)?;
        if !self.connection.is_idle() {
            self.last_used = Instant::now();
            self.connection.last_used.set(self.last_used);
        }
        Ok(())
    }

    async fn wait(
        &mut self,
        read: &mut ReadHalf<Box<dyn Stream>>,
        write: &mut WriteHalf<Box<dyn Stream>>,
    ) -> Event {
        let (has_frame, deadline) = (self.connection.has_frame(), self.connection.write_deadline());
        let limits = &self.shared.limits;
        let idle = self.last_used + limits.connection_idle_timeout.mul_f64(IDLE_SHARE);
        // Guards against answers that never end: the rest of a frame may take as long as a connection may.
        let answer_deadline = self.answer_started.unwrap_or(self.last_used) + limits.connect_timeout;
        tokio::select! {
            biased;
            count = read.read_buf(&mut self.buffer) => Event::Read(count),
            rest = write_next(write, self.connection, &self.shared.broker), if has_frame => Event::Written(rest),
            () = self.connection.wake.notified() => Event::Wake,
            () = tokio::time::sleep_until(deadline.unwrap_or(self.last_used)), if deadline.is_some() => Event::FrameOverdue,
            () = tokio::time::sleep_until(answer_deadline), if self.answer_started.is_some() => Event::AnswerOverdue,
            () = tokio::time::sleep_until(idle), if self.connection.is_idle() => Event::Idle,
        }
    }

    fn take(&mut self, event: Event) -> Result<(), Disconnect> {
        match event {
            Event::Read(Ok(0)) => Err(Disconnect::closed("closed by the worker")),
            Event::Read(Ok(_)) => self.read(),
            Event::Written(Ok(rest)) => {
                let parts = self.connection.mark_written(rest);
                self.shared.broker.with_core(|core| core.count_written(parts));
                Ok(())
            }
            Event::Read(Err(error)) | Event::Written(Err(error)) => {
                Err(Disconnect::Closed(error.to_string()))
            }
            Event::Wake => Ok(()),
            Event::FrameOverdue => Err(Disconnect::overdue()),
            Event::AnswerOverdue => Err(Disconnect::Untrusted("a frame that does not end".to_owned())),
            Event::Idle => Err(Disconnect::closed("idle")),
        }
    }

    /// Something was read.
    fn read(&mut self) -> Result<(), Disconnect> {
        self.connection.mark_read();
        let before = self.buffer.len();
        self.answers()?;
        self.answer_started = match self.buffer.len() {
            0 => None,
            length if length == before => self.answer_started.or(Some(Instant::now())),
            _ => Some(Instant::now()),
        };
        Ok(())
    }

    /// Books every answer that is whole in the buffer.
    fn answers(&mut self) -> Result<(), Disconnect> {
        loop {
            match frame::take_message(&mut self.buffer, &self.shared.fields) {
                Ok(Some(WorkerMessage::PartFinished { id, outcome, value, report })) => {
                    self.answer(&id, AttemptCompletion { outcome, value, load_report: report })?;
                }
                Ok(Some(WorkerMessage::CallRejected(words))) => {
                    return Err(Disconnect::Closed(format!("a frame was refused: {words:?}")));
                }
                Ok(None) if !self.buffer.is_empty() && self.connection.open_calls() == 0 => {
                    return Err(self.noise("more than its answers".to_owned()));
                }
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.noise(error.to_string())),
            }
        }
    }

    fn answer(&self, id: &str, end: AttemptCompletion) -> Result<(), Disconnect> {
        match self.connection.answered(id) {
            Some(call) => self.shared.broker.on_attempt_finished(call.ticket, end),
            None if self.connection.is_finished(id) => {}
            // Guards against waiting for a part whose answer came under another id.
            None => return Err(self.noise("an answer to nothing that was asked".to_owned())),
        }
        Ok(())
    }

    /// Guards against noise behind a good answer: where nothing is out it harms nothing, and the connection is closed
    /// before a call is lost to it.
    fn noise(&self, why: String) -> Disconnect {
        if self.connection.open_calls() == 0 { Disconnect::Closed(why) } else { Disconnect::Untrusted(why) }
    }
}
