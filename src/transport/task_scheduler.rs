//! Runs the tasks of clients' connections in the order that [`ProcessorShares`] decides, measures the processor time of
//! each, and measures the delay of the process.
//!
//! Every poll of such a task is a *turn*. A task that is woken runs at once while the slice lasts; otherwise it waits
//! until the dispatch task grants it a turn, which it does only after the runtime has polled sockets and timers.

mod close_probe;
mod ready_signal;

pub use close_probe::CloseProbe;
pub use ready_signal::ReadySignal;

use crate::limits::loop_delay::MEASURE_INTERVAL;
use crate::limits::processor_shares::{TaskId, TurnOutcome, Urgency};
use crate::limits::{LoopDelay, ProcessorShares, Source};
use crate::policy::Time;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which waiting tasks are checked for clients that have closed their connections: a tenth of the time
/// after which nothing may be sent for such a client.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The scheduler of all tasks of clients' connections of a process.
pub struct TaskScheduler {
    start: Instant,
    shares: RefCell<ProcessorShares>,
    /// The waker of each task that waits for a turn.
    wakers: RefCell<HashMap<TaskId, Waker>>,
    tasks: RefCell<HashMap<TaskId, Weak<ScheduledTask>>>,
    /// When waiting tasks were last checked for clients that have closed their connections.
    closes_checked_at: Cell<Time>,
    /// The task that may run now.
    granted: Cell<Option<TaskId>>,
    /// Notified when the granted task has run, or was dropped.
    turn_ended: Notify,
    is_dispatching: Cell<bool>,
    delay: RefCell<LoopDelay>,
}

impl TaskScheduler {
    /// Creates a scheduler without tasks, whose times count from `start`.
    #[must_use]
    pub fn new(start: Instant) -> Rc<TaskScheduler> {
        Rc::new(TaskScheduler {
            start,
            shares: RefCell::default(),
            wakers: RefCell::default(),
            tasks: RefCell::default(),
            closes_checked_at: Cell::default(),
            granted: Cell::default(),
            turn_ended: Notify::new(),
            is_dispatching: Cell::default(),
            delay: RefCell::default(),
        })
    }

    /// Adds a task for a connection from this source.
    #[must_use]
    pub fn add(self: &Rc<Self>, source: Source) -> Rc<ScheduledTask> {
        let id = self.shares.borrow_mut().add(source);
        let task = Rc::new(ScheduledTask {
            scheduler: self.clone(),
            id,
            peer: Cell::default(),
            close_probe: RefCell::default(),
            turn: Cell::default(),
            ended_request_in: Cell::default(),
            outcome: Cell::default(),
            ready_since: Cell::default(),
            has_open_request: Cell::default(),
            did_not_wait: Cell::default(),
            is_closing: Cell::default(),
            response_ready: ReadySignal::new(),
        });
        self.tasks.borrow_mut().insert(id, Rc::downgrade(&task));
        task
    }

    fn now(&self) -> Time {
        Time(0).after(self.start.elapsed())
    }

    /// Grants turns until no task waits for one.
    async fn dispatch(self: Rc<Self>) {
        while self.shares.borrow().waiting() > 0 {
            // The runtime polls sockets and timers during the yield, so that what is due runs before further input.
            tokio::task::yield_now().await;
            self.check_for_closes();
            self.shares.borrow_mut().begin_slice();
            loop {
                let next = self.shares.borrow_mut().next(self.now());
                let Some(task) = next else { break };
                self.grant(task).await;
            }
        }
        self.is_dispatching.set(false);
    }

    /// Wakes waiting tasks whose clients have closed their connections, so that nothing is sent on for them.
    fn check_for_closes(&self) {
        let now = self.now();
        if now.since(self.closes_checked_at.get()) < CLOSE_CHECK_INTERVAL {
            return;
        }
        self.closes_checked_at.set(now);
        let is_closed = |id: &TaskId| {
            self.tasks.borrow().get(id).and_then(Weak::upgrade).is_some_and(|task| task.is_ending())
        };
        let closed: Vec<Waker> =
            self.wakers.borrow_mut().extract_if(|id, _| is_closed(id)).map(|(_, waker)| waker).collect();
        closed.into_iter().for_each(Waker::wake);
    }

