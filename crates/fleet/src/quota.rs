//! Quotas of workspaces that all daemons enforce together.
//!
//! Two load patterns matter: a workspace within its quota whose large prompts arrive in bursts and
//! unevenly over the daemons, and a workspace that sends many times its quota. A workspace has one
//! token bucket for the whole deployment, which every daemon mirrors. A daemon subtracts its own
//! admissions at once, and those of its peers as their digests report them. The units of a bucket
//! are tokens or requests, as its rule declares.
//!
//! The units that may be admitted between two digests are divided by demand, so that the daemons
//! don't all consume the same units. With many daemons a share is smaller than one prompt. Daemons
//! therefore ignore their shares as long as the tolerance window can absorb a sudden rise of the
//! demand. A silent peer is assumed to keep admitting at its last rate, since it may be partitioned
//! and still serving.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::decay;
use crate::digest;
use crate::policy;

/// Time for which a silent peer is assumed to keep admitting: longer than the network partitions
/// that daemons survive.
const SILENT_PEER_RETENTION: time::Millis = time::Millis::new(15_000);
/// Time since its last digest after which a peer counts as silent: at least two digest intervals.
const PEER_SILENT_AFTER: time::Millis = time::Millis::new(1_000);
/// Time constant of measured rates, which decay to about a third in this time.
const RATE_TIME_CONSTANT: time::Millis = time::Millis::new(2_000);
/// Propagation delay assumed until the digest exchange sets the actual one: a digest interval plus
/// the transit of the digest.
const INITIAL_PROPAGATION: time::Millis = time::Millis::new(450);
/// Time after the start in which a daemon may not have received digests of all others yet. In this
/// time its share of the units is at most that of an equal division among all daemons.
pub(crate) const WARM_UP_TIME: time::Millis = time::Millis::new(2_500);
/// Number of daemons assumed until the actual number is known.
const INITIAL_DAEMONS: usize = 16;
/// Fraction of the quota rate that is added to the demand of each daemon, so that the first
/// requests at a daemon without demand are admitted.
const IDLE_DEMAND_RATIO: f64 = 0.02;
/// Fraction of the burst in a new bucket: a restarted daemon does not know how much was consumed.
const INITIAL_FILL: f64 = 0.5;
/// Weight of a request in the moving average (EWMA) of request sizes, which covers about 20
/// requests.
const MEAN_UNITS_WEIGHT: f64 = 0.05;
/// Factor by which the demand of a workspace may rise suddenly, before the daemons learn of the
/// rise from each other.
const MAX_DEMAND_RISE: f64 = 8.0;
/// Fraction of the units allowed in a window up to which daemons ignore their shares. The rest
/// covers admissions that the daemons don't know of from each other yet.
const WINDOW_RATIO: f64 = 0.95;
/// Length of the steps in which the admissions of a window are counted and expire.
const WINDOW_STEP: time::Millis = time::Millis::new(250);
/// Expected number of daemons that run into debt if each has fewer units left than the average
/// request takes, and receives one request. Without debt, none of them could admit a request.
const EXPECTED_DEBTORS: f64 = 8.0;

/// Token buckets of one daemon, by workspace.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    buckets: collections::HashMap<id::WorkspaceId, QuotaBucket>,
    peers: PeerReports,
    /// When the first quotas were configured.
    started_at: Option<time::MonotonicTime>,
    daemon_count: usize,
    tolerance: QuotaTolerance,
}

/// Excess over a quota that may be admitted in a window, since daemons learn of each other's
/// admissions late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: time::Millis,
    /// Fraction of rate and burst that may be admitted in excess.
    pub excess_ratio: f64,
    /// Units that may be admitted in excess besides that fraction.
    pub excess_units: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        QuotaTolerance { window: time::Millis::new(8_000), excess_ratio: 0.0, excess_units: 0.0 }
    }
}

impl QuotaTolerance {
    /// Returns the maximum number of units admitted in a window.
    fn max_units(&self, rule: &policy::QuotaRule) -> f64 {
        let window = self.window.get() as f64 / 1_000.0;
        (rule.rate * window + rule.burst) * (1.0 + self.excess_ratio) + self.excess_units
    }
}

