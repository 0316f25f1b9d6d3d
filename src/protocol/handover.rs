//! Messages between the two processes of an upgrade. A message is a header line `clayshore-handover VERSION LENGTH
//! CHECKSUM`, with the length of the body in bytes and its XXH3 hash in hexadecimal, and then the body as JSON.
//!
//! The module encodes and decodes messages; `service::takeover` decides which process serves. Other versions of the
//! program read the header line and the names in the JSON, so these must not change.

use crate::policy::PolicySnapshot;
use crate::routing::WorkerListUpdate;
use crate::service::DisabledWorkers;
use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the format. Messages of any other version are rejected.
pub const VERSION: u32 = 1;
const MAGIC: &str = "clayshore-handover";
/// Longest header line, in bytes.
const MAX_HEADER_BYTES: usize = 80;
/// Longest body, in bytes: far more than the state of a fleet of a thousand workers takes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The state that a gatherer hands over to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverState {
    /// Endpoint list as discovery last sent it.
    pub list: WorkerListUpdate,
    /// Workers that an operator has disabled or enabled again. Other versions read the field as `bans`.
    #[serde(rename = "bans")]
    pub disabled_workers: DisabledWorkers,
    /// Whether an operator has drained the gatherer.
    pub drained: bool,
    /// Snapshot of the decision module. Other versions read the field as `learned`.
    #[serde(rename = "learned")]
    pub policy_snapshot: PolicySnapshot,
}

/// A message. Other versions of the program read the names in the JSON; where a variant is named otherwise here,
/// `serde(rename)` keeps the name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A second process that serves clients at this address requests to take over.
    #[serde(rename = "join")]
    TakeoverRequest {
        /// Address at which clients connect.
        listen: String,
    },
    /// The second process has to wait, because another takeover is in progress.
    #[serde(rename = "busy")]
    TakeoverInProgress,
    /// The state that the second process takes over. The listening socket is sent along with this message.
    #[serde(rename = "state")]
    TakeoverState(Box<TakeoverState>),
    /// An operator has disabled a worker.
    #[serde(rename = "out")]
    WorkerDisabled {
        /// Name of the worker.
        worker: String,
    },
    /// An operator has enabled a worker again.
    #[serde(rename = "back")]
    WorkerEnabled {
        /// Name of the worker.
        worker: String,
    },
    /// An operator has drained the gatherer.
    Drain,
    /// An operator has requested that the gatherer accept clients again.
    Resume,
    /// The second process accepts clients.
    Serving,
    /// The sender was requested to stop.
    Stopping,
}

/// Why a message cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The bytes do not begin with a valid header line.
    #[error("the header line is not in the form of a hand-over message")]
    MalformedHeader,
    /// The message has another version.
    #[error("the hand-over message is of version {0}, not {VERSION}")]
    UnsupportedVersion(u32),
    /// The body, of this number of bytes, is over the limit.
    #[error("the body of the hand-over message has {0} bytes, more than {MAX_BODY_BYTES}")]
    BodyTooLong(usize),
    /// The body does not match its checksum.
    #[error("the hand-over message is damaged: its checksum is wrong")]
    ChecksumMismatch,
    /// The body is not the JSON of a message.
    #[error("the body of the hand-over message is invalid: {0}")]
    MalformedBody(#[from] serde_json::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// If the body cannot be encoded as JSON, or is over the limit.
pub fn encode(message: &Message) -> Result<Bytes, HandoverError> {
    let body = serde_json::to_vec(message)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(HandoverError::BodyTooLong(body.len()));
    }
    let header = format!("{MAGIC} {VERSION} {} {:016x}\n", body.len(), xxh3_64(&body));
    Ok([header.into_bytes(), body].concat().into())
}

/// Takes one complete message off the front of the buffer; `None` while its end has not been received.
///
/// # Errors
///
/// If the bytes are not a valid message. The connection cannot be used further, because it is unknown where the next
/// message begins.
pub fn take_message(buffer: &mut BytesMut) -> Result<Option<Message>, HandoverError> {
    let Some(header_end) = buffer.iter().take(MAX_HEADER_BYTES).position(|byte| *byte == b'\n') else {
        return if buffer.len() < MAX_HEADER_BYTES { Ok(None) } else { Err(HandoverError::MalformedHeader) };
    };
    let header = std::str::from_utf8(&buffer[..header_end]).map_err(|_| HandoverError::MalformedHeader)?;
    let header_fields: Vec<&str> = header.split(' ').collect();
    let [MAGIC, version, length, checksum] = header_fields[..] else {
        return Err(HandoverError::MalformedHeader);
    };
    let version = version.parse().map_err(|_| HandoverError::MalformedHeader)?;
    if version != VERSION {
        return Err(HandoverError::UnsupportedVersion(version));
    }
    let length = length.parse::<usize>().map_err(|_| HandoverError::MalformedHeader)?;
    let checksum = u64::from_str_radix(checksum, 16).map_err(|_| HandoverError::MalformedHeader)?;
    if length > MAX_BODY_BYTES {
        return Err(HandoverError::BodyTooLong(length));
    }
    let body_start = header_end + 1;
    let Some(body) = buffer.get(body_start..body_start + length) else { return Ok(None) };
    if xxh3_64(body) != checksum {
        return Err(HandoverError::ChecksumMismatch);
    }
    let message = serde_json::from_slice(body)?;
    buffer.advance(body_start + length);
    Ok(Some(message))
}
