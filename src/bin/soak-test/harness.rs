//! Runs a soak test: starts the processes and clients, injects the scheduled faults, collects the
//! observations, and reports the violations that the checker finds.

use crate::RunOptions;
use crate::clients::{self, ClientContext, ResponseCounts};
use crate::discovery::{DiscoveryAgent, Endpoint, EndpointList, Phase};
use crate::gatherer_process::{Environment, Gatherer, GathererProcess};
use crate::gatherer_settings::{self, DEADLINE_MS, DRAIN_GRACE_MS};
use crate::hostile_clients;
use crate::monotonic::now_us;
use crate::process::free_address;
use crate::runtime;
use crate::worker_process::WorkerProcess;
use fastrand::Rng;
use gatherer::soak::checker::{Observations, Violation, check};
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Interval between two checks of a process's state.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time to read the last output of the workers after they have ended.
const LAST_LINES_WITHIN: Duration = Duration::from_millis(100);
/// Tolerance that is added to a drain's grace period.
const DRAIN_GRACE_SLACK_MS: u64 = 50;
/// Distance between the worker seeds of runs with successive seeds, so that they do not share worker seeds.
const WORKER_SEED_STRIDE: u64 = 1000;
/// Largest number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Seed of the hostile clients, combined with that of the run, so that the other clients of a recorded seed stay the same.
const HOSTILE_SEED: u64 = 0x0f10_0dc1;
/// One in this many seeds has a crowd of idle connections.
const CROWD_EVERY_SEEDS: u64 = 4;
/// Idle connections of the crowd at each gatherer: more than it has descriptors for clients.
const CROWD_CONNECTIONS: usize = 200;

/// A running soak test: its processes, its clients and the observations so far.
pub struct SoakTest {
    /// Options of the run.
    pub options: RunOptions,
    /// Observations so far.
    pub observations: Rc<RefCell<Observations>>,
    /// Gatherers, by number.
    pub gatherers: Vec<Rc<Gatherer>>,
    /// Workers, by number.
    pub workers: Vec<Rc<WorkerProcess>>,
    /// Numbers of the workers that have a fault now.
    pub faulted_workers: RefCell<Vec<usize>>,
    /// Endpoint list that responsive agents serve.
    pub list: RefCell<EndpointList>,
    /// Number of gatherer processes that were started.
    pub starts: Cell<u64>,
    /// State that the clients share.
    pub clients: Rc<ClientContext>,
    /// Number of faults that were injected.
    pub injected: Cell<usize>,
}

/// Result of a soak test.
struct SoakReport {
    violations: Vec<Violation>,
    /// Counts of faults, processes, requests and parts, as a line for people.
    summary: String,
}

/// Runs a soak test and prints the violated invariants. Fails if there are any.
pub fn run(options: &RunOptions) -> ExitCode {
    let SoakReport { violations, summary } =
        runtime::block_on(async { SoakTest::start(options).await.run().await });
    println!("{summary}");
    if violations.is_empty() {
        println!("no invariant was violated");
        return ExitCode::SUCCESS;
    }
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("VIOLATED {violation}");
    }
    if violations.len() > MAX_PRINTED_VIOLATIONS {
        println!("... and {} more violations", violations.len() - MAX_PRINTED_VIOLATIONS);
    }
    println!("to repeat this run: {}", command_line(options));
    ExitCode::FAILURE
}

/// The command line that repeats a run, without paths.
fn command_line(options: &RunOptions) -> String {
    let mut line = format!(
        "soak-test run --seed {} --seconds {} --gatherers {} --workers {} --clients {}",
        options.seed, options.seconds, options.gatherers, options.workers, options.clients
    );
    options.only.iter().for_each(|name| line.push_str(&format!(" --only {name}")));
    if options.hostile > 0 {
        line.push_str(&format!(" --hostile {}", options.hostile));
    }
    line.push_str(if options.no_faults { " --no-faults" } else { "" });
    line
}

/// Path of the fault library: the one of the options, or one built into `folder`; `None` without faults.
fn fault_library(options: &RunOptions, folder: &Path) -> Option<PathBuf> {
    if options.no_faults {
        return None;
    }
    if let Some(library) = &options.library {
        return Some(library.clone());
    }
    let library = folder.join("faults.so");
    let mut compiler = Command::new("cc");
    compiler.args(["-O2", "-shared", "-fPIC", "-o"]).arg(&library).args(["tools/faults/faults.c", "-ldl"]);
    let is_compiled = compiler.status().is_ok_and(|status| status.success());
    assert!(is_compiled, "cc could not compile tools/faults/faults.c");
    Some(library)
}

