//! The choice of a replica for a part: eligibility first, then the least cost. A cost is a sum of terms, each
//! in seconds of a worker's time. This file reads state and changes none.

use crate::policy::load_reports::Replica;
use crate::policy::outlier_detection::FAILURE_RATE_SAMPLE_WEIGHT;
use crate::policy::queries::Part;
use crate::policy::time::seconds;
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, Idempotency, Time, WorkerId};
use xxhash_rust::xxh3::xxh3_64;

/// Share of a key's cost that its preferred replica is expected to save (DESIGN's P; its default).
const EXPECTED_HIT_RATE: f64 = 0.5;
/// Half-open attempts in a step: each may cost a query a hedge.
const MAX_HALF_OPEN_ATTEMPTS_PER_STEP: usize = 2;
/// Shares of a part's own cost by which a replica may respond later than the soonest before that counts.
const TOLERATED_EXCESS_LATENCY_OF_COST: f64 = 0.3;
/// Failure rate from which a worker gets no non-idempotent part while others can.
const AVOIDED_FAILURE_RATE: f64 = 0.15;
/// Failure rate from which a worker gets no non-idempotent part at all.
const FORBIDDEN_FAILURE_RATE: f64 = 0.5;

/// A replica that a part may go to.
struct Candidate<'a> {
    id: WorkerId,
    weight: f64,
    worker: &'a WorkerState,
    /// Seconds until it would respond.
    expected_latency: f64,
}

/// What all candidates for a part have in common.
struct Selection<'a> {
    policy: &'a Aggregator,
    part: &'a Part,
    /// Replicas of the part's shard, the ineligible among them.
    replicas: &'a [Replica],
    /// A second attempt that runs would do harm.
    is_non_idempotent: bool,
    /// Of the part's key, or of its id where it has none.
    hash: u64,
    /// When the query's latency objective is missed.
    objective_at: Time,
}

impl Aggregator {
    /// The eligible replica of the least cost, and its expected latency in seconds.
    pub(super) fn select_replica(&self, part: &Part) -> Option<(WorkerId, f64)> {
        let replicas = self.replica_sets.get(&part.request.shard)?;
        let class = self.class(part.class);
        let selection = Selection {
            policy: self,
            part,
            replicas,
            is_non_idempotent: class.is_none_or(|class| class.idempotency != Idempotency::Idempotent),
            hash: part.key_hash.unwrap_or(xxh3_64(&part.request.id.0.to_le_bytes())),
            objective_at: self.queries.get(&part.query).map_or(self.now, |query| query.objective_at),
        };
        let candidates = selection.candidates();
        selection.least_cost(&candidates).map(|best| (best.id, best.expected_latency))
    }

    /// Every condition on sending a part to a worker now, however healthy it is.
    pub(super) fn is_eligible(&self, part: &Part, worker: &WorkerState) -> bool {
        let is_first = part.attempts.is_empty();
        !part.succeeded
            && !part.finished
            && worker.is_active()
            && self.may_retry(part)
            && (!part.is_in_flight() || self.settings.hedging_allowed)
            && (is_first || self.retry_budget_permits(self.is_hedge(part)))
            && self.slow_start_permits(worker, part.cost + worker.new_call_cost(&self.settings))
    }
}

// Eligibility.
impl<'a> Selection<'a> {
    /// The replicas that the part may go to. Health filters only while a healthy replica is left.
    fn candidates(&self) -> Vec<Candidate<'a>> {
        let known = self.replicas.iter().filter_map(|replica| {
            let worker = self.policy.workers.get(&replica.worker)?;
            let (id, weight) = (replica.worker, replica.weight);
            Some(Candidate { id, weight, worker, expected_latency: 0.0 })
        });
        let mut candidates: Vec<Candidate<'a>> = known.collect();
        // A part that has failed at all healthy replicas goes to an ejected one that responds, not to the
        // same.
        let any_untried = |accepts: &dyn Fn(&WorkerState) -> bool| {
            candidates.iter().any(|candidate| self.is_untried(candidate.id) && accepts(candidate.worker))
        };
        let healthy = |worker: &WorkerState| self.is_healthy(worker);
        let responsive = |worker: &WorkerState| self.is_responsive(worker);
        let prefers_ejected = !self.part.is_in_flight() && !any_untried(&healthy) && any_untried(&responsive);
        if !prefers_ejected && candidates.iter().any(|candidate| healthy(candidate.worker)) {
            candidates.retain(|candidate| healthy(candidate.worker));
        } else if candidates.iter().any(|candidate| responsive(candidate.worker)) {
            candidates.retain(|candidate| responsive(candidate.worker));
        }
        candidates.retain(|candidate| {
            self.policy.is_eligible(self.part, candidate.worker)
                && !self.fails_more_than(candidate.worker, FORBIDDEN_FAILURE_RATE)
        });
        if candidates.iter().any(|candidate| self.is_untried(candidate.id)) {
            candidates.retain(|candidate| self.is_untried(candidate.id));
        }
        for candidate in &mut candidates {
            candidate.expected_latency = self.policy.expected_latency(candidate.worker, self.part.cost);
        }
        candidates
    }

    fn is_untried(&self, id: WorkerId) -> bool {
        self.part.attempts.iter().all(|attempt| attempt.worker != id)
    }

    /// Whether a non-idempotent part would go to a worker that loses more than this share of its class: a
    /// query that is rejected does no harm, one that is lost does.
    fn fails_more_than(&self, worker: &WorkerState, rate: f64) -> bool {
        self.is_non_idempotent && worker.failure_rate(self.policy.now, self.part.class) > rate
    }

    /// Not ejected, or free for a half-open attempt; non-idempotent parts are none.
    fn is_healthy(&self, worker: &WorkerState) -> bool {
        let may_send_half_open = || {
            !self.is_non_idempotent
                && worker.in_flight.is_empty()
                && worker.passes_health_checks
                && self.policy.half_open_attempts < MAX_HALF_OPEN_ATTEMPTS_PER_STEP
        };
        worker.ejection.is_none_or(|ejection| ejection.retry_at <= self.policy.now && may_send_half_open())
            && !self.fails_more_than(worker, AVOIDED_FAILURE_RATE)
    }

    fn is_responsive(&self, worker: &WorkerState) -> bool {
        !worker.unresponsive && !self.fails_more_than(worker, AVOIDED_FAILURE_RATE)
    }
}

