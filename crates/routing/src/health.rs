//! Outlier detection: a slow or failing replica is ejected, probed and taken back.

use samphiremoor_base::time;

/// A replica is slow when its pace is this many times its pool's.
const SLOW_FACTOR: f64 = 3.0;
/// A probe is good when its pace is below this many times its pool's.
const PROBE_FACTOR: f64 = 2.0;
/// Samples before a replica can be called slow.
const MIN_SAMPLES: u32 = 4;
/// Failures in a row after which a replica is ejected.
const MAX_FAILURES: u32 = 3;
/// First ejection; each further one lasts twice as long.
const FIRST_EJECTION: time::Millis = time::Millis::new(5_000);
/// Longest ejection.
const MAX_EJECTION: time::Millis = time::Millis::new(60_000);
/// A probe that has not ended after this time is forgotten.
const PROBE_TIMEOUT: time::Millis = time::Millis::new(30_000);

/// State of one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HealthState {
    /// Takes requests.
    #[default]
    Healthy,
    /// Takes none before the instant.
    Ejected {
        /// When it may be probed.
        until: time::MonotonicTime,
    },
    /// One request is under way to see whether it is well again.
    Probing {
        /// When the probe was sent.
        since: time::MonotonicTime,
    },
}

/// Health of one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthTracker {
    state: HealthState,
    failures: u32,
    ejections: u32,
}

/// What a health tracker is told of one ended request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthSample {
    /// The request failed at the replica.
    Failure,
    /// The request was answered.
    Success {
        /// Pace of this request over the pool's.
        relative: f64,
        /// Average pace of the replica over the pool's.
        average: f64,
        /// Samples in the average.
        samples: u32,
    },
}

impl HealthTracker {
    /// The present state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Whether the replica takes requests as usual.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Whether a probe may be sent.
    pub fn is_probe_due(&self, now: time::MonotonicTime) -> bool {
        match self.state {
            HealthState::Healthy => false,
            HealthState::Ejected { until } => now >= until,
            HealthState::Probing { since } => now.since(since) >= PROBE_TIMEOUT,
        }
    }

    /// A request was sent; to an ejected replica it is a probe.
    pub fn on_dispatch(&mut self, now: time::MonotonicTime) {
        if self.is_probe_due(now) {
            self.state = HealthState::Probing { since: now };
        }
    }

    /// Takes in an ended request; `may_eject` is false where too many others are ejected.
    pub fn on_sample(&mut self, sample: HealthSample, may_eject: bool, now: time::MonotonicTime) {
        match sample {
            HealthSample::Failure => self.failed(may_eject, now),
            HealthSample::Success { relative, average, samples } => {
                self.failures = 0;
                match self.state {
                    HealthState::Probing { .. } if relative < PROBE_FACTOR => self.take_back(),
                    HealthState::Probing { .. } => self.eject(now),
                    HealthState::Healthy => {
                        if may_eject && samples >= MIN_SAMPLES && average > SLOW_FACTOR {
                            self.eject(now);
                        }
                    }
                    HealthState::Ejected { .. } => {}
                }
            }
        }
    }

    fn failed(&mut self, may_eject: bool, now: time::MonotonicTime) {
        self.failures = self.failures.saturating_add(1);
        let is_probing = matches!(self.state, HealthState::Probing { .. });
        let is_failing = self.is_healthy() && may_eject && self.failures >= MAX_FAILURES;
        if is_probing || is_failing {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: time::MonotonicTime) {
        let doubled = FIRST_EJECTION.get().saturating_mul(1 << self.ejections.min(10));
        let length = time::Millis::new(doubled.min(MAX_EJECTION.get()));
        self.state = HealthState::Ejected { until: now + length };
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
    }

    fn take_back(&mut self) {
        self.state = HealthState::Healthy;
        // The next ejection is shorter again, yet a replica that flaps is kept out for longer.
        self.ejections = self.ejections.saturating_sub(1);
    }
}
