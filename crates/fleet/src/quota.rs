//! Limits on workspaces that all daemons keep together.
//!
//! Answers two load patterns: a workspace within its limit whose large prompts come in lumps and
//! unevenly over daemons, and one that sends many times its limit. Every daemon mirrors one bucket for
//! the whole deployment: its own admissions count at once, those of peers as their digests tell them.
//! What may be admitted between two digests is shared by demand, so that not all daemons spend the
//! same units; as long as the window would bear a sudden rise of the demand, no daemon needs to mind
//! its share, which is less than one prompt where there are many. A silent peer is taken to go on as
//! before, since it may be cut off and serving.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::decay;
use crate::digest;
use crate::policy;

/// A silent peer is taken to go on for this long: longer than the cuts that daemons outlive.
const PEER_MEMORY: time::Millis = time::Millis::new(15_000);
/// A peer that was not heard for this long is silent: three digests were lost.
const SILENT_TIME: time::Millis = time::Millis::new(1_000);
/// Time in which measured rates fade to about a third.
const RATE_WINDOW: time::Millis = time::Millis::new(2_000);
/// Time after which peers know of an admission, before the exchange has said so: a digest's interval and
/// its way.
const TOLD_TIME: time::Millis = time::Millis::new(450);
/// For this long after its start a daemon has not heard of all others: it spends what one of the known
/// number may.
const WARM_TIME: time::Millis = time::Millis::new(2_500);
/// Daemons that a new one counts with before it has read who there are.
const UNKNOWN_DAEMONS: usize = 16;
/// Part of the whole rate that a daemon without demand counts with, so that its first requests pass.
const IDLE_PART: f64 = 0.02;
/// Part of the burst in a new bucket: a restarted daemon does not know what was spent.
const FIRST_FILL: f64 = 0.5;
/// Weight of a request in the average size: some twenty count.
const MEAN_WEIGHT: f64 = 0.05;
/// A workspace may send so many times what it sent before, from one instant on, until its daemons hear of
/// it from each other.
const RISE: f64 = 8.0;
/// Part of what a window may hold that is counted on; the rest is for what daemons don't know of each
/// other.
const WINDOW_PART: f64 = 0.95;
/// Width of the steps in which admissions of a window are forgotten.
const WINDOW_STEP: time::Millis = time::Millis::new(250);
/// Daemons that may run into debt at the same time. A prompt can be larger than what a daemon may
/// spend between two digests; all sizes pass alike where there is no debt yet.
const DEBTORS: f64 = 8.0;

/// Buckets of one daemon.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    buckets: collections::HashMap<id::WorkspaceId, QuotaBucket>,
    peers: collections::BTreeMap<id::DaemonId, PeerUse>,
    /// When the first limits were configured.
    started: Option<time::MonotonicTime>,
    daemons: usize,
    told_time: time::Millis,
    tolerance: QuotaTolerance,
}

/// What may be admitted in a window above a limit, since daemons hear late of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: time::Millis,
    /// Part of the rate and burst that may come on top.
    pub excess_ratio: f64,
    /// Units that may come on top besides.
    pub excess_units: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        QuotaTolerance { window: time::Millis::new(8_000), excess_ratio: 0.0, excess_units: 0.0 }
    }
}

impl QuotaTolerance {
    /// Units that may be admitted in a window.
    fn most(&self, rule: &policy::QuotaRule) -> f64 {
        let window = self.window.get() as f64 / 1_000.0;
        (rule.rate * window + rule.burst) * (1.0 + self.excess_ratio) + self.excess_units
    }
}

impl Default for QuotaLimiter {
    fn default() -> Self {
        QuotaLimiter {
            buckets: collections::HashMap::new(),
            peers: collections::BTreeMap::new(),
            started: None,
            daemons: UNKNOWN_DAEMONS,
            told_time: TOLD_TIME,
            tolerance: QuotaTolerance::default(),
        }
    }
}

