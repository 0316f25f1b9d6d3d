//! Reads lines back, in bounded memory, and tells of every one that does not count and why.

use super::record::{MAX_RECORD_BYTES, Record, RecordError};
use std::collections::HashMap;
use std::io::{self, BufRead};

/// A line that does not count, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRecord {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: u64,
    /// What is wrong with it.
    pub error: RecordError,
}

impl std::fmt::Display for DamagedRecord {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}:{}: {}", self.file, self.line, self.error)
    }
}

/// Keeps the order of each start's lines over all its segments.
#[derive(Debug, Default)]
pub struct Reader {
    /// The last number read of each start, by gatherer and start.
    last: HashMap<(String, String), u64>,
    /// Lines that counted.
    pub valid_records: u64,
}

impl Reader {
    /// Reads one segment; `take` gets each line that counts, `fault` each that does not. Segments of one start are to
    /// be read in the order of their numbers.
    pub fn read(
        &mut self,
        file: &str,
        mut from: impl BufRead,
        mut take: impl FnMut(Record),
        mut fault: impl FnMut(DamagedRecord),
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        let mut number = 0;
        loop {
            bytes.clear();
            let more = next(&mut from, &mut bytes)?;
            if !more && bytes.is_empty() {
                return Ok(());
            }
            number += 1;
            let read = match more {
                true => Record::decode(&bytes).and_then(|line| self.in_order(line)),
                // Guards against a last line that was cut right behind its checksum: whole, but nobody knows what of it.
                false => {
                    Err(if bytes.len() > MAX_RECORD_BYTES { RecordError::TooLong } else { RecordError::Torn })
                }
            };
            match read {
                Ok(line) => {
                    self.valid_records += 1;
                    take(line);
                }
                Err(damage) => fault(DamagedRecord { file: file.to_owned(), line: number, error: damage }),
            }
        }
    }

    fn in_order(&mut self, line: Record) -> Result<Record, RecordError> {
        let key = (line.gatherer.clone(), line.incarnation.clone());
        match self.last.get(&key) {
            Some(last) if *last == line.seq => return Err(RecordError::Duplicate(line.seq)),
            Some(last) if *last > line.seq => {
                return Err(RecordError::OutOfOrder { found: line.seq, after: *last });
            }
            _ => {}
        }
        self.last.insert(key, line.seq);
        Ok(line)
    }
}

/// Reads up to the end of a line. Of one over [`LONGEST`] only so much is kept; false at the end of the file.
fn next(from: &mut impl BufRead, bytes: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let chunk = match from.fill_buf() {
            Ok(chunk) => chunk,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => return Err(error),
        };
        if chunk.is_empty() {
            return Ok(false);
        }
        let end = chunk.iter().position(|byte| *byte == b'\n');
        let used = end.map_or(chunk.len(), |end| end + 1);
        let room = (MAX_RECORD_BYTES + 2).saturating_sub(bytes.len());
        bytes.extend_from_slice(&chunk[..used.min(room)]);
        from.consume(used);
        if end.is_some() {
            return Ok(true);
        }
    }
}
