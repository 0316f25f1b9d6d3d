//! Parses the fields of one line of the simulator's wire, in order, by the type of each value. Which fields a
//! message has is left to `codec`.

use crate::error::{FieldError, FieldProblem};
use gatherer::policy::{AttemptOutcome, LoadReport, RequestId, Time};
use std::error::Error;
use std::str::FromStr;
use std::time::Duration;

/// Length of a request id, in hexadecimal digits.
const REQUEST_ID_DIGITS: usize = 16;

/// Parser of one line: a message name, then its fields. Errors name the message and the field.
pub struct Fields<'a> {
    message: &'a str,
    /// Fields that have not been read; `None` after the last one.
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into the message name and the fields.
    pub fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, rest)) => Fields { message, rest: Some(rest) },
            None => Fields { message: line, rest: None },
        }
    }

    /// The name of the message.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// Creates an error about a field of this message.
    pub fn error(&self, field: &'static str, problem: FieldProblem) -> FieldError {
        FieldError { message: self.message.to_owned(), field, source: problem }
    }

    /// Takes the rest of the line as it stands.
    pub fn remaining_text(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    /// Reads the next field as it stands; an empty field is an error.
    pub fn raw(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        let rest = self.rest.take().ok_or_else(|| self.error(field, FieldProblem::Missing))?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(self.error(field, FieldProblem::Empty)) } else { Ok(value) }
    }

    /// Reads a field; `None` if it is `-`.
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

    /// Reads a field that must not be `-`.
    pub fn required<T>(&mut self, field: &'static str) -> Result<T, FieldError>
    where
        T: FromStr<Err: Error + Send + Sync + 'static>,
    {
        self.optional(field)?.ok_or_else(|| self.error(field, FieldProblem::Absent))
    }

    /// Reads a finite number; `None` if the field is `-`.
    pub fn number(&mut self, field: &'static str) -> Result<Option<f64>, FieldError> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => Err(self.error(field, FieldProblem::NotFinite)),
            value => Ok(value),
        }
    }

    /// Reads a flag: `1` for true, `0` or `-` for false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, FieldError> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            value => Err(self.error(field, FieldProblem::BadFlag(value.to_owned()))),
        }
    }

    /// Reads a time in nanoseconds; a negative one is read as 0. `None` if the field is `-`.
    pub fn time(&mut self, field: &'static str) -> Result<Option<Time>, FieldError> {
        Ok(self.optional::<i64>(field)?.map(|time| Time(u64::try_from(time).unwrap_or(0))))
    }

    /// Reads a duration in nanoseconds; a negative one is read as 0. `None` if the field is `-`.
    pub fn duration(&mut self, field: &'static str) -> Result<Option<Duration>, FieldError> {
        Ok(self.optional::<i64>(field)?.map(|nanos| Duration::from_nanos(u64::try_from(nanos).unwrap_or(0))))
    }

    /// Reads a request id: 16 hexadecimal digits.
    pub fn request_id(&mut self, field: &'static str) -> Result<RequestId, FieldError> {
        let value = self.raw(field)?;
        let is_id = value.len() == REQUEST_ID_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u64::from_str_radix(value, 16) {
            Ok(id) if is_id => Ok(RequestId(id)),
            _ => Err(self.error(field, FieldProblem::BadRequestId(value.to_owned()))),
        }
    }

    /// Reads the outcome of an attempt or a health check.
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

    /// Reads a load report: numbers between commas, each of which may be absent (`-` or empty). `None` if the
    /// field is `-`.
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
