//! Messages between the two processes of an upgrade. Each message is one line `clayshore-handover VERSION LENGTH CHECKSUM`,
//! the checksum (XXH3 of the body) in hexadecimal, and then so many bytes of JSON.
//!
//! It encodes and decodes messages. It never decides which process serves: `service::takeover` does. The names in the JSON
//! and its first line are read by other versions of the program, and stay as they are.

use crate::policy::PolicySnapshot;
use crate::routing::WorkerListUpdate;
use crate::service::DisabledWorkers;
use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version that this program sends; it accepts no other.
pub const VERSION: u32 = 1;
const MAGIC: &str = "clayshore-handover";
/// The longest first line.
const MAX_HEADER_BYTES: usize = 80;
/// The longest body: far more than a fleet of a thousand workers takes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The state that a gatherer passes on to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverState {
    /// The endpoint list as discovery last announced it.
    pub list: WorkerListUpdate,
    /// The workers that an operator has disabled. The message's name of it is read by other versions.
    #[serde(rename = "bans")]
    pub disabled_workers: DisabledWorkers,
    /// An operator has it drained.
    pub drained: bool,
    /// The decision module's snapshot. The message's name of it is read by other versions.
    #[serde(rename = "learned")]
    pub policy_snapshot: PolicySnapshot,
}

/// A message. Its names in JSON are read by other versions of the program, hence `serde(rename)`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A second process, for clients at this address, asks to take over.
    #[serde(rename = "join")]
    TakeoverRequest {
        /// Where clients connect.
        listen: String,
    },
    /// It has to wait: another takeover is in progress.
    #[serde(rename = "busy")]
    TakeoverInProgress,
    /// The state that it takes over; the listening socket comes beside it.
    #[serde(rename = "state")]
    TakeoverState(Box<TakeoverState>),
    /// An operator has disabled a worker.
    #[serde(rename = "out")]
    WorkerDisabled {
        /// Its name.
        worker: String,
    },
    /// An operator has enabled a worker again.
    #[serde(rename = "back")]
    WorkerEnabled {
        /// Its name.
        worker: String,
    },
    /// An operator has the gatherer drained.
    Drain,
    /// An operator has the gatherer accept clients again.
    Resume,
    /// The second process accepts clients.
    Serving,
    /// The process that sends this was asked to stop.
    Stopping,
}

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The first line is of another form.
    #[error("it is not in the form of a hand-over")]
    Foreign,
    /// Another version of the program sent it.
    #[error("it is of version {0}, not {VERSION}")]
    Version(u32),
    /// The body is over the limit.
    #[error("it is too long")]
    TooLong,
    /// The body is not what was sent.
    #[error("its checksum is wrong")]
    Damaged,
    /// The body is no message.
    #[error("its body cannot be read: {0}")]
    Body(#[from] serde_json::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// If its body cannot be encoded, or is over the limit.
pub fn encode(message: &Message) -> Result<Bytes, HandoverError> {
    let body = serde_json::to_vec(message)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(HandoverError::TooLong);
    }
    let header = format!("{MAGIC} {VERSION} {} {:016x}\n", body.len(), xxh3_64(&body));
    Ok([header.into_bytes(), body].concat().into())
}

/// Takes one complete message off the front of the buffer; `None` while its end has not been received.
///
/// # Errors
///
/// If the bytes are no message. The connection cannot be used further: where the next message begins is unknown.
pub fn take_message(buffer: &mut BytesMut) -> Result<Option<Message>, HandoverError> {
    let Some(header_end) = buffer.iter().take(MAX_HEADER_BYTES).position(|byte| *byte == b'\n') else {
        return if buffer.len() < MAX_HEADER_BYTES { Ok(None) } else { Err(HandoverError::Foreign) };
    };
    let header = std::str::from_utf8(&buffer[..header_end]).map_err(|_| HandoverError::Foreign)?;
    let header_fields: Vec<&str> = header.split(' ').collect();
    let [MAGIC, version, length, checksum] = header_fields[..] else { return Err(HandoverError::Foreign) };
    let version = version.parse().map_err(|_| HandoverError::Foreign)?;
    if version != VERSION {
        return Err(HandoverError::Version(version));
    }
    let length = length.parse::<usize>().map_err(|_| HandoverError::Foreign)?;
    let checksum = u64::from_str_radix(checksum, 16).map_err(|_| HandoverError::Foreign)?;
    if length > MAX_BODY_BYTES {
        return Err(HandoverError::TooLong);
    }
    let body_start = header_end + 1;
    let Some(body) = buffer.get(body_start..body_start + length) else { return Ok(None) };
    if xxh3_64(body) != checksum {
        return Err(HandoverError::Damaged);
    }
    let message = serde_json::from_slice(body)?;
    buffer.advance(body_start + length);
    Ok(Some(message))
}
