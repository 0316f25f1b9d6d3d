//! The configuration of the platform's front: reads the JSON file that `LB_CONFIG` names, fills missing keys from the
//! environment, and checks every value. This module opens no file but that one, and binds no address.

use super::config_file::read_file;
use super::errors::{ConfigError, ConfigFileKind, SOCKET_ADDRESS_FORM};
use super::settings::{FlatSettings, InvalidSetting};
use crate::limits::descriptors;
use crate::protocol::discovery;
use crate::routing::{Contracts, WorkerListUpdate};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Environment variable with the path of the platform's configuration file.
pub const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Environment variable with the address of the operators' API, for files without the key `operator`.
const OPERATOR_VARIABLE: &str = "LB_OPERATOR";
/// Number of file descriptors that a process may hold, for files without `limits.sockets`.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Memory of a process in MiB, for files without `limits.memory_mb`.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Lowest `limits.memory_mb` that a process can serve with, in MiB.
const MIN_MEMORY_MB: u64 = 16;

/// The checked configuration with which one gatherer starts.
#[derive(Debug)]
pub struct Config {
    /// Name of the gatherer in the log, in records and in membership.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the operators' API; `None` turns the API off.
    pub operator_address: Option<SocketAddr>,
    /// The address of the discovery agent, as host and port.
    pub discovery_address: String,
    /// Number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// The endpoint list in use until discovery sends one.
    pub initial_workers: Option<WorkerListUpdate>,
    /// Longest time between two polls of discovery; `None` if discovery is watched.
    pub max_poll_interval: Option<Duration>,
    /// Whether the platform carries datagrams between gatherers: at most 256 bytes each, and no connections.
    pub peer_datagrams: bool,
    /// Classes, tenants, settings and limits.
    pub contracts: Contracts,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; other environment variables supply the keys that the file lacks. The file
    /// takes precedence because, unlike the environment, it can be replaced while the program runs.
    ///
    /// # Errors
    /// `LB_CONFIG` is not set, or its file cannot be read, is no JSON or has an invalid value.
    pub fn from_platform(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::MissingVariable(CONFIG_VARIABLE))?;
        read_file(&path, ConfigFileKind::Platform, std::fs::read, |bytes| {
            Ok(Config::from_json(&serde_json::from_slice(&bytes)?, variable)?)
        })
    }

    /// Checks the content of the file.
    ///
    /// # Errors
    /// The first key, in the order of the checks, whose value is missing or invalid.
    pub fn from_json(
        json: &Value,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, InvalidSetting> {
        let source = Source { json, variable };
        let listen = source.address("listen", "LB_LISTEN")?;
        let operator_address = source.operator_address()?;
        let seed = seed(json)?;
        let descriptors = limit(json, "sockets", DEFAULT_DESCRIPTORS, descriptors::MIN_DESCRIPTORS as u64)?;
        let memory_mb = limit(json, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?;
        let initial_workers = initial_workers(json)?;
        let mut contracts = contracts(json, seed)?;
        // The transport schedules the polls of discovery, so the decision module must not request polls as well.
        let is_polled = std::mem::replace(&mut contracts.settings.poll_discovery, false);
        Ok(Config {
            name: source.text("name", "LB_NAME")?,
            listen,
            operator_address,
            discovery_address: source.text("discovery", "LB_DISCOVERY")?,
            max_descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
            memory_mb,
            initial_workers,
            max_poll_interval: is_polled.then_some(contracts.settings.poll_within),
            peer_datagrams: json.get("peer_listen").is_some_and(|address| !address.is_null()),
            contracts,
        })
    }
}

/// Reads the address of a gatherer's operators' API from `LB_OPERATOR`, for calls from the command line.
///
/// # Errors
/// `LB_OPERATOR` is not set, or holds no socket address.
pub fn operator_address(variable: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = variable(OPERATOR_VARIABLE).ok_or(ConfigError::MissingVariable(OPERATOR_VARIABLE))?;
    value.parse().map_err(|_| ConfigError::InvalidAddressVariable { variable: OPERATOR_VARIABLE, value })
}

/// The content of the file, and the environment variables that supply the keys it lacks.
struct Source<'a, V> {
    json: &'a Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    /// Whether the file sets `key` to a value other than null.
    fn has(&self, key: &str) -> bool {
        self.json.get(key).is_some_and(|value| !value.is_null())
    }

    /// The text at `key`, or else the value of the environment variable `variable`.
    fn text(&self, key: &str, variable: &str) -> Result<String, InvalidSetting> {
        match self.json.get(key).filter(|value| !value.is_null()) {
            Some(value) => value
                .as_str()
                .map(str::to_owned)
                .ok_or_else(|| InvalidSetting::new(key, format!("found {value}, expected a text"))),
            None => (self.variable)(variable).ok_or_else(|| {
                InvalidSetting::new(key, format!("the key is missing, and {variable} is not set"))
            }),
        }
    }

    /// The socket address at `key`, or else in the environment variable `variable`.
    fn address(&self, key: &str, variable: &str) -> Result<SocketAddr, InvalidSetting> {
        let text = self.text(key, variable)?;
        text.parse().map_err(|_| {
            let origin = if self.has(key) { String::new() } else { format!(" in {variable}") };
            InvalidSetting::new(key, format!("found {text:?}{origin}, expected {SOCKET_ADDRESS_FORM}"))
        })
    }

    /// The address of the operators' API, if the file or the environment sets one.
    fn operator_address(&self) -> Result<Option<SocketAddr>, InvalidSetting> {
        let is_configured = self.has("operator") || (self.variable)(OPERATOR_VARIABLE).is_some();
        is_configured.then(|| self.address("operator", OPERATOR_VARIABLE)).transpose()
    }
}

