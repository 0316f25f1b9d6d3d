//! Findings: what probably happened, with its time, its evidence, what speaks against it, and how certain it is.
//!
//! Pure functions of a [`Summary`]; they own no state. Names in the JSON of a finding stay, so a Rust name that differs
//! carries `#[serde(rename)]`.

mod gatherers;
mod overload;
mod spans;
mod workers;

use super::summary::Summary;
use serde::Serialize;

/// Attempts at a worker, or queries, below which a time step proves nothing.
const MIN_SAMPLES: u64 = 20;

/// What a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum FindingKind {
    /// A gatherer ended without a graceful shutdown.
    Death {
        /// The gatherer.
        gatherer: String,
        /// The incarnation that ended.
        #[serde(rename = "start")]
        incarnation: String,
    },
    /// A gatherer dies again and again.
    RestartLoop {
        /// The gatherer.
        gatherer: String,
    },
    /// Most workers were slow at the same time.
    FleetSlow,
    /// One worker was slow while others were not.
    WorkerSlow {
        /// The worker.
        worker: String,
    },
    /// A worker did not respond to many attempts.
    #[serde(rename = "worker_loses")]
    WorkerUnresponsive {
        /// The worker.
        worker: String,
    },
    /// Clients requested more than could be served.
    Overload,
    /// Records are missing.
    RecordsMissing {
        /// The gatherer whose records are missing.
        gatherer: String,
    },
}

/// How certain a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The records have no other explanation.
    Certain,
    /// It is the simplest explanation of the records.
    Likely,
    /// Other explanations are as good.
    Possible,
}

/// Something that probably happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What it is about.
    #[serde(flatten)]
    pub kind: FindingKind,
    /// Its begin, in Unix milliseconds.
    pub from_ms: u64,
    /// Its end, in Unix milliseconds.
    pub to_ms: u64,
    /// How certain it is.
    pub certainty: Certainty,
    /// What speaks for it, in words.
    pub evidence: String,
    /// What speaks against it, in words, where anything does.
    #[serde(rename = "against")]
    pub counter_evidence: Option<String>,
}

/// Returns all findings, the earliest first.
#[must_use]
pub fn diagnose(summary: &Summary) -> Vec<Finding> {
    let mut findings = gatherers::find_deaths(summary);
    findings.extend(gatherers::find_missing_records(summary));
    findings.extend(workers::find_slow_workers(summary));
    findings.extend(workers::find_unresponsive_workers(summary));
    findings.extend(overload::find_overload(summary, &findings));
    findings.sort_by(|a, b| (a.from_ms, &a.kind).cmp(&(b.from_ms, &b.kind)));
    findings
}
