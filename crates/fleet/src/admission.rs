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
/// Weight of one measured first token in the average: some thirty count.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Parts of the target latency that the forecast may reach, by urgency; forecasts are about right at
/// the median, so the most urgent requests are given room for error.
const PATIENCE: [f64; 4] = [2.0, 1.2, 0.8, 0.6];
/// Bounds of the time after which a refused caller may come back.
const RETRY_AFTER: (u64, u64) = (100, 4_000);
/// Returning callers are spread over this part of the time on top, so that they don't come as a wave.
const RETRY_SPREAD: f64 = 0.5;

/// The least time to a first token is forgotten by this part with each sample, so that a service that
/// became slower is seen within some hundred requests.
const BASE_RISE: f64 = 0.002;
/// Prompts at least this large tell the time for a thousand tokens; small ones tell the base alone.
const PACE_TOKENS: f64 = 1_000.0;

/// What engines of a service take for prompts: a base for any first token, and a time by tokens.
#[derive(Clone, Copy, Debug)]
struct EnginePace {
    base_ms: Option<f64>,
    ms_per_ktoken: f64,
}

/// Forecasts of first tokens, by service.
#[derive(Clone, Debug, Default)]
pub struct FirstTokenForecast {
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
    pub target: time::Millis,
    /// Time that is left to the caller's deadline.
    pub left: time::Millis,
    /// Prompt tokens before the first token at the chosen replica.
    pub ahead: f64,
    /// A number from 0 to 1 that spreads returns.
    pub draw: f64,
}

impl FirstTokenForecast {
    /// Notes a first token that came after `first` behind `ahead` prompt tokens.
    pub fn sample(&mut self, service: &id::ServiceId, ahead: f64, first: time::Millis) {
        let pace = self.paces.entry(service.clone()).or_default();
        let first_ms = first.get() as f64;
        let base = pace.base_ms.map_or(first_ms, |base| (base * (1.0 + BASE_RISE)).min(first_ms));
        pace.base_ms = Some(base);
        if ahead < PACE_TOKENS {
            return;
        }
        let measured = (first_ms - base) * 1_000.0 / ahead;
        let sample = measured.clamp(MS_PER_KTOKEN.0, MS_PER_KTOKEN.1);
        pace.ms_per_ktoken += SAMPLE_WEIGHT * (sample - pace.ms_per_ktoken);
    }

    /// Time of an engine for a thousand prompt tokens, in ms.
    pub fn ms_per_ktoken(&self, service: &id::ServiceId) -> f64 {
        self.paces.get(service).copied().unwrap_or_default().ms_per_ktoken
    }

    /// Forecast of the time to a first token, in ms.
    pub fn first_ms(&self, service: &id::ServiceId, ahead: f64) -> f64 {
        let pace = self.paces.get(service).copied().unwrap_or_default();
        pace.base_ms.unwrap_or(0.0) + ahead * pace.ms_per_ktoken / 1_000.0
    }

    /// Admits a request, or says after which time a later try can help.
    ///
    /// # Errors
    ///
    /// Refuses where the forecast misses the patience for the request's urgency or its deadline.
    pub fn admit(&self, query: &AdmissionQuery<'_>) -> Result<(), time::Millis> {
        let forecast = self.first_ms(query.service, query.ahead);
        let rank = usize::from(query.priority.get()).min(PATIENCE.len() - 1);
        let patience = (query.target.get() as f64 * PATIENCE[rank]).min(query.left.get() as f64);
        if forecast <= patience {
            return Ok(());
        }
        Err(spread(forecast - patience * 0.5, query.draw))
    }
}

impl Default for EnginePace {
    fn default() -> Self {
        EnginePace { base_ms: None, ms_per_ktoken: FIRST_MS_PER_KTOKEN }
    }
}

/// A time to come back, spread over callers.
pub fn spread(wait_ms: f64, draw: f64) -> time::Millis {
    let spread = wait_ms * (1.0 + RETRY_SPREAD * draw);
    time::Millis::new((spread as u64).clamp(RETRY_AFTER.0, RETRY_AFTER.1))
}
