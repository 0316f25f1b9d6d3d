//! One record: a line of JSON with a version, a sequence number within its incarnation, and a checksum.
//!
//! Owns the stored form: its names stay readable forever, so a Rust name that differs carries `#[serde(rename)]` with
//! the stored one, and `#[schemars(rename)]` keeps the names of the published schema. It reads and writes no file.

use super::metrics::MetricsSnapshot;
use crate::membership::ObservedState;
use crc::{CRC_32_ISCSI, Crc};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The version that is written. Older versions stay readable; records of a newer one are reported and not read.
pub const VERSION: u32 = 1;
/// The longest record that is written or read, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// CRC-32C (Castagnoli; RFC 3720, appendix B.4).
const CRC32C: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// What stands before the checksum, which is the last field of every record.
const CHECKSUM_KEY: &[u8] = b",\"crc\":\"";
/// Hexadecimal digits of a checksum.
const CHECKSUM_DIGITS: usize = 8;
/// What closes a record behind its checksum.
const RECORD_END: &[u8] = b"\"}";
/// Length of the key, the digits, and what closes the record, in bytes.
const CHECKSUM_FIELD_BYTES: usize = CHECKSUM_KEY.len() + CHECKSUM_DIGITS + RECORD_END.len();

/// A record as it is written, without its checksum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Line")]
pub struct Record {
    /// Version of the stored form.
    #[serde(rename = "v")]
    pub version: u32,
    /// Name of the gatherer.
    pub gatherer: String,
    /// Name of this incarnation of the gatherer, which no other incarnation has.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// Number of the record within its incarnation, from 0. A lost record leaves its number unused.
    pub seq: u64,
    /// Unix time in milliseconds, by this gatherer's clock, which may differ from another gatherer's.
    pub at_ms: u64,
    /// What is recorded.
    #[serde(flatten)]
    pub body: RecordBody,
}

/// Identifies an incarnation among those of all gatherers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// Name of the gatherer.
    pub gatherer: String,
    /// Name of the incarnation.
    pub incarnation: String,
}

/// What is recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[schemars(rename = "Body")]
pub enum RecordBody {
    /// The process accepts queries from now on.
    Start {
        /// Digest of the configuration in effect, in hexadecimal.
        configuration: String,
        /// Names of classes, in the order of the numbers that metrics use.
        classes: Vec<String>,
        /// Names of tenants, in the order of the numbers that metrics use.
        tenants: Vec<String>,
    },
    /// The process has shut down gracefully: every accepted query got its response.
    Stop,
    /// The configuration was reloaded.
    Reload {
        /// Whether the new configuration is in effect.
        #[serde(rename = "taken")]
        applied: bool,
        /// What is in effect now, or what is wrong with the new configuration.
        #[serde(rename = "what")]
        detail: String,
    },
    /// Discovery sent an endpoint list, or changes of it.
    #[serde(rename = "list")]
    EndpointList {
        /// Revision of the list.
        revision: u64,
        /// Whether it was the complete list.
        complete: bool,
        /// Workers listed now.
        workers: usize,
    },
    /// The state of a worker has changed.
    Worker {
        /// Name of the worker.
        worker: String,
        /// Its new state.
        state: RecordedWorkerState,
    },
    /// The state of another gatherer has changed, as this one observes it.
    Member {
        /// Name of that gatherer.
        member: String,
        /// Its incarnation, as the time of its start in Unix nanoseconds.
        process: u64,
        /// Its new state.
        state: ObservedState,
    },
    /// A period of overload begins or ends.
    Overload {
        /// Whether it begins.
        begins: bool,
    },
    /// Records could not be written.
    Gap {
        /// Number of lost records.
        lost: u64,
        /// Why the last of them was lost.
        #[serde(rename = "why")]
        reason: String,
    },
    /// What happened since the last record of this kind.
    #[serde(rename = "figures")]
    Metrics(MetricsSnapshot),
}

