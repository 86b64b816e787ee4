//! Relays another daemon's answer to a caller that attached here.

use std::io;
use std::net;

use async_std::task;
use futures_lite::StreamExt as _;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;

use crate::core;
use crate::finish;
use crate::headers;
use crate::wire::answer;
use crate::wire::chunk;

/// Heartbeats of a relayed stream that are missed before it is silent.
const MISSED_HEARTBEATS: u64 = 4;

/// Media type of streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Asks another daemon for the request on the caller's behalf; none where it can't be reached.
pub async fn relay(
    core: &core::EntryCore,
    address: net::SocketAddr,
    id: &id::RequestId,
    http_request: &Request,
) -> Option<Response> {
    let request = relayed_request(core, address, id, http_request)?;
    let mut upstream = client::send(address, request, limits(core)).await.ok()?;
    let mut response = Response::new(upstream.status());
    let is_stream =
        upstream.header("content-type").is_some_and(|kind| kind.as_str().starts_with(EVENT_STREAM));
    let lines = headers::forwarded(upstream.iter());
    for name in [problem::REQUEST_ID_HEADER, problem::OUTCOME_HEADER] {
        if let Some(value) = upstream.header(name) {
            response.insert_header(name, value);
        }
    }
    if is_stream {
        response.set_body(relayed_stream(upstream, id.clone()));
    } else {
        response.set_body(upstream.take_body());
    }
    // Setting a body sets a content type, which the other daemon's own replaces.
    response.remove_header("content-type");
    for line in lines {
        response.append_header(line.name.as_ref(), line.value.as_ref());
    }
    Some(response)
}

fn relayed_request(
    core: &core::EntryCore,
    address: net::SocketAddr,
    id: &id::RequestId,
    http_request: &Request,
) -> Option<Request> {
    let url = client::url(address, &format!("/v1/requests/{id}")).ok()?;
    let mut request = Request::new(Method::Get, url);
    for name in ["authorization", headers::LAST_EVENT_HEADER] {
        if let Some(value) = http_request.header(name) {
            request.insert_header(name, value);
        }
    }
    request.insert_header(headers::RELAYED_HEADER, core.settings.daemon.as_str());
    Some(request)
}

fn limits(core: &core::EntryCore) -> client::CallLimits {
    let heartbeat = core.settings.callers.heartbeat_ms.get();
    client::CallLimits {
        connect: core.settings.upstreams.connect_timeout_ms,
        // A whole answer has no head before its end; a stream has heartbeats.
        head: core.settings.callers.max_deadline_ms,
        silence: time::Millis::new(heartbeat.saturating_mul(MISSED_HEARTBEATS)),
    }
}

/// The events of the other daemon; where they break off, an error event ends the stream.
fn relayed_stream(upstream: Response, id: id::RequestId) -> Body {
    let (sender, encoder) = async_sse::encode();
    task::spawn(async move {
        // A caller that is gone ends the relay.
        let _ = pass_events(upstream, &sender, &id).await;
    });
    Body::from_reader(encoder, None)
}

async fn pass_events(
    upstream: Response,
    sender: &async_sse::Sender,
    id: &id::RequestId,
) -> io::Result<()> {
    let mut events = Box::new(async_sse::decode(upstream));
    while let Some(Ok(event)) = events.next().await {
        let async_sse::Event::Message(message) = event else { continue };
        let data = String::from_utf8_lossy(message.data());
        let is_error = message.name() == "error";
        let name = is_error.then_some("error");
        sender.send(name, &data, message.id().as_deref()).await?;
        if is_error || data == chunk::DONE_DATA {
            return Ok(());
        }
    }
    let problem = broken_relay();
    let error = answer::StreamError::new(&problem, id.clone());
    sender.send("error", &error.to_data(), None).await
}

/// What a caller is told whose relayed stream broke off.
fn broken_relay() -> problem::CallProblem {
    /// Time in which a request is handed over to another daemon.
    const RETRY_AFTER: time::Millis = time::Millis::new(500);
    let reason = reason::RefusalReason::OwnerUnreachable;
    let mut problem = finish::problem_of(reason, outcome::CallOutcome::Unknown);
    problem.retry_after = Some(RETRY_AFTER);
    problem
}
