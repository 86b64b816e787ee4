//! State of the quarantine of calls and messages, and its notices to other daemons.

use std::collections::HashMap;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::quarantine;
use serde::Deserialize;
use serde::Serialize;

/// Time for which the result of a probe counts for other calls that ended with the engine.
const PROBE_MEMORY: time::Millis = time::Millis::new(300);

/// Notices of crashes and of what is quarantined for them, from another daemon. `N` is what all releases
/// read, or what earlier ones don't.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NewsRequest<N> {
    /// Availability zone that the notices are of.
    pub zone: id::ZoneId,
    /// Whether the first daemon of the receiver's zone passes them on.
    pub is_relayed: bool,
    /// The notices.
    pub notices: Vec<N>,
}

/// Notices about messages.
pub type MessageNews = NewsRequest<quarantine::SegmentNoticeWire>;
/// Notices about whole calls.
pub type CallNews = NewsRequest<quarantine::RequestNoticeWire>;

/// Calls and messages under which upstreams crash, as this daemon knows them.
#[derive(Debug, Default)]
pub struct MessageQuarantine {
    table: sync::Mutex<quarantine::QuarantineTable>,
    /// When upstreams were probed last, and whether they had crashed.
    probes: sync::Mutex<HashMap<id::ReplicaId, (time::MonotonicTime, bool)>>,
}

impl MessageQuarantine {
    /// Runs a function on the table.
    pub(crate) fn with_table<T>(
        &self,
        run: impl FnOnce(&mut quarantine::QuarantineTable) -> T,
    ) -> T {
        run(&mut self.table.lock().unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Returns whether a recent probe found that an engine had crashed; `None` without one.
    pub(crate) fn probe_result(
        &self,
        replica: &id::ReplicaId,
        now: time::MonotonicTime,
    ) -> Option<bool> {
        let probes = self.probes.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let (probed_at, has_crashed) = probes.get(replica)?;
        (now.since(*probed_at) < PROBE_MEMORY).then_some(*has_crashed)
    }

    /// Records the result of a probe that began at `probed_at`.
    pub(crate) fn record_probe(
        &self,
        replica: &id::ReplicaId,
        has_crashed: bool,
        probed_at: time::MonotonicTime,
    ) {
        let mut probes = self.probes.lock().unwrap_or_else(sync::PoisonError::into_inner);
        probes.retain(|_, (earlier_at, _)| probed_at.since(*earlier_at) < PROBE_MEMORY);
        probes.insert(replica.clone(), (probed_at, has_crashed));
    }
}
