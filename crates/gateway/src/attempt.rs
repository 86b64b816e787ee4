//! One attempt: dispatches a request to a replica and reads its response up to the part that is
//! relayed.

use std::io;
use std::sync;

use async_std::future;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::selection;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::context;
use crate::crash;
use crate::crash_probe;
use crate::events;
use crate::guard;
use crate::response_end;
use crate::response_memory;
use crate::upstream;

/// Multiple of the route's latency target after which a plain request is sent to another replica as
/// well, so that it can still respond in time.
const PLAIN_TIMEOUT_FACTOR: u64 = 4;
/// Multiple of the estimated time to first token or the route's latency target, whichever is
/// longer, after which a stream whose response has not begun is sent to another replica as well.
const STREAM_TIMEOUT_FACTOR: u64 = 2;

/// Timeout for the body of a refusal, which is short and arrives together with its head.
const REFUSAL_BODY_TIMEOUT: time::Millis = time::Millis::new(100);

/// Time after the head of a stream within which its first event decides a takeover. A stream may run
/// at two replicas for 400 ms.
const FIRST_EVENT_TIMEOUT: time::Millis = time::Millis::new(300);

/// How an attempt starts, or fails before it starts.
pub(crate) enum AttemptStart {
    /// The response has begun and can be delivered.
    Response(StartedResponse),
    /// No byte was sent to the replica.
    NotSent,
    /// A different replica now has the address.
    WrongReplica,
    /// The replica did not run the request.
    NotRun,
    /// The attempt failed, and the replica may have run the request.
    Failed(reason::RetryReason),
    /// The replica crashed, perhaps under this request.
    Crashed,
    /// The replica responded with a server error, which is delivered unless another attempt
    /// succeeds.
    ServerError(Box<BufferedResponse>),
}

/// A response that has begun.
pub(crate) enum StartedResponse {
    /// The response is relayed as it arrives.
    Relayed(Box<StartedAttempt>),
    /// The response was read whole.
    Buffered(Box<BufferedResponse>),
}

/// A replica's response that was read whole.
pub(crate) struct BufferedResponse {
    /// The replica.
    pub(crate) replica: id::ReplicaId,
    /// Status and headers.
    pub(crate) head: message::ResponseHead,
    /// Whole body.
    pub(crate) body: response_memory::WholeBody,
}

/// An attempt whose response has begun.
pub(crate) struct StartedAttempt {
    pub(crate) selected: selection::SelectedReplica,
    pub(crate) connection: upstream::UpstreamConnection,
    /// Head of the response.
    pub(crate) response: upstream::ReplicaResponse,
    /// Body that follows the head.
    pub(crate) body: PartialBody,
    pub(crate) guard: guard::LoadGuard,
    /// When the request was sent.
    pub(crate) started_at: time::MonotonicTime,
    /// Whether the attempt resumes from a migrated KV cache.
    pub(crate) is_migrated: bool,
}

/// Body of which a part was read.
pub(crate) struct PartialBody {
    pub(crate) reader: connection::BodyReader,
    /// Data that was read.
    pub(crate) data: Vec<u8>,
    /// Whether the body was read to its end.
    pub(crate) is_read: bool,
}

/// State of the response when an attempt is sent.
pub(crate) struct ResumePoint {
    /// ID of the last event that was delivered.
    pub(crate) last_event_id: Option<u64>,
    /// Whether a stream is in progress, which only events can continue.
    pub(crate) has_begun: bool,
    /// Whether another replica has the request and is silent.
    pub(crate) is_takeover: bool,
    /// Location of the KV cache from which the attempt resumes.
    pub(crate) kv_location: Option<sync::Arc<str>>,
}

