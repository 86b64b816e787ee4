//! Directory of the other daemons and transport for requests to them.

use std::net;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_peers::client;
use samphiremoor_view::zone;

use crate::message;

/// A daemon that can hold shards and store copies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// Id of the daemon.
    pub id: id::DaemonId,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// Address at which the daemon accepts requests of other daemons.
    pub address: net::SocketAddr,
    /// State of the daemon.
    pub state: zone::UpstreamState,
}

/// Lists the daemons of all zones. The entry daemon implements this trait from its view.
pub trait PeerDirectory: Send + Sync {
    /// Returns every known daemon, including this one.
    fn daemons(&self) -> Vec<PeerEntry>;
}

/// Sends requests to other daemons. The entry daemon implements this trait and wraps the messages
/// in its own.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Sends a request to a daemon and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns [`client::PeerError::Unreachable`] only if the daemon did not receive the request.
    async fn request(
        &self,
        peer: &PeerEntry,
        request: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError>;
}
