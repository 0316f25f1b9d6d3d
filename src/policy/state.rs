//! What a root remembers of leaves, queries and their parts, as plain fields: no decision, table or tuned
//! value stands here. Everything that reads or changes them is in `src/policy/`.

use crate::policy::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A leaf as this root knows it.
#[derive(Default)]
pub struct WorkerState {
    pub endpoint: Endpoint,
    /// Start of its warm-up.
    pub warming_since: Option<Time>,
    /// Work sent within a warm-up, for the cold allowance.
    pub recent_sends: VecDeque<(Time, f64)>,
    /// Work of attempts out, in seconds, and the attempts by time sent.
    pub outstanding_cost: f64,
    pub in_flight: BTreeSet<(Time, RequestId, AttemptNo)>,
    /// Parts that still fit the call opened this turn.
    pub parts_left_in_call: u32,
    /// Utilization last reported, and when.
    pub utilization: Option<f64>,
    pub last_report_at: Option<Time>,
    /// Latency seen and latency expected, on average: their ratio is the leaf's drag.
    pub mean_latency: f64,
    pub mean_expected_latency: f64,
    pub last_success_at: Time,
    /// When it last gave any answer at all, and whether it is suspect for giving none.
    pub last_response_at: Time,
    pub unresponsive: bool,
    /// It is suspect because its zone seems lost, and for nothing of its own.
    pub ejected_with_zone: bool,
    /// When an attempt was sent that could not connect, with no answer since.
    pub connect_failed_at: Option<Time>,
    pub consecutive_failures: u32,
    /// Share of attempts that stayed without answer and when that was last judged: of each class, and of all
    /// (`None`).
    pub failure_rates: BTreeMap<Option<ClassId>, (f64, Time)>,
    /// Not to be used before, and the pause that led there; `None` while trusted.
    pub ejection: Option<(Time, Duration)>,
    pub health_check_in_flight: bool,
    /// Its last probe came back, or none was needed.
    pub passes_health_checks: bool,
    pub next_health_check_at: Time,
    /// Work answered a second, decayed over `SPAN`.
    pub served_cost_rate: f64,
}

/// An attempt of a part.
pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Time,
    pub expected_latency: f64,
    pub cost: f64,
    pub cost_ahead: f64,
    /// Attempts sent later to the same leaf that were answered sooner.
    pub overtaken_by: u32,
    /// It is booked as lost.
    pub counted_as_lost: bool,
    /// How it ended; `None` while it is out.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::proves_unrun)
    }
}

/// A part of a query that this root holds.
pub struct Part {
    pub request: NewPart,
    pub query: RequestId,
    pub class: ClassId,
    pub key_hash: Option<u64>,
    pub cost: f64,
    pub attempts: Vec<Attempt>,
    pub succeeded: bool,
    pub finished: bool,
    /// Its query has let go of it.
    pub released: bool,
}

/// A query that this root holds.
pub struct Query {
    pub request: NewQuery,
    /// When the aim is missed, or the client gone if that is sooner.
    pub objective_at: Time,
    pub parts: Vec<RequestId>,
    pub admitted: bool,
    /// It came when its tenant had used up its share.
    pub over_quota: bool,
    /// For a query in its second step: whether the first was whole.
    pub first_step_complete: Option<bool>,
}

/// A span as a number of seconds.
pub fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// A number of seconds as a span; an hour at most.
pub fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
}

/// The active leaves that hold each shard, by id: shard `s` lies in `span` cells in a row from cell `s`, or
/// with every leaf where there are no cells. Goes by cells, so that a list of many leaves does not cost their
/// square.
pub fn holders(
    workers: &BTreeMap<WorkerId, WorkerState>,
    settings: &Settings,
) -> BTreeMap<ShardId, Vec<WorkerId>> {
    let cell_of = |at: u32| at.checked_rem(settings.cells).unwrap_or(0);
    let mut by_cell: BTreeMap<u32, Vec<WorkerId>> = BTreeMap::new();
    for (id, worker) in workers.iter().filter(|(_, worker)| worker.endpoint.status == EndpointStatus::Active)
    {
        by_cell.entry(cell_of(worker.endpoint.cell.0)).or_default().push(*id);
    }
    let steps = if settings.cells == 0 { 1 } else { settings.cells_per_shard.min(settings.cells) };
    let held = |shard: u32| {
        let cells = (0..steps).filter_map(|step| by_cell.get(&cell_of(cell_of(shard) + step)));
        let mut ids: Vec<WorkerId> = cells.flatten().copied().collect();
        ids.sort_unstable();
        (ShardId(shard), ids)
    };
    (0..settings.shards).map(held).collect()
}
