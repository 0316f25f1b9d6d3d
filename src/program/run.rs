//! Start and end of the process.

use super::config::{Config, Error};
use super::failure::Failure;
use super::members;
use super::opensearch_file::FrontFile;
use super::operator::Operator;
use super::process::Allowed;
use super::recording::Recording;
use super::signals::{self, Hangup, Stop};
use super::upgrade::Upgrade;
use crate::fronts::counts;
use crate::fronts::opensearch::OpenSearch;
use crate::fronts::operators::Operators;
use crate::fronts::platform::Platform;
use crate::limits::{Backoff, DescriptorClass};
use crate::policy::Settings;
use crate::records::record::RecordBody;
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

/// Descriptors that an operated process opens later than it reads its limits: the clients' listener, the place where a
/// successor finds it, and the connection to it.
const UPGRADE: usize = 3;
/// Descriptors of one that talks with its fellows: its two sockets, and connections to and from them.
const MEMBERS: usize = 2 + MEMBERSHIP_CONNECTIONS;
/// How often the end looks whether all is answered.
const LOOK: Duration = Duration::from_millis(10);
/// Time past the longest deadline after which the end no longer waits for a client to read its answer.
const SLACK: Duration = Duration::from_millis(300);

/// A configuration that is faulty at SIGHUP may be one that is still being written, for so long.
const BEING_WRITTEN: Duration = Duration::from_secs(2);
/// How often it is read again.
const READ_AGAIN: Duration = Duration::from_millis(100);
/// How long a call that a start needs may fail, in a way that may pass, before the start does.
pub const START: Duration = Duration::from_secs(8);

/// Makes a call that a start needs, again for a while where it fails in a way that may pass.
async fn needed<T>(call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    errors::retry(START, errors::is_transient, call).await
}

/// Reads the configuration, again for a while where it cannot be read now.
async fn configured<T>(read: &impl Fn() -> Result<T, Error>) -> Result<T, Error> {
    let (since, mut pauses) = (Instant::now(), RetryDelays::default());
    loop {
        match read() {
            Err(error) if error.may_pass() && since.elapsed() < START => {
                tokio::time::sleep(pauses.next_delay()).await;
            }
            done => return done,
        }
    }
}

/// Serves the platform until SIGTERM. SIGHUP has the configuration read again.
pub fn platform(
    operator: Operator,
    read: impl Fn() -> Result<Config, Error> + 'static,
) -> Result<(), Failure> {
    in_runtime(async move {
        let (hangup, mut stop) = needed(async || signals::listen()).await?;
        let config = configured(&read).await?;
        let operators = match config.operator_address {
            Some(address) => Some(needed(async || TcpListener::bind(address).await).await?),
            None => None,
        };
        let alone = match &operators {
            Some(_) => None,
            None => Some(Rc::new(needed(async || TcpListener::bind(config.listen).await).await?)),
        };
        let talks = if operator.membership.is_some() { MEMBERS } else { 0 };
        let later = talks + if alone.is_some() { 0 } else { UPGRADE };
        let allowed = Allowed::read(config.max_descriptors, config.memory_mb, later, operators.is_some());
        let places = places(&allowed)?;
        let digest = digest(&config.contracts);
        let clock = Clock::system();
        let (seed, roots) = (config.contracts.settings.seed, config.contracts.settings.fleet_size);
        let backoff = match config.max_poll_interval {
            Some(ask_in) => Backoff::new(seed, roots, ask_in),
            None => Backoff::for_local_agent(seed, config.contracts.limits.drain_grace),
        };
        let broker = Broker::new(Core::new(config.contracts), clock);
        let start = format!("{:x}-{:x}", clock.now().0, std::process::id());
        let recording = Recording::begin(operator.records.as_ref(), &config.name, &start, &digest, &broker)?;
        if let Some(known) = &config.initial_workers {
            broker.apply_endpoint_update(known, true);
        }
        let dial: Rc<dyn Connector> = Rc::new(TcpConnector);
        let workers = Workers::new(broker.clone(), dial.clone(), places.clone());
        spawn_local(workers.clone().close_idle_on_reclaim());
        let gate = ConnectionManager::new(places.clone());
        let members = members::begin(
            operator.membership.as_ref(),
            config.peer_datagrams,
            &config.name,
            &broker,
            clock,
            &recording,
        );
        let upgrade = alone
            .is_none()
            .then(|| Upgrade::new(broker.clone(), gate.clone(), clock, allowed, config.listen));
        if let (Some(listener), Some(upgrade)) = (operators, &upgrade) {
            log::info!("operators may call {}", listener.local_addr()?);
            let pair = upgrade.clone();
            let operators =
                Operators { broker: broker.clone(), gate: gate.clone(), pair, members: members.clone() };
            spawn_local(operator_api::serve(listener, Rc::new(operators), places.clone()));
        }
        let listener = match (alone, &upgrade) {
            (Some(listener), _) => listener,
            (None, Some(upgrade)) => tokio::select! {
                biased;
                // Nobody has been let in yet: there is nothing to see out.
                () = stop.told() => return Ok(()),
                begun = upgrade.begin() => begun?,
            },
            (None, None) => return Err(io::Error::from(io::ErrorKind::NotFound).into()),
        };
        if let Some(members) = members.clone() {
            spawn_local(members.run());
        }
        let front = Platform { broker: broker.clone(), gate: gate.clone() };
        let watcher = broker.clone();
        let discovery = Sender::new(config.discovery_address);
        let address = discovery.subscribe();
        let watched = places.clone();
        // A whole list costs an asked discovery twice what its changes do, when the whole fleet starts.
        let held =
            config.initial_workers.filter(|_| config.max_poll_interval.is_some()).map(|known| known.revision);
        spawn_local(
            async move { discovery::follow(&*dial, address, held, &watcher, &watched, backoff).await },
        );
        spawn_local(reload(hangup, places, recording.clone(), move || {
            // Where discovery is takes effect now, all else at the next start.
            let config = read()?;
            let news = format!("discovery at {}", config.discovery_address);
            discovery.send_replace(config.discovery_address);
            Ok(news)
        }));
        let beside = Beside { stop, recording, upgrade, members };
        Ok(serve(listener, &config.name, broker, workers, front, gate, beside).await?)
    })
}

