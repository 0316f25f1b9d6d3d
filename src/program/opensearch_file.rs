//! The TOML file of the OpenSearch-style front: reads its sections, checks them, and builds the contracts, the request
//! names and the list of index servers from them.

use super::config_file::read_file;
use super::errors::{ConfigError, ConfigFileKind, FileContentError, SOCKET_ADDRESS_FORM};
use super::settings::InvalidSetting;
use crate::fronts::opensearch::RequestMapping;
use crate::limits::descriptors;
use crate::policy::{Class, EndpointStatus, Idempotency, Settings, Tenant, ZoneId};
use crate::routing::{BrokerLimits, Contracts, ListedWorker, WorkerListUpdate};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Content of the file, before the checks.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileContent {
    listen: String,
    zone: String,
    #[serde(default = "default_gatherers")]
    gatherers: u32,
    layout: LayoutSection,
    #[serde(default)]
    limits: LimitsSection,
    class: Vec<ClassSection>,
    #[serde(default)]
    tenant: Vec<TenantSection>,
    #[serde(default)]
    caller: Vec<CallerSection>,
    index: Vec<IndexSection>,
    server: Vec<ServerSection>,
}

fn default_gatherers() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LayoutSection {
    shards: u32,
    cells: u32,
    span: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LimitsSection {
    max_open: usize,
    window: usize,
    connect_timeout_ms: u64,
    idle_ms: u64,
    searches_per_server: usize,
    attempts: u32,
    longest_pause_ms: u64,
    sockets: usize,
    memory_mb: u64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            max_open: 64,
            window: 1000,
            connect_timeout_ms: 250,
            idle_ms: 15_000,
            searches_per_server: 16,
            attempts: 4,
            longest_pause_ms: 1000,
            sockets: 1024,
            memory_mb: 256,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassSection {
    name: String,
    wanted_ms: u64,
    deadline_ms: u64,
    effect: IdempotencyKind,
    #[serde(default = "one")]
    floor: f64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum IdempotencyKind {
    Repeatable,
    Once,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantSection {
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CallerSection {
    id: String,
    tenant: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IndexSection {
    name: String,
    class: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerSection {
    name: String,
    address: String,
    zone: String,
    cell: u32,
}

/// The checked configuration of an OpenSearch-style front.
#[derive(Debug)]
pub struct FrontFile {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// Classes, tenants, settings and limits.
    pub contracts: Contracts,
    /// Indexes and callers by their names in requests.
    pub mapping: RequestMapping,
    /// The index servers.
    pub servers: WorkerListUpdate,
    /// Number of file descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
}

/// Lowest `limits.memory_mb` that a process can serve with, in MiB.
const MIN_MEMORY_MB: u64 = 16;

impl FrontFile {
    /// Reads and checks the file at `path`. `seed` is the seed of random choices.
    ///
    /// # Errors
    /// The file cannot be read, is no valid TOML, or has an unknown key or an invalid value.
    pub fn read(path: &str, seed: u64) -> Result<FrontFile, ConfigError> {
        read_file(path, ConfigFileKind::OpenSearchFront, std::fs::read_to_string, |text| {
            FrontFile::parse(&text, seed)
        })
    }

    /// Parses and checks the text of a file. `seed` is the seed of random choices.
    ///
    /// # Errors
    /// Names the line with a syntax error or an unknown key, or else the first key with an invalid value.
    pub fn parse(text: &str, seed: u64) -> Result<FrontFile, FileContentError> {
        let file: FileContent = toml::from_str(text)?;
        Ok(file.check(seed)?)
    }
}

impl FileContent {
    /// Checks the sections in their order, and builds the configuration from them.
    fn check(&self, seed: u64) -> Result<FrontFile, InvalidSetting> {
        let invalid_listen = |_| InvalidSetting::unexpected("listen", &self.listen, SOCKET_ADDRESS_FORM);
        let listen = self.listen.parse::<SocketAddr>().map_err(invalid_listen)?;
        self.check_layout()?;
        self.check_limits()?;
        let classes = self.classes()?;
        let workers = self.listed_workers()?;
        let contracts = self.contracts(seed, classes);
        let mapping = self.request_mapping(&contracts)?;
        let servers = WorkerListUpdate { revision: 0, complete: true, workers };
        let LimitsSection { sockets, memory_mb, .. } = self.limits;
        Ok(FrontFile { listen, contracts, mapping, servers, sockets, memory_mb })
    }

    fn check_layout(&self) -> Result<(), InvalidSetting> {
        let LayoutSection { shards, cells, span } = self.layout;
        for (key, count) in [("shards", shards), ("cells", cells)] {
            if count == 0 {
                return Err(InvalidSetting::new("layout", format!("{key} is 0, expected at least 1")));
            }
        }
        if !(1..=cells).contains(&span) {
            let reason = format!("span is {span}, expected 1 to layout.cells ({cells})");
            return Err(InvalidSetting::new("layout", reason));
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), InvalidSetting> {
        let LimitsSection { max_open, window, searches_per_server, attempts, .. } = self.limits;
        let positive = [
            ("window", window),
            ("searches_per_server", searches_per_server),
            ("attempts", attempts as usize),
        ];
        for (key, count) in positive {
            if count == 0 {
                return Err(InvalidSetting::new("limits", format!("{key} is 0, expected at least 1")));
            }
        }
        let shards = self.layout.shards;
        if max_open <= shards as usize {
            let reason = format!("max_open is {max_open}, expected more than layout.shards ({shards})");
            return Err(InvalidSetting::new("limits", reason));
        }
        let LimitsSection { sockets, memory_mb, .. } = self.limits;
        if sockets < descriptors::MIN_DESCRIPTORS {
            let expected = format!("at least {}", descriptors::MIN_DESCRIPTORS);
            return Err(InvalidSetting::unexpected("limits.sockets", sockets, expected));
        }
        if memory_mb < MIN_MEMORY_MB {
            let expected = format!("at least {MIN_MEMORY_MB}");
            return Err(InvalidSetting::unexpected("limits.memory_mb", memory_mb, expected));
        }
        // The rest is for the descriptors that are guaranteed to clients, files and discovery.
        let max_connections = sockets / 16 * 7;
        let servers = self.server.len();
        if servers.saturating_mul(searches_per_server) > max_connections {
            let expected = format!(
                "at most {}: all servers ({servers}) share {max_connections} connections, 7/16 of limits.sockets",
                max_connections / servers
            );
            let key = "limits.searches_per_server";
            return Err(InvalidSetting::unexpected(key, searches_per_server, expected));
        }
        Ok(())
    }

    fn classes(&self) -> Result<Vec<Class>, InvalidSetting> {
        let mut classes = Vec::new();
        for (position, class) in self.class.iter().enumerate() {
            let key = |name: &str| format!("class.{position}.{name}");
            if class.wanted_ms == 0 || class.wanted_ms > class.deadline_ms {
                let expected = format!("1 to deadline_ms ({})", class.deadline_ms);
                return Err(InvalidSetting::unexpected(&key("wanted_ms"), class.wanted_ms, expected));
            }
            if !(class.floor > 0.0 && class.floor <= 1.0) {
                let expected = "a share above 0 and at most 1";
                return Err(InvalidSetting::unexpected(&key("floor"), class.floor, expected));
            }
            classes.push(Class {
                latency_objective: Duration::from_millis(class.wanted_ms),
                objective_stretch: 0.0,
                deadline: Duration::from_millis(class.deadline_ms),
                idempotency: match class.effect {
                    IdempotencyKind::Repeatable => Idempotency::Idempotent,
                    IdempotencyKind::Once => Idempotency::NonIdempotent,
                },
                repeat_window: Duration::ZERO,
                priority_weight: class.worth,
                late_weight: class.late_worth,
                min_coverage: class.floor,
                complete_coverage: 1.0,
                partial_weight: 1.0,
                second_step_parts: 0,
            });
        }
        Ok(classes)
    }

    /// Checks the index servers, and lists them as discovery lists workers.
    fn listed_workers(&self) -> Result<Vec<ListedWorker>, InvalidSetting> {
        let mut workers = Vec::new();
        let cells = self.layout.cells;
        for (position, server) in self.server.iter().enumerate() {
            if server.cell >= cells {
                let expected = format!("0 to {}: layout.cells is {cells}", cells - 1);
                return Err(InvalidSetting::unexpected(
                    &format!("server.{position}.cell"),
                    server.cell,
                    expected,
                ));
            }
            workers.push(ListedWorker {
                name: server.name.clone(),
                address: server.address.clone(),
                zone: server.zone.clone(),
                cell: server.cell,
                status: EndpointStatus::Active,
                units: 1.0,
                started_at: None,
            });
        }
        Ok(workers)
    }

    /// Lists the names of all zones; the first is the gatherer's own, which the settings name as zone 0.
    fn zones(&self) -> Vec<String> {
        let mut zones = vec![self.zone.clone()];
        for server in &self.server {
            if !zones.contains(&server.zone) {
                zones.push(server.zone.clone());
            }
        }
        zones
    }

    fn contracts(&self, seed: u64, classes: Vec<Class>) -> Contracts {
        Contracts {
            settings: Settings {
                seed,
                fleet_size: self.gatherers.max(1),
                zone: ZoneId(0),
                classes,
                tenants: self
                    .tenant
                    .iter()
                    .map(|tenant| Tenant { quota_per_s: tenant.quota_per_s })
                    .collect(),
                min_step_interval: Duration::from_millis(5),
                may_cancel: true,
                hedging_allowed: true,
                max_attempts: Some(self.limits.attempts),
                max_retry_after: Some(Duration::from_millis(self.limits.longest_pause_ms)),
                cells: self.layout.cells,
                cells_per_shard: self.layout.span,
                shards: self.layout.shards,
                parts_per_call: 1,
                keys_are_cached: true,
                cold_capacity_fraction: 1.0,
                slow_start_budget_factor: 1.0,
                response_grace: Duration::from_millis(20),
                ..Settings::default()
            },
            classes: self.class.iter().map(|class| class.name.clone()).collect(),
            tenants: self.tenant.iter().map(|tenant| tenant.name.clone()).collect(),
            zones: self.zones(),
            limits: BrokerLimits {
                max_open_requests: self.limits.max_open,
                connect_timeout: Duration::from_millis(self.limits.connect_timeout_ms),
                connection_idle_timeout: Duration::from_millis(self.limits.idle_ms),
                max_parts_per_connection: self.limits.searches_per_server,
                // The file is the list of servers and has no draining state.
                drain_grace: Duration::ZERO,
                may_gossip: true,
            },
        }
    }

    /// Resolves the class of each index and the tenant of each caller.
    fn request_mapping(&self, contracts: &Contracts) -> Result<RequestMapping, InvalidSetting> {
        let mut mapping = RequestMapping { window: self.limits.window, ..RequestMapping::default() };
        for (position, index) in self.index.iter().enumerate() {
            let class = contracts.class(&index.class).map(|class| class.0);
            let unknown_class = || {
                let expected = format!("the name of a class: {}", contracts.classes.join(", "));
                InvalidSetting::unexpected(&format!("index.{position}.class"), &index.class, expected)
            };
            mapping.indexes.insert(index.name.clone(), class.ok_or_else(unknown_class)?);
        }
        for (position, caller) in self.caller.iter().enumerate() {
            let tenant = contracts.tenant(&caller.tenant);
            let unknown_tenant = || {
                let expected = format!("the name of a tenant: {}", contracts.tenants.join(", "));
                InvalidSetting::unexpected(&format!("caller.{position}.tenant"), &caller.tenant, expected)
            };
            mapping.callers.insert(caller.id.clone(), tenant.ok_or_else(unknown_tenant)?);
        }
        Ok(mapping)
    }
}
