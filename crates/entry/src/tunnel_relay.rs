//! Relays connections of other daemons to upstreams.
//!
//! The port of the peers speaks another protocol, so each tunnel has a port of its own, which serves one
//! connection of a daemon of the view.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic;

use async_std::future;
use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_httpio::relay;

use crate::core;
use crate::upstream_path;

/// Timeout for the connection to an upstream. The daemon that asked tries another relay then.
const CONNECT_TIMEOUT: time::Millis = time::Millis::new(120);
/// Time in which the daemon that asked connects to the tunnel.
const ACCEPT_TIMEOUT: time::Millis = time::Millis::new(1_000);
/// Number of tunnels that one daemon relays.
const MAX_TUNNELS: usize = 512;

/// Opens a tunnel to an upstream for another daemon. Returns its port.
///
/// # Errors
///
/// Fails if the upstream refuses the connection, or there is no tunnel to be had here.
pub(crate) async fn open(
    core: &Arc<core::EntryCore>,
    replica: &id::ReplicaId,
    framing: relay::RelayFraming,
) -> Result<u16, upstream_path::TunnelRefusal> {
    let opened = try_open(core, replica, framing).await;
    if let Err(refusal) = &opened {
        log_event!(event::LogEvent::TunnelRefused, replica = replica, cause = refusal);
    }
    opened
}

async fn try_open(
    core: &Arc<core::EntryCore>,
    replica: &id::ReplicaId,
    framing: relay::RelayFraming,
) -> Result<u16, upstream_path::TunnelRefusal> {
    let unavailable = upstream_path::TunnelRefusal::Unavailable;
    let snapshot = core.view().ok_or(unavailable)?;
    let replica_view = snapshot.replica(replica).ok_or(unavailable)?;
    let group = upstream_path::group_of(replica_view).ok_or(unavailable)?;
    let has_lost_path =
        core.paths.with_table(|table| table.suspected_since(&group, replica).is_some());
    let has_room = core.relayed_tunnels.load(atomic::Ordering::Relaxed) < MAX_TUNNELS;
    if has_lost_path || !has_room || core.stopping.is_triggered() {
        return Err(unavailable);
    }
    let guard = core::CountGuard::new(&core.relayed_tunnels);
    let upstream = match client::connect(replica_view.address, CONNECT_TIMEOUT).await {
        Ok(upstream) => upstream,
        Err(client::CallError::NotConnected(cause)) if is_refusal(&cause) => {
            return Err(upstream_path::TunnelRefusal::UpstreamRefused);
        }
        Err(_) => return Err(unavailable),
    };
    let local = SocketAddr::new(core.settings.peer_address.ip(), 0);
    let listener = net::TcpListener::bind(local).await.map_err(|_| unavailable)?;
    let port = listener.local_addr().map_err(|_| unavailable)?.port();
    let core = core.clone();
    task::spawn(async move {
        let _guard = guard;
        let accepting = accept(&core, &listener);
        let accepted = future::timeout(ACCEPT_TIMEOUT.to_duration(), accepting).await;
        drop(listener);
        if let Ok(Ok(requester)) = accepted {
            relay::relay(&requester, &upstream, framing).await;
        }
    });
    Ok(port)
}

fn is_refusal(cause: &io::Error) -> bool {
    matches!(cause.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

/// Accepts a connection of a daemon of the view, and drops those of others.
async fn accept(core: &core::EntryCore, listener: &net::TcpListener) -> io::Result<net::TcpStream> {
    loop {
        let (stream, sender) = listener.accept().await?;
        let snapshot = core.view();
        let is_daemon = snapshot.is_some_and(|snapshot| {
            upstream_path::daemon_addresses(&snapshot.view).contains(&sender.ip())
        });
        if is_daemon {
            stream.set_nodelay(true)?;
            return Ok(stream);
        }
    }
}
