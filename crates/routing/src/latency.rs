//! Pace of replicas: how the time to the first token compares with a simple forecast.

use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::queue;

/// Prompt tokens that a replica computes in a millisecond, before its pace is known.
const PREFILL_TOKENS_PER_MS: f64 = 5.0;
/// Time of a request that waits for nothing, before the pace is known.
const OVERHEAD_MS: f64 = 10.0;
/// Time that each request before a new one adds, before the pace is known.
const EACH_REQUEST_MS: f64 = 10.0;
/// Duration of a request before any has ended.
const FIRST_DURATION_MS: f64 = 2_000.0;
/// Weight of a new sample in a replica's averages.
const REPLICA_WEIGHT: f64 = 0.15;
/// Weight of a new sample in a pool's average.
const POOL_WEIGHT: f64 = 0.02;
/// Samples after which a pool's average is settled.
const POOL_SETTLED_SAMPLES: u32 = 4;
/// A sample counts at most this many times a settled pool's average.
const POOL_SAMPLE_FACTOR: f64 = 2.0;
/// Time in which half of a replica's difference from its pool is forgotten: a replica that was
/// slow gets no requests, and without them nothing would show that it is well again.
const HALF_LIFE: time::Millis = time::Millis::new(5_000);
/// Bounds of one sample, so that a single one can't decide.
const SAMPLE_BOUNDS: (f64, f64) = (0.05, 50.0);

/// Milliseconds in which a replica of the usual pace computes the tokens.
pub fn compute_ms(tokens: quantity::TokenCount) -> f64 {
    tokens.get() as f64 / PREFILL_TOKENS_PER_MS
}

/// Forecast for a replica of pace 1: time to the first token, in milliseconds.
pub fn baseline_ttft_ms(
    queue: queue::QueueForecast,
    missing: quantity::TokenCount,
    concurrency: u32,
    duration_ms: f64,
) -> f64 {
    let slots = f64::from(concurrency.max(1));
    let slot_wait = (queue.requests + 1.0 - slots).max(0.0) * duration_ms / slots;
    let sharing = queue.requests * EACH_REQUEST_MS;
    let compute = compute_ms(queue.waiting_tokens) + compute_ms(missing);
    OVERHEAD_MS + sharing + compute + slot_wait
}

/// Pace of one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    ratio: f64,
    duration_ms: f64,
    samples: u32,
    sampled: time::MonotonicTime,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        LatencyEstimate {
            ratio: 1.0,
            duration_ms: FIRST_DURATION_MS,
            samples: 0,
            sampled: time::MonotonicTime::default(),
        }
    }
}

impl LatencyEstimate {
    /// Takes in one request: forecast, measured time to the first token, and whole duration.
    pub fn sample(
        &mut self,
        forecast_ms: f64,
        first: time::Millis,
        duration: time::Millis,
        now: time::MonotonicTime,
    ) {
        let ratio = sample_ratio(forecast_ms, first);
        let weight = if self.samples == 0 { 1.0 } else { REPLICA_WEIGHT };
        self.ratio += (ratio - self.ratio) * weight;
        self.duration_ms += (duration.get() as f64 - self.duration_ms) * weight;
        self.samples = self.samples.saturating_add(1);
        self.sampled = now;
    }

    /// Measured time over forecast, as of the last sample.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Measured time over forecast that is expected now; the pool's where nothing is known.
    pub fn expected_ratio(&self, pool: &PoolLatency, now: time::MonotonicTime) -> f64 {
        if self.samples == 0 {
            return pool.ratio();
        }
        let age = now.since(self.sampled).get() as f64 / HALF_LIFE.get() as f64;
        pool.ratio() + (self.ratio - pool.ratio()) * 0.5_f64.powf(age)
    }

    /// Average duration of a request in milliseconds.
    pub fn duration_ms(&self) -> f64 {
        self.duration_ms
    }

    /// Samples that were taken in.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Average pace of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLatency {
    ratio: f64,
    samples: u32,
}

impl Default for PoolLatency {
    fn default() -> Self {
        PoolLatency { ratio: 1.0, samples: 0 }
    }
}

impl PoolLatency {
    /// Takes in one request of any of the pool's replicas.
    pub fn sample(&mut self, forecast_ms: f64, first: time::Millis) {
        let mut ratio = sample_ratio(forecast_ms, first);
        if self.samples >= POOL_SETTLED_SAMPLES {
            // One slow replica must not raise the yardstick by which it is judged.
            ratio = ratio.min(self.ratio * POOL_SAMPLE_FACTOR);
        }
        self.samples = self.samples.saturating_add(1);
        // A plain mean until the moving average has enough samples to stand on.
        let weight = POOL_WEIGHT.max(1.0 / f64::from(self.samples));
        self.ratio += (ratio - self.ratio) * weight;
    }

    /// Measured time over forecast.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }
}

fn sample_ratio(forecast_ms: f64, first: time::Millis) -> f64 {
    let (least, greatest) = SAMPLE_BOUNDS;
    (first.get() as f64 / forecast_ms.max(1.0)).clamp(least, greatest)
}
