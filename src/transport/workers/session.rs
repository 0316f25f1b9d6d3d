//! The input and output of one connection to a worker: waits for a connect permit, connects, writes the frames of its
//! [`Connection`], reads responses, and returns why the connection ended.
//!
//! Reports the outcome of each part that gets a response. Parts that are still in flight at the end are reported by the
//! pool.

use super::connection::{Connection, PartInFlight};
use crate::policy::{AttemptOutcome, ReportField, Time, WorkerId};
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

/// The fraction of the worker's idle time-out after which this side closes a connection, so that the worker does not
/// close it while a call is being written.
const IDLE_CLOSE_FRACTION: f64 = 0.6;
/// The size that the read buffer is grown to before each read, in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// The least free space of the buffer before each read, in bytes.
const MIN_READ_BYTES: usize = 1024;

/// The resources that the connections of the pool share.
pub(super) struct Shared {
    /// Receives the outcome of each attempt.
    pub broker: Broker,
    /// Opens connections.
    pub connector: Rc<dyn Connector>,
    /// The time-outs and capacity of a connection.
    pub limits: BrokerLimits,
    /// The descriptors and buffered bytes of the process.
    pub descriptor_pool: Rc<DescriptorPool>,
    /// The fields of a worker's load report.
    pub report_fields: Vec<ReportField>,
}

/// Why a connection ended. The text is for the log.
pub(super) enum Disconnect {
    /// The connect failed, the connection ended, the worker rejected a frame, or this process closed the connection
    /// while nothing was in flight.
    Closed(String),
    /// The worker sent bytes that are not a valid response to a part in flight, so no later byte can be interpreted.
    Untrusted(String),
    /// This process gave up: it got no connect permit, a local error prevented the connect, or a frame was not written
    /// before its deadline.
    Unopened(String),
}

impl Disconnect {
    /// The reason, for the log.
    pub fn reason(&self) -> &str {
        match self {
            Disconnect::Closed(reason) | Disconnect::Untrusted(reason) | Disconnect::Unopened(reason) => {
                reason
            }
        }
    }

    /// The outcome of a part that was in flight when the connection ended. The worker may have run the part once the
    /// last byte of its frame was written, and cannot have run it before.
    pub fn outcome_of(&self, part: &PartInFlight) -> AttemptOutcome {
        let is_written = part.written_at.is_some();
        match (self, is_written) {
            (Disconnect::Closed(_) | Disconnect::Unopened(_), true) => AttemptOutcome::ConnectionReset,
            (Disconnect::Untrusted(_), true) => AttemptOutcome::Failed,
            (Disconnect::Closed(_) | Disconnect::Untrusted(_), false) => AttemptOutcome::ConnectFailed,
            (Disconnect::Unopened(_), false) => AttemptOutcome::NotSent,
        }
    }

    fn closed(reason: &str) -> Disconnect {
        Disconnect::Closed(reason.to_owned())
    }

    fn write_timed_out() -> Disconnect {
        Disconnect::Unopened("a frame was not written before its deadline".to_owned())
    }
}

/// Opens a connection for calls with `time_left` before their deadline, and serves it until it ends.
pub(super) async fn run(
    shared: &Shared,
    worker: WorkerId,
    connection: &Connection,
    time_left: Duration,
) -> Disconnect {
    match connect(shared, worker, connection, time_left).await {
        Ok(Some(stream)) => Session::new(shared, connection).serve(stream).await,
        Ok(None) => Disconnect::closed("no longer needed"),
        Err(disconnect) => disconnect,
    }
}

/// Waits for a connect permit and connects. `None` where all calls were cancelled while waiting.
async fn connect(
    shared: &Shared,
    worker: WorkerId,
    connection: &Connection,
    time_left: Duration,
) -> Result<Option<Box<dyn Stream>>, Disconnect> {
    let permit = shared.descriptor_pool.acquire_connect_permit(worker, time_left).await;
    let permit = permit.map_err(|error| Disconnect::Unopened(error.to_string()))?;
    if connection.is_idle() {
        return Ok(None);
    }
    let limit = shared.limits.connect_timeout;
    let stream = connect_with_timeout(&*shared.connector, &connection.address, limit).await;
    let stream = stream.map_err(|error| {
        let reason = format!("cannot connect: {error}");
        // A local error must not count as a failure of the worker.
        if errors::is_local(&error) { Disconnect::Unopened(reason) } else { Disconnect::Closed(reason) }
    })?;
    connection.descriptor.replace(Some(permit.into_descriptor_permit()));
    Ok(Some(stream))
}

