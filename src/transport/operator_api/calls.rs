//! The operators' calls that are open, and which of them is closed for a new one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time that a call has for the next bytes of its request before it may be closed for another one.
const MIN_INPUT_WAIT: Duration = Duration::from_millis(2);
/// Interval at which the calls are checked while none may be closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    /// Bytes of the request may have arrived, or the response is being written.
    Served,
    /// All that has arrived was read; the request is not complete.
    WaitingForInput {
        /// Since when.
        since: Instant,
    },
    /// The response is written.
    Answered,
}

impl CallState {
    /// The state of a call that waits for input from now on.
    pub fn waiting_for_input() -> CallState {
        CallState::WaitingForInput { since: Instant::now() }
    }

    /// Whether the call may be closed for another one.
    fn may_be_closed(self) -> bool {
        match self {
            CallState::Served => false,
            CallState::WaitingForInput { since } => since.elapsed() >= MIN_INPUT_WAIT,
            CallState::Answered => true,
        }
    }
}

/// An open call.
struct Call {
    task: JoinHandle<()>,
    state: Rc<Cell<CallState>>,
}

/// The open calls.
pub(super) struct Calls {
    limit: usize,
    open: Vec<Call>,
}

impl Calls {
    /// Creates the list without calls, of which `limit` may be open.
    pub fn new(limit: usize) -> Calls {
        Calls { limit, open: Vec::new() }
    }

    /// The state of a new call.
    pub fn new_state(&self) -> Rc<Cell<CallState>> {
        Rc::new(Cell::new(CallState::Served))
    }

    /// Adds a call.
    pub fn push(&mut self, task: JoinHandle<()>, state: Rc<Cell<CallState>>) {
        self.open.push(Call { task, state });
    }

    /// Waits until there is space for one more call. If there is none, closes all calls that may be closed: more callers
    /// than one may be waiting.
    pub async fn make_space(&mut self) {
        loop {
            self.open.retain(|call| !call.task.is_finished());
            if self.open.len() >= self.limit {
                self.open.retain(|call| {
                    let closes = call.state.get().may_be_closed();
                    if closes {
                        call.task.abort();
                    }
                    !closes
                });
            }
            if self.open.len() < self.limit {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
