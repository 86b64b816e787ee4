//! Exchanges over loopback.

use std::net;
use std::sync;
use std::sync::mpsc;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_peers::client;
use samphiremoor_peers::server;

/// Answers each number with its double.
struct DoublingHandler;

impl server::PeerHandler for DoublingHandler {
    type Request = u64;
    type Response = u64;

    fn handle(&self, question: u64) -> server::ResponseFuture<u64> {
        Box::pin(async move { question * 2 })
    }
}

#[test]
fn concurrent_calls_get_their_own_answers() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let _server = server::PeerServer::start(address, handler).expect("the server starts");
    let link = sync::Arc::new(client::PeerClient::new(address, time::Millis::new(2_000)));
    let calls: Vec<_> = (0..200_u64)
        .map(|number| {
            let link = link.clone();
            task::spawn(async move { (number, link.call::<u64, u64>(&number).await) })
        })
        .collect();
    for call in calls {
        let (number, answer) = task::block_on(call);
        assert_eq!(answer, Ok(number * 2));
    }
}

#[test]
fn absent_daemon_is_unreachable() {
    let link =
        client::PeerClient::new(samphiremoor_testkit::free_address(), time::Millis::new(200));
    let answer = task::block_on(link.call::<u64, u64>(&1));
    assert_eq!(answer, Err(client::PeerError::Unreachable));
}

#[test]
fn restarted_daemon_is_dialled_anew() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let first = server::PeerServer::start(address, handler.clone()).expect("the server starts");
    let link = client::PeerClient::new(address, time::Millis::new(500));
    assert_eq!(task::block_on(link.call::<u64, u64>(&1)), Ok(2));
    drop(first);
    let _second = server::PeerServer::start(address, handler).expect("the server starts again");
    assert_eq!(task::block_on(link.call::<u64, u64>(&2)), Ok(4));
}

#[test]
fn dead_end_is_reported_as_silent() {
    // A listener that never speaks: the connection stands and nothing comes back.
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    let link = client::PeerClient::new(address, time::Millis::new(200));
    let answer = task::block_on(link.call::<u64, u64>(&1));
    assert!(matches!(answer, Err(client::PeerError::Timeout | client::PeerError::Unreachable)));
}

/// Tells that a question has come, and never answers it.
struct MuteHandler(mpsc::SyncSender<()>);

impl server::PeerHandler for MuteHandler {
    type Request = u64;
    type Response = u64;

    fn handle(&self, _: u64) -> server::ResponseFuture<u64> {
        // A question that comes twice is told once.
        let _ = self.0.try_send(());
        Box::pin(std::future::pending())
    }
}

#[test]
fn daemon_that_got_the_message_is_silent_though_it_can_not_be_dialled_anew() {
    let address = samphiremoor_testkit::free_address();
    let (told, asked) = mpsc::sync_channel(1);
    let handler = sync::Arc::new(MuteHandler(told));
    let server = server::PeerServer::start(address, handler).expect("the server starts");
    let link = client::PeerClient::new(address, time::Millis::new(500));
    let call = task::spawn(async move { link.call::<u64, u64>(&1).await });
    asked.recv().expect("the question comes");
    drop(server);
    assert_eq!(task::block_on(call), Err(client::PeerError::Timeout));
}

#[test]
fn undecodable_message_is_not_answered_and_harms_nothing() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let _server = server::PeerServer::start(address, handler).expect("the server starts");
    let link = client::PeerClient::new(address, time::Millis::new(200));
    let garbled = task::block_on(link.call::<(), u64>(&()));
    assert_eq!(garbled, Err(client::PeerError::Timeout));
    assert_eq!(task::block_on(link.call::<u64, u64>(&4)), Ok(8));
}

#[test]
fn many_exchanges_leave_the_library_working() {
    const LINKS: usize = 16;
    const ROUNDS: u64 = 400;
    let handler = sync::Arc::new(DoublingHandler);
    let (address, _server) = (0..10)
        .find_map(|_| {
            let address = samphiremoor_testkit::free_address();
            let server = server::PeerServer::start(address, handler.clone()).ok()?;
            Some((address, server))
        })
        .expect("a port is free");
    let callers: Vec<_> = (0..LINKS)
        .map(|_| {
            task::spawn(async move {
                let link = client::PeerClient::new(address, time::Millis::new(5_000));
                for number in 0..ROUNDS {
                    let answer = link.call::<u64, u64>(&number).await;
                    assert_eq!(answer, Ok(number * 2));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(task::block_on);
}

/// Calls that are given up at any moment leave the library's threads free for the next calls.
#[test]
fn abandoned_calls_do_not_block_the_library() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let _server = server::PeerServer::start(address, handler).expect("the server starts");
    let link = sync::Arc::new(client::PeerClient::new(address, time::Millis::new(2_000)));
    assert_eq!(task::block_on(link.call::<u64, u64>(&1)), Ok(2));
    for pause in 0..400_u64 {
        let call = task::spawn({
            let link = link.clone();
            async move { link.call::<u64, u64>(&pause).await }
        });
        task::block_on(async {
            task::sleep(std::time::Duration::from_micros(pause)).await;
            call.cancel().await;
        });
    }
    for number in 0..50_u64 {
        assert_eq!(task::block_on(link.call::<u64, u64>(&number)), Ok(number * 2));
    }
}
