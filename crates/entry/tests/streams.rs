//! Streams over failing replicas: whole, once, in order.

mod fixture;

use async_std::task;
use fixture::caller::TestCall;
use fixture::upstream;
use fixture::upstream::EngineFault;
use fixture::upstream::FakeEngine;
use samphiremoor_base::cases;

const LENGTH: u64 = 12;

/// Two engines, the first of which has a fault; the answer must be whole all the same.
fn check(fault: EngineFault, expected_moves: f64) {
    call_count(fault, expected_moves);
}

/// The same where the faulty engine must be called once more, and the sound one not at all.
fn check_dialled_anew(fault: EngineFault) {
    assert_eq!(call_count(fault, 1.0), (2, 0), "calls of the faulty and the sound engine");
}

/// Streams over two engines, the first of which has a fault; gives the calls of each.
fn call_count(fault: EngineFault, expected_moves: f64) -> (usize, usize) {
    let faulty = FakeEngine::start(LENGTH);
    let sound = FakeEngine::start(LENGTH);
    faulty.set_fault(fault);
    let view = fixture::SharedView::new(&[faulty.address(), sound.address()], &[]);
    // The faulty engine is the less loaded one and so is chosen first.
    view.change(|view| view.replicas[1].load.running = 9);
    let daemon = fixture::TestDaemon::start(&view);
    let call = TestCall::chat(daemon.entry.address(), "hello", true);
    let answer = task::block_on(call.stream());
    assert!(!faulty.calls().is_empty());
    assert_eq!(answer.text(), upstream::whole_text("hello", LENGTH));
    let ids: Vec<u64> = answer.tokens.iter().map(|token| token.id).collect();
    assert_eq!(ids, (0..LENGTH).collect::<Vec<_>>());
    assert_eq!(answer.finish_reason.as_deref(), Some("stop"));
    assert!(answer.is_done, "{answer:?}");
    assert_eq!(daemon.metric("samphiremoor_moved_streams_total", ""), expected_moves);
    assert_eq!(daemon.metric("samphiremoor_requests_total", "complete"), 1.0);
    (faulty.calls().len(), sound.calls().len())
}

cases! {
    sound_stream_is_whole => check(EngineFault::None, 0.0);
    closed_at_the_start => check(EngineFault::CloseAfter(0), 0.0);
    closed_in_the_middle => check(EngineFault::CloseAfter(5), 1.0);
    silent_connection_is_dialled_anew => check_dialled_anew(EngineFault::SilentOnceAfter(5));
    silent_replica_is_left => check(EngineFault::SilentAfter(5), 2.0);
    refused_without_a_run => check(EngineFault::Refuse, 0.0);
    server_error => check(EngineFault::ServerError, 0.0);
    gap_moves_the_stream => check(EngineFault::SkipToken(5), 1.0);
    duplicate_is_dropped => check(EngineFault::RepeatToken(5), 0.0);
    crossed_answer_is_dropped => check(EngineFault::Crossed, 0.0);
    answer_to_another_request => check(EngineFault::WrongHead, 0.0);
}

#[test]
fn whole_answer_survives_a_closed_connection() {
    let faulty = FakeEngine::start(LENGTH);
    let sound = FakeEngine::start(LENGTH);
    faulty.set_fault(EngineFault::CloseAfter(3));
    let view = fixture::SharedView::new(&[faulty.address(), sound.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let address = daemon.entry.address();
    for _ in 0..4 {
        let answer = TestCall::chat(address, "whole", false).whole_blocking();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.outcome.as_deref(), Some("complete"));
        assert_eq!(answer.chat_text(), upstream::whole_text("whole", LENGTH));
    }
}

/// Moves a stream from an engine that is announced to leave; the cache goes along or not.
fn check_leaving(min_tokens: u64, expected_paths: &[&str]) {
    let leaving = FakeEngine::start(200);
    let next = FakeEngine::start(200);
    leaving.set_fault(EngineFault::Slow(10));
    let view = fixture::SharedView::new(&[leaving.address(), next.address()], &[]);
    view.change(|view| view.replicas[1].load.running = 9);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.leave_grace_ms = samphiremoor_base::time::Millis::new(1);
        settings.upstreams.kv_transfer_min_tokens =
            samphiremoor_base::quantity::TokenCount::new(min_tokens);
    });
    let reading = task::spawn(TestCall::chat(daemon.entry.address(), "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        let kept = daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.token_count().get() > 2)
    });
    view.change(|view| view.replicas[0].state = samphiremoor_view::zone::UpstreamState::Leaving);
    let answer = task::block_on(reading);
    assert_eq!(answer.text(), upstream::whole_text("hello", 200));
    assert!(answer.is_done);
    let paths = [leaving.paths(), next.paths()].concat();
    let moved: Vec<_> = paths.iter().filter(|path| path.starts_with("/kv")).collect();
    assert_eq!(moved, expected_paths);
    assert_eq!(daemon.metric("samphiremoor_moved_streams_total", ""), 1.0);
    assert!(daemon.metric("samphiremoor_recomputed_tokens_total", "") > 0.0);
}

cases! {
    leaving_replica_exports_its_cache => check_leaving(1, &["/kv/export", "/kv/import"]);
    short_stream_is_computed_again => check_leaving(100_000, &[]);
}

#[test]
fn leaving_replica_gets_no_new_call() {
    let leaving = FakeEngine::start(LENGTH);
    let staying = FakeEngine::start(LENGTH);
    let view = fixture::SharedView::new(&[leaving.address(), staying.address()], &[]);
    // The leaving engine is the less loaded one and so would be chosen first.
    view.change(|view| {
        view.replicas[0].state = samphiremoor_view::zone::UpstreamState::Leaving;
        view.replicas[1].load.running = 9;
    });
    let daemon = fixture::TestDaemon::start(&view);
    daemon.wait_for_view();
    for _ in 0..4 {
        let answer = TestCall::chat(daemon.entry.address(), "hello", false).whole_blocking();
        assert_eq!(answer.chat_text(), upstream::whole_text("hello", LENGTH));
    }
    assert!(leaving.calls().is_empty(), "a leaving replica was called");
}
