//! Starts a process that serves the platform's front: opens its files and sockets and spawns its tasks, in order.

use super::{
    ServingProcess, bind_at_startup, block_on_runtime, configuration_text, install_signal_handlers,
    new_descriptor_pool, read_at_startup,
};
use crate::fronts::operators::OperatorFront;
use crate::fronts::platform::PlatformFront;
use crate::limits::Backoff;
use crate::program::config::Config;
use crate::program::errors::{CommandError, ConfigError};
use crate::program::members;
use crate::program::operator::OperatorFile;
use crate::program::recording::Recording;
use crate::program::reload::reload_on_signal;
use crate::program::resource_limits::{ConfiguredLimits, ProcessLimits};
use crate::program::signals::{ReloadSignal, ShutdownSignal};
use crate::program::upgrade::Upgrade;
use crate::routing::{Broker, Clock, Core, ListOrigin};
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::connector::{Connector, TcpConnector};
use crate::transport::descriptor_pool::DescriptorPool;
use crate::transport::discovery;
use crate::transport::membership::{MEMBERSHIP_CONNECTIONS, MembershipTransport};
use crate::transport::operator_api;
use crate::transport::workers::Workers;
use std::io;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Number of descriptors that a process with an operators' API opens after it has read its limits: the clients'
/// listener, the takeover socket, and the connection to the other process of an upgrade.
const UPGRADE_DESCRIPTORS: usize = 3;
/// Number of descriptors for membership: its two sockets, and connections to and from other members.
const MEMBERSHIP_DESCRIPTORS: usize = 2 + MEMBERSHIP_CONNECTIONS;

/// Serves the platform's front until SIGTERM, and reloads its configuration at SIGHUP.
///
/// # Errors
/// The configuration is invalid, or a system call that the start needs fails.
pub fn serve_platform(
    operator: OperatorFile,
    read: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), CommandError> {
    block_on_runtime(async move {
        let (reload_signal, mut stop) = install_signal_handlers().await?;
        let config = read_at_startup(&read).await?;
        let listeners = Listeners::bind(&config).await?;
        let components = Components::start(&config, &operator, &listeners)?;
        let Some(listener) = components.obtain_listener(listeners, &mut stop).await? else { return Ok(()) };
        if let Some(members) = components.members.clone() {
            spawn_local(members.run());
        }
        let discovery_address = components.follow_discovery(&config);
        components.reload_on_hangup(reload_signal, read, discovery_address);
        // The initial endpoint list may be long, and is no longer needed.
        drop(config);
        components.serve(listener, stop).await
    })
}

/// The listening sockets that are bound before the process reads its limits.
struct Listeners {
    /// The listener of the operators' API, if one is configured.
    operators: Option<TcpListener>,
    /// The clients' listener, if there is no operators' API. With one, the listener is obtained later, since an upgrade
    /// may take it over from another process.
    clients: Option<Rc<TcpListener>>,
}

impl Listeners {
    async fn bind(config: &Config) -> io::Result<Listeners> {
        match config.operator_address {
            Some(address) => {
                let operators = bind_at_startup(address).await?;
                Ok(Listeners { operators: Some(operators), clients: None })
            }
            None => {
                let clients = bind_at_startup(config.listen).await?;
                Ok(Listeners { operators: None, clients: Some(Rc::new(clients)) })
            }
        }
    }

    /// Reads the limits of the process. The descriptors that are open by now do not count as free for connections.
    fn read_process_limits(&self, config: &Config, operator: &OperatorFile) -> ProcessLimits {
        let membership_descriptors = if operator.membership.is_some() { MEMBERSHIP_DESCRIPTORS } else { 0 };
        let upgrade_descriptors = if self.clients.is_some() { 0 } else { UPGRADE_DESCRIPTORS };
        ProcessLimits::read(ConfiguredLimits {
            descriptors: config.max_descriptors,
            memory_mb: config.memory_mb,
            reserved_descriptors: membership_descriptors + upgrade_descriptors,
            has_operator_api: self.operators.is_some(),
        })
    }
}

/// The components that the tasks of the process share.
struct Components {
    /// Name of the gatherer.
    name: String,
    broker: Broker,
    descriptor_pool: Rc<DescriptorPool>,
    connections: Rc<ConnectionManager>,
    connector: Rc<dyn Connector>,
    workers: Workers,
    recording: Recording,
    members: Option<Rc<MembershipTransport>>,
    upgrade: Option<Rc<Upgrade>>,
}

impl Components {
    /// Creates the components and starts recording. Nothing is served yet.
    fn start(
        config: &Config,
        operator: &OperatorFile,
        listeners: &Listeners,
    ) -> Result<Components, CommandError> {
        let process_limits = listeners.read_process_limits(config, operator);
        let descriptor_pool = new_descriptor_pool(&process_limits)?;
        let clock = Clock::system();
        let broker = Broker::new(Core::new(config.contracts.clone()), clock);
        let recording = start_recording(config, operator, &broker, clock)?;
        if let Some(initial_workers) = &config.initial_workers {
            broker.apply_endpoint_update(initial_workers, ListOrigin::Cache);
        }
        let connector: Rc<dyn Connector> = Rc::new(TcpConnector);
        let workers = Workers::new(broker.clone(), connector.clone(), descriptor_pool.clone());
        spawn_local(workers.clone().close_idle_on_reclaim());
        let connections = ConnectionManager::new(descriptor_pool.clone());
        let members = members::new_transport(
            operator.membership.as_ref(),
            config.peer_datagrams,
            &config.name,
            &broker,
            clock,
            &recording,
        );
        let upgrade = listeners
            .clients
            .is_none()
            .then(|| Upgrade::new(broker.clone(), connections.clone(), clock, process_limits, config.listen));
        let name = config.name.clone();
        Ok(Components {
            name,
            broker,
            descriptor_pool,
            connections,
            connector,
            workers,
            recording,
            members,
            upgrade,
        })
    }

