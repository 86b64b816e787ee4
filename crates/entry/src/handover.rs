//! Hands requests over to peers, and goes on with those of peers.

use std::sync::Arc;

use async_std::future;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_peers::server;
use samphiremoor_shards::message;
use samphiremoor_shards::service;
use samphiremoor_view::zone;

use crate::core;
use crate::kept;
use crate::peer;
use crate::serve::accept;
use crate::serve::model;
use crate::wire::request;

/// Hands every model call in progress to a peer, all at the same time; what nobody takes within
/// the settings' time goes on here.
pub async fn hand_over_all(core: &Arc<core::EntryCore>, peers: &Arc<peer::PeerClients>) {
    let transfers: Vec<_> = core
        .registry
        .in_progress()
        .into_iter()
        .map(|kept| task::spawn(hand_over(core.clone(), peers.clone(), kept)))
        .collect();
    let all = async {
        for transfer in transfers {
            transfer.await;
        }
    };
    // A peer that does not answer must not hold up the end.
    let _ = future::timeout(core.settings.stop.hand_over_ms.to_duration(), all).await;
}

async fn hand_over(
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    kept: Arc<kept::KeptRequest>,
) {
    let Some(snapshot) = core.view() else { return };
    let Some(handed) = handed_request(&core, &kept) else { return };
    let live = |daemon: &zone::DaemonView| daemon.state == zone::UpstreamState::Live;
    for daemon in peer::successors(&core, &snapshot, &kept.head.id).into_iter().filter(live) {
        if peers.hand_over(&daemon, &handed).await == Ok(peer::HandOverResponse::Taken) {
            core.metrics.handed_over.inc();
            let request = &kept.head.id;
            log_event!(event::LogEvent::RequestHandedOver, request = request, daemon = daemon.id);
            kept.command(kept::RunCommand::HandOver(daemon.id));
            return;
        }
    }
}

/// The form in which a call is handed over; none for plain calls, whose answers come whole.
fn handed_request(core: &core::EntryCore, kept: &kept::KeptRequest) -> Option<peer::HandedRequest> {
    let kept::KeptWork::Model(body) = &kept.work else { return None };
    Some(peer::HandedRequest {
        id: kept.head.id.clone(),
        workspace: kept.head.workspace.clone(),
        call: body.call,
        body: serde_json::to_string(&body.fields).ok()?,
        tokens: kept.progress(0).tokens,
        remaining: model::time_left(core, kept),
        created_s: kept.head.created_s,
    })
}

/// Answers the questions of other entry daemons.
pub struct EntryPeer {
    core: Arc<core::EntryCore>,
    shards: Option<service::ShardService>,
}

impl EntryPeer {
    /// A handler for one daemon.
    pub fn new(core: Arc<core::EntryCore>, shards: Option<service::ShardService>) -> Self {
        EntryPeer { core, shards }
    }
}

impl server::PeerHandler for EntryPeer {
    type Request = peer::EntryRequest;
    type Response = peer::EntryResponse;

    fn handle(&self, question: peer::EntryRequest) -> server::ResponseFuture<peer::EntryResponse> {
        let core = self.core.clone();
        let shards = self.shards.clone();
        Box::pin(async move {
            match question {
                peer::EntryRequest::Locate(id) => {
                    let answer = match core.registry.get(&id) {
                        Some(_) => peer::LocateResponse::Kept,
                        None => peer::LocateResponse::Absent,
                    };
                    peer::EntryResponse::Located(answer)
                }
                peer::EntryRequest::HandOver(handed) => {
                    peer::EntryResponse::HandedOver(take_over(&core, *handed))
                }
                peer::EntryRequest::Shard(question) => {
                    let answer = match shards {
                        Some(shards) => shards.handle_request(*question).await,
                        None => message::ShardResponse::NotHolder,
                    };
                    peer::EntryResponse::Shard(Box::new(answer))
                }
            }
        })
    }
}

/// Goes on with a request of another daemon; a second send of one is answered alike.
fn take_over(core: &Arc<core::EntryCore>, handed: peer::HandedRequest) -> peer::HandOverResponse {
    if core.registry.get(&handed.id).is_some() {
        return peer::HandOverResponse::Taken;
    }
    if core.stopping.is_triggered() {
        return peer::HandOverResponse::Refused;
    }
    match start_taken(core, handed) {
        Some(()) => peer::HandOverResponse::Taken,
        None => peer::HandOverResponse::Refused,
    }
}

fn start_taken(core: &Arc<core::EntryCore>, handed: peer::HandedRequest) -> Option<()> {
    let snapshot = core.view()?;
    let body = request::CallBody::parse(handed.call, handed.body.as_bytes()).ok()?;
    let service = snapshot.service(&body.model.service)?.clone();
    let target = model::target_of(&service, &body.model).ok()?;
    let remaining = handed.remaining.max(time::Millis::new(1));
    let head = accept::new_head(core, handed.id, &handed.workspace, &service, remaining);
    let admitted = accept::admit(core, &head, &service).ok()?;
    let accepted = model::AcceptedCall {
        head: kept::KeptHead { created_s: handed.created_s, ..head },
        body_bytes: handed.body.len(),
        body: Arc::new(body),
        tokens: handed.tokens,
    };
    model::start(core, accepted, service, target, admitted).ok()?;
    Some(())
}
