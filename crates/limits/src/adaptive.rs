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
const PRIORITY_STEP: f64 = 0.1;
/// Least part of the limit that the least urgent services may use.
const LEAST_PRIORITY_PART: f64 = 0.4;
/// Multiple of the limit that the most urgent services may fill together with the others.
pub const URGENT_FACTOR: f64 = 1.5;
/// The common limit may fall until nearly only the most urgent requests are admitted.
/// It rises faster while there is room: what is refused comes back too late.
const COMMON_BOUNDS: concurrency::LimitBounds =
    concurrency::LimitBounds { floor_part: 0.0, late_share: 0.05, free_rise_share: 0.1 };
/// The limit of the most urgent requests leaves room below the target of 95 in 100.
const URGENT_BOUNDS: concurrency::LimitBounds = concurrency::LimitBounds {
    floor_part: 0.25,
    late_share: 0.03,
    free_rise_share: concurrency::RISE_SHARE,
};
/// Part of a latency target from which on an answer is near it.
const NEAR_PART: f64 = 0.8;
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
    rank: share::PriorityRank,
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
    /// Limit on all requests; falls first.
    common: concurrency::AdaptiveLimit,
    /// Limit on the most urgent requests; falls when the common one can't fall further.
    urgent: concurrency::AdaptiveLimit,
    shares: share::ShareTable,
    services: collections::BTreeMap<id::ServiceId, ServiceState>,
    in_progress: u32,
    urgent_in_progress: u32,
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
    rank: share::PriorityRank,
    admitted: time::MonotonicTime,
}

