//! Sums that fade with time.

use samphiremoor_base::time;

/// Part of a sum that is left after a time, where it fades to about a third in each window.
pub fn remaining_fraction(passed: time::Millis, window: time::Millis) -> f64 {
    (-(passed.get() as f64) / window.get() as f64).exp()
}

/// A sum of amounts, each of which fades from when it was added.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    window: time::Millis,
    sum: f64,
    at: time::MonotonicTime,
}

impl DecayingSum {
    /// An empty sum that fades to about a third in each window.
    pub fn new(window: time::Millis) -> Self {
        DecayingSum { window, sum: 0.0, at: time::MonotonicTime::default() }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: time::MonotonicTime) {
        self.sum = self.sum * remaining_fraction(now.since(self.at), self.window) + amount;
        self.at = now;
    }

    /// The amounts as a rate.
    pub fn per_second(&self, now: time::MonotonicTime) -> f64 {
        self.sum * remaining_fraction(now.since(self.at), self.window) * 1_000.0
            / self.window.get() as f64
    }
}
