//! The operator's file: what an installation switches on beside the platform's configuration. Everything is off where
//! there is no such file.

use super::config::Error;
use super::settings::InvalidSetting;
use crate::membership::Timing;
use crate::records::SegmentLimits;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the file may say.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Whether and where records are kept.
    pub records: Option<Records>,
    /// Whether this gatherer talks with its fellows.
    pub membership: Option<Membership>,
}

/// How this gatherer talks with its fellows.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Where it listens, by datagrams and connections.
    pub listen: SocketAddr,
    /// Where others reach it, if that is elsewhere.
    pub advertise: Option<SocketAddr>,
    /// Members of another cluster are not heard.
    pub cluster: String,
    /// What all members of the cluster know, and nobody else; without it, whoever reaches the address can take part.
    #[serde(default)]
    pub secret: String,
    /// Where some members may be found.
    pub seeds: Vec<SocketAddr>,
    /// The most others that are remembered.
    #[serde(default = "most")]
    pub most: usize,
    /// Time between two rounds of questions, in milliseconds.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
    /// Time from a suspicion to a burial, in milliseconds.
    #[serde(default = "bury_ms")]
    pub bury_ms: u64,
}

fn most() -> usize {
    1024
}
fn period_ms() -> u64 {
    500
}
fn bury_ms() -> u64 {
    10_000
}

impl fmt::Debug for Membership {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Not the secret: what is printed may be kept.
        out.debug_struct("Membership").field("listen", &self.listen).field("cluster", &self.cluster).finish()
    }
}

impl Membership {
    /// The protocol's times that it sets.
    pub fn timing(&self) -> Timing {
        let (period, bury) = (Duration::from_millis(self.period_ms), Duration::from_millis(self.bury_ms));
        Timing {
            probe_interval: period,
            gossip_interval: period / 5,
            suspicion_timeout: bury,
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
        if !(1..=10_000).contains(&self.most) {
            return Err(InvalidSetting::new("membership.most", "1 to 10,000"));
        }
        if !(50..=10_000).contains(&self.period_ms) {
            return Err(InvalidSetting::new("membership.period_ms", "50 ms to 10 s"));
        }
        if self.bury_ms < 4 * self.period_ms || self.bury_ms > 600_000 {
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

/// Where records are kept, and how many.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Records {
    /// The folder; it is made if it is not there.
    pub folder: PathBuf,
    /// Size of a segment, in kB.
    #[serde(default = "segment_kb")]
    pub segment_kb: u64,
    /// Age of a segment at which the next begins, in seconds.
    #[serde(default = "segment_s")]
    pub segment_s: u64,
    /// Size of all segments of one gatherer, in kB.
    #[serde(default = "all_kb")]
    pub all_kb: u64,
}

fn segment_kb() -> u64 {
    4096
}
fn segment_s() -> u64 {
    3600
}
fn all_kb() -> u64 {
    262_144
}

impl Records {
    /// The bounds that it sets.
    pub fn bounds(&self) -> SegmentLimits {
        let (segment, all) = (self.segment_kb << 10, self.all_kb << 10);
        SegmentLimits {
            segment_bytes: segment,
            max_age: Duration::from_secs(self.segment_s),
            total_bytes: all,
        }
    }
}

impl Operator {
    /// Reads a file.
    pub fn read(path: &str) -> Result<Operator, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File { path: path.to_owned(), error })?;
        Operator::parse(&text).map_err(|error| Error::Form { path: path.to_owned(), error })
    }

    /// Reads the text of a file, and checks it.
    pub fn parse(text: &str) -> Result<Operator, String> {
        // The library's own message shows the line and the key, over several lines.
        let operator: Operator = toml::from_str(text).map_err(|error| format!("\n{error}"))?;
        let records = operator.records.as_ref().map_or(Ok(()), Records::check);
        let membership = operator.membership.as_ref().map_or(Ok(()), Membership::check);
        records.and(membership).map_err(|fault| match line_of(text, &fault.path) {
            Some(line) => format!("line {line}: {fault}"),
            None => fault.to_string(),
        })?;
        Ok(operator)
    }
}

/// The line that sets a key, by the last name of its path.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let sets = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
    text.lines().position(sets).map(|at| at + 1)
}

impl Records {
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
