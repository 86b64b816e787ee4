//! Demand of pools: what is in progress, and the peak of the last minutes.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::fleet;

/// Time in which half of a past peak is forgotten.
const HALF_LIFE: time::Millis = time::Millis::new(300_000);

/// Requests that a pool had at its peak.
#[derive(Clone, Copy, Debug)]
struct PeakDemand {
    requests: f64,
    noted: time::MonotonicTime,
}

/// Peaks of every pool.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    peaks: collections::BTreeMap<id::RecordId, PeakDemand>,
}

impl DemandTracker {
    /// Takes in what the pool's replicas run and keep waiting; returns the fading peak.
    pub fn update(
        &mut self,
        pool: &id::RecordId,
        replicas: &[fleet::FleetReplica],
        now: time::MonotonicTime,
    ) -> f64 {
        let of_pool = replicas.iter().filter(|replica| replica.pool == *pool);
        let present: u32 = of_pool.map(|replica| replica.load.running + replica.load.queued).sum();
        let fresh = PeakDemand { requests: 0.0, noted: now };
        let peak = self.peaks.entry(pool.clone()).or_insert(fresh);
        let age = now.since(peak.noted).get() as f64 / HALF_LIFE.get() as f64;
        peak.requests = (peak.requests * 0.5_f64.powf(age)).max(f64::from(present));
        peak.noted = now;
        peak.requests
    }
}
