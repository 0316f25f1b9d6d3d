//! The counts of queries in the metrics for operators: each query is counted once, in any order of events.

mod common;

use common::platform::{platform_config, search_request, single_part};
use gatherer::policy::{AttemptOutcome, ClassId, RequestId, TenantId, Time};
use gatherer::routing::{AttemptCompletion, AttemptId, Command, Core, ListOrigin, SearchRequest};
use proptest::prelude::{Strategy, prop, prop_assert_eq, prop_oneof, proptest};
use std::time::Duration;

/// An event to which the core reacts. An index is taken modulo the number of open queries or of attempts in
/// flight.
#[derive(Clone, Copy, Debug)]
enum TestEvent {
    /// A query of this class is submitted.
    Submitted { class: usize },
    /// A query of this class is rejected before it was read.
    RejectedOverloaded { class: usize },
    /// A query of this class is rejected because the gatherer is stopping.
    RejectedStopping { class: usize },
    /// The client of an open query disconnects.
    ClientDisconnected { query: usize },
    /// An attempt in flight finishes with one of [`OUTCOMES`].
    AttemptFinished { attempt: usize, outcome: usize },
    /// Time passes.
    TimePassed { ms: u64 },
}

const OUTCOMES: [AttemptOutcome; 4] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::ConnectionReset,
    AttemptOutcome::Rejected,
    AttemptOutcome::ConnectFailed,
];

fn test_event() -> impl Strategy<Value = TestEvent> {
    prop_oneof![
        4 => (0..2_usize).prop_map(|class| TestEvent::Submitted { class }),
        1 => (0..2_usize).prop_map(|class| TestEvent::RejectedOverloaded { class }),
        1 => (0..2_usize).prop_map(|class| TestEvent::RejectedStopping { class }),
        1 => (0..8_usize).prop_map(|query| TestEvent::ClientDisconnected { query }),
        4 => (0..8_usize, 0..OUTCOMES.len())
            .prop_map(|(attempt, outcome)| TestEvent::AttemptFinished { attempt, outcome }),
        2 => (1..3000_u64).prop_map(|ms| TestEvent::TimePassed { ms }),
    ]
}

fn request_of_tenant(class: usize) -> SearchRequest {
    SearchRequest { tenant: Some(TenantId(0)), ..search_request(ClassId(class), vec![single_part(None)]) }
}

/// A core under random events, and the counts that are expected of it.
struct RandomRun {
    core: Core,
    now: Time,
    /// Queries without a response.
    open: Vec<RequestId>,
    /// Attempts that have not finished.
    in_flight: Vec<AttemptId>,
    /// Number of queries received, by class.
    received: [u64; 2],
    /// Number of queries that have ended.
    ended: u64,
}

impl RandomRun {
    fn new() -> RandomRun {
        let config = platform_config();
        let mut core = Core::new(config.contracts);
        let now = Time(1_700_000_000_000_000_000);
        core.apply_endpoint_update(
            now,
            &config.initial_workers.expect("the configuration lists workers"),
            ListOrigin::Cache,
        );
        RandomRun { core, now, open: Vec::new(), in_flight: Vec::new(), received: [0; 2], ended: 0 }
    }

    fn apply(&mut self, event: TestEvent) {
        match event {
            TestEvent::Submitted { class } => {
                self.received[class] += 1;
                match self.core.submit(self.now, request_of_tenant(class)) {
                    Ok(query) => self.open.push(query),
                    Err(_) => self.ended += 1,
                }
            }
            TestEvent::RejectedOverloaded { class } => {
                self.received[class] += 1;
                self.ended += 1;
                self.core.reject_overloaded(ClassId(class));
            }
            TestEvent::RejectedStopping { class } => {
                self.received[class] += 1;
                self.ended += 1;
                self.core.reject_stopping(ClassId(class), None);
            }
            TestEvent::ClientDisconnected { query } if !self.open.is_empty() => {
                let query = self.open.remove(query % self.open.len());
                self.core.disconnect_client(self.now, query);
            }
            TestEvent::AttemptFinished { attempt, outcome } if !self.in_flight.is_empty() => {
                let attempt = self.in_flight.remove(attempt % self.in_flight.len());
                let completion = AttemptCompletion::without_value(OUTCOMES[outcome]);
                self.core.on_attempt_finished(self.now, attempt, completion);
            }
            TestEvent::TimePassed { ms } => self.now = self.now.after(Duration::from_millis(ms)),
            TestEvent::ClientDisconnected { .. } | TestEvent::AttemptFinished { .. } => {}
        }
    }

    /// Runs a step of the core, and applies its commands to the expected state.
    fn step(&mut self) {
        for command in self.core.step(self.now) {
            match command {
                Command::Call { parts, .. } => {
                    self.in_flight.extend(parts.iter().map(|part| part.attempt_id));
                }
                Command::Cancel { attempt_id, .. } => {
                    self.in_flight.retain(|other| *other != attempt_id);
                }
                Command::Respond { query, .. } => {
                    self.open.retain(|other| *other != query);
                    self.ended += 1;
                }
                _ => {}
            }
        }
    }
}

proptest! {
    #[test]
    fn every_query_is_counted_once_in_any_sequence_of_events(
        events in prop::collection::vec(test_event(), 1..120),
    ) {
        let mut run = RandomRun::new();
        for event in events {
            run.apply(event);
            run.step();
            let counts = run.core.class_counts();
            prop_assert_eq!([counts[0].received, counts[1].received], run.received);
            let open_queries: u64 = counts.iter().map(|counts| counts.open()).sum();
            prop_assert_eq!(open_queries, run.core.open_queries() as u64);
            let counted: u64 =
                counts.iter().map(|counts| counts.succeeded + counts.rejected + counts.failed).sum();
            prop_assert_eq!(counted, run.ended, "each query that ended is counted once");
        }
    }
}
