//! Writes records to segments on a disk that may fail at any point.
//!
//! The writer owns the sequence numbers, the open segment and the count of lost records. A lost record is counted and
//! reported by a later record. The writer does not retry a record, and does not use a failed disk during a backoff.

use super::record::{MAX_RECORD_BYTES, Record, RecordBody, VERSION};
use super::segments::{OpenSegment, SegmentLimits, SegmentName, StoredSegment, segments_to_remove};
use crate::policy::Time;
use std::io;
use std::time::Duration;

/// Backoff after the first failure of the disk. It doubles with each consecutive failure, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Longest backoff after a failure of the disk.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Why records are lost during a backoff. It does not replace the reason that led to the backoff.
const BACKOFF_LOSS_REASON: &str = "the disk failed a moment ago";

/// A file in the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredFile {
    /// Name of the file.
    pub name: String,
    /// Size of the file, in bytes.
    pub bytes: u64,
}

/// The operations on a folder that the writer needs.
pub trait Disk {
    /// Creates a file, which must not exist, and closes the one that was open.
    ///
    /// # Errors
    ///
    /// If the file exists or cannot be created.
    fn create(&mut self, file: &str) -> io::Result<()>;
    /// Appends to the file that was created last.
    ///
    /// # Errors
    ///
    /// If not all bytes could be written; some may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Lists the files in the folder.
    ///
    /// # Errors
    ///
    /// If the folder cannot be read.
    fn list(&mut self) -> io::Result<Vec<StoredFile>>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file does not exist; any other error if it cannot be removed.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}

/// A period in which the disk is not used, because it failed.
#[derive(Clone, Copy)]
struct Backoff {
    until: Time,
    length: Duration,
}

/// Numbers records and appends them to segments. After a failure of the disk, the writer continues in a new segment.
pub struct Writer<D> {
    disk: D,
    gatherer: String,
    incarnation: String,
    limits: SegmentLimits,
    segment_number: u32,
    next_seq: u64,
    segment: Option<OpenSegment>,
    /// Lost records that no written record reports yet.
    unreported: u64,
    last_loss_reason: String,
    /// Backoff after the last failure; `None` once a record was written.
    backoff: Option<Backoff>,
}

impl<D: Disk> Writer<D> {
    /// Creates the writer of an incarnation of a gatherer. It does not use the disk before the first record.
    pub fn new(disk: D, gatherer: &str, incarnation: &str, limits: SegmentLimits) -> Writer<D> {
        Writer {
            disk,
            gatherer: gatherer.to_owned(),
            incarnation: incarnation.to_owned(),
            limits,
            segment_number: 0,
            next_seq: 0,
            segment: None,
            unreported: 0,
            last_loss_reason: String::new(),
            backoff: None,
        }
    }

    /// Number of lost records that no written record reports yet.
    pub fn unreported(&self) -> u64 {
        self.unreported
    }
    /// Why the last record was lost.
    pub fn last_loss_reason(&self) -> &str {
        &self.last_loss_reason
    }
    /// The disk.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Counts records as lost that were dropped before they reached the writer.
    pub fn count_dropped(&mut self, count: u64, reason: &str) {
        if count > 0 {
            self.unreported += count;
            reason.clone_into(&mut self.last_loss_reason);
        }
    }

    /// Writes a record. `now` is the monotonic time, and `at_ms` the Unix time in milliseconds. Returns false if the
    /// record is lost.
    pub fn write(&mut self, now: Time, at_ms: u64, body: RecordBody) -> bool {
        if self.backoff.is_some_and(|backoff| now < backoff.until) {
            self.count_lost(BACKOFF_LOSS_REASON);
            return false;
        }
        match self.try_write(now, at_ms, body) {
            Ok(()) => {
                self.backoff = None;
                true
            }
            Err(error) => {
                self.back_off(now);
                self.count_lost(&error.to_string());
                false
            }
        }
    }

    /// Starts a backoff, longer with each consecutive failure.
    fn back_off(&mut self, now: Time) {
        // The segment may end in a torn record, so that nothing may be appended to it.
        self.segment = None;
        let length = self.backoff.map_or(INITIAL_BACKOFF, |backoff| (backoff.length * 2).min(MAX_BACKOFF));
        self.backoff = Some(Backoff { until: now.after(length), length });
    }

    fn count_lost(&mut self, reason: &str) {
        // The sequence number is not used again, so that a reader notices the loss even if no record ever reports it.
        self.next_seq += 1;
        self.unreported += 1;
        if reason != BACKOFF_LOSS_REASON || self.backoff.is_none() || self.last_loss_reason.is_empty() {
            reason.clone_into(&mut self.last_loss_reason);
        }
    }

    /// Writes a record and, before it, the report of records lost so far.
    fn try_write(&mut self, now: Time, at_ms: u64, body: RecordBody) -> io::Result<()> {
        if self.unreported > 0 {
            let gap = RecordBody::Gap { lost: self.unreported, reason: self.last_loss_reason.clone() };
            self.append(now, at_ms, gap)?;
            self.unreported = 0;
        }
        self.append(now, at_ms, body)
    }

    fn append(&mut self, now: Time, at_ms: u64, body: RecordBody) -> io::Result<()> {
        let bytes = self.encode(at_ms, body)?;
        let record_bytes = bytes.len() as u64;
        if self.segment.is_none_or(|segment| segment.is_full(now, record_bytes)) {
            self.begin_segment(now, record_bytes)?;
        }
        self.disk.append(&bytes)?;
        if let Some(segment) = &mut self.segment {
            segment.add_bytes(record_bytes);
        }
        self.next_seq += 1;
        Ok(())
    }

    /// Encodes the next record. Fails if the record is longer than readers accept.
    fn encode(&self, at_ms: u64, body: RecordBody) -> io::Result<Vec<u8>> {
        let record = Record {
            version: VERSION,
            gatherer: self.gatherer.clone(),
            incarnation: self.incarnation.clone(),
            seq: self.next_seq,
            at_ms,
            body,
        };
        let bytes = record.encode();
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(io::Error::other("the line is too long"));
        }
        Ok(bytes)
    }

    /// Starts the next segment, for a record of this length. The number of a segment that cannot be created is not used
    /// again.
    fn begin_segment(&mut self, now: Time, record_bytes: u64) -> io::Result<()> {
        self.segment = None;
        self.segment_number += 1;
        let name = SegmentName::new(&self.gatherer, &self.incarnation, self.segment_number);
        let needed_bytes = self.limits.segment_bytes.max(record_bytes);
        self.remove_old_segments(&name, needed_bytes)?;
        self.disk.create(&name.file_name())?;
        self.segment = Some(OpenSegment::new(self.limits, now));
        Ok(())
    }

    /// Removes segments until `needed_bytes` further bytes fit into the limit, so that the process never fills the disk
    /// by itself.
    fn remove_old_segments(&mut self, current: &SegmentName, needed_bytes: u64) -> io::Result<()> {
        let files = self.disk.list()?.into_iter();
        let segments = files.filter_map(|file| {
            let name = SegmentName::parse(&file.name)?;
            Some(StoredSegment { name, bytes: file.bytes })
        });
        for segment in segments_to_remove(segments.collect(), current, &self.limits, needed_bytes) {
            match self.disk.remove(&segment.file_name()) {
                // During a hot restart, the other process writes to this folder too and may have removed it first.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                result => result?,
            }
        }
        Ok(())
    }
}
