//! The admission policy of the daemons.

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

/// Part of the limit that each step down in priority may not use.
const PRIORITY_STEP: f64 = 0.15;
/// Least part of the limit that the least urgent services may use.
const LEAST_PRIORITY_PART: f64 = 0.4;
/// Duration of a request before any has ended.
const FIRST_DURATION_MS: f64 = 1_000.0;
/// Weight of a new duration in the average.
const DURATION_WEIGHT: f64 = 0.05;
/// Time in which half of the counted refusals and admissions is forgotten.
const PRESSURE_HALF_LIFE: time::Millis = time::Millis::new(2_000);
/// Bounds of the time after which a refused caller may come back.
const RETRY_AFTER_MS: (f64, f64) = (250.0, 30_000.0);
/// Refused callers are spread over this many steps, so that they don't come back together.
const RETRY_SPREAD_STEPS: u64 = 8;
/// A service's time to the first token is believed for this time.
const FIRST_BELIEVED: time::Millis = time::Millis::new(2_000);
/// Weight of a new time to the first token in the average.
const FIRST_WEIGHT: f64 = 0.1;

/// Times to the first token of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceState {
    target: time::Millis,
    first_ms: f64,
    sampled: Option<time::MonotonicTime>,
    /// Priorities of the pool's services that are more urgent.
    rank: u32,
}

/// Refusals and admissions of late.
#[derive(Clone, Copy, Debug, Default)]
struct PressureGauge {
    refused: f64,
    admitted: f64,
    noted: time::MonotonicTime,
}

impl PressureGauge {
    fn note(&mut self, is_admitted: bool, now: time::MonotonicTime) {
        let age = now.since(self.noted).get() as f64 / PRESSURE_HALF_LIFE.get() as f64;
        let kept = 0.5_f64.powf(age);
        self.refused *= kept;
        self.admitted *= kept;
        self.noted = now;
        let count = if is_admitted { &mut self.admitted } else { &mut self.refused };
        *count += 1.0;
    }

    /// Refusals for each admission.
    fn ratio(&self) -> f64 {
        self.refused / self.admitted.max(1.0)
    }
}

/// State of one pool.
#[derive(Clone, Debug)]
struct PoolGate {
    limit: concurrency::AdaptiveLimit,
    shares: share::ShareTable,
    services: collections::BTreeMap<id::ServiceId, ServiceState>,
    in_progress: u32,
    duration_ms: f64,
    pressure: PressureGauge,
    refusals: u64,
}

/// An admitted request.
#[derive(Clone, Debug)]
struct OpenPermit {
    pool: id::RecordId,
    workspace: id::WorkspaceId,
    service: id::ServiceId,
    admitted: time::MonotonicTime,
}

/// Limits of one pool, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStatus {
    /// The pool.
    pub pool: id::RecordId,
    /// Requests that may be in progress.
    pub limit: f64,
    /// Requests in progress.
    pub in_progress: u32,
}

/// Admits by pool: adaptive limit, shares of workspaces, least urgent services shed first.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveGate {
    pools: collections::BTreeMap<id::RecordId, PoolGate>,
    pool_of: collections::BTreeMap<id::ServiceId, id::RecordId>,
    max_in_progress: collections::BTreeMap<id::WorkspaceId, u32>,
    in_progress: collections::BTreeMap<id::WorkspaceId, u32>,
    permits: collections::HashMap<gate::PermitId, OpenPermit>,
    last_permit: u64,
}

impl AdaptiveGate {
    /// Limits of every pool.
    pub fn status(&self) -> Vec<PoolStatus> {
        let status = |(pool, state): (&id::RecordId, &PoolGate)| PoolStatus {
            pool: pool.clone(),
            limit: state.limit.get(),
            in_progress: state.in_progress,
        };
        self.pools.iter().map(status).collect()
    }

