//! Rollouts: moves the traffic of a service to replicas of another software version, and back if
//! that version turns out to be bad.
//!
//! The load pattern: a version fails a part of its requests or takes several times as long, from the
//! start or later, possibly only under load or on one route. Shares therefore rise in steps, and
//! until the version is trusted each daemon sends it no more than its part of the exposure.
//!
//! - [`plan`]: the holder of the duty lease chooses the phases.
//! - [`exposure`]: each daemon chooses the version of a new request.
//! - [`verdict`]: compares the responses of two versions.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::replica;

pub mod exposure;
pub mod plan;
pub mod verdict;

/// Time after which a phase that was not confirmed no longer lets new requests to the new version.
pub const CONFIRMATION_TIMEOUT: time::Millis = time::Millis::new(2_000);
/// Shortest interval between two totals that are kept to compare recent responses.
const SNAPSHOT_INTERVAL: time::Millis = time::Millis::new(250);

/// Order to move the traffic of a service to replicas of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: id::ServiceId,
    /// The version that serves all requests afterwards.
    pub to: replica::SoftwareVersion,
    /// Time from the order to the time limit.
    pub duration: time::Millis,
    /// Position of the order's row. It identifies the order.
    pub position: position::StorePosition,
}

/// State in the status row of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowState {
    /// The order is being carried out.
    Running,
    /// The new version serves all requests; the old replicas may stop.
    Completed,
    /// The old version serves all requests.
    RolledBack,
}

/// Phase of a rollout, in the order in which they follow each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum RolloutPhase {
    /// The old version serves all requests and is measured.
    Observe,
    /// The new version gets this share of new requests, in thousandths, in this step.
    Share {
        /// Number of the step, from 0.
        step: u8,
        /// Share of new requests, in thousandths.
        per_mille: u16,
    },
    /// The new version gets all new requests within the exposure.
    Trial,
    /// The new version gets all new requests.
    Trusted,
    /// The old replicas may stop.
    Completed,
    /// The new version gets no request any more.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutPhase::Completed | RolloutPhase::RolledBack)
    }
}

/// A phase that a lease holder decided on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PhaseDecision {
    /// Position of the lease row of the holder that confirmed the phase last.
    pub lease: position::StorePosition,
    /// The phase.
    pub phase: RolloutPhase,
    /// Time since the phase began.
    pub phase_age: time::Millis,
    /// Time since the holder confirmed the phase last.
    pub confirmation_age: time::Millis,
}

/// Requests of one route at the old and at the new version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouteCounts {
    /// Name of the route.
    pub route: Box<str>,
    /// Counts of all other versions.
    pub old: verdict::VersionCounts,
    /// Counts of the new version.
    pub new: verdict::VersionCounts,
}

/// What a daemon, or the daemons of a zone, tell their peers about a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RolloutNotice {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the first daemon learned of the order.
    pub order_age: time::Millis,
    /// The newest known phase.
    pub decision: Option<PhaseDecision>,
    /// Whether a daemon has found the new version bad.
    pub is_vetoed: bool,
    /// Number of daemons that send everything to the new version and have no request in progress at
    /// another one.
    pub settled: u32,
    /// Counts by route since the order. They never decrease.
    pub routes: Vec<RouteCounts>,
}

/// Whose counts a notice holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeScope {
    /// This daemon's.
    Local,
    /// Those of this daemon and of its group.
    Group,
}

/// How far the new version may be exposed before it is trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// Fraction of the service's requests between the order and its time limit.
    pub share: f64,
    /// Number of requests on top of the fraction.
    pub slack: f64,
    /// Time after the 50th bad response after which the new version gets no more requests.
    pub rollback: time::Millis,
}

/// Counts by route.
type RouteTotals = collections::BTreeMap<Box<str>, RouteCounts>;

/// Last notice of a peer or a zone.
#[derive(Clone, Debug, Default)]
struct PeerReport {
    routes: RouteTotals,
    settled: u32,
    /// Whether the counts are those of a group.
    is_group: bool,
    received_at: time::MonotonicTime,
}

/// A phase as this daemon knows it.
#[derive(Clone, Copy, Debug)]
struct KnownPhase {
    lease: position::StorePosition,
    phase: RolloutPhase,
    began_at: time::MonotonicTime,
    confirmed_at: time::MonotonicTime,
}

