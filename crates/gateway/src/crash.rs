//! Crashes of replicas under requests.

use std::rc;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::suspect;

use crate::context;
use crate::core;
use crate::crash_probe;
use crate::relay_directory;
use crate::tunnel;
use crate::upstream;

/// Interval between checks for the result of a probe of another request.
const PROBE_CHECK_INTERVAL: time::Millis = time::Millis::new(5);
/// Shortest `Retry-After` of a request that is quarantined.
const MIN_RETRY_AFTER: time::Millis = time::Millis::new(1_000);
/// Time from the first event of a stream after which it has survived.
pub(crate) const SURVIVAL_TIME: time::Millis = time::Millis::new(1_000);

/// Largest body that is hashed for each response that survives. Larger ones are hashed only while
/// requests are suspected.
const MAX_HASHED_BODY: usize = 64 * 1024;

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
    /// response must not have survived there.
    pub(crate) async fn check_crash(&self, start: &crash_probe::ReplicaStart) -> FailureVerdict {
        if !self.is_in_service(start) || !has_crashed(self.core, start).await {
            return FailureVerdict::MayRepeat;
        }
        let suspects = self.suspects();
        let names: Vec<_> = suspects.iter().map(ToString::to_string).collect();
        log_event!(
            event::LogEvent::UpstreamCrashed,
            replica = start.replica,
            request = self.request_id(),
            suspects = names.join(","),
        );
        self.core.metrics.count_replica_crash();
        let mut state = self.core.state.borrow_mut();
        let instant = state.clock_instant(self.core.now());
        let changes =
            state.quarantine.observe_crash(&start.replica, start.incarnation, &suspects, instant);
        let may_repeat = state.quarantine.may_repeat(&suspects, instant);
        drop(state);
        self.core.apply_quarantine_changes(&changes, "crashes");
        if may_repeat { FailureVerdict::MayRepeat } else { FailureVerdict::IsSuspect }
    }

    /// Observes that a response to this request survived.
    pub(crate) fn observe_survival(&self) {
        let mut survivors = suspect::all_segments(self.request.metadata.prompt.as_ref());
        let mut state = self.core.state.borrow_mut();
        if self.request.body.len() <= MAX_HASHED_BODY || state.quarantine.has_request_suspects() {
            survivors.push(suspect::SuspectId::Request(self.request.fingerprint()));
        }
        let instant = state.clock_instant(self.core.now());
        let changes = state.quarantine.observe_survival(&survivors, instant);
        drop(state);
        self.core.apply_quarantine_changes(&changes, "response");
    }

    /// Returns what of this request replicas may crash under: its shared prompt segments and the whole
    /// of it.
    fn suspects(&self) -> suspect::SuspectIds {
        let mut suspects = suspect::shared_segments(self.request.metadata.prompt.as_ref());
        suspects.push(suspect::SuspectId::Request(self.request.fingerprint()));
        suspects
    }

    /// Returns [`suspects`](Self::suspects), without the whole request while no request is suspected.
    fn known_suspects(&self) -> suspect::SuspectIds {
        match self.core.state.borrow().quarantine.has_request_suspects() {
            true => self.suspects(),
            false => suspect::shared_segments(self.request.metadata.prompt.as_ref()),
        }
    }

    /// Returns the time until requests with a suspect of this one may be served, if one is
    /// quarantined.
    pub(crate) fn quarantine_wait(&self) -> Option<time::Millis> {
        if self.request.tests_verdict {
            return None;
        }
        let suspects = self.known_suspects();
        let mut state = self.core.state.borrow_mut();
        let instant = state.clock_instant(self.core.now());
        let (suspect, wait) = state.quarantine.find_quarantined(&suspects, instant)?;
        state.quarantine.record_refusal(suspect, instant.now);
        Some(wait.max(MIN_RETRY_AFTER))
    }

    /// Whether a suspect of this request is quarantined, or crashes speak against it and no response
    /// with it has survived.
    pub(crate) fn is_suspect(&self) -> bool {
        let suspects = self.known_suspects();
        let state = self.core.state.borrow();
        let instant = state.clock_instant(self.core.now());
        state.quarantine.is_suspect(&suspects, instant)
    }

    /// Whether the replica is known and not leaving, so that it had no reason to close connections.
    fn is_in_service(&self, start: &crash_probe::ReplicaStart) -> bool {
        let state = self.core.state.borrow();
        state.replicas.get(&start.replica).is_some_and(|known_replica| {
            !known_replica.is_leaving()
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
    let has_crashed = match core.tunnel_target(&start.replica, start.address) {
        Some(target) => Box::pin(is_down(core, start, &target, probe.started_at)).await,
        None => false,
    };
    probe.has_crashed = Some(has_crashed);
    core.state.borrow_mut().crash_probes.insert(start.replica.clone(), probe);
    has_crashed
}

/// Returns whether a replica is down: it refuses the connections of this daemon, whose path is sound, and
/// of another one.
async fn is_down(
    core: &rc::Rc<core::GatewayCore>,
    start: &crash_probe::ReplicaStart,
    target: &relay_directory::TunnelTarget,
    probed_at: time::MonotonicTime,
) -> bool {
    let has_lost_path = core.is_path_suspected(target);
    if !has_lost_path && !upstream::refuses_connections(core, &start.replica, start.address).await {
        return false;
    }
    match upstream::probe_tunnel(core, target, start.address).await {
        Ok(()) => false,
        Err(tunnel::TunnelError::ReplicaRefused) => true,
        // No other daemon can tell.
        Err(tunnel::TunnelError::Unreachable) => {
            !has_lost_path && has_path(core, start, probed_at).await
        }
    }
}

/// Returns whether this daemon reaches other replicas, so that a refused connection speaks against the
/// replica and not against the path to it.
async fn has_path(
    core: &rc::Rc<core::GatewayCore>,
    start: &crash_probe::ReplicaStart,
    probed_at: time::MonotonicTime,
) -> bool {
    if !core.state.borrow().quarantine.trusts_itself(core.now()) {
        return false;
    }
    let witnesses = {
        let replicas = &core.state.borrow().replicas;
        let has_answered = |other: &replica::KnownReplica| {
            other.entry.id != start.replica
                && other.last_answered.is_some_and(|sent_at| sent_at >= probed_at)
        };
        if replicas.iter().any(has_answered) {
            return true;
        }
        crash_probe::choose_witnesses(replicas, start)
    };
    for (replica, address) in witnesses {
        if upstream::accepts_connections(core, &replica, address).await {
            return true;
        }
    }
    false
}