    fn check_workspace(&self, workspace: &id::WorkspaceId) -> Result<(), reason::RefusalReason> {
        let limit = self.max_in_progress.get(workspace).copied().unwrap_or(0);
        let count = self.in_progress.get(workspace).copied().unwrap_or(0);
        if count >= limit {
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
        self.pool_of.clear();
        for pool in &view.records.pools {
            for service in &pool.services {
                self.pool_of.entry(service.clone()).or_insert_with(|| pool.id.clone());
            }
            let capacity = declared_capacity(view, pool);
            let state =
                self.pools.entry(pool.id.clone()).or_insert_with(|| PoolGate::new(capacity, now));
            state.configure(&view.records, pool, capacity, now);
        }
        let records = &view.records;
        self.pools.retain(|id, state| records.pool(id).is_some() || state.in_progress > 0);
    }

    fn admit(
        &mut self,
        request: &gate::AdmissionRequest<'_>,
    ) -> Result<gate::PermitId, gate::AdmissionRefusal> {
        let workspace_check = self.check_workspace(request.workspace);
        let pool = self.pool_of.get(request.service).cloned();
        let Some((pool, state)) = pool.and_then(|pool| {
            let state = self.pools.get_mut(&pool)?;
            Some((pool, state))
        }) else {
            let reason = reason::RefusalReason::NoReplica;
            let retry_after = time::Millis::new(RETRY_AFTER_MS.0 as u64);
            return Err(gate::AdmissionRefusal { reason, retry_after });
        };
        state.shares.want(request.workspace, request.now);
        let decision = workspace_check.and_then(|()| state.check(request));
        state.pressure.note(decision.is_ok(), request.now);
        if let Err(reason) = decision {
            state.shares.refused(request.workspace);
            let retry_after = state.retry_after(request.service);
            return Err(gate::AdmissionRefusal { reason, retry_after });
        }
        state.add(request.workspace);
        *self.in_progress.entry(request.workspace.clone()).or_default() += 1;
        self.last_permit += 1;
        let permit = gate::PermitId::new(self.last_permit);
        let open = OpenPermit {
            pool,
            workspace: request.workspace.clone(),
            service: request.service.clone(),
            admitted: request.now,
        };
        self.permits.insert(permit, open);
        Ok(permit)
    }

    fn finished(&mut self, permit: gate::PermitId, report: &gate::PermitReport) {
        let Some(open) = self.permits.remove(&permit) else { return };
        if let Some(count) = self.in_progress.get_mut(&open.workspace) {
            *count = count.saturating_sub(1);
        }
        if let Some(state) = self.pools.get_mut(&open.pool) {
            state.remove(&open, report);
        }
    }
}

/// Requests that this daemon may send to the pool at the same time: its part of what the live
/// replicas serve within the target, with all live daemons sharing alike.
fn declared_capacity(view: &zone::ZoneView, pool: &set::PoolRecord) -> f64 {
    let is_live = |state: zone::UpstreamState| state == zone::UpstreamState::Live;
    let replicas = view.replicas.iter();
    let live = replicas.filter(|known| known.pool == pool.id && is_live(known.state)).count();
    let daemons = view.daemons.iter().filter(|known| is_live(known.state)).count().max(1);
    live as f64 * f64::from(pool.concurrency) / daemons as f64
}

impl PoolGate {
    fn new(capacity: f64, now: time::MonotonicTime) -> Self {
        PoolGate {
            limit: concurrency::AdaptiveLimit::new(capacity, now),
            shares: share::ShareTable::default(),
            services: collections::BTreeMap::new(),
            in_progress: 0,
            duration_ms: FIRST_DURATION_MS,
            pressure: PressureGauge::default(),
            refusals: 0,
        }
    }

    fn configure(
        &mut self,
        records: &set::RecordSet,
        pool: &set::PoolRecord,
        capacity: f64,
        now: time::MonotonicTime,
    ) {
        self.limit.declare(capacity);
        let entitled = records.workspaces.iter().filter(|workspace| {
            workspace.services.iter().any(|service| pool.services.contains(service))
        });
        let shares = entitled.map(|workspace| (&workspace.id, workspace.share));
        self.shares.configure(shares, now);
        let services: Vec<_> =
            pool.services.iter().filter_map(|service| records.service(service)).collect();
        let mut states = collections::BTreeMap::new();
        for record in &services {
            let more_urgent: collections::BTreeSet<quantity::PriorityLevel> = services
                .iter()
                .map(|other| other.priority)
                .filter(|priority| *priority < record.priority)
                .collect();
            let known = self.services.get(&record.id);
            let state = ServiceState {
                target: record.latency.first,
                first_ms: known.map_or(0.0, |known| known.first_ms),
                sampled: known.and_then(|known| known.sampled),
                rank: more_urgent.len() as u32,
            };
            states.insert(record.id.clone(), state);
        }
        self.services = states;
    }

