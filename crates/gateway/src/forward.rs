//! Forwards one request in one or more attempts: chooses the replica of each and decides how the
//! request ends. [`attempt`](crate::attempt) makes the attempts.

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
use samphiremoor_fleet::admission;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::selection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;
use crate::events;
use crate::response;

/// Number of attempts that failed to connect or reached a different replica after which a request
/// is given up. No replica ran the request in them.
const MAX_CONNECT_FAILURES: u32 = 4;
/// `Retry-After` of a request that no replica ran, in milliseconds. A replica that refused for lack
/// of capacity has some again after a few responses.
const NOT_RUN_RETRY_AFTER_MS: f64 = 250.0;
/// `Retry-After` of a request whose route has no service or for which no replica can be chosen, in
/// milliseconds.
const NOT_READY_RETRY_AFTER_MS: f64 = 700.0;

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
    /// Revision of the policy by which the request is served.
    pub revision: quantity::RevisionNumber,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A replica's response with this status was delivered.
    Answered(u16),
    /// The gateway responds itself, for this reason.
    Own(adapter::LocalResponse, reason::RefusalReason),
    /// A stream was cut off after it began.
    BrokenOff,
    /// The caller closed the connection.
    CallerGone,
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

    fn update(&self, change: impl FnOnce(&mut dispatch::DispatchTracker)) {
        let mut tracker = self.tracker.get();
        change(&mut tracker);
        self.tracker.set(tracker);
    }
}

/// Outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// The request has ended.
    Ended(RequestOutcome),
    /// No byte was sent to the replica.
    NotSent,
    /// A different replica now has the address.
    WrongReplica,
    /// The replica did not run the request.
    NotRun,
    /// The attempt failed, and the replica may have run the request.
    Failed(reason::RetryReason),
    /// The replica responded with a server error, which is delivered unless another attempt
    /// succeeds.
    ServerError(Box<BufferedResponse>),
    /// The replica is leaving, and the stream continues at another one.
    Migrated(Box<MigratedStream>),
}

/// A stream whose KV cache was migrated.
pub(crate) struct MigratedStream {
    /// The replica that holds the KV cache.
    pub(crate) selected: selection::SelectedReplica,
    /// Location of the KV cache.
    pub(crate) kv_location: sync::Arc<str>,
}

/// A replica's response that was read whole.
pub(crate) struct BufferedResponse {
    /// Status and headers.
    pub(crate) head: message::ResponseHead,
    /// Whole body.
    pub(crate) body: Vec<u8>,
}

impl From<response::WriteError> for RequestOutcome {
    fn from(cause: response::WriteError) -> Self {
        match cause {
            response::WriteError::AlreadyBegun => RequestOutcome::BrokenOff,
            response::WriteError::CallerGone => RequestOutcome::CallerGone,
        }
    }
}

/// Returns the outcome of a request for which no response of a replica can be delivered. `wait` is
/// the `Retry-After` of a request that did not run.
pub(crate) fn unanswered_outcome(
    progress: &RequestProgress,
    sink: &response::ResponseSink,
    reason: reason::RefusalReason,
    wait: time::Millis,
) -> RequestOutcome {
    let is_deadline_passed = reason == reason::RefusalReason::DeadlinePassed;
    let local = match progress.tracker.get().end_unanswered(sink.has_begun(), is_deadline_passed) {
        dispatch::UnansweredEnd::CutOff => return RequestOutcome::BrokenOff,
        dispatch::UnansweredEnd::NotRun => adapter::LocalResponse::NotRun(wait),
        dispatch::UnansweredEnd::Failed => adapter::LocalResponse::Failed,
        dispatch::UnansweredEnd::TimedOut => adapter::LocalResponse::TimedOut,
    };
    RequestOutcome::Own(local, reason)
}

/// Forwards a request and returns how it ended.
pub async fn forward(
    core: &rc::Rc<core::GatewayCore>,
    request: &IncomingRequest,
    progress: &RequestProgress,
    sink: &mut response::ResponseSink,
) -> RequestOutcome {
    let mut forwarder = RequestForwarder {
        core,
        request,
        progress,
        splitter: events::EventSplitter::new(request.metadata.last_event_id),
        excluded: core::ExcludedReplicas::new(),
        connect_failures: 0,
        is_migrated: false,
    };
    forwarder.run(sink).await
}

