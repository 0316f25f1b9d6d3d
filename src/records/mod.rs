//! Records: the log of its own operation that each gatherer writes to a folder, and the reports made from it.
//!
//! Records, segments, metrics and the handling of disk failures are independent of the file system and of clocks; only
//! [`folder`] uses them. Records have no effect on how queries are served.

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
