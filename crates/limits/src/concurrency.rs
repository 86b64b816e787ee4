//! A limit on requests in progress that follows the latency that is met.

use samphiremoor_base::time;

/// Length of a window after which the limit is judged.
const WINDOW: time::Millis = time::Millis::new(500);
/// Weight of a request in the average share of late ones.
const LATE_WEIGHT: f64 = 0.03;
/// Share of requests that may be late or near it. It is met before the late ones are too many: the
/// limit swings around what it accepts, so that the target must lie above the swing.
const NEAR_SHARE: f64 = 0.1;
/// Share of late requests among the less urgent ones that is accepted: to shed some of them earlier
/// would help the urgent ones no more.
const LESS_URGENT_LATE_SHARE: f64 = 0.2;
/// Share of late requests from which on the limit falls faster: where an overload starts, the declared
/// capacity may be several times what keeps the target.
const VERY_LATE_SHARE: f64 = 0.3;
/// Factor of a fall.
const FALL_FACTOR: f64 = 0.87;
/// Factor of a fast fall.
const FAST_FALL_FACTOR: f64 = 0.6;
/// Relative rise of a limit that is used and keeps the target.
pub const RISE_SHARE: f64 = 0.03;
/// Share of requests late or near it up to which there is room for more.
const FREE_NEAR_SHARE: f64 = 0.02;
/// Use of the limit from which on it may rise.
const USED_SHARE: f64 = 0.8;
/// Greatest limit, as a multiple of the declared capacity.
const CEILING_FACTOR: f64 = 2.0;
/// Least rise.
const LEAST_RISE: f64 = 0.5;

/// How the time to the first token of an ended request compares with its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lateness {
    /// Well within it.
    InTime,
    /// Within it, but near it.
    Near,
    /// Beyond it.
    Late,
}

/// What a limit keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Least limit, as a part of the declared capacity.
    pub floor_part: f64,
    /// Share of late requests that is accepted.
    pub late_share: f64,
    /// Relative rise of a limit that refuses although hardly an answer comes near the target.
    pub free_rise_share: f64,
}

/// The limit of one pool at one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    declared: f64,
    bounds: LimitBounds,
    window_start: time::MonotonicTime,
    late: f64,
    near: f64,
    less_urgent_late: f64,
    peak: u32,
    has_refused: bool,
}

impl AdaptiveLimit {
    /// A limit that starts at the declared capacity.
    pub fn new(declared: f64, bounds: LimitBounds, now: time::MonotonicTime) -> Self {
        AdaptiveLimit {
            limit: declared.max(1.0),
            declared: declared.max(1.0),
            bounds,
            window_start: now,
            late: 0.0,
            near: 0.0,
            less_urgent_late: 0.0,
            peak: 0,
            has_refused: false,
        }
    }

    /// Takes over another declared capacity; the limit changes in proportion.
    pub fn declare(&mut self, declared: f64) {
        let declared = declared.max(1.0);
        self.limit *= declared / self.declared;
        self.declared = declared;
        self.clamp();
    }

    /// Requests that may be in progress.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Whether it can't fall further.
    pub fn is_at_floor(&self) -> bool {
        self.limit <= self.floor()
    }

    /// Notes how many requests are in progress.
    pub fn note_use(&mut self, in_progress: u32) {
        self.peak = self.peak.max(in_progress);
    }

    /// Notes that a request was refused for want of room.
    pub fn note_refusal(&mut self) {
        self.has_refused = true;
    }

    /// Notes an ended request that counts against the target.
    pub fn sample(&mut self, lateness: Lateness, now: time::MonotonicTime) {
        // An average over windows: with few requests in a window one late request would count as
        // far too many.
        self.late = averaged(self.late, lateness == Lateness::Late);
        self.near = averaged(self.near, lateness != Lateness::InTime);
        self.pass(now);
    }

    /// Notes an ended request of which more may be late.
    pub fn sample_less_urgent(&mut self, is_late: bool, now: time::MonotonicTime) {
        self.less_urgent_late = averaged(self.less_urgent_late, is_late);
        self.pass(now);
    }

    fn pass(&mut self, now: time::MonotonicTime) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        self.judge();
        self.window_start = now;
        self.peak = 0;
        self.has_refused = false;
    }

    fn judge(&mut self) {
        let is_late = self.late > self.bounds.late_share
            || self.near > NEAR_SHARE
            || self.less_urgent_late > LESS_URGENT_LATE_SHARE;
        if self.late.max(self.less_urgent_late) > VERY_LATE_SHARE {
            self.limit *= FAST_FALL_FACTOR;
        } else if is_late {
            self.limit *= FALL_FACTOR;
        } else if self.has_refused || f64::from(self.peak) >= self.limit * USED_SHARE {
            self.limit += (self.limit * self.rise_share()).max(LEAST_RISE);
        }
        self.clamp();
    }

    fn rise_share(&self) -> f64 {
        let is_free = self.has_refused && self.near <= FREE_NEAR_SHARE;
        if is_free { self.bounds.free_rise_share } else { RISE_SHARE }
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(self.floor(), self.declared * CEILING_FACTOR);
    }

    fn floor(&self) -> f64 {
        (self.declared * self.bounds.floor_part).max(1.0)
    }
}

fn averaged(share: f64, is_late: bool) -> f64 {
    share + (f64::from(u8::from(is_late)) - share) * LATE_WEIGHT
}
