//! Callers' raw bytes for each way in which a begun response can end, compared with the callers'
//! page.

mod fixture;

use std::net;

use async_std::task;
use fixture::raw;
use fixture::upstream;
use fixture::upstream::EngineFault;
use fixture::upstream::FakeEngine;
use fixture::upstream::FakeService;
use fixture::upstream::UnframedEnd;
use samphiremoor_base::cases;
use samphiremoor_base::time;
use samphiremoor_entry::settings;

const RESPONSE_TOKENS: u64 = 12;

fn token(index: u64) -> String {
    upstream::token("hello", index)
}

fn full_text() -> String {
    upstream::full_text("hello", RESPONSE_TOKENS)
}

/// Returns the bytes of a chat call.
fn chat_call(stream: bool, timeout_ms: u64) -> String {
    let body = serde_json::json!({
        "model": fixture::MODEL,
        "stream": stream,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let line = "POST /v1/chat/completions HTTP/1.1";
    let timeout = format!("samphiremoor-timeout-ms: {timeout_ms}\r\n");
    call_bytes(line, &timeout, &body.to_string())
}

/// Returns the bytes of a call that attaches to a request.
fn attach_call(request: &str) -> String {
    call_bytes(&format!("GET /v1/requests/{request} HTTP/1.1"), "", "")
}

fn call_bytes(line: &str, fields: &str, body: &str) -> String {
    let key = fixture::KEY;
    let length = body.len();
    format!(
        "{line}\r\nhost: daemon\r\nauthorization: Bearer {key}\r\n{fields}\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// A daemon with engines that are tried in order.
struct EngineTrial {
    daemon: fixture::TestDaemon,
    view: fixture::SharedView,
    _engines: Vec<FakeEngine>,
}

impl EngineTrial {
    fn start(faults: &[EngineFault], change: impl FnOnce(&mut settings::EntrySettings)) -> Self {
        let engines: Vec<FakeEngine> = faults.iter().map(|fault| start_engine(*fault)).collect();
        let addresses: Vec<net::SocketAddr> = engines.iter().map(FakeEngine::address).collect();
        let view = fixture::SharedView::new(&addresses, &[]);
        view.change(|view| {
            for (index, replica) in view.replicas.iter_mut().enumerate() {
                replica.load.running = 9 * u32::try_from(index).expect("there are few engines");
            }
        });
        let daemon = fixture::TestDaemon::start_with(&view, |settings| {
            settings.retries.replica_wait_ms = time::Millis::new(300);
            change(settings);
        });
        EngineTrial { daemon, view, _engines: engines }
    }

    fn send(&self, call: &str) -> raw::RawCaller {
        raw::RawCaller::send(self.daemon.entry.address(), call)
    }
}

fn start_engine(fault: EngineFault) -> FakeEngine {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    engine.set_fault(fault);
    engine
}

const TIMEOUT_MS: u64 = 20_000;
/// Time limit that ends during a silence or a wait for a replica.
const SHORT_TIMEOUT_MS: u64 = 250;

fn check_stream(timeout_ms: u64, faults: &[EngineFault], expected: &str) {
    let trial = EngineTrial::start(faults, |_| {});
    let response = trial.send(&chat_call(true, timeout_ms)).finish();
    assert_eq!(response.describe_stream(0, token), expected);
}

fn check_full(timeout_ms: u64, faults: &[EngineFault], expected: &str) {
    let trial = EngineTrial::start(faults, |_| {});
    let response = trial.send(&chat_call(false, timeout_ms)).finish();
    assert_eq!(response.describe_full(), expected);
}

/// Error response of an engine, in place of a chunk.
const SECOND_HEAD: &str = "HTTP/1.1 500 No\r\ncontent-type: application/json\r\n\
    content-length: 13\r\n\r\n{\"error\":\"x\"}";
/// Error response of an engine, inside a chunk.
const HEAD_IN_CHUNK: &str =
    "30\r\nHTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\n{}\n\ndata:\n\r\n0\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
const TORN_CHUNK: &str = "40\r\nid: 5\ndata: {\"choices\":[{\"del";
const TORN_EVENT: &str = "7\r\nid: 5\nd\r\n0\r\n\r\n";
const TORN_DATA: &str = "11\r\nid: 5\ndata: {\"cho\r\n0\r\n\r\n";
const ERROR_EVENT: &str = "19\r\nevent: error\ndata: {\"e\"}\n\n\r\n0\r\n\r\n";
const EARLY_DONE: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const REJECTION: &str = "HTTP/1.1 400 Bad\r\ncontent-type: application/json\r\n\
    content-length: 13\r\n\r\n{\"error\":\"y\"}";
const JSON_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
    content-length: 13\r\n\r\n{\"error\":\"z\"}";

const HEALTHY: EngineFault = EngineFault::None;
const CUT: EngineFault = EngineFault::CloseAfter(5);
const UNFRAMED: EngineFault = EngineFault::Unframed(UnframedEnd::Whole);
const UNFRAMED_CLOSED: EngineFault = EngineFault::Unframed(UnframedEnd::CloseAfter(5));
const UNFRAMED_TORN: EngineFault = EngineFault::Unframed(UnframedEnd::CloseInside(5));
const UNFRAMED_RESET: EngineFault = EngineFault::Unframed(UnframedEnd::ResetAfter(5));

cases! {
    whole_stream => check_stream(TIMEOUT_MS, &[HEALTHY], "12 tokens, done");
    replica_cut => check_stream(TIMEOUT_MS, &[CUT, HEALTHY], "12 tokens, done");
    replica_sends_second_head => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, SECOND_HEAD), HEALTHY], "12 tokens, done");
    replica_sends_head_in_chunk => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, HEAD_IN_CHUNK), HEALTHY], "12 tokens, done");
    replica_ends_without_end_mark => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, LAST_CHUNK), HEALTHY], "12 tokens, done");
    replica_ends_without_finish_reason => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, EARLY_DONE), HEALTHY], "12 tokens, done");
    replica_tears_chunk => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, TORN_CHUNK), HEALTHY], "12 tokens, done");
    replica_tears_event => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, TORN_EVENT), HEALTHY], "12 tokens, done");
    replica_tears_data => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, TORN_DATA), HEALTHY], "12 tokens, done");
    replica_sends_error_event => check_stream(
        TIMEOUT_MS, &[EngineFault::BytesAfter(5, ERROR_EVENT), HEALTHY], "12 tokens, done");
    unframed_stream => check_stream(TIMEOUT_MS, &[UNFRAMED], "12 tokens, done");
    unframed_stream_ends_between_events => check_stream(
        TIMEOUT_MS, &[UNFRAMED_CLOSED, HEALTHY], "12 tokens, done");
    unframed_stream_ends_inside_an_event => check_stream(
        TIMEOUT_MS, &[UNFRAMED_TORN, HEALTHY], "12 tokens, done");
    unframed_stream_is_reset => check_stream(
        TIMEOUT_MS, &[UNFRAMED_RESET, HEALTHY], "12 tokens, done");
    every_unframed_stream_ends_between_events => check_stream(
        TIMEOUT_MS, &[UNFRAMED_CLOSED, UNFRAMED_CLOSED], "5 tokens, no-replica unknown");
    every_unframed_stream_ends_inside_an_event => check_stream(
        TIMEOUT_MS, &[UNFRAMED_TORN, UNFRAMED_TORN], "5 tokens, no-replica unknown");
    every_unframed_stream_is_reset => check_stream(
        TIMEOUT_MS, &[UNFRAMED_RESET, UNFRAMED_RESET], "5 tokens, no-replica unknown");
    second_replica_fails => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::ServerError, HEALTHY], "12 tokens, done");
    second_replica_refuses => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::Refuse, HEALTHY], "12 tokens, done");
    second_replica_rejects => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::Response(REJECTION), HEALTHY], "12 tokens, done");
    second_replica_sends_no_stream => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::Response(JSON_RESPONSE), HEALTHY], "12 tokens, done");
    every_replica_cut => check_stream(
        TIMEOUT_MS, &[CUT, CUT], "5 tokens, no-replica unknown");
    no_replica_after_failures => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::ServerError], "5 tokens, no-replica unknown");
    no_replica_after_refusals => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::Refuse], "5 tokens, no-replica unknown");
    no_replica_after_rejections => check_stream(
        TIMEOUT_MS, &[CUT, EngineFault::Response(REJECTION)], "5 tokens, no-replica unknown");
    deadline_in_silence => check_stream(
        SHORT_TIMEOUT_MS, &[EngineFault::SilentAfter(5)], "5 tokens, deadline-passed unknown");
    deadline_between_replicas => check_stream(
        SHORT_TIMEOUT_MS, &[CUT, EngineFault::SilentAfter(0)], "5 tokens, deadline-passed unknown");
}

