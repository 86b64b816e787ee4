//! Adaptive admission policy of the entry daemons.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;

use crate::concurrency;
use crate::gate;
use crate::gate::AdmissionGate;
use crate::share;

/// Fraction of the limit withheld for each step down in priority.
const PRIORITY_STEP: f64 = 0.1;
/// Minimum fraction of the limit available to the least urgent services.
const MIN_PRIORITY_RATIO: f64 = 0.4;
/// Multiple of the limit up to which the most urgent requests are admitted, counting all requests
/// in progress.
pub const URGENT_FACTOR: f64 = 1.5;
/// Bounds of the common limit. It may fall until hardly any but the most urgent requests are
/// admitted. It rises faster while requests are refused although hardly any is near its target,
/// as refused callers retry too late to use the room that becomes free.
const COMMON_BOUNDS: concurrency::LimitBounds =
    concurrency::LimitBounds { floor_ratio: 0.0, max_late_ratio: 0.05, fast_rise_ratio: 0.1 };
/// Bounds of the limit on the most urgent requests. It tolerates fewer late requests than the five
/// in a hundred that may be late.
const URGENT_BOUNDS: concurrency::LimitBounds = concurrency::LimitBounds {
    floor_ratio: 0.25,
    max_late_ratio: 0.03,
    fast_rise_ratio: concurrency::RISE_RATIO,
};
/// Fraction of the latency target from which a request counts as near the target.
const NEAR_RATIO: f64 = 0.8;
/// Assumed mean duration of a request before any has ended.
const INITIAL_DURATION_MS: f64 = 1_000.0;
/// Weight of a new sample in the moving average (EWMA) of durations.
const DURATION_WEIGHT: f64 = 0.05;
/// Half-life of the counts of refusals and admissions.
const PRESSURE_HALF_LIFE: time::Millis = time::Millis::new(2_000);
/// Minimum and maximum Retry-After of a refusal.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (250.0, 30_000.0);
/// Steps over which Retry-After is staggered, so that refused callers don't retry all at once.
const RETRY_STAGGER_STEPS: u64 = 8;
/// Maximum age of the latency estimate of a service; an older one is ignored.
const LATENCY_MAX_AGE: time::Millis = time::Millis::new(2_000);
/// Weight of a new sample in the moving average (EWMA) of latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Latency estimate and priority of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceState {
    /// Target time to the first token, or to the response of a plain service.
    latency_target: time::Millis,
    /// Moving average of the time to the first token, or to the response of a plain service.
    mean_latency_ms: f64,
    /// Time of the last latency sample.
    sampled_at: Option<time::MonotonicTime>,
    rank: share::PriorityRank,
}

/// Exponentially decayed counts of refusals and admissions.
#[derive(Clone, Copy, Debug, Default)]
struct PressureGauge {
    refused: f64,
    admitted: f64,
    /// Time up to which the counts are decayed.
    decayed_at: time::MonotonicTime,
}

impl PressureGauge {
    fn count(&mut self, is_admitted: bool, now: time::MonotonicTime) {
        let half_lives = now.since(self.decayed_at).get() as f64 / PRESSURE_HALF_LIFE.get() as f64;
        let factor = 0.5_f64.powf(half_lives);
        self.refused *= factor;
        self.admitted *= factor;
        self.decayed_at = now;
        let outcome_count = if is_admitted { &mut self.admitted } else { &mut self.refused };
        *outcome_count += 1.0;
    }

    /// Returns the number of refusals per admission.
    fn refusal_ratio(&self) -> f64 {
        self.refused / self.admitted.max(1.0)
    }
}

/// Admission state of one pool.
#[derive(Clone, Debug)]
struct PoolGate {
    /// Limit on all requests; falls first under overload.
    common: concurrency::AdaptiveLimit,
    /// Limit on the most urgent requests; falls once the common limit is at its floor.
    urgent: concurrency::AdaptiveLimit,
    shares: share::ShareTable,
    services: collections::BTreeMap<id::ServiceId, ServiceState>,
    /// Requests in progress.
    in_progress: u32,
    /// Requests in progress of the most urgent services.
    urgent_in_progress: u32,
    /// Moving average of the durations of completed requests.
    mean_duration_ms: f64,
    pressure: PressureGauge,
    /// Number of refusals, which staggers their Retry-After.
    refusal_count: u64,
}

/// Admitted request that has not ended.
#[derive(Clone, Debug)]
struct OpenPermit {
    pool: id::RecordId,
    workspace: id::WorkspaceId,
    service: id::ServiceId,
    rank: share::PriorityRank,
    admitted_at: time::MonotonicTime,
}

/// Limits and use of one pool, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStatus {
    /// Id of the pool.
    pub pool: id::RecordId,
    /// Limit on the requests in progress.
    pub limit: f64,
    /// Limit on the requests in progress of the most urgent services.
    pub urgent_limit: f64,
    /// Requests in progress.
    pub in_progress: u32,
}