    /// Starts the operators' API, if there is one, and obtains the clients' listener, in an upgrade from the
    /// predecessor. `None` if SIGTERM is received first.
    async fn obtain_listener(
        &self,
        listeners: Listeners,
        stop: &mut ShutdownSignal,
    ) -> io::Result<Option<Rc<TcpListener>>> {
        if let (Some(listener), Some(upgrade)) = (listeners.operators, &self.upgrade) {
            self.serve_operators(listener, upgrade)?;
        }
        match (listeners.clients, &self.upgrade) {
            (Some(listener), _) => Ok(Some(listener)),
            (None, Some(upgrade)) => tokio::select! {
                biased;
                // No client has been accepted yet, so the process can end without a shutdown.
                () = stop.received() => Ok(None),
                listener = upgrade.obtain_listener() => listener.map(Some),
            },
            (None, None) => {
                Err(io::Error::new(io::ErrorKind::NotFound, "no listening socket for clients was bound"))
            }
        }
    }

    fn serve_operators(&self, listener: TcpListener, upgrade: &Rc<Upgrade>) -> io::Result<()> {
        log::info!("operators' API listening, address={}", listener.local_addr()?);
        let front = OperatorFront {
            broker: self.broker.clone(),
            connections: self.connections.clone(),
            upgrade_peer: upgrade.clone(),
            members: self.members.clone(),
        };
        spawn_local(operator_api::serve(listener, Rc::new(front), self.descriptor_pool.clone()));
        Ok(())
    }

    /// Spawns the task that follows discovery. Returns the sender of discovery's address, with which a reload changes
    /// it.
    fn follow_discovery(&self, config: &Config) -> watch::Sender<String> {
        let discovery_address = watch::Sender::new(config.discovery_address.clone());
        let address = discovery_address.subscribe();
        // A complete list costs a polled discovery twice as much as the changes since a revision, which matters when
        // the whole fleet starts.
        let is_polled = config.max_poll_interval.is_some();
        let initial_workers = config.initial_workers.as_ref().filter(|_| is_polled);
        let known_revision = initial_workers.map(|workers| workers.revision);
        let backoff = discovery_backoff(config);
        let (broker, connector) = (self.broker.clone(), self.connector.clone());
        let descriptor_pool = self.descriptor_pool.clone();
        spawn_local(async move {
            discovery::watch_endpoints(
                &*connector,
                address,
                known_revision,
                &broker,
                &descriptor_pool,
                backoff,
            )
            .await
        });
        discovery_address
    }

    fn reload_on_hangup(
        &self,
        reload_signal: ReloadSignal,
        read: impl Fn() -> Result<Config, ConfigError> + 'static,
        discovery_address: watch::Sender<String>,
    ) {
        let reload = move || {
            // All other settings take effect at the next start.
            let config = read()?;
            let change = format!("discovery at {}", config.discovery_address);
            discovery_address.send_replace(config.discovery_address);
            Ok(change)
        };
        let (descriptor_pool, recording) = (self.descriptor_pool.clone(), self.recording.clone());
        spawn_local(reload_on_signal(reload_signal, descriptor_pool, recording, reload));
    }

    /// Serves clients until SIGTERM, and then shuts down.
    async fn serve(self, listener: Rc<TcpListener>, stop: ShutdownSignal) -> Result<(), CommandError> {
        let front = PlatformFront { broker: self.broker.clone(), connections: self.connections.clone() };
        let serving = ServingProcess {
            name: self.name,
            broker: self.broker,
            connections: self.connections,
            recording: self.recording,
            upgrade: self.upgrade,
            members: self.members,
            stop,
        };
        Ok(serving.run(listener, self.workers, front).await?)
    }
}

/// Starts recording, with the time and the process id as the unique name of this incarnation.
fn start_recording(
    config: &Config,
    operator: &OperatorFile,
    broker: &Broker,
    clock: Clock,
) -> io::Result<Recording> {
    let incarnation = format!("{:x}-{:x}", clock.now().0, std::process::id());
    let configuration_text = configuration_text(&config.contracts);
    Recording::start(operator.records.as_ref(), &config.name, &incarnation, &configuration_text, broker)
}

/// The delays between two polls of discovery, or two attempts to reach it.
fn discovery_backoff(config: &Config) -> Backoff {
    let settings = &config.contracts.settings;
    match config.max_poll_interval {
        Some(max_interval) => Backoff::new(settings.seed, settings.fleet_size, max_interval),
        None => Backoff::for_local_agent(settings.seed, config.contracts.limits.drain_grace),
    }
}
