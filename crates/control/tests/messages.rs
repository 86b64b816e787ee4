//! Decoding of malformed and valid messages.

mod daemon_info;

use std::net;

use proptest::test_runner;
use samphiremoor_base::quantity;
use samphiremoor_control::message;
use samphiremoor_membership::gossip as membership_gossip;
use samphiremoor_view::zone;

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(1_024)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let _ = postcard::from_bytes::<message::PeerRequest>(&bytes);
        let _ = postcard::from_bytes::<message::PeerResponse>(&bytes);
    }
}

#[test]
fn join_request_round_trips() {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let request = message::PeerRequest::Join(membership_gossip::DaemonInfo {
        status: membership_gossip::DaemonStatus {
            incarnation: quantity::Incarnation::new(3),
            state: zone::UpstreamState::Live,
            suspicion: membership_gossip::DaemonSuspicion::Unreachable,
        },
        ..daemon_info::joining(address)
    });
    let bytes = postcard::to_stdvec(&request).expect("messages can be serialized");
    assert_eq!(postcard::from_bytes(&bytes), Ok(request));
}
