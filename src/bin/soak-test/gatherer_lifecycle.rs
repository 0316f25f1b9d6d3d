//! Starts, restarts, upgrades, kills and ends the gatherers' processes, and notes when each was ready and
//! ended. It owns no state; [`SoakTest`] does.

use crate::gatherer_process::{Gatherer, GathererProcess};
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

/// How often processes are checked for an end without a signal.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a start or an end is waited for; the checker's limits are shorter.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a response about readiness is waited for.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after SIGTERM the front layer still opens new connections.
const FRONT_LAYER_NOTICE: Duration = Duration::from_millis(300);
/// An upgraded gatherer has to know of drains and removals so long after it took over.
const EXEMPT_AFTER_UPGRADE_US: u64 = 2_000_000;

impl SoakTest {
    /// Draws which system calls fail in the next process.
    fn draw_system_call_faults(&self) -> String {
        self.starts.set(self.starts.get() + 1);
        system_call_faults(self.options.seed, self.starts.get())
    }

    /// Starts a process that becomes the gatherer's newer one, and waits until it is ready. Returns its
    /// number.
    async fn start_process(&self, gatherer: &Gatherer) -> usize {
        let process = gatherer.start(&self.draw_system_call_faults(), &self.observations);
        let (number, operator_address) = (process.number, process.operator_address.clone());
        gatherer.process.replace(Some(process));
        self.wait_until_ready(gatherer, number, &operator_address).await;
        number
    }

    /// Starts a gatherer's process and waits until it is ready.
    pub async fn launch(&self, gatherer: &Gatherer) {
        let began_at = now_us();
        let number = self.start_process(gatherer).await;
        gatherer.exempt(began_at, now_us());
        gatherer.endpoint.process.set(number);
        gatherer.endpoint.accepts_connections.set(true);
    }

    /// Waits until a process reports that it is ready, has ended, or has taken too long.
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

    /// Whether this process, the newer of a gatherer's, has ended.
    fn has_ended(&self, gatherer: &Gatherer, number: usize) -> bool {
        let mut process = gatherer.process.borrow_mut();
        process
            .as_mut()
            .is_some_and(|process| process.number == number && process.has_ended(&self.observations))
    }

    /// Sends SIGTERM to a process and waits for its end.
    pub async fn terminate(&self, mut process: GathererProcess) {
        self.observations.borrow_mut().processes[process.number].terminated_at = Some(now_us());
        process.signal(Signal::TERM);
        let signalled = tokio::time::Instant::now();
        while !process.has_ended(&self.observations) && signalled.elapsed() < PROCESS_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends a gatherer's process, as the front layer takes the gatherer out, and starts another.
    pub async fn restart(&self, gatherer: &Gatherer) {
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

    /// Starts a process beside a gatherer's, which takes over from it, and ends the first.
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
            // The first process goes on; the second one ends as it is dropped.
            self.observations.borrow_mut().processes[number].killed_at = Some(now_us());
            gatherer.process.replace(Some(predecessor));
        }
    }

    /// Kills a gatherer's process and starts another.
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

    /// Notes processes that ended without a signal, and starts them anew.
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

/// Whether a process reports that it is ready; no response within the time-out is none.
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
