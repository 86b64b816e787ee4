//! Streams over failing replicas deliver every token exactly once and in order.

mod fixture;

use async_std::task;
use fixture::caller::TestCall;
use fixture::upstream;
use fixture::upstream::EngineFault;
use fixture::upstream::FakeEngine;
use samphiremoor_base::cases;

const RESPONSE_TOKENS: u64 = 12;

/// Expects a full response although the first of two engines has a fault.
fn check(fault: EngineFault, expected_moves: f64) {
    run_stream(fault, expected_moves);
}

/// Expects a second call to the faulty engine and none to the healthy one.
fn check_reopened(fault: EngineFault) {
    assert_eq!(run_stream(fault, 1.0), (2, 0), "calls of the faulty and the healthy engine");
}

/// Streams a response over two engines, the first of which has a fault, and returns the number of
/// calls of each.
fn run_stream(fault: EngineFault, expected_moves: f64) -> (usize, usize) {
    let faulty = FakeEngine::start(RESPONSE_TOKENS);
    let healthy = FakeEngine::start(RESPONSE_TOKENS);
    faulty.set_fault(fault);
    let view = fixture::SharedView::new(&[faulty.address(), healthy.address()], &[]);
    // The faulty engine is less loaded, so it is selected first.
    view.change(|view| view.replicas[1].load.running = 9);
    let daemon = fixture::TestDaemon::start(&view);
    let call = TestCall::chat(daemon.entry.address(), "hello", true);
    let response = task::block_on(call.stream());
    assert!(!faulty.calls().is_empty());
    assert_eq!(response.text(), upstream::full_text("hello", RESPONSE_TOKENS));
    let ids: Vec<u64> = response.tokens.iter().map(|token| token.id).collect();
    assert_eq!(ids, (0..RESPONSE_TOKENS).collect::<Vec<_>>());
    assert_eq!(response.finish_reason.as_deref(), Some("stop"));
    assert!(response.is_done, "{response:?}");
    assert_eq!(daemon.metric("samphiremoor_moved_streams_total", ""), expected_moves);
    assert_eq!(daemon.metric("samphiremoor_requests_total", "complete"), 1.0);
    (faulty.calls().len(), healthy.calls().len())
}

cases! {
    healthy_replica_streams_all_tokens => check(EngineFault::None, 0.0);
    connection_closed_before_first_token => check(EngineFault::CloseAfter(0), 0.0);
    connection_closed_mid_stream => check(EngineFault::CloseAfter(5), 1.0);
    silent_connection_is_reopened => check_reopened(EngineFault::SilentOnceAfter(5));
    stream_leaves_silent_replica => check(EngineFault::SilentAfter(5), 2.0);
    refusal_as_not_run => check(EngineFault::Refuse, 0.0);
    server_error => check(EngineFault::ServerError, 0.0);
    token_gap_moves_stream => check(EngineFault::SkipToken(5), 1.0);
    duplicate_token_is_dropped => check(EngineFault::RepeatToken(5), 0.0);
    chunk_of_another_response_is_dropped => check(EngineFault::CrossedResponse, 0.0);
    response_to_another_request => check(EngineFault::WrongHead, 0.0);
}

