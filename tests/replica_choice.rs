//! Where a part goes next that has failed at a worker.

mod common;

use common::*;
use gatherer::policy::*;

/// Two workers of which the second has turned parts away twice, so that it is suspect but speaks.
fn one_trusted_one_suspect() -> AggregatorHarness {
    let mut root = AggregatorHarness::new(Settings { may_health_check: false, ..settings() }, &[1, 2]);
    let mut turned_away = 0;
    for number in 0..100 {
        let (_, parts) = root.submit(Some(&format!("key-{number}")), &[0]);
        let sent = root.last_sent();
        let outcome =
            if sent.worker == WorkerId(2) { AttemptOutcome::Rejected } else { AttemptOutcome::Succeeded };
        turned_away += u32::from(outcome == AttemptOutcome::Rejected);
        root.now = root.now.after(ms(5));
        root.step(vec![root.attempt_finished(sent, outcome, None)]);
        let again =
            root.sent.iter().rfind(|sent| sent.id == parts[0] && sent.attempt > AttemptNo(0)).copied();
        if let Some(again) = again {
            root.step(vec![root.attempt_finished(again, AttemptOutcome::Succeeded, None)]);
        }
        if turned_away == 2 {
            return root;
        }
    }
    panic!("the second worker got no parts");
}

#[test]
fn what_fails_at_the_only_trusted_replica_goes_to_a_suspect_that_speaks() {
    let mut root = one_trusted_one_suspect();
    let (_, parts) = root.submit(Some("next"), &[0]);
    let first = root.last_sent();
    assert_eq!((first.id, first.worker), (parts[0], WorkerId(1)), "the first try goes to who is trusted");
    root.now = root.now.after(ms(5));
    root.step(vec![root.attempt_finished(first, AttemptOutcome::Failed, None)]);
    let second = root.last_sent();
    assert_eq!((second.id, second.worker), (parts[0], WorkerId(2)), "not the same again");
}

#[test]
fn a_copy_of_what_is_only_late_is_not_risked_on_a_suspect() {
    let mut root = one_trusted_one_suspect();
    let (_, parts) = root.submit(Some("next"), &[0]);
    root.advance(400);
    let to: Vec<WorkerId> =
        root.sent.iter().filter(|sent| sent.id == parts[0]).map(|sent| sent.worker).collect();
    assert_eq!(to, [WorkerId(1)], "its answer is still out");
}
