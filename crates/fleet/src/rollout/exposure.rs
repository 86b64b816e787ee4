//! Version of new requests at one daemon, within its part of the exposure.

use samphiremoor_base::time;

use super::ExposureLimits;
use super::RolloutPhase;
use super::ServiceRollout;
use super::plan;
use super::verdict;
use crate::replica;

/// Fraction of the exposure share that is used. The rest covers a rate of requests that falls.
pub(super) const SHARE_FRACTION: f64 = 0.85;
/// Fraction of the exposure slack that all daemons together use. The rest covers rounding and
/// requests that were sent while counts were lost.
pub(super) const SLACK_FRACTION: f64 = 0.6;
/// Number of routes that are counted by themselves, so that the counts fit into a digest, and the name
/// under which the others are counted together.
const MAX_ROUTES: usize = 64;
const OTHER_ROUTES: &str = "*";
/// Shortest time over which a daemon's rate of requests is estimated.
const MIN_RATE_TIME: time::Millis = time::Millis::new(1_000);

/// Version that a request goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionSide {
    /// Any version but the new one.
    Old,
    /// The new version.
    New,
}

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The replica responded, or refused to run the request, which says nothing about its version.
    Good,
    /// The replica failed the request.
    Failed,
}

impl ServiceRollout {
    /// Chooses the version of a new request by a uniform random number `draw` from 0 to 1. `has_old`
    /// says whether a replica of another version than the new one serves.
    pub fn choose(
        &self,
        limits: &ExposureLimits,
        has_old: bool,
        draw: f64,
        now: time::MonotonicTime,
    ) -> VersionSide {
        let phase = self.phase();
        if phase == RolloutPhase::Completed {
            return VersionSide::New;
        }
        if self.is_vetoed {
            return VersionSide::Old;
        }
        if !has_old {
            // The request has no other replica, and the version was not found bad.
            return VersionSide::New;
        }
        let part = plan::exposure_part(phase);
        let is_drawn = self.is_confirmed(now)
            && match phase {
                RolloutPhase::Share { per_mille, .. } => {
                    draw * 1_000.0 < f64::from(per_mille) && self.may_expose(limits, part, now)
                }
                RolloutPhase::Trial => self.may_expose(limits, part, now),
                RolloutPhase::Trusted => true,
                _ => false,
            };
        if is_drawn { VersionSide::New } else { VersionSide::Old }
    }

    /// Returns whether one more request is within this fraction of this daemon's part of the exposure.
    fn may_expose(&self, limits: &ExposureLimits, fraction: f64, now: time::MonotonicTime) -> bool {
        if self.is_late || now.since(self.ordered_at) >= self.order.duration {
            return false;
        }
        let (mut requests, mut sent) = (0.0, 0.0);
        for counts in self.local.values() {
            requests += (counts.old.sent + counts.new.sent) as f64;
            sent += counts.new.sent as f64;
        }
        let age = now.since(self.ordered_at);
        let rate = requests / age.max(MIN_RATE_TIME).get() as f64;
        let expected = requests + rate * self.order.duration.saturating_sub(age).get() as f64;
        let slack = SLACK_FRACTION * limits.slack / f64::from(self.max_daemons);
        let allowed = SHARE_FRACTION * limits.share * expected + slack;
        sent + 1.0 <= (fraction * allowed + self.rounding).floor()
    }

    /// Returns the side of a version.
    pub fn side(&self, version: Option<&replica::SoftwareVersion>) -> VersionSide {
        if version == Some(&self.order.to) { VersionSide::New } else { VersionSide::Old }
    }

    /// Counts a request that is sent.
    pub fn on_send(&mut self, route: &str, side: VersionSide) {
        self.counts(route, side).sent += 1;
    }

    /// Counts the end of an attempt.
    pub fn on_end(&mut self, route: &str, side: VersionSide, result: AttemptResult) {
        let counts = self.counts(route, side);
        counts.ended += 1;
        counts.failed += u64::from(result == AttemptResult::Failed);
    }

    /// Counts the latency of a response that began.
    pub fn on_latency(&mut self, route: &str, side: VersionSide, latency: time::Millis) {
        self.counts(route, side).add_latency(latency);
    }

    /// Sets the number of this daemon's requests in progress at the old version.
    pub fn set_old_in_progress(&mut self, count: u32) {
        self.old_in_progress = count;
    }

    fn counts(&mut self, route: &str, side: VersionSide) -> &mut verdict::VersionCounts {
        let is_many = self.local.len() >= MAX_ROUTES && !self.local.contains_key(route);
        let route = if is_many { OTHER_ROUTES } else { route };
        let counts = self.local.entry(route.into()).or_default();
        if counts.route.is_empty() {
            counts.route = route.into();
        }
        match side {
            VersionSide::Old => &mut counts.old,
            VersionSide::New => &mut counts.new,
        }
    }

    /// Observes the number of live daemons. The slack is divided among the most there were, so that a
    /// cut does not increase the parts.
    pub fn observe_daemons(&mut self, daemons: u32) {
        self.max_daemons = self.max_daemons.max(daemons);
    }
}
