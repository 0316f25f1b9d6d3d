//! Reads a configuration file and has its content parsed: one function for all three kinds of files.

use super::errors::{ConfigError, ConfigFileKind, FileContentError};
use std::io;

/// Reads the file at `path` by `read`, as bytes or as text, and parses its content by `parse`.
///
/// # Errors
/// The file cannot be read, or its content cannot be used; the error names the file.
pub(super) fn read_file<'path, Content, Parsed>(
    path: &'path str,
    kind: ConfigFileKind,
    read: impl FnOnce(&'path str) -> io::Result<Content>,
    parse: impl FnOnce(Content) -> Result<Parsed, FileContentError>,
) -> Result<Parsed, ConfigError> {
    let content =
        read(path).map_err(|error| ConfigError::Unreadable { path: path.to_owned(), kind, error })?;
    parse(content).map_err(|error| ConfigError::Malformed { path: path.to_owned(), error })
}
