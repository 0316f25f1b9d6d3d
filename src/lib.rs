//! The gatherer: an aggregator that serves each query from many shards.
//!
//! The [`policy`] module makes its decisions: which replica each part goes to, when to retry or send a hedged request,
//! which queries to reject, and when to answer. It does no I/O; sockets, clocks and timers belong to the program that
//! embeds it. Pass all events that arrived at one time to [`Aggregator::step`] and carry out the actions that it adds.
//!
//! ```
//! use gatherer::policy::*;
//! use std::time::Duration;
//!
//! let class = Class {
//!     latency_objective: Duration::from_millis(1500),
//!     objective_stretch: 0.0,
//!     deadline: Duration::from_secs(5),
//!     idempotency: Idempotency::Idempotent,
//!     repeat_window: Duration::ZERO,
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     min_coverage: 1.0,
//!     complete_coverage: 1.0,
//!     partial_weight: 0.0,
//!     second_step_parts: 0,
//! };
//! let mut aggregator = Aggregator::new(Settings {
//!     seed: 42,
//!     fleet_size: 2,
//!     classes: vec![class],
//!     shards: 1,
//!     parts_per_call: 16,
//!     ..Settings::default()
//! });
//!
//! // The endpoint list arrives. The module requests a timer, which the program reports as `Event::TimerFired`.
//! let worker = |id| Endpoint { worker: WorkerId(id), units: 1.0, ..Endpoint::default() };
//! let list = EndpointUpdate::Full(vec![worker(1), worker(2)].into());
//! let mut actions = Vec::new();
//! aggregator.step(Time(0), [Event::EndpointUpdate(list)], &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::SetTimer { .. })));
//!
//! // A query with one part arrives. The module sends the part to a replica.
//! let (query, part, job) = (RequestId(1), RequestId(2), JobId(1));
//! let valid_until = Time(5_000_000_000);
//! let new_query = NewQuery { id: query, class: ClassId(0), tenant: None, valid_until, job, is_retry: false };
//! let key = Some("account-17".into());
//! let new_part = NewPart { id: part, key, cost_hint: None, job, shard: ShardId(0), weight: 1.0 };
//! actions.clear();
//! let events = [Event::QueryReceived(new_query), Event::PartReceived(new_part)];
//! aggregator.step(Time(1_000_000), events, &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Send { id, worker, .. } if *id == part => Some(*worker),
//!     _ => None,
//! });
//! let worker = sent.expect("the part is sent");
//!
//! // The worker answers the part, and the module answers the query.
//! let result = AttemptResult {
//!     id: part,
//!     attempt: AttemptNo(0),
//!     worker,
//!     outcome: AttemptOutcome::Succeeded,
//!     elapsed: Duration::from_millis(80),
//!     part_finished: true,
//!     load_report: None,
//! };
//! actions.clear();
//! aggregator.step(Time(81_000_000), [Event::AttemptFinished(result)], &mut actions);
//! assert!(actions.contains(&Action::Respond { id: query, complete: true }));
//! ```

pub mod fronts;
pub mod limits;
pub mod membership;
pub mod policy;
pub mod program;
pub mod protocol;
pub mod records;
pub mod routing;
pub mod service;
pub mod simulation;
pub mod soak;
pub mod transport;

pub use policy::Aggregator;
