//! Adaptive concurrency limit: bounds the requests in progress by the latency observed.

use samphiremoor_base::time;

/// Interval between two adjustments of the limit.
const ADJUST_INTERVAL: time::Millis = time::Millis::new(500);
/// Weight of one request in the moving averages (EWMA) of late requests.
const LATE_WEIGHT: f64 = 0.03;
/// Ratio of requests late or near the target above which the limit falls. The limit oscillates
/// around the ratio that it tolerates, so it has to fall before too many requests are late: the
/// latency target must lie above the oscillation.
const MAX_NEAR_RATIO: f64 = 0.1;
/// Ratio of late requests among the less urgent ones above which the limit falls. Shedding some of
/// them earlier would not help the urgent ones further.
const MAX_LESS_URGENT_LATE_RATIO: f64 = 0.2;
/// Ratio of late requests above which the limit falls faster: at the start of an overload, the
/// declared capacity may be several times what meets the target.
const FAST_FALL_LATE_RATIO: f64 = 0.3;
/// Factor applied to the limit when it falls.
const FALL_FACTOR: f64 = 0.87;
/// Factor applied to the limit when it falls faster.
const FAST_FALL_FACTOR: f64 = 0.6;
/// Relative rise of a limit that is in use while latency meets the target.
pub const RISE_RATIO: f64 = 0.03;
/// Ratio of requests late or near the target up to which the limit may rise faster.
const FAST_RISE_NEAR_RATIO: f64 = 0.02;
/// Utilization of the limit from which it may rise.
const RISE_UTILIZATION: f64 = 0.8;
/// Maximum limit, as a multiple of the declared capacity.
const CEILING_FACTOR: f64 = 2.0;
/// Minimum rise, in requests.
const MIN_RISE: f64 = 0.5;

/// Time to the first token of a finished request relative to its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lateness {
    /// Well within the target.
    OnTime,
    /// Within the target, but near it.
    NearTarget,
    /// Beyond the target.
    Late,
}

/// Bounds and tolerances of an [`AdaptiveLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Minimum limit, as a fraction of the declared capacity.
    pub floor_ratio: f64,
    /// Ratio of late requests above which the limit falls.
    pub max_late_ratio: f64,
    /// Relative rise of a limit that refuses requests while hardly any request is near its target.
    pub fast_rise_ratio: f64,
}

/// Concurrency limit of one pool at one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    /// Maximum number of requests in progress.
    limit: f64,
    /// Number of concurrent requests that the daemon may send to the pool by declaration.
    declared_capacity: f64,
    bounds: LimitBounds,
    /// Time of the last adjustment.
    window_start: time::MonotonicTime,
    /// Moving average of the fraction of requests that were late.
    late_ratio: f64,
    /// Moving average of the fraction of requests that were late or near the target.
    near_ratio: f64,
    /// Moving average of the fraction of less urgent requests that were late.
    less_urgent_late_ratio: f64,
    /// Maximum number of requests in progress since the last adjustment.
    peak_in_progress: u32,
    /// Whether a request was refused since the last adjustment.
    has_refused: bool,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the declared capacity.
    pub fn new(declared_capacity: f64, bounds: LimitBounds, now: time::MonotonicTime) -> Self {
        AdaptiveLimit {
            limit: declared_capacity.max(1.0),
            declared_capacity: declared_capacity.max(1.0),
            bounds,
            window_start: now,
            late_ratio: 0.0,
            near_ratio: 0.0,
            less_urgent_late_ratio: 0.0,
            peak_in_progress: 0,
            has_refused: false,
        }
    }

    /// Sets the declared capacity; the limit scales in proportion.
    pub fn set_capacity(&mut self, declared_capacity: f64) {
        let declared_capacity = declared_capacity.max(1.0);
        self.limit *= declared_capacity / self.declared_capacity;
        self.declared_capacity = declared_capacity;
        self.clamp();
    }

    /// Returns the maximum number of requests in progress.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Whether the limit can't fall further.
    pub fn is_at_floor(&self) -> bool {
        self.limit <= self.floor()
    }

    /// Observes the number of requests in progress.
    pub fn observe_in_progress(&mut self, in_progress: u32) {
        self.peak_in_progress = self.peak_in_progress.max(in_progress);
    }

    /// Observes a refused request.
    pub fn observe_refusal(&mut self) {
        self.has_refused = true;
    }

    /// Observes a finished request that counts against the target.
    pub fn observe(&mut self, lateness: Lateness, now: time::MonotonicTime) {
        // The averages extend over several windows: in a window with few requests, a single late
        // one would exceed the tolerated ratio.
        self.late_ratio = ewma(self.late_ratio, lateness == Lateness::Late);
        self.near_ratio = ewma(self.near_ratio, lateness != Lateness::OnTime);
        self.advance(now);
    }

    /// Observes a finished request of a less urgent service, more of which may be late.
    pub fn observe_less_urgent(&mut self, is_late: bool, now: time::MonotonicTime) {
        self.less_urgent_late_ratio = ewma(self.less_urgent_late_ratio, is_late);
        self.advance(now);
    }

    /// Adjusts the limit and starts a new window once the current one has ended.
    fn advance(&mut self, now: time::MonotonicTime) {
        if now.since(self.window_start) < ADJUST_INTERVAL {
            return;
        }
        self.adjust();
        self.window_start = now;
        self.peak_in_progress = 0;
        self.has_refused = false;
    }

    /// Lowers the limit if too many requests were late, or raises it if it was in use.
    fn adjust(&mut self) {
        let is_overloaded = self.late_ratio > self.bounds.max_late_ratio
            || self.near_ratio > MAX_NEAR_RATIO
            || self.less_urgent_late_ratio > MAX_LESS_URGENT_LATE_RATIO;
        if self.late_ratio.max(self.less_urgent_late_ratio) > FAST_FALL_LATE_RATIO {
            self.limit *= FAST_FALL_FACTOR;
        } else if is_overloaded {
            self.limit *= FALL_FACTOR;
        } else if self.has_refused
            || f64::from(self.peak_in_progress) >= self.limit * RISE_UTILIZATION
        {
            self.limit += (self.limit * self.rise_ratio()).max(MIN_RISE);
        }
        self.clamp();
    }

    fn rise_ratio(&self) -> f64 {
        let rises_fast = self.has_refused && self.near_ratio <= FAST_RISE_NEAR_RATIO;
        if rises_fast { self.bounds.fast_rise_ratio } else { RISE_RATIO }
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(self.floor(), self.declared_capacity * CEILING_FACTOR);
    }

    fn floor(&self) -> f64 {
        (self.declared_capacity * self.bounds.floor_ratio).max(1.0)
    }
}

/// Adds one request to an exponentially weighted moving average (EWMA): 1 if it counts, else 0.
fn ewma(ratio: f64, is_counted: bool) -> f64 {
    ratio + (f64::from(u8::from(is_counted)) - ratio) * LATE_WEIGHT
}
