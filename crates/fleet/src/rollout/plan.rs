//! Phases of a rollout, chosen by the holder of the duty lease.

use samphiremoor_base::position;
use samphiremoor_base::time;

use super::ExposureLimits;
use super::RolloutPhase;
use super::RowState;
use super::ServiceRollout;
use super::exposure;
use super::verdict;

/// Fraction of the duration, in thousandths, for which the old version is observed alone.
const OBSERVE_PER_MILLE: u64 = 80;
/// Time by which each phase lasts longer than digests take between daemons, so that its failures are
/// known before the next phase. A response to a plain request takes some hundred milliseconds.
const PHASE_MARGIN: time::Millis = time::Millis::new(100);
/// The same for the trial, whose failures must be known before the exposure ends.
const TRIAL_MARGIN: time::Millis = time::Millis::new(350);
/// Part of the duration by which a version should be trusted. Phases get shorter if a change of the
/// holder has delayed them.
const TRUSTED_BY: f64 = 0.8;
/// Steps before full traffic: the part of the duration, the part of the exposure and the largest
/// share of each. Most of the exposure is kept for full traffic. With a third step, streams
/// of 5 s at the old version would not end within an order of 12 s.
const STEPS: [(f64, f64, f64); 2] = [(0.12, 0.1, 0.35), (0.12, 0.15, 0.75)];
/// Part of the exposure that may be used by the end of the trial. The rest is kept for a version that
/// turns bad once it is trusted, until that is known to all daemons.
const TRIAL_EXPOSURE: f64 = 0.45;
/// Part of the duration for which full traffic is tried within the exposure.
const TRIAL_PART: f64 = 0.14;
/// Number of responses of the new version from which it can be trusted, unless the service has few
/// requests, and this fraction of all of them, as a divisor.
const MIN_EVIDENCE: u64 = 10;
const EVIDENCE_DIVISOR: u64 = 20;
/// Number of responses of the new version from which the rollout can complete before
/// [`LATEST_COMPLETION_PER_MILLE`] of the duration have passed. Fewer may hide that a part fails.
const MIN_COMPLETION_EVIDENCE: u64 = 300;
/// Part of the duration, in thousandths, from which a trusted version completes with less evidence.
const LATEST_COMPLETION_PER_MILLE: u64 = 850;
/// Number of durations after which a trusted version that not all daemons use is rolled back.
const MAX_DURATIONS: u64 = 2;

/// Returns the fraction of the exposure that may be used by the end of a phase, before the new version is
/// trusted. A phase that lasts longer than planned leaves the rest to the following ones.
pub(super) fn exposure_part(phase: RolloutPhase) -> f64 {
    match phase {
        RolloutPhase::Share { step, .. } => {
            STEPS.iter().take(usize::from(step) + 1).map(|(_, part, _)| part).sum()
        }
        RolloutPhase::Trial => TRIAL_EXPOSURE,
        _ => 0.0,
    }
}

/// What the lease holder knows besides the rollout.
#[derive(Clone, Copy, Debug)]
pub struct HolderView {
    /// Position of the holder's lease row.
    pub lease: position::StorePosition,
    /// Number of live daemons, including this one.
    pub daemons: u32,
    /// Time after which all daemons know of an event at one of them.
    pub propagation: time::Millis,
    /// Number of known replicas of the new version.
    pub new_replicas: usize,
    /// Whether the table responded to the holder's last call. If not, no phase is advanced.
    pub has_table: bool,
}

impl ServiceRollout {
    /// Chooses the phase, as the holder of the lease, and returns the state that the status row should
    /// have. `Completed` takes effect by [`ServiceRollout::observe_row`] after the row is written.
    pub fn advance(
        &mut self,
        limits: &ExposureLimits,
        view: &HolderView,
        now: time::MonotonicTime,
    ) -> RowState {
        let phase = self.phase();
        match phase {
            RolloutPhase::Completed => return RowState::Completed,
            RolloutPhase::RolledBack => return RowState::RolledBack,
            _ => {}
        }
        let age = now.since(self.ordered_at);
        let duration = self.order.duration.get();
        let limit = match phase {
            RolloutPhase::Trusted => duration.saturating_mul(MAX_DURATIONS),
            _ => duration,
        };
        let is_over = age.get() >= limit;
        let has_vanished = phase > RolloutPhase::Observe && view.new_replicas == 0;
        if self.is_vetoed || is_over || has_vanished {
            self.set_phase(RolloutPhase::RolledBack, view.lease, now);
            return RowState::RolledBack;
        }
        if !self.is_confirmed(now)
            && let Some(known) = &mut self.known
        {
            // Without a confirmation no daemon sent requests in the phase, which therefore begins again.
            known.began_at = now;
        }
        let phase_age = self.known.map_or(age, |known| now.since(known.began_at));
        let next = match view.has_table {
            true => self.next_phase(limits, view, (age, phase_age)),
            false => phase,
        };
        self.set_phase(next, view.lease, now);
        let latest = duration.saturating_mul(LATEST_COMPLETION_PER_MILLE) / 1_000;
        let seen = self.sum_counts().map_or(0, |(_, new)| new.seen());
        let is_complete = next == RolloutPhase::Trusted
            && phase == next
            && view.has_table
            && (seen >= MIN_COMPLETION_EVIDENCE || age.get() >= latest)
            && phase_age >= view.propagation + PHASE_MARGIN
            && self.settled_daemons(now) >= view.daemons;
        if is_complete { RowState::Completed } else { RowState::Running }
    }

