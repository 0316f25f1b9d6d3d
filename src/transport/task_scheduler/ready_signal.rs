//! A flag that a future's waker sets, so that the cause of a wake-up can be told from others.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Wake, Waker};

/// A flag that is set when a future was woken. Futures may be woken from any thread, so that the flag is shared.
pub struct ReadySignal(Arc<Signal>);

struct Signal {
    is_set: AtomicBool,
    /// The waker of the task that polls the future.
    task: Mutex<Option<Waker>>,
}

impl Wake for Signal {
    fn wake(self: Arc<Self>) {
        self.is_set.store(true, Ordering::Release);
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.wake();
        }
    }
}

impl ReadySignal {
    /// Creates a flag that is not set.
    #[must_use]
    pub fn new() -> ReadySignal {
        ReadySignal(Arc::new(Signal { is_set: AtomicBool::new(false), task: Mutex::default() }))
    }

    /// Returns a waker that sets the flag and wakes this task.
    #[must_use]
    pub fn waker(&self, task: &Waker) -> Waker {
        let mut kept = self.0.task.lock().unwrap_or_else(PoisonError::into_inner);
        if !kept.as_ref().is_some_and(|kept| kept.will_wake(task)) {
            *kept = Some(task.clone());
        }
        drop(kept);
        Waker::from(self.0.clone())
    }

    /// Whether the future was woken since the flag was cleared.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.is_set.load(Ordering::Acquire)
    }

    /// Clears the flag.
    pub fn clear(&self) {
        self.0.is_set.store(false, Ordering::Release);
    }
}

impl Default for ReadySignal {
    fn default() -> Self {
        ReadySignal::new()
    }
}