cases! {
    whole_full_response => check_full(
        TIMEOUT_MS, &[HEALTHY], &format!("200 complete, {}", full_text()));
    unframed_full_response => check_full(
        TIMEOUT_MS, &[UNFRAMED], &format!("200 complete, {}", full_text()));
    reset_unframed_full_response => check_full(
        TIMEOUT_MS, &[UNFRAMED_RESET, HEALTHY], &format!("200 complete, {}", full_text()));
    replica_cut_in_full_response => check_full(
        TIMEOUT_MS, &[CUT, HEALTHY], &format!("200 complete, {}", full_text()));
    second_replica_rejects_full_response => check_full(
        TIMEOUT_MS,
        &[CUT, EngineFault::Response(REJECTION), HEALTHY],
        &format!("200 complete, {}", full_text()));
    no_replica_for_full_response => check_full(
        TIMEOUT_MS, &[CUT, EngineFault::ServerError], "502 unknown, no-replica");
    deadline_of_full_response => check_full(
        SHORT_TIMEOUT_MS, &[EngineFault::SilentAfter(5)], "504 unknown, deadline-passed");
}

/// Forces a stop by stopping the daemon twice, as two signals do, and waits until it has shut down.
fn force_stop(daemon: &fixture::TestDaemon) {
    daemon.entry.stop();
    daemon.entry.stop();
    task::block_on(daemon.entry.finish());
}