/// The result of a try to write the next frame.
enum WriteProgress {
    /// Bytes of the frame were written.
    Written {
        /// The bytes that remain to be written.
        remainder: Bytes,
        /// When the write began.
        at: Time,
    },
    /// The frame is partly written, and its deadline has passed.
    Overdue,
    /// No frame waits any longer: all parts were taken back.
    NoFrame,
}

/// Writes as much of the next frame as the socket accepts. Until the first byte is accepted, each try encodes the frame
/// again, since the time left that it states goes down while the socket is full.
async fn write_next(
    write: &mut WriteHalf<Box<dyn Stream>>,
    connection: &Connection,
    broker: &Broker,
) -> io::Result<WriteProgress> {
    std::future::poll_fn(|cx| {
        let refused = connection.take_refused(|attempt_id| broker.begin_write(attempt_id));
        for attempt_id in refused {
            broker.on_attempt_finished(attempt_id, AttemptCompletion::without_value(AttemptOutcome::NotSent));
        }
        if !connection.has_frame() {
            return Poll::Ready(Ok(WriteProgress::NoFrame));
        }
        if connection.is_remainder_overdue(|attempt_id| broker.begin_write(attempt_id)) {
            return Poll::Ready(Ok(WriteProgress::Overdue));
        }
        let at = broker.now();
        let mut frame = connection.next_frame(at);
        let count = ready!(Pin::new(&mut *write).poll_write(cx, &frame))?;
        if count == 0 {
            return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
        }
        frame.advance(count);
        Poll::Ready(Ok(WriteProgress::Written { remainder: frame, at }))
    })
    .await
}

/// An event that a session handles.
enum SessionEvent {
    Read(io::Result<usize>),
    /// The next frame was tried to be written.
    Written(io::Result<WriteProgress>),
    /// The state of the connection was changed.
    Wake,
    /// The next frame was not written before its deadline.
    WriteTimedOut,
    /// A message that was begun is still incomplete.
    ResponseTimedOut,
    /// Nothing was in flight for too long.
    Idle,
}

/// An established connection.
struct Session<'a> {
    shared: &'a Shared,
    connection: &'a Connection,
    /// Bytes that were read and do not form a complete message yet.
    buffer: BytesMut,
    /// Counts the capacity of the buffer against the budget.
    buffer_reservation: BufferReservation,
    /// When anything was last in flight or waiting to be written.
    last_used: Instant,
    /// When the first byte of the incomplete message in the buffer was read, if there is one.
    message_started_at: Option<Instant>,
}

