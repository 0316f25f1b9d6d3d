//! The life of a process that serves: reads the configuration, wires the layers together, serves one front, reloads at
//! SIGHUP and shuts down at SIGTERM.

use super::command_error::CommandError;
use super::config::{Config, ConfigError};
use super::members;
use super::opensearch_file::FrontFile;
use super::operator::OperatorFile;
use super::recording::Recording;
use super::reload::reload_on_signal;
use super::resource_limits::ProcessLimits;
use super::signals::{self, ShutdownSignal};
use super::upgrade::Upgrade;
use crate::fronts::counters_text;
use crate::fronts::opensearch::OpenSearchFront;
use crate::fronts::operators::OperatorFront;
use crate::fronts::platform::PlatformFront;
use crate::limits::Backoff;
use crate::policy::Settings;
use crate::routing::{Broker, Clock, Contracts, Core, Invariant, WorkerTransport};
use crate::service::lifecycle::LifecycleRequest;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::connector::{Connector, TcpConnector};
use crate::transport::descriptor_pool::DescriptorPool;
use crate::transport::discovery;
use crate::transport::errors::{self, RetryDelays};
use crate::transport::index_servers::IndexServers;
use crate::transport::listener::{self, Front};
use crate::transport::membership::{MEMBERSHIP_CONNECTIONS, MembershipTransport};
use crate::transport::operator_api;
use crate::transport::workers::Workers;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch::Sender;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::Instant;

/// Number of descriptors that a process with an operators' API opens after it has read its limits: the clients' listener,
/// the takeover socket, and the connection to the other process of an upgrade.
const UPGRADE_DESCRIPTORS: usize = 3;
/// Number of descriptors for membership: its two sockets, and connections to and from other members.
const MEMBERSHIP_DESCRIPTORS: usize = 2 + MEMBERSHIP_CONNECTIONS;
/// How often a shutdown checks whether every query has its response.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the longest deadline in which clients may still read their responses; then the process ends.
const RESPONSE_READ_GRACE: Duration = Duration::from_millis(300);

/// How long a call that the start needs is retried after transient errors, before the start fails.
pub const STARTUP_RETRY_LIMIT: Duration = Duration::from_secs(8);

/// Makes a call that the start needs, and retries it after transient errors.
async fn retry_at_startup<T>(call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    errors::retry(STARTUP_RETRY_LIMIT, errors::is_transient, call).await
}

/// Reads the configuration, and retries after transient errors.
async fn read_at_startup<T>(read: &impl Fn() -> Result<T, ConfigError>) -> Result<T, ConfigError> {
    let (since, mut pauses) = (Instant::now(), RetryDelays::default());
    loop {
        match read() {
            Err(error) if error.is_transient() && since.elapsed() < STARTUP_RETRY_LIMIT => {
                tokio::time::sleep(pauses.next_delay()).await;
            }
            done => return done,
        }
    }
}