impl Default for QuotaLimiter {
    fn default() -> Self {
        QuotaLimiter {
            buckets: collections::HashMap::new(),
            peers: PeerReports::default(),
            started_at: None,
            daemon_count: INITIAL_DAEMONS,
            tolerance: QuotaTolerance::default(),
        }
    }
}

/// Constraints on the admissions of a daemon at one point in time.
#[derive(Clone, Copy, Debug)]
struct AdmissionBounds {
    /// Whether the daemon may not have received digests of all others yet.
    is_warming_up: bool,
    /// Maximum fraction of the remaining units that the daemon may admit.
    max_share: f64,
    propagation_delay: time::Millis,
    tolerance: QuotaTolerance,
}

/// Last demands reported by all peers. A digest costs time in proportion to its own demands, not to
/// the number of peers.
#[derive(Clone, Debug)]
struct PeerReports {
    /// Time until peers know of an admission at this daemon, and the other way round.
    propagation_delay: time::Millis,
    reports: collections::BTreeMap<id::DaemonId, PeerReport>,
    /// Peers that are assumed to keep admitting.
    silent: collections::BTreeSet<id::DaemonId>,
    /// Earliest time at which another peer can become silent.
    next_silence_at: time::MonotonicTime,
}

/// Last demands reported by a peer.
#[derive(Clone, Debug)]
struct PeerReport {
    incarnation: quantity::Incarnation,
    received_at: time::MonotonicTime,
    demands: collections::HashMap<id::WorkspaceId, PeerDemand>,
}

/// Demand of one workspace at a peer. The rates are in units per second.
#[derive(Clone, Copy, Debug, Default)]
struct PeerDemand {
    /// Units admitted in the current incarnation of the peer, as last reported.
    admitted_units: f64,
    requested_rate: f64,
    admitted_rate: f64,
    /// Units subtracted from the bucket since the last report, on the assumption that the silent
    /// peer keeps admitting.
    assumed_units: f64,
}

/// Token bucket of one workspace, mirrored by every daemon.
#[derive(Clone, Debug)]
struct QuotaBucket {
    rule: policy::QuotaRule,
    /// Units left in the whole deployment, as far as this daemon knows.
    level: f64,
    /// Units per second that callers of the peers request: the sum of their last reports.
    peer_demand: f64,
    /// Units per second that the peers admit: the sum of their last reports.
    peer_admitted_rate: f64,
    /// Units admitted by this daemon, less refunds.
    admitted_units: f64,
    /// Units requested at this daemon, for the rate of the demand.
    requested: decay::DecayingSum,
    /// Units admitted by this daemon, for the rate of the admissions.
    admitted: decay::DecayingSum,
    /// Moving average (EWMA) of the units of a request.
    mean_units: f64,
    /// Admissions of this daemon that its peers may not know of yet: time and units.
    unreported: collections::VecDeque<(time::MonotonicTime, f64)>,
    /// Units that all daemons admitted in the last window, as far as this daemon knows or assumes,
    /// by the start of the step.
    consumed: collections::VecDeque<(time::MonotonicTime, f64)>,
    refilled_at: time::MonotonicTime,
}