/// State of one rollout at one daemon.
#[derive(Clone, Debug)]
pub struct ServiceRollout {
    order: RolloutOrder,
    /// When the first daemon learned of the order.
    ordered_at: time::MonotonicTime,
    /// Whether this daemon learned of the order so late that an earlier process of it may have used
    /// its part of the exposure.
    is_late: bool,
    known: Option<KnownPhase>,
    is_vetoed: bool,
    /// Requests that this daemon sent, by route.
    local: RouteTotals,
    /// Requests in progress at the old version.
    old_in_progress: u32,
    peers: collections::BTreeMap<(id::DaemonId, quantity::Incarnation), PeerReport>,
    /// Largest number of daemons since the order.
    max_daemons: u32,
    /// Uniform random number by which this daemon's part of the exposure is rounded.
    rounding: f64,
    snapshots: collections::VecDeque<(time::MonotonicTime, RouteTotals)>,
}

impl ServiceRollout {
    /// Creates the state of an order that the first daemon learned of at `ordered_at`. `is_late`
    /// says that it was being carried out before this daemon ran. `rounding` is a uniform random
    /// number from 0 to 1.
    pub fn new(
        order: RolloutOrder,
        ordered_at: time::MonotonicTime,
        is_late: bool,
        rounding: f64,
    ) -> Self {
        ServiceRollout {
            order,
            ordered_at,
            is_late,
            known: None,
            is_vetoed: false,
            local: RouteTotals::new(),
            old_in_progress: 0,
            peers: collections::BTreeMap::new(),
            max_daemons: 1,
            rounding,
            snapshots: collections::VecDeque::new(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Marks that the order was being carried out before this daemon ran.
    pub fn mark_late(&mut self) {
        self.is_late = true;
    }

    /// Returns the newest known phase; `Observe` if none is known.
    pub fn phase(&self) -> RolloutPhase {
        self.known.map_or(RolloutPhase::Observe, |known| known.phase)
    }

    /// Returns whether a phase is known.
    pub fn has_phase(&self) -> bool {
        self.known.is_some()
    }

    /// Returns whether a daemon has found the new version bad.
    pub fn is_vetoed(&self) -> bool {
        self.is_vetoed
    }

    /// Returns whether the phase was confirmed within [`CONFIRMATION_TIMEOUT`].
    pub fn is_confirmed(&self, now: time::MonotonicTime) -> bool {
        self.known.is_some_and(|known| now.since(known.confirmed_at) <= CONFIRMATION_TIMEOUT)
    }

    /// Adopts the state of the status row, if it ends the rollout.
    pub fn observe_row(&mut self, state: RowState, now: time::MonotonicTime) {
        let phase = match state {
            RowState::Running => return,
            RowState::Completed => RolloutPhase::Completed,
            RowState::RolledBack => RolloutPhase::RolledBack,
        };
        self.set_phase(phase, self.known.map(|known| known.lease).unwrap_or_default(), now);
    }

    fn set_phase(
        &mut self,
        phase: RolloutPhase,
        lease: position::StorePosition,
        now: time::MonotonicTime,
    ) {
        let same = self.known.filter(|known| known.phase == phase);
        let began_at = same.map_or(now, |known| known.began_at);
        self.known = Some(KnownPhase { lease, phase, began_at, confirmed_at: now });
    }

    /// Applies the notice of a peer or, if `is_group`, of a zone. Its order must be this one.
    pub fn observe_notice(
        &mut self,
        sender: (id::DaemonId, quantity::Incarnation),
        is_group: bool,
        notice: &RolloutNotice,
        now: time::MonotonicTime,
    ) {
        self.ordered_at = self.ordered_at.min(before(now, notice.order_age));
        self.is_vetoed |= notice.is_vetoed;
        if let Some(decision) = notice.decision {
            self.observe_decision(decision, now);
        }
        let report = self.peers.entry(sender).or_default();
        (report.settled, report.is_group) = (notice.settled, is_group);
        report.received_at = now;
        for counts in &notice.routes {
            let known = report.routes.entry(counts.route.clone()).or_default();
            known.route.clone_from(&counts.route);
            known.old = known.old.max(counts.old);
            known.new = known.new.max(counts.new);
        }
    }

    /// Adopts the phase in a notice if it is newer than the known one.
    fn observe_decision(&mut self, decision: PhaseDecision, now: time::MonotonicTime) {
        let confirmed_at = before(now, decision.confirmation_age);
        let PhaseDecision { lease, phase, phase_age, .. } = decision;
        let is_newer = self.known.is_none_or(|known| {
            !known.phase.is_final()
                && (phase.is_final()
                    || (lease, phase, confirmed_at)
                        >= (known.lease, known.phase, known.confirmed_at))
        });
        if is_newer {
            let began_at = match self.known.filter(|known| known.phase == phase) {
                Some(known) => known.began_at,
                None => before(now, phase_age),
            };
            self.known = Some(KnownPhase { lease, phase, began_at, confirmed_at });
        }
    }

    /// Returns the notice for peers, with the counts of this daemon or of its group.
    pub fn notice(&self, scope: NoticeScope, now: time::MonotonicTime) -> RolloutNotice {
        let decision = self.known.map(|known| PhaseDecision {
            lease: known.lease,
            phase: known.phase,
            phase_age: now.since(known.began_at),
            confirmation_age: now.since(known.confirmed_at),
        });
        let mut settled = u32::from(self.is_settled(now));
        let mut totals = self.local.clone();
        if scope == NoticeScope::Group {
            for report in self.peers.values().filter(|report| !report.is_group) {
                settled = settled.saturating_add(report.current_settled(now));
                add_totals(&mut totals, &report.routes);
            }
        }
        // An order that was carried out is announced without counts, which nobody needs any more.
        let is_final = self.phase().is_final();
        RolloutNotice {
            order: self.order.clone(),
            order_age: now.since(self.ordered_at),
            decision,
            is_vetoed: self.is_vetoed,
            settled,
            routes: if is_final { Vec::new() } else { totals.into_values().collect() },
        }
    }

    /// Returns whether this daemon sends everything to the new version and has no request in progress
    /// at another one.
    fn is_settled(&self, now: time::MonotonicTime) -> bool {
        let is_trusted = matches!(self.phase(), RolloutPhase::Trusted | RolloutPhase::Completed);
        is_trusted && self.is_confirmed(now) && !self.is_vetoed && self.old_in_progress == 0
    }

    /// Returns what peers should learn at once when it changes.
    pub fn urgent_state(&self, now: time::MonotonicTime) -> (RolloutPhase, bool, bool) {
        (self.phase(), self.is_vetoed, self.is_settled(now))
    }

    /// Returns the counts of all daemons by route.
    fn totals(&self) -> RouteTotals {
        let mut totals = self.local.clone();
        for report in self.peers.values() {
            add_totals(&mut totals, &report.routes);
        }
        totals
    }

    /// Judges the new version by what this daemon knows of all daemons, over the time since the order
    /// and over the last seconds. A bad verdict is final.
    pub fn judge(
        &mut self,
        limits: &ExposureLimits,
        now: time::MonotonicTime,
    ) -> Option<verdict::BadReason> {
        if self.is_vetoed || self.phase().is_final() {
            return None;
        }
        let totals = self.totals();
        let window = time::Millis::new((limits.rollback.get() / 2).clamp(1_000, 4_000));
        while self.snapshots.get(1).is_some_and(|(taken_at, _)| now.since(*taken_at) >= window) {
            self.snapshots.pop_front();
        }
        let earlier = self.snapshots.front().map(|(_, earlier)| earlier);
        let reason = verdict::judge(&totals, earlier);
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(taken_at, _)| now.since(*taken_at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, totals));
        }
        self.is_vetoed = reason.is_some();
        reason
    }
}

impl PeerReport {
    /// Returns the number of settled daemons in a report that is recent enough.
    fn current_settled(&self, now: time::MonotonicTime) -> u32 {
        if now.since(self.received_at) <= CONFIRMATION_TIMEOUT { self.settled } else { 0 }
    }
}

/// Returns the instant that lies `age` before `now`, or the start of the clock.
fn before(now: time::MonotonicTime, age: time::Millis) -> time::MonotonicTime {
    time::MonotonicTime::new(now.get().saturating_sub(age.get()))
}

fn add_totals(totals: &mut RouteTotals, added: &RouteTotals) {
    for (route, counts) in added {
        let total = totals.entry(route.clone()).or_default();
        total.route.clone_from(route);
        total.old = total.old.plus(counts.old);
        total.new = total.new.plus(counts.new);
    }
}
