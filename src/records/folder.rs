//! The folder of records on the file system, and the thread that writes to it.
//!
//! This is the only module of records that uses files and clocks. The serving thread puts records into a queue and
//! never waits for the disk: a record for which the queue has no capacity is dropped and counted.

use super::record::RecordBody;
use super::segments::SegmentLimits;
use super::writer::{Disk, StoredFile, Writer};
use crate::policy::Time;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, channel, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Largest number of records in the queue to the writing thread.
const MAX_QUEUED_RECORDS: usize = 1024;
/// Longest time for which a shutdown waits for the last records: a disk may hang forever.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A folder of segments on the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    file: Option<File>,
}

impl Folder {
    /// Uses the folder at this path. The folder is created with the first segment.
    #[must_use]
    pub fn new(path: &Path) -> Folder {
        Folder { path: path.to_owned(), file: None }
    }
}

impl Disk for Folder {
    fn create(&mut self, file: &str) -> io::Result<()> {
        self.file = None;
        fs::create_dir_all(&self.path)?;
        let mut options = OpenOptions::new();
        self.file = Some(options.write(true).create_new(true).open(self.path.join(file))?);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.file {
            Some(file) => file.write_all(bytes),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        let mut files = Vec::new();
        let entries = match fs::read_dir(&self.path) {
            Ok(entries) => entries,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(files),
            Err(error) => return Err(error),
        };
        for entry in entries {
            let entry = entry?;
            // A size that cannot be read counts as zero, because the file may have been removed since it was listed.
            let bytes = entry.metadata().map_or(0, |metadata| metadata.len());
            let name = entry.file_name().to_string_lossy().into_owned();
            files.push(StoredFile { name, bytes });
        }
        Ok(files)
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(file))
    }
}

/// A record in the queue to the writing thread.
struct QueuedRecord {
    now: Time,
    at_ms: u64,
    body: RecordBody,
    /// Records dropped since the last one that was queued.
    dropped: u64,
}

/// The queue to the thread that writes records.
pub struct Recorder {
    queue: SyncSender<QueuedRecord>,
    started_at: Instant,
    /// Records dropped since the last one that was queued.
    dropped: u64,
    /// Records lost since the start, shared with the writing thread.
    lost: Arc<AtomicU64>,
    finished_receiver: Receiver<()>,
}

impl Recorder {
    /// Starts the writing thread, which touches no file before the first record.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(
        path: &Path,
        gatherer: &str,
        incarnation: &str,
        limits: SegmentLimits,
    ) -> io::Result<Recorder> {
        let (queue, queue_receiver) = sync_channel(MAX_QUEUED_RECORDS);
        let (finished_sender, finished_receiver) = channel();
        let lost = Arc::new(AtomicU64::new(0));
        let writer = Writer::new(Folder::new(path), gatherer, incarnation, limits);
        let lost_in_thread = lost.clone();
        thread::Builder::new().name("records".to_owned()).spawn(move || {
            write_queued_records(queue_receiver, writer, &lost_in_thread);
            // Sending fails if the shutdown has stopped waiting.
            let _ = finished_sender.send(());
        })?;
        Ok(Recorder { queue, started_at: Instant::now(), dropped: 0, lost, finished_receiver })
    }

    /// Queues a record. Without capacity in the queue, the record is dropped, and a later one reports the loss.
    pub fn record(&mut self, body: RecordBody) {
        let now = Time(0).after(self.started_at.elapsed());
        // A clock set to a time before 1970 counts as set to the start of 1970.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        match self.queue.try_send(QueuedRecord { now, at_ms, body, dropped: self.dropped }) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped += 1;
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Number of records lost so far, for any reason.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Ends the writing thread once it has written the queued records. Waits a limited time, because a disk may hang.
    pub fn close(self) {
        drop(self.queue);
        if self.finished_receiver.recv_timeout(CLOSE_TIMEOUT).is_err() {
            let timeout_ms = CLOSE_TIMEOUT.as_millis();
            log::warn!("record writing did not finish within {timeout_ms} ms: the last records may be lost");
        }
    }
}

/// Writes queued records until the queue is closed. Logs when writing starts to fail and when it succeeds again, but
/// not for each record.
fn write_queued_records(
    queue_receiver: Receiver<QueuedRecord>,
    mut writer: Writer<Folder>,
    lost: &AtomicU64,
) {
    let mut failing = false;
    for QueuedRecord { now, at_ms, body, dropped } in queue_receiver {
        writer.count_dropped(dropped, "they came faster than they could be written");
        let written = writer.write(now, at_ms, body);
        if !written {
            lost.fetch_add(1, Ordering::Relaxed);
        }
        if !written && !failing {
            let folder = writer.disk().path.display().to_string();
            let reason = writer.last_loss_reason();
            log::warn!(
                "record writing fails: folder={folder} reason={reason:?}; records are lost, serving continues"
            );
        } else if written && failing {
            log::info!("record writing has resumed: folder={}", writer.disk().path.display());
        }
        failing = !written;
    }
}
