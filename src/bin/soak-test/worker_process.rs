//! The process of a stand-in worker, and the parts that it has reported on its standard output.

use crate::process::{free_address, kill_and_wait, send_signal};
use gatherer::soak::checker::{Observations, Part};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;

/// A worker's process.
pub struct WorkerProcess {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    child: RefCell<Child>,
    parts: Arc<Mutex<Vec<Part>>>,
    seed: Cell<u64>,
}

impl WorkerProcess {
    /// Starts a worker.
    pub fn start(name: &str, seed: u64) -> Rc<WorkerProcess> {
        let address = free_address();
        let parts = Arc::default();
        let child = RefCell::new(spawn_worker(name, &address, seed, &parts));
        Rc::new(WorkerProcess { name: name.to_owned(), address, child, parts, seed: Cell::new(seed) })
    }

    /// Kills it.
    pub fn kill(&self) {
        kill_and_wait(&mut self.child.borrow_mut());
    }

    /// Starts it anew at its address.
    pub fn restart(&self) {
        self.seed.set(self.seed.get() + 1);
        let new = spawn_worker(&self.name, &self.address, self.seed.get(), &self.parts);
        let mut previous = self.child.replace(new);
        kill_and_wait(&mut previous);
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        send_signal(&self.child.borrow(), signal);
    }

    /// Moves the parts that it has reported to the observations.
    pub fn collect_parts(&self, observations: &mut Observations) {
        observations.parts.append(&mut self.parts.lock().expect("no reader panics"));
    }
}

fn spawn_worker(name: &str, address: &str, seed: u64, parts: &Arc<Mutex<Vec<Part>>>) -> Child {
    let program = std::env::current_exe().expect("the path of this program");
    let mut command = Command::new(program);
    command.args(["worker", "--seed", &seed.to_string(), "--listen", address]);
    let mut child = command.stdout(Stdio::piped()).spawn().expect("a worker starts");
    let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let (name, parts) = (name.to_owned(), parts.clone());
    thread::spawn(move || {
        // An output that cannot be read is one that ended.
        for line in lines.map_while(Result::ok) {
            if let Some(part) = parse_part(&line, &name) {
                parts.lock().expect("no reader panics").push(part);
            }
        }
    });
    child
}

/// Parses a line that `stand_in_worker` writes for a part.
fn parse_part(line: &str, worker: &str) -> Option<Part> {
    let words: Vec<&str> = line.split(' ').collect();
    let ["part", received_at, request, shard, time_left_ms, executed] = words[..] else { return None };
    Some(Part {
        request: request.to_owned(),
        shard: shard.parse().ok()?,
        worker: worker.to_owned(),
        received_at: received_at.parse().ok()?,
        time_left_us: time_left_ms.parse::<u64>().ok()? * 1000,
        executed: executed == "true",
    })
}
