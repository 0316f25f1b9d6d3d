//! Reads the values of one line of the simulator's wire, in order. It knows the form of each kind of value, and no message.

use crate::error::{FieldError, FieldProblem};
use gatherer::policy::{AttemptOutcome, LoadReport, RequestId, Time};
use std::error::Error;
use std::str::FromStr;
use std::time::Duration;

/// The values of one line, read in order. Errors name the message and the field.
pub struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, rest)) => Fields { message, rest: Some(rest) },
            None => Fields { message: line, rest: None },
        }
    }
    pub fn message(&self) -> &'a str {
        self.message
    }
    pub fn error(&self, field: &'static str, problem: FieldProblem) -> FieldError {
        FieldError { message: self.message.to_owned(), field, source: problem }
    }
    pub fn text(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }
    pub fn raw(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        let rest = self.rest.take().ok_or_else(|| self.error(field, FieldProblem::Missing))?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(self.error(field, FieldProblem::Empty)) } else { Ok(value) }
    }
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
    pub fn required<T>(&mut self, field: &'static str) -> Result<T, FieldError>
    where
        T: FromStr<Err: Error + Send + Sync + 'static>,
    {
        self.optional(field)?.ok_or_else(|| self.error(field, FieldProblem::Absent))
    }
    pub fn number(&mut self, field: &'static str) -> Result<Option<f64>, FieldError> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => Err(self.error(field, FieldProblem::NotFinite)),
            value => Ok(value),
        }
    }
    pub fn flag(&mut self, field: &'static str) -> Result<bool, FieldError> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            value => Err(self.error(field, FieldProblem::BadFlag(value.to_owned()))),
        }
    }
    pub fn time(&mut self, field: &'static str) -> Result<Option<Time>, FieldError> {
        Ok(self.optional::<i64>(field)?.map(|time| Time(u64::try_from(time).unwrap_or(0))))
    }
    pub fn span(&mut self, field: &'static str) -> Result<Option<Duration>, FieldError> {
        Ok(self.optional::<i64>(field)?.map(|span| Duration::from_nanos(u64::try_from(span).unwrap_or(0))))
    }
    pub fn request(&mut self, field: &'static str) -> Result<RequestId, FieldError> {
        let value = self.raw(field)?;
        let is_hexadecimal = value.len() == 16 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u64::from_str_radix(value, 16) {
            Ok(id) if is_hexadecimal => Ok(RequestId(id)),
            _ => Err(self.error(field, FieldProblem::BadRequestId(value.to_owned()))),
        }
    }
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
    pub fn report(&mut self, field: &'static str) -> Result<Option<LoadReport>, FieldError> {
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
    pub fn end(&mut self) -> Result<(), FieldError> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(self.error("end of line", FieldProblem::Trailing(rest.to_owned()))),
        }
    }
}