/// The seed of random choices: a text of hexadecimal digits, or a number. 0 where the file has none, or a number that
/// is no unsigned integer of 64 bits.
fn seed(json: &Value) -> Result<u64, InvalidSetting> {
    match json.get("seed") {
        None => Ok(0),
        Some(Value::Number(number)) => Ok(number.as_u64().unwrap_or(0)),
        Some(seed) => {
            let hex = seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
            hex.ok_or_else(|| {
                InvalidSetting::new("seed", format!("found {seed}, expected a hexadecimal number of 64 bits"))
            })
        }
    }
}

/// The limit at `limits.{key}`, which must be a whole number of at least `min`.
fn limit(json: &Value, key: &str, default: u64, min: u64) -> Result<u64, InvalidSetting> {
    let Some(count) = json.pointer(&format!("/limits/{key}")) else { return Ok(default) };
    count.as_u64().filter(|count| *count >= min).ok_or_else(|| {
        let reason = format!("found {count}, expected a whole number of at least {min}");
        InvalidSetting::new(&format!("limits.{key}"), reason)
    })
}

/// Decodes the endpoint list in the section `known`, which has the form of a response of discovery.
fn initial_workers(json: &Value) -> Result<Option<WorkerListUpdate>, InvalidSetting> {
    let Some(list) = json.get("known").filter(|list| !list.is_null()) else { return Ok(None) };
    discovery::decode_endpoint_list(list.to_string().as_bytes()).map(Some).map_err(|error| {
        InvalidSetting::new(
            "known",
            format!("invalid endpoint list (line and column in its compact form): {error}"),
        )
    })
}

/// Builds the contracts from the section `settings`, without the features that the platform's protocol cannot carry.
fn contracts(json: &Value, seed: u64) -> Result<Contracts, InvalidSetting> {
    let settings =
        json.get("settings").ok_or_else(|| InvalidSetting::new("settings", "the section is missing"))?;
    let mut contracts = FlatSettings::from_json(settings)
        .contracts(seed)
        .map_err(|error| InvalidSetting::new(&format!("settings.{}", error.path), error.reason))?;
    if contracts.settings.shards == 0 {
        let slices = settings.pointer("/domain/slices").unwrap_or(&Value::Null);
        let reason = format!("found {slices}, expected a whole number of at least 1");
        return Err(InvalidSetting::new("settings.domain.slices", reason));
    }
    if contracts.classes.is_empty() {
        return Err(InvalidSetting::new("settings.categories", "found no class, expected at least one"));
    }
    // The platform's protocol has messages for neither second steps nor health checks.
    contracts.settings.classes.iter_mut().for_each(|class| class.second_step_parts = 0);
    contracts.settings.may_health_check = false;
    Ok(contracts)
}
