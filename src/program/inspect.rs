//! The sub-commands `check`, `report` and `records`: they read files and return or print text. Nothing here serves
//! queries or connects to a gatherer.

use super::config::{CONFIG_VARIABLE, Config};
use super::config_file::read_file;
use super::errors::{ConfigError, ConfigFileKind, with_context};
use super::opensearch_file::FrontFile;
use super::operator::OperatorFile;
use crate::records::diagnosis::{Finding, diagnose};
use crate::records::html_report;
use crate::records::reader::{DamagedRecord, Reader};
use crate::records::record::Record;
use crate::records::segments::SegmentName;
use crate::records::summary::{QueryGroup, Summary};
use serde_json::json;
use std::fs::File;
use std::io::{self, BufReader};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Checks a configuration file and returns the result to print. Files that end in `.json` are platform files; a TOML
/// file with the key `listen` is that of an OpenSearch-style front, any other one an operator's.
///
/// # Errors
/// The file cannot be read, or is invalid.
pub fn check(path: &str) -> Result<&'static str, ConfigError> {
    if path.ends_with(".json") {
        let variable = |name: &str| match name {
            CONFIG_VARIABLE => Some(path.to_owned()),
            other => std::env::var(other).ok(),
        };
        return Config::from_platform(variable).map(|_| "valid platform configuration file");
    }
    let has_listen =
        |text: String| text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("listen"));
    if read_file(path, ConfigFileKind::Toml, std::fs::read_to_string, |text| Ok(has_listen(text)))? {
        return FrontFile::read(path, 0).map(|_| "valid OpenSearch-style front file");
    }
    OperatorFile::read(path).map(|_| "valid operator file")
}

/// The JSON schema of a record.
#[must_use]
pub fn schema() -> String {
    // A schema is plain JSON, which always serialises into memory.
    serde_json::to_string_pretty(&schemars::schema_for!(Record)).unwrap_or_default()
}

/// Lists the paths of all segments in these folders; the segments of an incarnation are in the order of writing.
fn segment_paths(folders: &[PathBuf]) -> io::Result<Vec<PathBuf>> {
    let mut segments = Vec::new();
    for folder in folders {
        let context = || format!("{}: cannot read the folder of records", folder.display());
        for entry in std::fs::read_dir(folder).map_err(with_context(context()))? {
            let file = entry.map_err(with_context(context()))?.file_name();
            if let Some(name) = SegmentName::parse(&file.to_string_lossy()) {
                segments.push((name, folder.join(file)));
            }
        }
    }
    segments.sort();
    Ok(segments.into_iter().map(|(_, path)| path).collect())
}

/// Reads all segments of these folders, and passes each line to `on_record` if it is valid, else to `on_damaged`.
fn read_records(
    folders: &[PathBuf],
    mut on_record: impl FnMut(Record),
    mut on_damaged: impl FnMut(DamagedRecord),
) -> io::Result<Reader> {
    let mut reader = Reader::default();
    for path in segment_paths(folders)? {
        let context = || format!("{}: cannot read the records", path.display());
        let file = File::open(&path).map_err(with_context(context()))?;
        let name = path.display().to_string();
        reader
            .read(&name, BufReader::new(file), &mut on_record, &mut on_damaged)
            .map_err(with_context(context()))?;
    }
    Ok(reader)
}

/// Number of valid and damaged lines in the records that were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verification {
    /// Lines that are complete and in order.
    pub valid: u64,
    /// Lines that are damaged or out of order. A report ignores them.
    pub damaged: u64,
}

/// Reads every line of the records in these folders, prints the place and fault of each damaged one, and returns the
/// number of valid and damaged lines.
///
/// # Errors
/// A folder or a file cannot be read.
pub fn verify(folders: &[PathBuf]) -> io::Result<Verification> {
    let mut damaged = 0;
    let print_damaged = |damaged_record: DamagedRecord| {
        damaged += 1;
        println!("{damaged_record}");
    };
    let reader = read_records(folders, |_| {}, print_damaged)?;
    Ok(Verification { valid: reader.valid_records, damaged })
}

