//! Exponentially decayed sums.

use samphiremoor_base::time;

/// Returns the fraction of a sum that remains after `elapsed`. The sum decays exponentially, to
/// about a third in each `time_constant`.
pub fn remaining_fraction(elapsed: time::Millis, time_constant: time::Millis) -> f64 {
    (-(elapsed.get() as f64) / time_constant.get() as f64).exp()
}

/// Sum of amounts, each of which decays exponentially from the time it was added.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    time_constant: time::Millis,
    sum: f64,
    updated_at: time::MonotonicTime,
}

impl DecayingSum {
    /// Creates an empty sum that decays to about a third in each `time_constant`.
    pub fn new(time_constant: time::Millis) -> Self {
        DecayingSum { time_constant, sum: 0.0, updated_at: time::MonotonicTime::default() }
    }

    /// Adds an amount to the sum.
    pub fn add(&mut self, amount: f64, now: time::MonotonicTime) {
        self.sum =
            self.sum * remaining_fraction(now.since(self.updated_at), self.time_constant) + amount;
        self.updated_at = now;
    }

    /// Returns the rate at which amounts were added, per second.
    pub fn per_second(&self, now: time::MonotonicTime) -> f64 {
        self.sum * remaining_fraction(now.since(self.updated_at), self.time_constant) * 1_000.0
            / self.time_constant.get() as f64
    }
}
