//! Segments of a folder of records: when the next begins, what they are called, and which of them go.

use crate::policy::Time;
use std::time::Duration;

/// How much is kept, and in which pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentLimits {
    /// Bytes of a segment.
    pub segment_bytes: u64,
    /// Age of a segment after which the next one begins.
    pub max_age: Duration,
    /// Bytes of all segments in the folder that have this gatherer's name.
    pub total_bytes: u64,
}

/// Name of a segment: the gatherer, its start and a running number, so that names sort as segments were written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentName {
    /// The gatherer, in letters that every file system takes.
    pub gatherer: String,
    /// Its start.
    pub start: String,
    /// Which of its segments.
    pub number: u32,
}

/// What names end with.
pub const SUFFIX: &str = ".records";

impl SegmentName {
    /// The name of a segment. Whatever is no letter, digit, dash or dot of the gatherer's name becomes a dash.
    pub fn new(gatherer: &str, start: &str, number: u32) -> SegmentName {
        let plain = |letter: char| if letter.is_ascii_alphanumeric() || letter == '.' { letter } else { '-' };
        let tidy = |text: &str| text.chars().map(plain).collect::<String>();
        SegmentName { gatherer: tidy(gatherer), start: tidy(start), number }
    }
    /// As a file's name.
    pub fn file_name(&self) -> String {
        format!("{}_{}_{:08}{SUFFIX}", self.gatherer, self.start, self.number)
    }
    /// Reads a file's name; `None` for a file that is no segment.
    pub fn parse(file: &str) -> Option<SegmentName> {
        let mut parts = file.strip_suffix(SUFFIX)?.split('_');
        let (gatherer, start, number) = (parts.next()?, parts.next()?, parts.next()?);
        let whole = parts.next().is_none() && !gatherer.is_empty() && !start.is_empty();
        let number = number.parse().ok().filter(|_| whole)?;
        Some(SegmentName { gatherer: gatherer.to_owned(), start: start.to_owned(), number })
    }
}

/// The segment that is being written, as far as its end is concerned.
#[derive(Clone, Copy, Debug)]
pub struct OpenSegment {
    bounds: SegmentLimits,
    begun: Time,
    bytes: u64,
}

impl OpenSegment {
    /// A segment that begins now.
    pub fn new(bounds: SegmentLimits, now: Time) -> OpenSegment {
        OpenSegment { bounds, begun: now, bytes: 0 }
    }
    /// Whether so many bytes more belong into the next segment. One line always fits into a new one.
    pub fn is_full(&self, now: Time, more: u64) -> bool {
        self.bytes > 0
            && (self.bytes + more > self.bounds.segment_bytes || now.since(self.begun) >= self.bounds.max_age)
    }
    /// So many bytes were written.
    pub fn add_bytes(&mut self, bytes: u64) {
        self.bytes += bytes;
    }
}

/// Which segments go, so that the rest and `coming` further bytes fit: the oldest of this gatherer first, whatever
/// start they are of; never the one that is being written. Sizes that cannot be read count as nothing.
pub fn segments_to_remove(
    mut found: Vec<(SegmentName, u64)>,
    current: &SegmentName,
    bounds: &SegmentLimits,
    coming: u64,
) -> Vec<SegmentName> {
    found.retain(|(name, _)| name.gatherer == current.gatherer);
    found.sort();
    let mut held: u64 = found.iter().map(|(_, bytes)| bytes).sum();
    let mut out = Vec::new();
    for (name, bytes) in found {
        if held + coming <= bounds.total_bytes {
            break;
        }
        if name != *current {
            held -= bytes;
            out.push(name);
        }
    }
    out
}
