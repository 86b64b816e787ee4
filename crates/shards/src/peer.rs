//! What the service needs to know of other daemons and how it talks to them.

use std::net;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_peers::client;
use samphiremoor_view::zone;

use crate::message;

/// A daemon that can hold shards and copies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// The daemon.
    pub id: id::DaemonId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Where it answers other daemons.
    pub address: net::SocketAddr,
    /// Its state.
    pub state: zone::UpstreamState,
}

/// Gives the daemons of every zone. Implemented by the entry daemon from its view.
pub trait PeerDirectory: Send + Sync {
    /// Every daemon that is known, this one included.
    fn daemons(&self) -> Vec<PeerEntry>;
}

/// Sends questions to other daemons. Implemented by the entry daemon, which wraps them.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Asks a daemon and awaits its answer.
    ///
    /// # Errors
    ///
    /// [`client::PeerError::Unreachable`] only where the daemon did not get the question.
    async fn request(
        &self,
        peer: &PeerEntry,
        question: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError>;
}
