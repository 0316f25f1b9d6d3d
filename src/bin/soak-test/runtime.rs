//! The runtime of each process of a soak test: one thread, on which all of its tasks run.

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future to its end, beside the local tasks that it spawns.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}
