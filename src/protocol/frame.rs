//! Frames between gatherers and workers: a four-byte little-endian length, one letter for the frame's kind, and the
//! payload. The length counts the letter and the payload.
//!
//! The module encodes what a gatherer sends and decodes what a worker sends. It does not interpret results, and keeps
//! no state between frames: the caller owns the buffer.

use crate::policy::{AttemptOutcome, LoadReport, ReportField, Time};
use crate::routing::Dispatch;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Longest frame that a worker may send, in bytes: a value that fits into a response to a client, and its line.
const MAX_FRAME_BYTES: usize = 68 * 1024;
/// Size of the length in front of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

// Letters of the kinds of frames, as defined by the workers' protocol.
const CALL: u8 = b'm';
const CANCEL: u8 = b'n';
const PART_FINISHED: u8 = b'q';
const CALL_REJECTED: u8 = b'r';

/// Why bytes are not a valid frame of a worker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedFrame {
    /// The length is zero or over the limit.
    #[error("malformed frame: its length is {0} bytes, 1 to {MAX_FRAME_BYTES} are permitted")]
    InvalidLength(usize),
    /// The kind is not one that workers send.
    #[error("malformed frame: its kind is {0:?}, workers send 'q' and 'r'")]
    UnknownKind(char),
    /// The line or the value of a finished part is malformed, for this reason.
    #[error("malformed frame of a finished part: {0}")]
    PartFinished(&'static str),
}

/// A message from a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerMessage {
    /// An attempt of a part has finished.
    PartFinished {
        /// Id of the part, see [`part_id`].
        id: String,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Value of the part; empty unless the attempt succeeded.
        value: Bytes,
        /// Load of the worker, if the frame contains a valid load report.
        report: Option<LoadReport>,
    },
    /// The worker could not process a frame, for this reason, and closes the connection.
    CallRejected(String),
}

/// Returns the id of a part on the wire.
#[must_use]
pub fn part_id(label: &str, shard: u32) -> String {
    format!("{label}.{shard}")
}

fn encode_frame(kind: u8, payload: &[u8]) -> Bytes {
    let length = 1 + payload.len();
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + length);
    bytes.put_u32_le(u32::try_from(length).unwrap_or(u32::MAX));
    bytes.put_u8(kind);
    bytes.put_slice(payload);
    bytes.freeze()
}

/// Encodes one call with these parts. Each line contains the part's time left at `now`, in milliseconds.
#[must_use]
pub fn encode_call(parts: &[Dispatch], now: Time) -> Bytes {
    let mut payload = BytesMut::new();
    for part in parts {
        let id = part_id(&part.label, part.shard.0);
        let time_left_ms = part.time_left(now).as_millis();
        let line = format!("{id} {} d={time_left_ms} {}\n", part.shard.0, part.payload.len());
        payload.put_slice(line.as_bytes());
        payload.put_slice(&part.payload);
    }
    encode_frame(CALL, &payload)
}

/// Encodes the cancellation of a part.
#[must_use]
pub fn encode_cancel(id: &str) -> Bytes {
    encode_frame(CANCEL, id.as_bytes())
}

/// Takes one complete frame off the front of the buffer; `None` while its end has not been received. The values of a
/// load report are returned in the order of `fields`.
///
/// # Errors
///
/// If the bytes are not a valid frame of a worker. The connection cannot be used further, because it is unknown where
/// the next frame begins.
pub fn take_message(
    buffer: &mut BytesMut,
    fields: &[ReportField],
) -> Result<Option<WorkerMessage>, MalformedFrame> {
    let prefix = buffer.first_chunk::<LENGTH_BYTES>();
    let Some(length) = prefix.map(|bytes| u32::from_le_bytes(*bytes) as usize) else {
        return Ok(None);
    };
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(MalformedFrame::InvalidLength(length));
    }
    // Checked before the payload is complete, so that a stream of other bytes is not buffered up to its supposed end.
    let kind = buffer.get(LENGTH_BYTES);
    if let Some(kind) = kind.filter(|kind| !matches!(**kind, PART_FINISHED | CALL_REJECTED)) {
        return Err(MalformedFrame::UnknownKind(char::from(*kind)));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let kind = buffer.get_u8();
    let payload = buffer.split_to(length - 1);
    match kind {
        PART_FINISHED => decode_part_finished(&payload, fields).map(Some),
        CALL_REJECTED => {
            Ok(Some(WorkerMessage::CallRejected(String::from_utf8_lossy(&payload).into_owned())))
        }
        other => Err(MalformedFrame::UnknownKind(char::from(other))),
    }
}

fn decode_part_finished(payload: &[u8], fields: &[ReportField]) -> Result<WorkerMessage, MalformedFrame> {
    let end = payload
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(MalformedFrame::PartFinished("its line does not end"))?;
    let line = std::str::from_utf8(&payload[..end])
        .map_err(|_| MalformedFrame::PartFinished("its line is not UTF-8"))?;
    let mut words = line.split(' ');
    let (Some(id), Some(result), Some(_score), Some(load), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(MalformedFrame::PartFinished("its line does not have four words"));
    };
    let outcome = match result {
        "good" => AttemptOutcome::Succeeded,
        "bad" => AttemptOutcome::Failed,
        "later" => AttemptOutcome::Rejected,
        _ => return Err(MalformedFrame::PartFinished("its result is not good, bad or later")),
    };
    let value = &payload[end + 1..];
    if outcome == AttemptOutcome::Succeeded && std::str::from_utf8(value).is_err() {
        return Err(MalformedFrame::PartFinished("its value is not UTF-8"));
    }
    // A malformed load report does not invalidate the value in the same frame.
    let report = decode_load_report(load, fields);
    Ok(WorkerMessage::PartFinished {
        id: id.to_owned(),
        outcome,
        value: Bytes::copy_from_slice(value),
        report,
    })
}

/// Decodes a load report `NAME=VALUE,...` into the order of `fields`; `None` if it is absent or malformed.
fn decode_load_report(text: &str, fields: &[ReportField]) -> Option<LoadReport> {
    let mut report = vec![None; fields.len()];
    for item in text.split(',') {
        let (name, value) = item.split_once('=')?;
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite())?;
        let field = report_field(name);
        if let Some(index) = fields.iter().position(|known| *known == field && field != ReportField::Unknown)
        {
            report[index] = Some(value);
        }
    }
    Some(report)
}

/// Returns the field of a load report by its name in the workers' protocol or in the simulator's.
#[must_use]
pub fn report_field(name: &str) -> ReportField {
    match name {
        "util" | "busy" => ReportField::Busy,
        "inflight" | "rif" => ReportField::InFlight,
        "queue" | "q" => ReportField::Queued,
        "latency_ms" | "lat_ms" => ReportField::LatencyMs,
        "qps" | "rate" => ReportField::Rate,
        _ => ReportField::Unknown,
    }
}
