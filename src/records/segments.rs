//! Segments of a folder of records: rotation, names of files, and retention.
//!
//! The module decides by names, sizes and ages only; it touches no file.

use crate::policy::Time;
use std::time::Duration;

/// Limits of the size and age of segments, and of the size of all records that are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentLimits {
    /// Largest size of a segment, in bytes.
    pub segment_bytes: u64,
    /// Age of a segment at which the next one starts.
    pub max_age: Duration,
    /// Largest total size of the segments of this gatherer in the folder, in bytes.
    pub total_bytes: u64,
}

/// Name of a segment. The names of a gatherer's segments sort in the order in which they were written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentName {
    /// Name of the gatherer, in characters that every file system accepts.
    pub gatherer: String,
    /// Name of the incarnation, in such characters.
    pub incarnation: String,
    /// Number of the segment within its incarnation.
    pub number: u32,
}

/// A segment in the folder. Segments sort by their names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredSegment {
    /// Name of the segment.
    pub name: SegmentName,
    /// Size of the segment, in bytes.
    pub bytes: u64,
}

/// Suffix of the names of segment files.
pub const SEGMENT_SUFFIX: &str = ".records";

impl SegmentName {
    /// Creates the name of a segment. Characters other than ASCII letters, digits and dots are replaced by dashes.
    #[must_use]
    pub fn new(gatherer: &str, incarnation: &str, number: u32) -> SegmentName {
        let replace_unsafe =
            |letter: char| if letter.is_ascii_alphanumeric() || letter == '.' { letter } else { '-' };
        let sanitize = |text: &str| text.chars().map(replace_unsafe).collect::<String>();
        SegmentName { gatherer: sanitize(gatherer), incarnation: sanitize(incarnation), number }
    }

    /// Returns the name of the segment's file.
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
    /// Starts an empty segment.
    #[must_use]
    pub fn new(limits: SegmentLimits, now: Time) -> OpenSegment {
        OpenSegment { limits, began_at: now, bytes: 0 }
    }

    /// Whether a record of this size has to go to the next segment. A record of any size fits into an empty segment.
    #[must_use]
    pub fn is_full(&self, now: Time, record_bytes: u64) -> bool {
        let too_large = self.bytes + record_bytes > self.limits.segment_bytes;
        let too_old = now.since(self.began_at) >= self.limits.max_age;
        self.bytes > 0 && (too_large || too_old)
    }

    /// Counts bytes that were written to the segment.
    pub fn add_bytes(&mut self, bytes: u64) {
        self.bytes += bytes;
    }
}

/// Returns which of `segments` to remove so that `needed_bytes` further bytes fit into the limit: the oldest of this
/// gatherer first, of any incarnation, and never `current`, which is being written.
#[must_use]
pub fn segments_to_remove(
    mut segments: Vec<StoredSegment>,
    current: &SegmentName,
    limits: &SegmentLimits,
    needed_bytes: u64,
) -> Vec<SegmentName> {
    segments.retain(|segment| segment.name.gatherer == current.gatherer);
    segments.sort();
    let mut kept_bytes: u64 = segments.iter().map(|segment| segment.bytes).sum();
    let mut to_remove = Vec::new();
    for StoredSegment { name, bytes } in segments {
        if kept_bytes + needed_bytes <= limits.total_bytes {
            break;
        }
        if name != *current {
            kept_bytes -= bytes;
            to_remove.push(name);
        }
    }
    to_remove
}
