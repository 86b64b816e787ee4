//! Rollouts that this daemon knows: keeps the orders, chooses the version of new requests and counts
//! their responses.

use std::collections;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::rollout::exposure;
use smallvec::SmallVec;

use crate::adapter;
use crate::metrics;

/// Rollouts that this daemon knows, by service.
#[derive(Debug)]
pub struct RolloutStates {
    started_at: time::MonotonicTime,
    pub(crate) services: collections::BTreeMap<id::ServiceId, KnownRollout>,
}

/// A rollout and what is known of its status row.
#[derive(Debug)]
pub(crate) struct KnownRollout {
    pub(crate) state: rollout::ServiceRollout,
    /// Versions of superseded orders that were not completed. They get no new requests either.
    barred: SmallVec<[replica::SoftwareVersion; 2]>,
    /// The status row: its version, if it exists, and its state, if it is of this order.
    pub(crate) row: Option<(Option<quantity::RowVersion>, Option<rollout::RowState>)>,
    pub(crate) row_read_at: Option<time::MonotonicTime>,
    /// Phase that was logged last.
    logged_phase: rollout::RolloutPhase,
    pub(crate) has_warned: bool,
    /// Number of refused writes of the status row in a row. The order may have been withdrawn.
    pub(crate) refusals: u32,
}

impl KnownRollout {
    fn new(state: rollout::ServiceRollout) -> Self {
        KnownRollout {
            state,
            barred: SmallVec::new(),
            row: None,
            row_read_at: None,
            logged_phase: rollout::RolloutPhase::Observe,
            has_warned: false,
            refusals: 0,
        }
    }

    /// Returns the requirement on replicas of a side.
    fn requirement(&self, side: exposure::VersionSide) -> replica::RequiredVersion {
        let to = self.state.order().to.clone();
        match side {
            exposure::VersionSide::New => replica::RequiredVersion::Stated(to),
            exposure::VersionSide::Old => {
                let excluded = self.barred.iter().cloned().chain([to]);
                replica::RequiredVersion::Except(excluded.collect())
            }
        }
    }

    /// Returns whether a replica serves that is not of the new version.
    fn has_old(&self, replicas: &replica::ReplicaTable) -> bool {
        let old = self.requirement(exposure::VersionSide::Old);
        let mut replicas = replicas.of_service(&self.state.order().service);
        replicas.any(|other| !other.is_leaving() && old.allows(other.entry.version.as_ref()))
    }

    pub(crate) fn new_replicas(&self, replicas: &replica::ReplicaTable) -> usize {
        let order = self.state.order();
        let new = replicas.of_service(&order.service).filter(|other| !other.is_leaving());
        new.filter(|other| other.entry.version.as_ref() == Some(&order.to)).count()
    }

    /// Returns the number of this daemon's requests in progress at replicas of other versions.
    pub(crate) fn old_in_progress(&self, replicas: &replica::ReplicaTable) -> u32 {
        let order = self.state.order();
        let old = replicas.of_service(&order.service);
        let old = old.filter(|other| other.entry.version.as_ref() != Some(&order.to));
        old.map(|other| other.local_load.running).sum()
    }

    pub(crate) fn log_phase(
        &mut self,
        metrics: &metrics::GatewayMetrics,
        now: time::MonotonicTime,
    ) {
        let phase = self.state.phase();
        if phase == std::mem::replace(&mut self.logged_phase, phase) {
            return;
        }
        let order = self.state.order();
        metrics.count_rollout_phase(phase_label(phase));
        log_event!(
            event::LogEvent::RolloutPhase,
            service = order.service,
            to = order.to,
            phase = format_args!("{phase:?}"),
            is_confirmed = self.state.is_confirmed(now),
        );
    }
}

fn phase_label(phase: rollout::RolloutPhase) -> &'static str {
    match phase {
        rollout::RolloutPhase::Observe => "observe",
        rollout::RolloutPhase::Share { .. } => "share",
        rollout::RolloutPhase::Trial => "trial",
        rollout::RolloutPhase::Trusted => "trusted",
        rollout::RolloutPhase::Completed => "completed",
        rollout::RolloutPhase::RolledBack => "rolled_back",
    }
}

impl RolloutStates {
    /// Creates the state of a daemon that was started at this time.
    pub fn new(started_at: time::MonotonicTime) -> Self {
        RolloutStates { started_at, services: collections::BTreeMap::new() }
    }