impl context::RequestContext<'_> {
    /// Sends the request to the chosen replica and reads its response up to the part that is
    /// relayed.
    pub(crate) async fn start_attempt(
        self,
        selected: selection::SelectedReplica,
        resume: ResumePoint,
    ) -> AttemptStart {
        let uncached_tokens =
            if self.request.metadata.prompt.is_some() { selected.uncached_tokens } else { 0 };
        let Some(guard) = guard::LoadGuard::new(self.core, &selected.replica, uncached_tokens)
        else {
            return AttemptStart::NotSent;
        };
        let is_repeatable = self.request.route.kind.is_repeatable();
        let address = guard.address();
        let request_id = self.request.metadata.request_id.as_deref();
        let attempt = request_id.map(attempt_record::AttemptHash::of);
        let acquired =
            upstream::acquire(self.core, &selected.replica, address, attempt, is_repeatable);
        let result = acquired.await;
        let mut connection = match result {
            Ok(connection) => connection,
            Err(cause) => {
                // Where this daemon has lost its path, the replica is not at fault.
                if cause.kind() != io::ErrorKind::NetworkUnreachable {
                    self.mark_unreachable(&selected.replica);
                }
                return AttemptStart::NotSent;
            }
        };
        // The replica may have begun to leave while the connection opened or a KV cache was copied.
        // A stream that can't resume without that copy has no other replica to go on at.
        let needs_copy = resume.kv_location.is_some()
            && self.request.route.kind != policy::RouteKind::Stream { resumable: true };
        if !needs_copy && !self.core.accepts_requests(&selected.replica, address) {
            return AttemptStart::NotSent;
        }
        let started_at = self.core.now();
        self.progress.on_data(context::ResponsePhase::Head, started_at);
        let bytes = self.encode_request(&selected, &resume, started_at);
        if uncached_tokens > 0 {
            let mut state = self.core.state.borrow_mut();
            state.add_prompt_tokens(self.service, uncached_tokens, started_at);
        }
        let method = &self.request.head.method;
        let start = guard.replica_start();
        let exchange =
            upstream::exchange(self.core, &mut connection, &start, &bytes, method, request_id);
        let response = match exchange.await {
            Ok(response) => response,
            Err(cause) => {
                let is_stale = connection.is_reused && cause == upstream::ExchangeError::Closed;
                self.record_result(&selected.replica, !is_stale);
                self.count_run();
                return self.failed_start(&start).await;
            }
        };
        if connection.is_direct() {
            self.core.state.borrow_mut().paths.on_data(self.core.now());
        }
        if !response.metadata.is_other_replica {
            guard.record_answer(started_at);
            self.core.observe_limit(&selected.replica, &response.metadata.limit, started_at);
            self.core.observe_announcements(&start, &response.metadata);
        }
        if response.metadata.is_other_replica {
            self.mark_unreachable(&selected.replica);
            return AttemptStart::WrongReplica;
        }
        if response.metadata.is_not_run {
            connection.record_refusal(attempt);
            self.discard_body(&selected.replica, connection, &response).await;
            self.record_refusal(&selected.replica);
            return AttemptStart::NotRun;
        }
        let status = response.head.status;
        if response.metadata.is_unconfirmed_refusal {
            log_event!(
                event::LogEvent::RefusalUnconfirmed,
                request = self.request_id(),
                replica = selected.replica,
                status = status,
            );
            self.record_result(&selected.replica, true);
            self.count_run();
            self.discard_body(&selected.replica, connection, &response).await;
            return AttemptStart::Failed(reason::RetryReason::UnconfirmedRefusal);
        }
        let is_success = (200..300).contains(&status);
        if resume.has_begun && !(is_success && message::is_event_stream(&response.head)) {
            // Only events can follow in a stream that another replica began.
            self.record_result(&selected.replica, status >= 500);
            self.count_run();
            return AttemptStart::Failed(reason::RetryReason::UpstreamError);
        }
        let is_migrated = resume.kv_location.is_some();
        let reader = connection::BodyReader::new(response.framing);
        let body = PartialBody { reader, data: Vec::new(), is_read: false };
        let mut started =
            StartedAttempt { selected, connection, response, body, guard, started_at, is_migrated };
        let is_stream = self.request.route.kind.is_stream() && is_success;
        if resume.is_takeover && is_stream {
            return match self.read_first_event(&mut started, resume.last_event_id).await {
                Ok(()) => AttemptStart::Response(StartedResponse::Relayed(Box::new(started))),
                Err(_) => self.failed_start(&start).await,
            };
        }
        let is_error = status >= 500;
        if !is_repeatable || !resume.is_takeover && !is_error {
            return AttemptStart::Response(StartedResponse::Relayed(Box::new(started)));
        }
        let read = self.read_plain(started).await;
        self.count_run();
        match read {
            Ok(buffered) if is_error => AttemptStart::ServerError(Box::new(buffered)),
            Ok(buffered) => AttemptStart::Response(StartedResponse::Buffered(Box::new(buffered))),
            Err(_) => self.failed_start(&start).await,
        }
    }

    /// Reads the body of a response that is not delivered, so that its connection can be reused. Such a
    /// body is short; if it does not end in time, the connection is closed.
    async fn discard_body(
        &self,
        replica: &id::ReplicaId,
        mut connection: upstream::UpstreamConnection,
        response: &upstream::ReplicaResponse,
    ) {
        let body_read = upstream::read_refusal(&mut connection, response);
        let read = future::timeout(REFUSAL_BODY_TIMEOUT.to_duration(), body_read).await;
        if matches!(read, Ok(Ok(_))) {
            upstream::release(self.core, replica, connection, response);
        }
    }

    /// Returns how an attempt ends whose connection closed or whose response broke off.
    async fn failed_start(&self, start: &crash_probe::ReplicaStart) -> AttemptStart {
        match self.check_crash(start).await {
            crash::FailureVerdict::MayRepeat => {
                AttemptStart::Failed(reason::RetryReason::ConnectionClosed)
            }
            crash::FailureVerdict::IsSuspect => AttemptStart::Crashed,
        }
    }

    /// Reads a stream up to the first event that follows `last_event_id`, or to its end. Stops at a
    /// timeout.
    async fn read_first_event(
        self,
        started: &mut StartedAttempt,
        last_event_id: Option<u64>,
    ) -> Result<(), reason::RetryReason> {
        self.progress.on_data(context::ResponsePhase::Events, self.core.now());
        let StartedAttempt { connection, body, .. } = &mut *started;
        let mut splitter = events::EventSplitter::new(last_event_id);
        let reading = async {
            loop {
                let known_length = body.data.len();
                let read = body.reader.read(&mut connection.raw, &mut body.data).await;
                body.is_read = read.ok()?;
                splitter.buffer().extend_from_slice(&body.data[known_length..]);
                let is_in_order = splitter.take_events(&mut Vec::new());
                if splitter.delivered() > 0 {
                    return Some(());
                }
                let is_truncated = body.is_read && splitter.is_incomplete();
                if !is_in_order || is_truncated || splitter.is_excessive() {
                    return None;
                }
                if body.is_read {
                    return Some(());
                }
            }
        };
        match future::timeout(FIRST_EVENT_TIMEOUT.to_duration(), reading).await {
            Ok(Some(())) | Err(_) => Ok(()),
            Ok(None) => {
                self.record_result(&started.selected.replica, true);
                self.count_run();
                Err(reason::RetryReason::ConnectionClosed)
            }
        }
    }

    /// Returns whether a response that ended with its connection was ended by its replica.
    async fn is_whole(
        &self,
        connection: &upstream::UpstreamConnection,
        response: &upstream::ReplicaResponse,
        guard: &guard::LoadGuard,
    ) -> bool {
        let start = guard.replica_start();
        Box::pin(response_end::is_whole(self.core, connection, response, &start)).await
    }

    /// Reads the body of a response that is no stream.
    pub(crate) async fn read_plain(
        self,
        started: StartedAttempt,
    ) -> Result<BufferedResponse, reason::RetryReason> {
        let StartedAttempt { selected, mut connection, response, guard, started_at, .. } = started;
        self.progress.on_data(context::ResponsePhase::Body, self.core.now());
        let Ok(body) = upstream::read_body(self.core, &mut connection, &response).await else {
            self.record_result(&selected.replica, true);
            return Err(reason::RetryReason::ConnectionClosed);
        };
        let is_framed = response.framing != message::BodyFraming::UntilClose;
        if !is_framed && !self.is_whole(&connection, &response, &guard).await {
            self.record_result(&selected.replica, true);
            return Err(reason::RetryReason::ConnectionClosed);
        }
        drop(guard);
        self.record_result(&selected.replica, response.head.status >= 500);
        if is_framed && response.head.status < 500 {
            self.observe_survival();
        }
        upstream::release(self.core, &selected.replica, connection, &response);
        let latency = self.core.now().since(started_at);
        self.core.metrics.observe_first_byte(latency);
        self.count_for_rollout(&selected.replica, |state, route, side| {
            state.on_latency(route, side, latency);
        });
        Ok(BufferedResponse { replica: selected.replica, head: response.head, body })
    }

    fn encode_request(
        &self,
        selected: &selection::SelectedReplica,
        resume: &ResumePoint,
        now: time::MonotonicTime,
    ) -> Vec<u8> {
        let metadata = adapter::DispatchMetadata {
            replica: &selected.replica,
            time_left: self.request.deadline.since(now),
            workspace: self.request.workspace.as_ref().map(|rule| &rule.id),
            priority: self.priority(),
            last_event_id: resume.last_event_id,
            kv_location: resume.kv_location.as_deref(),
            body_length: self.request.body.len(),
        };
        let mut bytes = Vec::with_capacity(1024 + self.request.body.len());
        self.core.adapter.codec.encode_dispatch(&self.request.head, &metadata, &mut bytes);
        bytes.extend_from_slice(&self.request.body);
        bytes
    }

    /// Returns how long a replica may take until its response begins before the request is sent to
    /// another one.
    pub(crate) fn first_byte_timeout(&self, selected: &selection::SelectedReplica) -> time::Millis {
        let latency_target = self.request.route.latency_target.get();
        if !self.request.route.kind.is_stream() {
            return time::Millis::new(latency_target.saturating_mul(PLAIN_TIMEOUT_FACTOR));
        }
        let state = self.core.state.borrow();
        let ttft_estimate =
            state.ttft_estimator.estimate_ttft_ms(self.service, selected.tokens_ahead);
        let expected = latency_target.max(ttft_estimate as u64);
        time::Millis::new(expected.saturating_mul(STREAM_TIMEOUT_FACTOR))
    }
}
