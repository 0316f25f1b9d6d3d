//! Plays a soak: starts the processes, lets troubles come as planned, and hands what was seen to the judge.

use crate::Run;
use crate::clients::{self, Shared};
use crate::discovery::{Agent, List, Listed};
use crate::fleet::{self, DEADLINE_MS, DRAIN_GRACE_MS, Files, Gatherer, Running, Worker};
use crate::time;
use fastrand::Rng;
use gatherer::protocol::http;
use gatherer::soak::judge::{Change, Finding, Observations, WorkerPause, judge};
use gatherer::soak::plan::{self, Planned, Trouble};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// How often something is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// No process takes so long to be ready or to end: the judge has spoken long before.
const LONGEST: Duration = Duration::from_secs(15);
/// For so long after SIGTERM the front layer still sends new connections.
const NOTICE: Duration = Duration::from_millis(300);
/// A worker goes so long after its drain was told.
const DRAINED: Duration = Duration::from_millis(1500);
/// Findings that are shown.
const SHOWN: usize = 20;

struct Soak {
    run: Run,
    seen: Rc<RefCell<Observations>>,
    gatherers: Vec<Rc<Gatherer>>,
    workers: Vec<Rc<Worker>>,
    /// Workers to which something is being done.
    occupied: RefCell<Vec<usize>>,
    list: RefCell<List>,
    starts: Cell<u64>,
    shared: Rc<Shared>,
    played: Cell<usize>,
}

/// Plays a soak and says what fell.
pub fn play(run: &Run) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (findings, summary) =
        LocalSet::new().block_on(&runtime, async { Soak::begin(run).await.play().await });
    println!("{summary}");
    if findings.is_empty() {
        println!("no invariant fell");
        return ExitCode::SUCCESS;
    }
    for finding in findings.iter().take(SHOWN) {
        println!("FELL {finding}");
    }
    if findings.len() > SHOWN {
        println!("... and {} more", findings.len() - SHOWN);
    }
    println!("to play it again: {}", again(run));
    ExitCode::FAILURE
}

fn again(run: &Run) -> String {
    let mut words = format!(
        "soak-test run --seed {} --seconds {} --gatherers {} --workers {} --clients {}",
        run.seed, run.seconds, run.gatherers, run.workers, run.clients
    );
    run.only.iter().for_each(|name| words.push_str(&format!(" --only {name}")));
    words.push_str(if run.no_faults { " --no-faults" } else { "" });
    words
}

/// The library of faults: the one that was named, or one built here.
fn library(run: &Run, folder: &Path) -> Option<PathBuf> {
    if run.no_faults {
        return None;
    }
    if let Some(library) = &run.library {
        return Some(library.clone());
    }
    let library = folder.join("faults.so");
    let mut compiler = Command::new("cc");
    compiler.args(["-O2", "-shared", "-fPIC", "-o"]).arg(&library).args(["tools/faults/faults.c", "-ldl"]);
    assert!(compiler.status().is_ok_and(|status| status.success()), "tools/faults/faults.c is compiled");
    Some(library)
}

