//! Relays connections of other daemons to replicas.

use std::io;
use std::net::SocketAddr;
use std::rc;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;
use samphiremoor_httpio::relay;

use crate::core;
use crate::tunnel;

/// Timeout for the connection to a replica. The daemon that asked tries another relay then.
const CONNECT_TIMEOUT: time::Millis = time::Millis::new(120);
/// Number of tunnels that one daemon relays.
const MAX_TUNNELS: u32 = 512;

/// Why a tunnel is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TunnelRefusal {
    /// The sender is no known daemon.
    UnknownDaemon,
    /// The request names no replica, or one that is not known with its incarnation.
    UnknownReplica,
    /// This daemon stops, relays enough others, or has lost the path itself.
    Unavailable,
    /// The replica refused the connection.
    ReplicaRefused,
    /// The replica did not accept the connection in time.
    ReplicaSilent,
}

impl TunnelRefusal {
    /// Returns the status line and a text for the sender's operators.
    fn response(self) -> (&'static str, &'static str) {
        match self {
            TunnelRefusal::UnknownDaemon => {
                ("403 Forbidden", "only daemons of this deployment are relayed; check its row")
            }
            TunnelRefusal::UnknownReplica => {
                ("404 Not Found", "no such incarnation of the replica; read the entries again")
            }
            TunnelRefusal::Unavailable => {
                ("503 Service Unavailable", "no further tunnels; ask another daemon")
            }
            TunnelRefusal::ReplicaRefused => {
                ("502 Bad Gateway", "the replica refuses connections; choose another one")
            }
            TunnelRefusal::ReplicaSilent => {
                ("504 Gateway Timeout", "the replica is silent; ask another daemon")
            }
        }
    }
}

/// Counts a tunnel until dropped.
struct TunnelGuard(rc::Rc<core::GatewayCore>);

impl TunnelGuard {
    /// Counts a tunnel, unless there are enough.
    fn try_new(core: &rc::Rc<core::GatewayCore>) -> Option<Self> {
        let mut state = core.state.borrow_mut();
        if state.relayed_tunnels >= MAX_TUNNELS {
            return None;
        }
        state.relayed_tunnels += 1;
        core.metrics.set_relayed_tunnels(state.relayed_tunnels);
        Some(TunnelGuard(core.clone()))
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        let mut state = self.0.state.borrow_mut();
        state.relayed_tunnels -= 1;
        self.0.metrics.set_relayed_tunnels(state.relayed_tunnels);
    }
}

/// Serves the request of a daemon for a tunnel until one of its ends closes.
pub(crate) async fn serve(
    core: &rc::Rc<core::GatewayCore>,
    mut raw: connection::RawConnection,
    (head, replica_name): (&message::RequestHead, &str),
    sender: SocketAddr,
) {
    match open(core, head, replica_name, sender).await {
        Ok((replica, _guard)) => {
            // A daemon that stops waits for the requests that it relays.
            let _delay = core.idle_shutdown.delay_stop();
            // Daemons of earlier releases read no chunks.
            let (framing, fields) =
                match head.fields.has_token(tunnel::FRAMING_FIELD, tunnel::CHUNKED) {
                    true => (relay::RelayFraming::Chunked, "Transfer-Encoding: chunked\r\n"),
                    false => (relay::RelayFraming::Unmarked, ""),
                };
            let response = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
            if raw.write(response.as_bytes()).await.is_ok() {
                relay::relay(&raw.stream(), &replica.stream(), framing).await;
            }
        }
        Err(refusal) => {
            let (status, text) = refusal.response();
            log_event!(
                event::LogEvent::TunnelRefused,
                daemon = sender,
                replica = replica_name,
                cause = text,
            );
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{text}",
                text.len()
            );
            if let Err(cause) = raw.write(response.as_bytes()).await {
                log::debug!("failed to refuse a tunnel ({cause})");
            }
        }
    }
}

/// Connects to the replica that a request names.
async fn open(
    core: &rc::Rc<core::GatewayCore>,
    head: &message::RequestHead,
    replica_name: &str,
    sender: SocketAddr,
) -> Result<(connection::RawConnection, TunnelGuard), TunnelRefusal> {
    if !core.relays.knows(sender) {
        return Err(TunnelRefusal::UnknownDaemon);
    }
    let replica: id::ReplicaId = replica_name.parse().map_err(|_| TunnelRefusal::UnknownReplica)?;
    let incarnation =
        head.fields.text(tunnel::INCARNATION_FIELD).and_then(|text| text.parse().ok());
    let incarnation = incarnation.map(quantity::Incarnation::new);
    let address = {
        let state = core.state.borrow();
        let known_replica = state.replicas.get(&replica).ok_or(TunnelRefusal::UnknownReplica)?;
        if incarnation != Some(known_replica.entry.incarnation) {
            return Err(TunnelRefusal::UnknownReplica);
        }
        let group = reachability::PathGroup::of(&known_replica.entry);
        let has_lost_path = state.paths.suspected_since(&group, &replica).is_some();
        if state.stopping_since.is_some() || has_lost_path {
            return Err(TunnelRefusal::Unavailable);
        }
        known_replica.entry.address
    };
    let guard = TunnelGuard::try_new(core).ok_or(TunnelRefusal::Unavailable)?;
    match core.dialer.connect(address, CONNECT_TIMEOUT).await {
        Ok(raw) => Ok((raw, guard)),
        Err(cause) => Err(match cause.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                TunnelRefusal::ReplicaRefused
            }
            _ => TunnelRefusal::ReplicaSilent,
        }),
    }
}
