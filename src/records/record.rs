//! One record: a line of JSON with a version, a place in its start's sequence, and a checksum.

use super::metrics::MetricsSnapshot;
use crate::membership::ObservedState;
use crc::{CRC_32_ISCSI, Crc};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The version that is written. Older ones are read forever; newer ones are told apart and left alone.
pub const VERSION: u32 = 1;
/// The longest line that is written or read, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// CRC-32C (Castagnoli; RFC 3720, appendix B.4).
const CRC: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// What stands before the checksum, which is always a line's last field.
const SEAL: &[u8] = b",\"crc\":\"";
/// Length of the seal, its eight digits, and what closes the line.
const TAIL: usize = SEAL.len() + 8 + 2;

/// A record as it is written, without its checksum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Line")]
pub struct Record {
    /// Version of the form.
    #[serde(rename = "v")]
    pub version: u32,
    /// The gatherer, by its name.
    pub gatherer: String,
    /// This start of it, which no other start is called.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// The line's place among those of its start, from 0. A line that was lost leaves its number free.
    pub seq: u64,
    /// Unix time in milliseconds, by this gatherer's clock, which may differ from another's.
    pub at_ms: u64,
    /// What is recorded.
    #[serde(flatten)]
    pub body: RecordBody,
}

/// What a record tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[schemars(rename = "Body")]
pub enum RecordBody {
    /// The process serves from now on.
    Start {
        /// Digest of the configuration that it runs on, in hexadecimal.
        configuration: String,
        /// Classes, by the numbers that figures use.
        classes: Vec<String>,
        /// Tenants, by the numbers that figures use.
        tenants: Vec<String>,
    },
    /// The process ends by itself; whatever it had taken is answered.
    Stop,
    /// The configuration was read again.
    Reload {
        /// Whether it holds now.
        #[serde(rename = "taken")]
        applied: bool,
        /// What holds now, or what is wrong with it.
        #[serde(rename = "what")]
        detail: String,
    },
    /// Discovery told a list, or changes of it.
    #[serde(rename = "list")]
    EndpointList {
        /// Its version.
        revision: u64,
        /// Whether it was the whole list.
        complete: bool,
        /// Workers that are listed now.
        workers: usize,
    },
    /// A worker is seen differently from now on.
    Worker {
        /// Its name.
        worker: String,
        /// How it is seen.
        state: RecordedWorkerState,
    },
    /// Another gatherer stands otherwise than before, as this one sees it.
    Member {
        /// Its name.
        member: String,
        /// Its process, by the time of its start in Unix nanoseconds.
        process: u64,
        /// How it stands.
        state: ObservedState,
    },
    /// Clients ask for more than is served, or no longer do.
    Overload {
        /// Whether it begins.
        begins: bool,
    },
    /// Lines that could not be written.
    Gap {
        /// How many.
        lost: u64,
        /// Why the last of them was lost.
        #[serde(rename = "why")]
        reason: String,
    },
    /// What happened since the last such line.
    #[serde(rename = "figures")]
    Metrics(MetricsSnapshot),
}

/// How a worker is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "WorkerState")]
pub enum RecordedWorkerState {
    /// It is listed and takes work.
    Active,
    /// It finishes what it has.
    Draining,
    /// It is no longer listed.
    #[serde(rename = "gone")]
    Removed,
    /// It has started lately.
    #[serde(rename = "cold")]
    WarmingUp,
    /// Its answers are overdue.
    #[serde(rename = "suspect")]
    Ejected,
    /// It answers again.
    #[serde(rename = "trusted")]
    Reinstated,
    /// An operator has taken it out.
    #[serde(rename = "out_by_hand")]
    Disabled,
}

impl RecordedWorkerState {
    /// The word of the report's timeline, which its readers match.
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

/// Why bytes are no line that counts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It stops short: a kill, a full disk or a cut.
    #[error("torn: the line does not end")]
    Torn,
    /// It has no checksum where one belongs.
    #[error("no checksum at its end")]
    MissingChecksum,
    /// What it says is not what was written.
    #[error("its checksum is {found:08x}, not {written:08x}: what it says is not what was written")]
    ChecksumMismatch {
        /// The checksum that it carries.
        written: u32,
        /// The checksum that it has.
        found: u32,
    },
    /// A later program wrote it.
    #[error("version {0}; this program reads up to {VERSION}")]
    NewerVersion(u64),
    /// It is whole, but not in the form.
    #[error("not in the form: {0}")]
    Malformed(String),
    /// No line is that long.
    #[error("longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// A line of this start and number was read before.
    #[error("doubled: line {0} of this start was read before")]
    Duplicate(u64),
    /// A line behind it was read before; it comes too late to be trusted.
    #[error("out of order: line {found} of this start comes after line {after}")]
    OutOfOrder {
        /// Its number.
        found: u64,
        /// The number that came before.
        after: u64,
    },
}

impl Record {
    /// Its bytes, with the checksum and the end of the line.
    pub fn encode(&self) -> Vec<u8> {
        // Plain structs and maps with text keys: this cannot fail, and if it did the line would be damaged, not wrong.
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.pop();
        let sum = CRC.checksum(&bytes);
        bytes.extend_from_slice(SEAL);
        bytes.extend_from_slice(format!("{sum:08x}\"}}\n").as_bytes());
        bytes
    }

    /// Reads a line, with or without its end.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        let bytes = bytes.strip_suffix(b"\n").unwrap_or(bytes);
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong);
        }
        if bytes.last() != Some(&b'}') {
            return Err(RecordError::Torn);
        }
        let (said, tail) = bytes.split_at(bytes.len().saturating_sub(TAIL));
        let digits = tail
            .strip_prefix(SEAL)
            .and_then(|tail| tail.strip_suffix(b"\"}"))
            .ok_or(RecordError::MissingChecksum)?;
        // Lower case only: guards against a flipped letter that reads as the same number.
        let exact = digits.iter().all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f'));
        let written = std::str::from_utf8(digits).ok().filter(|_| exact);
        let written = written
            .and_then(|text| u32::from_str_radix(text, 16).ok())
            .ok_or(RecordError::MissingChecksum)?;
        let found = CRC.checksum(said);
        if found != written {
            return Err(RecordError::ChecksumMismatch { written, found });
        }
        let whole = [said, b"}"].concat();
        // The version goes first: what a later program wrote need not have today's form.
        #[derive(Deserialize)]
        struct Versioned {
            v: u64,
        }
        let form = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let version = serde_json::from_slice::<Versioned>(&whole).map_err(form)?.v;
        if version > u64::from(VERSION) {
            return Err(RecordError::NewerVersion(version));
        }
        serde_json::from_slice(&whole).map_err(form)
    }
}
