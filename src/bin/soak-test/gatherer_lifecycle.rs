//! Starts, restarts, upgrades and kills the gatherers' processes, and records when each was ready and when it
//! was signalled. The state is [`SoakTest`]'s.

use crate::gatherer_process::{Gatherer, GathererProcess};
use crate::gatherer_settings::DEADLINE_MS;
use crate::harness::{POLL_INTERVAL, SoakTest};
use crate::monotonic::now_us;
use gatherer::protocol::http;
use gatherer::soak::fault_schedule::system_call_faults;
use rustix::process::Signal;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Interval between two checks for processes that ended without a signal.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a process to be ready or to exit; longer than the checker's limits.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Time from SIGTERM to the earliest SIGKILL: the longest deadline and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(DEADLINE_MS + 700);
/// Time-out of one readiness request.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after SIGTERM for which clients still open new connections to a gatherer, as those behind a load
/// balancer do until it notices.
const FRONT_LAYER_NOTICE: Duration = Duration::from_millis(300);
/// Time after an upgrade within which the gatherer need not know of drains and removals.
const EXEMPT_AFTER_UPGRADE_US: u64 = 2_000_000;

impl SoakTest {
    /// Draws the system calls that fail in the next process, as the value of `FAULTS`.
    fn draw_system_call_faults(&self) -> String {
        self.starts.set(self.starts.get() + 1);
        system_call_faults(self.options.seed, self.starts.get())
    }

    /// Starts a process, makes it the gatherer's current one, and waits until it is ready. Returns its
    /// number, also if it did not become ready.
    async fn start_process(&self, gatherer: &Gatherer) -> usize {
        let process = gatherer.start(&self.draw_system_call_faults(), &self.observations);
        let (number, operator_address) = (process.number, process.operator_address.clone());
        gatherer.process.replace(Some(process));
        self.wait_until_ready(gatherer, number, &operator_address).await;
        number
    }

    /// Starts a gatherer's process, waits until it is ready, and lets clients connect to it.
    pub async fn launch(&self, gatherer: &Gatherer) {
        let began_at = now_us();
        let number = self.start_process(gatherer).await;
        gatherer.exempt(began_at, now_us());
        gatherer.endpoint.process.set(number);
        gatherer.endpoint.accepts_connections.set(true);
    }

    /// Waits until a process reports that it is ready, has ended, or [`PROCESS_TIMEOUT`] has passed.
    async fn wait_until_ready(&self, gatherer: &Gatherer, number: usize, operator_address: &str) {
        let started = tokio::time::Instant::now();
        while started.elapsed() < PROCESS_TIMEOUT {
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

    /// Whether the gatherer's current process is the one of this number, and has ended.
    fn has_ended(&self, gatherer: &Gatherer, number: usize) -> bool {
        let mut process = gatherer.process.borrow_mut();
        process
            .as_mut()
            .is_some_and(|process| process.number == number && process.has_ended(&self.observations))
    }

    /// Sends SIGTERM to a process and waits for its exit, for at most [`PROCESS_TIMEOUT`].
    pub async fn terminate(&self, mut process: GathererProcess) {
        self.observations.borrow_mut().processes[process.number].terminated_at = Some(now_us());
        process.signal(Signal::TERM);
        let signalled = tokio::time::Instant::now();
        let (is_killed_early, mut was_killed) = (self.options.hostile > 0, false);
        if is_killed_early {
            // Signals may come in series: these change nothing more.
            process.signal(Signal::HUP);
            process.signal(Signal::TERM);
        }
        while !process.has_ended(&self.observations) && signalled.elapsed() < PROCESS_TIMEOUT {
            if is_killed_early && signalled.elapsed() >= EARLIEST_KILL {
                process.signal(Signal::KILL);
                was_killed = true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if was_killed && let Some(exit) = &mut self.observations.borrow_mut().processes[process.number].exit {
            // A process that still holds connections at the kill is no crash; a request that is lost by it is checked as
            // any other.
            exit.success = true;
        }
    }

    /// Restarts a gatherer: sends SIGTERM, stops new client connections a while later, and starts another
    /// process after the first has exited.
    pub async fn restart(&self, gatherer: &Gatherer) {
        let Some(process) = gatherer.process.take() else { return };
        let endpoint = gatherer.endpoint.clone();
        spawn_local(async move {
            tokio::time::sleep(FRONT_LAYER_NOTICE).await;
            endpoint.accepts_connections.set(false);
        });
        self.terminate(process).await;
        // By then clients have stopped connecting, and the task above cannot undo what `launch` sets.
        tokio::time::sleep(FRONT_LAYER_NOTICE).await;
        self.launch(gatherer).await;
    }

    /// Upgrades a gatherer (hot restart): starts a second process, which takes over the listening sockets, and
    /// terminates the first. If the second does not become ready, it is killed and the first stays.
    pub async fn upgrade(&self, gatherer: &Gatherer) {
        let began_at = now_us();
        let Some(predecessor) = gatherer.process.take() else { return };
        let number = self.start_process(gatherer).await;
        let is_ready = self.observations.borrow().processes[number].ready_at.is_some();
        gatherer.exempt(began_at, now_us() + EXEMPT_AFTER_UPGRADE_US);
        if is_ready {
            gatherer.endpoint.process.set(number);
            self.terminate(predecessor).await;
        } else {
            // Dropping the second process, which `replace` returns, kills it.
            self.observations.borrow_mut().processes[number].killed_at = Some(now_us());
            gatherer.process.replace(Some(predecessor));
        }
    }

    /// Kills a gatherer's process (SIGKILL) and starts another.
    pub async fn kill(&self, gatherer: &Gatherer) {
        let Some(mut process) = gatherer.process.take() else { return };
        gatherer.endpoint.accepts_connections.set(false);
        self.observations.borrow_mut().processes[process.number].killed_at = Some(now_us());
        process.signal(Signal::KILL);
        while !process.has_ended(&self.observations) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.launch(gatherer).await;
    }

    /// Starts another process for each gatherer whose process ended without a signal; never returns.
    pub async fn restart_ended_processes(self: Rc<Self>) {
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

/// Whether a process reports that it is ready; false if no response comes within [`READINESS_TIMEOUT`].
async fn is_ready(operator_address: &str) -> bool {
    let response = async {
        let mut stream = TcpStream::connect(operator_address).await.ok()?;
        stream.write_all(&http::encode_request("GET", "/-/ready", "soak", None)).await.ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok()?;
        Some(response.starts_with(b"HTTP/1.1 200"))
    };
    matches!(tokio::time::timeout(READINESS_TIMEOUT, response).await, Ok(Some(true)))
}