impl QuotaLimiter {
    /// Creates a limiter without buckets.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        QuotaLimiter { tolerance, ..QuotaLimiter::default() }
    }

    /// Applies declared quotas. A bucket whose quota was lowered loses the units above its new
    /// burst.
    pub fn configure(
        &mut self,
        workspaces: &[sync::Arc<policy::WorkspaceRule>],
        now: time::MonotonicTime,
    ) {
        self.started_at.get_or_insert(now);
        let mut buckets = collections::HashMap::new();
        for workspace in workspaces {
            let Some(rule) = workspace.quota else { continue };
            let existing = self.buckets.remove(&workspace.id);
            let mut bucket = existing.unwrap_or_else(|| QuotaBucket::new(rule, now));
            bucket.rule = rule;
            bucket.level = bucket.level.min(bucket.max_level(self.peers.propagation_delay));
            buckets.insert(workspace.id.clone(), bucket);
        }
        self.buckets = buckets;
        for (workspace, bucket) in &mut self.buckets {
            bucket.peer_demand = self.peers.sum(workspace, |demand| demand.requested_rate);
            bucket.peer_admitted_rate = self.peers.sum(workspace, |demand| demand.admitted_rate);
        }
    }

    /// Sets the number of daemons, and the delay after which peers know of an admission at this
    /// daemon.
    pub fn set_propagation(&mut self, daemon_count: usize, propagation_delay: time::Millis) {
        self.daemon_count = daemon_count.max(1);
        self.peers.propagation_delay = propagation_delay;
    }

    /// Applies the demands that a peer reports.
    pub fn observe_peer_demands(
        &mut self,
        daemon: &id::DaemonId,
        incarnation: quantity::Incarnation,
        demands: &[digest::WorkspaceDemand],
        now: time::MonotonicTime,
    ) {
        self.peers.update_silent(&mut self.buckets, now);
        for demand in demands {
            if let Some(bucket) = self.buckets.get_mut(&demand.workspace) {
                self.peers.advance_bucket(&demand.workspace, bucket, now);
            }
        }
        let propagation_delay = self.peers.propagation_delay;
        let is_known_peer = self.peers.reports.contains_key(daemon);
        let peer = self.peers.on_report(daemon, incarnation, now);
        let is_new_incarnation =
            std::mem::replace(&mut peer.incarnation, incarnation) != incarnation;
        for demand in demands {
            let peer_demand = peer.demands.entry(demand.workspace.clone()).or_default();
            // Units that a peer admitted before its first report are not subtracted. In a new
            // incarnation, a peer counts its admissions from 0.
            let previous_units = match (is_known_peer, is_new_incarnation) {
                (false, _) => demand.admitted_units,
                (true, true) => 0.0,
                (true, false) => peer_demand.admitted_units,
            };
            let newly_admitted = (demand.admitted_units - previous_units).max(0.0);
            let requested_rate = f64::from(demand.requested_rate);
            let admitted_rate = f64::from(demand.admitted_rate);
            if let Some(bucket) = self.buckets.get_mut(&demand.workspace) {
                bucket.add_peer_demand(
                    requested_rate - peer_demand.requested_rate,
                    admitted_rate - peer_demand.admitted_rate,
                );
                bucket.level = (bucket.level - newly_admitted + peer_demand.assumed_units)
                    .min(bucket.max_level(propagation_delay));
                bucket.count_consumed(newly_admitted - peer_demand.assumed_units, now);
            }
            *peer_demand = PeerDemand {
                admitted_units: demand.admitted_units,
                requested_rate,
                admitted_rate,
                assumed_units: 0.0,
            };
        }
    }

    /// Removes a peer. Units that it admitted before its next report are not subtracted.
    pub fn remove_peer(&mut self, daemon: &id::DaemonId) {
        self.peers.remove(daemon, &mut self.buckets);
    }

    /// Takes the units of one request from the bucket of a workspace. `draw`, a uniform random
    /// number from 0 to 1, decides whether the request may run into debt. Requests of a workspace
    /// without a quota are always admitted.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may succeed if the quota is used up.
    pub fn try_acquire(
        &mut self,
        workspace: &id::WorkspaceId,
        tokens: Option<u64>,
        draw: f64,
        now: time::MonotonicTime,
    ) -> Result<(), time::Millis> {
        let bounds = self.bounds(now);
        self.peers.update_silent(&mut self.buckets, now);
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        self.peers.advance_bucket(workspace, bucket, now);
        let demand = bucket.demand(self.peers.reports.len(), now);
        bucket.expire_unreported(self.peers.propagation_delay, now);
        bucket.expire_consumed(self.tolerance.window, now);
        let units = bucket.units(tokens);
        bucket.requested.add(units, now);
        bucket.mean_units += MEAN_UNITS_WEIGHT * (units - bucket.mean_units);
        if bucket.may_admit(draw, &demand, &bounds) {
            bucket.level -= units;
            bucket.admitted_units += units;
            bucket.admitted.add(units, now);
            bucket.count_consumed(units, now);
            bucket.unreported.push_back((now, units));
            return Ok(());
        }
        let wait = -bucket.level * 1_000.0 / bucket.rule.rate.max(1.0);
        Err(time::Millis::new(wait.max(0.0) as u64).max(self.peers.propagation_delay))
    }

    /// Returns the units of a request that was admitted at `admitted_at` and did not run.
    pub fn refund(
        &mut self,
        workspace: &id::WorkspaceId,
        tokens: Option<u64>,
        admitted_at: time::MonotonicTime,
    ) {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return };
        let units = bucket.units(tokens);
        bucket.level = (bucket.level + units).min(bucket.max_level(self.peers.propagation_delay));
        // Peers subtract the rise of this total from one report to the next, and ignore a fall.
        bucket.admitted_units -= units;
        let mut steps = bucket.consumed.iter_mut().rev();
        if let Some((_, consumed)) = steps.find(|(start, _)| *start <= admitted_at) {
            *consumed -= units;
        }
    }

    /// Formats the state of a workspace's bucket for the log.
    pub fn describe(&self, workspace: &id::WorkspaceId) -> String {
        let Some(bucket) = self.buckets.get(workspace) else { return String::new() };
        let QuotaBucket { rule, level, .. } = bucket;
        let share = bucket.demand(self.peers.reports.len(), bucket.refilled_at).share;
        let demand = bucket.requested.per_second(bucket.refilled_at);
        format!("rate:{:.0},part:{share:.3},level:{level:.0},demand:{demand:.0}", rule.rate)
    }

    /// Returns the demands at this daemon, to report them to the peers.
    pub fn local_demands(&mut self, now: time::MonotonicTime) -> Vec<digest::WorkspaceDemand> {
        self.advance(now);
        let demand =
            |(workspace, bucket): (&id::WorkspaceId, &QuotaBucket)| digest::WorkspaceDemand {
                workspace: workspace.clone(),
                admitted_units: bucket.admitted_units,
                requested_rate: bucket.requested.per_second(now) as f32,
                admitted_rate: bucket.admitted.per_second(now) as f32,
            };
        self.buckets.iter().map(demand).collect()
    }

    /// Returns the constraints on the admissions of this daemon at `now`.
    fn bounds(&self, now: time::MonotonicTime) -> AdmissionBounds {
        let is_warming_up =
            self.started_at.is_none_or(|started_at| now.since(started_at) < WARM_UP_TIME);
        let max_share = if is_warming_up { 1.0 / self.daemon_count as f64 } else { 1.0 };
        let (propagation_delay, tolerance) = (self.peers.propagation_delay, self.tolerance);
        AdmissionBounds { is_warming_up, max_share, propagation_delay, tolerance }
    }

    /// Refills the buckets up to `now`, subtracts the units that silent peers are assumed to admit,
    /// and removes the peers that have been silent for too long.
    fn advance(&mut self, now: time::MonotonicTime) {
        self.peers.update_silent(&mut self.buckets, now);
        for (workspace, bucket) in &mut self.buckets {
            self.peers.advance_bucket(workspace, bucket, now);
        }
    }
}