// Cost. Each term is in seconds of a worker's time.
impl<'a> Selection<'a> {
    /// The candidate of the least cost; of equal ones that of the greatest rendezvous hash.
    fn least_cost<'b>(&self, candidates: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
        let latencies = candidates.iter().map(|candidate| candidate.expected_latency);
        let min_latency = latencies.fold(f64::INFINITY, f64::min);
        let preferred = match self.part.key_hash {
            Some(_) => self.preferred_replica(),
            None => self.replica_by_weight(candidates),
        };
        let costs = candidates.iter().map(|candidate| {
            let cost = self.weighted_cost(candidate, preferred == Some(candidate.id))
                + self.cross_zone_cost(candidate)
                + candidate.worker.new_call_cost(&self.policy.settings)
                + self.excess_latency_cost(candidate, min_latency)
                + self.failure_cost(candidate);
            (cost, rendezvous_hash(self.hash, candidate.id), candidate)
        });
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        least.map(|(_, _, candidate)| candidate)
    }

    /// The replica that caches a key: all aggregators agree on it, whichever replicas are eligible.
    fn preferred_replica(&self) -> Option<WorkerId> {
        let ids = self.replicas.iter().map(|replica| replica.worker);
        ids.max_by_key(|id| rendezvous_hash(self.hash, *id))
    }

    /// The candidate that a part without a key falls to by its hash: candidates are laid end to end by
    /// weight.
    fn replica_by_weight(&self, candidates: &[Candidate<'_>]) -> Option<WorkerId> {
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let mut remaining_weight = total * (self.hash >> 11) as f64 / (1u64 << 53) as f64;
        let chosen = candidates.iter().find(|candidate| {
            remaining_weight -= candidate.weight;
            remaining_weight < 0.0
        });
        chosen.map(|candidate| candidate.id)
    }

    /// DESIGN's cost: the part's own, less what a cache saves, over the replica's weight; zero at the replica
    /// to which a part without a key falls.
    fn weighted_cost(&self, candidate: &Candidate<'_>, is_preferred: bool) -> f64 {
        let has_key = self.part.key_hash.is_some();
        if is_preferred && !has_key {
            return 0.0;
        }
        let saved_share = if is_preferred { EXPECTED_HIT_RATE } else { 0.0 };
        self.part.cost * (1.0 - saved_share) / (candidate.weight * self.replicas.len() as f64)
    }

    /// Departure "crossing": acts where crossing zones has a price; the cost at which as much would be
    /// wasted.
    fn cross_zone_cost(&self, candidate: &Candidate<'_>) -> f64 {
        let settings = &self.policy.settings;
        let price_ratio =
            if settings.waste_price > 0.0 { settings.cross_zone_price / settings.waste_price } else { 0.0 };
        let crosses = candidate.worker.endpoint.zone != settings.zone;
        if crosses { self.part.cost * price_ratio } else { 0.0 }
    }

    /// Departure "lag": acts where a replica would respond much later than the soonest.
    fn excess_latency_cost(&self, candidate: &Candidate<'_>, min_latency: f64) -> f64 {
        (candidate.expected_latency - min_latency - TOLERATED_EXCESS_LATENCY_OF_COST * self.part.cost)
            .max(0.0)
    }

    /// Departure "loss": the wait that a failed attempt costs. A part that may be sent again waits until the
    /// failure shows, and one failure may be chance; one that may not waits in vain until its objective.
    fn failure_cost(&self, candidate: &Candidate<'_>) -> f64 {
        let policy = self.policy;
        let rate = candidate.worker.failure_rate(policy.now, self.part.class);
        if self.is_non_idempotent {
            rate * seconds(self.objective_at.since(policy.now))
        } else {
            let excess_rate = (rate - FAILURE_RATE_SAMPLE_WEIGHT).max(0.0);
            excess_rate * (candidate.expected_latency + policy.overdue_margin())
        }
    }
}

/// The stable hash by which all aggregators agree on a key's preferred replica (rendezvous hashing).
fn rendezvous_hash(key: u64, worker: WorkerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&worker.0.to_le_bytes());
    xxh3_64(&bytes)
}
