//! Callers that reattach to a request at the same daemon or at another one, and hand-over of
//! requests.

mod fixture;

use std::net;

use async_std::task;
use fixture::caller;
use fixture::caller::TestCall;
use fixture::upstream;
use fixture::upstream::EngineFault;
use fixture::upstream::FakeEngine;
use http_types::Method;
use samphiremoor_view::zone;

const RESPONSE_TOKENS: u64 = 12;

fn attach(address: net::SocketAddr, id: &str, key: &str) -> TestCall {
    TestCall::new(address, Method::Get, &format!("/v1/requests/{id}"), key)
}

/// Starts a slow stream and disconnects after a few tokens.
fn start_and_disconnect(
    daemon: &fixture::TestDaemon,
    engine: &FakeEngine,
) -> caller::StreamResponse {
    engine.set_fault(EngineFault::Slow(20));
    let call = TestCall::chat(daemon.entry.address(), "hello", true);
    task::block_on(async { caller::read_stream(call.send().await, 3).await })
}

/// Reattaches at the daemon after the last token of `first_part`, and expects the rest of the
/// response.
fn check_remaining(address: net::SocketAddr, first_part: &caller::StreamResponse) {
    let last = first_part.tokens.last().expect("a token came").id.to_string();
    let call = attach(address, &first_part.request_id, fixture::KEY).header("Last-Event-ID", &last);
    let remaining = task::block_on(call.stream());
    assert_eq!(
        first_part.text() + &remaining.text(),
        upstream::full_text("hello", RESPONSE_TOKENS)
    );
    assert_eq!(remaining.request_id, first_part.request_id);
    assert!(remaining.is_done);
}

#[test]
fn caller_reattaches_at_its_daemon() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let first_part = start_and_disconnect(&daemon, &engine);
    check_remaining(daemon.entry.address(), &first_part);
    assert_eq!(engine.calls().len(), 1, "the stream went on meanwhile");
}

#[test]
fn caller_reattaches_at_daemon_of_another_zone() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start(&view);
    let other = fixture::TestDaemon::start_with(&view, |settings| {
        settings.zone = fixture::parsed("zone-b");
    });
    let first_part = start_and_disconnect(&owner, &engine);
    check_remaining(other.entry.address(), &first_part);
    // Reattaches again, after the end of the response.
    check_remaining(other.entry.address(), &first_part);
    assert_eq!(engine.calls().len(), 1);
}

#[test]
fn heartbeats_keep_relayed_stream_open_during_pause() {
    let engine = FakeEngine::start(4);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let set_short_heartbeat = |settings: &mut samphiremoor_entry::settings::EntrySettings| {
        settings.callers.heartbeat_ms = samphiremoor_base::time::Millis::new(20);
        settings.upstreams.first_token_ms = samphiremoor_base::time::Millis::new(20_000);
        settings.upstreams.silence_ms = samphiremoor_base::time::Millis::new(20_000);
    };
    let owner = fixture::TestDaemon::start_with(&view, set_short_heartbeat);
    let other = fixture::TestDaemon::start_with(&view, set_short_heartbeat);
    // The pause between two tokens exceeds the relaying daemon's limit for a stream without
    // heartbeats.
    engine.set_fault(EngineFault::Slow(300));
    let call = TestCall::chat(owner.entry.address(), "hello", true);
    let first_part = task::block_on(async { caller::read_stream(call.send().await, 1).await });
    let last = first_part.tokens[0].id.to_string();
    let call = attach(other.entry.address(), &first_part.request_id, fixture::KEY);
    let remaining = task::block_on(call.header("Last-Event-ID", &last).stream());
    assert_eq!(first_part.text() + &remaining.text(), upstream::full_text("hello", 4));
    assert!(remaining.is_done);
}

#[test]
fn request_of_another_workspace_is_reported_unknown() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start(&view);
    let other = fixture::TestDaemon::start(&view);
    owner.wait_for_view();
    let first_part = start_and_disconnect(&owner, &engine);
    let unused = format!("{}0", first_part.request_id);
    for daemon in [&owner, &other] {
        let address = daemon.entry.address();
        let foreign_response =
            attach(address, &first_part.request_id, fixture::OTHER_KEY).full_blocking();
        let missing_response = attach(address, &unused, fixture::OTHER_KEY).full_blocking();
        assert_eq!(foreign_response.status, 404);
        assert_eq!(
            foreign_response.text, missing_response.text,
            "the two responses must be identical"
        );
        assert_eq!(foreign_response.outcome, missing_response.outcome);
    }
}