/// Stops the daemon by force while its engine is silent in the middle of the response.
fn stop_in_silence(stream: bool, peer_count: usize) -> raw::RawResponse {
    let trial = EngineTrial::start(&[EngineFault::SilentAfter(5)], |settings| {
        settings.upstreams.silence_ms = time::Millis::new(TIMEOUT_MS);
        settings.stop.hand_over_ms = time::Millis::new(500);
    });
    let peers: Vec<fixture::TestDaemon> =
        (0..peer_count).map(|_| fixture::TestDaemon::start(&trial.view)).collect();
    trial.daemon.wait_for_view();
    let mut caller = trial.send(&chat_call(stream, TIMEOUT_MS));
    fixture::wait_until("the engine is silent", || {
        let kept = trial.daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.token_count().get() == 5)
    });
    if stream {
        caller.read_events(5);
    }
    force_stop(&trial.daemon);
    let handed_over = trial.daemon.metric("samphiremoor_handed_over_total", "");
    assert_eq!(handed_over, if peers.is_empty() { 0.0 } else { 1.0 });
    caller.finish()
}

fn check_stopped_stream(peer_count: usize) {
    let response = stop_in_silence(true, peer_count);
    assert_eq!(response.describe_stream(0, token), "5 tokens, stopping unknown");
}

fn check_stopped_full_response(peer_count: usize) {
    let response = stop_in_silence(false, peer_count);
    assert_eq!(response.describe_full(), "502 unknown, stopping");
}

cases! {
    forced_stop => check_stopped_stream(0);
    handover => check_stopped_stream(1);
    forced_stop_of_full_response => check_stopped_full_response(0);
    handover_of_full_response => check_stopped_full_response(1);
}

#[test]
fn caller_that_does_not_read_gets_cut_stream() {
    const TOKEN_BYTES: usize = 256 * 1024;
    fn large_token(_: u64) -> String {
        "x".repeat(TOKEN_BYTES)
    }
    let event_bytes = format!(
        "data: {}\n\n",
        serde_json::json!({"choices": [{"index": 0, "delta": {"content": large_token(0)}}]})
    );
    let chunk = format!("{:x}\r\n{event_bytes}\r\n", event_bytes.len());
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let response = format!("{head}{}", chunk.repeat(128)).leak();
    let trial = EngineTrial::start(&[EngineFault::Response(response)], |settings| {
        settings.callers.write_timeout_ms = time::Millis::new(200);
        settings.upstreams.silence_ms = time::Millis::new(TIMEOUT_MS);
    });
    let caller = trial.send(&chat_call(true, TIMEOUT_MS));
    fixture::wait_until("the response exceeds the socket's buffers", || {
        let kept = trial.daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.token_count().get() == 128)
    });
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    let description = caller.finish().describe_stream(0, large_token);
    assert!(description.ends_with("tokens, cut"), "{description}");
}

