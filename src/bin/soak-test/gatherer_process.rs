//! A gatherer of the soak test: writes its configuration files, spawns its processes, and reads their logs.
//! `gatherer_lifecycle` decides when a process starts and ends.

use crate::clients::GathererEndpoint;
use crate::discovery::DiscoveryAgent;
use crate::gatherer_settings::settings;
use crate::monotonic::now_us;
use crate::process::{free_address, kill_and_wait, send_signal};
use gatherer::soak::checker::{Observations, Process, ProcessExit};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;

/// Log lines of a gatherer's process that the checker needs.
#[derive(Default)]
struct LogFindings {
    /// First line that reports a panic.
    panic: Option<String>,
    /// Invariant counters as the last `violations: ` line lists them, as `NAME=COUNT` pairs.
    invariant_counters: Option<String>,
}

/// A running process of a gatherer.
pub struct GathererProcess {
    /// Number of the process: its index in the observations.
    pub number: usize,
    /// Address of the operators' API.
    pub operator_address: String,
    child: Child,
    log: Arc<Mutex<LogFindings>>,
}

/// Period in which a gatherer need not know of a drain or removal at once, in microseconds of the monotonic
/// clock.
struct Exemption {
    from: u64,
    until: u64,
}

/// A gatherer: its client endpoint, its discovery agent, and its current process.
pub struct Gatherer {
    /// Number of the gatherer.
    pub number: usize,
    /// Endpoint to which clients connect.
    pub endpoint: Rc<GathererEndpoint>,
    /// Discovery agent of this gatherer.
    pub agent: Rc<DiscoveryAgent>,
    /// Index of the agent's address that the configuration names.
    pub agent_address: Cell<usize>,
    /// The running process; during an upgrade, the newer of the two. `None` while none runs.
    pub process: RefCell<Option<GathererProcess>>,
    /// A fault or a restart is replacing or pausing the process; no other may begin.
    pub in_transition: Cell<bool>,
    exemptions: RefCell<Vec<Exemption>>,
    environment: Rc<Environment>,
}

/// Paths, membership addresses and fleet size, which all gatherers share.
pub struct Environment {
    /// Temporary folder of this run.
    pub folder: PathBuf,
    /// Path of the gatherer's program.
    pub program: PathBuf,
    /// Path of the fault library; `None` to let no system call fail.
    pub library: Option<PathBuf>,
    /// Folder for the gatherers' logs; `None` to keep none.
    pub logs: Option<PathBuf>,
    /// Membership address of each gatherer, by its number.
    pub membership_addresses: Vec<String>,
    /// Number of gatherers in the fleet.
    pub gatherers: usize,
    /// Number of workers in the fleet.
    pub workers: usize,
}

impl Gatherer {
    /// Creates a gatherer without a process.
    pub fn new(number: usize, agent: Rc<DiscoveryAgent>, environment: Rc<Environment>) -> Rc<Gatherer> {
        let endpoint = Rc::new(GathererEndpoint {
            address: free_address(),
            accepts_connections: Cell::new(false),
            process: Cell::new(0),
        });
        Rc::new(Gatherer {
            number,
            endpoint,
            agent,
            agent_address: Cell::new(0),
            process: RefCell::default(),
            in_transition: Cell::new(false),
            exemptions: RefCell::default(),
            environment,
        })
    }

    /// Path of the fault library's switch: system calls fail while this file exists.
    pub fn fault_switch(&self) -> PathBuf {
        self.environment.folder.join(format!("faults-{}", self.number))
    }

    /// Path of the configuration file of the process with this operators' address.
    fn configuration_file(&self, operator_address: &str) -> PathBuf {
        let name = format!("g{}-{}.json", self.number, operator_address.replace(':', "-"));
        self.environment.folder.join(name)
    }

    /// The configuration of a process, with the discovery address that is current now.
    fn configuration(&self, operator_address: &str) -> Value {
        let environment = &self.environment;
        json!({
            "name": format!("g{}", self.number),
            "listen": self.endpoint.address,
            "operator": operator_address,
            "discovery": self.agent.addresses[self.agent_address.get()],
            "seed": format!("{:x}", self.number + 7),
            "limits": {"sockets": 256, "memory_mb": 64}, "known": self.agent.list(),
            "settings": settings(environment.gatherers, environment.workers),
        })
    }

    /// Writes the operator's file, which turns on records and membership.
    fn write_operator_file(&self) -> PathBuf {
        let environment = &self.environment;
        let folder = environment.folder.join(format!("records-{}", self.number));
        let seeds: Vec<String> =
            environment.membership_addresses.iter().map(|address| format!("{address:?}")).collect();
        let text = format!(
            "[records]\nfolder = {folder:?}\nsegment_kb = 64\nall_kb = 256\n\
             [membership]\nlisten = {:?}\ncluster = \"soak\"\nsecret = \"sixteen bytes or more\"\n\
             seeds = [{}]\n",
            environment.membership_addresses[self.number],
            seeds.join(", ")
        );
        let file = environment.folder.join(format!("operator-{}.toml", self.number));
        std::fs::write(&file, text).expect("the operator's file is written");
        file
    }

