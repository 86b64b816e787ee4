//! News on a daemon.

use std::net;

use samphiremoor_membership::news;
use samphiremoor_view::zone;

/// News on a daemon that joins, whose addresses are all this one.
pub(crate) fn joining(address: net::SocketAddr) -> news::DaemonInfo {
    news::DaemonInfo {
        id: "vm-1".parse().expect("a daemon"),
        entry: "entry-1".parse().expect("a daemon"),
        vm: "vm-1".parse().expect("a VM"),
        zone: "a".parse().expect("a zone"),
        http_address: address,
        peer_address: address,
        control_address: address,
        status: news::DaemonStatus {
            incarnation: samphiremoor_control::shell::new_incarnation(),
            state: zone::UpstreamState::Joining,
            suspicion: news::DaemonSuspicion::None,
        },
    }
}
