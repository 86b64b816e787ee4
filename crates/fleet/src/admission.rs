//! Refusal of requests that can't be answered in time.
//!
//! Answers the load pattern of a burst over the capacity: prompts queue at the engines, every first
//! token is late and nobody is served. The least urgent requests are refused first, at once, with the
//! time after which the queue will be worked off.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

/// Time of an engine for a thousand prompt tokens before any was measured, in ms; between the two
/// engines that we have figures of.
const FIRST_MS_PER_KTOKEN: f64 = 18.0;
/// Bounds of what is believed of an engine.
const MS_PER_KTOKEN: (f64, f64) = (2.0, 200.0);
/// Part of the weight that a sample keeps with each further one: some hundred count.
const SAMPLE_KEPT: f64 = 0.99;
/// Samples that are worth a guess before any: the first ones must not throw the forecast about.
const PRIOR_SAMPLES: f64 = 5.0;
/// Samples after which the least time for a thousand tokens is known.
const LEAST_SAMPLES: f64 = 50.0;
/// The least time rises by this part with each further sample, so that a change of the engines is believed
/// after some hundred.
const LEAST_RISE: f64 = 0.002;
/// Times over the least one by more than this are queues, not the engines' pace.
const PACE_OVER_LEAST: f64 = 1.5;
/// Parts of the target latency that the forecast may reach, by urgency; forecasts are about right at
/// the median, so the most urgent requests are given room for error.
const PATIENCE: [f64; 4] = [2.0, 1.2, 0.8, 0.6];
/// Bounds of the time after which a refused caller may come back.
const RETRY_AFTER: (u64, u64) = (100, 4_000);
/// Returning callers are spread over this part of the time on top, so that they don't come as a wave.
const RETRY_SPREAD: f64 = 0.5;

/// What engines of a service take for prompts: a line through the first tokens of late, with a base
/// for any first token and a slope by prompt tokens.
#[derive(Clone, Copy, Debug, Default)]
struct EnginePace {
    samples: f64,
    ktokens: f64,
    first_ms: f64,
    ktokens_squared: f64,
    product: f64,
    /// Least slope of late, in ms for a thousand tokens; none before there were enough samples.
    least: Option<f64>,
}

impl EnginePace {
    fn sample(&mut self, ktokens: f64, first_ms: f64) {
        for sum in [
            &mut self.samples,
            &mut self.ktokens,
            &mut self.first_ms,
            &mut self.ktokens_squared,
            &mut self.product,
        ] {
            *sum *= SAMPLE_KEPT;
        }
        self.samples += 1.0;
        self.ktokens += ktokens;
        self.first_ms += first_ms;
        self.ktokens_squared += ktokens * ktokens;
        self.product += ktokens * first_ms;
        if self.samples >= LEAST_SAMPLES {
            let (_, slope) = self.line();
            let before = self.least.map_or(slope, |least| least * (1.0 + LEAST_RISE));
            self.least = Some(before.min(slope));
        }
    }

    /// Slope without the queues of an overload, in ms for a thousand tokens.
    fn engine_slope(&self) -> f64 {
        let (_, slope) = self.line();
        self.least.map_or(slope, |least| slope.min(least * PACE_OVER_LEAST))
    }

    /// Base in ms and slope in ms for a thousand tokens.
    fn line(&self) -> (f64, f64) {
        if self.samples < 1.0 {
            return (0.0, FIRST_MS_PER_KTOKEN);
        }
        let (mean_x, mean_y) = (self.ktokens / self.samples, self.first_ms / self.samples);
        let spread = self.ktokens_squared - self.ktokens * mean_x;
        let common = self.product - self.ktokens * mean_y;
        // The guess counts as samples with the same spread as those that came.
        let prior = PRIOR_SAMPLES / self.samples * spread;
        let slope = match spread > 0.0 {
            true => (common + prior * FIRST_MS_PER_KTOKEN) / (spread + prior),
            false => FIRST_MS_PER_KTOKEN,
        };
        let slope = slope.clamp(MS_PER_KTOKEN.0, MS_PER_KTOKEN.1);
        ((mean_y - slope * mean_x).max(0.0), slope)
    }
}

/// Forecasts of first tokens, by service.
#[derive(Clone, Debug, Default)]
pub struct TtftEstimator {
    paces: collections::HashMap<id::ServiceId, EnginePace>,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// The service.
    pub service: &'a id::ServiceId,
    /// Its urgency.
    pub priority: quantity::PriorityLevel,
    /// Time to the first token that counts as on time.
    pub ttft_target: time::Millis,
    /// Time that is left to the caller's deadline.
    pub deadline_left: time::Millis,
    /// Prompt tokens before the first token at the chosen replica.
    pub tokens_ahead: f64,
    /// A number from 0 to 1 that spreads returns.
    pub draw: f64,
}

impl TtftEstimator {
    /// Notes a first token that came after `first` behind `ahead` prompt tokens.
    pub fn observe(&mut self, service: &id::ServiceId, ahead: f64, first: time::Millis) {
        let pace = self.paces.entry(service.clone()).or_default();
        pace.sample(ahead / 1_000.0, first.get() as f64);
    }

    /// Time of an engine for a thousand prompt tokens, in ms; queues of an overload count little.
    pub fn prefill_ms_per_ktoken(&self, service: &id::ServiceId) -> f64 {
        self.paces.get(service).copied().unwrap_or_default().engine_slope()
    }

    /// Forecast of the time to a first token, in ms.
    pub fn estimate_ttft_ms(&self, service: &id::ServiceId, ahead: f64) -> f64 {
        let (base_ms, slope) = self.paces.get(service).copied().unwrap_or_default().line();
        base_ms + ahead * slope / 1_000.0
    }

    /// Admits a request, or says after which time a later try can help.
    ///
    /// # Errors
    ///
    /// Refuses where the forecast misses the patience for the request's urgency or its deadline.
    pub fn admit(&self, query: &AdmissionQuery<'_>) -> Result<(), time::Millis> {
        let forecast = self.estimate_ttft_ms(query.service, query.tokens_ahead);
        let rank = usize::from(query.priority.get()).min(PATIENCE.len() - 1);
        let patience =
            (query.ttft_target.get() as f64 * PATIENCE[rank]).min(query.deadline_left.get() as f64);
        if forecast <= patience {
            return Ok(());
        }
        Err(retry_after(forecast - patience * 0.5, query.draw))
    }
}

/// A time to come back, spread over callers.
pub fn retry_after(wait_ms: f64, draw: f64) -> time::Millis {
    let spread = wait_ms * (1.0 + RETRY_SPREAD * draw);
    time::Millis::new((spread as u64).clamp(RETRY_AFTER.0, RETRY_AFTER.1))
}
