//! Paths from this daemon to upstreams, and tunnels by way of other daemons where a path is lost.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync;
use std::sync::Arc;

use async_std::future;
use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;

/// Timeout for a daemon to open a tunnel, before the next one is asked.
const OPEN_TIMEOUT: time::Millis = time::Millis::new(300);

/// Why another daemon opens no tunnel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TunnelRefusal {
    /// The upstream refused the connection of the other daemon.
    UpstreamRefused,
    /// The other daemon doesn't know the upstream or does not reach it, stops, or has enough tunnels.
    Unavailable,
}

impl fmt::Display for TunnelRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TunnelRefusal::UpstreamRefused => {
                "the upstream refuses connections; choose another one"
            }
            TunnelRefusal::Unavailable => "no tunnel there; ask another daemon",
        })
    }
}

/// Asks other daemons for tunnels.
#[async_trait]
pub trait TunnelOpener: fmt::Debug + Send + Sync {
    /// Asks the daemon at a peer address for a tunnel to an upstream. Returns the address at which it
    /// serves one connection.
    async fn open(
        &self,
        relay: SocketAddr,
        replica: &id::ReplicaId,
    ) -> Result<SocketAddr, TunnelRefusal>;
}

/// Paths from this daemon to upstreams.
#[derive(Debug, Default)]
pub struct UpstreamPaths {
    table: sync::Mutex<reachability::PathTable>,
    backoff: sync::Mutex<reachability::RelayBackoff>,
    opener: sync::OnceLock<Arc<dyn TunnelOpener>>,
}

impl UpstreamPaths {
    /// Sets what asks other daemons for tunnels.
    pub fn connect(&self, opener: Arc<dyn TunnelOpener>) {
        if self.opener.set(opener).is_err() {
            log::warn!("tunnels are connected already; keeping the first connection");
        }
    }

    /// Runs a function on the table of paths.
    pub(crate) fn with_table<T>(&self, run: impl FnOnce(&mut reachability::PathTable) -> T) -> T {
        run(&mut self.table.lock().unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Asks other daemons of a view for a tunnel to an upstream, one after the other.
    ///
    /// # Errors
    ///
    /// Fails if the upstream refuses one of them, or none reaches it.
    pub(crate) async fn open_tunnel(
        &self,
        view: &zone::ZoneView,
        local: &id::DaemonId,
        replica: &id::ReplicaId,
        now: time::MonotonicTime,
    ) -> Result<SocketAddr, TunnelRefusal> {
        let Some(opener) = self.opener.get() else { return Err(TunnelRefusal::Unavailable) };
        for relay in self.choose(view, local, now) {
            let opening = future::timeout(OPEN_TIMEOUT.to_duration(), opener.open(relay, replica));
            match opening.await.unwrap_or(Err(TunnelRefusal::Unavailable)) {
                Err(TunnelRefusal::Unavailable) => {
                    let mut backoff =
                        self.backoff.lock().unwrap_or_else(sync::PoisonError::into_inner);
                    backoff.record_failure(relay, now);
                }
                opened => return opened,
            }
        }
        Err(TunnelRefusal::Unavailable)
    }

    fn choose(
        &self,
        view: &zone::ZoneView,
        local: &id::DaemonId,
        now: time::MonotonicTime,
    ) -> reachability::RelayAddresses {
        let others = view.daemons.iter().filter(|daemon| daemon.id != *local);
        let candidate = |daemon: &zone::DaemonView| reachability::RelayCandidate {
            address: daemon.peer_address,
            zone: daemon.zone.clone(),
            is_live: daemon.state == zone::UpstreamState::Live,
            has_lost_path: false,
        };
        let candidates: Vec<_> = others.map(candidate).collect();
        let backoff = self.backoff.lock().unwrap_or_else(sync::PoisonError::into_inner);
        reachability::choose_relays(&candidates, &backoff, &view.zone, rand::random(), now)
    }
}

/// Returns the path group of an upstream: upstreams of one pool and zone share a path.
pub(crate) fn group_of(replica: &zone::ReplicaView) -> Option<reachability::PathGroup> {
    let service = replica.pool.as_str().parse().ok()?;
    Some(reachability::PathGroup { service, zone: replica.zone.clone() })
}

/// Returns the IP addresses from which daemons of a view ask for tunnels.
pub(crate) fn daemon_addresses(view: &zone::ZoneView) -> BTreeSet<std::net::IpAddr> {
    view.daemons.iter().map(|daemon| daemon.peer_address.ip()).collect()
}
