//! The async runtime of the soak test and of its workers: one thread, on which all tasks of a process run.

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future to completion, concurrently with the local tasks that it spawns.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build().expect("the runtime is created");
    LocalSet::new().block_on(&runtime, future)
}
