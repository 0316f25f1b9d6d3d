//! Encoded hits in one buffer.
//!
//! A tree of JSON values takes a multiple of its text in memory, so hits are kept as the text that clients get: what is
//! held is what is counted.

use std::mem::size_of;
use std::ops::Range;

/// Hits in their order, as the text of a JSON array without its brackets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HitList {
    text: String,
    /// End of each hit in `text`. A comma separates it from the next hit.
    ends: Vec<usize>,
}

impl HitList {
    /// Creates an empty list with space for this many hits, of this many bytes in all.
    pub(super) fn with_capacity(hits: usize, bytes: usize) -> HitList {
        HitList { text: String::with_capacity(bytes + hits), ends: Vec::with_capacity(hits) }
    }

    /// Appends a hit, which is valid JSON.
    pub(super) fn push(&mut self, hit: &str) {
        if !self.ends.is_empty() {
            self.text.push(',');
        }
        self.text.push_str(hit);
        self.ends.push(self.text.len());
    }

    /// Releases the space that is not in use.
    pub(super) fn shrink_to_fit(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// The most memory that this many hits of this many bytes in all can take.
    #[must_use]
    pub fn max_held_bytes(hits: usize, bytes: usize) -> usize {
        bytes + hits * (1 + size_of::<usize>())
    }

    /// Number of hits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether there are no hits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Memory that the hits take, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<usize>()
    }

    /// Returns the hits of a range, separated by commas; `None` if the range exceeds the list.
    #[must_use]
    pub fn page(&self, range: Range<usize>) -> Option<&str> {
        if range.is_empty() {
            return (range.end <= self.len()).then_some("");
        }
        let end = *self.ends.get(range.end - 1)?;
        let start = if range.start == 0 { 0 } else { self.ends[range.start - 1] + 1 };
        self.text.get(start..end)
    }
}
