//! Forwards one request in one or more attempts: chooses the replica of each and decides how the
//! request ends. [`attempt`] makes the attempts.

use std::convert;
use std::rc;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::admission;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::selection;
use samphiremoor_fleet::send_state;
use smallvec::SmallVec;

use crate::adapter;
use crate::attempt;
use crate::context;
use crate::core;
use crate::crash;
use crate::events;
use crate::migration;
use crate::pending;
use crate::response;
use crate::resumption;

/// Number of attempts that failed to connect or reached a different replica after which a request
/// is given up. No replica ran the request in them.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Minimum interval between checks for silence, and time before the deadline from which a request is
/// not sent to another replica.
const MIN_SILENCE_INTERVAL: time::Millis = time::Millis::new(50);
/// `Retry-After` of a request that no replica ran, in milliseconds. A replica that refused for lack
/// of capacity has some again after a few responses.
const NOT_RUN_RETRY_AFTER_MS: f64 = 250.0;
/// Maximum jitter of the `Retry-After` of a request that replicas keep away by their own wish. What a
/// limited replica may get by then is kept for longer.
const HOLD_JITTER: time::Millis = time::Millis::new(500);
/// Fraction, as a divisor, of the time that a caller still waits within which it comes back.
const CALLER_WAIT_DIVISOR: u64 = 3;
/// Shortest `Retry-After` of a request that replicas keep away by their own wish.
const MIN_HOLD_WAIT: time::Millis = time::Millis::new(100);
/// `Retry-After` of a request whose route has no service or for which no replica can be chosen, in
/// milliseconds.
const NOT_READY_RETRY_AFTER_MS: f64 = 700.0;

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

/// How the relay of one replica's response ended.
pub(crate) enum RelayOutcome {
    /// The request has ended.
    Ended(RequestOutcome),
    /// The response failed, and the replica may have run the request.
    Failed(reason::RetryReason, crash::FailureVerdict),
    /// The replica was silent, and another one responded meanwhile.
    TakenOver(attempt::StartedResponse),
    /// The replica is leaving, and the stream continues at another one.
    Migrated(Box<MigratedStream>),
}

/// A stream whose KV cache was migrated.
pub(crate) struct MigratedStream {
    /// The replica that holds the KV cache.
    pub(crate) selected: selection::SelectedReplica,
    /// The KV cache there.
    pub(crate) kv_copy: migration::KvCopy,
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
    progress: &context::RequestProgress,
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

/// Returns the reason of the refusal of a request that replicas keep away.
fn hold_refusal(hold_reason: send_state::HoldReason) -> reason::RefusalReason {
    match hold_reason {
        send_state::HoldReason::Limited => reason::RefusalReason::ReplicaLimit,
        send_state::HoldReason::Paused => reason::RefusalReason::ReplicaPaused,
        send_state::HoldReason::Leaving
        | send_state::HoldReason::Unreachable
        | send_state::HoldReason::Silent => reason::RefusalReason::NoReplica,
    }
}

/// Returns a version for the log.
fn version_label(version: Option<&replica::SoftwareVersion>) -> &str {
    version.map_or("-", replica::SoftwareVersion::as_str)
}

/// Forwards a request and returns how it ended.
pub async fn forward(
    core: &rc::Rc<core::GatewayCore>,
    request: &context::IncomingRequest,
    progress: &context::RequestProgress,
    sink: &mut response::ResponseSink,
) -> RequestOutcome {
    let choice = match resumption::choose_service(core, request).await {
        Ok(choice) => choice,
        Err(reason) => {
            let wait = admission::retry_after(NOT_READY_RETRY_AFTER_MS, rand::random());
            return unanswered_outcome(progress, sink, reason, wait);
        }
    };
    let resumption::ServiceChoice { service, required_version } = choice;
    core.state.borrow_mut().budget(&service, &core.settings.shared).deposit();
    let rollout_version = {
        let state = core.state.borrow();
        let limits = core.settings.shared.exposure_limits();
        state.rollouts.choose(&service, &state.replicas, &limits, core.now())
    };
    let mut forwarder = RequestForwarder {
        context: context::RequestContext { core, request, progress, service: &service },
        splitter: events::EventSplitter::new(request.metadata.last_event_id),
        excluded: ExcludedReplicas::new(),
        required_version,
        rollout_version,
        pending: pending::PendingAttempts::new(),
        failure: None,
        server_error: None,
        connect_failures: 0,
        is_crash_suspect: false,
    };
    forwarder.run(sink).await
}

/// Replicas that a request was already sent to.
pub(crate) type ExcludedReplicas = SmallVec<[id::ReplicaId; 4]>;

/// State of one request across its attempts.
pub(crate) struct RequestForwarder<'a> {
    pub(crate) context: context::RequestContext<'a>,
    /// Splitter of the stream's events from all replicas.
    pub(crate) splitter: events::EventSplitter,
    /// Replicas that the request was already sent to.
    pub(crate) excluded: ExcludedReplicas,
    /// Software version of the replica that began the stream. What another version writes can't
    /// continue it.
    pub(crate) required_version: replica::RequiredVersion,
    /// Software version to which a rollout sends the request, until a stream has begun.
    rollout_version: replica::RequiredVersion,
    /// Attempts whose response has not begun.
    pub(crate) pending: pending::PendingAttempts<'a>,
    /// Failure of the last attempt, unless another one was sent since.
    failure: Option<reason::RetryReason>,
    /// The last server error of a replica.
    server_error: Option<Box<attempt::BufferedResponse>>,
    /// Number of attempts that failed to connect or reached a different replica.
    connect_failures: u32,
    /// Whether a replica crashed, perhaps under this request.
    is_crash_suspect: bool,
}

