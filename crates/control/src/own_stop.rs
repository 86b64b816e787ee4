//! Tells a drain of the daemon's own VM from a reclaim of it.
//!
//! A drained VM waits for its requests; a reclaimed one has seconds. Membership only says that the
//! VM leaves, so the drain marks and the notices are read once it does.

use samphiremoor_base::time;
use samphiremoor_view::zone;

/// Time after which a stop without a known cause counts as a reclaim.
const SETTLE_LIMIT: time::Millis = time::Millis::new(2_000);

/// What is known of the stop of the daemon's own VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnStop {
    leaving_since: Option<time::MonotonicTime>,
    is_drained: bool,
    is_reclaimed: bool,
}

impl OwnStop {
    /// The VM leaves; true the first time.
    pub(crate) fn note_leaving(&mut self, now: time::MonotonicTime) -> bool {
        let is_first = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_first
    }

    /// Whether the VM leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// The drain marks were read.
    pub(crate) fn drains_read(&mut self, is_marked: bool) {
        self.is_drained |= is_marked;
    }

    /// The reclaim of the VM was announced.
    pub(crate) fn notice_read(&mut self) {
        self.is_reclaimed = true;
    }

    /// The cause as far as it is known; none while the VM does not leave.
    pub(crate) fn cause(&self, now: time::MonotonicTime) -> Option<zone::StopCause> {
        let since = self.leaving_since?;
        if self.is_reclaimed {
            return Some(zone::StopCause::Reclaim);
        }
        if self.is_drained {
            return Some(zone::StopCause::Drain);
        }
        // The platform may be down, and a stop of unknown cause must not be too late.
        let is_late = now.since(since) >= SETTLE_LIMIT;
        Some(if is_late { zone::StopCause::Reclaim } else { zone::StopCause::Unsettled })
    }
}
