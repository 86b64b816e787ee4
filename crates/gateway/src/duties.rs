//! What one daemon does for all: usage reports and orders for replicas, under a lease.

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

use crate::core;
use crate::digest_exchange;

/// Interval between looks at what is due.
const STEP_INTERVAL: time::Millis = time::Millis::new(150);
/// Interval between plans of capacity.
const PLAN_INTERVAL: time::Millis = time::Millis::new(500);
/// Interval between tries of a usage report that failed.
const REPORT_PAUSE: time::Millis = time::Millis::new(600);
/// Part of the time in which a report is due that is left for the last counts to arrive.
const SETTLE_PART: u64 = 4;
/// Windows for which a new holder makes up reports: as many as are due at once, and one more.
const REPORTED_BACK: u64 = 3;
/// Rows of windows that are kept behind the newest one.
const KEPT_ROWS: u64 = 20;
/// Greatest extra wait of a daemon before it takes the lease.
const PATIENCE_MS: u64 = 600;
/// Row of the lease.
const LEASE_KEY: &str = "duty/lease";
/// Prefix of the rows of decided reports.
const REPORT_PREFIX: &str = "usage/";

/// Does the duties for ever.
pub async fn run(core: rc::Rc<core::GatewayCore>, signs: digest_exchange::DutySigns) {
    let lease_time = core.settings.times.lease_ms;
    let keeper = duty::DutyLease::new(core.settings.daemon.clone(), core.incarnation, lease_time);
    let patience = time::Millis::new(rand::random_range(0..PATIENCE_MS));
    let mut doer = DutyDoer {
        core,
        signs,
        keeper,
        patience,
        held: None,
        last_fence: None,
        planners: collections::BTreeMap::new(),
        planned_at: None,
        reported: None,
        report_at: time::MonotonicTime::default(),
    };
    loop {
        doer.step().await;
        task::sleep(STEP_INTERVAL.to_duration()).await;
    }
}

struct DutyDoer {
    core: rc::Rc<core::GatewayCore>,
    signs: digest_exchange::DutySigns,
    keeper: duty::DutyLease,
    patience: time::Millis,
    held: Option<quantity::FencingToken>,
    last_fence: Option<quantity::FencingToken>,
    planners: collections::BTreeMap<id::ServiceId, capacity::CapacityPlanner>,
    planned_at: Option<time::MonotonicTime>,
    /// The last window that was reported.
    reported: Option<usage::WindowNumber>,
    report_at: time::MonotonicTime,
}

impl DutyDoer {
    async fn step(&mut self) {
        let core = self.core.clone();
        core.state.borrow_mut().wall.observe_local(core.clock.wall(), core.now());
        if let Some((version, at)) = self.signs.peer.get() {
            self.keeper.observe_peer_lease(version, at);
        }
        if core.is_stopping() {
            self.keeper.release();
        }
        self.keep_lease().await;
        let fence = self.keeper.fencing_token(core.now());
        self.note_held(fence);
        if fence.is_none() {
            return;
        }
        if core.settings.platform.reports_usage {
            self.report_usage().await;
        }
        if core.settings.platform.orders_replicas {
            self.order_replicas().await;
        }
    }

    fn note_held(&mut self, fence: Option<quantity::FencingToken>) {
        self.signs.own.set(fence.and_then(|_| self.keeper.held_version()));
        match (self.held, fence) {
            (None, Some(fence)) => {
                log_event!(event::LogEvent::DutyTaken, fence = fence);
                if self.last_fence.replace(fence) != Some(fence) {
                    // What the holder before did is in the table, not here.
                    self.planners.clear();
                    self.reported = None;
                }
            }
            (Some(fence), None) => log_event!(event::LogEvent::DutyLost, fence = fence),
            _ => {}
        }
        self.held = fence;
    }

