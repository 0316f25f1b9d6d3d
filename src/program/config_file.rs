//! Reads configuration files of all kinds, so that every error names the file and its kind. It knows no format: the
//! caller passes the parser.

use super::errors::{ConfigError, ConfigFileKind, FileContentError};
use std::io;

/// Reads the file at `path` with `read`, as bytes or as text, and parses its content with `parse`.
///
/// # Errors
/// The file cannot be read, or `parse` rejects its content. The error names the file.
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
