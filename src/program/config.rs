//! Configuration of the real gatherer: the platform's variables and its JSON file, read and checked here.

use super::settings::{FlatSettings, InvalidSetting};
use crate::limits::descriptors;
use crate::protocol::discovery;
use crate::routing::{Contracts, WorkerListUpdate};
use crate::transport::errors::is_transient;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors that a process may hold, and its memory, where the platform does not say.
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 256;
/// The least memory to serve in.
const LEAST_MEMORY_MB: u64 = 16;

/// Why there is no usable configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A variable of the environment.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file that cannot be read.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// A file that is not in its form.
    #[error("{path}: {error}")]
    Form {
        /// The file.
        path: String,
        /// Why.
        error: String,
    },
    /// A key.
    #[error("configuration: {0}")]
    Key(#[from] InvalidSetting),
}

impl Error {
    /// Whether reading again in a moment may do better.
    pub fn may_pass(&self) -> bool {
        matches!(self, Error::File { error, .. } if is_transient(error))
    }
}

/// What a gatherer is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub operator_address: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery_address: String,
    /// Descriptors that it may hold.
    pub max_descriptors: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: u64,
    /// The list of workers as it was last held.
    pub initial_workers: Option<WorkerListUpdate>,
    /// Where discovery has to be asked: the time in which it must be.
    pub max_poll_interval: Option<Duration>,
    /// The platform itself carries datagrams between gatherers, of 256 bytes at most, and nothing else.
    pub peer_datagrams: bool,
    /// Contracts and limits.
    pub contracts: Contracts,
}

impl Config {
    /// Reads what the platform says: the file that `LB_CONFIG` names; the other variables fill in what it lacks. The
    /// file goes first because it alone can be replaced while the program runs.
    pub fn from_platform(variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
        let path = variable("LB_CONFIG").ok_or(Error::Unset("LB_CONFIG"))?;
        let bytes = std::fs::read(&path).map_err(|error| Error::File { path: path.clone(), error })?;
        let json: Value =
            serde_json::from_slice(&bytes).map_err(|error| Error::Form { path, error: error.to_string() })?;
        Ok(Config::from_json(&json, variable)?)
    }

    /// Checks the file's content.
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
        let operated =
            json.get("operator").is_some_and(|value| !value.is_null()) || variable("LB_OPERATOR").is_some();
        let operator = operated.then(|| address("operator", "LB_OPERATOR")).transpose()?;
        let seed = match json.get("seed") {
            None => 0,
            Some(Value::Number(number)) => number.as_u64().unwrap_or(0),
            Some(seed) => {
                let hex = seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
                hex.ok_or_else(|| InvalidSetting::new("seed", format!("no hexadecimal number {seed}")))?
            }
        };
        let limit = |key: &str, absent: u64, least: u64| match json.pointer(&format!("/limits/{key}")) {
            None => Ok(absent),
            Some(count) => count.as_u64().filter(|count| *count >= least).ok_or_else(|| {
                InvalidSetting::new(&format!("limits.{key}"), format!("{count}: {least} at least are needed"))
            }),
        };
        let sockets = limit("sockets", SOCKETS, descriptors::MIN_DESCRIPTORS as u64)?;
        let memory_mb = limit("memory_mb", MEMORY_MB, LEAST_MEMORY_MB)?;
        let known = match json.get("known") {
            None | Some(Value::Null) => None,
            Some(list) => Some(
                discovery::decode_endpoint_list(list.to_string().as_bytes())
                    .map_err(|error| InvalidSetting::new("known", error.to_string()))?,
            ),
        };
        let settings = json.get("settings").ok_or_else(|| InvalidSetting::new("settings", "missing"))?;
        let within =
            |fault: InvalidSetting| InvalidSetting::new(&format!("settings.{}", fault.path), fault.reason);
        let mut contracts = FlatSettings::from_json(settings).contracts(seed).map_err(within)?;
        if contracts.settings.shards == 0 {
            return Err(InvalidSetting::new("settings.domain.slices", "there must be one at least"));
        }
        if contracts.classes.is_empty() {
            return Err(InvalidSetting::new("settings.categories", "there must be one at least"));
        }
        // Neither has a form on the platform's wires: an answer ends a query, and nothing is probed or asked for.
        contracts.settings.classes.iter_mut().for_each(|class| class.second_step_parts = 0);
        contracts.settings.may_health_check = false;
        let asked = contracts.settings.poll_discovery;
        let ask_in = asked.then_some(contracts.settings.poll_within);
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
