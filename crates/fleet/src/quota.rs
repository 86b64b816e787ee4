//! Limits on workspaces that all daemons keep together.
//!
//! Answers the load pattern of one workspace that sends many times its limit, unevenly over daemons.
//! Each daemon has a bucket with its part of the rate and the burst. Parts follow demand, as the
//! peers' digests tell it; a peer that is silent keeps its part for a while, since it may be cut off
//! and still be serving.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::digest;
use crate::policy;

/// The demand of a silent peer counts for this long: longer than the cuts that daemons outlive.
const PEER_MEMORY: time::Millis = time::Millis::new(15_000);
/// Time in which measured demand fades to about a third.
const DEMAND_WINDOW: time::Millis = time::Millis::new(2_000);
/// Part of the whole rate that a daemon without demand counts with, so that its first requests pass.
const IDLE_PART: f64 = 0.02;
/// Part of the burst in a new bucket: a restarted daemon has spent what it had.
const FIRST_FILL: f64 = 0.3;

/// Buckets of one daemon.
#[derive(Clone, Debug, Default)]
pub struct QuotaKeeper {
    buckets: collections::HashMap<id::WorkspaceId, QuotaBucket>,
    peers: collections::BTreeMap<id::DaemonId, PeerDemand>,
}

#[derive(Clone, Debug)]
struct PeerDemand {
    at: time::MonotonicTime,
    demands: collections::HashMap<id::WorkspaceId, f64>,
}

#[derive(Clone, Debug)]
struct QuotaBucket {
    rule: policy::QuotaRule,
    part: f64,
    level: f64,
    demand: f64,
    at: time::MonotonicTime,
}

impl QuotaKeeper {
    /// Takes over declared limits. A bucket whose limit was lowered loses what is above it.
    pub fn configure(
        &mut self,
        workspaces: &[std::sync::Arc<policy::WorkspaceRule>],
        now: time::MonotonicTime,
    ) {
        let mut buckets = collections::HashMap::new();
        for workspace in workspaces {
            let Some(rule) = workspace.quota else { continue };
            let known = self.buckets.remove(&workspace.id);
            let mut bucket = known.unwrap_or_else(|| QuotaBucket::new(rule, now));
            bucket.rule = rule;
            bucket.level = bucket.level.min(rule.burst * bucket.part);
            buckets.insert(workspace.id.clone(), bucket);
        }
        self.buckets = buckets;
        self.share(now);
    }

    /// Takes over the demand that a peer tells.
    pub fn note_peer(
        &mut self,
        daemon: &id::DaemonId,
        lines: &[digest::DemandLine],
        now: time::MonotonicTime,
    ) {
        let demands =
            lines.iter().map(|line| (line.workspace.clone(), f64::from(line.demand))).collect();
        self.peers.insert(daemon.clone(), PeerDemand { at: now, demands });
        self.share(now);
    }

    /// Takes the units of one request, or says after which time there are enough.
    ///
    /// # Errors
    ///
    /// Refuses where this daemon's part of the limit is used up.
    pub fn take(
        &mut self,
        workspace: &id::WorkspaceId,
        tokens: Option<u64>,
        now: time::MonotonicTime,
    ) -> Result<(), time::Millis> {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        bucket.pass(now);
        let units = bucket.units(tokens);
        bucket.demand += units;
        let full = bucket.rule.burst * bucket.part;
        // A request larger than the whole bucket passes when the bucket is full.
        if bucket.level >= units.min(full) {
            bucket.level -= units;
            return Ok(());
        }
        let missing = units.min(full) - bucket.level;
        let rate = (bucket.rule.rate * bucket.part).max(1.0);
        Err(time::Millis::new((missing * 1_000.0 / rate) as u64))
    }

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, workspace: &id::WorkspaceId, tokens: Option<u64>) {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return };
        let units = bucket.units(tokens);
        bucket.level = (bucket.level + units).min(bucket.rule.burst * bucket.part);
    }

    /// Demand here, for the peers.
    pub fn lines(&mut self, now: time::MonotonicTime) -> Vec<digest::DemandLine> {
        let line = |(workspace, bucket): (&id::WorkspaceId, &mut QuotaBucket)| {
            bucket.pass(now);
            digest::DemandLine { workspace: workspace.clone(), demand: bucket.rate() as f32 }
        };
        self.buckets.iter_mut().map(line).collect()
    }

    /// Number of daemons that have a part.
    pub fn daemon_count(&self) -> usize {
        self.peers.len() + 1
    }

    fn share(&mut self, now: time::MonotonicTime) {
        self.peers.retain(|_, peer| now.since(peer.at) < PEER_MEMORY);
        for (workspace, bucket) in &mut self.buckets {
            bucket.pass(now);
            let idle = bucket.rule.rate * IDLE_PART;
            let others: f64 = self
                .peers
                .values()
                .map(|peer| peer.demands.get(workspace).copied().unwrap_or(0.0) + idle)
                .sum();
            let own = bucket.rate() + idle;
            bucket.part = if own + others > 0.0 { own / (own + others) } else { 1.0 };
        }
    }
}

impl QuotaBucket {
    fn new(rule: policy::QuotaRule, now: time::MonotonicTime) -> Self {
        QuotaBucket { rule, part: 1.0, level: rule.burst * FIRST_FILL, demand: 0.0, at: now }
    }

    fn pass(&mut self, now: time::MonotonicTime) {
        let passed = now.since(self.at).get() as f64;
        self.at = now;
        let filled = self.level + self.rule.rate * self.part * passed / 1_000.0;
        self.level = filled.min(self.rule.burst * self.part);
        self.demand *= (-passed / DEMAND_WINDOW.get() as f64).exp();
    }

    /// Units a second that callers ask for.
    fn rate(&self) -> f64 {
        self.demand * 1_000.0 / DEMAND_WINDOW.get() as f64
    }

    fn units(&self, tokens: Option<u64>) -> f64 {
        if !self.rule.counts_tokens {
            return 1.0;
        }
        tokens.unwrap_or(self.rule.plain_tokens) as f64
    }
}
