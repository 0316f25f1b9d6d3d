//! The start of a process that serves the platform's front: what it opens and spawns, in order.

use super::{
    ServingContext, block_on_runtime, configuration_text, new_descriptor_pool, read_at_startup,
    retry_at_startup, serve,
};
use crate::fronts::operators::OperatorFront;
use crate::fronts::platform::PlatformFront;
use crate::limits::Backoff;
use crate::program::command_error::CommandError;
use crate::program::config::{Config, ConfigError};
use crate::program::members;
use crate::program::operator::OperatorFile;
use crate::program::recording::Recording;
use crate::program::reload::reload_on_signal;
use crate::program::resource_limits::ProcessLimits;
use crate::program::signals;
use crate::program::upgrade::Upgrade;
use crate::routing::{Broker, Clock, Core};
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::connector::{Connector, TcpConnector};
use crate::transport::discovery;
use crate::transport::membership::MEMBERSHIP_CONNECTIONS;
use crate::transport::operator_api;
use crate::transport::workers::Workers;
use std::io;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch::Sender;
use tokio::task::spawn_local;

/// Number of descriptors that a process with an operators' API opens after it has read its limits: the clients' listener,
/// the takeover socket, and the connection to the other process of an upgrade.
const UPGRADE_DESCRIPTORS: usize = 3;
/// Number of descriptors for membership: its two sockets, and connections to and from other members.
const MEMBERSHIP_DESCRIPTORS: usize = 2 + MEMBERSHIP_CONNECTIONS;
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
