//! Times of the last responses of other daemons.

use std::collections;
use std::sync;
use std::time;

use samphiremoor_base::id;

/// Age of the last response of a daemon after which the daemon is pinged before it gets a call.
const MAX_CONTACT_AGE: time::Duration = time::Duration::from_millis(500);

/// When each daemon last responded.
#[derive(Debug, Default)]
pub(crate) struct ContactTimes {
    times: sync::Mutex<collections::HashMap<id::DaemonId, time::Instant>>,
}

impl ContactTimes {
    pub(crate) fn new() -> Self {
        ContactTimes::default()
    }

    /// Returns whether the daemon responded so recently that no ping is needed.
    pub(crate) fn is_fresh(&self, daemon: &id::DaemonId) -> bool {
        let times = self.times.lock().unwrap_or_else(sync::PoisonError::into_inner);
        times.get(daemon).is_some_and(|responded_at| responded_at.elapsed() < MAX_CONTACT_AGE)
    }

    /// Records a response of the daemon.
    pub(crate) fn record(&self, daemon: &id::DaemonId) {
        let mut times = self.times.lock().unwrap_or_else(sync::PoisonError::into_inner);
        times.insert(daemon.clone(), time::Instant::now());
    }

    /// Removes a daemon that did not respond.
    pub(crate) fn remove(&self, daemon: &id::DaemonId) {
        let mut times = self.times.lock().unwrap_or_else(sync::PoisonError::into_inner);
        times.remove(daemon);
    }
}
