//! Replica selection: filters the replicas of a part's shard by eligibility and health, then chooses the
//! one of the least cost. A cost is a sum of terms, each in seconds of a worker's time. This file reads the
//! aggregator's state and changes none of it.

use crate::policy::load_reports::Replica;
use crate::policy::outlier_detection::FAILURE_RATE_SAMPLE_WEIGHT;
use crate::policy::queries::Part;
use crate::policy::time::seconds;
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, Idempotency, Time, WorkerId};
use xxhash_rust::xxh3::xxh3_64;

/// Share of a part's cost that the preferred replica of its key is expected to save by its cache. It is `P`
/// in DESIGN, with the default given there.
const EXPECTED_HIT_RATE: f64 = 0.5;
/// Half-open attempts per step. The number is small because each may fail and make a query need a hedge.
const MAX_HALF_OPEN_ATTEMPTS_PER_STEP: usize = 2;
/// A replica may respond later than the fastest one by this share of the part's cost before the excess
/// counts as a cost.
const TOLERATED_EXCESS_LATENCY_OF_COST: f64 = 0.3;
/// Above this failure rate a worker gets no non-idempotent part while another replica can take it.
const AVOIDED_FAILURE_RATE: f64 = 0.15;
/// Above this failure rate a worker gets no non-idempotent part at all.
const FORBIDDEN_FAILURE_RATE: f64 = 0.5;

/// A replica that a part may go to.
struct Candidate<'a> {
    id: WorkerId,
    weight: f64,
    worker: &'a WorkerState,
    /// Seconds until the worker is expected to respond.
    expected_latency: f64,
}

/// The selection of a replica for one part: the inputs that all candidates share.
struct Selection<'a> {
    policy: &'a Aggregator,
    part: &'a Part,
    /// All replicas of the part's shard, including ineligible ones.
    replicas: &'a [Replica],
    /// Whether the part's class is not fully idempotent, so that a second run might do harm.
    is_non_idempotent: bool,
    /// Hash of the part's key, or of its id if it has no key.
    hash: u64,
    /// When the query's latency objective expires.
    objective_at: Time,
}

impl Aggregator {
    /// The eligible replica of the least cost and its expected latency in seconds; `None` if no replica is
    /// eligible.
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

    /// Whether a part may be sent to a worker now, apart from the worker's health: the part is unfinished,
    /// the worker is active, and the limits on retries, on hedges and on slow start permit it.
    pub(super) fn is_eligible(&self, part: &Part, worker: &WorkerState) -> bool {
        let is_first = part.attempts.is_empty();
        !part.succeeded
            && !part.finished
            && worker.is_active()
            && self.may_attempt(part)
            && (!part.is_in_flight() || self.settings.hedging_allowed)
            && (is_first || self.retry_budget_permits(self.is_hedge(part)))
            && self.slow_start_permits(worker, part.cost + worker.new_call_cost(&self.settings))
    }
}

// Eligibility.
impl<'a> Selection<'a> {
    /// The replicas that the part may go to, with their expected latencies. Unhealthy replicas are excluded
    /// only while a healthy one is listed, and unresponsive ones while a responsive one is listed.
    fn candidates(&self) -> Vec<Candidate<'a>> {
        let known = self.replicas.iter().filter_map(|replica| {
            let worker = self.policy.workers.get(&replica.worker)?;
            let (id, weight) = (replica.worker, replica.weight);
            Some(Candidate { id, weight, worker, expected_latency: 0.0 })
        });
        let mut candidates: Vec<Candidate<'a>> = known.collect();
        // A part that has failed at all healthy replicas goes to an ejected replica that responds, rather
        // than to a healthy one again.
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

    /// Whether the part is non-idempotent and the worker's failure rate for its class is above `rate`. Such
    /// a part is better rejected than lost: a rejection does no harm.
    fn fails_more_than(&self, worker: &WorkerState, rate: f64) -> bool {
        self.is_non_idempotent && worker.failure_rate(self.policy.now, self.part.class) > rate
    }

    /// Whether the worker is not ejected, or may get the part as a half-open attempt, and does not fail too
    /// often for the part. Non-idempotent parts are never sent as half-open attempts.
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

    /// Whether the worker responds, though it may be ejected, and does not fail too often for the part.
    fn is_responsive(&self, worker: &WorkerState) -> bool {
        !worker.unresponsive && !self.fails_more_than(worker, AVOIDED_FAILURE_RATE)
    }
}

// Cost.
impl<'a> Selection<'a> {
    /// The candidate of the least cost; among equal ones, that of the greatest rendezvous hash.
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

    /// The replica that is expected to have the part's key in its cache. All aggregators choose the same
    /// one, because it depends on the key and the shard's replicas alone, not on which of them are
    /// eligible.
    fn preferred_replica(&self) -> Option<WorkerId> {
        let ids = self.replicas.iter().map(|replica| replica.worker);
        ids.max_by_key(|id| rendezvous_hash(self.hash, *id))
    }

    /// The candidate for a part without a key, chosen by its hash with a probability in proportion to the
    /// candidate's weight.
    fn replica_by_weight(&self, candidates: &[Candidate<'_>]) -> Option<WorkerId> {
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let mut remaining_weight = total * (self.hash >> 11) as f64 / (1u64 << 53) as f64;
        let chosen = candidates.iter().find(|candidate| {
            remaining_weight -= candidate.weight;
            remaining_weight < 0.0
        });
        chosen.map(|candidate| candidate.id)
    }

    /// The cost of DESIGN: the part's own cost, less what the preferred replica's cache saves, divided by
    /// the replica's weight relative to an even one. For a part without a key it is zero at the preferred
    /// replica.
    fn weighted_cost(&self, candidate: &Candidate<'_>, is_preferred: bool) -> f64 {
        let has_key = self.part.key_hash.is_some();
        if is_preferred && !has_key {
            return 0.0;
        }
        let saved_share = if is_preferred { EXPECTED_HIT_RATE } else { 0.0 };
        self.part.cost * (1.0 - saved_share) / (candidate.weight * self.replicas.len() as f64)
    }

    /// Departure "crossing" from DESIGN's cost, in effect if crossing zones and wasted work have prices:
    /// the amount of wasted work that would have the same price.
    fn cross_zone_cost(&self, candidate: &Candidate<'_>) -> f64 {
        let settings = &self.policy.settings;
        let price_ratio =
            if settings.waste_price > 0.0 { settings.cross_zone_price / settings.waste_price } else { 0.0 };
        let crosses = candidate.worker.endpoint.zone != settings.zone;
        if crosses { self.part.cost * price_ratio } else { 0.0 }
    }

    /// Departure "lag" from DESIGN's cost, in effect if a replica would respond much later than the
    /// fastest: the seconds beyond the tolerated excess.
    fn excess_latency_cost(&self, candidate: &Candidate<'_>, min_latency: f64) -> f64 {
        (candidate.expected_latency - min_latency - TOLERATED_EXCESS_LATENCY_OF_COST * self.part.cost)
            .max(0.0)
    }

    /// Departure "loss" from DESIGN's cost: the expected wait that a failed attempt costs. A part that may
    /// be sent again waits until the attempt is overdue; the weight of one failure is deducted, because one
    /// may be chance. A non-idempotent part waits without a response until its latency objective.
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

/// The rendezvous hash of a key and a worker. It is the same in every process, so that all aggregators
/// agree on a key's preferred replica.
fn rendezvous_hash(key: u64, worker: WorkerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&worker.0.to_le_bytes());
    xxh3_64(&bytes)
}
