//! A daemon that is cut from all upstreams serves calls by way of another daemon.

mod fixture;

use std::mem;

use fixture::caller::TestCall;
use fixture::upstream::FakeService;
use http_types::Method;

/// Response of the upstream.
const RESPONSE: Option<&str> = Some("HTTP/1.1 201 Made\r\ncontent-length: 4\r\n\r\ndone");

#[test]
fn cut_daemon_fails_its_callers() {
    let service = FakeService::start(RESPONSE);
    let reachable = fixture::SharedView::new(&[], &[service.address()]);
    // The path of the other daemon to the upstream refuses connections.
    let cut = fixture::SharedView::new(&[], &[samphiremoor_testkit::free_address()]);
    let daemons = [&cut, &reachable].map(fixture::TestDaemon::start);
    let mut known = Vec::new();
    reachable.change(|view| mem::swap(&mut view.daemons, &mut known));
    reachable.change(|view| view.daemons.clone_from(&known));
    cut.change(|view| view.daemons.extend(known));
    daemons.iter().for_each(fixture::TestDaemon::wait_for_view);
    for daemon in &daemons {
        let path = format!("/v1/services/{}/slots/7?day=2", fixture::LOOKUP);
        let call =
            TestCall::new(daemon.entry.address(), Method::Post, &path, fixture::KEY).body("1");
        let response = call.full_blocking();
        assert_eq!(response.status, 201, "{response:?}");
    }
}
