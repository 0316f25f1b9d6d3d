//! Reads the values of one line of the simulator's wire, in order. It knows the form of each kind of value,
//! and no message.

use crate::error::{FieldError, FieldProblem};
use gatherer::policy::{AttemptOutcome, LoadReport, RequestId, Time};
use std::error::Error;
use std::str::FromStr;
use std::time::Duration;

/// The length of a request's id.
const REQUEST_ID_DIGITS: usize = 16;

/// The values of one line, read in order. Errors name the message and the field.
pub struct Fields<'a> {
    message: &'a str,
    /// What is not read yet; `None` after the last field.
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its message's name and its fields.
    pub fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, rest)) => Fields { message, rest: Some(rest) },
            None => Fields { message: line, rest: None },
        }
    }

    /// The message's name.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// An error about a field of this message.
    pub fn error(&self, field: &'static str, problem: FieldProblem) -> FieldError {
        FieldError { message: self.message.to_owned(), field, source: problem }
    }

    /// All that is left of the line.
    pub fn remaining_text(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    /// The next field as it is; it must not be empty.
    pub fn raw(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        let rest = self.rest.take().ok_or_else(|| self.error(field, FieldProblem::Missing))?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(self.error(field, FieldProblem::Empty)) } else { Ok(value) }
    }

    /// The next field; `None` where it is `-`.
    pub fn optional<T>(&mut self, field: &'static str) -> Result<Option<T>, FieldError>
    where
        T: FromStr<Err: Error + Send + Sync + 'static>,
    {
        match self.raw(field)? {
            "-" => Ok(None),
            value => value.parse().map(Some).map_err(|source: T::Err| {
                let problem = FieldProblem::BadValue { value: value.to_owned(), source: Box::new(source) };
                self.error(field, problem)
            }),
        }
    }

    /// The next field, which must not be `-`.
    pub fn required<T>(&mut self, field: &'static str) -> Result<T, FieldError>
    where
        T: FromStr<Err: Error + Send + Sync + 'static>,
    {
        self.optional(field)?.ok_or_else(|| self.error(field, FieldProblem::Absent))
    }

    /// A finite number; `None` where it is `-`.
    pub fn number(&mut self, field: &'static str) -> Result<Option<f64>, FieldError> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => Err(self.error(field, FieldProblem::NotFinite)),
            value => Ok(value),
        }
    }

    /// `1` for true, `0` or `-` for false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, FieldError> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            value => Err(self.error(field, FieldProblem::BadFlag(value.to_owned()))),
        }
    }

    /// A time in nanoseconds, not before 0; `None` where it is `-`.
    pub fn time(&mut self, field: &'static str) -> Result<Option<Time>, FieldError> {
        Ok(self.optional::<i64>(field)?.map(|time| Time(u64::try_from(time).unwrap_or(0))))
    }

    /// A duration in nanoseconds, not below 0; `None` where it is `-`.
    pub fn duration(&mut self, field: &'static str) -> Result<Option<Duration>, FieldError> {
        Ok(self.optional::<i64>(field)?.map(|nanos| Duration::from_nanos(u64::try_from(nanos).unwrap_or(0))))
    }

    /// The id of a request: 16 hexadecimal digits.
    pub fn request_id(&mut self, field: &'static str) -> Result<RequestId, FieldError> {
        let value = self.raw(field)?;
        let is_id = value.len() == REQUEST_ID_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u64::from_str_radix(value, 16) {
            Ok(id) if is_id => Ok(RequestId(id)),
            _ => Err(self.error(field, FieldProblem::BadRequestId(value.to_owned()))),
        }
    }

    /// The outcome of an attempt or health check.
    pub fn outcome(&mut self, field: &'static str) -> Result<AttemptOutcome, FieldError> {
        Ok(match self.raw(field)? {
            "done" => AttemptOutcome::Succeeded,
            "err" => AttemptOutcome::Failed,
            "busy" => AttemptOutcome::Rejected,
            "etimedout" => AttemptOutcome::TimedOut,
            "econnrefused" => AttemptOutcome::ConnectFailed,
            "econnreset" => AttemptOutcome::ConnectionReset,
            "ecanceled" => AttemptOutcome::Cancelled,
            "skipped" => AttemptOutcome::NotSent,
            other => return Err(self.error(field, FieldProblem::UnknownOutcome(other.to_owned()))),
        })
    }

    /// A load report: numbers between commas, each of which may be absent; `None` where it is `-`.
    pub fn load_report(&mut self, field: &'static str) -> Result<Option<LoadReport>, FieldError> {
        let value = self.raw(field)?;
        if value == "-" {
            return Ok(None);
        }
        let parse = |item: &str| match item {
            "-" | "" => Ok(None),
            item => item.parse::<f64>().map(Some),
        };
        let report: Result<LoadReport, _> = value.split(',').map(parse).collect();
        report.map(Some).map_err(|source| {
            self.error(field, FieldProblem::BadLoadReport { value: value.to_owned(), source })
        })
    }

    /// Checks that the line has no more fields.
    pub fn end(&mut self) -> Result<(), FieldError> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(self.error("end of line", FieldProblem::Trailing(rest.to_owned()))),
        }
    }
}
