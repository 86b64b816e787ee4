//! Refusals of callers' requests.

mod fixture;

use fixture::caller::TestCall;
use fixture::upstream::FakeEngine;
use http_types::Method;
use samphiremoor_base::cases;
use samphiremoor_base::time;

const CHAT_PATH: &str = "/v1/chat/completions";

/// A call that is refused. `headers` holds lines of the form `name: value`.
struct RefusedCall {
    method: Method,
    path: &'static str,
    headers: &'static str,
    body: &'static str,
}

/// Sends the call and expects this status and reason, the outcome not-run and one counted refusal.
fn check(call: RefusedCall, status: u16, reason: &str) {
    check_outcome(call, status, reason, "not-run");
}

/// Sends a reattach call and expects this status and reason, the outcome unknown and one counted
/// refusal.
///
/// The outcome is unknown because the request that the caller asks for may have been run.
fn check_attach(call: RefusedCall, status: u16, reason: &str) {
    check_outcome(call, status, reason, "unknown");
}

fn check_outcome(call: RefusedCall, status: u16, reason: &str, outcome: &str) {
    let engine = FakeEngine::start(3);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.callers.max_body_bytes = samphiremoor_base::quantity::ByteCount::new(1_000);
    });
    let address = daemon.entry.address();
    let mut test_call =
        TestCall::new(address, call.method, call.path, fixture::KEY).body(call.body);
    for header_line in call.headers.lines() {
        let (name, value) = header_line.split_once(": ").expect("a header line");
        test_call = test_call.header(name, value);
    }
    let response = test_call.full_blocking();
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(response.problem(), reason);
    assert_eq!(response.outcome.as_deref(), Some(outcome));
    assert_eq!(response.json()["outcome"], outcome);
    assert!(response.request_id.is_some());
    assert_eq!(daemon.metric("samphiremoor_refusals_total", &format!("\"{reason}\"")), 1.0);
    assert!(engine.calls().is_empty(), "the engine must not be called");
}

fn chat_post(body: &'static str) -> RefusedCall {
    RefusedCall { method: Method::Post, path: CHAT_PATH, headers: "", body }
}

fn with_headers(headers: &'static str) -> RefusedCall {
    RefusedCall { headers, ..chat_post(VALID_BODY) }
}

fn call_to(method: Method, path: &'static str) -> RefusedCall {
    RefusedCall { method, path, headers: "", body: "{}" }
}

const VALID_BODY: &str = r#"{"model":"assistant","messages":[{"role":"user","content":"hi"}]}"#;

