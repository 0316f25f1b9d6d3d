//! The configuration of the platform's front: reads the environment and the JSON file that `LB_CONFIG` names, and checks
//! both. It opens nothing but that file.

use super::config_file::read_file;
use super::errors::{ConfigError, ConfigFileKind, SOCKET_ADDRESS_FORM};
use super::settings::{FlatSettings, InvalidSetting};
use crate::limits::descriptors;
use crate::protocol::discovery;
use crate::routing::{Contracts, WorkerListUpdate};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The variable that names the platform's file.
pub const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The variable with the address of the operators' API, where the file has none.
const OPERATOR_VARIABLE: &str = "LB_OPERATOR";
/// Number of descriptors that a process may hold, where the file does not say.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Memory of a process in MB, where the file does not say.
const DEFAULT_MEMORY_MB: u64 = 256;
/// The least memory that a process can serve with, in MB.
const MIN_MEMORY_MB: u64 = 16;

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
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::MissingVariable(CONFIG_VARIABLE))?;
        read_file(&path, ConfigFileKind::Platform, std::fs::read, |bytes| {
            Ok(Config::from_json(&serde_json::from_slice(&bytes)?, variable)?)
        })
    }

    /// Checks the file's content.
    ///
    /// # Errors
    /// Names the first key whose value is missing or cannot be used.
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
        // The transport polls discovery by itself, so that the decision module must not request polls too.
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

/// The address of a gatherer's operators' API, for a call to it from the command line.
///
/// # Errors
/// `LB_OPERATOR` is not set, or is no address.
pub fn operator_address(variable: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = variable(OPERATOR_VARIABLE).ok_or(ConfigError::MissingVariable(OPERATOR_VARIABLE))?;
    value.parse().map_err(|_| ConfigError::InvalidAddressVariable { variable: OPERATOR_VARIABLE, value })
}

/// The file's content, and the variables that supply what it lacks.
struct Source<'a, V> {
    json: &'a Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    /// Whether the file sets `key`.
    fn has(&self, key: &str) -> bool {
        self.json.get(key).is_some_and(|value| !value.is_null())
    }

    /// The text at `key`, or else that of the variable.
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

    /// The address at `key`, or else that of the variable.
    fn address(&self, key: &str, variable: &str) -> Result<SocketAddr, InvalidSetting> {
        let text = self.text(key, variable)?;
        text.parse().map_err(|_| {
            let origin = if self.has(key) { String::new() } else { format!(" in {variable}") };
            InvalidSetting::new(key, format!("found {text:?}{origin}, expected {SOCKET_ADDRESS_FORM}"))
        })
    }

    /// The address of the operators' API, if there is one.
    fn operator_address(&self) -> Result<Option<SocketAddr>, InvalidSetting> {
        let is_configured = self.has("operator") || (self.variable)(OPERATOR_VARIABLE).is_some();
        is_configured.then(|| self.address("operator", OPERATOR_VARIABLE)).transpose()
    }
}

/// The seed: a hexadecimal text, or a number.
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

/// One of the process's limits.
fn limit(json: &Value, key: &str, default: u64, min: u64) -> Result<u64, InvalidSetting> {
    let Some(count) = json.pointer(&format!("/limits/{key}")) else { return Ok(default) };
    count.as_u64().filter(|count| *count >= min).ok_or_else(|| {
        let reason = format!("found {count}, expected a whole number of at least {min}");
        InvalidSetting::new(&format!("limits.{key}"), reason)
    })
}

/// The list of workers to start with, in discovery's form.
fn initial_workers(json: &Value) -> Result<Option<WorkerListUpdate>, InvalidSetting> {
    let Some(list) = json.get("known").filter(|list| !list.is_null()) else { return Ok(None) };
    discovery::decode_endpoint_list(list.to_string().as_bytes()).map(Some).map_err(|error| {
        InvalidSetting::new(
            "known",
            format!("invalid endpoint list (line and column in its compact form): {error}"),
        )
    })
}

/// The contracts that the section `settings` describes, within what the platform's protocol carries.
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
    // The protocol carries neither follow-up requests nor health checks.
    contracts.settings.classes.iter_mut().for_each(|class| class.second_step_parts = 0);
    contracts.settings.may_health_check = false;
    Ok(contracts)
}
