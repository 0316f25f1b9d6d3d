//! Runs a soak test: starts the processes, injects faults as scheduled, and hands what was observed to the checker.

use crate::RunOptions;
use crate::clients::{self, ClientContext, ResponseCounts};
use crate::discovery::{DiscoveryAgent, Endpoint, EndpointList};
use crate::monotonic::now_us;
use crate::processes::{
    self, DEADLINE_MS, DRAIN_GRACE_MS, Environment, Gatherer, GathererProcess, WorkerProcess, free_address,
};
use fastrand::Rng;
use gatherer::protocol::http;
use gatherer::soak::checker::{EndpointRemoval, Observations, Violation, WorkerPause, check};
use gatherer::soak::fault_schedule::{Fault, ScheduledFault, fault_schedule, system_call_faults};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// How often the state of processes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often processes are checked for an end without a signal.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The workers' last lines are read within this.
const LAST_LINES_WITHIN: Duration = Duration::from_millis(100);
/// How long a start or an end is waited for; the checker's limits are shorter.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
/// How long after SIGTERM the front layer still opens new connections.
const FRONT_LAYER_NOTICE: Duration = Duration::from_millis(300);
/// How long after its drain was announced a worker ends, at least.
const DRAIN_LASTS: Duration = Duration::from_millis(1500);
/// The longest pause of a gatherer: the specification allows for it.
const MAX_GATHERER_PAUSE: Duration = Duration::from_millis(150);
/// How long a half-written configuration stays.
const HALF_WRITTEN_FOR: Duration = Duration::from_millis(30);
/// An upgraded gatherer has to know of drains and removals so long after it took over.
const EXEMPT_AFTER_UPGRADE_US: u64 = 2_000_000;
/// A gatherer has to know of drains and removals so long after a new configuration.
const EXEMPT_AFTER_RELOAD_US: u64 = 4_000_000;
/// A gatherer has to know of drains and removals so long after its calls failed.
const EXEMPT_AFTER_SYSTEM_CALL_FAULTS_US: u64 = 500_000;
/// What is added to the drain's grace period before an attempt counts as late.
const DRAIN_GRACE_SLACK_MS: u64 = 50;
/// Violations that are printed.
const PRINTED_VIOLATIONS: usize = 20;

/// When a gatherer's agent announced a change of the endpoint list.
struct Announcement {
    gatherer: usize,
    announced_at: u64,
}

struct SoakTest {
    options: RunOptions,
    observations: Rc<RefCell<Observations>>,
    gatherers: Vec<Rc<Gatherer>>,
    workers: Vec<Rc<WorkerProcess>>,
    /// Workers into which a fault is being injected.
    faulted_workers: RefCell<Vec<usize>>,
    list: RefCell<EndpointList>,
    /// Processes of gatherers that were started.
    starts: Cell<u64>,
    clients: Rc<ClientContext>,
    /// Faults that were injected.
    injected: Cell<usize>,
}

/// Runs a soak test and prints which invariants were violated.
pub fn run(options: &RunOptions) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (violations, summary) =
        LocalSet::new().block_on(&runtime, async { SoakTest::start(options).await.run().await });
    println!("{summary}");
    if violations.is_empty() {
        println!("no invariant was violated");
        return ExitCode::SUCCESS;
    }
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!("VIOLATED {violation}");
    }
    if violations.len() > PRINTED_VIOLATIONS {
        println!("... and {} more", violations.len() - PRINTED_VIOLATIONS);
    }
    println!("to repeat this run: {}", command_line(options));
    ExitCode::FAILURE
}

fn command_line(options: &RunOptions) -> String {
    let mut line = format!(
        "soak-test run --seed {} --seconds {} --gatherers {} --workers {} --clients {}",
        options.seed, options.seconds, options.gatherers, options.workers, options.clients
    );
    options.only.iter().for_each(|name| line.push_str(&format!(" --only {name}")));
    line.push_str(if options.no_faults { " --no-faults" } else { "" });
    line
}

/// The fault library: the one that was named, or one built here.
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
    assert!(compiler.status().is_ok_and(|status| status.success()), "tools/faults/faults.c is compiled");
    Some(library)
}

fn start_workers(options: &RunOptions) -> Vec<Rc<WorkerProcess>> {
    let start = |at| WorkerProcess::start(&format!("w{at}"), options.seed * 1000 + at as u64);
    (0..options.workers).map(start).collect()
}

fn endpoint_list(workers: &[Rc<WorkerProcess>]) -> EndpointList {
    let cells = processes::cells(workers.len());
    let endpoint = |(at, worker): (usize, &Rc<WorkerProcess>)| {
        let (address, cell) = (worker.address.clone(), (at % cells) as u32);
        (worker.name.clone(), Endpoint { address, cell, phase: "SERVING", up_since_ms: 0 })
    };
    workers.iter().enumerate().map(endpoint).collect()
}

