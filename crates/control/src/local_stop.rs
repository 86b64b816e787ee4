//! Distinguishes a drain of the local VM from a reclaim.
//!
//! A drained VM waits for its requests to finish; a reclaimed VM has only seconds. The membership
//! only shows that the VM is leaving, so the drain marks and the reclaim notices are read once the VM
//! is leaving.

use samphiremoor_base::time;
use samphiremoor_view::zone;

/// Time after which a stop without a known cause is treated as a reclaim.
const CAUSE_TIMEOUT: time::Millis = time::Millis::new(2_000);

/// State of the stop of the local VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalStop {
    /// Time at which the VM was first recorded as leaving.
    leaving_since: Option<time::MonotonicTime>,
    is_drained: bool,
    is_reclaimed: bool,
}

impl LocalStop {
    /// Records that the VM is leaving and returns whether this is new.
    pub(crate) fn record_leaving(&mut self, now: time::MonotonicTime) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Returns whether the VM is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Records whether the drain marks that were read include the local VM.
    pub(crate) fn record_drain_marks(&mut self, is_marked: bool) {
        self.is_drained |= is_marked;
    }

    /// Records that the reclaim of the VM was announced.
    pub(crate) fn record_reclaim(&mut self) {
        self.is_reclaimed = true;
    }

    /// Returns the cause of the stop as far as it is known, or `None` if the VM is not leaving.
    pub(crate) fn cause(&self, now: time::MonotonicTime) -> Option<zone::StopCause> {
        let leaving_since = self.leaving_since?;
        if self.is_reclaimed {
            return Some(zone::StopCause::Reclaim);
        }
        if self.is_drained {
            return Some(zone::StopCause::Drain);
        }
        // The cause stays unknown while the platform is unavailable. Waiting longer could miss the
        // deadline of a reclaim.
        let is_timed_out = now.since(leaving_since) >= CAUSE_TIMEOUT;
        Some(if is_timed_out { zone::StopCause::Reclaim } else { zone::StopCause::Unsettled })
    }
}