cases! {
    no_key => check(with_headers("Authorization: Basic abc"), 401, "wrong-key");
    wrong_key => check(with_headers("Authorization: Bearer stolen"), 401, "wrong-key");
    empty_body => check(chat_post(""), 400, "malformed-body");
    truncated_json => check(chat_post("{\"model\":"), 400, "malformed-body");
    json_array => check(chat_post("[1, 2]"), 400, "malformed-body");
    no_model => check(chat_post(r#"{"messages":[{}]}"#), 400, "malformed-body");
    no_messages => check(chat_post(r#"{"model":"assistant","messages":[]}"#), 400, "malformed-body");
    text_messages => check(chat_post(r#"{"model":"assistant","messages":["hi"]}"#), 400, "malformed-body");
    many_choices => check(
        chat_post(r#"{"model":"assistant","messages":[{}],"n":2}"#), 400, "malformed-body");
    text_stream => check(
        chat_post(r#"{"model":"assistant","messages":[{}],"stream":"yes"}"#), 400, "malformed-body");
    negative_limit => check(
        chat_post(r#"{"model":"assistant","messages":[{}],"max_tokens":-1}"#), 400, "malformed-body");
    huge_limit => check(
        chat_post(r#"{"model":"assistant","messages":[{}],"max_tokens":1e30}"#), 400, "malformed-body");
    zero_limit => check(
        chat_post(r#"{"model":"assistant","messages":[{}],"max_completion_tokens":0}"#),
        400, "malformed-body");
    unknown_service => check(
        chat_post(r#"{"model":"poet","messages":[{}]}"#), 404, "unknown-service");
    unknown_version => check(
        chat_post(r#"{"model":"assistant@9","messages":[{}]}"#), 404, "unknown-model");
    plain_service_as_model => check(
        chat_post(r#"{"model":"lookup","messages":[{}]}"#), 404, "unknown-model");
    oversized_body => check(chat_post(OVERSIZED_BODY), 413, "too-large");
    zero_timeout => check(with_headers("Samphiremoor-Timeout-Ms: 0"), 400, "bad-header");
    text_timeout => check(with_headers("Samphiremoor-Timeout-Ms: soon"), 400, "bad-header");
    unknown_path => check(call_to(Method::Get, "/v2/chat"), 404, "unknown-path");
    get_on_chat_path => check(call_to(Method::Get, CHAT_PATH), 404, "unknown-path");
    unknown_plain_service => check(call_to(Method::Get, "/v1/services/radio/x"), 404, "unknown-service");
    model_as_plain_service => check(call_to(Method::Get, "/v1/services/assistant/x"), 404, "unknown-service");
    booking_without_key => check(
        call_to(Method::Post, "/v1/services/booking/slots"), 428, "missing-idempotency-key");
    booking_with_bad_key => check(
        RefusedCall { headers: "Idempotency-Key: a b", ..call_to(Method::Post, "/v1/services/booking/x") },
        400, "bad-header");
    unknown_request => check_attach(
        call_to(Method::Get, "/v1/requests/entry-x:1"), 404, "unknown-request");
    malformed_last_event_id => check_attach(
        RefusedCall { headers: "Last-Event-ID: x", ..call_to(Method::Get, "/v1/requests/entry-x:1") },
        400, "bad-header");
    attach_with_wrong_key => check_attach(
        RefusedCall {
            headers: "Authorization: Bearer stolen",
            ..call_to(Method::Get, "/v1/requests/entry-x:1")
        },
        401, "wrong-key");
}

const OVERSIZED_BODY: &str = match std::str::from_utf8(&[b'x'; 1_001]) {
    Ok(text) => text,
    Err(_) => "",
};

#[test]
fn call_without_replica_is_refused_at_once() {
    let view = fixture::SharedView::new(&[], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let response = TestCall::chat(daemon.entry.address(), "hi", true).full_blocking();
    assert_eq!(response.status, 503);
    assert_eq!(response.outcome.as_deref(), Some("not-run"));
    assert!(response.json()["retry_after_ms"].as_u64().is_some());
}

#[test]
fn deadline_ends_silent_call() {
    let engine = FakeEngine::start(3);
    engine.set_fault(fixture::upstream::EngineFault::SilentAfter(0));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.first_token_ms = time::Millis::new(20_000);
    });
    let call = TestCall::chat(daemon.entry.address(), "hi", true);
    let response = call.header("Samphiremoor-Timeout-Ms", "200").full_blocking();
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(response.problem(), "deadline-passed");
    assert_eq!(response.outcome.as_deref(), Some("unknown"));
}

#[test]
fn requests_are_accepted_in_first_half_of_stop_grace() {
    let engine = FakeEngine::start(3);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.grace_ms = time::Millis::new(3_600_000);
    });
    let address = daemon.entry.address();
    daemon.entry.stop();
    let probe = TestCall::new(address, Method::Get, "/readyz", "").full_blocking();
    assert_eq!(probe.status, 503, "the load balancer must see the stop at once");
    let response = async_std::task::block_on(TestCall::chat(address, "late", true).stream());
    assert!(response.is_done);
    // The second stop ends the grace period.
    daemon.entry.stop();
    async_std::task::block_on(daemon.entry.finish());
    assert!(!daemon.entry.core().accepts_requests());
}

#[test]
fn calls_over_max_in_progress_are_refused() {
    let engine = FakeEngine::start(3);
    engine.set_fault(fixture::upstream::EngineFault::PauseMs(100));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.callers.max_in_progress = 1;
    });
    let address = daemon.entry.address();
    let first_call = async_std::task::spawn(TestCall::chat(address, "first", true).stream());
    fixture::wait_until("the first call runs", || !engine.calls().is_empty());
    let response = TestCall::chat(address, "second", true).full_blocking();
    assert_eq!(response.problem(), "too-many-requests");
    assert!(async_std::task::block_on(first_call).is_done);
}

#[test]
fn probes_need_no_key() {
    let engine = FakeEngine::start(3);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let address = daemon.entry.address();
    let probe = |path| TestCall::new(address, Method::Get, path, "").full_blocking();
    assert_eq!(probe("/healthz").status, 200);
    assert_eq!(probe("/readyz").status, 200);
    let metrics = probe("/metrics").text;
    assert!(metrics.contains("samphiremoor_revision_in_force 7"), "{metrics}");
    daemon.entry.stop();
    assert_eq!(probe("/readyz").status, 503);
    assert_eq!(probe("/healthz").status, 200);
    let refused = TestCall::chat(address, "late", true).full_blocking();
    assert_eq!(refused.problem(), "stopping");
    assert!(refused.json()["retry_after_ms"].as_u64().is_some());
}
