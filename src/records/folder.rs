//! The folder of records on the file system, and the thread that writes to it: serving never waits for either.

use super::record::RecordBody;
use super::segments::SegmentLimits;
use super::writer::{Disk, Writer};
use crate::policy::Time;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, channel, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Records that may wait for the writer.
const WAITING: usize = 1024;
/// How long the end waits for the last records: a disk may hang for good.
const LAST: Duration = Duration::from_millis(500);

/// A folder of segments.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    file: Option<File>,
}

impl Folder {
    /// The folder at this path; it is made when the first segment begins.
    pub fn new(path: &Path) -> Folder {
        Folder { path: path.to_owned(), file: None }
    }
}

impl Disk for Folder {
    fn begin(&mut self, file: &str) -> io::Result<()> {
        self.file = None;
        fs::create_dir_all(&self.path)?;
        let mut new = OpenOptions::new();
        self.file = Some(new.write(true).create_new(true).open(self.path.join(file))?);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.file {
            Some(file) => file.write_all(bytes),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut found = Vec::new();
        let entries = match fs::read_dir(&self.path) {
            Ok(entries) => entries,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(found),
            Err(error) => return Err(error),
        };
        for entry in entries {
            let entry = entry?;
            let size = entry.metadata().map_or(0, |data| data.len());
            found.push((entry.file_name().to_string_lossy().into_owned(), size));
        }
        Ok(found)
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(file))
    }
}

struct Entry {
    now: Time,
    at_ms: u64,
    body: RecordBody,
    /// Records before it that found no room.
    missed: u64,
}

/// Hands records to the thread that writes them.
pub struct Recorder {
    send: SyncSender<Entry>,
    start: Instant,
    missed: u64,
    lost: Arc<AtomicU64>,
    ended: Receiver<()>,
}

impl Recorder {
    /// Starts the thread. Nothing is touched before the first record.
    pub fn start(path: &Path, gatherer: &str, start: &str, bounds: SegmentLimits) -> io::Result<Recorder> {
        let (send, receive) = sync_channel(WAITING);
        let (end, ended) = channel();
        let lost = Arc::new(AtomicU64::new(0));
        let writer = Writer::new(Folder::new(path), gatherer, start, bounds);
        let counted = lost.clone();
        thread::Builder::new().name("records".to_owned()).spawn(move || {
            write_all(receive, writer, &counted);
            // Nobody may wait for it any longer.
            let _ = end.send(());
        })?;
        Ok(Recorder { send, start: Instant::now(), missed: 0, lost, ended })
    }

    /// Records this, if there is room; else it is counted, and a later line tells of it.
    pub fn record(&mut self, body: RecordBody) {
        let now = Time(0).after(self.start.elapsed());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        match self.send.try_send(Entry { now, at_ms, body, missed: self.missed }) {
            Ok(()) => self.missed = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.missed += 1;
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Records lost so far.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Ends the thread once it has written what it was handed, but does not wait for a disk that hangs.
    pub fn close(self) {
        drop(self.send);
        if self.ended.recv_timeout(LAST).is_err() {
            log::warn!("records: the last ones are not written yet, and are given up");
        }
    }
}

fn write_all(receive: Receiver<Entry>, mut writer: Writer<Folder>, lost: &AtomicU64) {
    let mut said = false;
    for Entry { now, at_ms, body, missed } in receive {
        writer.count_dropped(missed, "they came faster than they could be written");
        let written = writer.write(now, at_ms, body);
        if !written {
            lost.fetch_add(1, Ordering::Relaxed);
        }
        // Told once when it begins and once when it ends, not at each record.
        if !written && !said {
            log::warn!("records: not written: {}; serving goes on", writer.last_loss_reason());
        } else if written && said {
            log::info!("records: written again");
        }
        said = !written;
    }
}