#[test]
fn unreachable_owner_is_reported() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    view.change(|view| {
        let unused = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut removed = view.daemons[0].clone();
        removed.id = fixture::parsed("entry-gone");
        removed.http_address = unused;
        removed.peer_address = unused;
        view.daemons.push(removed);
    });
    daemon.wait_for_view();
    let response = attach(daemon.entry.address(), "entry-gone:1", fixture::KEY).full_blocking();
    assert_eq!(response.problem(), "owner-unreachable");
    assert_eq!(response.outcome.as_deref(), Some("unknown"), "the request may have been run");
    assert_eq!(response.request_id.as_deref(), Some("entry-gone:1"));
    assert!(response.json()["retry_after_ms"].as_u64().is_some());
}

/// A stream that ends after one token without a finish reason.
const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    samphiremoor-request-id: entry-gone:1\r\ntransfer-encoding: chunked\r\n\r\n\
    56\r\nid: 0\ndata: {\"id\":\"entry-gone:1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n\r\n";

#[test]
fn interrupted_relayed_stream_ends_with_error() {
    let owner = fixture::upstream::FakeService::start(Some(BROKEN_STREAM));
    let view = fixture::SharedView::new(&[], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    view.change(|view| {
        let mut removed = view.daemons[0].clone();
        removed.id = fixture::parsed("entry-gone");
        removed.http_address = owner.address();
        view.daemons.push(removed);
    });
    daemon.wait_for_view();
    let call = attach(daemon.entry.address(), "entry-gone:1", fixture::KEY);
    let response = task::block_on(call.stream());
    assert_eq!(response.text(), "one ");
    assert!(!response.is_done);
    let error = response.error.expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(error["request_id"], "entry-gone:1");
}

#[test]
fn abandoned_stream_is_cancelled() {
    let engine = FakeEngine::start(1_000);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.kept.abandon_after_ms = samphiremoor_base::time::Millis::new(50);
    });
    let first_part = start_and_disconnect(&daemon, &engine);
    fixture::wait_until("the engine receives the cancellation", || {
        engine.paths().contains(&format!("/v1/requests/{}/cancel", first_part.request_id))
    });
    let call = attach(daemon.entry.address(), &first_part.request_id, fixture::KEY);
    let remaining = task::block_on(call.stream());
    assert_eq!(remaining.error.unwrap()["type"], "urn:samphiremoor:problem:abandoned");
}

/// Forces a stop by stopping the daemon twice, as two signals do, and waits until it has shut down.
fn force_stop(daemon: &fixture::TestDaemon) {
    daemon.entry.stop();
    daemon.entry.stop();
    task::block_on(daemon.entry.finish());
}

#[test]
fn stopped_daemon_hands_over_its_streams() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start(&view);
    let other = fixture::TestDaemon::start(&view);
    owner.wait_for_view();
    engine.set_fault(EngineFault::Slow(20));
    let address = owner.entry.address();
    let stream_task = task::spawn(TestCall::chat(address, "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        owner.entry.core().registry.in_progress().iter().any(|kept| kept.token_count().get() > 2)
    });
    force_stop(&owner);
    let first_part = task::block_on(stream_task);
    let error = first_part.error.clone().expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(error["request_id"], first_part.request_id.as_str());
    assert!(!first_part.is_done);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Gone);
    other.wait_for_view();
    check_remaining(other.entry.address(), &first_part);
    assert_eq!(owner.metric("samphiremoor_handed_over_total", ""), 1.0);
}

#[test]
fn silent_peers_do_not_delay_handover() {
    let engine = FakeEngine::start(1_000);
    let silent = fixture::upstream::FakeService::start(None);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.hand_over_ms = samphiremoor_base::time::Millis::new(100);
        // The timeout of a peer request exceeds the time limit of the test.
        settings.kept.peer_timeout_ms = samphiremoor_base::time::Millis::new(3_600_000);
    });
    view.change(|view| {
        let mut peer = view.daemons[0].clone();
        peer.id = fixture::parsed("entry-silent");
        peer.peer_address = silent.address();
        view.daemons.push(peer);
    });
    owner.wait_for_view();
    engine.set_fault(EngineFault::Slow(20));
    let stream_task = task::spawn(TestCall::chat(owner.entry.address(), "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        owner.entry.core().registry.in_progress().iter().any(|kept| kept.token_count().get() > 2)
    });
    force_stop(&owner);
    let response = task::block_on(stream_task);
    assert!(!response.is_done);
    let error = response.error.expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(error["type"], "urn:samphiremoor:problem:stopping");
}

