//! The configuration of the platform's front: reads the environment and the JSON file that `LB_CONFIG` names, and checks
//! both. It opens nothing but that file.

use super::settings::{FlatSettings, InvalidSetting};
use crate::limits::descriptors;
use crate::protocol::discovery;
use crate::routing::{Contracts, WorkerListUpdate};
use crate::transport::errors::is_transient;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of descriptors that a process may hold, where the file does not say.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Memory of a process in MB, where the file does not say.
const DEFAULT_MEMORY_MB: u64 = 256;
/// The least memory that a process can serve with, in MB.
const MIN_MEMORY_MB: u64 = 16;

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
        /// Why it cannot be used.
        error: std::io::Error,
    },
    /// A file is not well-formed, or one of its values cannot be used.
    #[error("{path}: {error}")]
    Malformed {
        /// The file's path.
        path: String,
        /// Why it cannot be used.
        error: String,
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

/// What one gatherer is started with.
#[derive(Debug)]
pub struct Config {
    /// The gatherer's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the operators' API; it is off where there is none.
    pub operator_address: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery_address: String,
    /// Number of descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// The list of workers to start with, until discovery sends one.
    pub initial_workers: Option<WorkerListUpdate>,
    /// Where discovery is polled: the longest time between two polls. `None` where discovery pushes its changes.
    pub max_poll_interval: Option<Duration>,
    /// Whether the platform itself carries datagrams between gatherers, of 256 bytes at most, and nothing else.
    pub peer_datagrams: bool,
    /// Classes, tenants, settings and limits.
    pub contracts: Contracts,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; other variables supply what the file lacks. The file takes precedence
    /// because it alone can be replaced while the program runs.
    ///
    /// # Errors
    /// `LB_CONFIG` is not set, or its file cannot be read or used.
    pub fn from_platform(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = variable("LB_CONFIG").ok_or(ConfigError::MissingVariable("LB_CONFIG"))?;
        let bytes =
            std::fs::read(&path).map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let json: Value = serde_json::from_slice(&bytes)
            .map_err(|error| ConfigError::Malformed { path, error: error.to_string() })?;
        Ok(Config::from_json(&json, variable)?)
    }

    /// Checks the file's content.
    ///
    /// # Errors
    /// Names the first key whose value is missing or cannot be used.
    pub fn from_json(
        json: &Value,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, InvalidSetting> {
        let text = |key: &str, name: &str| {
            match json.get(key).filter(|value| !value.is_null()) {
                Some(value) => value.as_str().map(str::to_owned),
                None => variable(name),
            }
            .ok_or_else(|| InvalidSetting::new(key, "missing, or no text"))
        };
        let address = |key: &str, name: &str| {
            let text = text(key, name)?;
            text.parse().map_err(|_| InvalidSetting::new(key, format!("no address {text:?}")))
        };
        let listen = address("listen", "LB_LISTEN")?;
        let has_operator_address =
            json.get("operator").is_some_and(|value| !value.is_null()) || variable("LB_OPERATOR").is_some();
        let operator = has_operator_address.then(|| address("operator", "LB_OPERATOR")).transpose()?;
        let seed = match json.get("seed") {
            None => 0,
            Some(Value::Number(number)) => number.as_u64().unwrap_or(0),
            Some(seed) => {
                let hex = seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
                hex.ok_or_else(|| InvalidSetting::new("seed", format!("no hexadecimal number {seed}")))?
            }
        };
        let limit = |key: &str, default: u64, min: u64| match json.pointer(&format!("/limits/{key}")) {
            None => Ok(default),
            Some(count) => count.as_u64().filter(|count| *count >= min).ok_or_else(|| {
                InvalidSetting::new(&format!("limits.{key}"), format!("{count}: {min} at least are needed"))
            }),
        };
        let sockets = limit("sockets", DEFAULT_DESCRIPTORS, descriptors::MIN_DESCRIPTORS as u64)?;
        let memory_mb = limit("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?;
        let known = match json.get("known") {
            None | Some(Value::Null) => None,
            Some(list) => Some(
                discovery::decode_endpoint_list(list.to_string().as_bytes())
                    .map_err(|error| InvalidSetting::new("known", error.to_string()))?,
            ),
        };
        let settings = json.get("settings").ok_or_else(|| InvalidSetting::new("settings", "missing"))?;
        let within_settings =
            |error: InvalidSetting| InvalidSetting::new(&format!("settings.{}", error.path), error.reason);
        let mut contracts = FlatSettings::from_json(settings).contracts(seed).map_err(within_settings)?;
        if contracts.settings.shards == 0 {
            return Err(InvalidSetting::new("settings.domain.slices", "there must be one at least"));
        }
        if contracts.classes.is_empty() {
            return Err(InvalidSetting::new("settings.categories", "there must be one at least"));
        }
        // The platform's protocol carries neither follow-up requests nor health checks.
        contracts.settings.classes.iter_mut().for_each(|class| class.second_step_parts = 0);
        contracts.settings.may_health_check = false;
        let polls = contracts.settings.poll_discovery;
        let ask_in = polls.then_some(contracts.settings.poll_within);
        contracts.settings.poll_discovery = false;
        Ok(Config {
            name: text("name", "LB_NAME")?,
            listen,
            operator_address: operator,
            discovery_address: text("discovery", "LB_DISCOVERY")?,
            max_descriptors: usize::try_from(sockets).unwrap_or(usize::MAX),
            memory_mb,
            initial_workers: known,
            max_poll_interval: ask_in,
            peer_datagrams: json.get("peer_listen").is_some_and(|address| !address.is_null()),
            contracts,
        })
    }
}
