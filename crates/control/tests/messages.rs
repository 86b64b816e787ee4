//! Messages that are not what they should be, and views as the entry daemon asks for them.

use std::net;

use proptest::test_runner;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::message;
use samphiremoor_control::view_server;
use samphiremoor_peers::server::PeerHandler as _;
use samphiremoor_records::set;
use samphiremoor_view::message as view_message;
use samphiremoor_view::zone;

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(1_024)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_a_message_or_refused(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let _ = postcard::from_bytes::<message::PeerQuestion>(&bytes);
        let _ = postcard::from_bytes::<message::PeerAnswer>(&bytes);
    }
}

fn view(serial: u64, revision: u64) -> zone::ZoneView {
    zone::ZoneView {
        zone: "a".parse().expect("a zone"),
        serial,
        incarnation: quantity::Incarnation::new(5),
        records: set::RecordSet {
            revision: quantity::RevisionNumber::new(revision),
            ..set::RecordSet::default()
        },
        replicas: Vec::new(),
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn ask(server: &view_server::ViewServer, serial: u64) -> view_message::ViewAnswer {
    let incarnation = quantity::Incarnation::new(5);
    let question = view_message::ViewQuestion::View { incarnation, serial };
    async_std::task::block_on(server.answer(question))
}

#[test]
fn revision_is_in_force_once_the_entry_daemon_has_it() {
    let board = std::sync::Arc::new(view_server::ViewBoard::new(time::MonotonicClock::start()));
    let server = view_server::ViewServer::new(board.clone());
    let revision = quantity::RevisionNumber::new;
    assert_eq!(ask(&server, 0), view_message::ViewAnswer::NotReady);
    board.show(view(1, 7));
    // Nobody asks: the control daemon speaks for its VM.
    assert_eq!(board.serving(revision(7)), revision(7));
    assert!(matches!(ask(&server, 0), view_message::ViewAnswer::Changed(_)));
    assert_eq!(board.serving(revision(7)), revision(0));
    assert_eq!(ask(&server, 1), view_message::ViewAnswer::Same);
    assert_eq!(board.serving(revision(7)), revision(7));
    board.show(view(2, 8));
    assert_eq!(board.serving(revision(8)), revision(7));
    assert!(matches!(ask(&server, 1), view_message::ViewAnswer::Changed(_)));
    assert_eq!(board.serving(revision(8)), revision(7));
    assert_eq!(ask(&server, 2), view_message::ViewAnswer::Same);
    assert_eq!(board.serving(revision(8)), revision(8));
}

#[test]
fn news_of_a_daemon_survive_the_wire() {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let question = message::PeerQuestion::Join(samphiremoor_membership::news::DaemonNews {
        id: "vm-1".parse().expect("a daemon"),
        entry: "entry-1".parse().expect("a daemon"),
        vm: "vm-1".parse().expect("a VM"),
        zone: "a".parse().expect("a zone"),
        http_address: address,
        peer_address: address,
        control_address: address,
        standing: samphiremoor_membership::news::DaemonStanding {
            incarnation: quantity::Incarnation::new(3),
            state: zone::UpstreamState::Live,
            doubt: samphiremoor_membership::news::DaemonDoubt::Silent,
        },
    });
    let bytes = postcard::to_stdvec(&question).expect("a message is plain data");
    assert_eq!(postcard::from_bytes(&bytes), Ok(question));
}

fn ask_since(
    server: &view_server::ViewServer,
    incarnation: u64,
    serial: u64,
) -> view_message::ViewAnswer {
    let incarnation = quantity::Incarnation::new(incarnation);
    let question = view_message::ViewQuestion::Since { incarnation, serial };
    async_std::task::block_on(server.answer(question))
}

#[test]
fn change_is_told_since_a_view_that_was_handed_over() {
    let board = std::sync::Arc::new(view_server::ViewBoard::new(time::MonotonicClock::start()));
    let server = view_server::ViewServer::new(board.clone());
    let whole = |answer| matches!(answer, view_message::ViewAnswer::Changed(_));
    board.show(view(1, 7));
    assert!(whole(ask_since(&server, 0, 0)));
    // Views that nobody asked for are no bases, and push none out.
    (2..20).for_each(|serial| board.show(view(serial, 7)));
    let view_message::ViewAnswer::Delta(delta) = ask_since(&server, 5, 1) else {
        panic!("the view was handed over");
    };
    assert_eq!(delta.records, None);
    assert_eq!(delta.apply(view(1, 7)), Ok(view(19, 7)));
    assert_eq!(ask_since(&server, 5, 19), view_message::ViewAnswer::Same);
    board.show(view(20, 8));
    assert!(whole(ask_since(&server, 5, 2)));
    assert!(whole(ask_since(&server, 4, 19)), "a view of an earlier life is no base");
    let view_message::ViewAnswer::Delta(delta) = ask_since(&server, 5, 19) else {
        panic!("the view was handed over");
    };
    assert_eq!(delta.apply(view(19, 7)), Ok(view(20, 8)));
}

#[test]
fn bases_are_bounded() {
    let board = std::sync::Arc::new(view_server::ViewBoard::new(time::MonotonicClock::start()));
    let server = view_server::ViewServer::new(board.clone());
    for serial in 1..=6 {
        board.show(view(serial, 7));
        assert!(matches!(ask(&server, 0), view_message::ViewAnswer::Changed(_)));
    }
    assert!(matches!(ask_since(&server, 5, 3), view_message::ViewAnswer::Delta(_)));
    assert!(matches!(ask_since(&server, 5, 2), view_message::ViewAnswer::Changed(_)));
}

#[test]
fn entry_daemon_that_is_always_a_view_behind_serves_by_the_revision() {
    let board = std::sync::Arc::new(view_server::ViewBoard::new(time::MonotonicClock::start()));
    let server = view_server::ViewServer::new(board.clone());
    let revision = quantity::RevisionNumber::new;
    board.show(view(1, 7));
    ask_since(&server, 0, 0);
    board.show(view(2, 8));
    ask_since(&server, 5, 1);
    assert_eq!(board.serving(revision(8)), revision(7));
    board.show(view(3, 8));
    ask_since(&server, 5, 2);
    assert_eq!(board.serving(revision(8)), revision(8));
}
