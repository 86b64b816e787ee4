//! A daemon for tests.

use std::net;

use samphiremoor_membership::gossip;
use samphiremoor_view::zone;

/// Returns a joining daemon with the same address for all its endpoints.
pub(crate) fn joining(address: net::SocketAddr) -> gossip::DaemonInfo {
    gossip::DaemonInfo {
        id: "vm-1".parse().expect("a valid daemon id"),
        entry: "entry-1".parse().expect("a valid daemon id"),
        vm: "vm-1".parse().expect("a valid VM id"),
        zone: "a".parse().expect("a valid zone id"),
        http_address: address,
        peer_address: address,
        control_address: address,
        status: gossip::DaemonStatus {
            incarnation: samphiremoor_control::service::new_incarnation(),
            state: zone::UpstreamState::Joining,
            suspicion: gossip::DaemonSuspicion::None,
        },
    }
}
