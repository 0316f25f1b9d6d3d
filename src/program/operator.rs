//! The operator's file: what an installation switches on beside the platform's configuration. Everything is off where
//! there is no such file.

use super::config::Error;
use super::settings::Faulty;
use crate::records::Bounds;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;

/// What the file may say.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Whether and where records are kept.
    pub records: Option<Records>,
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
    pub fn bounds(&self) -> Bounds {
        let (segment, all) = (self.segment_kb << 10, self.all_kb << 10);
        Bounds { segment, age: Duration::from_secs(self.segment_s), all }
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
        if let Some(records) = &operator.records {
            records.check().map_err(|fault| match line_of(text, &fault.path) {
                Some(line) => format!("line {line}: {fault}"),
                None => fault.to_string(),
            })?;
        }
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
    fn check(&self) -> Result<(), Faulty> {
        if !(64..=1 << 20).contains(&self.segment_kb) {
            return Err(Faulty::new("records.segment_kb", "64 kB to 1 GB"));
        }
        if !(1..=7 * 86_400).contains(&self.segment_s) {
            return Err(Faulty::new("records.segment_s", "1 second to a week"));
        }
        if self.all_kb < 2 * self.segment_kb || self.all_kb > 1 << 30 {
            return Err(Faulty::new("records.all_kb", "two segments at least, 1 TB at most"));
        }
        Ok(())
    }
}
