//! Calls whose response may be of any size as long as it goes on.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use async_std::task;
use samphiremoor_base::time::Millis;
use samphiremoor_httpio::client;
use samphiremoor_httpio::persistent;

/// Time in which the head and each step of a response must arrive.
const STEP: Millis = Millis::new(400);
/// Length of the responses' body, in bytes.
const BODY_BYTES: usize = 160 * 1024;

/// Starts a server that sends `chunk` bytes of a body of [`BODY_BYTES`] at a time, up to `end`, with
/// a pause before each.
fn serve(chunk: usize, end: usize, pause: time::Duration) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let _ = stream.read(&mut [0; 1024]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let mut sent = 0;
        while sent < end {
            thread::sleep(pause);
            if stream.write_all(&vec![b'x'; chunk]).is_err() {
                return;
            }
            sent += chunk;
        }
        // Keeps the connection open.
        let _ = stream.read(&mut [0]);
    });
    address
}

fn call(address: net::SocketAddr) -> Result<persistent::ClientResponse, client::CallError> {
    let client = persistent::PersistentClient::new(address, STEP);
    let limit = persistent::CallLimit::Progress { head: STEP, step: STEP };
    let request =
        persistent::ClientRequest { method: "GET", target: "/", fields: &[], body: &[], limit };
    task::block_on(client.call(&request))
}

#[test]
fn response_may_take_longer_than_its_limit_while_it_goes_on() {
    let address = serve(16 * 1024, BODY_BYTES, time::Duration::from_millis(100));
    let response = call(address).expect("the response goes on");
    assert_eq!(response.body.len(), BODY_BYTES);
}

#[test]
fn response_that_stops_is_given_up() {
    let address = serve(16 * 1024, BODY_BYTES / 2, time::Duration::from_millis(10));
    assert!(matches!(call(address), Err(client::CallError::TimedOut)));
}

#[test]
fn response_that_trickles_is_given_up() {
    let address = serve(1, BODY_BYTES, time::Duration::from_millis(5));
    assert!(matches!(call(address), Err(client::CallError::TimedOut)));
}