#[test]
fn full_response_survives_closed_connection() {
    let faulty = FakeEngine::start(RESPONSE_TOKENS);
    let healthy = FakeEngine::start(RESPONSE_TOKENS);
    faulty.set_fault(EngineFault::CloseAfter(3));
    let view = fixture::SharedView::new(&[faulty.address(), healthy.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let address = daemon.entry.address();
    for _ in 0..4 {
        let response = TestCall::chat(address, "whole", false).full_blocking();
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.outcome.as_deref(), Some("complete"));
        assert_eq!(response.chat_text(), upstream::full_text("whole", RESPONSE_TOKENS));
    }
}

/// Starts a stream on an engine that then leaves, and expects the stream to migrate with these KV
/// cache calls.
fn check_leaving(kv_transfer_min_tokens: u64, expected_paths: &[&str]) {
    let leaving = FakeEngine::start(200);
    let successor = FakeEngine::start(200);
    leaving.set_fault(EngineFault::PauseMs(10));
    let view = fixture::SharedView::new(&[leaving.address(), successor.address()], &[]);
    view.change(|view| view.replicas[1].load.running = 9);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.leave_grace_ms = samphiremoor_base::time::Millis::new(1);
        settings.upstreams.kv_transfer_min_tokens =
            samphiremoor_base::quantity::TokenCount::new(kv_transfer_min_tokens);
    });
    let stream_task = task::spawn(TestCall::chat(daemon.entry.address(), "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        let kept = daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.token_count().get() > 2)
    });
    view.change(|view| view.replicas[0].state = samphiremoor_view::zone::UpstreamState::Leaving);
    let response = task::block_on(stream_task);
    assert_eq!(response.text(), upstream::full_text("hello", 200));
    assert!(response.is_done);
    let paths = [leaving.paths(), successor.paths()].concat();
    let kv_paths: Vec<_> = paths.iter().filter(|path| path.starts_with("/kv")).collect();
    assert_eq!(kv_paths, expected_paths);
    assert_eq!(daemon.metric("samphiremoor_moved_streams_total", ""), 1.0);
    assert!(daemon.metric("samphiremoor_recomputed_tokens_total", "") > 0.0);
}

cases! {
    leaving_replica_exports_kv_cache => check_leaving(1, &["/kv/export", "/kv/import"]);
    short_stream_is_recomputed => check_leaving(100_000, &[]);
}

// The successor begins to leave while the KV cache is transferred to it.
#[test]
fn stream_does_not_migrate_to_a_replica_that_leaves_during_the_transfer() {
    let [leaving, successor, third] = [200, 200, 200].map(FakeEngine::start);
    leaving.set_fault(EngineFault::PauseMs(10));
    leaving.set_other_pause(500);
    let addresses = [leaving.address(), successor.address(), third.address()];
    let view = fixture::SharedView::new(&addresses, &[]);
    view.change(|view| {
        view.replicas[1].load.running = 9;
        view.replicas[2].state = samphiremoor_view::zone::UpstreamState::Joining;
    });
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.leave_grace_ms = samphiremoor_base::time::Millis::new(1);
        settings.upstreams.kv_transfer_min_tokens = samphiremoor_base::quantity::TokenCount::new(1);
    });
    let stream_task = task::spawn(TestCall::chat(daemon.entry.address(), "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        let kept = daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.token_count().get() > 2)
    });
    view.change(|view| view.replicas[0].state = samphiremoor_view::zone::UpstreamState::Leaving);
    fixture::wait_until("the transfer has begun", || !leaving.queries().concat().is_empty());
    view.change(|view| {
        view.replicas[1].state = samphiremoor_view::zone::UpstreamState::Leaving;
        view.replicas[2].state = samphiremoor_view::zone::UpstreamState::Live;
    });
    let response = task::block_on(stream_task);
    assert_eq!(response.text(), upstream::full_text("hello", 200));
    assert!(response.is_done);
    assert!(successor.calls().is_empty(), "the stream went on at a leaving replica");
}

#[test]
fn leaving_replica_gets_no_new_call() {
    let leaving = FakeEngine::start(RESPONSE_TOKENS);
    let staying = FakeEngine::start(RESPONSE_TOKENS);
    let view = fixture::SharedView::new(&[leaving.address(), staying.address()], &[]);
    // The leaving engine is less loaded, so it would be selected first.
    view.change(|view| {
        view.replicas[0].state = samphiremoor_view::zone::UpstreamState::Leaving;
        view.replicas[1].load.running = 9;
    });
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_view();
    for _ in 0..4 {
        let response = TestCall::chat(daemon.entry.address(), "hello", false).full_blocking();
        assert_eq!(response.chat_text(), upstream::full_text("hello", RESPONSE_TOKENS));
    }
    assert!(leaving.calls().is_empty(), "a leaving replica was called");
}
