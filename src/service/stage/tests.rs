//! The stages alone, under a clock that is handed in.

use super::*;
use proptest::prelude::*;

const MS: u64 = 1_000_000;

#[test]
fn a_drain_lingers_then_parts_and_resume_leads_back_at_once() {
    let mut stages = Stages::new(Time(0));
    assert_eq!(stages.call(Time(0), Call::Drain), Ok(()));
    // Guards against a second call that begins the linger anew: the 4 s count from the first.
    assert_eq!(stages.call(Time(500 * MS), Call::Drain), Ok(()));
    assert_eq!((stages.stage(), stages.due()), (Stage::Draining, Some(Time(600 * MS))));
    assert!(!stages.pass(Time(599 * MS)) && stages.pass(Time(600 * MS)));
    assert!(stages.stage().parts() && stages.stage().takes());
    assert_eq!(stages.call(Time(5000 * MS), Call::Resume), Ok(()));
    assert_eq!((stages.stage(), stages.due()), (Stage::Serving, None));
}

#[test]
fn sigterm_has_its_own_time_also_during_a_drain() {
    let mut stages = Stages::new(Time(0));
    assert_eq!(stages.call(Time(0), Call::Drain), Ok(()));
    assert_eq!(stages.call(Time(1000 * MS), Call::Stop), Ok(()));
    // Guards against taking what SIGKILL may find unanswered: that is lost where it came 0.7 s after SIGTERM.
    assert_eq!(stages.due(), Some(Time(1600 * MS)));
    assert!(stages.pass(Time(1600 * MS)) && stages.stage() == Stage::Closing);
}

#[test]
fn a_gatherer_that_is_succeeded_stays_healthy_and_lets_nobody_in() {
    let mut stages = Stages::new(Time(0));
    assert_eq!(stages.call(Time(0), Call::Stop), Ok(()));
    assert!(!stages.stage().healthy() && stages.stage().accepts());
    assert_eq!(stages.call(Time(400 * MS), Call::Succeed), Ok(()));
    let stage = stages.stage();
    assert!(stage.healthy() && !stage.accepts() && stage.parts() && !stage.parts_idle() && stage.takes());
    assert_eq!(stages.due(), Some(Time(600 * MS)));
    assert!(stages.pass(Time(600 * MS)) && !stages.stage().takes());
    // One that is drained does not become healthy by that.
    let mut stages = Stages::new(Time(0));
    assert_eq!(stages.call(Time(0), Call::Drain), Ok(()));
    assert_eq!(stages.call(Time(0), Call::Succeed), Ok(()));
    assert!(!stages.stage().healthy() && !stages.stage().accepts());
}

proptest! {
    #[test]
    fn nothing_leads_back_from_sigterm(calls in prop::collection::vec((0..4_u8, 0..2000_u64), 1..40)) {
        let (mut stages, mut now, mut stopped) = (Stages::new(Time(0)), 0, false);
        for (call, gap) in calls {
            now += gap * MS;
            let call = [Call::Drain, Call::Resume, Call::Stop, Call::Succeed][usize::from(call)];
            let done = stages.call(Time(now), call);
            let stops = matches!(call, Call::Stop | Call::Succeed);
            prop_assert_eq!(done.is_err(), stopped && !stops);
            stopped |= stops;
            prop_assert_eq!(stopped, stages.stage().stops());
            prop_assert_eq!(stages.stage() == Stage::Serving, !stopped && call == Call::Resume);
        }
    }
}