/// Limits of one pool, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStatus {
    /// The pool.
    pub pool: id::RecordId,
    /// Requests that may be in progress.
    pub limit: f64,
    /// Requests of the most urgent services that may be in progress.
    pub urgent_limit: f64,
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
            limit: state.common.get(),
            urgent_limit: state.urgent.get(),
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
            state.configure(&view.records, pool, capacity);
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
        let rank = state.rank(request.service);
        state.shares.pass(request.now);
        let decision = workspace_check.and_then(|()| state.check(request));
        state.pressure.note(decision.is_ok(), request.now);
        if let Err(reason) = decision {
            state.note_refusal(request.workspace, rank, request.now);
            let retry_after = state.retry_after(request.service);
            return Err(gate::AdmissionRefusal { reason, retry_after });
        }
        state.add(request.workspace, rank);
        *self.in_progress.entry(request.workspace.clone()).or_default() += 1;
        self.last_permit += 1;
        let permit = gate::PermitId::new(self.last_permit);
        let open = OpenPermit {
            pool,
            workspace: request.workspace.clone(),
            service: request.service.clone(),
            rank,
            admitted: request.now,
        };
        self.permits.insert(permit, open);
        Ok(permit)
    }

    fn release(&mut self, permit: gate::PermitId, report: &gate::PermitReport) {
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
            common: concurrency::AdaptiveLimit::new(capacity, COMMON_BOUNDS, now),
            urgent: concurrency::AdaptiveLimit::new(capacity, URGENT_BOUNDS, now),
            shares: share::ShareTable::default(),
            services: collections::BTreeMap::new(),
            in_progress: 0,
            urgent_in_progress: 0,
            duration_ms: FIRST_DURATION_MS,
            pressure: PressureGauge::default(),
            refusals: 0,
        }
    }

    fn configure(&mut self, records: &set::RecordSet, pool: &set::PoolRecord, capacity: f64) {
        self.common.declare(capacity);
        self.urgent.declare(capacity);
        let entitled = records.workspaces.iter().filter(|workspace| {
            workspace.services.iter().any(|service| pool.services.contains(service))
        });
        let shares = entitled.map(|workspace| (&workspace.id, workspace.share));
        self.shares.configure(shares);
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
                rank: share::PriorityRank(more_urgent.len()),
            };
            states.insert(record.id.clone(), state);
        }
        self.services = states;
    }

    fn rank(&self, service: &id::ServiceId) -> share::PriorityRank {
        self.services.get(service).map_or(share::PriorityRank::default(), |state| state.rank)
    }

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
        let is_over = self.shares.is_over(request.workspace);
        if is_over && self.shares.has_hungry_other(request.workspace, service.rank, request.now) {
            return Err(reason::RefusalReason::WorkspaceLimit);
        }
        Ok(())
    }

    /// Whether one more request of the rank fits.
    fn has_room(&self, workspace: &id::WorkspaceId, rank: share::PriorityRank) -> bool {
        let in_progress = f64::from(self.in_progress) + 1.0;
        let common = self.common.get().max(1.0);
        let most = common.max(self.urgent.get());
        if rank.is_most_urgent() {
            // The most urgent don't wait for those that came before them and are less urgent. What
            // the common limit leaves is theirs too. Beyond it a workspace within its share is
            // held to no limit of their own while there is something less urgent to shed.
            let urgent = f64::from(self.urgent_in_progress) + 1.0;
            let is_within = urgent <= self.urgent.get().max(1.0)
                || !self.common.is_at_floor() && !self.shares.is_over(workspace);
            return in_progress <= common || is_within && in_progress <= most * URGENT_FACTOR;
        }
        if self.shares.is_below_floor(workspace) {
            return in_progress <= most;
        }
        let part = 1.0 - PRIORITY_STEP * rank.0 as f64;
        in_progress <= (common * part.max(LEAST_PRIORITY_PART)).max(1.0)
    }

    fn note_refusal(
        &mut self,
        workspace: &id::WorkspaceId,
        rank: share::PriorityRank,
        now: time::MonotonicTime,
    ) {
        self.shares.refused(workspace, rank, now);
        self.common.note_refusal();
        if rank.is_most_urgent() {
            self.urgent.note_refusal();
        }
    }

    fn note_end(
        &mut self,
        rank: share::PriorityRank,
        lateness: concurrency::Lateness,
        now: time::MonotonicTime,
    ) {
        if rank.is_most_urgent() {
            self.common.sample(lateness, now);
            let in_time = concurrency::Lateness::InTime;
            let counted = if self.common.is_at_floor() { lateness } else { in_time };
            self.urgent.sample(counted, now);
        } else {
            let is_late = lateness == concurrency::Lateness::Late;
            self.common.sample_less_urgent(is_late, now);
        }
    }

    /// Time in which a slot becomes free and the refused requests of late can be worked off; the
    /// least urgent wait longest.
    fn retry_after(&mut self, service: &id::ServiceId) -> time::Millis {
        self.refusals += 1;
        let rank = self.rank(service);
        let spread = (self.refusals % RETRY_SPREAD_STEPS) as f64 / RETRY_SPREAD_STEPS as f64;
        let urgency = 1.0 + rank.0 as f64 / 2.0;
        let next_slot = 1.0 / self.common.get().max(1.0);
        let wait_ms = self.duration_ms * (next_slot + self.pressure.ratio()) * urgency;
        let (least, greatest) = RETRY_AFTER_MS;
        time::Millis::new((wait_ms * (0.75 + spread / 2.0)).clamp(least, greatest) as u64)
    }

    fn add(&mut self, workspace: &id::WorkspaceId, rank: share::PriorityRank) {
        self.in_progress += 1;
        self.urgent_in_progress += u32::from(rank.is_most_urgent());
        self.shares.admitted(workspace);
        self.common.note_use(self.in_progress);
        self.urgent.note_use(self.urgent_in_progress);
    }

    fn remove(&mut self, open: &OpenPermit, report: &gate::PermitReport) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let urgent = u32::from(open.rank.is_most_urgent());
        self.urgent_in_progress = self.urgent_in_progress.saturating_sub(urgent);
        let Some(service) = self.services.get_mut(&open.service) else { return };
        match (report.outcome, report.latency) {
            (gate::PermitOutcome::Complete, Some(first)) => {
                service.sample(first, report.now);
                let duration = report.now.since(open.admitted).get() as f64;
                self.duration_ms += (duration - self.duration_ms) * DURATION_WEIGHT;
                let lateness = service.lateness(first);
                self.note_end(open.rank, lateness, report.now);
            }
            (gate::PermitOutcome::TimedOut, _) => {
                self.note_end(open.rank, concurrency::Lateness::Late, report.now);
            }
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

    fn lateness(&self, first: time::Millis) -> concurrency::Lateness {
        if first > self.target {
            concurrency::Lateness::Late
        } else if first.get() as f64 > self.target.get() as f64 * NEAR_PART {
            concurrency::Lateness::Near
        } else {
            concurrency::Lateness::InTime
        }
    }

    fn can_meet(&self, deadline_left: time::Millis, now: time::MonotonicTime) -> bool {
        let is_believed = self.sampled.is_some_and(|at| now.since(at) <= FIRST_BELIEVED);
        let expected = if is_believed { self.first_ms } else { 0.0 };
        deadline_left.get() > 0 && expected <= deadline_left.get() as f64
    }
}