/// How freely a daemon may spend.
#[derive(Clone, Copy, Debug)]
struct SpendingRule {
    /// Whether it has not heard of all others yet.
    is_warm: bool,
    /// Greatest part of what is left that is its own.
    most_part: f64,
    told_time: time::Millis,
    tolerance: QuotaTolerance,
}

#[derive(Clone, Debug)]
struct PeerUse {
    incarnation: quantity::Incarnation,
    at: time::MonotonicTime,
    lines: collections::HashMap<id::WorkspaceId, PeerLine>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerLine {
    /// Units admitted in the peer's life, as it told.
    total: f64,
    demand: f64,
    admitted: f64,
    /// Units that were taken off the bucket since, without having been told.
    assumed: f64,
}

#[derive(Clone, Debug)]
struct QuotaBucket {
    rule: policy::QuotaRule,
    /// Units left in the whole deployment, as far as is known here.
    level: f64,
    /// Part of this daemon in what is left.
    part: f64,
    /// Units a second that all daemons' callers ask for.
    all_demand: f64,
    total: f64,
    demand: decay::DecayingSum,
    admitted: decay::DecayingSum,
    /// Units of a request, on average.
    mean: f64,
    recent: collections::VecDeque<(time::MonotonicTime, f64)>,
    /// Units that all daemons are known to have admitted in the last window, by steps.
    spent: collections::VecDeque<(time::MonotonicTime, f64)>,
    at: time::MonotonicTime,
}

impl QuotaLimiter {
    /// A keeper of limits above which this may be admitted.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        QuotaLimiter { tolerance, ..QuotaLimiter::default() }
    }

    /// Takes over declared limits. A bucket whose limit was lowered loses what is above it.
    pub fn configure(
        &mut self,
        workspaces: &[sync::Arc<policy::WorkspaceRule>],
        now: time::MonotonicTime,
    ) {
        self.started.get_or_insert(now);
        let mut buckets = collections::HashMap::new();
        for workspace in workspaces {
            let Some(rule) = workspace.quota else { continue };
            let known = self.buckets.remove(&workspace.id);
            let mut bucket = known.unwrap_or_else(|| QuotaBucket::new(rule, now));
            bucket.rule = rule;
            bucket.level = bucket.level.min(rule.burst);
            buckets.insert(workspace.id.clone(), bucket);
        }
        self.buckets = buckets;
        self.share(now);
    }

    /// Takes over how many daemons there are, and after which time they know of an admission here.
    pub fn set_propagation(&mut self, daemons: usize, told_time: time::Millis) {
        self.daemons = daemons.max(1);
        self.told_time = told_time;
    }

    /// Takes over the use that a peer tells.
    pub fn observe_peer_demands(
        &mut self,
        daemon: &id::DaemonId,
        incarnation: quantity::Incarnation,
        lines: &[digest::WorkspaceDemand],
        now: time::MonotonicTime,
    ) {
        self.pass(now);
        let fresh = || PeerUse { incarnation, at: now, lines: collections::HashMap::new() };
        let is_known = self.peers.contains_key(daemon);
        let peer = self.peers.entry(daemon.clone()).or_insert_with(fresh);
        let is_new_life = std::mem::replace(&mut peer.incarnation, incarnation) != incarnation;
        peer.at = now;
        for line in lines {
            let known = peer.lines.entry(line.workspace.clone()).or_default();
            // What a peer admitted before it was known here was taken off by nobody, and is over.
            let before = match (is_known, is_new_life) {
                (false, _) => line.admitted_units,
                (true, true) => 0.0,
                (true, false) => known.total,
            };
            let told = (line.admitted_units - before).max(0.0);
            if let Some(bucket) = self.buckets.get_mut(&line.workspace) {
                bucket.level = (bucket.level - told + known.assumed).min(bucket.rule.burst);
                bucket.note_spent(told - known.assumed, now);
            }
            *known = PeerLine {
                total: line.admitted_units,
                demand: f64::from(line.requested_rate),
                admitted: f64::from(line.admitted_rate),
                assumed: 0.0,
            };
        }
        self.share(now);
    }