/// Serves the platform's front until SIGTERM, and reloads its configuration at SIGHUP.
///
/// # Errors
/// The configuration cannot be used, or the system refuses what the start needs.
pub fn serve_platform(
    operator: OperatorFile,
    read: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), CommandError> {
    block_on_runtime(async move {
        let (hangup, mut stop) = retry_at_startup(async || signals::install()).await?;
        let config = read_at_startup(&read).await?;
        let operators = match config.operator_address {
            Some(address) => Some(retry_at_startup(async || TcpListener::bind(address).await).await?),
            None => None,
        };
        let own_listener = match &operators {
            Some(_) => None,
            None => Some(Rc::new(retry_at_startup(async || TcpListener::bind(config.listen).await).await?)),
        };
        let for_membership = if operator.membership.is_some() { MEMBERSHIP_DESCRIPTORS } else { 0 };
        let opened_later = for_membership + if own_listener.is_some() { 0 } else { UPGRADE_DESCRIPTORS };
        let process_limits =
            ProcessLimits::read(config.max_descriptors, config.memory_mb, opened_later, operators.is_some());
        let descriptor_pool = new_descriptor_pool(&process_limits)?;
        let configuration_text = configuration_text(&config.contracts);
        let clock = Clock::system();
        let (seed, fleet_size) = (config.contracts.settings.seed, config.contracts.settings.fleet_size);
        let backoff = match config.max_poll_interval {
            Some(max_interval) => Backoff::new(seed, fleet_size, max_interval),
            None => Backoff::for_local_agent(seed, config.contracts.limits.drain_grace),
        };
        let broker = Broker::new(Core::new(config.contracts), clock);
        let incarnation = format!("{:x}-{:x}", clock.now().0, std::process::id());
        let recording = Recording::start(
            operator.records.as_ref(),
            &config.name,
            &incarnation,
            &configuration_text,
            &broker,
        )?;
        if let Some(known) = &config.initial_workers {
            broker.apply_endpoint_update(known, true);
        }
        let connector: Rc<dyn Connector> = Rc::new(TcpConnector);
        let workers = Workers::new(broker.clone(), connector.clone(), descriptor_pool.clone());
        spawn_local(workers.clone().close_idle_on_reclaim());
        let connections = ConnectionManager::new(descriptor_pool.clone());
        let members = members::start(
            operator.membership.as_ref(),
            config.peer_datagrams,
            &config.name,
            &broker,
            clock,
            &recording,
        );
        let upgrade = own_listener
            .is_none()
            .then(|| Upgrade::new(broker.clone(), connections.clone(), clock, process_limits, config.listen));
        if let (Some(listener), Some(upgrade)) = (operators, &upgrade) {
            log::info!("operators' API listening, address={}", listener.local_addr()?);
            let upgrade_peer = upgrade.clone();
            let operators = OperatorFront {
                broker: broker.clone(),
                connections: connections.clone(),
                upgrade_peer,
                members: members.clone(),
            };
            spawn_local(operator_api::serve(listener, Rc::new(operators), descriptor_pool.clone()));
        }
        let listener = match (own_listener, &upgrade) {
            (Some(listener), _) => listener,
            (None, Some(upgrade)) => tokio::select! {
                biased;
                // No client has been accepted yet: there is nothing to shut down.
                () = stop.received() => return Ok(()),
                listener = upgrade.obtain_listener() => listener?,
            },
            (None, None) => return Err(io::Error::from(io::ErrorKind::NotFound).into()),
        };
        if let Some(members) = members.clone() {
            spawn_local(members.run());
        }
        let front = PlatformFront { broker: broker.clone(), connections: connections.clone() };
        let watcher = broker.clone();
        let discovery = Sender::new(config.discovery_address);
        let address = discovery.subscribe();
        let discovery_descriptors = descriptor_pool.clone();
        // Where discovery is polled, the complete list costs it twice as much as the changes since a revision: matters when
        // the whole fleet starts.
        let known_revision =
            config.initial_workers.filter(|_| config.max_poll_interval.is_some()).map(|known| known.revision);
        spawn_local(async move {
            discovery::follow(&*connector, address, known_revision, &watcher, &discovery_descriptors, backoff)
                .await
        });
        spawn_local(reload_on_signal(hangup, descriptor_pool, recording.clone(), move || {
            // Only the address of discovery takes effect now, all else at the next start.
            let config = read()?;
            let change = format!("discovery at {}", config.discovery_address);
            discovery.send_replace(config.discovery_address);
            Ok(change)
        }));
        let context = ServingContext { stop, recording, upgrade, members };
        Ok(serve(listener, &config.name, broker, workers, front, connections, context).await?)
    })
}

/// Serves the OpenSearch-style front until SIGTERM, and reloads its file at SIGHUP.
///
/// # Errors
/// The file cannot be used, or the system refuses what the start needs.
pub fn serve_opensearch(
    seed: u64,
    operator: OperatorFile,
    read: impl Fn() -> Result<FrontFile, ConfigError> + 'static,
) -> Result<(), CommandError> {
    block_on_runtime(async move {
        let (hangup, stop) = retry_at_startup(async || signals::install()).await?;
        let file = read_at_startup(&read).await?;
        let listener = Rc::new(retry_at_startup(async || TcpListener::bind(file.listen).await).await?);
        if operator.membership.is_some() {
            log::warn!("membership stays off: the OpenSearch-style front does not support it");
        }
        let descriptor_pool =
            new_descriptor_pool(&ProcessLimits::read(file.sockets, file.memory_mb, 0, false))?;
        let clock = Clock::system();
        let configuration_text = configuration_text(&file.contracts);
        let broker = Broker::new(Core::new(file.contracts), clock);
        // Unique unless two processes draw the same seed in the same nanosecond.
        let incarnation = format!("{:x}-{seed:016x}", clock.now().0);
        let recording = Recording::start(
            operator.records.as_ref(),
            "opensearch",
            &incarnation,
            &configuration_text,
            &broker,
        )?;
        broker.apply_endpoint_update(&file.servers, true);
        let endpoint_broker = broker.clone();
        spawn_local(reload_on_signal(hangup, descriptor_pool.clone(), recording.clone(), move || {
            // Only the list of index servers takes effect now, all else at the next start.
            let servers = read()?.servers;
            endpoint_broker.apply_endpoint_update(&servers, false);
            Ok(format!("{} index servers", servers.workers.len()))
        }));
        let servers = IndexServers::new(broker.clone(), Rc::new(TcpConnector), descriptor_pool.clone());
        spawn_local(servers.clone().close_idle_on_reclaim());
        let connections = ConnectionManager::new(descriptor_pool);
        let front =
            OpenSearchFront::new(broker.clone(), clock, connections.clone(), file.names, incarnation, seed);
        let context = ServingContext { stop, recording, upgrade: None, members: None };
        Ok(serve(listener, "opensearch", broker, servers, front, connections, context).await?)
    })
}

