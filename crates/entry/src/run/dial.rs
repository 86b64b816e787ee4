//! Opens connections to upstreams, directly or by way of another daemon.

use std::io;
use std::net::SocketAddr;
use std::pin;
use std::sync::Arc;

use async_std::future;
use async_std::task;
use futures_lite::FutureExt as _;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;
use samphiremoor_httpio::client;
use samphiremoor_httpio::relay;
use samphiremoor_view::zone;

use crate::core;
use crate::upstream_path;

/// Time without an answer after which a tunnel is tried beside a direct connection.
const HEDGE_TIME: time::Millis = time::Millis::new(60);
/// Timeout of a direct connection that shows whether a path is back.
const PROBE_TIMEOUT: time::Millis = time::Millis::new(150);

/// Upstream of a dispatch.
#[derive(Clone, Debug)]
pub struct DialTarget {
    /// The upstream.
    pub replica: id::ReplicaId,
    /// Its address.
    pub address: SocketAddr,
}

/// Sends a request to an upstream on a new connection.
///
/// # Errors
///
/// Fails if the call gets no response. The error says whether the upstream may have received the call.
pub async fn send(
    core: &Arc<core::EntryCore>,
    target: &DialTarget,
    request: Request,
    limits: client::CallLimits,
) -> Result<Response, client::CallError> {
    let stream = connect(core, target, limits.connect).await?;
    // The upstream may have asked for a pause while the connection opened.
    if core.upstreams.is_paused(&target.replica, core.now()) {
        return Err(client::CallError::NotConnected(io::ErrorKind::ResourceBusy.into()));
    }
    client::send_on(stream, request, limits).await
}

/// What ended first.
enum DialEnd {
    Direct(Result<client::ClientStream, client::CallError>),
    Tunnel(Result<client::ClientStream, upstream_path::TunnelRefusal>),
}

async fn connect(
    core: &Arc<core::EntryCore>,
    target: &DialTarget,
    timeout: time::Millis,
) -> Result<client::ClientStream, client::CallError> {
    let connecting =
        async { client::connect(target.address, timeout).await.map(client::ClientStream::from) };
    let mut direct = pin::pin!(connecting);
    let Some(path) = UpstreamPath::find(core, target) else { return direct.await };
    let is_suspected = path.is_suspected();
    if !is_suspected
        && let Ok(opened) = future::timeout(HEDGE_TIME.to_duration(), direct.as_mut()).await
    {
        match path.finish_direct(opened) {
            Ok(stream) => return Ok(stream),
            // Without another upstream in the group, only a tunnel tells the path from the upstream.
            Err(cause) if !path.is_suspected() => return Err(cause),
            Err(cause) => return path.finish_tunnel(path.tunnel(timeout).await, cause),
        }
    }
    path.spawn_probe();
    let mut tunnel = pin::pin!(path.tunnel(timeout));
    let first = async { DialEnd::Direct(direct.as_mut().await) }
        .or(async { DialEnd::Tunnel(tunnel.as_mut().await) });
    match first.await {
        DialEnd::Direct(opened) => match path.finish_direct(opened) {
            Ok(stream) => Ok(stream),
            Err(cause) => path.finish_tunnel(tunnel.await, cause),
        },
        DialEnd::Tunnel(Err(upstream_path::TunnelRefusal::Unavailable)) => {
            path.finish_direct(direct.await)
        }
        DialEnd::Tunnel(tunneled) => {
            path.record_failure();
            let cause = client::CallError::NotConnected(io::ErrorKind::TimedOut.into());
            path.finish_tunnel(tunneled, cause)
        }
    }
}

/// Path to one upstream.
struct UpstreamPath<'a> {
    core: &'a Arc<core::EntryCore>,
    target: &'a DialTarget,
    view: Arc<zone::ZoneView>,
    group: reachability::PathGroup,
    group_size: usize,
}