/// State of one request across its attempts.
pub(crate) struct RequestForwarder<'a> {
    pub(crate) core: &'a rc::Rc<core::GatewayCore>,
    pub(crate) request: &'a IncomingRequest,
    pub(crate) progress: &'a RequestProgress,
    /// Splitter of the stream's events from all replicas.
    pub(crate) splitter: events::EventSplitter,
    /// Replicas that the request was already sent to.
    pub(crate) excluded: core::ExcludedReplicas,
    /// Number of attempts that failed to connect or reached a different replica.
    connect_failures: u32,
    /// Whether the current attempt resumes from a migrated KV cache.
    pub(crate) is_migrated: bool,
}

impl RequestForwarder<'_> {
    async fn run(&mut self, sink: &mut response::ResponseSink) -> RequestOutcome {
        let Some(service) = self.request.route.pick_service(rand::random()).cloned() else {
            let reason = reason::RefusalReason::UnknownService;
            return self.end_unanswered(sink, reason, NOT_READY_RETRY_AFTER_MS);
        };
        self.deposit_retry(&service);
        let mut server_error: Option<Box<BufferedResponse>> = None;
        let mut migrated: Option<Box<MigratedStream>> = None;
        loop {
            let (selected, kv_location) = match migrated.take() {
                Some(stream) => (stream.selected, Some(stream.kv_location)),
                None => match self.select_replica(&service, sink) {
                    Ok(selected) => (selected, None),
                    Err(outcome) => return self.finish(server_error, outcome, sink).await,
                },
            };
            self.is_migrated = kv_location.is_some();
            self.progress.update(dispatch::DispatchTracker::begin_attempt);
            self.progress.replica.replace(Some(selected.replica.clone()));
            let retry_reason =
                match self.send(&service, &selected, kv_location.as_deref(), sink).await {
                    AttemptOutcome::Ended(outcome) => return outcome,
                    AttemptOutcome::Migrated(stream) => {
                        self.progress.update(dispatch::DispatchTracker::migrate);
                        log_event!(
                            event::LogEvent::StreamMoved,
                            request = self.request_id(),
                            from = selected.replica,
                            to = stream.selected.replica,
                            delivered = self.splitter.delivered(),
                        );
                        self.excluded.push(selected.replica);
                        migrated = Some(stream);
                        continue;
                    }
                    AttemptOutcome::NotSent => {
                        self.progress.update(dispatch::DispatchTracker::cancel_attempt);
                        self.connect_failures += 1;
                        reason::RetryReason::ConnectFailed
                    }
                    AttemptOutcome::WrongReplica => {
                        self.progress.update(dispatch::DispatchTracker::cancel_attempt);
                        self.connect_failures += 1;
                        reason::RetryReason::ReplicaLeaving
                    }
                    AttemptOutcome::NotRun => {
                        self.progress.update(|tracker| {
                            tracker.end_attempt(dispatch::DispatchOutcome::NotRun)
                        });
                        reason::RetryReason::RefusedByUpstream
                    }
                    AttemptOutcome::Failed(reason) => {
                        self.progress.update(|tracker| {
                            tracker.end_attempt(dispatch::DispatchOutcome::MayHaveRun)
                        });
                        reason
                    }
                    AttemptOutcome::ServerError(response) => {
                        self.progress
                            .update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::Ran));
                        server_error = Some(response);
                        reason::RetryReason::UpstreamError
                    }
                };
            self.log_failed_attempt(&selected.replica, retry_reason);
            self.excluded.push(selected.replica);
            if let Some(outcome) = self.check_retry(&service, retry_reason, sink) {
                return self.finish(server_error, outcome, sink).await;
            }
        }
    }

    /// Delivers the last server error of a replica if there is one and no response has begun;
    /// otherwise returns `outcome`.
    async fn finish(
        &self,
        server_error: Option<Box<BufferedResponse>>,
        outcome: RequestOutcome,
        sink: &mut response::ResponseSink,
    ) -> RequestOutcome {
        match server_error {
            Some(response) if !sink.has_begun() => self.deliver(*response, sink).await,
            _ => outcome,
        }
    }

    /// Writes a whole response to the caller.
    pub(crate) async fn deliver(
        &self,
        response: BufferedResponse,
        sink: &mut response::ResponseSink,
    ) -> RequestOutcome {
        match sink.write_buffered(&response.head, &response.body).await {
            Ok(()) => RequestOutcome::Answered(response.head.status),
            Err(cause) => cause.into(),
        }
    }

    fn deposit_retry(&self, service: &id::ServiceId) {
        let mut state = self.core.state.borrow_mut();
        state.budget(service, &self.core.settings.shared).deposit();
    }

    /// Chooses a replica, or returns how the request ends without one.
    fn select_replica(
        &self,
        service: &id::ServiceId,
        sink: &response::ResponseSink,
    ) -> Result<selection::SelectedReplica, RequestOutcome> {
        let now = self.core.now();
        // A migration does not count as an attempt, so a stream may have begun before the first one.
        let is_new = self.progress.tracker.get().attempts() == 0 && !sink.has_begun();
        let mut state = self.core.state.borrow_mut();
        let is_engine = state.policy.as_ref().is_some_and(|policy| {
            policy.services.get(service).is_some_and(|rule| rule.engine_slots.is_some())
        });
        let prompt = self.request.metadata.prompt.as_ref().filter(|_| is_engine);
        let mut query = selection::SelectionQuery {
            service,
            zone: &self.core.settings.availability_zone,
            prompt,
            excluded: &self.excluded,
            daemon_count: state.live_daemons,
            draw: rand::random(),
            now,
        };
        let mut choice = selection::choose(&state.replicas, &query);
        if choice.is_none() && is_new {
            // A replica whose connection failed before is better than none.
            query.excluded = &[];
            choice = selection::choose(&state.replicas, &query);
        }
        let Some(selected) = choice else {
            let reason = reason::RefusalReason::NoReplica;
            return Err(self.end_unanswered(sink, reason, NOT_READY_RETRY_AFTER_MS));
        };
        if prompt.is_some() && is_new {
            let admission = admission::AdmissionQuery {
                service,
                priority: self.priority(),
                ttft_target: self.request.route.latency_target,
                deadline_left: self.request.deadline.since(now),
                tokens_ahead: selected.tokens_ahead,
                draw: rand::random(),
            };
            if let Err(wait) = state.ttft_estimator.admit(&admission) {
                // Capacity is planned for the demand, not for the admitted part of it.
                state.add_prompt_tokens(service, selected.uncached_tokens, now);
                let reason = reason::RefusalReason::Shed;
                return Err(self.end_unanswered(sink, reason, wait.get() as f64));
            }
        }
        log_event!(
            event::LogEvent::ReplicaChosen,
            request = self.request_id(),
            replica = selected.replica,
            ahead_tokens = selected.tokens_ahead as u64,
            unread_tokens = selected.uncached_tokens,
            fill = format_args!("{:.2}", selected.utilization),
            daemons_known = state.live_daemons,
            sends = self.progress.tracker.get().attempts(),
        );
        Ok(selected)
    }

    /// Returns how the request ends, or `None` if it may be sent once more. The retry is then
    /// withdrawn from the retry budget, unless the connection failed.
    fn check_retry(
        &self,
        service: &id::ServiceId,
        reason: reason::RetryReason,
        sink: &response::ResponseSink,
    ) -> Option<RequestOutcome> {
        let now = self.core.now();
        let give_up = |reason| Some(self.end_unanswered(sink, reason, NOT_RUN_RETRY_AFTER_MS));
        if now >= self.request.deadline {
            return give_up(reason::RefusalReason::DeadlinePassed);
        }
        let is_free_retry = reason == reason::RetryReason::ConnectFailed;
        let is_exhausted = self.connect_failures >= MAX_CONNECT_FAILURES;
        if is_exhausted || !self.progress.tracker.get().may_send() {
            return give_up(reason::RefusalReason::UpstreamFailed);
        }
        let mut state = self.core.state.borrow_mut();
        if !is_free_retry && !state.budget(service, &self.core.settings.shared).try_withdraw() {
            drop(state);
            return give_up(reason::RefusalReason::RetryBudgetSpent);
        }
        self.core.metrics.count_retry(reason);
        log_event!(
            event::LogEvent::RequestRetried,
            request = self.request_id(),
            reason = reason,
            replica = self.excluded.last().map_or("", id::ReplicaId::as_str),
            delivered = self.splitter.delivered(),
        );
        None
    }

    /// Returns the outcome of a request for which no response of a replica can be delivered.
    fn end_unanswered(
        &self,
        sink: &response::ResponseSink,
        reason: reason::RefusalReason,
        retry_after_ms: f64,
    ) -> RequestOutcome {
        let wait = admission::retry_after(retry_after_ms, rand::random());
        unanswered_outcome(self.progress, sink, reason, wait)
    }

    pub(crate) fn priority(&self) -> quantity::PriorityLevel {
        let workspace_priority = self.request.workspace.as_ref().and_then(|rule| rule.priority);
        workspace_priority.unwrap_or(self.request.route.priority)
    }

    pub(crate) fn request_id(&self) -> &str {
        self.request.metadata.request_id.as_deref().unwrap_or("-")
    }
}