    async fn keep_lease(&mut self) {
        let asked = self.core.now();
        let Some(action) = self.keeper.next_action(asked, self.patience) else { return };
        let table = self.core.adapter.table.clone();
        let key = table::RowKey::new(LEASE_KEY);
        match action {
            duty::DutyAction::Read => match table.read(&key).await {
                Ok(row) => {
                    let found = row.and_then(|row| decode_lease(&row));
                    self.keeper.on_row_read(found, asked, self.core.now());
                }
                Err(cause) => {
                    log::debug!("the lease is not read ({cause}); it is tried again");
                    self.keeper.on_read_failed();
                }
            },
            duty::DutyAction::Write { expected, row } => {
                let condition = match expected {
                    Some(version) => table::RowCondition::VersionIs(key.clone(), version),
                    None => table::RowCondition::Absent(key.clone()),
                };
                let value = serde_json::to_string(&row).unwrap_or_default();
                let transaction = table::TableTransaction {
                    write_id: digest_exchange::write_id(&self.core),
                    conditions: vec![condition],
                    writes: vec![table::RowWrite::Put(key, value.into())],
                };
                let answer = match table.commit(&transaction).await {
                    Ok(table::CommitResponse::Committed(version)) => {
                        duty::CommitOutcome::Committed(version)
                    }
                    Ok(table::CommitResponse::Refused(_)) => duty::CommitOutcome::Conflict,
                    Err(cause) => {
                        log::debug!("the lease is not written ({cause}); it is read back");
                        duty::CommitOutcome::Unknown
                    }
                };
                self.keeper.on_write_outcome(row, answer, asked, self.core.now());
            }
        }
    }

    /// Reports the oldest window that is due.
    async fn report_usage(&mut self) {
        let core = self.core.clone();
        let now = core.now();
        if now < self.report_at {
            return;
        }
        let times = core.settings.times;
        let settle = times.usage_due_ms.get() / SETTLE_PART;
        let wall = core.state.borrow().wall.now(now) - settle as i64;
        let present = core::window_number(wall, times.usage_window_ms);
        let Some(newest) = present.checked_sub(1) else { return };
        let first = newest.saturating_sub(REPORTED_BACK - 1);
        let window = self.reported.map_or(first, |last| (last + 1).max(first));
        if window > newest {
            return;
        }
        core.state.borrow_mut().usage.prune_incarnations(present);
        let Some(report) = self.decide_report(window).await else {
            self.report_at = core.now() + REPORT_PAUSE;
            return;
        };
        let Some(fence) = self.keeper.fencing_token(core.now()) else { return };
        let cloud = core.adapter.cloud.clone();
        let answer = cloud.report_usage(&core.settings.daemon, fence, &report).await;
        log_event!(
            event::LogEvent::UsageReported,
            window = window,
            runs = report.counts.values().sum::<u32>(),
            fence = fence,
            answer = format_args!("{answer:?}"),
        );
        match answer {
            Ok(()) => self.reported = Some(window),
            Err(_) => self.report_at = core.now() + REPORT_PAUSE,
        }
    }

    /// What the report of a window says. It is written down before it is sent, so that another holder
    /// sends the same.
    async fn decide_report(&self, window: usage::WindowNumber) -> Option<usage::WindowCount> {
        let core = &self.core;
        let key = table::RowKey::new(&format!("{REPORT_PREFIX}{window}"));
        let counts = core.state.borrow().usage.total(window);
        let report = usage::WindowCount { window, counts };
        let old = table::RowKey::new(&format!("{REPORT_PREFIX}{}", window - KEPT_ROWS.min(window)));
        let value: sync::Arc<str> = serde_json::to_string(&report).unwrap_or_default().into();
        let transaction = table::TableTransaction {
            write_id: digest_exchange::write_id(core),
            conditions: vec![table::RowCondition::Absent(key.clone())],
            writes: vec![table::RowWrite::Put(key.clone(), value), table::RowWrite::Delete(old)],
        };
        let table = core.adapter.table.clone();
        match table.commit(&transaction).await {
            Ok(table::CommitResponse::Committed(_)) => Some(report),
            Ok(table::CommitResponse::Refused(_)) => {
                let row = table.read(&key).await.ok()??;
                let decided = serde_json::from_str(&row.value);
                if let Err(cause) = &decided {
                    log::warn!("row {key} is no report ({cause}); delete it");
                }
                decided.ok()
            }
            Err(cause) => {
                log::debug!("the report of window {window} is not decided ({cause})");
                None
            }
        }
    }