    /// Forgets a peer, whose totals start anew with what it tells next.
    pub fn remove_peer(&mut self, daemon: &id::DaemonId) {
        self.peers.remove(daemon);
    }

    /// Takes the units of one request, or says after which time there are some again. `draw` is a
    /// number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Refuses where the limit is used up.
    pub fn try_acquire(
        &mut self,
        workspace: &id::WorkspaceId,
        tokens: Option<u64>,
        draw: f64,
        now: time::MonotonicTime,
    ) -> Result<(), time::Millis> {
        let spending = self.spending(now);
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        pass_one(workspace, bucket, &mut self.peers, now);
        bucket.forget_told(self.told_time, now);
        bucket.forget_spent(self.tolerance.window, now);
        let units = bucket.units(tokens);
        bucket.demand.add(units, now);
        bucket.mean += MEAN_WEIGHT * (units - bucket.mean);
        if bucket.may_take(draw, &spending) {
            bucket.level -= units;
            bucket.total += units;
            bucket.admitted.add(units, now);
            bucket.note_spent(units, now);
            bucket.recent.push_back((now, units));
            return Ok(());
        }
        let wait = -bucket.level * 1_000.0 / bucket.rule.rate.max(1.0);
        Err(time::Millis::new(wait.max(0.0) as u64).max(self.told_time))
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, workspace: &id::WorkspaceId, tokens: Option<u64>) {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return };
        let units = bucket.units(tokens);
        bucket.level = (bucket.level + units).min(bucket.rule.burst);
        // Peers see a total that rises more slowly; it never falls by more than what was told.
        bucket.total -= units;
        if let Some((_, spent)) = bucket.spent.back_mut() {
            *spent -= units;
        }
    }

    /// State of a workspace's bucket, for the log.
    pub fn describe(&self, workspace: &id::WorkspaceId) -> String {
        let Some(bucket) = self.buckets.get(workspace) else { return String::new() };
        let QuotaBucket { rule, part, level, .. } = bucket;
        let demand = bucket.demand.per_second(bucket.at);
        format!("rate:{:.0},part:{part:.3},level:{level:.0},demand:{demand:.0}", rule.rate)
    }

    /// Use here, for the peers.
    pub fn local_demands(&mut self, now: time::MonotonicTime) -> Vec<digest::WorkspaceDemand> {
        self.pass(now);
        let line =
            |(workspace, bucket): (&id::WorkspaceId, &QuotaBucket)| digest::WorkspaceDemand {
                workspace: workspace.clone(),
                admitted_units: bucket.total,
                requested_rate: bucket.demand.per_second(now) as f32,
                admitted_rate: bucket.admitted.per_second(now) as f32,
            };
        self.buckets.iter().map(line).collect()
    }

    /// How freely this daemon may spend now.
    fn spending(&self, now: time::MonotonicTime) -> SpendingRule {
        let is_warm = self.started.is_none_or(|started| now.since(started) < WARM_TIME);
        let most_part = if is_warm { 1.0 / self.daemons as f64 } else { 1.0 };
        let (told_time, tolerance) = (self.told_time, self.tolerance);
        SpendingRule { is_warm, most_part, told_time, tolerance }
    }

    /// Fills the buckets up to now, and takes off what silent peers are assumed to admit.
    fn pass(&mut self, now: time::MonotonicTime) {
        for (workspace, bucket) in &mut self.buckets {
            pass_one(workspace, bucket, &mut self.peers, now);
        }
        self.peers.retain(|_, peer| now.since(peer.at) < PEER_MEMORY);
    }

    fn share(&mut self, now: time::MonotonicTime) {
        self.pass(now);
        for (workspace, bucket) in &mut self.buckets {
            let idle = bucket.rule.rate * IDLE_PART;
            let demand = |peer: &PeerUse| peer.lines.get(workspace).map_or(0.0, |line| line.demand);
            let others: f64 = self.peers.values().map(demand).sum();
            let own = bucket.demand.per_second(now);
            bucket.all_demand = own + others;
            let all = bucket.all_demand + idle * (self.peers.len() + 1) as f64;
            bucket.part = if all > 0.0 { (own + idle) / all } else { 1.0 };
        }
    }
}

