//! The daemons that may relay connections to replicas.

use std::cell;
use std::net::SocketAddr;
use std::rc;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;

use crate::attempt_exchange;

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

    /// Chooses the relays for a connection to a replica of a group.
    pub(crate) fn choose(
        &self,
        group: &reachability::PathGroup,
        local_zone: &id::ZoneId,
        now: time::MonotonicTime,
    ) -> reachability::RelayAddresses {
        let Some(network) = self.network.get() else { return reachability::RelayAddresses::new() };
        let candidates = network.relays(group);
        let backoff = self.backoff.borrow();
        reachability::choose_relays(&candidates, &backoff, local_zone, rand::random(), now)
    }

    /// Records that a relay failed.
    pub(crate) fn record_failure(&self, relay: SocketAddr, now: time::MonotonicTime) {
        self.backoff.borrow_mut().record_failure(relay, now);
    }
}
