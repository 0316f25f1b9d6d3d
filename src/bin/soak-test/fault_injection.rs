//! Injects the faults of a soak test as scheduled, and records what the checker needs to know of them: pauses,
//! drains, removals and exemptions. The state is [`SoakTest`]'s.

use crate::connect_delay;
use crate::discovery::Phase;
use crate::gatherer_process::Gatherer;
use crate::harness::SoakTest;
use crate::monotonic::now_us;
use crate::worker_process::WorkerProcess;
use gatherer::soak::checker::{EndpointRemoval, WorkerPause};
use gatherer::soak::fault_schedule::{Fault, ScheduledFault, fault_schedule};
use rustix::process::Signal;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;

/// Number of workers for each fault that may be active in workers: no fault is injected into another worker
/// while a quarter of them or more have one.
const WORKERS_PER_FAULT: usize = 4;
/// Shortest time between the announcement of a worker's drain and the worker's end.
const DRAIN_LASTS: Duration = Duration::from_millis(1500);
/// Longest pause of a gatherer, which the specification permits.
const MAX_GATHERER_PAUSE: Duration = Duration::from_millis(150);
/// Time for which the configuration file stays half written.
const HALF_WRITTEN_FOR: Duration = Duration::from_millis(30);
/// Time after a reload begins within which the gatherer need not know of drains and removals.
const EXEMPT_AFTER_RELOAD_US: u64 = 4_000_000;
/// Time after its system calls failed within which a gatherer need not know of drains and removals.
const EXEMPT_AFTER_SYSTEM_CALL_FAULTS_US: u64 = 500_000;

/// The time at which a gatherer's agent announced a change of the endpoint list.
struct Announcement {
    gatherer: usize,
    announced_at: u64,
}

impl SoakTest {
    /// Injects the scheduled faults; returns at the end of the run, when all faults have passed.
    pub async fn inject_faults(self: Rc<Self>) {
        let start = tokio::time::Instant::now();
        let mut running = Vec::new();
        let length = Duration::from_secs(self.options.seconds);
        for scheduled in fault_schedule(self.options.seed, length) {
            if !self.is_selected(scheduled.fault) {
                continue;
            }
            tokio::time::sleep_until(start + scheduled.begins_after).await;
            running.push(spawn_local(self.clone().inject(scheduled)));
        }
        tokio::time::sleep_until(start + length).await;
        for injection in running {
            injection.await.expect("no injection panics");
        }
    }

    /// Whether the option `--only` permits this fault.
    fn is_selected(&self, fault: Fault) -> bool {
        let only = &self.options.only;
        only.is_empty() || only.iter().any(|name| name == fault.name())
    }

    async fn inject(self: Rc<Self>, scheduled: ScheduledFault) {
        match scheduled.fault {
            Fault::WorkerDrain | Fault::WorkerKill | Fault::WorkerPause | Fault::LateConnects => {
                self.inject_into_worker(scheduled).await;
            }
            _ => self.inject_into_gatherer(scheduled).await,
        }
    }

    /// Injects a fault into a worker; skips it if that worker has one already, or too many others have.
    async fn inject_into_worker(&self, scheduled: ScheduledFault) {
        let number = scheduled.target % self.workers.len();
        // Keeps at least two replicas of each shard without a fault.
        let faulted = self.faulted_workers.borrow().len();
        let is_faulted = self.faulted_workers.borrow().contains(&number);
        if is_faulted || faulted * WORKERS_PER_FAULT >= self.workers.len() {
            return;
        }
        self.faulted_workers.borrow_mut().push(number);
        self.injected.set(self.injected.get() + 1);
        let worker = &self.workers[number];
        match scheduled.fault {
            Fault::WorkerPause => self.pause_worker(worker, scheduled.lasts).await,
            Fault::LateConnects => delay_connects(worker, scheduled.lasts).await,
            Fault::WorkerDrain => self.drain_worker(worker, scheduled.lasts).await,
            _ => self.kill_worker(worker, scheduled.lasts).await,
        }
        self.faulted_workers.borrow_mut().retain(|other| *other != number);
    }

    /// Pauses a worker (SIGSTOP, SIGCONT).
    async fn pause_worker(&self, worker: &WorkerProcess, lasts: Duration) {
        let paused_at = now_us();
        worker.signal(Signal::STOP);
        tokio::time::sleep(lasts).await;
        worker.signal(Signal::CONT);
        let pause = WorkerPause { worker: worker.name.clone(), paused_at, resumed_at: now_us() };
        self.observations.borrow_mut().worker_pauses.push(pause);
    }