impl Default for PeerReports {
    fn default() -> Self {
        PeerReports {
            propagation_delay: INITIAL_PROPAGATION,
            reports: collections::BTreeMap::new(),
            silent: collections::BTreeSet::new(),
            next_silence_at: time::MonotonicTime::default(),
        }
    }
}

impl PeerReports {
    /// Observes that a peer reported. Returns its last report.
    fn on_report(
        &mut self,
        daemon: &id::DaemonId,
        incarnation: quantity::Incarnation,
        now: time::MonotonicTime,
    ) -> &mut PeerReport {
        self.silent.remove(daemon);
        self.next_silence_at = self.next_silence_at.min(now + PEER_SILENT_AFTER);
        let new_report =
            || PeerReport { incarnation, received_at: now, demands: collections::HashMap::new() };
        let report = self.reports.entry(daemon.clone()).or_insert_with(new_report);
        report.received_at = now;
        report
    }

    /// Finds the peers that are silent, and removes those that have been for too long.
    fn update_silent(
        &mut self,
        buckets: &mut collections::HashMap<id::WorkspaceId, QuotaBucket>,
        now: time::MonotonicTime,
    ) {
        if now >= self.next_silence_at {
            let silence_at = |report: &PeerReport| report.received_at + PEER_SILENT_AFTER;
            let silent = self.reports.iter().filter(|(_, report)| silence_at(report) <= now);
            self.silent = silent.map(|(daemon, _)| daemon.clone()).collect();
            let later = self.reports.values().map(silence_at).filter(|at| *at > now);
            self.next_silence_at = later.min().unwrap_or(now + PEER_SILENT_AFTER);
        }
        while let Some(daemon) = self.first_expired(now) {
            let workspaces = self.reports[&daemon].demands.keys().cloned().collect::<Vec<_>>();
            for workspace in workspaces {
                if let Some(bucket) = buckets.get_mut(&workspace) {
                    self.advance_bucket(&workspace, bucket, now);
                }
            }
            self.remove(&daemon, buckets);
        }
    }

