//! Selection of the peers that store copies.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_lease::rendezvous;
use samphiremoor_lease::row;
use samphiremoor_view::zone;

use crate::context;
use crate::peer;

/// Number of consecutive failed pings after which a peer is no longer a candidate for copy sets.
const MAX_MISSED_PINGS: u32 = 3;

/// Maximum number of peers in this zone, and separately in the other zones, that are pinged.
const MAX_PINGED_PEERS: usize = 4;

/// The peers that responded to recent pings.
pub(crate) struct CopyPeers {
    context: sync::Arc<context::ShardContext>,
    peers: collections::BTreeMap<id::DaemonId, PingedPeer>,
}

struct PingedPeer {
    candidate: rendezvous::CopyCandidate,
    /// Number of failed pings since the last response.
    missed_pings: u32,
}

impl CopyPeers {
    pub(crate) fn new(context: sync::Arc<context::ShardContext>) -> Self {
        CopyPeers { context, peers: collections::BTreeMap::new() }
    }

    /// Handles the result of a ping; `None` means that it failed.
    pub(crate) fn handle_ping(
        &mut self,
        daemon: id::DaemonId,
        candidate: Option<rendezvous::CopyCandidate>,
    ) {
        if let Some(candidate) = candidate {
            self.peers.insert(daemon, PingedPeer { candidate, missed_pings: 0 });
            return;
        }
        let Some(peer) = self.peers.get_mut(&daemon) else { return };
        peer.missed_pings += 1;
        if peer.missed_pings >= MAX_MISSED_PINGS {
            self.peers.remove(&daemon);
        }
    }

    /// Returns the copy set for a shard that this daemon holds.
    pub(crate) fn choose_copy_set(
        &self,
        shard: quantity::ShardNumber,
        current: &row::CopySet,
    ) -> row::CopySet {
        let context::ShardContext { daemon, incarnation, zone, settings, .. } = &*self.context;
        let instance = row::DaemonInstance { daemon: daemon.clone(), incarnation: *incarnation };
        let holder = rendezvous::CopyCandidate { instance, zone: zone.clone() };
        let candidates: Vec<_> = self.peers.values().map(|peer| peer.candidate.clone()).collect();
        rendezvous::choose_copy_set(&holder, shard, current, &candidates, settings.copies)
    }

    /// Returns the peers to ping. Peers that are leaving or removed are not pinged and are no
    /// longer candidates.
    pub(crate) fn peers_to_ping(&mut self) -> Vec<peer::PeerEntry> {
        let peers = self.copy_peers();
        self.peers.retain(|daemon, _| peers.iter().any(|peer| peer.id == *daemon));
        peers
    }

    /// Returns the live peers, up to [`MAX_PINGED_PEERS`] of this zone and as many of the other
    /// zones.
    pub(crate) fn copy_peers(&self) -> Vec<peer::PeerEntry> {
        let mut peers = self.live_daemons();
        peers.retain(|peer| peer.id != self.context.daemon);
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|peer| peer.zone == self.context.zone);
        same_zone
            .into_iter()
            .take(MAX_PINGED_PEERS)
            .chain(other_zones.into_iter().take(MAX_PINGED_PEERS))
            .collect()
    }

    /// Returns whether this daemon may hold shards. Of the live daemons in the directory, only the
    /// first `max_holders` in the order of [`CopyPeers::live_daemons`] may.
    pub(crate) fn is_candidate(&self) -> bool {
        let daemons = self.live_daemons();
        let max_holders = self.context.settings.max_holders;
        let position = daemons.iter().position(|peer| peer.id == self.context.daemon);
        position.is_none_or(|position| position < max_holders)
    }

    /// Returns the live daemons in an order that is the same on every daemon.
    fn live_daemons(&self) -> Vec<peer::PeerEntry> {
        let mut daemons = self.context.directory.daemons();
        daemons.retain(|daemon| daemon.state == zone::UpstreamState::Live);
        // The rank is taken for the same shard on every daemon.
        let shard = quantity::ShardNumber::new(0);
        daemons.sort_by_key(|daemon| rendezvous::rank(&daemon.id, shard));
        daemons
    }
}
