//! One record: a line of JSON with a version, a sequence number within its incarnation, and a checksum.
//!
//! The module owns the stored format, which must stay readable: where a Rust name differs from the stored one,
//! `#[serde(rename)]` has the stored one, and `#[schemars(rename)]` keeps the names of the published schema. The module
//! reads and writes no file.

use super::metrics::MetricsSnapshot;
use crate::membership::ObservedState;
use crc::{CRC_32_ISCSI, Crc};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Version of the stored format. Records of an older version are read; those of a newer one are reported as errors.
pub const VERSION: u32 = 1;
/// Longest record that is written or read, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// CRC-32C (Castagnoli; RFC 3720, appendix B.4).
const CRC32C: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// Bytes before the checksum, which is the last field of every record.
const CHECKSUM_KEY: &[u8] = b",\"crc\":\"";
/// Number of hexadecimal digits of a checksum.
const CHECKSUM_DIGITS: usize = 8;
/// Bytes that end a record after its checksum.
const RECORD_END: &[u8] = b"\"}";
/// Length of the key, the digits and the end of the record, in bytes.
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
    /// Name of the incarnation of the gatherer: unique to one start of the process.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// Sequence number of the record within its incarnation, from 0. The number of a lost record is not used again.
    pub seq: u64,
    /// Unix time in milliseconds by the gatherer's clock, which may differ from the clocks of other gatherers.
    pub at_ms: u64,
    /// Content of the record.
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

/// Content of a record, by its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[schemars(rename = "Body")]
pub enum RecordBody {
    /// The process has started to accept queries.
    Start {
        /// Digest of the configuration in effect, in hexadecimal.
        configuration: String,
        /// Names of the classes. Metrics refer to a class by its index.
        classes: Vec<String>,
        /// Names of the tenants. Metrics refer to a tenant by its index.
        tenants: Vec<String>,
    },
    /// The process has shut down gracefully, after the responses to all accepted queries.
    Stop,
    /// The configuration was reloaded.
    Reload {
        /// Whether the new configuration is in effect.
        #[serde(rename = "taken")]
        applied: bool,
        /// The configuration in effect, or the error in the new one.
        #[serde(rename = "what")]
        detail: String,
    },
    /// Discovery sent an endpoint list, or changes to it.
    #[serde(rename = "list")]
    EndpointList {
        /// Revision of the list.
        revision: u64,
        /// Whether discovery sent the complete list.
        complete: bool,
        /// Number of workers listed after the update.
        workers: usize,
    },
    /// The state of a worker has changed.
    Worker {
        /// Name of the worker.
        worker: String,
        /// New state of the worker.
        state: RecordedWorkerState,
    },
    /// This gatherer has observed that the state of another one changed.
    Member {
        /// Name of the other gatherer.
        member: String,
        /// Incarnation of the other gatherer: the time of its start in Unix nanoseconds.
        process: u64,
        /// New state of the other gatherer.
        state: ObservedState,
    },
    /// A period of overload has started or ended.
    Overload {
        /// Whether the period has started.
        begins: bool,
    },
    /// Records before this one were lost.
    Gap {
        /// Number of lost records.
        lost: u64,
        /// Why the last of the lost records was lost.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Metrics of the time since the last record of this kind.
    #[serde(rename = "figures")]
    Metrics(MetricsSnapshot),
}

/// State of a worker, as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "WorkerState")]
pub enum RecordedWorkerState {
    /// The worker is listed and takes calls.
    Active,
    /// The worker is draining: it completes the calls in flight.
    Draining,
    /// The worker is no longer listed.
    #[serde(rename = "gone")]
    Removed,
    /// The worker has started recently and is in slow start.
    #[serde(rename = "cold")]
    WarmingUp,
    /// The worker was ejected, because its responses are overdue.
    #[serde(rename = "suspect")]
    Ejected,
    /// The worker was reinstated, because it responds again.
    #[serde(rename = "trusted")]
    Reinstated,
    /// An operator has disabled the worker.
    #[serde(rename = "out_by_hand")]
    Disabled,
}

impl RecordedWorkerState {
    /// Returns the name of this state in the events of a report. Programs that read the report's JSON match it, so it
    /// must not change.
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

/// Why bytes are not a valid record. The messages are in the output of `records verify` and in the report's JSON.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is cut short, by a killed process, a full disk or a truncated file.
    #[error("torn: the line does not end")]
    Torn,
    /// The record does not end in a checksum.
    #[error("no checksum at its end")]
    MissingChecksum,
    /// The checksum does not match the content.
    #[error("its checksum is {found:08x}, not {written:08x}: what it says is not what was written")]
    ChecksumMismatch {
        /// Checksum in the record.
        written: u32,
        /// Checksum of the content that was read.
        found: u32,
    },
    /// The record has a newer version than this program reads.
    #[error("version {0}; this program reads up to {VERSION}")]
    NewerVersion(u64),
    /// The checksum matches, but the JSON is not that of a record.
    #[error("not in the form: {0}")]
    Malformed(String),
    /// The record is longer than [`MAX_RECORD_BYTES`].
    #[error("longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// The record of the incarnation that was read before has the same sequence number.
    #[error("doubled: line {0} of this start was read before")]
    Duplicate(u64),
    /// A later record of the incarnation was read before.
    #[error("out of order: line {found} of this start comes after line {after}")]
    OutOfOrder {
        /// Sequence number of the record.
        found: u64,
        /// Highest sequence number read before.
        after: u64,
    },
}

impl Record {
    /// Encodes the record as one line, with the checksum and the line feed.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Serializing structs and maps with text keys cannot fail. If it did, the reader would report a damaged line.
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.pop();
        let checksum = CRC32C.checksum(&bytes);
        bytes.extend_from_slice(CHECKSUM_KEY);
        bytes.extend_from_slice(format!("{checksum:08x}").as_bytes());
        bytes.extend_from_slice(RECORD_END);
        bytes.push(b'\n');
        bytes
    }

    /// Decodes one line, with or without the line feed.
    ///
    /// # Errors
    ///
    /// If the line is damaged, or has a newer version.
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
        // The version is decoded first, because a record of a newer version may differ in everything else.
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
    // Only lower case is written. Accepting upper case would hide a bit flip that changes the case of a digit.
    if !digits.iter().all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f')) {
        return None;
    }
    u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
