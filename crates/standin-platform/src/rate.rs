//! Rate limits, as pure state.

use samphiremoor_base::time;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Part of a second's units that may come at once.
const BURST_DIVISOR: u64 = 5;

/// Admits so many units a second, with a burst of a fifth of them.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: u64,
    /// Thousandths of a unit that may be taken now.
    available: u64,
    refilled: time::MonotonicTime,
}

impl RateLimit {
    /// A limit that starts with its whole burst.
    pub fn new(per_second: u64) -> Self {
        let mut limit =
            RateLimit { per_second, available: 0, refilled: time::MonotonicTime::default() };
        limit.available = limit.capacity();
        limit
    }

    /// Takes one unit where there is one.
    pub fn admit(&mut self, now: time::MonotonicTime) -> bool {
        let passed = now.since(self.refilled).get();
        self.refilled = now;
        let refilled = self.available.saturating_add(passed.saturating_mul(self.per_second));
        self.available = refilled.min(self.capacity());
        let admits = self.available >= SECOND_MS;
        if admits {
            self.available -= SECOND_MS;
        }
        admits
    }

    fn capacity(&self) -> u64 {
        (self.per_second / BURST_DIVISOR).max(1) * SECOND_MS
    }
}

/// Hands out a bandwidth in the order of the requests.
#[derive(Clone, Debug)]
pub struct BandwidthQueue {
    bytes_per_second: u64,
    free_from: time::MonotonicTime,
}

impl BandwidthQueue {
    /// An idle queue.
    pub fn new(bytes_per_second: u64) -> Self {
        BandwidthQueue { bytes_per_second, free_from: time::MonotonicTime::default() }
    }

    /// Books a transfer and returns the time until it is through.
    pub fn book(&mut self, bytes: u64, now: time::MonotonicTime) -> time::Millis {
        let length = bytes.saturating_mul(SECOND_MS) / self.bytes_per_second.max(1);
        self.free_from = self.free_from.max(now) + time::Millis::new(length);
        self.free_from.since(now)
    }
}
