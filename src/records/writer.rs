//! Writes lines to segments on a disk that may fail at any point: what is lost is counted and told, never waited for.

use super::record::{MAX_RECORD_BYTES, Record, RecordBody, VERSION};
use super::segments::{OpenSegment, SegmentLimits, SegmentName, segments_to_remove};
use crate::policy::Time;
use std::io;
use std::time::Duration;

/// Pause after a failure before the disk is tried again: the first, and the longest.
const PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A folder, as far as the writer needs one.
pub trait Disk {
    /// Begins a file that must not be there yet; what was open is closed.
    fn begin(&mut self, file: &str) -> io::Result<()>;
    /// Appends to the file that was begun last. It may have written a part of the bytes when it fails.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Files and their sizes.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Removes a file.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}

/// Gives lines their numbers and segments, and goes on after whatever the disk does.
pub struct Writer<D> {
    disk: D,
    gatherer: String,
    start: String,
    bounds: SegmentLimits,
    number: u32,
    seq: u64,
    segment: Option<OpenSegment>,
    lost: u64,
    why: String,
    /// Not to be tried before, and the pause that led there.
    paused: Option<(Time, Duration)>,
}

impl<D: Disk> Writer<D> {
    /// A writer for this start of this gatherer. Nothing is touched yet.
    pub fn new(disk: D, gatherer: &str, start: &str, bounds: SegmentLimits) -> Writer<D> {
        Writer {
            disk,
            gatherer: gatherer.to_owned(),
            start: start.to_owned(),
            bounds,
            number: 0,
            seq: 0,
            segment: None,
            lost: 0,
            why: String::new(),
            paused: None,
        }
    }

    /// Lines lost that no line tells of yet.
    pub fn unreported(&self) -> u64 {
        self.lost
    }
    /// Why the last of them was lost.
    pub fn last_loss_reason(&self) -> &str {
        &self.why
    }
    /// The disk.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Lines were lost before they came here.
    pub fn count_dropped(&mut self, count: u64, why: &str) {
        if count > 0 {
            self.lost += count;
            why.clone_into(&mut self.why);
        }
    }

    /// Writes a record of this moment, `at_ms` by the system's clock. True if it is on the disk.
    pub fn write(&mut self, now: Time, at_ms: u64, body: RecordBody) -> bool {
        if self.paused.is_some_and(|(until, _)| now < until) {
            self.lose("the disk failed a moment ago");
            return false;
        }
        match self.try_write(now, at_ms, body) {
            Ok(()) => {
                self.paused = None;
                true
            }
            Err(error) => {
                // The segment may end in a torn line now: nothing more goes into it.
                self.segment = None;
                let pause = self.paused.map_or(PAUSE, |(_, pause)| (pause * 2).min(LONGEST_PAUSE));
                self.paused = Some((now.after(pause), pause));
                self.lose(&error.to_string());
                false
            }
        }
    }

    fn lose(&mut self, why: &str) {
        // Its number stays free, so that a reader sees the hole even if no line ever tells of it.
        self.seq += 1;
        self.lost += 1;
        if self.paused.is_none_or(|_| self.why.is_empty()) || why != "the disk failed a moment ago" {
            why.clone_into(&mut self.why);
        }
    }

    fn try_write(&mut self, now: Time, at_ms: u64, body: RecordBody) -> io::Result<()> {
        if self.lost > 0 {
            let gap = RecordBody::Gap { lost: self.lost, reason: self.why.clone() };
            self.append(now, at_ms, gap)?;
            self.lost = 0;
        }
        self.append(now, at_ms, body)
    }

    fn append(&mut self, now: Time, at_ms: u64, body: RecordBody) -> io::Result<()> {
        let (gatherer, start) = (self.gatherer.clone(), self.start.clone());
        let bytes =
            Record { version: VERSION, gatherer, incarnation: start, seq: self.seq, at_ms, body }.encode();
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(io::Error::other("the line is too long"));
        }
        let more = bytes.len() as u64;
        if self.segment.is_none_or(|segment| segment.is_full(now, more)) {
            self.segment = None;
            self.number += 1;
            let name = SegmentName::new(&self.gatherer, &self.start, self.number);
            // The oldest go before the next begins: guards against a folder over its cap, and a disk filled by itself.
            let found = self.disk.list()?;
            let found =
                found.into_iter().filter_map(|(file, bytes)| Some((SegmentName::parse(&file)?, bytes)));
            let coming = self.bounds.segment_bytes.max(more);
            for old in segments_to_remove(found.collect(), &name, &self.bounds, coming) {
                match self.disk.remove(&old.file_name()) {
                    // The other process of an upgrade, which writes here too, was faster.
                    Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                    removed => removed?,
                }
            }
            self.disk.begin(&name.file_name())?;
            self.segment = Some(OpenSegment::new(self.bounds, now));
        }
        self.disk.append(&bytes)?;
        if let Some(segment) = &mut self.segment {
            segment.add_bytes(more);
        }
        self.seq += 1;
        Ok(())
    }
}
