//! Why a command of the program ends without success, and the exit status that tells of it.

use super::config;
use std::io;

/// Exit status of a command whose configuration cannot be used.
const CONFIGURATION: u8 = 2;
/// Exit status of a command that failed in any other way.
const OTHER: u8 = 1;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Its configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] config::Error),
    /// The system refused what it needs.
    #[error(transparent)]
    System(#[from] io::Error),
    /// So many lines of the records are damaged.
    #[error("{0} lines do not count")]
    Damaged(u64),
}

impl Failure {
    /// The exit status of the process: 2 for a configuration that cannot be used, else 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Failure::Configuration(_) => CONFIGURATION,
            Failure::System(_) | Failure::Damaged(_) => OTHER,
        }
    }
}