    /// Announces a worker's drain, kills the worker at the end of the drain, and restarts it.
    async fn drain_worker(&self, worker: &WorkerProcess, lasts: Duration) {
        let announced = self.announce_phase(&worker.name, Phase::Draining);
        tokio::time::sleep(DRAIN_LASTS + lasts).await;
        worker.kill();
        self.relist(worker, announced);
    }

    /// Kills a worker, announces its removal after half of the fault's duration, and restarts the worker.
    async fn kill_worker(&self, worker: &WorkerProcess, lasts: Duration) {
        worker.kill();
        tokio::time::sleep(lasts / 2).await;
        let announced = self.announce_phase(&worker.name, Phase::Deleted);
        tokio::time::sleep(lasts).await;
        self.relist(worker, announced);
    }

    /// Lists a worker in this phase. Returns the announcements of the agents that are responsive.
    fn announce_phase(&self, name: &str, phase: Phase) -> Vec<Announcement> {
        if let Some(endpoint) = self.list.borrow_mut().get_mut(name) {
            endpoint.phase = phase;
        }
        self.publish()
    }

    /// Sends the list to all agents. Returns the announcements of those that serve it now; unresponsive agents
    /// serve it later and are not checked for this change.
    fn publish(&self) -> Vec<Announcement> {
        let list = self.list.borrow();
        let announcement = |gatherer: &Rc<Gatherer>| {
            let applied = gatherer.agent.update(&list);
            applied.then(|| Announcement { gatherer: gatherer.number, announced_at: now_us() })
        };
        self.gatherers.iter().filter_map(announcement).collect()
    }

    /// Restarts a worker, lists it as serving, and records its removal for each agent that announced it.
    fn relist(&self, worker: &WorkerProcess, announced: Vec<Announcement>) {
        worker.restart();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if let Some(endpoint) = self.list.borrow_mut().get_mut(&worker.name) {
            endpoint.phase = Phase::Serving;
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

    /// Injects a fault into a gatherer; skips it if it affects the process and another such fault is active.
    async fn inject_into_gatherer(&self, scheduled: ScheduledFault) {
        let gatherer = &self.gatherers[scheduled.target % self.gatherers.len()];
        // Only one fault at a time may pause or replace a gatherer's process.
        let is_exclusive =
            matches!(scheduled.fault, Fault::Restart | Fault::Upgrade | Fault::Kill | Fault::Pause);
        if is_exclusive && gatherer.in_transition.replace(true) {
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
            Fault::WorkerDrain | Fault::WorkerKill | Fault::WorkerPause | Fault::LateConnects => {}
        }
        if is_exclusive {
            gatherer.in_transition.set(false);
        }
    }

    /// Pauses a gatherer (SIGSTOP, SIGCONT) for at most [`MAX_GATHERER_PAUSE`], and records the pause.
    async fn pause(&self, gatherer: &Gatherer, lasts: Duration) {
        let paused_at = now_us();
        let send_to_current_process = |signal| {
            gatherer.process.borrow().as_ref().map(|process| {
                process.signal(signal);
                process.number
            })
        };
        let Some(number) = send_to_current_process(Signal::STOP) else { return };
        tokio::time::sleep(lasts.min(MAX_GATHERER_PAUSE)).await;
        send_to_current_process(Signal::CONT);
        let process = &mut self.observations.borrow_mut().processes[number];
        process.longest_pause_us = process.longest_pause_us.max(now_us() - paused_at);
    }
}

/// Lets new connections to a worker come up late.
async fn delay_connects(worker: &WorkerProcess, lasts: Duration) {
    worker.signal(connect_delay::BEGIN_SIGNAL);
    tokio::time::sleep(lasts).await;
    worker.signal(connect_delay::END_SIGNAL);
}

/// Changes the discovery address in a gatherer's configuration to its agent's other address. SIGHUP is sent
/// while the file is half written; the gatherer has to read it again when it is whole.
async fn reload(gatherer: &Gatherer) {
    gatherer.agent_address.set(1 - gatherer.agent_address.get());
    let began_at = now_us();
    gatherer.reload_half_written();
    tokio::time::sleep(HALF_WRITTEN_FOR).await;
    gatherer.write_configuration();
    gatherer.exempt(began_at, began_at + EXEMPT_AFTER_RELOAD_US);
}

/// Makes system calls of a gatherer fail for a while, by its fault library's switch.
async fn fail_system_calls(gatherer: &Gatherer, lasts: Duration) {
    let began_at = now_us();
    std::fs::write(gatherer.fault_switch(), "").expect("the fault switch is created");
    tokio::time::sleep(lasts).await;
    // Fails if an overlapping fault of this kind has removed the switch.
    let _ = std::fs::remove_file(gatherer.fault_switch());
    gatherer.exempt(began_at, now_us() + EXEMPT_AFTER_SYSTEM_CALL_FAULTS_US);
}