impl<'a> Session<'a> {
    fn new(shared: &'a Shared, connection: &'a Connection) -> Session<'a> {
        let buffer_reservation = BufferReservation::new(&shared.descriptor_pool);
        Session {
            shared,
            connection,
            buffer: BytesMut::new(),
            buffer_reservation,
            last_used: Instant::now(),
            message_started_at: None,
        }
    }

    /// Writes frames and reads responses until the connection ends; returns why it ended.
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
        self.connection.update_descriptor();
        self.buffer.reserve(READ_CHUNK_BYTES.saturating_sub(self.buffer.len()).max(MIN_READ_BYTES));
        self.buffer_reservation.set(self.buffer.capacity());
        let event = self.next_event(read, write).await;
        self.apply(event)?;
        if !self.connection.is_idle() {
            self.last_used = Instant::now();
            self.connection.last_used.set(self.last_used);
        }
        Ok(())
    }

    async fn next_event(
        &mut self,
        read: &mut ReadHalf<Box<dyn Stream>>,
        write: &mut WriteHalf<Box<dyn Stream>>,
    ) -> SessionEvent {
        let (has_frame, write_deadline) =
            (self.connection.has_frame(), self.connection.partial_write_deadline());
        let limits = &self.shared.limits;
        let idle_deadline = self.last_used + limits.connection_idle_timeout.mul_f64(IDLE_CLOSE_FRACTION);
        // A message that stays incomplete would block the connection, so it may take no longer than a connect.
        let message_deadline = self.message_started_at.unwrap_or(self.last_used) + limits.connect_timeout;
        tokio::select! {
            biased;
            count = read.read_buf(&mut self.buffer) => SessionEvent::Read(count),
            remainder = write_next(write, self.connection, &self.shared.broker), if has_frame => {
                SessionEvent::Written(remainder)
            }
            () = self.connection.wake.notified() => SessionEvent::Wake,
            () = tokio::time::sleep_until(write_deadline.unwrap_or(self.last_used)), if write_deadline.is_some() => {
                SessionEvent::WriteTimedOut
            }
            () = tokio::time::sleep_until(message_deadline), if self.message_started_at.is_some() => {
                SessionEvent::ResponseTimedOut
            }
            () = tokio::time::sleep_until(idle_deadline), if self.connection.is_idle() => SessionEvent::Idle,
        }
    }

    fn apply(&mut self, event: SessionEvent) -> Result<(), Disconnect> {
        match event {
            SessionEvent::Read(Ok(0)) => Err(Disconnect::closed("closed by the worker")),
            SessionEvent::Read(Ok(_)) => self.on_read(),
            SessionEvent::Written(Ok(progress)) => self.on_write(progress),
            SessionEvent::Read(Err(error)) | SessionEvent::Written(Err(error)) => {
                Err(Disconnect::Closed(error.to_string()))
            }
            SessionEvent::Wake => Ok(()),
            SessionEvent::WriteTimedOut => Err(Disconnect::write_timed_out()),
            SessionEvent::ResponseTimedOut => Err(Disconnect::Untrusted(format!(
                "a response was still incomplete after {} ms",
                self.shared.limits.connect_timeout.as_millis()
            ))),
            SessionEvent::Idle => Err(Disconnect::closed("idle")),
        }
    }

    fn on_write(&self, progress: WriteProgress) -> Result<(), Disconnect> {
        match progress {
            WriteProgress::Written { remainder, at } => {
                let written = self.connection.mark_written(remainder);
                self.shared.broker.on_attempts_written(at, &written);
                Ok(())
            }
            WriteProgress::Overdue => Err(Disconnect::write_timed_out()),
            WriteProgress::NoFrame => Ok(()),
        }
    }

    /// Handles the bytes that were read.
    fn on_read(&mut self) -> Result<(), Disconnect> {
        self.connection.mark_read();
        let length_before = self.buffer.len();
        self.take_messages()?;
        self.message_started_at = match self.buffer.len() {
            0 => None,
            length if length == length_before => self.message_started_at.or(Some(Instant::now())),
            _ => Some(Instant::now()),
        };
        Ok(())
    }

    /// Handles every complete message in the buffer.
    fn take_messages(&mut self) -> Result<(), Disconnect> {
        loop {
            match frame::take_message(&mut self.buffer, &self.shared.report_fields) {
                Ok(Some(WorkerMessage::PartFinished { id, outcome, value, report })) => {
                    self.finish_part(&id, AttemptCompletion { outcome, value, load_report: report })?;
                }
                Ok(Some(WorkerMessage::CallRejected(reason))) => {
                    return Err(Disconnect::Closed(format!("the worker rejected a frame: {reason:?}")));
                }
                Ok(None) if !self.buffer.is_empty() && self.connection.parts_in_flight() == 0 => {
                    return Err(self.unexpected_bytes("unexpected bytes after the last response".to_owned()));
                }
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.unexpected_bytes(error.to_string())),
            }
        }
    }

    fn finish_part(&self, id: &str, completion: AttemptCompletion) -> Result<(), Disconnect> {
        match self.connection.take_part(id) {
            Some(part) => self.shared.broker.on_attempt_finished(part.attempt_id, completion),
            None if self.connection.is_finished(id) => {}
            // The response may be meant for a part in flight and have a wrong id: that part would never be answered.
            None => return Err(self.unexpected_bytes("response to a part that is not in flight".to_owned())),
        }
        Ok(())
    }

    /// Returns how a connection ends on which unexpected bytes arrived. Where nothing is in flight, the connection is
    /// closed before a call is lost with it, and this does not count as a fault of the worker.
    fn unexpected_bytes(&self, reason: String) -> Disconnect {
        if self.connection.parts_in_flight() == 0 {
            Disconnect::Closed(reason)
        } else {
            Disconnect::Untrusted(reason)
        }
    }
}