/// Serves the OpenSearch-style form until SIGTERM. SIGHUP has the file read again.
pub fn opensearch(
    seed: u64,
    operator: Operator,
    read: impl Fn() -> Result<FrontFile, Error> + 'static,
) -> Result<(), Failure> {
    in_runtime(async move {
        let (hangup, stop) = needed(async || signals::listen()).await?;
        let file = configured(&read).await?;
        let listener = Rc::new(needed(async || TcpListener::bind(file.listen).await).await?);
        if operator.membership.is_some() {
            log::warn!("membership stays off: this front does not take part in it");
        }
        let places = places(&Allowed::read(file.sockets, file.memory_mb, 0, false))?;
        let clock = Clock::system();
        let digest = digest(&file.contracts);
        let broker = Broker::new(Core::new(file.contracts), clock);
        // Two starts have the same name only if they draw the same seed in the same nanosecond.
        let start = format!("{:x}-{seed:016x}", clock.now().0);
        let recording = Recording::begin(operator.records.as_ref(), "opensearch", &start, &digest, &broker)?;
        broker.apply_endpoint_update(&file.servers, true);
        let learner = broker.clone();
        spawn_local(reload(hangup, places.clone(), recording.clone(), move || {
            // Which index servers there are takes effect now, all else at the next start.
            let servers = read()?.servers;
            learner.apply_endpoint_update(&servers, false);
            Ok(format!("{} index servers", servers.workers.len()))
        }));
        let servers = IndexServers::new(broker.clone(), Rc::new(TcpConnector), places.clone());
        spawn_local(servers.clone().close_idle_on_reclaim());
        let gate = ConnectionManager::new(places);
        let front = OpenSearch::new(broker.clone(), clock, gate.clone(), file.names, start, seed);
        let beside = Beside { stop, recording, upgrade: None, members: None };
        Ok(serve(listener, "opensearch", broker, servers, front, gate, beside).await?)
    })
}

/// The runtime; its own calls may fail for a moment too.
fn runtime() -> io::Result<Runtime> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    errors::retry_blocking(START, errors::is_transient, build)
}

fn in_runtime(main: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
    let runtime = runtime()?;
    LocalSet::new().block_on(&runtime, main)
}

/// What goes on beside serving.
struct Beside {
    stop: Stop,
    recording: Recording,
    upgrade: Option<Rc<Upgrade>>,
    members: Option<Rc<MembershipTransport>>,
}

/// Serves one front, from its first connection to its last answer.
async fn serve(
    listener: Rc<TcpListener>,
    name: &str,
    broker: Broker,
    carrier: impl WorkerTransport + 'static,
    front: impl Front + 'static,
    gate: Rc<ConnectionManager>,
    Beside { mut stop, recording, upgrade, members }: Beside,
) -> io::Result<()> {
    let longest = broker.with_core(|core| longest(core.contracts()));
    let at = listener.local_addr()?;
    let driver = broker.clone();
    spawn_local(async move { driver.drive(&carrier).await });
    let tended = gate.clone();
    spawn_local(async move { tended.run_evictions().await });
    let aged = gate.clone();
    spawn_local(async move { aged.run_lifecycle_timers().await });
    let kept = spawn_local(recording.clone().keep(broker.clone(), gate.clone()));
    let (serving, door, starting) = (format!("{name} serving on {at}"), gate.clone(), upgrade.clone());
    let accepting = spawn_local(async move {
        if let Some(upgrade) = starting {
            upgrade.ready().await;
            upgrade.serving();
        }
        log::info!("{serving}");
        listener::accept(listener, Rc::new(front), door).await;
    });
    stop.told().await;
    let call = upgrade.as_ref().map_or(LifecycleRequest::Stop, |upgrade| upgrade.stop());
    if let Some(members) = members {
        // The other process of an upgrade takes the address and the name over.
        members.leave(call == LifecycleRequest::HandOver);
    }
    let answered = wind_up(&broker, &gate, call, longest, accepting).await;
    kept.abort();
    recording.end(&broker, &gate, answered);
    if let Some(upgrade) = upgrade {
        upgrade.end();
    }
    counts(&broker, &gate).lines().for_each(|line| log::info!("{line}"));
    Ok(())
}

