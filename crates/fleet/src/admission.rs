//! Refusal of requests that can't be served in time.
//!
//! The load pattern that matters is a burst beyond the capacity: prompts queue at the engines,
//! every first token is late and no caller is served in time. The least urgent requests are refused
//! first and at once, with the time after which the queue is expected to have drained.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

/// Prefill time per thousand prompt tokens that is assumed before any measurement, in ms.
const INITIAL_MS_PER_KTOKEN: f64 = 18.0;
/// Minimum and maximum prefill time per thousand prompt tokens, in ms, that the fit may yield.
const MS_PER_KTOKEN_RANGE: (f64, f64) = (2.0, 200.0);
/// Factor by which the weight of a sample decays with each further one; about the last hundred
/// count.
const SAMPLE_DECAY: f64 = 0.99;
/// Number of samples that the initial prefill time counts as, so that the first samples don't make
/// the estimate swing.
const PRIOR_SAMPLES: f64 = 5.0;
/// Decayed number of samples from which the minimum prefill time is tracked.
const MIN_SLOPE_SAMPLES: f64 = 50.0;
/// Relative rise of the minimum prefill time with each further sample, so that a change of the
/// engines is followed after some hundred samples.
const MIN_SLOPE_RISE: f64 = 0.002;
/// Multiple of the minimum prefill time above which a measured one is due to queues rather than to
/// the speed of the engines.
const MAX_SLOPE_RATIO: f64 = 1.5;
/// Multiple of the latency target that the estimate may reach, by priority. Estimates are about
/// right at the median, so the most urgent requests get room for error.
const TARGET_FACTORS: [f64; 4] = [2.0, 1.2, 0.8, 0.6];
/// Minimum and maximum Retry-After of a refusal, in ms.
const RETRY_AFTER_MS: (u64, u64) = (100, 4_000);
/// Maximum jitter of Retry-After, as a fraction of the wait, so that refused callers don't return
/// in a wave.
const RETRY_JITTER: f64 = 0.5;

/// Linear model of the time to first token (TTFT) of a service: a base for any first token and a
/// slope over prompt tokens. The model is a least-squares fit of recent samples with exponentially
/// decayed weights.
#[derive(Clone, Copy, Debug, Default)]
struct TtftModel {
    /// Decayed number of samples; the following sums are decayed in the same way.
    sample_count: f64,
    ktokens_sum: f64,
    ttft_ms_sum: f64,
    ktokens_squared_sum: f64,
    ktokens_ttft_ms_sum: f64,
    /// Minimum of the recent slopes, in ms per thousand tokens; `None` until there are enough
    /// samples.
    min_slope: Option<f64>,
}

