//! Crashes of replicas under requests with prompts.

use std::rc;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::quarantine;

use crate::context;
use crate::core;
use crate::crash_probe;
use crate::upstream;

/// Interval between checks for the result of a probe of another request.
const PROBE_CHECK_INTERVAL: time::Millis = time::Millis::new(5);
/// Shortest `Retry-After` of a request that is refused for a quarantined segment.
const MIN_RETRY_AFTER: time::Millis = time::Millis::new(1_000);
/// Time from the first event of a stream after which it has gone on.
pub(crate) const SURVIVAL_TIME: time::Millis = time::Millis::new(1_000);

/// What follows for a request whose attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailureVerdict {
    /// The request may be sent to another replica, if it may be repeated.
    MayRepeat,
    /// The replica crashed, and the request may have caused that.
    IsSuspect,
}

impl context::RequestContext<'_> {
    /// Finds out whether the replica of a failed attempt has crashed, and reports the crash. The
    /// response must not have gone on there.
    pub(crate) async fn check_crash(&self, start: &crash_probe::ReplicaStart) -> FailureVerdict {
        let shared = quarantine::shared_segments(self.request.metadata.prompt.as_ref());
        if shared.is_empty() || !self.is_in_service(start) || !has_crashed(self.core, start).await {
            return FailureVerdict::MayRepeat;
        }
        let segments: Vec<_> = shared.iter().map(ToString::to_string).collect();
        log_event!(
            event::LogEvent::UpstreamCrashed,
            replica = start.replica,
            request = self.request_id(),
            segments = segments.join(","),
        );
        self.core.metrics.count_replica_crash();
        let mut state = self.core.state.borrow_mut();
        let instant = state.clock_instant(self.core.now());
        let changes =
            state.quarantine.observe_crash(&start.replica, start.incarnation, &shared, instant);
        let may_repeat = state.quarantine.may_repeat(&shared, instant);
        drop(state);
        self.core.apply_quarantine_changes(&changes, "crashes");
        if may_repeat { FailureVerdict::MayRepeat } else { FailureVerdict::IsSuspect }
    }

    /// Returns the time until requests with a prompt segment of this one may be served, if one is
    /// quarantined.
    pub(crate) fn quarantine_wait(&self) -> Option<time::Millis> {
        if self.request.tests_verdict {
            return None;
        }
        let shared = quarantine::shared_segments(self.request.metadata.prompt.as_ref());
        let mut state = self.core.state.borrow_mut();
        let instant = state.clock_instant(self.core.now());
        let (segment, wait) = state.quarantine.find_quarantined(&shared, instant)?;
        state.quarantine.record_refusal(segment, instant.now);
        Some(wait.max(MIN_RETRY_AFTER))
    }

    /// Whether a prompt segment of this request is quarantined, or crashes speak against it and no
    /// response with it has gone on.
    pub(crate) fn is_suspect(&self) -> bool {
        let shared = quarantine::shared_segments(self.request.metadata.prompt.as_ref());
        let state = self.core.state.borrow();
        let instant = state.clock_instant(self.core.now());
        state.quarantine.is_suspect(&shared, instant)
    }

    /// Whether the replica is known and not leaving, so that it had no reason to close connections.
    fn is_in_service(&self, start: &crash_probe::ReplicaStart) -> bool {
        let state = self.core.state.borrow();
        state.replicas.get(&start.replica).is_some_and(|known_replica| {
            !known_replica.entry.is_draining
                && known_replica.entry.is_of_start(start.incarnation, start.address)
        })
    }
}

/// Probes a replica, or waits for the probe of another request that ended with it.
async fn has_crashed(core: &rc::Rc<core::GatewayCore>, start: &crash_probe::ReplicaStart) -> bool {
    loop {
        let now = core.now();
        let probe = core.state.borrow().crash_probes.get(&start.replica).copied();
        match probe.filter(|probe| probe.is_recent(now)) {
            Some(crash_probe::CrashProbe { has_crashed: Some(has_crashed), .. }) => {
                return has_crashed;
            }
            Some(_) => task::sleep(PROBE_CHECK_INTERVAL.to_duration()).await,
            None => break,
        }
    }
    let mut probe = crash_probe::CrashProbe { started_at: core.now(), has_crashed: None };
    core.state.borrow_mut().crash_probes.insert(start.replica.clone(), probe);
    let has_crashed = upstream::refuses_connections(core, &start.replica, start.address).await;
    probe.has_crashed = Some(has_crashed);
    core.state.borrow_mut().crash_probes.insert(start.replica.clone(), probe);
    has_crashed
}