fn pass_one(
    workspace: &id::WorkspaceId,
    bucket: &mut QuotaBucket,
    peers: &mut collections::BTreeMap<id::DaemonId, PeerUse>,
    now: time::MonotonicTime,
) {
    let passed = bucket.pass(now);
    if passed.get() == 0 {
        return;
    }
    for peer in peers.values_mut() {
        if now.since(peer.at) < SILENT_TIME {
            continue;
        }
        let Some(line) = peer.lines.get_mut(workspace) else { continue };
        let assumed = line.admitted * passed.get() as f64 / 1_000.0;
        line.assumed += assumed;
        bucket.level -= assumed;
        bucket.note_spent(assumed, now);
    }
}

impl QuotaBucket {
    fn new(rule: policy::QuotaRule, now: time::MonotonicTime) -> Self {
        QuotaBucket {
            rule,
            level: rule.burst * FIRST_FILL,
            part: 1.0,
            all_demand: 0.0,
            total: 0.0,
            demand: decay::DecayingSum::new(RATE_WINDOW),
            admitted: decay::DecayingSum::new(RATE_WINDOW),
            mean: 0.0,
            recent: collections::VecDeque::new(),
            spent: collections::VecDeque::new(),
            at: now,
        }
    }

    fn pass(&mut self, now: time::MonotonicTime) -> time::Millis {
        let passed = now.since(self.at);
        self.at = now;
        let filled = self.level + self.rule.rate * passed.get() as f64 / 1_000.0;
        self.level = filled.min(self.rule.burst);
        passed
    }

    /// Forgets admissions that the peers know of by now.
    fn forget_told(&mut self, told_time: time::Millis, now: time::MonotonicTime) {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= told_time) {
            self.recent.pop_front();
        }
    }

    /// Notes what all daemons admitted; what was only assumed is taken off again.
    fn note_spent(&mut self, units: f64, now: time::MonotonicTime) {
        match self.spent.back_mut() {
            Some((at, sum)) if now.since(*at) < WINDOW_STEP => *sum += units,
            _ => self.spent.push_back((now, units)),
        }
    }

    fn forget_spent(&mut self, window: time::Millis, now: time::MonotonicTime) {
        while self.spent.front().is_some_and(|(at, _)| now.since(*at) > window + WINDOW_STEP) {
            self.spent.pop_front();
        }
    }

    /// Whether a request passes; its own size does not count, so that all sizes pass alike.
    fn may_take(&self, draw: f64, spending: &SpendingRule) -> bool {
        if self.level <= 0.0 {
            return false;
        }
        // What is asked for may rise, and all of it is admitted until the daemons hear of each other.
        let untold = RISE * self.all_demand * spending.told_time.get() as f64 / 1_000.0;
        let spent: f64 = self.spent.iter().map(|(_, units)| *units).sum();
        let is_borne = spent + untold <= spending.tolerance.most(&self.rule) * WINDOW_PART;
        if is_borne && !spending.is_warm {
            return true;
        }
        let part = self.part.min(spending.most_part);
        let recent: f64 = self.recent.iter().map(|(_, units)| *units).sum();
        let left = part * (self.level + recent) - recent;
        left >= self.mean || (left > 0.0 && draw < part * DEBTORS)
    }

    fn units(&self, tokens: Option<u64>) -> f64 {
        if !self.rule.counts_tokens {
            return 1.0;
        }
        tokens.unwrap_or(self.rule.default_tokens) as f64
    }
}