/// Id of a request of a daemon that the test plays.
const RELAYED_REQUEST: &str = "entry-gone:1";

/// Attaches at a daemon that relays the response of this owner.
fn relayed_response(owner: &FakeService) -> raw::RawResponse {
    let view = fixture::SharedView::new(&[], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.callers.heartbeat_ms = time::Millis::new(50);
    });
    view.change(|view| {
        let mut owner_view = view.daemons[0].clone();
        owner_view.id = fixture::parsed("entry-gone");
        owner_view.http_address = owner.address();
        view.daemons.push(owner_view);
    });
    daemon.wait_for_view();
    raw::RawCaller::send(daemon.entry.address(), &attach_call(RELAYED_REQUEST)).finish()
}

/// Returns a chunk with the event of one token of the relayed request.
fn relayed_token(index: u64) -> String {
    let data = serde_json::json!({
        "id": RELAYED_REQUEST,
        "choices": [{"index": 0, "delta": {"content": token(index)}, "finish_reason": null}],
    });
    let event = format!("id:{index}\ndata:{data}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Expects this end of a relayed stream whose owner sends two tokens and then these bytes.
fn check_relayed(end: &str, is_silent: bool, expected: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         samphiremoor-request-id: {RELAYED_REQUEST}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let response = format!("{head}{}{}{end}", relayed_token(0), relayed_token(1)).leak();
    let owner = match is_silent {
        true => FakeService::start_silent(response),
        false => FakeService::start(Some(response)),
    };
    assert_eq!(relayed_response(&owner).describe_stream(0, token), expected);
}

const UNREACHABLE: &str = "2 tokens, owner-unreachable unknown";

/// Error event of an owner.
fn owner_error() -> String {
    let data = serde_json::json!({
        "type": "urn:samphiremoor:problem:stopping",
        "title": "stopping",
        "status": 503,
        "detail": "another daemon goes on with the request; attach again by its id",
        "outcome": "unknown",
        "request_id": RELAYED_REQUEST,
    });
    let event = format!("event:error\ndata:{data}\n\n");
    format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
}

cases! {
    owner_cut => check_relayed("", false, UNREACHABLE);
    owner_silent => check_relayed("", true, UNREACHABLE);
    owner_sends_second_head => check_relayed(SECOND_HEAD, false, UNREACHABLE);
    owner_sends_head_in_chunk => check_relayed(HEAD_IN_CHUNK, false, UNREACHABLE);
    owner_ends_without_end_mark => check_relayed(LAST_CHUNK, false, UNREACHABLE);
    owner_tears_chunk => check_relayed(TORN_CHUNK, false, UNREACHABLE);
    owner_tears_event => check_relayed(TORN_EVENT, false, UNREACHABLE);
    owner_tears_data => check_relayed(TORN_DATA, false, UNREACHABLE);
    owner_ends_with_error => check_relayed(&owner_error(), false, "2 tokens, stopping unknown");
}

#[test]
fn relayed_stream_has_heartbeats_in_pause() {
    let set_heartbeat = |settings: &mut settings::EntrySettings| {
        settings.callers.heartbeat_ms = time::Millis::new(50);
        settings.upstreams.silence_ms = time::Millis::new(TIMEOUT_MS);
    };
    let trial = EngineTrial::start(&[EngineFault::PauseMs(150)], set_heartbeat);
    let other = fixture::TestDaemon::start_with(&trial.view, set_heartbeat);
    let mut caller = trial.send(&chat_call(true, TIMEOUT_MS));
    caller.read_events(1);
    let kept = trial.daemon.entry.core().registry.in_progress();
    let call = attach_call(kept[0].info.id.as_str());
    let relayed = raw::RawCaller::send(other.entry.address(), &call).finish();
    assert_eq!(relayed.describe_stream(0, token), "12 tokens, done");
    assert!(relayed.heartbeat_count() > 0, "the relayed stream has no heartbeat");
    assert!(caller.finish().heartbeat_count() > 0, "the owner's stream has no heartbeat");
}

/// Expects that a caller sees a relayed full response as it ended at its owner.
fn check_relayed_full(end: &str, is_silent: bool, expected: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nsamphiremoor-outcome: complete\r\n\
         samphiremoor-request-id: {RELAYED_REQUEST}\r\n"
    );
    let response = format!("{head}{end}").leak();
    let owner = match is_silent {
        true => FakeService::start_silent(response),
        false => FakeService::start(Some(response)),
    };
    assert_eq!(relayed_response(&owner).describe_full(), expected);
}

const CUT_LENGTH: &str = "content-length: 900\r\n\r\nhalf";
const CUT_CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";

cases! {
    whole_relayed_response => check_relayed_full(
        "content-length: 4\r\n\r\ndone", false, "200 complete, done");
    owner_cut_before_length => check_relayed_full(CUT_LENGTH, false, "200 complete, cut");
    owner_cut_between_chunks => check_relayed_full(CUT_CHUNKS, false, "200 complete, cut");
    owner_silent_before_length => check_relayed_full(CUT_LENGTH, true, "200 complete, cut");
    owner_silent_between_chunks => check_relayed_full(CUT_CHUNKS, true, "200 complete, cut");
}

#[test]
fn rejected_stream_call_is_attached_to() {
    let trial = EngineTrial::start(&[EngineFault::Response(REJECTION)], |_| {});
    let rejected = trial.send(&chat_call(true, TIMEOUT_MS)).finish();
    assert_eq!(rejected.describe_full(), "400 complete, {\"error\":\"y\"}");
    let request = rejected.field("samphiremoor-request-id").expect("the head has the request id");
    let attached = trial.send(&attach_call(request)).finish();
    assert_eq!(attached.describe_full(), "400 complete, {\"error\":\"y\"}");
}

/// Expects this response to a call of a plain service that sends these bytes to each dispatch.
fn check_service(service_response: &'static str, expected: &str) {
    let service = FakeService::start(Some(service_response));
    let view = fixture::SharedView::new(&[], &[service.address()]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.retries.replica_wait_ms = time::Millis::new(300);
    });
    let line = "GET /v1/services/lookup/orders HTTP/1.1";
    let caller = raw::RawCaller::send(daemon.entry.address(), &call_bytes(line, "", ""));
    assert_eq!(caller.finish().describe_full(), expected);
}

