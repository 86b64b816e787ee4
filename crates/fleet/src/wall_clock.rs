//! Estimate of wall-clock time on which the daemons agree.
//!
//! The wall clock of a daemon can jump by seconds. A jump of the daemon's own wall clock shows in
//! comparison with its monotonic clock; a clock that is wrong from the start shows in comparison
//! with the clocks of the peers.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

/// Maximum change of the local wall clock that is followed, in ms. A greater change is a jump, as
/// clocks are synchronized to within some ms of each other.
const MAX_CORRECTION_MS: i64 = 250;
/// Time after its report for which the estimate of a peer counts.
const PEER_MAX_AGE: time::Millis = time::Millis::new(5_000);

/// Estimate of wall-clock time.
#[derive(Clone, Debug)]
pub struct ClockEstimate {
    /// Wall-clock time at the origin of the monotonic clock, in milliseconds since the Unix epoch.
    origin_ms: i64,
    /// Difference of each peer's estimate from the local one in ms, and when it was reported.
    peer_offsets: collections::BTreeMap<id::DaemonId, (time::MonotonicTime, i64)>,
}

impl ClockEstimate {
    /// Creates an estimate from the local wall clock alone.
    pub fn new(wall_ms: i64, now: time::MonotonicTime) -> Self {
        ClockEstimate {
            origin_ms: wall_ms - now.get() as i64,
            peer_offsets: collections::BTreeMap::new(),
        }
    }

    /// Observes the local wall clock. Small corrections are followed, jumps are ignored.
    pub fn observe_local(&mut self, wall_ms: i64, now: time::MonotonicTime) {
        let origin_ms = wall_ms - now.get() as i64;
        if (origin_ms - self.origin_ms).abs() <= MAX_CORRECTION_MS {
            self.origin_ms = origin_ms;
        }
    }

    /// Observes the estimate that a peer reports.
    pub fn observe_peer(&mut self, daemon: &id::DaemonId, wall_ms: i64, now: time::MonotonicTime) {
        let offset_ms = wall_ms - self.local(now);
        self.peer_offsets.insert(daemon.clone(), (now, offset_ms));
        self.peer_offsets.retain(|_, (reported_at, _)| now.since(*reported_at) < PEER_MAX_AGE);
    }

    /// Returns the estimate of this daemon alone, in milliseconds since the Unix epoch, to report
    /// it to the peers.
    pub fn local(&self, now: time::MonotonicTime) -> i64 {
        self.origin_ms + now.get() as i64
    }

    /// Returns the median of all daemons' estimates, in milliseconds since the Unix epoch.
    pub fn now(&self, now: time::MonotonicTime) -> i64 {
        let mut offsets: Vec<i64> =
            self.peer_offsets.values().map(|(_, offset_ms)| *offset_ms).collect();
        offsets.push(0);
        offsets.sort_unstable();
        self.local(now) + offsets[(offsets.len() - 1) / 2]
    }
}
