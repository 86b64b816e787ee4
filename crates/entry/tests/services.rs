//! Plain services: repeated where that does no harm, and never where it does.

mod fixture;

use std::mem;
use std::net;
use std::sync;

use async_std::task;
use fixture::caller::TestCall;
use fixture::caller::WholeAnswer;
use fixture::upstream::FakeService;
use http_types::Method;
use samphiremoor_base::cases;
use samphiremoor_base::digest;
use samphiremoor_base::time;
use samphiremoor_claims::key;
use samphiremoor_entry::once;
use samphiremoor_shards::call;

const SOUND: Option<&str> = Some("HTTP/1.1 201 Made\r\nx-slot: 9\r\ncontent-length: 4\r\n\r\ndone");
const NOT_RUN: Option<&str> =
    Some("HTTP/1.1 503 Busy\r\nsamphiremoor-outcome: not-run\r\ncontent-length: 0\r\n\r\n");
const FAILED: Option<&str> = Some("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n");
const CUT: Option<&str> = Some("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf");
const CROSSED: Option<&str> =
    Some("HTTP/1.1 200 OK\r\nsamphiremoor-request-id: entry-x:1\r\ncontent-length: 4\r\n\r\nhers");
const SILENT: Option<&str> = None;

/// What a call of a service ended with.
struct ServiceTrial {
    answer: WholeAnswer,
    faulty_runs: usize,
    sound_runs: usize,
}

/// Calls a service of two replicas, the first of which has a fault.
fn call(service: &str, fault: Option<&'static str>) -> ServiceTrial {
    let faulty = FakeService::start(fault);
    let sound = FakeService::start(SOUND);
    let view = fixture::SharedView::new(&[], &[faulty.address(), sound.address()]);
    // The faulty replica is the less loaded one and so is chosen first.
    view.change(|view| view.replicas[1].load.running = 40);
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_shards();
    let answer = booking(daemon.entry.address(), service, "key-1", "{}").whole_blocking();
    ServiceTrial { answer, faulty_runs: faulty.count(), sound_runs: sound.count() }
}

fn booking(address: net::SocketAddr, service: &str, key: &str, body: &str) -> TestCall {
    let path = format!("/v1/services/{service}/slots/7?day=2");
    let call = TestCall::new(address, Method::Post, &path, fixture::KEY);
    call.header("Idempotency-Key", key).body(body)
}

/// A call that may be repeated is answered by the sound replica.
fn check_repeated(fault: Option<&'static str>) {
    let trial = call(fixture::LOOKUP, fault);
    assert_eq!(trial.answer.status, 201, "{:?}", trial.answer);
    assert_eq!(trial.answer.text, "done");
    assert_eq!(trial.answer.outcome.as_deref(), Some("complete"));
    assert!(trial.faulty_runs >= 1);
    assert_eq!(trial.sound_runs, 1);
}

/// A call that may not be repeated is unknown once a replica may have run it.
fn check_unknown(fault: Option<&'static str>) {
    let trial = call(fixture::BOOKING, fault);
    assert_eq!(trial.answer.status, 502, "{:?}", trial.answer);
    assert_eq!(trial.answer.outcome.as_deref(), Some("unknown"));
    assert_eq!(trial.faulty_runs, 1);
    assert_eq!(trial.sound_runs, 0, "never a second run");
}

/// A call that may not be repeated goes elsewhere where the replica said that it did not run it.
fn check_moved(fault: Option<&'static str>) {
    let trial = call(fixture::BOOKING, fault);
    assert_eq!(trial.answer.status, 201, "{:?}", trial.answer);
    assert_eq!(trial.faulty_runs, 1);
    assert_eq!(trial.sound_runs, 1);
}

cases! {
    repeatable_call_after_a_refusal => check_repeated(NOT_RUN);
    repeatable_call_after_an_error => check_repeated(FAILED);
    repeatable_call_after_a_cut => check_repeated(CUT);
    repeatable_call_after_a_crossed_answer => check_repeated(CROSSED);
    repeatable_call_after_silence => check_repeated(SILENT);
    once_only_call_after_a_refusal => check_moved(NOT_RUN);
    once_only_call_after_an_error => check_unknown(FAILED);
    once_only_call_after_a_cut => check_unknown(CUT);
    once_only_call_after_a_crossed_answer => check_unknown(CROSSED);
    once_only_call_after_silence => check_unknown(SILENT);
}