/// Admission policy that applies to each pool an adaptive concurrency limit and the shares of
/// workspaces, and sheds the least urgent services first.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveGate {
    pools: collections::BTreeMap<id::RecordId, PoolGate>,
    /// Pool that serves each service.
    pool_by_service: collections::BTreeMap<id::ServiceId, id::RecordId>,
    /// Declared limit on the requests in progress of each workspace.
    max_in_progress: collections::BTreeMap<id::WorkspaceId, u32>,
    /// Requests in progress of each workspace.
    in_progress: collections::BTreeMap<id::WorkspaceId, u32>,
    /// Permits of the requests in progress.
    permits: collections::HashMap<gate::PermitId, OpenPermit>,
    /// Number of the last permit that was issued.
    last_permit: u64,
}

impl AdaptiveGate {
    /// Returns the limits and use of every pool.
    pub fn status(&self) -> Vec<PoolStatus> {
        let pool_status = |(pool, pool_gate): (&id::RecordId, &PoolGate)| PoolStatus {
            pool: pool.clone(),
            limit: pool_gate.common.get(),
            urgent_limit: pool_gate.urgent.get(),
            in_progress: pool_gate.in_progress,
        };
        self.pools.iter().map(pool_status).collect()
    }

    fn check_workspace_limit(
        &self,
        workspace: &id::WorkspaceId,
    ) -> Result<(), reason::RefusalReason> {
        let limit = self.max_in_progress.get(workspace).copied().unwrap_or(0);
        let in_progress = self.in_progress.get(workspace).copied().unwrap_or(0);
        if in_progress >= limit {
            return Err(reason::RefusalReason::WorkspaceLimit);
        }
        Ok(())
    }
}

impl AdmissionGate for AdaptiveGate {
    fn configure(&mut self, view: &zone::ZoneView, now: time::MonotonicTime) {
        let workspaces = view.records.workspaces.iter();
        self.max_in_progress =
            workspaces.map(|record| (record.id.clone(), record.max_in_progress)).collect();
        self.pool_by_service.clear();
        for pool in &view.records.pools {
            for service in &pool.services {
                self.pool_by_service.entry(service.clone()).or_insert_with(|| pool.id.clone());
            }
            let capacity = declared_capacity(view, pool);
            let pool_gate =
                self.pools.entry(pool.id.clone()).or_insert_with(|| PoolGate::new(capacity, now));
            pool_gate.configure(&view.records, pool, capacity);
        }
        let records = &view.records;
        self.pools.retain(|id, pool_gate| records.pool(id).is_some() || pool_gate.in_progress > 0);
    }

    fn admit(
        &mut self,
        request: &gate::AdmissionRequest<'_>,
    ) -> Result<gate::PermitId, gate::AdmissionRefusal> {
        let workspace_check = self.check_workspace_limit(request.workspace);
        let pool = self.pool_by_service.get(request.service).cloned();
        let Some((pool, pool_gate)) = pool.and_then(|pool| {
            let pool_gate = self.pools.get_mut(&pool)?;
            Some((pool, pool_gate))
        }) else {
            let reason = reason::RefusalReason::NoReplica;
            let retry_after = time::Millis::new(RETRY_AFTER_RANGE_MS.0 as u64);
            return Err(gate::AdmissionRefusal { reason, retry_after });
        };
        let rank = pool_gate.rank(request.service);
        pool_gate.shares.decay(request.now);
        let decision = workspace_check.and_then(|()| pool_gate.check(request));
        pool_gate.pressure.count(decision.is_ok(), request.now);
        if let Err(reason) = decision {
            pool_gate.observe_refusal(request.workspace, rank, request.now);
            let retry_after = pool_gate.retry_after(request.service);
            return Err(gate::AdmissionRefusal { reason, retry_after });
        }
        pool_gate.add_request(request.workspace, rank);
        *self.in_progress.entry(request.workspace.clone()).or_default() += 1;
        self.last_permit += 1;
        let permit = gate::PermitId::new(self.last_permit);
        let open_permit = OpenPermit {
            pool,
            workspace: request.workspace.clone(),
            service: request.service.clone(),
            rank,
            admitted_at: request.now,
        };
        self.permits.insert(permit, open_permit);
        Ok(permit)
    }

    fn release(&mut self, permit: gate::PermitId, report: &gate::PermitReport) {
        let Some(open_permit) = self.permits.remove(&permit) else { return };
        if let Some(count) = self.in_progress.get_mut(&open_permit.workspace) {
            *count = count.saturating_sub(1);
        }
        if let Some(pool_gate) = self.pools.get_mut(&open_permit.pool) {
            pool_gate.remove_request(&open_permit, report);
        }
    }
}

