//! Sub-commands that serve nothing: checks of files, and readings of records.

use super::config::{Config, Error};
use super::opensearch_file::FrontFile;
use super::operator::Operator;
use crate::records::diagnosis::{Finding, diagnose};
use crate::records::html_report;
use crate::records::reader::{DamagedRecord, Reader};
use crate::records::record::Record;
use crate::records::segments::SegmentName;
use crate::records::summary::Summary;
use serde_json::json;
use std::fs::File;
use std::io::{self, BufReader};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Checks a file; what it is.
pub fn check(path: &str) -> Result<&'static str, Error> {
    if path.ends_with(".json") {
        let variable = |name: &str| match name {
            "LB_CONFIG" => Some(path.to_owned()),
            other => std::env::var(other).ok(),
        };
        return Config::from_platform(variable).map(|_| "a configuration of the platform's, without a fault");
    }
    let text = std::fs::read_to_string(path).map_err(|error| Error::File { path: path.to_owned(), error })?;
    let is_front = text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("listen"));
    if is_front {
        return FrontFile::read(path, 0).map(|_| "an OpenSearch-style front's file, without a fault");
    }
    Operator::read(path).map(|_| "an operator's file, without a fault")
}

/// The schema of a line.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Record)).unwrap_or_default()
}

/// All segments of these folders, each start's in the order in which they were written.
fn segments(folders: &[PathBuf]) -> io::Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    for folder in folders {
        let told = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", folder.display()));
        for entry in std::fs::read_dir(folder).map_err(told)? {
            let file = entry?.file_name();
            if let Some(name) = SegmentName::parse(&file.to_string_lossy()) {
                found.push((name, folder.join(file)));
            }
        }
    }
    found.sort();
    Ok(found.into_iter().map(|(_, path)| path).collect())
}

fn read(
    folders: &[PathBuf],
    mut take: impl FnMut(Record),
    mut fault: impl FnMut(DamagedRecord),
) -> io::Result<Reader> {
    let mut reader = Reader::default();
    for path in segments(folders)? {
        let told = |path: &Path, error: io::Error| {
            io::Error::new(error.kind(), format!("{}: {error}", path.display()))
        };
        let file = File::open(&path).map_err(|error| told(&path, error))?;
        let name = path.display().to_string();
        reader
            .read(&name, BufReader::new(file), &mut take, &mut fault)
            .map_err(|error| told(&path, error))?;
    }
    Ok(reader)
}

/// Reads every line and prints each that does not count; how many did, and how many did not.
pub fn verify(folders: &[PathBuf]) -> io::Result<(u64, u64)> {
    let mut faults = 0;
    let tell = |fault: DamagedRecord| {
        faults += 1;
        println!("{fault}");
    };
    let reader = read(folders, |_| {}, tell)?;
    Ok((reader.valid_records, faults))
}

/// What happened, as records tell it.
pub struct Report {
    summary: Summary,
    findings: Vec<Finding>,
    /// Lines that did not count: how many, and the first of them.
    damaged: u64,
    faults: Vec<String>,
    counted: u64,
}

/// Damaged lines that are named; guards the memory against records that are nothing but damage.
const MOST_NAMED: usize = 100;

impl Report {
    /// Reads all segments of these folders, in one pass.
    pub fn read(folders: &[PathBuf], range: Range<u64>, step: Duration) -> io::Result<Report> {
        let step = u64::try_from(step.as_millis()).unwrap_or(u64::MAX);
        let (mut summary, mut faults) = (Summary::new(step, range.start, range.end), Vec::new());
        let mut damaged = 0;
        let fault = |fault: DamagedRecord| {
            damaged += 1;
            if faults.len() < MOST_NAMED {
                faults.push(fault.to_string());
            }
        };
        let reader = read(folders, |line| summary.add_record(line), fault)?;
        summary.finish();
        let findings = diagnose(&summary);
        Ok(Report { summary, findings, damaged, faults, counted: reader.valid_records })
    }

    /// As a page.
    pub fn page(&self) -> String {
        html_report::render(&self.summary, &self.findings, &self.faults, self.damaged)
    }

    /// In one line.
    pub fn line(&self) -> String {
        let found: Vec<String> =
            self.findings.iter().map(|finding| html_report::finding_title(&finding.kind)).collect();
        let found = if found.is_empty() { "no finding".to_owned() } else { found.join("; ") };
        format!("{} lines, {} damaged; {found}", self.counted, self.damaged)
    }

    /// As JSON.
    pub fn json(&self) -> String {
        let summary = &self.summary;
        let mut steps = Vec::new();
        for (begin, step) in &summary.steps {
            let mut classes = serde_json::Map::new();
            for ((class, tenant), counts) in &step.queries {
                let tenants = classes.entry(class.clone()).or_insert_with(|| json!({}));
                tenants[tenant] = json!(counts);
            }
            let latency = |class: &String| {
                let at = |share: f64| step.latency.get(class).map(|all| all.value_at_quantile(share));
                json!({"p50_us": at(0.5), "p99_us": at(0.99)})
            };
            let latency: serde_json::Map<_, _> =
                step.latency.keys().map(|class| (class.clone(), latency(class))).collect();
            let workers = &step.attempts;
            steps.push(json!({"at_ms": begin, "classes": classes, "latency": latency, "workers": workers}));
        }
        let starts: Vec<_> = summary
            .incarnations
            .iter()
            .map(|((gatherer, start), seen)| json!({"gatherer": gatherer, "start": start, "seen": seen}))
            .collect();
        let whole = json!({
            "classes": summary.totals_by_class(),
            "findings": self.findings,
            "starts": starts,
            "events": summary.timeline,
            "events_left_out": summary.timeline_dropped,
            "step_ms": summary.step_ms(),
            "steps": steps,
            "lines": {"counted": self.counted, "damaged": self.damaged, "first_damaged": self.faults},
        });
        format!("{whole:#}")
    }
}
