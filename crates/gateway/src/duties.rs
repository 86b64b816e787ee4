//! Duties: singleton tasks that the holder of a lease performs for the whole deployment, namely
//! usage reports and replica orders.

use std::collections;
use std::rc;
use std::sync;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::capacity;
use samphiremoor_fleet::duty;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::usage;
use samphiremoor_platform::table;
use smallvec::SmallVec;

use crate::core;
use crate::lease_state;
use crate::metrics;

/// Interval between steps of the duties.
const STEP_INTERVAL: time::Millis = time::Millis::new(150);
/// Interval between capacity plans.
const PLAN_INTERVAL: time::Millis = time::Millis::new(500);
/// Interval between observations of the load by a daemon that does not hold the lease: half the time
/// constant of the need.
const OBSERVE_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Pause after a usage report that failed.
const REPORT_RETRY_PAUSE: time::Millis = time::Millis::new(600);
/// Divisor of the time in which a report is due; that fraction is waited after a window's end for
/// the last counts of peers to arrive.
const SETTLE_DIVISOR: u64 = 4;
/// Number of past windows that a new lease holder reports: all that can be due at once, and one
/// more.
const REPORTED_WINDOWS: u64 = 3;
/// Number of report rows kept behind the newest one.
const KEPT_REPORT_ROWS: u64 = 20;
/// Upper bound of a daemon's random extra wait before it acquires an expired lease, in
/// milliseconds.
const MAX_ACQUIRE_DELAY_MS: u64 = 600;
/// Upper bound of a daemon's random wait before it first reads the lease, in milliseconds. One of
/// hundreds of daemons that start together acquires the lease; the others learn of it from digests.
const MAX_START_DELAY_MS: u64 = 2_000;
/// Key of the lease row.
const LEASE_KEY: &str = "duty/lease";
/// Key prefix of the rows that mark an era in which the lease was taken.
const ERA_PREFIX: &str = "duty/era-";
/// Number of eras that are marked at once. Earlier writes are no longer under way.
const MAX_CLOSED_ERAS: u64 = 8;
/// Key prefix of the rows that store usage reports before they are sent.
const REPORT_PREFIX: &str = "usage/";

/// Performs the duties whenever this daemon holds the lease; never returns.
pub async fn run(core: rc::Rc<core::GatewayCore>) {
    let lease_state = core.lease_state.clone();
    let lease_time = core.settings.times.lease;
    let mut lease =
        duty::DutyLease::new(core.settings.daemon.clone(), core.incarnation, lease_time);
    lease.delay_read(core.now() + time::Millis::new(rand::random_range(0..MAX_START_DELAY_MS)));
    let acquire_delay = time::Millis::new(rand::random_range(0..MAX_ACQUIRE_DELAY_MS));
    let mut runner = DutyRunner {
        core,
        lease_state,
        lease,
        acquire_delay,
        held_token: None,
        last_token: None,
        planners: collections::BTreeMap::new(),
        planned_at: None,
        last_reported: None,
        next_report_at: time::MonotonicTime::default(),
        restored_token: None,
        held_since: None,
    };
    loop {
        runner.step().await;
        task::sleep(STEP_INTERVAL.to_duration()).await;
    }
}

struct DutyRunner {
    core: rc::Rc<core::GatewayCore>,
    lease_state: lease_state::LeaseState,
    lease: duty::DutyLease,
    /// Random extra wait before this daemon acquires an expired lease.
    acquire_delay: time::Millis,
    /// Fencing token of the lease, if this daemon held it at the last step.
    held_token: Option<quantity::FencingToken>,
    /// Fencing token with which this daemon last held the lease.
    last_token: Option<quantity::FencingToken>,
    planners: collections::BTreeMap<id::ServiceId, capacity::CapacityPlanner>,
    /// When capacity was last planned.
    planned_at: Option<time::MonotonicTime>,
    /// Last window whose report the cloud accepted.
    last_reported: Option<usage::WindowNumber>,
    next_report_at: time::MonotonicTime,
    /// Fencing token with which this daemon takes its own lease again that the table has lost.
    restored_token: Option<quantity::FencingToken>,
    /// Window at whose time this daemon took the lease, which it has held since.
    held_since: Option<usage::WindowNumber>,
}