impl<'a> UpstreamPath<'a> {
    /// Returns the path to an upstream, unless the view lacks it.
    fn find(core: &'a Arc<core::EntryCore>, target: &'a DialTarget) -> Option<Self> {
        let snapshot = core.view()?;
        let group = upstream_path::group_of(snapshot.replica(&target.replica)?)?;
        let replicas = snapshot.view.replicas.iter();
        let same_group = replicas.filter(|other| {
            other.state == zone::UpstreamState::Live
                && upstream_path::group_of(other).as_ref() == Some(&group)
        });
        let group_size = same_group.count();
        let view = snapshot.view.clone();
        Some(UpstreamPath { core, target, view, group, group_size })
    }

    fn is_suspected(&self) -> bool {
        let replica = &self.target.replica;
        self.core.paths.with_table(|table| table.suspected_since(&self.group, replica).is_some())
    }

    /// Opens a connection by way of another daemon.
    async fn tunnel(
        &self,
        timeout: time::Millis,
    ) -> Result<client::ClientStream, upstream_path::TunnelRefusal> {
        let core = self.core;
        let (local, replica) = (&core.settings.daemon, &self.target.replica);
        let address = core.paths.open_tunnel(&self.view, local, replica, core.now()).await?;
        let opened = client::connect(address, timeout).await;
        let framing = Some(relay::RelayFraming::Chunked);
        opened
            .map(|stream| client::ClientStream { stream, framing })
            .map_err(|_| upstream_path::TunnelRefusal::Unavailable)
    }

    /// Records what a direct connection says of the path.
    fn finish_direct(
        &self,
        opened: Result<client::ClientStream, client::CallError>,
    ) -> Result<client::ClientStream, client::CallError> {
        match &opened {
            Ok(_) => self.update(|table| table.on_opened(&self.group, &self.target.replica)),
            Err(_) => self.record_failure(),
        }
        opened
    }

    fn record_failure(&self) {
        let now = self.core.now();
        self.update(|table| {
            table.on_failure(&self.group, &self.target.replica, self.group_size, now)
        });
    }

    /// Records what a tunnel says of the path after a direct connection failed with `cause`.
    fn finish_tunnel(
        &self,
        tunneled: Result<client::ClientStream, upstream_path::TunnelRefusal>,
        cause: client::CallError,
    ) -> Result<client::ClientStream, client::CallError> {
        let replica = &self.target.replica;
        match tunneled {
            Ok(stream) => {
                let now = self.core.now();
                self.core.paths.with_table(|table| table.on_relayed(replica, now));
                self.core.metrics.tunnels.inc();
                Ok(stream)
            }
            Err(refusal) => {
                if refusal == upstream_path::TunnelRefusal::UpstreamRefused {
                    self.update(|table| table.on_replica_down(&self.group, replica));
                }
                Err(cause)
            }
        }
    }

    fn update(
        &self,
        change: impl FnOnce(&mut reachability::PathTable) -> reachability::PathChanges,
    ) {
        for change in self.core.paths.with_table(change) {
            match change {
                reachability::PathChange::Suspected(group) => {
                    log_event!(event::LogEvent::PathSuspected, group = group)
                }
                reachability::PathChange::Restored(group) => {
                    log_event!(event::LogEvent::PathRestored, group = group)
                }
            }
        }
    }

    /// Probes a path that only relays serve, if that is due.
    fn spawn_probe(&self) {
        let now = self.core.now();
        let due = self.core.paths.with_table(|table| table.take_due_replicas(now));
        let snapshot = self.core.view();
        for replica in due {
            let address = snapshot.as_ref().and_then(|snapshot| {
                snapshot.replica(&replica).map(|replica_view| replica_view.address)
            });
            let Some(address) = address else {
                self.core.paths.with_table(|table| {
                    table.retain(|_| true, |known| *known != replica);
                });
                continue;
            };
            let core = self.core.clone();
            task::spawn(async move {
                let target = DialTarget { replica, address };
                let opened = client::connect(address, PROBE_TIMEOUT).await;
                let opened = opened.map(client::ClientStream::from);
                if let Some(path) = UpstreamPath::find(&core, &target) {
                    // A connection that is closed unused is cheaper than a lost call.
                    let _ = path.finish_direct(opened);
                }
            });
        }
    }
}
