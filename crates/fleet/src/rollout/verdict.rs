//! Verdict on the new version of a rollout by its responses and those of the old version.

use std::fmt;

use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use super::RouteCounts;
use super::RouteTotals;

/// Failure rate that a good version may have on top of that of the old version. Single failures
/// occur when a replica's VM is reclaimed.
const EXTRA_FAILURE_RATE: f64 = 0.01;
/// Failures in excess of the expected ones from which a version is bad.
const MIN_EXCESS_FAILURES: f64 = 3.0;
/// Standard deviations by which failures or latencies must exceed the expected ones.
const DEVIATIONS: f64 = 3.0;
/// Standard deviations by which the failure rate of the old version may be higher than it was seen.
const RATE_DEVIATIONS: f64 = 1.5;
/// Number of responses of each version from which latencies are compared.
const MIN_TIMED: u64 = 15;
/// Difference of the mean logarithms from which all responses count as slow: 2.5 times as long. Empty
/// prefix caches and slower machines of new replicas nearly double the time to the first event.
const SLOW_LOG_RATIO: f64 = 0.92;
/// Difference of the mean logarithms from which a part of the responses may be slow.
const PARTLY_SLOW_LOG_RATIO: f64 = 0.1;
/// Factor by which the spread of the logarithms grows if a part of the responses is slow, and a
/// spread below which it is not compared.
const SPREAD_GROWTH: (f64, f64) = (2.5, 0.1);
/// Number of recent responses of the old version below which only all since the order are compared.
const MIN_RECENT_ENDED: u64 = 20;

/// Why a version is bad.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadReason {
    /// Too many requests fail.
    Failures,
    /// Responses take several times as long, or a part of them does.
    Slow,
}

impl fmt::Display for BadReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadReason::Failures => "failures",
            BadReason::Slow => "slow",
        })
    }
}

/// Requests that were sent to replicas of a version. All counts never decrease.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VersionCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended with a response or a failure.
    pub ended: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Responses whose latency is in the sums.
    pub timed: u64,
    /// Sum of the natural logarithms of the latencies in milliseconds, in thousandths.
    pub log_sum: u64,
    /// Sum of the squares of these logarithms, in thousandths.
    pub log_squares: u64,
}

impl VersionCounts {
    /// Counts a response that began after `latency`.
    pub fn add_latency(&mut self, latency: time::Millis) {
        let log = (latency.get().max(1) as f64).ln();
        self.timed += 1;
        self.log_sum += (log * 1_000.0) as u64;
        self.log_squares += (log * log * 1_000.0) as u64;
    }

    fn combine(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        VersionCounts {
            sent: combine(self.sent, other.sent),
            ended: combine(self.ended, other.ended),
            failed: combine(self.failed, other.failed),
            timed: combine(self.timed, other.timed),
            log_sum: combine(self.log_sum, other.log_sum),
            log_squares: combine(self.log_squares, other.log_squares),
        }
    }

    /// Returns the sums of both.
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the larger value of each count.
    pub fn max(self, other: Self) -> Self {
        self.combine(other, u64::max)
    }

    /// Returns what was counted since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        self.combine(earlier, u64::saturating_sub)
    }

    /// Returns the number of requests to which a response has begun or that have ended. Streams begin
    /// seconds before they end.
    pub fn seen(&self) -> u64 {
        self.ended.max(self.timed)
    }

    /// Returns the mean and the variance of the logarithms of the latencies.
    fn log_moments(&self) -> (f64, f64) {
        let count = self.timed.max(1) as f64;
        let mean = self.log_sum as f64 / 1_000.0 / count;
        (mean, (self.log_squares as f64 / 1_000.0 / count - mean * mean).max(0.0))
    }
}

/// Judges by the counts of all routes since the order, and since the `earlier` ones. Each route is
/// judged by itself, and all together for failures that are few on each route.
pub(super) fn judge(totals: &RouteTotals, earlier: Option<&RouteTotals>) -> Option<BadReason> {
    if totals.values().all(|counts| counts.old.seen() == 0) {
        // There is nothing to compare with, and perhaps no other version that serves.
        return None;
    }
    let mut sum = RouteCounts::default();
    let mut recent_sum = RouteCounts::default();
    for (route, counts) in totals {
        let recent = match earlier {
            Some(earlier) => {
                let known = earlier.get(route).cloned().unwrap_or_default();
                (counts.new.since(known.new), counts.old.since(known.old))
            }
            None => (counts.new, counts.old),
        };
        let reason = compare(&counts.new, &counts.old)
            .or_else(|| compare_recent(&recent.0, &recent.1, &counts.old));
        if reason.is_some() {
            return reason;
        }
        sum.new = sum.new.plus(counts.new);
        sum.old = sum.old.plus(counts.old);
        recent_sum.new = recent_sum.new.plus(recent.0);
        recent_sum.old = recent_sum.old.plus(recent.1);
    }
    // Latencies of different routes are not compared: the versions may serve them in different parts.
    let is_failing = has_excess_failures(&sum.new, &sum.old)
        || has_excess_failures(&recent_sum.new, &sum.old)
            && is_confirmed(&recent_sum.old, |old| has_excess_failures(&recent_sum.new, old));
    is_failing.then_some(BadReason::Failures)
}

/// Compares recent responses with those of the old version since the order, and with its recent ones,
/// since both versions may fail or be slow at times.
fn compare_recent(
    new: &VersionCounts,
    old: &VersionCounts,
    all_old: &VersionCounts,
) -> Option<BadReason> {
    let reason = compare(new, all_old)?;
    is_confirmed(old, |old| compare(new, old).is_some()).then_some(reason)
}

/// Returns whether the recent responses of the old version confirm a verdict, or are too few.
fn is_confirmed(old: &VersionCounts, confirms: impl FnOnce(&VersionCounts) -> bool) -> bool {
    old.seen() < MIN_RECENT_ENDED || confirms(old)
}

fn compare(new: &VersionCounts, old: &VersionCounts) -> Option<BadReason> {
    if has_excess_failures(new, old) {
        return Some(BadReason::Failures);
    }
    is_slow(new, old).then_some(BadReason::Slow)
}

fn has_excess_failures(new: &VersionCounts, old: &VersionCounts) -> bool {
    // The rate of the old version is uncertain while it has few failures.
    let old_failed = old.failed as f64;
    let old_rate = (old_failed + RATE_DEVIATIONS * old_failed.sqrt()) / old.seen().max(1) as f64;
    let expected = new.seen() as f64 * (old_rate + EXTRA_FAILURE_RATE);
    new.failed as f64 > expected + DEVIATIONS * expected.sqrt() + MIN_EXCESS_FAILURES
}

fn is_slow(new: &VersionCounts, old: &VersionCounts) -> bool {
    if new.timed < MIN_TIMED || old.timed < MIN_TIMED {
        return false;
    }
    let ((new_mean, new_variance), (old_mean, old_variance)) =
        (new.log_moments(), old.log_moments());
    let error = (new_variance / new.timed as f64 + old_variance / old.timed as f64).sqrt();
    let excess = new_mean - old_mean - DEVIATIONS * error;
    // Mean square distance of the new latencies from the old mean.
    let spread = new_variance + (new_mean - old_mean).powi(2);
    let has_slow_part = spread > SPREAD_GROWTH.0 * (old_variance + SPREAD_GROWTH.1);
    excess > SLOW_LOG_RATIO || has_slow_part && excess > PARTLY_SLOW_LOG_RATIO
}