/// Report of one window.
enum ReportDecision {
    /// The report that is sent, by this and every later holder of the lease.
    Decided(usage::WindowCount),
    /// One may have been sent that the table has lost.
    Lost,
    /// The table could not be asked.
    Unknown,
}

impl DutyRunner {
    /// Advances the lease and, while this daemon holds it, performs the duties that are due.
    async fn step(&mut self) {
        let core = self.core.clone();
        core.state.borrow_mut().wall_clock.observe_local(core.clock.unix_ms(), core.now());
        if let Some((position, reported_at)) = self.lease_state.peer_position.get() {
            self.lease.observe_peer_lease(position, reported_at);
        }
        if core.is_stopping() {
            self.lease.release();
        }
        self.step_lease().await;
        let token = self.lease.fencing_token(core.now());
        self.update_held_token(token);
        if token.is_none() {
            if core.settings.platform.orders_replicas {
                self.observe_loads();
            }
            return;
        }
        if core.settings.platform.reports_usage {
            self.report_usage().await;
        }
        if core.settings.platform.orders_replicas {
            self.order_replicas().await;
        }
    }

    fn update_held_token(&mut self, token: Option<quantity::FencingToken>) {
        let is_new = token.is_some() && token != self.last_token;
        if is_new && token == self.restored_token {
            // No other daemon held the lease meanwhile.
            self.last_token = token;
        } else if is_new {
            self.held_since = self.current_window();
        }
        self.lease_state.local_position.set(token.and_then(|_| self.lease.held_position()));
        match (self.held_token, token) {
            (None, Some(token)) => {
                log_event!(event::LogEvent::DutyTaken, fence = token);
                if self.last_token.replace(token) != Some(token) {
                    // Another daemon may have held the lease meanwhile. Its work is recorded in the
                    // table, not in this state.
                    for planner in self.planners.values_mut() {
                        planner.forget_orders();
                    }
                    self.last_reported = None;
                }
            }
            (Some(token), None) => log_event!(event::LogEvent::DutyLost, fence = token),
            _ => {}
        }
        self.held_token = token;
    }

    /// Performs the next read or write of the lease row, if one is due.
    async fn step_lease(&mut self) {
        let sent_at = self.core.now();
        let Some(action) = self.lease.next_action(sent_at, self.acquire_delay) else { return };
        let table = self.core.adapter.table.clone();
        self.core.metrics.count_table_call(metrics::TableCall::Lease);
        let key = table::RowKey::new(LEASE_KEY);
        match action {
            duty::DutyAction::Read => match table.read(&key).await {
                Ok(row) => {
                    let stored = row.and_then(|row| decode_lease(&row));
                    let era = table.era().unwrap_or_default();
                    self.lease.on_row_read(stored, era, sent_at, self.core.now());
                }
                Err(cause) => {
                    log::debug!("failed to read the lease row ({cause}); retrying");
                    self.lease.on_read_failed();
                }
            },
            duty::DutyAction::Write { expected, mut row, kind, previous_era } => {
                let condition = match expected {
                    Some(version) => table::RowCondition::VersionIs(key.clone(), version),
                    None => table::RowCondition::Absent(key.clone()),
                };
                let era = row.fence.era();
                let reports = match kind != duty::LeaseWrite::Renewal && previous_era < era {
                    true => {
                        row.undecided_from = self.undecided_from(kind);
                        self.restored_reports()
                    }
                    false => Vec::new(),
                };
                if kind == duty::LeaseWrite::Restoration {
                    self.restored_token = Some(row.fence);
                }
                let value = serde_json::to_string(&row).unwrap_or_default();
                let mut writes = vec![table::RowWrite::Put(key, value.into())];
                writes.extend(close_eras(previous_era, era));
                writes.extend(reports);
                let transaction = table::TableTransaction {
                    write_id: self.core.write_id(),
                    conditions: vec![condition, era_condition(era)],
                    writes,
                };
                let outcome = match table.commit(&transaction).await {
                    Ok(table::CommitResponse::Committed(version)) => {
                        duty::CommitOutcome::Committed(version)
                    }
                    Ok(table::CommitResponse::Refused(_)) => duty::CommitOutcome::Conflict,
                    Err(cause) => {
                        log::debug!(
                            "unknown whether the lease row was written ({cause}); reading it back"
                        );
                        duty::CommitOutcome::Unknown
                    }
                };
                let era = match outcome {
                    duty::CommitOutcome::Unknown => None,
                    _ => Some(table.era().unwrap_or_default()),
                };
                self.lease.on_write_outcome(row, (outcome, era), sent_at, self.core.now());
            }
        }
    }