    /// Returns a peer that is no longer assumed to admit.
    fn first_expired(&self, now: time::MonotonicTime) -> Option<id::DaemonId> {
        let received_at =
            |daemon: &&id::DaemonId| self.reports.get(*daemon).map(|report| report.received_at);
        let is_expired = |daemon: &&id::DaemonId| {
            received_at(daemon).is_none_or(|at| now.since(at) >= SILENT_PEER_RETENTION)
        };
        self.silent.iter().find(is_expired).cloned()
    }

    fn remove(
        &mut self,
        daemon: &id::DaemonId,
        buckets: &mut collections::HashMap<id::WorkspaceId, QuotaBucket>,
    ) {
        self.silent.remove(daemon);
        let Some(report) = self.reports.remove(daemon) else { return };
        for (workspace, demand) in report.demands {
            if let Some(bucket) = buckets.get_mut(&workspace) {
                bucket.add_peer_demand(-demand.requested_rate, -demand.admitted_rate);
            }
        }
    }

    /// Returns the sum of what the peers report of a workspace.
    fn sum(&self, workspace: &id::WorkspaceId, value: impl Fn(&PeerDemand) -> f64) -> f64 {
        let demands = self.reports.values().filter_map(|report| report.demands.get(workspace));
        demands.map(value).sum()
    }

    /// Refills a bucket up to `now` and subtracts the units that silent peers are assumed to admit.
    fn advance_bucket(
        &mut self,
        workspace: &id::WorkspaceId,
        bucket: &mut QuotaBucket,
        now: time::MonotonicTime,
    ) {
        let refilled_at = bucket.refilled_at;
        if bucket.refill(self.propagation_delay, now).get() == 0 {
            return;
        }
        for daemon in &self.silent {
            let Some(report) = self.reports.get_mut(daemon) else { continue };
            let silent_since = report.received_at + PEER_SILENT_AFTER;
            let Some(demand) = report.demands.get_mut(workspace) else { continue };
            let elapsed = now.since(refilled_at.max(silent_since));
            let assumed = demand.admitted_rate * elapsed.get() as f64 / 1_000.0;
            demand.assumed_units += assumed;
            bucket.level -= assumed;
            bucket.count_consumed(assumed, now);
        }
    }
}

/// Demand for a bucket.
#[derive(Clone, Copy, Debug)]
struct BucketDemand {
    /// Units per second that callers of all daemons request.
    total: f64,
    /// Fraction of the remaining units that this daemon may admit.
    share: f64,
}

impl QuotaBucket {
    fn new(rule: policy::QuotaRule, now: time::MonotonicTime) -> Self {
        QuotaBucket {
            rule,
            level: rule.burst * INITIAL_FILL,
            peer_demand: 0.0,
            peer_admitted_rate: 0.0,
            admitted_units: 0.0,
            requested: decay::DecayingSum::new(RATE_TIME_CONSTANT),
            admitted: decay::DecayingSum::new(RATE_TIME_CONSTANT),
            mean_units: 0.0,
            unreported: collections::VecDeque::new(),
            consumed: collections::VecDeque::new(),
            refilled_at: now,
        }
    }

    /// Refills the bucket up to `now`. Returns the time since the last refill.
    fn refill(
        &mut self,
        propagation_delay: time::Millis,
        now: time::MonotonicTime,
    ) -> time::Millis {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        let filled = self.level + self.rule.rate * elapsed.get() as f64 / 1_000.0;
        self.level = filled.min(self.max_level(propagation_delay));
        elapsed
    }

