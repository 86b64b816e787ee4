//! Connections to replicas by way of other daemons, for a daemon that has lost its own path to them.
//!
//! A tunnel is a connection to the peer address of another daemon, the relay, which connects to the
//! replica and passes bytes on both ways. [`tunnel_relay`](crate::tunnel_relay) is the relay's side.

use std::cell;
use std::net::SocketAddr;
use std::rc;

use async_std::future;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;
use samphiremoor_httpio::connection;

use crate::attempt_exchange;
use crate::core;

/// Timeout for a relay to connect to a replica. Within a region that takes a few milliseconds.
const OPEN_TIMEOUT: time::Millis = time::Millis::new(150);
/// Prefix of the path of a tunnel, before the replica.
pub(crate) const TUNNEL_PREFIX: &str = "/tunnels/";
/// Header with the incarnation of the replica.
pub(crate) const INCARNATION_FIELD: &str = "incarnation";
/// Status by which a relay reports that the replica refused the connection.
pub(crate) const REFUSED_STATUS: u16 = 502;

/// Replica at the end of a tunnel.
#[derive(Clone, Debug)]
pub struct TunnelTarget {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Its incarnation.
    pub incarnation: quantity::Incarnation,
    /// Its path group.
    pub group: reachability::PathGroup,
    /// Number of replicas in the group.
    pub group_size: usize,
}

/// Why no tunnel opened. No byte of a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TunnelError {
    /// The replica refused the relay's connection.
    ReplicaRefused,
    /// No relay reached the replica.
    Unreachable,
}

/// The daemons that may relay connections.
#[derive(Default)]
pub struct RelayDirectory {
    network: cell::OnceCell<rc::Rc<dyn attempt_exchange::PeerNetwork>>,
    backoff: cell::RefCell<reachability::RelayBackoff>,
}

impl RelayDirectory {
    /// Sets the network to the other daemons.
    pub fn connect(&self, network: rc::Rc<dyn attempt_exchange::PeerNetwork>) {
        if self.network.set(network).is_err() {
            log::warn!("the relay directory is connected already; keeping its network");
        }
    }

    /// Whether a known daemon has this IP address.
    pub(crate) fn knows(&self, sender: SocketAddr) -> bool {
        let Some(network) = self.network.get() else { return false };
        network.candidates().iter().any(|candidate| candidate.address.ip() == sender.ip())
    }

    /// Whether a relay is not known to stop, so that connections by way of it may be kept.
    pub(crate) fn is_live(&self, relay: SocketAddr) -> bool {
        self.network.get().is_some_and(|network| network.is_live(relay))
    }

    fn choose(
        &self,
        core: &core::GatewayCore,
        group: &reachability::PathGroup,
    ) -> reachability::RelayAddresses {
        let Some(network) = self.network.get() else { return reachability::RelayAddresses::new() };
        reachability::choose_relays(
            &network.relays(group),
            &self.backoff.borrow(),
            &core.settings.availability_zone,
            rand::random(),
            core.now(),
        )
    }
}

/// Opens a tunnel to a replica. Returns the connection and the relay.
///
/// # Errors
///
/// Fails if the replica refuses the relay, or no relay reaches it.
pub async fn open(
    core: &core::GatewayCore,
    target: &TunnelTarget,
) -> Result<(connection::RawConnection, SocketAddr), TunnelError> {
    for relay in core.relays.choose(core, &target.group) {
        let opening = future::timeout(OPEN_TIMEOUT.to_duration(), open_by(relay, target)).await;
        match opening {
            Ok(Some(OpenResponse::Opened(raw))) => {
                core.metrics.count_tunnel("opened");
                return Ok((raw, relay));
            }
            Ok(Some(OpenResponse::Refused)) => {
                core.metrics.count_tunnel("refused");
                return Err(TunnelError::ReplicaRefused);
            }
            Ok(Some(OpenResponse::Unavailable)) => core.metrics.count_tunnel("unavailable"),
            Ok(None) | Err(_) => {
                core.metrics.count_tunnel("failed");
                core.relays.backoff.borrow_mut().record_failure(relay, core.now());
            }
        }
    }
    Err(TunnelError::Unreachable)
}

/// Response of a relay.
enum OpenResponse {
    /// The tunnel is open.
    Opened(connection::RawConnection),
    /// The replica refused the relay's connection.
    Refused,
    /// The relay doesn't reach the replica either, or takes no more tunnels.
    Unavailable,
}

async fn open_by(relay: SocketAddr, target: &TunnelTarget) -> Option<OpenResponse> {
    let mut raw = connection::RawConnection::connect(relay, OPEN_TIMEOUT).await.ok()?;
    let request = format!(
        "GET {TUNNEL_PREFIX}{} HTTP/1.1\r\nHost: {relay}\r\n{INCARNATION_FIELD}: {}\r\n\r\n",
        target.replica,
        target.incarnation.get()
    );
    raw.write(request.as_bytes()).await.ok()?;
    match raw.response_head().await.ok()?.status {
        200 => Some(OpenResponse::Opened(raw)),
        REFUSED_STATUS => Some(OpenResponse::Refused),
        _ => Some(OpenResponse::Unavailable),
    }
}
