//! Terms of a replica's score, in milliseconds of equivalent delay.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;

use crate::latency;
use crate::picker;

/// Part of the latency target that a forecast may use: forecasts err.
const TARGET_SHARE: f64 = 0.6;
/// Weight of a millisecond beyond the target.
const LATE_WEIGHT: f64 = 20.0;
/// Weight of recomputed work where the record weighs nothing else.
const RECOMPUTE_GAIN: f64 = 4.0;
/// Weight of price where the record weighs nothing else.
const PRICE_GAIN: f64 = 2.0;
/// Delay of a call into another availability zone and back.
const ZONE_DELAY_MS: f64 = 4.0;
/// Time that a request's decoding takes of its replica, next to computing its prompt.
const DECODE_SHARE_MS: f64 = 100.0;

/// What the score of one replica is made of.
#[derive(Clone, Copy, Debug)]
pub struct ScoreInput {
    /// Prompt tokens of the request.
    pub prompt_tokens: quantity::TokenCount,
    /// Prompt tokens that the replica is expected to have cached.
    pub expected_hit: quantity::TokenCount,
    /// Forecast of the time to the first token.
    pub ttft_ms: f64,
    /// Average duration of a request.
    pub duration_ms: f64,
    /// Price over the mean price of the service's replicas.
    pub relative_price: f64,
    /// Chance that the VM is reclaimed in the middle of a request.
    pub reclaim_risk: f64,
    /// Whether the replica is in the daemon's availability zone.
    pub is_local: bool,
}

/// Whether the forecast keeps the latency target with room for its error.
pub fn meets_target(first_ms: f64, target: &set::LatencyTarget) -> bool {
    first_ms <= target.first.get() as f64 * TARGET_SHARE
}

/// The terms.
pub fn terms(
    input: &ScoreInput,
    target: &set::LatencyTarget,
    weights: &set::GoalWeights,
) -> picker::ScoreTerms {
    let missing = input.prompt_tokens.get().saturating_sub(input.expected_hit.get());
    let compute_ms = latency::compute_ms(quantity::TokenCount::new(missing));
    let room_ms = target.first.get() as f64 * TARGET_SHARE;
    let late_ms = (input.ttft_ms - room_ms).max(0.0);
    let (cost_weight, recompute_weight) = normalised(weights);
    let work_ms = compute_ms + DECODE_SHARE_MS;
    picker::ScoreTerms {
        expected_hit: input.expected_hit,
        expected_ttft: time::Millis::new(input.ttft_ms.max(0.0) as u64),
        latency: input.ttft_ms + late_ms * LATE_WEIGHT,
        recompute: compute_ms * recompute_weight * RECOMPUTE_GAIN,
        price: work_ms * input.relative_price * cost_weight * PRICE_GAIN,
        reclaim: input.reclaim_risk * (compute_ms + input.duration_ms),
        distance: if input.is_local { 0.0 } else { ZONE_DELAY_MS },
    }
}

/// Weights that add up to 1; equal ones where the record gives none.
fn normalised(weights: &set::GoalWeights) -> (f64, f64) {
    let cost = f64::from(weights.cost.get());
    let recomputed = f64::from(weights.recomputed.get());
    let sum = cost + recomputed;
    if sum <= 0.0 {
        return (0.5, 0.5);
    }
    (cost / sum, recomputed / sum)
}