    /// Adds an order unless it or a newer one is known. `age` is the time since the first daemon
    /// learned of it.
    fn add(&mut self, order: &rollout::RolloutOrder, age: time::Millis, now: time::MonotonicTime) {
        let known = self.services.get(&order.service);
        let mut barred = SmallVec::new();
        if let Some(known) = known {
            if known.state.order().position >= order.position {
                return;
            }
            barred.clone_from(&known.barred);
            if known.state.phase() != rollout::RolloutPhase::Completed {
                barred.push(known.state.order().to.clone());
            }
            barred.retain(|version| *version != order.to);
        }
        let ordered_at = time::MonotonicTime::new(now.get().saturating_sub(age.get()));
        let is_late = ordered_at < self.started_at;
        let state =
            rollout::ServiceRollout::new(order.clone(), ordered_at, is_late, rand::random());
        log_event!(
            event::LogEvent::RolloutOrdered,
            service = order.service,
            to = order.to,
            duration_ms = order.duration,
            age_ms = age,
            late = is_late,
        );
        let row_read_at = Some(now);
        let known = KnownRollout { barred, row_read_at, ..KnownRollout::new(state) };
        self.services.insert(order.service.clone(), known);
    }

    /// Applies changes to orders that were read from the table.
    pub(crate) fn apply_orders(
        &mut self,
        records: &adapter::OperatorRecords,
        now: time::MonotonicTime,
    ) {
        let mut ordered = collections::BTreeSet::new();
        for change in &records.orders {
            match change {
                adapter::OrderChange::Put(order) => {
                    ordered.insert(order.service.clone());
                    self.add(order, time::Millis::default(), now);
                }
                adapter::OrderChange::Withdrawn(service) => {
                    self.withdraw(service, records.position, now);
                }
            }
        }
        if !records.are_all {
            return;
        }
        let absent = self.services.keys().filter(|service| !ordered.contains(*service));
        for service in absent.cloned().collect::<Vec<_>>() {
            self.withdraw(&service, records.position, now);
        }
    }

    /// Ends the rollout of a withdrawn order, whose service stays at the old version.
    fn withdraw(
        &mut self,
        service: &id::ServiceId,
        position: position::StorePosition,
        now: time::MonotonicTime,
    ) {
        let Some(known) = self.services.get_mut(service) else { return };
        if known.state.order().position <= position && !known.state.phase().is_final() {
            known.state.observe_row(rollout::RowState::RolledBack, now);
        }
    }

    /// Returns what peers should learn at once when it changes.
    pub fn urgent_state(
        &self,
        now: time::MonotonicTime,
    ) -> SmallVec<[(rollout::RolloutPhase, bool, bool); 2]> {
        self.services.values().map(|known| known.state.urgent_state(now)).collect()
    }

    /// Returns the notices for peers.
    pub fn notices(
        &self,
        scope: rollout::NoticeScope,
        now: time::MonotonicTime,
    ) -> Vec<rollout::RolloutNotice> {
        self.services.values().map(|known| known.state.notice(scope, now)).collect()
    }

    /// Applies the notices of a peer or, if `is_group`, of a zone.
    pub fn apply_notices(
        &mut self,
        sender: (&id::DaemonId, quantity::Incarnation),
        is_group: bool,
        notices: &[rollout::RolloutNotice],
        now: time::MonotonicTime,
    ) {
        for notice in notices {
            self.add(&notice.order, notice.order_age, now);
            let Some(known) = self.services.get_mut(&notice.order.service) else { continue };
            if known.state.order().position != notice.order.position {
                continue;
            }
            if notice.order_age > now.since(self.started_at) {
                known.state.mark_late();
            }
            let sender = (sender.0.clone(), sender.1);
            known.state.observe_notice(sender, is_group, notice, now);
        }
    }

    /// Chooses the version of a new request.
    pub fn choose(
        &self,
        service: &id::ServiceId,
        replicas: &replica::ReplicaTable,
        limits: &rollout::ExposureLimits,
        now: time::MonotonicTime,
    ) -> replica::RequiredVersion {
        let Some(known) = self.services.get(service) else { return replica::RequiredVersion::Any };
        let has_old = known.has_old(replicas);
        known.requirement(known.state.choose(limits, has_old, rand::random(), now))
    }

    /// Returns the version of a request for which no replica of the new version is available or
    /// responded, and which therefore goes to the old one if that still serves. Returns `None` if it
    /// has no rollout.
    pub fn fallback(
        &self,
        service: &id::ServiceId,
        replicas: &replica::ReplicaTable,
    ) -> Option<replica::RequiredVersion> {
        let known = self.services.get(service)?;
        let is_completed = known.state.phase() == rollout::RolloutPhase::Completed;
        let may_be_new = !known.state.is_vetoed();
        let needs_new = match is_completed {
            // Operators may have replaced the replicas without an order.
            true => known.new_replicas(replicas) > 0,
            false => may_be_new && !known.has_old(replicas),
        };
        let side = if needs_new { exposure::VersionSide::New } else { exposure::VersionSide::Old };
        Some(known.requirement(side))
    }

    /// Counts a request to a replica whose rollout is in progress.
    pub fn count(
        &mut self,
        service: &id::ServiceId,
        version: Option<&replica::SoftwareVersion>,
        count: impl FnOnce(&mut rollout::ServiceRollout, exposure::VersionSide),
    ) {
        let Some(known) = self.services.get_mut(service) else { return };
        if !known.state.phase().is_final() {
            let side = known.state.side(version);
            count(&mut known.state, side);
        }
    }
}
