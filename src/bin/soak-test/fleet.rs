//! The processes of a soak: gatherers with what they log, and workers with what they tell.

use crate::clients::Door;
use crate::clients::SHARDS;
use crate::discovery::Agent;
use crate::time;
use gatherer::soak::judge::{Observations, Part, Process};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;

/// Replicas of a shard.
const SPAN: usize = 3;
/// The grace of a drain, in milliseconds.
pub const DRAIN_GRACE_MS: u64 = 250;
/// The longest deadline, in milliseconds.
pub const DEADLINE_MS: u64 = 3000;

/// Sends a signal; a process that has ended by itself hears none.
pub fn signal(child: &Child, signal: Signal) {
    if let Some(process) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        // It may have ended in this moment.
        let _ = kill_process(process, signal);
    }
}

/// Kills a process, and waits for its end.
fn end(child: &mut Child) {
    // It may have ended by itself, and been waited for.
    let _ = child.kill();
    let _ = child.wait();
}

/// A worker's process.
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    child: RefCell<Child>,
    parts: Arc<Mutex<Vec<Part>>>,
    seed: Cell<u64>,
}

impl Worker {
    /// Starts a worker.
    pub fn start(name: &str, seed: u64) -> Rc<Worker> {
        let address = free();
        let parts = Arc::default();
        let child = RefCell::new(spawn_worker(name, &address, seed, &parts));
        Rc::new(Worker { name: name.to_owned(), address, child, parts, seed: Cell::new(seed) })
    }

    /// Kills it.
    pub fn kill(&self) {
        end(&mut self.child.borrow_mut());
    }

    /// Starts it anew at its address.
    pub fn restart(&self) {
        self.seed.set(self.seed.get() + 1);
        let new = spawn_worker(&self.name, &self.address, self.seed.get(), &self.parts);
        let mut before = self.child.replace(new);
        end(&mut before);
    }

    /// Stops it, or has it go on.
    pub fn signal(&self, which: Signal) {
        signal(&self.child.borrow(), which);
    }

    /// Moves what it has told to the observations.
    pub fn collect(&self, seen: &mut Observations) {
        seen.parts.append(&mut self.parts.lock().expect("no reader panics"));
    }
}

fn spawn_worker(name: &str, address: &str, seed: u64, parts: &Arc<Mutex<Vec<Part>>>) -> Child {
    let own = std::env::current_exe().expect("the path of this program");
    let mut command = Command::new(own);
    command.args(["worker", "--seed", &seed.to_string(), "--listen", address]);
    let mut child = command.stdout(Stdio::piped()).spawn().expect("a worker starts");
    let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let (name, parts) = (name.to_owned(), parts.clone());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if let Some(part) = read_part(&line, &name) {
                parts.lock().expect("no reader panics").push(part);
            }
        }
    });
    child
}

fn read_part(line: &str, worker: &str) -> Option<Part> {
    let words: Vec<&str> = line.split(' ').collect();
    let ["part", came, request, shard, told_ms, ran] = words[..] else { return None };
    Some(Part {
        request: request.to_owned(),
        shard: shard.parse().ok()?,
        worker: worker.to_owned(),
        came: came.parse().ok()?,
        told: told_ms.parse::<u64>().ok()? * 1000,
        ran: ran == "true",
    })
}

/// What a gatherer's process has logged, as far as it is judged.
#[derive(Default)]
struct Logged {
    panic: Option<String>,
    violations: Option<String>,
}

/// A running process of a gatherer.
pub struct Running {
    /// Its number among all processes.
    pub number: usize,
    /// Where its operators call.
    pub operators: String,
    child: Child,
    logged: Arc<Mutex<Logged>>,
}

/// A gatherer: its door, its agent, and its processes.
pub struct Gatherer {
    /// Its number.
    pub number: usize,
    /// Where its clients come in.
    pub door: Rc<Door>,
    /// Its discovery.
    pub agent: Rc<Agent>,
    /// Which of its agent's addresses its configuration names.
    pub at: Cell<usize>,
    /// Its process; while there are two of them, the newer.
    pub running: RefCell<Option<Running>>,
    /// Something is being done to its processes.
    pub busy: Cell<bool>,
    /// From when to when news need not be known at once: a start, an upgrade, faults of its own calls.
    pub excused: RefCell<Vec<(u64, u64)>>,
    files: Rc<Files>,
}

