//! Decisions of an aggregator (root) that serves each query from many shards.
//!
//! A root owns sockets, clocks and timers; this crate owns the decisions: which replica each part goes to, when to
//! try again or send a second copy, which queries to refuse, and when to answer. It does no input or output. Hand
//! all events of a moment to [`Aggregator::turn`] and carry out the actions that come back.
//!
//! ```
//! use gatherer::policy::*;
//! use std::time::Duration;
//!
//! let class = Class {
//!     aim: Duration::from_millis(1500),
//!     aim_stretch: 0.0,
//!     deadline: Duration::from_secs(5),
//!     effect: Effect::Repeatable,
//!     window: Duration::ZERO,
//!     worth: 1.0,
//!     late_worth: 0.0,
//!     min_share: 1.0,
//!     whole_at: 1.0,
//!     short_worth: 0.0,
//!     follow_up: 0,
//! };
//! let mut root = Aggregator::new(Settings {
//!     seed: 42,
//!     roots: 2,
//!     classes: vec![class],
//!     shards: 1,
//!     per_call: 16,
//!     ..Settings::default()
//! });
//!
//! // The membership list comes in; the module asks for a timer, which the root sends back as `Event::Due`.
//! let leaf = |id| Entry { leaf: LeafId(id), units: 1.0, ..Entry::default() };
//! let list = Membership::Full(vec![leaf(1), leaf(2)].into());
//! let mut actions = Vec::new();
//! root.turn(Time(0), [Event::Membership(list)], &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Wake { .. })));
//!
//! // A query with one part: the module sends it to a replica.
//! let (query, part, job) = (RequestId(1), RequestId(2), JobId(1));
//! let valid_until = Time(5_000_000_000);
//! let asked = NewQuery { id: query, class: ClassId(0), tenant: None, valid_until, job, retry: false };
//! let key = Some("account-17".into());
//! let needed = NewPart { id: part, key, hint: None, job, shard: ShardId(0), weight: 1.0 };
//! actions.clear();
//! root.turn(Time(1_000_000), [Event::Query(asked), Event::Part(needed)], &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Send { id, leaf, .. } if *id == part => Some(*leaf),
//!     _ => None,
//! });
//! let leaf = sent.expect("the part is sent");
//!
//! // The leaf answers, and so does the root.
//! let end = AttemptEnd {
//!     id: part,
//!     attempt: AttemptNo(0),
//!     leaf,
//!     outcome: Outcome::Done,
//!     elapsed: Duration::from_millis(80),
//!     over: true,
//!     report: None,
//! };
//! actions.clear();
//! root.turn(Time(81_000_000), [Event::Ended(end)], &mut actions);
//! assert!(actions.contains(&Action::Answer { id: query, whole: true }));
//! ```

pub mod fronts;
pub mod lab;
pub mod limits;
pub mod membership;
pub mod policy;
pub mod program;
pub mod protocol;
pub mod records;
pub mod routing;
pub mod service;
pub mod soak;
pub mod transport;

pub use policy::Aggregator;
