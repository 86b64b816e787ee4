//! Connections of callers: reads requests, has them carried, writes what the gateway answers itself.

use std::io;
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
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;
use crate::forward;
use crate::stream;

/// Time in which a request's body must arrive; callers write bodies at once.
const BODY_TIME: time::Millis = time::Millis::new(10_000);
/// Time that a caller is taken to wait where it does not say.
const DEFAULT_PATIENCE: time::Millis = time::Millis::new(60_000);
/// Pause after an accept that failed, so that a full table of descriptors is not polled.
const ACCEPT_PAUSE: time::Millis = time::Millis::new(50);
/// Time after which a daemon may be asked again that has no policy or no memory, or was out of time.
const LATER_RETRY: time::Millis = time::Millis::new(700);
/// Time after which a caller may come back that another daemon can serve at once.
const ELSEWHERE_RETRY: time::Millis = time::Millis::new(50);
/// Least time after which a caller over its limit may come back; the debt of one prompt is paid off
/// in about this time.
const QUOTA_RETRY_MIN: time::Millis = time::Millis::new(100);
/// Bodies of requests in progress may take this part of the memory.
const BODY_MEMORY_PART: u64 = 4;

/// Accepts connections for ever.
pub async fn accept(core: rc::Rc<core::GatewayCore>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve_connection(core.clone(), stream));
            }
            Err(cause) => {
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

/// Serves the next request; false where the connection is over.
async fn serve_next(core: &rc::Rc<core::GatewayCore>, raw: &mut connection::RawConnection) -> bool {
    if !await_request(core, raw).await {
        return false;
    }
    let arrived = core.now();
    let limits = current_limits(core);
    let head = match future::timeout(
        limits.header_timeout.to_duration(),
        raw.request_head(limits.max_header),
    )
    .await
    {
        Ok(Ok(head)) => head,
        Ok(Err(cause)) => return refuse_unread(core, raw, own_answer(&cause)).await,
        Err(_) => return refuse_unread(core, raw, Some(adapter::LocalResponse::TooSlow)).await,
    };
    let body = match read_body(core, raw, &head, &limits).await {
        Ok(body) => body,
        Err(answer) => return refuse_unread(core, raw, answer).await,
    };
    let _memory = BodyMemory::take(core, body.len());
    let closes = head.fields.has_token("connection", "close") || core.is_stopping();
    let served = serve_request(core, raw, head, body, arrived, closes).await;
    served && !closes && !core.is_stopping()
}

/// Waits for the first byte of a request; false where none comes.
async fn await_request(
    core: &rc::Rc<core::GatewayCore>,
    raw: &mut connection::RawConnection,
) -> bool {
    if !raw.pending().is_empty() {
        return true;
    }
    let limit = current_limits(core).idle_timeout;
    let filling = async { matches!(raw.fill().await, Ok(count) if count > 0) };
    let ending = async { core.idle_end.recv().await.is_ok() };
    let waiting = futures_lite::future::or(filling, ending);
    future::timeout(limit.to_duration(), waiting).await.unwrap_or(false)
}

fn current_limits(core: &core::GatewayCore) -> policy::CallerLimits {
    let state = core.state.borrow();
    state.policy.as_ref().map(|policy| policy.limits).unwrap_or_default()
}

async fn read_body(
    core: &core::GatewayCore,
    raw: &mut connection::RawConnection,
    head: &message::RequestHead,
    limits: &policy::CallerLimits,
) -> Result<Vec<u8>, Option<adapter::LocalResponse>> {
    let framing = message::request_framing(&head.fields)
        .map_err(|cause| own_answer(&connection::ReadError::Message(cause)))?;
    let room = core.settings.shared.memory_mb * 1024 * 1024 / BODY_MEMORY_PART;
    if core.state.borrow().body_bytes > room {
        return Err(Some(adapter::LocalResponse::NotRun(LATER_RETRY)));
    }
    let is_waiting = head.fields.has_token("expect", "100-continue");
    if is_waiting && raw.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Err(None);
    }
    let reading = raw.body(framing, limits.max_body);
    match future::timeout(BODY_TIME.to_duration(), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(cause)) => Err(own_answer(&cause)),
        Err(_) => Err(Some(adapter::LocalResponse::TooSlow)),
    }
}

