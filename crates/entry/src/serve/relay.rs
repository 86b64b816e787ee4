//! Relays another daemon's response to a caller that reattached at this daemon.

use std::io;
use std::net;

use async_std::future;
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
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;

use crate::core;
use crate::finish;
use crate::headers;
use crate::serve::events;
use crate::wire::chunk;
use crate::wire::response;

/// Number of heartbeat intervals without a byte after which a relayed response is aborted.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// Media type of event streams.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Requests the response from another daemon on the caller's behalf. Returns `None` if that daemon
/// sends no response.
pub async fn relay(
    core: &core::EntryCore,
    address: net::SocketAddr,
    id: &id::RequestId,
    http_request: &Request,
) -> Option<Response> {
    let request = relayed_request(core, address, id, http_request)?;
    let mut relayed = client::send(address, request, limits(core)).await.ok()?;
    let mut response = Response::new(relayed.status());
    let is_stream = relayed
        .header("content-type")
        .is_some_and(|media_type| media_type.as_str().starts_with(EVENT_STREAM_TYPE));
    let forwarded_headers = headers::forwarded(relayed.iter());
    for name in [problem::REQUEST_ID_HEADER, problem::OUTCOME_HEADER] {
        if let Some(value) = relayed.header(name) {
            response.insert_header(name, value);
        }
    }
    if is_stream {
        let heartbeat_interval = core.settings.callers.heartbeat_ms;
        response.set_body(relayed_stream(relayed, id.clone(), heartbeat_interval));
    } else {
        response.set_body(relayed.take_body());
    }
    // `set_body` sets a content type; the content type of the other daemon's response replaces it.
    response.remove_header("content-type");
    for header in forwarded_headers {
        response.append_header(header.name.as_ref(), header.value.as_ref());
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
        // The head of a non-streamed response is sent only once the response is complete, so
        // waiting for the head may take as long as the whole call.
        head: core.settings.callers.max_deadline_ms,
        silence: time::Millis::new(heartbeat.saturating_mul(MAX_MISSED_HEARTBEATS)),
    }
}

/// Returns a stream of the other daemon's events. If they end early, an error event ends the
/// stream.
fn relayed_stream(relayed: Response, id: id::RequestId, heartbeat_interval: time::Millis) -> Body {
    let (sender, encoder) = async_sse::encode();
    task::spawn(async move {
        // The write fails when the caller disconnects, which ends the relay.
        let _ = relay_events(relayed, &sender, &id, heartbeat_interval).await;
    });
    Body::from_reader(encoder, None)
}

async fn relay_events(
    mut relayed: Response,
    sender: &async_sse::Sender,
    id: &id::RequestId,
    heartbeat_interval: time::Millis,
) -> io::Result<()> {
    let (body, _) = body::split_failure(relayed.take_body());
    let mut decoder = Box::new(async_sse::decode(body));
    loop {
        // The decoder drops the owner's heartbeats, since they have no data.
        let Ok(next) = future::timeout(heartbeat_interval.to_duration(), decoder.next()).await
        else {
            sender.send(events::HEARTBEAT_NAME, "", None).await?;
            continue;
        };
        let Some(Ok(event)) = next else { break };
        let async_sse::Event::Message(message) = event else { continue };
        let data = String::from_utf8_lossy(message.data());
        let is_error = message.name() == "error";
        let name = is_error.then_some("error");
        // The decoder gives an event without an id the id of the event before it.
        let id = message.id().as_deref().filter(|_| !is_error);
        sender.send(name, &data, id).await?;
        if is_error || data == chunk::DONE_DATA {
            return Ok(());
        }
    }
    let problem = interrupted_problem();
    let error = response::StreamError::new(&problem, id.clone());
    sender.send("error", &error.to_data(), None).await
}

/// Returns the problem for a caller whose relayed stream ended early.
fn interrupted_problem() -> problem::CallProblem {
    /// Leaves time for the request to be handed over to another daemon.
    const RETRY_AFTER: time::Millis = time::Millis::new(500);
    let reason = reason::RefusalReason::OwnerUnreachable;
    let mut problem = finish::problem_for(reason, outcome::CallOutcome::Unknown);
    problem.retry_after = Some(RETRY_AFTER);
    problem
}
