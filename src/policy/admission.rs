//! Which queries are admitted, and which are rejected at once.

use crate::policy::completion::{Completion, WEIGHT_SUM_TOLERANCE};
use crate::policy::estimates::INITIAL_COST_S;
use crate::policy::outlier_detection::MIN_EJECTION_TIME;
use crate::policy::queries::{Part, Query};
use crate::policy::time::{seconds, span};
use crate::policy::{Action, Aggregator, NewPart, NewQuery, RequestId, TenantId, WorkerId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Share of the time to the aim inside which a query must be expected where leaves are busy: guesses err, and
/// one lost late wastes all its work.
pub(super) const BUSY_ADMISSION_THRESHOLD: f64 = 0.7;
/// The same share where leaves have room: a guess that errs costs little there, for a better replica is soon
/// found. And the mean utilizations between which it falls to the other.
const IDLE_ADMISSION_THRESHOLD: f64 = 1.2;
const BUSY_UTILIZATION: (f64, f64) = (0.8, 1.0);
/// Seconds of a tenant's share that it may use at once: traffic comes in bursts, and unevenly over the roots.
const QUOTA_BURST_S: f64 = 3.0;
/// Part of the usual edge of admission inside which a query beyond its tenant's share must be expected.
const OVER_QUOTA_THRESHOLD_FACTOR: f64 = 0.5;

impl Aggregator {
    /// Books a query with its tenant, and tells whether it goes beyond the tenant's share at this root. A
    /// client's repeat belongs to its first try, and uses up nothing.
    pub(super) fn exceeds_quota(&mut self, asked: &NewQuery) -> bool {
        let quota = |tenant: TenantId| self.settings.tenants.get(tenant.0)?.quota_per_s;
        let Some((tenant, quota)) = asked.tenant.and_then(|tenant| Some((tenant, quota(tenant)?))) else {
            return false;
        };
        let rate = quota / f64::from(self.settings.fleet_size.max(1));
        let exceeded = self.tenant_quota.exceeded(self.now, tenant, rate, QUOTA_BURST_S, asked.is_retry);
        exceeded && self.settings.over_quota_weight.is_some_and(|worth| worth < 1.0)
    }

    pub(super) fn receive_query(&mut self, asked: NewQuery) {
        let over_quota = self.exceeds_quota(&asked);
        self.request_times.push_back(self.now);
        let gap = seconds(self.now.since(self.last_query_at.max(self.started_at)));
        (self.query_interval, self.last_query_at) =
            (self.query_interval + 0.2 * (gap - self.query_interval), self.now);
        self.jobs.insert(asked.job, asked.id);
        // When its aim is missed is reckoned once its parts are in: they tell whose repeat it is.
        let (objective_at, parts) = (asked.valid_until, Vec::new());
        let query = Query {
            objective_at,
            parts,
            admitted: false,
            over_quota,
            first_step_complete: None,
            request: asked,
        };
        self.queries.insert(query.request.id, query);
    }

    pub(super) fn receive_part(&mut self, asked: NewPart) {
        self.request_times.push_back(self.now);
        let query = self.jobs.get(&asked.job).and_then(|owner| self.queries.get_mut(owner));
        let Some(query) = query else { return };
        query.parts.push(asked.id);
        let class = query.request.class;
        let usual = self.base_latency.get(class.0).copied().unwrap_or(INITIAL_COST_S);
        let part = Part {
            query: query.request.id,
            class,
            key_hash: asked.key.as_ref().map(|key| xxh3_64(key.as_bytes())),
            cost: asked.cost_hint.map(seconds).filter(|work| *work > 0.0).unwrap_or(usual),
            attempts: Vec::new(),
            succeeded: false,
            finished: false,
            released: false,
            request: asked,
        };
        self.parts.insert(part.request.id, part);
    }

    /// Reckons when a query's aim is missed: a client's repeat belongs to its first try.
    pub(super) fn compute_objective_at(&mut self, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(class) = self.settings.classes.get(query.request.class.0) else { return };
        let parts: Vec<&NewPart> =
            query.parts.iter().filter_map(|part| Some(&self.parts.get(part)?.request)).collect();
        let waited = self.client_retries.waited(self.now, &query.request, &parts, class);
        let aim = class.latency_objective.saturating_sub(span(waited));
        query.objective_at = self.now.after(aim).min(query.request.valid_until);
    }

    /// Takes the queries that can be answered within their aim, those worth most for their work first, and
    /// refuses the others at once.
    pub(super) fn admit(&mut self, actions: &mut Vec<Action>) {
        let new =
            self.queries.iter().filter(|(_, query)| !query.admitted && query.first_step_complete.is_none());
        new.map(|(id, _)| *id).collect::<Vec<_>>().into_iter().for_each(|id| self.compute_objective_at(id));
        let mut fresh: Vec<(f64, RequestId)> = Vec::new();
        let waits = |query: &Query| query.first_step_complete.is_some() && query.parts.is_empty();
        for (id, query) in self.queries.iter().filter(|(_, query)| !query.admitted && !waits(query)) {
            let work: f64 =
                query.parts.iter().filter_map(|part| self.parts.get(part)).map(|part| part.cost).sum();
            let worth = self.class(query.request.class).map_or(0.0, |class| class.priority_weight);
            let share = if query.over_quota { self.settings.over_quota_weight.unwrap_or(1.0) } else { 1.0 };
            let worth = worth * share;
            fresh.push((worth / work.max(1e-6), *id));
        }
        fresh.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in fresh {
            self.try_admit(id, actions);
        }
    }

    /// Share of the time to the aim inside which a query must be expected: the less, the busier leaves report
    /// to be. Guards against refusing on a quiet fleet what any replica would have served.
    pub(super) fn admission_threshold(&self) -> f64 {
        let known: Vec<f64> = self.workers.values().filter_map(|worker| worker.utilization).collect();
        if known.is_empty() {
            return BUSY_ADMISSION_THRESHOLD;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let busy = ((mean - BUSY_UTILIZATION.0) / (BUSY_UTILIZATION.1 - BUSY_UTILIZATION.0)).clamp(0.0, 1.0);
        IDLE_ADMISSION_THRESHOLD + (BUSY_ADMISSION_THRESHOLD - IDLE_ADMISSION_THRESHOLD) * busy
    }

    pub(super) fn try_admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let usual_edge = self.admission_threshold();
        let all_but_one_cell = 1.0 - 1.0 / f64::from(self.settings.cells.max(1));
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.admitted = true;
        let over_quota = query.over_quota;
        let Some(class) = self.settings.classes.get(query.request.class.0) else {
            return self.complete(id, Completion::Reject { retry_after: Duration::ZERO }, actions);
        };
        // Guards against queues for answers that come in part only, and against refusing all for one cell.
        let need = match query.first_step_complete {
            Some(_) => class.min_coverage,
            None => class
                .min_coverage
                .max(class.complete_coverage * all_but_one_cell)
                .min(class.complete_coverage),
        };
        let edge = (usual_edge - self.recent_failure_rate.min(0.5))
            * if over_quota { OVER_QUOTA_THRESHOLD_FACTOR } else { 1.0 };
        let left = seconds(query.objective_at.since(self.now));
        let mut plan: Vec<(RequestId, f64, f64, WorkerId, f64)> = Vec::new();
        for id in query.parts.clone() {
            let Some(part) = self.parts.get(&id).filter(|part| part.attempts.is_empty()) else { continue };
            let (work, weight) = (part.cost, part.request.weight);
            let Some((to, expected)) = self.select_replica(part) else { continue };
            if let Some(worker) = self.workers.get_mut(&to) {
                worker.add_part(work, self.settings.parts_per_call);
                self.half_open_attempts += usize::from(worker.ejection.is_some());
            }
            plan.push((id, work, weight, to, expected));
        }
        let mut finish: Vec<(f64, f64)> = plan.iter().map(|row| (row.4, row.2)).collect();
        finish.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut weight = 0.0;
        let ready = finish.iter().find(|(_, share)| {
            weight += share;
            weight >= need - WEIGHT_SUM_TOLERANCE
        });
        let ready = ready.map_or(f64::INFINITY, |(expected, _)| *expected);
        for (_, work, _, to, _) in &plan {
            if let Some(worker) = self.workers.get_mut(to) {
                (worker.outstanding_cost, worker.parts_left_in_call) =
                    ((worker.outstanding_cost - work).max(0.0), 0);
            }
        }
        if ready > edge * left {
            let retry_after = if ready.is_finite() { span(ready - left) } else { MIN_EJECTION_TIME };
            return self.complete(id, Completion::Reject { retry_after }, actions);
        }
        for (id, _, _, to, expected) in plan {
            if expected <= left {
                self.dispatch(id, to, expected, actions);
            }
        }
    }
}