/// Where files and programs are.
pub struct Files {
    /// A folder of the soak's own.
    pub folder: PathBuf,
    /// The gatherer's program.
    pub program: PathBuf,
    /// The library of faults.
    pub library: Option<PathBuf>,
    /// Where logs are kept.
    pub logs: Option<PathBuf>,
    /// Where each gatherer takes part in membership.
    pub members: Vec<String>,
    /// Gatherers and workers.
    pub counts: (usize, usize),
}

impl Gatherer {
    /// A gatherer of which no process runs yet.
    pub fn new(number: usize, agent: Rc<Agent>, files: Rc<Files>) -> Rc<Gatherer> {
        let door = Rc::new(Door { address: free(), open: Cell::new(false), start: Cell::new(0) });
        Rc::new(Gatherer {
            number,
            door,
            agent,
            at: Cell::new(0),
            running: RefCell::default(),
            busy: Cell::new(false),
            excused: RefCell::default(),
            files,
        })
    }

    /// The file while which is there its system calls fail.
    pub fn switch(&self) -> PathBuf {
        self.files.folder.join(format!("faults-{}", self.number))
    }

    fn file(&self, operators: &str) -> PathBuf {
        self.files.folder.join(format!("g{}-{}.json", self.number, operators.replace(':', "-")))
    }

    fn configuration(&self, operators: &str) -> Value {
        let (gatherers, workers) = self.files.counts;
        json!({
            "name": format!("g{}", self.number), "listen": self.door.address, "operator": operators,
            "discovery": self.agent.addresses[self.at.get()], "seed": format!("{:x}", self.number + 7),
            "limits": {"sockets": 256, "memory_mb": 64}, "known": self.agent.list(),
            "settings": settings(gatherers, workers),
        })
    }

    /// Has it keep records, and take part in membership.
    fn operator_file(&self) -> PathBuf {
        let folder = self.files.folder.join(format!("records-{}", self.number));
        let seeds: Vec<String> = self.files.members.iter().map(|address| format!("{address:?}")).collect();
        let text = format!(
            "[records]\nfolder = {folder:?}\nsegment_kb = 64\nall_kb = 256\n[membership]\nlisten = {:?}\ncluster = \"soak\"\nsecret = \"sixteen bytes or more\"\nseeds = [{}]\n",
            self.files.members[self.number],
            seeds.join(", ")
        );
        let file = self.files.folder.join(format!("operator-{}.toml", self.number));
        std::fs::write(&file, text).expect("written");
        file
    }

    /// Starts a process beside what runs.
    pub fn start(&self, faults: &str, seen: &RefCell<Observations>) -> Running {
        let operators = free();
        let file = self.file(&operators);
        std::fs::write(&file, self.configuration(&operators).to_string()).expect("written");
        let mut command = Command::new(&self.files.program);
        command.args(["serve", "--operator"]).arg(self.operator_file());
        command.env_clear().env("LB_CONFIG", &file).env("TMPDIR", &self.files.folder).stderr(Stdio::piped());
        if let Some(library) = &self.files.library {
            command.env("LD_PRELOAD", library).env("FAULTS", faults).env("FAULTS_SWITCH", self.switch());
        }
        let number = seen.borrow().processes.len();
        let started = time::now();
        let mut child = command.spawn().expect("the program is there");
        seen.borrow_mut().processes.push(Process { gatherer: self.number, started, ..Process::default() });
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let logged: Arc<Mutex<Logged>> = Arc::default();
        let (kept, file) =
            (logged.clone(), self.files.logs.as_ref().map(|logs| log_file(logs, self.number, number)));
        thread::spawn(move || read_log(lines.map_while(Result::ok), &kept, file));
        Running { number, operators, child, logged }
    }

