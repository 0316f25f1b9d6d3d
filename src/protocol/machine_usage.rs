//! Machine-usage tables of public cluster traces, as CSV: machine id, time in seconds, CPU share in percent. Further
//! columns are ignored, and so is a header line.
//!
//! The module decodes rows and converts them into load reports. It opens no file.

use crate::policy::{LoadReport, ReportField};
use std::io::Read;
use std::time::Duration;

/// One row: the CPU utilization of a machine at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineUsage {
    /// Id of the machine.
    pub machine: String,
    /// Time since the start of the trace.
    pub at: Duration,
    /// Share of the machine's processors in use, from 0 to 1.
    pub utilization: f64,
}

/// Why a row cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// The table cannot be read, or a row is not CSV.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// A value is missing or invalid.
    #[error("line {line}: {column}: {problem}")]
    Value {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the column.
        column: &'static str,
        /// What is wrong with the value.
        problem: String,
    },
}

/// Decodes a table row by row, so that it need not fit in memory. Rows without a CPU share are skipped.
///
/// # Errors
///
/// Each row that cannot be decoded yields an error; the iterator continues with the next row.
pub fn read_rows(table: impl Read) -> impl Iterator<Item = Result<MachineUsage, TableError>> {
    let rows =
        csv::ReaderBuilder::new().has_headers(false).flexible(true).trim(csv::Trim::All).from_reader(table);
    rows.into_records().enumerate().filter_map(|(index, row)| {
        row.map_err(TableError::from).and_then(|row| decode_row(index, &row)).transpose()
    })
}

fn decode_row(index: usize, row: &csv::StringRecord) -> Result<Option<MachineUsage>, TableError> {
    let line = row.position().map_or(0, csv::Position::line);
    let invalid = |column: &'static str, problem: String| TableError::Value { line, column, problem };
    let field = |number: usize| row.get(number).unwrap_or_default();
    let (machine, time, share) = (field(0), field(1), field(2));
    let is_header = time.parse::<f64>().is_err() && !time.is_empty() && share.parse::<f64>().is_err();
    if index == 0 && is_header {
        return Ok(None);
    }
    if machine.is_empty() {
        return Err(invalid("machine id", "missing".to_owned()));
    }
    let at = time.parse::<f64>().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let at = at.ok_or_else(|| invalid("time", format!("no time in seconds {time:?}")))?;
    if share.is_empty() {
        return Ok(None);
    }
    let percent = share.parse::<f64>().ok().filter(|percent| (0.0..=100.0).contains(percent));
    let percent = percent.ok_or_else(|| invalid("CPU share", format!("no percentage {share:?}")))?;
    Ok(Some(MachineUsage { machine: machine.to_owned(), at, utilization: percent / 100.0 }))
}

impl MachineUsage {
    /// Converts the row into a load report with these fields. All fields but the utilization are empty.
    #[must_use]
    pub fn load_report(&self, fields: &[ReportField]) -> LoadReport {
        fields.iter().map(|field| (*field == ReportField::Busy).then_some(self.utilization)).collect()
    }
}
