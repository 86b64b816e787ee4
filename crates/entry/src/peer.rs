//! Messages between entry daemons: locating kept requests, handing requests over, shard messages.

use std::collections::HashMap;
use std::hash::Hasher as _;
use std::sync;
use std::sync::Arc;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_peers::client;
use samphiremoor_shards::message;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

use crate::core;
use crate::message_quarantine;
use crate::snapshot;
use crate::upstream_path;
use crate::wire::request;

/// Request from one entry daemon to another.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum EntryRequest {
    /// Queries whether the daemon keeps the request.
    Locate(id::RequestId),
    /// Hands a request over. Idempotent, so it may be resent.
    HandOver(Box<HandOverRequest>),
    /// A request of the shard protocol.
    Shard(Box<message::ShardRequest>),
    /// Notices of crashes and quarantined messages.
    News(Box<message_quarantine::MessageNews>),
    /// Notices of quarantined calls.
    CallNews(Box<message_quarantine::CallNews>),
    /// Asks for a tunnel to an upstream whose bytes come as they are.
    OpenTunnel(id::ReplicaId),
    /// Asks for a tunnel to an upstream whose bytes come in chunks.
    OpenFramedTunnel(id::ReplicaId),
}

/// Response of an entry daemon to another.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum EntryResponse {
    /// Response to [`EntryRequest::Locate`].
    Located(LocateResponse),
    /// Response to [`EntryRequest::HandOver`].
    HandedOver(HandOverResponse),
    /// Response to [`EntryRequest::Shard`].
    Shard(Box<message::ShardResponse>),
    /// Response to [`EntryRequest::News`] and [`EntryRequest::CallNews`].
    NewsTaken,
    /// Response to [`EntryRequest::OpenTunnel`] and [`EntryRequest::OpenFramedTunnel`]: the port that
    /// serves one connection.
    Tunnel(Result<u16, upstream_path::TunnelRefusal>),
}

/// Whether a daemon keeps a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LocateResponse {
    /// The daemon keeps the request.
    Kept,
    /// The daemon does not keep the request.
    Absent,
}

/// Whether a daemon took a request over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum HandOverResponse {
    /// The daemon runs the request now.
    Taken,
    /// The daemon can't run the request; another daemon may.
    Refused,
}

/// State of a model call that is handed over to another daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HandOverRequest {
    /// Id of the request.
    pub id: id::RequestId,
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// The API call.
    pub call: request::ModelCall,
    /// The caller's body, as JSON.
    pub body: String,
    /// Tokens of the response so far.
    pub tokens: Vec<Arc<str>>,
    /// Remaining time until the deadline.
    pub remaining: time::Millis,
    /// Unix time in seconds at which the request was accepted.
    pub created_s: u64,
}

/// Returns the daemon that accepted the request, as named in the request id.
pub fn owner_of(id: &id::RequestId) -> Option<id::DaemonId> {
    let (daemon, _) = id.as_str().rsplit_once(':')?;
    daemon.parse().ok()
}

/// Returns the daemons that a request may have been handed over to, the most likely first.
///
/// Every daemon computes the same order by rendezvous hashing, so that a request is found without a
/// directory.
pub fn successors(
    core: &core::EntryCore,
    snapshot: &snapshot::ViewSnapshot,
    id: &id::RequestId,
) -> Vec<zone::DaemonView> {
    let local = &core.settings.daemon;
    let owner = owner_of(id);
    let mut candidates: Vec<&zone::DaemonView> = snapshot
        .view
        .daemons
        .iter()
        .filter(|daemon| daemon.id != *local && Some(&daemon.id) != owner.as_ref())
        .filter(|daemon| daemon.state != zone::UpstreamState::Gone)
        .collect();
    candidates.sort_by_key(|daemon| rendezvous_score(&daemon.id, id));
    candidates.into_iter().take(core.settings.kept.successors).cloned().collect()
}

fn rendezvous_score(daemon: &id::DaemonId, request: &id::RequestId) -> u64 {
    let mut hasher = sip::SipHasher13::new();
    hasher.write(daemon.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(request.as_str().as_bytes());
    hasher.finish()
}

/// Connections to the other entry daemons.
#[derive(Debug)]
pub struct PeerClients {
    timeout: time::Millis,
    clients: sync::Mutex<HashMap<std::net::SocketAddr, Arc<client::PeerClient>>>,
}

impl PeerClients {
    /// Creates an empty set of connections, whose calls fail after `timeout`.
    pub fn new(timeout: time::Millis) -> Self {
        PeerClients { timeout, clients: sync::Mutex::default() }
    }

    /// Queries whether a daemon keeps the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond in time or sends an unexpected response.
    pub async fn locate(
        &self,
        daemon: &zone::DaemonView,
        id: &id::RequestId,
    ) -> Result<LocateResponse, client::PeerError> {
        let entry_request = EntryRequest::Locate(id.clone());
        match self.send_request(daemon.peer_address, &entry_request).await? {
            EntryResponse::Located(response) => Ok(response),
            _ => Err(client::PeerError::Codec),
        }
    }

    /// Hands the request over to a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond in time or sends an unexpected response.
    pub async fn hand_over(
        &self,
        daemon: &zone::DaemonView,
        handover: &HandOverRequest,
    ) -> Result<HandOverResponse, client::PeerError> {
        let entry_request = EntryRequest::HandOver(Box::new(handover.clone()));
        match self.send_request(daemon.peer_address, &entry_request).await? {
            EntryResponse::HandedOver(response) => Ok(response),
            _ => Err(client::PeerError::Codec),
        }
    }

    /// Sends a request of the shard protocol to a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond in time or sends an unexpected response.
    pub async fn request_shard(
        &self,
        address: std::net::SocketAddr,
        shard_request: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        match self.send_request(address, &EntryRequest::Shard(Box::new(shard_request))).await? {
            EntryResponse::Shard(response) => Ok(*response),
            _ => Err(client::PeerError::Codec),
        }
    }

    /// Sends notices of crashes and of what is quarantined to a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond in time or sends an unexpected response.
    pub async fn send_news(
        &self,
        address: std::net::SocketAddr,
        news: &EntryRequest,
    ) -> Result<(), client::PeerError> {
        match self.send_request(address, news).await? {
            EntryResponse::NewsTaken => Ok(()),
            _ => Err(client::PeerError::Codec),
        }
    }

    async fn send_request(
        &self,
        address: std::net::SocketAddr,
        entry_request: &EntryRequest,
    ) -> Result<EntryResponse, client::PeerError> {
        self.client_for(address).call(entry_request).await
    }

    fn client_for(&self, address: std::net::SocketAddr) -> Arc<client::PeerClient> {
        let mut clients = self.clients.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let new_client = || Arc::new(client::PeerClient::new(address, self.timeout));
        clients.entry(address).or_insert_with(new_client).clone()
    }
}

#[async_trait]
impl upstream_path::TunnelOpener for PeerClients {
    async fn open(
        &self,
        relay: std::net::SocketAddr,
        replica: &id::ReplicaId,
    ) -> Result<std::net::SocketAddr, upstream_path::TunnelRefusal> {
        let entry_request = EntryRequest::OpenFramedTunnel(replica.clone());
        match self.send_request(relay, &entry_request).await {
            Ok(EntryResponse::Tunnel(opened)) => {
                opened.map(|port| std::net::SocketAddr::new(relay.ip(), port))
            }
            _ => Err(upstream_path::TunnelRefusal::Unavailable),
        }
    }
}
