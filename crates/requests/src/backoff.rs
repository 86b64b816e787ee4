//! Jittered exponential backoff; the randomness is handed in.

use samphiremoor_base::time;

/// A random draw, uniform over 0 to 999.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JitterDraw(u16);

/// Number of values that a draw can have.
const DRAW_RANGE: u16 = 1_000;

impl JitterDraw {
    /// Takes a random number; only its remainder counts.
    pub const fn new(random: u32) -> Self {
        JitterDraw((random % DRAW_RANGE as u32) as u16)
    }
}

/// Bounds of the delay before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffPolicy {
    /// Greatest delay before the first retry.
    pub base: time::Millis,
    /// Greatest delay before any retry.
    pub max: time::Millis,
}

impl BackoffPolicy {
    /// Delay before retry number `retry`, counted from 0: between half of the bound and the bound,
    /// which doubles with each retry.
    pub fn delay(&self, retry: u32, draw: JitterDraw) -> time::Millis {
        let factor = 1_u64.checked_shl(retry).unwrap_or(u64::MAX);
        let bound = self.base.get().saturating_mul(factor).min(self.max.get());
        let half = bound / 2;
        let jitter = (bound - half).saturating_mul(u64::from(draw.0)) / u64::from(DRAW_RANGE);
        time::Millis::new(half + jitter)
    }
}
