//! Callers that attach again, at the same daemon and at others.

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

const LENGTH: u64 = 12;

fn attach(address: net::SocketAddr, id: &str, key: &str) -> TestCall {
    TestCall::new(address, Method::Get, &format!("/v1/requests/{id}"), key)
}

/// Starts a slow stream and leaves it after a few tokens.
fn start_and_leave(daemon: &fixture::TestDaemon, engine: &FakeEngine) -> caller::StreamAnswer {
    engine.set_fault(EngineFault::Slow(20));
    let call = TestCall::chat(daemon.entry.address(), "hello", true);
    task::block_on(async { caller::read_stream(call.send().await, 3).await })
}

/// Attaches at the daemon after the last token of `before`; both parts make the whole answer.
fn check_rest(address: net::SocketAddr, before: &caller::StreamAnswer) {
    let last = before.tokens.last().expect("a token came").id.to_string();
    let call = attach(address, &before.request_id, fixture::KEY).header("Last-Event-ID", &last);
    let rest = task::block_on(call.stream());
    assert_eq!(before.text() + &rest.text(), upstream::whole_text("hello", LENGTH));
    assert_eq!(rest.request_id, before.request_id);
    assert!(rest.is_done);
}

#[test]
fn caller_attaches_at_its_daemon() {
    let engine = FakeEngine::start(LENGTH);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let before = start_and_leave(&daemon, &engine);
    check_rest(daemon.entry.address(), &before);
    assert_eq!(engine.calls().len(), 1, "the stream went on meanwhile");
}

#[test]
fn caller_attaches_at_a_daemon_of_another_zone() {
    let engine = FakeEngine::start(LENGTH);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start(&view);
    let other = fixture::TestDaemon::start_with(&view, |settings| {
        settings.zone = fixture::parsed("zone-b");
    });
    let before = start_and_leave(&owner, &engine);
    check_rest(other.entry.address(), &before);
    // Once more, now that the answer is whole.
    check_rest(other.entry.address(), &before);
    assert_eq!(engine.calls().len(), 1);
}

#[test]
fn relayed_stream_outlives_a_pause_by_its_heartbeats() {
    let engine = FakeEngine::start(4);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let short = |settings: &mut samphiremoor_entry::settings::EntrySettings| {
        settings.callers.heartbeat_ms = samphiremoor_base::time::Millis::new(20);
        settings.upstreams.first_token_ms = samphiremoor_base::time::Millis::new(20_000);
        settings.upstreams.silence_ms = samphiremoor_base::time::Millis::new(20_000);
    };
    let owner = fixture::TestDaemon::start_with(&view, short);
    let other = fixture::TestDaemon::start_with(&view, short);
    // The pause between two tokens is longer than the relaying daemon bears without heartbeats.
    engine.set_fault(EngineFault::Slow(300));
    let call = TestCall::chat(owner.entry.address(), "hello", true);
    let before = task::block_on(async { caller::read_stream(call.send().await, 1).await });
    let last = before.tokens[0].id.to_string();
    let call = attach(other.entry.address(), &before.request_id, fixture::KEY);
    let rest = task::block_on(call.header("Last-Event-ID", &last).stream());
    assert_eq!(before.text() + &rest.text(), upstream::whole_text("hello", 4));
    assert!(rest.is_done);
}

#[test]
fn request_of_another_workspace_is_as_if_absent() {
    let engine = FakeEngine::start(LENGTH);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start(&view);
    let other = fixture::TestDaemon::start(&view);
    owner.wait_for_view();
    let before = start_and_leave(&owner, &engine);
    let absent = format!("{}0", before.request_id);
    for daemon in [&owner, &other] {
        let address = daemon.entry.address();
        let foreign = attach(address, &before.request_id, fixture::OTHER_KEY).whole_blocking();
        let missing = attach(address, &absent, fixture::OTHER_KEY).whole_blocking();
        assert_eq!(foreign.status, 404);
        assert_eq!(foreign.text, missing.text, "the answers can't be told apart");
        assert_eq!(foreign.outcome, missing.outcome);
    }
}

