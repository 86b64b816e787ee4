//! What callers are refused with, and why.

mod fixture;

use fixture::caller::TestCall;
use fixture::upstream::FakeEngine;
use http_types::Method;
use samphiremoor_base::cases;
use samphiremoor_base::time;

const CHAT_PATH: &str = "/v1/chat/completions";

/// One refused call: method, path, headers as `name: value` lines, and body.
struct RefusedCall {
    method: Method,
    path: &'static str,
    headers: &'static str,
    body: &'static str,
}

/// Sends the call and expects this status and reason, not-run, and one count.
fn check(call: RefusedCall, status: u16, reason: &str) {
    check_outcome(call, status, reason, "not-run");
}

/// Sends a call that attaches again and expects this status and reason, and one count.
///
/// The refusal says nothing about the request that the caller asks for: it may have been run.
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
    let mut sent = TestCall::new(address, call.method, call.path, fixture::KEY).body(call.body);
    for line in call.headers.lines() {
        let (name, value) = line.split_once(": ").expect("a header line");
        sent = sent.header(name, value);
    }
    let answer = sent.whole_blocking();
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.problem(), reason);
    assert_eq!(answer.outcome.as_deref(), Some(outcome));
    assert_eq!(answer.json()["outcome"], outcome);
    assert!(answer.request_id.is_some());
    assert_eq!(daemon.metric("samphiremoor_refusals_total", &format!("\"{reason}\"")), 1.0);
    assert!(engine.calls().is_empty(), "nothing was run");
}

fn post(body: &'static str) -> RefusedCall {
    RefusedCall { method: Method::Post, path: CHAT_PATH, headers: "", body }
}

fn with_headers(headers: &'static str) -> RefusedCall {
    RefusedCall { headers, ..post(VALID) }
}

fn at(method: Method, path: &'static str) -> RefusedCall {
    RefusedCall { method, path, headers: "", body: "{}" }
}

const VALID: &str = r#"{"model":"assistant","messages":[{"role":"user","content":"hi"}]}"#;