impl SoakTest {
    async fn start(options: &RunOptions) -> Rc<SoakTest> {
        let folder = std::env::temp_dir().join(format!("soak-test-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let library = fault_library(options, &folder);
        let environment = Rc::new(Environment {
            folder,
            program: options.program.clone(),
            library,
            logs: options.logs.clone(),
            membership_addresses: (0..options.gatherers).map(|_| free_address()).collect(),
            gatherers: options.gatherers,
            workers: options.workers,
        });
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

    async fn run(self: Rc<Self>) -> (Vec<Violation>, String) {
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
        let restarts = spawn_local(self.clone().restart_ended_processes());
        self.clone().inject_faults().await;
        self.clients.finished.set(true);
        for client in clients {
            client.await.expect("no client panics");
        }
        restarts.abort();
        self.stop().await;
        lag.abort();
        (check(&self.observations.borrow()), self.summary())
    }

    fn summary(&self) -> String {
        let observations = self.observations.borrow();
        let responses = &self.clients.responses;
        format!(
            "seed {}: {} faults, {} processes, {} requests: {} served, {} rejected, {} failed; {} parts; lag {} ms",
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

    /// Ends all processes and collects what is not yet observed.
    async fn stop(&self) {
        for gatherer in &self.gatherers {
            // The file is there only while system calls fail.
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
        self.workers.iter().for_each(|worker| worker.collect(&mut observations));
        // Only now are all exemptions known.
        for removal in &mut observations.removals {
            removal.effective_at = self.gatherers[removal.gatherer].effective_at(removal.effective_at);
        }
        let switch = self.gatherers.first().map(|gatherer| gatherer.fault_switch());
        if let Some(folder) = switch.as_deref().and_then(Path::parent) {
            // A file that is left does no harm.
            let _ = std::fs::remove_dir_all(folder);
        }
    }

    /// Injects the faults as scheduled, and returns when the last one has passed.
    async fn inject_faults(self: Rc<Self>) {
        let since = tokio::time::Instant::now();
        let mut running = Vec::new();
        let length = Duration::from_secs(self.options.seconds);
        for scheduled in fault_schedule(self.options.seed, length) {
            let only = &self.options.only;
            if !only.is_empty() && !only.iter().any(|name| name == scheduled.fault.name()) {
                continue;
            }
            tokio::time::sleep_until(since + scheduled.begins_after).await;
            running.push(spawn_local(self.clone().inject(scheduled)));
        }
        tokio::time::sleep_until(since + length).await;
        for fault in running {
            fault.await.expect("no fault panics");
        }
    }

    async fn inject(self: Rc<Self>, scheduled: ScheduledFault) {
        match scheduled.fault {
            Fault::WorkerDrain | Fault::WorkerKill | Fault::WorkerPause => {
                self.inject_into_worker(scheduled).await;
            }
            _ => self.inject_into_gatherer(scheduled).await,
        }
    }

    async fn inject_into_worker(&self, scheduled: ScheduledFault) {
        let number = scheduled.target % self.workers.len();
        // At most a quarter of the workers has a fault at once, so that two replicas of each shard stay untouched.
        let is_faulted = self.faulted_workers.borrow().contains(&number);
        if is_faulted || self.faulted_workers.borrow().len() * 4 >= self.workers.len() {
            return;
        }
        self.faulted_workers.borrow_mut().push(number);
        self.injected.set(self.injected.get() + 1);
        let worker = &self.workers[number];
        match scheduled.fault {
            Fault::WorkerPause => {
                let paused_at = now_us();
                worker.signal(Signal::STOP);
                tokio::time::sleep(scheduled.lasts).await;
                worker.signal(Signal::CONT);
                let pause = WorkerPause { worker: worker.name.clone(), paused_at, resumed_at: now_us() };
                self.observations.borrow_mut().worker_pauses.push(pause);
            }
            Fault::WorkerDrain => {
                let announced = self.announce_phase(&worker.name, "DRAINING");
                tokio::time::sleep(DRAIN_LASTS + scheduled.lasts).await;
                worker.kill();
                self.relist(worker, announced);
            }
            _ => {
                worker.kill();
                tokio::time::sleep(scheduled.lasts / 2).await;
                let announced = self.announce_phase(&worker.name, "DELETED");
                tokio::time::sleep(scheduled.lasts).await;
                self.relist(worker, announced);
            }
        }
        self.faulted_workers.borrow_mut().retain(|other| *other != number);
    }

    /// Lists a worker in this phase; which agents announced it, and when.
    fn announce_phase(&self, name: &str, phase: &'static str) -> Vec<Announcement> {
        if let Some(endpoint) = self.list.borrow_mut().get_mut(name) {
            endpoint.phase = phase;
        }
        self.publish()
    }

    /// Gives all agents the list; which of them announced it now, and when. Unresponsive ones do later.
    fn publish(&self) -> Vec<Announcement> {
        let list = self.list.borrow();
        let announcement = |gatherer: &Rc<Gatherer>| {
            let applied = gatherer.agent.update(&list);
            applied.then(|| Announcement { gatherer: gatherer.number, announced_at: now_us() })
        };
        self.gatherers.iter().filter_map(announcement).collect()
    }

    /// Starts a worker anew and lists it; its removal, as it was announced, is noted.
    fn relist(&self, worker: &WorkerProcess, announced: Vec<Announcement>) {
        worker.restart();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if let Some(endpoint) = self.list.borrow_mut().get_mut(&worker.name) {
            endpoint.phase = "SERVING";
            endpoint.up_since_ms = unix.as_millis() as u64;
        }
        let relisted_at = now_us();
        self.publish();
        for Announcement { gatherer, announced_at } in announced {
            let worker = worker.name.clone();
            let removal = EndpointRemoval { gatherer, worker, effective_at: announced_at, relisted_at };
            self.observations.borrow_mut().removals.push(removal);
        }
    }

    async fn inject_into_gatherer(&self, scheduled: ScheduledFault) {
        let gatherer = &self.gatherers[scheduled.target % self.gatherers.len()];
        let exclusive =
            matches!(scheduled.fault, Fault::Restart | Fault::Upgrade | Fault::Kill | Fault::Pause);
        if exclusive && gatherer.in_transition.replace(true) {
            return;
        }
        self.injected.set(self.injected.get() + 1);
        match scheduled.fault {
            Fault::Restart => self.restart(gatherer).await,
            Fault::Upgrade => self.upgrade(gatherer).await,
            Fault::Kill => self.kill(gatherer).await,
            Fault::Pause => self.pause(gatherer, scheduled.lasts).await,
            Fault::Reload => reload(gatherer).await,
            Fault::SystemCalls => fail_system_calls(gatherer, scheduled.lasts).await,
            Fault::DiscoveryUnresponsive => gatherer.agent.be_unresponsive(scheduled.lasts).await,
            Fault::WatchReset => gatherer.agent.reset_connections(),
            Fault::WorkerDrain | Fault::WorkerKill | Fault::WorkerPause => {}
        }
        if exclusive {
            gatherer.in_transition.set(false);
        }
    }

    /// Pauses a gatherer for as long as the specification allows for.
    async fn pause(&self, gatherer: &Gatherer, lasts: Duration) {
        let paused_at = now_us();
        let signal = |signal| {
            gatherer.process.borrow().as_ref().map(|process| {
                process.signal(signal);
                process.number
            })
        };
        let Some(number) = signal(Signal::STOP) else { return };
        tokio::time::sleep(lasts.min(MAX_GATHERER_PAUSE)).await;
        signal(Signal::CONT);
        let process = &mut self.observations.borrow_mut().processes[number];
        process.longest_pause_us = process.longest_pause_us.max(now_us() - paused_at);
    }

    fn draw_system_call_faults(&self) -> String {
        self.starts.set(self.starts.get() + 1);
        system_call_faults(self.options.seed, self.starts.get())
    }

    /// Starts a process that becomes the gatherer's newer one, and waits until it is ready. Returns its number.
    async fn start_process(&self, gatherer: &Gatherer) -> usize {
        let process = gatherer.start(&self.draw_system_call_faults(), &self.observations);
        let (number, operator_address) = (process.number, process.operator_address.clone());
        gatherer.process.replace(Some(process));
        self.wait_until_ready(gatherer, number, &operator_address).await;
        number
    }

    /// Starts a gatherer's process and waits until it is ready.
    async fn launch(&self, gatherer: &Gatherer) {
        let began_at = now_us();
        let number = self.start_process(gatherer).await;
        gatherer.exempt(began_at, now_us());
        gatherer.endpoint.process.set(number);
        gatherer.endpoint.accepts_connections.set(true);
    }

    /// Waits until a process reports that it is ready, has ended, or has taken too long.
    async fn wait_until_ready(&self, gatherer: &Gatherer, number: usize, operator_address: &str) {
        let since = tokio::time::Instant::now();
        while since.elapsed() < PROCESS_TIMEOUT {
            if is_ready(operator_address).await {
                self.observations.borrow_mut().processes[number].ready_at = Some(now_us());
                return;
            }
            if self.has_ended(gatherer, number) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether this process, the newer of a gatherer's, has ended.
    fn has_ended(&self, gatherer: &Gatherer, number: usize) -> bool {
        let mut process = gatherer.process.borrow_mut();
        process
            .as_mut()
            .is_some_and(|process| process.number == number && process.has_ended(&self.observations))
    }

    /// Sends SIGTERM to a process and waits for its end.
    async fn terminate(&self, mut process: GathererProcess) {
        self.observations.borrow_mut().processes[process.number].terminated_at = Some(now_us());
        process.signal(Signal::TERM);
        let since = tokio::time::Instant::now();
        while !process.has_ended(&self.observations) && since.elapsed() < PROCESS_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn restart(&self, gatherer: &Gatherer) {
        let Some(process) = gatherer.process.take() else { return };
        let endpoint = gatherer.endpoint.clone();
        spawn_local(async move {
            tokio::time::sleep(FRONT_LAYER_NOTICE).await;
            endpoint.accepts_connections.set(false);
        });
        self.terminate(process).await;
        // The front layer has noticed by then.
        tokio::time::sleep(FRONT_LAYER_NOTICE).await;
        self.launch(gatherer).await;
    }

    async fn upgrade(&self, gatherer: &Gatherer) {
        let began_at = now_us();
        let Some(before) = gatherer.process.take() else { return };
        let number = self.start_process(gatherer).await;
        let is_ready = self.observations.borrow().processes[number].ready_at.is_some();
        gatherer.exempt(began_at, now_us() + EXEMPT_AFTER_UPGRADE_US);
        if is_ready {
            gatherer.endpoint.process.set(number);
            self.terminate(before).await;
        } else {
            // The first process goes on; the second one ends as it is dropped.
            self.observations.borrow_mut().processes[number].killed_at = Some(now_us());
            gatherer.process.replace(Some(before));
        }
    }

    async fn kill(&self, gatherer: &Gatherer) {
        let Some(mut process) = gatherer.process.take() else { return };
        gatherer.endpoint.accepts_connections.set(false);
        self.observations.borrow_mut().processes[process.number].killed_at = Some(now_us());
        process.signal(Signal::KILL);
        while !process.has_ended(&self.observations) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.launch(gatherer).await;
    }

    /// Notes processes that ended without a signal, and starts them anew.
    async fn restart_ended_processes(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
            for gatherer in &self.gatherers {
                let ended = gatherer
                    .process
                    .borrow_mut()
                    .as_mut()
                    .is_some_and(|process| process.has_ended(&self.observations));
                if ended && !gatherer.in_transition.replace(true) {
                    gatherer.process.take();
                    gatherer.endpoint.accepts_connections.set(false);
                    self.launch(gatherer).await;
                    gatherer.in_transition.set(false);
                }
            }
        }
    }
}

/// Moves a gatherer's discovery to its agent's other address; the configuration is half written for a moment.
async fn reload(gatherer: &Gatherer) {
    gatherer.agent_address.set(1 - gatherer.agent_address.get());
    let began_at = now_us();
    gatherer.reload_half_written();
    tokio::time::sleep(HALF_WRITTEN_FOR).await;
    gatherer.write_configuration();
    gatherer.exempt(began_at, began_at + EXEMPT_AFTER_RELOAD_US);
}

/// Lets system calls of a gatherer fail for so long.
async fn fail_system_calls(gatherer: &Gatherer, lasts: Duration) {
    let began_at = now_us();
    std::fs::write(gatherer.fault_switch(), "").expect("written");
    tokio::time::sleep(lasts).await;
    // An overlapping fault of this kind may have removed it.
    let _ = std::fs::remove_file(gatherer.fault_switch());
    gatherer.exempt(began_at, now_us() + EXEMPT_AFTER_SYSTEM_CALL_FAULTS_US);
}

async fn is_ready(operator_address: &str) -> bool {
    let response = async {
        let mut stream = TcpStream::connect(operator_address).await.ok()?;
        stream.write_all(&http::encode_request("GET", "/-/ready", "soak", None)).await.ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok()?;
        Some(response.starts_with(b"HTTP/1.1 200"))
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), response).await, Ok(Some(true)))
}

/// Notes how long this process itself was paused.
async fn measure_observer_lag(observations: Rc<RefCell<Observations>>) {
    loop {
        let since = now_us();
        tokio::time::sleep(POLL_INTERVAL).await;
        let lag_us = (now_us() - since).saturating_sub(POLL_INTERVAL.as_micros() as u64);
        let mut observations = observations.borrow_mut();
        observations.observer_lag_us = observations.observer_lag_us.max(lag_us);
    }
}
