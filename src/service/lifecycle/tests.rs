//! Tests of the lifecycle with explicit times.

use super::{Lifecycle, LifecycleRequest, LifecycleState};
use crate::policy::Time;
use proptest::prelude::*;

const MS: u64 = 1_000_000;

#[test]
fn a_drain_serves_on_for_its_grace_period_and_resume_ends_it_at_once() {
    let mut lifecycle = Lifecycle::new(Time(0));
    assert_eq!(lifecycle.apply(Time(0), LifecycleRequest::Drain), Ok(()));
    // A second drain does not restart the grace period, which counts from the first.
    assert_eq!(lifecycle.apply(Time(500 * MS), LifecycleRequest::Drain), Ok(()));
    assert_eq!(
        (lifecycle.state(), lifecycle.next_deadline()),
        (LifecycleState::Draining, Some(Time(600 * MS)))
    );
    assert!(!lifecycle.advance(Time(599 * MS)) && lifecycle.advance(Time(600 * MS)));
    assert!(lifecycle.state().closes_after_response() && lifecycle.state().accepts_queries());
    assert_eq!(lifecycle.apply(Time(5000 * MS), LifecycleRequest::Resume), Ok(()));
    assert_eq!((lifecycle.state(), lifecycle.next_deadline()), (LifecycleState::Serving, None));
}

#[test]
fn sigterm_during_a_drain_starts_a_grace_period_of_its_own() {
    let mut lifecycle = Lifecycle::new(Time(0));
    assert_eq!(lifecycle.apply(Time(0), LifecycleRequest::Drain), Ok(()));
    assert_eq!(lifecycle.apply(Time(1000 * MS), LifecycleRequest::Stop), Ok(()));
    // SIGKILL may come before a request is answered that arrives 0.7 s or more after SIGTERM.
    assert_eq!(lifecycle.next_deadline(), Some(Time(1600 * MS)));
    assert!(lifecycle.advance(Time(1600 * MS)) && lifecycle.state() == LifecycleState::Closing);
}

#[test]
fn a_gatherer_that_is_handed_over_stays_healthy_and_accepts_no_connections() {
    let mut lifecycle = Lifecycle::new(Time(0));
    assert_eq!(lifecycle.apply(Time(0), LifecycleRequest::Stop), Ok(()));
    assert!(!lifecycle.state().is_healthy() && lifecycle.state().accepts_connections());
    assert_eq!(lifecycle.apply(Time(400 * MS), LifecycleRequest::HandOver), Ok(()));
    let state = lifecycle.state();
    assert!(
        state.is_healthy()
            && !state.accepts_connections()
            && state.closes_after_response()
            && !state.closes_idle_connections()
            && state.accepts_queries()
    );
    assert_eq!(lifecycle.next_deadline(), Some(Time(600 * MS)));
    assert!(lifecycle.advance(Time(600 * MS)) && !lifecycle.state().accepts_queries());
    // A drained process does not become healthy by a hand-over.
    let mut lifecycle = Lifecycle::new(Time(0));
    assert_eq!(lifecycle.apply(Time(0), LifecycleRequest::Drain), Ok(()));
    assert_eq!(lifecycle.apply(Time(0), LifecycleRequest::HandOver), Ok(()));
    assert!(!lifecycle.state().is_healthy() && !lifecycle.state().accepts_connections());
}

proptest! {
    #[test]
    fn no_request_undoes_sigterm(requests in prop::collection::vec((0..4_u8, 0..2000_u64), 1..40)) {
        let (mut lifecycle, mut now, mut stopped) = (Lifecycle::new(Time(0)), 0, false);
        for (request, gap) in requests {
            now += gap * MS;
            let request = [
                LifecycleRequest::Drain,
                LifecycleRequest::Resume,
                LifecycleRequest::Stop,
                LifecycleRequest::HandOver,
            ][usize::from(request)];
            let result = lifecycle.apply(Time(now), request);
            let is_stop = matches!(request, LifecycleRequest::Stop | LifecycleRequest::HandOver);
            prop_assert_eq!(result.is_err(), stopped && !is_stop);
            stopped |= is_stop;
            prop_assert_eq!(stopped, lifecycle.state().is_stopping());
            prop_assert_eq!(
                lifecycle.state() == LifecycleState::Serving,
                !stopped && request == LifecycleRequest::Resume
            );
        }
    }
}
