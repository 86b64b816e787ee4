//! The time of day as the daemons agree on it.
//!
//! One clock of the day can jump by seconds. A jump of the own clock shows against the clock that
//! counts from the start of the VM; a clock that is wrong from the start shows against the peers'.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

/// A change of the own clock by more than this is a jump and not believed; clocks are kept to within
/// some ms of each other.
const JUMP: i64 = 250;
/// A peer's word on the time is good for this long.
const PEER_BELIEVED: time::Millis = time::Millis::new(5_000);

/// Estimate of the time of day.
#[derive(Clone, Debug)]
pub struct ClockEstimate {
    /// Time of day at the start of the steady clock, in Unix milliseconds.
    origin: i64,
    peers: collections::BTreeMap<id::DaemonId, (time::MonotonicTime, i64)>,
}

impl ClockEstimate {
    /// An estimate from the own clock of the day alone.
    pub fn new(wall_ms: i64, now: time::MonotonicTime) -> Self {
        ClockEstimate { origin: wall_ms - now.get() as i64, peers: collections::BTreeMap::new() }
    }

    /// Reads the own clock again; small corrections are followed, jumps are not.
    pub fn observe_local(&mut self, wall_ms: i64, now: time::MonotonicTime) {
        let origin = wall_ms - now.get() as i64;
        if (origin - self.origin).abs() <= JUMP {
            self.origin = origin;
        }
    }

    /// A peer tells its estimate.
    pub fn observe_peer(&mut self, daemon: &id::DaemonId, wall_ms: i64, now: time::MonotonicTime) {
        let difference = wall_ms - self.local(now);
        self.peers.insert(daemon.clone(), (now, difference));
        self.peers.retain(|_, (at, _)| now.since(*at) < PEER_BELIEVED);
    }

    /// The estimate of this daemon alone, for the peers.
    pub fn local(&self, now: time::MonotonicTime) -> i64 {
        self.origin + now.get() as i64
    }

    /// The time of day, in Unix milliseconds: the median of all daemons' estimates.
    pub fn now(&self, now: time::MonotonicTime) -> i64 {
        let mut differences: Vec<i64> =
            self.peers.values().map(|(_, difference)| *difference).collect();
        differences.push(0);
        differences.sort_unstable();
        self.local(now) + differences[(differences.len() - 1) / 2]
    }
}