    fn check(&self, request: &gate::AdmissionRequest<'_>) -> Result<(), reason::RefusalReason> {
        let Some(service) = self.services.get(request.service) else {
            return Err(reason::RefusalReason::UnknownService);
        };
        if !service.can_meet(request.deadline_left, request.now) {
            return Err(reason::RefusalReason::DeadlineUnreachable);
        }
        let limit = self.limit.get();
        let in_progress = f64::from(self.in_progress);
        let usable = limit * self.usable_part(request.workspace, service);
        if in_progress + 1.0 > usable.max(1.0) {
            return Err(reason::RefusalReason::Shed);
        }
        let kept = self.shares.kept_for_others(request.workspace, limit, request.now);
        let is_within = self.shares.is_within(request.workspace, limit);
        if !is_within && in_progress + 1.0 + kept > limit {
            return Err(reason::RefusalReason::WorkspaceLimit);
        }
        Ok(())
    }

    /// Part of the limit up to which a request of the service is admitted.
    fn usable_part(&self, workspace: &id::WorkspaceId, service: &ServiceState) -> f64 {
        if self.shares.is_below_floor(workspace, self.limit.get()) {
            return 1.0;
        }
        let by_priority = 1.0 - PRIORITY_STEP * f64::from(service.rank);
        by_priority.max(LEAST_PRIORITY_PART)
    }

    /// Time in which the refused requests of late can be worked off; the least urgent wait longest.
    fn retry_after(&mut self, service: &id::ServiceId) -> time::Millis {
        self.refusals += 1;
        let rank = self.services.get(service).map_or(0, |state| state.rank);
        let spread = (self.refusals % RETRY_SPREAD_STEPS) as f64 / RETRY_SPREAD_STEPS as f64;
        let urgency = 1.0 + f64::from(rank) / 2.0;
        let wait_ms = self.duration_ms * (0.5 + self.pressure.ratio()) * urgency;
        let (least, greatest) = RETRY_AFTER_MS;
        time::Millis::new((wait_ms * (0.75 + spread / 2.0)).clamp(least, greatest) as u64)
    }

    fn add(&mut self, workspace: &id::WorkspaceId) {
        self.in_progress += 1;
        self.limit.note_use(self.in_progress);
        self.shares.add(workspace);
    }

    fn remove(&mut self, open: &OpenPermit, report: &gate::PermitReport) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.shares.remove(&open.workspace);
        let Some(service) = self.services.get_mut(&open.service) else { return };
        match (report.outcome, report.first) {
            (gate::PermitOutcome::Complete, Some(first)) => {
                service.sample(first, report.now);
                let duration = report.now.since(open.admitted).get() as f64;
                self.duration_ms += (duration - self.duration_ms) * DURATION_WEIGHT;
                self.limit.sample(first > service.target, report.now);
            }
            (gate::PermitOutcome::TimedOut, _) => self.limit.sample(true, report.now),
            // A failed upstream says nothing of the load that the others bear.
            _ => {}
        }
    }
}

impl ServiceState {
    fn sample(&mut self, first: time::Millis, now: time::MonotonicTime) {
        let weight = if self.sampled.is_none() { 1.0 } else { FIRST_WEIGHT };
        self.first_ms += (first.get() as f64 - self.first_ms) * weight;
        self.sampled = Some(now);
    }

    fn can_meet(&self, deadline_left: time::Millis, now: time::MonotonicTime) -> bool {
        let is_believed = self.sampled.is_some_and(|at| now.since(at) <= FIRST_BELIEVED);
        let expected = if is_believed { self.first_ms } else { 0.0 };
        deadline_left.get() > 0 && expected <= deadline_left.get() as f64
    }
}
