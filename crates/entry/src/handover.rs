//! Handover of requests to peers, and resumption of requests that peers hand over.

use std::sync::Arc;

use async_std::future;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::quarantine as fleet_quarantine;
use samphiremoor_httpio::relay;
use samphiremoor_peers::server;
use samphiremoor_shards::message;
use samphiremoor_shards::service;
use samphiremoor_view::zone;

use crate::core;
use crate::kept;
use crate::peer;
use crate::quarantine;
use crate::serve::accept;
use crate::serve::model;
use crate::tunnel_relay;
use crate::wire::request;

/// Hands every model call in progress over to a peer, all concurrently. A call that no peer accepts
/// within `stop.hand_over_ms` continues at this daemon.
pub async fn hand_over_all(core: &Arc<core::EntryCore>, peers: &Arc<peer::PeerClients>) {
    let handovers: Vec<_> = core
        .registry
        .in_progress()
        .into_iter()
        .map(|kept| task::spawn(hand_over(core.clone(), peers.clone(), kept)))
        .collect();
    let all_handovers = async {
        for handover in handovers {
            handover.await;
        }
    };
    // A peer that does not respond must not delay the shutdown.
    let _ = future::timeout(core.settings.stop.hand_over_ms.to_duration(), all_handovers).await;
}

/// Hands a model call over to the first live successor that accepts it.
async fn hand_over(
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    kept: Arc<kept::KeptRequest>,
) {
    let Some(snapshot) = core.view() else { return };
    let Some(handover) = hand_over_request(&core, &kept) else { return };
    let is_live = |daemon: &zone::DaemonView| daemon.state == zone::UpstreamState::Live;
    for daemon in peer::successors(&core, &snapshot, &kept.info.id).into_iter().filter(is_live) {
        if peers.hand_over(&daemon, &handover).await == Ok(peer::HandOverResponse::Taken) {
            core.metrics.handed_over.inc();
            let request = &kept.info.id;
            log_event!(event::LogEvent::RequestHandedOver, request = request, daemon = daemon.id);
            kept.send_command(kept::RunCommand::HandOver(daemon.id));
            return;
        }
    }
}

/// Returns the message that hands a call over, or `None` for a plain call, whose response is never
/// partial.
fn hand_over_request(
    core: &core::EntryCore,
    kept: &kept::KeptRequest,
) -> Option<peer::HandOverRequest> {
    let kept::RequestKind::Model(body) = &kept.kind else { return None };
    Some(peer::HandOverRequest {
        id: kept.info.id.clone(),
        workspace: kept.info.workspace.clone(),
        call: body.call,
        body: serde_json::to_string(&body.fields).ok()?,
        tokens: kept.progress(0).tokens,
        remaining: model::time_left(core, kept),
        created_s: kept.info.created_s,
    })
}

/// Handles the requests of other entry daemons.
pub struct EntryPeerHandler {
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    shards: Option<service::ShardService>,
}

impl EntryPeerHandler {
    /// Creates the handler of one daemon.
    pub fn new(
        core: Arc<core::EntryCore>,
        peers: Arc<peer::PeerClients>,
        shards: Option<service::ShardService>,
    ) -> Self {
        EntryPeerHandler { core, peers, shards }
    }
}

impl server::PeerHandler for EntryPeerHandler {
    type Request = peer::EntryRequest;
    type Response = peer::EntryResponse;

    fn handle(&self, request: peer::EntryRequest) -> server::ResponseFuture<peer::EntryResponse> {
        let core = self.core.clone();
        let shards = self.shards.clone();
        let peers = self.peers.clone();
        Box::pin(async move {
            match request {
                peer::EntryRequest::Locate(id) => {
                    let response = match core.registry.get(&id) {
                        Some(_) => peer::LocateResponse::Kept,
                        None => peer::LocateResponse::Absent,
                    };
                    peer::EntryResponse::Located(response)
                }
                peer::EntryRequest::HandOver(handover) => {
                    peer::EntryResponse::HandedOver(accept_handover(&core, *handover))
                }
                peer::EntryRequest::News(news) => {
                    let wire = fleet_quarantine::NoticesWire {
                        segments: news.notices.clone(),
                        requests: Vec::new(),
                    };
                    core.apply_news(&news.zone, wire);
                    quarantine::relay_news(&core, &peers, *news, peer::EntryRequest::News);
                    peer::EntryResponse::NewsTaken
                }
                peer::EntryRequest::CallNews(news) => {
                    let wire = fleet_quarantine::NoticesWire {
                        segments: Vec::new(),
                        requests: news.notices.clone(),
                    };
                    core.apply_news(&news.zone, wire);
                    quarantine::relay_news(&core, &peers, *news, peer::EntryRequest::CallNews);
                    peer::EntryResponse::NewsTaken
                }
                peer::EntryRequest::OpenTunnel(replica) => {
                    let framing = relay::RelayFraming::Unmarked;
                    peer::EntryResponse::Tunnel(tunnel_relay::open(&core, &replica, framing).await)
                }
                peer::EntryRequest::OpenFramedTunnel(replica) => {
                    let framing = relay::RelayFraming::Chunked;
                    peer::EntryResponse::Tunnel(tunnel_relay::open(&core, &replica, framing).await)
                }
                peer::EntryRequest::Shard(request) => {
                    let response = match shards {
                        Some(shards) => shards.handle_request(*request).await,
                        None => message::ShardResponse::NotHolder,
                    };
                    peer::EntryResponse::Shard(Box::new(response))
                }
            }
        })
    }
}

/// Takes over a request of another daemon. The call is idempotent: a repeated handover gets the
/// same response.
fn accept_handover(
    core: &Arc<core::EntryCore>,
    handover: peer::HandOverRequest,
) -> peer::HandOverResponse {
    if core.registry.get(&handover.id).is_some() {
        return peer::HandOverResponse::Taken;
    }
    if core.stopping.is_triggered() {
        return peer::HandOverResponse::Refused;
    }
    match resume_request(core, handover) {
        Some(()) => peer::HandOverResponse::Taken,
        None => peer::HandOverResponse::Refused,
    }
}

/// Admits a request that another daemon hands over and starts its run. Returns `None` if this
/// daemon can't run the request.
fn resume_request(core: &Arc<core::EntryCore>, handover: peer::HandOverRequest) -> Option<()> {
    let snapshot = core.view()?;
    let body = request::CallBody::parse(handover.call, handover.body.as_bytes()).ok()?;
    let service = snapshot.service(&body.model.service)?.clone();
    let target = model::target_model(&service, &body.model).ok()?;
    if core
        .quarantine_wait(&body.shared_segments(), || body.fingerprint(&handover.workspace))
        .is_some()
    {
        return None;
    }
    let remaining = handover.remaining.max(time::Millis::new(1));
    let info = accept::new_info(core, handover.id, &handover.workspace, &service, remaining);
    let admitted = accept::admit(core, &info, &service).ok()?;
    let accepted = model::AcceptedCall {
        info: kept::RequestInfo { created_s: handover.created_s, ..info },
        body_bytes: handover.body.len(),
        body: Arc::new(body),
        tokens: handover.tokens,
    };
    model::start(core, accepted, service, target, admitted).ok()?;
    Some(())
}
