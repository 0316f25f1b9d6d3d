//! Segments of a folder of records: when the next one begins, how they are named, and which ones are removed.
//!
//! Pure decisions over names and sizes; it touches no file.

use crate::policy::Time;
use std::time::Duration;

/// How much of the records is kept, and in segments of what size and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentLimits {
    /// Size of a segment, in bytes.
    pub segment_bytes: u64,
    /// Age of a segment at which the next one begins.
    pub max_age: Duration,
    /// Size of all segments of this gatherer in the folder, in bytes.
    pub total_bytes: u64,
}

/// Name of a segment. Names sort in the order in which segments were written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentName {
    /// The gatherer, in letters that every file system accepts.
    pub gatherer: String,
    /// Its incarnation, in such letters.
    pub incarnation: String,
    /// Number of the segment within its incarnation.
    pub number: u32,
}

/// A segment in the folder. Segments sort as their names do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredSegment {
    /// Its name.
    pub name: SegmentName,
    /// Its size, in bytes.
    pub bytes: u64,
}

/// Suffix of the names of segment files.
pub const SEGMENT_SUFFIX: &str = ".records";

impl SegmentName {
    /// Names a segment. Whatever is not a letter, a digit, a dash or a dot becomes a dash.
    #[must_use]
    pub fn new(gatherer: &str, incarnation: &str, number: u32) -> SegmentName {
        let safe = |letter: char| if letter.is_ascii_alphanumeric() || letter == '.' { letter } else { '-' };
        let sanitise = |text: &str| text.chars().map(safe).collect::<String>();
        SegmentName { gatherer: sanitise(gatherer), incarnation: sanitise(incarnation), number }
    }

    /// The name of the segment's file.
    #[must_use]
    pub fn file_name(&self) -> String {
        format!("{}_{}_{:08}{SEGMENT_SUFFIX}", self.gatherer, self.incarnation, self.number)
    }

    /// Parses the name of a file. Returns `None` for a file that is not a segment.
    #[must_use]
    pub fn parse(file_name: &str) -> Option<SegmentName> {
        let mut parts = file_name.strip_suffix(SEGMENT_SUFFIX)?.split('_');
        let (gatherer, incarnation, number) = (parts.next()?, parts.next()?, parts.next()?);
        if parts.next().is_some() || gatherer.is_empty() || incarnation.is_empty() {
            return None;
        }
        let number = number.parse().ok()?;
        Some(SegmentName { gatherer: gatherer.to_owned(), incarnation: incarnation.to_owned(), number })
    }
}

/// The size and age of the segment that is being written.
#[derive(Clone, Copy, Debug)]
pub struct OpenSegment {
    limits: SegmentLimits,
    began_at: Time,
    bytes: u64,
}

impl OpenSegment {
    /// Begins a segment.
    #[must_use]
    pub fn new(limits: SegmentLimits, now: Time) -> OpenSegment {
        OpenSegment { limits, began_at: now, bytes: 0 }
    }

    /// Whether `more` bytes have to go to the next segment. One record always fits into an empty segment.
    #[must_use]
    pub fn is_full(&self, now: Time, more: u64) -> bool {
        let too_large = self.bytes + more > self.limits.segment_bytes;
        let too_old = now.since(self.began_at) >= self.limits.max_age;
        self.bytes > 0 && (too_large || too_old)
    }

    /// Counts bytes that were written.
    pub fn add_bytes(&mut self, bytes: u64) {
        self.bytes += bytes;
    }
}

/// Returns the segments to remove so that the rest and `coming` further bytes fit: the oldest of this gatherer first,
/// of whatever incarnation, and never the one that is being written. `found` has all segments.
#[must_use]
pub fn segments_to_remove(
    mut found: Vec<StoredSegment>,
    current: &SegmentName,
    limits: &SegmentLimits,
    coming: u64,
) -> Vec<SegmentName> {
    found.retain(|segment| segment.name.gatherer == current.gatherer);
    found.sort();
    let mut kept_bytes: u64 = found.iter().map(|segment| segment.bytes).sum();
    let mut to_remove = Vec::new();
    for StoredSegment { name, bytes } in found {
        if kept_bytes + coming <= limits.total_bytes {
            break;
        }
        if name != *current {
            kept_bytes -= bytes;
            to_remove.push(name);
        }
    }
    to_remove
}
