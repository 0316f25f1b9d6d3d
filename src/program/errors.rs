//! The errors of the program's commands, and the exit status that reports each.
//!
//! [`CommandError`] is what a command fails with. It wraps one error of each layer below: [`ConfigError`] where a file or the
//! environment cannot be used, which wraps [`FileContentError`] where a file was read and its content is wrong.

use super::settings::InvalidSetting;
use crate::limits::descriptors::DescriptorLimitTooLow;
use crate::transport::errors::is_transient;
use std::io;

/// Exit status of a command whose configuration cannot be used.
const CONFIGURATION_EXIT_STATUS: u8 = 2;
/// Exit status of a command that failed in any other way.
const OTHER_EXIT_STATUS: u8 = 1;

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
    #[error("{0} lines do not count")]
    DamagedRecords(u64),
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
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// A file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
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
    /// The value of one key cannot be used.
    #[error("configuration: {0}")]
    InvalidSetting(#[from] InvalidSetting),
}

impl ConfigError {
    /// Whether reading the file again in a moment may succeed.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable { error, .. } if is_transient(error))
    }
}

/// What is wrong with the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum FileContentError {
    /// The platform's file is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The OpenSearch-style front's file has not the form that its sections ask for.
    #[error(transparent)]
    FrontToml(toml::de::Error),
    /// The operator's file has not the form that its sections ask for. The message shows the line and the key over several
    /// lines, and begins on a line of its own.
    #[error("\n{0}")]
    OperatorToml(#[source] toml::de::Error),
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
