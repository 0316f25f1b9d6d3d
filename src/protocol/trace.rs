//! Machine-usage tables of public cluster traces, as CSV: machine id, time in seconds, CPU share in percent. Further
//! columns are passed over; a first line that names the columns is allowed.

use crate::policy::{LoadReport, ReportField};
use std::io::Read;
use std::time::Duration;

/// One row: how busy a machine was.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The machine.
    pub machine: String,
    /// Time since the start of the trace.
    pub at: Duration,
    /// Share of its processors in use, from 0 to 1.
    pub busy: f64,
}

/// Why a table cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file, or its form as CSV.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// A value, with its line.
    #[error("line {line}: {column}: {what}")]
    Value {
        /// The line, from 1.
        line: u64,
        /// The column's name.
        column: &'static str,
        /// What is wrong.
        what: String,
    },
}

/// Reads a table row by row; it need not fit in memory. Rows without a CPU share say nothing and are left out.
pub fn read(table: impl Read) -> impl Iterator<Item = Result<Usage, Error>> {
    let rows =
        csv::ReaderBuilder::new().has_headers(false).flexible(true).trim(csv::Trim::All).from_reader(table);
    rows.into_records()
        .enumerate()
        .filter_map(|(at, row)| row.map_err(Error::from).and_then(|row| usage(at, &row)).transpose())
}

fn usage(at: usize, row: &csv::StringRecord) -> Result<Option<Usage>, Error> {
    let line = row.position().map_or(0, csv::Position::line);
    let value = |column: &'static str, what: String| Error::Value { line, column, what };
    let cell = |at: usize| row.get(at).unwrap_or_default();
    let (machine, time, share) = (cell(0), cell(1), cell(2));
    if at == 0 && time.parse::<f64>().is_err() && !time.is_empty() && share.parse::<f64>().is_err() {
        return Ok(None);
    }
    if machine.is_empty() {
        return Err(value("machine id", "missing".to_owned()));
    }
    let seconds = time.parse::<f64>().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let at = seconds.ok_or_else(|| value("time", format!("no time in seconds {time:?}")))?;
    if share.is_empty() {
        return Ok(None);
    }
    let percent = share.parse::<f64>().ok().filter(|percent| (0.0..=100.0).contains(percent));
    let percent = percent.ok_or_else(|| value("CPU share", format!("no percentage {share:?}")))?;
    Ok(Some(Usage { machine: machine.to_owned(), at, busy: percent / 100.0 }))
}

impl Usage {
    /// The load report that it makes, for reports of these fields.
    pub fn report(&self, fields: &[ReportField]) -> LoadReport {
        fields.iter().map(|field| (*field == ReportField::Busy).then_some(self.busy)).collect()
    }
}
