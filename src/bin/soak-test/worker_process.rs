//! Starts and signals the process of a stand-in worker, and reads the parts that the worker reports on its
//! standard output. The worker itself is in `stand_in_worker`.

use crate::process::{free_address, kill_and_wait, send_signal};
use gatherer::soak::checker::{Observations, Part};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;

/// A stand-in worker's process.
pub struct WorkerProcess {
    /// Name of the worker in the endpoint list.
    pub name: String,
    /// Address on which the worker listens; it stays the same over restarts.
    pub address: String,
    child: RefCell<Child>,
    /// Parts that the worker has reported and that are not collected yet.
    parts: Arc<Mutex<Vec<Part>>>,
    /// Seed of the running process; each restart increments it.
    seed: Cell<u64>,
}

impl WorkerProcess {
    /// Starts a worker on an unused address.
    pub fn start(name: &str, seed: u64) -> Rc<WorkerProcess> {
        let address = free_address();
        let parts = Arc::default();
        let child = RefCell::new(spawn_worker(name, &address, seed, &parts));
        Rc::new(WorkerProcess { name: name.to_owned(), address, child, parts, seed: Cell::new(seed) })
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        kill_and_wait(&mut self.child.borrow_mut());
    }

    /// Starts a new process on the worker's address.
    pub fn restart(&self) {
        self.seed.set(self.seed.get() + 1);
        let new = spawn_worker(&self.name, &self.address, self.seed.get(), &self.parts);
        let mut previous = self.child.replace(new);
        kill_and_wait(&mut previous);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        send_signal(&self.child.borrow(), signal);
    }

    /// Moves the parts that the worker has reported to the observations.
    pub fn collect_parts(&self, observations: &mut Observations) {
        observations.parts.append(&mut self.parts.lock().expect("the output reader does not panic"));
    }
}

fn spawn_worker(name: &str, address: &str, seed: u64, parts: &Arc<Mutex<Vec<Part>>>) -> Child {
    let program = std::env::current_exe().expect("the path of this program is known");
    let mut command = Command::new(program);
    command.args(["worker", "--seed", &seed.to_string(), "--listen", address]);
    let mut child = command.stdout(Stdio::piped()).spawn().expect("the worker's process starts");
    let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
    let (name, parts) = (name.to_owned(), parts.clone());
    thread::spawn(move || {
        // The output ends with the process; a read error is handled alike.
        for line in lines.map_while(Result::ok) {
            if let Some(part) = parse_part(&line, &name) {
                parts.lock().expect("the output reader does not panic").push(part);
            }
        }
    });
    child
}

/// Parses a `part` line of `stand_in_worker`; `None` for any other line.
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
