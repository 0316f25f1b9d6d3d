//! A gatherer: its files, its processes, and what is checked of their logs. It never decides when a process
//! starts or ends: `gatherer_lifecycle` does.

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

/// What is checked of the lines that a gatherer's process has logged.
#[derive(Default)]
struct LogFindings {
    panic: Option<String>,
    invariant_counters: Option<String>,
}

/// A running process of a gatherer.
pub struct GathererProcess {
    /// Its number among all processes.
    pub number: usize,
    /// Where its operators connect.
    pub operator_address: String,
    child: Child,
    log: Arc<Mutex<LogFindings>>,
}

/// A span in which a gatherer need not know of a drain or removal at once.
struct Exemption {
    from: u64,
    until: u64,
}

/// A gatherer: where its clients connect, its discovery agent, and its processes.
pub struct Gatherer {
    /// Its number.
    pub number: usize,
    /// Where its clients connect.
    pub endpoint: Rc<GathererEndpoint>,
    /// Its discovery.
    pub agent: Rc<DiscoveryAgent>,
    /// Which of its agent's addresses its configuration names.
    pub agent_address: Cell<usize>,
    /// Its process; while there are two of them, the newer.
    pub process: RefCell<Option<GathererProcess>>,
    /// A fault is being injected into its processes; no other may be.
    pub in_transition: Cell<bool>,
    exemptions: RefCell<Vec<Exemption>>,
    environment: Rc<Environment>,
}

/// Where files and programs are, and how large the fleet is.
pub struct Environment {
    /// A folder of the soak test's own.
    pub folder: PathBuf,
    /// The gatherer's program.
    pub program: PathBuf,
    /// The fault library.
    pub library: Option<PathBuf>,
    /// Where logs are kept.
    pub logs: Option<PathBuf>,
    /// Where each gatherer takes part in membership.
    pub membership_addresses: Vec<String>,
    /// Gatherers of the fleet.
    pub gatherers: usize,
    /// Workers of the fleet.
    pub workers: usize,
}

impl Gatherer {
    /// A gatherer of which no process runs yet.
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

    /// The file that switches failing system calls on: they fail while it exists.
    pub fn fault_switch(&self) -> PathBuf {
        self.environment.folder.join(format!("faults-{}", self.number))
    }

    fn configuration_file(&self, operator_address: &str) -> PathBuf {
        let name = format!("g{}-{}.json", self.number, operator_address.replace(':', "-"));
        self.environment.folder.join(name)
    }

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

    /// Writes the operator's file, which makes the gatherer keep records and take part in membership.
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
        std::fs::write(&file, text).expect("written");
        file
    }

    /// The command that starts a process. `faults` says which of its system calls fail.
    fn command(&self, operator_address: &str, faults: &str) -> Command {
        let environment = &self.environment;
        let file = self.configuration_file(operator_address);
        std::fs::write(&file, self.configuration(operator_address).to_string()).expect("written");
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

    /// Starts a process beside those that run. `faults` says which of its system calls fail.
    pub fn start(&self, faults: &str, observations: &RefCell<Observations>) -> GathererProcess {
        let operator_address = free_address();
        let mut command = self.command(&operator_address, faults);
        let number = observations.borrow().processes.len();
        let started_at = now_us();
        let mut child = command.spawn().expect("the program is there");
        let process = Process { gatherer: self.number, started_at, ..Process::default() };
        observations.borrow_mut().processes.push(process);
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log: Arc<Mutex<LogFindings>> = Arc::default();
        let findings = log.clone();
        let logs = self.environment.logs.as_ref();
        let file = logs.map(|logs| create_log_file(logs, self.number, number));
        // A log that cannot be read is one that ended.
        thread::spawn(move || read_log(lines.map_while(Result::ok), &findings, file));
        GathererProcess { number, operator_address, child, log }
    }

    /// Writes the configuration of the running process anew.
    pub fn write_configuration(&self) {
        if let Some(process) = &*self.process.borrow() {
            let text = self.configuration(&process.operator_address).to_string();
            std::fs::write(self.configuration_file(&process.operator_address), text).expect("written");
        }
    }

    /// Writes half of the configuration of the running process, and has the process read it (SIGHUP).
    pub fn reload_half_written(&self) {
        if let Some(process) = &*self.process.borrow() {
            let text = self.configuration(&process.operator_address).to_string();
            let half = &text[..text.len() / 2];
            std::fs::write(self.configuration_file(&process.operator_address), half).expect("written");
            process.signal(Signal::HUP);
        }
    }

    /// It need not know of drains and removals within this span: it starts, is upgraded, or its own calls
    /// fail.
    pub fn exempt(&self, from: u64, until: u64) {
        self.exemptions.borrow_mut().push(Exemption { from, until });
    }

    /// From when on it has to know of a drain or removal that was announced at this time.
    pub fn effective_at(&self, announced_at: u64) -> u64 {
        let exemptions = self.exemptions.borrow();
        let covering =
            exemptions.iter().filter(|exemption| (exemption.from..exemption.until).contains(&announced_at));
        covering.map(|exemption| exemption.until).fold(announced_at, u64::max)
    }
}

impl GathererProcess {
    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        send_signal(&self.child, signal);
    }

    /// Whether it has ended; its end and its log are noted if so.
    pub fn has_ended(&mut self, observations: &RefCell<Observations>) -> bool {
        // A status that cannot be read now is read at the next call.
        let Ok(Some(status)) = self.child.try_wait() else { return false };
        let mut observations = observations.borrow_mut();
        let process = &mut observations.processes[self.number];
        process.exit.get_or_insert(ProcessExit { at: now_us(), success: status.success() });
        let log = self.log.lock().expect("no reader panics");
        process.panic.clone_from(&log.panic);
        if let Some(line) = &log.invariant_counters {
            process.invariant_counters = parse_invariant_counters(line);
        }
        true
    }
}

impl Drop for GathererProcess {
    fn drop(&mut self) {
        // No process outlives the soak test.
        kill_and_wait(&mut self.child);
    }
}

fn parse_invariant_counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    // A count that is no number is not a counter.
    let counts = pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)));
    counts.filter(|(name, _)| name != "total").collect()
}

fn create_log_file(logs: &Path, gatherer: usize, process: usize) -> std::fs::File {
    std::fs::create_dir_all(logs).expect("a folder");
    std::fs::File::create(logs.join(format!("g{gatherer}-{process}.log"))).expect("a file")
}

fn read_log(
    lines: impl Iterator<Item = String>,
    findings: &Mutex<LogFindings>,
    mut file: Option<std::fs::File>,
) {
    for line in lines {
        if let Some(file) = &mut file {
            writeln!(file, "{} {line}", now_us()).expect("written");
        }
        let mut findings = findings.lock().expect("no reader panics");
        if line.contains("panicked at") {
            findings.panic.get_or_insert(line);
        } else if let Some((_, counters)) = line.split_once("violations: ") {
            findings.invariant_counters = Some(counters.to_owned());
        }
    }
}
