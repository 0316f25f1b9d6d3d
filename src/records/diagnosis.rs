//! Findings: events that the records indicate, each with its time, evidence, counter-evidence and certainty.
//!
//! The module consists of pure functions of a [`Summary`]. The names in the JSON of a finding must not change: a field
//! whose Rust name differs has `#[serde(rename)]`.

mod gatherers;
mod overload;
mod spans;
mod workers;

use super::summary::Summary;
use serde::Serialize;

/// Fewest attempts at a worker, or fewest queries, in a time step from which conclusions are drawn.
const MIN_SAMPLES: u64 = 20;

/// Kind of a finding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum FindingKind {
    /// A gatherer ended without a graceful shutdown.
    Death {
        /// Name of the gatherer.
        gatherer: String,
        /// Name of the incarnation that ended.
        #[serde(rename = "start")]
        incarnation: String,
    },
    /// A gatherer ended repeatedly within a short time, each time without a graceful shutdown.
    RestartLoop {
        /// Name of the gatherer.
        gatherer: String,
    },
    /// Most workers were slow at the same time.
    FleetSlow,
    /// One worker was slow while others were not.
    WorkerSlow {
        /// Name of the worker.
        worker: String,
    },
    /// A worker did not respond to many attempts.
    #[serde(rename = "worker_loses")]
    WorkerUnresponsive {
        /// Name of the worker.
        worker: String,
    },
    /// Clients requested more than could be served.
    Overload,
    /// Records of a gatherer are missing.
    RecordsMissing {
        /// Name of the gatherer whose records are missing.
        gatherer: String,
    },
}

/// How certain a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The records have no other explanation.
    Certain,
    /// The finding is the simplest explanation of the records.
    Likely,
    /// Other explanations are equally plausible.
    Possible,
}

/// An event that the records indicate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// Kind of the finding, with the gatherer or worker concerned.
    #[serde(flatten)]
    pub kind: FindingKind,
    /// Start of the event, in Unix milliseconds.
    pub from_ms: u64,
    /// End of the event, in Unix milliseconds.
    pub to_ms: u64,
    /// How certain the finding is.
    pub certainty: Certainty,
    /// Text that describes the evidence.
    pub evidence: String,
    /// Text that describes the counter-evidence, if there is any.
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