/// State of a worker, as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "WorkerState")]
pub enum RecordedWorkerState {
    /// It is listed and takes calls.
    Active,
    /// It is draining: it finishes what is in flight.
    Draining,
    /// It is no longer listed.
    #[serde(rename = "gone")]
    Removed,
    /// It has started lately and is warming up.
    #[serde(rename = "cold")]
    WarmingUp,
    /// It was ejected, because its responses are overdue.
    #[serde(rename = "suspect")]
    Ejected,
    /// It was reinstated, because it responds again.
    #[serde(rename = "trusted")]
    Reinstated,
    /// An operator has disabled it.
    #[serde(rename = "out_by_hand")]
    Disabled,
}

impl RecordedWorkerState {
    /// The word for this state in the events of a report. Readers of the report's JSON match it, so it stays.
    #[must_use]
    pub fn timeline_word(self) -> &'static str {
        match self {
            RecordedWorkerState::Active => "active",
            RecordedWorkerState::Draining => "draining",
            RecordedWorkerState::Removed => "gone",
            RecordedWorkerState::WarmingUp => "cold",
            RecordedWorkerState::Ejected => "suspect",
            RecordedWorkerState::Reinstated => "trusted",
            RecordedWorkerState::Disabled => "outbyhand",
        }
    }
}

/// Why bytes are not a valid record. Operators read the messages in the output of `records verify`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is cut short by a killed process, a full disk or a truncated file.
    #[error("torn: the line does not end")]
    Torn,
    /// It does not end in a checksum.
    #[error("no checksum at its end")]
    MissingChecksum,
    /// Its checksum does not match its content.
    #[error("its checksum is {found:08x}, not {written:08x}: what it says is not what was written")]
    ChecksumMismatch {
        /// The checksum that it carries.
        written: u32,
        /// The checksum of its content.
        found: u32,
    },
    /// A newer program wrote it.
    #[error("version {0}; this program reads up to {VERSION}")]
    NewerVersion(u64),
    /// Its checksum matches, but it does not have the stored form.
    #[error("not in the form: {0}")]
    Malformed(String),
    /// It is longer than [`MAX_RECORD_BYTES`].
    #[error("longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// A record of this incarnation with this number was read before.
    #[error("doubled: line {0} of this start was read before")]
    Duplicate(u64),
    /// A later record of this incarnation was read before.
    #[error("out of order: line {found} of this start comes after line {after}")]
    OutOfOrder {
        /// Its number.
        found: u64,
        /// The number of the record before it.
        after: u64,
    },
}

impl Record {
    /// Encodes the record as one line, with the checksum and the line feed.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Structs and maps with text keys always serialise. If they did not, the line would be damaged and reported,
        // but never misread.
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.pop();
        let checksum = CRC32C.checksum(&bytes);
        bytes.extend_from_slice(CHECKSUM_KEY);
        bytes.extend_from_slice(format!("{checksum:08x}").as_bytes());
        bytes.extend_from_slice(RECORD_END);
        bytes.push(b'\n');
        bytes
    }

    /// Decodes a line, with or without its line feed.
    ///
    /// # Errors
    ///
    /// Fails where the line is damaged, or written by a newer program.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        let bytes = bytes.strip_suffix(b"\n").unwrap_or(bytes);
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong);
        }
        if bytes.last() != Some(&b'}') {
            return Err(RecordError::Torn);
        }
        let (content, checksum_field) = bytes.split_at(bytes.len().saturating_sub(CHECKSUM_FIELD_BYTES));
        let written = parse_checksum(checksum_field).ok_or(RecordError::MissingChecksum)?;
        let found = CRC32C.checksum(content);
        if found != written {
            return Err(RecordError::ChecksumMismatch { written, found });
        }
        let json = [content, b"}"].concat();
        // The version is read on its own: a record of a newer program may differ in everything else.
        #[derive(Deserialize)]
        struct Versioned {
            #[serde(rename = "v")]
            version: u64,
        }
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let version = serde_json::from_slice::<Versioned>(&json).map_err(malformed)?.version;
        if version > u64::from(VERSION) {
            return Err(RecordError::NewerVersion(version));
        }
        serde_json::from_slice(&json).map_err(malformed)
    }
}

fn parse_checksum(field: &[u8]) -> Option<u32> {
    let digits = field.strip_prefix(CHECKSUM_KEY)?.strip_suffix(RECORD_END)?;
    // Lower case only, as it is written: a changed bit must not turn a letter into one that reads as the same number.
    if !digits.iter().all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f')) {
        return None;
    }
    u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
