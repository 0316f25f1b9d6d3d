//! Reads the values of one line of the simulator's wire, in order. It knows the form of each kind of value, and no message.

use gatherer::policy::{AttemptOutcome, LoadReport, RequestId, Time};
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
    pub fn error(&self, field: &str, problem: &str) -> String {
        format!("{}: {field}: {problem}", self.message)
    }
    pub fn text(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }
    pub fn raw(&mut self, field: &str) -> Result<&'a str, String> {
        let rest = self.rest.take().ok_or_else(|| self.error(field, "missing"))?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(self.error(field, "empty")) } else { Ok(value) }
    }
    pub fn optional<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        match self.raw(field)? {
            "-" => Ok(None),
            value => value.parse().map(Some).map_err(|_| self.error(field, &format!("bad value {value:?}"))),
        }
    }
    pub fn required<T: FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| self.error(field, "absent"))
    }
    pub fn number(&mut self, field: &str) -> Result<Option<f64>, String> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => Err(self.error(field, "not a finite number")),
            value => Ok(value),
        }
    }
    pub fn flag(&mut self, field: &str) -> Result<bool, String> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            value => Err(self.error(field, &format!("bad value {value:?}"))),
        }
    }
    pub fn time(&mut self, field: &str) -> Result<Option<Time>, String> {
        Ok(self.optional::<i64>(field)?.map(|time| Time(u64::try_from(time).unwrap_or(0))))
    }
    pub fn span(&mut self, field: &str) -> Result<Option<Duration>, String> {
        Ok(self.optional::<i64>(field)?.map(|span| Duration::from_nanos(u64::try_from(span).unwrap_or(0))))
    }
    pub fn request(&mut self, field: &str) -> Result<RequestId, String> {
        let value = self.raw(field)?;
        let hex = value.len() == 16 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
        u64::from_str_radix(value, 16)
            .ok()
            .filter(|_| hex)
            .map(RequestId)
            .ok_or_else(|| self.error(field, &format!("bad id {value:?}")))
    }
    pub fn outcome(&mut self, field: &str) -> Result<AttemptOutcome, String> {
        Ok(match self.raw(field)? {
            "done" => AttemptOutcome::Succeeded,
            "err" => AttemptOutcome::Failed,
            "busy" => AttemptOutcome::Rejected,
            "etimedout" => AttemptOutcome::TimedOut,
            "econnrefused" => AttemptOutcome::ConnectFailed,
            "econnreset" => AttemptOutcome::ConnectionReset,
            "ecanceled" => AttemptOutcome::Cancelled,
            "skipped" => AttemptOutcome::NotSent,
            other => return Err(self.error(field, &format!("unknown outcome {other:?}"))),
        })
    }
    pub fn report(&mut self, field: &str) -> Result<Option<LoadReport>, String> {
        let value = self.raw(field)?;
        if value == "-" {
            return Ok(None);
        }
        let parse = |item: &str| match item {
            "-" | "" => Ok(None),
            item => item.parse::<f64>().map(Some),
        };
        let row: Result<LoadReport, _> = value.split(',').map(parse).collect();
        row.map(Some).map_err(|_| self.error(field, &format!("bad report {value:?}")))
    }
    pub fn end(&mut self) -> Result<(), String> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(self.error("end of line", &format!("unexpected {rest:?}"))),
        }
    }
}
