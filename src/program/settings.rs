//! The settings of an instance, keyed by path. The only module that parses, checks and defaults them, from the
//! simulator's `path=value` pairs as well as from nested JSON. It reads no file.

use crate::policy::{Class, Idempotency, ReportSource, RetryBudget, Settings, Tenant, ZoneId};
use crate::protocol::frame;
use crate::routing::{BrokerLimits, Contracts};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Number of queries and parts that may be open, where `allowed.max-open` is absent or 0.
const DEFAULT_MAX_OPEN_REQUESTS: u32 = 10_000;
/// Time-out of a connection attempt, where `allowed.connect-timeout` is absent.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a draining worker still accepts queries, where `rules.drain-grace` is absent.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Idle time-out of a connection to a worker, where `allowed.conn-idle` is absent.
const DEFAULT_CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of parts in flight on one connection, where `allowed.multiplex` is absent or 0.
const DEFAULT_PARTS_PER_CONNECTION: u32 = 32;

/// A setting whose value is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct InvalidSetting {
    /// Path of the key.
    pub path: String,
    /// Fault in the value, and the values that are accepted.
    pub reason: String,
}

impl InvalidSetting {
    /// Creates an error for the key at `path`.
    pub fn new(path: &str, reason: impl Into<String>) -> InvalidSetting {
        InvalidSetting { path: path.to_owned(), reason: reason.into() }
    }

    /// Creates an error for the key at `path` that names the value found and describes the accepted ones.
    pub(super) fn unexpected(
        path: &str,
        found: impl fmt::Debug,
        expected: impl fmt::Display,
    ) -> InvalidSetting {
        InvalidSetting::new(path, format!("found {found:?}, expected {expected}"))
    }
}

/// Settings keyed by path, as texts. Durations are in nanoseconds. An absent setting takes the default of [`Settings`].
#[derive(Debug, Default)]
pub struct FlatSettings(HashMap<String, String>);

