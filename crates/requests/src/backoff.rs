//! Exponential backoff with jitter; the caller passes in the randomness.

use samphiremoor_base::time;

/// Random value, uniform over 0 to 999.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JitterDraw(u16);

/// Number of distinct values of a [`JitterDraw`].
const DRAW_RANGE: u16 = 1_000;

impl JitterDraw {
    /// Reduces a random number to the range of a draw.
    pub const fn new(random: u32) -> Self {
        JitterDraw((random % DRAW_RANGE as u32) as u16)
    }
}

/// Upper bounds of the delay before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffPolicy {
    /// Upper bound of the delay before the first retry.
    pub base: time::Millis,
    /// Upper bound of the delay before any retry.
    pub max: time::Millis,
}

impl BackoffPolicy {
    /// Returns the delay before retry `retry_number`, counted from 0. The delay is between half of
    /// the bound and the bound; the bound starts at `base` and doubles with each retry up to `max`.
    pub fn delay(&self, retry_number: u32, draw: JitterDraw) -> time::Millis {
        let factor = 1_u64.checked_shl(retry_number).unwrap_or(u64::MAX);
        let bound = self.base.get().saturating_mul(factor).min(self.max.get());
        let half_bound = bound / 2;
        let jitter = (bound - half_bound).saturating_mul(u64::from(draw.0)) / u64::from(DRAW_RANGE);
        time::Millis::new(half_bound + jitter)
    }
}
