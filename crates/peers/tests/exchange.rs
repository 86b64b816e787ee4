//! Request-response exchanges over loopback.

use std::net;
use std::sync;
use std::sync::mpsc;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_peers::client;
use samphiremoor_peers::server;

/// Responds to each number with its double.
struct DoublingHandler;

impl server::PeerHandler for DoublingHandler {
    type Request = u64;
    type Response = u64;

    fn handle(&self, request: u64) -> server::ResponseFuture<u64> {
        Box::pin(async move { request * 2 })
    }
}

#[test]
fn concurrent_calls_get_their_own_responses() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let _server = server::PeerServer::start(address, handler).expect("the server starts");
    let client = sync::Arc::new(client::PeerClient::new(address, time::Millis::new(2_000)));
    let calls: Vec<_> = (0..200_u64)
        .map(|number| {
            let client = client.clone();
            task::spawn(async move { (number, client.call::<u64, u64>(&number).await) })
        })
        .collect();
    for call in calls {
        let (number, response) = task::block_on(call);
        assert_eq!(response, Ok(number * 2));
    }
}

#[test]
fn absent_daemon_is_unreachable() {
    let client =
        client::PeerClient::new(samphiremoor_testkit::free_address(), time::Millis::new(200));
    let response = task::block_on(client.call::<u64, u64>(&1));
    assert_eq!(response, Err(client::PeerError::Unreachable));
}

#[test]
fn client_reconnects_to_restarted_daemon() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let first_server =
        server::PeerServer::start(address, handler.clone()).expect("the server starts");
    let client = client::PeerClient::new(address, time::Millis::new(500));
    assert_eq!(task::block_on(client.call::<u64, u64>(&1)), Ok(2));
    drop(first_server);
    let _second_server =
        server::PeerServer::start(address, handler).expect("the server starts again");
    assert_eq!(task::block_on(client.call::<u64, u64>(&2)), Ok(4));
}

#[test]
fn silent_listener_is_reported_as_timeout() {
    // A listener that accepts connections and never sends a byte.
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    let client = client::PeerClient::new(address, time::Millis::new(200));
    let response = task::block_on(client.call::<u64, u64>(&1));
    assert!(matches!(response, Err(client::PeerError::Timeout | client::PeerError::Unreachable)));
}

/// Signals on a channel that a request has arrived, and never responds to it.
struct SilentHandler(mpsc::SyncSender<()>);

impl server::PeerHandler for SilentHandler {
    type Request = u64;
    type Response = u64;

    fn handle(&self, _: u64) -> server::ResponseFuture<u64> {
        // The channel holds one signal; a repeated request needs no second one.
        let _ = self.0.try_send(());
        Box::pin(std::future::pending())
    }
}

#[test]
fn timeout_is_reported_if_the_reconnect_after_a_delivered_request_fails() {
    let address = samphiremoor_testkit::free_address();
    let (sender, receiver) = mpsc::sync_channel(1);
    let handler = sync::Arc::new(SilentHandler(sender));
    let server = server::PeerServer::start(address, handler).expect("the server starts");
    let client = client::PeerClient::new(address, time::Millis::new(500));
    let call = task::spawn(async move { client.call::<u64, u64>(&1).await });
    receiver.recv().expect("the request arrives");
    drop(server);
    assert_eq!(task::block_on(call), Err(client::PeerError::Timeout));
}

#[test]
fn undecodable_request_gets_no_response_and_the_next_one_does() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let _server = server::PeerServer::start(address, handler).expect("the server starts");
    let client = client::PeerClient::new(address, time::Millis::new(200));
    let undecodable = task::block_on(client.call::<(), u64>(&()));
    assert_eq!(undecodable, Err(client::PeerError::Timeout));
    assert_eq!(task::block_on(client.call::<u64, u64>(&4)), Ok(8));
}

#[test]
fn many_concurrent_exchanges_succeed() {
    const CLIENTS: usize = 16;
    const CALLS_PER_CLIENT: u64 = 400;
    let handler = sync::Arc::new(DoublingHandler);
    let (address, _server) = (0..10)
        .find_map(|_| {
            let address = samphiremoor_testkit::free_address();
            let server = server::PeerServer::start(address, handler.clone()).ok()?;
            Some((address, server))
        })
        .expect("a port is free");
    let client_tasks: Vec<_> = (0..CLIENTS)
        .map(|_| {
            task::spawn(async move {
                let client = client::PeerClient::new(address, time::Millis::new(5_000));
                for number in 0..CALLS_PER_CLIENT {
                    let response = client.call::<u64, u64>(&number).await;
                    assert_eq!(response, Ok(number * 2));
                }
            })
        })
        .collect();
    client_tasks.into_iter().for_each(task::block_on);
}

/// Cancelling a call at any moment must not block the library's threads for later calls.
#[test]
fn cancelled_calls_do_not_block_the_library() {
    let address = samphiremoor_testkit::free_address();
    let handler = sync::Arc::new(DoublingHandler);
    let _server = server::PeerServer::start(address, handler).expect("the server starts");
    let client = sync::Arc::new(client::PeerClient::new(address, time::Millis::new(2_000)));
    assert_eq!(task::block_on(client.call::<u64, u64>(&1)), Ok(2));
    for pause_us in 0..400_u64 {
        let call = task::spawn({
            let client = client.clone();
            async move { client.call::<u64, u64>(&pause_us).await }
        });
        task::block_on(async {
            task::sleep(std::time::Duration::from_micros(pause_us)).await;
            call.cancel().await;
        });
    }
    for number in 0..50_u64 {
        assert_eq!(task::block_on(client.call::<u64, u64>(&number)), Ok(number * 2));
    }
}