/// Returns the number of concurrent requests that this daemon may send to the pool: the requests
/// that the live replicas serve within the target, divided equally among the live daemons.
fn declared_capacity(view: &zone::ZoneView, pool: &set::PoolRecord) -> f64 {
    let is_live = |state: zone::UpstreamState| state == zone::UpstreamState::Live;
    let replicas = view.replicas.iter();
    let live_replicas =
        replicas.filter(|replica| replica.pool == pool.id && is_live(replica.state)).count();
    let live_daemons = view.daemons.iter().filter(|daemon| is_live(daemon.state)).count().max(1);
    live_replicas as f64 * f64::from(pool.concurrency) / live_daemons as f64
}

impl PoolGate {
    fn new(capacity: f64, now: time::MonotonicTime) -> Self {
        PoolGate {
            common: concurrency::AdaptiveLimit::new(capacity, COMMON_BOUNDS, now),
            urgent: concurrency::AdaptiveLimit::new(capacity, URGENT_BOUNDS, now),
            shares: share::ShareTable::default(),
            services: collections::BTreeMap::new(),
            in_progress: 0,
            urgent_in_progress: 0,
            mean_duration_ms: INITIAL_DURATION_MS,
            pressure: PressureGauge::default(),
            refusal_count: 0,
        }
    }

    fn configure(&mut self, records: &set::RecordSet, pool: &set::PoolRecord, capacity: f64) {
        self.common.set_capacity(capacity);
        self.urgent.set_capacity(capacity);
        let eligible_workspaces = records.workspaces.iter().filter(|workspace| {
            workspace.services.iter().any(|service| pool.services.contains(service))
        });
        let shares = eligible_workspaces.map(|workspace| (&workspace.id, workspace.share));
        self.shares.configure(shares);
        let service_records: Vec<_> =
            pool.services.iter().filter_map(|service| records.service(service)).collect();
        let mut states = collections::BTreeMap::new();
        for record in &service_records {
            let more_urgent_priorities: collections::BTreeSet<quantity::PriorityLevel> =
                service_records
                    .iter()
                    .map(|other| other.priority)
                    .filter(|priority| *priority < record.priority)
                    .collect();
            let previous = self.services.get(&record.id);
            let state = ServiceState {
                latency_target: record.latency.first,
                mean_latency_ms: previous.map_or(0.0, |previous| previous.mean_latency_ms),
                sampled_at: previous.and_then(|previous| previous.sampled_at),
                rank: share::PriorityRank(more_urgent_priorities.len()),
            };
            states.insert(record.id.clone(), state);
        }
        self.services = states;
    }

    fn rank(&self, service: &id::ServiceId) -> share::PriorityRank {
        self.services.get(service).map_or(share::PriorityRank::default(), |state| state.rank)
    }

    /// Checks whether the request can meet its deadline and whether the limits and shares admit it.
    fn check(&self, request: &gate::AdmissionRequest<'_>) -> Result<(), reason::RefusalReason> {
        let Some(service) = self.services.get(request.service) else {
            return Err(reason::RefusalReason::UnknownService);
        };
        if !service.can_meet(request.deadline_left, request.now) {
            return Err(reason::RefusalReason::DeadlineUnreachable);
        }
        if !self.has_room(request.workspace, service.rank) {
            return Err(reason::RefusalReason::Shed);
        }
        let is_over_share = self.shares.is_over_share(request.workspace);
        if is_over_share
            && self.shares.is_other_starved(request.workspace, service.rank, request.now)
        {
            return Err(reason::RefusalReason::WorkspaceLimit);
        }
        Ok(())
    }

    /// Whether the limits admit one more request of the workspace at this rank.
    fn has_room(&self, workspace: &id::WorkspaceId, rank: share::PriorityRank) -> bool {
        let total_requests = f64::from(self.in_progress) + 1.0;
        let common_limit = self.common.get().max(1.0);
        let greater_limit = common_limit.max(self.urgent.get());
        if rank.is_most_urgent() {
            // Less urgent requests in progress must not keep out the most urgent ones, so these are
            // admitted up to `URGENT_FACTOR` times the greater limit. Within the common limit they
            // are always admitted. Beyond it the urgent limit applies, except to a workspace within
            // its share while the common limit can still fall, that is, while less urgent requests
            // can be shed.
            let urgent_requests = f64::from(self.urgent_in_progress) + 1.0;
            let may_exceed_common = urgent_requests <= self.urgent.get().max(1.0)
                || !self.common.is_at_floor() && !self.shares.is_over_share(workspace);
            return total_requests <= common_limit
                || may_exceed_common && total_requests <= greater_limit * URGENT_FACTOR;
        }
        if self.shares.is_below_floor(workspace) {
            return total_requests <= greater_limit;
        }
        let priority_ratio = 1.0 - PRIORITY_STEP * rank.0 as f64;
        total_requests <= (common_limit * priority_ratio.max(MIN_PRIORITY_RATIO)).max(1.0)
    }