cases! {
    no_key => check(with_headers("Authorization: Basic abc"), 401, "wrong-key");
    wrong_key => check(with_headers("Authorization: Bearer stolen"), 401, "wrong-key");
    empty_body => check(post(""), 400, "malformed-body");
    broken_json => check(post("{\"model\":"), 400, "malformed-body");
    json_array => check(post("[1, 2]"), 400, "malformed-body");
    no_model => check(post(r#"{"messages":[{}]}"#), 400, "malformed-body");
    no_messages => check(post(r#"{"model":"assistant","messages":[]}"#), 400, "malformed-body");
    text_messages => check(post(r#"{"model":"assistant","messages":["hi"]}"#), 400, "malformed-body");
    many_choices => check(
        post(r#"{"model":"assistant","messages":[{}],"n":2}"#), 400, "malformed-body");
    text_stream => check(
        post(r#"{"model":"assistant","messages":[{}],"stream":"yes"}"#), 400, "malformed-body");
    negative_limit => check(
        post(r#"{"model":"assistant","messages":[{}],"max_tokens":-1}"#), 400, "malformed-body");
    huge_limit => check(
        post(r#"{"model":"assistant","messages":[{}],"max_tokens":1e30}"#), 400, "malformed-body");
    zero_limit => check(
        post(r#"{"model":"assistant","messages":[{}],"max_completion_tokens":0}"#),
        400, "malformed-body");
    unknown_service => check(
        post(r#"{"model":"poet","messages":[{}]}"#), 404, "unknown-service");
    unknown_version => check(
        post(r#"{"model":"assistant@9","messages":[{}]}"#), 404, "unknown-model");
    plain_service_as_model => check(
        post(r#"{"model":"lookup","messages":[{}]}"#), 404, "unknown-model");
    body_over_its_limit => check(post(LONG), 413, "too-large");
    zero_timeout => check(with_headers("Samphiremoor-Timeout-Ms: 0"), 400, "bad-header");
    text_timeout => check(with_headers("Samphiremoor-Timeout-Ms: soon"), 400, "bad-header");
    unknown_path => check(at(Method::Get, "/v2/chat"), 404, "unknown-path");
    get_of_a_call => check(at(Method::Get, CHAT_PATH), 404, "unknown-path");
    unknown_plain_service => check(at(Method::Get, "/v1/services/radio/x"), 404, "unknown-service");
    model_as_plain_service => check(at(Method::Get, "/v1/services/assistant/x"), 404, "unknown-service");
    booking_without_key => check(
        at(Method::Post, "/v1/services/booking/slots"), 428, "missing-idempotency-key");
    booking_with_bad_key => check(
        RefusedCall { headers: "Idempotency-Key: a b", ..at(Method::Post, "/v1/services/booking/x") },
        400, "bad-header");
    unknown_request => check_attach(
        at(Method::Get, "/v1/requests/entry-x:1"), 404, "unknown-request");
    bad_last_event => check_attach(
        RefusedCall { headers: "Last-Event-ID: x", ..at(Method::Get, "/v1/requests/entry-x:1") },
        400, "bad-header");
    attach_with_wrong_key => check_attach(
        RefusedCall {
            headers: "Authorization: Bearer stolen",
            ..at(Method::Get, "/v1/requests/entry-x:1")
        },
        401, "wrong-key");
}

const LONG: &str = match std::str::from_utf8(&[b'x'; 1_001]) {
    Ok(text) => text,
    Err(_) => "",
};

#[test]
fn call_without_a_replica_is_answered_at_once() {
    let view = fixture::SharedView::new(&[], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let answer = TestCall::chat(daemon.entry.address(), "hi", true).whole_blocking();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.outcome.as_deref(), Some("not-run"));
    assert!(answer.json()["retry_after_ms"].as_u64().is_some());
}

#[test]
fn deadline_ends_a_call_that_is_silent_for_longer() {
    let engine = FakeEngine::start(3);
    engine.set_fault(fixture::upstream::EngineFault::SilentAfter(0));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.first_token_ms = time::Millis::new(20_000);
    });
    let call = TestCall::chat(daemon.entry.address(), "hi", true);
    let answer = call.header("Samphiremoor-Timeout-Ms", "200").whole_blocking();
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.problem(), "deadline-passed");
    assert_eq!(answer.outcome.as_deref(), Some("unknown"));
}

#[test]
fn work_is_taken_until_the_balancer_has_noticed_the_stop() {
    let engine = FakeEngine::start(3);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.grace_ms = time::Millis::new(3_600_000);
    });
    let address = daemon.entry.address();
    daemon.entry.stop();
    let probe = TestCall::new(address, Method::Get, "/readyz", "").whole_blocking();
    assert_eq!(probe.status, 503, "the balancer is told at once");
    let answer = async_std::task::block_on(TestCall::chat(address, "late", true).stream());
    assert!(answer.is_done);
    // The second signal ends the grace.
    daemon.entry.stop();
    async_std::task::block_on(daemon.entry.finish());
    assert!(!daemon.entry.core().takes_work());
}

#[test]
fn calls_over_the_limit_are_refused() {
    let engine = FakeEngine::start(3);
    engine.set_fault(fixture::upstream::EngineFault::Slow(100));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.callers.max_in_progress = 1;
    });
    let address = daemon.entry.address();
    let first = async_std::task::spawn(TestCall::chat(address, "first", true).stream());
    fixture::wait_until("the first call runs", || !engine.calls().is_empty());
    let answer = TestCall::chat(address, "second", true).whole_blocking();
    assert_eq!(answer.problem(), "too-many-requests");
    assert!(async_std::task::block_on(first).is_done);
}

#[test]
fn probes_answer_without_a_key() {
    let engine = FakeEngine::start(3);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let address = daemon.entry.address();
    let probe = |path| TestCall::new(address, Method::Get, path, "").whole_blocking();
    assert_eq!(probe("/healthz").status, 200);
    assert_eq!(probe("/readyz").status, 200);
    let metrics = probe("/metrics").text;
    assert!(metrics.contains("samphiremoor_revision_in_force 7"), "{metrics}");
    daemon.entry.stop();
    assert_eq!(probe("/readyz").status, 503);
    assert_eq!(probe("/healthz").status, 200);
    let refused = TestCall::chat(address, "late", true).whole_blocking();
    assert_eq!(refused.problem(), "stopping");
    assert!(refused.json()["retry_after_ms"].as_u64().is_some());
}
