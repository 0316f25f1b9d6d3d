//! The figures that operators read: each end of a query is counted once, in any order of events.

use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::routing::{AttemptCompletion, AttemptId, Command, Core, QueryPart, SearchRequest};
use proptest::prelude::*;
use std::time::Duration;

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Happens {
    Asked(usize),
    Crowded(usize),
    Stopping(usize),
    Left(usize),
    Ended(usize, u8),
    Passes(u64),
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        4 => (0..2_usize).prop_map(Happens::Asked),
        1 => (0..2_usize).prop_map(Happens::Crowded),
        1 => (0..2_usize).prop_map(Happens::Stopping),
        1 => (0..8_usize).prop_map(Happens::Left),
        4 => (0..8_usize, 0..4_u8).prop_map(|(at, how)| Happens::Ended(at, how)),
        2 => (1..3000_u64).prop_map(Happens::Passes),
    ]
}

proptest! {
    #[test]
    fn any_sequence_of_events_keeps_the_sums(events in prop::collection::vec(happens(), 1..120)) {
        let json = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
        let config = Config::from_json(&json, |_| None).expect("a configuration");
        let mut core = Core::new(config.contracts);
        let mut now = Time(1_700_000_000_000_000_000);
        core.apply_endpoint_update(now, &config.initial_workers.expect("a list"), true);
        let (mut open, mut out): (Vec<RequestId>, Vec<AttemptId>) = Default::default();
        let (mut came, mut settled) = ([0_u64; 2], 0_u64);
        for event in events {
            match event {
                Happens::Asked(class) => {
                    came[class] += 1;
                    let part = QueryPart { shard: ShardId(0), weight: 1.0, cost_hint: None, key: None };
                    let ask = SearchRequest {
                        label: "a".into(),
                        class: ClassId(class),
                        tenant: Some(TenantId(0)),
                        time_left: Duration::from_secs(5),
                        retry: false,
                        payload: Default::default(),
                        parts: vec![part],
                    };
                    match core.submit(now, ask) {
                        Ok(query) => open.push(query),
                        Err(_) => settled += 1,
                    }
                }
                Happens::Crowded(class) => {
                    (came[class], settled) = (came[class] + 1, settled + 1);
                    core.reject_unread(ClassId(class));
                }
                Happens::Stopping(class) => {
                    (came[class], settled) = (came[class] + 1, settled + 1);
                    core.reject_stopping(ClassId(class), None);
                }
                Happens::Left(at) if !open.is_empty() => {
                    let query = open.remove(at % open.len());
                    core.client_left(now, query);
                }
                Happens::Ended(at, how) if !out.is_empty() => {
                    let ticket = out.remove(at % out.len());
                    let outcome = [AttemptOutcome::Succeeded, AttemptOutcome::ConnectionReset, AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed];
                    core.on_attempt_finished(now, ticket, AttemptCompletion::without_value(outcome[usize::from(how)]));
                }
                Happens::Passes(span) => now = now.after(Duration::from_millis(span)),
                _ => {}
            }
            for order in core.step(now) {
                match order {
                    Command::Call { parts, .. } => out.extend(parts.iter().map(|part| part.attempt_id)),
                    Command::Cancel { attempt_id: ticket, .. } => out.retain(|other| *other != ticket),
                    Command::Respond { query, .. } => {
                        open.retain(|other| *other != query);
                        settled += 1;
                    }
                    _ => {}
                }
            }
            let ends = core.class_counts();
            prop_assert_eq!([ends[0].received, ends[1].received], came);
            prop_assert_eq!(ends.iter().map(|ends| ends.open()).sum::<u64>(), core.open_queries() as u64);
            let told: u64 = ends.iter().map(|ends| ends.succeeded + ends.rejected + ends.failed).sum();
            prop_assert_eq!(told, settled, "each answer is counted once");
        }
    }
}
