//! Messages that are not what they should be, and those that are.

mod news;

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
    fn any_bytes_are_a_message_or_refused(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let _ = postcard::from_bytes::<message::PeerRequest>(&bytes);
        let _ = postcard::from_bytes::<message::PeerResponse>(&bytes);
    }
}

#[test]
fn news_of_a_daemon_survive_the_wire() {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let question = message::PeerRequest::Join(membership_gossip::DaemonInfo {
        status: membership_gossip::DaemonStatus {
            incarnation: quantity::Incarnation::new(3),
            state: zone::UpstreamState::Live,
            suspicion: membership_gossip::DaemonSuspicion::Unreachable,
        },
        ..news::joining(address)
    });
    let bytes = postcard::to_stdvec(&question).expect("a message is plain data");
    assert_eq!(postcard::from_bytes(&bytes), Ok(question));
}
