//! The choice of a replica: eligibility, then cost.

use crate::policy::outlier_detection::FAILURE_RATE_SAMPLE_WEIGHT;
use crate::policy::queries::Part;
use crate::policy::time::seconds;
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, EndpointStatus, Idempotency, WorkerId};
use xxhash_rust::xxh3::xxh3_64;

/// Share of a key's work that its home is expected to save (DESIGN's P; its default).
const EXPECTED_HIT_RATE: f64 = 0.5;
/// Suspects tried in a turn: each may cost a query a copy.
const MAX_HALF_OPEN_ATTEMPTS_PER_STEP: usize = 2;
/// Parts of own work by which a replica may lag behind the soonest before that counts in its cost.
const FREE_EXCESS_LATENCY_OF_COST: f64 = 0.3;
/// Share lost from which a leaf gets none of what runs once while others do, and from which none at all.
const MAX_FAILURE_RATE: (f64, f64) = (0.15, 0.5);

impl Aggregator {
    /// The replica with the least vote over m among those that the guards let through.
    pub(super) fn select_replica(&self, part: &Part) -> Option<(WorkerId, f64)> {
        let row = self.replica_sets.get(&part.request.shard)?;
        let mut open: Vec<(WorkerId, f64, &WorkerState)> =
            row.iter().filter_map(|(id, m)| Some((*id, *m, self.workers.get(id)?))).collect();
        // Health filters only while a trusted replica is left; what runs once goes to none on trial.
        let once = self.class(part.class).is_none_or(|class| class.idempotency != Idempotency::Idempotent);
        let objective_at = self.queries.get(&part.query).map_or(self.now, |query| query.objective_at);
        let trial = |worker: &WorkerState| {
            !once
                && worker.in_flight.is_empty()
                && worker.passes_health_checks
                && self.half_open_attempts < MAX_HALF_OPEN_ATTEMPTS_PER_STEP
        };
        // Guards what runs once against leaves that lose its class: refused it is harmless, lost it is not.
        let loses =
            |worker: &WorkerState, share: f64| once && worker.failure_rate(self.now, part.class) > share;
        let sound =
            |worker: &WorkerState| worker.ejection.is_none_or(|(next, _)| next <= self.now && trial(worker));
        let trusted = |worker: &WorkerState| sound(worker) && !loses(worker, MAX_FAILURE_RATE.0);
        let speaks = |worker: &WorkerState| !worker.unresponsive && !loses(worker, MAX_FAILURE_RATE.0);
        // What has failed at all that are trusted goes to a suspect that speaks, not to the same again.
        let fresh = |id: WorkerId| part.attempts.iter().all(|attempt| attempt.worker != id);
        let ended = !part.attempts.iter().any(|attempt| attempt.is_in_flight());
        let left =
            |may: &dyn Fn(&WorkerState) -> bool| open.iter().any(|(id, _, worker)| fresh(*id) && may(worker));
        let elsewhere = ended && !left(&trusted) && left(&speaks);
        if !elsewhere && open.iter().any(|(_, _, worker)| trusted(worker)) {
            open.retain(|(_, _, worker)| trusted(worker));
        } else if open.iter().any(|(_, _, worker)| speaks(worker)) {
            open.retain(|(_, _, worker)| speaks(worker));
        }
        open.retain(|(_, _, worker)| self.is_eligible(part, worker) && !loses(worker, MAX_FAILURE_RATE.1));
        if open.iter().any(|(id, _, _)| fresh(*id)) {
            open.retain(|(id, _, _)| fresh(*id));
        }
        let expect = |worker: &WorkerState| self.expected_latency(worker, part.cost);
        let soonest = open.iter().map(|(_, _, worker)| expect(worker)).fold(f64::INFINITY, f64::min);
        let fingerprint = part.key_hash.unwrap_or(xxh3_64(&part.request.id.0.to_le_bytes()));
        let home = row.iter().map(|(id, _)| *id).max_by_key(|id| rendezvous_hash(fingerprint, *id));
        // A keyless part goes by its fingerprint's place among the replicas, laid end to end by m.
        let total: f64 = open.iter().map(|(_, m, _)| m).sum();
        let mut place = total * (fingerprint >> 11) as f64 / (1u64 << 53) as f64;
        let split = open.iter().find(|(_, m, _)| {
            place -= m;
            place < 0.0
        });
        let waste = self.settings.waste_price;
        let priced = if waste > 0.0 { self.settings.cross_zone_price / waste } else { 0.0 };
        let cost = |(id, m, worker): &(WorkerId, f64, &WorkerState)| {
            let saved = if part.key_hash.is_some() && home == Some(*id) { EXPECTED_HIT_RATE } else { 0.0 };
            let vote = part.cost * (1.0 - saved) / (m * row.len() as f64);
            // Departure "lag": acts when a replica would answer later than the soonest by LAG of own work.
            let lag = (expect(worker) - soonest - FREE_EXCESS_LATENCY_OF_COST * part.cost).max(0.0);
            // Departure "loss": acts once more than one answer stayed out; the time until that is seen.
            // What may not be sent again waits in vain until its aim, and one loss counts.
            let loss = match once {
                true => worker.failure_rate(self.now, part.class) * seconds(objective_at.since(self.now)),
                false => {
                    (worker.failure_rate(self.now, part.class) - FAILURE_RATE_SAMPLE_WEIGHT).max(0.0)
                        * (expect(worker) + self.overdue_margin())
                }
            };
            let vote =
                if part.key_hash.is_none() && split.is_some_and(|to| to.0 == *id) { 0.0 } else { vote };
            // Departure "crossing": acts where crossing zones has a price; in work that costs the same.
            let crosses = worker.endpoint.zone != self.settings.zone;
            let crossing = if crosses { part.cost * priced } else { 0.0 };
            // Departure "call": acts where a call costs work and none to the replica is open in this turn.
            (
                vote + crossing + worker.new_call_cost(&self.settings) + lag + loss,
                rendezvous_hash(fingerprint, *id),
            )
        };
        let best = open.iter().min_by(|a, b| {
            let (a, b) = (cost(a), cost(b));
            a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
        })?;
        Some((best.0, expect(best.2)))
    }

    /// Every guard on sending a part to a leaf.
    pub(super) fn is_eligible(&self, part: &Part, worker: &WorkerState) -> bool {
        let further = !part.attempts.is_empty();
        let out = part.attempts.iter().any(|attempt| attempt.is_in_flight());
        let drained = worker.endpoint.status != EndpointStatus::Active;
        !part.succeeded
            && !part.finished
            && !drained
            && self.may_retry(part)
            && (!out || self.settings.hedging_allowed)
            && (!further || self.retry_budget_permits(self.is_hedge(part)))
            && self.slow_start_permits(worker, part.cost + worker.new_call_cost(&self.settings))
    }
}

/// The stable hash by which all roots agree on a key's home.
fn rendezvous_hash(key: u64, worker: WorkerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&worker.0.to_le_bytes());
    xxh3_64(&bytes)
}