    fn next_phase(
        &self,
        limits: &ExposureLimits,
        view: &HolderView,
        (age, phase_age): (time::Millis, time::Millis),
    ) -> RolloutPhase {
        let duration = self.order.duration.get();
        let length = |index: usize| self.phase_length(index, view, before_phase(age, phase_age));
        match self.phase() {
            RolloutPhase::Observe => {
                let wait = time::Millis::new(duration.saturating_mul(OBSERVE_PER_MILLE) / 1_000);
                let is_due = age >= wait && view.new_replicas > 0;
                if is_due { self.share_phase(limits, 0, age) } else { RolloutPhase::Observe }
            }
            phase @ RolloutPhase::Share { step, .. } => {
                let index = usize::from(step).min(STEPS.len() - 1);
                if phase_age < length(index) || !self.has_evidence(0) {
                    phase
                } else if index + 1 < STEPS.len() {
                    self.share_phase(limits, index + 1, age)
                } else {
                    RolloutPhase::Trial
                }
            }
            RolloutPhase::Trial => {
                let is_due = phase_age >= length(STEPS.len());
                let is_trusted = is_due && self.has_evidence(MIN_EVIDENCE);
                if is_trusted { RolloutPhase::Trusted } else { RolloutPhase::Trial }
            }
            phase => phase,
        }
    }

    /// Returns the length of a step, or of the trial after the last one, that began at this age of the
    /// order.
    fn phase_length(&self, index: usize, view: &HolderView, began: time::Millis) -> time::Millis {
        let duration = self.order.duration.get() as f64;
        let part = STEPS.get(index).map_or(TRIAL_PART, |(part, ..)| *part);
        let following = STEPS.iter().skip(index + 1).map(|(part, ..)| part).sum::<f64>();
        let parts_left =
            if index < STEPS.len() { part + following + TRIAL_PART } else { TRIAL_PART };
        let time_left = (TRUSTED_BY * duration - began.get() as f64).max(0.0);
        let length = (part * duration).min(part / parts_left * time_left);
        let margin = if index < STEPS.len() { PHASE_MARGIN } else { TRIAL_MARGIN };
        time::Millis::new(length as u64).max(view.propagation + margin)
    }

    /// Returns the phase of a step whose share uses up the step's part of the exposure.
    fn share_phase(&self, limits: &ExposureLimits, step: usize, age: time::Millis) -> RolloutPhase {
        let (part, exposure_part, max_share) = STEPS[step];
        let duration = self.order.duration;
        let requests = self.sum_counts().map_or(0.0, |(old, new)| (old.sent + new.sent) as f64);
        let per_ms = requests / age.get().max(1) as f64;
        let exposure = exposure::SHARE_FRACTION * limits.share * per_ms * duration.get() as f64
            + exposure::SLACK_FRACTION * limits.slack;
        let step_requests = per_ms * part * duration.get() as f64;
        let share = (exposure_part * exposure / step_requests.max(1.0)).min(max_share);
        RolloutPhase::Share { step: step as u8, per_mille: (share * 1_000.0) as u16 }
    }

    /// Returns whether the new version has given at least `count` responses, or a part of all if
    /// there are few requests, and half of those that it got have ended.
    fn has_evidence(&self, count: u64) -> bool {
        let Some((old, new)) = self.sum_counts() else { return true };
        new.seen() >= count.min(old.sent.saturating_add(new.sent) / EVIDENCE_DIVISOR)
            && new.seen().saturating_mul(2) >= new.sent
    }

    fn sum_counts(&self) -> Option<(verdict::VersionCounts, verdict::VersionCounts)> {
        let pairs = self.totals().into_values().map(|counts| (counts.old, counts.new));
        pairs.reduce(|sum, pair| (sum.0.plus(pair.0), sum.1.plus(pair.1)))
    }

    /// Returns the number of daemons that are known to be settled.
    fn settled_daemons(&self, now: time::MonotonicTime) -> u32 {
        let own = u32::from(self.is_settled(now));
        let reports = self.peers.values().map(|report| report.current_settled(now));
        reports.fold(own, u32::saturating_add)
    }
}

/// Returns the age of the order when the phase began.
fn before_phase(age: time::Millis, phase_age: time::Millis) -> time::Millis {
    age.saturating_sub(phase_age)
}
