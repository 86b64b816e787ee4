//! Callers that attach again to a request.

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
use crate::serve::reply;
use crate::serve::service;

/// Serves `GET /v1/requests/{id}`.
///
/// # Errors
///
/// Refuses an id that is not kept for the caller's workspace here or at a peer.
pub async fn serve(
    core: &Arc<core::EntryCore>,
    peers: &peer::PeerClients,
    id: &id::RequestId,
    http_request: &Request,
) -> Result<Response, reply::CallRefusal> {
    let caller = access::recognise(core, http_request)?;
    let from = first_wanted(http_request)?;
    let is_relayed = http_request.header(headers::RELAYED_HEADER).is_some();
    if let Some(kept) = core.registry.get(id) {
        let next = match kept.end() {
            Some(kept::KeptEnd::HandedOver(next)) if !is_relayed => Some(next),
            _ => None,
        };
        // Another workspace's request is answered as one that does not exist.
        if kept.head.workspace != caller.workspace.id {
            return Err(unknown());
        }
        let Some(next) = next else { return Ok(kept_reply(core, kept, from).await) };
        let daemon = caller.snapshot.daemon(&next).ok_or_else(unreachable)?;
        return relay::relay(core, daemon.http_address, id, http_request)
            .await
            .ok_or_else(unreachable);
    }
    if is_relayed {
        return Err(unknown());
    }
    relay_to_keeper(core, peers, &caller, id, http_request).await
}

/// Index of the first event that the caller lacks.
fn first_wanted(request: &Request) -> Result<u64, reply::CallRefusal> {
    let Some(value) = request.header(headers::LAST_EVENT_HEADER) else { return Ok(0) };
    let last = value.as_str().trim().parse::<u64>().ok().and_then(|last| last.checked_add(1));
    last.ok_or_else(|| {
        reply::CallRefusal::new(reason::RefusalReason::BadHeader).detail(format!(
            "`{}` is no event id of this system; leave it out",
            headers::LAST_EVENT_HEADER
        ))
    })
}

async fn kept_reply(
    core: &Arc<core::EntryCore>,
    kept: Arc<kept::KeptRequest>,
    from: u64,
) -> Response {
    let kept::KeptWork::Model(body) = &kept.work else {
        return service::whole_reply(core, kept).await;
    };
    if !body.stream {
        let call = body.call;
        return model::whole_reply(core, kept, call).await;
    }
    let options = events::EventOptions { call: body.call, include_usage: body.include_usage, from };
    events::event_reply(core, kept, options)
}

/// Looks for the daemon that keeps the request: the one that its id names, then its successors.
async fn relay_to_keeper(
    core: &Arc<core::EntryCore>,
    peers: &peer::PeerClients,
    caller: &access::KnownCaller,
    id: &id::RequestId,
    http_request: &Request,
) -> Result<Response, reply::CallRefusal> {
    let mut is_certain = true;
    let owner = peer::owner_of(id);
    let owner_view = owner.as_ref().and_then(|owner| caller.snapshot.daemon(owner));
    if let Some(daemon) = owner_view
        && daemon.id != core.settings.daemon
    {
        match relay::relay(core, daemon.http_address, id, http_request).await {
            Some(response) if !is_unknown(&response) => return Ok(response),
            Some(_) => {}
            None => is_certain = false,
        }
    }
    for daemon in peer::successors(core, &caller.snapshot, id) {
        match peers.locate(&daemon, id).await {
            Ok(peer::LocateResponse::Kept) => {
                let relayed = relay::relay(core, daemon.http_address, id, http_request).await;
                return relayed.ok_or_else(unreachable);
            }
            Ok(peer::LocateResponse::Absent) => {}
            Err(_) => is_certain = false,
        }
    }
    Err(if is_certain { unknown() } else { unreachable() })
}

fn is_unknown(response: &Response) -> bool {
    response.status() == http_types::StatusCode::NotFound
}

fn unknown() -> reply::CallRefusal {
    reply::CallRefusal::new(reason::RefusalReason::UnknownRequest)
}

fn unreachable() -> reply::CallRefusal {
    /// Time in which a partition or a restart most often ends.
    const RETRY_AFTER: time::Millis = time::Millis::new(1_000);
    reply::CallRefusal::new(reason::RefusalReason::OwnerUnreachable).retry_after(RETRY_AFTER)
}
