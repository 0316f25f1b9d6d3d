//! Injects the faults of a soak test as they are scheduled, and notes what they excuse: pauses, and when
//! drains and removals of workers were announced. It owns no state; [`SoakTest`] does.

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

/// At most one in so many workers has a fault at once.
const WORKERS_PER_FAULT: usize = 4;
/// How long after its drain was announced a worker ends, at least.
const DRAIN_LASTS: Duration = Duration::from_millis(1500);
/// The longest pause of a gatherer: the specification allows for it.
const MAX_GATHERER_PAUSE: Duration = Duration::from_millis(150);
/// How long a half-written configuration stays.
const HALF_WRITTEN_FOR: Duration = Duration::from_millis(30);
/// A gatherer has to know of drains and removals so long after a new configuration.
const EXEMPT_AFTER_RELOAD_US: u64 = 4_000_000;
/// A gatherer has to know of drains and removals so long after its calls failed.
const EXEMPT_AFTER_SYSTEM_CALL_FAULTS_US: u64 = 500_000;

/// When a gatherer's agent announced a change of the endpoint list.
struct Announcement {
    gatherer: usize,
    announced_at: u64,
}

impl SoakTest {
    /// Injects the faults as scheduled, and returns when the last one has passed.
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
            injection.await.expect("no fault panics");
        }
    }

    /// Whether the options let this fault be injected.
    fn is_selected(&self, fault: Fault) -> bool {
        let only = &self.options.only;
        only.is_empty() || only.iter().any(|name| name == fault.name())
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
        // Two replicas of each shard stay untouched.
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
            Fault::WorkerDrain => self.drain_worker(worker, scheduled.lasts).await,
            _ => self.kill_worker(worker, scheduled.lasts).await,
        }
        self.faulted_workers.borrow_mut().retain(|other| *other != number);
    }

    /// Pauses a worker for so long.
    async fn pause_worker(&self, worker: &WorkerProcess, lasts: Duration) {
        let paused_at = now_us();
        worker.signal(Signal::STOP);
        tokio::time::sleep(lasts).await;
        worker.signal(Signal::CONT);
        let pause = WorkerPause { worker: worker.name.clone(), paused_at, resumed_at: now_us() };
        self.observations.borrow_mut().worker_pauses.push(pause);
    }

    /// Announces a worker's drain, ends the worker, and brings it back.
    async fn drain_worker(&self, worker: &WorkerProcess, lasts: Duration) {
        let announced = self.announce_phase(&worker.name, Phase::Draining);
        tokio::time::sleep(DRAIN_LASTS + lasts).await;
        worker.kill();
        self.relist(worker, announced);
    }

    /// Kills a worker, announces its removal a while later, and brings it back.
    async fn kill_worker(&self, worker: &WorkerProcess, lasts: Duration) {
        worker.kill();
        tokio::time::sleep(lasts / 2).await;
        let announced = self.announce_phase(&worker.name, Phase::Deleted);
        tokio::time::sleep(lasts).await;
        self.relist(worker, announced);
    }

    /// Lists a worker in this phase; which agents announced it, and when.
    fn announce_phase(&self, name: &str, phase: Phase) -> Vec<Announcement> {
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

    async fn inject_into_gatherer(&self, scheduled: ScheduledFault) {
        let gatherer = &self.gatherers[scheduled.target % self.gatherers.len()];
        // Only one fault at a time may signal or replace a gatherer's process.
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
            Fault::WorkerDrain | Fault::WorkerKill | Fault::WorkerPause => {}
        }
        if is_exclusive {
            gatherer.in_transition.set(false);
        }
    }

    /// Pauses a gatherer for as long as the specification allows for.
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
