//! Records: what a gatherer writes down of itself, line by line, and how it is read back. Lines, segments, figures and
//! what a failing disk costs are plain values here; only [`folder`] knows files.

pub mod diagnosis;
pub mod figures;
pub mod folder;
pub mod line;
pub mod overload;
pub mod page;
pub mod reader;
pub mod segments;
pub mod summary;
pub mod writer;

pub use figures::{End, Figures, Seen};
pub use line::{Body, Damage, Line};
pub use segments::{Bounds, Rotation};
pub use summary::{Counts, Summary};
pub use writer::{Disk, Writer};
