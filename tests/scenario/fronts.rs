//! The gatherer under test in a scenario: one front with its broker and its transport to workers, on the fake
//! network.

use super::network::{FakeNetwork, WireFormat};
use gatherer::fronts::opensearch::OpenSearchFront;
use gatherer::fronts::platform::PlatformFront;
use gatherer::limits::{Backoff, DescriptorBudget};
use gatherer::policy::Time;
use gatherer::program::config::Config;
use gatherer::program::opensearch_file::FrontFile;
use gatherer::routing::{Broker, Clock, Contracts, Core, ListOrigin, WorkerListUpdate, WorkerTransport};
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::descriptor_pool::DescriptorPool;
use gatherer::transport::discovery;
use gatherer::transport::index_servers::IndexServers;
use gatherer::transport::listener::Front;
use gatherer::transport::workers::Workers;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Wall clock time at the start of a scenario.
pub(super) const START_TIME: Time = Time(1_700_000_000_000_000_000);
const MAX_DESCRIPTORS: usize = 256;
const MAX_BUFFERED_BYTES: usize = 1 << 20;
const SEED: u64 = 7;

/// The network, connection limits and clock of the front under test.
pub(super) struct Environment {
    pub(super) network: FakeNetwork,
    pub(super) connection_manager: Rc<ConnectionManager>,
    /// The address of the discovery agent, which a reload (SIGHUP) changes.
    pub(super) discovery_address: watch::Sender<String>,
    descriptor_pool: Rc<DescriptorPool>,
    clock: Clock,
}

impl Environment {
    pub(super) fn new() -> Environment {
        let budget = DescriptorBudget::new(MAX_DESCRIPTORS, 16, 0).expect("the limit is large enough");
        let descriptor_pool = DescriptorPool::new(budget, MAX_BUFFERED_BYTES);
        Environment {
            network: FakeNetwork::default(),
            connection_manager: ConnectionManager::new(descriptor_pool.clone()),
            discovery_address: watch::Sender::new("agent".to_owned()),
            descriptor_pool,
            clock: Clock::starting_at(START_TIME),
        }
    }

    /// Creates a broker for these workers, and a party of this format for each.
    fn broker(&self, contracts: Contracts, workers: &WorkerListUpdate, format: WireFormat) -> Broker {
        let broker = Broker::new(Core::new(contracts), self.clock);
        broker.apply_endpoint_update(workers, ListOrigin::Cache);
        for worker in &workers.workers {
            self.network.add(&worker.address, format);
        }
        broker
    }

    /// Starts to follow the endpoint list of discovery on the fake network. `held_revision` is the revision
    /// that the broker has already, if any.
    fn follow_discovery(&self, broker: &Broker, held_revision: Option<u64>, backoff: Backoff) {
        for name in ["agent", "agent2"] {
            self.network.add(name, WireFormat::Requests);
        }
        let (connector, broker) = (self.network.clone(), broker.clone());
        let (address, descriptor_pool) = (self.discovery_address.subscribe(), self.descriptor_pool.clone());
        spawn_local(async move {
            discovery::watch_endpoints(&connector, address, held_revision, &broker, &descriptor_pool, backoff)
                .await
        });
    }
}

/// A front under test, the transport to its workers and the broker between them.
pub(super) struct FrontUnderTest<F, T> {
    pub(super) front: F,
    pub(super) transport: T,
    pub(super) broker: Broker,
}

/// Creates the platform's front, as described by the first line of a scenario.
pub(super) fn platform(
    environment: &Environment,
    description: &str,
) -> FrontUnderTest<impl Front + use<>, impl WorkerTransport + use<>> {
    let mut json: serde_json::Value =
        serde_json::from_str(include_str!("platform.json")).expect("platform.json is JSON");
    json["settings"]["allowed"]["cancel"] = (!description.ends_with("without cancelling")).into();
    let config = Config::from_json(&json, |_| None).expect("platform.json is a valid configuration");
    let workers = config.initial_workers.expect("platform.json lists workers");
    let broker = environment.broker(config.contracts, &workers, WireFormat::Frames);
    let connector = Rc::new(environment.network.clone());
    let transport = Workers::new(broker.clone(), connector, environment.descriptor_pool.clone());
    match description {
        "front platform asking agent" => {
            let backoff = Backoff::new(1, 48, Duration::from_secs(10));
            environment.follow_discovery(&broker, Some(workers.revision), backoff);
        }
        "front platform watching agent" => {
            let backoff = Backoff::for_local_agent(1, Duration::from_millis(250));
            environment.follow_discovery(&broker, None, backoff);
        }
        _ => {}
    }
    let front = PlatformFront { broker: broker.clone(), connections: environment.connection_manager.clone() };
    FrontUnderTest { front, transport, broker }
}

/// Creates the OpenSearch-style front.
pub(super) fn opensearch(
    environment: &Environment,
) -> FrontUnderTest<impl Front + use<>, impl WorkerTransport + use<>> {
    let file = FrontFile::parse(include_str!("opensearch.toml"), SEED).expect("opensearch.toml is valid");
    let broker = environment.broker(file.contracts, &file.servers, WireFormat::Requests);
    let connector = Rc::new(environment.network.clone());
    let transport = IndexServers::new(broker.clone(), connector, environment.descriptor_pool.clone());
    let front = OpenSearchFront::new(
        broker.clone(),
        environment.clock,
        environment.connection_manager.clone(),
        Rc::new(transport.clone()),
        file.mapping,
        "start-1".to_owned(),
        SEED,
    );
    FrontUnderTest { front, transport, broker }
}