    /// Writes the files of a new process and returns the command that starts it. `faults` is the value of
    /// `FAULTS`.
    fn command(&self, operator_address: &str, faults: &str) -> Command {
        let environment = &self.environment;
        let file = self.configuration_file(operator_address);
        let text = self.configuration(operator_address).to_string();
        std::fs::write(&file, text).expect("the configuration file is written");
        let mut command = Command::new(&environment.program);
        command.args(["serve", "--operator"]).arg(self.write_operator_file());
        command.env_clear().env("LB_CONFIG", &file).env("TMPDIR", &environment.folder);
        command.stderr(Stdio::piped());
        if let Some(library) = &environment.library {
            command.env("LD_PRELOAD", library).env("FAULTS", faults);
            command.env("FAULTS_SWITCH", self.fault_switch());
        }
        command
    }

    /// Starts a process, without ending one that runs already, and records its start. `faults` is the value
    /// of `FAULTS`.
    pub fn start(&self, faults: &str, observations: &RefCell<Observations>) -> GathererProcess {
        let operator_address = free_address();
        let mut command = self.command(&operator_address, faults);
        let number = observations.borrow().processes.len();
        let started_at = now_us();
        let mut child = command.spawn().expect("the gatherer's program starts");
        let process = Process { gatherer: self.number, started_at, ..Process::default() };
        observations.borrow_mut().processes.push(process);
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let log: Arc<Mutex<LogFindings>> = Arc::default();
        let findings = log.clone();
        let logs = self.environment.logs.as_ref();
        let file = logs.map(|logs| create_log_file(logs, self.number, number));
        // The log ends with the process; a read error is handled alike.
        thread::spawn(move || read_log(lines.map_while(Result::ok), &findings, file));
        GathererProcess { number, operator_address, child, log }
    }

    /// Writes the running process's configuration file again, without a signal.
    pub fn write_configuration(&self) {
        if let Some(process) = &*self.process.borrow() {
            let file = self.configuration_file(&process.operator_address);
            let text = self.configuration(&process.operator_address).to_string();
            std::fs::write(file, text).expect("the configuration file is written");
        }
    }

    /// Writes the first half of the running process's configuration, and sends SIGHUP to reload it.
    pub fn reload_half_written(&self) {
        if let Some(process) = &*self.process.borrow() {
            let file = self.configuration_file(&process.operator_address);
            let text = self.configuration(&process.operator_address).to_string();
            let half = &text[..text.len() / 2];
            std::fs::write(file, half).expect("the configuration file is written");
            process.signal(Signal::HUP);
        }
    }

    /// Records a period in which this gatherer need not know of drains and removals: while it starts, is
    /// upgraded or reloads its configuration, or its system calls fail.
    pub fn exempt(&self, from: u64, until: u64) {
        self.exemptions.borrow_mut().push(Exemption { from, until });
    }

    /// Time from which on the gatherer has to know of a drain or removal that was announced at this time: the
    /// end of the last exemption that covers the announcement, otherwise the announcement itself.
    pub fn effective_at(&self, announced_at: u64) -> u64 {
        let exemptions = self.exemptions.borrow();
        let covering =
            exemptions.iter().filter(|exemption| (exemption.from..exemption.until).contains(&announced_at));
        covering.map(|exemption| exemption.until).fold(announced_at, u64::max)
    }
}

impl GathererProcess {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        send_signal(&self.child, signal);
    }

    /// Whether the process has ended; if so, records its end and the findings of its log.
    pub fn has_ended(&mut self, observations: &RefCell<Observations>) -> bool {
        // An error counts as running; the next call tries again.
        let Ok(Some(status)) = self.child.try_wait() else { return false };
        let mut observations = observations.borrow_mut();
        let process = &mut observations.processes[self.number];
        process.exit.get_or_insert(ProcessExit { at: now_us(), success: status.success() });
        let log = self.log.lock().expect("the log reader does not panic");
        process.panic.clone_from(&log.panic);
        if let Some(line) = &log.invariant_counters {
            process.invariant_counters = parse_invariant_counters(line);
        }
        true
    }
}

impl Drop for GathererProcess {
    fn drop(&mut self) {
        // Also on a panic of the soak test, so that no process outlives it.
        kill_and_wait(&mut self.child);
    }
}

/// Parses `NAME=COUNT` pairs, without the `total`.
fn parse_invariant_counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    // Pairs whose value is not a number are skipped.
    let counts = pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)));
    counts.filter(|(name, _)| name != "total").collect()
}

fn create_log_file(logs: &Path, gatherer: usize, process: usize) -> std::fs::File {
    std::fs::create_dir_all(logs).expect("the log folder is created");
    let file = logs.join(format!("g{gatherer}-{process}.log"));
    std::fs::File::create(file).expect("the log file is created")
}

/// Reads the log of a process to its end: keeps the findings, and copies each line to `file` with its time.
fn read_log(
    lines: impl Iterator<Item = String>,
    findings: &Mutex<LogFindings>,
    mut file: Option<std::fs::File>,
) {
    for line in lines {
        if let Some(file) = &mut file {
            writeln!(file, "{} {line}", now_us()).expect("the log file is written");
        }
        let mut findings = findings.lock().expect("the log reader does not panic");
        if line.contains("panicked at") {
            findings.panic.get_or_insert(line);
        } else if let Some((_, counters)) = line.split_once("violations: ") {
            findings.invariant_counters = Some(counters.to_owned());
        }
    }
}