    /// Returns the current window by the time of day on which the daemons agree.
    fn current_window(&self) -> Option<usage::WindowNumber> {
        let core = &self.core;
        let now_ms = core.state.borrow().wall_clock.now(core.now());
        Some(core::usage_window(now_ms, core.settings.times.usage_window))
    }

    /// Returns the first window of which no report can have been decided in an era that the table has
    /// lost, by another daemon than this one.
    fn undecided_from(&self, kind: duty::LeaseWrite) -> Option<usage::WindowNumber> {
        match kind {
            duty::LeaseWrite::Restoration => self.held_since,
            duty::LeaseWrite::Takeover | duty::LeaseWrite::Renewal => self.current_window(),
        }
    }

    /// Returns the writes of all known reports, whose rows the table may have lost.
    fn restored_reports(&self) -> Vec<table::RowWrite> {
        let state = self.core.state.borrow();
        let put = |report: &usage::WindowCount| {
            let value = serde_json::to_string(report).unwrap_or_default();
            table::RowWrite::Put(report_key(report.window), value.into())
        };
        state.decided_reports.recent().map(put).collect()
    }

    /// Reports the oldest window that is due and not yet reported.
    async fn report_usage(&mut self) {
        let core = self.core.clone();
        let now = core.now();
        if now < self.next_report_at {
            return;
        }
        let times = core.settings.times;
        let settle_ms = times.usage_due.get() / SETTLE_DIVISOR;
        let settled_ms = core.state.borrow().wall_clock.now(now) - settle_ms as i64;
        let current_window = core::usage_window(settled_ms, times.usage_window);
        let Some(newest_window) = current_window.checked_sub(1) else { return };
        let oldest_window = newest_window.saturating_sub(REPORTED_WINDOWS - 1);
        let window = self.last_reported.map_or(oldest_window, |last| (last + 1).max(oldest_window));
        if window > newest_window {
            return;
        }
        core.state.borrow_mut().usage.prune_incarnations(current_window);
        let report = match self.decide_report(window).await {
            ReportDecision::Decided(report) => report,
            ReportDecision::Lost => {
                log_event!(event::LogEvent::UsageReportLost, window = window);
                core.metrics.count_lost_report();
                self.last_reported = Some(window);
                return;
            }
            ReportDecision::Unknown => {
                self.next_report_at = core.now() + REPORT_RETRY_PAUSE;
                return;
            }
        };
        core.state.borrow_mut().decided_reports.record(&report);
        let Some(permit) = self.lease.call_permit(core.now()) else { return };
        let cloud = core.adapter.cloud.clone();
        let result = cloud.report_usage(&core.settings.daemon, permit, &report).await;
        log_event!(
            event::LogEvent::UsageReported,
            window = window,
            runs = report.counts.values().sum::<u32>(),
            fence = permit.fence,
            answer = format_args!("{result:?}"),
        );
        match result {
            Ok(()) => self.last_reported = Some(window),
            Err(_) => self.next_report_at = core.now() + REPORT_RETRY_PAUSE,
        }
    }

