//! The stages alone, under a clock that is handed in.

use super::*;
use proptest::prelude::*;

const MS: u64 = 1_000_000;

#[test]
fn a_drain_lingers_then_parts_and_resume_leads_back_at_once() {
    let mut stages = Lifecycle::new(Time(0));
    assert_eq!(stages.apply(Time(0), LifecycleRequest::Drain), Ok(()));
    // Guards against a second call that begins the linger anew: the 4 s count from the first.
    assert_eq!(stages.apply(Time(500 * MS), LifecycleRequest::Drain), Ok(()));
    assert_eq!((stages.stage(), stages.next_deadline()), (LifecycleState::Draining, Some(Time(600 * MS))));
    assert!(!stages.advance(Time(599 * MS)) && stages.advance(Time(600 * MS)));
    assert!(stages.stage().closes_after_response() && stages.stage().accepts_queries());
    assert_eq!(stages.apply(Time(5000 * MS), LifecycleRequest::Resume), Ok(()));
    assert_eq!((stages.stage(), stages.next_deadline()), (LifecycleState::Serving, None));
}

#[test]
fn sigterm_has_its_own_time_also_during_a_drain() {
    let mut stages = Lifecycle::new(Time(0));
    assert_eq!(stages.apply(Time(0), LifecycleRequest::Drain), Ok(()));
    assert_eq!(stages.apply(Time(1000 * MS), LifecycleRequest::Stop), Ok(()));
    // Guards against taking what SIGKILL may find unanswered: that is lost where it came 0.7 s after SIGTERM.
    assert_eq!(stages.next_deadline(), Some(Time(1600 * MS)));
    assert!(stages.advance(Time(1600 * MS)) && stages.stage() == LifecycleState::Closing);
}

#[test]
fn a_gatherer_that_is_succeeded_stays_healthy_and_lets_nobody_in() {
    let mut stages = Lifecycle::new(Time(0));
    assert_eq!(stages.apply(Time(0), LifecycleRequest::Stop), Ok(()));
    assert!(!stages.stage().healthy() && stages.stage().accepts_connections());
    assert_eq!(stages.apply(Time(400 * MS), LifecycleRequest::HandOver), Ok(()));
    let stage = stages.stage();
    assert!(
        stage.healthy()
            && !stage.accepts_connections()
            && stage.closes_after_response()
            && !stage.closes_idle_connections()
            && stage.accepts_queries()
    );
    assert_eq!(stages.next_deadline(), Some(Time(600 * MS)));
    assert!(stages.advance(Time(600 * MS)) && !stages.stage().accepts_queries());
    // One that is drained does not become healthy by that.
    let mut stages = Lifecycle::new(Time(0));
    assert_eq!(stages.apply(Time(0), LifecycleRequest::Drain), Ok(()));
    assert_eq!(stages.apply(Time(0), LifecycleRequest::HandOver), Ok(()));
    assert!(!stages.stage().healthy() && !stages.stage().accepts_connections());
}

proptest! {
    #[test]
    fn nothing_leads_back_from_sigterm(calls in prop::collection::vec((0..4_u8, 0..2000_u64), 1..40)) {
        let (mut stages, mut now, mut stopped) = (Lifecycle::new(Time(0)), 0, false);
        for (call, gap) in calls {
            now += gap * MS;
            let call = [LifecycleRequest::Drain, LifecycleRequest::Resume, LifecycleRequest::Stop, LifecycleRequest::HandOver][usize::from(call)];
            let done = stages.apply(Time(now), call);
            let stops = matches!(call, LifecycleRequest::Stop | LifecycleRequest::HandOver);
            prop_assert_eq!(done.is_err(), stopped && !stops);
            stopped |= stops;
            prop_assert_eq!(stopped, stages.stage().is_stopping());
            prop_assert_eq!(stages.stage() == LifecycleState::Serving, !stopped && call == LifecycleRequest::Resume);
        }
    }
}