#[test]
fn unreachable_owner_is_said_to_be_so() {
    let engine = FakeEngine::start(LENGTH);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    view.change(|view| {
        let absent = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut gone = view.daemons[0].clone();
        gone.id = fixture::parsed("entry-gone");
        gone.http_address = absent;
        gone.peer_address = absent;
        view.daemons.push(gone);
    });
    daemon.wait_for_view();
    let answer = attach(daemon.entry.address(), "entry-gone:1", fixture::KEY).whole_blocking();
    assert_eq!(answer.problem(), "owner-unreachable");
    assert_eq!(answer.outcome.as_deref(), Some("unknown"), "the request may have been run");
    assert_eq!(answer.request_id.as_deref(), Some("entry-gone:1"));
    assert!(answer.json()["retry_after_ms"].as_u64().is_some());
}

/// A stream of one token that breaks off.
const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    samphiremoor-request-id: entry-gone:1\r\ntransfer-encoding: chunked\r\n\r\n\
    56\r\nid: 0\ndata: {\"id\":\"entry-gone:1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n\r\n";

#[test]
fn relayed_stream_that_breaks_off_ends_with_an_error() {
    let owner = fixture::upstream::FakeService::start(Some(BROKEN_STREAM));
    let view = fixture::SharedView::new(&[], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    view.change(|view| {
        let mut gone = view.daemons[0].clone();
        gone.id = fixture::parsed("entry-gone");
        gone.http_address = owner.address();
        view.daemons.push(gone);
    });
    daemon.wait_for_view();
    let call = attach(daemon.entry.address(), "entry-gone:1", fixture::KEY);
    let answer = task::block_on(call.stream());
    assert_eq!(answer.text(), "one ");
    assert!(!answer.is_done);
    let error = answer.error.expect("the stream ends with an error event");
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
    let before = start_and_leave(&daemon, &engine);
    fixture::wait_until("the engine is told", || {
        engine.paths().contains(&format!("/v1/requests/{}/cancel", before.request_id))
    });
    let answer = attach(daemon.entry.address(), &before.request_id, fixture::KEY);
    let rest = task::block_on(answer.stream());
    assert_eq!(rest.error.unwrap()["type"], "urn:samphiremoor:problem:abandoned");
}

/// Stops the daemon twice, as two signals do, and waits for its end.
fn stop_by_force(daemon: &fixture::TestDaemon) {
    daemon.entry.stop();
    daemon.entry.stop();
    task::block_on(daemon.entry.finish());
}

#[test]
fn stopped_daemon_hands_its_streams_over() {
    let engine = FakeEngine::start(LENGTH);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start(&view);
    let other = fixture::TestDaemon::start(&view);
    owner.wait_for_view();
    engine.set_fault(EngineFault::Slow(20));
    let address = owner.entry.address();
    let reading = task::spawn(TestCall::chat(address, "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        owner.entry.core().registry.in_progress().iter().any(|kept| kept.token_count().get() > 2)
    });
    stop_by_force(&owner);
    let before = task::block_on(reading);
    let error = before.error.clone().expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(error["request_id"], before.request_id.as_str());
    assert!(!before.is_done);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Gone);
    other.wait_for_view();
    check_rest(other.entry.address(), &before);
    assert_eq!(owner.metric("samphiremoor_handed_over_total", ""), 1.0);
}

#[test]
fn silent_peers_do_not_hold_up_the_hand_over() {
    let engine = FakeEngine::start(1_000);
    let silent = fixture::upstream::FakeService::start(None);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.hand_over_ms = samphiremoor_base::time::Millis::new(100);
        // One link to a silent peer takes longer than the whole test may.
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
    let reading = task::spawn(TestCall::chat(owner.entry.address(), "hello", true).stream());
    fixture::wait_until("the stream has begun", || {
        owner.entry.core().registry.in_progress().iter().any(|kept| kept.token_count().get() > 2)
    });
    stop_by_force(&owner);
    let answer = task::block_on(reading);
    assert!(!answer.is_done);
    let error = answer.error.expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(error["type"], "urn:samphiremoor:problem:stopping");
}

#[test]
fn plain_call_that_is_cut_by_force_is_told_unknown() {
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
    let calling = task::spawn(call.whole());
    fixture::wait_until("the service is called", || service.count() > 0);
    stop_by_force(&daemon);
    let answer = task::block_on(calling);
    assert_eq!(answer.problem(), "stopping");
    assert_eq!(answer.outcome.as_deref(), Some("unknown"));
}

#[test]
fn stream_is_handed_over_twice() {
    let engine = FakeEngine::start(40);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemons: Vec<_> = (0..3).map(|_| fixture::TestDaemon::start(&view)).collect();
    daemons.iter().for_each(fixture::TestDaemon::wait_for_view);
    let before = start_and_leave(&daemons[0], &engine);
    let keeps = |daemon: &fixture::TestDaemon| {
        let kept = daemon.entry.core().registry.in_progress();
        kept.iter().any(|kept| kept.head.id.as_str() == before.request_id)
    };
    stop_by_force(&daemons[0]);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Gone);
    daemons.iter().skip(1).for_each(fixture::TestDaemon::wait_for_view);
    let second = (1..3).find(|index| keeps(&daemons[*index])).expect("a peer took it");
    stop_by_force(&daemons[second]);
    view.change(|view| view.daemons[second].state = zone::UpstreamState::Gone);
    let third = &daemons[3 - second];
    third.wait_for_view();
    let last = before.tokens.last().expect("a token came").id.to_string();
    let call = attach(third.entry.address(), &before.request_id, fixture::KEY);
    let rest = task::block_on(call.header("Last-Event-ID", &last).stream());
    assert_eq!(before.text() + &rest.text(), upstream::whole_text("hello", 40));
    assert!(rest.is_done);
}

