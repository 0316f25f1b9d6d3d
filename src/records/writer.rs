//! Writes records to segments on a disk that may fail at any point.
//!
//! Owns the sequence numbers, the open segment and the count of lost records. A lost record is counted and reported by a
//! later one; the writer never waits for a disk and never tries a record twice.

use super::record::{MAX_RECORD_BYTES, Record, RecordBody, VERSION};
use super::segments::{OpenSegment, SegmentLimits, SegmentName, StoredSegment, segments_to_remove};
use crate::policy::Time;
use std::io;
use std::time::Duration;

/// Pause after a failure of the disk before it is used again; it doubles with each failure in a row...
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// ...up to this.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Why records are lost during a pause. It does not replace the reason that led to the pause.
const BACKOFF_LOSS_REASON: &str = "the disk failed a moment ago";

/// A file in the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredFile {
    /// Its name.
    pub name: String,
    /// Its size, in bytes.
    pub bytes: u64,
}

/// The operations on a folder that the writer needs.
pub trait Disk {
    /// Creates a file that must not exist yet, and closes the one that was open.
    ///
    /// # Errors
    ///
    /// Fails where the file exists or cannot be created.
    fn create(&mut self, file: &str) -> io::Result<()>;
    /// Appends to the file that was created last.
    ///
    /// # Errors
    ///
    /// Fails where not all bytes could be written; some may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Lists the files.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be read.
    fn list(&mut self) -> io::Result<Vec<StoredFile>>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::NotFound`] where there is no such file, and otherwise where it cannot be removed.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}

/// A time during which the disk is not used, because it failed.
#[derive(Clone, Copy)]
struct Backoff {
    until: Time,
    length: Duration,
}

/// Numbers records, assigns them to segments, and continues after any failure of the disk.
pub struct Writer<D> {
    disk: D,
    gatherer: String,
    incarnation: String,
    limits: SegmentLimits,
    segment_number: u32,
    next_seq: u64,
    segment: Option<OpenSegment>,
    unreported: u64,
    last_loss_reason: String,
    /// The pause after the last failure; `None` once a record was written.
    backoff: Option<Backoff>,
}

impl<D: Disk> Writer<D> {
    /// Creates the writer for this incarnation of this gatherer. It does not touch the disk yet.
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

    /// Lost records that no written record reports yet.
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

    /// Counts records that were dropped before they reached the writer.
    pub fn count_dropped(&mut self, count: u64, reason: &str) {
        if count > 0 {
            self.unreported += count;
            reason.clone_into(&mut self.last_loss_reason);
        }
    }

    /// Writes a record of this moment, which is `at_ms` by the system's clock. Returns whether it was written.
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

    /// Leaves the disk alone for a while, longer with each failure in a row.
    fn back_off(&mut self, now: Time) {
        // The segment may end in a torn record now: nothing more goes into it.
        self.segment = None;
        let length = self.backoff.map_or(INITIAL_BACKOFF, |backoff| (backoff.length * 2).min(MAX_BACKOFF));
        self.backoff = Some(Backoff { until: now.after(length), length });
    }

    fn count_lost(&mut self, reason: &str) {
        // The number stays unused, so that a reader notices the loss even if no record ever reports it.
        self.next_seq += 1;
        self.unreported += 1;
        if reason != BACKOFF_LOSS_REASON || self.backoff.is_none() || self.last_loss_reason.is_empty() {
            reason.clone_into(&mut self.last_loss_reason);
        }
    }

    /// Writes a record, behind the report of records lost before it.
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

    /// Encodes the next record in sequence. It fails where the record is too long for a reader.
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

    /// Begins the next segment, for a record of this length. Its number is used up even where it cannot be created.
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

    /// Makes room for `needed_bytes` bytes: the folder stays within its limit, and the process never fills the disk by itself.
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