/// Creates the temporary folder of this run, and returns the environment of its gatherers.
fn create_environment(options: &RunOptions) -> Environment {
    let folder = std::env::temp_dir().join(format!("soak-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is created");
    let library = fault_library(options, &folder);
    Environment {
        folder,
        program: options.program.clone(),
        library,
        logs: options.logs.clone(),
        membership_addresses: (0..options.gatherers).map(|_| free_address()).collect(),
        gatherers: options.gatherers,
        workers: options.workers,
    }
}

fn start_workers(options: &RunOptions) -> Vec<Rc<WorkerProcess>> {
    let start = |number| {
        let seed = options.seed * WORKER_SEED_STRIDE + number as u64;
        WorkerProcess::start(&format!("w{number}"), seed)
    };
    (0..options.workers).map(start).collect()
}

fn endpoint_list(workers: &[Rc<WorkerProcess>]) -> EndpointList {
    let cells = gatherer_settings::cells(workers.len());
    let endpoint = |(number, worker): (usize, &Rc<WorkerProcess>)| {
        let (address, cell) = (worker.address.clone(), (number % cells) as u32);
        (worker.name.clone(), Endpoint { address, cell, phase: Phase::Serving, up_since_ms: 0 })
    };
    workers.iter().enumerate().map(endpoint).collect()
}

impl SoakTest {
    async fn start(options: &RunOptions) -> Rc<SoakTest> {
        let environment = Rc::new(create_environment(options));
        let workers = start_workers(options);
        let list = endpoint_list(&workers);
        let mut gatherers = Vec::new();
        for number in 0..options.gatherers {
            gatherers.push(Gatherer::new(number, DiscoveryAgent::start(&list).await, environment.clone()));
        }
        let observations = Rc::new(RefCell::new(Observations {
            drain_grace_us: (DRAIN_GRACE_MS + DRAIN_GRACE_SLACK_MS) * 1000,
            longest_deadline_us: DEADLINE_MS * 1000,
            ..Observations::default()
        }));
        let clients = ClientContext {
            gatherers: gatherers.iter().map(|gatherer| gatherer.endpoint.clone()).collect(),
            observations: observations.clone(),
            finished: Cell::new(false),
            responses: ResponseCounts::default(),
        };
        Rc::new(SoakTest {
            options: options.clone(),
            observations,
            gatherers,
            workers,
            faulted_workers: RefCell::default(),
            list: RefCell::new(list),
            starts: Cell::new(0),
            clients: Rc::new(clients),
            injected: Cell::new(0),
        })
    }

    async fn run(self: Rc<Self>) -> SoakReport {
        let lag = spawn_local(measure_observer_lag(self.observations.clone()));
        for gatherer in &self.gatherers {
            gatherer.in_transition.set(true);
            self.launch(gatherer).await;
            gatherer.in_transition.set(false);
        }
        let mut random = Rng::with_seed(self.options.seed);
        let clients: Vec<JoinHandle<()>> = (0..self.options.clients)
            .map(|_| spawn_local(clients::run_client(self.clients.clone(), random.fork())))
            .collect();
        let mut hostile_random = Rng::with_seed(self.options.seed ^ HOSTILE_SEED);
        for _ in 0..self.options.hostile {
            spawn_local(hostile_clients::run_client(self.clients.clone(), hostile_random.fork()));
        }
        if self.options.hostile > 0 && self.options.seed.is_multiple_of(CROWD_EVERY_SEEDS) {
            spawn_local(hostile_clients::hold_idle_connections(self.clients.clone(), CROWD_CONNECTIONS));
        }
        let restarts = spawn_local(self.clone().restart_ended_processes());
        self.clone().inject_faults().await;
        self.clients.finished.set(true);
        for client in clients {
            client.await.expect("no client panics");
        }
        restarts.abort();
        self.stop().await;
        lag.abort();
        SoakReport { violations: check(&self.observations.borrow()), summary: self.summary() }
    }

    fn summary(&self) -> String {
        let observations = self.observations.borrow();
        let responses = &self.clients.responses;
        format!(
            "seed {}: {} faults, {} processes, {} requests: {} served, {} rejected, {} failed; \
             {} parts; lag {} ms",
            self.options.seed,
            self.injected.get(),
            observations.processes.len() + self.workers.len(),
            observations.requests.len(),
            responses.served.get(),
            responses.rejected.get(),
            responses.failed.get(),
            observations.parts.len(),
            observations.observer_lag_us / 1000
        )
    }

    /// Terminates all processes, collects the workers' parts, and removes the temporary folder.
    async fn stop(&self) {
        for gatherer in &self.gatherers {
            // Fails if no system calls fail now: the switch exists only while they do.
            let _ = std::fs::remove_file(gatherer.fault_switch());
            gatherer.endpoint.accepts_connections.set(false);
        }
        let running: Vec<GathererProcess> =
            self.gatherers.iter().filter_map(|gatherer| gatherer.process.take()).collect();
        for process in running {
            self.terminate(process).await;
        }
        for worker in &self.workers {
            worker.kill();
        }
        tokio::time::sleep(LAST_LINES_WITHIN).await;
        let mut observations = self.observations.borrow_mut();
        self.workers.iter().for_each(|worker| worker.collect_parts(&mut observations));
        // Exemptions are applied last, because one may be recorded after the removal that it covers.
        for removal in &mut observations.removals {
            removal.effective_at = self.gatherers[removal.gatherer].effective_at(removal.effective_at);
        }
        let switch = self.gatherers.first().map(|gatherer| gatherer.fault_switch());
        if let Some(folder) = switch.as_deref().and_then(Path::parent) {
            // A folder that remains does not affect other runs.
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

/// Records the longest delay with which this process was scheduled, measured by its sleeps; never returns.
async fn measure_observer_lag(observations: Rc<RefCell<Observations>>) {
    loop {
        let began_at = now_us();
        tokio::time::sleep(POLL_INTERVAL).await;
        let lag_us = (now_us() - began_at).saturating_sub(POLL_INTERVAL.as_micros() as u64);
        let mut observations = observations.borrow_mut();
        observations.observer_lag_us = observations.observer_lag_us.max(lag_us);
    }
}
