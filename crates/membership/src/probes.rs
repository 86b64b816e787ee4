//! Pending indirect probes of daemons that did not respond.

use std::collections;

use samphiremoor_base::id;

/// Combined result of the indirect probes of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeResult {
    /// A prober has not responded yet, or the daemon is no longer being probed.
    Pending,
    /// No prober reached the daemon.
    Unreachable,
}

/// Number of probers that have not responded yet, by probed daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeTable {
    pending_counts: collections::BTreeMap<id::DaemonId, usize>,
}

impl ProbeTable {
    /// Returns whether the daemon is being probed.
    pub(crate) fn contains(&self, target: &id::DaemonId) -> bool {
        self.pending_counts.contains_key(target)
    }

    /// Starts tracking the given number of probers of the daemon.
    pub(crate) fn start(&mut self, target: &id::DaemonId, prober_count: usize) {
        self.pending_counts.insert(target.clone(), prober_count);
    }

    /// Records that a prober reached the daemon or that the daemon sent a message. The remaining
    /// probe results are ignored.
    pub(crate) fn record_reached(&mut self, target: &id::DaemonId) {
        self.pending_counts.remove(target);
    }

    /// Records that a prober did not reach the daemon and returns the combined result.
    pub(crate) fn record_missed(&mut self, target: &id::DaemonId) -> ProbeResult {
        let Some(remaining) = self.pending_counts.get_mut(target) else {
            return ProbeResult::Pending;
        };
        *remaining -= 1;
        if *remaining > 0 {
            return ProbeResult::Pending;
        }
        self.pending_counts.remove(target);
        ProbeResult::Unreachable
    }
}
