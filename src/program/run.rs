//! The life of a serving process. `platform` and `opensearch` start one with their front; this module owns what both
//! share: retries at the start, the runtime, serving until SIGTERM, and the graceful shutdown.

mod opensearch;
mod platform;

pub use opensearch::serve_opensearch;
pub use platform::serve_platform;

use super::errors::{CommandError, ConfigError, with_context};
use super::recording::Recording;
use super::resource_limits::ProcessLimits;
use super::signals::{self, ReloadSignal, ShutdownSignal};
use super::upgrade::Upgrade;
use crate::fronts::counters_text;
use crate::limits::descriptors::DescriptorLimitTooLow;
use crate::policy::Settings;
use crate::routing::{Broker, Contracts, Invariant, WorkerTransport};
use crate::service::lifecycle::LifecycleRequest;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::descriptor_pool::DescriptorPool;
use crate::transport::errors::{self, RetryDelays};
use crate::transport::listener::{self, Front};
use crate::transport::membership::MembershipTransport;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::Instant;

/// Interval at which a shutdown checks whether every query has its response.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the longest deadline in which clients may still read their responses, before the process ends.
const RESPONSE_READ_GRACE: Duration = Duration::from_millis(300);

/// How long a system call that the start needs is retried after transient errors, before the start fails.
pub const STARTUP_RETRY_LIMIT: Duration = Duration::from_secs(8);

/// Makes a system call that the start needs, and retries it after transient errors.
async fn retry_at_startup<T>(call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    errors::retry(STARTUP_RETRY_LIMIT, errors::is_transient, call).await
}

/// Installs the signal handlers, and retries after transient errors.
async fn install_signal_handlers() -> io::Result<(ReloadSignal, ShutdownSignal)> {
    retry_at_startup(async || signals::install())
        .await
        .map_err(with_context("cannot install the signal handlers"))
}

/// Binds a listening socket, and retries after transient errors.
async fn bind_at_startup(address: SocketAddr) -> io::Result<TcpListener> {
    retry_at_startup(async || TcpListener::bind(address).await)
        .await
        .map_err(with_context(format!("cannot listen at {address}")))
}

/// Reads the configuration, and retries after transient errors.
async fn read_at_startup<T>(read: &impl Fn() -> Result<T, ConfigError>) -> Result<T, ConfigError> {
    let (started_at, mut delays) = (Instant::now(), RetryDelays::default());
    loop {
        match read() {
            Err(error) if error.is_transient() && started_at.elapsed() < STARTUP_RETRY_LIMIT => {
                tokio::time::sleep(delays.next_delay()).await;
            }
            result => return result,
        }
    }
}

/// Builds the runtime, and retries after transient errors.
fn runtime() -> io::Result<Runtime> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    errors::retry_blocking(STARTUP_RETRY_LIMIT, errors::is_transient, build)
        .map_err(with_context("cannot start the runtime"))
}

/// Runs `main` to its end on a runtime of one thread.
fn block_on_runtime(main: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = runtime()?;
    LocalSet::new().block_on(&runtime, main)
}

/// The parts of a serving process that do not depend on its front, and that a shutdown ends.
struct ServingProcess {
    /// Name of the gatherer in the log.
    name: String,
    broker: Broker,
    connections: Rc<ConnectionManager>,
    recording: Recording,
    upgrade: Option<Rc<Upgrade>>,
    members: Option<Rc<MembershipTransport>>,
    stop: ShutdownSignal,
}

impl ServingProcess {
    /// Serves a front until SIGTERM, and then shuts down gracefully.
    async fn run(
        mut self,
        listener: Rc<TcpListener>,
        transport: impl WorkerTransport + 'static,
        front: impl Front + 'static,
    ) -> io::Result<()> {
        let longest_deadline = self.broker.with_core(|core| longest_deadline(core.contracts()));
        let address = listener.local_addr()?;
        self.spawn_background_tasks(transport);
        let recording_task = spawn_local(
            self.recording.clone().record_periodically(self.broker.clone(), self.connections.clone()),
        );
        let accept_task = self.spawn_accepting(listener, address, front);
        self.stop.received().await;
        let lifecycle_request = self.announce_stop();
        let all_answered =
            shut_down(&self.broker, &self.connections, lifecycle_request, longest_deadline, accept_task)
                .await;
        recording_task.abort();
        self.recording.finish(&self.broker, &self.connections, all_answered);
        if let Some(upgrade) = self.upgrade {
            upgrade.remove_socket_file();
        }
        counters_text(&self.broker, &self.connections).lines().for_each(|line| log::info!("{line}"));
        Ok(())
    }