/// What tells one configuration from another; the seed is new with each start.
fn digest(contracts: &Contracts) -> String {
    let settings = Settings { seed: 0, ..contracts.settings.clone() };
    format!("{:?}", Contracts { settings, ..contracts.clone() })
}

/// The longest deadline of any class.
fn longest(contracts: &Contracts) -> Duration {
    contracts.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}

/// Divides what the process may use, as one that is alone.
fn places(allowed: &Allowed) -> io::Result<Rc<DescriptorPool>> {
    let plan = allowed.plan(1).map_err(io::Error::other)?;
    Ok(DescriptorPool::new(plan, allowed.buffered(1)))
}

/// Reads the configuration again at each SIGHUP, and says what holds from now on; nothing that is in flight notices.
/// A faulty file changes nothing. One that cannot be read now, or is still being written, is read again until it can, or
/// the next SIGHUP: the old discovery may say nothing any longer.
async fn reload(
    hangups: Hangup,
    places: Rc<DescriptorPool>,
    recording: Recording,
    mut read: impl FnMut() -> Result<String, Error>,
) {
    loop {
        hangups.told().await;
        while let Some(error) = try_reload(&places, &recording, &mut read).await {
            tokio::select! {
                biased;
                () = hangups.told() => log::info!("configuration not read again: SIGHUP came once more"),
                () = read_later(error, &places, &recording, &mut read) => break,
            }
        }
    }
}

/// Reads once; why that failed, if it did.
async fn try_reload(
    places: &Rc<DescriptorPool>,
    recording: &Recording,
    read: &mut impl FnMut() -> Result<String, Error>,
) -> Option<Error> {
    let _place = places.acquire(DescriptorClass::Files).await;
    match read() {
        Ok(what) => {
            log::info!("configuration read again: {what}");
            recording.record(RecordBody::Reload { applied: true, detail: what });
            None
        }
        Err(error) => {
            log::error!("configuration not read again, the old one holds: {error}");
            recording.record(RecordBody::Reload { applied: false, detail: error.to_string() });
            Some(error)
        }
    }
}

/// Reads again and again, where the file may be there in a moment.
async fn read_later(
    mut error: Error,
    places: &Rc<DescriptorPool>,
    recording: &Recording,
    read: &mut impl FnMut() -> Result<String, Error>,
) {
    let since = Instant::now();
    while error.may_pass() || since.elapsed() < BEING_WRITTEN {
        tokio::time::sleep(READ_AGAIN).await;
        let _place = places.acquire(DescriptorClass::Files).await;
        match read() {
            Ok(what) => {
                log::info!("configuration read again: {what}");
                return recording.record(RecordBody::Reload { applied: true, detail: what });
            }
            Err(now) => error = now,
        }
    }
}

/// Sees out those who still come, takes nothing new, and returns once all that was taken is answered, or `false` once
/// its time is up.
async fn wind_up(
    broker: &Broker,
    gate: &ConnectionManager,
    stop: LifecycleRequest,
    longest: Duration,
    accepting: JoinHandle<()>,
) -> bool {
    log::info!("stopping: {} connections are open", gate.open_connections());
    // It cannot be refused: nothing stops twice, and a second stop is the first.
    let _ = gate.apply_lifecycle(stop);
    gate.wait_for_closing().await;
    log::info!("stopping: nothing new is taken");
    let all_answered = async {
        // Guards against an end between two who wait at the door: whoever has connected has to be let in first.
        if let Err(error) = accepting.await {
            log::error!("accepting: {error}");
        }
        // A search that runs once goes on without its client, for the outcome is to be known.
        while gate.open_connections() > 0 || broker.with_core(|core| core.open_queries()) > 0 {
            tokio::time::sleep(LOOK).await;
        }
    };
    let answered = tokio::time::timeout(longest + SLACK, all_answered).await.is_ok();
    if !answered {
        log::warn!("stopped with {} connections open", gate.open_connections());
        let open = broker.with_core(|core| core.open_queries());
        if open > 0 {
            broker.report_violation(
                Invariant::ClosedAfterResponse,
                &format!("the process ends with {open} queries open"),
            );
        }
    }
    answered
}