impl RequestForwarder<'_> {
    async fn run(&mut self, sink: &mut response::ResponseSink) -> RequestOutcome {
        let mut taken_over: Option<attempt::StartedResponse> = None;
        loop {
            let started = match taken_over.take() {
                Some(started) => started,
                None => match self.await_response(sink).await {
                    Ok(started) => started,
                    Err(outcome) => return self.finish(outcome, sink).await,
                },
            };
            self.cancel_pending();
            let started = match started {
                attempt::StartedResponse::Relayed(started) => started,
                attempt::StartedResponse::Buffered(response) => {
                    self.context.progress.replica.replace(Some(response.replica.clone()));
                    return self.deliver(*response, sink).await;
                }
            };
            let replica = started.selected.replica.clone();
            self.context.progress.replica.replace(Some(replica.clone()));
            match self.relay(*started, sink).await {
                RelayOutcome::Ended(outcome) => return outcome,
                RelayOutcome::TakenOver(other) => taken_over = Some(other),
                RelayOutcome::Failed(reason, verdict) => {
                    self.is_crash_suspect |= verdict == crash::FailureVerdict::IsSuspect;
                    self.end_failed(&replica, reason);
                }
                RelayOutcome::Migrated(stream) => {
                    let MigratedStream { selected, kv_copy } = *stream;
                    self.context.progress.update(dispatch::DispatchTracker::migrate);
                    log_event!(
                        event::LogEvent::StreamMoved,
                        request = self.context.request_id(),
                        from = replica,
                        to = selected.replica,
                        version = version_label(selected.version.as_ref()),
                        delivered = self.splitter.delivered(),
                    );
                    self.cancel_pending();
                    let kv_location = kv_copy.into_location();
                    let resume = self.resume_point(sink.has_begun());
                    self.begin_attempt(selected, attempt::ResumePoint { kv_location, ..resume });
                }
            }
        }
    }

    /// Waits until the response of an attempt begins. Sends the request once more after a failure,
    /// and while the replicas that have it are silent. Returns how the request ends otherwise.
    async fn await_response(
        &mut self,
        sink: &response::ResponseSink,
    ) -> Result<attempt::StartedResponse, RequestOutcome> {
        let mut check_at = self.context.core.now() + self.silence_interval(time::Millis::default());
        loop {
            if self.pending.is_empty() {
                if let Some(reason) = self.failure.take()
                    && let Some(outcome) = self.check_retry(reason, sink)
                {
                    return Err(outcome);
                }
                let selected = self.select_replica(sink)?;
                self.begin_attempt(selected, self.resume_point(sink.has_begun()));
                check_at = self.context.core.now() + self.silence_interval(time::Millis::default());
            }
            let timeout = check_at.since(self.context.core.now());
            let progress = std::future::pending::<convert::Infallible>();
            match pending::next_event(progress, &mut self.pending, timeout).await {
                pending::RequestEvent::Progress(never) => match never {},
                pending::RequestEvent::Attempt(attempt, start) => {
                    if let Some(started) = self.end_attempt(&attempt, start) {
                        return Ok(started);
                    }
                }
                pending::RequestEvent::Silence => {
                    self.mark_pending_silent();
                    if self.server_error.is_some() && self.is_deadline_near() {
                        let reason = reason::RefusalReason::DeadlinePassed;
                        return Err(self.end_unanswered(sink, reason, NOT_RUN_RETRY_AFTER_MS));
                    }
                    self.take_over(sink.has_begun());
                }
            }
            check_at = self.context.core.now() + self.silence_interval(time::Millis::default());
        }
    }

    /// Returns the time after which a further silence of the pending attempts is noticed, which is
    /// at least `min_interval` unless the deadline is near.
    pub(crate) fn silence_interval(&self, min_interval: time::Millis) -> time::Millis {
        let context::RequestContext { core, request, progress, .. } = self.context;
        let time_left = request.deadline.since(core.now()).saturating_sub(MIN_SILENCE_INTERVAL);
        let interval = if !progress.tracker.get().may_send() {
            time_left
        } else if self.failure.is_some() && self.pending.iter().all(|attempt| attempt.is_silent) {
            MIN_SILENCE_INTERVAL
        } else {
            self.pending.last().map_or(min_interval, |attempt| attempt.timeout.max(min_interval))
        };
        interval.min(time_left).max(MIN_SILENCE_INTERVAL)
    }

    /// Marks the replicas of the pending attempts as silent that had their time to respond.
    pub(crate) fn mark_pending_silent(&mut self) {
        let now = self.context.core.now();
        for attempt in self.pending.iter_mut().filter(|attempt| !attempt.is_silent) {
            if now >= attempt.sent_at + attempt.timeout {
                attempt.is_silent = true;
                self.context.mark_silent(&attempt.selected.replica, attempt.sent_at);
            }
        }
    }

    fn is_deadline_near(&self) -> bool {
        let time_left = self.context.request.deadline.since(self.context.core.now());
        time_left <= MIN_SILENCE_INTERVAL
    }

    fn resume_point(&self, has_begun: bool) -> attempt::ResumePoint {
        let last_event_id = self.splitter.last_id();
        attempt::ResumePoint { last_event_id, has_begun, is_takeover: false, kv_location: None }
    }

    /// Sends the request to a replica, whose response is awaited with the other pending ones.
    fn begin_attempt(
        &mut self,
        selected: selection::SelectedReplica,
        resume: attempt::ResumePoint,
    ) {
        self.context.core.record_send(&selected.replica);
        self.context.count_for_rollout(&selected.replica, rollout::ServiceRollout::on_send);
        if matches!(self.rollout_version, replica::RequiredVersion::Stated(_)) {
            self.change_version();
        }
        self.context.progress.update(dispatch::DispatchTracker::begin_attempt);
        self.context.progress.replica.replace(Some(selected.replica.clone()));
        self.excluded.push(selected.replica.clone());
        self.failure = None;
        self.pending.push(pending::PendingAttempt {
            sent_at: self.context.core.now(),
            timeout: self.context.first_byte_timeout(&selected),
            is_silent: false,
            start: Box::pin(self.context.start_attempt(selected.clone(), resume)),
            selected,
        });
    }

    /// Chooses the version of further attempts: the old one, which has served before, while it has
    /// replicas. Returns whether this changes the version.
    fn change_version(&mut self) -> bool {
        let state = self.context.core.state.borrow();
        let fallback = state.rollouts.fallback(self.context.service, &state.replicas);
        drop(state);
        let Some(version) = fallback else { return false };
        let is_changed = version != self.rollout_version;
        self.rollout_version = version;
        is_changed
    }

    /// Sends the request to another replica while those that have it are silent, if that is allowed.
    /// `has_begun` says whether a stream is in progress, which only events can continue.
    pub(crate) fn take_over(&mut self, has_begun: bool) {
        let reason = self.failure.take().unwrap_or(reason::RetryReason::ConnectionSilent);
        let may_send = self.context.progress.tracker.get().may_send();
        let is_exhausted = self.connect_failures >= MAX_CONNECT_FAILURES;
        if !may_send || is_exhausted || self.is_deadline_near() || self.is_suspect() {
            return;
        }
        let Some(selected) = self.query_replica(&self.excluded, false) else { return };
        if !self.withdraw_retry(reason) {
            return;
        }
        self.log_choice(&selected);
        let resume = self.resume_point(has_begun);
        self.begin_attempt(selected, attempt::ResumePoint { is_takeover: true, ..resume });
    }

    /// Ends a pending attempt. Returns its response, or updates the progress after a failure.
    pub(crate) fn end_attempt(
        &mut self,
        attempt: &pending::PendingAttempt<'_>,
        start: attempt::AttemptStart,
    ) -> Option<attempt::StartedResponse> {
        let replica = &attempt.selected.replica;
        let has_response = !matches!(
            start,
            attempt::AttemptStart::NotSent
                | attempt::AttemptStart::Failed(_)
                | attempt::AttemptStart::Crashed
        );
        if attempt.is_silent && has_response {
            self.context.mark_resumed(replica, attempt.sent_at);
        }
        let progress = self.context.progress;
        let reason = match start {
            attempt::AttemptStart::Response(started) => return Some(started),
            attempt::AttemptStart::NotSent => {
                progress.update(dispatch::DispatchTracker::cancel_attempt);
                self.connect_failures += 1;
                reason::RetryReason::ConnectFailed
            }
            attempt::AttemptStart::WrongReplica => {
                progress.update(dispatch::DispatchTracker::cancel_attempt);
                self.connect_failures += 1;
                reason::RetryReason::ReplicaLeaving
            }
            attempt::AttemptStart::NotRun => {
                progress.update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::NotRun));
                reason::RetryReason::RefusedByUpstream
            }
            attempt::AttemptStart::Failed(reason) => {
                progress
                    .update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::MayHaveRun));
                reason
            }
            attempt::AttemptStart::Crashed => {
                progress
                    .update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::MayHaveRun));
                self.is_crash_suspect = true;
                reason::RetryReason::ConnectionClosed
            }
            attempt::AttemptStart::ServerError(response) => {
                progress.update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::Ran));
                self.server_error = Some(response);
                reason::RetryReason::UpstreamError
            }
        };
        self.context.log_failed_attempt(replica, reason, self.splitter.delivered());
        self.failure = Some(reason);
        None
    }

    /// Ends an attempt whose response had begun and failed.
    fn end_failed(&mut self, replica: &id::ReplicaId, reason: reason::RetryReason) {
        self.context
            .progress
            .update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::MayHaveRun));
        self.context.log_failed_attempt(replica, reason, self.splitter.delivered());
        self.failure = Some(reason);
    }

    /// Cancels the pending attempts and closes their connections, since another one responds.
    pub(crate) fn cancel_pending(&mut self) {
        for attempt in self.pending.drain(..) {
            self.context
                .progress
                .update(|tracker| tracker.end_attempt(dispatch::DispatchOutcome::MayHaveRun));
            self.context.count_run();
            if attempt.is_silent {
                let reason = reason::RetryReason::ConnectionSilent;
                let delivered = self.splitter.delivered();
                self.context.log_failed_attempt(&attempt.selected.replica, reason, delivered);
            }
        }
    }

    /// Delivers the last server error of a replica if there is one and no response has begun;
    /// otherwise returns `outcome`.
    async fn finish(
        &mut self,
        outcome: RequestOutcome,
        sink: &mut response::ResponseSink,
    ) -> RequestOutcome {
        match self.server_error.take() {
            Some(response) if !sink.has_begun() => self.deliver(*response, sink).await,
            _ => outcome,
        }
    }

    /// Writes a whole response to the caller.
    pub(crate) async fn deliver(
        &self,
        response: attempt::BufferedResponse,
        sink: &mut response::ResponseSink,
    ) -> RequestOutcome {
        match sink.write_buffered(&response.head, &response.body.bytes).await {
            Ok(()) => RequestOutcome::Answered(response.head.status),
            Err(cause) => cause.into(),
        }
    }

    /// Chooses a replica, or returns how the request ends without one.
    fn select_replica(
        &mut self,
        sink: &response::ResponseSink,
    ) -> Result<selection::SelectedReplica, RequestOutcome> {
        let context::RequestContext { core, request, progress, service } = self.context;
        let now = core.now();
        if let Some(wait) = self.context.quarantine_wait() {
            let reason = reason::RefusalReason::Quarantined;
            return Err(unanswered_outcome(progress, sink, reason, wait));
        }
        // A migration does not count as an attempt, so a stream may have begun before the first one.
        let is_new = progress.tracker.get().attempts() == 0 && !sink.has_begun();
        let mut choice = self.query_replica(&self.excluded, true);
        if choice.is_none() && is_new {
            // A replica whose connection failed before is better than none.
            choice = self.query_replica(&[], true);
        }
        if choice.is_none() && self.change_version() {
            choice = self.query_replica(&self.excluded, true);
        }
        let Some(selected) = choice else {
            if let Some((wait, hold_reason)) = self.hold_wait(&self.excluded) {
                let reason = hold_refusal(hold_reason);
                return Err(unanswered_outcome(progress, sink, reason, wait));
            }
            let reason = match self.required_version {
                replica::RequiredVersion::Any => reason::RefusalReason::NoReplica,
                _ => reason::RefusalReason::NoReplicaOfVersion,
            };
            log_event!(
                event::LogEvent::ReplicaMissing,
                request = self.context.request_id(),
                service = service,
                required_version = self.required_version,
                delivered = self.splitter.delivered(),
            );
            return Err(self.give_up(sink, reason, NOT_READY_RETRY_AFTER_MS));
        };
        let mut state = core.state.borrow_mut();
        if self.is_engine_request(&state) && is_new {
            let admission = admission::AdmissionQuery {
                service,
                priority: self.context.priority(),
                ttft_target: request.route.latency_target,
                deadline_left: request.deadline.since(now),
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
        drop(state);
        self.log_choice(&selected);
        Ok(selected)
    }

    fn log_choice(&self, selected: &selection::SelectedReplica) {
        let context::RequestContext { core, progress, .. } = self.context;
        log_event!(
            event::LogEvent::ReplicaChosen,
            request = self.context.request_id(),
            replica = selected.replica,
            version = version_label(selected.version.as_ref()),
            required_version = self.required_version,
            ahead_tokens = selected.tokens_ahead as u64,
            unread_tokens = selected.uncached_tokens,
            fill = format_args!("{:.2}", selected.utilization),
            daemons_known = core.state.borrow().live_daemons,
            sends = progress.tracker.get().attempts(),
        );
    }

    /// Chooses the best replica that is not excluded.
    fn query_replica(
        &self,
        excluded: &[id::ReplicaId],
        includes_silent: bool,
    ) -> Option<selection::SelectedReplica> {
        self.with_query(excluded, includes_silent, selection::choose)
    }

    /// Returns the `Retry-After` of a request that replicas keep away by their own wish, and what they
    /// wished. Other daemons may be allowed to send sooner, and the caller's next attempt may reach one
    /// of them, so that a pause doesn't use up the time that the caller waits.
    fn hold_wait(
        &self,
        excluded: &[id::ReplicaId],
    ) -> Option<(time::Millis, send_state::HoldReason)> {
        let (until, hold_reason) = self.with_query(excluded, true, selection::earliest_send)?;
        let now = self.context.core.now();
        let jitter = time::Millis::new(rand::random_range(0..HOLD_JITTER.get()));
        let wait = until.since(now) + jitter;
        let time_left = self.context.request.caller_deadline.since(now);
        let longest = time::Millis::new(time_left.get() / CALLER_WAIT_DIVISOR).max(MIN_HOLD_WAIT);
        let is_paused = hold_reason == send_state::HoldReason::Paused;
        Some((if is_paused { wait.min(longest) } else { wait }, hold_reason))
    }

    /// Returns the outcome of a request that is given up. If it did not run, the caller may come back after
    /// `retry_after_ms`, unless all replicas want no request for longer.
    fn give_up(
        &self,
        sink: &response::ResponseSink,
        reason: reason::RefusalReason,
        retry_after_ms: f64,
    ) -> RequestOutcome {
        let hold_wait = match self.query_replica(&[], true) {
            Some(_) => None,
            None => self.hold_wait(&[]),
        };
        match hold_wait {
            Some((wait, _)) => unanswered_outcome(self.context.progress, sink, reason, wait),
            None => self.end_unanswered(sink, reason, retry_after_ms),
        }
    }

    /// Returns what `select` makes of the query for a replica of this request.
    fn with_query<T>(
        &self,
        excluded: &[id::ReplicaId],
        includes_silent: bool,
        select: impl FnOnce(&replica::ReplicaTable, &selection::SelectionQuery<'_>) -> T,
    ) -> T {
        let context::RequestContext { core, request, service, .. } = self.context;
        let state = core.state.borrow();
        let prompt = request.metadata.prompt.as_ref().filter(|_| self.is_engine_request(&state));
        let query = selection::SelectionQuery {
            service,
            zone: &core.settings.availability_zone,
            prompt,
            excluded,
            gate: &state.gate(core.now()),
            required_version: match &self.required_version {
                replica::RequiredVersion::Any => &self.rollout_version,
                required_version => required_version,
            },
            includes_silent,
            daemon_count: state.live_daemons,
            draw: rand::random(),
        };
        select(&state.replicas, &query)
    }

    /// Whether the request has a prompt for an engine.
    fn is_engine_request(&self, state: &core::CoreState) -> bool {
        let rule =
            state.policy.as_ref().and_then(|policy| policy.services.get(self.context.service));
        let is_engine = rule.is_some_and(|rule| rule.engine_slots.is_some());
        is_engine && self.context.request.metadata.prompt.is_some()
    }

    /// Returns how the request ends, or `None` if it may be sent once more. The retry is then
    /// withdrawn from the retry budget, unless the connection failed.
    fn check_retry(
        &self,
        reason: reason::RetryReason,
        sink: &response::ResponseSink,
    ) -> Option<RequestOutcome> {
        let context::RequestContext { core, request, progress, .. } = self.context;
        let give_up = |reason| Some(self.give_up(sink, reason, NOT_RUN_RETRY_AFTER_MS));
        if core.now() >= request.deadline {
            return give_up(reason::RefusalReason::DeadlinePassed);
        }
        if self.is_crash_suspect {
            return give_up(reason::RefusalReason::ReplicaCrashed);
        }
        let is_exhausted = self.connect_failures >= MAX_CONNECT_FAILURES;
        if is_exhausted || !progress.tracker.get().may_send() {
            return give_up(reason::RefusalReason::UpstreamFailed);
        }
        if !self.withdraw_retry(reason) {
            return give_up(reason::RefusalReason::RetryBudgetSpent);
        }
        None
    }

    /// Withdraws a retry from the retry budget, unless the connection failed. Returns `false` if the
    /// budget is used up.
    fn withdraw_retry(&self, reason: reason::RetryReason) -> bool {
        let context::RequestContext { core, service, .. } = self.context;
        let is_free_retry = reason == reason::RetryReason::ConnectFailed;
        let mut state = core.state.borrow_mut();
        if !is_free_retry && !state.budget(service, &core.settings.shared).try_withdraw() {
            return false;
        }
        core.metrics.count_retry(reason);
        log_event!(
            event::LogEvent::RequestRetried,
            request = self.context.request_id(),
            reason = reason,
            replica = self.excluded.last().map_or("", id::ReplicaId::as_str),
            delivered = self.splitter.delivered(),
        );
        true
    }

    /// Whether the request may be the one under which replicas crash. Such a request goes to no
    /// further replica.
    pub(crate) fn is_suspect(&self) -> bool {
        self.is_crash_suspect || self.context.is_suspect()
    }

    /// Returns the outcome of a request for which no response of a replica can be delivered.
    fn end_unanswered(
        &self,
        sink: &response::ResponseSink,
        reason: reason::RefusalReason,
        retry_after_ms: f64,
    ) -> RequestOutcome {
        let wait = admission::retry_after(retry_after_ms, rand::random());
        unanswered_outcome(self.context.progress, sink, reason, wait)
    }
}