cases! {
    service_cut_before_length => check_service(
        "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\nhalf", "502 unknown, no-replica");
    service_cut_between_chunks => check_service(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "502 unknown, no-replica");
    service_sends_body_without_content => check_service(
        "HTTP/1.1 204 No Content\r\ncontent-length: 4\r\n\r\nbody", "204 complete, ");
    service_body_ends_with_connection => check_service(
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody", "200 complete, body");
    service_has_length_without_content => check_service(
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 4\r\n\r\n", "304 complete, ");
}

/// Head field of a call that waits for an interim response before it sends its body.
const EXPECT: &str = "expect: 100-continue\r\n";

#[test]
fn interim_response_precedes_response() {
    const CALL_COUNT: usize = 100;
    let trial = EngineTrial::start(&[HEALTHY], |_| {});
    let call = call_bytes("POST /v1/chat/completions HTTP/1.1", EXPECT, "{}");
    let callers: Vec<raw::RawCaller> = (0..CALL_COUNT).map(|_| trial.send(&call)).collect();
    for caller in callers {
        assert_eq!(caller.finish().describe_full(), "400 not-run, malformed-body");
    }
}

#[test]
fn caller_that_waits_for_interim_response_gets_it() {
    let trial = EngineTrial::start(&[HEALTHY], |_| {});
    let call = call_bytes("POST /v1/chat/completions HTTP/1.1", EXPECT, "{}");
    let (head, body) = call.split_at(call.len() - 2);
    let caller = raw::RawCaller::send_in_parts(trial.daemon.entry.address(), head, body);
    assert_eq!(caller.finish().describe_full(), "400 not-run, malformed-body");
}