    /// Lets a task run, and waits until it has run.
    async fn grant(&self, task: TaskId) {
        let waker = self.wakers.borrow_mut().remove(&task);
        let Some(waker) = waker else { return };
        self.granted.set(Some(task));
        waker.wake();
        while self.granted.get() == Some(task) {
            self.turn_ended.notified().await;
        }
    }

    fn end_grant(&self, task: TaskId) {
        if self.granted.get() == Some(task) {
            self.granted.set(None);
            self.turn_ended.notify_one();
        }
    }

    fn start_dispatching(self: &Rc<Self>) {
        if !self.is_dispatching.replace(true) {
            spawn_local(self.clone().dispatch());
        }
    }

    /// Measures the delay of the process at a fixed interval and logs it, until the process ends.
    pub async fn measure_delay(self: Rc<Self>) {
        loop {
            let report = self.delay.borrow_mut().measure(self.now());
            if let Some(report) = report {
                log::warn!(
                    "process behind: longest_delay_ms={} times_behind={} waiting_connections={} {}",
                    report.longest.as_millis(),
                    report.times_behind,
                    self.shares.borrow().waiting(),
                    self.describe_heaviest()
                );
            }
            tokio::time::sleep(MEASURE_INTERVAL).await;
        }
    }

    /// Describes the connection that has used the processor most lately.
    fn describe_heaviest(&self) -> String {
        let heaviest = self.shares.borrow().heaviest(self.now());
        let peer = |task: TaskId| self.tasks.borrow().get(&task)?.upgrade()?.peer.get();
        match heaviest.and_then(|(task, used)| Some((peer(task)?, used))) {
            Some((peer, used)) => format!("heaviest_client={peer} used_ms={}", used.as_millis()),
            None => "heaviest_client=none".to_owned(),
        }
    }

    /// Formats the delays since the start as `name=value` pairs, for `GET /_counters` and the log.
    #[must_use]
    pub fn delay_counters(&self) -> String {
        let delay = self.delay.borrow();
        format!("behind={} most_behind_ms={}", delay.times_behind(), delay.longest().as_millis())
    }
}

/// The task of one connection.
pub struct ScheduledTask {
    scheduler: Rc<TaskScheduler>,
    id: TaskId,
    /// The client's address, for the log.
    peer: Cell<Option<SocketAddr>>,
    /// Tells whether the client has closed the connection.
    close_probe: RefCell<CloseProbe>,
    /// Number of turns so far.
    turn: Cell<u64>,
    /// The last turn in which a request ended.
    ended_request_in: Cell<Option<u64>>,
    /// What this turn showed of its request.
    outcome: Cell<TurnOutcome>,
    /// Since when the task has been ready for its present or next turn.
    ready_since: Cell<Option<Time>>,
    /// Whether a request waits for its response.
    has_open_request: Cell<bool>,
    /// Whether the turn was begun at once because it ends a request or the connection.
    did_not_wait: Cell<bool>,
    /// Whether the connection is evicted.
    is_closing: Cell<bool>,
    response_ready: ReadySignal,
}

impl ScheduledTask {
    /// Sets the address of the client, for the log, and the probe that tells whether it has closed the connection.
    pub fn observe(&self, peer: SocketAddr, close_probe: CloseProbe) {
        self.peer.set(Some(peer));
        *self.close_probe.borrow_mut() = close_probe;
    }

    /// Whether the client is known to have closed the connection or its write side; bytes may be unread.
    #[must_use]
    pub fn client_has_closed(&self) -> bool {
        self.close_probe.borrow().is_closed()
    }

    /// Sets whether the connection is about to be closed by this side.
    pub fn set_closing(&self, is_closing: bool) {
        self.is_closing.set(is_closing);
    }

    /// Whether the next turn ends a request or the connection.
    fn is_ending(&self) -> bool {
        self.is_closing.get()
            || self.has_open_request.get() && (self.response_ready.is_set() || self.client_has_closed())
    }

