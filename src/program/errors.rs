//! The errors of the program's commands, and the exit status that reports each.
//!
//! A command returns [`CommandError`]. It wraps [`ConfigError`] for an invalid file or environment, which wraps
//! [`FileContentError`] for a file that was read and has invalid content.

use super::settings::InvalidSetting;
use crate::limits::descriptors::DescriptorLimitTooLow;
use crate::transport::errors::is_transient;
use std::fmt;
use std::io;

/// Exit status of a command with an invalid configuration.
const CONFIGURATION_EXIT_STATUS: u8 = 2;
/// Exit status of a command that failed in any other way.
const OTHER_EXIT_STATUS: u8 = 1;
/// Form of a socket address, as error messages describe it.
pub(super) const SOCKET_ADDRESS_FORM: &str = "IP:PORT";

/// The reason for which a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file or the environment is missing or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The system allows too few file descriptors to serve with.
    #[error(transparent)]
    TooFewDescriptors(#[from] DescriptorLimitTooLow),
    /// A system call failed.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The records that were read have this number of damaged lines.
    #[error("records: {0} damaged lines")]
    DamagedRecords(u64),
}

/// Prepends what failed to the message of an error, as in `map_err(with_context("cannot listen at 10.0.0.1:80"))`.
/// The new error has no error code of the system, so [`is_transient`] must be called on the original.
pub(super) fn with_context(context: impl fmt::Display) -> impl FnOnce(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("{context}: {error}"))
}

impl CommandError {
    /// The exit status of the process: 2 for an invalid configuration, 1 for all other errors.
    #[must_use]
    pub fn exit_status(&self) -> u8 {
        match self {
            CommandError::Configuration(_) => CONFIGURATION_EXIT_STATUS,
            CommandError::TooFewDescriptors(_)
            | CommandError::System(_)
            | CommandError::DamagedRecords(_) => OTHER_EXIT_STATUS,
        }
    }
}

/// The reason for which a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is not set.
    #[error("environment variable {0} is not set")]
    MissingVariable(&'static str),
    /// An environment variable holds no socket address.
    #[error("environment variable {variable}: found {value:?}, expected {SOCKET_ADDRESS_FORM}")]
    InvalidAddressVariable {
        /// Name of the variable.
        variable: &'static str,
        /// Value of the variable.
        value: String,
    },
    /// A file cannot be read.
    #[error("{path}: cannot read the {kind}: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// Kind of the file.
        kind: ConfigFileKind,
        /// Error of the system call.
        #[source]
        error: io::Error,
    },
    /// A file has a syntax error, or one of its values is invalid.
    #[error("{path}: {error}")]
    Malformed {
        /// The file's path.
        path: String,
        /// Fault in the content of the file.
        #[source]
        error: FileContentError,
    },
}

impl ConfigError {
    /// Whether the file could not be read for a reason that may pass by itself, such as a lack of descriptors.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable { error, .. } if is_transient(error))
    }
}

/// The kinds of configuration files, as error messages call them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFileKind {
    /// The JSON file of the platform's front, which `LB_CONFIG` names.
    Platform,
    /// The TOML file of an OpenSearch-style front.
    OpenSearchFront,
    /// The operator's TOML file.
    Operator,
    /// A TOML file that is checked and may be of either TOML kind.
    Toml,
}

impl fmt::Display for ConfigFileKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            ConfigFileKind::Platform => "platform configuration file",
            ConfigFileKind::OpenSearchFront => "OpenSearch-style front file",
            ConfigFileKind::Operator => "operator file",
            ConfigFileKind::Toml => "TOML file to check",
        })
    }
}

/// A fault in the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum FileContentError {
    /// The platform's file is no valid JSON.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A TOML file has a syntax error, or a key that is unknown, missing or of another type. The message shows the line
    /// and the key over several lines.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The value of a key is invalid.
    #[error(transparent)]
    InvalidSetting(#[from] InvalidSetting),
    /// The value of a key is invalid, and the line that sets it was found.
    #[error("line {line}: {error}")]
    InvalidLine {
        /// Number of the line, counted from 1.
        line: usize,
        /// The key, and the fault in its value.
        #[source]
        error: InvalidSetting,
    },
}
