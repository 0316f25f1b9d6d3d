//! Catches a panic of a front while it answers a request, so that the connection still gets a final response.

use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;

/// The future panicked; the panic hook has printed the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Panicked;

/// Runs a future to its end.
///
/// # Errors
/// The future panicked. Its values were dropped, so that guards among them have released what they held.
pub async fn catch_panic<F: Future>(future: F) -> Result<F::Output, Panicked> {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| {
        // The future is not polled again after a panic, so no broken state of its own can be observed.
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx)));
        match polled {
            Ok(poll) => poll.map(Ok),
            Err(_) => Poll::Ready(Err(Panicked)),
        }
    })
    .await
}