#[test]
fn plain_call_aborted_by_forced_stop_is_reported_unknown() {
    let service = fixture::upstream::FakeService::start(None);
    let view = fixture::SharedView::new(&[], &[service.address()]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.answer_timeout_ms = samphiremoor_base::time::Millis::new(20_000);
        settings.stop.hand_over_ms = samphiremoor_base::time::Millis::new(50);
    });
    let call = TestCall::new(
        daemon.entry.address(),
        Method::Get,
        "/v1/services/lookup/orders/1",
        fixture::KEY,
    );
    let call_task = task::spawn(call.full());
    fixture::wait_until("the service is called", || service.count() > 0);
    force_stop(&daemon);
    let response = task::block_on(call_task);
    assert_eq!(response.problem(), "stopping");
    assert_eq!(response.outcome.as_deref(), Some("unknown"));
}

#[test]
fn stream_is_handed_over_twice() {
    let engine = FakeEngine::start(40);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemons: Vec<_> = (0..3).map(|_| fixture::TestDaemon::start(&view)).collect();
    daemons.iter().for_each(fixture::TestDaemon::wait_for_view);
    let first_part = start_and_disconnect(&daemons[0], &engine);
    let is_kept_by = |daemon: &fixture::TestDaemon| {
        let kept = daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.info.id.as_str() == first_part.request_id)
    };
    force_stop(&daemons[0]);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Gone);
    daemons.iter().skip(1).for_each(fixture::TestDaemon::wait_for_view);
    let second =
        (1..3).find(|index| is_kept_by(&daemons[*index])).expect("a peer took the stream over");
    force_stop(&daemons[second]);
    view.change(|view| view.daemons[second].state = zone::UpstreamState::Gone);
    let third = &daemons[3 - second];
    third.wait_for_view();
    let last = first_part.tokens.last().expect("a token came").id.to_string();
    let call = attach(third.entry.address(), &first_part.request_id, fixture::KEY);
    let remaining = task::block_on(call.header("Last-Event-ID", &last).stream());
    assert_eq!(first_part.text() + &remaining.text(), upstream::full_text("hello", 40));
    assert!(remaining.is_done);
}

#[test]
fn planned_stop_finishes_requests_in_progress() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    engine.set_fault(EngineFault::Slow(20));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let address = daemon.entry.address();
    let stream_task = task::spawn(TestCall::chat(address, "hello", true).stream());
    fixture::wait_until("the call runs", || !engine.calls().is_empty());
    daemon.entry.stop();
    let outcome = task::block_on(daemon.entry.finish());
    assert_eq!(outcome, samphiremoor_entry::daemon::StopOutcome::Finished);
    let response = task::block_on(stream_task);
    assert_eq!(response.text(), upstream::full_text("hello", RESPONSE_TOKENS));
    assert!(response.is_done);
}

#[test]
fn drained_vm_finishes_requests_in_progress() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    engine.set_fault(EngineFault::Slow(20));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.reclaim_ms = samphiremoor_base::time::Millis::new(50);
    });
    let address = daemon.entry.address();
    let stream_task = task::spawn(TestCall::chat(address, "hello", true).stream());
    fixture::wait_until("the call runs", || !engine.calls().is_empty());
    view.change(|view| {
        view.daemons[0].state = zone::UpstreamState::Leaving;
        view.own_stop = Some(zone::StopCause::Drain);
    });
    task::block_on(daemon.entry.core().stopping.triggered());
    let outcome = task::block_on(daemon.entry.finish());
    assert_eq!(outcome, samphiremoor_entry::daemon::StopOutcome::Finished);
    let response = task::block_on(stream_task);
    assert_eq!(response.text(), upstream::full_text("hello", RESPONSE_TOKENS));
    assert!(response.is_done);
}

#[test]
fn reclaim_notice_hands_over_streams() {
    let engine = FakeEngine::start(1_000);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.reclaim_ms = samphiremoor_base::time::Millis::new(50);
    });
    let other = fixture::TestDaemon::start(&view);
    owner.wait_for_view();
    let first_part = start_and_disconnect(&owner, &engine);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Leaving);
    task::block_on(owner.entry.core().stopping.triggered());
    let outcome = task::block_on(owner.entry.finish());
    assert_eq!(outcome, samphiremoor_entry::daemon::StopOutcome::Forced);
    engine.set_fault(EngineFault::None);
    let kept = other.entry.core().registry.in_progress();
    assert_eq!(kept.len(), 1);
    assert_eq!(kept[0].info.id.as_str(), first_part.request_id);
}
