//! The operator's TOML file, which turns on the optional features of an installation: records and membership. Without
//! the file, or without the section of a feature, the feature is off. All other settings are in the file of the front.

use super::config_file::read_file;
use super::errors::{ConfigError, ConfigFileKind, FileContentError};
use super::settings::InvalidSetting;
use crate::membership::Timing;
use crate::records::SegmentLimits;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Shortest secret of a cluster that may be configured, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Highest number of other members that may be configured.
const MAX_MEMBERS: usize = 10_000;
/// Shortest time between two rounds of health checks, in milliseconds.
const MIN_PERIOD_MS: u64 = 50;
/// Longest time between two rounds of health checks, in milliseconds.
const MAX_PERIOD_MS: u64 = 10_000;
/// Shortest time from a member's suspected state to its dead one, in rounds of health checks.
const MIN_DECLARE_DEAD_PERIODS: u64 = 4;
/// Longest time from a member's suspected state to its dead one, in milliseconds.
const MAX_DECLARE_DEAD_AFTER_MS: u64 = 600_000;
/// Smallest size of a segment, in KiB.
const MIN_SEGMENT_KB: u64 = 64;
/// Largest size of a segment, in KiB.
const MAX_SEGMENT_KB: u64 = 1 << 20;
/// Highest age of a segment, in seconds.
const MAX_SEGMENT_S: u64 = 7 * 86_400;
/// Lowest total size of all segments, as a number of segments of full size.
const MIN_SEGMENTS: u64 = 2;
/// Highest total size of all segments, in KiB.
const MAX_ALL_KB: u64 = 1 << 30;

/// Content of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// Where records are stored, and how many; `None` turns records off.
    pub records: Option<RecordSettings>,
    /// How this gatherer takes part in membership; `None` turns membership off.
    pub membership: Option<MembershipSettings>,
}

/// How this gatherer takes part in membership.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSettings {
    /// The address at which this gatherer receives datagrams and connections of other members.
    pub listen: SocketAddr,
    /// The address at which other members reach this gatherer; `listen` if this key is absent.
    pub advertise: Option<SocketAddr>,
    /// Name of the cluster. Messages of members of other clusters are dropped.
    pub cluster: String,
    /// Secret that authenticates messages, shared by all members of the cluster. Without one, every process that
    /// reaches the address can take part.
    #[serde(default)]
    pub secret: String,
    /// Addresses of some members, through which this gatherer joins the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Highest number of other members that are stored. The key in the file is `most`.
    #[serde(rename = "most", default = "default_max_members")]
    pub max_members: usize,
    /// Time between two rounds of health checks, in milliseconds.
    #[serde(default = "default_period_ms")]
    pub period_ms: u64,
    /// Time after which a suspected member is declared dead, in milliseconds. The key in the file is `bury_ms`.
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
        // Leaves out the secret, since debug output may be logged or stored.
        out.debug_struct("Membership").field("listen", &self.listen).field("cluster", &self.cluster).finish()
    }
}

impl MembershipSettings {
    /// The intervals and time-outs of the membership protocol.
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
            return Err(InvalidSetting::new("membership.cluster", "found an empty text, expected a name"));
        }
        if !self.secret.is_empty() && self.secret.len() < MIN_SECRET_BYTES {
            // The secret itself must not reach the log.
            let reason =
                format!("found {} bytes, expected at least {MIN_SECRET_BYTES}, or none", self.secret.len());
            return Err(InvalidSetting::new("membership.secret", reason));
        }
        if !(1..=MAX_MEMBERS).contains(&self.max_members) {
            let expected = format!("1 to {MAX_MEMBERS}");
            return Err(InvalidSetting::unexpected("membership.most", self.max_members, expected));
        }
        if !(MIN_PERIOD_MS..=MAX_PERIOD_MS).contains(&self.period_ms) {
            let expected = format!("{MIN_PERIOD_MS} to {MAX_PERIOD_MS}");
            return Err(InvalidSetting::unexpected("membership.period_ms", self.period_ms, expected));
        }
        let min_declare_dead_after_ms = MIN_DECLARE_DEAD_PERIODS * self.period_ms;
        if !(min_declare_dead_after_ms..=MAX_DECLARE_DEAD_AFTER_MS).contains(&self.declare_dead_after_ms) {
            let min = format!("{min_declare_dead_after_ms} ({MIN_DECLARE_DEAD_PERIODS} times period_ms)");
            let expected = format!("{min} to {MAX_DECLARE_DEAD_AFTER_MS}");
            return Err(InvalidSetting::unexpected(
                "membership.bury_ms",
                self.declare_dead_after_ms,
                expected,
            ));
        }
        let advertised = self.advertise.unwrap_or(self.listen);
        if advertised.ip().is_unspecified() {
            let expected = "an IP address at which other members reach this one (membership.listen where the key is \
                            absent)";
            return Err(InvalidSetting::unexpected("membership.advertise", advertised, expected));
        }
        Ok(())
    }
}

/// Where records are stored, and in segments of which size and age.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordSettings {
    /// The folder of the segments. It is created if it does not exist.
    pub folder: PathBuf,
    /// Size of a segment, in KiB.
    #[serde(default = "default_segment_kb")]
    pub segment_kb: u64,
    /// Age of a segment at which the next one begins, in seconds.
    #[serde(default = "default_segment_s")]
    pub segment_s: u64,
    /// Total size of all segments of one gatherer, in KiB.
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
    /// The size and age limits of segments.
    #[must_use]
    pub fn segment_limits(&self) -> SegmentLimits {
        let (segment_bytes, total_bytes) = (self.segment_kb << 10, self.all_kb << 10);
        SegmentLimits { segment_bytes, max_age: Duration::from_secs(self.segment_s), total_bytes }
    }
}

impl OperatorFile {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, is no valid TOML, or has an unknown key or an invalid value.
    pub fn read(path: &str) -> Result<OperatorFile, ConfigError> {
        read_file(path, ConfigFileKind::Operator, std::fs::read_to_string, |text| OperatorFile::parse(&text))
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    /// Names the line, and for an unknown key or an invalid value also the key.
    pub fn parse(text: &str) -> Result<OperatorFile, FileContentError> {
        let file: OperatorFile = toml::from_str(text)?;
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

/// Number of the first line that sets a key with the last name of this path, counted from 1.
fn line_number_of(text: &str, path: &str) -> Option<usize> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let sets_key = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
    text.lines().position(sets_key).map(|index| index + 1)
}

impl RecordSettings {
    fn check(&self) -> Result<(), InvalidSetting> {
        if !(MIN_SEGMENT_KB..=MAX_SEGMENT_KB).contains(&self.segment_kb) {
            let expected = format!("{MIN_SEGMENT_KB} to {MAX_SEGMENT_KB} (1 GiB)");
            return Err(InvalidSetting::unexpected("records.segment_kb", self.segment_kb, expected));
        }
        if !(1..=MAX_SEGMENT_S).contains(&self.segment_s) {
            let expected = format!("1 to {MAX_SEGMENT_S} (a week)");
            return Err(InvalidSetting::unexpected("records.segment_s", self.segment_s, expected));
        }
        let min_all_kb = MIN_SEGMENTS * self.segment_kb;
        if !(min_all_kb..=MAX_ALL_KB).contains(&self.all_kb) {
            let expected = format!("{min_all_kb} ({MIN_SEGMENTS} times segment_kb) to {MAX_ALL_KB} (1 TiB)");
            return Err(InvalidSetting::unexpected("records.all_kb", self.all_kb, expected));
        }
        Ok(())
    }
}