#[test]
fn refused_connection_is_no_run() {
    let sound = FakeService::start(SOUND);
    let absent = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let view = fixture::SharedView::new(&[], &[absent, sound.address()]);
    view.change(|view| view.replicas[1].load.running = 40);
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_shards();
    let call = booking(daemon.entry.address(), fixture::BOOKING, "key-1", "{}");
    assert_eq!(call.whole_blocking().status, 201);
    assert_eq!(sound.count(), 1);
}

#[test]
fn one_key_at_two_daemons_is_one_run() {
    let sound = FakeService::start(SOUND);
    let view = fixture::SharedView::new(&[], &[sound.address()]);
    let daemons = [fixture::TestDaemon::start(&view), fixture::TestDaemon::start(&view)];
    for daemon in &daemons {
        daemon.wait_for_view();
        daemon.wait_for_shards();
    }
    let send = |daemon: &fixture::TestDaemon| {
        let call = booking(daemon.entry.address(), fixture::BOOKING, "key-1", "{}");
        task::spawn(call.whole())
    };
    let calls: Vec<_> = daemons.iter().chain(&daemons).map(send).collect();
    for call in calls {
        let answer = task::block_on(call);
        assert_eq!((answer.status, answer.text.as_str()), (201, "done"), "{answer:?}");
    }
    assert_eq!(sound.count(), 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let sound = FakeService::start(SOUND);
    let view = fixture::SharedView::new(&[], &[sound.address()]);
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_shards();
    let address = daemon.entry.address();
    let first = booking(address, fixture::BOOKING, "key-1", "{\"slot\":1}").whole_blocking();
    assert_eq!(first.status, 201, "{first:?}");
    let second = booking(address, fixture::BOOKING, "key-1", "{\"slot\":2}").whole_blocking();
    assert_eq!(second.status, 422, "{second:?}");
    assert_eq!(second.problem(), "idempotency-key-reused");
    assert_eq!(sound.count(), 1);
}

/// A call that the holder may run, as another daemon forwards it.
fn claimed_call() -> call::KeyedCall {
    call::KeyedCall {
        key: key::CallKey {
            workspace: fixture::parsed("clinic"),
            service: fixture::parsed(fixture::BOOKING),
            key: fixture::parsed("key-1"),
        },
        digest: digest::HexDigest::of(b"{}"),
        request: "entry-x:1".parse().expect("a valid identifier"),
        method: sync::Arc::from("POST"),
        path: sync::Arc::from("/slots/7"),
        headers: Vec::new(),
        body: sync::Arc::from(&b"{}"[..]),
        remaining: time::Millis::new(60_000),
    }
}

#[test]
fn holder_whose_view_is_behind_waits_for_the_service() {
    use samphiremoor_shards::call::CallRunner as _;
    let service = FakeService::start(SOUND);
    let view = fixture::SharedView::new(&[], &[service.address()]);
    let services = sync::Mutex::new(Vec::new());
    let swap = |view: &mut samphiremoor_view::zone::ZoneView| {
        mem::swap(&mut view.records.services, &mut services.lock().unwrap());
    };
    view.change(swap);
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_view();
    let runner = once::ClaimedRunner::new(daemon.entry.core().clone());
    let running = task::spawn(async move { runner.run(&claimed_call()).await });
    view.change(swap);
    let result = task::block_on(running);
    assert!(matches!(result, call::RunOutcome::Completed(_)), "{result:?}");
    assert_eq!(service.count(), 1);
}

/// Two calls that may not be repeated: only the first one goes to the replica that fails it.
fn check_blamed(fault: Option<&'static str>) {
    let faulty = FakeService::start(fault);
    let sound = FakeService::start(SOUND);
    let view = fixture::SharedView::new(&[], &[faulty.address(), sound.address()]);
    view.change(|view| view.replicas[1].load.running = 40);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.blame_ms = time::Millis::new(3_600_000);
    });
    daemon.wait_for_shards();
    let book =
        |key| booking(daemon.entry.address(), fixture::BOOKING, key, "{}").whole_blocking().outcome;
    assert_eq!(book("key-1").as_deref(), Some("unknown"));
    assert_eq!(book("key-2").as_deref(), Some("complete"));
    assert_eq!((faulty.count(), sound.count()), (1, 1));
}

cases! {
    replica_that_closes_is_blamed => check_blamed(CUT);
    replica_that_is_silent_is_blamed => check_blamed(SILENT);
}