impl FlatSettings {
    /// Parses `path=value` pairs separated by spaces. A `-` stands for no pair.
    ///
    /// # Errors
    /// The first pair without `=`.
    pub fn from_text(text: &str) -> Result<FlatSettings, InvalidSetting> {
        let mut values = HashMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty() && *pair != "-") {
            let Some((path, value)) = pair.split_once('=') else {
                return Err(InvalidSetting::new(&format!("{pair:?}"), "expected path=value"));
            };
            values.insert(path.to_owned(), value.to_owned());
        }
        Ok(FlatSettings(values))
    }

    /// Flattens nested JSON: a field has the path `a.b`, an item of a list `a.0`, and the length of the list `a.count`.
    #[must_use]
    pub fn from_json(value: &Value) -> FlatSettings {
        let mut settings = FlatSettings::default();
        settings.flatten("", value);
        settings
    }

    /// Adds the value at `path` and all values below it.
    fn flatten(&mut self, path: &str, value: &Value) {
        let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                fields.iter().for_each(|(name, value)| self.flatten(&child(name), value))
            }
            Value::Array(items) => {
                self.0.insert(child("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(index, item)| self.flatten(&child(&index.to_string()), item));
                // A list of scalars is also stored under its own path, joined by commas, as the simulator writes it.
                if items.iter().all(|item| !item.is_object() && !item.is_array()) {
                    let joined: Vec<String> = items.iter().map(scalar_text).collect();
                    self.0.insert(path.to_owned(), joined.join(","));
                }
            }
            value => {
                self.0.insert(path.to_owned(), scalar_text(value));
            }
        }
    }

    /// The text at `path`; `None` if it is absent, empty or `-`.
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str).filter(|value| !value.is_empty() && *value != "-")
    }
    /// The number at `path`, which must be finite.
    fn number(&self, path: &str) -> Result<Option<f64>, InvalidSetting> {
        let Some(value) = self.text(path) else { return Ok(None) };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(InvalidSetting::unexpected(path, value, "a number")),
        }
    }
    /// The number at `path` without its fraction; 0 if it is absent or negative.
    fn count(&self, path: &str) -> Result<u32, InvalidSetting> {
        Ok(self.number(path)?.unwrap_or(0.0).max(0.0) as u32)
    }
    /// The duration at `path`, given in nanoseconds; a negative one counts as zero.
    fn duration(&self, path: &str) -> Result<Option<Duration>, InvalidSetting> {
        Ok(self.number(path)?.map(|nanoseconds| Duration::from_nanos(nanoseconds.max(0.0) as u64)))
    }
    /// The flag at `path`; false if it is absent.
    fn flag(&self, path: &str) -> Result<bool, InvalidSetting> {
        match self.text(path) {
            None | Some("false" | "0") => Ok(false),
            Some("true" | "1") => Ok(true),
            Some(value) => Err(InvalidSetting::unexpected(path, value, "true, 1, false or 0")),
        }
    }
    /// The number for one class: at its numbered path, or else in the comma-separated list at `path`, whose last item
    /// holds for all further classes.
    fn by_class(&self, path: &str, class: usize) -> Result<Option<f64>, InvalidSetting> {
        let numbered = format!("{path}.{class}");
        if self.text(&numbered).is_some() {
            return self.number(&numbered);
        }
        let Some(list) = self.text(path) else { return Ok(None) };
        let item = list.split(',').nth(class).or_else(|| list.split(',').next_back());
        item.map(|item| item.parse().map_err(|_| InvalidSetting::unexpected(path, item, "a number")))
            .transpose()
    }
    /// The names at the numbered paths `path.0` and so on, or else in the comma-separated list at `path`.
    fn names(&self, path: &str) -> Vec<String> {
        let numbered: Vec<String> =
            (0..).map_while(|index| self.text(&format!("{path}.{index}")).map(str::to_owned)).collect();
        if !numbered.is_empty() {
            return numbered;
        }
        self.text(path).map(|list| list.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }

    /// Builds the contracts of an instance with this seed.
    ///
    /// # Errors
    /// The first setting, in the order of the checks, whose value is invalid.
    pub fn contracts(&self, seed: u64) -> Result<Contracts, InvalidSetting> {
        let name_or_index = |list: &str, index: u32| {
            self.text(&format!("{list}.{index}.name")).map_or_else(|| index.to_string(), str::to_owned)
        };
        let (classes, tenants) = (self.count("categories.count")?, self.count("tenants.count")?);
        Ok(Contracts {
            settings: self.settings(seed)?,
            classes: (0..classes).map(|index| name_or_index("categories", index)).collect(),
            tenants: (0..tenants).map(|index| name_or_index("tenants", index)).collect(),
            zones: self.names("localities"),
            limits: BrokerLimits {
                max_open_requests: match self.count("allowed.max-open")? {
                    0 => DEFAULT_MAX_OPEN_REQUESTS as usize,
                    max => max as usize,
                },
                connect_timeout: self.duration("allowed.connect-timeout")?.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
                connection_idle_timeout: self
                    .duration("allowed.conn-idle")?
                    .unwrap_or(DEFAULT_CONNECTION_IDLE_TIMEOUT),
                max_parts_per_connection: match self.count("allowed.multiplex")? {
                    0 => DEFAULT_PARTS_PER_CONNECTION as usize,
                    max => max as usize,
                },
                drain_grace: self.duration("rules.drain-grace")?.unwrap_or(DEFAULT_DRAIN_GRACE),
                may_gossip: self.text("allowed.may-tell").is_none() || self.flag("allowed.may-tell")?,
            },
        })
    }

    fn class(&self, index: usize) -> Result<Class, InvalidSetting> {
        let path = |name: &str| format!("categories.{index}.{name}");
        let deadline = self.duration(&path("deadline"))?.unwrap_or_default();
        let complete_coverage = self.by_class("domain.whole-at", index)?.unwrap_or(1.0);
        Ok(Class {
            latency_objective: self.duration(&path("promise"))?.unwrap_or(deadline),
            objective_stretch: self.number(&path("aim-stretch"))?.unwrap_or(0.0),
            deadline,
            idempotency: match self.text(&path("semantics")) {
                Some("repeatable") => Idempotency::Idempotent,
                Some("by_key") => Idempotency::Keyed,
                Some("once") | None => Idempotency::NonIdempotent,
                Some(other) => {
                    return Err(InvalidSetting::unexpected(
                        &path("semantics"),
                        other,
                        "repeatable, by_key or once",
                    ));
                }
            },
            repeat_window: self.duration(&path("window"))?.unwrap_or_default(),
            priority_weight: self.number(&path("worth"))?.unwrap_or(1.0),
            late_weight: self.number(&path("late-worth"))?.unwrap_or(0.0),
            min_coverage: self.by_class("domain.min-share", index)?.unwrap_or(complete_coverage),
            complete_coverage,
            partial_weight: self.by_class("domain.short-worth", index)?.unwrap_or(0.0),
            second_step_parts: self.by_class("domain.follow-up", index)?.unwrap_or(0.0).max(0.0) as u32,
        })
    }

    fn tenants(&self) -> Result<Vec<Tenant>, InvalidSetting> {
        let tenant =
            |index| Ok(Tenant { quota_per_s: self.number(&format!("tenants.{index}.quota-per-s"))? });
        (0..self.count("tenants.count")?).map(tenant).collect()
    }

    fn retry_budget(&self) -> Result<Option<RetryBudget>, InvalidSetting> {
        let Some(window) = self.duration("rules.look-back")? else { return Ok(None) };
        Ok(Some(RetryBudget {
            free_attempts: self.number("rules.free-resends")?.unwrap_or(0.0),
            ratio: self.number("rules.further-ratio")?.unwrap_or(0.0),
            window,
        }))
    }

    fn max_retry_after(&self) -> Result<Option<Duration>, InvalidSetting> {
        if !self.flag("allowed.retry-after")? {
            return Ok(None);
        }
        self.duration("allowed.max-retry-after")
    }

    fn report_source(&self) -> ReportSource {
        match self.text("report.source") {
            Some("piggyback") => ReportSource::Responses,
            Some("pull") => ReportSource::HealthChecks,
            _ => ReportSource::None,
        }
    }

    /// Builds the settings of the decision module. If several values are invalid, the error names the first in the
    /// order in which they are read here.
    fn settings(&self, seed: u64) -> Result<Settings, InvalidSetting> {
        let class_count = self.count("categories.count")? as usize;
        let tenants = self.tenants()?;
        let retry_budget = self.retry_budget()?;
        Ok(Settings {
            seed,
            fleet_size: self.count("balancers")?.max(1),
            zone: ZoneId(self.count("az")?),
            classes: (0..class_count).map(|index| self.class(index)).collect::<Result<_, _>>()?,
            tenants,
            over_quota_weight: self.number("over-share-worth")?,
            min_step_interval: self.duration("quantum")?.unwrap_or_default(),
            poll_discovery: self.text("discovery") == Some("on_request"),
            poll_within: self.duration("rules.must-ask-in")?.unwrap_or_default(),
            may_cancel: self.flag("allowed.cancel")?,
            may_health_check: self.flag("allowed.probing")?,
            hedging_allowed: self.flag("allowed.second-copies")?,
            max_attempts: self.number("allowed.most-tries")?.map(|max| max.max(1.0) as u32),
            max_retry_after: self.max_retry_after()?,
            retry_budget,
            cells: self.count("domain.cells")?,
            cells_per_shard: self.count("domain.span")?.max(1),
            shards: self.count("domain.slices")?,
            parts_per_call: self.count("domain.per-call")?.max(1),
            call_cost: self.duration("domain.call")?.unwrap_or_default(),
            keys_are_cached: self.flag("domain.warm-keys")?,
            cross_zone_price: self.number("deductions.cross-zone")?.unwrap_or(0.0),
            waste_price: self.number("deductions.waste")?.unwrap_or(0.0),
            health_check_price: self.number("deductions.probe")?.unwrap_or(0.0),
            report_source: self.report_source(),
            report_fields: self.names("report.fields").iter().map(|name| frame::report_field(name)).collect(),
            sizes_comparable: self.text("weights").is_some_and(|weights| weights != "silent"),
            cold_capacity_fraction: self.number("rules.cold-share")?.unwrap_or(1.0),
            warm_up: self.duration("rules.warm-up")?.unwrap_or_default(),
            slow_start_budget_factor: self.number("rules.fall-multiple")?.unwrap_or(1.0),
            slow_start_budget_window: self.duration("rules.fall")?.unwrap_or_default(),
            response_grace: self.duration("rules.grace-to-answer")?.unwrap_or_default(),
        })
    }
}

/// Formats a JSON value that is no object and no list as the simulator writes it; null is `-`.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    }
}
