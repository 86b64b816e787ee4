//! Daemons that did not answer, while others try them.

use std::collections;

use samphiremoor_base::id;

/// What the answers of the probers so far say of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeResult {
    /// Another prober has not answered yet, or the daemon is not being tried.
    Open,
    /// No prober reached the daemon.
    Unreached,
}

/// Probers that have not answered yet, by the daemon that they try.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeTable {
    open: collections::BTreeMap<id::DaemonId, usize>,
}

impl ProbeTable {
    /// Whether others try the daemon.
    pub(crate) fn has(&self, target: &id::DaemonId) -> bool {
        self.open.contains_key(target)
    }

    /// This many probers try the daemon.
    pub(crate) fn start(&mut self, target: &id::DaemonId, probers: usize) {
        self.open.insert(target.clone(), probers);
    }

    /// The daemon was reached or was heard of itself: what other probers say is not awaited.
    pub(crate) fn reached(&mut self, target: &id::DaemonId) {
        self.open.remove(target);
    }

    /// A prober did not reach the daemon.
    pub(crate) fn missed(&mut self, target: &id::DaemonId) -> ProbeResult {
        let Some(left) = self.open.get_mut(target) else { return ProbeResult::Open };
        *left -= 1;
        if *left > 0 {
            return ProbeResult::Open;
        }
        self.open.remove(target);
        ProbeResult::Unreached
    }
}
