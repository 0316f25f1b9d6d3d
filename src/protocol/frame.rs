//! Frames between gatherers and workers: a four-byte length, least significant byte first, a letter, the rest.

use crate::policy::{AttemptOutcome, LoadReport, ReportField, Time};
use crate::routing::Dispatch;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The longest frame a worker may send: a value that fits an answer, and its line.
const LONGEST: usize = 68 * 1024;

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A length of nothing, or over the limit.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// A letter that workers do not send.
    #[error("a frame of kind {0:?}")]
    Kind(char),
    /// The line of an answer.
    #[error("malformed answer: {0}")]
    Line(&'static str),
}

/// What a worker says.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerMessage {
    /// A part has ended.
    PartFinished {
        /// The part's id.
        id: String,
        /// How.
        outcome: AttemptOutcome,
        /// Its value.
        value: Bytes,
        /// The worker's load.
        report: Option<LoadReport>,
    },
    /// The frame before could not be used; the worker closes the connection.
    CallRejected(String),
}

/// The id of a part on the wire.
pub fn part_id(label: &str, shard: u32) -> String {
    format!("{label}.{shard}")
}

fn frame(letter: u8, rest: &[&[u8]]) -> Bytes {
    let length = 1 + rest.iter().map(|piece| piece.len()).sum::<usize>();
    let mut bytes = BytesMut::with_capacity(4 + length);
    bytes.put_u32_le(u32::try_from(length).unwrap_or(u32::MAX));
    bytes.put_u8(letter);
    rest.iter().for_each(|piece| bytes.put_slice(piece));
    bytes.freeze()
}

/// One call for these parts, as it is told to a worker at this time.
pub fn encode_call(parts: &[Dispatch], now: Time) -> Bytes {
    let mut rest = BytesMut::new();
    for part in parts {
        let (id, wait) = (part_id(&part.label, part.shard.0), part.time_left(now).as_millis());
        rest.put_slice(format!("{id} {} d={wait} {}\n", part.shard.0, part.payload.len()).as_bytes());
        rest.put_slice(&part.payload);
    }
    frame(b'm', &[&rest])
}

/// Gives a part up.
pub fn encode_cancel(id: &str) -> Bytes {
    frame(b'n', &[id.as_bytes()])
}

/// Takes one whole frame off the front of the buffer; `None` while it is not all there.
pub fn take_message(
    buffer: &mut BytesMut,
    fields: &[ReportField],
) -> Result<Option<WorkerMessage>, Malformed> {
    let Some(length) = buffer.first_chunk::<4>().map(|bytes| u32::from_le_bytes(*bytes) as usize) else {
        return Ok(None);
    };
    if length == 0 || length > LONGEST {
        return Err(Malformed::Length(length));
    }
    // Guards against waiting for the rest of what is no frame.
    if let Some(letter) = buffer.get(4).filter(|letter| !matches!(letter, b'q' | b'r')) {
        return Err(Malformed::Kind(char::from(*letter)));
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let letter = buffer.get_u8();
    let rest = buffer.split_to(length - 1);
    match letter {
        b'q' => answer(&rest, fields).map(Some),
        b'r' => Ok(Some(WorkerMessage::CallRejected(String::from_utf8_lossy(&rest).into_owned()))),
        other => Err(Malformed::Kind(char::from(other))),
    }
}

fn answer(rest: &[u8], fields: &[ReportField]) -> Result<WorkerMessage, Malformed> {
    let line = rest.iter().position(|byte| *byte == b'\n').ok_or(Malformed::Line("no end of line"))?;
    let text = std::str::from_utf8(&rest[..line]).map_err(|_| Malformed::Line("not UTF-8"))?;
    let mut words = text.split(' ');
    let (Some(id), Some(end), Some(_score), Some(load), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Malformed::Line("not four words"));
    };
    let outcome = match end {
        "good" => AttemptOutcome::Succeeded,
        "bad" => AttemptOutcome::Failed,
        "later" => AttemptOutcome::Rejected,
        _ => return Err(Malformed::Line("unknown end")),
    };
    let value = &rest[line + 1..];
    if outcome == AttemptOutcome::Succeeded && std::str::from_utf8(value).is_err() {
        return Err(Malformed::Line("a value that is no text"));
    }
    // Guards against losing a good answer for a load report that cannot be read.
    let report = report(load, fields);
    Ok(WorkerMessage::PartFinished {
        id: id.to_owned(),
        outcome,
        value: Bytes::copy_from_slice(value),
        report,
    })
}

/// A load report by name, put in the order of the settings; `None` where there is none, or none that can be read.
fn report(text: &str, fields: &[ReportField]) -> Option<LoadReport> {
    let mut row = vec![None; fields.len()];
    for item in text.split(',') {
        let (name, value) = item.split_once('=')?;
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite())?;
        let known = report_field(name);
        if let Some(at) = fields.iter().position(|field| *field == known && known != ReportField::Unknown) {
            row[at] = Some(value);
        }
    }
    Some(row)
}

/// The value that a report calls by this name, in the words of sockets or of the simulator.
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
