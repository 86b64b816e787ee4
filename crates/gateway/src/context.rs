//! A request in progress: what was read from the caller, how far the response has come, and what is
//! recorded about the replicas that have the request.

use std::cell;
use std::fmt;
use std::rc;
use std::sync;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::rollout::exposure;
use samphiremoor_fleet::suspect;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;

/// A request that was read and matched to a route.
pub struct IncomingRequest {
    /// Request line and headers.
    pub head: message::RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
    /// Values decoded from the headers.
    pub metadata: adapter::RequestMetadata,
    /// Route of the request.
    pub route: sync::Arc<policy::RouteRule>,
    /// The caller's workspace, if the route needs one.
    pub workspace: Option<sync::Arc<policy::WorkspaceRule>>,
    /// When the first byte of the request arrived.
    pub arrived_at: time::MonotonicTime,
    /// When the request times out.
    pub deadline: time::MonotonicTime,
    /// When the caller gives up, which may be later than the route's timeout.
    pub caller_deadline: time::MonotonicTime,
    /// Fingerprint of the request, once it was needed.
    pub fingerprint: cell::OnceCell<suspect::RequestFingerprint>,
    /// Whether the request tests a verdict on it or on one of its prompt segments.
    pub tests_verdict: bool,
    /// Revision of the policy by which the request is served.
    pub revision: quantity::RevisionNumber,
}

impl IncomingRequest {
    /// Returns the fingerprint of the request, which is computed at the first call.
    pub fn fingerprint(&self) -> suspect::RequestFingerprint {
        let workspace = self.workspace.as_deref();
        *self.fingerprint.get_or_init(|| identity(&self.head, workspace, &self.body).fingerprint())
    }
}

/// Returns what makes a request the same as another one.
pub(crate) fn identity<'a>(
    head: &'a message::RequestHead,
    workspace: Option<&'a policy::WorkspaceRule>,
    body: &'a [u8],
) -> suspect::RequestIdentity<'a> {
    suspect::RequestIdentity {
        host: head.fields.text("host").unwrap_or_default(),
        method: &head.method,
        target: &head.target,
        workspace: workspace.map(|rule| &rule.id),
        body,
    }
}

/// Part of a replica's response that a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponsePhase {
    /// The connection, or the head of the response.
    Head,
    /// The body of a response that is read whole.
    Body,
    /// The events of a stream.
    Events,
}

impl fmt::Display for ResponsePhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponsePhase::Head => "head",
            ResponsePhase::Body => "body",
            ResponsePhase::Events => "events",
        })
    }
}

/// Progress of a request, which stays available when the request times out.
pub struct RequestProgress {
    /// Outcomes of the attempts.
    pub tracker: cell::Cell<dispatch::DispatchTracker>,
    /// Replica of the last attempt.
    pub replica: cell::RefCell<Option<id::ReplicaId>>,
    /// Part of the response that the request waits for.
    pub phase: cell::Cell<ResponsePhase>,
    /// When a replica last sent data, or when the request was last sent to one.
    pub last_data_at: cell::Cell<time::MonotonicTime>,
}

impl RequestProgress {
    /// Creates the progress of a request that arrived at `arrived_at` and was not sent yet.
    pub fn new(route: &policy::RouteRule, arrived_at: time::MonotonicTime) -> Self {
        let tracker = dispatch::DispatchTracker::new(route.kind, route.max_attempts);
        RequestProgress {
            tracker: cell::Cell::new(tracker),
            replica: cell::RefCell::new(None),
            phase: cell::Cell::new(ResponsePhase::Head),
            last_data_at: cell::Cell::new(arrived_at),
        }
    }

    /// Records that data arrived, or that the request was sent, and what is awaited next.
    pub(crate) fn on_data(&self, phase: ResponsePhase, now: time::MonotonicTime) {
        self.phase.set(phase);
        self.last_data_at.set(now);
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut dispatch::DispatchTracker)) {
        let mut tracker = self.tracker.get();
        change(&mut tracker);
        self.tracker.set(tracker);
    }
}

/// What all attempts of one request share.
#[derive(Clone, Copy)]
pub(crate) struct RequestContext<'a> {
    pub(crate) core: &'a rc::Rc<core::GatewayCore>,
    pub(crate) request: &'a IncomingRequest,
    pub(crate) progress: &'a RequestProgress,
    pub(crate) service: &'a id::ServiceId,
}

