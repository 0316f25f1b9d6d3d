//! Why the adapter stops: what failed in which line, message and field, down to the error beneath it. The
//! texts are part of the adapter's outer form.

use gatherer::program::settings::InvalidSetting;
use std::error::Error;
use std::io;
use std::num::ParseFloatError;
use std::str::Utf8Error;

/// Why the adapter ended before its input did.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// A reply cannot be written to standard output.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// A line is not text.
    #[error("line {line_number}: not UTF-8")]
    NotUtf8 {
        /// The line's number, from 1.
        line_number: u64,
        /// Where its text ends.
        source: Utf8Error,
    },
    /// A line cannot be used.
    #[error("line {line_number}: {source}")]
    Line {
        /// The line's number, from 1.
        line_number: u64,
        /// The reason.
        source: LineError,
    },
}

/// Why a line cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// One of its fields is malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// It has to begin a batch.
    #[error("expected \"turn\", got {0:?}")]
    OutsideBatch(String),
    /// The input ended before the batch did.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// It has to be an entry of the endpoint list that was begun.
    #[error("{0}: expected a list entry")]
    NotAnEndpoint(String),
    /// No message has this name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// The settings of a `start` message cannot be used.
    #[error("start: env: {0}")]
    Settings(#[from] InvalidSetting),
    /// The batch has not named the instance that this message is for.
    #[error("{message}: no instance named")]
    NoInstanceNamed {
        /// The message's name.
        message: String,
    },
    /// The instance that this message is for does not run.
    #[error("{message}: who: instance {instance} was never started")]
    UnknownInstance {
        /// The message's name.
        message: String,
        /// The instance that the batch named.
        instance: u32,
    },
}

/// A malformed field of a message.
#[derive(Debug, thiserror::Error)]
#[error("{message}: {field}: {source}")]
pub struct FieldError {
    /// The message's name.
    pub message: String,
    /// The field, in the simulator's words.
    pub field: &'static str,
    /// What is wrong with it.
    pub source: FieldProblem,
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldProblem {
    /// The line ends before it.
    #[error("missing")]
    Missing,
    /// It has no characters.
    #[error("empty")]
    Empty,
    /// It is `-`, and needs a value.
    #[error("absent")]
    Absent,
    /// Its value is not of its type.
    #[error("bad value {value:?}")]
    BadValue {
        /// The value.
        value: String,
        /// Why it cannot be parsed.
        source: Box<dyn Error + Send + Sync>,
    },
    /// It is neither `1`, `0` nor `-`.
    #[error("bad value {0:?}")]
    BadFlag(String),
    /// It is infinite or not a number.
    #[error("not a finite number")]
    NotFinite,
    /// It is not an id of 16 hexadecimal digits.
    #[error("bad id {0:?}")]
    BadRequestId(String),
    /// No outcome of an attempt has this name.
    #[error("unknown outcome {0:?}")]
    UnknownOutcome(String),
    /// It is not a load report.
    #[error("bad report {value:?}")]
    BadLoadReport {
        /// The value.
        value: String,
        /// Why one of its numbers cannot be parsed.
        source: ParseFloatError,
    },
    /// No status of an endpoint has this name.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// No kind of endpoint update has this name.
    #[error("unknown kind {0:?}")]
    UnknownUpdateKind(String),
    /// No endpoint list has this number.
    #[error("no such list")]
    UnknownList,
    /// It follows the last field of its message.
    #[error("unexpected {0:?}")]
    Trailing(String),
}