/// Builds the runtime, and retries after transient errors.
fn runtime() -> io::Result<Runtime> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    errors::retry_blocking(STARTUP_RETRY_LIMIT, errors::is_transient, build)
}

/// Runs `main` to its end on a runtime of one thread.
fn block_on_runtime(main: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = runtime()?;
    LocalSet::new().block_on(&runtime, main)
}

/// What a front is served with, beside its own parts.
struct ServingContext {
    stop: ShutdownSignal,
    recording: Recording,
    upgrade: Option<Rc<Upgrade>>,
    members: Option<Rc<MembershipTransport>>,
}

/// Serves one front, from its first connection to its last response.
async fn serve(
    listener: Rc<TcpListener>,
    name: &str,
    broker: Broker,
    carrier: impl WorkerTransport + 'static,
    front: impl Front + 'static,
    connections: Rc<ConnectionManager>,
    ServingContext { mut stop, recording, upgrade, members }: ServingContext,
) -> io::Result<()> {
    let longest_deadline = broker.with_core(|core| longest_deadline(core.contracts()));
    let address = listener.local_addr()?;
    let driver = broker.clone();
    spawn_local(async move { driver.drive(&carrier).await });
    let evicting = connections.clone();
    spawn_local(async move { evicting.run_evictions().await });
    let timed = connections.clone();
    spawn_local(async move { timed.run_lifecycle_timers().await });
    let recording_task =
        spawn_local(recording.clone().record_periodically(broker.clone(), connections.clone()));
    let serving_line = format!("{name} serving on {address}");
    let (accepting_connections, starting) = (connections.clone(), upgrade.clone());
    let accepting = spawn_local(async move {
        if let Some(upgrade) = starting {
            upgrade.wait_until_ready().await;
            upgrade.announce_serving();
        }
        log::info!("{serving_line}");
        listener::accept_connections(listener, Rc::new(front), accepting_connections).await;
    });
    stop.received().await;
    let lifecycle_request =
        upgrade.as_ref().map_or(LifecycleRequest::Stop, |upgrade| upgrade.announce_stop());
    if let Some(members) = members {
        // In an upgrade the other process takes over the address and the name.
        members.leave(lifecycle_request == LifecycleRequest::HandOver);
    }
    let all_answered = shut_down(&broker, &connections, lifecycle_request, longest_deadline, accepting).await;
    recording_task.abort();
    recording.finish(&broker, &connections, all_answered);
    if let Some(upgrade) = upgrade {
        upgrade.remove_socket_file();
    }
    counters_text(&broker, &connections).lines().for_each(|line| log::info!("{line}"));
    Ok(())
}

/// The configuration as text, to identify it by. It omits the seed, which is new with each start.
fn configuration_text(contracts: &Contracts) -> String {
    let settings = Settings { seed: 0, ..contracts.settings.clone() };
    format!("{:?}", Contracts { settings, ..contracts.clone() })
}

/// The longest deadline of any class.
fn longest_deadline(contracts: &Contracts) -> Duration {
    contracts.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}

/// A descriptor pool for a process that shares its limits with no other.
fn new_descriptor_pool(process_limits: &ProcessLimits) -> io::Result<Rc<DescriptorPool>> {
    let plan = process_limits.descriptor_budget(1).map_err(io::Error::other)?;
    Ok(DescriptorPool::new(plan, process_limits.buffer_bytes(1)))
}

/// Shuts down gracefully: serves the grace period, then accepts nothing new, and returns `true` once every accepted query
/// has its response, or `false` once the time for that is over.
async fn shut_down(
    broker: &Broker,
    connections: &ConnectionManager,
    stop: LifecycleRequest,
    longest_deadline: Duration,
    accepting: JoinHandle<()>,
) -> bool {
    log::info!("stopping: grace period begins, open_connections={}", connections.open_connections());
    // Cannot fail: a second stop is the same as the first.
    let _ = connections.apply_lifecycle(stop);
    connections.wait_for_closing().await;
    log::info!("stopping: nothing new is accepted");
    let all_answered = async {
        // Whoever has connected must be accepted first: else the process could end between two waiting connections.
        if let Err(error) = accepting.await {
            log::error!("stopping: the accept task failed: {error}");
        }
        // A non-idempotent search continues without its client, so that its outcome can be asked for.
        while connections.open_connections() > 0 || broker.with_core(|core| core.open_queries()) > 0 {
            tokio::time::sleep(COMPLETION_POLL_INTERVAL).await;
        }
    };
    let all_answered =
        tokio::time::timeout(longest_deadline + RESPONSE_READ_GRACE, all_answered).await.is_ok();
    if !all_answered {
        log::warn!("stopping: time is over, open_connections={}", connections.open_connections());
        let open = broker.with_core(|core| core.open_queries());
        if open > 0 {
            broker.report_violation(
                Invariant::ClosedAfterResponse,
                &format!("the process ends with {open} queries open"),
            );
        }
    }
    all_answered
}
