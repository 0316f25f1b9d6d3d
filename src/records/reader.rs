//! Reads records in bounded memory, and reports each one that is damaged.
//!
//! The reader checks the order of each incarnation's records over all segments. It opens no file: the caller passes the
//! bytes of each segment.

use super::record::{IncarnationId, MAX_RECORD_BYTES, Record, RecordError};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufRead};

/// A damaged record and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRecord {
    /// Name of the file.
    pub file: String,
    /// Number of the line, from 1.
    pub line: u64,
    /// Why the record is not valid.
    pub error: RecordError,
}

impl fmt::Display for DamagedRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.error)
    }
}

/// Reads segments and keeps track of the order of records over all of them.
#[derive(Debug, Default)]
pub struct Reader {
    /// Last sequence number that was read, by incarnation.
    last_seq: HashMap<IncarnationId, u64>,
    /// Number of valid records read so far.
    pub valid_records: u64,
}

impl Reader {
    /// Reads one segment, and calls `on_record` for each valid record and `on_damaged` for each other one. The segments
    /// of an incarnation must be read in the order of their numbers.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be read. Damaged records are passed to `on_damaged` and are not an error.
    pub fn read(
        &mut self,
        file: &str,
        mut input: impl BufRead,
        mut on_record: impl FnMut(Record),
        mut on_damaged: impl FnMut(DamagedRecord),
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        let mut line = 0;
        loop {
            bytes.clear();
            let complete = read_line(&mut input, &mut bytes)?;
            if !complete && bytes.is_empty() {
                return Ok(());
            }
            line += 1;
            let decoded = if complete {
                Record::decode(&bytes).and_then(|record| self.check_order(record))
            } else if bytes.len() > MAX_RECORD_BYTES {
                Err(RecordError::TooLong)
            } else {
                // A last line without a line feed is torn, even if it is cut just after a matching checksum.
                Err(RecordError::Torn)
            };
            match decoded {
                Ok(record) => {
                    self.valid_records += 1;
                    on_record(record);
                }
                Err(error) => on_damaged(DamagedRecord { file: file.to_owned(), line, error }),
            }
        }
    }

    fn check_order(&mut self, record: Record) -> Result<Record, RecordError> {
        let id = IncarnationId { gatherer: record.gatherer.clone(), incarnation: record.incarnation.clone() };
        match self.last_seq.get(&id) {
            Some(last) if *last == record.seq => return Err(RecordError::Duplicate(record.seq)),
            Some(last) if *last > record.seq => {
                return Err(RecordError::OutOfOrder { found: record.seq, after: *last });
            }
            _ => {}
        }
        self.last_seq.insert(id, record.seq);
        Ok(record)
    }
}

/// Reads up to the end of a line; returns false at the end of the file. Of a line over [`MAX_RECORD_BYTES`], only
/// enough bytes are kept to detect that it is too long.
fn read_line(input: &mut impl BufRead, bytes: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let chunk = match input.fill_buf() {
            Ok(chunk) => chunk,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => return Err(error),
        };
        if chunk.is_empty() {
            return Ok(false);
        }
        let line_feed = chunk.iter().position(|byte| *byte == b'\n');
        let consumed = line_feed.map_or(chunk.len(), |index| index + 1);
        let capacity = (MAX_RECORD_BYTES + 2).saturating_sub(bytes.len());
        bytes.extend_from_slice(&chunk[..consumed.min(capacity)]);
        input.consume(consumed);
        if line_feed.is_some() {
            return Ok(true);
        }
    }
}
