//! Callers' connections: reads requests, has them forwarded, and writes the responses that the
//! gateway generates itself.

use std::cell;
use std::pin;
use std::rc;

use async_std::future;
use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::selection;
use samphiremoor_fleet::suspect;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::context;
use crate::core;
use crate::forward;
use crate::guard;
use crate::response;

/// Timeout for reading a request's body. Callers send a body without pauses.
const BODY_TIMEOUT: time::Millis = time::Millis::new(10_000);
/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: time::Millis = time::Millis::new(60_000);
/// Pause after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_PAUSE: time::Millis = time::Millis::new(50);
/// `Retry-After` while the daemon has no policy or no memory for another body, and of a request
/// whose deadline passed before any replica ran it.
const UNAVAILABLE_RETRY_AFTER: time::Millis = time::Millis::new(700);
/// `Retry-After` of a daemon that is stopping; another daemon can serve the request at once.
const STOPPING_RETRY_AFTER: time::Millis = time::Millis::new(50);
/// Minimum `Retry-After` of a workspace over its limit. The token bucket recovers from the debt of
/// one prompt in about this time.
const QUOTA_RETRY_AFTER_MIN: time::Millis = time::Millis::new(100);
/// Divisor of the process's memory that gives the limit for the bodies of requests in progress.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Accepts callers' connections until the daemon stops doing so.
pub async fn accept(core: rc::Rc<core::GatewayCore>, listener: net::TcpListener) {
    loop {
        let accepting = async { Some(listener.accept().await) };
        let stopped = async {
            core.accept_stop.started().await;
            None
        };
        match futures_lite::future::or(accepting, stopped).await {
            Some(Ok((stream, _))) => {
                task::spawn_local(serve_connection(core.clone(), stream));
            }
            // The system has accepted connections that wait here. It refuses those that come once the
            // listener is closed.
            None => {
                while let Some(Ok((stream, _))) =
                    futures_lite::future::poll_once(listener.accept()).await
                {
                    task::spawn_local(serve_connection(core.clone(), stream));
                }
                return;
            }
            Some(Err(cause)) => {
                log_event!(event::LogEvent::ConnectionRefused, cause = cause);
                task::sleep(ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

async fn serve_connection(core: rc::Rc<core::GatewayCore>, stream: net::TcpStream) {
    let Ok(mut raw) = connection::RawConnection::new(stream) else { return };
    while serve_next(&core, &mut raw).await {}
}

/// Serves the next request. Returns `false` if the connection must be closed.
async fn serve_next(core: &rc::Rc<core::GatewayCore>, raw: &mut connection::RawConnection) -> bool {
    if !await_request(core, raw).await {
        return false;
    }
    let _delay = core.idle_shutdown.delay_stop();
    let arrived_at = core.now();
    let limits = current_limits(core);
    let head = match future::timeout(
        limits.header_timeout.to_duration(),
        raw.request_head(limits.max_header),
    )
    .await
    {
        Ok(Ok(head)) => head,
        Ok(Err(cause)) => return refuse_unread(core, raw, local_response(&cause)).await,
        Err(_) => return refuse_unread(core, raw, Some(adapter::LocalResponse::TooSlow)).await,
    };
    let body = match read_body(core, raw, &head, &limits).await {
        Ok(body) => body,
        Err(response) => return refuse_unread(core, raw, response).await,
    };
    let _memory = BodyMemory::reserve(core, body.len());
    let closes_connection = head.fields.has_token("connection", "close") || core.is_stopping();
    let is_reusable = serve_request(core, raw, head, body, arrived_at, closes_connection).await;
    is_reusable && !closes_connection
}

/// Waits for the first byte of a request. Returns `false` if none arrives. A policy that comes into
/// force meanwhile may extend the wait.
async fn await_request(
    core: &rc::Rc<core::GatewayCore>,
    raw: &mut connection::RawConnection,
) -> bool {
    if !raw.buffered().is_empty() {
        return true;
    }
    let idle_since = core.now();
    let received = async { matches!(raw.fill().await, Ok(count) if count > 0) };
    let shutdown = async { core.idle_shutdown.recv().await.is_ok() };
    let mut has_request = pin::pin!(futures_lite::future::or(received, shutdown));
    loop {
        let idle_until = idle_since + current_limits(core).idle_timeout;
        let idle_left = idle_until.since(core.now());
        if idle_left.get() == 0 {
            return false;
        }
        let waiting = future::timeout(idle_left.to_duration(), has_request.as_mut());
        if let Ok(has_request) = waiting.await {
            return has_request;
        }
    }
}

fn current_limits(core: &core::GatewayCore) -> policy::CallerLimits {
    let state = core.state.borrow();
    state.policy.as_ref().map(|policy| policy.limits).unwrap_or_default()
}

/// Reads the body of a request. The error is the response to write, or `None` if the connection
/// failed.
async fn read_body(
    core: &core::GatewayCore,
    raw: &mut connection::RawConnection,
    head: &message::RequestHead,
    limits: &policy::CallerLimits,
) -> Result<Vec<u8>, Option<adapter::LocalResponse>> {
    let framing = message::request_framing(&head.fields)
        .map_err(|cause| local_response(&connection::ReadError::Message(cause)))?;
    let limit_bytes = core.settings.shared.memory_mb * 1024 * 1024 / BODY_MEMORY_DIVISOR;
    if core.state.borrow().body_bytes > limit_bytes {
        return Err(Some(adapter::LocalResponse::NotRun(UNAVAILABLE_RETRY_AFTER)));
    }
    let expects_continue = head.fields.has_token("expect", "100-continue");
    if expects_continue && raw.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Err(None);
    }
    let body_read = raw.body(framing, limits.max_body);
    match future::timeout(BODY_TIMEOUT.to_duration(), body_read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(cause)) => Err(local_response(&cause)),
        Err(_) => Err(Some(adapter::LocalResponse::TooSlow)),
    }
}

/// Returns the response to a request that could not be read, or `None` if the connection failed.
fn local_response(cause: &connection::ReadError) -> Option<adapter::LocalResponse> {
    match cause {
        connection::ReadError::Closed | connection::ReadError::Broken(_) => None,
        connection::ReadError::Message(message::MessageError::TooLarge) => {
            Some(adapter::LocalResponse::HeadTooLarge)
        }
        connection::ReadError::Message(message::MessageError::Malformed(_)) => {
            Some(adapter::LocalResponse::Malformed)
        }
        connection::ReadError::BodyTooLarge => Some(adapter::LocalResponse::BodyTooLarge),
    }
}

/// Returns the reason of the refusal of a request that was not read to its end.
fn unread_reason(response: adapter::LocalResponse) -> reason::RefusalReason {
    match response {
        adapter::LocalResponse::HeadTooLarge | adapter::LocalResponse::BodyTooLarge => {
            reason::RefusalReason::TooLarge
        }
        adapter::LocalResponse::TooSlow => reason::RefusalReason::SlowCaller,
        // The bodies of other requests use up the memory.
        adapter::LocalResponse::NotRun(_) => reason::RefusalReason::TooManyRequests,
        _ => reason::RefusalReason::MalformedHttp,
    }
}

/// Refuses a request that was not read to its end. Returns `false`, since the connection must be
/// closed.
async fn refuse_unread(
    core: &core::GatewayCore,
    raw: &mut connection::RawConnection,
    response: Option<adapter::LocalResponse>,
) -> bool {
    let Some(response) = response else { return false };
    let reason = unread_reason(response);
    log_event!(event::LogEvent::RequestRefused, reason = reason);
    core.metrics.count_refusal(reason);
    let mut out = Vec::new();
    core.adapter.codec.encode_local(response, None, true, &mut out);
    if let Err(cause) = raw.write(&out).await {
        log_event!(event::LogEvent::CallerGone, cause = cause);
    }
    false
}

/// Serves one request that was read. Returns `false` if the connection must be closed.
async fn serve_request(
    core: &rc::Rc<core::GatewayCore>,
    raw: &mut connection::RawConnection,
    head: message::RequestHead,
    body: Vec<u8>,
    arrived_at: time::MonotonicTime,
    closes_connection: bool,
) -> bool {
    let method = head.method.clone();
    let new_sink = |request_id| {
        response::ResponseSink::new(raw.stream(), &method, request_id, closes_connection)
    };
    let request = match prepare_request(core, head, body, arrived_at) {
        Ok(request) => request,
        Err((request_id, response, reason)) => {
            let mut sink = new_sink(request_id.clone());
            let request_id = request_id.as_deref();
            let is_written = write_local(core, &mut sink, response, request_id).await.is_ok();
            let outcome = forward::RequestOutcome::Own(response, reason);
            log_outcome(core, None, None, &outcome, &sink, arrived_at);
            return is_written;
        }
    };
    let admitted_at = core.now();
    let mut sink = new_sink(request.metadata.request_id.clone());
    let _progress = guard::ProgressGuard::new(core);
    let progress = context::RequestProgress::new(&request.route, arrived_at);
    let outcome = {
        let forwarding = forward::forward(core, &request, &progress, &mut sink);
        let time_left = request.deadline.since(core.now());
        let forwarded_in_time = async {
            let outcome = future::timeout(time_left.to_duration(), forwarding).await;
            outcome.map_err(|_| (reason::RefusalReason::DeadlinePassed, UNAVAILABLE_RETRY_AFTER))
        };
        let disconnected = async {
            raw.wait_closed().await;
            Ok(forward::RequestOutcome::CallerGone)
        };
        let stopped = async {
            core.forced_stop.started().await;
            Err((reason::RefusalReason::Stopping, STOPPING_RETRY_AFTER))
        };
        let ended = futures_lite::future::or(forwarded_in_time, disconnected);
        futures_lite::future::or(ended, stopped).await
    };
    let outcome = outcome.unwrap_or_else(|(reason, wait)| {
        forward::unanswered_outcome(&progress, &sink, reason, wait)
    });
    refund_unrun(core, &request, &progress, admitted_at);
    let request_id = request.metadata.request_id.as_deref();
    let is_reusable = match outcome {
        forward::RequestOutcome::Answered(_) => true,
        forward::RequestOutcome::Own(response, _) => {
            write_local(core, &mut sink, response, request_id).await.is_ok()
        }
        _ => false,
    };
    log_outcome(core, Some(&request), Some(&progress), &outcome, &sink, arrived_at);
    is_reusable
}

/// Request ID if one was decoded, response to the caller, and reason of the refusal.
type Refusal = (Option<std::sync::Arc<str>>, adapter::LocalResponse, reason::RefusalReason);

/// Finds the route and the workspace of a request and takes its units from the workspace's token
/// bucket.
fn prepare_request(
    core: &core::GatewayCore,
    head: message::RequestHead,
    body: Vec<u8>,
    arrived_at: time::MonotonicTime,
) -> Result<context::IncomingRequest, Refusal> {
    let metadata = core.adapter.codec.decode_request(&head).map_err(|cause| {
        log_event!(event::LogEvent::RequestRefused, cause = cause);
        (None, adapter::LocalResponse::Malformed, reason::RefusalReason::BadHeader)
    })?;
    let refuse = |response, reason| Err((metadata.request_id.clone(), response, reason));
    if core.refuses_requests() {
        let response = adapter::LocalResponse::NotRun(STOPPING_RETRY_AFTER);
        return refuse(response, reason::RefusalReason::Stopping);
    }
    let mut state = core.state.borrow_mut();
    let Some(policy) = state.policy.clone() else {
        let response = adapter::LocalResponse::NotRun(UNAVAILABLE_RETRY_AFTER);
        return refuse(response, reason::RefusalReason::NotReady);
    };
    let host = head.fields.text("host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    let path = head.target.split('?').next().unwrap_or_default();
    let Some(route) = policy.route(&host, path) else {
        return refuse(adapter::LocalResponse::NoRoute, reason::RefusalReason::UnknownPath);
    };
    let Ok(workspace) = policy.workspace(route, metadata.api_key.as_deref()) else {
        return refuse(adapter::LocalResponse::WrongKey, reason::RefusalReason::WrongKey);
    };
    let now = core.now();
    let mut tests_verdict = false;
    let mut suspects = suspect::shared_segments(metadata.prompt.as_ref());
    let fingerprint = cell::OnceCell::new();
    if state.quarantine.has_request_suspects() {
        let identity = context::identity(&head, workspace.map(|rule| &**rule), &body);
        suspects
            .push(suspect::SuspectId::Request(*fingerprint.get_or_init(|| identity.fingerprint())));
    }
    let instant = state.clock_instant(now);
    if let Some((suspect, wait)) = state.quarantine.find_quarantined(&suspects, instant) {
        let holds_lease = core.lease_state.local_position.get().is_some();
        tests_verdict = holds_lease && state.quarantine.begin_test(suspect, instant);
        if !tests_verdict {
            state.quarantine.record_refusal(suspect, now);
            let response = adapter::LocalResponse::NotRun(wait.max(UNAVAILABLE_RETRY_AFTER));
            return refuse(response, reason::RefusalReason::Quarantined);
        }
    }
    if let Some(workspace) = workspace {
        let tokens = metadata.prompt.as_ref().map(selection::PromptSize::quota_tokens);
        if let Err(wait) = state.quota.try_acquire(&workspace.id, tokens, rand::random(), now) {
            let wait = wait.max(QUOTA_RETRY_AFTER_MIN);
            log_event!(
                event::LogEvent::QuotaUsedUp,
                request = metadata.request_id.as_deref().unwrap_or("-"),
                workspace = workspace.id,
                tokens = tokens.unwrap_or_default(),
                bucket = state.quota.describe(&workspace.id),
                daemons = state.live_daemons,
                wait = wait,
            );
            return refuse(
                adapter::LocalResponse::OverQuota(wait),
                reason::RefusalReason::WorkspaceLimit,
            );
        }
    }
    let caller_timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
    Ok(context::IncomingRequest {
        route: route.clone(),
        workspace: workspace.cloned(),
        deadline: arrived_at + caller_timeout.min(route.timeout),
        caller_deadline: arrived_at + caller_timeout,
        fingerprint,
        tests_verdict,
        revision: policy.revision,
        head,
        body,
        metadata,
        arrived_at,
    })
}

/// Returns the rate-limit units of a request that was not run.
fn refund_unrun(
    core: &core::GatewayCore,
    request: &context::IncomingRequest,
    progress: &context::RequestProgress,
    admitted_at: time::MonotonicTime,
) {
    let Some(workspace) = &request.workspace else { return };
    if progress.tracker.get().is_known_not_run() {
        let tokens = request.metadata.prompt.as_ref().map(selection::PromptSize::quota_tokens);
        core.state.borrow_mut().quota.refund(&workspace.id, tokens, admitted_at);
    }
}

fn log_outcome(
    core: &core::GatewayCore,
    incoming: Option<&context::IncomingRequest>,
    progress: Option<&context::RequestProgress>,
    outcome: &forward::RequestOutcome,
    sink: &response::ResponseSink,
    arrived_at: time::MonotonicTime,
) {
    let now = core.now();
    let elapsed = now.since(arrived_at);
    let (label, reason) = match outcome {
        forward::RequestOutcome::Answered(_) => ("answered", None),
        forward::RequestOutcome::Own(_, reason) => ("refused", Some(*reason)),
        forward::RequestOutcome::BrokenOff => ("broken-off", None),
        forward::RequestOutcome::CallerGone => ("caller-gone", None),
    };
    core.metrics.count_outcome(label);
    core.metrics.count_response(sink.state());
    core.metrics.observe_total(elapsed);
    if let Some(reason) = reason {
        core.metrics.count_refusal(reason);
    }
    log_event!(
        event::LogEvent::RequestFinished,
        request = sink.request_id(),
        route = incoming.map_or("-", |request| &*request.route.name),
        workspace = incoming
            .and_then(|request| request.workspace.as_ref())
            .map_or("-", |workspace| workspace.id.as_str()),
        revision = incoming.map_or(quantity::RevisionNumber::default(), |request| request.revision),
        replica = progress
            .and_then(|progress| progress.replica.borrow().clone())
            .map(|replica| replica.to_string())
            .unwrap_or_default(),
        sends = progress.map_or(0, |progress| progress.tracker.get().attempts()),
        end = format_args!("{outcome:?}"),
        response = sink.state(),
        bytes = sink.bytes(),
        phase = progress.map_or(context::ResponsePhase::Head, |progress| progress.phase.get()),
        silent = progress
            .map_or(time::Millis::default(), |progress| now.since(progress.last_data_at.get())),
        after = elapsed,
    );
}

/// Writes a response that the gateway generates itself.
async fn write_local(
    core: &core::GatewayCore,
    sink: &mut response::ResponseSink,
    response: adapter::LocalResponse,
    request_id: Option<&str>,
) -> Result<(), response::WriteError> {
    let mut out = Vec::new();
    core.adapter.codec.encode_local(response, request_id, sink.closes_connection(), &mut out);
    sink.write_whole(&out).await
}

/// Counts the body of a request in progress toward the memory limit until dropped.
struct BodyMemory {
    core: rc::Rc<core::GatewayCore>,
    /// Length of the body, in bytes.
    length: u64,
}

impl BodyMemory {
    fn reserve(core: &rc::Rc<core::GatewayCore>, length: usize) -> Self {
        let length = length as u64;
        core.state.borrow_mut().body_bytes += length;
        BodyMemory { core: core.clone(), length }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.core.state.borrow_mut().body_bytes -= self.length;
    }
}
