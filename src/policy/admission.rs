//! Admission control: in which order queries are admitted and which are rejected at once, by the latency
//! objective, the admission threshold, the priority weight and the tenant's quota. Attempts are sent by
//! `attempts.rs`.

use crate::policy::completion::{Completion, WEIGHT_SUM_TOLERANCE};
use crate::policy::estimates::INITIAL_COST_S;
use crate::policy::outlier_detection::MIN_EJECTION_TIME;
use crate::policy::queries::{Part, Query};
use crate::policy::time::{seconds, span};
use crate::policy::{Action, Aggregator, Class, NewPart, NewQuery, RequestId, TenantId, WorkerId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A query is admitted if its response is expected within this share of the time left to its latency
/// objective, while workers are busy. The share is below 1 because estimates err, and a query that is lost
/// late wastes all its work.
const BUSY_ADMISSION_THRESHOLD: f64 = 0.7;
/// The same share while workers are idle. It is above 1 because an estimate that errs costs little there: a
/// better replica is soon found.
const IDLE_ADMISSION_THRESHOLD: f64 = 1.2;
/// Mean utilizations of the workers between which the threshold falls from the idle value to the busy
/// value.
const BUSY_UTILIZATION: (f64, f64) = (0.8, 1.0);
/// Upper bound of the deduction from the threshold for recent failures.
const MAX_FAILURE_CORRECTION: f64 = 0.5;
/// Seconds' worth of a tenant's quota that the tenant may use at once: traffic comes in bursts, and is
/// unevenly distributed over the aggregators.
const QUOTA_BURST_S: f64 = 3.0;
/// Factor on the threshold for a query beyond its tenant's quota.
const OVER_QUOTA_THRESHOLD_FACTOR: f64 = 0.5;
/// `Retry-After` of a rejection if no completion can be expected, for instance because no replica is
/// eligible.
const UNKNOWN_RETRY_AFTER: Duration = MIN_EJECTION_TIME;

/// The replica that a part of a query would be sent to, if the query is admitted.
struct PlannedPart {
    id: RequestId,
    cost: f64,
    weight: f64,
    worker: WorkerId,
    /// Seconds from now until the response is expected.
    expected_latency: f64,
}

// Arrivals.
impl Aggregator {
    /// Records a query that has arrived. It is admitted or rejected at the end of the step, when its parts
    /// are known.
    pub(super) fn receive_query(&mut self, request: NewQuery) {
        let over_quota = self.exceeds_quota(&request);
        self.attempt_window.record_request(self.now);
        self.estimates.query_arrivals.record(self.now, self.started_at);
        self.jobs.insert(request.job, request.id);
        // The latency objective is computed by `admit`: the parts tell which earlier query this one may be
        // a retry of.
        let query = Query {
            objective_at: request.valid_until,
            parts: Vec::new(),
            admitted: false,
            over_quota,
            first_step_complete: None,
            request,
        };
        self.queries.insert(query.request.id, query);
    }

    /// Counts a query against its tenant's quota and returns whether it exceeds this aggregator's share of
    /// the quota. The result is `false` where queries beyond the quota keep their full weight. A client's
    /// retry uses up no quota: its first attempt did.
    fn exceeds_quota(&mut self, request: &NewQuery) -> bool {
        let quota_of = |tenant: TenantId| self.settings.tenants.get(tenant.0)?.quota_per_s;
        let Some((tenant, quota)) = request.tenant.and_then(|tenant| Some((tenant, quota_of(tenant)?)))
        else {
            return false;
        };
        let rate_per_s = quota / f64::from(self.settings.fleet_size.max(1));
        let exceeded =
            self.tenant_quotas.record_query(self.now, tenant, rate_per_s, QUOTA_BURST_S, request.is_retry);
        exceeded && self.settings.over_quota_weight.is_some_and(|weight| weight < 1.0)
    }

    /// Adds a part to its query; a part without a known query is dropped.
    pub(super) fn receive_part(&mut self, request: NewPart) {
        self.attempt_window.record_request(self.now);
        let query = self.jobs.get(&request.job).and_then(|id| self.queries.get_mut(id));
        let Some(query) = query else { return };
        query.parts.push(request.id);
        let class = query.request.class;
        let base_latency = self.estimates.base_latency.get(class.0).copied().unwrap_or(INITIAL_COST_S);
        let part = Part {
            query: query.request.id,
            class,
            key_hash: request.key.as_ref().map(|key| xxh3_64(key.as_bytes())),
            cost: request.cost_hint.map(seconds).filter(|cost| *cost > 0.0).unwrap_or(base_latency),
            attempts: Vec::new(),
            succeeded: false,
            finished: false,
            released: false,
            request,
        };
        self.parts.insert(part.request.id, part);
    }
}

// Admission.
impl Aggregator {
    /// Decides on each pending query, the highest priority weight per cost first: admits it if its response
    /// is expected in time, and rejects it at once otherwise.
    pub(super) fn admit(&mut self, actions: &mut Vec<Action>) {
        let new_queries =
            self.queries.iter().filter(|(_, query)| !query.admitted && query.first_step_complete.is_none());
        let new_queries: Vec<RequestId> = new_queries.map(|(id, _)| *id).collect();
        new_queries.into_iter().for_each(|id| self.compute_objective(id));
        let awaits_second_step =
            |query: &Query| query.first_step_complete.is_some() && query.parts.is_empty();
        let pending = self.queries.iter().filter(|(_, query)| !query.admitted && !awaits_second_step(query));
        let mut pending: Vec<(f64, RequestId)> =
            pending.map(|(id, query)| (self.weight_per_cost(query), *id)).collect();
        pending.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in pending {
            self.try_admit(id, actions);
        }
    }

    /// Computes when a query's latency objective expires. The objective counts from the client's first
    /// attempt.
    fn compute_objective(&mut self, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(class) = self.settings.classes.get(query.request.class.0) else { return };
        let parts: Vec<&NewPart> =
            query.parts.iter().filter_map(|part| Some(&self.parts.get(part)?.request)).collect();
        let waited = self.client_retries.record_attempt(self.now, &query.request, &parts, class);
        let time_left = class.latency_objective.saturating_sub(span(waited));
        query.objective_at = self.now.after(time_left).min(query.request.valid_until);
    }

    /// The query's priority weight per second of its cost.
    fn weight_per_cost(&self, query: &Query) -> f64 {
        let parts = query.parts.iter().filter_map(|part| self.parts.get(part));
        let cost: f64 = parts.map(|part| part.cost).sum();
        let weight = self.class(query.request.class).map_or(0.0, |class| class.priority_weight);
        let factor = if query.over_quota { self.settings.over_quota_weight.unwrap_or(1.0) } else { 1.0 };
        weight * factor / cost.max(1e-6)
    }

    /// The share of the time left to the latency objective within which a query's response must be
    /// expected. It falls as workers report a higher utilization: on an idle fleet, a strict threshold
    /// would reject queries that any replica could serve.
    fn admission_threshold(&self) -> f64 {
        let utilizations: Vec<f64> = self.workers.values().filter_map(|worker| worker.utilization).collect();
        if utilizations.is_empty() {
            return BUSY_ADMISSION_THRESHOLD;
        }
        let mean = utilizations.iter().sum::<f64>() / utilizations.len() as f64;
        let (idle_utilization, busy_utilization) = BUSY_UTILIZATION;
        let busy_share = ((mean - idle_utilization) / (busy_utilization - idle_utilization)).clamp(0.0, 1.0);
        IDLE_ADMISSION_THRESHOLD + (BUSY_ADMISSION_THRESHOLD - IDLE_ADMISSION_THRESHOLD) * busy_share
    }

    /// Admits a query and dispatches its parts, or rejects it if it is not expected to complete in time.
    fn try_admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let base_threshold = self.admission_threshold();
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.admitted = true;
        let Some(class) = self.settings.classes.get(query.request.class.0) else {
            return self.complete_query(id, Completion::Reject { retry_after: Duration::ZERO }, actions);
        };
        let required = required_weight(class, self.settings.cells, query.first_step_complete.is_some());
        let factor = if query.over_quota { OVER_QUOTA_THRESHOLD_FACTOR } else { 1.0 };
        let threshold =
            (base_threshold - self.estimates.recent_failure_rate.min(MAX_FAILURE_CORRECTION)) * factor;
        let time_left_s = seconds(query.objective_at.since(self.now));
        let ids = query.parts.clone();
        let plan = self.plan_parts(ids);
        let expected = expected_completion(&plan, required);
        if expected > threshold * time_left_s {
            let retry_after =
                if expected.is_finite() { span(expected - time_left_s) } else { UNKNOWN_RETRY_AFTER };
            return self.complete_query(id, Completion::Reject { retry_after }, actions);
        }
        for part in plan.iter().filter(|part| part.expected_latency <= time_left_s) {
            self.dispatch(part.id, part.worker, part.expected_latency, actions);
        }
    }

    /// Chooses replicas for parts. While the plan is made, each planned part counts as outstanding cost at
    /// its worker, so that the parts of one query spread out.
    fn plan_parts(&mut self, ids: Vec<RequestId>) -> Vec<PlannedPart> {
        let mut plan: Vec<PlannedPart> = Vec::new();
        for id in ids {
            let Some(part) = self.parts.get(&id).filter(|part| part.attempts.is_empty()) else { continue };
            let (cost, weight) = (part.cost, part.request.weight);
            let Some((worker_id, expected_latency)) = self.select_replica(part) else { continue };
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.add_part(cost, self.settings.parts_per_call);
                self.half_open_attempts += usize::from(worker.ejection.is_some());
            }
            plan.push(PlannedPart { id, cost, weight, worker: worker_id, expected_latency });
        }
        for part in &plan {
            if let Some(worker) = self.workers.get_mut(&part.worker) {
                worker.outstanding_cost = (worker.outstanding_cost - part.cost).max(0.0);
                worker.parts_left_in_call = 0;
            }
        }
        plan
    }
}

/// The weight of the parts that must be expected in time for a query to be admitted. In the first step it
/// is the complete coverage less the share of one cell, but at least the minimum coverage: with the minimum
/// alone, queues would form for responses that are partial anyway, and with the complete coverage the loss
/// of one cell would get every query rejected. The second step needs the minimum coverage.
fn required_weight(class: &Class, cells: u32, is_second_step: bool) -> f64 {
    if is_second_step {
        return class.min_coverage;
    }
    let all_but_one_cell = 1.0 - 1.0 / f64::from(cells.max(1));
    class.min_coverage.max(class.complete_coverage * all_but_one_cell).min(class.complete_coverage)
}

/// Seconds until the planned parts, in the order of their expected latency, reach the required weight;
/// infinite if they never do.
fn expected_completion(plan: &[PlannedPart], required: f64) -> f64 {
    let mut by_latency: Vec<&PlannedPart> = plan.iter().collect();
    by_latency.sort_by(|a, b| a.expected_latency.total_cmp(&b.expected_latency));
    let mut weight = 0.0;
    let last = by_latency.iter().find(|part| {
        weight += part.weight;
        weight >= required - WEIGHT_SUM_TOLERANCE
    });
    last.map_or(f64::INFINITY, |part| part.expected_latency)
}