impl TtftModel {
    /// Adds a sample: a first token after `ttft_ms`, behind `ktokens` thousand prompt tokens.
    fn observe(&mut self, ktokens: f64, ttft_ms: f64) {
        for sum in [
            &mut self.sample_count,
            &mut self.ktokens_sum,
            &mut self.ttft_ms_sum,
            &mut self.ktokens_squared_sum,
            &mut self.ktokens_ttft_ms_sum,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.sample_count += 1.0;
        self.ktokens_sum += ktokens;
        self.ttft_ms_sum += ttft_ms;
        self.ktokens_squared_sum += ktokens * ktokens;
        self.ktokens_ttft_ms_sum += ktokens * ttft_ms;
        if self.sample_count >= MIN_SLOPE_SAMPLES {
            let (_, slope) = self.fit();
            let raised_min = self.min_slope.map_or(slope, |min| min * (1.0 + MIN_SLOPE_RISE));
            self.min_slope = Some(raised_min.min(slope));
        }
    }

    /// Returns the slope without the queues of an overload, in ms per thousand tokens.
    fn prefill_slope(&self) -> f64 {
        let (_, slope) = self.fit();
        self.min_slope.map_or(slope, |min| slope.min(min * MAX_SLOPE_RATIO))
    }

    /// Returns the base in ms and the slope in ms per thousand tokens.
    fn fit(&self) -> (f64, f64) {
        if self.sample_count < 1.0 {
            return (0.0, INITIAL_MS_PER_KTOKEN);
        }
        let (mean_ktokens, mean_ttft_ms) =
            (self.ktokens_sum / self.sample_count, self.ttft_ms_sum / self.sample_count);
        let variance = self.ktokens_squared_sum - self.ktokens_sum * mean_ktokens;
        let covariance = self.ktokens_ttft_ms_sum - self.ktokens_sum * mean_ttft_ms;
        // The initial slope counts as samples with the same variance as the observed ones.
        let prior = PRIOR_SAMPLES / self.sample_count * variance;
        let slope = match variance > 0.0 {
            true => (covariance + prior * INITIAL_MS_PER_KTOKEN) / (variance + prior),
            false => INITIAL_MS_PER_KTOKEN,
        };
        let slope = slope.clamp(MS_PER_KTOKEN_RANGE.0, MS_PER_KTOKEN_RANGE.1);
        ((mean_ttft_ms - slope * mean_ktokens).max(0.0), slope)
    }
}

/// Estimates the time to first token (TTFT) by service.
#[derive(Clone, Debug, Default)]
pub struct TtftEstimator {
    models: collections::HashMap<id::ServiceId, TtftModel>,
}

/// Request to be admitted or refused.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// Service of the request.
    pub service: &'a id::ServiceId,
    /// Priority of the request.
    pub priority: quantity::PriorityLevel,
    /// Target time to the first token.
    pub ttft_target: time::Millis,
    /// Remaining time until the caller's deadline.
    pub deadline_left: time::Millis,
    /// Work that the chosen replica completes before the first token, in prompt tokens.
    pub tokens_ahead: f64,
    /// Uniform random number from 0 to 1 for the jitter of Retry-After.
    pub draw: f64,
}

impl TtftEstimator {
    /// Observes a first token that arrived after `ttft`, behind `tokens_ahead` prompt tokens.
    pub fn observe(&mut self, service: &id::ServiceId, tokens_ahead: f64, ttft: time::Millis) {
        let model = self.models.entry(service.clone()).or_default();
        model.observe(tokens_ahead / 1_000.0, ttft.get() as f64);
    }

    /// Returns the prefill time per thousand prompt tokens, in ms. Queues of an overload count
    /// little.
    pub fn prefill_ms_per_ktoken(&self, service: &id::ServiceId) -> f64 {
        self.models.get(service).copied().unwrap_or_default().prefill_slope()
    }

    /// Returns the estimated TTFT, in ms.
    pub fn estimate_ttft_ms(&self, service: &id::ServiceId, tokens_ahead: f64) -> f64 {
        let (base_ms, slope) = self.models.get(service).copied().unwrap_or_default().fit();
        base_ms + tokens_ahead * slope / 1_000.0
    }

    /// Admits a request whose estimated TTFT meets its deadline and the multiple of the target that
    /// is allowed for its priority.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may succeed if the request is refused.
    pub fn admit(&self, query: &AdmissionQuery<'_>) -> Result<(), time::Millis> {
        let ttft_ms = self.estimate_ttft_ms(query.service, query.tokens_ahead);
        let priority_index = usize::from(query.priority.get()).min(TARGET_FACTORS.len() - 1);
        let max_ttft_ms = (query.ttft_target.get() as f64 * TARGET_FACTORS[priority_index])
            .min(query.deadline_left.get() as f64);
        if ttft_ms <= max_ttft_ms {
            return Ok(());
        }
        // The wait lets the estimate fall to half of what the priority allows.
        Err(retry_after(ttft_ms - max_ttft_ms * 0.5, query.draw))
    }
}

/// Returns the Retry-After for an expected wait, with jitter and within bounds.
pub fn retry_after(wait_ms: f64, draw: f64) -> time::Millis {
    let jittered_ms = wait_ms * (1.0 + RETRY_JITTER * draw);
    time::Millis::new((jittered_ms as u64).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1))
}