    /// Writes the configuration of what runs anew, half of it first, and has it read.
    pub fn rewrite(&self, half: bool) {
        let running = self.running.borrow();
        let Some(running) = &*running else { return };
        let text = self.configuration(&running.operators).to_string();
        let length = if half { text.len() / 2 } else { text.len() };
        std::fs::write(self.file(&running.operators), &text[..length]).expect("written");
        if half {
            signal(&running.child, Signal::HUP);
        }
    }

    /// From when on news that came at this time has to be known.
    pub fn told(&self, at: u64) -> u64 {
        let excused = self.excused.borrow();
        excused.iter().filter(|(from, to)| (*from..*to).contains(&at)).map(|(_, to)| *to).fold(at, u64::max)
    }
}

impl Running {
    /// Sends it a signal.
    pub fn signal(&self, which: Signal) {
        signal(&self.child, which);
    }

    /// Whether it has ended; it is noted if so.
    pub fn has_ended(&mut self, seen: &RefCell<Observations>) -> bool {
        let Ok(Some(status)) = self.child.try_wait() else { return false };
        let mut seen = seen.borrow_mut();
        let process = &mut seen.processes[self.number];
        process.ended.get_or_insert((time::now(), status.success()));
        let logged = self.logged.lock().expect("no reader panics");
        process.panic.clone_from(&logged.panic);
        if let Some(line) = &logged.violations {
            process.violations = read_violations(line);
        }
        true
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // No process outlives the soak.
        end(&mut self.child);
    }
}

fn read_violations(line: &str) -> std::collections::BTreeMap<String, u64> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let counts = pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)));
    counts.filter(|(name, _)| name != "total").collect()
}

fn log_file(logs: &Path, gatherer: usize, process: usize) -> std::fs::File {
    std::fs::create_dir_all(logs).expect("a folder");
    std::fs::File::create(logs.join(format!("g{gatherer}-{process}.log"))).expect("a file")
}

fn read_log(lines: impl Iterator<Item = String>, kept: &Mutex<Logged>, mut file: Option<std::fs::File>) {
    for line in lines {
        if let Some(file) = &mut file {
            writeln!(file, "{} {line}", time::now()).expect("written");
        }
        let mut kept = kept.lock().expect("no reader panics");
        if line.contains("panicked at") {
            kept.panic.get_or_insert(line);
        } else if let Some((_, rest)) = line.split_once("violations: ") {
            kept.violations = Some(rest.to_owned());
        }
    }
}

/// An address that no stand-in and no client uses.
pub fn free() -> String {
    let [a, b, c, ..] = fastrand::u32(..).to_le_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, a.max(1), b, c), 0)).expect("a port");
    listener.local_addr().expect("an address").to_string()
}

fn settings(gatherers: usize, workers: usize) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "promise": 1_500_000_000, "deadline": DEADLINE_MS * 1_000_000, "semantics": semantics,
            "worth": 1.0, "late-worth": 0.5})
    };
    json!({
        "allowed": {"cancel": true, "second-copies": true, "most-tries": 4, "retry-after": true,
            "max-retry-after": 200_000_000, "max-open": 600, "may-tell": true, "connect-timeout": 250_000_000,
            "conn-idle": 2_000_000_000, "multiplex": 32},
        "categories": [class("search", "repeatable"), class("seal", "once")],
        "tenants": [{"name": "bank", "quota-per-s": 10_000.0}],
        "balancers": gatherers, "quantum": 5_000_000, "localities": ["a"], "az": 0,
        "domain": {"cells": cells(workers), "span": SPAN, "slices": SHARDS, "per-call": 4,
            "min-share": [1.0, 1.0], "whole-at": [1.0, 1.0]},
        "report": {"source": "piggyback", "fields": ["busy", "q"]},
        "rules": {"grace-to-answer": 20_000_000, "drain-grace": DRAIN_GRACE_MS * 1_000_000, "cold-share": 0.5,
            "warm-up": 1_000_000_000, "fall": 1_000_000_000, "fall-multiple": 10.0},
    })
}

/// Cells of the layout, of a few workers each.
pub fn cells(workers: usize) -> usize {
    (workers / 2).clamp(SPAN, 6)
}
