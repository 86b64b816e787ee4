//! Daemons that could keep copies, and which of them should.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_lease::rendezvous;
use samphiremoor_lease::row;
use samphiremoor_view::zone;

use crate::context;
use crate::peer;

/// Pings without an answer after which a daemon keeps no copies any more.
const MISSED_PINGS: u32 = 3;

/// Most daemons of this zone, and of the other zones, that are asked to keep copies.
const MAX_PINGED: usize = 4;

/// The daemons that answered pings lately.
pub(crate) struct CopyPeers {
    parts: sync::Arc<context::ShardContext>,
    peers: collections::BTreeMap<id::DaemonId, PingedPeer>,
}

struct PingedPeer {
    candidate: rendezvous::CopyCandidate,
    missed: u32,
}

impl CopyPeers {
    pub(crate) fn new(parts: sync::Arc<context::ShardContext>) -> Self {
        CopyPeers { parts, peers: collections::BTreeMap::new() }
    }

    /// Notes the answer to a ping, or that there was none.
    pub(crate) fn pinged(&mut self, daemon: id::DaemonId, seen: Option<rendezvous::CopyCandidate>) {
        if let Some(candidate) = seen {
            self.peers.insert(daemon, PingedPeer { candidate, missed: 0 });
            return;
        }
        let Some(peer) = self.peers.get_mut(&daemon) else { return };
        peer.missed += 1;
        if peer.missed >= MISSED_PINGS {
            self.peers.remove(&daemon);
        }
    }

    /// The peers that should keep copies for this daemon's hold of a shard.
    pub(crate) fn preferred_copies(
        &self,
        shard: quantity::ShardNumber,
        present: &row::CopySet,
    ) -> row::CopySet {
        let context::ShardContext { daemon, incarnation, zone, settings, .. } = &*self.parts;
        let life = row::DaemonInstance { daemon: daemon.clone(), incarnation: *incarnation };
        let holder = rendezvous::CopyCandidate { instance: life, zone: zone.clone() };
        let candidates: Vec<_> = self.peers.values().map(|peer| peer.candidate.clone()).collect();
        rendezvous::choose_copy_set(&holder, shard, present, &candidates, settings.copies)
    }

    /// Daemons to ping now. One that leaves or has left is not pinged and keeps no copies any more.
    pub(crate) fn next_pinged(&mut self) -> Vec<peer::PeerEntry> {
        let pinged = self.copy_peers();
        self.peers.retain(|daemon, _| pinged.iter().any(|peer| peer.id == *daemon));
        pinged
    }

    /// Daemons that could keep copies: a few of this zone and a few of the others.
    pub(crate) fn copy_peers(&self) -> Vec<peer::PeerEntry> {
        let mut peers = self.live_peers();
        peers.retain(|peer| peer.id != self.parts.daemon);
        let (near, far): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|peer| peer.zone == self.parts.zone);
        near.into_iter().take(MAX_PINGED).chain(far.into_iter().take(MAX_PINGED)).collect()
    }

    /// Whether this daemon is one of those that hold shards.
    pub(crate) fn is_candidate(&self) -> bool {
        let peers = self.live_peers();
        let max_holders = self.parts.settings.max_holders;
        let rank = peers.iter().position(|peer| peer.id == self.parts.daemon);
        rank.is_none_or(|rank| rank < max_holders)
    }

    /// Live daemons, in an order that is the same at each of them.
    fn live_peers(&self) -> Vec<peer::PeerEntry> {
        let mut peers = self.parts.directory.daemons();
        peers.retain(|peer| peer.state == zone::UpstreamState::Live);
        let shard = quantity::ShardNumber::new(0);
        peers.sort_by_key(|peer| rendezvous::rank(&peer.id, shard));
        peers
    }
}
