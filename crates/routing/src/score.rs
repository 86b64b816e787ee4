//! Terms of the score of a replica, in milliseconds of equivalent delay.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;

use crate::latency;
use crate::picker;

/// Share of the latency target that a forecast may use; the rest is a margin for forecast errors.
const TARGET_SHARE: f64 = 0.6;
/// Additional weight of each millisecond beyond [`TARGET_SHARE`] of the latency target.
const EXCESS_LATENCY_WEIGHT: f64 = 20.0;
/// Weight of recomputed work if the record gives it the whole weight.
const RECOMPUTE_SCALE: f64 = 4.0;
/// Weight of the price if the record gives it the whole weight.
const PRICE_SCALE: f64 = 2.0;
/// Round-trip delay of a call to another availability zone.
const ZONE_ROUND_TRIP_MS: f64 = 4.0;
/// Time of the replica that is charged for the decoding of a request, in addition to its prefill.
const DECODE_CHARGE_MS: f64 = 100.0;

/// Inputs of the score of one replica.
#[derive(Clone, Copy, Debug)]
pub struct ScoreInput {
    /// Number of prompt tokens of the request.
    pub prompt_tokens: quantity::TokenCount,
    /// Number of prompt tokens that the replica is expected to have cached.
    pub expected_hit: quantity::TokenCount,
    /// Forecast of the time to the first token, in milliseconds.
    pub ttft_ms: f64,
    /// Average duration of a request at the replica, in milliseconds.
    pub duration_ms: f64,
    /// Price of the replica divided by the mean price of the replicas of the service.
    pub relative_price: f64,
    /// Probability that the VM is reclaimed during a request.
    pub reclaim_risk: f64,
    /// Whether the replica is in the availability zone of the daemon.
    pub is_local: bool,
}

/// Returns whether the forecast meets the latency target with a margin for forecast errors.
pub fn meets_target(ttft_ms: f64, target: &set::LatencyTarget) -> bool {
    ttft_ms <= target.first.get() as f64 * TARGET_SHARE
}

/// Returns the score terms of one replica.
pub fn terms(
    input: &ScoreInput,
    target: &set::LatencyTarget,
    weights: &set::GoalWeights,
) -> picker::ScoreTerms {
    let uncached_tokens = input.prompt_tokens.get().saturating_sub(input.expected_hit.get());
    let prefill_ms = latency::prefill_ms(quantity::TokenCount::new(uncached_tokens));
    let usable_target_ms = target.first.get() as f64 * TARGET_SHARE;
    let excess_ms = (input.ttft_ms - usable_target_ms).max(0.0);
    let (cost_weight, recompute_weight) = normalized_weights(weights);
    let work_ms = prefill_ms + DECODE_CHARGE_MS;
    picker::ScoreTerms {
        expected_hit: input.expected_hit,
        expected_ttft: time::Millis::new(input.ttft_ms.max(0.0) as u64),
        latency: input.ttft_ms + excess_ms * EXCESS_LATENCY_WEIGHT,
        recompute: prefill_ms * recompute_weight * RECOMPUTE_SCALE,
        price: work_ms * input.relative_price * cost_weight * PRICE_SCALE,
        reclaim: input.reclaim_risk * (prefill_ms + input.duration_ms),
        distance: if input.is_local { 0.0 } else { ZONE_ROUND_TRIP_MS },
    }
}

/// Returns the cost weight and the recompute weight, scaled to a sum of 1; both are 0.5 if the
/// record gives none.
fn normalized_weights(weights: &set::GoalWeights) -> (f64, f64) {
    let cost = f64::from(weights.cost.get());
    let recomputed = f64::from(weights.recomputed.get());
    let sum = cost + recomputed;
    if sum <= 0.0 {
        return (0.5, 0.5);
    }
    (cost / sum, recomputed / sum)
}
