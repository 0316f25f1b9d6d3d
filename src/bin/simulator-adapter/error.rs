//! Errors that stop the adapter. Each names the line, the message and the field that is malformed, and keeps
//! the error that caused it as its source.

use gatherer::program::settings::InvalidSetting;
use std::error::Error;
use std::io;
use std::num::ParseFloatError;
use std::str::Utf8Error;

/// An error at which the adapter stops reading.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// A reply cannot be written to standard output.
    #[error("cannot write to standard output: {0}")]
    Write(#[source] io::Error),
    /// A line of the input is not UTF-8.
    #[error("line {line_number}: not UTF-8: {source}")]
    NotUtf8 {
        /// Number of the line, from 1.
        line_number: u64,
        /// Position of the first invalid byte.
        source: Utf8Error,
    },
    /// A line of the input is malformed, or not valid where it stands.
    #[error("line {line_number}: {source}")]
    Line {
        /// Number of the line, from 1.
        line_number: u64,
        /// The reason.
        source: LineError,
    },
}

/// A line that is malformed, or not valid where it stands.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field of the line is malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A line between two batches is not a `turn` line, with which a batch begins.
    #[error("expected \"turn\", got {0:?}")]
    OutsideBatch(String),
    /// The input ended before the batch did.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// A line within an endpoint list is not an entry of it (an `m` line).
    #[error("{0}: expected a list entry (\"m\")")]
    NotAnEndpoint(String),
    /// The line begins with no known message name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A `start` message has an invalid setting.
    #[error("start: env: {0}")]
    Settings(#[from] InvalidSetting),
    /// The batch has no `to` line before a message to an instance.
    #[error("{message}: no instance named by \"to\" in this batch")]
    NoInstanceNamed {
        /// Name of the message.
        message: String,
    },
    /// The instance that a message is for does not run.
    #[error("{message}: who: instance {instance} was never started")]
    UnknownInstance {
        /// Name of the message.
        message: String,
        /// Number of the instance.
        instance: u32,
    },
}

/// A malformed field of a message.
#[derive(Debug, thiserror::Error)]
#[error("{message}: {field}: {source}")]
pub struct FieldError {
    /// Name of the message.
    pub message: String,
    /// Name of the field, as the simulator calls it.
    pub field: &'static str,
    /// The reason.
    pub source: FieldProblem,
}

/// The reason why a field is malformed.
#[derive(Debug, thiserror::Error)]
pub enum FieldProblem {
    /// The line ends before the field.
    #[error("missing")]
    Missing,
    /// The field has no characters.
    #[error("empty")]
    Empty,
    /// The field is `-`, but a value is required.
    #[error("absent")]
    Absent,
    /// The value cannot be parsed as the field's type.
    #[error("bad value {value:?}: {source}")]
    BadValue {
        /// The value.
        value: String,
        /// The parser's error.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The value of a flag is neither `1`, `0` nor `-`.
    #[error("bad value {0:?}: expected 1, 0 or -")]
    BadFlag(String),
    /// The value is infinite or not a number.
    #[error("not a finite number")]
    NotFinite,
    /// The value is not a request id of 16 hexadecimal digits.
    #[error("bad id {0:?}: expected 16 hexadecimal digits")]
    BadRequestId(String),
    /// The value is no outcome of an attempt.
    #[error("unknown outcome {0:?}")]
    UnknownOutcome(String),
    /// The value is not a load report: numbers between commas.
    #[error("bad load report {value:?}: {source}")]
    BadLoadReport {
        /// The value.
        value: String,
        /// The parser's error for the first number that is malformed.
        source: ParseFloatError,
    },
    /// The value is no status of an endpoint.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// The value is no kind of endpoint update.
    #[error("unknown kind of endpoint update {0:?}")]
    UnknownUpdateKind(String),
    /// The number is absent, or that of no endpoint list that was read.
    #[error("no endpoint list of this number")]
    UnknownList,
    /// The line goes on after the last field of its message.
    #[error("unexpected {0:?}")]
    Trailing(String),
}
