//! Records: what a gatherer writes down of itself, line by line, and how it is read back. Lines, segments, figures and
//! what a failing disk costs are plain values here; only [`folder`] knows files.

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
pub use record::{Record, RecordBody, RecordError};
pub use segments::{OpenSegment, SegmentLimits};
pub use summary::{QueryCounts, Summary};
pub use writer::{Disk, Writer};
