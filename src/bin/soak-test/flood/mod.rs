//! `soak-test flood`: measures the requests of sound clients at one gatherer while other clients send hostile requests
//! at full speed. Workers and index servers run in this process and answer without faults, so that whatever a sound
//! client misses is due to the other clients.

mod flooding_clients;
mod gatherer;
mod measurement;
mod peers;
mod sound_clients;

use crate::runtime;
use flooding_clients::Flood;
use gatherer::FloodedGatherer;
use measurement::Measurement;
use peers::Peers;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use ::gatherer::soak::hostile_requests::{HOSTILE_REQUESTS, HostileRequest, TargetApi};

/// Time for which sound clients send before the flood begins, so that connections to workers are open.
const WARM_UP: Duration = Duration::from_millis(700);
/// Time for which sound clients still send after the flood has ended.
const COOL_DOWN: Duration = Duration::from_millis(300);

/// The listener that the flooding clients connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Listener {
    /// Clients' listener of the platform's front.
    Platform,
    /// Clients' listener of the OpenSearch-style front.
    Opensearch,
    /// The operators' address.
    Operators,
}

impl Listener {
    fn api(self) -> TargetApi {
        match self {
            Listener::Platform => TargetApi::Platform,
            Listener::Opensearch => TargetApi::OpenSearch,
            Listener::Operators => TargetApi::Operators,
        }
    }
}

/// When a flooding client sends its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Pacing {
    /// At once, without waiting for responses.
    Pipelined,
    /// When the response to the last one has arrived.
    Waiting,
    /// Never: the client stops half way through its first request and keeps the connection.
    HalfWritten,
    /// Without waiting, and without reading any response.
    Unread,
}

/// The options of one measurement.
#[derive(clap::Args, Clone, Debug)]
pub struct FloodOptions {
    /// Listener to flood.
    #[arg(long, default_value = "platform")]
    listener: Listener,
    /// Kind of request of the flooding clients, as `HostileRequest` names it; all kinds in turn if it is not given.
    #[arg(long)]
    request: Option<String>,
    /// Number of flooding clients; none measures the sound clients alone.
    #[arg(long, default_value_t = 12)]
    flooding: usize,
    /// When a flooding client sends its next request.
    #[arg(long, default_value = "pipelined")]
    pacing: Pacing,
    /// Time over which they send, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    milliseconds: u64,
    /// Number of sound clients.
    #[arg(long, default_value_t = 10)]
    sound: usize,
    /// Memory that the gatherer may use, in MiB.
    #[arg(long, default_value_t = 192)]
    memory_mb: u64,
    /// Descriptors that the gatherer may use.
    #[arg(long, default_value_t = 384)]
    descriptors: usize,
    /// Path of the gatherer's program.
    #[arg(long, default_value = "target/release/gatherer")]
    program: PathBuf,
}

/// Measures each selected kind of request, and prints a line for each. Fails if a sound client missed an answer.
pub fn run(options: &FloodOptions) -> ExitCode {
    let selected: Vec<HostileRequest> = HOSTILE_REQUESTS
        .into_iter()
        .filter(|kind| options.request.as_ref().is_none_or(|name| *name == format!("{kind:?}")))
        .collect();
    if selected.is_empty() {
        println!("no kind of request is selected; there are {HOSTILE_REQUESTS:?}");
        return ExitCode::FAILURE;
    }
    let mut passed = true;
    for kind in selected {
        let measurement = measure(options, kind);
        let failures = measurement.failures(options.memory_mb);
        passed &= failures.is_empty();
        println!(
            "{:?} {kind:?} flooding={} {:?}: {measurement}{}",
            options.listener,
            options.flooding,
            options.pacing,
            failures.iter().map(|failure| format!("\nVIOLATED {failure}")).collect::<String>()
        );
    }
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Starts a gatherer with its peers, and measures its sound clients beside a flood of this kind.
fn measure(options: &FloodOptions, kind: HostileRequest) -> Measurement {
    let peers = Peers::start();
    let gatherer = FloodedGatherer::start(options, &peers);
    let mut measurement = Measurement::default();
    runtime::block_on(async {
        gatherer.wait_until_ready().await;
        let clients = sound_clients::start(&gatherer, options.sound);
        tokio::time::sleep(WARM_UP).await;
        clients.begin_recording();
        peers.take_lag();
        let cpu_before = gatherer.processor_time();
        let flood = Flood::start(options, kind, &gatherer);
        tokio::time::sleep(Duration::from_millis(options.milliseconds)).await;
        measurement.processor_time = gatherer.processor_time().saturating_sub(cpu_before);
        measurement.flood_responses = flood.stop();
        tokio::time::sleep(COOL_DOWN).await;
        measurement.requests = clients.finish().await;
        measurement.observer_lag = clients.lag();
        measurement.peer_lag = peers.take_lag();
        measurement.counters = gatherer.counters().await;
    });
    measurement.peak_memory = gatherer.peak_memory();
    measurement
}
