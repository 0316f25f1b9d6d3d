//! Tests of the pauses between bursts of accepts.

use super::{ACCEPTS_PER_BURST, AcceptPacer, MAX_PAUSE};
use crate::policy::Time;
use std::time::Duration;

#[test]
fn a_flood_takes_a_quarter_of_the_time_and_a_trickle_is_never_paused() {
    let (mut pacer, mut now, mut accept_time, mut pause_time) =
        (AcceptPacer::default(), Time(0), Duration::ZERO, Duration::ZERO);
    let one_accept = Duration::from_micros(20);
    for _ in 0..1600 {
        let began_at = now;
        now = now.after(one_accept);
        accept_time += one_accept;
        if let Some(pause) = pacer.record_accept(began_at, now) {
            now = now.after(pause);
            pause_time += pause;
        }
    }
    assert_eq!(pause_time, accept_time * 3);
    for _ in 0..1600 {
        pacer.reset();
        assert_eq!(pacer.record_accept(now, now.after(one_accept)), None);
    }
}

#[test]
fn a_stalled_process_resumes_accepting_after_the_longest_pause() {
    let mut pacer = AcceptPacer::default();
    let pauses: Vec<_> =
        (0..ACCEPTS_PER_BURST).filter_map(|_| pacer.record_accept(Time(0), Time(3_000_000_000))).collect();
    assert_eq!(pauses, [MAX_PAUSE]);
}
