//! Connections to replicas by way of other daemons, for a daemon that has lost its own path to them.
//!
//! A tunnel is a connection to the peer address of another daemon, the relay, which connects to the
//! replica and passes bytes on both ways. [`tunnel_relay`](crate::tunnel_relay) is the relay's side.
//! The replica's bytes come in chunks, so that the end of the relay is not taken for the replica's.

use std::net::SocketAddr;

use async_std::future;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::relay;

use crate::core;
use crate::relay_directory;

/// Timeout for a relay to connect to a replica. Within a region that takes a few milliseconds.
const OPEN_TIMEOUT: time::Millis = time::Millis::new(150);
/// Prefix of the path of a tunnel, before the replica.
pub(crate) const TUNNEL_PREFIX: &str = "/tunnels/";
/// Header with the incarnation of the replica.
pub(crate) const INCARNATION_FIELD: &str = "incarnation";
/// Header with the framings of the replica's bytes that the daemon reads. Relays of earlier releases
/// ignore it.
pub(crate) const FRAMING_FIELD: &str = "accept-framing";
/// Framing in chunks, as a value of that header and of the response's transfer coding.
pub(crate) const CHUNKED: &str = "chunked";
/// Status by which a relay reports that the replica refused the connection.
pub(crate) const REFUSED_STATUS: u16 = 502;

/// Why no tunnel opened. No byte of a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TunnelError {
    /// The replica refused the relay's connection.
    ReplicaRefused,
    /// No relay reached the replica.
    Unreachable,
}

/// Opens a tunnel to a replica. Returns the connection and the relay.
///
/// # Errors
///
/// Fails if the replica refuses the relay, or no relay reaches it.
pub async fn open(
    core: &core::GatewayCore,
    target: &relay_directory::TunnelTarget,
) -> Result<(connection::RawConnection, SocketAddr), TunnelError> {
    let local_zone = &core.settings.availability_zone;
    for relay in core.relays.choose(&target.group, local_zone, core.now()) {
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
                core.relays.record_failure(relay, core.now());
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

async fn open_by(
    relay: SocketAddr,
    target: &relay_directory::TunnelTarget,
) -> Option<OpenResponse> {
    let mut raw = connection::RawConnection::connect(relay, OPEN_TIMEOUT).await.ok()?;
    let request = format!(
        "GET {TUNNEL_PREFIX}{} HTTP/1.1\r\nHost: {relay}\r\n{INCARNATION_FIELD}: {}\r\n{FRAMING_FIELD}: {CHUNKED}\r\n\r\n",
        target.replica,
        target.incarnation.get()
    );
    raw.write(request.as_bytes()).await.ok()?;
    let head = raw.response_head().await.ok()?;
    match head.status {
        200 => {
            let framing = match head.fields.has_token("transfer-encoding", CHUNKED) {
                true => relay::RelayFraming::Chunked,
                false => relay::RelayFraming::Unmarked,
            };
            raw.begin_relayed(framing).ok()?;
            Some(OpenResponse::Opened(raw))
        }
        REFUSED_STATUS => Some(OpenResponse::Refused),
        _ => Some(OpenResponse::Unavailable),
    }
}