    fn observe_refusal(
        &mut self,
        workspace: &id::WorkspaceId,
        rank: share::PriorityRank,
        now: time::MonotonicTime,
    ) {
        self.shares.mark_refusal(workspace, rank, now);
        self.common.observe_refusal();
        if rank.is_most_urgent() {
            self.urgent.observe_refusal();
        }
    }

    /// Counts an ended request against the limits that apply to its rank.
    fn observe_end(
        &mut self,
        rank: share::PriorityRank,
        lateness: concurrency::Lateness,
        now: time::MonotonicTime,
    ) {
        if rank.is_most_urgent() {
            self.common.observe(lateness, now);
            let on_time = concurrency::Lateness::OnTime;
            let urgent_lateness = if self.common.is_at_floor() { lateness } else { on_time };
            self.urgent.observe(urgent_lateness, now);
        } else {
            let is_late = lateness == concurrency::Lateness::Late;
            self.common.observe_less_urgent(is_late, now);
        }
    }

    /// Counts a refusal and returns the time in which a slot is expected to become free and the
    /// backlog of refused requests to be served, staggered over callers. It is longest for the
    /// least urgent services.
    fn retry_after(&mut self, service: &id::ServiceId) -> time::Millis {
        self.refusal_count += 1;
        let rank = self.rank(service);
        let stagger =
            (self.refusal_count % RETRY_STAGGER_STEPS) as f64 / RETRY_STAGGER_STEPS as f64;
        let rank_factor = 1.0 + rank.0 as f64 / 2.0;
        let slot_wait_ratio = 1.0 / self.common.get().max(1.0);
        let wait_ms =
            self.mean_duration_ms * (slot_wait_ratio + self.pressure.refusal_ratio()) * rank_factor;
        let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
        time::Millis::new((wait_ms * (0.75 + stagger / 2.0)).clamp(min_ms, max_ms) as u64)
    }

    fn add_request(&mut self, workspace: &id::WorkspaceId, rank: share::PriorityRank) {
        self.in_progress += 1;
        self.urgent_in_progress += u32::from(rank.is_most_urgent());
        self.shares.count_admission(workspace);
        self.common.observe_in_progress(self.in_progress);
        self.urgent.observe_in_progress(self.urgent_in_progress);
    }

    fn remove_request(&mut self, open_permit: &OpenPermit, report: &gate::PermitReport) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let urgent_count = u32::from(open_permit.rank.is_most_urgent());
        self.urgent_in_progress = self.urgent_in_progress.saturating_sub(urgent_count);
        let Some(service) = self.services.get_mut(&open_permit.service) else { return };
        match (report.outcome, report.latency) {
            (gate::PermitOutcome::Complete, Some(latency)) => {
                service.observe_latency(latency, report.now);
                let duration_ms = report.now.since(open_permit.admitted_at).get() as f64;
                self.mean_duration_ms += (duration_ms - self.mean_duration_ms) * DURATION_WEIGHT;
                let lateness = service.lateness(latency);
                self.observe_end(open_permit.rank, lateness, report.now);
            }
            (gate::PermitOutcome::TimedOut, _) => {
                self.observe_end(open_permit.rank, concurrency::Lateness::Late, report.now);
            }
            // Neither a failed upstream nor a cancelled request shows how loaded the pool is.
            _ => {}
        }
    }
}

impl ServiceState {
    /// Adds a latency to the moving average.
    fn observe_latency(&mut self, latency: time::Millis, now: time::MonotonicTime) {
        let weight = if self.sampled_at.is_none() { 1.0 } else { LATENCY_WEIGHT };
        self.mean_latency_ms += (latency.get() as f64 - self.mean_latency_ms) * weight;
        self.sampled_at = Some(now);
    }

    fn lateness(&self, latency: time::Millis) -> concurrency::Lateness {
        if latency > self.latency_target {
            concurrency::Lateness::Late
        } else if latency.get() as f64 > self.latency_target.get() as f64 * NEAR_RATIO {
            concurrency::Lateness::NearTarget
        } else {
            concurrency::Lateness::OnTime
        }
    }

    /// Whether the first token, or the response of a plain service, is expected before the
    /// deadline.
    fn can_meet(&self, deadline_left: time::Millis, now: time::MonotonicTime) -> bool {
        let is_recent =
            self.sampled_at.is_some_and(|sampled_at| now.since(sampled_at) <= LATENCY_MAX_AGE);
        let expected_ms = if is_recent { self.mean_latency_ms } else { 0.0 };
        deadline_left.get() > 0 && expected_ms <= deadline_left.get() as f64
    }
}
