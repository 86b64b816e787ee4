//! Callers' connections: reads requests, has them forwarded, and writes the responses that the
//! gateway generates itself.

use std::cell;
use std::pin;
use std::rc;

use async_std::future;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::body_budget;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::selection;
use samphiremoor_fleet::suspect;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::caller_slot;
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
/// Timeout for writing the refusal of a request that was not read to its end.
const REFUSAL_TIMEOUT: time::Millis = time::Millis::new(1_000);

/// Bytes that are read of a connection that is refused.
const REFUSED_READ_BYTES: usize = 2 * 1024;

/// Accepts callers' connections until the daemon stops doing so.
pub async fn accept(core: rc::Rc<core::GatewayCore>, listener: net::TcpListener) {
    loop {
        let accepting = async { Some(listener.accept().await) };
        let stopped = async {
            core.accept_stop.started().await;
            None
        };
        // The signal comes first: under load a connection always waits to be accepted.
        match futures_lite::future::or(stopped, accepting).await {
            Some(Ok((stream, _))) => {
                admit(&core, stream).await;
                // Connections that were dropped close before more are accepted.
                futures_lite::future::yield_now().await;
            }
            // The system has accepted connections that wait here. It refuses those that come once the
            // listener is closed.
            None => {
                while let Some(Ok((stream, _))) =
                    futures_lite::future::poll_once(listener.accept()).await
                {
                    admit(&core, stream).await;
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

/// Serves a new connection, or refuses it if the limit on connections is reached.
async fn admit(core: &rc::Rc<core::GatewayCore>, mut stream: net::TcpStream) {
    if let Some(slot) = caller_slot::CallerSlot::open(core) {
        task::spawn_local(serve_connection(core.clone(), stream, slot));
        return;
    }
    let reason = reason::RefusalReason::TooManyConnections;
    log_event!(event::LogEvent::ConnectionRefused, reason = reason);
    core.metrics.count_refusal(reason);
    let mut out = Vec::new();
    let response = adapter::LocalResponse::NotRun(UNAVAILABLE_RETRY_AFTER);
    core.adapter.codec.encode_local(response, None, true, &mut out);
    // What was received is read first, since the system resets a connection that closes with unread
    // bytes, and the response would be lost. Neither waits for the caller.
    let mut received = [0; REFUSED_READ_BYTES];
    let _ = futures_lite::future::poll_once(stream.read(&mut received)).await;
    let _ = futures_lite::future::poll_once(stream.write_all(&out)).await;
}

async fn serve_connection(
    core: rc::Rc<core::GatewayCore>,
    stream: net::TcpStream,
    slot: caller_slot::CallerSlot,
) {
    let Ok(mut raw) = connection::RawConnection::new(stream) else { return };
    while serve_next(&core, &mut raw, &slot).await {}
}

/// Serves the next request. Returns `false` if the connection must be closed.
async fn serve_next(
    core: &rc::Rc<core::GatewayCore>,
    raw: &mut connection::RawConnection,
    slot: &caller_slot::CallerSlot,
) -> bool {
    if !await_request(core, raw, slot).await {
        return false;
    }
    let _delay = core.idle_shutdown.delay_stop();
    let arrived_at = core.now();
    slot.progress(body_budget::ReceivePhase::Receiving);
    let dropped = async {
        slot.dropped().await;
        let response = adapter::LocalResponse::NotRun(UNAVAILABLE_RETRY_AFTER);
        Err(Some((response, reason::RefusalReason::StalledBody)))
    };
    let received = receive(core, raw, slot);
    let (head, body, held_bytes) = match futures_lite::future::or(received, dropped).await {
        Ok(received) => received,
        Err(refusal) => {
            raw.consume(raw.buffered().len());
            slot.try_resize(raw.held_bytes());
            return refuse_unread(core, raw, refusal).await;
        }
    };
    slot.progress(body_budget::ReceivePhase::Serving);
    let closes_connection = head.fields.has_token("connection", "close") || core.is_stopping();
    let connection = CallerConnection { raw, slot, held_bytes };
    let is_reusable =
        Box::pin(serve_request(core, connection, head, body, arrived_at, closes_connection)).await;
    is_reusable && !closes_connection
}

/// Connection on which a request was received.
struct CallerConnection<'a> {
    raw: &'a mut connection::RawConnection,
    slot: &'a caller_slot::CallerSlot,
    /// Memory that the request uses, in bytes.
    held_bytes: usize,
}

/// Response to a request that was not read to its end, and the reason; `None` if the connection
/// failed.
type UnreadRefusal = Option<(adapter::LocalResponse, reason::RefusalReason)>;

/// Receives a request. Returns its head and body with the memory that they use, in bytes.
async fn receive(
    core: &core::GatewayCore,
    raw: &mut connection::RawConnection,
    slot: &caller_slot::CallerSlot,
) -> Result<(message::RequestHead, Vec<u8>, usize), UnreadRefusal> {
    let limits = current_limits(core);
    let head_read = read_head(raw, slot, limits.max_header);
    let (head, head_bytes) = future::timeout(limits.header_timeout.to_duration(), head_read)
        .await
        .map_err(|_| SLOW_REFUSAL)??;
    let body_read = read_body(raw, slot, (&head, head_bytes), limits.max_body);
    let body = future::timeout(BODY_TIMEOUT.to_duration(), body_read)
        .await
        .map_err(|_| SLOW_REFUSAL)??;
    let held_bytes = head_bytes + body.capacity();
    slot.try_resize(held_bytes + raw.held_bytes());
    Ok((head, body, held_bytes))
}

/// Refusal of a request that came too slowly.
const SLOW_REFUSAL: UnreadRefusal =
    Some((adapter::LocalResponse::TooSlow, reason::RefusalReason::SlowCaller));

/// Returns the refusal of a request for which no memory is left.
fn budget_refusal(_cause: caller_slot::BudgetSpent) -> UnreadRefusal {
    let response = adapter::LocalResponse::NotRun(UNAVAILABLE_RETRY_AFTER);
    Some((response, reason::RefusalReason::TooManyRequests))
}

/// Reads the head of a request. Returns it with its length in bytes.
async fn read_head(
    raw: &mut connection::RawConnection,
    slot: &caller_slot::CallerSlot,
    limit: quantity::ByteCount,
) -> Result<(message::RequestHead, usize), UnreadRefusal> {
    loop {
        if let Some(head) = raw.take_request_head(limit).map_err(read_refusal)? {
            return Ok(head);
        }
        slot.resize(raw.next_held_bytes()).await.map_err(budget_refusal)?;
        raw.fill_head().await.map_err(read_refusal)?;
        slot.progress(body_budget::ReceivePhase::Receiving);
    }
}

/// Waits for the first byte of a request. Returns `false` if none arrives. A policy that comes into
/// force meanwhile may extend the wait.
async fn await_request(
    core: &rc::Rc<core::GatewayCore>,
    raw: &mut connection::RawConnection,
    slot: &caller_slot::CallerSlot,
) -> bool {
    if !raw.buffered().is_empty() {
        slot.try_resize(raw.held_bytes());
        return true;
    }
    let idle_since = core.now();
    slot.progress(body_budget::ReceivePhase::Idle);
    // An idle connection has no read buffer.
    slot.try_resize(0);
    let received = async { matches!(raw.wait_readable().await, Ok(true)) };
    let shutdown = async { core.idle_shutdown.recv().await.is_ok() };
    let dropped = async {
        slot.dropped().await;
        let reason = reason::RefusalReason::TooManyConnections;
        log_event!(event::LogEvent::ConnectionDropped, reason = reason);
        core.metrics.count_refusal(reason);
        false
    };
    let ended = futures_lite::future::or(shutdown, dropped);
    let mut has_request = pin::pin!(futures_lite::future::or(received, ended));
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

/// Reads the body of a request, whose head has a length in bytes.
async fn read_body(
    raw: &mut connection::RawConnection,
    slot: &caller_slot::CallerSlot,
    (head, head_bytes): (&message::RequestHead, usize),
    limit: quantity::ByteCount,
) -> Result<Vec<u8>, UnreadRefusal> {
    let framing = message::request_framing(&head.fields);
    let framing = framing.map_err(|cause| read_refusal(cause.into()))?;
    let count = |raw: &connection::RawConnection, capacity: usize| {
        slot.resize(head_bytes + capacity + raw.next_held_bytes())
    };
    let expects_continue = head.fields.has_token("expect", "100-continue");
    if expects_continue {
        count(raw, 0).await.map_err(budget_refusal)?;
        raw.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| None)?;
    }
    let mut reader = connection::WholeBodyReader::new(framing, limit).map_err(read_refusal)?;
    loop {
        let capacity = reader.next_capacity(raw);
        count(raw, capacity).await.map_err(budget_refusal)?;
        reader.reserve_to(capacity);
        if reader.read_more(raw, 1).await.map_err(read_refusal)? {
            return Ok(reader.body);
        }
        slot.progress(body_budget::ReceivePhase::Receiving);
    }
}

/// Returns the refusal of a request that could not be read.
fn read_refusal(cause: connection::ReadError) -> UnreadRefusal {
    use reason::RefusalReason;
    match cause {
        connection::ReadError::Closed | connection::ReadError::Broken(_) => None,
        connection::ReadError::Message(message::MessageError::TooLarge) => {
            Some((adapter::LocalResponse::HeadTooLarge, RefusalReason::TooLarge))
        }
        connection::ReadError::Message(message::MessageError::Malformed(_)) => {
            Some((adapter::LocalResponse::Malformed, RefusalReason::MalformedHttp))
        }
        connection::ReadError::BodyTooLarge => {
            Some((adapter::LocalResponse::BodyTooLarge, RefusalReason::TooLarge))
        }
    }
}

/// Refuses a request that was not read to its end. Returns `false`, since the connection must be
/// closed.
async fn refuse_unread(
    core: &core::GatewayCore,
    raw: &mut connection::RawConnection,
    refusal: UnreadRefusal,
) -> bool {
    let Some((response, reason)) = refusal else { return false };
    log_event!(event::LogEvent::RequestRefused, reason = reason);
    core.metrics.count_refusal(reason);
    let mut out = Vec::new();
    core.adapter.codec.encode_local(response, None, true, &mut out);
    match future::timeout(REFUSAL_TIMEOUT.to_duration(), raw.write(&out)).await {
        Ok(Ok(())) => {}
        Ok(Err(cause)) => log_event!(event::LogEvent::CallerGone, cause = cause),
        Err(cause) => log_event!(event::LogEvent::CallerGone, cause = cause),
    }
    false
}

/// Serves one request that was read. Returns `false` if the connection must be closed.
async fn serve_request(
    core: &rc::Rc<core::GatewayCore>,
    connection: CallerConnection<'_>,
    head: message::RequestHead,
    body: Vec<u8>,
    arrived_at: time::MonotonicTime,
    closes_connection: bool,
) -> bool {
    let CallerConnection { raw, slot, held_bytes } = connection;
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
            raw.wait_closed(|pipelined| slot.try_resize(held_bytes + pipelined)).await;
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