fn own_answer(cause: &connection::ReadError) -> Option<adapter::LocalResponse> {
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

/// Answers a request that was not read whole and closes the connection.
async fn refuse_unread(
    core: &core::GatewayCore,
    raw: &mut connection::RawConnection,
    answer: Option<adapter::LocalResponse>,
) -> bool {
    let Some(answer) = answer else { return false };
    log_event!(event::LogEvent::RequestRefused, reason = format_args!("{answer:?}"));
    core.metrics.refused(reason::RefusalReason::MalformedHttp);
    let mut out = Vec::new();
    core.adapter.codec.encode_local(answer, None, true, &mut out);
    if let Err(cause) = raw.write(&out).await {
        log_event!(event::LogEvent::CallerGone, cause = cause);
    }
    false
}

/// Serves one request that was read; false where the connection can't go on.
async fn serve_request(
    core: &rc::Rc<core::GatewayCore>,
    raw: &mut connection::RawConnection,
    head: message::RequestHead,
    body: Vec<u8>,
    arrived: time::MonotonicTime,
    closes: bool,
) -> bool {
    let mut sink = stream::AnswerSink::new(raw.stream(), closes);
    let call = match prepare(core, head, body, arrived) {
        Ok(call) => call,
        Err((request, answer, reason)) => {
            let request = request.as_deref();
            let end = forward::CallEnd::Own(answer, reason);
            log_end(core, request.unwrap_or("-"), None, None, &end, arrived);
            return write_own(core, &mut sink, answer, request).await.is_ok();
        }
    };
    core.state.borrow_mut().in_progress += 1;
    let progress = forward::CallProgress::new(&call.route);
    let end = {
        let carrying = forward::carry(core, &call, &progress, &mut sink);
        let left = call.deadline.since(core.now());
        let bounded = async { future::timeout(left.to_duration(), carrying).await.ok() };
        let leaving = async {
            raw.closed().await;
            Some(forward::CallEnd::CallerGone)
        };
        futures_lite::future::or(bounded, leaving).await
    };
    core.state.borrow_mut().in_progress -= 1;
    let end = end.unwrap_or_else(|| timed_out(&progress, sink.is_begun.get()));
    finish(core, &call, &progress, &end);
    let request = call.terms.request.as_deref();
    match end {
        forward::CallEnd::Answered(_) => true,
        forward::CallEnd::Own(answer, _) if !sink.is_begun.get() => {
            write_own(core, &mut sink, answer, request).await.is_ok()
        }
        _ => false,
    }
}

/// The end of a request whose time is over.
fn timed_out(progress: &forward::CallProgress, is_begun: bool) -> forward::CallEnd {
    let reason = reason::RefusalReason::DeadlinePassed;
    match (is_begun, progress.ledger.get().is_known_not_run()) {
        (true, _) => forward::CallEnd::BrokenOff,
        (false, true) => forward::CallEnd::Own(adapter::LocalResponse::NotRun(LATER_RETRY), reason),
        (false, false) => forward::CallEnd::Own(adapter::LocalResponse::TimedOut, reason),
    }
}

type Refusal = (Option<std::sync::Arc<str>>, adapter::LocalResponse, reason::RefusalReason);

/// Finds the route and the workspace of a request and takes its units of the workspace's limit.
fn prepare(
    core: &core::GatewayCore,
    head: message::RequestHead,
    body: Vec<u8>,
    arrived: time::MonotonicTime,
) -> Result<forward::IncomingCall, Refusal> {
    let terms = core.adapter.codec.decode_request(&head).map_err(|cause| {
        log_event!(event::LogEvent::RequestRefused, cause = cause);
        (None, adapter::LocalResponse::Malformed, reason::RefusalReason::BadHeader)
    })?;
    let fail = |answer, reason| Err((terms.request.clone(), answer, reason));
    if core.is_leaving() {
        let answer = adapter::LocalResponse::NotRun(ELSEWHERE_RETRY);
        return fail(answer, reason::RefusalReason::Stopping);
    }
    let mut state = core.state.borrow_mut();
    let Some(policy) = state.policy.clone() else {
        let answer = adapter::LocalResponse::NotRun(LATER_RETRY);
        return fail(answer, reason::RefusalReason::NotReady);
    };
    let host = head.fields.text("host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    let path = head.target.split('?').next().unwrap_or_default();
    let Some(route) = policy.route(&host, path) else {
        return fail(adapter::LocalResponse::NoRoute, reason::RefusalReason::UnknownPath);
    };
    let Ok(workspace) = policy.workspace(route, terms.key.as_deref()) else {
        return fail(adapter::LocalResponse::WrongKey, reason::RefusalReason::WrongKey);
    };
    let now = core.now();
    if let Some(workspace) = workspace {
        let tokens = terms.prompt.as_ref().map(selection::PromptSize::quota_tokens);
        if let Err(wait) = state.quota.try_acquire(&workspace.id, tokens, rand::random(), now) {
            let wait = wait.max(QUOTA_RETRY_MIN);
            log_event!(
                event::LogEvent::QuotaUsedUp,
                request = terms.request.as_deref().unwrap_or("-"),
                workspace = workspace.id,
                tokens = tokens.unwrap_or_default(),
                bucket = state.quota.describe(&workspace.id),
                daemons = state.daemons,
                wait = wait,
            );
            return fail(
                adapter::LocalResponse::OverQuota(wait),
                reason::RefusalReason::WorkspaceLimit,
            );
        }
    }
    let patience = terms.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
    Ok(forward::IncomingCall {
        route: route.clone(),
        workspace: workspace.cloned(),
        deadline: arrived + patience,
        revision: policy.revision,
        head,
        body,
        terms,
        arrived,
    })
}

/// Settles the counts of a request that ended and logs its end.
fn finish(
    core: &core::GatewayCore,
    call: &forward::IncomingCall,
    progress: &forward::CallProgress,
    end: &forward::CallEnd,
) {
    if progress.ledger.get().is_known_not_run()
        && let Some(workspace) = &call.workspace
    {
        let tokens = call.terms.prompt.as_ref().map(selection::PromptSize::quota_tokens);
        core.state.borrow_mut().quota.refund(&workspace.id, tokens);
    }
    let request = call.terms.request.as_deref().unwrap_or("-");
    log_end(core, request, Some(call), Some(progress), end, call.arrived);
}

fn log_end(
    core: &core::GatewayCore,
    request: &str,
    call: Option<&forward::IncomingCall>,
    progress: Option<&forward::CallProgress>,
    end: &forward::CallEnd,
    arrived: time::MonotonicTime,
) {
    let after = core.now().since(arrived);
    let (label, reason) = match end {
        forward::CallEnd::Answered(_) => ("answered", None),
        forward::CallEnd::Own(_, reason) => ("refused", Some(*reason)),
        forward::CallEnd::BrokenOff => ("broken-off", None),
        forward::CallEnd::CallerGone => ("caller-gone", None),
    };
    core.metrics.answered(label);
    core.metrics.whole(after);
    if let Some(reason) = reason {
        core.metrics.refused(reason);
    }
    log_event!(
        event::LogEvent::RequestFinished,
        request = request,
        route = call.map_or("-", |call| &*call.route.name),
        workspace = call
            .and_then(|call| call.workspace.as_ref())
            .map_or("-", |workspace| workspace.id.as_str()),
        revision = call.map_or(quantity::RevisionNumber::default(), |call| call.revision),
        replica = progress
            .and_then(|progress| progress.replica.borrow().clone())
            .map(|replica| replica.to_string())
            .unwrap_or_default(),
        sends = progress.map_or(0, |progress| progress.ledger.get().attempts()),
        end = format_args!("{end:?}"),
        after = after,
    );
}

async fn write_own(
    core: &core::GatewayCore,
    sink: &mut stream::AnswerSink,
    answer: adapter::LocalResponse,
    request: Option<&str>,
) -> io::Result<()> {
    let mut out = Vec::new();
    core.adapter.codec.encode_local(answer, request, sink.closes, &mut out);
    match sink.write(&out).await {
        true => Ok(()),
        false => Err(io::ErrorKind::BrokenPipe.into()),
    }
}

/// Counts the body of a request in progress; gives it back when dropped.
struct BodyMemory {
    core: rc::Rc<core::GatewayCore>,
    length: u64,
}

impl BodyMemory {
    fn take(core: &rc::Rc<core::GatewayCore>, length: usize) -> Self {
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
