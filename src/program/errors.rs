//! The errors of the program's commands, and the exit status that reports each.
//!
//! [`CommandError`] is what a command fails with. It wraps one error of each layer below: [`ConfigError`] where a file or the
//! environment cannot be used, which wraps [`FileContentError`] where a file was read and its content is wrong.

use super::settings::InvalidSetting;
use crate::limits::descriptors::DescriptorLimitTooLow;
use crate::transport::errors::is_transient;
use std::fmt;
use std::io;

/// Exit status of a command whose configuration cannot be used.
const CONFIGURATION_EXIT_STATUS: u8 = 2;
/// Exit status of a command that failed in any other way.
const OTHER_EXIT_STATUS: u8 = 1;
/// Form of a socket address, as error messages describe it.
pub(super) const SOCKET_ADDRESS_FORM: &str = "IP:PORT";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The system allows too few descriptors to serve with.
    #[error(transparent)]
    TooFewDescriptors(#[from] DescriptorLimitTooLow),
    /// A call to the operating system failed.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The number of damaged lines in the records that were read.
    #[error("records: {0} damaged lines")]
    DamagedRecords(u64),
}

/// Adds the object of a failed system call to its error, as in `map_err(with_context("cannot listen at 10.0.0.1:80"))`.
/// The error that this makes has no code of the system: call it after [`is_transient`] has been asked.
pub(super) fn with_context(context: impl fmt::Display) -> impl FnOnce(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("{context}: {error}"))
}

impl CommandError {
    /// The exit status of the process: 2 for a configuration that cannot be used, else 1.
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

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable of the environment is not set.
    #[error("environment variable {0} is not set")]
    MissingVariable(&'static str),
    /// A variable of the environment holds no socket address.
    #[error("environment variable {variable}: found {value:?}, expected {SOCKET_ADDRESS_FORM}")]
    InvalidAddressVariable {
        /// Name of the variable.
        variable: &'static str,
        /// Text that the variable holds.
        value: String,
    },
    /// A file cannot be read.
    #[error("{path}: cannot read the {kind}: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// What the file was read for.
        kind: ConfigFileKind,
        /// Why it cannot be read.
        #[source]
        error: io::Error,
    },
    /// A file is not well-formed, or one of its values cannot be used.
    #[error("{path}: {error}")]
    Malformed {
        /// The file's path.
        path: String,
        /// What is wrong with its content.
        #[source]
        error: FileContentError,
    },
}

impl ConfigError {
    /// Whether reading the file again in a moment may succeed.
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

/// What is wrong with the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum FileContentError {
    /// The platform's file is not JSON.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A TOML file has a syntax error, or a key that is unknown, missing or of another type. The message shows the line and
    /// the key over several lines.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The value of one key cannot be used.
    #[error(transparent)]
    InvalidSetting(#[from] InvalidSetting),
    /// The value that a line sets cannot be used.
    #[error("line {line}: {error}")]
    InvalidLine {
        /// Number of the line, from 1.
        line: usize,
        /// The key, and what is wrong with its value.
        #[source]
        error: InvalidSetting,
    },
}
