//! What the network has not delivered of a call when the call is given up never arrives.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use async_std::future;
use async_std::task;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::time::Millis;
use samphiremoor_httpio::client;
use samphiremoor_httpio::persistent;

/// Length of a body that the system of the client takes whole, and that of the server doesn't.
const LARGE_BODY: usize = 128 * 1024;
/// Timeout of a call whose bytes wait.
const TIMEOUT: Millis = Millis::new(300);
/// Time after which a call that waits has been given up.
const GIVEN_UP: time::Duration = time::Duration::from_millis(600);

/// How a call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallKind {
    /// On a persistent connection, with a timeout of the exchange.
    Whole,
    /// On a persistent connection, with a permission that ends.
    Expiring,
    /// On a connection of its own.
    Single,
    /// On a persistent connection, by a task that is cancelled.
    Cancelled,
}

async fn call(address: net::SocketAddr, kind: CallKind) {
    let body = vec![b'x'; LARGE_BODY];
    if kind == CallKind::Single {
        let url = client::url(address, "/orders").expect("the text is a path");
        let mut request = Request::new(Method::Post, url);
        request.set_body(body);
        let limits = client::CallLimits { connect: TIMEOUT, head: TIMEOUT, silence: TIMEOUT };
        assert!(client::send(address, request, limits).await.is_err());
        return;
    }
    let limit = match kind {
        CallKind::Expiring => persistent::CallLimit::Expiring(TIMEOUT),
        CallKind::Cancelled => persistent::CallLimit::Whole(Millis::new(10_000)),
        CallKind::Whole | CallKind::Single => persistent::CallLimit::Whole(TIMEOUT),
    };
    let request = persistent::ClientRequest {
        method: "POST",
        target: "/orders",
        fields: &[],
        body: &body,
        limit,
    };
    let client = persistent::PersistentClient::new(address, TIMEOUT);
    let calling = client.call(&request);
    let ended = future::timeout(TIMEOUT.to_duration() * 2, calling).await;
    assert!(!matches!(ended, Ok(Ok(_))));
}

/// The other end reads only after the call was given up, as behind a link that is cut until then.
fn check(kind: CallKind) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let reading = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        thread::sleep(TIMEOUT.to_duration() + GIVEN_UP);
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        received.len()
    });
    task::block_on(call(address, kind));
    let received = reading.join().expect("the reader doesn't panic");
    assert!(received < LARGE_BODY, "the whole call arrives after it was given up");
}

samphiremoor_base::cases! {
    call_arrives_after_its_timeout => check(CallKind::Whole);
    call_arrives_after_its_permission => check(CallKind::Expiring);
    single_call_arrives_after_its_timeout => check(CallKind::Single);
    call_arrives_after_its_task => check(CallKind::Cancelled);
}

/// A call whose permission has ended is not sent.
#[test]
fn call_is_sent_without_permission() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let (mut received, mut chunk) = (Vec::new(), [0; 1024]);
        while !received.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut chunk).expect("the client writes");
            received.extend_from_slice(&chunk[..count]);
        }
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(response).expect("the client reads");
        // The client closes without a reset, and sends nothing before.
        stream.read(&mut chunk).expect("the connection ends without a reset")
    });
    task::block_on(async {
        let client = persistent::PersistentClient::new(address, TIMEOUT);
        let call = async |limit| {
            let fields = &[];
            let target = "/orders";
            let request =
                persistent::ClientRequest { method: "POST", target, fields, body: b"", limit };
            client.call(&request).await
        };
        let expiring = persistent::CallLimit::Expiring;
        assert!(call(expiring(TIMEOUT)).await.is_ok());
        let unsent = call(expiring(Millis::new(0))).await;
        assert!(matches!(unsent, Err(client::CallError::NotConnected(_))), "{unsent:?}");
    });
    assert_eq!(serving.join().expect("the server doesn't panic"), 0);
}
