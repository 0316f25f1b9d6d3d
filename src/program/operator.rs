//! The operator's file: the optional features of an installation (records and membership), beside the platform's
//! configuration. Everything in it is off where there is no such file.

use super::config_file::read_file;
use super::errors::{ConfigError, FileContentError};
use super::settings::InvalidSetting;
use crate::membership::Timing;
use crate::records::SegmentLimits;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Content of the file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// Where records are stored; none are where this is absent.
    pub records: Option<RecordSettings>,
    /// How this gatherer takes part in membership; it does not where this is absent.
    pub membership: Option<MembershipSettings>,
}

/// How this gatherer takes part in membership.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSettings {
    /// The address at which it receives datagrams and connections.
    pub listen: SocketAddr,
    /// The address at which others reach it, if that is another one.
    pub advertise: Option<SocketAddr>,
    /// Messages from members of other clusters are dropped.
    pub cluster: String,
    /// Shared by all members of the cluster and nobody else; without it, whoever reaches the address can take part.
    #[serde(default)]
    pub secret: String,
    /// Addresses of some members, with which this one joins.
    pub seeds: Vec<SocketAddr>,
    /// Number of other members that are stored at most. The key keeps its name in the file.
    #[serde(rename = "most", default = "default_max_members")]
    pub max_members: usize,
    /// Time between two rounds of health checks, in milliseconds.
    #[serde(default = "default_period_ms")]
    pub period_ms: u64,
    /// Time from a member's suspected state to its dead one, in milliseconds. The key keeps its name in the file.
    #[serde(rename = "bury_ms", default = "default_declare_dead_after_ms")]
    pub declare_dead_after_ms: u64,
}

fn default_max_members() -> usize {
    1024
}
fn default_period_ms() -> u64 {
    500
}
fn default_declare_dead_after_ms() -> u64 {
    10_000
}

impl fmt::Debug for MembershipSettings {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Omits the secret: what is printed may be stored.
        out.debug_struct("Membership").field("listen", &self.listen).field("cluster", &self.cluster).finish()
    }
}

impl MembershipSettings {
    /// The protocol's times.
    #[must_use]
    pub fn timing(&self) -> Timing {
        let (period, declare_dead_after) =
            (Duration::from_millis(self.period_ms), Duration::from_millis(self.declare_dead_after_ms));
        Timing {
            probe_interval: period,
            gossip_interval: period / 5,
            suspicion_timeout: declare_dead_after,
            pause_threshold: period * 3,
            ..Timing::default()
        }
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        if self.cluster.is_empty() {
            return Err(InvalidSetting::new("membership.cluster", "it needs a name"));
        }
        if !self.secret.is_empty() && self.secret.len() < 16 {
            return Err(InvalidSetting::new("membership.secret", "16 bytes at least, or none"));
        }
        if !(1..=10_000).contains(&self.max_members) {
            return Err(InvalidSetting::new("membership.most", "1 to 10,000"));
        }
        if !(50..=10_000).contains(&self.period_ms) {
            return Err(InvalidSetting::new("membership.period_ms", "50 ms to 10 s"));
        }
        if self.declare_dead_after_ms < 4 * self.period_ms || self.declare_dead_after_ms > 600_000 {
            return Err(InvalidSetting::new(
                "membership.bury_ms",
                "four periods at least, 10 minutes at most",
            ));
        }
        if self.advertise.unwrap_or(self.listen).ip().is_unspecified() {
            return Err(InvalidSetting::new(
                "membership.advertise",
                "an address at which others reach this one",
            ));
        }
        Ok(())
    }
}

/// Where records are stored, and how many.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordSettings {
    /// The folder; it is created where it does not exist.
    pub folder: PathBuf,
    /// Size of a segment, in kB.
    #[serde(default = "default_segment_kb")]
    pub segment_kb: u64,
    /// Age of a segment at which the next one begins, in seconds.
    #[serde(default = "default_segment_s")]
    pub segment_s: u64,
    /// Total size of all segments of one gatherer, in kB.
    #[serde(default = "default_all_kb")]
    pub all_kb: u64,
}

fn default_segment_kb() -> u64 {
    4096
}
fn default_segment_s() -> u64 {
    3600
}
fn default_all_kb() -> u64 {
    262_144
}

impl RecordSettings {
    /// The limits of segments.
    #[must_use]
    pub fn bounds(&self) -> SegmentLimits {
        let (segment, all) = (self.segment_kb << 10, self.all_kb << 10);
        SegmentLimits {
            segment_bytes: segment,
            max_age: Duration::from_secs(self.segment_s),
            total_bytes: all,
        }
    }
}

impl OperatorFile {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, or one of its values cannot be used.
    pub fn read(path: &str) -> Result<OperatorFile, ConfigError> {
        read_file(path, std::fs::read_to_string, |text| OperatorFile::parse(&text))
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    /// Names the line and the key that cannot be used.
    pub fn parse(text: &str) -> Result<OperatorFile, FileContentError> {
        let file: OperatorFile = toml::from_str(text).map_err(FileContentError::OperatorToml)?;
        file.check().map_err(|error| match line_number_of(text, &error.path) {
            Some(line) => FileContentError::InvalidLine { line, error },
            None => FileContentError::InvalidSetting(error),
        })?;
        Ok(file)
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        self.records.as_ref().map_or(Ok(()), RecordSettings::check)?;
        self.membership.as_ref().map_or(Ok(()), MembershipSettings::check)
    }
}

/// Number of the line that sets a key, found by the last name of its path.
fn line_number_of(text: &str, path: &str) -> Option<usize> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let sets = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
    text.lines().position(sets).map(|at| at + 1)
}

impl RecordSettings {
    fn check(&self) -> Result<(), InvalidSetting> {
        if !(64..=1 << 20).contains(&self.segment_kb) {
            return Err(InvalidSetting::new("records.segment_kb", "64 kB to 1 GB"));
        }
        if !(1..=7 * 86_400).contains(&self.segment_s) {
            return Err(InvalidSetting::new("records.segment_s", "1 second to a week"));
        }
        if self.all_kb < 2 * self.segment_kb || self.all_kb > 1 << 30 {
            return Err(InvalidSetting::new("records.all_kb", "two segments at least, 1 TB at most"));
        }
        Ok(())
    }
}
