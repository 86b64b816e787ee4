//! Answers that an upstream gives in time reach the caller: neither its silences nor a planned stop
//! end them.

mod fixture;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use fixture::caller::TestCall;
use http_types::Method;
use samphiremoor_base::cases;

/// Silence of a service, which is longer than all limits for upstreams in the test's settings.
const SILENCE: time::Duration = time::Duration::from_millis(1_200);

/// Starts a service that sends these parts of one response, and falls silent before each.
fn start_slow_service(parts: &'static [&'static str]) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request);
                for part in parts {
                    thread::sleep(SILENCE);
                    if stream.write_all(part.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Expects the response to a call that runs at most once, so that no other replica can serve it.
fn check_slow_booking(parts: &'static [&'static str]) {
    let view = fixture::SharedView::new(&[], &[start_slow_service(parts)]);
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_shards();
    let path = format!("/v1/services/{}/slots/7", fixture::BOOKING);
    let address = daemon.entry.address();
    let call = TestCall::new(address, Method::Post, &path, fixture::KEY);
    let response = call.header("Idempotency-Key", "key-1").body("{}").full_blocking();
    assert_eq!(response.outcome.as_deref(), Some("complete"), "{response:?}");
    assert_eq!((response.status, response.text.as_str()), (201, "done"));
}

cases! {
    silence_before_the_response_ends_a_keyed_call =>
        check_slow_booking(&["HTTP/1.1 201 Made\r\ncontent-length: 4\r\n\r\ndone"]);
    silence_in_the_response_ends_a_keyed_call =>
        check_slow_booking(&["HTTP/1.1 201 Made\r\ncontent-length: 4\r\n\r\ndo", "ne"]);
}
