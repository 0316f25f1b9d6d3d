//! Starts a process that serves the OpenSearch-style front: opens its files and sockets and spawns its tasks, in order.

use super::{
    ServingProcess, bind_at_startup, block_on_runtime, configuration_text, install_signal_handlers,
    new_descriptor_pool, read_at_startup,
};
use crate::fronts::opensearch::OpenSearchFront;
use crate::program::errors::{CommandError, ConfigError};
use crate::program::opensearch_file::FrontFile;
use crate::program::operator::OperatorFile;
use crate::program::recording::Recording;
use crate::program::reload::reload_on_signal;
use crate::program::resource_limits::{ConfiguredLimits, ProcessLimits};
use crate::routing::{Broker, Clock, Core, ListOrigin};
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::connector::TcpConnector;
use crate::transport::index_servers::IndexServers;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Name of the gatherer in the log and in records; the file has no key for it.
const FRONT_NAME: &str = "opensearch";

/// Serves the OpenSearch-style front until SIGTERM, and reloads its file at SIGHUP.
///
/// # Errors
/// The file is invalid, or a system call that the start needs fails.
pub fn serve_opensearch(
    seed: u64,
    operator: OperatorFile,
    read: impl Fn() -> Result<FrontFile, ConfigError> + 'static,
) -> Result<(), CommandError> {
    block_on_runtime(async move {
        let (reload_signal, stop) = install_signal_handlers().await?;
        let file = read_at_startup(&read).await?;
        let listener = Rc::new(bind_at_startup(file.listen).await?);
        if operator.membership.is_some() {
            log::warn!("membership stays off: the OpenSearch-style front does not support it");
        }
        let descriptor_pool = new_descriptor_pool(&ProcessLimits::read(configured_limits(&file)))?;
        let clock = Clock::system();
        let configuration_text = configuration_text(&file.contracts);
        let broker = Broker::new(Core::new(file.contracts), clock);
        // Unique unless two processes draw the same seed in the same nanosecond.
        let incarnation = format!("{:x}-{seed:016x}", clock.now().0);
        let recording = Recording::start(
            operator.records.as_ref(),
            FRONT_NAME,
            &incarnation,
            &configuration_text,
            &broker,
        )?;
        broker.apply_endpoint_update(&file.servers, ListOrigin::Cache);
        let reload = reload_servers(broker.clone(), read);
        spawn_local(reload_on_signal(reload_signal, descriptor_pool.clone(), recording.clone(), reload));
        let servers = IndexServers::new(broker.clone(), Rc::new(TcpConnector), descriptor_pool.clone());
        spawn_local(servers.clone().close_idle_on_reclaim());
        let connections = ConnectionManager::new(descriptor_pool);
        let front = OpenSearchFront::new(
            broker.clone(),
            clock,
            connections.clone(),
            Rc::new(servers.clone()),
            file.mapping,
            incarnation,
            seed,
        );
        let name = FRONT_NAME.to_owned();
        let serving =
            ServingProcess { name, broker, connections, recording, upgrade: None, members: None, stop };
        Ok(serving.run(listener, servers, front).await?)
    })
}

fn configured_limits(file: &FrontFile) -> ConfiguredLimits {
    ConfiguredLimits {
        descriptors: file.sockets,
        memory_mb: file.memory_mb,
        reserved_descriptors: 0,
        has_operator_api: false,
    }
}

/// Returns the function for reloads: it reads the file again, applies its list of index servers, and describes the
/// change.
fn reload_servers(
    broker: Broker,
    read: impl Fn() -> Result<FrontFile, ConfigError>,
) -> impl FnMut() -> Result<String, ConfigError> {
    move || {
        // All other settings take effect at the next start.
        let servers = read()?.servers;
        broker.apply_endpoint_update(&servers, ListOrigin::Discovery);
        Ok(format!("{} index servers", servers.workers.len()))
    }
}