impl Soak {
    async fn begin(run: &Run) -> Rc<Soak> {
        let folder = std::env::temp_dir().join(format!("soak-test-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let library = library(run, &folder);
        let files = Rc::new(Files {
            folder,
            program: run.program.clone(),
            library,
            logs: run.logs.clone(),
            members: (0..run.gatherers).map(|_| fleet::free()).collect(),
            counts: (run.gatherers, run.workers),
        });
        let cells = fleet::cells(run.workers);
        let workers: Vec<_> = (0..run.workers)
            .map(|at| Worker::start(&format!("w{at}"), run.seed * 1000 + at as u64))
            .collect();
        let listed = |(at, worker): (usize, &Rc<Worker>)| {
            let address = worker.address.clone();
            let cell = (at % cells) as u32;
            (worker.name.clone(), Listed { address, cell, phase: "SERVING", up_since_ms: 0 })
        };
        let list: List = workers.iter().enumerate().map(listed).collect();
        let mut gatherers = Vec::new();
        for number in 0..run.gatherers {
            gatherers.push(Gatherer::new(number, Agent::start(&list).await, files.clone()));
        }
        let seen = Rc::new(RefCell::new(Observations {
            drain_grace: (DRAIN_GRACE_MS + 50) * 1000,
            longest: DEADLINE_MS * 1000,
            ..Observations::default()
        }));
        let doors = gatherers.iter().map(|gatherer| gatherer.door.clone()).collect();
        let shared = Shared { doors, seen: seen.clone(), over: Cell::new(false), counts: Default::default() };
        Rc::new(Soak {
            run: run.clone(),
            seen,
            gatherers,
            workers,
            occupied: RefCell::default(),
            list: RefCell::new(list),
            starts: Cell::new(0),
            shared: Rc::new(shared),
            played: Cell::new(0),
        })
    }

    async fn play(self: Rc<Self>) -> (Vec<Finding>, String) {
        let lag = spawn_local(watch_lag(self.seen.clone()));
        for gatherer in &self.gatherers {
            gatherer.busy.set(true);
            self.clone().launch(gatherer.clone()).await;
            gatherer.busy.set(false);
        }
        let mut random = Rng::with_seed(self.run.seed);
        let clients: Vec<JoinHandle<()>> = (0..self.run.clients)
            .map(|_| spawn_local(clients::live(self.shared.clone(), random.fork())))
            .collect();
        let watching = spawn_local(self.clone().watch_processes());
        self.clone().trouble().await;
        self.shared.over.set(true);
        for client in clients {
            client.await.expect("no client panics");
        }
        watching.abort();
        self.end().await;
        lag.abort();
        let seen = self.seen.borrow();
        let [served, refused, failed] = self.shared.counts.each_ref().map(Cell::get);
        let summary = format!(
            "seed {}: {} troubles, {} processes, {} requests: {served} served, {refused} refused, {failed} failed; {} parts; lag {} ms",
            self.run.seed,
            self.played.get(),
            seen.processes.len() + self.workers.len(),
            seen.requests.len(),
            seen.parts.len(),
            seen.lag / 1000
        );
        (judge(&seen), summary)
    }

    /// Lets the troubles come, and returns when the last one has passed.
    async fn trouble(self: Rc<Self>) {
        let since = tokio::time::Instant::now();
        let mut running = Vec::new();
        let length = Duration::from_secs(self.run.seconds);
        for planned in plan::troubles(self.run.seed, length) {
            let name = format!("{:?}", planned.trouble).to_lowercase();
            if !self.run.only.is_empty() && !self.run.only.contains(&name) {
                continue;
            }
            tokio::time::sleep_until(since + planned.at).await;
            running.push(spawn_local(self.clone().befall(planned)));
        }
        tokio::time::sleep_until(since + length).await;
        for one in running {
            one.await.expect("no trouble panics");
        }
    }

    async fn befall(self: Rc<Self>, planned: Planned) {
        match planned.trouble {
            Trouble::Drain | Trouble::WorkerKill | Trouble::WorkerPause => self.befall_worker(planned).await,
            _ => self.befall_gatherer(planned).await,
        }
    }

    async fn befall_worker(&self, planned: Planned) {
        let at = planned.target % self.workers.len();
        // Two replicas of each shard stay untouched: no more than a few workers are occupied at once.
        if self.occupied.borrow().contains(&at) || self.occupied.borrow().len() * 4 >= self.workers.len() {
            return;
        }
        self.occupied.borrow_mut().push(at);
        self.played.set(self.played.get() + 1);
        let worker = self.workers[at].clone();
        match planned.trouble {
            Trouble::WorkerPause => {
                let from = time::now();
                worker.signal(Signal::STOP);
                tokio::time::sleep(planned.lasts).await;
                worker.signal(Signal::CONT);
                let pause = WorkerPause { worker: worker.name.clone(), from, to: time::now() };
                self.seen.borrow_mut().pauses.push(pause);
            }
            Trouble::Drain => {
                let told = self.list_as(&worker.name, Some("DRAINING"));
                tokio::time::sleep(DRAINED + planned.lasts).await;
                worker.kill();
                self.back(&worker, told);
            }
            _ => {
                worker.kill();
                tokio::time::sleep(planned.lasts / 2).await;
                let told = self.list_as(&worker.name, None);
                tokio::time::sleep(planned.lasts).await;
                self.back(&worker, told);
            }
        }
        self.occupied.borrow_mut().retain(|other| *other != at);
    }

    /// Lists a worker as draining, or no longer; when each gatherer's agent knew, where it does.
    fn list_as(&self, name: &str, phase: Option<&'static str>) -> Vec<(usize, u64)> {
        {
            let mut list = self.list.borrow_mut();
            match (phase, list.get_mut(name)) {
                (Some(phase), Some(listed)) => listed.phase = phase,
                _ => drop(list.get_mut(name).map(|listed| listed.phase = "DELETED")),
            }
        }
        self.publish()
    }

    /// Tells all agents the list; when those knew it that are not silent.
    fn publish(&self) -> Vec<(usize, u64)> {
        let list = self.list.borrow();
        let told =
            |gatherer: &Rc<Gatherer>| gatherer.agent.learn(&list).then(|| (gatherer.number, time::now()));
        self.gatherers.iter().filter_map(told).collect()
    }

    /// Starts a worker anew and lists it.
    fn back(&self, worker: &Worker, told: Vec<(usize, u64)>) {
        worker.restart();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if let Some(listed) = self.list.borrow_mut().get_mut(&worker.name) {
            listed.phase = "SERVING";
            listed.up_since_ms = unix.as_millis() as u64;
        }
        let until = time::now();
        self.publish();
        for (number, told) in told {
            let change = Change { gatherer: number, worker: worker.name.clone(), told, until };
            self.seen.borrow_mut().changes.push(change);
        }
    }

    async fn befall_gatherer(self: Rc<Self>, planned: Planned) {
        let gatherer = self.gatherers[planned.target % self.gatherers.len()].clone();
        let alone =
            matches!(planned.trouble, Trouble::Restart | Trouble::Upgrade | Trouble::Kill | Trouble::Pause);
        if alone && gatherer.busy.replace(true) {
            return;
        }
        self.played.set(self.played.get() + 1);
        match planned.trouble {
            Trouble::Restart => self.clone().restart(gatherer.clone()).await,
            Trouble::Upgrade => self.clone().upgrade(gatherer.clone()).await,
            Trouble::Kill => self.clone().kill(gatherer.clone()).await,
            Trouble::Pause => self.pause(&gatherer, planned.lasts).await,
            Trouble::Reload => reload(&gatherer).await,
            Trouble::Faults => faults(&gatherer, planned.lasts).await,
            Trouble::Silence => gatherer.agent.be_silent(planned.lasts).await,
            Trouble::WatchReset => gatherer.agent.reset(),
            Trouble::Drain | Trouble::WorkerKill | Trouble::WorkerPause => {}
        }
        if alone {
            gatherer.busy.set(false);
        }
    }

    fn draw_faults(&self) -> String {
        self.starts.set(self.starts.get() + 1);
        plan::faults(self.run.seed, self.starts.get())
    }

    /// Starts a gatherer's process and waits until it is ready.
    async fn launch(self: Rc<Self>, gatherer: Rc<Gatherer>) {
        let running = gatherer.start(&self.draw_faults(), &self.seen);
        let (number, operators) = (running.number, running.operators.clone());
        gatherer.running.replace(Some(running));
        let began = time::now();
        self.ready(&gatherer, number, &operators).await;
        gatherer.excused.borrow_mut().push((began, time::now()));
        gatherer.door.start.set(number);
        gatherer.door.open.set(true);
    }

    /// Waits until a process says that it is ready, has ended, or has taken too long.
    async fn ready(&self, gatherer: &Gatherer, number: usize, operators: &str) {
        let since = tokio::time::Instant::now();
        while since.elapsed() < LONGEST {
            if is_ready(operators).await {
                self.seen.borrow_mut().processes[number].ready = Some(time::now());
                return;
            }
            if self.has_ended(gatherer, number) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Whether this process, the newer of a gatherer's, has ended.
    fn has_ended(&self, gatherer: &Gatherer, number: usize) -> bool {
        let mut running = gatherer.running.borrow_mut();
        running.as_mut().is_some_and(|running| running.number == number && running.has_ended(&self.seen))
    }

    /// Tells a process to end, and waits for that.
    async fn terminate(&self, mut running: Running) {
        self.seen.borrow_mut().processes[running.number].told_to_end = Some(time::now());
        running.signal(Signal::TERM);
        let since = tokio::time::Instant::now();
        while !running.has_ended(&self.seen) && since.elapsed() < LONGEST {
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn restart(self: Rc<Self>, gatherer: Rc<Gatherer>) {
        let Some(running) = gatherer.running.take() else { return };
        let door = gatherer.door.clone();
        spawn_local(async move {
            tokio::time::sleep(NOTICE).await;
            door.open.set(false);
        });
        self.terminate(running).await;
        // The front layer has noticed by now.
        tokio::time::sleep(NOTICE).await;
        self.launch(gatherer).await;
    }

    async fn upgrade(self: Rc<Self>, gatherer: Rc<Gatherer>) {
        let began = time::now();
        let Some(before) = gatherer.running.take() else { return };
        let running = gatherer.start(&self.draw_faults(), &self.seen);
        let (number, operators) = (running.number, running.operators.clone());
        gatherer.running.replace(Some(running));
        self.ready(&gatherer, number, &operators).await;
        let is_ready = self.seen.borrow().processes[number].ready.is_some();
        // News binds from 2 s after the yes.
        gatherer.excused.borrow_mut().push((began, time::now() + 2_000_000));
        if is_ready {
            gatherer.door.start.set(number);
            self.terminate(before).await;
        } else {
            // It goes on; the second process ends as it is dropped.
            self.seen.borrow_mut().processes[number].killed = Some(time::now());
            gatherer.running.replace(Some(before));
        }
    }

    async fn kill(self: Rc<Self>, gatherer: Rc<Gatherer>) {
        let Some(mut running) = gatherer.running.take() else { return };
        gatherer.door.open.set(false);
        self.seen.borrow_mut().processes[running.number].killed = Some(time::now());
        running.signal(Signal::KILL);
        while !running.has_ended(&self.seen) {
            tokio::time::sleep(LOOK).await;
        }
        self.launch(gatherer).await;
    }

    /// Has a gatherer stand still for as long as the pages allow for.
    async fn pause(&self, gatherer: &Gatherer, lasts: Duration) {
        let lasts = lasts.min(Duration::from_millis(150));
        let since = time::now();
        let signal = |which| {
            gatherer.running.borrow().as_ref().map(|running| {
                running.signal(which);
                running.number
            })
        };
        let Some(number) = signal(Signal::STOP) else { return };
        tokio::time::sleep(lasts).await;
        signal(Signal::CONT);
        let process = &mut self.seen.borrow_mut().processes[number];
        process.stalled = process.stalled.max(time::now() - since);
    }

    /// Notes processes that end unasked.
    async fn watch_processes(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK * 5).await;
            for gatherer in &self.gatherers {
                let ended = gatherer
                    .running
                    .borrow_mut()
                    .as_mut()
                    .is_some_and(|running| running.has_ended(&self.seen));
                if ended && !gatherer.busy.replace(true) {
                    gatherer.running.take();
                    gatherer.door.open.set(false);
                    self.clone().launch(gatherer.clone()).await;
                    gatherer.busy.set(false);
                }
            }
        }
    }

    /// Ends all processes and collects what is left to be told.
    async fn end(&self) {
        for gatherer in &self.gatherers {
            // What fails for a while is over.
            let _ = std::fs::remove_file(gatherer.switch());
            gatherer.door.open.set(false);
        }
        let ends = self.gatherers.iter().filter_map(|gatherer| gatherer.running.take());
        let ends: Vec<Running> = ends.collect();
        for running in ends {
            self.terminate(running).await;
        }
        for worker in &self.workers {
            worker.kill();
        }
        // Their last lines are read by then.
        tokio::time::sleep(LOOK * 10).await;
        let mut seen = self.seen.borrow_mut();
        self.workers.iter().for_each(|worker| worker.collect(&mut seen));
        // Only now is all known that excuses a gatherer.
        for change in &mut seen.changes {
            change.told = self.gatherers[change.gatherer].told(change.told);
        }
        if let Some(folder) =
            self.gatherers.first().and_then(|gatherer| gatherer.switch().parent().map(Path::to_owned))
        {
            // A file that is left harms nothing.
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

async fn reload(gatherer: &Gatherer) {
    gatherer.at.set(1 - gatherer.at.get());
    let began = time::now();
    gatherer.rewrite(true);
    tokio::time::sleep(LOOK * 3).await;
    gatherer.rewrite(false);
    // News counts as told 4 s after a new configuration.
    gatherer.excused.borrow_mut().push((began, began + 4_000_000));
}

async fn faults(gatherer: &Gatherer, lasts: Duration) {
    let began = time::now();
    std::fs::write(gatherer.switch(), "").expect("written");
    tokio::time::sleep(lasts).await;
    // Another trouble of this kind may have removed it.
    let _ = std::fs::remove_file(gatherer.switch());
    // News counts as told 6 s after a call that failed, and may come late by the calls that fail.
    gatherer.excused.borrow_mut().push((began, time::now() + 500_000));
}

async fn is_ready(operators: &str) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(operators).await.ok()?;
        stream.write_all(&http::encode_request("GET", "/-/ready", "soak", None)).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        Some(answer.starts_with(b"HTTP/1.1 200"))
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), asked).await, Ok(Some(true)))
}

/// Notes how long this process itself stood still.
async fn watch_lag(seen: Rc<RefCell<Observations>>) {
    loop {
        let since = time::now();
        tokio::time::sleep(LOOK).await;
        let late = (time::now() - since).saturating_sub(LOOK.as_micros() as u64);
        let mut seen = seen.borrow_mut();
        seen.lag = seen.lag.max(late);
    }
}
