//! Callers that reattach to a request at the same daemon or at another one, and handover of
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

/// Creates a call that reattaches to a request.
fn attach_call(address: net::SocketAddr, id: &str, key: &str) -> TestCall {
    TestCall::new(address, Method::Get, &format!("/v1/requests/{id}"), key)
}

/// Starts a slow stream and disconnects after three tokens.
fn start_and_disconnect(
    daemon: &fixture::TestDaemon,
    engine: &FakeEngine,
) -> caller::StreamResponse {
    engine.set_fault(EngineFault::PauseMs(20));
    let call = TestCall::chat(daemon.entry.address(), "hello", true);
    task::block_on(async { caller::read_stream(call.send().await, 3).await })
}

/// Reattaches at the daemon after the last token of `first_part`, and expects the rest of the
/// response.
fn check_remaining(address: net::SocketAddr, first_part: &caller::StreamResponse) {
    let last_id = first_part.tokens.last().expect("a token was received").id.to_string();
    let call = attach_call(address, &first_part.request_id, fixture::KEY)
        .header("Last-Event-ID", &last_id);
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
    assert_eq!(engine.calls().len(), 1, "the request is not dispatched again");
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
    engine.set_fault(EngineFault::PauseMs(300));
    let call = TestCall::chat(owner.entry.address(), "hello", true);
    let first_part = task::block_on(async { caller::read_stream(call.send().await, 1).await });
    let last_id = first_part.tokens[0].id.to_string();
    let call = attach_call(other.entry.address(), &first_part.request_id, fixture::KEY);
    let remaining = task::block_on(call.header("Last-Event-ID", &last_id).stream());
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
    let unused_id = format!("{}0", first_part.request_id);
    for daemon in [&owner, &other] {
        let address = daemon.entry.address();
        let foreign_response =
            attach_call(address, &first_part.request_id, fixture::OTHER_KEY).full_blocking();
        let missing_response = attach_call(address, &unused_id, fixture::OTHER_KEY).full_blocking();
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
        let unused_address = samphiremoor_testkit::free_address();
        let mut unreachable_owner = view.daemons[0].clone();
        unreachable_owner.id = fixture::parsed("entry-gone");
        unreachable_owner.http_address = unused_address;
        unreachable_owner.peer_address = unused_address;
        view.daemons.push(unreachable_owner);
    });
    daemon.wait_for_view();
    let response =
        attach_call(daemon.entry.address(), "entry-gone:1", fixture::KEY).full_blocking();
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
        let mut owner_view = view.daemons[0].clone();
        owner_view.id = fixture::parsed("entry-gone");
        owner_view.http_address = owner.address();
        view.daemons.push(owner_view);
    });
    daemon.wait_for_view();
    let call = attach_call(daemon.entry.address(), "entry-gone:1", fixture::KEY);
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
    let call = attach_call(daemon.entry.address(), &first_part.request_id, fixture::KEY);
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
    engine.set_fault(EngineFault::PauseMs(20));
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
    engine.set_fault(EngineFault::PauseMs(20));
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
    fixture::wait_until("the service is called", || service.call_count() > 0);
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
        let kept_requests = daemon.entry.core().registry.in_progress();
        kept_requests.iter().any(|kept| kept.info.id.as_str() == first_part.request_id)
    };
    force_stop(&daemons[0]);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Gone);
    daemons.iter().skip(1).for_each(fixture::TestDaemon::wait_for_view);
    let second_owner = (1..3)
        .find(|index| is_kept_by(&daemons[*index]))
        .expect("a peer has taken the stream over");
    force_stop(&daemons[second_owner]);
    view.change(|view| view.daemons[second_owner].state = zone::UpstreamState::Gone);
    // The indexes of the second and third owner are 1 and 2, in either order.
    let third_owner = &daemons[3 - second_owner];
    third_owner.wait_for_view();
    let last_id = first_part.tokens.last().expect("a token was received").id.to_string();
    let call = attach_call(third_owner.entry.address(), &first_part.request_id, fixture::KEY);
    let remaining = task::block_on(call.header("Last-Event-ID", &last_id).stream());
    assert_eq!(first_part.text() + &remaining.text(), upstream::full_text("hello", 40));
    assert!(remaining.is_done);
}

#[test]
fn planned_stop_finishes_requests_in_progress() {
    let engine = FakeEngine::start(RESPONSE_TOKENS);
    engine.set_fault(EngineFault::PauseMs(20));
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
    engine.set_fault(EngineFault::PauseMs(20));
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
    let kept_requests = other.entry.core().registry.in_progress();
    assert_eq!(kept_requests.len(), 1);
    assert_eq!(kept_requests[0].info.id.as_str(), first_part.request_id);
}
