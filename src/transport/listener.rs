//! Clients' connections: accepts them, reads requests, writes each its one response.

use super::stream::Stream;
use crate::protocol::http::{self, Request, Response};
use bytes::BytesMut;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Time from a connection's start, or from a later request's first byte, until that request is all there; and for a
/// client to take its response.
const SLOW: Duration = Duration::from_millis(2500);
/// Time that a connection may stay open between requests.
const IDLE: Duration = Duration::from_secs(10);
/// Time for a client to take what is said last on its connection.
const LAST: Duration = Duration::from_millis(400);
/// Pause after a failed accept: without one, a process out of descriptors would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// What a client may have sent ahead of the response that it waits for.
const MOST_AHEAD: usize = 2 * http::MOST_BODY;
/// Reading takes at most so much at once.
const READ: usize = 4096;

/// What answers requests.
pub trait Front {
    /// The response to one request. Dropped when the client leaves first.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;
    /// The response to bytes that are no request.
    fn malformed(&self, error: http::Malformed) -> Response;
}

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is no longer healthy, but serves who still comes, on the connections that clients have too.
    Stopping,
    /// It takes nothing new, closes idle connections, and others behind their answers.
    Closing,
}

/// The connections of one process: how many there may be, and how they are told to end.
pub struct Gate {
    most: usize,
    open: Cell<usize>,
    /// Wakes the connection that has been idle the longest, to make room.
    crowded: Notify,
    freed: Notify,
    phase: watch::Sender<Phase>,
}

impl Gate {
    /// Room for so many connections.
    pub fn new(most: usize) -> Rc<Gate> {
        let phase = watch::Sender::new(Phase::Serving);
        Rc::new(Gate { most, open: Cell::new(0), crowded: Notify::new(), freed: Notify::new(), phase })
    }
    /// Where the process is.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
    /// Moves the process on.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }
    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }
    async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gate, so waiting cannot fail.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
    }
}

/// Counts a connection for as long as it is held.
struct Place(Rc<Gate>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.freed.notify_one();
    }
}

/// Accepts connections until the gate closes; whoever has connected by then is still served.
pub async fn accept<F: Front + 'static>(listener: TcpListener, front: Rc<F>, gate: Rc<Gate>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = gate.closing() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("client: {error}");
                }
                // Room is made for one that has come, not before.
                while gate.open.get() >= gate.most {
                    gate.crowded.notify_one();
                    gate.freed.notified().await;
                }
                // Guards against a call to make room that outlives its cause and closes a connection for nothing.
                std::pin::pin!(gate.crowded.notified()).enable();
                gate.open.set(gate.open.get() + 1);
                let (front, place) = (front.clone(), Place(gate.clone()));
                tokio::task::spawn_local(async move { serve(stream, &*front, &place.0).await });
            }
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The life of one connection.
pub async fn serve<F: Front>(stream: impl Stream, front: &F, gate: &Gate) {
    let (mut read, mut write) = tokio::io::split(stream);
    let mut buffer = BytesMut::new();
    let mut first = true;
    let mut since = Instant::now();
    loop {
        let mut told = false;
        let request = loop {
            match http::take_request(&mut buffer) {
                Ok(Some(request)) => break request,
                Ok(None) => {}
                Err(error) => {
                    let bytes = front.malformed(error).encode(true);
                    let end =
                        async { write.write_all(&bytes).await.is_ok() && write.shutdown().await.is_ok() };
                    if tokio::time::timeout(LAST, end).await == Ok(true) {
                        drain(&mut read).await;
                    }
                    return;
                }
            }
            if !told && http::expects_continue(&buffer) {
                told = true;
                if write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                    return;
                }
            }
            let fresh = buffer.is_empty();
            // Guards against clients that say nothing, or never finish what they began, a byte at a time.
            let until = since + if fresh && !first { IDLE } else { SLOW };
            buffer.reserve(READ);
            tokio::select! {
                biased;
                count = read.read_buf(&mut buffer) => match count {
                    Ok(1..) if fresh && !first => since = Instant::now(),
                    Ok(1..) => {}
                    _ => return,
                },
                () = gate.crowded.notified(), if fresh => return,
                () = gate.closing(), if fresh => return,
                () = tokio::time::sleep_until(until), if fresh => return,
                () = tokio::time::sleep_until(until) => {
                    let bytes = Response::text(408, "the request did not end in time").encode(true);
                    // Whether the client takes it or not, the connection ends.
                    let _ = tokio::time::timeout(LAST, write.write_all(&bytes)).await;
                    return;
                }
            }
        };
        first = false;
        let (keep_alive, bodiless) = (request.keep_alive, request.method == "HEAD");
        let response = tokio::select! {
            biased;
            response = front.respond(request) => response,
            () = gone(&mut read, &mut buffer) => return,
        };
        let close = !keep_alive || gate.phase() == Phase::Closing;
        let mut bytes = response.encode(close);
        if bodiless {
            bytes.truncate(bytes.len() - response.body.len());
        }
        let written = tokio::time::timeout(SLOW, write.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        since = Instant::now();
        if close {
            if write.shutdown().await.is_ok() {
                drain(&mut read).await;
            }
            return;
        }
    }
}

/// Returns when the client has closed its connection; what it sends ahead is kept for later.
async fn gone(read: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) {
    while buffer.len() < MOST_AHEAD {
        buffer.reserve(READ);
        if !matches!(read.read_buf(buffer).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}

/// Reads on for a moment after the last response: closing with unread bytes would reset the connection and
/// could take that response with it.
async fn drain(read: &mut (impl AsyncRead + Unpin)) {
    let mut scrap = [0; READ];
    let rest = async {
        for _ in 0..MOST_AHEAD / READ {
            if !matches!(read.read(&mut scrap).await, Ok(1..)) {
                return;
            }
        }
    };
    // Either way the connection ends here.
    let _ = tokio::time::timeout(LAST, rest).await;
}