    /// Returns the level at which the bucket is full. It is above the burst by the units that peers
    /// are expected to have admitted without this daemon knowing yet: a lower one would drop refills
    /// that these units have used, and with them a part of the quota.
    fn max_level(&self, propagation_delay: time::Millis) -> f64 {
        self.rule.burst + self.unreported_by_peers(propagation_delay)
    }

    /// Returns the units that peers are expected to have admitted and not reported yet.
    fn unreported_by_peers(&self, propagation_delay: time::Millis) -> f64 {
        self.peer_admitted_rate * propagation_delay.get() as f64 / 1_000.0
    }

    /// Returns the demand, and this daemon's share of the remaining units by the demands of all
    /// daemons.
    fn demand(&self, peer_count: usize, now: time::MonotonicTime) -> BucketDemand {
        let idle_demand = self.rule.rate * IDLE_DEMAND_RATIO;
        let local = self.requested.per_second(now);
        let total = local + self.peer_demand;
        let adjusted_total = total + idle_demand * (peer_count + 1) as f64;
        let share = if adjusted_total > 0.0 { (local + idle_demand) / adjusted_total } else { 1.0 };
        BucketDemand { total, share }
    }

    /// Adds changes of a peer's requested and admitted rates, in units per second.
    fn add_peer_demand(&mut self, requested_change: f64, admitted_change: f64) {
        // Rounding must not leave a rate below 0.
        self.peer_demand = (self.peer_demand + requested_change).max(0.0);
        self.peer_admitted_rate = (self.peer_admitted_rate + admitted_change).max(0.0);
    }

    /// Drops admissions of this daemon that its peers know of by `now`.
    fn expire_unreported(&mut self, propagation_delay: time::Millis, now: time::MonotonicTime) {
        while self
            .unreported
            .front()
            .is_some_and(|(admitted_at, _)| now.since(*admitted_at) >= propagation_delay)
        {
            self.unreported.pop_front();
        }
    }

    /// Counts units admitted by any daemon. A negative count corrects an assumption about a silent
    /// peer.
    fn count_consumed(&mut self, units: f64, now: time::MonotonicTime) {
        match self.consumed.back_mut() {
            Some((start, step_units)) if now.since(*start) < WINDOW_STEP => *step_units += units,
            _ => self.consumed.push_back((now, units)),
        }
    }

    /// Drops consumption that lies before the window ending at `now`.
    fn expire_consumed(&mut self, window: time::Millis, now: time::MonotonicTime) {
        while self
            .consumed
            .front()
            .is_some_and(|(start, _)| now.since(*start) > window + WINDOW_STEP)
        {
            self.consumed.pop_front();
        }
    }

    /// Whether a request is admitted. The size of the request does not count, so that all sizes are
    /// admitted alike.
    fn may_admit(&self, draw: f64, demand: &BucketDemand, bounds: &AdmissionBounds) -> bool {
        if self.level <= 0.0 {
            return false;
        }
        // The demand may rise suddenly, and all of it is admitted until the daemons learn of each
        // other's admissions.
        let unknown_units =
            MAX_DEMAND_RISE * demand.total * bounds.propagation_delay.get() as f64 / 1_000.0;
        let consumed: f64 = self.consumed.iter().map(|(_, units)| *units).sum();
        let is_absorbed =
            consumed + unknown_units <= bounds.tolerance.max_units(&self.rule) * WINDOW_RATIO;
        if is_absorbed && !bounds.is_warming_up {
            return true;
        }
        // What peers admit at present counts as well, as their rates are those of some seconds ago.
        let known_units = consumed + self.unreported_by_peers(bounds.propagation_delay);
        if self.level > self.rule.burst
            && known_units > bounds.tolerance.max_units(&self.rule) * WINDOW_RATIO
        {
            return false;
        }
        let share = demand.share.min(bounds.max_share);
        let unreported: f64 = self.unreported.iter().map(|(_, units)| *units).sum();
        let remaining = share * (self.level + unreported) - unreported;
        remaining >= self.mean_units || (remaining > 0.0 && draw < share * EXPECTED_DEBTORS)
    }

    /// Returns the units of a request with this number of tokens, if it declares one.
    fn units(&self, tokens: Option<u64>) -> f64 {
        if !self.rule.counts_tokens {
            return 1.0;
        }
        tokens.unwrap_or(self.rule.default_tokens) as f64
    }
}
