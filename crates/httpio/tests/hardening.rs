//! Tests that a server withstands malformed, oversized and slow requests, over loopback.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync;
use std::time::Duration;

use async_std::net;
use async_std::task;
use async_trait::async_trait;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::cases;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::problem;
use samphiremoor_httpio::server;

const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(1_000);

/// Responds with the length of the body, and records the refusals that the server makes.
#[derive(Default)]
struct LengthHandler {
    refusals: sync::Mutex<Vec<reason::RefusalReason>>,
}

#[async_trait]
impl server::HttpHandler for LengthHandler {
    async fn handle(&self, mut request: Request) -> Response {
        match body::read(request.take_body(), MAX_BODY).await {
            Ok(bytes) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(bytes.len().to_string());
                response
            }
            Err(cause) => problem::CallProblem::not_run(
                StatusCode::PayloadTooLarge,
                reason::RefusalReason::TooLarge,
                &cause.to_string(),
            )
            .to_response(),
        }
    }

    fn refused(&self, reason: reason::RefusalReason) {
        self.refusals.lock().expect("the lock is not poisoned").push(reason);
    }
}

/// A running server and its handler. Dropping the value stops the server.
struct RunningServer {
    address: SocketAddr,
    handler: sync::Arc<LengthHandler>,
    stop: server::StopSignal,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop.trigger();
    }
}

fn start() -> RunningServer {
    let limits = server::ServerLimits {
        max_connections: 3,
        max_request: quantity::ByteCount::new(64 * 1024),
        head_timeout: time::Millis::new(300),
        read_timeout: time::Millis::new(200),
        write_timeout: time::Millis::new(500),
    };
    let listener = task::block_on(net::TcpListener::bind("127.0.0.1:0")).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let handler = sync::Arc::new(LengthHandler::default());
    let stop = server::StopSignal::new();
    task::spawn(server::serve(listener, limits, handler.clone(), stop.clone()));
    RunningServer { address, handler, stop }
}

fn connect(server: &RunningServer) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("the server listens");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("the timeout is not zero");
    stream
}

/// Reads until the server closes the connection.
fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        // The connection is reset if the server closes it before it has read everything.
        Err(cause) if cause.kind() == io::ErrorKind::ConnectionReset => {}
        Err(cause) => panic!("the server neither responds nor closes the connection: {cause}"),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn check(sent: &str, expected_parts: &[&str], expected_refusal: Option<reason::RefusalReason>) {
    let server = start();
    let mut stream = connect(&server);
    // The server may close the connection before everything is sent.
    let _ = stream.write_all(sent.as_bytes());
    let response = read_all(&mut stream);
    for part in expected_parts {
        assert!(response.contains(part), "{part:?} is not in {response:?}");
    }
    let refusals = server.handler.refusals.lock().expect("the lock is not poisoned");
    assert_eq!(refusals.first().copied(), expected_refusal);
}

fn oversized_head() -> String {
    format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(9_000))
}

fn unterminated_line() -> String {
    "G".repeat(70 * 1024)
}

fn oversized_chunks() -> String {
    let chunk = format!("400\r\n{}\r\n", "z".repeat(0x400));
    format!("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk.repeat(2))
}

cases! {
    whole_body_is_read => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc",
        &["HTTP/1.1 200", "\r\n\r\n3"],
        None,
    );
    two_requests_on_one_connection => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nabPOST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nconnection: close\r\n\r\nc",
        &["\r\n\r\n2", "\r\n\r\n1"],
        None,
    );
    chunked_body_is_read => check(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        &["HTTP/1.1 200", "\r\n\r\n3"],
        None,
    );
    chunked_body_with_trailer_is_read => check(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\n\r\n",
        &["HTTP/1.1 200", "\r\n\r\n3"],
        None,
    );
    request_after_chunked_body => check(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nPOST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nconnection: close\r\n\r\nc",
        &["\r\n\r\n2", "\r\n\r\n1"],
        None,
    );
    text_that_is_not_http => check(
        "hello there\r\n\r\n",
        &["HTTP/1.1 400", "application/problem+json", "malformed-http", "\"outcome\":\"not-run\""],
        Some(reason::RefusalReason::MalformedHttp),
    );
    binary_data => check(
        "\u{0}\u{1}\u{7f}\r\n\r\n",
        &["HTTP/1.1 400", "malformed-http"],
        Some(reason::RefusalReason::MalformedHttp),
    );
    missing_host => check(
        "GET / HTTP/1.1\r\n\r\n",
        &["HTTP/1.1 400"],
        Some(reason::RefusalReason::MalformedHttp),
    );
    length_and_chunked_coding_together => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        &["HTTP/1.1 400"],
        Some(reason::RefusalReason::MalformedHttp),
    );
    head_over_the_limit => check(
        &oversized_head(),
        &["HTTP/1.1 431", "too-large"],
        Some(reason::RefusalReason::TooLarge),
    );
    unterminated_line_over_the_limit => check(
        &unterminated_line(),
        &["HTTP/1.1 431", "too-large"],
        Some(reason::RefusalReason::TooLarge),
    );
    declared_body_over_the_limit => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999\r\n\r\n",
        &["HTTP/1.1 413", "too-large"],
        None,
    );
    chunked_body_over_the_limit => check(
        &oversized_chunks(),
        &["HTTP/1.1 413", "too-large"],
        None,
    );
    slow_body_times_out => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
        &["HTTP/1.1 413", "too slowly"],
        None,
    );
    slow_head_times_out => check(
        "GET / HT",
        &["HTTP/1.1 408", "slow-caller"],
        Some(reason::RefusalReason::SlowCaller),
    );
    idle_connection_is_closed => check("", &[], None);
}

#[test]
fn connections_over_the_limit_are_refused_with_retry_after() {
    let server = start();
    let open_streams: Vec<TcpStream> = (0..3).map(|_| connect(&server)).collect();
    let mut excess_stream = connect(&server);
    let response = read_all(&mut excess_stream);
    assert!(response.contains("HTTP/1.1 503"), "{response}");
    assert!(response.to_ascii_lowercase().contains("retry-after: 1"), "{response}");
    drop(open_streams);
}

#[test]
fn stopped_server_closes_idle_connections() {
    let server = start();
    let mut stream = connect(&server);
    server.stop.trigger();
    assert_eq!(read_all(&mut stream), "");
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(48))]

    /// The server responds to arbitrary bytes or closes the connection, and serves the next caller.
    #[test]
    fn server_keeps_serving_after_arbitrary_bytes(bytes in proptest::collection::vec(0_u8.., 0..600)) {
        let server = start();
        let mut stream = connect(&server);
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = read_all(&mut stream);
        let mut next_stream = connect(&server);
        next_stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").expect("the connection is open");
        let response = read_all(&mut next_stream);
        proptest::prop_assert!(response.contains("HTTP/1.1 200"), "{}", response);
    }
}