/// The summary and the findings of a number of records.
pub struct Report {
    summary: Summary,
    findings: Vec<Finding>,
    /// Number of damaged lines.
    damaged: u64,
    /// Place and fault of the first damaged lines, at most [`MAX_NAMED_RECORDS`].
    damaged_records: Vec<String>,
    /// Number of valid lines.
    valid: u64,
}

/// Number of damaged lines that a report names, so that memory stays bounded if all records are damaged.
const MAX_NAMED_RECORDS: usize = 100;

impl Report {
    /// Reads all segments of these folders in one pass. `range` is in Unix milliseconds; `step` is the shortest length
    /// of a time step of the report.
    ///
    /// # Errors
    /// A folder or a file cannot be read.
    pub fn read(folders: &[PathBuf], range: Range<u64>, step: Duration) -> io::Result<Report> {
        let step = u64::try_from(step.as_millis()).unwrap_or(u64::MAX);
        let (mut summary, mut damaged_records) = (Summary::new(step, range.start, range.end), Vec::new());
        let mut damaged = 0;
        let on_damaged = |damaged_record: DamagedRecord| {
            damaged += 1;
            if damaged_records.len() < MAX_NAMED_RECORDS {
                damaged_records.push(damaged_record.to_string());
            }
        };
        let reader = read_records(folders, |line| summary.add_record(line), on_damaged)?;
        summary.finish();
        let findings = diagnose(&summary);
        Ok(Report { summary, findings, damaged, damaged_records, valid: reader.valid_records })
    }

    /// The report as an HTML page.
    #[must_use]
    pub fn html(&self) -> String {
        html_report::render(&self.summary, &self.findings, &self.damaged_records, self.damaged)
    }

    /// Writes the HTML page to the file at `path`.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write_html(&self, path: &Path) -> io::Result<()> {
        let context = format!("{}: cannot write the report", path.display());
        std::fs::write(path, self.html()).map_err(with_context(context))
    }

    /// The findings in one line.
    #[must_use]
    pub fn summary_line(&self) -> String {
        let titles: Vec<String> =
            self.findings.iter().map(|finding| html_report::finding_title(&finding.kind)).collect();
        let findings = if titles.is_empty() { "no finding".to_owned() } else { titles.join("; ") };
        format!("{} lines, {} damaged; {findings}", self.valid, self.damaged)
    }

    /// The report as JSON.
    #[must_use]
    pub fn json(&self) -> String {
        let summary = &self.summary;
        let mut steps = Vec::new();
        for (begin_ms, step) in &summary.steps {
            let mut classes = serde_json::Map::new();
            for (QueryGroup { class, tenant }, counts) in &step.queries {
                let tenants = classes.entry(class.clone()).or_insert_with(|| json!({}));
                tenants[tenant] = json!(counts);
            }
            let quantiles = |class: &String| {
                let quantile =
                    |share: f64| step.latency.get(class).map(|histogram| histogram.value_at_quantile(share));
                json!({"p50_us": quantile(0.5), "p99_us": quantile(0.99)})
            };
            let latency: serde_json::Map<_, _> =
                step.latency.keys().map(|class| (class.clone(), quantiles(class))).collect();
            let workers = &step.attempts;
            steps
                .push(json!({"at_ms": begin_ms, "classes": classes, "latency": latency, "workers": workers}));
        }
        let starts: Vec<_> = summary
            .incarnations
            .iter()
            .map(|(id, seen)| json!({"gatherer": id.gatherer, "start": id.incarnation, "seen": seen}))
            .collect();
        let report = json!({
            "classes": summary.totals_by_class(),
            "findings": self.findings,
            "starts": starts,
            "events": summary.timeline,
            "events_left_out": summary.timeline_dropped,
            "step_ms": summary.step_ms(),
            "steps": steps,
            "lines": {"counted": self.valid, "damaged": self.damaged, "first_damaged": self.damaged_records},
        });
        format!("{report:#}")
    }
}
