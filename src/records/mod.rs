//! Records: what a gatherer writes about itself, record by record, and how records are read back and reported.
//!
//! Records, segments, metrics and the effects of a failing disk are plain values here; only [`folder`] touches files and
//! clocks. Nothing here decides how queries are served.

pub mod diagnosis;
pub mod folder;
pub mod html_report;
pub mod metrics;
pub mod overload;
pub mod reader;
pub mod record;
pub mod segments;
pub mod summary;
pub mod writer;

pub use metrics::{MetricsAccumulator, QueryEnd, QueryLabels};
pub use record::{IncarnationId, Record, RecordBody, RecordError};
pub use segments::{OpenSegment, SegmentLimits, StoredSegment};
pub use summary::{QueryCounts, QueryGroup, Summary};
pub use writer::{Disk, StoredFile, Writer};
