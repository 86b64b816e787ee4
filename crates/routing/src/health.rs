//! Outlier detection: ejects a slow or failing replica, probes it and reinstates it.

use samphiremoor_base::time;

/// A replica is slow if its average latency exceeds this multiple of its pool's.
const SLOW_FACTOR: f64 = 3.0;
/// A probe succeeds if its latency is below this multiple of the pool's.
const MAX_PROBE_FACTOR: f64 = 2.0;
/// Minimum number of samples before a replica can count as slow.
const MIN_SAMPLES: u32 = 4;
/// Number of consecutive failures after which a replica is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection; each further one lasts twice as long, unless the replica was
/// healthy for [`RECOVERY_TIME`] in between.
const FIRST_EJECTION: time::Millis = time::Millis::new(5_000);
/// Maximum duration of an ejection.
const MAX_EJECTION: time::Millis = time::Millis::new(60_000);
/// Time without an ejection that undoes one doubling.
const RECOVERY_TIME: time::Millis = time::Millis::new(60_000);
/// Time after which a probe that has not ended counts as lost and another one may be sent.
const PROBE_TIMEOUT: time::Millis = time::Millis::new(30_000);

/// Health state of one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HealthState {
    /// The replica takes requests.
    #[default]
    Healthy,
    /// The replica takes only a probe, once one is due, unless no healthy replica is available.
    Ejected {
        /// Time from which the replica may be probed.
        until: time::MonotonicTime,
    },
    /// One request is in flight to test whether the replica has recovered.
    Probing {
        /// Time at which the probe was sent.
        since: time::MonotonicTime,
    },
}

/// Tracks the health of one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthTracker {
    state: HealthState,
    consecutive_failures: u32,
    /// Number of doublings of the duration of the next ejection.
    ejection_level: u32,
    /// When the replica was last reinstated.
    reinstated_at: time::MonotonicTime,
}

/// Result of one request, as passed to [`HealthTracker::on_sample`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthSample {
    /// The request failed at the replica.
    Failure,
    /// The request was served.
    Success {
        /// Latency of this request relative to the pool's.
        relative_latency: f64,
        /// Average latency of the replica relative to the pool's.
        average_latency: f64,
        /// Number of samples in the average.
        samples: u32,
    },
}

impl HealthTracker {
    /// Returns the current state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns whether the replica takes requests as usual.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Returns whether a probe may be sent.
    pub fn is_probe_due(&self, now: time::MonotonicTime) -> bool {
        match self.state {
            HealthState::Healthy => false,
            HealthState::Ejected { until } => now >= until,
            HealthState::Probing { since } => now.since(since) >= PROBE_TIMEOUT,
        }
    }

    /// Records that a request was sent; if a probe is due, the request is the probe.
    pub fn on_dispatch(&mut self, now: time::MonotonicTime) {
        if self.is_probe_due(now) {
            self.state = HealthState::Probing { since: now };
        }
    }

    /// Records an ended request. `may_eject` is false if no further healthy replica of the pool may
    /// be ejected; a failed probe ejects the replica again in any case.
    pub fn on_sample(&mut self, sample: HealthSample, may_eject: bool, now: time::MonotonicTime) {
        match sample {
            HealthSample::Failure => self.record_failure(may_eject, now),
            HealthSample::Success { relative_latency, average_latency, samples } => {
                self.consecutive_failures = 0;
                match self.state {
                    HealthState::Probing { .. } if relative_latency < MAX_PROBE_FACTOR => {
                        self.reinstate(now)
                    }
                    HealthState::Probing { .. } => self.eject(now),
                    HealthState::Healthy => {
                        if may_eject && samples >= MIN_SAMPLES && average_latency > SLOW_FACTOR {
                            self.eject(now);
                        }
                    }
                    HealthState::Ejected { .. } => {}
                }
            }
        }
    }

    fn record_failure(&mut self, may_eject: bool, now: time::MonotonicTime) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let is_probing = matches!(self.state, HealthState::Probing { .. });
        let is_failing =
            self.is_healthy() && may_eject && self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES;
        if is_probing || is_failing {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: time::MonotonicTime) {
        if self.is_healthy() {
            let recoveries = now.since(self.reinstated_at).get() / RECOVERY_TIME.get();
            let recoveries = u32::try_from(recoveries).unwrap_or(u32::MAX);
            self.ejection_level = self.ejection_level.saturating_sub(recoveries);
        }
        let doubled_ms = FIRST_EJECTION.get().saturating_mul(1 << self.ejection_level.min(10));
        let duration = time::Millis::new(doubled_ms.min(MAX_EJECTION.get()));
        self.state = HealthState::Ejected { until: now + duration };
        self.ejection_level = self.ejection_level.saturating_add(1);
        self.consecutive_failures = 0;
    }

    /// The level of the next ejection stays, since a probe does not show that a replica that fails
    /// again and again has recovered.
    fn reinstate(&mut self, now: time::MonotonicTime) {
        self.state = HealthState::Healthy;
        self.reinstated_at = now;
    }
}
