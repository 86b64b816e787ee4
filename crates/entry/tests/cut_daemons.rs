//! A daemon that is cut from all upstreams serves calls by way of another daemon.

mod fixture;

use std::mem;
use std::net;
use std::time;

use fixture::caller::FullResponse;
use fixture::caller::TestCall;
use fixture::upstream::FakeService;
use http_types::Method;

/// Response of the upstream.
const RESPONSE: Option<&str> = Some("HTTP/1.1 201 Made\r\ncontent-length: 4\r\n\r\ndone");
/// Time in which a call by way of another daemon is served.
const RELAY_TIME: time::Duration = time::Duration::from_millis(500);

/// Two daemons, of which the path of the first to the upstream refuses connections.
struct CutTrial {
    service: FakeService,
    daemons: [fixture::TestDaemon; 2],
}

impl CutTrial {
    fn start() -> Self {
        let service = FakeService::start(RESPONSE);
        let refusing = samphiremoor_testkit::free_address();
        let [cut, sound] =
            [refusing, service.address()].map(|address| fixture::SharedView::new(&[], &[address]));
        let daemons = [&cut, &sound].map(fixture::TestDaemon::start);
        // Each knows both.
        let mut known = Vec::new();
        sound.change(|view| mem::swap(&mut view.daemons, &mut known));
        cut.change(|view| view.daemons.extend(known));
        let mut all = Vec::new();
        cut.change(|view| all.clone_from(&view.daemons));
        sound.change(|view| view.daemons = all);
        daemons.iter().for_each(fixture::TestDaemon::wait_for_view);
        daemons.iter().for_each(fixture::TestDaemon::wait_for_shards);
        CutTrial { service, daemons }
    }

    fn address(&self, index: usize) -> net::SocketAddr {
        self.daemons[index].entry.address()
    }
}

fn call(address: net::SocketAddr, service: &str, key: &str) -> FullResponse {
    let path = format!("/v1/services/{service}/slots/7?day=2");
    let call = TestCall::new(address, Method::Post, &path, fixture::KEY);
    call.header("Idempotency-Key", key).body("1").full_blocking()
}

/// Expects calls of a service to be served at both daemons, and to run once each.
fn check_served(service: &str) {
    let trial = CutTrial::start();
    for number in 0..6 {
        let started_at = time::Instant::now();
        let response = call(trial.address(number % 2), service, &format!("key-{number}"));
        assert_eq!(response.status, 201, "call {number}: {response:?}");
        assert_eq!(response.text, "done");
        assert!(started_at.elapsed() < RELAY_TIME, "call {number}: {:?}", started_at.elapsed());
    }
    assert_eq!(trial.service.call_count(), 6);
}

samphiremoor_base::cases! {
    cut_daemon_fails_its_callers => check_served(fixture::LOOKUP);
    cut_daemon_fails_its_keyed_callers => check_served(fixture::BOOKING);
}
