//! Views and changes as a control daemon answers them.

use std::net;
use std::sync;

use async_std::task;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_entry::source;
use samphiremoor_entry::source::ViewSource as _;
use samphiremoor_peers::link;
use samphiremoor_peers::server;
use samphiremoor_records::set;
use samphiremoor_view::delta;
use samphiremoor_view::message;
use samphiremoor_view::zone;

/// Gives prepared answers in turn, and notes what it was asked.
#[derive(Debug, Default)]
struct PreparedControl {
    answers: sync::Mutex<Vec<message::ViewAnswer>>,
    asked: sync::Mutex<Vec<message::ViewQuestion>>,
}

impl server::PeerHandler for PreparedControl {
    type Question = message::ViewQuestion;
    type Answer = message::ViewAnswer;

    fn answer(&self, question: message::ViewQuestion) -> server::AnswerFuture<message::ViewAnswer> {
        self.asked.lock().expect("no test panics here").push(question);
        let answer = self.answers.lock().expect("no test panics here").remove(0);
        Box::pin(async move { answer })
    }
}

fn view(serial: u64) -> zone::ZoneView {
    zone::ZoneView {
        zone: "a".parse().expect("a zone"),
        serial,
        incarnation: quantity::Incarnation::new(5),
        records: set::RecordSet::default(),
        replicas: Vec::new(),
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn whole(serial: u64) -> message::ViewAnswer {
    message::ViewAnswer::Changed(Box::new(view(serial)))
}

fn change(base: u64, serial: u64) -> message::ViewAnswer {
    let delta = delta::ViewDelta::between(&view(base), &view(serial)).expect("one life");
    message::ViewAnswer::Delta(Box::new(delta))
}

fn asked_whole(serial: u64) -> message::ViewQuestion {
    let incarnation = quantity::Incarnation::new(if serial == 0 { 0 } else { 5 });
    message::ViewQuestion::View { incarnation, serial }
}

fn asked_since(serial: u64) -> message::ViewQuestion {
    message::ViewQuestion::Since { incarnation: quantity::Incarnation::new(5), serial }
}

/// Pulls once for each answer; gives the serial that is known after each, or the text of a failure.
fn pull(answers: Vec<message::ViewAnswer>) -> (Vec<String>, Vec<message::ViewQuestion>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let count = answers.len();
    let control = sync::Arc::new(PreparedControl { answers: answers.into(), ..Default::default() });
    let _server = server::PeerServer::start(address, control.clone()).expect("the server starts");
    let source = source::ControlSource::new(link::PeerLink::new(address, LONG_TIMEOUT));
    let mut known = source::KnownView::default();
    let pulled = (0..count).map(|_| match task::block_on(source.pull(known)) {
        Ok(Some(view)) => {
            known = source::KnownView { incarnation: view.incarnation, serial: view.serial };
            format!("view {}", view.serial)
        }
        Ok(None) => "same".to_owned(),
        Err(cause) => cause.to_string(),
    });
    let pulled = pulled.collect();
    let asked = control.asked.lock().expect("no test panics here").clone();
    (pulled, asked)
}

/// Long enough that no answer is late on a busy machine.
const LONG_TIMEOUT: time::Millis = time::Millis::new(20_000);

#[test]
fn changes_follow_a_whole_view() {
    let (pulled, asked) =
        pull(vec![whole(1), change(1, 2), message::ViewAnswer::Same, change(2, 5), whole(9)]);
    assert_eq!(pulled, ["view 1", "view 2", "same", "view 5", "view 9"]);
    let since = [1, 2, 2, 5].map(asked_since);
    assert_eq!(asked[0], asked_whole(0));
    assert_eq!(asked[1..], since);
}

#[test]
fn whole_view_is_asked_for_after_a_change_on_another_one() {
    let (pulled, asked) = pull(vec![whole(1), change(7, 8), whole(8), change(8, 9)]);
    assert_eq!(pulled[0], "view 1");
    assert!(pulled[1].contains("the change is one of another view"), "{}", pulled[1]);
    assert_eq!(pulled[2..], ["view 8", "view 9"]);
    assert_eq!(asked, [asked_whole(0), asked_since(1), asked_whole(1), asked_since(8)]);
}

#[test]
fn change_without_a_base_is_refused() {
    let (pulled, asked) = pull(vec![change(0, 1), whole(1)]);
    assert!(pulled[0].contains("the change is one of another view"), "{}", pulled[0]);
    assert_eq!(pulled[1], "view 1");
    assert_eq!(asked, [asked_whole(0), asked_whole(0)]);
}
