//! Demand of pools: an exponentially decayed peak of the requests in progress.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::fleet;

/// Half-life of a past peak.
const PEAK_HALF_LIFE: time::Millis = time::Millis::new(300_000);

/// Decayed peak of the requests in one pool.
#[derive(Clone, Copy, Debug)]
struct PeakDemand {
    /// Value of the peak at `updated_at`.
    requests: f64,
    updated_at: time::MonotonicTime,
}

/// Tracks the peak demand of every pool.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    peaks: collections::BTreeMap<id::RecordId, PeakDemand>,
}

impl DemandTracker {
    /// Records the running and queued requests of the replicas of a pool at `now` and returns the
    /// decayed peak.
    pub fn update(
        &mut self,
        pool: &id::RecordId,
        replicas: &[fleet::FleetReplica],
        now: time::MonotonicTime,
    ) -> f64 {
        let pool_replicas = replicas.iter().filter(|replica| replica.pool == *pool);
        let current_requests: u32 =
            pool_replicas.map(|replica| replica.load.running + replica.load.queued).sum();
        let initial = PeakDemand { requests: 0.0, updated_at: now };
        let peak = self.peaks.entry(pool.clone()).or_insert(initial);
        let age_half_lives = now.since(peak.updated_at).get() as f64 / PEAK_HALF_LIFE.get() as f64;
        peak.requests =
            (peak.requests * 0.5_f64.powf(age_half_lives)).max(f64::from(current_requests));
        peak.updated_at = now;
        peak.requests
    }
}