    async fn order_replicas(&mut self) {
        let core = self.core.clone();
        let now = core.now();
        if self.planned_at.is_some_and(|at| now.since(at) < PLAN_INTERVAL) {
            return;
        }
        self.planned_at = Some(now);
        let Some(policy) = core.state.borrow().policy.clone() else { return };
        for (service, rule) in &policy.services {
            let Some(scaling) = &rule.scaling else { continue };
            let supply = supply_of(&core, service, scaling);
            let load = load_of(&core, service, rule, now);
            let planner = self.planners.entry(service.clone()).or_default();
            let orders = planner.plan(service, scaling, &supply, &load, now);
            for order in orders {
                let Some(fence) = self.keeper.fencing_token(core.now()) else { return };
                let cloud = core.adapter.cloud.clone();
                let answer = cloud.order_replicas(&core.settings.daemon, fence, &order).await;
                log_event!(
                    event::LogEvent::CapacityOrdered,
                    service = order.service,
                    zone = order.zone,
                    reclaimable = order.is_reclaimable,
                    count = order.desired,
                    need =
                        format_args!("{:.1}", capacity::CapacityPlanner::required_replicas(&load)),
                    fence = fence,
                    answer = format_args!("{answer:?}"),
                );
                if let Some(planner) = self.planners.get_mut(service) {
                    planner.on_order_outcome(&order, answer);
                }
            }
        }
    }
}

fn decode_lease(row: &table::TableRow) -> Option<(duty::DutyRow, quantity::RowVersion)> {
    match serde_json::from_str(&row.value) {
        Ok(found) => Some((found, row.version)),
        Err(cause) => {
            log::warn!("row {LEASE_KEY} is no lease ({cause}); delete it");
            None
        }
    }
}

fn supply_of(
    core: &core::GatewayCore,
    service: &id::ServiceId,
    rule: &policy::ScalingRule,
) -> collections::BTreeMap<id::ZoneId, capacity::ZoneSupply> {
    let state = core.state.borrow();
    let mut supply: collections::BTreeMap<id::ZoneId, capacity::ZoneSupply> =
        rule.zone_prices.keys().map(|zone| (zone.clone(), Default::default())).collect();
    for known in state.replicas.of_service(service) {
        let zone = supply.entry(known.entry.zone.clone()).or_default();
        match (known.entry.is_reclaimable, known.entry.is_draining) {
            (true, false) => zone.reclaimable += 1,
            (false, false) => zone.on_demand += 1,
            (_, true) => {}
        }
    }
    supply
}

fn load_of(
    core: &core::GatewayCore,
    service: &id::ServiceId,
    rule: &policy::ServiceRule,
    now: time::MonotonicTime,
) -> capacity::ServiceLoad {
    let state = core.state.borrow();
    let replicas = state.replicas.of_service(service).count() as f64;
    let loads = state.replicas.of_service(service);
    let running = loads.map(|known| f64::from(state.replicas.load(known, now).running)).sum();
    let slots = state.replicas.of_service(service).map(|known| known.entry.slots).max();
    let slots = rule.engine_slots.or(slots).unwrap_or(1);
    let pace = state.forecast.prefill_ms_per_ktoken(service) / 1_000.0;
    let prompt_seconds = state.prompt_rate(service, now) * pace / 1_000.0;
    capacity::ServiceLoad {
        running,
        replicas,
        prefill_seconds: prompt_seconds,
        slots_per_replica: f64::from(slots),
    }
}