#[test]
fn planned_stop_finishes_what_is_in_progress() {
    let engine = FakeEngine::start(LENGTH);
    engine.set_fault(EngineFault::Slow(20));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start(&view);
    let address = daemon.entry.address();
    let reading = task::spawn(TestCall::chat(address, "hello", true).stream());
    fixture::wait_until("the call runs", || !engine.calls().is_empty());
    daemon.entry.stop();
    let verdict = task::block_on(daemon.entry.finish());
    assert_eq!(verdict, samphiremoor_entry::daemon::StopVerdict::Finished);
    let answer = task::block_on(reading);
    assert_eq!(answer.text(), upstream::whole_text("hello", LENGTH));
    assert!(answer.is_done);
}

#[test]
fn drained_vm_finishes_what_is_in_progress() {
    let engine = FakeEngine::start(LENGTH);
    engine.set_fault(EngineFault::Slow(20));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.reclaim_ms = samphiremoor_base::time::Millis::new(50);
    });
    let address = daemon.entry.address();
    let reading = task::spawn(TestCall::chat(address, "hello", true).stream());
    fixture::wait_until("the call runs", || !engine.calls().is_empty());
    view.change(|view| {
        view.daemons[0].state = zone::UpstreamState::Leaving;
        view.own_stop = Some(zone::StopCause::Drain);
    });
    task::block_on(daemon.entry.core().stopping.triggered());
    let verdict = task::block_on(daemon.entry.finish());
    assert_eq!(verdict, samphiremoor_entry::daemon::StopVerdict::Finished);
    let answer = task::block_on(reading);
    assert_eq!(answer.text(), upstream::whole_text("hello", LENGTH));
    assert!(answer.is_done);
}

#[test]
fn notice_for_the_vm_hands_the_streams_over() {
    let engine = FakeEngine::start(1_000);
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let owner = fixture::TestDaemon::start_with(&view, |settings| {
        settings.stop.reclaim_ms = samphiremoor_base::time::Millis::new(50);
    });
    let other = fixture::TestDaemon::start(&view);
    owner.wait_for_view();
    let before = start_and_leave(&owner, &engine);
    view.change(|view| view.daemons[0].state = zone::UpstreamState::Leaving);
    task::block_on(owner.entry.core().stopping.triggered());
    let verdict = task::block_on(owner.entry.finish());
    assert_eq!(verdict, samphiremoor_entry::daemon::StopVerdict::Forced);
    engine.set_fault(EngineFault::None);
    let kept = other.entry.core().registry.in_progress();
    assert_eq!(kept.len(), 1);
    assert_eq!(kept[0].head.id.as_str(), before.request_id);
}
