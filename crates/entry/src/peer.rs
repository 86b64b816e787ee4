//! Messages between entry daemons: hand-over of requests, and the search for them.

use std::collections::HashMap;
use std::hash::Hasher as _;
use std::sync;
use std::sync::Arc;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_peers::client;
use samphiremoor_shards::message;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

use crate::core;
use crate::snapshot;
use crate::wire::request;

/// What an entry daemon asks another.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum EntryRequest {
    /// Whether it keeps the request.
    Locate(id::RequestId),
    /// To go on with a request. May be sent again.
    HandOver(Box<HandedRequest>),
    /// A question about shards.
    Shard(Box<message::ShardRequest>),
}

/// What an entry daemon answers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum EntryResponse {
    /// Whether the request is kept.
    Located(LocateResponse),
    /// Whether the request was taken.
    HandedOver(HandOverResponse),
    /// The answer about shards.
    Shard(Box<message::ShardResponse>),
}

/// Whether a daemon keeps a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LocateResponse {
    /// It keeps it.
    Kept,
    /// It does not.
    Absent,
}

/// Whether a daemon goes on with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum HandOverResponse {
    /// It goes on with it.
    Taken,
    /// It can't; another one may.
    Refused,
}

/// A model call whose answer another daemon goes on with.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HandedRequest {
    /// The request.
    pub id: id::RequestId,
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// Which call it is.
    pub call: request::ModelCall,
    /// The caller's body, as JSON.
    pub body: String,
    /// Tokens so far.
    pub tokens: Vec<Arc<str>>,
    /// Time that is left.
    pub remaining: time::Millis,
    /// When it was accepted, in seconds of the Unix epoch.
    pub created_s: u64,
}

/// The daemon that accepted the request, as its id says.
pub fn owner_of(id: &id::RequestId) -> Option<id::DaemonId> {
    let (daemon, _) = id.as_str().rsplit_once(':')?;
    daemon.parse().ok()
}

/// Daemons that a request may have been handed to, the likeliest first.
///
/// Every daemon ranks them alike, so that a request is found without a directory.
pub fn successors(
    core: &core::EntryCore,
    snapshot: &snapshot::ViewSnapshot,
    id: &id::RequestId,
) -> Vec<zone::DaemonView> {
    let own = &core.settings.daemon;
    let owner = owner_of(id);
    let mut others: Vec<&zone::DaemonView> = snapshot
        .view
        .daemons
        .iter()
        .filter(|daemon| daemon.id != *own && Some(&daemon.id) != owner.as_ref())
        .filter(|daemon| daemon.state != zone::UpstreamState::Gone)
        .collect();
    others.sort_by_key(|daemon| rank(&daemon.id, id));
    others.into_iter().take(core.settings.kept.successors).cloned().collect()
}

fn rank(daemon: &id::DaemonId, request: &id::RequestId) -> u64 {
    let mut hasher = sip::SipHasher13::new();
    hasher.write(daemon.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(request.as_str().as_bytes());
    hasher.finish()
}

/// Links to the other entry daemons.
#[derive(Debug)]
pub struct PeerClients {
    timeout: time::Millis,
    links: sync::Mutex<HashMap<std::net::SocketAddr, Arc<client::PeerClient>>>,
}

impl PeerClients {
    /// Links on which an answer is awaited for `timeout`.
    pub fn new(timeout: time::Millis) -> Self {
        PeerClients { timeout, links: sync::Mutex::default() }
    }

    /// Asks a daemon whether it keeps the request.
    ///
    /// # Errors
    ///
    /// Fails where the daemon does not answer.
    pub async fn locate(
        &self,
        daemon: &zone::DaemonView,
        id: &id::RequestId,
    ) -> Result<LocateResponse, client::PeerError> {
        let question = EntryRequest::Locate(id.clone());
        match self.ask(daemon.peer_address, &question).await? {
            EntryResponse::Located(answer) => Ok(answer),
            _ => Err(client::PeerError::Codec),
        }
    }

    /// Asks a daemon to go on with the request.
    ///
    /// # Errors
    ///
    /// Fails where the daemon does not answer.
    pub async fn hand_over(
        &self,
        daemon: &zone::DaemonView,
        request: &HandedRequest,
    ) -> Result<HandOverResponse, client::PeerError> {
        let question = EntryRequest::HandOver(Box::new(request.clone()));
        match self.ask(daemon.peer_address, &question).await? {
            EntryResponse::HandedOver(answer) => Ok(answer),
            _ => Err(client::PeerError::Codec),
        }
    }

    /// Asks a daemon about shards.
    ///
    /// # Errors
    ///
    /// Fails where the daemon does not answer.
    pub async fn ask_shard(
        &self,
        address: std::net::SocketAddr,
        question: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        match self.ask(address, &EntryRequest::Shard(Box::new(question))).await? {
            EntryResponse::Shard(answer) => Ok(*answer),
            _ => Err(client::PeerError::Codec),
        }
    }

    async fn ask(
        &self,
        address: std::net::SocketAddr,
        question: &EntryRequest,
    ) -> Result<EntryResponse, client::PeerError> {
        self.link(address).call(question).await
    }

    fn link(&self, address: std::net::SocketAddr) -> Arc<client::PeerClient> {
        let mut links = self.links.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let new = || Arc::new(client::PeerClient::new(address, self.timeout));
        links.entry(address).or_insert_with(new).clone()
    }
}
