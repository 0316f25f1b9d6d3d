//! Tests of both processes of a hot restart, without sockets.

use super::{Takeover, TakeoverInProgress};
use crate::service::lifecycle::LifecycleRequest;
use proptest::prelude::*;

#[test]
fn sigterm_hands_over_only_to_a_serving_process_and_a_failed_upgrade_changes_nothing() {
    let (mut first, mut second) = (Takeover::default(), Takeover::default());
    assert_eq!(first.admit_successor(), Err(TakeoverInProgress), "the first process does not serve yet");
    first.start_serving();
    assert_eq!(first.admit_successor(), Ok(()));
    second.begin_as_successor();
    assert_eq!((first.process_count(), second.process_count()), (2, 2));
    assert_eq!(first.admit_successor(), Err(TakeoverInProgress), "a third process starts while two run");
    // SIGTERM before the successor serves stops the gatherer; the exit of a successor changes nothing.
    assert_eq!(first.stop_signal_request(), LifecycleRequest::Stop);
    first.on_successor_exited();
    assert_eq!(
        (first.process_count(), first.stop_signal_request(), first.admit_successor()),
        (1, LifecycleRequest::Stop, Ok(()))
    );
    // SIGTERM at the second process: the gatherer continues in the first.
    assert_eq!(second.stop_signal_request(), LifecycleRequest::HandOver);
    second.start_serving();
    first.on_successor_serving();
    let (mut first_stopping, mut second_stopping) = (first.clone(), second.clone());
    first_stopping.on_peer_stopping();
    second_stopping.on_peer_stopping();
    assert_eq!(
        (first_stopping.stop_signal_request(), second_stopping.stop_signal_request()),
        (LifecycleRequest::Stop, LifecycleRequest::Stop),
        "both processes are stopping"
    );
    assert_eq!(first.stop_signal_request(), LifecycleRequest::HandOver);
    assert_eq!(second.admit_successor(), Err(TakeoverInProgress), "the first process has not exited");
    second.on_predecessor_exited();
    assert_eq!((second.process_count(), second.admit_successor()), (1, Ok(())));
}

proptest! {
    #[test]
    fn at_most_two_processes_share_a_gatherer(steps in prop::collection::vec(0..7_u8, 1..60)) {
        let mut takeover = Takeover::default();
        for step in steps {
            let before = takeover.clone();
            match step {
                0 if before == Takeover::default() => takeover.begin_as_successor(),
                1 => takeover.on_predecessor_exited(),
                2 => takeover.start_serving(),
                3 => drop(takeover.admit_successor()),
                4 => takeover.on_successor_serving(),
                5 => takeover.on_successor_exited(),
                6 => takeover.on_peer_stopping(),
                _ => {}
            }
            prop_assert!((1..=2).contains(&takeover.process_count()));
            prop_assert!(takeover.stop_signal_request() == LifecycleRequest::Stop || takeover.process_count() == 2);
        }
    }
}
