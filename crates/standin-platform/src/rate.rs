//! Rate and bandwidth limits; the caller passes the current time.

use samphiremoor_base::time;

/// Milliseconds in one second; also the thousandths in one token of a bucket.
const SECOND_MS: u64 = 1_000;

/// Divisor of the rate that gives the burst: the tokens of a fifth of a second.
const BURST_DIVISOR: u64 = 5;

/// Token bucket whose burst is the tokens of a fifth of a second, but at least one token.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: u64,
    /// Available tokens, in thousandths of a token.
    available: u64,
    last_refill: time::MonotonicTime,
}

impl TokenBucket {
    /// Creates a full token bucket.
    pub fn new(per_second: u64) -> Self {
        let mut token_bucket =
            TokenBucket { per_second, available: 0, last_refill: time::MonotonicTime::default() };
        token_bucket.available = token_bucket.capacity();
        token_bucket
    }

    /// Takes one token. Returns `false` if none is available.
    pub fn admit(&mut self, now: time::MonotonicTime) -> bool {
        let elapsed = now.since(self.last_refill).get();
        self.last_refill = now;
        let available = self.available.saturating_add(elapsed.saturating_mul(self.per_second));
        self.available = available.min(self.capacity());
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

/// Queue of transfers that share one bandwidth in first-in, first-out order.
#[derive(Clone, Debug)]
pub struct BandwidthQueue {
    bytes_per_second: u64,
    idle_at: time::MonotonicTime,
}

impl BandwidthQueue {
    /// Creates an idle queue.
    pub fn new(bytes_per_second: u64) -> Self {
        BandwidthQueue { bytes_per_second, idle_at: time::MonotonicTime::default() }
    }

    /// Enqueues a transfer and returns the time until it completes.
    pub fn reserve(&mut self, bytes: u64, now: time::MonotonicTime) -> time::Millis {
        let length = bytes.saturating_mul(SECOND_MS) / self.bytes_per_second.max(1);
        self.idle_at = self.idle_at.max(now) + time::Millis::new(length);
        self.idle_at.since(now)
    }
}