    /// Returns the report of a window. The report is stored in the table before it is sent, so that
    /// a later lease holder sends the same counts. A window of which the table may have lost the report
    /// has none but a known one.
    async fn decide_report(&self, window: usage::WindowNumber) -> ReportDecision {
        let core = &self.core;
        if let Some(report) = core.state.borrow().decided_reports.get(window) {
            return ReportDecision::Decided(report.clone());
        }
        let Some(lease) = self.lease.held_position() else { return ReportDecision::Unknown };
        if self.lease.undecided_from().is_some_and(|first| window < first) {
            return match self.read_report(window).await {
                Ok(Some(report)) => ReportDecision::Decided(report),
                Ok(None) => ReportDecision::Lost,
                Err(()) => ReportDecision::Unknown,
            };
        }
        let key = report_key(window);
        let counts = core.state.borrow().usage.total(window);
        let report = usage::WindowCount { window, counts };
        let expired_key = report_key(window - KEPT_REPORT_ROWS.min(window));
        let value: sync::Arc<str> = serde_json::to_string(&report).unwrap_or_default().into();
        let transaction = table::TableTransaction {
            write_id: core.write_id(),
            // A copy that has the row of the lease has the reports of earlier holders.
            conditions: vec![
                table::RowCondition::Absent(key.clone()),
                table::RowCondition::VersionIs(table::RowKey::new(LEASE_KEY), lease.version),
                era_condition(lease.era),
            ],
            writes: vec![
                table::RowWrite::Put(key.clone(), value),
                table::RowWrite::Delete(expired_key),
            ],
        };
        let table = core.adapter.table.clone();
        core.metrics.count_table_call(metrics::TableCall::Reports);
        match table.commit(&transaction).await {
            Ok(table::CommitResponse::Committed(_))
                if table.era().unwrap_or_default() == lease.era =>
            {
                ReportDecision::Decided(report)
            }
            Ok(_) => match self.read_report(window).await {
                Ok(Some(report)) => ReportDecision::Decided(report),
                Ok(None) | Err(()) => ReportDecision::Unknown,
            },
            Err(cause) => {
                log::debug!(
                    "failed to store the usage report of window {window} ({cause}); retrying"
                );
                ReportDecision::Unknown
            }
        }
    }

    /// Reads the report of a window from the table; the error says that it can't be read.
    async fn read_report(
        &self,
        window: usage::WindowNumber,
    ) -> Result<Option<usage::WindowCount>, ()> {
        self.core.metrics.count_table_call(metrics::TableCall::Reports);
        let key = report_key(window);
        let table = self.core.adapter.table.clone();
        let Some(row) = table.read(&key).await.map_err(drop)? else { return Ok(None) };
        let report = serde_json::from_str(&row.value).map_err(|cause| {
            log::warn!("row {key} is not a valid usage report ({cause}); delete it");
        })?;
        Ok(Some(report))
    }

    /// Observes the load of each service, so that the plan of a daemon that takes over begins with the
    /// measured need. Without that, a takeover amid a shortage leaves it unfilled for seconds.
    fn observe_loads(&mut self) {
        let now = self.core.now();
        if !self.is_plan_due(OBSERVE_INTERVAL, now) {
            return;
        }
        for scaled in scaled_services(&self.core, now) {
            let planner = self.planners.entry(scaled.service).or_default();
            planner.observe(&scaled.supply, &scaled.load, now);
        }
    }

    /// Returns whether the load was last measured at least `interval` ago. It then counts as measured
    /// now.
    fn is_plan_due(&mut self, interval: time::Millis, now: time::MonotonicTime) -> bool {
        let is_due = self.planned_at.is_none_or(|planned_at| now.since(planned_at) >= interval);
        if is_due {
            self.planned_at = Some(now);
        }
        is_due
    }

    /// Plans the capacity of each service and sends the resulting orders to the cloud.
    async fn order_replicas(&mut self) {
        let core = self.core.clone();
        let now = core.now();
        if !self.is_plan_due(PLAN_INTERVAL, now) {
            return;
        }
        for ScaledService { service, rule, supply, load } in scaled_services(&core, now) {
            let planner = self.planners.entry(service.clone()).or_default();
            let orders = planner.plan(&service, &rule, &supply, &load, now);
            for order in orders {
                let Some(permit) = self.lease.call_permit(core.now()) else { return };
                let cloud = core.adapter.cloud.clone();
                let result = cloud.order_replicas(&core.settings.daemon, permit, &order).await;
                log_event!(
                    event::LogEvent::CapacityOrdered,
                    service = order.service,
                    zone = order.zone,
                    reclaimable = order.is_reclaimable,
                    count = order.desired,
                    need =
                        format_args!("{:.1}", capacity::CapacityPlanner::required_replicas(&load)),
                    fence = permit.fence,
                    answer = format_args!("{result:?}"),
                );
                if let Some(planner) = self.planners.get_mut(&service) {
                    planner.on_order_outcome(&order, result);
                }
            }
        }
    }
}

