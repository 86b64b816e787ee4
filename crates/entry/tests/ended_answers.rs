//! Answers that an upstream gives in time reach the caller: neither its silences nor a planned stop
//! end them.

mod fixture;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use async_std::future;
use async_std::task;
use fixture::caller::TestCall;
use fixture::upstream::FakeService;
use http_types::Method;
use samphiremoor_base::cases;
use samphiremoor_base::quantity;
use samphiremoor_base::time::Millis;
use samphiremoor_entry::daemon;

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

/// Size of a response that exceeds the buffers of all sockets on its way.
const LARGE_BYTES: usize = 32 * 1024 * 1024;
/// Limit of the responses that a daemon accepts and keeps.
const LARGE_LIMIT: quantity::ByteCount = quantity::ByteCount::new(4 * LARGE_BYTES as u64);

// The process exits after a planned stop, which closes the connections.
#[test]
fn planned_stop_cuts_a_response_that_a_caller_reads_slowly() {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
    let service = FakeService::start(Some((head + &"x".repeat(LARGE_BYTES)).leak()));
    let view = fixture::SharedView::new(&[], &[service.address()]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.max_answer_bytes = LARGE_LIMIT;
        settings.kept.max_bytes = LARGE_LIMIT;
    });
    let mut caller = net::TcpStream::connect(daemon.entry.address()).expect("the daemon listens");
    let path = format!("/v1/services/{}/list", fixture::LOOKUP);
    let key = fixture::KEY;
    let call = format!("GET {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\r\n");
    caller.write_all(call.as_bytes()).expect("the daemon reads");
    fixture::wait_until("the service has responded", || {
        let in_progress = &daemon.entry.core().in_progress;
        service.call_count() == 1 && in_progress.load(atomic::Ordering::Relaxed) == 0
    });
    daemon.entry.stop();
    let early_end = future::timeout(SILENCE, daemon.entry.finish());
    assert!(task::block_on(early_end).is_err(), "the response is still being written");
    let reading = thread::spawn(move || {
        let mut received = Vec::new();
        caller.read_to_end(&mut received).map(|_| received.len())
    });
    assert_eq!(task::block_on(daemon.entry.finish()), daemon::StopOutcome::Finished);
    let received = reading.join().expect("the caller reads").expect("the response is whole");
    assert!(received > LARGE_BYTES, "{received} bytes");
}

// Keyed calls run at the daemon that holds the shard of their key, for the callers of all daemons.
#[test]
fn planned_stop_cuts_the_keyed_calls_of_other_daemons() {
    const PARTS: &[&str] = &["HTTP/1.1 201 Made\r\ncontent-length: 4\r\n\r\ndone"];
    let view = fixture::SharedView::new(&[], &[start_slow_service(PARTS)]);
    let holder = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.hand_over_ms = Millis::new(100);
    });
    holder.wait_for_shards();
    let other = fixture::TestDaemon::start(&view);
    holder.wait_for_view();
    other.wait_for_shards();
    let path = format!("/v1/services/{}/slots/7", fixture::BOOKING);
    let send = |number| {
        let call =
            TestCall::new(other.entry.address(), Method::Post, &path, fixture::KEY).body("{}");
        task::spawn(call.header("Idempotency-Key", &format!("key-{number}")).full())
    };
    let calls: Vec<_> = (0..16).map(send).collect();
    let run_count = || holder.entry.core().keyed_runs.load(atomic::Ordering::Relaxed);
    fixture::wait_until("the holder runs calls", || run_count() > 0);
    holder.entry.stop();
    task::block_on(holder.entry.finish());
    assert_eq!(run_count(), 0, "calls of the other daemon still run at the stopped one");
    for call in calls {
        let response = task::block_on(call);
        assert_eq!(response.outcome.as_deref(), Some("complete"), "{response:?}");
    }
}