    /// Spawns the tasks that run until the process ends: steps of the broker, evictions of connections, and timers of
    /// the lifecycle.
    fn spawn_background_tasks(&self, transport: impl WorkerTransport + 'static) {
        let broker = self.broker.clone();
        spawn_local(async move { broker.drive(&transport).await });
        let connections = self.connections.clone();
        spawn_local(async move { connections.run_evictions().await });
        let connections = self.connections.clone();
        spawn_local(async move { connections.run_lifecycle_timers().await });
        spawn_local(self.connections.descriptor_pool().scheduler().clone().measure_delay());
    }

    /// Spawns the task that accepts clients, in an upgrade once this process may serve. The listener closes when the
    /// task ends, unless it is also held for a successor (see [`Upgrade`]).
    fn spawn_accepting(
        &self,
        listener: Rc<TcpListener>,
        address: SocketAddr,
        front: impl Front + 'static,
    ) -> JoinHandle<()> {
        let log_line = format!("{} serving on {address}", self.name);
        let (connections, upgrade) = (self.connections.clone(), self.upgrade.clone());
        spawn_local(async move {
            if let Some(upgrade) = upgrade {
                upgrade.wait_until_ready().await;
                upgrade.announce_serving();
            }
            log::info!("{log_line}");
            listener::accept_connections(listener, Rc::new(front), connections).await;
        })
    }

    /// Announces the stop to the other process of an upgrade and to the members of the cluster. Returns the request
    /// with which this process stops: a hand-over if the other process continues the gatherer.
    fn announce_stop(&self) -> LifecycleRequest {
        let lifecycle_request =
            self.upgrade.as_ref().map_or(LifecycleRequest::Stop, |upgrade| upgrade.announce_stop());
        if let Some(members) = &self.members {
            // After a hand-over, the other process takes over the address and the name of the member.
            members.leave(lifecycle_request == LifecycleRequest::HandOver);
        }
        lifecycle_request
    }
}

/// Formats the configuration as text for its digest in the records. The seed is left out, since it may differ at each
/// start.
fn configuration_text(contracts: &Contracts) -> String {
    let settings = Settings { seed: 0, ..contracts.settings.clone() };
    format!("{:?}", Contracts { settings, ..contracts.clone() })
}

/// The longest deadline of all classes.
fn longest_deadline(contracts: &Contracts) -> Duration {
    contracts.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}

/// Creates the descriptor pool of a process that shares its limits with no other one yet.
fn new_descriptor_pool(process_limits: &ProcessLimits) -> Result<Rc<DescriptorPool>, DescriptorLimitTooLow> {
    let budget = process_limits.descriptor_budget(1)?;
    Ok(DescriptorPool::new(budget, process_limits.buffer_bytes(1)))
}

/// Shuts down gracefully: serves until the grace period is over, then rejects new queries and waits for the open ones.
/// Returns whether every query got its response and every connection closed within the longest deadline and
/// [`RESPONSE_READ_GRACE`] after the grace period.
async fn shut_down(
    broker: &Broker,
    connections: &ConnectionManager,
    request: LifecycleRequest,
    longest_deadline: Duration,
    accept_task: JoinHandle<()>,
) -> bool {
    log::info!("stopping: grace period begins, open_connections={}", connections.open_connections());
    if let Err(error) = connections.apply_lifecycle(request) {
        // The process is stopping already, for example after a first SIGTERM.
        log::debug!("stopping: lifecycle request {request:?} was not applied: {error}");
    }
    connections.wait_for_closing().await;
    log::info!("stopping: grace period over, new queries are rejected");
    let wait_for_responses = async {
        // Connections in the backlog must be accepted first: the process could otherwise end between two of them.
        if let Err(error) = accept_task.await {
            log::error!("stopping: the accept task failed: {error}");
        }
        // A non-idempotent query continues after its client has disconnected, so that its outcome can be asked for
        // later.
        while connections.open_connections() > 0 || broker.with_core(|core| core.open_queries()) > 0 {
            tokio::time::sleep(COMPLETION_POLL_INTERVAL).await;
        }
    };
    let time_limit = longest_deadline + RESPONSE_READ_GRACE;
    let all_answered = tokio::time::timeout(time_limit, wait_for_responses).await.is_ok();
    if !all_answered {
        log::warn!(
            "stopping: queries or connections still open after {time_limit:?}, open_connections={}",
            connections.open_connections()
        );
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
