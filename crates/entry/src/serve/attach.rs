//! Callers that reattach to a kept request.

use std::sync::Arc;

use http_types::Request;
use http_types::Response;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;

use crate::core;
use crate::headers;
use crate::kept;
use crate::peer;
use crate::serve::access;
use crate::serve::events;
use crate::serve::model;
use crate::serve::relay;
use crate::serve::response;
use crate::serve::service;

/// Serves `GET /v1/requests/{id}`.
///
/// # Errors
///
/// Refuses an id of which neither this daemon nor a peer keeps a request of the caller's workspace.
pub async fn serve(
    core: &Arc<core::EntryCore>,
    peers: &peer::PeerClients,
    id: &id::RequestId,
    http_request: &Request,
) -> Result<Response, response::CallRefusal> {
    let caller = access::authenticate(core, http_request)?;
    let first_index = first_event_index(http_request)?;
    let is_relayed = http_request.header(headers::RELAYED_HEADER).is_some();
    if let Some(kept) = core.registry.get(id) {
        let new_owner = match kept.end() {
            Some(kept::KeptEnd::HandedOver(daemon)) if !is_relayed => Some(daemon),
            _ => None,
        };
        // A request of another workspace gets the same response as one that does not exist.
        if kept.info.workspace != caller.workspace.id {
            return Err(unknown_request());
        }
        let Some(new_owner) = new_owner else {
            return Ok(kept_response(core, kept, first_index).await);
        };
        let daemon = caller.snapshot.daemon(&new_owner).ok_or_else(owner_unreachable)?;
        return relay::relay(core, daemon.http_address, id, http_request)
            .await
            .ok_or_else(owner_unreachable);
    }
    if is_relayed {
        return Err(unknown_request());
    }
    relay_to_owner(core, peers, &caller, id, http_request).await
}

/// Returns the index of the first event that the caller has not received.
fn first_event_index(request: &Request) -> Result<u64, response::CallRefusal> {
    let Some(value) = request.header(headers::LAST_EVENT_HEADER) else { return Ok(0) };
    let first_index =
        value.as_str().trim().parse::<u64>().ok().and_then(|last_id| last_id.checked_add(1));
    first_index.ok_or_else(|| {
        response::CallRefusal::new(reason::RefusalReason::BadHeader).detail(format!(
            "`{}` is no event id of this system; leave it out",
            headers::LAST_EVENT_HEADER
        ))
    })
}

async fn kept_response(
    core: &Arc<core::EntryCore>,
    kept: Arc<kept::KeptRequest>,
    first_index: u64,
) -> Response {
    let kept::RequestKind::Model(body) = &kept.kind else {
        return service::full_response(core, kept).await;
    };
    if !body.stream || is_rejected(&kept) {
        let call = body.call;
        return model::full_response(core, kept, call).await;
    }
    let options =
        events::EventOptions { call: body.call, include_usage: body.include_usage, first_index };
    events::event_response(core, kept, options)
}

/// Returns whether the upstream rejected the call, so that its response is no stream.
fn is_rejected(kept: &kept::KeptRequest) -> bool {
    matches!(kept.end(), Some(kept::KeptEnd::Plain(_)))
}

/// Relays the call to the daemon that keeps the request: first the one named in the request id,
/// then its successors.
async fn relay_to_owner(
    core: &Arc<core::EntryCore>,
    peers: &peer::PeerClients,
    caller: &access::AuthenticatedCaller,
    id: &id::RequestId,
    http_request: &Request,
) -> Result<Response, response::CallRefusal> {
    let mut is_search_complete = true;
    let owner = peer::owner_of(id);
    let owner_view = owner.as_ref().and_then(|owner| caller.snapshot.daemon(owner));
    if let Some(daemon) = owner_view
        && daemon.id != core.settings.daemon
    {
        match relay::relay(core, daemon.http_address, id, http_request).await {
            Some(response) if !is_not_found(&response) => return Ok(response),
            Some(_) => {}
            None => is_search_complete = false,
        }
    }
    for daemon in peer::successors(core, &caller.snapshot, id) {
        match peers.locate(&daemon, id).await {
            Ok(peer::LocateResponse::Kept) => {
                let relayed = relay::relay(core, daemon.http_address, id, http_request).await;
                return relayed.ok_or_else(owner_unreachable);
            }
            Ok(peer::LocateResponse::Absent) => {}
            Err(_) => is_search_complete = false,
        }
    }
    Err(if is_search_complete { unknown_request() } else { owner_unreachable() })
}

fn is_not_found(response: &Response) -> bool {
    response.status() == http_types::StatusCode::NotFound
}

fn unknown_request() -> response::CallRefusal {
    response::CallRefusal::new(reason::RefusalReason::UnknownRequest)
}

fn owner_unreachable() -> response::CallRefusal {
    /// Leaves time for a network partition or a restart of the owner to end.
    const RETRY_AFTER: time::Millis = time::Millis::new(1_000);
    response::CallRefusal::new(reason::RefusalReason::OwnerUnreachable).retry_after(RETRY_AFTER)
}