impl RequestContext<'_> {
    pub(crate) fn priority(&self) -> quantity::PriorityLevel {
        let workspace_priority = self.request.workspace.as_ref().and_then(|rule| rule.priority);
        workspace_priority.unwrap_or(self.request.route.priority)
    }

    pub(crate) fn request_id(&self) -> &str {
        self.request.metadata.request_id.as_deref().unwrap_or("-")
    }

    /// Counts a run for a request that is not a stream, or whose response was lost.
    pub(crate) fn count_run(&self) {
        let Some(workspace) = &self.request.workspace else { return };
        let window = self.core.settings.times.usage_window;
        let now = self.core.now();
        self.core.state.borrow_mut().count_run(&workspace.id, window, now);
    }

    /// Updates the failure rate of a replica that responded or whose connection closed, and counts the
    /// result for the rollout of its version.
    pub(crate) fn record_result(&self, replica: &id::ReplicaId, is_failure: bool) {
        let result = match is_failure {
            true => exposure::AttemptResult::Failed,
            false => exposure::AttemptResult::Good,
        };
        self.count_for_rollout(replica, |state, route, side| state.on_end(route, side, result));
        self.record_health(replica, is_failure);
    }

    /// Counts something for the rollout of a replica's version. What a leaving replica does says nothing
    /// about its version.
    pub(crate) fn count_for_rollout(
        &self,
        replica: &id::ReplicaId,
        count: impl FnOnce(&mut rollout::ServiceRollout, &str, exposure::VersionSide),
    ) {
        let state = &mut *self.core.state.borrow_mut();
        let Some(known_replica) = state.replicas.get(replica) else { return };
        if !known_replica.is_leaving() {
            let version = known_replica.entry.version.as_ref();
            let route = &self.request.route.name;
            state.rollouts.count(self.service, version, |state, side| count(state, route, side));
        }
    }

    /// Updates the failure rate of a replica.
    fn record_health(&self, replica: &id::ReplicaId, is_failure: bool) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(known_replica) = state.replicas.get_mut(replica) {
            known_replica.on_response(is_failure, now);
        }
    }

    /// Logs a failed attempt together with the state of its replica.
    pub(crate) fn log_failed_attempt(
        &self,
        replica: &id::ReplicaId,
        reason: reason::RetryReason,
        delivered: u64,
    ) {
        let now = self.core.now();
        let state = self.core.state.borrow();
        let known_replica = state.replicas.get(replica);
        let contact_age = known_replica
            .and_then(|known_replica| known_replica.last_contact)
            .map(|contact_at| now.since(contact_at));
        log_event!(
            event::LogEvent::SendFailed,
            request = self.request_id(),
            replica = replica,
            reason = reason,
            delivered = delivered,
            replica_known = known_replica.is_some(),
            replica_leaving = known_replica.is_some_and(replica::KnownReplica::is_leaving),
            failing = format_args!(
                "{:.2}",
                known_replica.map_or(0.0, |known_replica| known_replica.failure_rate(now))
            ),
            heard_ago = contact_age.map_or_else(|| "never".to_owned(), |age| age.to_string()),
            phase = self.progress.phase.get(),
            silent = now.since(self.progress.last_data_at.get()),
            after = now.since(self.request.arrived_at),
        );
    }

    /// Updates the failure rate of a replica that refused to run a request. A refusal for lack of
    /// capacity says nothing about the replica's version.
    pub(crate) fn record_refusal(&self, replica: &id::ReplicaId) {
        let result = exposure::AttemptResult::Good;
        self.count_for_rollout(replica, |state, route, side| state.on_end(route, side, result));
        self.record_health(replica, true);
    }

    /// Closes the replica's idle connections and marks it as unreachable.
    pub(crate) fn mark_unreachable(&self, replica: &id::ReplicaId) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        state.idle_pool.remove(replica);
        if let Some(known_replica) = state.replicas.get_mut(replica) {
            known_replica.on_unreachable(now);
        }
        log_event!(
            event::LogEvent::UpstreamSuspected,
            replica = replica,
            request = self.request_id()
        );
    }

    /// Closes the idle connections of a replica that has been silent since `silent_since`, and lets
    /// new requests prefer other replicas. The request stays at the replica.
    pub(crate) fn mark_silent(&self, replica: &id::ReplicaId, silent_since: time::MonotonicTime) {
        let now = self.core.now();
        let result = exposure::AttemptResult::Failed;
        self.count_for_rollout(replica, |state, route, side| state.on_end(route, side, result));
        let mut state = self.core.state.borrow_mut();
        state.idle_pool.remove(replica);
        if let Some(known_replica) = state.replicas.get_mut(replica) {
            known_replica.on_silent(now);
        }
        log_event!(
            event::LogEvent::ReplicaSilent,
            request = self.request_id(),
            replica = replica,
            silent = now.since(silent_since),
            time_left = self.request.deadline.since(now),
        );
    }

    /// Lets new requests use a replica again that had been silent since `silent_since`.
    pub(crate) fn mark_resumed(&self, replica: &id::ReplicaId, silent_since: time::MonotonicTime) {
        let now = self.core.now();
        if let Some(known_replica) = self.core.state.borrow_mut().replicas.get_mut(replica) {
            known_replica.on_data(now);
        }
        log_event!(
            event::LogEvent::ReplicaResumed,
            request = self.request_id(),
            replica = replica,
            silent = now.since(silent_since),
        );
    }
}
