//! A limit on requests in progress that follows the latency that is met.

use samphiremoor_base::time;

/// Length of a window after which the limit is judged.
const WINDOW: time::Millis = time::Millis::new(500);
/// Least number of ended requests in a judged window.
const MIN_SAMPLES: u32 = 8;
/// Share of late requests that is accepted.
const LATE_SHARE: f64 = 0.05;
/// Share of late requests from which on the limit falls faster.
const VERY_LATE_SHARE: f64 = 0.5;
/// Factor of a fall.
const FALL_FACTOR: f64 = 0.92;
/// Factor of a fast fall.
const FAST_FALL_FACTOR: f64 = 0.75;
/// Relative rise of a limit that is used and keeps the target.
const RISE_SHARE: f64 = 0.03;
/// Use of the limit from which on it may rise.
const USED_SHARE: f64 = 0.8;
/// Greatest limit, as a multiple of the declared capacity.
const CEILING_FACTOR: f64 = 2.0;
/// Least limit, as a share of the declared capacity.
const FLOOR_FACTOR: f64 = 0.25;

/// The limit of one pool at one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    declared: f64,
    window_start: time::MonotonicTime,
    samples: u32,
    late: u32,
    peak: u32,
}

impl AdaptiveLimit {
    /// A limit that starts at the declared capacity.
    pub fn new(declared: f64, now: time::MonotonicTime) -> Self {
        AdaptiveLimit {
            limit: declared.max(1.0),
            declared: declared.max(1.0),
            window_start: now,
            samples: 0,
            late: 0,
            peak: 0,
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

    /// Notes how many requests are in progress.
    pub fn note_use(&mut self, in_progress: u32) {
        self.peak = self.peak.max(in_progress);
    }

    /// Notes an ended request.
    pub fn sample(&mut self, is_late: bool, now: time::MonotonicTime) {
        self.samples += 1;
        self.late += u32::from(is_late);
        let is_full = now.since(self.window_start) >= WINDOW && self.samples >= MIN_SAMPLES;
        if is_full {
            self.judge();
            self.window_start = now;
            self.samples = 0;
            self.late = 0;
            self.peak = 0;
        }
    }

    fn judge(&mut self) {
        let late = f64::from(self.late) / f64::from(self.samples);
        if late > VERY_LATE_SHARE {
            self.limit *= FAST_FALL_FACTOR;
        } else if late > LATE_SHARE {
            self.limit *= FALL_FACTOR;
        } else if f64::from(self.peak) >= self.limit * USED_SHARE {
            self.limit += (self.limit * RISE_SHARE).max(1.0);
        }
        self.clamp();
    }

    fn clamp(&mut self) {
        let floor = (self.declared * FLOOR_FACTOR).max(1.0);
        self.limit = self.limit.clamp(floor, self.declared * CEILING_FACTOR);
    }
}