/// Returns the condition that no daemon has taken the lease in a later era. Without it, a write that is
/// performed late could take effect on a version that is given out again.
fn era_condition(era: quantity::StoreEra) -> table::RowCondition {
    table::RowCondition::Absent(era_key(era.next()))
}

/// Returns the writes that refuse late writes of the eras from `previous` up to the one before `era`.
fn close_eras(
    previous: quantity::StoreEra,
    era: quantity::StoreEra,
) -> impl Iterator<Item = table::RowWrite> {
    let first = previous.next().get().max(era.get().saturating_sub(MAX_CLOSED_ERAS - 1));
    let eras = (first..=era.get()).map(quantity::StoreEra::new);
    eras.map(|closed| table::RowWrite::Put(era_key(closed), "{}".into()))
}

fn report_key(window: usage::WindowNumber) -> table::RowKey {
    table::RowKey::new(&format!("{REPORT_PREFIX}{window}"))
}

fn era_key(era: quantity::StoreEra) -> table::RowKey {
    table::RowKey::new(&format!("{ERA_PREFIX}{era}"))
}

fn decode_lease(row: &table::TableRow) -> Option<(duty::DutyRow, quantity::RowVersion)> {
    match serde_json::from_str(&row.value) {
        Ok(duty_row) => Some((duty_row, row.version)),
        Err(cause) => {
            log::warn!("row {LEASE_KEY} is not a valid lease ({cause}); delete it");
            None
        }
    }
}

/// Service whose replicas are ordered, with its measured load.
struct ScaledService {
    service: id::ServiceId,
    rule: policy::ScalingRule,
    supply: collections::BTreeMap<id::ZoneId, capacity::ZoneSupply>,
    load: capacity::ServiceLoad,
}

/// Measures the services whose replicas are ordered.
fn scaled_services(
    core: &core::GatewayCore,
    now: time::MonotonicTime,
) -> SmallVec<[ScaledService; 2]> {
    let Some(policy) = core.state.borrow().policy.clone() else { return SmallVec::new() };
    let scaled = policy.services.iter().filter_map(|(service, rule)| {
        let scaling = rule.scaling.as_ref()?;
        Some(ScaledService {
            service: service.clone(),
            rule: scaling.clone(),
            supply: zone_supply(core, service, scaling),
            load: service_load(core, service, rule, now),
        })
    });
    scaled.collect()
}

/// Counts the replicas of a service that are not leaving, by zone.
fn zone_supply(
    core: &core::GatewayCore,
    service: &id::ServiceId,
    rule: &policy::ScalingRule,
) -> collections::BTreeMap<id::ZoneId, capacity::ZoneSupply> {
    let state = core.state.borrow();
    capacity::count_supply(rule, state.replicas.of_service(service))
}

fn service_load(
    core: &core::GatewayCore,
    service: &id::ServiceId,
    rule: &policy::ServiceRule,
    now: time::MonotonicTime,
) -> capacity::ServiceLoad {
    let state = core.state.borrow();
    let replica_count = state.replicas.of_service(service).count() as f64;
    let known_replicas = state.replicas.of_service(service);
    let running = known_replicas
        .map(|known_replica| f64::from(state.replicas.load(known_replica, now).running))
        .sum();
    let entries = state.replicas.of_service(service).map(|known_replica| &known_replica.entry);
    let typical_slots = capacity::typical_slots(entries.map(|entry| entry.slots));
    let slots = rule.engine_slots.or(typical_slots).unwrap_or(1);
    let ms_per_token = state.ttft_estimator.prefill_ms_per_ktoken(service) / 1_000.0;
    let prefill_seconds = state.prompt_rate(service, now) * ms_per_token / 1_000.0;
    capacity::ServiceLoad {
        running,
        replicas: replica_count,
        prefill_seconds,
        slots_per_replica: f64::from(slots),
    }
}