    /// Runs a future as this task, a turn for each poll.
    pub async fn run<F: Future>(self: Rc<Self>, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if !self.may_run(cx) {
                return Poll::Pending;
            }
            let started_at = self.scheduler.now();
            self.turn.set(self.turn.get() + 1);
            if self.did_not_wait.take() {
                // Input that arrives before an eviction is carried out is served in a turn that waits for others.
                self.ended_request_in.set(Some(self.turn.get()));
            }
            if self.ready_since.get().is_none() {
                self.ready_since.set(Some(started_at));
            }
            let result = future.as_mut().poll(cx);
            let ended_at = self.scheduler.now();
            self.ready_since.set(None);
            let (used, outcome) = (ended_at.since(started_at), self.outcome.take());
            self.scheduler.shares.borrow_mut().record_run(ended_at, self.id, used, outcome);
            self.scheduler.end_grant(self.id);
            result
        })
        .await
    }

    /// Returns whether the task may run now. Otherwise its waker is kept until it gets a turn.
    fn may_run(&self, cx: &Context<'_>) -> bool {
        if self.scheduler.granted.get() == Some(self.id) {
            return true;
        }
        let now = self.scheduler.now();
        let is_ending = self.is_ending();
        let urgency = if is_ending { Urgency::EndsRequest } else { Urgency::ReadsInput };
        self.did_not_wait.set(is_ending);
        if self.scheduler.shares.borrow_mut().try_run(now, self.id, urgency) {
            self.scheduler.wakers.borrow_mut().remove(&self.id);
            return true;
        }
        if self.ready_since.get().is_none() {
            self.ready_since.set(Some(now));
        }
        self.scheduler.wakers.borrow_mut().insert(self.id, cx.waker().clone());
        self.scheduler.start_dispatching();
        false
    }

    /// The earliest time at which what is read in this turn can have arrived: the time since which the task is ready,
    /// less the time for which the process did not look at its sockets.
    #[must_use]
    pub fn input_arrived_at(&self) -> Instant {
        let ready_since = self.ready_since.get().unwrap_or_else(|| self.scheduler.now());
        let unnoticed = self.scheduler.delay.borrow().delay(ready_since);
        self.scheduler.start + ready_since.since(Time(0)).saturating_sub(unnoticed)
    }

    /// Waits for the next turn if a request has ended in this one: each turn serves one request at most, so that what a
    /// turn takes is bounded by what a request costs.
    pub async fn wait_for_unused_turn(&self) {
        if self.ended_request_in.get() == Some(self.turn.get()) {
            self.wait_for_next_turn().await;
        }
    }

    /// Ends this turn and waits for the next one.
    pub async fn wait_for_next_turn(&self) {
        let mut yielded = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut yielded, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    /// Records that a request begins, which `respond` answers. Polls `respond` such that the task is urgent once its
    /// response is ready.
    pub async fn await_response<F: Future>(&self, respond: F) -> F::Output {
        self.has_open_request.set(true);
        self.response_ready.clear();
        let _open_request = OpenRequest(self);
        let mut respond = pin!(respond);
        poll_fn(|cx| {
            let waker = self.response_ready.waker(cx.waker());
            respond.as_mut().poll(&mut Context::from_waker(&waker))
        })
        .await
    }

    /// Records that the request of this turn was sent before the response to the one before.
    pub fn mark_pipelined(&self) {
        self.outcome.set(TurnOutcome { is_pipelined: true, ..self.outcome.get() });
    }

    /// Records that a request has ended, or input that is none.
    pub fn end_request(&self, is_invalid: bool) {
        self.ended_request_in.set(Some(self.turn.get()));
        self.outcome.set(TurnOutcome { is_invalid, ..self.outcome.get() });
        self.scheduler.shares.borrow_mut().establish(self.scheduler.now(), self.id);
    }
}

/// Marks the request of a task as open until it is dropped.
struct OpenRequest<'a>(&'a ScheduledTask);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.has_open_request.set(false);
    }
}

impl Drop for ScheduledTask {
    fn drop(&mut self) {
        self.scheduler.shares.borrow_mut().remove(self.id);
        self.scheduler.tasks.borrow_mut().remove(&self.id);
        let waker = self.scheduler.wakers.borrow_mut().remove(&self.id);
        drop(waker);
        self.scheduler.end_grant(self.id);
    }
}
