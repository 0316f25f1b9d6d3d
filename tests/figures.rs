//! The figures that operators read: each end of a query is counted once, in any order of events.

use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::routing::{Ask, AskPart, Core, End, Order, Ticket};
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
        core.learn(now, &config.known.expect("a list"), true);
        let (mut open, mut out): (Vec<RequestId>, Vec<Ticket>) = Default::default();
        let (mut came, mut settled) = ([0_u64; 2], 0_u64);
        for event in events {
            match event {
                Happens::Asked(class) => {
                    came[class] += 1;
                    let part = AskPart { shard: ShardId(0), weight: 1.0, hint: None, key: None };
                    let ask = Ask {
                        label: "a".into(),
                        class: ClassId(class),
                        tenant: Some(TenantId(0)),
                        left: Duration::from_secs(5),
                        retry: false,
                        text: Default::default(),
                        parts: vec![part],
                    };
                    match core.offer(now, ask) {
                        Ok(query) => open.push(query),
                        Err(_) => settled += 1,
                    }
                }
                Happens::Crowded(class) => {
                    (came[class], settled) = (came[class] + 1, settled + 1);
                    core.refuse_crowded(ClassId(class));
                }
                Happens::Stopping(class) => {
                    (came[class], settled) = (came[class] + 1, settled + 1);
                    core.refuse_stopping(ClassId(class), None);
                }
                Happens::Left(at) if !open.is_empty() => {
                    let query = open.remove(at % open.len());
                    core.client_left(now, query);
                }
                Happens::Ended(at, how) if !out.is_empty() => {
                    let ticket = out.remove(at % out.len());
                    let outcome = [AttemptOutcome::Succeeded, AttemptOutcome::ConnectionReset, AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed];
                    core.ended(now, ticket, End::bare(outcome[usize::from(how)]));
                }
                Happens::Passes(span) => now = now.after(Duration::from_millis(span)),
                _ => {}
            }
            for order in core.turn(now) {
                match order {
                    Order::Call { parts, .. } => out.extend(parts.iter().map(|part| part.ticket)),
                    Order::Abandon { ticket, .. } => out.retain(|other| *other != ticket),
                    Order::Settle { query, .. } => {
                        open.retain(|other| *other != query);
                        settled += 1;
                    }
                    _ => {}
                }
            }
            let ends = core.ends();
            prop_assert_eq!([ends[0].came, ends[1].came], came);
            prop_assert_eq!(ends.iter().map(|ends| ends.open()).sum::<u64>(), core.open() as u64);
            let told: u64 = ends.iter().map(|ends| ends.succeeded + ends.declined + ends.aborted).sum();
            prop_assert_eq!(told, settled, "each answer is counted once");
        }
    }
}
