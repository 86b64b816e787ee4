//! Latency of replicas: the ratio of the measured time to first token (TTFT) to the TTFT that is
//! forecast for a replica of baseline speed.

use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::queue;

/// Prompt tokens that a replica of baseline speed computes per millisecond.
const BASELINE_PREFILL_TOKENS_PER_MS: f64 = 5.0;
/// Fixed TTFT overhead of a request at a replica of baseline speed.
const BASELINE_OVERHEAD_MS: f64 = 10.0;
/// TTFT that each queued or running request adds to a new one at a replica of baseline speed.
const BASELINE_QUEUE_MS_PER_REQUEST: f64 = 10.0;
/// Assumed duration of a request before the first one has ended.
const INITIAL_DURATION_MS: f64 = 2_000.0;
/// Weight of a new sample in the moving averages of a replica.
const REPLICA_SAMPLE_WEIGHT: f64 = 0.15;
/// Minimum weight of a new sample in the moving average of a pool.
const MIN_POOL_SAMPLE_WEIGHT: f64 = 0.02;
/// Number of samples after which the average of a pool is settled: it then bounds new samples.
const SETTLED_POOL_SAMPLES: u32 = 4;
/// Upper bound of the ratio of a sample, as a multiple of the settled average of the pool.
const MAX_POOL_SAMPLE_FACTOR: f64 = 2.0;
/// Half-life of the difference between the ratio of a replica and that of its pool. The difference
/// decays because a slow replica gets no requests, so that no new sample would show its recovery.
const DIFFERENCE_HALF_LIFE: time::Millis = time::Millis::new(5_000);
/// Lower and upper bound of the ratio of one sample, which limit the effect of an outlier.
const SAMPLE_RATIO_BOUNDS: (f64, f64) = (0.05, 50.0);

/// Returns the time in which a replica of baseline speed computes prompt tokens, in milliseconds.
pub fn prefill_ms(tokens: quantity::TokenCount) -> f64 {
    tokens.get() as f64 / BASELINE_PREFILL_TOKENS_PER_MS
}

/// Returns the TTFT forecast for a replica of baseline speed (ratio 1), in milliseconds.
///
/// The replica runs `concurrency` requests at a time, each for `duration_ms` on average.
pub fn baseline_ttft_ms(
    queue: queue::QueueForecast,
    uncached_tokens: quantity::TokenCount,
    concurrency: u32,
    duration_ms: f64,
) -> f64 {
    let batch_slots = f64::from(concurrency.max(1));
    let slot_wait_ms = (queue.requests + 1.0 - batch_slots).max(0.0) * duration_ms / batch_slots;
    let queue_ms = queue.requests * BASELINE_QUEUE_MS_PER_REQUEST;
    let compute_ms = prefill_ms(queue.waiting_tokens) + prefill_ms(uncached_tokens);
    BASELINE_OVERHEAD_MS + queue_ms + compute_ms + slot_wait_ms
}

/// Latency of one replica, as exponentially weighted moving averages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// Ratio of measured to forecast TTFT.
    ratio: f64,
    /// Duration of a request.
    duration_ms: f64,
    samples: u32,
    sampled_at: time::MonotonicTime,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        LatencyEstimate {
            ratio: 1.0,
            duration_ms: INITIAL_DURATION_MS,
            samples: 0,
            sampled_at: time::MonotonicTime::default(),
        }
    }
}

impl LatencyEstimate {
    /// Records one request: its forecast and measured TTFT, and its total duration.
    pub fn sample(
        &mut self,
        forecast_ms: f64,
        ttft: time::Millis,
        duration: time::Millis,
        now: time::MonotonicTime,
    ) {
        let ratio = sample_ratio(forecast_ms, ttft);
        let weight = if self.samples == 0 { 1.0 } else { REPLICA_SAMPLE_WEIGHT };
        self.ratio += (ratio - self.ratio) * weight;
        self.duration_ms += (duration.get() as f64 - self.duration_ms) * weight;
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
    }

    /// Returns the ratio of measured to forecast TTFT as of the last sample.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the ratio of measured to forecast TTFT that is expected now; without samples, that
    /// of the pool.
    pub fn expected_ratio(&self, pool: &PoolLatency, now: time::MonotonicTime) -> f64 {
        if self.samples == 0 {
            return pool.ratio();
        }
        let age_half_lives =
            now.since(self.sampled_at).get() as f64 / DIFFERENCE_HALF_LIFE.get() as f64;
        pool.ratio() + (self.ratio - pool.ratio()) * 0.5_f64.powf(age_half_lives)
    }

    /// Returns the average duration of a request in milliseconds.
    pub fn duration_ms(&self) -> f64 {
        self.duration_ms
    }

    /// Returns the number of recorded samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Average latency of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLatency {
    /// Ratio of measured to forecast TTFT.
    ratio: f64,
    samples: u32,
}

impl Default for PoolLatency {
    fn default() -> Self {
        PoolLatency { ratio: 1.0, samples: 0 }
    }
}

impl PoolLatency {
    /// Records one request of any replica of the pool.
    pub fn sample(&mut self, forecast_ms: f64, ttft: time::Millis) {
        let mut ratio = sample_ratio(forecast_ms, ttft);
        if self.samples >= SETTLED_POOL_SAMPLES {
            // Prevents one slow replica from raising the average that it is compared with.
            ratio = ratio.min(self.ratio * MAX_POOL_SAMPLE_FACTOR);
        }
        self.samples = self.samples.saturating_add(1);
        // Uses the arithmetic mean until there are enough samples for the moving average.
        let weight = MIN_POOL_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.ratio += (ratio - self.ratio) * weight;
    }

    /// Returns the average ratio of measured to forecast TTFT.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }
}

fn sample_ratio(forecast_ms: f64, ttft: time::Millis) -> f64 {
    let (min, max) = SAMPLE_RATIO_BOUNDS;
    (ttft.get() as f64 / forecast_ms.max(1.0)).clamp(min, max)
}
